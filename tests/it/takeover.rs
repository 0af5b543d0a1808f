//! Planners that take over and receive reports a second time.
//!
//! Guards against failures that are counted twice, and against decisions that a
//! new planner makes before all workers have reported.

use std::collections::BTreeSet;

use landingvalve::graph::Job;
use landingvalve::graph::Options;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Scheduler;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

#[test]
fn a_failure_reported_to_two_planners_counts_once() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1")]);
    let gang = job("gang", 1, vec![step(2, 1, true)], &site);
    site.submit(gang.clone());
    site.settle();
    site.workers[0].end(RunOutcome::Failed, |running| running.task.index == 0);
    let report = site.workers[0].report();
    site.scheduler.apply_report(report, site.now);
    // The failure is written, but the worker gets no acknowledgment.
    site.write_progress();
    let progress = site.scheduler.progress("gang").cloned();
    site.scheduler = Scheduler::new(Options::default(), site.now);
    site.scheduler.accept_job(gang, progress, site.now);
    let report = site.workers[0].report();
    site.scheduler.apply_report(report, site.now);
    let progress = site.scheduler.progress("gang").expect("the job is known");
    let failed: Vec<u32> =
        progress.units.values().map(|unit| unit.failed).collect();
    assert_eq!(failed, [1]);
}

#[test]
fn a_gang_that_is_done_starts_no_more_members() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1")]);
    let mut gang = step(2, 8, true);
    gang.same_rack = false;
    site.submit(job("gang", 1, vec![gang], &site));
    for worker in &mut site.workers {
        let report = worker.report();
        site.scheduler.apply_report(report, site.now);
    }
    site.schedule();
    site.write_progress();
    // The second worker's order is lost, and the first worker's member is done
    // alone.
    let [first, second] =
        [0, 1].map(|index| site.workers[index].agent.clone());
    let orders = site.scheduler.orders(&first);
    assert_eq!(site.scheduler.orders(&second).starts.len(), 1);
    site.workers[0].execute(&orders);
    site.workers[0].end(RunOutcome::Done, |_| true);
    let report = site.workers[0].report();
    site.scheduler.apply_report(report, site.now);
    site.write_progress();
    let orders = site.scheduler.orders(&second);
    assert_eq!((orders.starts.len(), orders.stops.len()), (0, 1));
}

/// Replaces the scheduler by that of a new planner, which has no reports yet.
fn replace_planner(site: &mut Site, jobs: &[Job]) {
    let mut next = Scheduler::new(Options::default(), site.now);
    for job in jobs {
        let progress = site.scheduler.progress(&job.id).cloned();
        next.accept_job(job.clone(), progress, site.now);
    }
    site.scheduler = next;
}

/// Applies reports of some workers only, and runs a scheduling pass.
fn schedule_with_reports(site: &mut Site, workers: &[usize]) {
    for index in workers {
        let report = site.workers[*index].report();
        site.scheduler.apply_report(report, site.now);
    }
    site.schedule();
}

#[test]
fn a_new_planner_spreads_and_preempts_nothing_before_all_workers_have_reported(
) {
    let four = [("w1", "r1"), ("w2", "r1"), ("w3", "r2"), ("w4", "r2")];
    let mut site = Site::new(&four);
    let low = job("low", 1, vec![step(4, 4, false)], &site);
    site.submit(low.clone());
    site.settle();
    // The urgent gang needs two whole workers, and is three times as slow
    // unless they are in one rack.
    let urgent = job("urgent", 0, vec![step(2, 8, true)], &site);
    replace_planner(&mut site, &[low, urgent]);
    let busy: Vec<usize> = (0..4)
        .filter(|index| !site.workers[*index].running.is_empty())
        .collect();
    assert!(busy.len() < 4, "the job of low priority leaves room");
    // One worker of each rack reports, but not all that run something.
    schedule_with_reports(&mut site, &[0, 3]);
    let agents: Vec<_> =
        site.workers.iter().map(|w| w.agent.clone()).collect();
    for agent in &agents {
        let orders = site.scheduler.orders(agent);
        assert!(orders.stops.is_empty(), "{agent}: {orders:?}");
        assert!(orders.starts.is_empty(), "{agent}: {orders:?}");
    }
    // Once all workers have reported, the gang starts at once.
    site.settle();
    assert_eq!(site.running("urgent"), 2);
    let racks: BTreeSet<_> = site
        .workers
        .iter()
        .filter(|w| w.running.iter().any(|r| &*r.task.job == "urgent"))
        .map(|w| w.rack)
        .collect();
    assert_eq!(racks.len(), 1, "{racks:?}");
}
