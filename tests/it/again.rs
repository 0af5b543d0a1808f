//! Restarts of units whose run has failed.
//!
//! Guards against restarts that are delayed, or that use the worker on which the
//! run failed.

use landingvalve::graph::RunOutcome;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

#[test]
fn a_failed_urgent_gang_restarts_on_other_workers_at_once() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1"), ("w3", "r1")]);
    site.submit(job("urgent", 0, vec![step(2, 8, true)], &site));
    site.settle();
    assert_eq!(site.running("urgent"), 2);
    // One member fails, and the other one ends with it.
    let failed = site.workers.iter().position(|w| !w.running.is_empty());
    let failed = failed.expect("the gang runs");
    site.workers[failed].end(RunOutcome::Failed, |_| true);
    for worker in &mut site.workers {
        worker.end(RunOutcome::Broken, |_| true);
    }
    // No time passes before the restart.
    site.settle();
    assert_eq!(site.running("urgent"), 2, "the gang was not restarted");
    let restarted = &site.workers[failed].running;
    assert!(
        restarted.is_empty(),
        "restarted where it failed: {restarted:?}"
    );
}
