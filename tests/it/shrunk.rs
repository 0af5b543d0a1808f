//! Workers whose room shrinks and grows while they run.

use std::time::Duration;

use landingvalve::cell::Admission;
use landingvalve::graph::Job;
use landingvalve::graph::Options;
use landingvalve::graph::Outcome;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Scheduler;
use landingvalve::log;

use crate::cell;
use crate::cell::agent;
use crate::cell::reaches;
use crate::cell::runs;
use crate::cell::soon;
use crate::cell::Entry;
use crate::cell::Fake;
use crate::cell::Memory;
use crate::cell::DONE;
use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;
use crate::support::until;

const TWO: &[(&str, &str)] = &[("w1", "r1"), ("w2", "r1")];

/// Lets everybody report.
fn report(site: &mut Site) {
    for at in 0..site.workers.len() {
        let report = site.workers[at].report();
        site.book.apply_report(report, site.now);
    }
}

/// Returns which workers are ordered to start something.
fn ordered(site: &mut Site) -> Vec<usize> {
    let agents: Vec<_> =
        site.workers.iter().map(|w| w.agent.clone()).collect();
    let orders = agents.iter().map(|agent| site.book.orders(agent));
    let starts: Vec<usize> = orders.map(|o| o.starts.len()).collect();
    (0..starts.len()).filter(|at| starts[*at] > 0).collect()
}

/// Hands the books over to a new planner.
fn hand_over(site: &mut Site, job: &Job) {
    let kept = site.book.progress(&job.id).cloned();
    site.book = Scheduler::new(Options::default(), site.now);
    site.book.accept_job(job.clone(), kept, site.now);
}

#[test]
fn an_order_on_its_way_is_withdrawn_where_the_room_is_gone() {
    for taken_over in [false, true] {
        let mut site = Site::new(TWO);
        let wide = job("wide", 1, vec![step(1, 8, false)], &site);
        site.submit(wide.clone());
        report(&mut site);
        site.step();
        site.write();
        let at = ordered(&mut site)[0];
        // The order is lost, and the worker shrinks.
        site.workers[at].capacity.accelerators = 4;
        if taken_over {
            hand_over(&mut site, &wide);
        }
        report(&mut site);
        site.step();
        site.write();
        let orders = site.workers[at].agent.clone();
        let orders = site.book.orders(&orders);
        assert!(orders.starts.is_empty(), "taken over: {taken_over}");
        assert_eq!(orders.stops.len(), 1, "taken over: {taken_over}");
    }
}

#[test]
fn what_runs_goes_on_and_nothing_is_added_until_there_is_room() {
    let mut site = Site::new(&[("w1", "r1")]);
    site.submit(job("a", 1, vec![step(6, 1, false)], &site));
    site.settle();
    for accelerators in [4, 2, 0, 4] {
        site.workers[0].capacity.accelerators = accelerators;
        site.submit(job(
            &format!("b{accelerators}"),
            1,
            vec![step(1, 1, false)],
            &site,
        ));
        site.live(Duration::from_secs(2));
        assert_eq!(site.running("a"), 6, "{accelerators} accelerators");
        assert_eq!(site.workers[0].running.len(), 6);
    }
    // Given back, they are used at once.
    site.workers[0].capacity.accelerators = 8;
    site.settle();
    assert_eq!(site.workers[0].running.len(), 8);
}

#[test]
fn room_kept_where_it_will_never_be_is_given_up() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1"), ("w3", "r1")]);
    // Two tasks that would be together on one worker, once it is free.
    for at in 0..3 {
        let mut long = step(1, 8, false);
        long.label = Some(site.workers[at].agent.clone());
        site.workers[at].labels = vec![site.workers[at].agent.clone()];
        long.estimate = Duration::from_secs(1 + 20 * at as u64);
        site.submit(job(&format!("long{at}"), 1, vec![long], &site));
    }
    site.settle();
    let mut pair = step(2, 4, true);
    pair.same_rack = false;
    site.submit(job("pair", 1, vec![pair], &site));
    site.live(Duration::from_secs(2));
    // The room that is kept for them shrinks to one of both.
    site.workers[0].capacity.accelerators = 4;
    site.end_all("long0");
    site.live(Duration::from_secs(1));
    site.end_all("long1");
    site.live(Duration::from_secs(3));
    assert_eq!(site.running("pair"), 2, "there is room for both");
    site.end_all("pair");
    site.settle();
    assert_eq!(site.outcome("pair"), Some(Outcome::Succeeded));
}

#[tokio::test]
async fn an_agent_starts_nothing_where_the_room_is_gone() {
    let store = Memory::default();
    let worker = Fake::new();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = agent(&store, &worker);
    admission.submit(&cell::job("a"), soon()).await;
    runs(&worker, 2).await;
    // Starts are not answered for a while; then the planner is gone, and
    // the worker, which guards nothing, has room for what runs alone.
    worker.lose_starts(u32::MAX);
    admission.submit(&cell::job("b"), soon()).await;
    let tried = || async { (worker.lost_starts() > 0).then_some(()) };
    until("a start is tried", tried).await;
    entry.kill();
    worker.shrink(2);
    let sent = worker.beats();
    let told = || async { (worker.beats() >= sent + 2).then_some(()) };
    until("its agent is told", told).await;
    worker.lose_starts(0);
    let looked = worker.looks();
    let later = || async { (worker.looks() >= looked + 10).then_some(()) };
    until("several looks", later).await;
    assert_eq!(worker.began().len(), 2, "{:?}", worker.began());
    // With room, and a planner, it goes on.
    worker.shrink(8);
    let entry = Entry::start("other", &store).await;
    runs(&worker, 4).await;
    worker.end_all(RunOutcome::Done);
    reaches(&admission, "a", DONE).await;
    reaches(&admission, "b", DONE).await;
    agent.abort();
    entry.kill();
}
