//! Units that are slow away from their rack.

use std::time::Duration;

use landingvalve::graph::RunOutcome;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const FOUR: &[(&str, &str)] =
    &[("w1", "r1"), ("w2", "r1"), ("w3", "r2"), ("w4", "r2")];

/// Returns a site where one worker of each rack is taken.
fn half_taken() -> Site {
    let mut site = Site::new(FOUR);
    for (id, at) in [("x", 0), ("y", 2)] {
        let mut long = step(1, 8, false);
        long.label = Some(site.workers[at].rack.into());
        long.estimate = Duration::from_secs(60);
        site.submit(job(id, 1, vec![long], &site));
    }
    site.settle();
    site
}

#[test]
fn a_gang_waits_for_its_rack_while_the_site_is_busy() {
    let mut site = half_taken();
    site.submit(job("gang", 1, vec![step(2, 8, true)], &site));
    site.settle();
    site.advance(Duration::from_millis(2500));
    site.settle();
    assert_eq!(site.running("gang"), 0, "spread, it takes thrice as long");
    site.finish_job("x");
    site.settle();
    assert_eq!(site.running("gang"), 2);
    let rack = |w: &&crate::graph::Worker| w.rack == "r1";
    let here = site.workers.iter().filter(rack);
    assert_eq!(here.map(|w| w.running.len()).sum::<usize>(), 2);
}

#[test]
fn a_gang_is_spread_once_waiting_costs_as_much() {
    let mut site = half_taken();
    site.submit(job("gang", 1, vec![step(2, 8, true)], &site));
    site.settle();
    // Spread, its 5 s are 15: 10 more.
    site.run_for(Duration::from_millis(9900));
    assert_eq!(site.running("gang"), 0, "to wait costs less yet");
    site.run_for(Duration::from_millis(200));
    assert_eq!(site.running("gang"), 2);
}

#[test]
fn a_gang_wider_than_any_rack_waits_for_none() {
    let mut site = Site::new(FOUR);
    site.submit(job("gang", 1, vec![step(3, 8, true)], &site));
    site.settle();
    assert_eq!(site.running("gang"), 3);
}

#[test]
fn a_wide_gang_goes_back_where_it_failed_if_the_others_are_too_few() {
    let mut site = Site::new(FOUR);
    let mut wide = step(3, 8, true);
    wide.same_rack = false;
    site.submit(job("wide", 1, vec![wide], &site));
    site.settle();
    // Two of its members fail, on workers of their own.
    for at in 0..2 {
        site.workers[at].end(RunOutcome::Failed, |_| true);
    }
    site.settle();
    site.advance(Duration::from_secs(1));
    site.settle();
    assert_eq!(site.running("wide"), 3, "two untried workers hold no three");
}
