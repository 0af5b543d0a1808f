//! Suspended machines: their monotonic clock stops meanwhile, so a claim, a
//! grant or a configuration that has expired would still seem valid. The
//! process must see the expiry before it acts.

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
use crate::cell::CONFIGURATION_BOUND;
use crate::cell::CONFIGURATION_KEYS;
use crate::cell::SUCCEEDED;
use crate::support::until;

/// Durations of the suspensions, in ms.
const SUSPENSIONS_MS: [u64; 4] = [1000, 3000, 8000, 20_000];

#[test]
fn boot_instant_counts_the_time_of_a_suspension() {
    let before = BootInstant::now();
    let until = before + Duration::from_secs(5);
    assert!(until.is_future());
    clock::simulate_suspension(Duration::from_secs(8));
    assert!(!until.is_future());
    assert_eq!(until.remaining(), Duration::ZERO);
    assert!(before.elapsed() >= Duration::from_secs(8));
}

#[tokio::test]
async fn claim_that_lapsed_during_a_suspension_is_not_held() {
    for ms in SUSPENSIONS_MS {
        let store = Memory::default();
        let holder = Holder {
            process: "entry".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            life: "life".to_owned(),
            cores: 1.0,
        };
        let attempt = claim::try_claim(&store, &holder, None).await;
        let Ok(Attempt::Held(claim)) = attempt else {
            panic!("no other process claims: {attempt:?}");
        };
        assert!(claim.holds());
        let time = Duration::from_millis(ms);
        clock::simulate_suspension(time);
        assert_eq!(claim.holds(), time < claim::TTL, "{time:?}");
        // A renewal counts from when it is sent, so one that is sent after the
        // suspension makes the claim valid again.
        let renewed = claim.renew(&store).await;
        assert!(renewed && claim.holds(), "{time:?}");
    }
}

#[tokio::test]
async fn suspended_agent_renews_no_lease_by_an_expired_grant() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    let is_renewed = || async { worker.lease_was_renewed().then_some(()) };
    until("the lease is renewed", is_renewed).await;
    // No planner grants survival any more; the last grant lasts 12 s.
    entry.kill();
    clock::simulate_suspension(Duration::from_secs(13));
    let is_unrenewed =
        || async { (!worker.lease_was_renewed()).then_some(()) };
    let poll_timeout = Duration::from_secs(3);
    let lapsed = tokio::time::timeout(
        poll_timeout,
        until("a poll without renewal", is_unrenewed),
    );
    lapsed.await.expect("the next poll renews no lease");
    agent.abort();
}

#[tokio::test]
async fn configuration_ages_during_a_suspension() {
    let store = Memory::default();
    let put = Mutation::Value("key".to_owned(), b"7".to_vec(), 0);
    store.swap(&[], vec![put]).await.expect("written");
    let source = Source::new();
    let decode = |_: &[u8]| Ok::<_, String>(Configuration::default());
    let follow = source.clone().follow(
        store.clone(),
        CONFIGURATION_KEYS,
        CONFIGURATION_BOUND,
        decode,
        Reachability::new(),
        log::none(),
    );
    let follow = tokio::spawn(follow);
    let age = Duration::from_secs(2);
    let is_known = || async { source.fresh(age).map(|_| ()) };
    until("the configuration is known", is_known).await;
    store.reject_calls(u32::MAX);
    clock::simulate_suspension(Duration::from_secs(3));
    assert!(source.fresh(age).is_none(), "the configuration is 3 s old");
    assert!(!source.is_in_contact(), "no answer of the store for 3 s");
    store.reject_calls(0);
    until("the configuration is known again", is_known).await;
    follow.abort();
}

#[tokio::test]
async fn suspended_site_continues_and_starts_nothing_twice() {
    for ms in SUSPENSIONS_MS {
        let store = Memory::default();
        let worker = FakeWorker::new();
        let admission = Admission::new(store.clone(), log::none());
        let entry = Entry::start("entry", &store).await;
        let agent = start_agent(&store, &worker);
        admission.submit(&job("a"), deadline()).await;
        wait_for_running(&worker, 2).await;
        // The machines are suspended before job b has started.
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
