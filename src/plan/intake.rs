//! Applies events to the state.

use std::time::Duration;
use std::time::SystemTime;

use crate::job;
use crate::job::Outcome;
use crate::plan::admit;
use crate::plan::command::Command;
use crate::plan::command::Reason;
use crate::plan::event::Event;
use crate::plan::health;
use crate::plan::health::Health;
use crate::plan::schedule;
use crate::plan::state::run_time;
use crate::plan::state::Job;
use crate::plan::state::Phase;
use crate::plan::state::Presence;
use crate::plan::state::Run;
use crate::plan::state::State;
use crate::site::WorkerIndex;

/// The wait before the second retry, doubled for each later one.
const RETRY_BACKOFF: Duration = Duration::from_secs(1);
/// The largest number of doublings of the wait between retries.
const MAX_BACKOFF_DOUBLINGS: usize = 8;

/// Applies one event to the state.
pub fn apply(
    state: &mut State,
    event: Event,
    now: SystemTime,
    commands: &mut Vec<Command>,
) {
    match event {
        Event::AccountChanged { account, terms } => {
            state.accounts.entry(account.clone()).or_default().terms = terms;
            state.sync_homes(&account);
            refuse_unplaceable(state, now, commands);
        }
        Event::AccountRemoved { account } => {
            if let Some(account_state) = state.accounts.get_mut(&account) {
                account_state.terms = Default::default();
            }
            state.sync_homes(&account);
            refuse_unplaceable(state, now, commands);
        }
        Event::Submitted { spec } => {
            apply_submitted(state, spec, now, commands)
        }
        Event::Cancelled { job } => {
            apply_cancelled(state, &job, now, commands)
        }
        Event::WorkerUp { worker } => {
            with_worker(state, &worker, |state, index| {
                let worker = &mut state.workers[index];
                if worker.presence == Presence::Lost {
                    worker.health = Health::Good;
                }
                worker.presence = Presence::Up;
            });
        }
        Event::WorkerLeaving { worker } => {
            with_worker(state, &worker, |state, index| {
                state.workers[index].presence = Presence::Leaving;
                drop_bookings(state, index);
            });
        }
        Event::WorkerSilent { worker } => {
            with_worker(state, &worker, |state, index| {
                state.workers[index].presence = Presence::Silent;
                drop_bookings(state, index);
            });
        }
        Event::WorkerLost { worker } => {
            with_worker(state, &worker, |state, index| {
                state.workers[index].presence = Presence::Lost;
                drop_bookings(state, index);
                stop_broken_jobs(state, index, commands);
            });
        }
        Event::Adopted {
            spec,
            attempt,
            pieces,
            started,
        } => {
            let id = spec.id.clone();
            let job = Job::new(spec);
            let home = state.cover_any(&job, &pieces);
            state.jobs.insert(id.clone(), job);
            let run = Run {
                attempt,
                pieces,
                home,
                started,
            };
            state.occupy(&id, run);
            state.homes_dirty = true;
        }
        Event::NotStarted {
            job,
            attempt,
            worker,
        } => apply_not_started(state, &job, attempt, worker, now, commands),
        Event::StartUnknown { job, attempt } => {
            if is_current(state, &job, attempt) {
                let reason = "it cannot be known whether it ran";
                finish(state, &job, Outcome::Unknown, reason, now, commands);
            }
        }
        Event::Completed { job, attempt } => {
            if is_current(state, &job, attempt) {
                apply_completed(state, &job, now, commands);
            }
        }
        Event::Failed {
            job,
            attempt,
            worker,
        } => {
            if is_current(state, &job, attempt) {
                apply_failed(state, &job, &worker, now, commands);
            }
        }
        Event::Stopped {
            job,
            attempt,
            kept,
            proven,
        } => {
            if is_current(state, &job, attempt) {
                apply_stopped(state, &job, kept, proven, now, commands);
            }
        }
        Event::Tick => {}
    }
}

/// Restores workers whose probe has lasted, and lets a worker be probed again
/// if its probe has left it.
pub fn update_probes(
    state: &mut State,
    now: SystemTime,
    commands: &mut Vec<Command>,
) {
    for index in 0..state.workers.len() {
        let Health::Quarantined {
            probe: Some(probe), ..
        } = &state.workers[index].health
        else {
            continue;
        };
        let is_here = state.workers[index].jobs.contains(probe);
        let has_lasted = state
            .jobs
            .get(probe)
            .is_some_and(|job| run_time(job, now) >= health::MIN_PROBE_RUN);
        match is_here {
            true if has_lasted => restore(state, index, commands),
            true => {}
            // The probe ended for a reason that is no evidence about the
            // worker.
            false => reopen_probe(state, index),
        }
    }
}

fn reopen_probe(state: &mut State, index: WorkerIndex) {
    if let Health::Quarantined { probe, .. } = &mut state.workers[index].health
    {
        *probe = None;
    }
}

fn with_worker(
    state: &mut State,
    worker: &str,
    update: impl FnOnce(&mut State, WorkerIndex),
) {
    if let Some(index) = state.site.index(worker) {
        state.homes_dirty = true;
        update(state, index);
    }
}

fn is_current(state: &State, id: &job::Id, attempt: job::Attempt) -> bool {
    state
        .jobs
        .get(id)
        .and_then(Job::run)
        .is_some_and(|run| run.attempt == attempt)
}

fn apply_submitted(
    state: &mut State,
    spec: job::Spec,
    now: SystemTime,
    commands: &mut Vec<Command>,
) {
    let id = spec.id.clone();
    if state.jobs.contains_key(&id) {
        return;
    }
    let refusal = admit::unplaceable_reason(state, &spec);
    state.jobs.insert(id.clone(), Job::new(spec));
    state.waiting.insert(id.clone());
    if let Some(reason) = refusal {
        finish(state, &id, Outcome::NotRun, &reason, now, commands);
    }
}

fn refuse_unplaceable(
    state: &mut State,
    now: SystemTime,
    commands: &mut Vec<Command>,
) {
    let refused: Vec<(job::Id, String)> = state
        .waiting
        .iter()
        .filter_map(|id| state.jobs.get(id))
        .filter(|job| job.attempts == 0)
        .filter_map(|job| {
            let reason = admit::unplaceable_reason(state, &job.spec)?;
            Some((job.spec.id.clone(), reason))
        })
        .collect();
    for (id, reason) in refused {
        finish(state, &id, Outcome::NotRun, &reason, now, commands);
    }
}

fn apply_cancelled(
    state: &mut State,
    id: &job::Id,
    now: SystemTime,
    commands: &mut Vec<Command>,
) {
    let Some(job) = state.jobs.get_mut(id) else {
        return;
    };
    match &mut job.phase {
        Phase::Waiting => {
            let reason = "cancelled by its caller";
            finish(state, id, Outcome::Cancelled, reason, now, commands);
        }
        Phase::Running(_) => {
            state.unbook(id);
            schedule::stop(state, id, Reason::Cancel, commands);
        }
        Phase::Stopping(_, reason) => {
            *reason = Reason::Cancel;
            state.unbook(id);
        }
    }
}

/// Cancels bookings on a worker that takes no new work.
fn drop_bookings(state: &mut State, index: WorkerIndex) {
    let ids: Vec<job::Id> = state.booked.iter().cloned().collect();
    for id in ids {
        let is_booked_here = state.jobs.get(&id).is_some_and(|job| {
            let pieces = job.booking.iter().flat_map(|b| &b.pieces);
            pieces.into_iter().any(|piece| piece.worker == index)
        });
        if is_booked_here {
            state.unbook(&id);
        }
    }
}

/// Stops every job that lost a member with its worker.
fn stop_broken_jobs(
    state: &mut State,
    index: WorkerIndex,
    commands: &mut Vec<Command>,
) {
    for id in state.workers[index].jobs.clone() {
        let Some(job) = state.jobs.get_mut(&id) else {
            continue;
        };
        if let Phase::Stopping(_, reason) = &mut job.phase {
            if *reason != Reason::Cancel {
                *reason = Reason::Broken;
            }
        }
        state.unbook(&id);
        schedule::stop(state, &id, Reason::Broken, commands);
    }
}

fn apply_not_started(
    state: &mut State,
    id: &job::Id,
    attempt: job::Attempt,
    worker: Option<crate::site::WorkerId>,
    now: SystemTime,
    commands: &mut Vec<Command>,
) {
    if !is_current(state, id, attempt) {
        return;
    }
    let cancelled = state.jobs.get(id).is_some_and(|job| {
        matches!(job.phase, Phase::Stopping(_, Reason::Cancel))
    });
    if cancelled {
        let reason = "cancelled by its caller";
        return finish(state, id, Outcome::Cancelled, reason, now, commands);
    }
    release(state, id, now);
    start_ready_bookings(state, id, now, commands);
    if let Some(job) = state.jobs.get_mut(id) {
        job.not_before = now + RETRY_BACKOFF / 4;
    }
    let index = worker.and_then(|worker| state.site.index(&worker));
    if let Some(index) = index {
        state.workers[index].presence = Presence::Silent;
        state.homes_dirty = true;
    }
}

fn apply_completed(
    state: &mut State,
    id: &job::Id,
    now: SystemTime,
    commands: &mut Vec<Command>,
) {
    let Some(job) = state.jobs.get(id) else {
        return;
    };
    let total = job.checkpointed + run_time(job, now);
    let spec = job.spec.clone();
    let pieces = job.run().map(|run| run.pieces.clone());
    state.history.record_completion(&spec, total);
    for piece in pieces.into_iter().flatten() {
        restore(state, piece.worker, commands);
    }
    finish(state, id, Outcome::Done, "", now, commands);
}

fn restore(
    state: &mut State,
    index: WorkerIndex,
    commands: &mut Vec<Command>,
) {
    if state.workers[index].health.record_success() {
        state.homes_dirty = true;
        let worker = state.site.workers()[index].id.clone();
        commands.push(Command::Restore { worker });
    }
}

fn apply_failed(
    state: &mut State,
    id: &job::Id,
    worker: &str,
    now: SystemTime,
    commands: &mut Vec<Command>,
) {
    let Some(job) = state.jobs.get(id) else {
        return;
    };
    if matches!(job.phase, Phase::Stopping(..)) {
        return apply_stopped(state, id, Duration::ZERO, true, now, commands);
    }
    let spec = job.spec.clone();
    let proven = state.history.has_completed(&spec);
    let index = state.site.index(worker);
    if let Some(index) = index {
        let health = &mut state.workers[index].health;
        if health.record_failure(id, proven, now) {
            state.homes_dirty = true;
            drop_bookings(state, index);
            let worker = worker.into();
            commands.push(Command::Quarantine { worker });
        }
    }
    let failed_workers = record_failed_worker(state, id, index);
    if !spec.repeatable {
        let reason = format!("its task failed on worker {worker}");
        return finish(state, id, Outcome::Failed, &reason, now, commands);
    }
    if failed_workers >= health::MAX_FAILED_WORKERS {
        let reason = format!(
            "it failed on {failed_workers} workers that others run well on"
        );
        return finish(state, id, Outcome::Failed, &reason, now, commands);
    }
    release(state, id, now);
    start_ready_bookings(state, id, now, commands);
    if let Some(job) = state.jobs.get_mut(id) {
        let retries = job.failures.len();
        let doublings = retries.saturating_sub(2).min(MAX_BACKOFF_DOUBLINGS);
        job.not_before = match retries {
            0 | 1 => now,
            _ => now + RETRY_BACKOFF * (1 << doublings),
        };
    }
}

/// Records that a job failed on a worker, and returns the number of workers in
/// service on which it has failed.
fn record_failed_worker(
    state: &mut State,
    id: &job::Id,
    index: Option<WorkerIndex>,
) -> usize {
    let Some(job) = state.jobs.get_mut(id) else {
        return 0;
    };
    job.failures.extend(index);
    job.failures.sort_unstable();
    job.failures.dedup();
    let in_service =
        |&&w: &&WorkerIndex| state.workers[w].health.is_in_service();
    job.failures.iter().filter(in_service).count()
}

fn apply_stopped(
    state: &mut State,
    id: &job::Id,
    kept: Duration,
    proven: bool,
    now: SystemTime,
    commands: &mut Vec<Command>,
) {
    let Some(job) = state.jobs.get_mut(id) else {
        return;
    };
    let Phase::Stopping(_, reason) = job.phase else {
        return;
    };
    let repeatable = job.spec.repeatable;
    job.checkpointed = match job.spec.checkpoint {
        true => job.checkpointed + kept,
        false => Duration::ZERO,
    };
    match reason {
        Reason::Cancel => {
            let reason = "cancelled by its caller";
            finish(state, id, Outcome::Cancelled, reason, now, commands);
        }
        Reason::Broken if !repeatable && proven => {
            let reason = "it lost a worker, and may not run again";
            finish(state, id, Outcome::Failed, reason, now, commands);
        }
        _ if !repeatable => {
            let reason = "a worker it ran on cannot be asked how it ended";
            finish(state, id, Outcome::Unknown, reason, now, commands);
        }
        _ => release(state, id, now),
    }
    start_ready_bookings(state, id, now, commands);
}

/// Releases a job's accelerators; a home block without a place may fit
/// afterwards.
fn release(state: &mut State, id: &job::Id, now: SystemTime) {
    let unstoppable = state
        .jobs
        .get(id)
        .is_some_and(|job| !job.spec.is_reclaimable());
    if unstoppable && state.unplaced().next().is_some() {
        state.homes_dirty = true;
    }
    state.release(id, now);
}

fn finish(
    state: &mut State,
    id: &job::Id,
    outcome: Outcome,
    reason: &str,
    now: SystemTime,
    commands: &mut Vec<Command>,
) {
    release(state, id, now);
    if state.remove(id, now).is_some() {
        commands.push(Command::Finish {
            job: id.clone(),
            outcome,
            reason: reason.to_owned(),
        });
    }
    start_ready_bookings(state, id, now, commands);
}

/// Starts the jobs whose bookings waited for `released` alone.
fn start_ready_bookings(
    state: &mut State,
    released: &job::Id,
    now: SystemTime,
    commands: &mut Vec<Command>,
) {
    let ids: Vec<job::Id> = state.booked.iter().cloned().collect();
    for id in ids {
        let Some(job) = state.jobs.get_mut(&id) else {
            continue;
        };
        let Some(booking) = &mut job.booking else {
            continue;
        };
        booking.pending.remove(released);
        if !booking.pending.is_empty() {
            continue;
        }
        if let Some(booking) = state.unbook(&id) {
            let pieces = booking.pieces;
            schedule::start(state, &id, pieces, booking.home, now, commands);
        }
    }
}
