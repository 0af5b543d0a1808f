//! An entry is ready for new callers only while the store can be reached.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use landingvalve::cell::configuration::Configuration;
use landingvalve::cell::configuration::Source;
use landingvalve::cell::reachability::Reachability;
use landingvalve::log;
use landingvalve::store::Mutation;
use landingvalve::store::Store;
use tokio::time::Instant;

use crate::cell::Memory;
use crate::cell::CONFIGURATION_BOUND;
use crate::cell::CONFIGURATION_KEYS;

#[tokio::test(start_paused = true)]
async fn entry_is_ready_only_while_the_store_can_be_reached() {
    let store = Memory::default();
    let put = Mutation::Value("key".to_owned(), b"7".to_vec(), 0);
    store.swap(&[], vec![put]).await.expect("written");
    let source = Source::new();
    assert!(!source.is_in_contact(), "no configuration yet");
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
    let sleep = |ms| tokio::time::sleep(Duration::from_millis(ms));
    sleep(3000).await;
    assert!(source.is_in_contact());
    store.reject_calls(u32::MAX);
    sleep(1300).await;
    assert!(!source.is_in_contact());
    assert!(source.current().is_some(), "the last configuration stays");
    store.reject_calls(0);
    sleep(300).await;
    assert!(source.is_in_contact());
    follow.abort();
}

/// Guards against callers who wait for the store and are served in a drawn
/// order: those who came first may then wait longest, and a simulated day
/// differs from one run to the next.
#[tokio::test(start_paused = true)]
async fn callers_are_served_in_their_order_once_the_store_is_back() {
    const CALLERS: usize = 40;
    let store = Memory::default();
    let reachability = Reachability::new();
    reachability.set(false);
    store.reject_calls(u32::MAX);
    let served: Arc<Mutex<Vec<usize>>> = Arc::default();
    let until = Instant::now() + Duration::from_secs(10);
    let callers = (0..CALLERS).map(|number| {
        let (store, served) = (store.clone(), served.clone());
        let reachability = reachability.clone();
        tokio::spawn(async move {
            assert!(reachability.wait(&store, until).await);
            served.lock().expect("is whole").push(number);
        })
    });
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    reachability.set(true);
    for caller in callers {
        caller.await.expect("is served");
    }
    let served = served.lock().expect("is whole").clone();
    assert_eq!(served, Vec::from_iter(0..CALLERS));
}
