//! Calls of the store by way of another entry.
//!
//! Three of nine entries were cut off from the store for 12 s while six
//! others were in touch. A job handed in at one of them waited there for
//! 600 ms, was refused, came back a second later, perhaps to the same entry:
//! `POST 503 600ms; POST 503 600ms; POST 200`, 2.5 s after it was first
//! sent, with 1.5 s to spare. And a caller that asked how its job stood was
//! told nothing for 2.8 s, though the job had ended.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use jsonrpsee::core::async_trait;
use landingvalve::cell::connector::Connector;
use landingvalve::cell::connector::Peer;
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

/// How the link between a machine and the store fares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Mode {
    /// It serves.
    #[default]
    Open,
    /// Calls are lost.
    Silent,
    /// Calls are turned away.
    Busy,
    /// Calls are refused for their rate.
    Throttled,
    /// Calls are carried out, and their answers are lost.
    Deaf,
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

    /// Passes a call on, or not, as the link fares.
    async fn pass<T>(
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
            Mode::Deaf => {
                let _ = call.await;
            }
            Mode::Silent => {}
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
        self.pass(self.store.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.pass(self.store.list(prefix)).await
    }

    async fn swap(
        &self,
        conditions: &[Compare],
        puts: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        self.pass(self.store.swap(conditions, puts)).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.pass(self.store.grant(ttl)).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, Error> {
        self.pass(self.store.keep_alive(lease)).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.pass(self.store.revoke(lease)).await
    }

    async fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, Error> {
        self.pass(self.store.changes(prefix, after, wait)).await
    }
}

/// The entries of a site, by their addresses.
#[derive(Clone, Default)]
struct Wires(Arc<Mutex<BTreeMap<String, Arc<dyn Proxy>>>>);

impl fmt::Debug for Wires {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Wires")
    }
}

#[async_trait]
impl Connector for Wires {
    async fn connect(
        &self,
        address: &str,
    ) -> Result<Arc<dyn Peer>, link::Error> {
        let wires = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match wires.get(address) {
            Some(carrier) => Ok(Arc::new(Wire(carrier.clone()))),
            None => Err(link::Error::new(address, "nobody is there")),
        }
    }
}

struct Wire(Arc<dyn Proxy>);

#[async_trait]
impl Peer for Wire {
    async fn sync(&self, _report: Report) -> Result<Answer, link::Error> {
        Ok(Answer::NotPlanner)
    }

    async fn store(&self, call: Call) -> Result<Reply, link::Error> {
        let error = |e: serde_json::Error| link::Error::new("wire", e);
        let sent = serde_json::to_vec(&call).map_err(error)?;
        let call = serde_json::from_slice(&sent).map_err(error)?;
        let reply = self.0.serve(call).await;
        let sent = serde_json::to_vec(&reply).map_err(error)?;
        serde_json::from_slice(&sent).map_err(error)
    }
}

/// Entries that know each other; returns their stores and their links.
async fn site(entries: usize) -> (Memory, Vec<(Relay<Link>, Link)>) {
    let store = Memory::default();
    let wires = Wires::default();
    let mut site = Vec::new();
    for at in 0..entries {
        let link = Link {
            store: store.clone(),
            mode: Arc::default(),
        };
        let name = format!("entry-{at}");
        let dial = Arc::new(wires.clone());
        let peers = Peers::new(&name, dial, log::none());
        let relay = Relay::new(link.clone(), peers.clone(), log::none());
        let mut known = wires.0.lock().unwrap_or_else(PoisonError::into_inner);
        known.insert(name.clone(), Arc::new(relay.clone()));
        drop(known);
        tokio::spawn(peers.follow(relay.clone(), name));
        site.push((relay, link));
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    (store, site)
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(3)
}

#[tokio::test(start_paused = true)]
async fn an_entry_without_a_way_takes_jobs_by_another() {
    for mode in [Mode::Silent, Mode::Busy, Mode::Throttled] {
        let (_, site) = site(3).await;
        let (relay, link) = &site[0];
        let admission = Admission::new(relay.clone(), log::none());
        link.set(mode);
        let sent = Instant::now();
        let first = admission.submit(&job("a"), soon()).await;
        assert_eq!(first, Submitted::Accepted, "{mode:?}");
        let took = sent.elapsed();
        assert!(took < Duration::from_millis(600), "{mode:?}: {took:?}");
        let sent = Instant::now();
        let second = admission.submit(&job("b"), soon()).await;
        assert_eq!(second, Submitted::Accepted, "{mode:?}");
        let took = sent.elapsed();
        assert!(took < Duration::from_millis(200), "{mode:?}: {took:?}");
        let stage = admission.stage("a", soon()).await;
        assert_eq!(stage.ok().flatten(), Some(Stage::Queued), "{mode:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_entry_tells_how_a_job_stands_by_another() {
    let (_, site) = site(2).await;
    let (relay, link) = &site[0];
    let admission = Admission::new(relay.clone(), log::none());
    let taken = admission.submit(&job("a"), soon()).await;
    assert_eq!(taken, Submitted::Accepted);
    link.set(Mode::Silent);
    let sent = Instant::now();
    let stage = admission.stage("a", soon()).await;
    assert_eq!(stage.ok().flatten(), Some(Stage::Queued));
    let took = sent.elapsed();
    assert!(took < Duration::from_millis(400), "{took:?}");
}

/// A write that was done and not answered, made again under a condition that
/// no longer holds, would be taken for one that others have overtaken.
#[tokio::test(start_paused = true)]
async fn a_write_without_answer_goes_no_second_way() {
    let (store, site) = site(3).await;
    let (relay, link) = &site[0];
    link.set(Mode::Deaf);
    let put = Mutation::Value("key".to_owned(), b"value".to_vec(), 0);
    let absent = Compare::Modified("key".to_owned(), 0);
    let (before, _) = store.call_counts();
    let swap = relay.swap(&[absent], vec![put]).await;
    assert!(matches!(swap, Err(Error::Lost(_))), "{swap:?}");
    let (after, _) = store.call_counts();
    assert_eq!(after, before + 1, "it went twice");
}

#[tokio::test(start_paused = true)]
async fn where_the_store_is_away_from_all_a_job_waits_for_it() {
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
    let taken = async { admission.submit(&job("a"), soon()).await };
    let (taken, ()) = tokio::join!(taken, back);
    assert_eq!(taken, Submitted::Accepted);
}

#[tokio::test(start_paused = true)]
async fn one_refusal_for_the_rate_closes_no_way() {
    let (store, site) = site(2).await;
    let (relay, link) = &site[0];
    link.set(Mode::Throttled);
    let (_, before) = store.call_counts();
    let get = relay.get("key").await;
    assert!(get.is_err(), "it is not made again at once: {get:?}");
    assert!(relay.is_direct());
    let (_, after) = store.call_counts();
    assert_eq!(after, before);
}

#[tokio::test(start_paused = true)]
async fn the_direct_way_is_used_again_once_it_is_open() {
    let (_, site) = site(2).await;
    let (relay, link) = &site[0];
    link.set(Mode::Busy);
    relay.get("key").await.expect("by the other entry");
    assert!(!relay.is_direct());
    link.set(Mode::Open);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(relay.is_direct());
}
