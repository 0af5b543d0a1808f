//! Calls to the store through another entry.
//!
//! Guards against an entry that is cut off from the store while others reach
//! it. A job submitted there waited for 600 ms, was refused, and was retried a
//! second later, perhaps at the same entry: accepted after 2.5 s, it was late,
//! for it had 1.5 s to spare. A status request got no answer for 2.8 s,
//! although the job had ended.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use jsonrpsee::core::async_trait;
use landingvalve::cell::connector::Connector;
use landingvalve::cell::connector::Peer;
use landingvalve::cell::connector::Recipient;
use landingvalve::cell::relay::call::Call;
use landingvalve::cell::relay::call::Reply;
use landingvalve::cell::relay::Peers;
use landingvalve::cell::relay::Proxy;
use landingvalve::cell::relay::Relay;
use landingvalve::cell::rpc::Answer;
use landingvalve::cell::Admission;
use landingvalve::cell::Stage;
use landingvalve::cell::Submitted;
use landingvalve::graph::Report;
use landingvalve::http;
use landingvalve::log;
use landingvalve::store::Changes;
use landingvalve::store::Compare;
use landingvalve::store::Error;
use landingvalve::store::Item;
use landingvalve::store::LeaseId;
use landingvalve::store::Listing;
use landingvalve::store::Mutation;
use landingvalve::store::Revision;
use landingvalve::store::Store;
use landingvalve::store::Swap;
use landingvalve::wire::link;
use tokio::time::Instant;

use crate::cell::job;
use crate::cell::Memory;

/// The state of the link between a machine and the store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Mode {
    /// Calls are answered.
    #[default]
    Open,
    /// Calls are lost.
    CallsLost,
    /// Calls are refused as unavailable.
    Busy,
    /// Calls are refused because of their rate.
    Throttled,
    /// Calls are executed, and their answers are lost.
    AnswersLost,
}

/// A store over a link that fails on demand.
#[derive(Clone)]
struct Link {
    store: Memory,
    mode: Arc<Mutex<Mode>>,
}

impl Link {
    fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forwards a call, or fails it, according to the link's state.
    async fn forward<T>(
        &self,
        call: impl std::future::Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let status = |status| {
            Err(Error::Unreached(http::Error::Unexpected {
                url: "store".to_owned(),
                status,
                body: String::new(),
            }))
        };
        match self.mode() {
            Mode::Open => return call.await,
            Mode::Busy => {
                return status(hyper::StatusCode::SERVICE_UNAVAILABLE)
            }
            Mode::Throttled => {
                return status(hyper::StatusCode::TOO_MANY_REQUESTS)
            }
            Mode::AnswersLost => {
                let _ = call.await;
            }
            Mode::CallsLost => {}
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        Err(Error::Lost(http::Error::Lost {
            url: "store".to_owned(),
            reason: "silent".to_owned(),
        }))
    }
}

impl Store for Link {
    async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        self.forward(self.store.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.forward(self.store.list(prefix)).await
    }

    async fn swap(
        &self,
        conditions: &[Compare],
        puts: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        self.forward(self.store.swap(conditions, puts)).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.forward(self.store.grant(ttl)).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, Error> {
        self.forward(self.store.keep_alive(lease)).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.forward(self.store.revoke(lease)).await
    }

    async fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, Error> {
        self.forward(self.store.changes(prefix, after, wait)).await
    }
}

/// A network in memory: the entries of a site by their addresses.
#[derive(Clone, Default)]
struct LocalNetwork(Arc<Mutex<BTreeMap<String, Arc<dyn Proxy>>>>);

impl fmt::Debug for LocalNetwork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LocalNetwork")
    }
}

#[async_trait]
impl Connector for LocalNetwork {
    async fn connect(
        &self,
        entry: &Recipient,
    ) -> Result<Arc<dyn Peer>, link::Error> {
        let address = &entry.address;
        let network = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match network.get(address) {
            Some(carrier) => Ok(Arc::new(Connection(carrier.clone()))),
            None => Err(link::Error::new(address, "no such entry")),
        }
    }
}

struct Connection(Arc<dyn Proxy>);

#[async_trait]
impl Peer for Connection {
    async fn sync(&self, _report: Report) -> Result<Answer, link::Error> {
        Ok(Answer::NotPlanner)
    }

    async fn store(&self, call: Call) -> Result<Reply, link::Error> {
        let error = |e: serde_json::Error| link::Error::new("connection", e);
        let sent = serde_json::to_vec(&call).map_err(error)?;
        let call = serde_json::from_slice(&sent).map_err(error)?;
        let reply = self.0.serve(call).await;
        let sent = serde_json::to_vec(&reply).map_err(error)?;
        serde_json::from_slice(&sent).map_err(error)
    }
}

/// Starts entries that know each other; returns the store, and each entry's
/// relay and link.
async fn site(entries: usize) -> (Memory, Vec<(Relay<Link>, Link)>) {
    let store = Memory::default();
    let network = LocalNetwork::default();
    let mut site = Vec::new();
    for at in 0..entries {
        let link = Link {
            store: store.clone(),
            mode: Arc::default(),
        };
        let name = format!("entry-{at}");
        let dial = Arc::new(network.clone());
        let peers = Peers::new(&name, dial, log::none());
        let relay = Relay::new(link.clone(), peers.clone(), log::none());
        let mut known =
            network.0.lock().unwrap_or_else(PoisonError::into_inner);
        let address = format!("{name}:1");
        known.insert(address.clone(), Arc::new(relay.clone()));
        drop(known);
        let own = Recipient {
            address,
            life: String::new(),
        };
        tokio::spawn(peers.follow(relay.clone(), own));
        site.push((relay, link));
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    (store, site)
}

fn call_deadline() -> Instant {
    Instant::now() + Duration::from_secs(3)
}

#[tokio::test(start_paused = true)]
async fn entry_without_the_store_accepts_jobs_through_another_entry() {
    for mode in [Mode::CallsLost, Mode::Busy, Mode::Throttled] {
        let (_, site) = site(3).await;
        let (relay, link) = &site[0];
        let admission = Admission::new(relay.clone(), log::none());
        link.set(mode);
        let sent = Instant::now();
        let first = admission.submit(&job("a"), call_deadline()).await;
        assert_eq!(first, Submitted::Accepted, "{mode:?}");
        let took = sent.elapsed();
        assert!(took < Duration::from_millis(600), "{mode:?}: {took:?}");
        let sent = Instant::now();
        let second = admission.submit(&job("b"), call_deadline()).await;
        assert_eq!(second, Submitted::Accepted, "{mode:?}");
        let took = sent.elapsed();
        assert!(took < Duration::from_millis(200), "{mode:?}: {took:?}");
        let stage = admission.stage("a", call_deadline()).await;
        assert_eq!(stage.ok().flatten(), Some(Stage::Queued), "{mode:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn entry_without_the_store_gets_a_jobs_stage_through_another_entry() {
    let (_, site) = site(2).await;
    let (relay, link) = &site[0];
    let admission = Admission::new(relay.clone(), log::none());
    let submitted = admission.submit(&job("a"), call_deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
    link.set(Mode::CallsLost);
    let sent = Instant::now();
    let stage = admission.stage("a", call_deadline()).await;
    assert_eq!(stage.ok().flatten(), Some(Stage::Queued));
    let took = sent.elapsed();
    assert!(took < Duration::from_millis(400), "{took:?}");
}

/// Repeating a write that took effect without an answer would fail its
/// condition, which looks like a conflict with another writer.
#[tokio::test(start_paused = true)]
async fn write_without_an_answer_is_not_repeated_through_another_entry() {
    let (store, site) = site(3).await;
    let (relay, link) = &site[0];
    link.set(Mode::AnswersLost);
    let put = Mutation::Value("key".to_owned(), b"value".to_vec(), 0);
    let absent = Compare::Modified("key".to_owned(), 0);
    let (before, _) = store.call_counts();
    let swap = relay.swap(&[absent], vec![put]).await;
    assert!(matches!(swap, Err(Error::Lost(_))), "{swap:?}");
    let (after, _) = store.call_counts();
    assert_eq!(after, before + 1, "the write was sent twice");
}

#[tokio::test(start_paused = true)]
async fn job_waits_for_the_store_if_no_entry_reaches_it() {
    let (_, site) = site(3).await;
    for (_, link) in &site {
        link.set(Mode::Busy);
    }
    let admission = Admission::new(site[0].0.clone(), log::none());
    let back = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        for (_, link) in &site {
            link.set(Mode::Open);
        }
    };
    let submission =
        async { admission.submit(&job("a"), call_deadline()).await };
    let (submitted, ()) = tokio::join!(submission, back);
    assert_eq!(submitted, Submitted::Accepted);
}

#[tokio::test(start_paused = true)]
async fn one_refusal_because_of_the_rate_keeps_the_direct_path() {
    let (store, site) = site(2).await;
    let (relay, link) = &site[0];
    link.set(Mode::Throttled);
    let (_, before) = store.call_counts();
    let get = relay.get("key").await;
    assert!(get.is_err(), "repeated at once: {get:?}");
    assert!(relay.is_direct());
    let (_, after) = store.call_counts();
    assert_eq!(after, before);
}

#[tokio::test(start_paused = true)]
async fn direct_path_is_used_again_once_it_works() {
    let (_, site) = site(2).await;
    let (relay, link) = &site[0];
    link.set(Mode::Busy);
    relay
        .get("key")
        .await
        .expect("an answer through the other entry");
    assert!(!relay.is_direct());
    link.set(Mode::Open);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(relay.is_direct());
}
