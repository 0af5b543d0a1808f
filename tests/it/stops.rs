//! The limits on work that is preempted for urgent work.
//!
//! Guards against gangs of up to nine whole workers that had to start within
//! 1.5 s and waited 2 to 12 s: preemption would have lost 1,188 core-seconds,
//! which the limit forbade, although the gangs had 1,500 core-seconds of work.
//! Once they were late, other runs were stopped for them nevertheless.

use std::time::Duration;

use landingvalve::graph::budget;
use landingvalve::graph::budget::Need;
use landingvalve::graph::Policy;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const FOUR_WORKERS: &[(&str, &str)] =
    &[("w1", "r1"), ("w2", "r1"), ("w3", "r1"), ("w4", "r1")];

/// Returns a site that is full of work that has run for a number of seconds.
fn full_site(seconds: u64) -> Site {
    let mut site = Site::new(FOUR_WORKERS);
    site.submit(job("long", 1, vec![step(4, 8, false)], &site));
    site.settle();
    site.run_for(Duration::from_secs(seconds));
    assert_eq!(site.running("long"), 4);
    site
}

#[test]
fn a_wide_gang_that_would_be_in_time_preempts_up_to_its_own_work() {
    // The gang preempts 390 core-seconds, 2 s of work worth 65 cores on each
    // of three workers, and has 975 core-seconds of work itself.
    let mut site = full_site(2);
    site.submit(job("urgent", 0, vec![step(3, 8, true)], &site));
    site.settle();
    assert_eq!(site.running("urgent"), 3);
}

#[test]
fn a_gang_that_is_late_already_preempts_little() {
    let mut site = full_site(2);
    let mut urgent = job("urgent", 0, vec![step(3, 8, true)], &site);
    // The gang was submitted so long ago that it has no time left.
    urgent.accepted -= Duration::from_secs(30);
    site.submit(urgent);
    site.settle();
    assert_eq!(site.running("urgent"), 0);
}

#[test]
fn a_gang_preempts_no_more_than_its_own_work() {
    let mut site = full_site(9);
    site.submit(job("urgent", 0, vec![step(3, 8, true)], &site));
    site.settle();
    assert_eq!(site.running("urgent"), 0, "1,755 core-seconds for 975");
}

#[test]
fn the_limit_follows_the_benefit() {
    let policy = Policy::default();
    let need = |work, slack_ms| Need {
        core_seconds: work,
        slack_ms,
        stop_time: Duration::from_millis(900),
    };
    let limit = |work, slack_ms| budget::limit(&policy, &need(work, slack_ms));
    assert!(limit(1500.0, 1500) >= 1500.0, "in time");
    assert!(
        limit(1500.0, 500) < 500.0,
        "a stop takes all the time that is left"
    );
    assert!(limit(1500.0, -500) < 500.0, "late already");
    assert!(limit(10.0, 1500) >= 100.0, "small units have a minimum");
}
