//! An entry is ready for new callers only while the store can be reached.

use std::time::Duration;

use landingvalve::cell::configuration::Configuration;
use landingvalve::cell::configuration::Source;
use landingvalve::cell::reachability::Reachability;
use landingvalve::log;
use landingvalve::store::Mutation;
use landingvalve::store::Store;

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
