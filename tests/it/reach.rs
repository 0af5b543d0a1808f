//! Submissions while the store cannot be reached.
//!
//! A write that is sent into an outage may take effect although its answer is
//! lost, so its caller can no longer be refused. Submissions therefore wait
//! for one shared probe, a read, before they write.

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

/// The time that a caller waits for its answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// The number of callers that submit at the same time.
const CALLER_COUNT: usize = 20;

/// Submits a job for each caller; returns their answers.
async fn submit(admission: &Admission<Memory>, wave: &str) -> Vec<Submitted> {
    let site = Site::new(&[]);
    let mut callers = JoinSet::new();
    for caller in 0..CALLER_COUNT {
        let id = format!("{wave}-{caller}");
        let job = job(&id, 1, vec![step(1, 1, false)], &site);
        let admission = admission.clone();
        let deadline = Instant::now() + CALLER_TIMEOUT;
        callers.spawn(async move { admission.submit(&job, deadline).await });
    }
    callers.join_all().await
}

#[tokio::test(start_paused = true)]
async fn outage_gets_no_writes_and_one_probe_serves_all_callers() {
    let store = Memory::default();
    let admission = Admission::new(store.clone(), log::none());
    store.reject_calls(u32::MAX);
    // The first wave detects the outage; the second one knows of it.
    submit(&admission, "first").await;
    let (writes, reads) = store.call_counts();
    let answers = submit(&admission, "second").await;
    assert_eq!(
        answers,
        [Submitted::Refused; CALLER_COUNT],
        "nothing was sent"
    );
    let (writes_after, reads_after) = store.call_counts();
    assert_eq!(writes_after - writes, 0, "writes during the outage");
    assert!(
        reads_after - reads <= 12,
        "{} probes in 0.6 s",
        reads_after - reads
    );
}

#[tokio::test(start_paused = true)]
async fn waiting_submissions_are_accepted_once_the_store_is_back() {
    let store = Memory::default();
    let admission = Admission::new(store.clone(), log::none());
    store.reject_calls(u32::MAX);
    submit(&admission, "first").await;
    let back = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        store.reject_calls(0);
    };
    let (answers, ()) = tokio::join!(submit(&admission, "second"), back);
    assert_eq!(answers, [Submitted::Accepted; CALLER_COUNT]);
}
