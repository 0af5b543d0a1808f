//! Jobs that make little sense, and must disturb nothing.

use std::time::Duration;

use landingvalve::graph::Repeat;
use landingvalve::graph::Resources;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const TWO: &[(&str, &str)] = &[("w1", "r1"), ("w2", "r1")];

#[test]
fn tasks_that_take_nothing_run() {
    for gang in [true, false] {
        let mut site = Site::new(TWO);
        let mut nothing = step(3, 0, gang);
        nothing.resources = Resources::default();
        site.submit(job("odd", 1, vec![nothing], &site));
        site.settle();
        assert_eq!(site.running("odd"), 3, "gang: {gang}");
    }
}

#[test]
fn a_declared_time_beyond_all_clocks_is_not_reckoned_with() {
    let mut site = Site::new(TWO);
    let mut endless = step(2, 8, true);
    endless.estimate = Duration::MAX;
    site.submit(job("endless", 1, vec![endless.clone()], &site));
    site.submit(job("next", 1, vec![endless], &site));
    site.settle();
    site.advance(Duration::from_secs(2));
    site.settle();
    assert_eq!(site.running("endless"), 2);
}

#[test]
fn a_job_that_runs_too_often_is_refused() {
    let site = Site::new(TWO);
    let mut often = job("often", 1, vec![step(1, 1, false)], &site);
    for (times, good) in [(10_000, true), (10_001, false), (u32::MAX, false)] {
        often.repeat = Some(Repeat {
            times,
            start: site.now.wall,
            interval: Duration::ZERO,
        });
        assert_eq!(often.check().is_ok(), good, "{times}");
    }
}

#[test]
fn a_task_that_asks_for_what_is_no_amount_is_refused() {
    let site = Site::new(TWO);
    for (accelerators, good) in [(8, true), (-1, false), (i64::MAX, false)] {
        let steps = vec![step(2, accelerators, false)];
        let checked = job("odd", 1, steps, &site).check();
        assert_eq!(checked.is_ok(), good, "{accelerators}");
    }
}
