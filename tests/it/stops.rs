//! What is stopped for urgent work, and what is not.
//!
//! Gangs of up to nine whole workers that had to start within 1.5 s waited 2
//! to 12 s: `a unit waits ... lacks="accelerators together" accelerators=72
//! free=91 dear_core_s=1188`, with 1,500 core-seconds of work of their own.
//! Once they were late, others were stopped for them all the same.

use std::time::Duration;

use landingvalve::graph::budget;
use landingvalve::graph::budget::Need;
use landingvalve::graph::Policy;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const FOUR: &[(&str, &str)] =
    &[("w1", "r1"), ("w2", "r1"), ("w3", "r1"), ("w4", "r1")];

/// A site that is full of work that has run for so long, in seconds.
fn full(seconds: u64) -> Site {
    let mut site = Site::new(FOUR);
    site.submit(job("long", 1, vec![step(4, 8, false)], &site));
    site.settle();
    site.run_for(Duration::from_secs(seconds));
    assert_eq!(site.running("long"), 4);
    site
}

#[test]
fn a_wide_gang_that_would_be_in_time_stops_as_much_as_it_does() {
    // 65 cores' worth for 2 s on three workers, 390 core-seconds; the gang
    // does 975.
    let mut site = full(2);
    site.submit(job("urgent", 0, vec![step(3, 8, true)], &site));
    site.settle();
    assert_eq!(site.running("urgent"), 3);
}

#[test]
fn a_gang_that_is_late_all_the_same_throws_little_away() {
    let mut site = full(2);
    let mut urgent = job("urgent", 0, vec![step(3, 8, true)], &site);
    // It was handed in so long ago that it has no time left.
    urgent.accepted -= Duration::from_secs(30);
    site.submit(urgent);
    site.settle();
    assert_eq!(site.running("urgent"), 0);
}

#[test]
fn a_gang_stops_no_more_than_it_does() {
    let mut site = full(9);
    site.submit(job("urgent", 0, vec![step(3, 8, true)], &site));
    site.settle();
    assert_eq!(site.running("urgent"), 0, "1,755 core-seconds for 975");
}

#[test]
fn the_limit_follows_what_is_won() {
    let policy = Policy::default();
    let stake = |work, slack_ms| Need {
        core_seconds: work,
        slack_ms,
        stop_time: Duration::from_millis(900),
    };
    let limit =
        |work, slack_ms| budget::limit(&policy, &stake(work, slack_ms));
    assert!(limit(1500.0, 1500) >= 1500.0, "in time");
    assert!(limit(1500.0, 500) < 500.0, "a stop takes all that is left");
    assert!(limit(1500.0, -500) < 500.0, "late already");
    assert!(limit(10.0, 1500) >= 100.0, "small units have a least");
}
