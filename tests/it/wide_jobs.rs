//! Jobs with so many tasks that their progress is stored in parts.

use std::time::Duration;

use landingvalve::cell::Admission;
use landingvalve::cell::Submitted;
use landingvalve::graph::Job;
use landingvalve::graph::RunOutcome;
use landingvalve::log;

use crate::cell::deadline;
use crate::cell::job;
use crate::cell::start_agent_named;
use crate::cell::wait_for_running;
use crate::cell::wait_for_stage;
use crate::cell::Entry;
use crate::cell::FakeWorker;
use crate::cell::Memory;
use crate::cell::SUCCEEDED;

/// The tasks of a job whose progress is stored in parts.
const TASKS: usize = 1200;
/// The largest value that the store takes, in bytes: less than the progress of
/// such a job.
const MAX_VALUE_BYTES: usize = 80 * 1024;
/// The length of the workers' leases.
const LEASE: Duration = Duration::from_secs(6);

/// Returns a job of small tasks.
fn wide_job(id: &str, tasks: usize) -> Job {
    let mut job = job(id);
    job.steps[0].replicas = tasks as u32;
    job.steps[0].resources.cpu = 10;
    job.steps[0].resources.memory = 1;
    job.steps[0].resources.accelerators = 0;
    job
}

async fn submit(admission: &Admission<Memory>, job: &Job) {
    let submitted = admission.submit(job, deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
}

/// Guards against a planner that stands still for all jobs. The progress of a
/// wide job was one value, which outgrew the store once a worker was lost, and
/// the planner repeated that write for ever.
#[tokio::test]
async fn a_wide_job_ends_after_a_crash_and_a_takeover() {
    let store = Memory::default();
    store.limit_values(MAX_VALUE_BYTES);
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let first = Entry::start("first", &store).await;
    let agent = start_agent_named("agent", LEASE, &store, &worker);
    submit(&admission, &wide_job("a", TASKS)).await;
    wait_for_running(&worker, TASKS).await;
    worker.restart();
    wait_for_running(&worker, TASKS).await;
    first.kill();
    let second = Entry::start("second", &store).await;
    submit(&admission, &wide_job("b", 1)).await;
    wait_for_running(&worker, TASKS + 1).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    wait_for_stage(&admission, "b", SUCCEEDED).await;
    let started = worker.started();
    assert_eq!(started.len(), 2 * TASKS + 1, "started again");
    assert!(started.contains(&"a.0.0.7 2".to_owned()));
    assert!(store.largest_value() <= MAX_VALUE_BYTES);
    agent.abort();
    second.kill();
}

/// Guards against a planner that stands still for all jobs, since the store
/// does not take the record of one of them.
#[tokio::test]
async fn a_record_that_the_store_does_not_take_stops_no_other_job() {
    let store = Memory::default();
    store.limit_values(1000);
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent_named("agent", LEASE, &store, &worker);
    submit(&admission, &wide_job("a", 40)).await;
    submit(&admission, &wide_job("b", 2)).await;
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "b", SUCCEEDED).await;
    let mut started = worker.started();
    started.sort();
    assert_eq!(started, ["b.0.0.0 1", "b.0.0.1 1"]);
    // The store takes the cancellation, which needs no units.
    assert!(admission.cancel("a", deadline()).await.expect("answers"));
    agent.abort();
    entry.kill();
}
