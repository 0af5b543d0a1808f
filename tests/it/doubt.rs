//! Quarantine and probation of workers on which runs fail.
//!
//! Guards against faulty workers that get new jobs, and against workers that are
//! blamed for a job that fails everywhere.

use std::time::Duration;

use landingvalve::graph::Decision;
use landingvalve::graph::RunOutcome;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const THREE_WORKERS: &[(&str, &str)] =
    &[("w1", "r1"), ("w2", "r1"), ("w3", "r1")];

/// Ends all runs of a job on a worker.
fn end(site: &mut Site, worker: usize, id: &str, outcome: RunOutcome) {
    site.workers[worker].end(outcome, |r| &*r.task.job == id);
}

#[test]
fn a_worker_on_which_two_jobs_failed_is_quarantined() {
    let mut site = Site::new(THREE_WORKERS);
    site.submit(job("j", 1, vec![step(3, 8, false)], &site));
    site.settle();
    end(&mut site, 0, "j", RunOutcome::Failed);
    site.settle();
    site.run_for(Duration::from_millis(500));
    // The failed task waits for another worker, so that the next job's task
    // starts on the first one.
    site.submit(job("k", 0, vec![step(1, 8, false)], &site));
    site.settle();
    end(&mut site, 0, "k", RunOutcome::Failed);
    site.settle();
    site.submit(job("l", 0, vec![step(1, 8, false)], &site));
    site.settle();
    let runs_there =
        |id: &str| site.workers[0].running.iter().any(|r| &*r.task.job == id);
    assert!(!runs_there("l"), "a new job on a worker where two failed");
}

#[test]
fn two_failures_of_one_job_count_against_the_worker_if_the_job_failed_nowhere_else(
) {
    let mut site = Site::new(THREE_WORKERS);
    site.submit(job("j", 1, vec![step(24, 1, false)], &site));
    site.settle();
    end(&mut site, 0, "j", RunOutcome::Failed);
    site.settle();
    let count_quarantines = |site: &mut Site| {
        let decisions = site.scheduler.take_decisions();
        let is_quarantine =
            |d: &Decision| matches!(d, Decision::WorkerQuarantined { .. });
        decisions.iter().filter(|d| is_quarantine(d)).count()
    };
    assert_eq!(
        count_quarantines(&mut site),
        1,
        "eight tasks failed only there"
    );
    // A job that fails on all workers counts against none of them.
    let mut site = Site::new(THREE_WORKERS);
    site.submit(job("j", 1, vec![step(3, 8, false)], &site));
    site.settle();
    for worker in 0..3 {
        end(&mut site, worker, "j", RunOutcome::Failed);
        site.settle();
    }
    assert_eq!(
        count_quarantines(&mut site),
        0,
        "the job failed on all workers"
    );
}

#[test]
fn a_last_attempt_avoids_a_worker_on_probation() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1")]);
    // A failure puts the first worker on probation.
    site.submit(job("a", 1, vec![step(2, 8, false)], &site));
    site.settle();
    end(&mut site, 0, "a", RunOutcome::Failed);
    site.scheduler.cancel_job("a", site.now);
    site.settle();
    let mut last = job("b", 0, vec![step(2, 8, false)], &site);
    last.max_attempts = 1;
    site.submit(last);
    site.settle();
    assert_eq!(
        site.workers[0].running.len(),
        0,
        "a last attempt on a worker on probation"
    );
    assert_eq!(site.workers[1].running.len(), 1);
    // The other task runs after the first, on the same worker.
    site.finish_job("b");
    site.settle();
    assert_eq!(site.workers[1].running.len(), 1);
    assert_eq!(site.workers[0].running.len(), 0);
}

#[test]
fn jobs_that_fail_leave_an_idle_pool_in_quarantine() {
    let mut site = Site::new(THREE_WORKERS);
    let jobs = ["a", "b", "c", "d"];
    for id in jobs {
        let mut gang = step(3, 8, true);
        gang.per_worker = Some(1);
        let mut gang = job(id, 1, vec![gang], &site);
        gang.max_attempts = 4;
        site.submit(gang);
    }
    // All gangs fail half a second after their start, on all workers.
    let mut idle = Duration::ZERO;
    let mut longest = Duration::ZERO;
    let interval = Duration::from_millis(500);
    while jobs.iter().any(|id| site.outcome(id).is_none()) {
        site.settle();
        let busy = site.workers.iter().any(|w| !w.running.is_empty());
        idle = match busy {
            true => Duration::ZERO,
            false => idle + interval,
        };
        longest = longest.max(idle);
        site.advance(interval);
        for worker in &mut site.workers {
            worker.end(RunOutcome::Failed, |_| true);
        }
        site.settle();
        assert!(longest <= Duration::from_secs(60), "idle for good");
    }
    assert!(longest <= Duration::from_secs(3), "idle for {longest:?}");
}

#[test]
fn unit_with_a_reservation_leaves_an_idle_pool_in_quarantine() {
    let mut site = Site::new(THREE_WORKERS);
    let mut long = step(1, 8, false);
    long.estimate = Duration::from_secs(600);
    site.submit(job("long", 1, vec![long], &site));
    site.settle();
    // Both other workers are put in quarantine, three times.
    for id in ["a", "b", "c", "d"] {
        let mut gang = step(2, 8, true);
        gang.per_worker = Some(1);
        let mut gang = job(id, 1, vec![gang], &site);
        gang.max_attempts = 1;
        site.submit(gang);
        site.run_for(Duration::from_secs(3));
        assert_eq!(site.running(id), 2, "{id} has begun");
        for worker in &mut site.workers {
            worker.end(RunOutcome::Failed, |r| &*r.task.job == id);
        }
        site.settle();
    }
    site.submit(job("next", 1, vec![step(1, 8, false)], &site));
    site.run_for(Duration::from_secs(3));
    assert_eq!(site.running("next"), 1);
}
