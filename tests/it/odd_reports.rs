//! Heartbeats and answers that are not from the worker, or that no worker can
//! send.

use landingvalve::cell::worker::WorkerTime;
use landingvalve::cell::Admission;
use landingvalve::graph::RunOutcome;
use landingvalve::log;

use crate::cell::deadline;
use crate::cell::job;
use crate::cell::start_agent;
use crate::cell::wait_for_running;
use crate::cell::wait_for_stage;
use crate::cell::Entry;
use crate::cell::FakeWorker;
use crate::cell::Memory;
use crate::cell::SUCCEEDED;

/// Submits a job of two tasks and waits until both have run.
async fn run_job(id: &str, store: &Memory, worker: &FakeWorker) {
    let admission = Admission::new(store.clone(), log::none());
    admission.submit(&job(id), deadline()).await;
    wait_for_running(worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, id, SUCCEEDED).await;
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
