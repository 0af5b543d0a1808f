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

use crate::cell::agent;
use crate::cell::agent_of;
use crate::cell::heartbeat;
use crate::cell::job;
use crate::cell::member;
use crate::cell::reaches;
use crate::cell::runs;
use crate::cell::soon;
use crate::cell::Entry;
use crate::cell::Fake;
use crate::cell::Memory;
use crate::cell::DONE;
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
    let worker = Fake::born();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = agent(&store, &worker);
    admission.submit(&job("a"), soon()).await;
    runs(&worker, 2).await;
    worker.start_again();
    runs(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    reaches(&admission, "a", DONE).await;
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn what_a_later_birth_has_done_is_read_before_it_is_forgotten() {
    let store = Memory::default();
    let worker = Fake::born();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = agent(&store, &worker);
    for name in ["a", "b"] {
        admission.submit(&job(name), soon()).await;
        runs(&worker, 2).await;
        worker.end_all(RunOutcome::Done);
        reaches(&admission, name, DONE).await;
    }
    let forgotten = || async { (worker.ends() == 0).then_some(()) };
    until("four ends are acknowledged", forgotten).await;
    worker.start_again();
    admission.submit(&job("c"), soon()).await;
    runs(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    reaches(&admission, "c", DONE).await;
    let began = worker.began();
    let of_c = began.iter().filter(|start| start.starts_with('c'));
    assert!(of_c.clone().count() == 2, "{began:?}");
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn a_start_that_comes_late_to_a_later_birth_begins_nothing() {
    let store = Memory::default();
    let (worker, other) = (Fake::born(), Fake::born());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(6);
    let first = agent_of("first", lease, &store, &worker);
    worker.lose_starts(2);
    admission.submit(&job("a"), soon()).await;
    let lost = || async { (worker.lost_starts() == 2).then_some(()) };
    until("two starts have no answer", lost).await;
    // While it is down nobody can ask again.
    worker.mute(true);
    passes(Duration::from_millis(2500)).await;
    worker.fill(true);
    worker.start_again();
    worker.mute(false);
    let second = agent_of("second", lease, &store, &other);
    runs(&other, 2).await;
    // Calls name the worker, not its birth: it would take them.
    worker.carry_out_late();
    assert_eq!(worker.began(), Vec::<String>::new(), "begun twice");
    first.abort();
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn nothing_is_started_while_it_is_not_known_who_would_start_it() {
    let store = Memory::default();
    let worker = Fake::born();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = agent(&store, &worker);
    worker.lose_starts(2);
    admission.submit(&job("a"), soon()).await;
    let lost = || async { (worker.lost_starts() == 2).then_some(()) };
    until("two starts have no answer", lost).await;
    // The worker may have gone down under them, and be back as another.
    worker.hide(true);
    passes(Duration::from_millis(1000)).await;
    assert_eq!(worker.began(), Vec::<String>::new(), "tried again blindly");
    worker.hide(false);
    runs(&worker, 2).await;
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn what_ran_begins_elsewhere_though_the_later_birth_never_answers() {
    let store = Memory::default();
    let (worker, other) = (Fake::born(), Fake::born());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(3);
    let member = member("first", &store, &worker);
    let running = tokio::spawn({
        let member = member.clone();
        async move { member.run().await }
    });
    member.heartbeat(heartbeat(&worker, 1));
    admission.submit(&job("a"), soon()).await;
    runs(&worker, 2).await;
    worker.start_again();
    worker.mute(true);
    // One heartbeat of the later birth is all that is ever heard of it.
    passes(Duration::from_millis(2000)).await;
    member.heartbeat(heartbeat(&worker, 1));
    let second = agent_of("second", lease, &store, &other);
    runs(&other, 2).await;
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
    let worker = Fake::born();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(1);
    let agent = agent_of("agent", lease, &store, &worker);
    admission.submit(&job("a"), soon()).await;
    runs(&worker, 2).await;
    worker.lose_stops(true);
    worker.start_again();
    passes(Duration::from_millis(1000)).await;
    worker.mute(true);
    passes(Duration::from_millis(4000)).await;
    worker.mute(false);
    worker.lose_stops(false);
    runs(&worker, 2).await;
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn a_late_heartbeat_of_an_earlier_birth_changes_nothing() {
    let store = Memory::default();
    let worker = Fake::born();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let member = member("agent", &store, &worker);
    let running = tokio::spawn({
        let member = member.clone();
        async move { member.run().await }
    });
    let earlier = heartbeat(&worker, 900);
    worker.start_again();
    member.heartbeat(heartbeat(&worker, 1));
    admission.submit(&job("a"), soon()).await;
    runs(&worker, 2).await;
    member.heartbeat(earlier.clone());
    let looked = worker.looks();
    let later = || async { (worker.looks() >= looked + 20).then_some(()) };
    until("several looks", later).await;
    member.heartbeat(earlier);
    worker.end_all(RunOutcome::Done);
    reaches(&admission, "a", DONE).await;
    let mut began = worker.began();
    began.sort();
    assert_eq!(began, ["a.0.0.0 1", "a.0.0.1 1"]);
    running.abort();
    entry.kill();
}

#[tokio::test]
async fn a_late_goodbye_of_an_earlier_birth_ends_nothing() {
    let store = Memory::default();
    let (worker, other) = (Fake::born(), Fake::born());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let member = member("first", &store, &worker);
    let running = tokio::spawn({
        let member = member.clone();
        async move { member.run().await }
    });
    worker.start_again();
    member.heartbeat(heartbeat(&worker, 1));
    admission.submit(&job("a"), soon()).await;
    runs(&worker, 2).await;
    // It names the worker, and that still answers.
    member.worker_left("life");
    let second = agent_of("second", Duration::from_secs(6), &store, &other);
    passes(Duration::from_millis(2500)).await;
    assert_eq!(other.began(), Vec::<String>::new(), "begun twice");
    // Nor is the worker out of use for ever.
    member.heartbeat(heartbeat(&worker, 2));
    worker.end_all(RunOutcome::Done);
    reaches(&admission, "a", DONE).await;
    other.fill(true);
    admission.submit(&job("b"), soon()).await;
    runs(&worker, 2).await;
    running.abort();
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn what_was_placed_by_a_name_alone_goes_on_once_births_are_told() {
    let store = Memory::default();
    let worker = Fake::born();
    let admission = Admission::new(store.clone(), log::none());
    admission.submit(&job("a"), soon()).await;
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
    let agent = agent(&store, &worker);
    runs(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    reaches(&admission, "a", DONE).await;
    let mut began = worker.began();
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
    let worker = Fake::born();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = agent(&store, &worker);
    admission.submit(&job("a"), soon()).await;
    runs(&worker, 2).await;
    worker.show_once();
    worker.end_all(RunOutcome::Done);
    reaches(&admission, "a", DONE).await;
    let failed = || async { (worker.broken_off() >= 6).then_some(()) };
    until("several looks fail", failed).await;
    assert_eq!(worker.acknowledged(), 0);
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
    let worker = Fake::born();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = agent(&store, &worker);
    admission.submit(&job("a"), soon()).await;
    runs(&worker, 2).await;
    worker.mute_once_shown();
    // The note comes later than a moment after the end is shown.
    store.lose(1);
    worker.end_all(RunOutcome::Done);
    reaches(&admission, "a", DONE).await;
    passes(Duration::from_millis(500)).await;
    assert_eq!(worker.asked_to_forget(), 0);
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
    let worker = Fake::born();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let first = agent(&store, &worker);
    admission.submit(&job("a"), soon()).await;
    runs(&worker, 2).await;
    first.abort();
    let looked = worker.looks();
    let second = agent(&store, &worker);
    let looks = || async { (worker.looks() >= looked + 10).then_some(()) };
    until("the new agent knows what runs", looks).await;
    worker.start_again();
    let began = || async { (worker.began().len() == 4).then_some(()) };
    until("both tasks begin anew", began).await;
    assert_eq!(lost_under(&store, "a").await, [1, 1]);
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn a_loss_counts_though_the_agent_has_never_seen_what_ran() {
    let store = Memory::default();
    let worker = Fake::born();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let first = agent(&store, &worker);
    admission.submit(&job("a"), soon()).await;
    runs(&worker, 2).await;
    first.abort();
    // The new agent hears its worker, and no look is answered.
    worker.hide(true);
    let second = agent(&store, &worker);
    passes(Duration::from_millis(700)).await;
    worker.start_again();
    worker.hide(false);
    let began = || async { (worker.began().len() == 4).then_some(()) };
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
    let worker = Fake::born();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = agent(&store, &worker);
    admission.submit(&job("a"), soon()).await;
    runs(&worker, 2).await;
    entry.kill();
    worker.end_all(RunOutcome::Done);
    let looked = worker.looks();
    let looks = || async { (worker.looks() >= looked + 3).then_some(()) };
    until("the agent has read both ends", looks).await;
    worker.start_again();
    let next = Entry::start("next", &store).await;
    reaches(&admission, "a", DONE).await;
    let mut began = worker.began();
    began.sort();
    assert_eq!(began, ["a.0.0.0 1", "a.0.0.1 1"], "done again");
    agent.abort();
    next.kill();
}

#[tokio::test]
async fn a_look_that_comes_late_to_a_later_birth_forgets_no_end() {
    let store = Memory::default();
    let worker = Fake::born();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = agent(&store, &worker);
    admission.submit(&job("a"), soon()).await;
    runs(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    reaches(&admission, "a", DONE).await;
    let forgotten = || async { (worker.ends() == 0).then_some(()) };
    until("both ends are acknowledged", forgotten).await;
    let looked = worker.looks();
    let later = || async { (worker.looks() >= looked + 5).then_some(()) };
    until("several looks", later).await;
    let last = worker.acknowledged();
    worker.start_again();
    admission.submit(&job("b"), soon()).await;
    runs(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    // It was under way when the worker went down.
    worker.acknowledge_late(last);
    reaches(&admission, "b", DONE).await;
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn a_job_that_takes_workers_down_is_given_up_whatever_their_names() {
    let store = Memory::default();
    let workers = [Fake::born(), Fake::born(), Fake::born()];
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(6);
    let names = ["first", "second", "third"];
    let agents: Vec<_> = names
        .iter()
        .zip(&workers)
        .map(|(name, worker)| agent_of(name, lease, &store, worker))
        .collect();
    for worker in &workers {
        worker.crash_under("bad");
    }
    admission.submit(&job("bad"), soon()).await;
    reaches(&admission, "bad", Stage::Ended(Outcome::Failed)).await;
    let crashes: u32 = workers.iter().map(Fake::crashes).sum();
    // Both tasks at first, then one of them until it is told.
    assert!(crashes <= 5, "{crashes} workers were taken down");
    for agent in agents {
        agent.abort();
    }
    entry.kill();
}
