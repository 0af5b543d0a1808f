//! Machines that are suspended: their steady clock stands still meanwhile,
//! and what has lapsed must be seen as lapsed before anything is done by it.

use std::time::Duration;

use landingvalve::cell::claim;
use landingvalve::cell::claim::Attempt;
use landingvalve::cell::claim::Holder;
use landingvalve::cell::configuration::Configuration;
use landingvalve::cell::configuration::Source;
use landingvalve::cell::reachability::Reachability;
use landingvalve::cell::Admission;
use landingvalve::clock;
use landingvalve::clock::BootInstant;
use landingvalve::graph::RunOutcome;
use landingvalve::log;
use landingvalve::store::Mutation;
use landingvalve::store::Store;

use crate::cell::deadline;
use crate::cell::job;
use crate::cell::start_agent;
use crate::cell::wait_for_running;
use crate::cell::wait_for_stage;
use crate::cell::Entry;
use crate::cell::FakeWorker;
use crate::cell::Memory;
use crate::cell::CONFIGURATION_KEYS;
use crate::cell::SUCCEEDED;
use crate::support::until;

/// For how long machines are suspended here, in ms.
const TIMES: [u64; 4] = [1000, 3000, 8000, 20_000];

#[test]
fn a_stamp_counts_the_time_that_the_machine_was_suspended() {
    let before = BootInstant::now();
    let until = before + Duration::from_secs(5);
    assert!(until.is_future());
    clock::simulate_suspension(Duration::from_secs(8));
    assert!(!until.is_future());
    assert_eq!(until.remaining(), Duration::ZERO);
    assert!(before.elapsed() >= Duration::from_secs(8));
}

#[tokio::test]
async fn a_claim_that_lapsed_while_its_machine_was_suspended_is_not_held() {
    for ms in TIMES {
        let store = Memory::default();
        let holder = Holder {
            process: "entry".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            life: "life".to_owned(),
            cores: 1.0,
        };
        let tried = claim::try_claim(&store, &holder).await;
        let Ok(Attempt::Held(claim)) = tried else {
            panic!("nobody else claims: {tried:?}");
        };
        assert!(claim.holds());
        let time = Duration::from_millis(ms);
        clock::simulate_suspension(time);
        assert_eq!(claim.holds(), time < claim::TTL, "{time:?}");
        // As the answer to its renewal is on its way: what was sent before
        // says nothing of the time after.
        let renewed = claim.renew(&store).await;
        assert!(renewed && claim.holds(), "{time:?}");
    }
}

#[tokio::test]
async fn an_agent_that_was_suspended_prolongs_nothing_by_an_old_grant() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    let prolonged = || async { worker.lease_was_renewed().then_some(()) };
    until("the lease is prolonged", prolonged).await;
    // No planner grants anything any more; the last grant is 12 s.
    entry.kill();
    clock::simulate_suspension(Duration::from_secs(13));
    let lapses = || async { (!worker.lease_was_renewed()).then_some(()) };
    let look = Duration::from_secs(3);
    let lapsed = tokio::time::timeout(look, until("a look without", lapses));
    lapsed.await.expect("the next look prolongs nothing");
    agent.abort();
}

#[tokio::test]
async fn knowledge_of_the_configuration_ages_while_its_machine_is_suspended() {
    let store = Memory::default();
    let put = Mutation::Value("key".to_owned(), b"7".to_vec(), 0);
    store.swap(&[], vec![put]).await.expect("is written");
    let source = Source::new();
    let decode = |_: &[u8]| Ok::<_, String>(Configuration::default());
    let follow = source.clone().follow(
        store.clone(),
        CONFIGURATION_KEYS,
        decode,
        Reachability::new(),
        log::none(),
    );
    let follow = tokio::spawn(follow);
    let age = Duration::from_secs(2);
    let known = || async { source.fresh(age).map(|_| ()) };
    until("it is known", known).await;
    store.reject_calls(u32::MAX);
    clock::simulate_suspension(Duration::from_secs(3));
    assert!(source.fresh(age).is_none(), "it is 3 s old");
    assert!(!source.is_in_contact(), "the store was not heard for 3 s");
    store.reject_calls(0);
    until("it is known anew", known).await;
    follow.abort();
}

#[tokio::test]
async fn a_site_that_was_suspended_goes_on_and_does_nothing_twice() {
    for ms in TIMES {
        let store = Memory::default();
        let worker = FakeWorker::new();
        let admission = Admission::new(store.clone(), log::none());
        let entry = Entry::start("entry", &store).await;
        let agent = start_agent(&store, &worker);
        admission.submit(&job("a"), deadline()).await;
        wait_for_running(&worker, 2).await;
        // An order is on its way, and an admission waits.
        admission.submit(&job("b"), deadline()).await;
        clock::simulate_suspension(Duration::from_millis(ms));
        wait_for_running(&worker, 4).await;
        worker.end_all(RunOutcome::Done);
        wait_for_stage(&admission, "a", SUCCEEDED).await;
        wait_for_stage(&admission, "b", SUCCEEDED).await;
        let mut began = worker.started();
        began.sort();
        let once = ["a.0.0.0 1", "a.0.0.1 1", "b.0.0.0 1", "b.0.0.1 1"];
        assert_eq!(began, once, "suspended for {ms} ms");
        agent.abort();
        entry.kill();
    }
}
