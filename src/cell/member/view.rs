//! What an agent knows of its worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::cell::member::Heartbeat;
use crate::cell::worker::WorkerTime;
use crate::graph::Before;
use crate::graph::Ended;
use crate::graph::Life;
use crate::graph::Lists;
use crate::graph::Refusal;
use crate::graph::Refused;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::Start;
use crate::graph::Task;
use crate::graph::WorkerReport;

/// For how long a worker must not answer before its life is taken for over.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// For how long a look's answer shows which life is here: until the next
/// has had its answer, or none.
const CONFIRMATION_LIFETIME: Duration = Duration::from_millis(1700);
/// How many looks in a row must have no answer before a worker counts as
/// deaf: one may be lost with its connection.
pub(super) const UNRESPONSIVE_POLLS: u32 = 2;

/// A run of a task.
pub type Key = (Task, Run);

/// How far an order has come.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// It is being started; an order to stop it waits for nothing.
    Starting,
    /// The worker has started it.
    Started,
    /// It is being stopped.
    Stopping,
    /// The worker has refused it, or barred it; true only once a look that
    /// began later does not list it.
    Refused {
        /// Why.
        why: Refusal,
        /// The first look that counts.
        poll: u64,
        /// Whether such a look has come.
        confirmed: bool,
    },
}

/// What is known of the worker.
#[derive(Clone, Debug)]
pub struct View {
    pub heartbeat: Heartbeat,
    /// Until when it stays at least, while it is leaving.
    pub stays_until: Option<Instant>,
    /// Its time, and when we had it: it was then no earlier.
    pub clock: Option<(WorkerTime, Instant)>,
    pub lists: Option<Lists>,
    /// The ends that it has listed last, once its lists count no more.
    pub last_ended: Vec<Ended>,
    /// Counts the looks.
    pub polls: u64,
    pub acknowledged: u64,
    pub starts: BTreeMap<Key, Start>,
    pub stops: BTreeSet<Key>,
    pub phases: BTreeMap<Key, Phase>,
    /// The runs that have begun, or may have, and whose end is not listed;
    /// what each takes.
    pub begun: BTreeMap<Key, Resources>,
    /// Whether a look has shown what it lists.
    pub has_listed: bool,
    /// Whether it has had more room in this life than it has now.
    pub shrunk: bool,
    pub last_contact: Instant,
    /// When the last look was answered by this birth, until another is made.
    pub last_poll_answer: Option<Instant>,
    /// Whether a start has had no answer since the last look that had one:
    /// the worker may be down, and be back as another birth.
    pub start_unanswered: bool,
    /// How many looks in a row had no answer, whatever its heartbeats say.
    pub failed_polls: u32,
    /// Until when, at most, what runs may go on.
    pub leased_until: Option<Instant>,
    /// When its life is taken for over.
    pub over_at: Option<Instant>,
    /// Whether that is because its leases have run out in silence.
    pub lapsed: bool,
    /// Whether its process was seen to be down.
    pub down: bool,
    /// Whether it is leaving only because it was said to have left.
    pub reported_left: bool,
    /// The runs of earlier births under its name that may begin here: a
    /// call names the worker alone, and may be carried out seconds later.
    pub late_runs: BTreeSet<Key>,
    /// The last look that does not show them.
    pub ignored_polls: u64,
}

impl View {
    pub(super) fn new(
        heartbeat: Heartbeat,
        lease: Duration,
        now: Instant,
    ) -> View {
        View {
            stays_until: heartbeat.remaining.map(|remaining| now + remaining),
            clock: heartbeat.time.map(|time| (time, now)),
            heartbeat,
            lists: None,
            last_ended: Vec::new(),
            polls: 0,
            acknowledged: 0,
            starts: BTreeMap::new(),
            stops: BTreeSet::new(),
            phases: BTreeMap::new(),
            begun: BTreeMap::new(),
            has_listed: false,
            shrunk: false,
            last_contact: now,
            last_poll_answer: None,
            start_unanswered: false,
            failed_polls: 0,
            // An earlier life of this process may have leased so long.
            leased_until: Some(now + lease),
            over_at: None,
            reported_left: false,
            lapsed: false,
            down: false,
            late_runs: BTreeSet::new(),
            ignored_polls: 0,
        }
    }

    /// Returns the runs whose orders may be carried out in a later life.
    pub(super) fn late_runs(self, later: &Life) -> BTreeSet<Key> {
        if self.heartbeat.life.name() != later.name() {
            // Calls are refused there: they name this one.
            return BTreeSet::new();
        }
        let under_way =
            |phase: &Phase| matches!(phase, Phase::Starting | Phase::Started);
        let orders = self.phases.iter();
        let orders = orders.filter(|(_, phase)| under_way(phase));
        let mut late = self.late_runs;
        late.extend(orders.map(|(key, _)| key.clone()));
        late.extend(self.begun.into_keys());
        late
    }

    /// Returns whether a start fits beside what has begun, where the room
    /// has shrunk since orders were given: a worker that does not guard its
    /// room would begin it all the same.
    pub fn has_room(&self, key: &Key, start: &Start) -> bool {
        if !self.shrunk || self.is_listed(key) {
            return true;
        }
        // Its own start without answer may not have been carried out.
        let others = self.begun.iter().filter(|(other, _)| *other != key);
        let taken =
            others.fold(start.charge, |sum, (_, charge)| sum.plus(charge));
        self.heartbeat.capacity.holds(&taken)
    }

    /// Returns whether a run has begun, or may have: its start may have had
    /// no answer.
    pub fn may_run(&self, key: &Key) -> bool {
        self.begun.contains_key(key)
    }

    /// Takes in that another birth answers: these lists are of before.
    pub(super) fn mark_replaced(&mut self) {
        if let Some(lists) = self.lists.take() {
            self.last_ended = lists.ended;
        }
    }

    /// Returns what is told of this life once it is over.
    pub(super) fn before(&self) -> Before {
        // What it has done and was read is not done again for its end.
        let ended = self.lists.as_ref().map_or(&self.last_ended, |l| &l.ended);
        let unacknowledged =
            ended.iter().filter(|end| end.number > self.acknowledged);
        Before {
            ended: unacknowledged.cloned().collect(),
            life: self.heartbeat.life.clone(),
            begun: self.begun.keys().cloned().collect(),
            unseen: !self.has_listed,
            over: false,
        }
    }

    /// Takes in that the worker lives.
    pub fn mark_alive(&mut self, now: Instant) {
        self.last_contact = now;
        self.over_at = self.over_at.filter(|_| self.heartbeat.leaving);
    }

    /// Returns whether the worker answers no calls, though it may well send
    /// heartbeats: what is ordered there would not begin.
    pub fn is_unresponsive(&self) -> bool {
        self.failed_polls >= UNRESPONSIVE_POLLS
    }

    /// Returns whether this life answers calls: another one that is named
    /// meanwhile is gone already, and its heartbeat late, or it is none.
    pub(super) fn is_confirmed(&self, now: Instant) -> bool {
        self.is_responding(now) && self.over_at.is_none()
    }

    /// Returns whether its last look was answered by this very birth.
    pub fn is_current(&self) -> bool {
        self.lists.is_some() && self.failed_polls == 0
    }

    /// Returns whether its last look was answered, and lately.
    pub(super) fn is_responding(&self, now: Instant) -> bool {
        let lately = self
            .clock
            .is_some_and(|(_, at)| now < at + CONFIRMATION_LIFETIME);
        lately && self.is_current()
    }

    /// Returns whether the worker has not answered for long.
    pub fn is_silent(&self, now: Instant) -> bool {
        now > self.last_contact + SILENCE_LIMIT
    }

    pub fn is_over(&self, now: Instant) -> bool {
        self.over_at.is_some_and(|over| now >= over)
    }

    /// Returns the worker's time at an instant, or a little before it.
    pub fn worker_time_at(&self, target: Instant) -> Option<WorkerTime> {
        let (time, at) = self.clock?;
        let ahead = target.saturating_duration_since(at);
        Some(time + ahead.as_millis() as u64)
    }

    /// Returns whether a run is listed.
    pub(super) fn is_listed(&self, key: &Key) -> bool {
        self.lists.as_ref().is_some_and(|lists| {
            let running = lists.running.iter().map(|r| (&r.task, r.run));
            let ended = lists.ended.iter().map(|e| (&e.task, e.run));
            running
                .chain(ended)
                .any(|(task, run)| *task == key.0 && run == key.1)
        })
    }

    /// Takes for sure what a look with this number does not contradict;
    /// returns whether there was any.
    pub(super) fn confirm_refusals(&mut self, number: u64) -> bool {
        let listed: BTreeSet<Key> = self
            .phases
            .keys()
            .filter(|key| self.is_listed(key))
            .cloned()
            .collect();
        let mut any = false;
        for (key, phase) in &mut self.phases {
            if let Phase::Refused {
                poll, confirmed, ..
            } = phase
            {
                let now_sure = *poll <= number && !listed.contains(key);
                any |= now_sure && !*confirmed;
                *confirmed |= now_sure;
            }
        }
        any
    }

    /// Returns the orders that nothing is being done about yet.
    pub(super) fn take_due(&mut self) -> Vec<Key> {
        let wanted = |key: &Key| {
            self.starts.contains_key(key) || self.stops.contains(key)
        };
        self.phases.retain(|key, phase| {
            wanted(key) || matches!(phase, Phase::Starting | Phase::Stopping)
        });
        let mut due = Vec::new();
        for key in self.starts.keys() {
            if !self.phases.contains_key(key) {
                due.push(key.clone());
            }
        }
        for key in &self.stops {
            let idle = match self.phases.get(key) {
                None | Some(Phase::Starting | Phase::Started) => true,
                Some(Phase::Stopping) => false,
                // What the worker refused to start may still come late,
                // unless it is barred.
                Some(Phase::Refused { why, .. }) => *why != Refusal::Barred,
            };
            if idle {
                due.push(key.clone());
            }
        }
        for key in &due {
            let phase = match self.stops.contains(key) {
                true => Phase::Stopping,
                false => Phase::Starting,
            };
            self.phases.insert(key.clone(), phase);
        }
        due
    }

    pub(super) fn report(&self, now: Instant) -> Option<WorkerReport> {
        let lists = self.lists.clone()?;
        let refused =
            self.phases.iter().filter_map(|(key, phase)| match phase {
                Phase::Refused {
                    why,
                    confirmed: true,
                    ..
                } => Some(Refused {
                    task: key.0.clone(),
                    run: key.1,
                    why: *why,
                }),
                _ => None,
            });
        let remaining = self
            .stays_until
            .map(|stays| stays.saturating_duration_since(now).as_millis());
        Some(WorkerReport {
            life: self.heartbeat.life.clone(),
            pool: self.heartbeat.pool.clone(),
            machine: self.heartbeat.machine.clone(),
            hall: self.heartbeat.hall.clone(),
            rack: self.heartbeat.rack.clone(),
            labels: self.heartbeat.labels.clone(),
            capacity: self.heartbeat.capacity,
            leaving: self.heartbeat.leaving,
            silent: self.is_silent(now) || self.is_unresponsive(),
            remaining_ms: remaining.map(|ms| ms as u64),
            lists,
            refused: refused.collect(),
        })
    }
}
