//! Two tasks that took their worker down at each start were begun 33 and 25
//! times in two minutes, and for all that time two of eleven workers were
//! away. A lost worker was counted against nobody, since only an end that a
//! worker lists as failed is. The planner's lines of one task told it: `a run
//! has ended ... how="worker gone" ran_ms=3220`, and in the same pass `a unit
//! is placed ... run=2 waited_ms=0`, up to run 8 under one fencing token.

use std::time::Duration;

use landingvalve::graph::Book;
use landingvalve::graph::Job;
use landingvalve::graph::Outcome;
use landingvalve::graph::Running;
use landingvalve::graph::Terms;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

/// How many workers may go down under a task, and how often it may begin
/// after that.
const CRASHES: usize = 3;
const MORE: usize = 2;

const FOUR: &[(&str, &str)] =
    &[("w1", "r1"), ("w2", "r1"), ("w3", "r2"), ("w4", "r2")];

/// Takes the workers down on which `bad` runs, and brings them back under
/// another name; returns how many they were.
fn crash(site: &mut Site, bad: impl Fn(&Running) -> bool) -> usize {
    let mut crashed = 0;
    for worker in &mut site.workers {
        if !worker.running.iter().any(&bad) {
            continue;
        }
        worker.life += 1;
        worker.running.clear();
        worker.ended.clear();
        worker.number = 0;
        worker.noted = 0;
        crashed += 1;
    }
    crashed
}

/// Lets everybody report and obey, once.
fn round(site: &mut Site) {
    site.pass(Duration::from_millis(300));
    for at in 0..site.workers.len() {
        let report = site.workers[at].report();
        site.book.report(report, site.now);
    }
    site.step();
    site.write();
    for worker in &mut site.workers {
        let orders = site.book.orders(&worker.agent);
        worker.obey(&orders);
    }
}

/// Returns how often a task began.
fn began(site: &Site, task: &str) -> usize {
    let starts = site.workers.iter().flat_map(|worker| &worker.began);
    let of_task = format!("{task} ");
    starts.filter(|start| start.starts_with(&of_task)).count()
}

/// Hands the books over to a new planner.
fn hand_over(site: &mut Site, job: &Job) {
    let kept = site.book.progress(&job.id).cloned();
    site.book = Book::new(Terms::default(), site.now);
    site.book.accept(job.clone(), kept, site.now);
}

#[test]
fn a_task_that_takes_its_workers_down_is_given_up() {
    // Its worker goes before it is ever listed, after a while of work, or is
    // one of a gang's that are sound.
    for (replicas, gang, rounds) in
        [(1, false, 0), (1, false, 6), (3, true, 0)]
    {
        let mut site = Site::new(FOUR);
        let bad = job("bad", 1, vec![step(replicas, 8, gang)], &site);
        site.submit(bad);
        for _ in 0..60 {
            round(&mut site);
            for _ in 0..rounds {
                round(&mut site);
            }
            crash(&mut site, |r| &*r.task.job == "bad" && r.task.index == 0);
        }
        let case = format!("{replicas} tasks, gang {gang}, {rounds} rounds");
        assert_eq!(site.outcome("bad"), Some(Outcome::Failed), "{case}");
        let starts = began(&site, "bad.0.0.0");
        assert!(starts <= CRASHES + MORE, "{case}: {starts} starts");
    }
}

#[test]
fn lost_workers_are_counted_over_changes_of_planners() {
    let mut site = Site::new(FOUR);
    let bad = job("bad", 1, vec![step(1, 8, false)], &site);
    site.submit(bad.clone());
    for turn in 0..60 {
        round(&mut site);
        crash(&mut site, |r| &*r.task.job == "bad");
        if turn % 2 == 1 {
            hand_over(&mut site, &bad);
        }
    }
    assert_eq!(site.outcome("bad"), Some(Outcome::Failed));
    let starts = began(&site, "bad.0.0.0");
    assert!(starts <= CRASHES + MORE, "{starts} starts");
}
