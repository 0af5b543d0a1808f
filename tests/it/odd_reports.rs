//! Heartbeats and answers that are not from the worker, or that no worker can
//! send.

use std::time::Duration;

use landingvalve::cell::member::Heartbeat;
use landingvalve::cell::member::Member;
use landingvalve::cell::worker::WorkerTime;
use landingvalve::cell::Admission;
use landingvalve::graph::Resources;
use landingvalve::graph::RunOutcome;
use landingvalve::log;
use tokio::task::JoinHandle;

use crate::cell::deadline;
use crate::cell::heartbeat;
use crate::cell::job;
use crate::cell::member;
use crate::cell::start_agent;
use crate::cell::wait_for_running;
use crate::cell::wait_for_stage;
use crate::cell::Entry;
use crate::cell::FakeWorker;
use crate::cell::Memory;
use crate::cell::SUCCEEDED;
use crate::support::until;

/// The sequence of a writer that has reported each 1.5 s for two hours.
const FOREIGN_SEQUENCE: u64 = 4800;
/// The interval between the worker's own heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Returns a heartbeat of another writer that leaves the worker no room.
fn foreign(worker: &FakeWorker, sequence: u64) -> Heartbeat {
    Heartbeat {
        capacity: Resources::default(),
        ..heartbeat(worker, sequence)
    }
}

/// Runs an agent and sends the worker's own heartbeats to it, from a sequence
/// on.
fn run(
    agent: &Member<FakeWorker, Memory>,
    worker: &FakeWorker,
    first: u64,
) -> JoinHandle<()> {
    let (agent, worker) = (agent.clone(), worker.clone());
    tokio::spawn(async move {
        let heartbeats = async {
            let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL);
            for sequence in first.. {
                agent.heartbeat(heartbeat(&worker, sequence));
                interval.tick().await;
            }
        };
        tokio::join!(agent.run(), heartbeats);
    })
}

/// Submits a job of two tasks and waits until both have run.
async fn run_job(id: &str, store: &Memory, worker: &FakeWorker) {
    let admission = Admission::new(store.clone(), log::none());
    admission.submit(&job(id), deadline()).await;
    wait_for_running(worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, id, SUCCEEDED).await;
}

#[tokio::test]
async fn one_report_that_is_far_ahead_does_not_keep_work_from_the_worker() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let entry = Entry::start("entry", &store).await;
    let agent = member("agent", &store, &worker);
    let running = run(&agent, &worker, 1);
    run_job("a", &store, &worker).await;
    agent.heartbeat(foreign(&worker, FOREIGN_SEQUENCE));
    run_job("b", &store, &worker).await;
    running.abort();
    entry.kill();
}

#[tokio::test]
async fn a_report_that_comes_before_the_worker_s_own_does_not_shut_them_out() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let entry = Entry::start("entry", &store).await;
    let agent = member("agent", &store, &worker);
    agent.heartbeat(foreign(&worker, FOREIGN_SEQUENCE));
    let running = run(&agent, &worker, 1);
    run_job("a", &store, &worker).await;
    running.abort();
    entry.kill();
}

/// Guards against an agent that ends: the end of a lease did not fit beside
/// such a time.
#[tokio::test]
async fn an_agent_survives_a_worker_s_clock_at_its_end() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    run_job("a", &store, &worker).await;
    worker.set_time(Some(WorkerTime::MAX));
    run_job("b", &store, &worker).await;
    worker.set_time(None);
    run_job("c", &store, &worker).await;
    agent.abort();
    entry.kill();
}

/// Guards against a worker that gets no work for good: a report without its
/// birth came first, and the worker's own counted as those of another life.
#[tokio::test]
async fn a_report_without_a_birth_does_not_shut_out_those_with_one() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let entry = Entry::start("entry", &store).await;
    let agent = member("agent", &store, &worker);
    let unborn = Heartbeat {
        life: "life".into(),
        pool: "elsewhere".into(),
        ..heartbeat(&worker, 1)
    };
    agent.heartbeat(unborn.clone());
    let running = tokio::spawn({
        let agent = agent.clone();
        async move { agent.run().await }
    });
    let answered = || async { (worker.polls() >= 2).then_some(()) };
    until("the worker answers", answered).await;
    running.abort();
    let running = run(&agent, &worker, 1);
    run_job("a", &store, &worker).await;
    agent.heartbeat(unborn);
    run_job("b", &store, &worker).await;
    assert_eq!(worker.started().len(), 4, "{:?}", worker.started());
    running.abort();
    entry.kill();
}

/// Guards against a worker that gets no work for good: one report of another
/// writer said that it leaves, and all of its own say that it does not.
#[tokio::test]
async fn one_report_that_the_worker_leaves_does_not_keep_work_from_it() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let entry = Entry::start("entry", &store).await;
    let agent = member("agent", &store, &worker);
    agent.heartbeat(Heartbeat {
        leaving: true,
        ..heartbeat(&worker, 1)
    });
    let running = run(&agent, &worker, 2);
    run_job("a", &store, &worker).await;
    running.abort();
    entry.kill();
}
