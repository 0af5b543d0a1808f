//! Ends that are read after their runs were given up.
//!
//! Guards against ends that are acknowledged and count for nothing: a gang of
//! three attempts began a fourth run with three acknowledged failures behind
//! it.

use std::time::Duration;

use landingvalve::graph::Decision;
use landingvalve::graph::Ended;
use landingvalve::graph::Options;
use landingvalve::graph::Outcome;
use landingvalve::graph::PastLife;
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

/// Starts a gang whose first run has failed, and whose second has failed unread
/// on a silent worker. Returns that worker's index.
fn gang_that_failed_twice() -> (Site, usize) {
    let mut site = gang();
    fail(&mut site);
    site.run_for(Duration::from_secs(1));
    let silent = end_unread(&mut site, RunOutcome::Failed);
    (site, silent)
}

/// Checks that the job has failed and that no run began beyond its attempts.
fn check_failed(site: &mut Site) {
    site.run_for(LEASES_LAPSE);
    assert_eq!(run_count(site), ATTEMPTS);
    assert_eq!(site.outcome("gang"), Some(Outcome::Failed));
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
    let (mut site, silent) = gang_that_failed_twice();
    assert_eq!(run_count(&site), 3, "the unread run was given up");
    answer_again(&mut site, silent);
    fail(&mut site);
    check_failed(&mut site);
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
    check_failed(&mut site);
}

/// Guards against a failure that the next planner reads and does not count,
/// because another one had given up the run.
#[test]
fn a_failure_that_the_next_planner_reads_counts() {
    let (mut site, silent) = gang_that_failed_twice();
    replace_planner(&mut site);
    answer_again(&mut site, silent);
    fail(&mut site);
    check_failed(&mut site);
}

/// Guards against ends that leave no trace in the log.
#[test]
fn an_end_that_is_read_late_is_recorded() {
    let (mut site, silent) = gang_that_failed_twice();
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

/// Guards against a unit that waits for an end that is never to come.
#[test]
fn a_unit_waits_for_unread_ends_only_until_the_leases_have_lapsed() {
    let mut site = gang();
    let silent = [0; 2].map(|_| end_unread(&mut site, RunOutcome::Failed));
    // Their agents are gone as well.
    let [first, second] = silent;
    site.workers.remove(first.max(second));
    site.workers.remove(first.min(second));
    fail(&mut site);
    site.run_for(Duration::from_secs(8));
    assert_eq!(site.running("gang"), 0, "the leases have not lapsed");
    site.run_for(LEASES_LAPSE);
    assert_eq!(site.outcome("gang"), None);
    assert_eq!(site.running("gang"), 3);
}

/// Guards against a unit that waits for the end of a worker that has restarted.
#[test]
fn a_unit_does_not_wait_for_a_life_that_is_over() {
    let mut site = gang();
    let silent = [0; 2].map(|_| end_unread(&mut site, RunOutcome::Failed));
    fail(&mut site);
    site.run_for(Duration::from_secs(1));
    assert_eq!(site.running("gang"), 0);
    for index in silent {
        let worker = &mut site.workers[index];
        worker.life += 1;
        worker.last_end = 0;
        worker.acknowledged = 0;
        worker.unread.clear();
        worker.unresponsive = false;
    }
    site.run_for(Duration::from_secs(1));
    assert_eq!(site.running("gang"), 3);
}

/// Guards against a unit that waits although the unread runs have not failed.
#[test]
fn a_unit_begins_as_soon_as_an_unread_run_is_known_not_to_have_failed() {
    let mut site = gang();
    let silent = [0; 2].map(|_| end_unread(&mut site, RunOutcome::Stopped));
    fail(&mut site);
    site.run_for(Duration::from_secs(1));
    assert_eq!(site.running("gang"), 0);
    answer_again(&mut site, silent[0]);
    site.run_for(Duration::from_millis(500));
    assert_eq!(site.running("gang"), 3);
}

/// Guards against failures that are counted once by each planner that reads
/// them.
#[test]
fn a_late_failure_that_two_planners_read_counts_once() {
    let mut site = gang();
    let silent = end_unread(&mut site, RunOutcome::Failed);
    let worker = &mut site.workers[silent];
    worker.unresponsive = false;
    worker.ended.append(&mut worker.unread);
    let report = worker.report();
    site.scheduler.apply_report(report, site.now);
    site.write_progress();
    replace_planner(&mut site);
    let progress = site.scheduler.progress("gang").expect("it is known");
    let failed: Vec<u32> = progress.units.values().map(|u| u.failed).collect();
    assert_eq!(failed, [1]);
}

/// Guards against a failure that a record of the former version holds and that
/// counts again, and against a late one that it does not hold.
#[test]
fn a_record_without_the_failed_runs_counts_each_failure_once() {
    for (run, failed) in [(1, 2), (2, 1)] {
        let mut site = gang();
        fail(&mut site);
        site.run_for(Duration::from_secs(1));
        fail(&mut site);
        site.run_for(Duration::from_secs(1));
        // The former version read the failure of run 1 late.
        let mut progress = site
            .scheduler
            .progress("gang")
            .cloned()
            .expect("it has begun");
        for unit in progress.units.values_mut() {
            assert_eq!((unit.failed, unit.counted), (2, 2));
            unit.failed = 1;
            unit.failed_runs.clear();
        }
        site.scheduler = Scheduler::new(Options::default(), site.now);
        let job = job("gang", 1, vec![step(3, 8, true)], &site);
        site.scheduler.accept_job(job, Some(progress), site.now);
        let worker = &mut site.workers[0];
        worker.last_end += 1;
        worker.ended.push(Ended {
            number: worker.last_end,
            task: "gang.0.0.0".parse().expect("a task"),
            run,
            how: RunOutcome::Failed,
            saved: String::new(),
        });
        site.settle();
        let progress = site.scheduler.progress("gang").expect("it is known");
        let units = progress.units.values();
        let counted: Vec<u32> = units.map(|unit| unit.failed).collect();
        assert_eq!(counted, [failed], "run {run}");
    }
}

/// Guards against a run that is stopped, or a result that is thrown away,
/// because of an earlier run's failure.
#[test]
fn a_run_at_work_goes_on_when_an_earlier_failure_is_read() {
    let mut site = gang();
    let silent = [0; 2].map(|_| end_unread(&mut site, RunOutcome::Failed));
    for index in silent {
        answer_again(&mut site, index);
    }
    assert_eq!(site.running("gang"), 3);
    site.finish_job("gang");
    site.settle();
    assert_eq!(site.outcome("gang"), Some(Outcome::Succeeded));
}

/// Guards against work that is done again because the checkpoint of a run came
/// with an end that was read late.
#[test]
fn the_checkpoint_of_an_end_that_is_read_late_is_used() {
    let mut site = gang();
    let silent = [0; 2].map(|_| end_unread(&mut site, RunOutcome::Stopped));
    fail(&mut site);
    site.run_for(Duration::from_secs(1));
    let last = &mut site.workers[silent[1]];
    last.unread[0].saved = "checkpoint".to_owned();
    answer_again(&mut site, silent[1]);
    site.run_for(Duration::from_millis(500));
    let progress = site.scheduler.progress("gang").expect("it is known");
    let from: Vec<&str> =
        progress.units.values().map(|unit| &*unit.from).collect();
    assert_eq!(from, ["checkpoint"]);
}

/// Guards against a unit that begins again where a run has failed unread.
#[test]
fn a_worker_on_which_a_run_failed_unread_is_avoided() {
    let mut site = gang();
    let silent = end_unread(&mut site, RunOutcome::Failed);
    answer_again(&mut site, silent);
    let before = site.workers[silent].started_runs.len();
    fail(&mut site);
    site.run_for(Duration::from_secs(1));
    assert_eq!(site.running("gang"), 3);
    assert_eq!(site.workers[silent].started_runs.len(), before);
}

/// Guards against the failure of a task that was given up with its worker's
/// leases, and that counts for nothing when the worker answers again.
#[test]
fn a_failure_that_is_read_after_the_leases_have_lapsed_counts() {
    let mut site = Site::new(&WORKERS[..4]);
    site.submit(job("task", 1, vec![step(1, 8, false)], &site));
    site.settle();
    let index = running_on(&site)[0];
    let mut away = site.workers.remove(index);
    away.end(RunOutcome::Failed, |_| true);
    site.run_for(LEASES_LAPSE);
    assert_eq!(site.running("task"), 1, "it has begun elsewhere");
    site.workers.push(away);
    site.settle();
    let progress = site.scheduler.progress("task").expect("it is known");
    let failed: Vec<u32> = progress.units.values().map(|u| u.failed).collect();
    assert_eq!(failed, [1]);
    assert_eq!(site.running("task"), 1, "the further run goes on");
}

/// Guards against a late failure that a saved report holds and that counts for
/// nothing, because the run was given up.
#[test]
fn a_late_failure_in_a_saved_report_counts() {
    let mut site = gang();
    let silent = end_unread(&mut site, RunOutcome::Failed);
    let worker = &mut site.workers[silent];
    worker.unresponsive = false;
    worker.ended.append(&mut worker.unread);
    let saved = worker.report();
    let agent = worker.agent.clone();
    let sent = site.now.monotonic;
    site.scheduler
        .apply_inquiry(&agent, Some(saved), sent, site.now);
    let progress = site.scheduler.progress("gang").expect("it is known");
    let failed: Vec<u32> = progress.units.values().map(|u| u.failed).collect();
    assert_eq!(failed, [1]);
}

/// Guards against a gang that begins again, or goes on, although an earlier run
/// was done: its workers were silent until their leases had lapsed.
#[test]
fn a_gang_that_was_done_unread_is_done() {
    let mut site = gang();
    let mut away: Vec<_> = running_on(&site)
        .into_iter()
        .rev()
        .map(|index| site.workers.remove(index))
        .collect();
    site.run_for(LEASES_LAPSE);
    assert_eq!(site.running("gang"), 3, "it has begun elsewhere");
    for worker in &mut away {
        worker.end(RunOutcome::Done, |_| true);
    }
    site.workers.push(away.remove(0));
    site.run_for(Duration::from_secs(1));
    assert_eq!(site.outcome("gang"), Some(Outcome::Succeeded));
    assert_eq!(site.running("gang"), 0, "the later run is stopped");
}

/// Guards against a store call for each report, because two workers report
/// different checkpoints of one run of a gang again and again.
#[test]
fn a_past_life_s_checkpoint_is_stored_once() {
    let mut site = gang();
    let workers = running_on(&site);
    for (number, index) in workers.iter().enumerate() {
        let worker = &mut site.workers[*index];
        worker.end(RunOutcome::Stopped, |_| true);
        worker.ended[0].saved = format!("checkpoint {number}");
        worker.past_life = Some(PastLife {
            life: format!("{}-{}", worker.agent, worker.life).into(),
            begun: Vec::new(),
            short: Vec::new(),
            unseen: false,
            over: false,
            ended: std::mem::take(&mut worker.ended),
        });
        worker.life += 1;
        worker.last_end = 0;
    }
    site.settle();
    for index in workers {
        let report = site.workers[index].report();
        site.scheduler.apply_report(report, site.now);
    }
    assert!(!site.scheduler.is_dirty(), "nothing new was reported");
}
