//! Taking in what has happened.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::graph::book::Entry;
use crate::graph::book::Member;
use crate::graph::book::Phase;
use crate::graph::book::State;
use crate::graph::book::Unit;
use crate::graph::book::Unnoted;
use crate::graph::book::Why;
use crate::graph::book::Worker;
use crate::graph::health::Health;
use crate::graph::AgentId;
use crate::graph::Book;
use crate::graph::Ended;
use crate::graph::How;
use crate::graph::Job;
use crate::graph::Moment;
use crate::graph::Outcome;
use crate::graph::Place;
use crate::graph::Progress;
use crate::graph::Refusal;
use crate::graph::Refused;
use crate::graph::Report;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::Running;
use crate::graph::Task;
use crate::graph::UnitKey;
use crate::graph::WorkerReport;

/// How long a unit waits after a run that failed or was refused.
const AGAIN: Duration = Duration::from_millis(200);
/// How long a member may show no work before it may be taken for stuck.
const STUCK: Duration = Duration::from_millis(2600);
/// How many times longer than expected a run may take that has shown work.
const OVERDUE: f64 = 4.0;
/// How many times longer a run may take that has never shown any.
const OVERDUE_IDLE: f64 = 1.5;

/// What came of a member's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Its worker listed how it ended.
    Listed(How),
    /// It never began, and never will.
    Never(Refusal),
    /// Its worker is gone.
    Gone,
}

impl Book {
    /// Takes in an accepted job, with what is kept of its progress.
    pub fn accept(
        &mut self,
        job: Job,
        progress: Option<Progress>,
        now: Moment,
    ) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        let age = now.wall.duration_since(job.accepted).unwrap_or_default();
        let accepted = now.now.checked_sub(age).unwrap_or(now.now);
        let id = job.id.clone();
        let mut entry = Entry {
            job: Arc::new(job),
            progress: progress.unwrap_or_default(),
            version: 0,
            written: 0,
            cancelled: false,
            units: Default::default(),
            opened: Default::default(),
            accepted,
        };
        let kept = entry.progress.units.clone();
        for (key, kept) in &kept {
            adopt(&mut entry, key, kept, now.now);
        }
        let members: Vec<(Place, Resources)> = entry
            .units
            .iter()
            .flat_map(|(key, unit)| {
                let charge = entry.job.steps[key.step].charge();
                unit.members().map(move |m| (m.place.clone(), charge))
            })
            .collect();
        let over = entry.over();
        self.jobs.insert(id.clone(), entry);
        for (place, charge) in members {
            self.occupy(&place, &charge);
            self.stirred.insert(place.agent);
        }
        self.open.insert(id.clone());
        if over {
            let keys: Vec<UnitKey> =
                self.jobs[&id].units.keys().copied().collect();
            for key in keys {
                self.stop_unit(&id, &key, Why::Over, now);
            }
        }
    }

    /// Takes in that a job's caller has cancelled it.
    pub fn cancel(&mut self, id: &str, now: Moment) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        entry.cancelled = true;
        self.finish(id, Outcome::Cancelled, now);
    }

    /// Takes in what an agent says; returns whether it was news.
    pub fn report(&mut self, report: Report, now: Moment) -> bool {
        let agent = report.agent;
        if let Some(life) = report.gone {
            let agent = agent.clone();
            self.life_over(&Place { agent, life }, now);
        }
        let Some(said) = report.worker else {
            return self.heard(&agent, now.now);
        };
        let stale = self.workers.get(&agent).is_some_and(|worker| {
            worker.process == report.process
                && report.sequence <= worker.sequence
        });
        if stale {
            return false;
        }
        self.take_worker(&agent, &said, report.process, now);
        if let Some(worker) = self.workers.get_mut(&agent) {
            worker.sequence = report.sequence;
        }
        let place = Place {
            agent: agent.clone(),
            life: said.life.clone(),
        };
        for ended in &said.lists.ended {
            self.take_end(&place, ended, now);
        }
        for refused in &said.refused {
            self.take_refused(&place, refused, now);
        }
        let mut strays = std::collections::BTreeSet::new();
        for running in &said.lists.running {
            if !self.take_running(&place, running, now) {
                strays.insert((running.task.clone(), running.run));
            }
        }
        if let Some(worker) = self.workers.get_mut(&agent) {
            if worker.strays != strays {
                worker.strays = strays;
                self.stirred.insert(agent);
            }
        }
        true
    }

    /// Takes in that a life of a worker is over.
    pub fn life_over(&mut self, place: &Place, now: Moment) {
        if let Some(worker) = self.workers.get_mut(&place.agent) {
            worker.gone |= worker.life == place.life;
        }
        self.lose(|other| other == place, now);
    }

    fn heard(&mut self, agent: &AgentId, now: Instant) -> bool {
        match self.workers.get_mut(agent) {
            Some(worker) => {
                worker.granted = now;
                true
            }
            None => false,
        }
    }

    fn take_worker(
        &mut self,
        agent: &AgentId,
        said: &WorkerReport,
        process: String,
        now: Moment,
    ) {
        let new = self
            .workers
            .get(agent)
            .is_none_or(|worker| worker.life != said.life);
        if new {
            let life = said.life.clone();
            self.lose(|p| p.agent == *agent && p.life != life, now);
            let mut used = Resources::default();
            for entry in self.live() {
                for (key, unit) in &entry.units {
                    let charge = entry.job.steps[key.step].charge();
                    let here = unit.members().filter(|m| {
                        m.place.agent == *agent && m.place.life == life
                    });
                    used = here.fold(used, |used, _| used.plus(&charge));
                }
            }
            self.note(format!("worker {life} of {agent} is known"));
            let worker = fresh(said, used, now.now);
            self.workers.insert(agent.clone(), worker);
        }
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.granted = now.now;
            worker.process = process;
            worker.gone = false;
            worker.capacity = said.capacity;
            worker.stays = said
                .remaining_ms
                .map(|ms| now.now + Duration::from_millis(ms));
            worker.leaving = said.leaving;
        }
    }

    fn take_running(
        &mut self,
        place: &Place,
        running: &Running,
        now: Moment,
    ) -> bool {
        let Some((key, at)) = self.find(&running.task, running.run, place)
        else {
            return false;
        };
        let Some(entry) = self.jobs.get_mut(&running.task.job) else {
            return false;
        };
        let kept = entry.progress.units.get_mut(&key);
        let kept = kept
            .filter(|k| !running.saved.is_empty() && k.saved != running.saved);
        let saved = kept.is_some();
        if let Some(kept) = kept {
            kept.saved.clone_from(&running.saved);
        }
        let Some(unit) = entry.units.get_mut(&key) else {
            return false;
        };
        let Phase::Running(members) = &mut unit.phase else {
            return false;
        };
        let member = &mut members[at];
        if member.state != State::Present {
            member.state = State::Present;
            member.moved = now.now;
            self.stirred.insert(place.agent.clone());
        }
        // A task that shows no figure is taken to be at work.
        let works = running.load.is_none_or(|load| load > 0.0);
        if works || saved {
            member.moved = now.now;
            member.worked = true;
        }
        true
    }

    fn take_end(&mut self, place: &Place, ended: &Ended, now: Moment) {
        let Some(worker) = self.workers.get_mut(&place.agent) else {
            return;
        };
        if ended.number <= worker.taken {
            return;
        }
        worker.taken = ended.number;
        let task = &ended.task;
        if let Some((key, at)) = self.find(task, ended.run, place) {
            self.save(&task.job, &key, &ended.saved);
            let end = End::Listed(ended.how);
            self.end_member(&task.job, &key, at, end, now);
        }
        let version = self.jobs.get(&task.job).map_or(0, |e| e.version);
        let unnoted = Unnoted {
            number: ended.number,
            job: task.job.clone(),
            version,
        };
        if let Some(worker) = self.workers.get_mut(&place.agent) {
            worker.unnoted.push_back(unnoted);
        }
        self.stirred.insert(place.agent.clone());
    }

    /// Keeps a checkpoint that comes with an end: once the end is
    /// acknowledged, the worker no longer has it.
    fn save(&mut self, id: &str, key: &UnitKey, saved: &str) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        match entry.progress.units.get_mut(key) {
            Some(kept) if !saved.is_empty() && kept.saved != saved => {
                kept.saved = saved.to_owned();
                self.touch(id);
            }
            _ => {}
        }
    }

    fn take_refused(&mut self, place: &Place, refused: &Refused, now: Moment) {
        let found = self.find(&refused.task, refused.run, place);
        let Some((key, at)) = found else {
            return;
        };
        let present = self.jobs.get(&refused.task.job).is_some_and(|entry| {
            entry.units.get(&key).is_some_and(|unit| {
                unit.members().any(|m| {
                    m.index == refused.task.index && m.state == State::Present
                })
            })
        });
        if present {
            return;
        }
        let end = End::Never(refused.why);
        self.end_member(&refused.task.job, &key, at, end, now);
        self.stirred.insert(place.agent.clone());
    }

    /// Returns the unit and the position of a member that is running.
    fn find(
        &self,
        task: &Task,
        run: Run,
        place: &Place,
    ) -> Option<(UnitKey, usize)> {
        let entry = self.jobs.get(&task.job)?;
        let step = entry.job.steps.get(task.step)?;
        let key = UnitKey {
            time: task.time,
            step: task.step,
            index: (!step.gang).then_some(task.index),
        };
        let kept = entry.progress.units.get(&key)?;
        let Phase::Running(members) = &entry.units.get(&key)?.phase else {
            return None;
        };
        let at = members.iter().position(|m| {
            m.index == task.index
                && m.place == *place
                && m.state != State::Ended
        })?;
        (kept.run == run).then_some((key, at))
    }

    fn end_member(
        &mut self,
        id: &str,
        key: &UnitKey,
        at: usize,
        end: End,
        now: Moment,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let charge = entry.job.steps[key.step].charge();
        let job = entry.job.id.clone();
        let from = entry.progress.units.get(key);
        let whole = from.is_some_and(|kept| kept.from.is_empty());
        let Some(unit) = entry.units.get_mut(key) else {
            return;
        };
        let Phase::Running(members) = &mut unit.phase else {
            return;
        };
        let member = &mut members[at];
        member.state = State::Ended;
        let place = member.place.clone();
        let since = member.since;
        let stopped = unit.stop;
        let mut counts = false;
        let mut learnt = None;
        match end {
            End::Listed(How::Done) => {
                unit.any_done = true;
                let ran = now.now.saturating_duration_since(since);
                learnt = whole.then_some(ran);
            }
            End::Listed(How::Failed) => {
                // Counted at once, whatever becomes of the other members:
                // the end may be acknowledged before theirs are known.
                counts = !unit.any_failed;
                unit.any_failed = true;
                unit.avoid.push(place.agent.clone());
            }
            End::Never(Refusal::Room | Refusal::Unhealthy) => {
                unit.avoid.push(place.agent.clone());
            }
            _ => {}
        }
        let queue = entry.job.queue.clone();
        let kept = entry.progress.units.entry(*key).or_default();
        kept.failed += u32::from(counts);
        let run = kept.run;
        if counts {
            self.touch(id);
        }
        if let Some(ran) = learnt {
            self.history.learn(&queue, ran);
        }
        self.note(format!(
            "task {id}.{key}/{at} run {run} at {} {}: {end:?}",
            place.agent, place.life
        ));
        self.vacate(&place, &charge);
        self.judge(&place, &job, end, stopped, now);
        self.settle_unit(id, key, now);
    }

    fn judge(
        &mut self,
        place: &Place,
        job: &crate::graph::Id,
        end: End,
        stopped: Option<Why>,
        now: Moment,
    ) {
        let Some(worker) = self.workers.get_mut(&place.agent) else {
            return;
        };
        let apart = match end {
            End::Listed(How::Done) => {
                worker.health.done();
                false
            }
            End::Listed(How::Failed) => worker.health.failed(job, now.now),
            End::Never(Refusal::Unhealthy) => worker.health.stuck(now.now),
            End::Listed(_) if stopped == Some(Why::Stuck) => {
                worker.health.stuck(now.now)
            }
            _ => false,
        };
        if apart {
            self.note(format!("worker {} is kept apart", place.life));
        }
    }

    /// Moves a unit on after one of its members has ended.
    fn settle_unit(&mut self, id: &str, key: &UnitKey, now: Moment) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let over = entry.over();
        let lasting = entry.job.steps[key.step].lasting;
        let limit = entry.job.max_attempts;
        let Some(unit) = entry.units.get_mut(key) else {
            return;
        };
        let Phase::Running(members) = &unit.phase else {
            return;
        };
        let left = members.iter().any(|m| m.state != State::Ended);
        let done = unit.any_done && !lasting;
        let Some(kept) = entry.progress.units.get_mut(key) else {
            return;
        };
        if done && !kept.done {
            // One member's end counts for the whole gang.
            kept.done = true;
            kept.on.clear();
            kept.saved.clear();
            self.touch(id);
            self.succeed_if_done(id, now);
        } else if left && !done {
            // The others of a gang cannot go on alone.
            self.stop_unit(id, key, Why::Broken, now);
        }
        if left {
            return;
        }
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(unit) = entry.units.get_mut(key) else {
            return;
        };
        unit.stop = None;
        unit.ready = now.now;
        unit.any_failed = false;
        unit.any_done = false;
        if done {
            unit.phase = Phase::Done;
            return;
        }
        unit.phase = Phase::Waiting;
        unit.not_before = now.now + AGAIN;
        let Some(kept) = entry.progress.units.get_mut(key) else {
            return;
        };
        kept.on.clear();
        let spent = !lasting && kept.failed >= limit;
        self.touch(id);
        if spent && !over {
            self.finish(id, Outcome::Failed, now);
        }
    }

    /// Stops a unit's run, or gives up the place that it waits for.
    pub(super) fn stop_unit(
        &mut self,
        id: &str,
        key: &UnitKey,
        why: Why,
        now: Moment,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(unit) = entry.units.get_mut(key) else {
            return;
        };
        match &unit.phase {
            Phase::Reserved(_) => {
                self.unreserve(id, key);
            }
            Phase::Running(_) if unit.stop.is_none() => {
                unit.stop = Some(why);
                let agents: Vec<AgentId> =
                    unit.members().map(|m| m.place.agent.clone()).collect();
                self.stirred.extend(agents);
                self.note(format!("unit {id}.{key} is stopped: {why:?}"));
                self.end_unhanded(id, key, now);
            }
            _ => {}
        }
    }

    /// Ends the members whose start was never handed out.
    fn end_unhanded(&mut self, id: &str, key: &UnitKey, now: Moment) {
        let unhanded = |book: &Book| {
            let unit = book.jobs.get(id)?.units.get(key)?;
            let Phase::Running(members) = &unit.phase else {
                return None;
            };
            members.iter().position(|m| {
                !m.handed && matches!(m.state, State::Ordered(_))
            })
        };
        while let Some(at) = unhanded(self) {
            let end = End::Never(Refusal::Barred);
            self.end_member(id, key, at, end, now);
        }
    }

    /// Ends the members on places that are gone.
    pub(super) fn lose(&mut self, gone: impl Fn(&Place) -> bool, now: Moment) {
        let mut lost = Vec::new();
        for entry in self.live() {
            for (key, unit) in &entry.units {
                let Phase::Running(members) = &unit.phase else {
                    continue;
                };
                let here = members.iter().enumerate().filter(|(_, m)| {
                    m.state != State::Ended && gone(&m.place)
                });
                lost.extend(
                    here.map(|(at, _)| (entry.job.id.clone(), *key, at)),
                );
            }
        }
        for (id, key, at) in lost {
            self.end_member(&id, &key, at, End::Gone, now);
        }
        self.unreserve_lost(gone, now);
    }

    /// Gives up the room that is kept for a unit; returns where it was.
    pub(super) fn unreserve(&mut self, id: &str, key: &UnitKey) -> Vec<Place> {
        let Some(entry) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let charge = entry.job.steps[key.step].charge();
        let Some(unit) = entry.units.get_mut(key) else {
            return Vec::new();
        };
        let Phase::Reserved(members) = &unit.phase else {
            return Vec::new();
        };
        let places: Vec<Place> =
            members.iter().map(|m| m.place.clone()).collect();
        unit.phase = Phase::Waiting;
        for place in &places {
            self.vacate(place, &charge);
            self.keep(place, &Resources::default().minus(&charge));
        }
        places
    }

    fn unreserve_lost(&mut self, gone: impl Fn(&Place) -> bool, now: Moment) {
        let mut given_up = Vec::new();
        for entry in self.live() {
            for (key, unit) in &entry.units {
                if let Phase::Reserved(members) = &unit.phase {
                    if members.iter().any(|m| gone(&m.place)) {
                        given_up.push((entry.job.id.clone(), *key));
                    }
                }
            }
        }
        for (id, key) in given_up {
            self.stop_unit(&id, &key, Why::Broken, now);
        }
    }

    /// Takes the members for gone whose agents have been silent for so long
    /// that their workers' leases have run out.
    pub(super) fn lose_silent(&mut self, now: Moment) {
        let wait = self.terms.survival + self.terms.margin;
        let mut silent = Vec::new();
        for entry in self.live() {
            let members = entry.units.values().flat_map(Unit::members);
            for member in members {
                let heard = self
                    .workers
                    .get(&member.place.agent)
                    .filter(|worker| worker.life == member.place.life)
                    .map_or(self.began, |worker| worker.granted);
                if now.now >= heard + wait && !silent.contains(&member.place) {
                    silent.push(member.place.clone());
                }
            }
        }
        for place in silent {
            self.note(format!("worker {} is taken for gone", place.life));
            self.lose(|other| *other == place, now);
        }
    }

    /// Stops the runs that make no progress.
    pub(super) fn stop_stuck(&mut self, now: Moment) {
        let mut stuck = Vec::new();
        for entry in self.live() {
            for (key, unit) in &entry.units {
                let step = &entry.job.steps[key.step];
                if !matches!(unit.phase, Phase::Running(_))
                    || unit.stop.is_some()
                    || step.lasting
                {
                    continue;
                }
                let expected = self.history.expect(&entry.job.queue, step);
                let far = step.same_rack || step.data_rack.is_some();
                let expected = match far {
                    true => expected.mul_f64(self.terms.far),
                    false => expected,
                };
                if unit.members().any(|m| self.is_stuck(m, expected, now)) {
                    stuck.push((entry.job.id.clone(), *key));
                }
            }
        }
        for (id, key) in stuck {
            self.stop_unit(&id, &key, Why::Stuck, now);
        }
    }

    /// Returns whether a member has run so long without a sign of work that
    /// it is taken for stuck. A figure of 0 alone says little: tasks that
    /// work were seen to show it for seconds.
    fn is_stuck(
        &self,
        member: &Member,
        expected: Duration,
        now: Moment,
    ) -> bool {
        let worker = self.workers.get(&member.place.agent);
        let fresh = worker.is_some_and(|worker| {
            now.now < worker.granted + self.terms.contact
        });
        let factor = match member.worked {
            true => OVERDUE,
            false => OVERDUE_IDLE,
        };
        let overdue = member.since + expected.mul_f64(factor) + STUCK;
        fresh && now.now >= overdue && now.now >= member.moved + STUCK
    }

    pub(super) fn occupy(&mut self, place: &Place, charge: &Resources) {
        if let Some(worker) = self.workers.get_mut(&place.agent) {
            if worker.life == place.life {
                worker.used = worker.used.plus(charge);
            }
        }
    }

    /// Adds to what is kept on a worker.
    pub(super) fn keep(&mut self, place: &Place, charge: &Resources) {
        if let Some(worker) = self.workers.get_mut(&place.agent) {
            if worker.life == place.life {
                worker.kept = worker.kept.plus(charge);
            }
        }
    }

    pub(super) fn vacate(&mut self, place: &Place, charge: &Resources) {
        if let Some(worker) = self.workers.get_mut(&place.agent) {
            if worker.life == place.life {
                worker.used = worker.used.minus(charge);
            }
        }
    }
}

fn fresh(said: &WorkerReport, used: Resources, now: Instant) -> Worker {
    Worker {
        life: said.life.clone(),
        pool: said.pool.clone(),
        rack: said.rack.clone(),
        labels: said.labels.clone(),
        capacity: said.capacity,
        leaving: said.leaving,
        stays: None,
        used,
        kept: Resources::default(),
        process: String::new(),
        sequence: 0,
        granted: now,
        taken: 0,
        noted: 0,
        unnoted: Default::default(),
        strays: Default::default(),
        health: Health::default(),
        gone: false,
    }
}

/// Opens a unit that was started before this planner claimed.
fn adopt(
    entry: &mut Entry,
    key: &UnitKey,
    kept: &crate::graph::UnitProgress,
    now: Instant,
) {
    if key.step >= entry.job.steps.len() {
        return;
    }
    let member = |(at, place): (usize, &Place)| Member {
        index: key.index.unwrap_or(at as u32),
        place: place.clone(),
        // Whether it has begun is not known: ordered again, the same run
        // starts once at most.
        state: State::Ordered(0),
        handed: true,
        since: now,
        worked: true,
        moved: now,
    };
    let mut unit = Unit::new(now);
    unit.phase = match (kept.done, kept.on.is_empty()) {
        (true, _) => Phase::Done,
        (false, true) => Phase::Waiting,
        (false, false) => {
            Phase::Running(kept.on.iter().enumerate().map(member).collect())
        }
    };
    entry.units.insert(*key, unit);
}
