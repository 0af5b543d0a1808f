//! What a caller is told of a job that ends as it is asked about.

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
    let value = serde_json::to_vec(&progress).expect("is encoded");
    let put = Mutation::Value(keys::progress(ID), value, 0);
    store.swap(&[], vec![put]).await.expect("is written");
}

/// Asks about a running job, of which `news` is written after 40 ms;
/// returns the answer and how long it took.
async fn ask(news: Option<Option<Outcome>>) -> (Option<Stage>, Duration) {
    let store = Memory::default();
    write(&store, None).await;
    let admission = Admission::new(store.clone(), log::none());
    let began = Instant::now();
    let later = async {
        tokio::time::sleep(Duration::from_millis(40)).await;
        if let Some(outcome) = news {
            write(&store, outcome).await;
        }
    };
    let deadline = began + Duration::from_secs(3);
    let (stage, ()) = tokio::join!(admission.stage(ID, deadline), later);
    (stage.expect("the store answers"), began.elapsed())
}

#[tokio::test(start_paused = true)]
async fn an_end_is_told_though_it_comes_a_moment_later() {
    let (stage, took) = ask(Some(Some(Outcome::Succeeded))).await;
    assert_eq!(stage, Some(Stage::Ended(Outcome::Succeeded)));
    assert!(took < Duration::from_millis(100), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_job_that_goes_on_is_told_so_soon() {
    for news in [None, Some(None)] {
        let (stage, took) = ask(news).await;
        assert_eq!(stage, Some(Stage::Running), "{news:?}");
        assert!(took < Duration::from_millis(230), "{took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_cancel_is_told_once_it_has_taken_effect() {
    let store = Memory::default();
    let put = |key| Mutation::Value(key, b"{}".to_vec(), 0);
    let kept = vec![put(keys::job(ID)), put(keys::cancel(ID))];
    store.swap(&[], kept).await.expect("is written");
    let admission = Admission::new(store.clone(), log::none());
    let deadline = Instant::now() + Duration::from_secs(30);
    let stage = || admission.stage(ID, deadline);
    assert_eq!(stage().await.expect("answers"), Some(Stage::Queued));
    // All its tasks had ended before the planner heard of the cancel.
    write(&store, None).await;
    assert_eq!(stage().await.expect("answers"), Some(Stage::Running));
    write(&store, Some(Outcome::Succeeded)).await;
    let succeeded = Some(Stage::Ended(Outcome::Succeeded));
    assert_eq!(stage().await.expect("answers"), succeeded);
}

#[tokio::test(start_paused = true)]
async fn the_end_of_a_job_with_a_longer_name_is_not_that_of_the_shorter() {
    let store = Memory::default();
    write(&store, None).await;
    let admission = Admission::new(store.clone(), log::none());
    let ended = Progress {
        outcome: Some(Outcome::Succeeded),
        ..Progress::default()
    };
    let value = serde_json::to_vec(&ended).expect("is encoded");
    let longer = keys::progress(&format!("{ID}0"));
    let later = async {
        tokio::time::sleep(Duration::from_millis(40)).await;
        let put = Mutation::Value(longer, value, 0);
        store.swap(&[], vec![put]).await.expect("is written");
    };
    let deadline = Instant::now() + Duration::from_secs(3);
    let (stage, ()) = tokio::join!(admission.stage(ID, deadline), later);
    assert_eq!(stage.expect("answers"), Some(Stage::Running));
}
