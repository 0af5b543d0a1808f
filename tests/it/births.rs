//! Workers that restart under their names.
//!
//! Guards against agents that treat a restarted worker as one that was briefly
//! unreachable: runs of the earlier birth then counted as running forever, so
//! that their jobs never ended, and acknowledgments for the earlier birth
//! dropped ends of the new one, because each birth numbers its ends from 1.

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

/// Returns the number of workers that were lost under each task of a job, as
/// written for the next planner.
async fn written_losses(store: &Memory, job: &str) -> Vec<u32> {
    let item = store.get(&keys::progress(job)).await.expect("answers");
    let value = item.expect("the job has begun").value;
    let progress: Progress =
        serde_json::from_slice(&value).expect("is progress");
    let losses = progress.units.values().flat_map(|unit| unit.lost.values());
    losses.map(|loss| loss.lost).collect()
}

/// Waits until time has passed.
async fn wait_for(time: Duration) {
    let end = Instant::now() + time;
    let passed = || async { (Instant::now() >= end).then_some(()) };
    until("time passes", passed).await;
}

#[tokio::test]
async fn tasks_of_an_earlier_birth_are_started_again() {
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

/// Guards against ends that are dropped unread. An end got number 2 after ends
/// up to 9 of the earlier birth had been acknowledged, so that the worker
/// dropped the end at once, and the task was started again although it was
/// done.
#[tokio::test]
async fn ends_of_a_later_birth_are_read_before_they_are_dropped() {
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
    let dropped = || async { (worker.listed_ends() == 0).then_some(()) };
    until("four ends are acknowledged", dropped).await;
    worker.restart();
    admission.submit(&job("c"), deadline()).await;
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "c", SUCCEEDED).await;
    let started = worker.started();
    let of_c = started.iter().filter(|start| start.starts_with('c'));
    assert!(of_c.clone().count() == 2, "{started:?}");
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn a_late_start_that_reaches_a_later_birth_starts_nothing() {
    let store = Memory::default();
    let (worker, other) =
        (FakeWorker::with_births(), FakeWorker::with_births());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(6);
    let first = start_agent_named("first", lease, &store, &worker);
    worker.leave_starts_unanswered(2);
    admission.submit(&job("a"), deadline()).await;
    let unanswered =
        || async { (worker.unanswered_starts() == 2).then_some(()) };
    until("two starts are unanswered", unanswered).await;
    // While the worker is down the agent cannot repeat the starts.
    worker.set_mute(true);
    wait_for(Duration::from_millis(2500)).await;
    worker.set_full(true);
    worker.restart();
    worker.set_mute(false);
    let second = start_agent_named("second", lease, &store, &other);
    wait_for_running(&other, 2).await;
    // Calls name the worker and not its birth, so that the late starts would
    // be accepted.
    worker.execute_late_starts();
    assert_eq!(worker.started(), Vec::<String>::new(), "started twice");
    first.abort();
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn nothing_is_started_while_the_worker_s_birth_is_unknown() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    worker.leave_starts_unanswered(2);
    admission.submit(&job("a"), deadline()).await;
    let unanswered =
        || async { (worker.unanswered_starts() == 2).then_some(()) };
    until("two starts are unanswered", unanswered).await;
    // The worker may have gone down under the starts, and may have restarted.
    worker.fail_polls(true);
    wait_for(Duration::from_millis(1000)).await;
    assert_eq!(
        worker.started(),
        Vec::<String>::new(),
        "a start was repeated blindly"
    );
    worker.fail_polls(false);
    wait_for_running(&worker, 2).await;
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn tasks_begin_elsewhere_although_the_later_birth_never_answers() {
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
    // The later birth sends a single heartbeat and nothing else.
    wait_for(Duration::from_millis(2000)).await;
    member.heartbeat(heartbeat(&worker, 1));
    let second = start_agent_named("second", lease, &store, &other);
    wait_for_running(&other, 2).await;
    running.abort();
    second.abort();
    entry.kill();
}

/// Guards against a worker that is never used again. A new birth was silent for
/// so long that its agent reported the worker as lost. When the worker answered
/// again, the agent had given up barring earlier orders there, and never showed
/// the worker to planners.
#[tokio::test]
async fn a_birth_that_was_silent_for_long_is_used_once_it_answers() {
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
    wait_for(Duration::from_millis(1000)).await;
    worker.set_mute(true);
    wait_for(Duration::from_millis(4000)).await;
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
    let before = worker.polls();
    let later = || async { (worker.polls() >= before + 20).then_some(()) };
    until("several polls", later).await;
    member.heartbeat(earlier);
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    let mut started = worker.started();
    started.sort();
    assert_eq!(started, ["a.0.0.0 1", "a.0.0.1 1"]);
    running.abort();
    entry.kill();
}

#[tokio::test]
async fn a_late_leave_notice_of_an_earlier_birth_ends_nothing() {
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
    // The notice names the worker, which still answers.
    member.worker_left("life");
    let second =
        start_agent_named("second", Duration::from_secs(6), &store, &other);
    wait_for(Duration::from_millis(2500)).await;
    assert_eq!(other.started(), Vec::<String>::new(), "started twice");
    // The worker also gets new tasks again.
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
async fn tasks_placed_by_a_name_alone_go_on_once_births_are_reported() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    admission.submit(&job("a"), deadline()).await;
    // A planner that does not know births wrote this progress.
    let placement = |index| {
        json!({ "run": 1, "on": [{ "agent": "agent", "life": "life" }],
                "index": index })
    };
    let units =
        json!({ "units": { "0.0.0": placement(0), "0.0.1": placement(1) } });
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
    let mut started = worker.started();
    started.sort();
    assert_eq!(
        started,
        ["a.0.0.0 1", "a.0.0.1 1"],
        "another run was ordered"
    );
    agent.abort();
    entry.kill();
}

/// Guards against ends that are dropped unread. Polls failed while an end was
/// to be acknowledged, and the agent repeated them. The worker had restarted in
/// between, so that the repeated poll acknowledged an end of the new birth that
/// nobody had read.
#[tokio::test]
async fn nothing_is_acknowledged_while_the_worker_s_birth_is_unknown() {
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
    until("several polls fail", failed).await;
    assert_eq!(worker.last_acknowledged(), 0);
    agent.abort();
    entry.kill();
}

/// Guards against ends that are dropped unread. A poll was still unanswered
/// when the planner acknowledged an end, and was aborted for a poll with that
/// acknowledgment. The worker had restarted within 40 ms and dropped two ends
/// of the new birth; one of their tasks was started again although it was done.
#[tokio::test]
async fn an_unanswered_poll_is_not_replaced_by_one_that_acknowledges() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    worker.mute_after_shown_end();
    // With a lost answer of the store, the acknowledgment comes well after
    // the end is shown.
    store.lose_answers(1);
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    wait_for(Duration::from_millis(500)).await;
    assert_eq!(worker.acknowledged_while_mute(), 0);
    agent.abort();
    entry.kill();
}

/// Guards against losses that count against no task. A worker was lost under a
/// task that its agent knew only from the worker's list, because the agent had
/// restarted. The agent reported that nothing had begun there, and the task was
/// started once more than allowed.
#[tokio::test]
async fn a_loss_counts_although_the_agent_has_restarted() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let first = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    first.abort();
    let before = worker.polls();
    let second = start_agent(&store, &worker);
    let polls = || async { (worker.polls() >= before + 10).then_some(()) };
    until("the new agent knows the running tasks", polls).await;
    worker.restart();
    let restarted = || async { (worker.started().len() == 4).then_some(()) };
    until("both tasks start again", restarted).await;
    assert_eq!(written_losses(&store, "a").await, [1, 1]);
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn a_loss_counts_although_the_agent_never_saw_the_running_tasks() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let first = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    first.abort();
    // The new agent gets heartbeats, but its polls fail.
    worker.fail_polls(true);
    let second = start_agent(&store, &worker);
    wait_for(Duration::from_millis(700)).await;
    worker.restart();
    worker.fail_polls(false);
    let restarted = || async { (worker.started().len() == 4).then_some(()) };
    until("both tasks start again", restarted).await;
    assert_eq!(written_losses(&store, "a").await, [1, 1]);
    second.abort();
    entry.kill();
}

/// Guards against tasks that are done twice. An agent had read that two tasks
/// were done while there was no planner, and their worker restarted before
/// there was one. The agent reported that nothing had been running there, the
/// runs ended as lost with their worker, and both tasks were started again.
#[tokio::test]
async fn tasks_read_as_done_are_not_started_again_after_a_restart() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    entry.kill();
    worker.end_all(RunOutcome::Done);
    let before = worker.polls();
    let polls = || async { (worker.polls() >= before + 3).then_some(()) };
    until("the agent has read both ends", polls).await;
    worker.restart();
    let next = Entry::start("next", &store).await;
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    let mut started = worker.started();
    started.sort();
    assert_eq!(started, ["a.0.0.0 1", "a.0.0.1 1"], "started again");
    agent.abort();
    next.kill();
}

#[tokio::test]
async fn a_late_poll_that_reaches_a_later_birth_drops_no_end() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    let dropped = || async { (worker.listed_ends() == 0).then_some(()) };
    until("both ends are acknowledged", dropped).await;
    let before = worker.polls();
    let later = || async { (worker.polls() >= before + 5).then_some(()) };
    until("several polls", later).await;
    let last = worker.last_acknowledged();
    worker.restart();
    admission.submit(&job("b"), deadline()).await;
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    // The poll was under way when the worker went down.
    worker.apply_late_acknowledgment(last);
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
    // Both tasks are started at first, and then only one until the job is
    // given up.
    assert!(crashes <= 5, "{crashes} workers were taken down");
    for agent in agents {
        agent.abort();
    }
    entry.kill();
}
