//! Looking after the worker: its lease, and what it lists.

use std::time::Duration;

use tokio::time::Instant;

use crate::cell::member::state::Plan;
use crate::cell::member::Member;
use crate::cell::pause;
use crate::cell::worker::Error;
use crate::cell::worker::Look;
use crate::cell::worker::Worker;
use crate::store::Store;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// How long a look waits for an end.
const WAIT: Duration = Duration::from_millis(1000);
/// How much longer than that its answer may take.
const ANSWER: Duration = Duration::from_millis(600);
/// How long is waited after a look that failed.
const AGAIN: Duration = Duration::from_millis(120);
/// How long is waited while ends are listed that are not acknowledged yet:
/// until then a look returns at once.
const UNNOTED: Duration = Duration::from_millis(100);

impl<W: Worker, S: Store> Member<W, S> {
    /// Looks at the worker, for ever.
    pub(super) async fn watch_worker(&self) {
        let mut wait = Duration::ZERO;
        loop {
            let now = Instant::now();
            let plan = self.lock().plan(self.0.config.lease, now);
            let Some(plan) = plan else {
                self.0.look.notified().await;
                continue;
            };
            if let Some(target) = plan.target {
                let mut state = self.lock();
                if let Some(known) = &mut state.worker {
                    known.leased = known.leased.max(Some(target));
                }
            }
            let look =
                self.0
                    .worker
                    .look(&plan.call, plan.noted, plan.expires, wait);
            let look = tokio::time::timeout(wait + ANSWER, look);
            let answer = tokio::select! {
                biased;
                answer = look => answer,
                () = self.0.look.notified() => {
                    wait = Duration::ZERO;
                    continue;
                }
            };
            wait = match answer {
                Ok(Ok(look)) => self.looked(&plan, look).await,
                Ok(Err(error)) => self.unlooked(&plan, error).await,
                Err(_) => {
                    let error = Error::Lost("not in time".to_owned());
                    self.unlooked(&plan, error).await
                }
            };
        }
    }

    /// Returns how long the next look may wait.
    async fn looked(&self, plan: &Plan, look: Look) -> Duration {
        if plan.call.life.is_other_life(look.born) {
            slog::warn!(self.0.config.log,
                "agent: the worker has started again under its name";
                "life" => &*plan.call.life, "born" => look.born);
        }
        let unnoted = look.lists.ended.iter().any(|e| e.number > plan.noted);
        count("answered");
        if self.lock().looked(plan, look, Instant::now()) {
            self.0.news.notify_one();
        }
        if !unnoted {
            return WAIT;
        }
        if self.lock().is_noted(plan.noted) {
            // At once: it is only now known which birth would forget them.
            return Duration::ZERO;
        }
        tokio::select! {
            biased;
            () = tokio::time::sleep(UNNOTED) => {}
            () = self.0.look.notified() => {}
        }
        Duration::ZERO
    }

    async fn unlooked(&self, plan: &Plan, error: Error) -> Duration {
        count(match &error {
            Error::Lost(_) | Error::Unreached(_) | Error::Down(_) => {
                "no answer"
            }
            _ => "turned away",
        });
        match &error {
            Error::Fenced => self.fenced(plan.call.token),
            error => slog::debug!(self.0.config.log,
                "agent: a look has failed"; "error" => %error),
        }
        let now = Instant::now();
        let down = matches!(error, Error::Down(_));
        let unreached = matches!(error, Error::Lost(_) | Error::Unreached(_));
        if matches!(error, Error::OtherLife) {
            self.life_left(&plan.call.life, false);
        } else if !down && !unreached {
            // Whatever it says, the worker lives.
            let mut state = self.lock();
            if let Some(known) = &mut state.worker {
                known.shows_life(now);
            }
        } else if self.lock().unanswered(down, now) {
            slog::warn!(self.0.config.log,
                "agent: the worker does not answer"; "error" => %error,
                "down" => down, "life" => &*plan.call.life);
            self.0.news.notify_one();
        }
        pause(AGAIN).await;
        Duration::ZERO
    }
}

fn count(outcome: &'static str) {
    metrics::get().looks.add(1, &[label("outcome", outcome)]);
}
