//! Tasks that fill beside tasks that serve, and tasks that may not be
//! missed.

use std::time::Duration;

use landingvalve::graph::Step;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

/// Returns a site of one worker, where one task serves and one fills.
fn site() -> Site {
    let mut site = Site::new(&[("w1", "r1")]);
    let serves = Step {
        lasting: true,
        target_ms: Some(100),
        ..step(1, 1, false)
    };
    let fills = Step {
        fills: true,
        ..step(1, 1, false)
    };
    site.submit(job("serves", 1, vec![serves], &site));
    site.submit(job("fills", 2, vec![fills], &site));
    site.settle();
    site
}

/// Sets the figure that the serving task shows.
fn tail(site: &mut Site, ms: f64) {
    for running in &mut site.workers[0].running {
        let serves = &*running.task.job == "serves";
        running.load = Some(if serves { ms } else { 1000.0 });
    }
    site.settle();
}

/// Returns the pace of the filling task.
fn filling(site: &Site) -> f64 {
    let running = &site.workers[0].running;
    let fills = running.iter().find(|r| &*r.task.job == "fills");
    fills.map_or(-1.0, |running| running.pace)
}

#[test]
fn what_fills_stands_still_at_once_and_comes_back_by_steps() {
    let mut site = site();
    tail(&mut site, 60.0);
    assert_eq!(filling(&site), 100.0);
    tail(&mut site, 130.0);
    assert_eq!(filling(&site), 0.0);
    let mut seen = Vec::new();
    for _ in 0..6 {
        site.advance(Duration::from_millis(1100));
        tail(&mut site, 40.0);
        seen.push(filling(&site));
    }
    assert_eq!(seen, [20.0, 40.0, 60.0, 80.0, 100.0, 100.0]);
}

#[test]
fn the_pace_does_not_rise_close_to_the_target() {
    let mut site = site();
    tail(&mut site, 130.0);
    for _ in 0..3 {
        site.advance(Duration::from_millis(1100));
        tail(&mut site, 90.0);
    }
    assert_eq!(filling(&site), 0.0);
}

#[test]
fn what_serves_is_never_paced() {
    let mut site = site();
    tail(&mut site, 130.0);
    let running = &site.workers[0].running;
    let serves = running.iter().find(|r| &*r.task.job == "serves");
    assert_eq!(serves.map(|running| running.pace), Some(100.0));
}

#[test]
fn no_more_tasks_are_stopped_at_a_time_than_may_be_missed() {
    for (may_miss, left) in [(None, 0), (Some(1), 3), (Some(0), 4)] {
        let mut site = Site::new(&[("w1", "r1")]);
        let lasts = Step {
            lasting: true,
            may_miss,
            ..step(4, 2, false)
        };
        site.submit(job("lasts", 1, vec![lasts], &site));
        site.settle();
        assert_eq!(site.running("lasts"), 4);
        for at in 0..4 {
            let id = format!("urgent{at}");
            site.submit(job(&id, 0, vec![step(1, 2, false)], &site));
        }
        site.settle();
        assert_eq!(site.running("lasts"), left, "{may_miss:?}");
    }
}
