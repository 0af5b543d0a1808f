//! The entries that calls of the store may go by.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::cell::dial::Dial;
use crate::cell::dial::Peer;
use crate::cell::keys;
use crate::cell::pause;
use crate::cell::relay::call::unanswered;
use crate::cell::relay::call::Answer;
use crate::cell::relay::call::Call;
use crate::cell::relay::call::Reply;
use crate::store::Error;
use crate::store::LeaseId;
use crate::store::Mutation;
use crate::store::Store;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// How many entries are asked for one call: where a third of them is away
/// as well, three are enough for all but one call in 27.
const MOST: usize = 3;
/// How long a connection to one of them may take.
const CONNECT: Duration = Duration::from_millis(300);
/// How long its answer may take, beyond what the store is asked to wait: a
/// slow store's, and the way there.
const ANSWER: Duration = Duration::from_millis(500);
/// For how long nobody is asked after all were found to be away: while the
/// store is down for all, every call of every process would ask three.
const ALONE: Duration = Duration::from_millis(400);
/// How long an entry that is gone is still named at most, and the longest
/// that one waits before it says again that it is there: two calls every 5
/// to 9 s for each process, one of them at a tenth of the price.
const NAMED: Duration = Duration::from_secs(30);
const RENEW: Duration = Duration::from_secs(9);
/// How soon after the first time the others are read again: all processes
/// of a site may have started together.
const SOON: Duration = Duration::from_millis(1500);
/// How long is waited after a call that failed.
const AGAIN: Duration = Duration::from_millis(500);

/// What an entry says of itself.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    /// Where it takes calls.
    address: String,
}

#[derive(Default)]
struct Known {
    /// Where entries take calls, but for this process.
    addresses: Vec<String>,
    links: BTreeMap<String, Arc<dyn Peer>>,
    /// Who has answered last.
    last: Option<String>,
    /// Until when nobody is asked.
    alone: Option<Instant>,
}

struct Shared {
    process: String,
    dial: Arc<dyn Dial>,
    known: Mutex<Known>,
    log: slog::Logger,
}

/// The entries of a site, as the store last told.
#[derive(Clone)]
pub struct Peers(Arc<Shared>);

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peers")
            .field("process", &self.0.process)
            .field("addresses", &self.lock().addresses)
            .finish_non_exhaustive()
    }
}

impl Peers {
    /// Returns the entries but for the named process, none of them known
    /// yet.
    pub fn new(
        process: &str,
        dial: Arc<dyn Dial>,
        log: slog::Logger,
    ) -> Peers {
        Peers(Arc::new(Shared {
            process: process.to_owned(),
            dial,
            known: Mutex::default(),
            log,
        }))
    }

    /// Keeps the others known, and this entry to them under `address`, for
    /// ever.
    pub async fn follow(self, store: impl Store, address: String) {
        let mut lease = None;
        let mut wait = SOON;
        loop {
            match self.say(&store, &address, lease).await {
                Ok(said) => {
                    lease = Some(said);
                    pause(wait / 2).await;
                    self.read(&store).await;
                    wait = RENEW;
                }
                Err(error) => {
                    slog::debug!(self.0.log,
                        "entry: it is not named"; "error" => %error);
                    pause(AGAIN).await;
                }
            }
        }
    }

    /// Says that this entry is there; returns the lease that it hangs on.
    async fn say(
        &self,
        store: &impl Store,
        address: &str,
        lease: Option<LeaseId>,
    ) -> Result<LeaseId, Error> {
        match lease {
            Some(lease) if store.keep_alive(lease).await? => return Ok(lease),
            _ => {}
        }
        let lease = store.grant(NAMED).await?;
        let entry = Entry {
            address: address.to_owned(),
        };
        let value = serde_json::to_vec(&entry).unwrap_or_default();
        let key = keys::entry(&self.0.process);
        store
            .swap(&[], vec![Mutation::Value(key, value, lease)])
            .await?;
        Ok(lease)
    }

    async fn read(&self, store: &impl Store) {
        let listing = match store.list(keys::ENTRIES).await {
            Ok(listing) => listing,
            Err(error) => {
                slog::debug!(self.0.log,
                    "entry: others are not read"; "error" => %error);
                return;
            }
        };
        let own = keys::entry(&self.0.process);
        let others = listing.items.iter().filter(|item| item.key != own);
        let entries = others.map(|item| serde_json::from_slice(&item.value));
        let entries = entries.filter_map(Result::ok);
        let addresses: Vec<String> =
            entries.map(|entry: Entry| entry.address).collect();
        let mut known = self.lock();
        known.links.retain(|address, _| addresses.contains(address));
        known.addresses = addresses;
    }

    /// Asks others to make a call; returns nothing if none of them could.
    pub(super) async fn ask(
        &self,
        call: &Call,
    ) -> Option<Result<Answer, Error>> {
        for address in self.order() {
            let asked = self.ask_one(&address, call).await;
            let outcome = match &asked {
                Ok(Reply::Done(_)) => "done",
                Ok(Reply::Forgotten(_)) => "forgotten",
                Ok(Reply::NotDone) => "not done",
                Ok(Reply::Unsure) => "unsure",
                Ok(Reply::Away) => "away",
                Err(Missed::NotAsked) => "not reached",
                Err(Missed::Silent) => "no answer",
            };
            metrics::get().relayed.add(1, &[label("outcome", outcome)]);
            slog::debug!(self.0.log, "store: a call goes by another entry";
                "call" => call.word(), "by" => &address,
                "outcome" => outcome);
            let answer = match asked {
                Ok(Reply::Done(answer)) => Ok(answer),
                Ok(Reply::Forgotten(after)) => Err(Error::Forgotten(after)),
                Ok(Reply::Unsure) | Err(Missed::Silent) if !call.is_read() => {
                    Err(unanswered(&address))
                }
                _ => continue,
            };
            self.lock().last = Some(address);
            return Some(answer);
        }
        let mut known = self.lock();
        known.last = None;
        known.alone = Some(Instant::now() + ALONE);
        None
    }

    /// Returns whom to ask in turn: who has answered last, then any.
    fn order(&self) -> Vec<String> {
        let known = self.lock();
        let now = Instant::now();
        if known.alone.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let mut others = known.addresses.clone();
        fastrand::shuffle(&mut others);
        if let Some(last) = &known.last {
            others.sort_by_key(|address| address != last);
        }
        others.truncate(MOST);
        others
    }

    async fn ask_one(
        &self,
        address: &str,
        call: &Call,
    ) -> Result<Reply, Missed> {
        let link = self.link(address).await.ok_or(Missed::NotAsked)?;
        let limit = call.wait() + ANSWER;
        let asked = tokio::time::timeout(limit, link.store(call.clone()));
        match asked.await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) | Err(_) => {
                self.lock().links.remove(address);
                Err(Missed::Silent)
            }
        }
    }

    async fn link(&self, address: &str) -> Option<Arc<dyn Peer>> {
        if let Some(link) = self.lock().links.get(address) {
            return Some(link.clone());
        }
        let dial = tokio::time::timeout(CONNECT, self.0.dial.dial(address));
        let link = dial.await.ok()?.ok()?;
        let mut known = self.lock();
        known.links.insert(address.to_owned(), link.clone());
        Some(link)
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.0.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why another process has not replied.
enum Missed {
    /// It was not asked.
    NotAsked,
    /// It may have made the call.
    Silent,
}
