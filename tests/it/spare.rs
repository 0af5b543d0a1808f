//! Workers that are left empty for urgent work.
//!
//! Guards against urgent units that start only after a stop, and against workers
//! that are left empty while no urgent work comes.

use std::time::Duration;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const NINE_WORKERS: &[(&str, &str)] = &[
    ("w1", "r1"),
    ("w2", "r1"),
    ("w3", "r1"),
    ("w4", "r2"),
    ("w5", "r2"),
    ("w6", "r2"),
    ("w7", "r3"),
    ("w8", "r3"),
    ("w9", "r3"),
];

/// Returns a site on which an urgent job has run recently, so that workers
/// are left empty for the next one.
fn site() -> Site {
    let mut site = Site::new(NINE_WORKERS);
    site.submit(job("seen", 0, vec![step(1, 1, false)], &site));
    site.settle();
    site.finish_job("seen");
    site.settle();
    site
}

#[test]
fn an_urgent_unit_begins_at_once_while_more_work_waits_than_fits() {
    let mut site = site();
    site.submit(job("low", 1, vec![step(30, 8, false)], &site));
    site.settle();
    assert_eq!(site.running("low"), 8);
    site.submit(job("urgent", 0, vec![step(1, 8, false)], &site));
    site.schedule();
    site.write_progress();
    let count_starts = |site: &mut Site| {
        let agents: Vec<_> =
            site.workers.iter().map(|w| w.agent.clone()).collect();
        let orders = agents.iter().map(|agent| site.scheduler.orders(agent));
        orders.flat_map(|orders| orders.starts).count()
    };
    assert_eq!(
        count_starts(&mut site),
        1,
        "without a stop before the start"
    );
}

#[test]
fn no_worker_is_left_empty_without_recent_urgent_work() {
    let mut site = Site::new(NINE_WORKERS);
    site.submit(job("low", 1, vec![step(30, 8, false)], &site));
    site.settle();
    assert_eq!(site.running("low"), 9);
    let mut site = self::site();
    site.advance(Duration::from_secs(31));
    site.submit(job("low", 1, vec![step(30, 8, false)], &site));
    site.settle();
    assert_eq!(site.running("low"), 9);
}

#[test]
fn a_gang_that_needs_every_worker_gets_all_of_them() {
    let mut site = site();
    let mut gang = step(9, 8, true);
    gang.same_rack = false;
    site.submit(job("wide", 1, vec![gang], &site));
    site.settle();
    assert_eq!(site.running("wide"), 9);
}

#[test]
fn work_is_preempted_for_a_guarantee_however_late() {
    let mut site = Site::new(&[("w1", "r1")]);
    let guarantees = [("account".into(), 8)];
    site.scheduler.set_guarantees(guarantees.into());
    site.submit(job("low", 1, vec![step(8, 1, false)], &site));
    site.settle();
    let mut urgent = job("urgent", 0, vec![step(1, 8, false)], &site);
    urgent.accepted = site.now.wall - Duration::from_secs(60);
    site.submit(urgent);
    site.settle();
    assert_eq!((site.running("low"), site.running("urgent")), (0, 1));
}

#[test]
fn a_gang_with_one_task_on_each_worker_gets_every_worker() {
    let mut site = site();
    // Most accelerators are in use, so that waiting alone does not help.
    let mut beside = step(9, 6, false);
    beside.per_worker = Some(1);
    site.submit(job("beside", 0, vec![beside], &site));
    site.settle();
    site.finish_job("beside");
    let mut gang = step(9, 1, true);
    gang.same_rack = false;
    gang.per_worker = Some(1);
    site.submit(job("wide", 1, vec![gang], &site));
    site.settle();
    assert_eq!(site.running("wide"), 9);
}
