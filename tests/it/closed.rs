//! Halls that operators close: no new run begins on their workers.
//!
//! Guards against planners that do not follow the operators' requests: tasks
//! then begin in halls that have been closed for longer than the 5 s allowed.

use std::collections::BTreeSet;

use landingvalve::cell::configuration::Configuration;
use landingvalve::cell::configuration::Source;
use landingvalve::cell::reachability::Reachability;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::SharedStr;
use landingvalve::log;
use landingvalve::store::Mutation;
use landingvalve::store::Store;

use crate::cell::Memory;
use crate::cell::CONFIGURATION_BOUND;
use crate::cell::CONFIGURATION_KEYS;
use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;
use crate::support::until;

fn halls(names: &[&str]) -> BTreeSet<SharedStr> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Returns a site of two halls, one worker in each.
fn two_halls() -> Site {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r2")]);
    site.workers[0].hall = "near".into();
    site.workers[1].hall = "far".into();
    site
}

#[test]
fn closed_hall_gets_no_new_runs_and_keeps_its_running_ones() {
    let mut site = two_halls();
    site.submit(job("a", 1, vec![step(2, 8, false)], &site));
    site.settle();
    assert_eq!(site.running("a"), 2);
    site.scheduler.set_closed_halls(halls(&["near"]));
    site.settle();
    assert_eq!(site.running("a"), 2, "running tasks continue");
    site.finish_job("a");
    site.submit(job("b", 0, vec![step(2, 8, false)], &site));
    site.settle();
    let running: Vec<usize> =
        site.workers.iter().map(|w| w.running.len()).collect();
    assert_eq!(running, [0, 1]);
    site.scheduler.set_closed_halls(halls(&[]));
    site.settle();
    assert_eq!(site.running("b"), 2, "a reopened hall is used at once");
}

#[test]
fn order_that_is_on_its_way_is_withdrawn_if_its_hall_is_closed() {
    let mut site = two_halls();
    site.submit(job("a", 1, vec![step(2, 8, false)], &site));
    for worker in &mut site.workers {
        let report = worker.report();
        site.scheduler.apply_report(report, site.now);
    }
    site.schedule();
    site.write_progress();
    let agent = site.workers[0].agent.clone();
    assert_eq!(site.scheduler.orders(&agent).starts.len(), 1);
    site.scheduler.set_closed_halls(halls(&["near"]));
    site.schedule();
    site.write_progress();
    let orders = site.scheduler.orders(&agent);
    assert_eq!((orders.starts.len(), orders.stops.len()), (0, 1));
}

#[test]
fn run_starts_far_from_its_data_if_the_near_hall_is_closed() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1"), ("w3", "r2")]);
    site.workers[0].hall = "near".into();
    site.workers[1].hall = "near".into();
    site.workers[2].hall = "far".into();
    let mut step = step(1, 8, false);
    step.data_rack = Some("r1".into());
    site.submit(job("a", 1, vec![step], &site));
    site.scheduler.set_closed_halls(halls(&["near"]));
    site.settle();
    assert_eq!(
        site.workers[2].running.len(),
        1,
        "no rack near the data is open"
    );
    site.workers[2].end(RunOutcome::Done, |_| true);
    site.settle();
}

#[tokio::test]
async fn halls_close_and_open_as_operators_write_to_the_store() {
    let store = Memory::default();
    let source = Source::new();
    let decode = |_: &[u8]| Ok::<_, String>(Configuration::default());
    let close = |hall: &str| {
        let key = format!("{}{hall}", CONFIGURATION_KEYS.closed);
        vec![Mutation::Value(key, b"{}".to_vec(), 0)]
    };
    // One hall is closed before the entry first reads the store.
    store.swap(&[], close("a")).await.expect("written");
    let follow = source.clone().follow(
        store.clone(),
        CONFIGURATION_KEYS,
        CONFIGURATION_BOUND,
        decode,
        Reachability::new(),
        log::none(),
    );
    let follow = tokio::spawn(follow);
    let closed = |names: &[&str]| {
        let expected = halls(names);
        let source = source.clone();
        async move {
            let is_seen = || async {
                (source.closed() == Some(expected.clone())).then_some(())
            };
            until("the expected halls are closed", is_seen).await;
        }
    };
    closed(&["a"]).await;
    store.swap(&[], close("b")).await.expect("written");
    closed(&["a", "b"]).await;
    let open =
        vec![Mutation::Delete(format!("{}a", CONFIGURATION_KEYS.closed))];
    store.swap(&[], open).await.expect("written");
    closed(&["b"]).await;
    follow.abort();
}
