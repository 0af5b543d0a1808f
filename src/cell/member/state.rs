//! What an agent knows and has done.

use std::time::Duration;

use tokio::time::Instant;

use crate::cell::member::known::Key;
use crate::cell::member::known::Known;
use crate::cell::member::known::DEAF;
use crate::cell::member::Config;
use crate::cell::member::Heartbeat;
use crate::cell::member::LEAVES;
use crate::cell::worker::Call;
use crate::cell::worker::Look;
use crate::cell::worker::WorkerTime;
use crate::clock::BootInstant;
use crate::graph::Life;
use crate::graph::Lists;
use crate::graph::Orders;
use crate::graph::PastLife;
use crate::graph::Report;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::Stop;
use crate::graph::Task;
use crate::store::Revision;

/// How much longer than its lease a worker may run: its clock may be 2%
/// slow over 6 s, and an end takes a moment.
const LEASE_SLACK: Duration = Duration::from_millis(400);
/// For how long after a look's answer an acknowledgement may be sent: less
/// than a process takes to crash and be back under its name.
const JUST: Duration = Duration::from_millis(20);
/// The least rest of a grant under which a task is still started.
const LEAST_LEASE: Duration = Duration::from_millis(400);

/// How often a heartbeat of another life makes a line and a look: whoever
/// writes them must not keep the agent from its worker.
const STRANGE: Duration = Duration::from_secs(1);
/// For how long it is told what had begun in a life that is over: longer
/// than it takes a planner to claim and hear its agents.
const TOLD: Duration = Duration::from_secs(20);

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
    pub granted: Option<BootInstant>,
    /// When a planner has answered last.
    pub answered: BootInstant,
    /// The highest token that the worker has called too low.
    pub fenced: Revision,
    pub worker: Option<Known>,
    /// Before when no heartbeat of another life is news.
    strange: Option<Instant>,
    /// What had begun in the life before, and until when that is told.
    before: Option<(PastLife, Instant)>,
}

impl State {
    pub fn new() -> State {
        State {
            process: uuid::Uuid::new_v4().simple().to_string(),
            sequence: 0,
            token: 0,
            granted: None,
            answered: BootInstant::now(),
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
            Some(known) if known.beat.life.may_equal(life) => {
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
            Some(known) => told.map(|before| PastLife {
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
            silent: over.is_some_and(|known| known.lapsed && !known.down),
            worker: alive.and_then(|known| known.report(now)),
        }
    }

    /// Takes orders in; returns what is to be started and stopped now.
    pub fn orders(
        &mut self,
        token: Revision,
        granted: Option<BootInstant>,
        orders: Orders,
    ) -> Vec<Key> {
        if token < self.token {
            return Vec::new();
        }
        self.token = token;
        self.answered = BootInstant::now();
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
        let left = granted.remaining();
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
        if known.beat.life.is_other_life(look.born) {
            // Its successor is taken in with its own heartbeat, which is
            // news now that this one answers no more.
            known.is_replaced();
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

    /// Takes in that a look had no answer, and whether that was for the
    /// worker's process being down; returns whether that is news: the
    /// worker now counts as deaf, or its life has come to its end.
    pub fn unanswered(&mut self, down: bool, now: Instant) -> bool {
        let Some(known) = &mut self.worker else {
            return false;
        };
        known.down |= down;
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
