//! What a planner that takes over hears a second time.

use std::collections::BTreeSet;

use landingvalve::graph::Job;
use landingvalve::graph::Options;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Scheduler;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

#[test]
fn a_failure_that_is_told_to_two_planners_counts_once() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1")]);
    let gang = job("gang", 1, vec![step(2, 1, true)], &site);
    site.submit(gang.clone());
    site.settle();
    site.workers[0].end(RunOutcome::Failed, |running| running.task.index == 0);
    let report = site.workers[0].report();
    site.scheduler.apply_report(report, site.now);
    // It is written, but the worker does not hear so.
    site.write_progress();
    let kept = site.scheduler.progress("gang").cloned();
    site.scheduler = Scheduler::new(Options::default(), site.now);
    site.scheduler.accept_job(gang, kept, site.now);
    let report = site.workers[0].report();
    site.scheduler.apply_report(report, site.now);
    let progress = site.scheduler.progress("gang").expect("is known");
    let failed: Vec<u32> =
        progress.units.values().map(|unit| unit.failed).collect();
    assert_eq!(failed, [1]);
}

#[test]
fn a_gang_that_is_done_starts_no_further_member() {
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
    // The second worker's order is lost, and the first is done alone.
    let [first, second] = [0, 1].map(|at| site.workers[at].agent.clone());
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

/// Hands the books over to a new planner that no agent has reported to yet.
fn hand_over(site: &mut Site, jobs: &[Job]) {
    let mut next = Scheduler::new(Options::default(), site.now);
    for job in jobs {
        let kept = site.scheduler.progress(&job.id).cloned();
        next.accept_job(job.clone(), kept, site.now);
    }
    site.scheduler = next;
}

/// Lets some workers alone report, and the books decide.
fn heard(site: &mut Site, workers: &[usize]) {
    for at in workers {
        let report = site.workers[*at].report();
        site.scheduler.apply_report(report, site.now);
    }
    site.schedule();
}

#[test]
fn a_new_planner_spreads_and_stops_nothing_before_it_knows_its_workers() {
    let four = [("w1", "r1"), ("w2", "r1"), ("w3", "r2"), ("w4", "r2")];
    let mut site = Site::new(&four);
    let low = job("low", 1, vec![step(4, 4, false)], &site);
    site.submit(low.clone());
    site.settle();
    // Two whole workers, in one rack or three times as slow.
    let urgent = job("urgent", 0, vec![step(2, 8, true)], &site);
    hand_over(&mut site, &[low, urgent]);
    let held: Vec<usize> = (0..4)
        .filter(|at| !site.workers[*at].running.is_empty())
        .collect();
    assert!(held.len() < 4, "the low one leaves room");
    // A worker of each rack reports; one that runs something has not.
    heard(&mut site, &[0, 3]);
    let all: Vec<_> = site.workers.iter().map(|w| w.agent.clone()).collect();
    for agent in &all {
        let orders = site.scheduler.orders(agent);
        assert!(orders.stops.is_empty(), "{agent}: {orders:?}");
        assert!(orders.starts.is_empty(), "{agent}: {orders:?}");
    }
    // Once all have, it goes on at once.
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
