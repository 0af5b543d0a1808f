//! Cancels that find no job, while a write of the job may still be carried out.

use std::time::Duration;

use landingvalve::cell::admission::CANCELLED_ID_TTL;
use landingvalve::cell::keys;
use landingvalve::cell::Admission;
use landingvalve::cell::Stage;
use landingvalve::cell::Submitted;
use landingvalve::graph::Outcome;
use landingvalve::log;
use landingvalve::store::Mutation;
use landingvalve::store::Store;
use tokio::time::Instant;

use crate::cell::deadline;
use crate::cell::job;
use crate::cell::start_agent;
use crate::cell::wait_for_running;
use crate::cell::wait_for_stage;
use crate::cell::Entry;
use crate::cell::FakeWorker;
use crate::cell::Memory;

/// The time that the caller of an unanswered submission waits. A single write
/// is made in it.
const SHORT_LIMIT: Duration = Duration::from_millis(50);

fn admission(store: &Memory) -> Admission<Memory> {
    Admission::new(store.clone(), log::none())
}

/// Submits a job whose write the store carries out later, without an answer.
async fn submit_late(admission: &Admission<Memory>, store: &Memory, id: &str) {
    store.hold_writes(1);
    let deadline = Instant::now() + SHORT_LIMIT;
    let submitted = admission.submit(&job(id), deadline).await;
    assert_eq!(submitted, Submitted::Unsure);
}

async fn is_cancelled(admission: &Admission<Memory>, id: &str) -> bool {
    admission.cancel(id, deadline()).await.expect("an answer")
}

/// Guards against a job that runs although its cancel was answered with "no
/// such job". The store carried out the write of the job seconds later, after
/// the cancel had found nothing and had left nothing that the write would meet.
#[tokio::test]
async fn a_late_write_of_a_job_that_was_cancelled_starts_nothing() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    let (first, other) = (admission(&store), admission(&store));
    submit_late(&first, &store, "a").await;
    assert!(!is_cancelled(&first, "a").await);
    store.do_held_writes();
    // The same with the cancel at another entry.
    submit_late(&first, &store, "b").await;
    assert!(!is_cancelled(&other, "b").await);
    store.do_held_writes();
    // The planner takes in what was written, in this order.
    first.submit(&job("c"), deadline()).await;
    wait_for_running(&worker, 2).await;
    let mut started = worker.started();
    started.sort();
    assert_eq!(started, ["c.0.0.0 1", "c.0.0.1 1"]);
    agent.abort();
    entry.kill();
}

/// Guards against a job that runs after its cancel, since a submission that
/// still waited for the store wrote it afterwards.
#[tokio::test]
async fn a_cancel_bars_a_submission_that_still_waits() {
    let store = Memory::default();
    let (first, other) = (admission(&store), admission(&store));
    store.hold_writes(1);
    let submitting =
        tokio::spawn(async move { first.submit(&job("a"), deadline()).await });
    let held = || async { (store.call_counts().0 == 1).then_some(()) };
    crate::support::until("the write is sent", held).await;
    assert!(!is_cancelled(&other, "a").await);
    // Its own first write may be carried out late for all that it knows.
    assert_eq!(submitting.await.expect("ends"), Submitted::Unsure);
    let again = other.submit(&job("a"), deadline()).await;
    assert_eq!(again, Submitted::Cancelled);
    store.do_held_writes();
    assert_eq!(other.stage("a", deadline()).await.expect("answers"), None);
}

/// Guards against a cancel that is answered with "no such job" although the job
/// was written between the read and the write of the cancel.
#[tokio::test]
async fn a_cancel_that_meets_the_write_of_its_job_cancels_it() {
    let store = Memory::default();
    let entry = Entry::start("entry", &store).await;
    let admission = admission(&store);
    submit_late(&admission, &store, "a").await;
    store.do_held_writes_before_next();
    assert!(is_cancelled(&admission, "a").await);
    let cancelled = Stage::Ended(Outcome::Cancelled);
    wait_for_stage(&admission, "a", cancelled).await;
    entry.kill();
}

/// Guards against a job that one planner runs and the next one cancels: an
/// entry of an earlier version writes jobs whatever was cancelled before.
#[tokio::test]
async fn a_cancellation_counts_for_a_job_that_is_written_after_it() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    let admission = admission(&store);
    assert!(!is_cancelled(&admission, "a").await);
    let value = serde_json::to_vec(&job("a")).expect("is encoded");
    let put = Mutation::Value(keys::job("a"), value, 0);
    store.swap(&[], vec![put]).await.expect("is written");
    let cancelled = Stage::Ended(Outcome::Cancelled);
    wait_for_stage(&admission, "a", cancelled).await;
    assert_eq!(worker.started(), Vec::<String>::new());
    agent.abort();
    entry.kill();
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_name_can_be_used_again_later() {
    let store = Memory::default();
    let admission = admission(&store);
    assert!(!is_cancelled(&admission, "a").await);
    tokio::time::sleep(CANCELLED_ID_TTL / 2).await;
    // The later cancel holds for as long as the first one did.
    assert!(!is_cancelled(&admission, "a").await);
    tokio::time::sleep(CANCELLED_ID_TTL * 3 / 4).await;
    let submitted = admission.submit(&job("a"), deadline()).await;
    assert_eq!(submitted, Submitted::Cancelled);
    tokio::time::sleep(CANCELLED_ID_TTL / 2).await;
    assert!(!store.has_key(&keys::cancel("a")));
    let submitted = admission.submit(&job("a"), deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
}

/// Guards against a job that is cancelled by a cancellation which had ended
/// before the job was submitted: the planner has read both in one answer.
#[tokio::test]
async fn a_cancellation_that_has_ended_does_not_count() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    let admission = admission(&store);
    admission.submit(&job("b"), deadline()).await;
    wait_for_running(&worker, 2).await;
    let cancel = keys::cancel("a");
    let put = Mutation::Value(cancel.clone(), b"{}".to_vec(), 0);
    let both = vec![put, Mutation::Delete(cancel)];
    store.swap(&[], both).await.expect("is written");
    let submitted = admission.submit(&job("a"), deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
    wait_for_running(&worker, 4).await;
    agent.abort();
    entry.kill();
}

/// Guards against a cancellation that stays in the store for ever: it was
/// carried out after the records of its job had been removed.
#[tokio::test]
async fn a_late_cancel_of_a_job_that_was_removed_leaves_nothing() {
    let store = Memory::default();
    let admission = admission(&store);
    let submitted = admission.submit(&job("a"), deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
    store.hold_writes(u32::MAX);
    let limit = Instant::now() + SHORT_LIMIT;
    admission.cancel("a", limit).await.expect_err("no answer");
    store.hold_writes(0);
    let remove = vec![Mutation::Delete(keys::job("a"))];
    store.swap(&[], remove).await.expect("is removed");
    store.do_held_writes();
    assert!(!store.has_key(&keys::cancel("a")));
}
