//! The time that a submission takes while the store fails: the caller is
//! answered early enough to retry at another entry.

use std::time::Duration;

use landingvalve::cell::Admission;
use landingvalve::cell::Submitted;
use landingvalve::log;
use tokio::time::Instant;

use crate::cell::Memory;
use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

/// The time that the caller waits for its answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// Submits a job; returns the answer and the time that it took.
async fn submit(store: &Memory) -> (Submitted, Duration) {
    let site = Site::new(&[]);
    let job = job("5c0e7a21d94b36f8", 1, vec![step(1, 1, false)], &site);
    let admission = Admission::new(store.clone(), log::none());
    let began = Instant::now();
    let submitted = admission.submit(&job, began + CALLER_TIMEOUT).await;
    (submitted, began.elapsed())
}

#[tokio::test(start_paused = true)]
async fn submission_with_lost_answers_leaves_the_caller_half_of_its_time() {
    let store = Memory::default();
    store.lose_answers(u32::MAX);
    // The first write takes effect, but its answer is lost. The store refuses
    // all calls after that, so that no read can show the write.
    let lost = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        store.reject_calls(u32::MAX);
    };
    let ((submitted, took), ()) = tokio::join!(submit(&store), lost);
    assert_eq!(submitted, Submitted::Unsure);
    assert!(took <= CALLER_TIMEOUT / 2, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn submission_that_the_store_refuses_is_refused_early() {
    let store = Memory::default();
    store.reject_calls(u32::MAX);
    let (submitted, took) = submit(&store).await;
    assert_eq!(submitted, Submitted::Refused);
    assert!(took < Duration::from_millis(900), "{took:?}");
}
