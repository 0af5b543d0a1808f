//! Estimates of run times from earlier runs.
//!
//! Guards against estimates that are distorted by runs whose start the planner
//! did not observe, by wide steps, or by wrong declarations.

use std::time::Duration;

use landingvalve::graph::Decision;
use landingvalve::graph::Options;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Scheduler;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const THREE_WORKERS: &[(&str, &str)] =
    &[("w1", "r1"), ("w2", "r1"), ("w3", "r1")];

/// Submits a job with a declared run time; returns the expected time of its
/// first run.
fn expected_time(site: &mut Site, id: &str, declared: Duration) -> Duration {
    site.scheduler.take_decisions();
    let mut step = step(1, 1, false);
    step.estimate = declared;
    site.submit(job(id, 1, vec![step], site));
    site.settle();
    let placed = |decision: &Decision| match decision {
        Decision::Placed {
            subject, expected, ..
        } if &*subject.job == id => Some(*expected),
        _ => None,
    };
    let decisions = site.scheduler.take_decisions();
    let expected = decisions.iter().find_map(placed);
    expected.expect("the job is placed")
}

/// Completes runs, each with its declared and its actual time in ms.
fn complete_runs(site: &mut Site, runs: &[(u64, u64)]) {
    for (round, (declared, took)) in runs.iter().enumerate() {
        let id = format!("learn{round}");
        expected_time(site, &id, Duration::from_millis(*declared));
        site.run_for(Duration::from_millis(*took));
        site.finish_job(&id);
        site.settle();
    }
}

#[test]
fn runs_ordered_by_an_earlier_planner_do_not_change_estimates() {
    let mut site = Site::new(&[("w1", "r1")]);
    let jobs: Vec<_> = (0..5)
        .map(|n| job(&format!("j{n}"), 1, vec![step(1, 1, false)], &site))
        .collect();
    for job in &jobs {
        site.submit(job.clone());
    }
    site.settle();
    site.run_for(Duration::from_secs(4));
    // Another planner takes over just before they end.
    let mut next = Scheduler::new(Options::default(), site.now);
    for job in jobs {
        let progress = site.scheduler.progress(&job.id).cloned();
        next.accept_job(job, progress, site.now);
    }
    site.scheduler = next;
    site.settle();
    site.advance(Duration::from_millis(500));
    site.workers[0].end(RunOutcome::Done, |_| true);
    site.settle();
    let declared = Duration::from_secs(5);
    assert_eq!(expected_time(&mut site, "next", declared), declared);
}

#[test]
fn a_wide_step_counts_as_much_as_a_narrow_one() {
    let mut site = Site::new(&[("w1", "r1")]);
    let mut run = |id: &str, wide: u32, took: Duration| {
        site.submit(job(id, 1, vec![step(wide, 1, false)], &site));
        site.settle();
        site.run_for(took);
        site.finish_job(id);
        site.settle();
    };
    // One wide job takes 1 s, and five narrow ones take 4 s each.
    for number in 0..5 {
        run(&format!("n{number}"), 1, Duration::from_secs(4));
    }
    run("wide", 8, Duration::from_secs(1));
    let declared = Duration::from_secs(5);
    let expected = expected_time(&mut site, "next", declared);
    assert!(expected > Duration::from_millis(2500), "{expected:?}");
}

#[test]
fn declared_times_count_as_far_as_earlier_runs_confirmed_them() {
    // The declared and actual times of earlier runs; then the declared time of
    // the next run with the least and greatest expected time; all in ms.
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
            "always 3 s, declared as 1 s",
            &[(1000, 3000), (1000, 3000), (1000, 3000), (1000, 3000)],
            1000,
            (2900, 3100),
        ),
        (
            "always 3 s, declared at random",
            &[(500, 3000), (9000, 3000), (1000, 3000), (7000, 3000)],
            8000,
            (2900, 3300),
        ),
    ];
    for (name, runs, declared, (least, most)) in cases {
        let mut site = Site::new(THREE_WORKERS);
        complete_runs(&mut site, runs);
        let declared = Duration::from_millis(*declared);
        let expected = expected_time(&mut site, "next", declared).as_millis();
        let within = u128::from(*least)..=u128::from(*most);
        assert!(within.contains(&expected), "{name}: {expected} ms");
    }
}

#[test]
fn runs_of_a_step_change_the_estimates_of_its_other_tasks() {
    let mut site = Site::new(&[("w1", "r1")]);
    site.submit(job("j", 1, vec![step(3, 8, false)], &site));
    site.settle();
    for _ in 0..2 {
        site.run_for(Duration::from_secs(1));
        site.finish_job("j");
        site.scheduler.take_decisions();
        site.settle();
    }
    let decisions = site.scheduler.take_decisions();
    let expected = decisions.iter().find_map(|decision| match decision {
        Decision::Placed { expected, .. } => Some(*expected),
        _ => None,
    });
    // The tasks are declared as 5 s, and two have taken 1 s.
    let expected = expected.expect("the third is placed");
    assert!(expected < Duration::from_millis(1700), "{expected:?}");
}
