//! Events: accepted and cancelled jobs, and reports of agents.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::graph::health::Health;
use crate::graph::job_record::JobRecord;
use crate::graph::pace::FillerPace;
use crate::graph::scheduler::UnackedEnd;
use crate::graph::scheduler::Worker;
use crate::graph::settle::MemberEnd;
use crate::graph::unit::Member;
use crate::graph::unit::MemberState;
use crate::graph::unit::Phase;
use crate::graph::unit::StopReason;
use crate::graph::unit::Unit;
use crate::graph::unit::Work;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::Ended;
use crate::graph::Job;
use crate::graph::JobId;
use crate::graph::Life;
use crate::graph::Outcome;
use crate::graph::Place;
use crate::graph::Progress;
use crate::graph::Refused;
use crate::graph::Report;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::Running;
use crate::graph::Scheduler;
use crate::graph::Task;
use crate::graph::Timestamp;
use crate::graph::UnitKey;
use crate::graph::WorkerReport;

impl Scheduler {
    /// Adds an accepted job, with the stored progress of one that has begun.
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
            let last =
                self.last_urgent.entry(job.pool.clone()).or_insert(accepted);
            *last = accepted.max(*last);
        }
        let job = Arc::new(job);
        if job.priority == 0 {
            self.headroom.accept(&job, accepted);
        }
        let mut record = JobRecord {
            job,
            progress: progress.unwrap_or_default(),
            version: 0,
            written: 0,
            cancelled: false,
            units: Default::default(),
            opened_steps: Default::default(),
            open_times: Default::default(),
            next_time: 0,
            run_times: Default::default(),
            own_failures: Default::default(),
            cleared: false,
            has_losses: false,
            accepted_at: accepted,
        };
        let units = record.progress.units.clone();
        record.has_losses = units.values().any(|unit| !unit.lost.is_empty());
        for (key, progress) in &units {
            adopt_unit(&mut record, key, progress, now.monotonic);
            // The members of a gang may have begun long before.
            if let Some(unit) = record.units.get_mut(key) {
                let begin_time = self.options.gang_begin_time(0);
                let left = progress.begin_by.map_or(begin_time, |begin_by| {
                    let left = begin_by.duration_since(now.wall);
                    left.unwrap_or_default().min(begin_time)
                });
                let begin_by = now.monotonic + left;
                unit.begin_by = unit.starts_together().then_some(begin_by);
            }
        }
        let members: Vec<(Place, Resources)> = record
            .units
            .iter()
            .flat_map(|(key, unit)| {
                let charge = record.job.steps[key.step].charge();
                unit.members().map(move |m| (m.place.clone(), charge))
            })
            .collect();
        let over = record.is_over();
        if !over {
            self.adopt_unconfirmed(&record, now);
            self.adopt_unread(&record);
        }
        self.changed = true;
        self.jobs.insert(id.clone(), record);
        for (place, charge) in members {
            self.occupy(&place, &charge);
            self.agents_to_order.insert(place.agent);
        }
        self.open_jobs.insert(id.clone());
        if !over {
            self.settle_adopted(&id, now);
        }
        if over {
            let keys: Vec<UnitKey> =
                self.jobs[&id].units.keys().copied().collect();
            for key in keys {
                self.stop_unit(&id, &key, StopReason::Over, now);
            }
        }
    }

    /// Ends an adopted job whose units have settled its outcome. The earlier
    /// planner may have written the units and not the outcome.
    fn settle_adopted(&mut self, id: &JobId, now: Timestamp) {
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        let units = &record.progress.units;
        let failed = units.iter().any(|(key, unit)| {
            key.step < record.job.steps.len()
                && !unit.done
                && unit.on.is_empty()
                && record.has_failed(key)
        });
        match failed {
            true => self.end_job(id, Outcome::Failed, now),
            false if !units.is_empty() => self.succeed_if_done(id, now),
            false => {}
        }
    }

    /// Cancels a job at its caller's request.
    pub fn cancel_job(&mut self, id: &str, now: Timestamp) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        record.cancelled = true;
        self.changed = true;
        self.end_job(id, Outcome::Cancelled, now);
    }

    /// Applies an agent's report; returns whether the report renewed the
    /// worker's grant.
    pub fn apply_report(&mut self, report: Report, now: Timestamp) -> bool {
        self.now = now.monotonic;
        let agent = report.agent;
        let (silent, gone) = match report.silent {
            true => (report.gone, None),
            false => (None, report.gone),
        };
        let mut over = Vec::from_iter(gone);
        if let Some(past) = report.before {
            let life = past.life.clone();
            // The ends come first: members that have ended are not lost with
            // the life.
            self.apply_past_ends(&agent, &past, now);
            let previous = self.past_lives.insert(agent.clone(), past.clone());
            if past.over && previous.as_ref() != Some(&past) {
                over.push(life);
            }
        }
        let Some(reported) = report.worker else {
            self.end_lives(&agent, over, silent, now);
            return self.renew_grant(&agent, now.monotonic);
        };
        let stale = self.workers.get(&agent).is_some_and(|worker| {
            worker.process == report.process
                && report.sequence <= worker.sequence
        });
        if stale {
            self.end_lives(&agent, over, silent, now);
            return false;
        }
        self.apply_worker(&agent, &reported, report.process, now);
        let (pool, used) = (&reported.pool, &reported.used);
        self.shares.report(&agent, pool, used, now.monotonic);
        self.resolve_unconfirmed(&agent, &reported, now);
        // Only after `apply_worker`, which moves the members that the present
        // birth lists to it: they are not lost with an earlier one.
        self.end_lives(&agent, over, silent, now);
        if let Some(worker) = self.workers.get_mut(&agent) {
            worker.sequence = report.sequence;
        }
        let place = Place {
            agent: agent.clone(),
            life: reported.life.clone(),
        };
        for ended in &reported.lists.ended {
            self.apply_end(&place, ended, now);
        }
        self.close_unlisted(&agent, &reported);
        for refused in &reported.refused {
            self.apply_refused(&place, refused, now);
        }
        let mut unknown = BTreeSet::new();
        for running in &reported.lists.running {
            if !self.apply_running(&place, running, reported.listed_at, now) {
                unknown.insert((running.task.clone(), running.run));
            }
        }
        self.update_pace(&agent, &reported.lists.running, now.monotonic);
        self.update_off_pace(&agent, &reported.lists.running);
        self.set_unknown_runs(&agent, unknown);
        true
    }

    /// Records the listed runs of a worker that this planner has not ordered.
    fn set_unknown_runs(
        &mut self,
        agent: &AgentId,
        runs: BTreeSet<(Task, Run)>,
    ) {
        let Some(worker) = self.workers.get(agent) else {
            return;
        };
        let capacity = worker.capacity;
        let charges = runs
            .iter()
            .map(|(task, _)| self.unknown_charge(task, capacity));
        let charge = charges
            .fold(Resources::default(), |sum, charge| sum.plus(&charge));
        let (spared, unknown): (BTreeSet<_>, BTreeSet<_>) =
            runs.into_iter().partition(|(task, _)| self.is_spared(task));
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        if worker.unknown_runs != unknown || worker.spared_runs != spared {
            worker.unknown_runs = unknown;
            worker.spared_runs = spared;
            worker.unknown_charge = charge;
            self.changed = true;
            self.agents_to_order.insert(agent.clone());
        }
    }

    fn end_lives(
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
            self.end_life(&place(life), MemberEnd::WorkerLost, now);
        }
        if let Some(life) = silent {
            self.end_life(&place(life), MemberEnd::WorkerSilent, now);
        }
    }

    /// Ends the members of a worker's life that is over, or may be.
    fn end_life(&mut self, place: &Place, end: MemberEnd, now: Timestamp) {
        if let Some(worker) = self.workers.get_mut(&place.agent) {
            worker.gone |= worker.life == place.life;
        }
        self.changed = true;
        self.end_members_on(end, |other| other == place, now);
        self.close_unread(end, |other| other == place);
    }

    fn renew_grant(&mut self, agent: &AgentId, now: Instant) -> bool {
        match self.workers.get_mut(agent) {
            Some(worker) => {
                worker.last_grant = now;
                true
            }
            None => false,
        }
    }

    fn apply_worker(
        &mut self,
        agent: &AgentId,
        reported: &WorkerReport,
        process: String,
        now: Timestamp,
    ) {
        let is_new = self
            .workers
            .get(agent)
            .is_none_or(|worker| worker.life != reported.life);
        let before = self.workers.get(agent);
        let replaced = before.is_some_and(|before| {
            before.machine.is_some() && before.machine != reported.machine
        });
        match reported.speed {
            _ if replaced => self.speeds.forget(agent),
            Some(speed) => self.speeds.adopt(agent, speed),
            None => {}
        }
        if is_new {
            let life = reported.life.clone();
            self.move_births(agent, &life, &reported.lists);
            self.end_lost(|p| p.agent == *agent && p.life != life, now);
            self.close_earlier_lives(agent, &life);
            let mut used = Resources::default();
            for record in self.live_jobs() {
                for (key, unit) in &record.units {
                    let charge = record.job.steps[key.step].charge();
                    let here = unit.members().filter(|m| {
                        m.place.agent == *agent && m.place.life == life
                    });
                    used = here.fold(used, |used, _| used.plus(&charge));
                }
            }
            self.record_decision(Decision::WorkerAdded {
                agent: agent.clone(),
                life,
            });
            let worker = new_worker(reported, used, now.monotonic);
            // The worker may have shrunk, or its hall been closed, since an
            // earlier planner assigned runs there.
            let overcommitted = !worker.capacity.holds(&worker.used);
            let reason = match self.closed_halls.contains(&worker.hall) {
                true => Some(StopReason::Closed),
                false => overcommitted.then_some(StopReason::Shrunk),
            };
            self.withdrawals
                .extend(reason.map(|reason| (agent.clone(), reason)));
            self.workers.insert(agent.clone(), worker);
        }
        if let Some(worker) = self.workers.get_mut(agent) {
            let unchanged = !is_new
                && !worker.gone
                && worker.capacity == reported.capacity
                && worker.leaving == reported.leaving
                && worker.silent == reported.silent
                && now.monotonic
                    < worker.last_grant + self.options.contact_timeout;
            self.changed |= !unchanged;
            worker.last_grant = now.monotonic;
            worker.process = process;
            worker.gone = false;
            worker.leaves_at = reported
                .remaining_ms
                .map(|ms| now.monotonic + Duration::from_millis(ms));
            worker.leaving = reported.leaving;
            worker.silent = reported.silent;
            worker.announced_leaving |= reported.leaving && !reported.silent;
        }
        self.resize(agent, reported.capacity);
    }

    fn apply_running(
        &mut self,
        place: &Place,
        running: &Running,
        listed_at: Option<u64>,
        now: Timestamp,
    ) -> bool {
        let Some((key, position)) =
            self.find_member(&running.task, running.run, place)
        else {
            return false;
        };
        let silent = self.workers.get(&place.agent).is_some_and(|w| w.silent);
        let Some(record) = self.jobs.get_mut(&running.task.job) else {
            return false;
        };
        let suspect = !record.cleared && record.is_suspect(&key);
        let begins = record.has_not_begun(&key, position);
        let progress = record.progress.units.get_mut(&key);
        let progress = progress
            .filter(|k| !running.saved.is_empty() && k.saved != running.saved);
        let saved = progress.is_some();
        if let Some(progress) = progress {
            progress.saved.clone_from(&running.saved);
        }
        let Some(unit) = record.units.get_mut(&key) else {
            return false;
        };
        let Phase::Running(members) = &mut unit.phase else {
            return false;
        };
        let member = &mut members[position];
        if member.state != MemberState::Running {
            self.changed = true;
            member.state = MemberState::Running;
            member.last_work = now.monotonic;
            member.begun_at.get_or_insert(now.monotonic);
            self.agents_to_order.insert(place.agent.clone());
        }
        // A task without a load figure counts as working.
        let working = running.load.is_none_or(|load| load > 0.0);
        if working || saved {
            member.last_work = now.monotonic;
            member.showed_work = true;
        }
        // The lists of a worker that does not answer its agent are out of
        // date.
        if !silent {
            member.last_listed = Some(now.monotonic);
        }
        if let Some(time) = listed_at.filter(|_| !silent) {
            member
                .work
                .get_or_insert(Work::new(time, running.pace))
                .observe(time, running.pace);
        }
        let whole_time = member.work.and_then(|work| work.whole_time());
        let proven = member.is_proven();
        // A member that waits for others may show no load figure either.
        let loaded = running.load.is_some_and(|load| load > 0.0);
        unit.all_present |= loaded || saved || member.has_progressed();
        if begins {
            self.note_gang_begun(&running.task.job, &key);
        }
        if proven && suspect {
            self.clear_suspicion(&running.task.job, &key);
        }
        if let Some(time) = whole_time {
            self.observe_speed(&running.task.job, &key, &place.agent, time);
        }
        true
    }

    fn apply_end(&mut self, place: &Place, ended: &Ended, now: Timestamp) {
        let Some(worker) = self.workers.get_mut(&place.agent) else {
            return;
        };
        if ended.number <= worker.highest_end {
            return;
        }
        worker.highest_end = ended.number;
        self.changed = true;
        let task = &ended.task;
        self.apply_listed_end(place, ended, now);
        let version = self.kept_version(&task.job);
        let unacked = UnackedEnd {
            number: ended.number,
            job: task.job.clone(),
            version,
        };
        if let Some(worker) = self.workers.get_mut(&place.agent) {
            worker.unacked_ends.push_back(unacked);
        }
        self.agents_to_order.insert(place.agent.clone());
    }

    /// Stores a checkpoint that is reported with an end: once the end is
    /// acknowledged, the worker no longer has it.
    pub(super) fn store_checkpoint(
        &mut self,
        id: &str,
        key: &UnitKey,
        saved: &str,
    ) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        match record.progress.units.get_mut(key) {
            Some(progress) if !saved.is_empty() && progress.saved != saved => {
                progress.saved = saved.to_owned();
                self.mark_dirty(id);
            }
            _ => {}
        }
    }

    fn apply_refused(
        &mut self,
        place: &Place,
        refused: &Refused,
        now: Timestamp,
    ) {
        let found = self.find_member(&refused.task, refused.run, place);
        let Some((key, position)) = found else {
            return;
        };
        let present = self.jobs.get(&refused.task.job).is_some_and(|record| {
            record.units.get(&key).is_some_and(|unit| {
                unit.members().any(|m| {
                    m.index == refused.task.index
                        && m.state == MemberState::Running
                })
            })
        });
        if present {
            return;
        }
        let end = MemberEnd::NeverBegan(refused.why);
        self.end_member(&refused.task.job, &key, position, end, now);
        self.agents_to_order.insert(place.agent.clone());
    }

    /// Returns the unit and the position of an active member.
    pub(super) fn find_member(
        &self,
        task: &Task,
        run: Run,
        place: &Place,
    ) -> Option<(UnitKey, usize)> {
        let record = self.jobs.get(&task.job)?;
        let step = record.job.steps.get(task.step)?;
        let key = task.unit(step.gang);
        let progress = record.progress.units.get(&key)?;
        let Phase::Running(members) = &record.units.get(&key)?.phase else {
            return None;
        };
        let position = members.iter().position(|m| {
            m.index == task.index
                && m.place == *place
                && m.state != MemberState::Ended
        })?;
        (progress.run == run).then_some((key, position))
    }
}

fn new_worker(
    reported: &WorkerReport,
    used: Resources,
    now: Instant,
) -> Worker {
    Worker {
        life: reported.life.clone(),
        machine: reported.machine.clone(),
        pool: reported.pool.clone(),
        hall: reported.hall.clone(),
        rack: reported.rack.clone(),
        labels: reported.labels.clone(),
        capacity: reported.capacity,
        leaving: reported.leaving,
        silent: reported.silent,
        leaves_at: None,
        used,
        reserved: Resources::default(),
        process: String::new(),
        sequence: 0,
        last_grant: now,
        highest_end: 0,
        acked_end: 0,
        unacked_ends: Default::default(),
        unknown_runs: Default::default(),
        spared_runs: Default::default(),
        unknown_charge: Resources::default(),
        health: Health::default(),
        filler_pace: FillerPace::new(now),
        off_pace: Vec::new(),
        gone: false,
        announced_leaving: false,
        isolated_until: None,
    }
}

/// Adds a unit that an earlier planner started.
fn adopt_unit(
    record: &mut JobRecord,
    key: &UnitKey,
    progress: &crate::graph::UnitProgress,
    now: Instant,
) {
    if key.step >= record.job.steps.len() {
        return;
    }
    let member = |(position, place): (usize, &Place)| Member {
        index: key.index.unwrap_or(position as u32),
        place: place.clone(),
        // The run may or may not have begun. Ordering it again is safe,
        // because a run starts at most once.
        state: MemberState::Ordered(0),
        sent: true,
        assigned_at: now,
        begun_at: None,
        inherited: true,
        showed_work: true,
        last_work: now,
        last_listed: None,
        work: None,
    };
    let mut unit = Unit::new(now);
    unit.phase = match (progress.done, progress.on.is_empty()) {
        (true, _) => Phase::Done,
        (false, true) => Phase::Waiting,
        (false, false) => Phase::Running(
            progress.on.iter().enumerate().map(member).collect(),
        ),
    };
    record.units.insert(*key, unit);
}
