//! The pace of filler tasks beside serving tasks, and the number of
//! long-running tasks that may be stopped at a time.

use std::time::Duration;

use landingvalve::graph::Step;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

/// Returns a site of one worker that runs a serving task and a filler task.
fn site() -> Site {
    let mut site = Site::new(&[("w1", "r1")]);
    let serving = Step {
        lasting: true,
        target_ms: Some(100),
        ..step(1, 1, false)
    };
    let filler = Step {
        fills: true,
        ..step(1, 1, false)
    };
    site.submit(job("serves", 1, vec![serving], &site));
    site.submit(job("fills", 2, vec![filler], &site));
    site.settle();
    site
}

/// Sets the tail latency that the serving task reports.
fn set_tail_latency(site: &mut Site, ms: f64) {
    for running in &mut site.workers[0].running {
        let is_serving = &*running.task.job == "serves";
        running.load = Some(if is_serving { ms } else { 1000.0 });
    }
    site.settle();
}

/// Returns the pace of the filler task, or -1 if the task does not run.
fn filler_pace(site: &Site) -> f64 {
    let running = &site.workers[0].running;
    let filler = running.iter().find(|r| &*r.task.job == "fills");
    filler.map_or(-1.0, |running| running.pace)
}

#[test]
fn a_filler_pauses_at_once_and_speeds_up_in_steps() {
    let mut site = site();
    set_tail_latency(&mut site, 60.0);
    assert_eq!(filler_pace(&site), 100.0);
    set_tail_latency(&mut site, 130.0);
    assert_eq!(filler_pace(&site), 0.0);
    let mut paces = Vec::new();
    for _ in 0..6 {
        site.advance(Duration::from_millis(1100));
        set_tail_latency(&mut site, 40.0);
        paces.push(filler_pace(&site));
    }
    assert_eq!(paces, [20.0, 40.0, 60.0, 80.0, 100.0, 100.0]);
}

#[test]
fn the_pace_does_not_rise_close_to_the_target() {
    let mut site = site();
    set_tail_latency(&mut site, 130.0);
    for _ in 0..3 {
        site.advance(Duration::from_millis(1100));
        set_tail_latency(&mut site, 90.0);
    }
    assert_eq!(filler_pace(&site), 0.0);
}

#[test]
fn a_serving_task_is_never_slowed_down() {
    let mut site = site();
    set_tail_latency(&mut site, 130.0);
    let running = &site.workers[0].running;
    let serving = running.iter().find(|r| &*r.task.job == "serves");
    assert_eq!(serving.map(|running| running.pace), Some(100.0));
}

#[test]
fn no_more_tasks_are_stopped_at_a_time_than_may_be_missed() {
    for (may_miss, remaining) in [(None, 0), (Some(1), 3), (Some(0), 4)] {
        let mut site = Site::new(&[("w1", "r1")]);
        let long_running = Step {
            lasting: true,
            may_miss,
            ..step(4, 2, false)
        };
        site.submit(job("lasts", 1, vec![long_running], &site));
        site.settle();
        assert_eq!(site.running("lasts"), 4);
        for index in 0..4 {
            let id = format!("urgent{index}");
            site.submit(job(&id, 0, vec![step(1, 2, false)], &site));
        }
        site.settle();
        assert_eq!(site.running("lasts"), remaining, "{may_miss:?}");
    }
}
