//! An agent's view of its worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::cell::member::goodbye::Goodbye;
use crate::cell::member::Heartbeat;
use crate::cell::worker::WorkerTime;
use crate::graph::Birth;
use crate::graph::Ended;
use crate::graph::Life;
use crate::graph::Lists;
use crate::graph::PastLife;
use crate::graph::Refusal;
use crate::graph::Refused;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::SharedStr;
use crate::graph::Start;
use crate::graph::Task;
use crate::graph::WorkerReport;
use crate::graph::PROVEN_AFTER;

/// The time without any sign of the worker after which its life counts as
/// over.
pub(super) const SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// How long a poll's answer confirms the worker's life: until the next poll is
/// answered or has failed.
pub(super) const CONFIRMATION_LIFETIME: Duration = Duration::from_millis(1700);
/// The consecutive failed polls after which a worker counts as unresponsive. A
/// single poll may be lost with its connection.
pub(super) const UNRESPONSIVE_POLLS: u32 = 2;

/// The growth of a run's share that is reported at once while the worker's
/// speed is unknown, in percent: the planner estimates times from it.
const REPORTED_SHARE: f64 = 10.0;

/// How long a heartbeat decides which ones come after it. A worker that is
/// there sends the next one much sooner, and none of its calls is under way for
/// as long.
const ORDER_LIFETIME: Duration = Duration::from_secs(4);
/// The most by which a sequence can rise meanwhile: 25 heartbeats a second.
const MAX_SEQUENCE_STEP: u64 = 100;

/// The consecutive heartbeats without an announced end that revoke an earlier
/// announcement. A single one may itself not be from the worker.
const REVOKING_HEARTBEATS: u32 = 2;

/// A run of a task.
pub type Key = (Task, Run);

/// The state of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// The run is being started. An order to stop it need not wait.
    Starting,
    /// The worker has started the run.
    Started,
    /// The run is being stopped.
    Stopping,
    /// The worker has refused or barred the run. The refusal is certain only
    /// once a poll that began later does not list the run.
    Refused {
        /// The reason of the refusal.
        reason: Refusal,
        /// The number of the first poll that can confirm the refusal.
        poll: u64,
        /// Whether such a poll has confirmed the refusal.
        confirmed: bool,
    },
}

/// A run that has begun, or may have begun, on the worker.
#[derive(Clone, Debug, Default)]
pub struct Begun {
    /// The resources that the run takes, unknown of one that an earlier process
    /// of this agent has started.
    pub charge: Resources,
    /// The account that the run's use counts for, unknown in the same way.
    pub account: Option<SharedStr>,
    /// When this agent had started the run, or `None` if an earlier process of
    /// the agent may have.
    pub started_at: Option<Instant>,
    /// When the worker last listed the run.
    pub listed_at: Option<Instant>,
}

impl Begun {
    /// Returns whether this agent has started the run, and the worker was not
    /// seen to run it for [`PROVEN_AFTER`].
    fn is_short(&self) -> bool {
        self.started_at.is_some_and(|started| {
            self.listed_at
                .is_none_or(|listed| listed < started + PROVEN_AFTER)
        })
    }
}

/// The evidence that a life is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    /// The worker said goodbye, and its port has been closed since.
    Left,
    /// Another life answered a call that was meant for this one.
    Replaced,
    /// Its leases ran out without a sign of it.
    Lapsed,
}

/// An agent's view of one life of its worker.
#[derive(Clone, Debug)]
pub struct View {
    pub heartbeat: Heartbeat,
    /// Until when only the heartbeats that follow this one are applied.
    ordered_until: Instant,
    /// The time until which a leaving worker stays at least.
    pub stays_until: Option<Instant>,
    /// The worker's time, and when it was received: the worker's clock was
    /// then at or past that time.
    pub clock: Option<(WorkerTime, Instant)>,
    pub lists: Option<Lists>,
    /// The time on the worker's clock at which it listed them.
    pub listed_at: Option<WorkerTime>,
    /// The ends listed last, kept after the lists became invalid.
    pub last_ended: Vec<Ended>,
    /// The number of polls so far.
    pub polls: u64,
    /// The highest end that the planner has recorded, which may therefore be
    /// acknowledged.
    pub acknowledged: u64,
    pub starts: BTreeMap<Key, Start>,
    /// When the ordered members of gangs must have begun.
    pub begin_by: BTreeMap<Key, Instant>,
    pub stops: BTreeSet<Key>,
    pub phases: BTreeMap<Key, Phase>,
    /// The runs that have begun, or may have begun, and whose end is not
    /// listed.
    pub begun: BTreeMap<Key, Begun>,
    /// Whether a poll of this life has been answered with lists.
    pub has_listed: bool,
    /// Whether the worker had more capacity earlier in this life.
    pub shrunk: bool,
    pub last_contact: Instant,
    /// When this birth answered the last poll; cleared when another poll is
    /// sent.
    pub last_poll_answer: Option<Instant>,
    /// Whether a start was not answered since the last answered poll. The
    /// worker may be down, and may restart as another birth.
    pub start_unanswered: bool,
    /// The number of consecutive polls without an answer, regardless of
    /// heartbeats.
    pub failed_polls: u32,
    /// The latest time until which any run may continue.
    pub leased_until: Option<Instant>,
    /// The consecutive heartbeats that did not announce an end.
    ready_heartbeats: u32,
    /// The birth that the last answered poll has named.
    pub answered_birth: Option<Birth>,
    /// Why the life counts as over, if it does.
    pub over: Option<Over>,
    /// Whether the worker's process was seen to be down.
    pub down: bool,
    /// The notice that the worker is about to end, if there was one.
    pub goodbye: Option<Goodbye>,
    /// The runs of earlier births under the same name that may still begin
    /// here. A call names only the worker, and may be carried out seconds
    /// later.
    pub late_runs: BTreeSet<Key>,
    /// The number of the last poll whose answer may not show the late runs;
    /// answers up to it are ignored.
    pub ignored_polls: u64,
    /// The share of its work that each run had done in the last report, in
    /// percent.
    pub reported_shares: BTreeMap<Key, f64>,
    /// The number of polls that did not wait for long because the worker's
    /// speed was unknown.
    pub frequent_polls: u32,
}

impl View {
    pub(super) fn new(
        heartbeat: Heartbeat,
        lease: Duration,
        now: Instant,
    ) -> View {
        View {
            stays_until: heartbeat.stays_until(now),
            clock: heartbeat.time.map(|time| (time, now)),
            heartbeat,
            ordered_until: now + ORDER_LIFETIME,
            lists: None,
            listed_at: None,
            last_ended: Vec::new(),
            polls: 0,
            acknowledged: 0,
            starts: BTreeMap::new(),
            begin_by: BTreeMap::new(),
            stops: BTreeSet::new(),
            phases: BTreeMap::new(),
            begun: BTreeMap::new(),
            has_listed: false,
            shrunk: false,
            last_contact: now,
            last_poll_answer: None,
            start_unanswered: false,
            failed_polls: 0,
            // An earlier process of this agent may have given a lease of this
            // length.
            leased_until: Some(now + lease),
            ready_heartbeats: 0,
            answered_birth: None,
            over: None,
            down: false,
            goodbye: None,
            late_runs: BTreeSet::new(),
            ignored_polls: 0,
            reported_shares: BTreeMap::new(),
            frequent_polls: 0,
        }
    }

    /// Returns the runs whose orders may be carried out in a later life.
    pub(super) fn late_runs(self, later: &Life) -> BTreeSet<Key> {
        if self.heartbeat.life.name() != later.name() {
            // A life of another name refuses these calls, since they name this
            // one.
            return BTreeSet::new();
        }
        let in_progress =
            |phase: &Phase| matches!(phase, Phase::Starting | Phase::Started);
        let orders = self.phases.iter();
        let orders = orders.filter(|(_, phase)| in_progress(phase));
        let mut late = self.late_runs;
        late.extend(orders.map(|(key, _)| key.clone()));
        late.extend(self.begun.into_keys());
        late
    }

    /// Returns whether a start fits beside the runs that have begun, if the
    /// worker's capacity has shrunk since the order. A worker that does not
    /// enforce its capacity would start the run regardless.
    pub fn has_room(&self, key: &Key, start: &Start) -> bool {
        if !self.shrunk || self.is_listed(key) {
            return true;
        }
        // The run's own unanswered start is not counted, as it may not have
        // been carried out.
        let others = self.begun.iter().filter(|(other, _)| *other != key);
        let taken =
            others.fold(start.charge, |sum, (_, run)| sum.plus(&run.charge));
        self.heartbeat.capacity.holds(&taken)
    }

    /// Returns whether a run has begun, or may have begun by a start that was
    /// not answered.
    pub fn may_run(&self, key: &Key) -> bool {
        self.begun.contains_key(key)
    }

    /// Records that another birth answers. The lists belong to this one.
    pub(super) fn mark_replaced(&mut self) {
        if let Some(lists) = self.lists.take() {
            self.last_ended = lists.ended;
        }
    }

    /// Returns the report of this life for the time after its end.
    pub(super) fn past_life(&self) -> PastLife {
        // The ends read from this life are reported, so that these runs are
        // not repeated.
        let ended = self.lists.as_ref().map_or(&self.last_ended, |l| &l.ended);
        let short = self.begun.iter().filter(|(_, run)| run.is_short());
        let unacknowledged =
            ended.iter().filter(|end| end.number > self.acknowledged);
        PastLife {
            ended: unacknowledged.cloned().collect(),
            life: self.heartbeat.life.clone(),
            begun: self.begun.keys().cloned().collect(),
            short: short.map(|(key, _)| key.clone()).collect(),
            unseen: !self.has_listed,
            over: false,
        }
    }

    /// Counts a heartbeat that comes after the last one, and returns whether it
    /// shows that the worker is not leaving.
    ///
    /// A worker that announces its end says so in every later heartbeat. If it
    /// answers, and [`REVOKING_HEARTBEATS`] do not, the announcement was not
    /// from the worker.
    pub(super) fn is_end_revoked_by(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> bool {
        self.ready_heartbeats = match heartbeat.leaving {
            true => 0,
            false => self.ready_heartbeats.saturating_add(1),
        };
        self.ready_heartbeats >= REVOKING_HEARTBEATS
            && self.goodbye.is_none()
            && self.is_responding(now)
            && !self.is_over()
    }

    /// Returns whether a heartbeat of `life` lacks the birth that the known
    /// life has under the same name. A worker that names its birth does so in
    /// every heartbeat.
    pub(super) fn lacks_birth_of(&self, life: &Life) -> bool {
        let known = &self.heartbeat.life;
        let same_name = known.name() == life.name();
        let lacks = known.birth().is_some() && life.birth().is_none();
        same_name && lacks && !self.is_over()
    }

    /// Returns whether the worker's answers name the birth of `life` while the
    /// last heartbeat named none, and so was not from the worker.
    pub(super) fn answers_as(&self, life: &Life) -> bool {
        let known = &self.heartbeat.life;
        let same_name = known.name() == life.name();
        let named = known.birth().is_none() && life.birth().is_some();
        same_name && named && self.answered_birth == life.birth()
    }

    /// Returns whether a heartbeat with this sequence comes after the last
    /// one.
    ///
    /// A lower one is late, and one that is far ahead is not from this worker.
    /// If nothing follows the last one for [`ORDER_LIFETIME`], it was itself
    /// not from this worker, and whatever comes then is newer.
    pub(super) fn is_followed_by(&self, sequence: u64, now: Instant) -> bool {
        let step = sequence.checked_sub(self.heartbeat.sequence);
        let follows =
            step.is_some_and(|s| (1..=MAX_SEQUENCE_STEP).contains(&s));
        follows || now >= self.ordered_until
    }

    /// Replaces the last heartbeat by one that comes after it.
    pub(super) fn replace_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        now: Instant,
    ) {
        self.heartbeat = heartbeat;
        self.ordered_until = now + ORDER_LIFETIME;
    }

    /// Records a sign of life from the worker.
    pub fn mark_alive(&mut self, now: Instant) {
        self.last_contact = now;
        self.over = self.over.filter(|_| self.heartbeat.leaving);
    }

    /// Returns whether the worker answers no calls. Such a worker may still
    /// send heartbeats, but orders would not be carried out.
    pub fn is_unresponsive(&self) -> bool {
        self.failed_polls >= UNRESPONSIVE_POLLS
    }

    /// Returns whether this life answers calls. A heartbeat of another life is
    /// then either delayed, from a life that is gone, or false.
    pub(super) fn is_confirmed(&self, now: Instant) -> bool {
        self.is_responding(now) && !self.is_over()
    }

    /// Returns whether the last poll was answered by this birth.
    pub fn is_current(&self) -> bool {
        self.lists.is_some() && self.failed_polls == 0
    }

    /// Returns whether the last poll was answered, and recently.
    pub(super) fn is_responding(&self, now: Instant) -> bool {
        let recent = self.clock.is_some_and(|(_, received)| {
            now < received + CONFIRMATION_LIFETIME
        });
        recent && self.is_current()
    }

    /// Returns whether there has been no sign of the worker for long.
    pub fn is_silent(&self, now: Instant) -> bool {
        now > self.last_contact + SILENCE_LIMIT
    }

    /// Returns whether the worker's life counts as over.
    pub fn is_over(&self) -> bool {
        self.over.is_some()
    }

    /// Returns whether the life counts as over because its leases ran out in
    /// silence.
    pub(super) fn has_lapsed(&self) -> bool {
        self.over == Some(Over::Lapsed)
    }

    /// Returns the worker's time at an instant, or a little before it.
    pub fn worker_time_at(&self, instant: Instant) -> Option<WorkerTime> {
        let (time, received) = self.clock?;
        let ahead = instant.saturating_duration_since(received);
        Some(time.saturating_add(ahead.as_millis() as WorkerTime))
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

    /// Returns the listed runs whose account is known, with what they take.
    pub(super) fn held(&self) -> Vec<(SharedStr, Resources)> {
        let running = self.lists.iter().flat_map(|lists| &lists.running);
        let held = running.filter_map(|running| {
            let key = (running.task.clone(), running.run);
            let begun = self.begun.get(&key)?;
            Some((begun.account.clone()?, begun.charge))
        });
        held.collect()
    }

    /// Confirms the refusals that a poll with this number does not contradict.
    /// Returns whether there were any.
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
                let confirms = *poll <= number && !listed.contains(key);
                any |= confirms && !*confirmed;
                *confirmed |= confirms;
            }
        }
        any
    }

    /// Returns the listed runs and the shares of their work that are done, in
    /// percent.
    fn shares(&self) -> impl Iterator<Item = (Key, f64)> + '_ {
        let running = self.lists.iter().flat_map(|lists| &lists.running);
        running.map(|r| ((r.task.clone(), r.run), r.pace))
    }

    /// Records that the shares listed now are reported.
    pub(super) fn mark_shares_reported(&mut self) {
        self.reported_shares = self.shares().collect();
    }

    /// Returns whether a run has done so much since the last report that its
    /// time may be estimated from it.
    pub(super) fn has_progressed(&self) -> bool {
        self.shares().any(|(key, share)| {
            let before = self.reported_shares.get(&key).copied();
            before.is_some_and(|before| share >= before + REPORTED_SHARE)
        })
    }

    /// Sets the deadlines of ordered starts. The first deadline of a start
    /// holds when the start is ordered again.
    pub(super) fn set_begin_deadlines(
        &mut self,
        starts: &[Start],
        now: Instant,
    ) {
        let earlier = std::mem::take(&mut self.begin_by);
        for start in starts {
            let Some(ms) = start.begin_within_ms else {
                continue;
            };
            let key = (start.task.clone(), start.run);
            let ordered = now + Duration::from_millis(ms);
            let begin_by = earlier.get(&key).copied().unwrap_or(ordered);
            self.begin_by.insert(key, begin_by.min(ordered));
        }
    }

    /// Returns whether a start must not be carried out any more. A run that the
    /// worker has listed has begun, even if its start had no answer.
    pub(super) fn is_too_late(&self, key: &Key, now: Instant) -> bool {
        let has_begun = self
            .begun
            .get(key)
            .is_some_and(|run| run.listed_at.is_some());
        let begin_by = self.begin_by.get(key);
        !has_begun && begin_by.is_some_and(|begin_by| now >= *begin_by)
    }

    /// Returns the orders to act on now, and marks them as being carried out.
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
                // A refused start may still arrive late, unless the run is
                // barred.
                Some(Phase::Refused { reason, .. }) => {
                    *reason != Refusal::Barred
                }
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
                    reason,
                    confirmed: true,
                    ..
                } => Some(Refused {
                    task: key.0.clone(),
                    run: key.1,
                    why: *reason,
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
            listed_at: self.listed_at,
            speed: None,
            used: Vec::new(),
            refused: refused.collect(),
        })
    }
}
