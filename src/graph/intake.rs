//! Taking in what has happened.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::graph::entry::Entry;
use crate::graph::health::Health;
use crate::graph::pace::Filling;
use crate::graph::scheduler::Unnoted;
use crate::graph::scheduler::Worker;
use crate::graph::settle::End;
use crate::graph::unit::Member;
use crate::graph::unit::Phase;
use crate::graph::unit::State;
use crate::graph::unit::Unit;
use crate::graph::unit::Why;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::Ended;
use crate::graph::Job;
use crate::graph::Life;
use crate::graph::Outcome;
use crate::graph::PastLife;
use crate::graph::Place;
use crate::graph::Progress;
use crate::graph::Refused;
use crate::graph::Report;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::RunOutcome;
use crate::graph::Running;
use crate::graph::Scheduler;
use crate::graph::Task;
use crate::graph::Timestamp;
use crate::graph::UnitKey;
use crate::graph::WorkerReport;

impl Scheduler {
    /// Takes in an accepted job, with what is kept of its progress.
    pub fn accept_job(
        &mut self,
        job: Job,
        progress: Option<Progress>,
        now: Timestamp,
    ) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        let age = now.wall.duration_since(job.accepted).unwrap_or_default();
        let accepted = now.monotonic.checked_sub(age).unwrap_or(now.monotonic);
        let id = job.id.clone();
        if job.priority == 0 {
            let last = self.urgent.entry(job.pool.clone()).or_insert(accepted);
            *last = accepted.max(*last);
        }
        let mut entry = Entry {
            job: Arc::new(job),
            progress: progress.unwrap_or_default(),
            version: 0,
            written: 0,
            cancelled: false,
            units: Default::default(),
            opened: Default::default(),
            ran: Default::default(),
            acquitted: false,
            blamed: false,
            accepted,
        };
        let kept = entry.progress.units.clone();
        entry.blamed = kept.values().any(|unit| !unit.lost.is_empty());
        for (key, kept) in &kept {
            adopt(&mut entry, key, kept, now.monotonic);
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
        if !over {
            self.adopt_silences(&entry, now);
        }
        self.changed = true;
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
    pub fn cancel_job(&mut self, id: &str, now: Timestamp) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        entry.cancelled = true;
        self.changed = true;
        self.finish(id, Outcome::Cancelled, now);
    }

    /// Takes in what an agent says; returns whether it was news.
    pub fn apply_report(&mut self, report: Report, now: Timestamp) -> bool {
        let agent = report.agent;
        let (silent, gone) = match report.silent {
            true => (report.gone, None),
            false => (None, report.gone),
        };
        let mut over = Vec::from_iter(gone);
        if let Some(before) = report.before {
            let life = before.life.clone();
            // Before its worker is taken for gone: these are no losses.
            self.take_past(&agent, &before, now);
            let told = self.before.insert(agent.clone(), before.clone());
            if before.over && told.as_ref() != Some(&before) {
                over.push(life);
            }
        }
        let Some(said) = report.worker else {
            self.lives_over(&agent, over, silent, now);
            return self.heard(&agent, now.monotonic);
        };
        let stale = self.workers.get(&agent).is_some_and(|worker| {
            worker.process == report.process
                && report.sequence <= worker.sequence
        });
        if stale {
            self.lives_over(&agent, over, silent, now);
            return false;
        }
        self.take_worker(&agent, &said, report.process, now);
        self.settle_silences(&agent, &said, now);
        // Not before: what the present birth lists is no loss of another.
        self.lives_over(&agent, over, silent, now);
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
        self.set_pace(&agent, &said.lists.running, now.monotonic);
        self.keep_paced(&agent, &said.lists.running);
        let strayed = self.charge_of(&strays);
        if let Some(worker) = self.workers.get_mut(&agent) {
            if worker.strays != strays {
                worker.strays = strays;
                worker.strayed = strayed;
                self.changed = true;
                self.stirred.insert(agent);
            }
        }
        true
    }

    fn lives_over(
        &mut self,
        agent: &AgentId,
        over: Vec<Life>,
        silent: Option<Life>,
        now: Timestamp,
    ) {
        let place = |life| Place {
            agent: agent.clone(),
            life,
        };
        for life in over {
            self.life_over(&place(life), End::Gone, now);
        }
        if let Some(life) = silent {
            self.life_over(&place(life), End::Silent, now);
        }
    }

    /// Returns what runs take whose jobs are known.
    fn charge_of(
        &self,
        runs: &std::collections::BTreeSet<(Task, Run)>,
    ) -> Resources {
        let charges = runs.iter().filter_map(|(task, _)| {
            let entry = self.jobs.get(&task.job)?;
            entry.job.steps.get(task.step).map(|step| step.charge())
        });
        charges.fold(Resources::default(), |sum, charge| sum.plus(&charge))
    }

    /// Takes in that a life of a worker is over, or may be.
    fn life_over(&mut self, place: &Place, end: End, now: Timestamp) {
        if let Some(worker) = self.workers.get_mut(&place.agent) {
            worker.gone |= worker.life == place.life;
        }
        self.changed = true;
        self.lose_by(end, |other| other == place, now);
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
        now: Timestamp,
    ) {
        let new = self
            .workers
            .get(agent)
            .is_none_or(|worker| worker.life != said.life);
        if new {
            let life = said.life.clone();
            self.move_births(agent, &life, &said.lists);
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
            self.note(Decision::WorkerAdded {
                agent: agent.clone(),
                life,
            });
            let worker = fresh(said, used, now.monotonic);
            // It may have shrunk, or its hall been closed, since an earlier
            // planner gave something out there.
            let full = !worker.capacity.holds(&worker.used);
            let why = match self.closed.contains(&worker.hall) {
                true => Some(Why::Closed),
                false => full.then_some(Why::Shrunk),
            };
            self.withdrawn.extend(why.map(|why| (agent.clone(), why)));
            self.workers.insert(agent.clone(), worker);
        }
        if let Some(worker) = self.workers.get_mut(agent) {
            let same = !new
                && !worker.gone
                && worker.capacity == said.capacity
                && worker.leaving == said.leaving
                && worker.silent == said.silent
                && now.monotonic < worker.granted + self.terms.contact_timeout;
            self.changed |= !same;
            worker.granted = now.monotonic;
            worker.process = process;
            worker.gone = false;
            worker.stays = said
                .remaining_ms
                .map(|ms| now.monotonic + Duration::from_millis(ms));
            worker.leaving = said.leaving;
            worker.silent = said.silent;
            worker.announced |= said.leaving && !said.silent;
        }
        self.resize(agent, said.capacity);
    }

    fn take_running(
        &mut self,
        place: &Place,
        running: &Running,
        now: Timestamp,
    ) -> bool {
        let Some((key, at)) = self.find(&running.task, running.run, place)
        else {
            return false;
        };
        let silent = self.workers.get(&place.agent).is_some_and(|w| w.silent);
        let Some(entry) = self.jobs.get_mut(&running.task.job) else {
            return false;
        };
        let suspect = !entry.acquitted && entry.is_suspect(&key);
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
            self.changed = true;
            member.state = State::Present;
            member.moved = now.monotonic;
            self.stirred.insert(place.agent.clone());
        }
        // A task that shows no figure is taken to be at work.
        let works = running.load.is_none_or(|load| load > 0.0);
        if works || saved {
            member.moved = now.monotonic;
            member.worked = true;
        }
        // What an agent lists of a worker that does not answer is old.
        if !silent {
            member.seen = Some(now.monotonic);
        }
        let proven = member.is_proven();
        if proven && suspect {
            self.acquit(&running.task.job, &key);
        }
        true
    }

    fn take_end(&mut self, place: &Place, ended: &Ended, now: Timestamp) {
        let Some(worker) = self.workers.get_mut(&place.agent) else {
            return;
        };
        if ended.number <= worker.taken {
            return;
        }
        worker.taken = ended.number;
        self.changed = true;
        let task = &ended.task;
        self.settle_end(place, ended, now);
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

    /// Takes in the ends that a life has listed which is over. They can be
    /// told again, and are never acknowledged.
    fn take_past(
        &mut self,
        agent: &AgentId,
        before: &PastLife,
        now: Timestamp,
    ) {
        let place = Place {
            agent: agent.clone(),
            life: before.life.clone(),
        };
        for ended in &before.ended {
            self.settle_end(&place, ended, now);
        }
    }

    fn settle_end(&mut self, place: &Place, ended: &Ended, now: Timestamp) {
        let task = &ended.task;
        if let Some((key, at)) = self.find(task, ended.run, place) {
            self.changed = true;
            self.save(&task.job, &key, &ended.saved);
            let end = End::Listed(ended.how);
            self.end_member(&task.job, &key, at, end, now);
        } else if ended.how == RunOutcome::Done {
            self.credit(task, now);
        }
    }

    /// Keeps a checkpoint that comes with an end: once the end is
    /// acknowledged, the worker no longer has it.
    pub(super) fn save(&mut self, id: &str, key: &UnitKey, saved: &str) {
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

    fn take_refused(
        &mut self,
        place: &Place,
        refused: &Refused,
        now: Timestamp,
    ) {
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
    pub(super) fn find(
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
}

fn fresh(said: &WorkerReport, used: Resources, now: Instant) -> Worker {
    Worker {
        life: said.life.clone(),
        pool: said.pool.clone(),
        hall: said.hall.clone(),
        rack: said.rack.clone(),
        labels: said.labels.clone(),
        capacity: said.capacity,
        leaving: said.leaving,
        silent: said.silent,
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
        strayed: Resources::default(),
        health: Health::default(),
        filling: Filling::new(now),
        paced: Vec::new(),
        gone: false,
        announced: false,
        trial: None,
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
        adopted: true,
        worked: true,
        moved: now,
        seen: None,
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
