//! What a planner that takes over hears a second time.

use landingvalve::graph::Book;
use landingvalve::graph::How;
use landingvalve::graph::Terms;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

#[test]
fn a_failure_that_is_told_to_two_planners_counts_once() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1")]);
    let gang = job("gang", 1, vec![step(2, 1, true)], &site);
    site.submit(gang.clone());
    site.settle();
    site.workers[0].end(How::Failed, |running| running.task.index == 0);
    let report = site.workers[0].report();
    site.book.report(report, site.now);
    // It is written, but the worker does not hear so.
    site.write();
    let kept = site.book.progress("gang").cloned();
    site.book = Book::new(Terms::default(), site.now);
    site.book.accept(gang, kept, site.now);
    let report = site.workers[0].report();
    site.book.report(report, site.now);
    let progress = site.book.progress("gang").expect("is known");
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
        site.book.report(report, site.now);
    }
    site.book.step(site.now);
    site.write();
    // The second worker's order is lost, and the first is done alone.
    let [first, second] = [0, 1].map(|at| site.workers[at].agent.clone());
    let orders = site.book.orders(&first);
    assert_eq!(site.book.orders(&second).starts.len(), 1);
    site.workers[0].obey(&orders);
    site.workers[0].end(How::Done, |_| true);
    let report = site.workers[0].report();
    site.book.report(report, site.now);
    site.write();
    let orders = site.book.orders(&second);
    assert_eq!((orders.starts.len(), orders.stops.len()), (0, 1));
}
