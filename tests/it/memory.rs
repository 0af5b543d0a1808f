//! An in-memory store that fails on demand.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::StatusCode;
use landingvalve::cell::claim::Holder;
use landingvalve::cell::keys;
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

/// The most conditions and mutations that a transaction may have.
const MAX_ENTRIES: usize = 32;

/// How long the store takes to answer a call once an outage is planned.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// When the network sends a call again that the store has not received, counted
/// from the call.
const RESENDS: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(600)];
/// How long a client waits for an answer.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(1000);

/// A time during which the store receives nothing and its leases wait. It
/// begins with a call, so that tests choose the order of events.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The call with which the outage begins.
    pub at: Event,
    /// How long the store is down.
    pub lasts: Duration,
}

/// A call of the store.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A call after the next claim, by its number from 1.
    AfterClaim(usize),
    /// The next reading of the keys with a prefix.
    List(&'static str),
}

/// How far an outage has come.
#[derive(Clone, Copy, Debug)]
enum OutageState {
    /// The outage waits for its call, or for the claim before it.
    Planned(Outage),
    /// So many calls are left before the outage, which lasts so long.
    Counting(usize, Duration),
    /// The store is up from this time on.
    Begun(Instant),
}

/// The contents of a [`Memory`] store, and the faults that it simulates.
#[derive(Default)]
pub struct Data {
    revision: Revision,
    items: BTreeMap<String, (Item, LeaseId)>,
    leases: BTreeMap<LeaseId, (Instant, Duration)>,
    log: Vec<Change>,
    /// The number of next writes that take effect without an answer.
    pub answers_to_lose: u32,
    /// The size of the largest value that the store takes, in bytes.
    max_value_bytes: Option<usize>,
    /// The size of the largest value that a write has held, in bytes.
    largest_value: usize,
    /// The number of next writes that are not answered and are carried out
    /// later.
    writes_to_hold: u32,
    /// The writes that were not carried out yet, as conditions and mutations.
    held_writes: Vec<(Vec<Compare>, Vec<Mutation>)>,
    /// Whether the held writes are carried out just before the next write.
    held_overtake: bool,
    /// The number of next calls that are rejected.
    pub calls_to_reject: u32,
    /// The number of requested writes.
    writes: usize,
    /// The number of requested reads of a key.
    reads: usize,
    /// The outage, if one is planned or has begun.
    outage: Option<OutageState>,
}

/// An in-memory store.
#[derive(Clone, Default)]
pub struct Memory(Arc<Mutex<Data>>);

impl Memory {
    /// Loses the answers of the next writes.
    pub fn lose_answers(&self, answers: u32) {
        self.lock().answers_to_lose = answers;
    }

    /// Sets the size of the largest value that the store takes, in bytes.
    pub fn limit_values(&self, bytes: usize) {
        self.lock().max_value_bytes = Some(bytes);
    }

    /// Returns the size of the largest value that a write has held, in bytes.
    pub fn largest_value(&self) -> usize {
        self.lock().largest_value
    }

    /// Leaves the next writes unanswered until [`Memory::do_held_writes`].
    pub fn hold_writes(&self, writes: u32) {
        self.lock().writes_to_hold = writes;
    }

    /// Carries out the held writes whose conditions still hold.
    pub fn do_held_writes(&self) {
        self.lock().do_held_writes();
    }

    /// Carries out the held writes just before the next write.
    pub fn do_held_writes_before_next(&self) {
        self.lock().held_overtake = true;
    }

    /// Returns whether a key exists.
    pub fn has_key(&self, key: &str) -> bool {
        self.lock().items.contains_key(key)
    }

    /// Returns the value of a key, whatever the faults.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let data = self.lock();
        data.items.get(key).map(|(item, _)| item.value.clone())
    }

    /// Rejects the next calls.
    pub fn reject_calls(&self, calls: u32) {
        self.lock().calls_to_reject = calls;
    }

    /// Plans an outage.
    pub fn plan_outage(&self, outage: Outage) {
        self.lock().outage = Some(OutageState::Planned(outage));
    }

    /// Returns whether the planned outage is over.
    pub fn is_outage_over(&self) -> bool {
        let now = Instant::now();
        matches!(self.lock().outage, Some(OutageState::Begun(end)) if end <= now)
    }

    /// Waits until a call has reached the store.
    async fn arrive(&self) -> Result<(), Error> {
        if self.lock().outage.is_none() {
            return Ok(());
        }
        let sent = Instant::now();
        self.lock().count_call();
        tokio::time::sleep(ANSWER_TIME).await;
        for resend in RESENDS {
            if !self.lock().is_down() {
                return Ok(());
            }
            tokio::time::sleep_until(sent + resend).await;
        }
        if !self.lock().is_down() {
            return Ok(());
        }
        tokio::time::sleep_until(sent + CLIENT_TIMEOUT).await;
        Err(Error::Lost(lost_answer()))
    }

    /// Returns the holder of the planner's claim.
    pub fn claim_holder(&self) -> Option<Holder> {
        let data = self.lock();
        let (item, _) = data.items.get(keys::CLAIM)?;
        serde_json::from_slice(&item.value).ok()
    }

    /// Returns the number of requested writes and of requested reads of a key.
    pub fn call_counts(&self) -> (usize, usize) {
        let data = self.lock();
        (data.writes, data.reads)
    }

    /// Locks the contents, after the removal of expired leases.
    pub fn lock(&self) -> MutexGuard<'_, Data> {
        let mut data = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let expired: Vec<LeaseId> = data
            .leases
            .iter()
            .filter(|(_, (deadline, _))| *deadline <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            data.leases.remove(&lease);
            data.remove_lease(lease);
        }
        data
    }

    /// Locks the contents for a call, unless the call is rejected.
    fn begin_call(&self) -> Result<MutexGuard<'_, Data>, Error> {
        let mut data = self.lock();
        match data.calls_to_reject {
            0 => Ok(data),
            _ => {
                data.calls_to_reject -= 1;
                Err(Error::Unreached(lost_answer()))
            }
        }
    }
}

fn lost_answer() -> http::Error {
    http::Error::Lost {
        url: "memory".to_owned(),
        reason: "on demand".to_owned(),
    }
}

impl Data {
    /// Begins the planned outage if this call is the one to begin with.
    fn count_call(&mut self) {
        let Some(OutageState::Counting(left, lasts)) = self.outage else {
            return;
        };
        self.outage = Some(match left {
            0 | 1 => self.begin_outage(lasts),
            _ => OutageState::Counting(left - 1, lasts),
        });
    }

    /// Begins the planned outage if a reading of `prefix` is the call to begin
    /// with.
    fn note_list(&mut self, prefix: &str) {
        let Some(OutageState::Planned(outage)) = self.outage else {
            return;
        };
        if matches!(outage.at, Event::List(planned) if planned == prefix) {
            self.outage = Some(self.begin_outage(outage.lasts));
        }
    }

    fn begin_outage(&mut self, lasts: Duration) -> OutageState {
        for (deadline, _) in self.leases.values_mut() {
            *deadline += lasts;
        }
        OutageState::Begun(Instant::now() + lasts)
    }

    /// Returns whether the store receives nothing now.
    fn is_down(&self) -> bool {
        let now = Instant::now();
        matches!(self.outage, Some(OutageState::Begun(end)) if now < end)
    }

    /// Counts the calls from now on if a claim is made.
    fn note_claim(&mut self, mutations: &[Mutation]) {
        let claims = mutations.iter().any(|m| m.key() == keys::CLAIM);
        let Some(OutageState::Planned(outage)) = self.outage else {
            return;
        };
        if let (true, Event::AfterClaim(call)) = (claims, outage.at) {
            self.outage = Some(OutageState::Counting(call, outage.lasts));
        }
    }

    /// Deletes the items that are attached to a lease.
    fn remove_lease(&mut self, lease: LeaseId) {
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, (_, on))| *on == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.items.remove(&key);
            self.log.push(Change::Deleted(key, self.revision));
        }
    }

    /// Returns whether all conditions hold.
    fn holds(&self, conditions: &[Compare]) -> bool {
        conditions.iter().all(|condition| {
            let (Compare::Created(key, revision)
            | Compare::Modified(key, revision)) = condition;
            let item = self.items.get(key).map(|(item, _)| item);
            item.map_or(0, |item| item.modified) == *revision
        })
    }

    /// Carries out the held writes whose conditions still hold.
    fn do_held_writes(&mut self) {
        for (conditions, mutations) in std::mem::take(&mut self.held_writes) {
            if self.holds(&conditions) {
                self.apply(mutations);
            }
        }
    }

    /// Applies the mutations of one transaction.
    fn apply(&mut self, mutations: Vec<Mutation>) {
        self.revision += 1;
        for mutation in mutations {
            match mutation {
                Mutation::Value(key, value, lease) => {
                    let item = Item {
                        key: key.clone(),
                        value,
                        created: self.revision,
                        modified: self.revision,
                    };
                    self.log.push(Change::Put(item.clone()));
                    self.items.insert(key, (item, lease));
                }
                Mutation::Delete(key) => {
                    if self.items.remove(&key).is_some() {
                        let change = Change::Deleted(key, self.revision);
                        self.log.push(change);
                    }
                }
            }
        }
    }
}

impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        self.arrive().await?;
        self.lock().reads += 1;
        let data = self.begin_call()?;
        Ok(data.items.get(key).map(|(item, _)| item.clone()))
    }

    async fn is_unleased(&self, key: &str) -> Result<Option<bool>, Error> {
        self.arrive().await?;
        self.lock().reads += 1;
        let data = self.begin_call()?;
        Ok(data.items.get(key).map(|(_, lease)| *lease == 0))
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.lock().note_list(prefix);
        self.arrive().await?;
        let data = self.begin_call()?;
        let items = data.items.values().map(|(item, _)| item.clone());
        Ok(Listing {
            revision: data.revision,
            items: items.filter(|i| i.key.starts_with(prefix)).collect(),
        })
    }

    async fn swap(
        &self,
        conditions: &[Compare],
        mutations: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        self.arrive().await?;
        self.lock().writes += 1;
        let mut data = self.begin_call()?;
        let largest = mutations
            .iter()
            .map(Mutation::payload_bytes)
            .max()
            .unwrap_or(0);
        data.largest_value = data.largest_value.max(largest);
        if data.max_value_bytes.is_some_and(|limit| largest > limit) {
            return Err(Error::Rejected(http::Error::Unexpected {
                url: "memory".to_owned(),
                status: StatusCode::BAD_REQUEST,
                body: format!("a value of {largest} bytes"),
            }));
        }
        assert!(conditions.len() + mutations.len() <= MAX_ENTRIES);
        if data.writes_to_hold > 0 {
            data.writes_to_hold -= 1;
            data.held_writes.push((conditions.to_vec(), mutations));
            return Err(Error::Lost(lost_answer()));
        }
        if std::mem::take(&mut data.held_overtake) {
            data.do_held_writes();
        }
        if !data.holds(conditions) {
            let keys = conditions.iter().map(|c| match c {
                Compare::Created(key, _) | Compare::Modified(key, _) => key,
            });
            let items = keys.filter_map(|key| data.items.get(key));
            let items = items.map(|(item, _)| item.clone()).collect();
            return Ok(Swap::Refused(items));
        }
        data.note_claim(&mutations);
        data.apply(mutations);
        match data.answers_to_lose {
            0 => Ok(Swap::Written(data.revision)),
            _ => {
                data.answers_to_lose -= 1;
                Err(Error::Lost(lost_answer()))
            }
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.arrive().await?;
        let mut data = self.begin_call()?;
        data.revision += 1;
        let lease = data.revision;
        data.leases.insert(lease, (Instant::now() + ttl, ttl));
        Ok(lease)
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, Error> {
        self.arrive().await?;
        let mut data = self.begin_call()?;
        let found = data.leases.get_mut(&lease);
        Ok(found
            .map(|(deadline, ttl)| *deadline = Instant::now() + *ttl)
            .is_some())
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.arrive().await?;
        let mut data = self.begin_call()?;
        data.leases.remove(&lease);
        data.remove_lease(lease);
        Ok(())
    }

    async fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, Error> {
        self.arrive().await?;
        drop(self.begin_call()?);
        let deadline = Instant::now() + wait;
        let mut interval = tokio::time::interval(Duration::from_millis(5));
        loop {
            interval.tick().await;
            let data = self.lock();
            // A waiting call also fails once calls are rejected, or the store
            // is down.
            if data.calls_to_reject > 0 || data.is_down() {
                return Err(Error::Unreached(lost_answer()));
            }
            let matches = |change: &&Change| {
                let key = match change {
                    Change::Put(item) => &item.key,
                    Change::Deleted(key, _) => key,
                };
                change.revision() > after && key.starts_with(prefix)
            };
            let changes: Vec<Change> =
                data.log.iter().filter(matches).cloned().collect();
            if !changes.is_empty() || Instant::now() >= deadline {
                let revision = data.revision;
                return Ok(Changes { revision, changes });
            }
        }
    }
}
