//! Whether new callers are taken while the store is out of reach.

use std::time::Duration;

use landingvalve::cell::configuration::Configuration;
use landingvalve::cell::configuration::Source;
use landingvalve::cell::reachability::Reachability;
use landingvalve::log;
use landingvalve::store::Mutation;
use landingvalve::store::Store;

use crate::cell::Memory;
use crate::cell::CONFIGURATION_KEYS;

#[tokio::test(start_paused = true)]
async fn callers_are_taken_only_while_the_store_is_in_reach() {
    let store = Memory::default();
    let put = Mutation::Value("key".to_owned(), b"7".to_vec(), 0);
    store.swap(&[], vec![put]).await.expect("is written");
    let source = Source::new();
    assert!(!source.is_in_contact(), "nothing is known");
    let decode = |_: &[u8]| Ok::<_, String>(Configuration::default());
    let follow = source.clone().follow(
        store.clone(),
        CONFIGURATION_KEYS,
        decode,
        Reachability::new(),
        log::none(),
    );
    let follow = tokio::spawn(follow);
    let pass = |ms| tokio::time::sleep(Duration::from_millis(ms));
    pass(3000).await;
    assert!(source.is_in_contact());
    store.reject_calls(u32::MAX);
    pass(1300).await;
    assert!(!source.is_in_contact());
    assert!(source.current().is_some(), "what is known stays");
    store.reject_calls(0);
    pass(300).await;
    assert!(source.is_in_contact());
    follow.abort();
}
