//! Workers that start again under the names that they had.
//!
//! Four workers went down and were back within a second, empty, under their
//! names. Their agents said `the worker does not answer ... error="not
//! reached"` and nothing more, so everybody went on as if the same worker had
//! been away for a moment. What had run there counted as running for ever:
//! no line ever said that these runs had ended, and their jobs waited to the
//! end. And the numbers of a worker's ends begin anew with its birth: a run
//! that ended as done got number 2 where ends up to 9 had been acknowledged
//! before, so the worker forgot it before anybody had read it. Once the
//! worker left for good, `a run has ended ... how="worker gone"
//! ran_ms=52280` began anew what had long been done.

use std::time::Duration;

use landingvalve::cell::keys;
use landingvalve::cell::Admission;
use landingvalve::cell::Stage;
use landingvalve::graph::Outcome;
use landingvalve::graph::Progress;
use landingvalve::graph::RunOutcome;
use landingvalve::log;
use landingvalve::store::Mutation;
use landingvalve::store::Store;
use serde_json::json;
use tokio::time::Instant;

use crate::cell::deadline;
use crate::cell::heartbeat;
use crate::cell::job;
use crate::cell::member;
use crate::cell::start_agent;
use crate::cell::start_agent_named;
use crate::cell::wait_for_running;
use crate::cell::wait_for_stage;
use crate::cell::Entry;
use crate::cell::FakeWorker;
use crate::cell::Memory;
use crate::cell::SUCCEEDED;
use crate::support::until;

/// Returns how many workers were lost under each task of a job, as it is
/// kept for the next planner.
async fn lost_under(store: &Memory, job: &str) -> Vec<u32> {
    let kept = store.get(&keys::progress(job)).await.expect("answers");
    let kept = kept.expect("it has begun").value;
    let kept: Progress = serde_json::from_slice(&kept).expect("is progress");
    let lost = kept.units.values().flat_map(|unit| unit.lost.values());
    lost.map(|loss| loss.lost).collect()
}

async fn passes(time: Duration) {
    let then = Instant::now() + time;
    let later = || async { (Instant::now() >= then).then_some(()) };
    until("time passes", later).await;
}

#[tokio::test]
async fn what_ran_in_an_earlier_birth_begins_anew() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    worker.restart();
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn what_a_later_birth_has_done_is_read_before_it_is_forgotten() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    for name in ["a", "b"] {
        admission.submit(&job(name), deadline()).await;
        wait_for_running(&worker, 2).await;
        worker.end_all(RunOutcome::Done);
        wait_for_stage(&admission, name, SUCCEEDED).await;
    }
    let forgotten = || async { (worker.listed_ends() == 0).then_some(()) };
    until("four ends are acknowledged", forgotten).await;
    worker.restart();
    admission.submit(&job("c"), deadline()).await;
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "c", SUCCEEDED).await;
    let began = worker.started();
    let of_c = began.iter().filter(|start| start.starts_with('c'));
    assert!(of_c.clone().count() == 2, "{began:?}");
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn a_start_that_comes_late_to_a_later_birth_begins_nothing() {
    let store = Memory::default();
    let (worker, other) =
        (FakeWorker::with_births(), FakeWorker::with_births());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(6);
    let first = start_agent_named("first", lease, &store, &worker);
    worker.leave_starts_unanswered(2);
    admission.submit(&job("a"), deadline()).await;
    let lost = || async { (worker.unanswered_starts() == 2).then_some(()) };
    until("two starts have no answer", lost).await;
    // While it is down nobody can ask again.
    worker.set_mute(true);
    passes(Duration::from_millis(2500)).await;
    worker.set_full(true);
    worker.restart();
    worker.set_mute(false);
    let second = start_agent_named("second", lease, &store, &other);
    wait_for_running(&other, 2).await;
    // Calls name the worker, not its birth: it would take them.
    worker.execute_late_starts();
    assert_eq!(worker.started(), Vec::<String>::new(), "begun twice");
    first.abort();
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn nothing_is_started_while_it_is_not_known_who_would_start_it() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    worker.leave_starts_unanswered(2);
    admission.submit(&job("a"), deadline()).await;
    let lost = || async { (worker.unanswered_starts() == 2).then_some(()) };
    until("two starts have no answer", lost).await;
    // The worker may have gone down under them, and be back as another.
    worker.fail_polls(true);
    passes(Duration::from_millis(1000)).await;
    assert_eq!(
        worker.started(),
        Vec::<String>::new(),
        "tried again blindly"
    );
    worker.fail_polls(false);
    wait_for_running(&worker, 2).await;
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn what_ran_begins_elsewhere_though_the_later_birth_never_answers() {
    let store = Memory::default();
    let (worker, other) =
        (FakeWorker::with_births(), FakeWorker::with_births());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(3);
    let member = member("first", &store, &worker);
    let running = tokio::spawn({
        let member = member.clone();
        async move { member.run().await }
    });
    member.heartbeat(heartbeat(&worker, 1));
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    worker.restart();
    worker.set_mute(true);
    // One heartbeat of the later birth is all that is ever heard of it.
    passes(Duration::from_millis(2000)).await;
    member.heartbeat(heartbeat(&worker, 1));
    let second = start_agent_named("second", lease, &store, &other);
    wait_for_running(&other, 2).await;
    running.abort();
    second.abort();
    entry.kill();
}

/// A new birth said nothing for so long that its agent called it gone, and
/// then spoke: its agent had given up barring there what was ordered before,
/// and showed nothing of it to planners for ever.
#[tokio::test]
async fn a_birth_that_was_silent_for_long_is_used_once_it_speaks() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(1);
    let agent = start_agent_named("agent", lease, &store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    worker.fail_stops(true);
    worker.restart();
    passes(Duration::from_millis(1000)).await;
    worker.set_mute(true);
    passes(Duration::from_millis(4000)).await;
    worker.set_mute(false);
    worker.fail_stops(false);
    wait_for_running(&worker, 2).await;
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn a_late_heartbeat_of_an_earlier_birth_changes_nothing() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let member = member("agent", &store, &worker);
    let running = tokio::spawn({
        let member = member.clone();
        async move { member.run().await }
    });
    let earlier = heartbeat(&worker, 900);
    worker.restart();
    member.heartbeat(heartbeat(&worker, 1));
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    member.heartbeat(earlier.clone());
    let looked = worker.polls();
    let later = || async { (worker.polls() >= looked + 20).then_some(()) };
    until("several looks", later).await;
    member.heartbeat(earlier);
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    let mut began = worker.started();
    began.sort();
    assert_eq!(began, ["a.0.0.0 1", "a.0.0.1 1"]);
    running.abort();
    entry.kill();
}

#[tokio::test]
async fn a_late_goodbye_of_an_earlier_birth_ends_nothing() {
    let store = Memory::default();
    let (worker, other) =
        (FakeWorker::with_births(), FakeWorker::with_births());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let member = member("first", &store, &worker);
    let running = tokio::spawn({
        let member = member.clone();
        async move { member.run().await }
    });
    worker.restart();
    member.heartbeat(heartbeat(&worker, 1));
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    // It names the worker, and that still answers.
    member.left("life");
    let second =
        start_agent_named("second", Duration::from_secs(6), &store, &other);
    passes(Duration::from_millis(2500)).await;
    assert_eq!(other.started(), Vec::<String>::new(), "begun twice");
    // Nor is the worker out of use for ever.
    member.heartbeat(heartbeat(&worker, 2));
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    other.set_full(true);
    admission.submit(&job("b"), deadline()).await;
    wait_for_running(&worker, 2).await;
    running.abort();
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn what_was_placed_by_a_name_alone_goes_on_once_births_are_told() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    admission.submit(&job("a"), deadline()).await;
    // As an agent and a planner that know no births wrote and ordered it.
    let on = |index| {
        json!({ "run": 1, "on": [{ "agent": "agent", "life": "life" }],
                "index": index })
    };
    let units = json!({ "units": { "0.0.0": on(0), "0.0.1": on(1) } });
    let put = Mutation::Value(
        keys::progress("a"),
        units.to_string().into_bytes(),
        0,
    );
    store.swap(&[], vec![put]).await.expect("is written");
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    let mut began = worker.started();
    began.sort();
    assert_eq!(began, ["a.0.0.0 1", "a.0.0.1 1"], "another run was given");
    agent.abort();
    entry.kill();
}

/// Looks failed while an end was to be acknowledged, and the agent tried
/// again and again: the worker had started anew meanwhile, took the number
/// for one of its own, and forgot what it had done before anybody read it.
#[tokio::test]
async fn nothing_is_acknowledged_while_it_is_not_known_who_would_forget_it() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    worker.fail_polls_after_shown_end();
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    let failed = || async { (worker.failed_calls() >= 6).then_some(()) };
    until("several looks fail", failed).await;
    assert_eq!(worker.last_acknowledged(), 0);
    agent.abort();
    entry.kill();
}

/// A look had no answer yet when the planner's note came, and was broken off
/// for one that acknowledged it. The worker had started anew within 40 ms and
/// forgot two ends of its own unread: `w0 0 is up`, `job30.0.0.0 is noted as
/// done`, `job30.0.0.0 run 2 begins when done`.
#[tokio::test]
async fn nothing_is_acknowledged_in_place_of_a_look_without_answer() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    worker.mute_after_shown_end();
    // The note comes later than a moment after the end is shown.
    store.lose_answers(1);
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    passes(Duration::from_millis(500)).await;
    assert_eq!(worker.acknowledged_while_mute(), 0);
    agent.abort();
    entry.kill();
}

/// A worker was lost under a task that its agent knew only from the worker's
/// own list, having started again itself. It told that nothing had begun
/// there, so the loss was counted against nobody, and the task had one start
/// more than it may.
#[tokio::test]
async fn a_loss_counts_though_the_agent_has_started_again() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let first = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    first.abort();
    let looked = worker.polls();
    let second = start_agent(&store, &worker);
    let looks = || async { (worker.polls() >= looked + 10).then_some(()) };
    until("the new agent knows what runs", looks).await;
    worker.restart();
    let began = || async { (worker.started().len() == 4).then_some(()) };
    until("both tasks begin anew", began).await;
    assert_eq!(lost_under(&store, "a").await, [1, 1]);
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn a_loss_counts_though_the_agent_has_never_seen_what_ran() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let first = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    first.abort();
    // The new agent hears its worker, and no look is answered.
    worker.fail_polls(true);
    let second = start_agent(&store, &worker);
    passes(Duration::from_millis(700)).await;
    worker.restart();
    worker.fail_polls(false);
    let began = || async { (worker.started().len() == 4).then_some(()) };
    until("both tasks begin anew", began).await;
    assert_eq!(lost_under(&store, "a").await, [1, 1]);
    second.abort();
    entry.kill();
}

/// The two tasks of a job were done, and their agent had read so, while no
/// planner was there to hear it. Their worker started again before there was
/// one: the agent told that nothing had been running there, `a run has ended
/// how="worker gone"`, and both were done a second time.
#[tokio::test]
async fn what_was_read_as_done_is_not_done_again_though_its_worker_goes() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    entry.kill();
    worker.end_all(RunOutcome::Done);
    let looked = worker.polls();
    let looks = || async { (worker.polls() >= looked + 3).then_some(()) };
    until("the agent has read both ends", looks).await;
    worker.restart();
    let next = Entry::start("next", &store).await;
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    let mut began = worker.started();
    began.sort();
    assert_eq!(began, ["a.0.0.0 1", "a.0.0.1 1"], "done again");
    agent.abort();
    next.kill();
}

#[tokio::test]
async fn a_look_that_comes_late_to_a_later_birth_forgets_no_end() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    let forgotten = || async { (worker.listed_ends() == 0).then_some(()) };
    until("both ends are acknowledged", forgotten).await;
    let looked = worker.polls();
    let later = || async { (worker.polls() >= looked + 5).then_some(()) };
    until("several looks", later).await;
    let last = worker.last_acknowledged();
    worker.restart();
    admission.submit(&job("b"), deadline()).await;
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    // It was under way when the worker went down.
    worker.apply_late_acknowledgement(last);
    wait_for_stage(&admission, "b", SUCCEEDED).await;
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn a_job_that_takes_workers_down_is_given_up_whatever_their_names() {
    let store = Memory::default();
    let workers = [
        FakeWorker::with_births(),
        FakeWorker::with_births(),
        FakeWorker::with_births(),
    ];
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(6);
    let names = ["first", "second", "third"];
    let agents: Vec<_> = names
        .iter()
        .zip(&workers)
        .map(|(name, worker)| start_agent_named(name, lease, &store, worker))
        .collect();
    for worker in &workers {
        worker.crash_on_start_of("bad");
    }
    admission.submit(&job("bad"), deadline()).await;
    wait_for_stage(&admission, "bad", Stage::Ended(Outcome::Failed)).await;
    let crashes: u32 = workers.iter().map(FakeWorker::crashes).sum();
    // Both tasks at first, then one of them until it is told.
    assert!(crashes <= 5, "{crashes} workers were taken down");
    for agent in agents {
        agent.abort();
    }
    entry.kill();
}
