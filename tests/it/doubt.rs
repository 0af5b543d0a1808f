//! Workers that are in doubt, slow workers, and what is told of runs.

use std::time::Duration;

use landingvalve::graph::Decision;
use landingvalve::graph::How;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const THREE: &[(&str, &str)] = &[("w1", "r1"), ("w2", "r1"), ("w3", "r1")];

/// Passes time in steps that keep every agent in touch.
fn pass(site: &mut Site, time: Duration) {
    let tick = Duration::from_millis(500);
    let mut left = time;
    while left > Duration::ZERO {
        let now = left.min(tick);
        site.pass(now);
        site.settle();
        left -= now;
    }
}

/// Ends all that a worker runs of a job.
fn end(site: &mut Site, worker: usize, id: &str, how: How) {
    site.workers[worker].end(how, |r| &*r.task.job == id);
}

#[test]
fn a_worker_on_which_two_jobs_failed_is_kept_apart() {
    let mut site = Site::new(THREE);
    site.submit(job("j", 1, vec![step(3, 8, false)], &site));
    site.settle();
    end(&mut site, 0, "j", How::Failed);
    site.settle();
    pass(&mut site, Duration::from_millis(500));
    // The failed task waits for another worker; a fourth task comes here.
    site.submit(job("k", 0, vec![step(1, 8, false)], &site));
    site.settle();
    end(&mut site, 0, "k", How::Failed);
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
    end(&mut site, 0, "j", How::Failed);
    site.settle();
    let apart = |site: &mut Site| {
        let decisions = site.book.take_decisions();
        let apart = |d: &Decision| matches!(d, Decision::Apart { .. });
        decisions.iter().filter(|d| apart(d)).count()
    };
    assert_eq!(apart(&mut site), 1, "eight of its tasks failed there alone");
    // A job that fails everywhere speaks against itself.
    let mut site = Site::new(THREE);
    site.submit(job("j", 1, vec![step(3, 8, false)], &site));
    site.settle();
    for worker in 0..3 {
        end(&mut site, worker, "j", How::Failed);
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
    end(&mut site, 0, "a", How::Failed);
    site.book.cancel("a", site.now);
    site.settle();
    let mut last = job("b", 0, vec![step(2, 8, false)], &site);
    last.max_attempts = 1;
    site.submit(last);
    site.settle();
    assert_eq!(site.workers[0].running.len(), 0, "no second chance there");
    assert_eq!(site.workers[1].running.len(), 1);
    // One at a time, both run where nothing speaks against the worker.
    site.end_all("b");
    site.settle();
    assert_eq!(site.workers[1].running.len(), 1);
    assert_eq!(site.workers[0].running.len(), 0);
}

/// Returns what a job's first run is expected to take.
fn expected(site: &mut Site, id: &str, declared: Duration) -> Duration {
    site.book.take_decisions();
    let mut step = step(1, 1, false);
    step.estimate = declared;
    site.submit(job(id, 1, vec![step], site));
    site.settle();
    let placed = |decision: &Decision| match decision {
        Decision::Placed { of, expected, .. } if &*of.job == id => {
            Some(*expected)
        }
        _ => None,
    };
    let decisions = site.book.take_decisions();
    let expected = decisions.iter().find_map(placed);
    expected.expect("it is placed")
}

/// Lets runs be done that were declared and took so many milliseconds.
fn learn(site: &mut Site, runs: &[(u64, u64)]) {
    for (round, (declared, took)) in runs.iter().enumerate() {
        let id = format!("learn{round}");
        expected(site, &id, Duration::from_millis(*declared));
        pass(site, Duration::from_millis(*took));
        site.end_all(&id);
        site.settle();
    }
}

#[test]
fn run_times_are_told_from_declared_ones_as_far_as_those_were_borne_out() {
    // Declared, took (ms); then declared, and the least and most expected.
    type Case = (&'static str, &'static [(u64, u64)], u64, (u64, u64));
    let cases: &[Case] = &[
        ("nothing is known", &[], 5000, (5000, 5000)),
        (
            "always twice as long",
            &[(1000, 2000), (2000, 4000), (4000, 8000), (500, 1000)],
            3000,
            (5000, 6500),
        ),
        (
            "what is declared says nothing",
            &[(1000, 3000), (1000, 3000), (1000, 3000), (1000, 3000)],
            1000,
            (2900, 3100),
        ),
        (
            "declared wildly, always alike",
            &[(500, 3000), (9000, 3000), (1000, 3000), (7000, 3000)],
            8000,
            (2900, 3300),
        ),
    ];
    for (name, runs, declared, (least, most)) in cases {
        let mut site = Site::new(THREE);
        learn(&mut site, runs);
        let declared = Duration::from_millis(*declared);
        let expected = expected(&mut site, "next", declared).as_millis();
        let within = u128::from(*least)..=u128::from(*most);
        assert!(within.contains(&expected), "{name}: {expected} ms");
    }
}

#[test]
fn the_runs_of_a_step_tell_of_its_others() {
    let mut site = Site::new(&[("w1", "r1")]);
    site.submit(job("j", 1, vec![step(3, 8, false)], &site));
    site.settle();
    for _ in 0..2 {
        pass(&mut site, Duration::from_secs(1));
        site.end_all("j");
        site.book.take_decisions();
        site.settle();
    }
    let decisions = site.book.take_decisions();
    let expected = decisions.iter().find_map(|decision| match decision {
        Decision::Placed { expected, .. } => Some(*expected),
        _ => None,
    });
    // Declared as 5 s; two have taken 1 s.
    let expected = expected.expect("the third is placed");
    assert!(expected < Duration::from_millis(1700), "{expected:?}");
}
