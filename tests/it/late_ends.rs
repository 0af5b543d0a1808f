//! Ends that are read after their runs were given up.
//!
//! Guards against ends that are acknowledged and count for nothing: a gang of
//! three attempts began a fourth run with three acknowledged failures behind
//! it.

use std::time::Duration;

use landingvalve::graph::Decision;
use landingvalve::graph::Options;
use landingvalve::graph::Outcome;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Scheduler;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

/// The runs that may fail before a job of [`job`] has failed.
const ATTEMPTS: usize = 3;
/// The longest that a lease may last that nobody renews, with a margin.
const LEASES_LAPSE: Duration = Duration::from_secs(14);
/// The time after which a broken gang is given up if its worker is silent.
const GIVEN_UP: Duration = Duration::from_millis(500);

const WORKERS: &[(&str, &str)] = &[
    ("w1", "r1"),
    ("w2", "r1"),
    ("w3", "r1"),
    ("w4", "r2"),
    ("w5", "r2"),
    ("w6", "r2"),
    ("w7", "r3"),
    ("w8", "r3"),
    ("w9", "r3"),
    ("w10", "r4"),
    ("w11", "r4"),
    ("w12", "r4"),
];

/// Starts a gang of three whole workers.
fn gang() -> Site {
    let mut site = Site::new(WORKERS);
    site.submit(job("gang", 1, vec![step(3, 8, true)], &site));
    site.settle();
    assert_eq!(running_on(&site).len(), 3);
    site
}

/// Returns the indices of the responsive workers that run something.
fn running_on(site: &Site) -> Vec<usize> {
    let workers = site.workers.iter().enumerate();
    let busy =
        workers.filter(|(_, w)| !w.unresponsive && !w.running.is_empty());
    busy.map(|(index, _)| index).collect()
}

/// Lets a member of the gang's run fail, and the others end with it.
fn fail(site: &mut Site) {
    let workers = running_on(site);
    site.workers[workers[0]].end(RunOutcome::Failed, |_| true);
    for index in &workers[1..] {
        site.workers[*index].end(RunOutcome::Broken, |_| true);
    }
}

/// Ends the gang's run by a member whose worker falls silent, and waits until
/// the run is given up. Returns that worker's index.
fn end_unread(site: &mut Site, outcome: RunOutcome) -> usize {
    let workers = running_on(site);
    let silent = &mut site.workers[workers[0]];
    // The reports that still come list the member as running.
    silent.unresponsive = true;
    for index in &workers[1..] {
        site.workers[*index].end(RunOutcome::Broken, |_| true);
    }
    site.run_for(GIVEN_UP);
    site.workers[workers[0]].end(outcome, |_| true);
    // The agent cannot read the end.
    let worker = &mut site.workers[workers[0]];
    worker.unread = std::mem::take(&mut worker.ended);
    workers[0]
}

/// Lets a silent worker answer again.
fn answer_again(site: &mut Site, index: usize) {
    let worker = &mut site.workers[index];
    worker.unresponsive = false;
    worker.ended.append(&mut worker.unread);
    site.settle();
}

/// Returns how many runs of the gang have begun.
fn run_count(site: &Site) -> usize {
    let started = site.workers.iter().flat_map(|w| &w.started_runs);
    started.filter(|run| run.starts_with("gang.0.0.0 ")).count()
}

/// Replaces the scheduler by that of a new planner.
fn replace_planner(site: &mut Site) {
    let progress = site.scheduler.progress("gang").cloned();
    site.scheduler = Scheduler::new(Options::default(), site.now);
    let gang = job("gang", 1, vec![step(3, 8, true)], site);
    site.scheduler.accept_job(gang, progress, site.now);
    site.settle();
}

#[test]
fn failures_that_are_read_at_once_end_the_job() {
    let mut site = gang();
    for _ in 0..ATTEMPTS {
        fail(&mut site);
        site.run_for(Duration::from_secs(1));
    }
    assert_eq!(site.outcome("gang"), Some(Outcome::Failed));
    assert_eq!(run_count(&site), ATTEMPTS);
}

/// Guards against a run beyond the allowed attempts because a failure was read
/// after its run had been given up.
#[test]
fn a_failure_that_is_read_after_its_run_was_given_up_counts() {
    let mut site = gang();
    fail(&mut site);
    site.run_for(Duration::from_secs(1));
    let silent = end_unread(&mut site, RunOutcome::Failed);
    assert_eq!(run_count(&site), 3, "the unread run was given up");
    answer_again(&mut site, silent);
    fail(&mut site);
    site.run_for(LEASES_LAPSE);
    assert_eq!(run_count(&site), ATTEMPTS);
    assert_eq!(site.outcome("gang"), Some(Outcome::Failed));
}

/// Guards against a run beyond the allowed attempts while it is not known how
/// earlier runs have ended.
#[test]
fn no_run_begins_beyond_the_attempts_that_may_have_failed() {
    let mut site = gang();
    let silent = [0; 2].map(|_| end_unread(&mut site, RunOutcome::Failed));
    fail(&mut site);
    site.run_for(Duration::from_secs(2));
    for index in silent {
        answer_again(&mut site, index);
    }
    site.run_for(LEASES_LAPSE);
    assert_eq!(run_count(&site), ATTEMPTS);
    assert_eq!(site.outcome("gang"), Some(Outcome::Failed));
}

/// Guards against a failure that the next planner reads and does not count,
/// because another one had given up the run.
#[test]
fn a_failure_that_the_next_planner_reads_counts() {
    let mut site = gang();
    fail(&mut site);
    site.run_for(Duration::from_secs(1));
    let silent = end_unread(&mut site, RunOutcome::Failed);
    replace_planner(&mut site);
    answer_again(&mut site, silent);
    fail(&mut site);
    site.run_for(LEASES_LAPSE);
    assert_eq!(run_count(&site), ATTEMPTS);
    assert_eq!(site.outcome("gang"), Some(Outcome::Failed));
}

/// Guards against ends that leave no trace in the log.
#[test]
fn an_end_that_is_read_late_is_recorded() {
    let mut site = gang();
    fail(&mut site);
    site.run_for(Duration::from_secs(1));
    let silent = end_unread(&mut site, RunOutcome::Failed);
    answer_again(&mut site, silent);
    let decisions = site.scheduler.take_decisions();
    let given_up = |d: &&Decision| matches!(d, Decision::Ended { run: 2, end, .. } if *end == "ended unread");
    assert_eq!(decisions.iter().filter(given_up).count(), 1);
    let late = |d: &&Decision| {
        matches!(
            d,
            Decision::LateEnd {
                run: 2,
                end: "failed",
                latest_run: Some(3),
                failed: Some(1),
                ..
            }
        )
    };
    assert_eq!(decisions.iter().filter(late).count(), 1);
}
