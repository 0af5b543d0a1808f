//! Calls that reach an entry of another site.
//!
//! Guards against a job that counts as done without having begun. An entry had
//! ended, and an entry of another site served at its address. An agent that
//! still tried the address was taken for the agent of the same name there, and
//! the ends that it listed ended the other site's tasks.

use landingvalve::cell::claim::Holder;
use landingvalve::cell::keys;
use landingvalve::cell::Admission;
use landingvalve::cell::Stage;
use landingvalve::graph::RunOutcome;
use landingvalve::log;
use landingvalve::store::Mutation;
use landingvalve::store::Store;

use crate::cell::deadline;
use crate::cell::job;
use crate::cell::start_agent;
use crate::cell::wait_for_running;
use crate::cell::wait_for_stage;
use crate::cell::Entry;
use crate::cell::FakeWorker;
use crate::cell::Memory;
use crate::cell::SUCCEEDED;
use crate::support::until;

/// Starts a site that runs the job "a".
async fn busy_site() -> (Memory, FakeWorker, Entry, tokio::task::JoinHandle<()>)
{
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    let admission = Admission::new(store.clone(), log::none());
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    (store, worker, entry, agent)
}

#[tokio::test]
async fn report_of_another_site_s_agent_ends_nothing() {
    let (store, worker, entry, agent) = busy_site().await;
    let (other_store, other_worker, other_entry, other_agent) =
        busy_site().await;
    other_entry.kill();
    other_worker.end_all(RunOutcome::Done);
    // The other site's agent takes this entry for its planner.
    let holder = Holder {
        process: "entry".to_owned(),
        address: entry.address().to_string(),
        life: "ended".to_owned(),
        cores: 1.0,
    };
    let value = serde_json::to_vec(&holder).expect("is written");
    let put = Mutation::Value(keys::CLAIM.to_owned(), value, 0);
    other_store.swap(&[], vec![put]).await.expect("is written");
    let before = other_worker.polls();
    let later =
        || async { (other_worker.polls() >= before + 30).then_some(()) };
    until("the other agent has reported", later).await;
    let admission = Admission::new(store, log::none());
    let stage = admission.stage("a", deadline()).await;
    assert_eq!(stage.ok().flatten(), Some(Stage::Running));
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    agent.abort();
    other_agent.abort();
    entry.kill();
}
