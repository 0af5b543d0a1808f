//! What an agent knows and has done.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::cell::member::Config;
use crate::cell::member::Heartbeat;
use crate::cell::member::LEAVES;
use crate::cell::worker::Call;
use crate::cell::worker::Look;
use crate::cell::worker::WorkerTime;
use crate::clock::Stamp;
use crate::graph::Before;
use crate::graph::Life;
use crate::graph::Lists;
use crate::graph::Orders;
use crate::graph::Refusal;
use crate::graph::Refused;
use crate::graph::Report;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::Start;
use crate::graph::Stop;
use crate::graph::Task;
use crate::graph::WorkerReport;
use crate::store::Revision;

/// How much longer than its lease a worker may run: its clock may be 2%
/// slow over 6 s, and an end takes a moment.
const LEASE_SLACK: Duration = Duration::from_millis(400);
/// For how long a worker must not answer before its life is taken for over.
const SILENT: Duration = Duration::from_millis(1500);
/// For how long a look's answer shows which life is here: until the next
/// has had its answer, or none.
const CONFIRMED: Duration = Duration::from_millis(1700);
/// For how long after a look's answer an acknowledgement may be sent: less
/// than a process takes to crash and be back under its name.
const JUST: Duration = Duration::from_millis(20);
/// How many looks in a row must have no answer before a worker counts as
/// deaf: one may be lost with its connection.
const DEAF: u32 = 2;
/// The least rest of a grant under which a task is still started.
const LEAST_LEASE: Duration = Duration::from_millis(400);

/// How often a heartbeat of another life makes a line and a look: whoever
/// writes them must not keep the agent from its worker.
const STRANGE: Duration = Duration::from_secs(1);
/// For how long it is told what had begun in a life that is over: longer
/// than it takes a planner to claim and hear its agents.
const TOLD: Duration = Duration::from_secs(20);

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
    /// Whether it is leaving only because it was said to have left.
    pub left: bool,
    /// The runs of earlier births under its name that may begin here: a
    /// call names the worker alone, and may be carried out seconds later.
    pub late: BTreeSet<Key>,
    /// The last look that does not show them.
    pub since: u64,
}

/// What a heartbeat has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// A new life.
    Life,
    /// Another state or room.
    Terms,
    /// A life that cannot be the worker's: another one answers there.
    Strange,
    /// Nothing.
    None,
}

/// A look to be made.
#[derive(Clone, Debug)]
pub struct Plan {
    pub number: u64,
    pub call: Call,
    pub noted: u64,
    pub expires: Option<WorkerTime>,
    pub target: Option<Instant>,
}

/// All that an agent knows.
#[derive(Debug)]
pub struct State {
    /// The life of this process.
    process: String,
    sequence: u64,
    /// The highest fencing token seen.
    pub token: Revision,
    /// Until when the worker's tasks may go on.
    pub granted: Option<Stamp>,
    /// When a planner has answered last.
    pub answered: Stamp,
    /// The highest token that the worker has called too low.
    pub fenced: Revision,
    pub worker: Option<Known>,
    /// Before when no heartbeat of another life is news.
    strange: Option<Instant>,
    /// What had begun in the life before, and until when that is told.
    before: Option<(Before, Instant)>,
}

impl State {
    pub fn new() -> State {
        State {
            process: uuid::Uuid::new_v4().simple().to_string(),
            sequence: 0,
            token: 0,
            granted: None,
            answered: Stamp::now(),
            fenced: 0,
            worker: None,
            strange: None,
            before: None,
        }
    }

    pub fn heartbeat(
        &mut self,
        beat: Heartbeat,
        lease: Duration,
        now: Instant,
    ) -> News {
        let known = match &mut self.worker {
            Some(known) if known.beat.life == beat.life => known,
            Some(known) if known.is_confirmed(now) => {
                let due = self.strange.is_none_or(|next| now >= next);
                if !due {
                    return News::None;
                }
                self.strange = Some(now + STRANGE);
                return News::Strange;
            }
            _ => {
                let mut known = Known::new(beat, lease, now);
                if let Some(earlier) = self.worker.take() {
                    self.before = Some((earlier.before(), now + TOLD));
                    known.late = earlier.late_in(&known.beat.life);
                }
                self.worker = Some(known);
                return News::Life;
            }
        };
        if beat.sequence <= known.beat.sequence {
            return News::None;
        }
        known.stays = beat.remaining.map(|remaining| now + remaining);
        known.shows_life(now);
        let same = known.beat.leaving == beat.leaving
            && known.beat.capacity == beat.capacity;
        known.shrunk |= !beat.capacity.holds(&known.beat.capacity);
        // A worker that has said so does not come back from leaving; one that
        // only was said to have left may never have been meant.
        if known.left && known.answers(now) && !beat.leaving {
            known.left = false;
            known.over = None;
            known.beat.leaving = false;
        }
        let leaving = known.beat.leaving || beat.leaving;
        known.beat = Heartbeat { leaving, ..beat };
        match same {
            true => News::None,
            false => News::Terms,
        }
    }

    /// Takes in that a life ends, as it was said or as another one that
    /// answers shows; returns whether it is the one here.
    pub fn left(&mut self, life: &Life, said: bool, over: Instant) -> bool {
        match &mut self.worker {
            Some(known) if known.beat.life.may_be(life) => {
                known.left |= said && !known.beat.leaving;
                known.beat.leaving = true;
                known.over = Some(over);
                true
            }
            _ => false,
        }
    }

    /// Returns the report to be sent now.
    pub fn report(&mut self, config: &Config, now: Instant) -> Report {
        self.sequence += 1;
        if let Some(known) = &mut self.worker {
            if known.is_over(now) {
                // Told to be gone, its tasks begin elsewhere: whatever it
                // does when it speaks again, none of these orders.
                known.starts.clear();
            }
        }
        let known = self.worker.as_ref();
        let over = known.filter(|known| known.is_over(now));
        let alive = known.filter(|known| !known.is_over(now));
        // Until it is sure that nothing of an earlier birth begins here late,
        // that one is not told to be over: its runs would begin elsewhere.
        let alive = alive.filter(|known| known.late.is_empty());
        let sure = known.is_none() || over.is_some() || alive.is_some();
        let told = self.before.as_ref().filter(|(_, until)| now < *until);
        let told = told.filter(|_| sure).map(|(before, _)| before.clone());
        let before = match over {
            Some(known) if known.seen => Some(known.before()),
            Some(known) => told.map(|before| Before {
                // Its leases have run out with those of its successor.
                over: known.lapsed,
                ..before
            }),
            None => told,
        };
        Report {
            agent: config.agent.clone(),
            process: self.process.clone(),
            sequence: self.sequence,
            gone: over.map(|known| known.beat.life.clone()),
            before,
            worker: alive.and_then(|known| known.report(now)),
        }
    }

    /// Takes orders in; returns what is to be started and stopped now.
    pub fn orders(
        &mut self,
        token: Revision,
        granted: Option<Stamp>,
        orders: Orders,
    ) -> Vec<Key> {
        if token < self.token {
            return Vec::new();
        }
        self.token = token;
        self.answered = Stamp::now();
        self.granted = self.granted.max(granted);
        let Some(known) = &mut self.worker else {
            return Vec::new();
        };
        match orders.life {
            Some(_) if known.is_over(Instant::now()) => return Vec::new(),
            Some(life) if life == known.beat.life => {}
            _ => return Vec::new(),
        }
        known.noted = known.noted.max(orders.noted);
        let key = |stop: &Stop| (stop.task.clone(), stop.run);
        known.stops = orders.stops.iter().map(key).collect();
        let starts = orders.starts.into_iter();
        known.starts = starts.map(|s| ((s.task.clone(), s.run), s)).collect();
        known.due()
    }

    /// Returns until when a lease may go now, if it may go at all: to a
    /// worker that says nothing none is given, or it could never be known
    /// that what runs there has lapsed.
    pub fn target(&self, lease: Duration, now: Instant) -> Option<Instant> {
        let granted = self.granted?;
        let silent = self.worker.as_ref().is_some_and(|w| w.is_silent(now));
        let left = granted.left();
        let may = left > LEAST_LEASE && !silent;
        may.then(|| now + left.min(lease))
    }

    /// Returns the next look.
    pub fn plan(&mut self, lease: Duration, now: Instant) -> Option<Plan> {
        let target = self.target(lease, now);
        let token = self.token;
        // Ends are acknowledged only while they are listed: a look that comes
        // late to a later birth must not let that forget its own.
        let is_noted = self.is_noted(0);
        let known = self.worker.as_mut()?;
        known.looks += 1;
        // And only right after this birth has answered: a later one may be
        // there already, while a look that went to the earlier one has had
        // no answer yet or was broken off.
        let just = known.shown.take().is_some_and(|at| now < at + JUST);
        let noted = match is_noted && just {
            true => known.noted,
            false => 0,
        };
        let expires = target.and_then(|target| known.time_at(target));
        Some(Plan {
            number: known.looks,
            call: Call {
                life: known.beat.life.clone(),
                token,
            },
            noted,
            expires,
            target: target.filter(|_| expires.is_some()),
        })
    }

    /// Takes a look's answer in; returns whether there is news in it.
    pub fn looked(&mut self, plan: &Plan, look: Look, now: Instant) -> bool {
        let Some(known) = &mut self.worker else {
            return false;
        };
        if known.beat.life != plan.call.life {
            return false;
        }
        if known.beat.life.is_other(look.born) {
            // Its successor is taken in with its own heartbeat, which is
            // news now that this one answers no more.
            known.lists = None;
            return false;
        }
        known.shows_life(now);
        let heard = known.is_deaf();
        known.unanswered = 0;
        // It has not ended as long as it answers, whoever said that it has:
        // a call that names the worker may mean an earlier birth.
        known.over = known.over.map(|over| over.max(now + LEAVES));
        known.clock = Some((look.time, now));
        known.shown = Some(now);
        known.doubted = false;
        if plan.number <= known.since {
            return false;
        }
        let new = heard
            || known
                .lists
                .as_ref()
                .is_none_or(|lists| runs(lists) != runs(&look.lists));
        let ended = |key: &Key| {
            let mut ended = look.lists.ended.iter();
            ended.any(|end| (&end.task, end.run) == (&key.0, key.1))
        };
        known.begun.retain(|key, _| !ended(key));
        // Also what an earlier process of this agent has started.
        for running in &look.lists.running {
            let key = (running.task.clone(), running.run);
            known.begun.entry(key).or_default();
        }
        known.seen = true;
        known.lists = Some(look.lists);
        known.confirm(plan.number) || new
    }

    /// Takes in that a run has begun in a life, or may have.
    pub fn begun(&mut self, life: &Life, key: &Key, charge: Resources) {
        match (&mut self.worker, &mut self.before) {
            (Some(known), _) if known.beat.life == *life => {
                known.begun.insert(key.clone(), charge);
            }
            (_, Some((before, _))) if before.life == *life => {
                before.begun.push(key.clone());
            }
            _ => {}
        }
    }

    /// Takes in that a start in a life had no answer.
    pub fn doubt(&mut self, life: &Life) {
        let known = self.worker.as_mut();
        if let Some(known) = known.filter(|k| k.beat.life == *life) {
            known.doubted = true;
        }
    }

    /// Returns whether an end is listed that may be acknowledged, beyond
    /// those up to a number that have been.
    pub fn is_noted(&self, beyond: u64) -> bool {
        self.worker.as_ref().is_some_and(|known| {
            let may = beyond + 1..=known.noted;
            let mut ended = known.lists.iter().flat_map(|l| &l.ended);
            ended.any(|end| may.contains(&end.number))
        })
    }

    /// Takes in that a look had no answer; returns whether that is news: the
    /// worker now counts as deaf, or its life has come to its end.
    pub fn unanswered(&mut self, now: Instant) -> bool {
        let Some(known) = &mut self.worker else {
            return false;
        };
        known.unanswered = known.unanswered.saturating_add(1);
        let deaf = known.unanswered == DEAF;
        let lapsed = known.leased.is_none_or(|l| now > l + LEASE_SLACK);
        let over = known.over.is_none() && lapsed && known.is_silent(now);
        if over {
            known.over = Some(now);
            known.lapsed = true;
        }
        over || deaf
    }

    /// Returns a run of an earlier birth that a late order could still begin
    /// in this life, and the call to bar it by.
    pub fn late(&self, life: &Life) -> Option<(Call, Key)> {
        let known = self.worker.as_ref()?;
        let key = known.late.first().cloned()?;
        let call = Call {
            life: life.clone(),
            token: self.token,
        };
        (known.beat.life == *life).then_some((call, key))
    }

    /// Takes in that such a run is barred; returns whether it was the last.
    pub fn barred(&mut self, life: &Life, key: &Key) -> bool {
        let known = self.worker.as_mut();
        let known = known.filter(|known| known.beat.life == *life);
        known.is_some_and(|known| {
            let last = known.late.remove(key) && known.late.is_empty();
            if last {
                // What did begin late is listed only by later looks, as
                // ended or being stopped.
                known.since = known.looks;
                known.lists = None;
            }
            last
        })
    }
}

type Listed<'a> = (Vec<(&'a Task, Run)>, Vec<u64>);

fn runs(lists: &Lists) -> Listed<'_> {
    let running = lists.running.iter().map(|r| (&r.task, r.run));
    let ended = lists.ended.iter().map(|e| e.number);
    (running.collect(), ended.collect())
}

impl Known {
    fn new(beat: Heartbeat, lease: Duration, now: Instant) -> Known {
        Known {
            stays: beat.remaining.map(|remaining| now + remaining),
            clock: beat.time.map(|time| (time, now)),
            beat,
            lists: None,
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
            late: BTreeSet::new(),
            since: 0,
        }
    }

    /// Returns the runs whose orders may be carried out in a later life.
    fn late_in(self, later: &Life) -> BTreeSet<Key> {
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

    /// Returns what is told of this life once it is over.
    fn before(&self) -> Before {
        Before {
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
    fn is_confirmed(&self, now: Instant) -> bool {
        self.answers(now) && self.over.is_none()
    }

    /// Returns whether its last look was answered by this very birth.
    pub fn is_known(&self) -> bool {
        self.lists.is_some() && self.unanswered == 0
    }

    /// Returns whether its last look was answered, and lately.
    fn answers(&self, now: Instant) -> bool {
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
    fn lists(&self, key: &Key) -> bool {
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
    fn confirm(&mut self, number: u64) -> bool {
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
    fn due(&mut self) -> Vec<Key> {
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

    fn report(&self, now: Instant) -> Option<WorkerReport> {
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
