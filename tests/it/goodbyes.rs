//! Workers that say goodbye, and goodbyes that were meant for another life.

use std::time::Duration;

use futures_util::future::join_all;
use landingvalve::graph::Life;
use landingvalve::graph::Speed;
use tokio::time::Instant;

use crate::cell::heartbeat;
use crate::cell::wait_for_running;
use crate::cell::FakeWorker;
use crate::ordered::start;
use crate::ordered::wait_until_known;
use crate::ordered::Agent;
use crate::ordered::Planner;
use crate::support::until;

/// How long a poll waits once the worker's speed is known.
const POLL_WAIT: Duration = Duration::from_millis(1000);
/// The time between the goodbyes of a test that runs through a whole poll.
const PHASE_STEP: Duration = Duration::from_millis(100);
/// The time within which the planner must hear of a worker that has left.
const LEFT_WITHIN: Duration = Duration::from_millis(1000);
/// The lease that agents give to workers in these tests.
const LEASE: Duration = Duration::from_secs(6);

/// A worker with one running task and its agent.
struct Running {
    planner: Planner,
    worker: FakeWorker,
    agent: Agent,
}

impl Running {
    /// Starts a task on a worker that answers polls as late as it may.
    async fn start(worker: FakeWorker) -> Running {
        let (planner, store) = Planner::new().await;
        worker.use_full_poll_waits();
        let agent = planner.agent(&store, &worker);
        agent.member.heartbeat(heartbeat(&worker, 1));
        planner.set_speed(Speed { log: 0.0, runs: 5 });
        wait_until_known(&planner).await;
        planner.order(&worker, vec![start(0)]);
        wait_for_running(&worker, 1).await;
        Running {
            planner,
            worker,
            agent,
        }
    }

    fn life(&self) -> Life {
        heartbeat(&self.worker, 0).life
    }

    /// Waits for the time after the begin of a poll that may wait for
    /// [`POLL_WAIT`].
    async fn wait_for_phase(&self, phase: Duration) {
        let before = self.worker.last_poll().map(|(at, _)| at);
        let next = || async {
            let (at, wait) = self.worker.last_poll()?;
            (Some(at) > before && wait == POLL_WAIT).then_some(at)
        };
        let at = until("a poll that waits", next).await;
        tokio::time::sleep_until(at + phase).await;
    }

    /// Waits until the life is reported as gone, at most until `deadline`.
    /// Returns whether it was.
    async fn is_gone_by(&self, deadline: Instant) -> bool {
        let mut interval = tokio::time::interval(Duration::from_millis(5));
        let life = self.life();
        loop {
            interval.tick().await;
            let gone = self.planner.gone().contains(&life);
            if gone || Instant::now() >= deadline {
                return gone;
            }
        }
    }
}

/// Guards against tasks that run twice. A goodbye of an earlier birth arrived
/// late and named the worker alone. The present birth answered all polls, but
/// each poll waited for longer than the agent waited for news of the birth,
/// which then counted as over. Whether that happened depended on the time from
/// the begin of a poll to the goodbye, so that the test tries all of them.
#[tokio::test]
async fn a_late_goodbye_in_any_phase_of_a_poll_ends_nothing() {
    let phases = POLL_WAIT.as_millis() / PHASE_STEP.as_millis();
    let phases = (0..phases as u32).map(|step| async move {
        let phase = PHASE_STEP * step;
        let running = Running::start(FakeWorker::with_births()).await;
        running.wait_for_phase(phase).await;
        running.agent.member.worker_left("life");
        let deadline = Instant::now() + POLL_WAIT * 3;
        let gone = running.is_gone_by(deadline).await;
        running.agent.kill();
        gone.then_some(phase)
    });
    let gone: Vec<Duration> =
        join_all(phases).await.into_iter().flatten().collect();
    assert!(
        gone.is_empty(),
        "reported as gone after goodbyes at {gone:?}"
    );
}

/// Guards against tasks that run twice. A goodbye that may be of an earlier
/// birth arrived while the worker was out of reach, and its silence counted as
/// an end although its leases had not run out.
#[tokio::test]
async fn a_worker_that_is_silent_after_a_goodbye_is_given_up_with_its_leases()
{
    let running = Running::start(FakeWorker::with_births()).await;
    running.wait_for_phase(Duration::ZERO).await;
    running.worker.set_mute(true);
    let silent_since = Instant::now();
    running.agent.member.worker_left("life");
    let early = running.is_gone_by(silent_since + LEASE / 2).await;
    assert!(!early, "its task may still run");
    let gone = running.is_gone_by(silent_since + LEASE * 2).await;
    assert!(gone, "its task never begins elsewhere");
    running.agent.kill();
}

#[tokio::test]
async fn a_worker_that_leaves_is_given_up_once_its_port_is_closed() {
    for until_closed in [0, 300, 1500].map(Duration::from_millis) {
        let running = Running::start(FakeWorker::with_births()).await;
        running.wait_for_phase(Duration::ZERO).await;
        running.agent.member.worker_left("life");
        tokio::time::sleep(until_closed).await;
        assert!(running.planner.gone().is_empty(), "it still answers");
        running.worker.close();
        let gone = running.is_gone_by(Instant::now() + LEFT_WITHIN).await;
        assert!(gone, "not after {until_closed:?}");
        running.agent.kill();
    }
}

/// Guards against tasks that never begin again. Another life answered the polls
/// of the one that had run them, and each of these answers put off the time at
/// which the former life counted as over.
#[tokio::test]
async fn a_life_in_whose_place_another_one_answers_is_given_up() {
    let running = Running::start(FakeWorker::new()).await;
    let life = running.life();
    running.worker.restart();
    let gone = || async {
        let gone = running.planner.gone().contains(&life);
        gone.then_some(())
    };
    until("the former life is reported as gone", gone).await;
    running.agent.kill();
}
