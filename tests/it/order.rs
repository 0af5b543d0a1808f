//! Which urgent units go first where not all find room.
//!
//! In a burst those that could no longer be in time were still tried first,
//! as their time had come earliest: each took the room of one that could
//! have been, until all were late.

use std::time::Duration;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

/// Hands in an urgent gang that is late and one that is not while there is
/// room for neither, and then makes room for one; returns which begins.
fn first(guaranteed: i64) -> &'static str {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1")]);
    site.scheduler
        .set_guarantees([("sure".into(), guaranteed)].into());
    site.submit(job("full", 0, vec![step(2, 8, true)], &site));
    site.settle();
    let mut late = job("late", 0, vec![step(2, 8, true)], &site);
    late.account = "sure".into();
    late.accepted -= Duration::from_secs(15);
    site.submit(late);
    site.submit(job("timely", 0, vec![step(2, 8, true)], &site));
    site.settle();
    site.finish_job("full");
    site.settle();
    match (site.running("late"), site.running("timely")) {
        (2, 0) => "late",
        (0, 2) => "timely",
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_late_urgent_unit_waits_behind_one_that_can_be_in_time() {
    assert_eq!(first(0), "timely");
}

#[test]
fn a_guaranteed_unit_goes_first_however_late_it_is() {
    assert_eq!(first(16), "late");
}

/// Room was kept for units that had waited for 1.5 s though they had 17 s
/// left, and stood empty while others ran out of time.
#[test]
fn room_is_kept_only_once_a_unit_has_no_time_left() {
    let mut site = Site::new(&[("w1", "r1")]);
    site.submit(job("first", 1, vec![step(4, 1, false)], &site));
    site.settle();
    let mut wide = job("wide", 1, vec![step(1, 8, false)], &site);
    wide.stretch = 4.0;
    site.submit(wide);
    site.run_for(Duration::from_secs(3));
    // 16 s are left: what comes later takes the four that are free.
    site.submit(job("second", 1, vec![step(4, 1, false)], &site));
    site.settle();
    assert_eq!(site.running("second"), 4);
    site.run_for(Duration::from_secs(16));
    site.finish_job("second");
    site.settle();
    // None is left: nothing new is placed there.
    site.submit(job("third", 1, vec![step(4, 1, false)], &site));
    site.run_for(Duration::from_secs(1));
    assert_eq!(site.running("third"), 0);
    site.finish_job("first");
    site.settle();
    assert_eq!(site.running("wide"), 1);
}

#[test]
fn room_is_kept_at_once_for_what_lasts() {
    let mut site = Site::new(&[("w1", "r1")]);
    site.submit(job("first", 1, vec![step(4, 1, false)], &site));
    site.settle();
    let mut wide = step(1, 8, false);
    wide.lasting = true;
    site.submit(job("wide", 1, vec![wide], &site));
    site.run_for(Duration::from_secs(3));
    site.submit(job("second", 1, vec![step(4, 1, false)], &site));
    site.settle();
    assert_eq!(site.running("second"), 0);
    site.finish_job("first");
    site.settle();
    assert_eq!(site.running("wide"), 1);
}
