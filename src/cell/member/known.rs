//! What an agent knows of its worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::cell::member::Heartbeat;
use crate::cell::worker::WorkerTime;
use crate::graph::Ended;
use crate::graph::Life;
use crate::graph::Lists;
use crate::graph::PastLife;
use crate::graph::Refusal;
use crate::graph::Refused;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::Start;
use crate::graph::Task;
use crate::graph::WorkerReport;

/// For how long a worker must not answer before its life is taken for over.
const SILENT: Duration = Duration::from_millis(1500);
/// For how long a look's answer shows which life is here: until the next
/// has had its answer, or none.
const CONFIRMED: Duration = Duration::from_millis(1700);
/// How many looks in a row must have no answer before a worker counts as
/// deaf: one may be lost with its connection.
pub(super) const DEAF: u32 = 2;

/// A run of a task.
pub type Key = (Task, Run);

/// How far an order has come.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
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
        look: u64,
        /// Whether such a look has come.
        sure: bool,
    },
}

/// What is known of the worker.
#[derive(Clone, Debug)]
pub struct Known {
    pub beat: Heartbeat,
    /// Until when it stays at least, while it is leaving.
    pub stays: Option<Instant>,
    /// Its time, and when we had it: it was then no earlier.
    pub clock: Option<(WorkerTime, Instant)>,
    pub lists: Option<Lists>,
    /// The ends that it has listed last, once its lists count no more.
    pub read: Vec<Ended>,
    /// Counts the looks.
    pub looks: u64,
    pub noted: u64,
    pub starts: BTreeMap<Key, Start>,
    pub stops: BTreeSet<Key>,
    pub progress: BTreeMap<Key, Progress>,
    /// The runs that have begun, or may have, and whose end is not listed;
    /// what each takes.
    pub begun: BTreeMap<Key, Resources>,
    /// Whether a look has shown what it lists.
    pub seen: bool,
    /// Whether it has had more room in this life than it has now.
    pub shrunk: bool,
    pub answered: Instant,
    /// When the last look was answered by this birth, until another is made.
    pub shown: Option<Instant>,
    /// Whether a start has had no answer since the last look that had one:
    /// the worker may be down, and be back as another birth.
    pub doubted: bool,
    /// How many looks in a row had no answer, whatever its heartbeats say.
    pub unanswered: u32,
    /// Until when, at most, what runs may go on.
    pub leased: Option<Instant>,
    /// When its life is taken for over.
    pub over: Option<Instant>,
    /// Whether that is because its leases have run out in silence.
    pub lapsed: bool,
    /// Whether its process was seen to be down.
    pub down: bool,
    /// Whether it is leaving only because it was said to have left.
    pub left: bool,
    /// The runs of earlier births under its name that may begin here: a
    /// call names the worker alone, and may be carried out seconds later.
    pub late: BTreeSet<Key>,
    /// The last look that does not show them.
    pub since: u64,
}

impl Known {
    pub(super) fn new(
        beat: Heartbeat,
        lease: Duration,
        now: Instant,
    ) -> Known {
        Known {
            stays: beat.remaining.map(|remaining| now + remaining),
            clock: beat.time.map(|time| (time, now)),
            beat,
            lists: None,
            read: Vec::new(),
            looks: 0,
            noted: 0,
            starts: BTreeMap::new(),
            stops: BTreeSet::new(),
            progress: BTreeMap::new(),
            begun: BTreeMap::new(),
            seen: false,
            shrunk: false,
            answered: now,
            shown: None,
            doubted: false,
            unanswered: 0,
            // An earlier life of this process may have leased so long.
            leased: Some(now + lease),
            over: None,
            left: false,
            lapsed: false,
            down: false,
            late: BTreeSet::new(),
            since: 0,
        }
    }

    /// Returns the runs whose orders may be carried out in a later life.
    pub(super) fn late_in(self, later: &Life) -> BTreeSet<Key> {
        if self.beat.life.name() != later.name() {
            // Calls are refused there: they name this one.
            return BTreeSet::new();
        }
        let under_way = |progress: &Progress| {
            matches!(progress, Progress::Starting | Progress::Started)
        };
        let orders = self.progress.iter();
        let orders = orders.filter(|(_, progress)| under_way(progress));
        let mut late = self.late;
        late.extend(orders.map(|(key, _)| key.clone()));
        late.extend(self.begun.into_keys());
        late
    }

    /// Returns whether a start fits beside what has begun, where the room
    /// has shrunk since orders were given: a worker that does not guard its
    /// room would begin it all the same.
    pub fn has_room(&self, key: &Key, start: &Start) -> bool {
        if !self.shrunk || self.lists(key) {
            return true;
        }
        // Its own start without answer may not have been carried out.
        let others = self.begun.iter().filter(|(other, _)| *other != key);
        let taken =
            others.fold(start.charge, |sum, (_, charge)| sum.plus(charge));
        self.beat.capacity.holds(&taken)
    }

    /// Returns whether a run has begun, or may have: its start may have had
    /// no answer.
    pub fn may_run(&self, key: &Key) -> bool {
        self.begun.contains_key(key)
    }

    /// Takes in that another birth answers: these lists are of before.
    pub(super) fn is_replaced(&mut self) {
        if let Some(lists) = self.lists.take() {
            self.read = lists.ended;
        }
    }

    /// Returns what is told of this life once it is over.
    pub(super) fn before(&self) -> PastLife {
        // What it has done and was read is not done again for its end.
        let ended = self.lists.as_ref().map_or(&self.read, |l| &l.ended);
        let untold = ended.iter().filter(|end| end.number > self.noted);
        PastLife {
            ended: untold.cloned().collect(),
            life: self.beat.life.clone(),
            begun: self.begun.keys().cloned().collect(),
            unseen: !self.seen,
            over: false,
        }
    }

    /// Takes in that the worker lives.
    pub fn shows_life(&mut self, now: Instant) {
        self.answered = now;
        self.over = self.over.filter(|_| self.beat.leaving);
    }

    /// Returns whether the worker answers no calls, though it may well send
    /// heartbeats: what is ordered there would not begin.
    pub fn is_deaf(&self) -> bool {
        self.unanswered >= DEAF
    }

    /// Returns whether this life answers calls: another one that is named
    /// meanwhile is gone already, and its heartbeat late, or it is none.
    pub(super) fn is_confirmed(&self, now: Instant) -> bool {
        self.answers(now) && self.over.is_none()
    }

    /// Returns whether its last look was answered by this very birth.
    pub fn is_known(&self) -> bool {
        self.lists.is_some() && self.unanswered == 0
    }

    /// Returns whether its last look was answered, and lately.
    pub(super) fn answers(&self, now: Instant) -> bool {
        let lately = self.clock.is_some_and(|(_, at)| now < at + CONFIRMED);
        lately && self.is_known()
    }

    /// Returns whether the worker has not answered for long.
    pub fn is_silent(&self, now: Instant) -> bool {
        now > self.answered + SILENT
    }

    pub fn is_over(&self, now: Instant) -> bool {
        self.over.is_some_and(|over| now >= over)
    }

    /// Returns the worker's time at an instant, or a little before it.
    pub fn time_at(&self, target: Instant) -> Option<WorkerTime> {
        let (time, at) = self.clock?;
        let ahead = target.saturating_duration_since(at);
        Some(time + ahead.as_millis() as u64)
    }

    /// Returns whether a run is listed.
    pub(super) fn lists(&self, key: &Key) -> bool {
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
    pub(super) fn confirm(&mut self, number: u64) -> bool {
        let listed: BTreeSet<Key> = self
            .progress
            .keys()
            .filter(|key| self.lists(key))
            .cloned()
            .collect();
        let mut any = false;
        for (key, progress) in &mut self.progress {
            if let Progress::Refused { look, sure, .. } = progress {
                let now_sure = *look <= number && !listed.contains(key);
                any |= now_sure && !*sure;
                *sure |= now_sure;
            }
        }
        any
    }

    /// Returns the orders that nothing is being done about yet.
    pub(super) fn due(&mut self) -> Vec<Key> {
        let wanted = |key: &Key| {
            self.starts.contains_key(key) || self.stops.contains(key)
        };
        self.progress.retain(|key, progress| {
            wanted(key)
                || matches!(progress, Progress::Starting | Progress::Stopping)
        });
        let mut due = Vec::new();
        for key in self.starts.keys() {
            if !self.progress.contains_key(key) {
                due.push(key.clone());
            }
        }
        for key in &self.stops {
            let idle = match self.progress.get(key) {
                None | Some(Progress::Starting | Progress::Started) => true,
                Some(Progress::Stopping) => false,
                // What the worker refused to start may still come late,
                // unless it is barred.
                Some(Progress::Refused { why, .. }) => *why != Refusal::Barred,
            };
            if idle {
                due.push(key.clone());
            }
        }
        for key in &due {
            let progress = match self.stops.contains(key) {
                true => Progress::Stopping,
                false => Progress::Starting,
            };
            self.progress.insert(key.clone(), progress);
        }
        due
    }

    pub(super) fn report(&self, now: Instant) -> Option<WorkerReport> {
        let lists = self.lists.clone()?;
        let refused =
            self.progress.iter().filter_map(
                |(key, progress)| match progress {
                    Progress::Refused {
                        why, sure: true, ..
                    } => Some(Refused {
                        task: key.0.clone(),
                        run: key.1,
                        why: *why,
                    }),
                    _ => None,
                },
            );
        let remaining = self
            .stays
            .map(|stays| stays.saturating_duration_since(now).as_millis());
        Some(WorkerReport {
            life: self.beat.life.clone(),
            pool: self.beat.pool.clone(),
            machine: self.beat.machine.clone(),
            hall: self.beat.hall.clone(),
            rack: self.beat.rack.clone(),
            labels: self.beat.labels.clone(),
            capacity: self.beat.capacity,
            leaving: self.beat.leaving,
            silent: self.is_silent(now) || self.is_deaf(),
            remaining_ms: remaining.map(|ms| ms as u64),
            lists,
            refused: refused.collect(),
        })
    }
}
