//! Jobs with unusual or invalid specifications, which must not disturb others.

use std::time::Duration;

use landingvalve::graph::Repeat;
use landingvalve::graph::Resources;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const TWO_WORKERS: &[(&str, &str)] = &[("w1", "r1"), ("w2", "r1")];

#[test]
fn tasks_that_need_no_resources_run() {
    for gang in [true, false] {
        let mut site = Site::new(TWO_WORKERS);
        let mut empty = step(3, 0, gang);
        empty.resources = Resources::default();
        site.submit(job("odd", 1, vec![empty], &site));
        site.settle();
        assert_eq!(site.running("odd"), 3, "gang: {gang}");
    }
}

#[test]
fn the_largest_declared_run_time_causes_no_overflow() {
    let mut site = Site::new(TWO_WORKERS);
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
fn a_job_with_too_many_repetitions_is_refused() {
    let site = Site::new(TWO_WORKERS);
    let mut often = job("often", 1, vec![step(1, 1, false)], &site);
    for (times, valid) in [(10_000, true), (10_001, false), (u32::MAX, false)]
    {
        often.repeat = Some(Repeat {
            times,
            start: site.now.wall,
            interval: Duration::ZERO,
        });
        assert_eq!(often.check().is_ok(), valid, "{times}");
    }
}

#[test]
fn a_task_with_an_invalid_amount_of_accelerators_is_refused() {
    let site = Site::new(TWO_WORKERS);
    for (accelerators, valid) in [(8, true), (-1, false), (i64::MAX, false)] {
        let steps = vec![step(2, accelerators, false)];
        let result = job("odd", 1, steps, &site).check();
        assert_eq!(result.is_ok(), valid, "{accelerators}");
    }
}
