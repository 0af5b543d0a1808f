//! In-memory simulation of the platform's store, with its faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

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

use crate::lock;
use crate::network::MachineId;
use crate::network::Network;
use crate::network::ProcessId;
use crate::orders::Fault;
use crate::orders::Milestone;
use crate::orders::Trigger;
use crate::orders::LATE;

/// Time that the store takes to answer a call.
const RESPONSE_TIME: Duration = Duration::from_millis(4);
/// Time after which a client's call to an unresponsive store fails.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval at which a waiting call checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// When a call that has not reached the store is sent again, on days with
/// faults bound to events, counted from the call.
const RESENDS: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(600)];

/// Active faults of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Calls are not answered.
    pub down: bool,
    /// Calls are refused.
    pub refusing: bool,
    /// Share of the writes whose answer is lost. Half of these writes are
    /// applied at once, the others seconds later if their condition still
    /// holds.
    pub lost_share: f64,
    /// Additional time that an answer takes.
    pub delay: Duration,
    /// The history of changes is discarded once, when the fault begins.
    pub compacted: bool,
}

#[derive(Default)]
struct Data {
    faults: Faults,
    random: fastrand::Rng,
    /// Maximum delay of a write whose answer is lost, in ms.
    max_delay_ms: u64,
    revision: Revision,
    items: BTreeMap<String, (Item, LeaseId)>,
    leases: BTreeMap<LeaseId, (Instant, Duration)>,
    /// When it was last checked which leases have expired.
    leases_checked: Option<Instant>,
    log: Vec<Change>,
    /// Revision up to which the history of changes is discarded.
    compacted_revision: Revision,
    /// The event with which a fault begins, on days with such an event.
    trigger: Option<Trigger>,
}

/// What becomes of a call that has reached the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It is carried out and answered.
    Answered,
    /// It is carried out, and the answer is lost.
    Unanswered,
    /// It is carried out later, and not answered.
    Late,
    /// It is carried out, and its process is killed.
    Last,
}

/// The store itself, shared by the clients of all processes.
#[derive(Clone)]
pub struct Server(Arc<Mutex<Data>>);

impl Server {
    /// Returns an empty store that draws its faults from a seed, and carries
    /// out a write whose answer is lost up to `max_delay` later.
    pub fn new(seed: u64, max_delay: Duration) -> Server {
        let random = fastrand::Rng::with_seed(seed);
        Server(Arc::new(Mutex::new(Data {
            random,
            max_delay_ms: max_delay.as_millis() as u64,
            ..Data::default()
        })))
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut data = lock(&self.0);
        data.faults = faults;
        if faults.compacted {
            data.compacted_revision = data.revision;
        }
    }

    /// Sets the event with which a fault begins.
    pub fn set_trigger(&self, trigger: Trigger) {
        lock(&self.0).trigger = Some(trigger);
    }

    /// Returns whether the event was met with which a fault begins.
    pub fn is_event_met(&self) -> bool {
        lock(&self.0)
            .trigger
            .is_some_and(|trigger| trigger.is_met())
    }

    /// Returns the holder of the planner's claim.
    pub fn claim_holder(&self) -> Option<Holder> {
        let data = lock(&self.0);
        let (item, _) = data.items.get(keys::CLAIM)?;
        serde_json::from_slice(&item.value).ok()
    }

    /// Takes the store down for a time. Leases wait for as long, or run out.
    fn take_down(&self, time: Duration, leases_wait: bool) {
        let mut data = lock(&self.0);
        data.faults.down = true;
        let wait = if leases_wait { time } else { Duration::ZERO };
        for (end, _) in data.leases.values_mut() {
            *end += wait;
        }
    }

    fn note_milestone(&self, process: ProcessId, reached: Milestone) {
        if let Some(trigger) = &mut lock(&self.0).trigger {
            trigger.on_milestone(process, reached);
        }
    }

    /// Returns a client for a process.
    pub fn client(&self, network: &Network, process: ProcessId) -> Client {
        Client {
            server: self.clone(),
            network: network.clone(),
            process,
        }
    }

    /// Writes on behalf of an operator, whose calls no fault disturbs.
    pub fn write_key(&self, mutation: Mutation) {
        let written = self.write(&[], vec![mutation]);
        written.expect("a write without conditions and leases");
    }

    fn write(
        &self,
        conditions: &[Compare],
        mutations: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        let mut data = lock(&self.0);
        data.expire_leases();
        data.swap(conditions, mutations)
    }
}

impl Data {
    fn expire_leases(&mut self) {
        let now = Instant::now();
        // Leases do not expire while the store is down, and no further one
        // does within the same instant.
        if self.faults.down || self.leases_checked == Some(now) {
            return;
        }
        self.leases_checked = Some(now);
        let expired = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let expired: Vec<LeaseId> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let attached =
            self.items.values().filter(|(_, held_by)| *held_by == lease);
        let keys: Vec<String> = attached.map(|(i, _)| i.key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.items.remove(&key);
            self.log.push(Change::Deleted(key, self.revision));
        }
    }

    fn swap(
        &mut self,
        conditions: &[Compare],
        mutations: Vec<Mutation>,
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
        let lease_of = |mutation: &Mutation| match mutation {
            Mutation::Value(_, _, lease) if *lease != 0 => Some(*lease),
            _ => None,
        };
        let mut leases = mutations.iter().filter_map(lease_of);
        if leases.any(|lease| !self.leases.contains_key(&lease)) {
            return Err(Error::Unreached(connection_error("no such lease")));
        }
        self.revision += 1;
        for mutation in mutations {
            self.apply(mutation);
        }
        Ok(Swap::Written(self.revision))
    }

    fn apply(&mut self, mutation: Mutation) {
        let revision = self.revision;
        match mutation {
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

/// Returns what a planner has reached with a write.
fn milestone(mutations: &[Mutation]) -> Option<Milestone> {
    let mut keys = mutations.iter().map(Mutation::key);
    match keys.clone().any(|key| key == keys::CLAIM) {
        true => Some(Milestone::Claim),
        false => keys
            .any(|key| key.starts_with(keys::PROGRESS_PREFIX))
            .then_some(Milestone::Write),
    }
}

fn connection_error(reason: &str) -> http::Error {
    http::Error::Lost {
        url: "store".to_owned(),
        reason: reason.to_owned(),
    }
}

/// The store client of one process.
#[derive(Clone)]
pub struct Client {
    server: Server,
    network: Network,
    process: ProcessId,
}

impl Client {
    /// Waits until a call has reached the store.
    ///
    /// # Errors
    ///
    /// If the store does not answer or refuses the call.
    async fn reach_server(&self) -> Result<Fate, Error> {
        self.network.block_if_dead(self.process).await;
        let sent = Instant::now();
        let fault = self.meet_event();
        let faults = lock(&self.server.0).faults;
        tokio::time::sleep(RESPONSE_TIME + faults.delay).await;
        self.network.block_if_dead(self.process).await;
        self.resend(sent).await;
        let faults = lock(&self.server.0).faults;
        match faults {
            _ if fault == Some(Fault::NotDone) => {
                tokio::time::sleep(CLIENT_TIMEOUT).await;
                Err(Error::Lost(connection_error("no answer")))
            }
            _ if !self.network.reaches_store(self.process) => {
                tokio::time::sleep(CLIENT_TIMEOUT).await;
                Err(Error::Unreached(connection_error("unreachable")))
            }
            Faults { down: true, .. } => {
                tokio::time::sleep(CLIENT_TIMEOUT).await;
                Err(Error::Unreached(connection_error("down")))
            }
            Faults { refusing: true, .. } => {
                Err(Error::Unreached(connection_error("refused")))
            }
            _ => {
                lock(&self.server.0).expire_leases();
                Ok(match fault {
                    Some(Fault::AnswerLost) => Fate::Unanswered,
                    Some(Fault::Late) => Fate::Late,
                    Some(Fault::KillAfter) => Fate::Last,
                    _ => Fate::Answered,
                })
            }
        }
    }

    /// Begins the fault that is bound to this call, if one is.
    fn meet_event(&self) -> Option<Fault> {
        let fault = {
            let mut data = lock(&self.server.0);
            data.trigger.as_mut()?.on_call(self.process)?
        };
        let machine = self.network.machine(self.process)?;
        self.network.record_fault(&fault.to_string());
        if fault == Fault::KillBefore {
            self.network.kill(self.process);
        }
        if let Some(time) = fault.length() {
            self.begin_lasting(fault, machine, time);
        }
        Some(fault)
    }

    /// Begins a fault that lasts for a time.
    fn begin_lasting(&self, fault: Fault, machine: MachineId, time: Duration) {
        let (server, network) = (self.server.clone(), self.network.clone());
        match fault {
            Fault::StoreCut(_) => network.set_store_cut(machine, true),
            Fault::PeersCut(_) => network.set_isolated(machine, true),
            Fault::DownLeasesWait(_) => server.take_down(time, true),
            _ => server.take_down(time, false),
        }
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            match fault {
                Fault::StoreCut(_) => network.set_store_cut(machine, false),
                Fault::PeersCut(_) => network.set_isolated(machine, false),
                _ => server.set_faults(Faults::default()),
            }
            network.end_recorded_fault(&fault.to_string());
        });
    }

    /// Sends a call again that has not reached the store.
    async fn resend(&self, sent: Instant) {
        for resend in RESENDS {
            let is_lost = {
                let data = lock(&self.server.0);
                let is_cut = !self.network.reaches_store(self.process);
                data.trigger.is_some() && (data.faults.down || is_cut)
            };
            if !is_lost {
                return;
            }
            tokio::time::sleep_until(sent + resend).await;
        }
    }

    /// Passes on what the store has answered, if the answer arrives.
    async fn answer<T>(&self, fate: Fate, answer: T) -> Result<T, Error> {
        match fate {
            Fate::Answered => Ok(answer),
            Fate::Last => {
                self.network.kill(self.process);
                std::future::pending().await
            }
            Fate::Unanswered | Fate::Late => {
                tokio::time::sleep(CLIENT_TIMEOUT).await;
                Err(Error::Lost(connection_error("no answer")))
            }
        }
    }
}

impl Store for Client {
    async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        let fate = self.reach_server().await?;
        let item = {
            let data = lock(&self.server.0);
            data.items.get(key).map(|(item, _)| item.clone())
        };
        self.answer(fate, item).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let fate = self.reach_server().await?;
        let listing = {
            let data = lock(&self.server.0);
            let items = data.items.values().map(|(item, _)| item);
            let matching = items.filter(|item| item.key.starts_with(prefix));
            Listing {
                revision: data.revision,
                items: matching.cloned().collect(),
            }
        };
        if prefix == keys::INTAKE_PREFIX {
            let server = &self.server;
            server.note_milestone(self.process, Milestone::Records);
        }
        self.answer(fate, listing).await
    }

    async fn swap(
        &self,
        conditions: &[Compare],
        mutations: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        let fate = self.reach_server().await?;
        if fate == Fate::Late {
            let (server, conditions) =
                (self.server.clone(), conditions.to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(LATE).await;
                // The caller never learns the result.
                let _ = server.write(&conditions, mutations);
            });
            return self.answer(fate, Swap::Refused(Vec::new())).await;
        }
        let (lost, delay_ms) = {
            let mut data = lock(&self.server.0);
            let share = data.faults.lost_share;
            let lost = data.random.f64() < share;
            let max_delay_ms = data.max_delay_ms;
            let delay_ms =
                data.random.bool().then(|| data.random.u64(..max_delay_ms));
            (lost, delay_ms)
        };
        if !lost {
            let milestone = milestone(&mutations);
            let swap = self.server.write(conditions, mutations)?;
            if let (Swap::Written(_), Some(milestone)) = (&swap, milestone) {
                self.server.note_milestone(self.process, milestone);
            }
            return self.answer(fate, swap).await;
        }
        let server = self.server.clone();
        let conditions = conditions.to_vec();
        tokio::spawn(async move {
            let delay = Duration::from_millis(delay_ms.unwrap_or_default());
            tokio::time::sleep(delay).await;
            // The caller never learns the result.
            let _ = server.write(&conditions, mutations);
        });
        tokio::time::sleep(CLIENT_TIMEOUT).await;
        Err(Error::Lost(connection_error("no answer")))
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let fate = self.reach_server().await?;
        let lease = {
            let mut data = lock(&self.server.0);
            data.revision += 1;
            let lease = data.revision;
            data.leases.insert(lease, (Instant::now() + ttl, ttl));
            lease
        };
        self.answer(fate, lease).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, Error> {
        let fate = self.reach_server().await?;
        let renewed = {
            let mut data = lock(&self.server.0);
            let renewed = data.leases.get_mut(&lease);
            renewed.map(|(end, ttl)| *end = Instant::now() + *ttl)
        };
        self.answer(fate, renewed.is_some()).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let fate = self.reach_server().await?;
        lock(&self.server.0).end_lease(lease);
        self.answer(fate, ()).await
    }

    async fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, Error> {
        let fate = self.reach_server().await?;
        if fate != Fate::Answered {
            return self.answer(fate, Changes::default()).await;
        }
        let deadline = Instant::now() + wait;
        loop {
            {
                let mut data = lock(&self.server.0);
                data.expire_leases();
                if after < data.compacted_revision {
                    return Err(Error::Forgotten(after));
                }
                let has_prefix = |c: &&Change| c.key().starts_with(prefix);
                let new = data.log.partition_point(|c| c.revision() <= after);
                let changes = data.log[new..].iter().filter(has_prefix);
                let changes: Vec<Change> = changes.cloned().collect();
                if !changes.is_empty() || Instant::now() >= deadline {
                    let revision = data.revision;
                    return Ok(Changes { revision, changes });
                }
                if data.faults.down || data.faults.refusing {
                    return Err(Error::Unreached(connection_error(
                        "connection closed",
                    )));
                }
            }
            if !self.network.reaches_store(self.process) {
                tokio::time::sleep(CLIENT_TIMEOUT).await;
                return Err(Error::Unreached(connection_error(
                    "connection closed",
                )));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
