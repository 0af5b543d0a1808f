//! Limits of a planner's server: what holds while they are met.

use std::time::Duration;

use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use landingvalve::cell::server::Limits;
use landingvalve::cell::Admission;
use landingvalve::cell::Submitted;
use landingvalve::graph::How;
use landingvalve::graph::Terms;
use landingvalve::log;

use crate::cell::job;
use crate::cell::reaches;
use crate::cell::runs;
use crate::cell::soon;
use crate::cell::surviving;
use crate::cell::Entry;
use crate::cell::Fake;
use crate::cell::Memory;
use crate::cell::DONE;
use crate::support::until;

const LEASE: Duration = Duration::from_secs(2);

/// Short times, so that a silent agent is soon taken for gone.
fn terms() -> Terms {
    Terms {
        survival: Duration::from_secs(3),
        ..Terms::default()
    }
}

/// Takes a connection of a planner for itself.
async fn occupy(entry: &Entry) -> WsClient {
    let url = format!("ws://{}", entry.address());
    let client = || async {
        let client = WsClientBuilder::default();
        client.build(&url).await.ok()
    };
    until("a connection", client).await
}

#[tokio::test]
async fn what_is_done_where_agents_are_turned_away_is_not_done_again() {
    let store = Memory::default();
    let worker = Fake::new();
    let admission = Admission::new(store.clone(), log::none());
    let limits = Limits {
        connections: 1,
        ..Limits::default()
    };
    let first = Entry::limited("first", &store, limits, terms()).await;
    let survival = terms().survival;
    let agent = surviving("agent", survival, LEASE, &store, &worker);
    let submitted = admission.submit(&job("a"), soon()).await;
    assert_eq!(submitted, Submitted::Accepted);
    runs(&worker, 2).await;
    first.kill();
    // The next planner's only connection is taken: the agent is turned away.
    let second = Entry::limited("second", &store, limits, terms()).await;
    let taken = occupy(&second).await;
    worker.end_all(How::Done);
    reaches(&admission, "a", DONE).await;
    drop(taken);
    assert_eq!(worker.began().len(), 2, "{:?}", worker.began());
    agent.abort();
    second.kill();
}
