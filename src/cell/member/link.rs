//! Reports to the planner and receives its orders.

use std::time::Duration;

use tokio::time::Instant;

use crate::cell::claim;
use crate::cell::claim::Holder;
use crate::cell::connector::Peer;
use crate::cell::member::Member;
use crate::cell::pause;
use crate::cell::planner::REPORT_HOLD;
use crate::cell::rpc::Answer;
use crate::cell::worker::Worker;
use crate::clock::BootInstant;
use crate::log::excerpt;
use crate::store::Item;
use crate::store::Revision;
use crate::store::Store;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// The time for a report's answer beyond the planner's own wait.
const ANSWER_SLACK: Duration = Duration::from_millis(900);
/// The delay before the claim is looked up again.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The longest that a store call may take, beyond its requested wait.
const STORE_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long one watch call waits for a change of the claim.
const WATCH_WAIT: Duration = Duration::from_millis(600);
/// The longest back-off of a rejected agent: several tries fit into the time
/// that tasks survive without a planner.
const MAX_BACK_OFF: Duration = Duration::from_secs(3);
/// The time for which changes are collected into one report.
const REPORT_DELAY: Duration = Duration::from_millis(5);

impl<W: Worker, S: Store> Member<W, S> {
    /// Reports to the holder of the claim. Never returns.
    pub(super) async fn follow_planner(&self) {
        let mut claims = claim::Watch::new(WATCH_WAIT);
        let mut rejections = 0;
        let mut failed = None;
        loop {
            let until = Instant::now() + back_off(rejections);
            let (holder, revision) =
                self.next_claim(&mut claims, failed, until).await;
            let planner = holder.recipient();
            match self.0.config.connector.connect(&planner).await {
                Ok(client) => {
                    rejections = 0;
                    slog::info!(self.0.config.log,
                        "agent: connected to a planner";
                        "planner" => &holder.process, "claim" => revision);
                    self.learn_token(revision);
                    self.report_to(&*client, revision).await;
                    slog::info!(self.0.config.log,
                        "agent: disconnected from a planner";
                        "planner" => &holder.process, "claim" => revision);
                }
                Err(error) => {
                    rejections = match error.is_rejected() {
                        true => rejections + 1,
                        false => 0,
                    };
                    slog::warn!(self.0.config.log,
                        "agent: could not connect to the planner";
                        "error" => %error, "turned_away" => rejections);
                }
            }
            failed = Some((holder, revision));
            pause(RETRY_DELAY / 3).await;
        }
    }

    /// Waits for a claim whose holder may be connected to: another one than
    /// that of `failed`, or the same again after one watch call and not before
    /// `until`.
    async fn next_claim(
        &self,
        claims: &mut claim::Watch,
        mut failed: Option<(Holder, Revision)>,
        until: Instant,
    ) -> (Holder, Revision) {
        loop {
            let event = claims.next(&self.0.store);
            let event =
                tokio::time::timeout(WATCH_WAIT + STORE_TIMEOUT, event);
            match event.await {
                Ok(Ok(claim::Event::Replaced(item))) => {
                    failed = None;
                    match claim::decode(&item) {
                        Ok(holder) => return (holder, item.modified),
                        Err(error) => self.log_odd_claim(&item, &error),
                    }
                }
                Ok(Ok(claim::Event::Free)) => failed = None,
                Ok(Ok(claim::Event::Same)) => {}
                Ok(Err(_)) | Err(_) => pause(RETRY_DELAY).await,
            }
            if let Some(claim) = failed.take_if(|_| Instant::now() >= until) {
                return claim;
            }
        }
    }

    /// Logs a claim that names no planner.
    fn log_odd_claim(&self, item: &Item, error: &serde_json::Error) {
        metrics::get().strange.add(1, &[label("what", "claim")]);
        if self.0.odd_claims.try_acquire() {
            slog::warn!(self.0.config.log, "agent: a claim cannot be read";
                "revision" => item.modified, "error" => excerpt(error),
                "left_out" => self.0.odd_claims.take_suppressed());
        }
    }

    /// Records a claim's fencing token. An agent that has just started knows
    /// none, and a worker that has seen a token lists nothing without one.
    fn learn_token(&self, token: Revision) {
        let mut state = self.lock();
        if token > state.token {
            state.token = token;
            self.0.poll_now.notify_one();
        }
    }

    /// Reports until the planner does not answer, or no longer is the planner.
    async fn report_to(&self, client: &dyn Peer, token: Revision) {
        loop {
            let sent = BootInstant::now();
            let report = {
                let mut state = self.lock();
                if state.highest_fenced >= token {
                    return;
                }
                state.report(&self.0.config, Instant::now())
            };
            let sequence = report.sequence;
            let sync = client.sync(report);
            let answer = tokio::select! {
                biased;
                answer = tokio::time::timeout(
                    REPORT_HOLD + ANSWER_SLACK,
                    sync,
                ) => answer,
                () = self.0.report_now.notified() => {
                    tokio::time::sleep(REPORT_DELAY).await;
                    continue;
                }
            };
            match answer {
                Ok(Ok(Answer::Orders {
                    token,
                    granted,
                    orders,
                })) => {
                    let until = sent + self.0.config.survival;
                    let until = granted.then_some(until);
                    self.lock().mark_received(sequence);
                    self.apply_orders(token, until, orders);
                }
                Ok(Ok(Answer::NotPlanner)) | Ok(Err(_)) | Err(_) => return,
            }
        }
    }

    fn apply_orders(
        &self,
        token: Revision,
        granted: Option<BootInstant>,
        orders: crate::graph::Orders,
    ) {
        let paces = orders.paces.clone();
        let due = {
            let mut state = self.lock();
            let acknowledged = |state: &super::state::State| {
                state.worker.as_ref().map(|view| view.acknowledged)
            };
            let before = acknowledged(&state);
            let due = state.take_orders(token, granted, orders);
            if acknowledged(&state) != before {
                self.0.poll_now.notify_one();
            }
            due
        };
        for key in due {
            self.carry_out(key);
        }
        for pace in paces {
            self.set_pace(pace);
        }
    }
}

/// Returns how long to wait before the next try after this many rejections in
/// a row. The wait doubles each time, with jitter.
fn back_off(rejections: u32) -> Duration {
    let Some(doublings) = rejections.checked_sub(1) else {
        return Duration::ZERO;
    };
    let max_delay =
        (RETRY_DELAY * 2).saturating_mul(2u32.saturating_pow(doublings));
    max_delay
        .min(MAX_BACK_OFF)
        .mul_f64(0.5 + fastrand::f64() / 2.0)
}
