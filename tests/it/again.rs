//! How soon a unit begins anew after a run that came to nothing.

use landingvalve::graph::RunOutcome;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

#[test]
fn an_urgent_gang_that_fails_begins_elsewhere_at_once() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1"), ("w3", "r1")]);
    site.submit(job("urgent", 0, vec![step(2, 8, true)], &site));
    site.settle();
    assert_eq!(site.running("urgent"), 2);
    // A member fails, the other one ends with it.
    let failed = site.workers.iter().position(|w| !w.running.is_empty());
    let failed = failed.expect("it runs");
    site.workers[failed].end(RunOutcome::Failed, |_| true);
    for worker in &mut site.workers {
        worker.end(RunOutcome::Broken, |_| true);
    }
    // No time passes.
    site.settle();
    assert_eq!(site.running("urgent"), 2, "it does not run again");
    let again = &site.workers[failed].running;
    assert!(again.is_empty(), "where it failed: {again:?}");
}
