//! The stage that a caller gets for a job that ends during the request: the
//! entry waits a moment for the end, so that the caller need not ask again.

use std::time::Duration;

use landingvalve::cell::keys;
use landingvalve::cell::Admission;
use landingvalve::cell::Stage;
use landingvalve::graph::Outcome;
use landingvalve::graph::Progress;
use landingvalve::log;
use landingvalve::store::Mutation;
use landingvalve::store::Store;
use tokio::time::Instant;

use crate::cell::Memory;

const ID: &str = "5c0e7a21d94b36f8";

async fn write(store: &Memory, outcome: Option<Outcome>) {
    let progress = Progress {
        outcome,
        ..Progress::default()
    };
    let value = serde_json::to_vec(&progress).expect("encoded");
    let put = Mutation::Value(keys::progress(ID), value, 0);
    store.swap(&[], vec![put]).await.expect("written");
}

/// Asks about a running job whose progress changes to `update`, if any, after
/// 40 ms; returns the stage and the time that the answer took.
async fn ask(update: Option<Option<Outcome>>) -> (Option<Stage>, Duration) {
    let store = Memory::default();
    write(&store, None).await;
    let admission = Admission::new(store.clone(), log::none());
    let began = Instant::now();
    let later = async {
        tokio::time::sleep(Duration::from_millis(40)).await;
        if let Some(outcome) = update {
            write(&store, outcome).await;
        }
    };
    let deadline = began + Duration::from_secs(3);
    let (stage, ()) = tokio::join!(admission.stage(ID, deadline), later);
    (stage.expect("the store answers"), began.elapsed())
}

#[tokio::test(start_paused = true)]
async fn end_that_comes_during_the_request_is_reported() {
    let (stage, took) = ask(Some(Some(Outcome::Succeeded))).await;
    assert_eq!(stage, Some(Stage::Ended(Outcome::Succeeded)));
    assert!(took < Duration::from_millis(100), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn job_that_continues_is_reported_as_running_soon() {
    for update in [None, Some(None)] {
        let (stage, took) = ask(update).await;
        assert_eq!(stage, Some(Stage::Running), "{update:?}");
        assert!(took < Duration::from_millis(230), "{took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn cancellation_is_reported_only_once_it_has_taken_effect() {
    let store = Memory::default();
    let put = |key| Mutation::Value(key, b"{}".to_vec(), 0);
    let records = vec![put(keys::job(ID)), put(keys::cancel(ID))];
    store.swap(&[], records).await.expect("written");
    let admission = Admission::new(store.clone(), log::none());
    let deadline = Instant::now() + Duration::from_secs(30);
    let stage = || admission.stage(ID, deadline);
    assert_eq!(stage().await.expect("answers"), Some(Stage::Queued));
    // All of the job's tasks end before the planner sees the cancellation.
    write(&store, None).await;
    assert_eq!(stage().await.expect("answers"), Some(Stage::Running));
    write(&store, Some(Outcome::Succeeded)).await;
    let succeeded = Some(Stage::Ended(Outcome::Succeeded));
    assert_eq!(stage().await.expect("answers"), succeeded);
}

#[tokio::test(start_paused = true)]
async fn end_of_a_job_is_not_mistaken_for_that_of_a_job_with_a_shorter_id() {
    let store = Memory::default();
    write(&store, None).await;
    let admission = Admission::new(store.clone(), log::none());
    let ended = Progress {
        outcome: Some(Outcome::Succeeded),
        ..Progress::default()
    };
    let value = serde_json::to_vec(&ended).expect("encoded");
    let longer = keys::progress(&format!("{ID}0"));
    let later = async {
        tokio::time::sleep(Duration::from_millis(40)).await;
        let put = Mutation::Value(longer, value, 0);
        store.swap(&[], vec![put]).await.expect("written");
    };
    let deadline = Instant::now() + Duration::from_secs(3);
    let (stage, ()) = tokio::join!(admission.stage(ID, deadline), later);
    assert_eq!(stage.expect("answers"), Some(Stage::Running));
}
