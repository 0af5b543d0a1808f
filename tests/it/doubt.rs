//! Workers that are in doubt.

use std::time::Duration;

use landingvalve::graph::Decision;
use landingvalve::graph::RunOutcome;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const THREE: &[(&str, &str)] = &[("w1", "r1"), ("w2", "r1"), ("w3", "r1")];

/// Ends all that a worker runs of a job.
fn end(site: &mut Site, worker: usize, id: &str, how: RunOutcome) {
    site.workers[worker].end(how, |r| &*r.task.job == id);
}

#[test]
fn a_worker_on_which_two_jobs_failed_is_kept_apart() {
    let mut site = Site::new(THREE);
    site.submit(job("j", 1, vec![step(3, 8, false)], &site));
    site.settle();
    end(&mut site, 0, "j", RunOutcome::Failed);
    site.settle();
    site.run_for(Duration::from_millis(500));
    // The failed task waits for another worker; a fourth task comes here.
    site.submit(job("k", 0, vec![step(1, 8, false)], &site));
    site.settle();
    end(&mut site, 0, "k", RunOutcome::Failed);
    site.settle();
    site.submit(job("l", 0, vec![step(1, 8, false)], &site));
    site.settle();
    let here =
        |id: &str| site.workers[0].running.iter().any(|r| &*r.task.job == id);
    assert!(!here("l"), "a new job on a worker where two failed");
}

#[test]
fn two_failures_of_one_job_speak_against_the_worker_if_it_failed_only_there() {
    let mut site = Site::new(THREE);
    site.submit(job("j", 1, vec![step(24, 1, false)], &site));
    site.settle();
    end(&mut site, 0, "j", RunOutcome::Failed);
    site.settle();
    let apart = |site: &mut Site| {
        let decisions = site.scheduler.take_decisions();
        let apart =
            |d: &Decision| matches!(d, Decision::WorkerQuarantined { .. });
        decisions.iter().filter(|d| apart(d)).count()
    };
    assert_eq!(apart(&mut site), 1, "eight of its tasks failed there alone");
    // A job that fails everywhere speaks against itself.
    let mut site = Site::new(THREE);
    site.submit(job("j", 1, vec![step(3, 8, false)], &site));
    site.settle();
    for worker in 0..3 {
        end(&mut site, worker, "j", RunOutcome::Failed);
        site.settle();
    }
    assert_eq!(apart(&mut site), 0, "it failed on all workers alike");
}

#[test]
fn a_last_attempt_is_kept_from_a_worker_in_doubt() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1")]);
    // Something fails on the first worker, and leaves it in doubt.
    site.submit(job("a", 1, vec![step(2, 8, false)], &site));
    site.settle();
    end(&mut site, 0, "a", RunOutcome::Failed);
    site.scheduler.cancel_job("a", site.now);
    site.settle();
    let mut last = job("b", 0, vec![step(2, 8, false)], &site);
    last.max_attempts = 1;
    site.submit(last);
    site.settle();
    assert_eq!(site.workers[0].running.len(), 0, "no second chance there");
    assert_eq!(site.workers[1].running.len(), 1);
    // One at a time, both run where nothing speaks against the worker.
    site.finish_job("b");
    site.settle();
    assert_eq!(site.workers[1].running.len(), 1);
    assert_eq!(site.workers[0].running.len(), 0);
}
