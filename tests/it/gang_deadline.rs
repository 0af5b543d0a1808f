//! Gangs of which a member does not begin.
//!
//! Guards against members that wait in vain for the others of their gang until
//! their workers end them: nothing stood between the first begin and the last.

use std::time::Duration;

use landingvalve::graph::Options;
use landingvalve::graph::Refusal;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Scheduler;
use landingvalve::graph::Start;

use crate::cell::heartbeat;
use crate::cell::FakeWorker;
use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;
use crate::ordered::start;
use crate::ordered::wait_until_known;
use crate::ordered::Agent;
use crate::ordered::Planner;
use crate::support::until;

const FOUR_WORKERS: &[(&str, &str)] =
    &[("w1", "r1"), ("w2", "r1"), ("w3", "r1"), ("w4", "r1")];

/// Starts a gang of three whole workers, on one of which no start is carried
/// out; returns the site and that worker's index.
fn incomplete_gang() -> (Site, usize) {
    let mut site = Site::new(FOUR_WORKERS);
    for worker in &mut site.workers {
        worker.load = Some(0.0);
    }
    site.settle();
    site.workers[1].holds_starts = true;
    site.submit(job("gang", 1, vec![step(3, 8, true)], &site));
    site.settle();
    assert_eq!(site.running("gang"), 2, "two of three members begin");
    (site, 1)
}

/// Returns the time within which a member that has begun must be told to stop,
/// so that its end is not that it waited in vain.
fn last_stop() -> Duration {
    let Options {
        gang_wait,
        stop_time,
        ..
    } = Options::default();
    gang_wait - stop_time
}

/// Returns how many members were stopped.
fn stopped(site: &Site) -> usize {
    let outcomes = site.workers.iter().flat_map(|worker| &worker.outcomes);
    outcomes.filter(|how| **how == RunOutcome::Stopped).count()
}

#[test]
fn a_gang_is_stopped_before_its_members_have_waited_in_vain() {
    let (mut site, _) = incomplete_gang();
    site.run_for(last_stop());
    assert_eq!(stopped(&site), 2, "both members that had begun");
}

#[test]
fn the_next_run_of_a_late_gang_avoids_the_worker_that_began_nothing() {
    let (mut site, late) = incomplete_gang();
    site.run_for(last_stop() + Duration::from_secs(1));
    assert_eq!(site.running("gang"), 3, "the gang's next run is whole");
    assert!(site.workers[late].running.is_empty());
}

/// A member that works shows that all are present, although the list of one
/// cannot be read.
#[test]
fn a_gang_that_works_is_not_stopped_for_an_agent_that_is_cut_off() {
    let (mut site, late) = incomplete_gang();
    for worker in &mut site.workers {
        for running in &mut worker.running {
            running.load = Some(800.0);
        }
    }
    site.workers.remove(late);
    site.run_for(last_stop() + Duration::from_secs(1));
    assert_eq!(stopped(&site), 0);
    assert_eq!(site.running("gang"), 2);
}

#[test]
fn a_new_planner_stops_a_gang_whose_member_has_not_begun() {
    let (mut site, _) = incomplete_gang();
    let mut next = Scheduler::new(Options::default(), site.now);
    let gang = job("gang", 1, vec![step(3, 8, true)], &site);
    let progress = site.scheduler.progress("gang").cloned();
    next.accept_job(gang, progress, site.now);
    site.scheduler = next;
    site.run_for(last_stop());
    assert_eq!(stopped(&site), 2, "both members that had begun");
}

#[test]
fn a_gang_of_one_member_is_not_stopped_as_it_waits_for_nobody() {
    let mut site = Site::new(&[("w1", "r1")]);
    site.workers[0].holds_starts = true;
    site.submit(job("gang", 1, vec![step(1, 8, true)], &site));
    site.settle();
    site.run_for(last_stop());
    site.workers[0].holds_starts = false;
    site.settle();
    assert_eq!(site.workers[0].started_runs, ["gang.0.0.0 1"]);
}

/// Returns a planner that knows an agent, whose worker answers no start.
async fn agent_without_answers() -> (Planner, FakeWorker, Agent) {
    let (planner, store) = Planner::new().await;
    let worker = FakeWorker::with_births();
    let agent = planner.agent(&store, &worker);
    agent.member.heartbeat(heartbeat(&worker, 1));
    wait_until_known(&planner).await;
    worker.leave_starts_unanswered(u32::MAX);
    (planner, worker, agent)
}

/// The agent acts on the deadline by itself, as its planner may be gone.
#[tokio::test]
async fn a_member_that_cannot_begin_in_time_is_refused_and_does_not_begin() {
    let (planner, worker, agent) = agent_without_answers().await;
    let late = Start {
        begin_within_ms: Some(400),
        ..start(0)
    };
    planner.order(&worker, vec![late]);
    assert_eq!(planner.wait_for_refusal().await, Refusal::Barred);
    worker.execute_late_starts();
    assert_eq!(worker.started(), Vec::<String>::new());
    agent.kill();
}

/// A member that waits for others need not show a load figure.
#[test]
fn a_gang_without_load_figures_is_stopped_before_its_members_have_waited() {
    let mut site = Site::new(FOUR_WORKERS);
    site.workers[1].holds_starts = true;
    site.submit(job("gang", 1, vec![step(3, 8, true)], &site));
    site.settle();
    assert_eq!(site.running("gang"), 2, "two of three members begin");
    site.run_for(last_stop());
    assert_eq!(stopped(&site), 2, "both members that had begun");
}

#[test]
fn a_takeover_does_not_prolong_the_wait_of_members_that_have_begun() {
    let (mut site, _) = incomplete_gang();
    let before = Duration::from_secs(1);
    site.run_for(before);
    let mut next = Scheduler::new(Options::default(), site.now);
    let gang = job("gang", 1, vec![step(3, 8, true)], &site);
    let progress = site.scheduler.progress("gang").cloned();
    next.accept_job(gang, progress, site.now);
    site.scheduler = next;
    site.run_for(last_stop() - before);
    assert_eq!(stopped(&site), 2, "both members that had begun");
}

/// A start that had no answer may have been carried out: the worker's list
/// shows it.
#[tokio::test]
async fn a_member_that_its_worker_lists_is_not_stopped_at_the_deadline() {
    let (planner, worker, agent) = agent_without_answers().await;
    let within = Duration::from_millis(1000);
    let order = Start {
        begin_within_ms: Some(within.as_millis() as u64),
        ..start(0)
    };
    planner.order(&worker, vec![order]);
    let tried = || async { (worker.unanswered_starts() > 0).then_some(()) };
    until("a start is unanswered", tried).await;
    worker.execute_late_starts();
    tokio::time::sleep(within * 2).await;
    assert_eq!(worker.listed_ends(), 0, "a member that runs is stopped");
    agent.kill();
}

/// Guards against gangs that are stopped again and again: with no other worker,
/// each start of one member takes longer than the deadline allows.
#[test]
fn a_gang_whose_starts_always_take_long_begins() {
    let Options { gang_wait, .. } = Options::default();
    let begins_after = gang_wait - Duration::from_millis(500);
    let (mut site, late) = incomplete_gang();
    site.workers.remove(3);
    let mut ordered_for = Duration::ZERO;
    let interval = Duration::from_millis(500);
    for _ in 0..60 {
        let orders = {
            let agent = site.workers[late].agent.clone();
            site.scheduler.orders(&agent)
        };
        ordered_for = match orders.starts.is_empty() {
            true => Duration::ZERO,
            false => ordered_for + interval,
        };
        site.workers[late].holds_starts = ordered_for < begins_after;
        site.run_for(interval);
        if site.running("gang") == 3 {
            return;
        }
    }
    panic!("not whole within 30 s");
}
