//! Halls that operators empty: nothing new is sent to their workers.
//!
//! Planners did not read such requests at all: 47 to 173 tasks a day began in
//! halls that had been closed for longer than the 5 s that are allowed.

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
fn nothing_new_begins_in_a_closed_hall_and_what_runs_goes_on() {
    let mut site = two_halls();
    site.submit(job("a", 1, vec![step(2, 8, false)], &site));
    site.settle();
    assert_eq!(site.running("a"), 2);
    site.scheduler.set_closed_halls(halls(&["near"]));
    site.settle();
    assert_eq!(site.running("a"), 2, "what runs goes on");
    site.finish_job("a");
    site.submit(job("b", 0, vec![step(2, 8, false)], &site));
    site.settle();
    let here: Vec<usize> =
        site.workers.iter().map(|w| w.running.len()).collect();
    assert_eq!(here, [0, 1]);
    site.scheduler.set_closed_halls(halls(&[]));
    site.settle();
    assert_eq!(site.running("b"), 2, "open again, it is used at once");
}

#[test]
fn an_order_on_its_way_to_a_closed_hall_is_taken_back() {
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
fn a_gang_goes_where_it_is_slow_if_its_racks_are_closed() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1"), ("w3", "r2")]);
    site.workers[0].hall = "near".into();
    site.workers[1].hall = "near".into();
    site.workers[2].hall = "far".into();
    let mut far = step(1, 8, false);
    far.data_rack = Some("r1".into());
    site.submit(job("a", 1, vec![far], &site));
    site.scheduler.set_closed_halls(halls(&["near"]));
    site.settle();
    assert_eq!(site.workers[2].running.len(), 1, "no rack near is open");
    site.workers[2].end(RunOutcome::Done, |_| true);
    site.settle();
}

#[tokio::test]
async fn halls_are_closed_and_opened_as_operators_write() {
    let store = Memory::default();
    let source = Source::new();
    let decode = |_: &[u8]| Ok::<_, String>(Configuration::default());
    let close = |hall: &str| {
        let key = format!("{}{hall}", CONFIGURATION_KEYS.closed);
        vec![Mutation::Value(key, b"{}".to_vec(), 0)]
    };
    // One is closed before anybody looks.
    store.swap(&[], close("a")).await.expect("is written");
    let follow = source.clone().follow(
        store.clone(),
        CONFIGURATION_KEYS,
        decode,
        Reachability::new(),
        log::none(),
    );
    let follow = tokio::spawn(follow);
    let closed = |names: &[&str]| {
        let wanted = halls(names);
        let source = source.clone();
        async move {
            let seen = || async { (source.closed() == wanted).then_some(()) };
            until("the halls that are closed", seen).await;
        }
    };
    closed(&["a"]).await;
    store.swap(&[], close("b")).await.expect("is written");
    closed(&["a", "b"]).await;
    let open =
        vec![Mutation::Delete(format!("{}a", CONFIGURATION_KEYS.closed))];
    store.swap(&[], open).await.expect("is written");
    closed(&["b"]).await;
    follow.abort();
}
