//! How long a submission is worked on.

use std::time::Duration;

use landingvalve::cell::Admission;
use landingvalve::cell::Submitted;
use landingvalve::log;
use tokio::time::Instant;

use crate::cell::Memory;
use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

/// How long the caller waits.
const LIMIT: Duration = Duration::from_secs(3);

/// Submits a job; returns the answer and how long it took.
async fn submit(store: &Memory) -> (Submitted, Duration) {
    let site = Site::new(&[]);
    let job = job("5c0e7a21d94b36f8", 1, vec![step(1, 1, false)], &site);
    let admission = Admission::new(store.clone(), log::none());
    let began = Instant::now();
    let submitted = admission.submit(&job, began + LIMIT).await;
    (submitted, began.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_caller_keeps_half_of_its_time_where_answers_are_lost() {
    let store = Memory::default();
    store.lose_answers(u32::MAX);
    // The first write lands unheard, and the next would show it; the store
    // turns every further call away.
    let lost = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        store.reject_calls(u32::MAX);
    };
    let ((submitted, took), ()) = tokio::join!(submit(&store), lost);
    assert_eq!(submitted, Submitted::Unsure);
    assert!(took <= LIMIT / 2, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_is_turned_away_hears_so_at_once() {
    let store = Memory::default();
    store.reject_calls(u32::MAX);
    let (submitted, took) = submit(&store).await;
    assert_eq!(submitted, Submitted::Refused);
    assert!(took < Duration::from_millis(900), "{took:?}");
}
