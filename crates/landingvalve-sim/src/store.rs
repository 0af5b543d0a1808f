//! The platform's store, in memory, with its faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use landingvalve::http;
use landingvalve::store::Change;
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
use tokio::time::Instant;

use crate::lock;
use crate::network::Network;
use crate::network::Process;

/// How long an answer takes.
const ANSWER: Duration = Duration::from_millis(4);
/// How long a client waits for a store that says nothing.
const SILENT: Duration = Duration::from_millis(1000);
/// How often one that waits looks for changes.
const LOOK: Duration = Duration::from_millis(10);
/// When a write without answer is done at the latest, in ms.
const LATE_MS: u64 = 4000;

/// How the store fares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mode {
    /// It says nothing.
    pub down: bool,
    /// It turns calls away.
    pub refuses: bool,
    /// This share of the writes has no answer; half of them are done at
    /// once, the others seconds later if their condition still holds.
    pub loses: f64,
    /// How much longer its answers take.
    pub slow: Duration,
    /// It keeps no history.
    pub forgets: bool,
}

#[derive(Default)]
struct Data {
    mode: Mode,
    random: fastrand::Rng,
    revision: Revision,
    items: BTreeMap<String, (Item, LeaseId)>,
    leases: BTreeMap<LeaseId, (Instant, Duration)>,
    log: Vec<Change>,
    /// Changes up to this revision are forgotten.
    forgotten: Revision,
}

/// The store of a site.
#[derive(Clone)]
pub struct Shared(Arc<Mutex<Data>>);

impl Shared {
    /// Returns an empty store whose faults are drawn by a seed.
    pub fn new(seed: u64) -> Shared {
        let random = fastrand::Rng::with_seed(seed);
        Shared(Arc::new(Mutex::new(Data {
            random,
            ..Data::default()
        })))
    }

    /// Sets how it fares from now on.
    pub fn set(&self, mode: Mode) {
        let mut data = lock(&self.0);
        data.mode = mode;
        if mode.forgets {
            data.forgotten = data.revision;
        }
    }

    /// Returns what a process sees of it.
    pub fn of(&self, network: &Network, process: Process) -> Handle {
        Handle {
            store: self.clone(),
            network: network.clone(),
            process,
        }
    }

    fn write(
        &self,
        conditions: &[Compare],
        puts: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        let mut data = lock(&self.0);
        data.lapse();
        data.swap(conditions, puts)
    }
}

impl Data {
    fn lapse(&mut self) {
        let now = Instant::now();
        // While the store is down its leases wait.
        if self.mode.down {
            return;
        }
        let over = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let over: Vec<LeaseId> = over.map(|(lease, _)| *lease).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let held = self.items.values().filter(|(_, on)| *on == lease);
        let keys: Vec<String> = held.map(|(i, _)| i.key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.items.remove(&key);
            self.log.push(Change::Deleted(key, self.revision));
        }
    }

    fn swap(
        &mut self,
        conditions: &[Compare],
        puts: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        let holds = |condition: &Compare| {
            let (key, wanted, created) = match condition {
                Compare::Created(key, rev) => (key, *rev, true),
                Compare::Modified(key, rev) => (key, *rev, false),
            };
            let item = self.items.get(key).map(|(item, _)| item);
            let found = item.map_or(0, |item| match created {
                true => item.created,
                false => item.modified,
            });
            found == wanted
        };
        if !conditions.iter().all(holds) {
            let keys = conditions.iter().map(|condition| match condition {
                Compare::Created(key, _) | Compare::Modified(key, _) => key,
            });
            let items = keys.filter_map(|key| self.items.get(key));
            let items = items.map(|(item, _)| item.clone()).collect();
            return Ok(Swap::Refused(items));
        }
        let on = |put: &Mutation| match put {
            Mutation::Value(_, _, lease) if *lease != 0 => Some(*lease),
            _ => None,
        };
        let mut leases = puts.iter().filter_map(on);
        if leases.any(|lease| !self.leases.contains_key(&lease)) {
            return Err(Error::Unreached(none("no such lease")));
        }
        self.revision += 1;
        for put in puts {
            self.put(put);
        }
        Ok(Swap::Written(self.revision))
    }

    fn put(&mut self, put: Mutation) {
        let revision = self.revision;
        match put {
            Mutation::Value(key, value, lease) => {
                let earlier = self.items.get(&key);
                let created = earlier.map_or(revision, |(i, _)| i.created);
                let item = Item {
                    key: key.clone(),
                    value,
                    created,
                    modified: revision,
                };
                self.log.push(Change::Put(item.clone()));
                self.items.insert(key, (item, lease));
            }
            Mutation::Delete(key) => {
                if self.items.remove(&key).is_some() {
                    self.log.push(Change::Deleted(key, revision));
                }
            }
        }
    }
}

fn none(reason: &str) -> http::Error {
    http::Error::Lost {
        url: "store".to_owned(),
        reason: reason.to_owned(),
    }
}

/// What one process sees of the store.
#[derive(Clone)]
pub struct Handle {
    store: Shared,
    network: Network,
    process: Process,
}

impl Handle {
    /// Returns once the call has come to the store.
    async fn call(&self) -> Result<(), Error> {
        self.network.live(self.process).await;
        let mode = lock(&self.store.0).mode;
        tokio::time::sleep(ANSWER + mode.slow).await;
        self.network.live(self.process).await;
        let mode = lock(&self.store.0).mode;
        match mode {
            _ if !self.network.reaches_store(self.process) => {
                tokio::time::sleep(SILENT).await;
                Err(Error::Unreached(none("not reached")))
            }
            Mode { down: true, .. } => {
                tokio::time::sleep(SILENT).await;
                Err(Error::Unreached(none("down")))
            }
            Mode { refuses: true, .. } => {
                Err(Error::Unreached(none("turned away")))
            }
            _ => {
                lock(&self.store.0).lapse();
                Ok(())
            }
        }
    }
}

impl Store for Handle {
    async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        self.call().await?;
        let data = lock(&self.store.0);
        Ok(data.items.get(key).map(|(item, _)| item.clone()))
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.call().await?;
        let data = lock(&self.store.0);
        let items = data.items.values().map(|(item, _)| item);
        let here = items.filter(|item| item.key.starts_with(prefix));
        Ok(Listing {
            revision: data.revision,
            items: here.cloned().collect(),
        })
    }

    async fn swap(
        &self,
        conditions: &[Compare],
        puts: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        self.call().await?;
        let (lost, late) = {
            let mut data = lock(&self.store.0);
            let share = data.mode.loses;
            let lost = data.random.f64() < share;
            let late = data.random.bool().then(|| data.random.u64(..LATE_MS));
            (lost, late)
        };
        if !lost {
            return self.store.write(conditions, puts);
        }
        let store = self.store.clone();
        let conditions = conditions.to_vec();
        tokio::spawn(async move {
            let late = Duration::from_millis(late.unwrap_or_default());
            tokio::time::sleep(late).await;
            // Nobody is told what came of it.
            let _ = store.write(&conditions, puts);
        });
        tokio::time::sleep(SILENT).await;
        Err(Error::Lost(none("no answer")))
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.call().await?;
        let mut data = lock(&self.store.0);
        data.revision += 1;
        let lease = data.revision;
        data.leases.insert(lease, (Instant::now() + ttl, ttl));
        Ok(lease)
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, Error> {
        self.call().await?;
        let mut data = lock(&self.store.0);
        let kept = data.leases.get_mut(&lease);
        let kept = kept.map(|(end, ttl)| *end = Instant::now() + *ttl);
        Ok(kept.is_some())
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.call().await?;
        lock(&self.store.0).end_lease(lease);
        Ok(())
    }

    async fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, Error> {
        self.call().await?;
        let deadline = Instant::now() + wait;
        loop {
            {
                let mut data = lock(&self.store.0);
                data.lapse();
                if after < data.forgotten {
                    return Err(Error::Forgotten(after));
                }
                let about = |c: &&Change| c.key().starts_with(prefix);
                let new = data.log.partition_point(|c| c.revision() <= after);
                let changes = data.log[new..].iter().filter(about);
                let changes: Vec<Change> = changes.cloned().collect();
                if !changes.is_empty() || Instant::now() >= deadline {
                    let revision = data.revision;
                    return Ok(Changes { revision, changes });
                }
                if data.mode.down || data.mode.refuses {
                    return Err(Error::Unreached(none("cut")));
                }
            }
            if !self.network.reaches_store(self.process) {
                tokio::time::sleep(SILENT).await;
                return Err(Error::Unreached(none("cut")));
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}
