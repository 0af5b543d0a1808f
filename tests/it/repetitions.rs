//! Jobs that run many times.

use std::collections::BTreeSet;
use std::time::Duration;

use landingvalve::graph::Job;
use landingvalve::graph::Outcome;
use landingvalve::graph::Repeat;
use landingvalve::graph::Running;
use landingvalve::graph::Step;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

/// More repetitions than may be open at a time.
const TIMES: u32 = 150;
/// The most repetitions that may be open at a time.
const MAX_OPEN: usize = 64;

/// Returns a job of small tasks that runs [`TIMES`] times.
fn repeated(interval: Duration, steps: Vec<Step>, site: &Site) -> Job {
    let mut job = job("often", 1, steps, site);
    job.repeat = Some(Repeat {
        times: TIMES,
        start: site.now.wall,
        interval,
    });
    for step in &mut job.steps {
        step.resources.cpu = 1;
        step.resources.memory = 1;
    }
    job
}

/// Returns the repetitions with running tasks.
fn running_times(site: &Site) -> BTreeSet<u32> {
    let running = site.workers.iter().flat_map(|worker| &worker.running);
    running.map(|running| running.task.time).collect()
}

/// Guards against repetitions that never begin. The repetitions that were ever
/// opened were compared with the most that may be open, so that a job stopped
/// after its 65th.
#[test]
fn every_repetition_of_a_job_runs() {
    let mut site = Site::new(&[("w1", "r1")]);
    let interval = Duration::from_millis(500);
    let job = repeated(interval, vec![step(1, 0, false)], &site);
    site.submit(job);
    for _ in 0..TIMES {
        site.settle();
        site.finish_job("often");
        site.advance(interval);
    }
    site.settle();
    assert_eq!(site.outcome("often"), Some(Outcome::Succeeded));
}

#[test]
fn repetitions_that_fall_due_in_an_outage_run_in_turn() {
    let mut site = Site::new(&[("w1", "r1")]);
    let mut steps = vec![step(1, 0, false), step(1, 0, false)];
    steps[1].after = vec![0];
    let job = repeated(Duration::from_millis(10), steps, &site);
    site.advance(Duration::from_secs(60));
    site.submit(job);
    let mut rounds = 0;
    while site.outcome("often").is_none() {
        site.settle();
        assert!(running_times(&site).len() <= MAX_OPEN);
        site.finish_job("often");
        rounds += 1;
        assert!(rounds < 20, "the repetitions do not end");
    }
    assert_eq!(site.outcome("often"), Some(Outcome::Succeeded));
}

#[test]
fn a_repetition_that_hangs_holds_up_no_other() {
    let mut site = Site::new(&[("w1", "r1")]);
    let job =
        repeated(Duration::from_millis(10), vec![step(1, 0, false)], &site);
    site.submit(job);
    site.advance(Duration::from_secs(60));
    let is_other = |running: &Running| running.task.time != 0;
    let mut seen = BTreeSet::new();
    for _ in 0..6 {
        site.settle();
        seen.extend(running_times(&site));
        let worker = &mut site.workers[0];
        worker.end(landingvalve::graph::RunOutcome::Done, is_other);
    }
    assert_eq!(seen.len(), TIMES as usize);
    assert_eq!(site.outcome("often"), None);
}

/// Guards against a new planner that stops at the same repetition.
#[test]
fn a_new_planner_opens_the_repetitions_that_are_left() {
    let mut site = Site::new(&[("w1", "r1")]);
    let job =
        repeated(Duration::from_millis(10), vec![step(1, 0, false)], &site);
    site.submit(job.clone());
    site.advance(Duration::from_secs(60));
    site.settle();
    site.finish_job("often");
    site.settle();
    let progress = site.scheduler.progress("often").cloned();
    let mut next = Site::new(&[]);
    next.now = site.now;
    next.workers = site.workers;
    next.scheduler.accept_job(job, progress, next.now);
    for _ in 0..4 {
        next.settle();
        next.finish_job("often");
    }
    next.settle();
    assert_eq!(next.outcome("often"), Some(Outcome::Succeeded));
    let ended = next.workers[0].ended.len();
    assert_eq!(ended, 0, "ends are not acknowledged");
}
