//! A view of the cell for operators and metrics.

use opentelemetry::KeyValue;

use crate::plan::home::mask_on;
use crate::plan::state::accelerator_count;
use crate::plan::state::Presence;
use crate::plan::Plan;
use crate::planner::Config;
use crate::site::Mask;
use crate::site::WorkerIndex;
use crate::store::Revision;
use crate::telemetry::metrics;
use crate::wire::entry::Allocation;
use crate::wire::entry::CellView;
use crate::wire::entry::GuaranteeView;
use crate::wire::entry::HomeAllocation;
use crate::wire::entry::WorkerView;
use crate::wire::Epoch;

/// Returns a view of the whole cell.
pub fn cell(
    plan: &Plan,
    config: &Config,
    epoch: Epoch,
    revision: Revision,
) -> CellView {
    let state = plan.state();
    let workers = (0..state.workers.len()).map(|w| worker(plan, w));
    let running = state.jobs.values().filter(|job| job.run().is_some());
    CellView {
        cell: config.cell.clone(),
        planner_address: config.address.clone(),
        epoch,
        revision,
        accelerators: state.site.accelerators(),
        fragmentation: fragmentation(plan),
        waiting: state.waiting.len() + state.booked.len(),
        running: running.count(),
        workers: workers.collect(),
        guarantees: guarantees(plan),
    }
}

/// Returns the share of free accelerators on workers that are not entirely
/// free.
pub fn fragmentation(plan: &Plan) -> f64 {
    let state = plan.state();
    let whole = state.site.accelerators();
    let free_counts =
        || (0..state.workers.len()).map(|w| state.free(w).count_ones());
    let free: u32 = free_counts().sum();
    let in_whole_workers: u32 =
        free_counts().filter(|free| *free == whole).sum();
    match free {
        0 => 0.0,
        free => f64::from(free - in_whole_workers) / f64::from(free),
    }
}

/// Records the state of the cell as metrics.
pub fn record_metrics(plan: &Plan, revision: Revision) {
    let state = plan.state();
    let metrics = metrics::get();
    let waiting = state.waiting.len() + state.booked.len();
    metrics.jobs_waiting.record(waiting as u64, &[]);
    let running = state.jobs.len().saturating_sub(waiting);
    metrics.jobs_running.record(running as u64, &[]);
    metrics.fragmentation.record(fragmentation(plan), &[]);
    metrics.configuration.record(revision, &[]);
    for account in state.accounts.keys() {
        let missing = state.homes.iter().filter(|home| {
            home.owner.as_ref() == Some(account) && !home.is_placed()
        });
        let missing: u32 = missing.map(|home| home.shape.accelerators).sum();
        let label = KeyValue::new("account", account.to_string());
        metrics
            .guarantee_missing
            .record(u64::from(missing), &[label]);
    }
}

fn worker(plan: &Plan, index: WorkerIndex) -> WorkerView {
    let state = plan.state();
    let worker = &state.workers[index];
    let site_worker = &state.site.workers()[index];
    let jobs = worker.jobs.iter().filter_map(|id| {
        let job = state.jobs.get(id)?;
        Some(Allocation {
            job: id.clone(),
            account: job.spec.account.clone(),
            mask: mask_on(&job.run()?.pieces, index),
        })
    });
    let homes = state.homes.iter().filter_map(|home| {
        let account = home.owner.clone()?;
        let mask = mask_on(&home.pieces, index);
        (mask != 0).then_some(HomeAllocation { account, mask })
    });
    let presence = match worker.presence {
        Presence::Up => "up",
        Presence::Silent => "silent",
        Presence::Leaving => "leaving",
        Presence::Lost => "lost",
    };
    let health = match worker.health.is_in_service() {
        true => "good",
        false => "quarantined",
    };
    WorkerView {
        worker: site_worker.id.clone(),
        hall: state.site.halls()[site_worker.hall].id.clone(),
        rack: state.site.racks()[site_worker.rack].id.clone(),
        presence: presence.to_owned(),
        health: health.to_owned(),
        jobs: jobs.collect(),
        homes: homes.collect(),
    }
}

fn guarantees(plan: &Plan) -> Vec<GuaranteeView> {
    let state = plan.state();
    let homes = state.homes.iter().filter_map(|home| {
        let account = home.owner.clone()?;
        let overlaps = |worker: WorkerIndex, mask: Mask| {
            mask_on(&home.pieces, worker) & mask != 0
        };
        let borrowers = state.jobs.iter().filter(|(_, job)| {
            job.spec.account != account
                && job.run().is_some_and(|run| {
                    run.pieces.iter().any(|p| overlaps(p.worker, p.mask))
                })
        });
        Some(GuaranteeView {
            shape: home.shape,
            placed: home.is_placed(),
            used: accelerator_count(&home.used),
            borrowers: borrowers.map(|(id, _)| id.clone()).collect(),
            account,
        })
    });
    homes.collect()
}
