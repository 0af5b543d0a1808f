//! The other entries, through which store calls may be made.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

use crate::cell::connector::Connector;
use crate::cell::connector::Peer;
use crate::cell::connector::Recipient;
use crate::cell::keys;
use crate::cell::pause;
use crate::cell::relay::call::rejected;
use crate::cell::relay::call::unanswered;
use crate::cell::relay::call::Answer;
use crate::cell::relay::call::Call;
use crate::cell::relay::call::Reply;
use crate::cell::relay::sample::Sample;
use crate::log::excerpt;
use crate::log::Throttle;
use crate::store::Error;
use crate::store::Item;
use crate::store::LeaseId;
use crate::store::Mutation;
use crate::store::Store;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// The most entries asked for one call. If a third of them are cut off as
/// well, three are enough for all but one call in 27.
const MAX_PEERS_PER_CALL: usize = 3;
/// The longest that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The time for a peer's answer beyond the requested wait: a slow store's
/// answer and the network.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long no peer is asked after all of them failed. While the store is down
/// for everyone, every call of every process would otherwise ask three peers.
const NO_PEER_PAUSE: Duration = Duration::from_millis(400);
/// The lease of an entry's registration: the longest that a stopped entry
/// stays listed.
const ENTRY_TTL: Duration = Duration::from_secs(30);
/// The longest time between two renewals of the registration. A renewal that
/// fails is retried before the lease ends.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);
/// The number of renewals after which other entries are read again.
const RENEWALS_PER_READ: u32 = 2;
/// The longest time from the first registration to the first read of the
/// entries. All processes of a site may have started together, so an earlier
/// read could miss some, and one after [`RENEWAL_INTERVAL`] would be late.
const MAX_FIRST_READ_DELAY: Duration = Duration::from_millis(1500);
/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

#[derive(Default)]
struct State {
    /// The other entries.
    others: Vec<Recipient>,
    connections: BTreeMap<Recipient, Arc<dyn Peer>>,
    /// The entry that answered last.
    last_answered: Option<Recipient>,
    /// Until when no peer is asked.
    paused_until: Option<Instant>,
}

struct Inner {
    process: String,
    connector: Arc<dyn Connector>,
    state: Mutex<State>,
    /// Limits the log lines about registrations that name no entry.
    odd_entries: Throttle,
    log: slog::Logger,
}

/// The other entries of a site, as last read from the store.
#[derive(Clone)]
pub struct Peers(Arc<Inner>);

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peers")
            .field("process", &self.0.process)
            .field("others", &self.lock().others)
            .finish_non_exhaustive()
    }
}

impl Peers {
    /// Returns the peers of the named process, with none read yet.
    pub fn new(
        process: &str,
        connector: Arc<dyn Connector>,
        log: slog::Logger,
    ) -> Peers {
        Peers(Arc::new(Inner {
            process: process.to_owned(),
            connector,
            state: Mutex::default(),
            odd_entries: Throttle::default(),
            log,
        }))
    }

    /// Registers this entry as `own`, and keeps the list of the others up to
    /// date. Never returns.
    pub async fn follow(self, store: impl Store, own: Recipient) {
        let mut lease = None;
        let mut sample = Sample::new();
        let mut renewals = 0;
        loop {
            match self.register(&store, &own, lease).await {
                Ok(registered) if lease.is_none() => {
                    lease = Some(registered);
                    pause(MAX_FIRST_READ_DELAY / 2).await;
                    self.refresh(&store, &mut sample).await;
                }
                Ok(registered) => {
                    lease = Some(registered);
                    renewals += 1;
                    if renewals % RENEWALS_PER_READ == 0 {
                        self.refresh(&store, &mut sample).await;
                    }
                }
                Err(error) => {
                    slog::debug!(self.0.log,
                        "entry: registration failed"; "error" => %error);
                    pause(RETRY_DELAY).await;
                    continue;
                }
            }
            pause(RENEWAL_INTERVAL / 2).await;
        }
    }

    /// Registers this entry, and returns the lease of the registration.
    async fn register(
        &self,
        store: &impl Store,
        own: &Recipient,
        lease: Option<LeaseId>,
    ) -> Result<LeaseId, Error> {
        match lease {
            Some(lease) if store.keep_alive(lease).await? => return Ok(lease),
            _ => {}
        }
        let lease = store.grant(ENTRY_TTL).await?;
        let value = serde_json::to_vec(own).unwrap_or_default();
        let key = keys::entry(&self.0.process);
        store
            .swap(&[], vec![Mutation::Value(key, value, lease)])
            .await?;
        Ok(lease)
    }

    /// Reads a group of the other entries.
    async fn refresh(&self, store: &impl Store, sample: &mut Sample) {
        let own = keys::entry(&self.0.process);
        let others: Vec<Recipient> = loop {
            let listing = match store.list(&sample.prefix()).await {
                Ok(listing) => listing,
                Err(error) => {
                    slog::debug!(self.0.log,
                        "entry: the other entries could not be read";
                        "error" => %error);
                    return;
                }
            };
            let others = listing.items.iter().filter(|item| item.key != own);
            let others: Vec<Recipient> =
                others.filter_map(|item| self.decode(item)).collect();
            if sample.is_enough(others.len()) {
                break others;
            }
        };
        let mut state = self.lock();
        state.connections.retain(|entry, _| others.contains(entry));
        state.others = others;
    }

    /// Decodes the registration of another entry.
    fn decode(&self, item: &Item) -> Option<Recipient> {
        match Recipient::decode(&item.value) {
            Ok(entry) => Some(entry),
            Err(error) => {
                metrics::get().strange.add(1, &[label("what", "entry")]);
                if self.0.odd_entries.try_acquire() {
                    slog::warn!(self.0.log,
                        "entry: a registration names no entry";
                        "key" => &item.key, "error" => excerpt(error),
                        "left_out" => self.0.odd_entries.take_suppressed());
                }
                None
            }
        }
    }

    /// Asks peers to make a call. Returns `None` if none of them could.
    pub(super) async fn ask(
        &self,
        call: &Call,
    ) -> Option<Result<Answer, Error>> {
        for entry in self.candidates() {
            let reply = self.ask_one(&entry, call).await;
            let outcome = match &reply {
                Ok(Reply::Done(_)) => "done",
                Ok(Reply::Forgotten(_)) => "forgotten",
                Ok(Reply::NotDone) => "not done",
                Ok(Reply::Rejected(_)) => "rejected",
                Ok(Reply::Unsure) => "unsure",
                Ok(Reply::Away) => "away",
                Err(Failure::NotAsked) => "not reached",
                Err(Failure::NoAnswer) => "no answer",
            };
            metrics::get().relayed.add(1, &[label("outcome", outcome)]);
            slog::debug!(self.0.log,
                "store: a call was made through another entry";
                "call" => call.word(), "by" => &entry.address,
                "outcome" => outcome);
            let answer = match reply {
                Ok(Reply::Done(answer)) => Ok(answer),
                Ok(Reply::Forgotten(after)) => Err(Error::Forgotten(after)),
                Ok(Reply::Rejected(reason)) => {
                    Err(rejected(&entry.address, reason))
                }
                Ok(Reply::Unsure) | Err(Failure::NoAnswer)
                    if !call.is_repeatable() =>
                {
                    Err(unanswered(&entry.address))
                }
                _ => continue,
            };
            self.lock().last_answered = Some(entry);
            return Some(answer);
        }
        let mut state = self.lock();
        state.last_answered = None;
        state.paused_until = Some(Instant::now() + NO_PEER_PAUSE);
        None
    }

    /// Returns the peers to ask, in order: the last one that answered, then
    /// others at random.
    fn candidates(&self) -> Vec<Recipient> {
        let state = self.lock();
        let now = Instant::now();
        if state.paused_until.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let mut others = state.others.clone();
        fastrand::shuffle(&mut others);
        if let Some(last) = &state.last_answered {
            others.sort_by_key(|entry| entry != last);
        }
        others.truncate(MAX_PEERS_PER_CALL);
        others
    }

    async fn ask_one(
        &self,
        entry: &Recipient,
        call: &Call,
    ) -> Result<Reply, Failure> {
        let connection =
            self.connection(entry).await.ok_or(Failure::NotAsked)?;
        let limit = call.wait() + ANSWER_SLACK;
        let reply =
            tokio::time::timeout(limit, connection.store(call.clone()));
        match reply.await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) | Err(_) => {
                self.lock().connections.remove(entry);
                Err(Failure::NoAnswer)
            }
        }
    }

    async fn connection(&self, entry: &Recipient) -> Option<Arc<dyn Peer>> {
        if let Some(connection) = self.lock().connections.get(entry) {
            return Some(connection.clone());
        }
        let connecting = tokio::time::timeout(
            CONNECT_TIMEOUT,
            self.0.connector.connect(entry),
        );
        let connection = connecting.await.ok()?.ok()?;
        let mut state = self.lock();
        state.connections.insert(entry.clone(), connection.clone());
        Some(connection)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a peer has not replied.
enum Failure {
    /// The peer was not asked.
    NotAsked,
    /// The peer was asked and may have made the call.
    NoAnswer,
}
