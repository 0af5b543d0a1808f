//! Connection limits of a planner and of an HTTP server: agents up to the
//! default limit are served, and connections above a limit are closed without
//! harm to running jobs. Also which entry becomes the planner.

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

/// Options with a short survival time, so that an unresponsive agent is soon
/// considered lost.
fn options() -> Options {
    Options {
        survival: Duration::from_secs(3),
        ..Options::default()
    }
}

/// Opens a connection to a planner, which counts against its limit.
async fn occupy(entry: &Entry) -> WsClient {
    let url = format!("ws://{}", entry.address());
    let client = || async {
        let client = WsClientBuilder::default();
        client.build(&url).await.ok()
    };
    until("a connection", client).await
}

/// The number of agents of the largest simulated site.
const AGENT_COUNT: usize = 240;

#[tokio::test]
async fn planner_serves_every_agent_of_a_large_site() {
    let store = Memory::default();
    let limits = Limits::default();
    let entry = Entry::with_limits("entry", &store, limits, options()).await;
    let survival = options().survival;
    let workers: Vec<FakeWorker> =
        (0..AGENT_COUNT).map(|_| FakeWorker::new()).collect();
    let agents: Vec<_> = workers
        .iter()
        .enumerate()
        .map(|(at, worker)| {
            let name = format!("agent{at}");
            start_agent_with_survival(&name, survival, LEASE, &store, worker)
        })
        .collect();
    // A gang on every worker begins only once all agents have reported.
    let mut gang = job("whole");
    gang.steps[0].replicas = AGENT_COUNT as u32;
    gang.steps[0].gang = true;
    gang.steps[0].resources.accelerators = 8;
    let admission = Admission::new(store.clone(), log::none());
    let submitted = admission.submit(&gang, deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
    for worker in &workers {
        wait_for_running(worker, 1).await;
    }
    agents.iter().for_each(JoinHandle::abort);
    entry.kill();
}

#[tokio::test]
async fn entry_with_more_cores_becomes_planner_before_a_weak_one() {
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
    // Without a stronger entry, the weak one becomes the planner.
    strong.kill();
    held_by("weak").await;
    weak.kill();
}

/// Responds to each request at once.
struct Greeter;

impl Handler for Greeter {
    async fn handle(&self, _request: Request) -> Response {
        http::text(StatusCode::OK, "hello")
    }
}

#[tokio::test]
async fn connection_above_the_limit_is_closed_and_the_others_are_served() {
    let limit = http::ConnectionLimit {
        max_connections: 1,
        log: log::none(),
    };
    let any = ([127, 0, 0, 1], 0).into();
    let server = http::Server::start_with_limit(any, Arc::new(Greeter), limit);
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
    // The first client's connection stays open.
    assert!(
        call(second.clone()).await.is_err(),
        "accepted above the limit"
    );
    assert_eq!(call(first.clone()).await.ok(), Some(StatusCode::OK));
    drop(first);
    let accepted = || async { call(second.clone()).await.ok() };
    until("a connection is free again", accepted).await;
}

#[tokio::test]
async fn runs_that_end_while_their_agent_is_rejected_are_not_repeated() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let limits = Limits {
        connections: 1,
        ..Limits::default()
    };
    let first = Entry::with_limits("first", &store, limits, options()).await;
    let survival = options().survival;
    let agent =
        start_agent_with_survival("agent", survival, LEASE, &store, &worker);
    let submitted = admission.submit(&job("a"), deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
    wait_for_running(&worker, 2).await;
    first.kill();
    // The next planner's only connection is in use: the agent is rejected.
    let second = Entry::with_limits("second", &store, limits, options()).await;
    let connection = occupy(&second).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    drop(connection);
    assert_eq!(worker.started().len(), 2, "{:?}", worker.started());
    agent.abort();
    second.kill();
}
