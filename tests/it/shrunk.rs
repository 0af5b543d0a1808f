//! Workers whose capacity shrinks and grows while they run.
//!
//! Guards against starts and reservations that no longer fit because a worker
//! has lost accelerators since the decision.

use std::time::Duration;

use landingvalve::cell::Admission;
use landingvalve::graph::Job;
use landingvalve::graph::Options;
use landingvalve::graph::Outcome;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Scheduler;
use landingvalve::log;

use crate::cell;
use crate::cell::deadline;
use crate::cell::start_agent;
use crate::cell::wait_for_running;
use crate::cell::wait_for_stage;
use crate::cell::Entry;
use crate::cell::FakeWorker;
use crate::cell::Memory;
use crate::cell::SUCCEEDED;
use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;
use crate::support::until;

const TWO_WORKERS: &[(&str, &str)] = &[("w1", "r1"), ("w2", "r1")];

/// Applies a report of every worker.
fn apply_reports(site: &mut Site) {
    for index in 0..site.workers.len() {
        let report = site.workers[index].report();
        site.scheduler.apply_report(report, site.now);
    }
}

/// Returns the indices of the workers that have orders to start something.
fn workers_with_starts(site: &mut Site) -> Vec<usize> {
    let agents: Vec<_> =
        site.workers.iter().map(|w| w.agent.clone()).collect();
    let orders = agents.iter().map(|agent| site.scheduler.orders(agent));
    let starts: Vec<usize> = orders.map(|o| o.starts.len()).collect();
    (0..starts.len())
        .filter(|index| starts[*index] > 0)
        .collect()
}

/// Replaces the scheduler by that of a new planner.
fn replace_planner(site: &mut Site, job: &Job) {
    let progress = site.scheduler.progress(&job.id).cloned();
    site.scheduler = Scheduler::new(Options::default(), site.now);
    site.scheduler.accept_job(job.clone(), progress, site.now);
}

#[test]
fn an_unconfirmed_start_is_withdrawn_if_its_worker_shrinks() {
    for taken_over in [false, true] {
        let mut site = Site::new(TWO_WORKERS);
        let wide = job("wide", 1, vec![step(1, 8, false)], &site);
        site.submit(wide.clone());
        apply_reports(&mut site);
        site.schedule();
        site.write_progress();
        let index = workers_with_starts(&mut site)[0];
        // The order is lost, and the worker shrinks.
        site.workers[index].capacity.accelerators = 4;
        if taken_over {
            replace_planner(&mut site, &wide);
        }
        apply_reports(&mut site);
        site.schedule();
        site.write_progress();
        let agent = site.workers[index].agent.clone();
        let orders = site.scheduler.orders(&agent);
        assert!(orders.starts.is_empty(), "taken over: {taken_over}");
        assert_eq!(orders.stops.len(), 1, "taken over: {taken_over}");
    }
}

#[test]
fn runs_continue_beyond_a_reduced_capacity_and_nothing_is_added() {
    let mut site = Site::new(&[("w1", "r1")]);
    site.submit(job("a", 1, vec![step(6, 1, false)], &site));
    site.settle();
    for accelerators in [4, 2, 0, 4] {
        site.workers[0].capacity.accelerators = accelerators;
        site.submit(job(
            &format!("b{accelerators}"),
            1,
            vec![step(1, 1, false)],
            &site,
        ));
        site.run_for(Duration::from_secs(2));
        assert_eq!(site.running("a"), 6, "{accelerators} accelerators");
        assert_eq!(site.workers[0].running.len(), 6);
    }
    // Returned accelerators are used at once.
    site.workers[0].capacity.accelerators = 8;
    site.settle();
    assert_eq!(site.workers[0].running.len(), 8);
}

#[test]
fn a_reservation_that_can_no_longer_suffice_is_released() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1"), ("w3", "r1")]);
    // Each of the three workers is busy for a different time.
    for index in 0..3 {
        let mut long = step(1, 8, false);
        long.label = Some(site.workers[index].agent.clone());
        site.workers[index].labels = vec![site.workers[index].agent.clone()];
        long.estimate = Duration::from_secs(1 + 20 * index as u64);
        site.submit(job(&format!("long{index}"), 1, vec![long], &site));
    }
    site.settle();
    // The pair would fit on one worker once that worker is free.
    let mut pair = step(2, 4, true);
    pair.same_rack = false;
    site.submit(job("pair", 1, vec![pair], &site));
    site.run_for(Duration::from_secs(2));
    // The reserved worker shrinks, so that only one task of the pair fits.
    site.workers[0].capacity.accelerators = 4;
    site.finish_job("long0");
    site.run_for(Duration::from_secs(1));
    site.finish_job("long1");
    site.run_for(Duration::from_secs(3));
    assert_eq!(site.running("pair"), 2, "there is room for the pair");
    site.finish_job("pair");
    site.settle();
    assert_eq!(site.outcome("pair"), Some(Outcome::Succeeded));
}

#[tokio::test]
async fn an_agent_starts_nothing_on_a_worker_that_has_shrunk() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    admission.submit(&cell::job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    // Starts are not answered for a while. Then the planner is lost, and the
    // worker, which does not enforce its capacity, only has room for the tasks
    // that are running.
    worker.leave_starts_unanswered(u32::MAX);
    admission.submit(&cell::job("b"), deadline()).await;
    let attempted =
        || async { (worker.unanswered_starts() > 0).then_some(()) };
    until("a start is attempted", attempted).await;
    entry.kill();
    worker.set_accelerators(2);
    let sent = worker.heartbeats();
    let reported =
        || async { (worker.heartbeats() >= sent + 2).then_some(()) };
    until("the agent learns of the new capacity", reported).await;
    worker.leave_starts_unanswered(0);
    let polled = worker.polls();
    let later = || async { (worker.polls() >= polled + 10).then_some(()) };
    until("several polls", later).await;
    assert_eq!(worker.started().len(), 2, "{:?}", worker.started());
    // Once there is room and a planner again, the other job starts.
    worker.set_accelerators(8);
    let entry = Entry::start("other", &store).await;
    wait_for_running(&worker, 4).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    wait_for_stage(&admission, "b", SUCCEEDED).await;
    agent.abort();
    entry.kill();
}
