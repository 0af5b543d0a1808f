//! Urgent work within its account's guarantee begins within a bound.
//!
//! Guards against gangs that began up to 5.8 s after they were accepted, where
//! 3.4 s are guaranteed, although nothing had failed. Urgent work beyond its
//! own account's guarantee borrows from other accounts, and was never preempted
//! for them, because only work of a lower priority was.

use std::time::Duration;

use landingvalve::graph::Job;
use landingvalve::graph::Step;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

/// The time within which guaranteed work has to begin.
const START_BOUND: Duration = Duration::from_millis(3400);

/// A part of [`START_BOUND`] after which there is time left for a stop of 1 s,
/// a write and the orders.
const EARLY_IN_BOUND: Duration = Duration::from_millis(1500);

/// Two racks of two workers.
const TWO_RACKS: &[(&str, &str)] =
    &[("w1", "r1"), ("w2", "r1"), ("w3", "r2"), ("w4", "r2")];

/// Returns a site whose account `sure` is guaranteed a number of accelerators.
fn site(workers: &[(&str, &'static str)], guaranteed: i64) -> Site {
    let mut site = Site::new(workers);
    site.scheduler
        .set_guarantees([("sure".into(), guaranteed)].into());
    site
}

/// Returns a job of an account, with one step.
fn job_of(
    account: &str,
    id: &str,
    priority: u32,
    step: Step,
    site: &Site,
) -> Job {
    Job {
        account: account.into(),
        ..job(id, priority, vec![step], site)
    }
}

/// Fills one worker of each rack with urgent work of an account, and the other
/// workers with work of priority `rest`, if set.
fn fill(site: &mut Site, account: &str, rest: Option<u32>) {
    for index in 0..4 {
        let id = format!("held{index}");
        site.submit(job_of(account, &id, 0, step(1, 8, false), site));
    }
    site.settle();
    for worker in [1, 3] {
        site.workers[worker]
            .end(landingvalve::graph::RunOutcome::Done, |_| true);
    }
    site.settle();
    if let Some(priority) = rest {
        let step = Step {
            estimate: Duration::from_secs(60),
            ..step(2, 8, false)
        };
        site.submit(job_of("other", "rest", priority, step, site));
        site.settle();
    }
    // All runs are 2 s old, as on a busy site.
    site.run_for(Duration::from_secs(2));
}

/// Guards against guaranteed work that waits until a borrower ends by itself.
/// On a site of 96 accelerators, 57 of them guaranteed, borrowers used 88, and
/// a gang within its account's guarantee began 0.5 s too late.
#[test]
fn accelerators_lent_to_urgent_work_are_reclaimed() {
    let mut site = site(&TWO_RACKS[..2], 8);
    for index in 0..2 {
        let id = format!("lent{index}");
        site.submit(job_of("other", &id, 0, step(1, 8, false), &site));
    }
    site.settle();
    site.submit(job_of("sure", "job", 0, step(1, 8, false), &site));
    site.run_for(START_BOUND);
    assert_eq!(site.running("job"), 1);
    let lent = site.running("lent0") + site.running("lent1");
    assert_eq!(lent, 1, "more was stopped than needed");
}

#[test]
fn a_gang_that_prefers_one_rack_begins_in_time() {
    // Each rack has one worker that is lent or runs the account's own work.
    // The other two are empty or run work of a lower priority, but are not in
    // the same rack.
    for (holder, rest) in [
        ("other", None),
        ("other", Some(1)),
        ("sure", None),
        ("sure", Some(1)),
    ] {
        let mut site = site(TWO_RACKS, 32);
        fill(&mut site, holder, rest);
        site.submit(job_of("sure", "job", 0, step(2, 8, true), &site));
        site.run_for(START_BOUND);
        assert_eq!(site.running("job"), 2, "{holder}, {rest:?}");
    }
}

#[test]
fn guaranteed_work_starts_before_borrowers() {
    // One worker becomes free. The borrower came first and could still be in
    // time.
    let mut site = site(&TWO_RACKS[..1], 8);
    site.submit(job_of("other", "long", 0, step(1, 8, false), &site));
    site.settle();
    let mut first = job_of("other", "borrower", 0, step(1, 8, false), &site);
    first.target = Duration::ZERO;
    site.submit(first);
    site.advance(Duration::from_millis(100));
    site.submit(job_of("sure", "job", 0, step(1, 8, false), &site));
    site.finish_job("long");
    site.settle();
    assert_eq!((site.running("job"), site.running("borrower")), (1, 0));
}

/// Returns a site where one worker of a rack is in use by work of priority
/// `held`, the other is empty, and a unit of another account waits for more
/// memory than the empty worker has yet. Nearly all other workers are empty.
fn site_with_waiting_unit(held: u32) -> Site {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let racks = ["r1", "r2", "r2", "r4", "r5", "r6"];
    let workers: Vec<(&str, &'static str)> =
        names.into_iter().zip(racks).collect();
    let mut site = site(&workers, 16);
    let mut large = step(1, 8, false);
    large.resources.memory = 2 * site.workers[2].capacity.memory;
    site.submit(job_of("other", "waits", 1, large, &site));
    site.submit(job_of("sure", "first", 0, step(1, 8, false), &site));
    site.settle();
    site.submit(job_of("other", "held", held, step(1, 8, false), &site));
    site.run_for(Duration::from_millis(2500));
    assert_eq!(site.workers[1].running.len(), 1);
    site
}

/// Advances the clocks by a second in which agents report but execute no
/// orders.
fn delay_orders(site: &mut Site) {
    for _ in 0..2 {
        for index in 0..site.workers.len() {
            let report = site.workers[index].report();
            site.scheduler.apply_report(report, site.now);
        }
        site.schedule();
        site.write_progress();
        site.advance(Duration::from_millis(500));
    }
}

#[test]
fn resources_reserved_for_guaranteed_work_are_taken_by_no_other() {
    let mut site = site_with_waiting_unit(0);
    site.finish_job("first");
    site.settle();
    site.submit(job_of("sure", "job", 0, step(2, 8, true), &site));
    site.schedule();
    // The stop of the other worker's run takes a while.
    site.workers[2].capacity.memory *= 2;
    delay_orders(&mut site);
    site.settle();
    assert_eq!((site.running("job"), site.running("waits")), (2, 0));
}

#[test]
fn guaranteed_work_finds_other_workers_if_its_reservation_was_used() {
    // The reservation was made while the unit borrowed, so that other units
    // may use the reserved worker.
    let mut site = site_with_waiting_unit(1);
    site.submit(job_of("sure", "job", 0, step(2, 8, true), &site));
    site.schedule();
    site.workers[2].capacity.memory *= 2;
    delay_orders(&mut site);
    site.settle();
    assert_eq!((site.running("job"), site.running("waits")), (0, 1));
    site.finish_job("first");
    site.settle();
    site.settle();
    assert_eq!((site.running("job"), site.running("waits")), (2, 0));
}

#[test]
fn work_that_comes_within_its_guarantee_later_begins_in_time() {
    // The account's second job is beyond its guarantee until the first one
    // ends, and a borrower uses the only other worker.
    let mut site = site(&TWO_RACKS[..2], 8);
    site.submit(job_of("sure", "first", 0, step(1, 8, false), &site));
    site.submit(job_of("other", "lent", 0, step(1, 8, false), &site));
    site.settle();
    site.submit(job_of("sure", "second", 0, step(1, 8, false), &site));
    site.run_for(EARLY_IN_BOUND);
    assert_eq!(site.running("second"), 0, "the job is beyond the guarantee");
    assert_eq!(site.running("lent"), 1, "and preempts nothing");
    site.submit(job_of("other", "next", 0, step(1, 8, false), &site));
    site.finish_job("first");
    site.run_for(START_BOUND - EARLY_IN_BOUND);
    assert_eq!(site.running("second"), 1);
}
