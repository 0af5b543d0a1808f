//! Limits of a planner's server: what holds while they are met.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use landingvalve::cell::server::Limits;
use landingvalve::cell::Admission;
use landingvalve::cell::Submitted;
use landingvalve::graph::Options;
use landingvalve::graph::RunOutcome;
use landingvalve::http;
use landingvalve::http::Handler;
use landingvalve::http::Request;
use landingvalve::http::Response;
use landingvalve::log;
use tokio::task::JoinHandle;

use crate::cell::deadline;
use crate::cell::job;
use crate::cell::start_agent_with_survival;
use crate::cell::wait_for_running;
use crate::cell::wait_for_stage;
use crate::cell::Entry;
use crate::cell::FakeWorker;
use crate::cell::Memory;
use crate::cell::SUCCEEDED;
use crate::support::until;

const LEASE: Duration = Duration::from_secs(2);

/// Short times, so that a silent agent is soon taken for gone.
fn terms() -> Options {
    Options {
        survival: Duration::from_secs(3),
        ..Options::default()
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

/// As many agents as the largest site played has.
const AGENTS: usize = 240;

#[tokio::test]
async fn every_agent_of_a_large_site_is_heard() {
    let store = Memory::default();
    let limits = Limits::default();
    let entry = Entry::with_limits("entry", &store, limits, terms()).await;
    let survival = terms().survival;
    let workers: Vec<FakeWorker> =
        (0..AGENTS).map(|_| FakeWorker::new()).collect();
    let agents: Vec<_> = workers
        .iter()
        .enumerate()
        .map(|(at, worker)| {
            let name = format!("agent{at}");
            start_agent_with_survival(&name, survival, LEASE, &store, worker)
        })
        .collect();
    // A gang that takes every worker begins only once all are heard.
    let mut whole = job("whole");
    whole.steps[0].replicas = AGENTS as u32;
    whole.steps[0].gang = true;
    whole.steps[0].resources.accelerators = 8;
    let admission = Admission::new(store.clone(), log::none());
    let submitted = admission.submit(&whole, deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
    for worker in &workers {
        wait_for_running(worker, 1).await;
    }
    agents.iter().for_each(JoinHandle::abort);
    entry.kill();
}

#[tokio::test]
async fn a_strong_entry_plans_though_a_weak_one_is_ready_first() {
    let store = Memory::default();
    let held_by = |name: &'static str| {
        let store = store.clone();
        let holds = move || {
            let holder = store.claim_holder();
            let held = holder.is_some_and(|holder| holder.process == name);
            async move { held.then_some(()) }
        };
        until("the claim", holds)
    };
    let first = Entry::with_cores("first", &store, 1.0).await;
    held_by("first").await;
    let weak = Entry::with_cores("weak", &store, 0.24).await;
    first.kill();
    let strong = Entry::with_cores("strong", &store, 1.0).await;
    held_by("strong").await;
    // Where there is no stronger one, the weak one plans.
    strong.kill();
    held_by("weak").await;
    weak.kill();
}

/// Answers at once.
struct Hello;

impl Handler for Hello {
    async fn handle(&self, _request: Request) -> Response {
        http::text(StatusCode::OK, "hello")
    }
}

#[tokio::test]
async fn a_caller_above_the_limit_is_closed_and_the_others_are_served() {
    let limit = http::ConnectionLimit {
        max_connections: 1,
        log: log::none(),
    };
    let any = ([127, 0, 0, 1], 0).into();
    let server = http::Server::start_with_limit(any, Arc::new(Hello), limit);
    let server = server.await.expect("a free port");
    let url = format!("http://{}/", server.address());
    let [first, second] = [(); 2].map(|()| http::Client::new());
    let call = |client: http::Client| {
        let url = url.clone();
        async move {
            let headers = HeaderMap::new();
            let call = client
                .call(Method::GET, &url, headers, "", deadline())
                .await;
            call.map(|reply| reply.status)
        }
    };
    assert_eq!(call(first.clone()).await.ok(), Some(StatusCode::OK));
    // The first one's connection stays open.
    assert!(call(second.clone()).await.is_err(), "taken above the limit");
    assert_eq!(call(first.clone()).await.ok(), Some(StatusCode::OK));
    drop(first);
    let taken = || async { call(second.clone()).await.ok() };
    until("there is room again", taken).await;
}

#[tokio::test]
async fn what_is_done_where_agents_are_turned_away_is_not_done_again() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let limits = Limits {
        connections: 1,
        ..Limits::default()
    };
    let first = Entry::with_limits("first", &store, limits, terms()).await;
    let survival = terms().survival;
    let agent =
        start_agent_with_survival("agent", survival, LEASE, &store, &worker);
    let submitted = admission.submit(&job("a"), deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
    wait_for_running(&worker, 2).await;
    first.kill();
    // The next planner's only connection is taken: the agent is turned away.
    let second = Entry::with_limits("second", &store, limits, terms()).await;
    let taken = occupy(&second).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    drop(taken);
    assert_eq!(worker.started().len(), 2, "{:?}", worker.started());
    agent.abort();
    second.kill();
}
