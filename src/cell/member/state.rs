//! An agent's state, and the rules by which heartbeats, polls and orders
//! change it.

use std::time::Duration;

use tokio::time::Instant;

use crate::cell::member::goodbye::Goodbye;
use crate::cell::member::view::Key;
use crate::cell::member::view::Over;
use crate::cell::member::view::View;
use crate::cell::member::view::UNRESPONSIVE_POLLS;
use crate::cell::member::Config;
use crate::cell::member::Heartbeat;
use crate::cell::worker::Call;
use crate::cell::worker::Snapshot;
use crate::cell::worker::WorkerTime;
use crate::clock::BootInstant;
use crate::graph::share::Meter;
use crate::graph::Life;
use crate::graph::Lists;
use crate::graph::Orders;
use crate::graph::PastLife;
use crate::graph::Report;
use crate::graph::Run;
use crate::graph::Speed;
use crate::graph::Start;
use crate::graph::Stop;
use crate::graph::Task;
use crate::graph::WorkerReport;
use crate::store::Revision;

/// How much longer than its lease a run may last: the worker's clock may be 2%
/// slow over 6 s, and ending the run takes some time.
const LEASE_SLACK: Duration = Duration::from_millis(400);
/// How long after a poll's answer an acknowledgement may be sent: less than a
/// process takes to crash and restart under the same name.
const ACKNOWLEDGE_WITHIN: Duration = Duration::from_millis(20);
/// The shortest remaining grant under which a task is still started.
const MIN_LEASE: Duration = Duration::from_millis(400);

/// The least time between two heartbeats that are not applied and are logged or
/// cause a poll. Whoever sends such heartbeats must not keep the agent
/// from its worker.
const CONFLICT_INTERVAL: Duration = Duration::from_secs(1);
/// The number of frequent polls of a life, enough for a minute.
const MAX_FREQUENT_POLLS: u32 = 200;
/// How long the runs of a past life are reported: longer than a planner needs
/// to claim and receive its agents' reports.
const PREVIOUS_REPORTED_FOR: Duration = Duration::from_secs(20);

/// The effect of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// A new life is here.
    NewLife,
    /// The worker's capacity, or whether it is leaving, has changed.
    Changed,
    /// The heartbeat names another life while the known one answers.
    Conflict,
    /// The heartbeat does not follow the last one of its life: it is late, or
    /// one of them is not from the worker.
    OutOfOrder,
    /// Nothing has changed.
    None,
}

/// The parameters of a poll.
#[derive(Clone, Debug)]
pub struct Poll {
    /// The number of the poll in its life.
    pub number: u64,
    pub call: Call,
    /// The highest end that is acknowledged, or 0.
    pub acknowledged: u64,
    /// The end of the lease on the worker's clock, if a lease is given.
    pub expires: Option<WorkerTime>,
    /// The same on this machine's clock.
    pub lease_until: Option<Instant>,
}

/// The state of an agent.
#[derive(Debug)]
pub struct State {
    /// The life of this process, drawn at random.
    process: String,
    sequence: u64,
    /// The number of the last report whose answer brought orders, or 0.
    received: u64,
    /// The highest fencing token seen.
    pub token: Revision,
    /// The time until which the worker's tasks may run.
    pub granted_until: Option<BootInstant>,
    /// When a planner last answered.
    pub last_planner_answer: BootInstant,
    /// What the last planner has learned of the worker's speed.
    pub speed: Option<Speed>,
    /// The use of the worker by account, and the time until which it is
    /// counted.
    used: (Meter, Instant),
    /// The highest token that the worker has rejected as too low.
    pub highest_fenced: Revision,
    pub worker: Option<View>,
    /// The time before which further conflicting heartbeats are ignored.
    next_conflict: Option<Instant>,
    /// The previous life of the worker, and the time until which it is
    /// reported.
    previous: Option<(PastLife, Instant)>,
}

impl State {
    pub fn new() -> State {
        State {
            process: uuid::Uuid::new_v4().simple().to_string(),
            sequence: 0,
            received: 0,
            token: 0,
            granted_until: None,
            last_planner_answer: BootInstant::now(),
            speed: None,
            used: (Meter::default(), Instant::now()),
            highest_fenced: 0,
            worker: None,
            next_conflict: None,
            previous: None,
        }
    }

    pub fn apply_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        lease: Duration,
        now: Instant,
    ) -> Update {
        self.count_use(now);
        let view = match &mut self.worker {
            Some(view) if view.heartbeat.life == heartbeat.life => view,
            Some(view) if view.lacks_birth_of(&heartbeat.life) => {
                return self.conflict(Update::Conflict, now);
            }
            Some(view)
                if view.is_confirmed(now)
                    && !view.answers_as(&heartbeat.life) =>
            {
                return self.conflict(Update::Conflict, now);
            }
            _ => {
                let mut view = View::new(heartbeat, lease, now);
                if let Some(earlier) = self.worker.take() {
                    self.previous = Some((
                        earlier.past_life(),
                        now + PREVIOUS_REPORTED_FOR,
                    ));
                    view.late_runs = earlier.late_runs(&view.heartbeat.life);
                }
                self.worker = Some(view);
                return Update::NewLife;
            }
        };
        if !view.is_followed_by(heartbeat.sequence, now) {
            return self.conflict(Update::OutOfOrder, now);
        }
        view.stays_until = heartbeat.stays_until(now);
        view.mark_alive(now);
        let was_leaving = view.heartbeat.leaving;
        let same_capacity = view.heartbeat.capacity == heartbeat.capacity;
        view.shrunk |= !heartbeat.capacity.holds(&view.heartbeat.capacity);
        // An end that was only reported under the worker's name may have been
        // meant for another life.
        let revocable = view.goodbye.is_some_and(Goodbye::is_revocable);
        if revocable && view.is_responding(now) && !heartbeat.leaving {
            view.goodbye = None;
            view.over = None;
            view.heartbeat.leaving = false;
        }
        let revoked = view.is_end_revoked_by(&heartbeat, now);
        let leaving = heartbeat.leaving || view.heartbeat.leaving && !revoked;
        let heartbeat = Heartbeat {
            leaving,
            ..heartbeat
        };
        view.replace_heartbeat(heartbeat, now);
        match same_capacity && was_leaving == leaving {
            true => Update::None,
            false => Update::Changed,
        }
    }

    /// Returns the effect of a heartbeat that is not applied, or none if the
    /// last such effect is recent.
    fn conflict(&mut self, update: Update, now: Instant) -> Update {
        if self.next_conflict.is_some_and(|next| now < next) {
            return Update::None;
        }
        self.next_conflict = Some(now + CONFLICT_INTERVAL);
        update
    }

    /// Records a notice that the worker with this name is about to end.
    /// Returns whether it is the first one for the known life.
    ///
    /// The life is over only once the worker itself shows that, because the
    /// notice may have been meant for an earlier birth. Until then the worker
    /// gets no new work.
    pub fn mark_goodbye(&mut self, name: &Life) -> bool {
        let view = self.worker.as_mut();
        let view = view.filter(|view| view.heartbeat.life.may_equal(name));
        let Some(view) = view.filter(|view| view.goodbye.is_none()) else {
            return false;
        };
        let goodbye = Goodbye::new(view.polls, !view.heartbeat.leaving);
        view.goodbye = Some(goodbye);
        view.heartbeat.leaving = true;
        true
    }

    /// Records that another life answered a call for this one. Returns whether
    /// that is news of the known life.
    pub fn mark_replaced(&mut self, life: &Life) -> bool {
        let view = self.worker.as_mut();
        let view = view.filter(|view| view.heartbeat.life == *life);
        let Some(view) = view.filter(|view| !view.is_over()) else {
            return false;
        };
        view.over = Some(Over::Replaced);
        view.heartbeat.leaving = true;
        true
    }

    /// Returns the next report.
    pub fn report(&mut self, config: &Config, now: Instant) -> Report {
        self.sequence += 1;
        self.count_use(now);
        if let Some(view) = &mut self.worker {
            if view.is_over() {
                // Once this life is reported as gone, its runs begin
                // elsewhere. If the worker answers again, it must carry out
                // none of these orders.
                view.starts.clear();
            }
        }
        if let Some(view) = &mut self.worker {
            view.mark_shares_reported();
        }
        let view = self.worker.as_ref();
        let over = view.filter(|view| view.is_over());
        let alive = view.filter(|view| !view.is_over());
        // The earlier birth is not reported as over until nothing ordered for
        // it can still begin in this one, because its runs would begin
        // elsewhere.
        let alive = alive.filter(|view| view.late_runs.is_empty());
        let all_barred = view.is_none() || over.is_some() || alive.is_some();
        let before = self.previous.as_ref().filter(|(_, until)| now < *until);
        let before = before
            .filter(|_| all_barred)
            .map(|(before, _)| before.clone());
        let before = match over {
            Some(view) if view.has_listed => Some(view.past_life()),
            Some(view) => before.map(|before| PastLife {
                // The leases of this life have run out together with those of
                // its successor.
                over: view.has_lapsed(),
                ..before
            }),
            None => before,
        };
        Report {
            agent: config.agent.clone(),
            process: self.process.clone(),
            sequence: self.sequence,
            received: Some(self.received),
            gone: over.map(|view| view.heartbeat.life.clone()),
            before,
            silent: over.is_some_and(|view| view.has_lapsed() && !view.down),
            worker: alive.and_then(|view| view.report(now)).map(|worker| {
                WorkerReport {
                    speed: self.speed,
                    used: self.used.0.list(),
                    ..worker
                }
            }),
        }
    }

    /// Records that the answer to a report brought orders.
    pub fn mark_received(&mut self, sequence: u64) {
        self.received = self.received.max(sequence);
    }

    /// Applies a planner's orders. Returns the runs to start or stop now.
    pub fn take_orders(
        &mut self,
        token: Revision,
        granted: Option<BootInstant>,
        orders: Orders,
    ) -> Vec<Key> {
        if token < self.token {
            return Vec::new();
        }
        self.token = token;
        self.last_planner_answer = BootInstant::now();
        self.granted_until = self.granted_until.max(granted);
        self.speed = orders.speed.or(self.speed);
        let Some(view) = &mut self.worker else {
            return Vec::new();
        };
        match orders.life {
            Some(_) if view.is_over() => return Vec::new(),
            Some(life) if life == view.heartbeat.life => {}
            _ => return Vec::new(),
        }
        view.acknowledged = view.acknowledged.max(orders.noted);
        let key = |stop: &Stop| (stop.task.clone(), stop.run);
        view.stops = orders.stops.iter().map(key).collect();
        view.set_begin_deadlines(&orders.starts, Instant::now());
        let starts = orders.starts.into_iter();
        view.starts = starts.map(|s| ((s.task.clone(), s.run), s)).collect();
        view.take_due()
    }

    /// Returns the time until which a lease may be given now, if any. An
    /// unresponsive worker gets no lease, because the agent could then never
    /// know that the leases of its runs have run out.
    pub fn lease_until(
        &self,
        lease: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let granted = self.granted_until?;
        let silent = self.worker.as_ref().is_some_and(|w| w.is_silent(now));
        let remaining = granted.remaining();
        let allowed = remaining > MIN_LEASE && !silent;
        allowed.then(|| now + remaining.min(lease))
    }

    /// Returns the parameters of the next poll.
    pub fn next_poll(
        &mut self,
        lease: Duration,
        now: Instant,
    ) -> Option<Poll> {
        let lease_until = self.lease_until(lease, now);
        let token = self.token;
        // Ends are acknowledged only while they are listed: a delayed poll
        // that reaches a later birth must not make that birth forget its own
        // ends.
        let has_acknowledgeable = self.has_acknowledgeable_end(0);
        let view = self.worker.as_mut()?;
        view.polls += 1;
        // Ends are acknowledged only right after this birth has answered. A
        // later birth may already be there, after a poll of the earlier one
        // that was not answered or was cancelled.
        let is_recent = view
            .last_poll_answer
            .take()
            .is_some_and(|answered| now < answered + ACKNOWLEDGE_WITHIN);
        let acknowledged = match has_acknowledgeable && is_recent {
            true => view.acknowledged,
            false => 0,
        };
        let expires = lease_until
            .and_then(|lease_until| view.worker_time_at(lease_until));
        Some(Poll {
            number: view.polls,
            call: Call {
                life: view.heartbeat.life.clone(),
                token,
            },
            acknowledged,
            expires,
            lease_until: lease_until.filter(|_| expires.is_some()),
        })
    }

    /// Applies a poll's answer. Returns whether there is something new to
    /// report.
    pub fn poll_answered(
        &mut self,
        poll: &Poll,
        snapshot: Snapshot,
        now: Instant,
    ) -> bool {
        let speed_known = self.is_speed_known();
        self.count_use(now);
        let Some(view) = &mut self.worker else {
            return false;
        };
        if view.heartbeat.life != poll.call.life {
            return false;
        }
        if view.heartbeat.life.is_other_life(snapshot.birth) {
            // The successor is added by its own heartbeat, which no longer
            // conflicts now that this birth does not answer.
            view.mark_replaced();
            return false;
        }
        view.mark_alive(now);
        view.answered_birth = snapshot.birth;
        let recovered = view.is_unresponsive();
        view.failed_polls = 0;
        // A worker that answers has not ended, even if it said goodbye.
        view.over = None;
        if let Some(goodbye) = &mut view.goodbye {
            goodbye.mark_answered();
        }
        view.clock = Some((snapshot.time, now));
        view.last_poll_answer = Some(now);
        view.start_unanswered = false;
        if poll.number <= view.ignored_polls {
            return false;
        }
        let new = recovered
            || view.lists.as_ref().is_none_or(|lists| {
                identifiers(lists) != identifiers(&snapshot.lists)
            });
        let ended = |key: &Key| {
            let mut ended = snapshot.lists.ended.iter();
            ended.any(|end| (&end.task, end.run) == (&key.0, key.1))
        };
        view.begun.retain(|key, _| !ended(key));
        // The worker also lists runs that an earlier process of this agent has
        // started.
        for running in &snapshot.lists.running {
            let key = (running.task.clone(), running.run);
            view.begun.entry(key).or_default().listed_at = Some(now);
        }
        view.has_listed = true;
        view.lists = Some(snapshot.lists);
        view.listed_at = Some(snapshot.time);
        let progressed = !speed_known && view.has_progressed();
        view.confirm_refusals(poll.number) || new || progressed
    }

    /// Returns whether the worker should be polled frequently, to show its
    /// speed to the planner, and counts that. Tasks that never end show none,
    /// so that there is a limit for each life.
    pub fn polls_frequently(&mut self) -> bool {
        let known = self.is_speed_known();
        let Some(view) = &mut self.worker else {
            return false;
        };
        let runs = view.lists.as_ref().is_some_and(|l| !l.running.is_empty());
        let frequent =
            !known && runs && view.frequent_polls < MAX_FREQUENT_POLLS;
        view.frequent_polls += u32::from(frequent);
        frequent
    }

    /// Returns whether the last planner knows the worker's speed.
    fn is_speed_known(&self) -> bool {
        self.speed.is_some_and(|speed| speed.runs > 0)
    }

    /// Counts the use of the worker's listed runs until now.
    fn count_use(&mut self, now: Instant) {
        let (meter, counted) = &mut self.used;
        let elapsed = now.saturating_duration_since(*counted);
        *counted = now.max(*counted);
        let view = self.worker.as_ref().filter(|view| !view.is_over());
        let capacity = view.map(|view| view.heartbeat.capacity);
        let held = view.map(|view| view.held());
        meter.advance(
            &held.unwrap_or_default(),
            &capacity.unwrap_or_default(),
            elapsed,
        );
    }

    /// Records that a run has begun, or may have begun, in a life.
    pub fn mark_begun(&mut self, life: &Life, key: &Key, start: &Start) {
        match (&mut self.worker, &mut self.previous) {
            (Some(view), _) if view.heartbeat.life == *life => {
                let run = view.begun.entry(key.clone()).or_default();
                run.charge = start.charge;
                run.account.clone_from(&start.account);
                // A run that is listed already may have been started by an
                // earlier process of this agent.
                if run.listed_at.is_none() {
                    run.started_at.get_or_insert_with(Instant::now);
                }
            }
            (_, Some((before, _))) if before.life == *life => {
                before.begun.push(key.clone());
                before.short.push(key.clone());
            }
            _ => {}
        }
    }

    /// Records that a start in a life was not answered.
    pub fn mark_start_unanswered(&mut self, life: &Life) {
        let view = self.worker.as_mut();
        if let Some(view) = view.filter(|view| view.heartbeat.life == *life) {
            view.start_unanswered = true;
        }
    }

    /// Returns whether an end with a number above `beyond` is listed and may
    /// be acknowledged.
    pub fn has_acknowledgeable_end(&self, beyond: u64) -> bool {
        self.worker.as_ref().is_some_and(|view| {
            let acknowledgeable = beyond + 1..=view.acknowledged;
            let mut ended = view.lists.iter().flat_map(|l| &l.ended);
            ended.any(|end| acknowledgeable.contains(&end.number))
        })
    }

    /// Records a sign of a life.
    pub fn mark_alive(&mut self, life: &Life, now: Instant) {
        let view = self.worker.as_mut();
        if let Some(view) = view.filter(|view| view.heartbeat.life == *life) {
            view.mark_alive(now);
        }
    }

    /// Records that a poll was not answered, and whether the worker's port was
    /// closed. Returns whether there is something new to report: the worker
    /// has become unresponsive, or its life is over.
    pub fn poll_failed(
        &mut self,
        poll: &Poll,
        down: bool,
        now: Instant,
    ) -> bool {
        let view = self.worker.as_mut();
        let view = view.filter(|view| view.heartbeat.life == poll.call.life);
        let Some(view) = view else {
            return false;
        };
        view.down |= down;
        view.failed_polls = view.failed_polls.saturating_add(1);
        let unresponsive = view.failed_polls == UNRESPONSIVE_POLLS;
        let goodbye = view.goodbye.as_mut().filter(|_| down);
        let left = goodbye.is_some_and(|g| g.mark_closed(poll.number));
        let lapsed = view.leased_until.is_none_or(|l| now > l + LEASE_SLACK);
        let before = view.over;
        view.over = match before {
            None if left => Some(Over::Left),
            None if lapsed && view.is_silent(now) => Some(Over::Lapsed),
            known => known,
        };
        view.over != before || unresponsive
    }

    /// Returns a run of an earlier birth that a delayed order could still
    /// start in this life, and the call with which to bar it.
    pub fn next_late_run(&self, life: &Life) -> Option<(Call, Key)> {
        let view = self.worker.as_ref()?;
        let key = view.late_runs.first().cloned()?;
        let call = Call {
            life: life.clone(),
            token: self.token,
        };
        (view.heartbeat.life == *life).then_some((call, key))
    }

    /// Records that a run returned by [`Self::next_late_run`] is barred.
    /// Returns whether it was the last one.
    pub fn mark_barred(&mut self, life: &Life, key: &Key) -> bool {
        let view = self.worker.as_mut();
        let view = view.filter(|view| view.heartbeat.life == *life);
        view.is_some_and(|view| {
            let last = view.late_runs.remove(key) && view.late_runs.is_empty();
            if last {
                // A run that did begin late is listed, as ended or being
                // stopped, only by later polls.
                view.ignored_polls = view.polls;
                view.lists = None;
            }
            last
        })
    }
}

type Identifiers<'a> = (Vec<(&'a Task, Run)>, Vec<u64>);

/// Returns the identifiers of the listed runs and the numbers of the listed
/// ends.
fn identifiers(lists: &Lists) -> Identifiers<'_> {
    let running = lists.running.iter().map(|r| (&r.task, r.run));
    let ended = lists.ended.iter().map(|e| e.number);
    (running.collect(), ended.collect())
}
