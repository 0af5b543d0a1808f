//! Taking events into the books.

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
use crate::plan::state::ran;
use crate::plan::state::Job;
use crate::plan::state::Phase;
use crate::plan::state::Presence;
use crate::plan::state::Run;
use crate::plan::state::State;
use crate::site::WorkerIndex;

/// The wait before the second retry; each later one doubles it.
const BACKOFF: Duration = Duration::from_secs(1);
/// How many doublings the wait between retries may see.
const MAX_DOUBLINGS: usize = 8;

/// Takes one event into the books.
pub fn take(
    state: &mut State,
    event: Event,
    now: SystemTime,
    out: &mut Vec<Command>,
) {
    match event {
        Event::Account { account, terms } => {
            state.tenants.entry(account.clone()).or_default().terms = terms;
            state.sync_homes(&account);
            refuse_impossible(state, now, out);
        }
        Event::AccountGone { account } => {
            if let Some(tenant) = state.tenants.get_mut(&account) {
                tenant.terms = Default::default();
            }
            state.sync_homes(&account);
            refuse_impossible(state, now, out);
        }
        Event::Submitted { spec } => submitted(state, spec, now, out),
        Event::Cancelled { job } => cancelled(state, &job, now, out),
        Event::WorkerUp { worker } => {
            with(state, &worker, |state, index| {
                let books = &mut state.workers[index];
                if books.presence == Presence::Lost {
                    books.health = Health::Good;
                }
                books.presence = Presence::Up;
            });
        }
        Event::WorkerLeaving { worker } => {
            with(state, &worker, |state, index| {
                state.workers[index].presence = Presence::Leaving;
                drop_bookings(state, index);
            });
        }
        Event::WorkerSilent { worker } => {
            with(state, &worker, |state, index| {
                state.workers[index].presence = Presence::Silent;
                drop_bookings(state, index);
            });
        }
        Event::WorkerLost { worker } => {
            with(state, &worker, |state, index| {
                state.workers[index].presence = Presence::Lost;
                drop_bookings(state, index);
                break_jobs(state, index, out);
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
        } => not_started(state, &job, attempt, worker, now, out),
        Event::StartUnknown { job, attempt } => {
            if is_current(state, &job, attempt) {
                let reason = "it cannot be known whether it ran";
                finish(state, &job, Outcome::Unknown, reason, now, out);
            }
        }
        Event::Completed { job, attempt } => {
            if is_current(state, &job, attempt) {
                completed(state, &job, now, out);
            }
        }
        Event::Failed {
            job,
            attempt,
            worker,
        } => {
            if is_current(state, &job, attempt) {
                failed(state, &job, &worker, now, out);
            }
        }
        Event::Stopped {
            job,
            attempt,
            kept,
            proven,
        } => {
            if is_current(state, &job, attempt) {
                stopped(state, &job, kept, proven, now, out);
            }
        }
        Event::Tick => {}
    }
}

/// Takes workers back into service on which a probe has lasted.
pub fn clear_probes(
    state: &mut State,
    now: SystemTime,
    out: &mut Vec<Command>,
) {
    for index in 0..state.workers.len() {
        let Health::Quarantined {
            probe: Some(probe), ..
        } = &state.workers[index].health
        else {
            continue;
        };
        let on_it = state.workers[index].jobs.contains(probe);
        let lasted = state
            .jobs
            .get(probe)
            .is_some_and(|job| ran(job, now) >= health::CLEARED_AFTER);
        match on_it {
            true if lasted => restore(state, index, out),
            true => {}
            // The probe left for a reason that says nothing of the worker.
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

fn with(
    state: &mut State,
    worker: &str,
    then: impl FnOnce(&mut State, WorkerIndex),
) {
    if let Some(index) = state.site.index(worker) {
        state.homes_dirty = true;
        then(state, index);
    }
}

fn is_current(state: &State, id: &job::Id, attempt: job::Attempt) -> bool {
    state
        .jobs
        .get(id)
        .and_then(Job::run)
        .is_some_and(|run| run.attempt == attempt)
}

fn submitted(
    state: &mut State,
    spec: job::Spec,
    now: SystemTime,
    out: &mut Vec<Command>,
) {
    let id = spec.id.clone();
    if state.jobs.contains_key(&id) {
        return;
    }
    let refusal = admit::impossible(state, &spec);
    state.jobs.insert(id.clone(), Job::new(spec));
    state.waiting.insert(id.clone());
    if let Some(reason) = refusal {
        finish(state, &id, Outcome::NotRun, &reason, now, out);
    }
}

fn refuse_impossible(
    state: &mut State,
    now: SystemTime,
    out: &mut Vec<Command>,
) {
    let refused: Vec<(job::Id, String)> = state
        .waiting
        .iter()
        .filter_map(|id| state.jobs.get(id))
        .filter(|job| job.attempts == 0)
        .filter_map(|job| {
            let reason = admit::impossible(state, &job.spec)?;
            Some((job.spec.id.clone(), reason))
        })
        .collect();
    for (id, reason) in refused {
        finish(state, &id, Outcome::NotRun, &reason, now, out);
    }
}

fn cancelled(
    state: &mut State,
    id: &job::Id,
    now: SystemTime,
    out: &mut Vec<Command>,
) {
    let Some(job) = state.jobs.get_mut(id) else {
        return;
    };
    match &mut job.phase {
        Phase::Waiting => {
            let reason = "cancelled by its caller";
            finish(state, id, Outcome::Cancelled, reason, now, out);
        }
        Phase::Running(_) => {
            state.unbook(id);
            schedule::stop(state, id, Reason::Cancel, out);
        }
        Phase::Stopping(_, reason) => {
            *reason = Reason::Cancel;
            state.unbook(id);
        }
    }
}

/// Gives up bookings on a worker that takes no new work.
fn drop_bookings(state: &mut State, index: WorkerIndex) {
    let ids: Vec<job::Id> = state.booked.iter().cloned().collect();
    for id in ids {
        let here = state.jobs.get(&id).is_some_and(|job| {
            let pieces = job.booking.iter().flat_map(|b| &b.pieces);
            pieces.into_iter().any(|piece| piece.worker == index)
        });
        if here {
            state.unbook(&id);
        }
    }
}

/// Stops every job that has lost a member with its worker.
fn break_jobs(state: &mut State, index: WorkerIndex, out: &mut Vec<Command>) {
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
        schedule::stop(state, &id, Reason::Broken, out);
    }
}

fn not_started(
    state: &mut State,
    id: &job::Id,
    attempt: job::Attempt,
    worker: Option<crate::site::WorkerId>,
    now: SystemTime,
    out: &mut Vec<Command>,
) {
    if !is_current(state, id, attempt) {
        return;
    }
    let cancelled = state.jobs.get(id).is_some_and(|job| {
        matches!(job.phase, Phase::Stopping(_, Reason::Cancel))
    });
    if cancelled {
        let reason = "cancelled by its caller";
        return finish(state, id, Outcome::Cancelled, reason, now, out);
    }
    release(state, id, now);
    settle_bookings(state, id, now, out);
    if let Some(job) = state.jobs.get_mut(id) {
        job.not_before = now + BACKOFF / 4;
    }
    let index = worker.and_then(|worker| state.site.index(&worker));
    if let Some(index) = index {
        state.workers[index].presence = Presence::Silent;
        state.homes_dirty = true;
    }
}

fn completed(
    state: &mut State,
    id: &job::Id,
    now: SystemTime,
    out: &mut Vec<Command>,
) {
    let Some(job) = state.jobs.get(id) else {
        return;
    };
    let total = job.kept + ran(job, now);
    let spec = job.spec.clone();
    let pieces = job.run().map(|run| run.pieces.clone());
    state.history.completed(&spec, total);
    for piece in pieces.into_iter().flatten() {
        restore(state, piece.worker, out);
    }
    finish(state, id, Outcome::Done, "", now, out);
}

fn restore(state: &mut State, index: WorkerIndex, out: &mut Vec<Command>) {
    if state.workers[index].health.ran_well() {
        state.homes_dirty = true;
        let worker = state.site.workers()[index].id.clone();
        out.push(Command::Restore { worker });
    }
}

fn failed(
    state: &mut State,
    id: &job::Id,
    worker: &str,
    now: SystemTime,
    out: &mut Vec<Command>,
) {
    let Some(job) = state.jobs.get(id) else {
        return;
    };
    if matches!(job.phase, Phase::Stopping(..)) {
        return stopped(state, id, Duration::ZERO, true, now, out);
    }
    let spec = job.spec.clone();
    let proven = state.history.proven(&spec);
    let index = state.site.index(worker);
    if let Some(index) = index {
        let health = &mut state.workers[index].health;
        if health.failed(id, proven, now) {
            state.homes_dirty = true;
            drop_bookings(state, index);
            let worker = worker.into();
            out.push(Command::Quarantine { worker });
        }
    }
    let blamed = note_failure(state, id, index);
    if !spec.repeatable {
        let reason = format!("its task failed on worker {worker}");
        return finish(state, id, Outcome::Failed, &reason, now, out);
    }
    if blamed >= health::MAX_FAILURES {
        let reason =
            format!("it failed on {blamed} workers that others run well on");
        return finish(state, id, Outcome::Failed, &reason, now, out);
    }
    release(state, id, now);
    settle_bookings(state, id, now, out);
    if let Some(job) = state.jobs.get_mut(id) {
        let retries = job.failures.len();
        let doublings = retries.saturating_sub(2).min(MAX_DOUBLINGS);
        job.not_before = match retries {
            0 | 1 => now,
            _ => now + BACKOFF * (1 << doublings),
        };
    }
}

/// Notes where a job failed; returns on how many workers in service it did.
fn note_failure(
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
    let good = |&&w: &&WorkerIndex| state.workers[w].health.is_good();
    job.failures.iter().filter(good).count()
}

fn stopped(
    state: &mut State,
    id: &job::Id,
    kept: Duration,
    proven: bool,
    now: SystemTime,
    out: &mut Vec<Command>,
) {
    let Some(job) = state.jobs.get_mut(id) else {
        return;
    };
    let Phase::Stopping(_, reason) = job.phase else {
        return;
    };
    let repeatable = job.spec.repeatable;
    job.kept = match job.spec.checkpoint {
        true => job.kept + kept,
        false => Duration::ZERO,
    };
    match reason {
        Reason::Cancel => {
            let reason = "cancelled by its caller";
            finish(state, id, Outcome::Cancelled, reason, now, out);
        }
        Reason::Broken if !repeatable && proven => {
            let reason = "it lost a worker, and may not run again";
            finish(state, id, Outcome::Failed, reason, now, out);
        }
        _ if !repeatable => {
            let reason = "a worker it ran on cannot be asked how it ended";
            finish(state, id, Outcome::Unknown, reason, now, out);
        }
        _ => release(state, id, now),
    }
    settle_bookings(state, id, now, out);
}

/// Takes a job's accelerators back; a blocked home block may fit now.
fn release(state: &mut State, id: &job::Id, now: SystemTime) {
    let stuck = state
        .jobs
        .get(id)
        .is_some_and(|job| !job.spec.is_reclaimable());
    if stuck && state.missing().next().is_some() {
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
    out: &mut Vec<Command>,
) {
    release(state, id, now);
    if state.remove(id, now).is_some() {
        out.push(Command::Finish {
            job: id.clone(),
            outcome,
            reason: reason.to_owned(),
        });
    }
    settle_bookings(state, id, now, out);
}

/// Starts jobs whose booking waited for `gone` and for nobody else.
fn settle_bookings(
    state: &mut State,
    gone: &job::Id,
    now: SystemTime,
    out: &mut Vec<Command>,
) {
    let ids: Vec<job::Id> = state.booked.iter().cloned().collect();
    for id in ids {
        let Some(job) = state.jobs.get_mut(&id) else {
            continue;
        };
        let Some(booking) = &mut job.booking else {
            continue;
        };
        booking.pending.remove(gone);
        if !booking.pending.is_empty() {
            continue;
        }
        if let Some(booking) = state.unbook(&id) {
            let pieces = booking.pieces;
            schedule::start(state, &id, pieces, booking.home, now, out);
        }
    }
}
