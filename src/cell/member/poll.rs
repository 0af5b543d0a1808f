//! Polls the worker: extends its lease and reads which runs it lists.

use std::time::Duration;

use tokio::time::Instant;

use crate::cell::member::state::Poll;
use crate::cell::member::view::CONFIRMATION_LIFETIME;
use crate::cell::member::view::SILENCE_LIMIT;
use crate::cell::member::Member;
use crate::cell::pause;
use crate::cell::worker::Error;
use crate::cell::worker::Snapshot;
use crate::cell::worker::Worker;
use crate::store::Store;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// How long a poll waits for a run to end.
const POLL_WAIT: Duration = Duration::from_millis(1000);
/// The same while the planner does not know the worker's speed and something
/// runs there: urgent runs of two seconds would end before two polls have shown
/// how fast they are.
const FREQUENT_POLL_WAIT: Duration = Duration::from_millis(300);
/// The time for a poll's answer beyond its wait.
const ANSWER_SLACK: Duration = Duration::from_millis(600);
/// The delay before a failed poll is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// The delay between polls while unacknowledged ends are listed, because such
/// a poll returns at once.
const UNACKNOWLEDGED_DELAY: Duration = Duration::from_millis(100);

// Without the next answer, a life would stop being confirmed, or would count as
// silent, while its worker answers every poll.
const _: () = {
    let longest_poll = POLL_WAIT.as_millis() + ANSWER_SLACK.as_millis();
    assert!(longest_poll < CONFIRMATION_LIFETIME.as_millis());
    assert!(POLL_WAIT.as_millis() < SILENCE_LIMIT.as_millis());
    assert!(FREQUENT_POLL_WAIT.as_millis() < POLL_WAIT.as_millis());
};

impl<W: Worker, S: Store> Member<W, S> {
    /// Polls the worker. Never returns.
    pub(super) async fn poll_worker(&self) {
        let mut wait = Duration::ZERO;
        loop {
            let now = Instant::now();
            let poll = self.lock().next_poll(self.0.config.lease, now);
            let Some(poll) = poll else {
                self.0.poll_now.notified().await;
                continue;
            };
            if let Some(lease_until) = poll.lease_until {
                let mut state = self.lock();
                if let Some(view) = &mut state.worker {
                    view.leased_until =
                        view.leased_until.max(Some(lease_until));
                }
            }
            let answer = self.0.worker.poll(
                &poll.call,
                poll.acknowledged,
                poll.expires,
                wait,
            );
            let answer = tokio::time::timeout(wait + ANSWER_SLACK, answer);
            let answer = tokio::select! {
                biased;
                answer = answer => answer,
                () = self.0.poll_now.notified() => {
                    wait = Duration::ZERO;
                    continue;
                }
            };
            wait = match answer {
                Ok(Ok(snapshot)) => self.poll_answered(&poll, snapshot).await,
                Ok(Err(error)) => self.poll_failed(&poll, error).await,
                Err(_) => {
                    let error = Error::Lost("not in time".to_owned());
                    self.poll_failed(&poll, error).await
                }
            };
        }
    }

    /// Applies a poll's answer. Returns how long the next poll may wait.
    async fn poll_answered(
        &self,
        poll: &Poll,
        snapshot: Snapshot,
    ) -> Duration {
        if poll.call.life.is_other_life(snapshot.birth) {
            slog::warn!(self.0.config.log,
                "agent: the worker has restarted under its name";
                "life" => &*poll.call.life, "born" => snapshot.birth);
        }
        let unacknowledged = snapshot
            .lists
            .ended
            .iter()
            .any(|e| e.number > poll.acknowledged);
        count_poll("answered");
        if self.lock().poll_answered(poll, snapshot, Instant::now()) {
            self.0.report_now.notify_one();
        }
        if !unacknowledged {
            return match self.lock().polls_frequently() {
                true => FREQUENT_POLL_WAIT,
                false => POLL_WAIT,
            };
        }
        if self.lock().has_acknowledgeable_end(poll.acknowledged) {
            // The next poll is sent at once, because only now is it known
            // which birth will receive the acknowledgement.
            return Duration::ZERO;
        }
        tokio::select! {
            biased;
            () = tokio::time::sleep(UNACKNOWLEDGED_DELAY) => {}
            () = self.0.poll_now.notified() => {}
        }
        Duration::ZERO
    }

    async fn poll_failed(&self, poll: &Poll, error: Error) -> Duration {
        count_poll(match &error {
            Error::Lost(_) | Error::Unreached(_) | Error::Down(_) => {
                "no answer"
            }
            _ => "turned away",
        });
        match &error {
            Error::Fenced => self.record_fenced(poll.call.token),
            error => slog::debug!(self.0.config.log,
                "agent: a poll of the worker failed"; "error" => %error),
        }
        let now = Instant::now();
        let down = matches!(error, Error::Down(_));
        let unreached = matches!(error, Error::Lost(_) | Error::Unreached(_));
        if matches!(error, Error::OtherLife) {
            self.life_replaced(&poll.call.life);
        } else if !down && !unreached {
            // An error other than silence still shows that the worker is
            // alive.
            self.lock().mark_alive(&poll.call.life, now);
        } else if self.lock().poll_failed(poll, down, now) {
            slog::warn!(self.0.config.log,
                "agent: the worker does not answer"; "error" => %error,
                "down" => down, "life" => &*poll.call.life);
            self.0.report_now.notify_one();
        }
        pause(RETRY_DELAY).await;
        Duration::ZERO
    }
}

fn count_poll(outcome: &'static str) {
    metrics::get().looks.add(1, &[label("outcome", outcome)]);
}
