//! What is sent to a store that is out of reach.

use std::time::Duration;

use landingvalve::cell::Admission;
use landingvalve::cell::Submitted;
use landingvalve::log;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::cell::Memory;
use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

/// How long a caller waits.
const LIMIT: Duration = Duration::from_secs(3);
/// How many callers come at once.
const CALLERS: usize = 20;

/// Lets callers submit a job each; returns what they were told.
async fn submit(admission: &Admission<Memory>, wave: &str) -> Vec<Submitted> {
    let site = Site::new(&[]);
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let id = format!("{wave}-{caller}");
        let job = job(&id, 1, vec![step(1, 1, false)], &site);
        let admission = admission.clone();
        let deadline = Instant::now() + LIMIT;
        callers.spawn(async move { admission.submit(&job, deadline).await });
    }
    callers.join_all().await
}

#[tokio::test(start_paused = true)]
async fn no_write_is_sent_into_an_outage_and_one_look_serves_all() {
    let store = Memory::default();
    let admission = Admission::new(store.clone(), log::none());
    store.reject_calls(u32::MAX);
    // The first wave finds the outage; those after it know.
    submit(&admission, "first").await;
    let (writes, reads) = store.call_counts();
    let told = submit(&admission, "second").await;
    assert_eq!(told, [Submitted::Refused; CALLERS], "nothing was sent");
    let (after, looks) = store.call_counts();
    assert_eq!(after - writes, 0, "writes into the outage");
    assert!(looks - reads <= 12, "{} looks in 0.6 s", looks - reads);
}

#[tokio::test(start_paused = true)]
async fn those_who_wait_are_taken_in_once_the_store_is_back() {
    let store = Memory::default();
    let admission = Admission::new(store.clone(), log::none());
    store.reject_calls(u32::MAX);
    submit(&admission, "first").await;
    let back = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        store.reject_calls(0);
    };
    let (told, ()) = tokio::join!(submit(&admission, "second"), back);
    assert_eq!(told, [Submitted::Accepted; CALLERS]);
}
