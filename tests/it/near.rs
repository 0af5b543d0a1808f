//! Units that run slower when they are spread over racks.
//!
//! Guards against gangs that are spread although waiting for a rack costs less,
//! and against gangs that wait although waiting costs more or is of no use.

use std::time::Duration;

use landingvalve::graph::RunOutcome;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const FOUR_WORKERS: &[(&str, &str)] =
    &[("w1", "r1"), ("w2", "r1"), ("w3", "r2"), ("w4", "r2")];

/// Returns a site where one worker of each rack is in use.
fn half_used_site() -> Site {
    let mut site = Site::new(FOUR_WORKERS);
    for (id, index) in [("x", 0), ("y", 2)] {
        let mut long = step(1, 8, false);
        long.label = Some(site.workers[index].rack.into());
        long.estimate = Duration::from_secs(60);
        site.submit(job(id, 1, vec![long], &site));
    }
    site.settle();
    site
}

#[test]
fn a_gang_waits_for_its_rack_while_the_site_is_busy() {
    let mut site = half_used_site();
    site.submit(job("gang", 1, vec![step(2, 8, true)], &site));
    site.settle();
    site.advance(Duration::from_millis(2500));
    site.settle();
    assert_eq!(
        site.running("gang"),
        0,
        "spread, the gang would take three times as long"
    );
    site.finish_job("x");
    site.settle();
    assert_eq!(site.running("gang"), 2);
    let in_rack = |w: &&crate::graph::Worker| w.rack == "r1";
    let workers = site.workers.iter().filter(in_rack);
    assert_eq!(workers.map(|w| w.running.len()).sum::<usize>(), 2);
}

#[test]
fn a_gang_is_spread_once_it_has_waited_as_long_as_that_costs() {
    let mut site = half_used_site();
    site.submit(job("gang", 1, vec![step(2, 8, true)], &site));
    site.settle();
    // Spread, the gang takes 15 s instead of 5 s, which costs 10 s.
    site.run_for(Duration::from_millis(9900));
    assert_eq!(site.running("gang"), 0, "waiting still costs less");
    site.run_for(Duration::from_millis(200));
    assert_eq!(site.running("gang"), 2);
}

#[test]
fn a_gang_wider_than_any_rack_does_not_wait() {
    let mut site = Site::new(FOUR_WORKERS);
    site.submit(job("gang", 1, vec![step(3, 8, true)], &site));
    site.settle();
    assert_eq!(site.running("gang"), 3);
}

#[test]
fn a_wide_gang_restarts_where_it_failed_if_other_workers_are_too_few() {
    let mut site = Site::new(FOUR_WORKERS);
    let mut wide = step(3, 8, true);
    wide.same_rack = false;
    site.submit(job("wide", 1, vec![wide], &site));
    site.settle();
    // Two members fail, each on a worker of its own.
    for index in 0..2 {
        site.workers[index].end(RunOutcome::Failed, |_| true);
    }
    site.settle();
    site.advance(Duration::from_secs(1));
    site.settle();
    assert_eq!(
        site.running("wide"),
        3,
        "the two untried workers do not suffice"
    );
}
