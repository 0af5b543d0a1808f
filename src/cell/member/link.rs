//! Speaking with the planner.

use std::time::Duration;

use tokio::time::Instant;

use crate::cell::claim::Holder;
use crate::cell::dial::Peer;
use crate::cell::keys;
use crate::cell::member::Member;
use crate::cell::pause;
use crate::cell::planner::HOLD;
use crate::cell::rpc::Answer;
use crate::cell::worker::Worker;
use crate::clock::BootInstant;
use crate::store::Change;
use crate::store::Item;
use crate::store::Revision;
use crate::store::Store;

/// How much longer than a planner holds a report its answer may take.
const ANSWER: Duration = Duration::from_millis(900);
/// How long is waited before the claim is looked up again.
const AGAIN: Duration = Duration::from_millis(150);
/// How long a call of the store may take.
const CALL: Duration = Duration::from_millis(1200);
/// How long one call for a change of the claim waits.
const WATCH: Duration = Duration::from_millis(600);
/// The longest that an agent waits that is turned away: several tries fall
/// within the survival without a planner.
const LONGEST: Duration = Duration::from_secs(3);
/// News that come this close together go in one report.
const GATHER: Duration = Duration::from_millis(5);

impl<W: Worker, S: Store> Member<W, S> {
    /// Reports to whoever holds the claim, for ever.
    pub(super) async fn follow_planner(&self) {
        let mut failed = 0;
        let mut turned_away = 0;
        loop {
            let (holder, revision) = self.holder().await;
            let Some(holder) = holder.filter(|_| revision != failed) else {
                let until = Instant::now() + back_off(turned_away);
                self.wait_for_claim(revision, until).await;
                failed = 0;
                continue;
            };
            match self.0.config.dial.dial(&holder.address).await {
                Ok(client) => {
                    turned_away = 0;
                    slog::info!(self.0.config.log,
                        "agent: reports to a planner";
                        "planner" => &holder.process, "claim" => revision);
                    self.learn(revision);
                    self.report_to(&*client, revision).await;
                    slog::info!(self.0.config.log,
                        "agent: has left a planner";
                        "planner" => &holder.process, "claim" => revision);
                }
                Err(error) => {
                    turned_away = match error.is_rejected() {
                        true => turned_away + 1,
                        false => 0,
                    };
                    slog::warn!(self.0.config.log,
                        "agent: a planner is not reached";
                        "error" => %error, "turned_away" => turned_away);
                }
            }
            // Whoever claims next is waited for, for a while.
            failed = revision;
            pause(AGAIN / 3).await;
        }
    }

    /// Looks up who holds the claim, and the revision of that.
    async fn holder(&self) -> (Option<Holder>, Revision) {
        loop {
            let get = self.0.store.get(keys::PLANNER);
            match tokio::time::timeout(CALL, get).await {
                Ok(Ok(Some(item))) => return (decode(&item), item.modified),
                Ok(Ok(None)) => return (None, 0),
                Ok(Err(_)) | Err(_) => pause(AGAIN).await,
            }
        }
    }

    /// Waits for another claim than that of `revision`, for a while, and at
    /// least until `until`.
    async fn wait_for_claim(&self, revision: Revision, until: Instant) {
        if revision == 0 {
            pause(AGAIN).await;
            return;
        }
        loop {
            let changes = self.0.store.changes(keys::PLANNER, revision, WATCH);
            match tokio::time::timeout(WATCH + CALL, changes).await {
                Ok(Ok(changes)) => {
                    let gone = changes
                        .changes
                        .iter()
                        .all(|change| matches!(change, Change::Deleted(..)));
                    if gone {
                        pause(AGAIN / 3).await;
                    }
                    if !changes.changes.is_empty() {
                        return;
                    }
                }
                Ok(Err(_)) | Err(_) => pause(AGAIN).await,
            }
            if Instant::now() >= until {
                return;
            }
        }
    }

    /// Learns a claim's fencing token, without which a worker that has seen
    /// one shows nothing: an agent that has just started knows none.
    fn learn(&self, token: Revision) {
        let mut state = self.lock();
        if token > state.token {
            state.token = token;
            self.0.look.notify_one();
        }
    }

    /// Reports until the planner does not answer or is none any more.
    async fn report_to(&self, client: &dyn Peer, token: Revision) {
        loop {
            let sent = BootInstant::now();
            let report = {
                let mut state = self.lock();
                if state.fenced >= token {
                    return;
                }
                state.report(&self.0.config, Instant::now())
            };
            let sync = client.sync(report);
            let answer = tokio::select! {
                biased;
                answer = tokio::time::timeout(HOLD + ANSWER, sync) => answer,
                () = self.0.news.notified() => {
                    tokio::time::sleep(GATHER).await;
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
                    self.take(token, until, orders);
                }
                Ok(Ok(Answer::NotPlanner)) | Ok(Err(_)) | Err(_) => return,
            }
        }
    }

    fn take(
        &self,
        token: Revision,
        granted: Option<BootInstant>,
        orders: crate::graph::Orders,
    ) {
        let paces = orders.paces.clone();
        let due = {
            let mut state = self.lock();
            let noted = |state: &super::state::State| {
                state.worker.as_ref().map(|known| known.noted)
            };
            let before = noted(&state);
            let due = state.orders(token, granted, orders);
            if noted(&state) != before {
                self.0.look.notify_one();
            }
            due
        };
        for key in due {
            self.act(key);
        }
        for pace in paces {
            self.set_pace(pace);
        }
    }
}

/// Returns how long a planner is left alone that has turned this agent away
/// so many times in a row: longer each time, and not the same for all.
fn back_off(turned_away: u32) -> Duration {
    let Some(doublings) = turned_away.checked_sub(1) else {
        return Duration::ZERO;
    };
    let most = (AGAIN * 2).saturating_mul(2u32.saturating_pow(doublings));
    most.min(LONGEST).mul_f64(0.5 + fastrand::f64() / 2.0)
}

fn decode(item: &Item) -> Option<Holder> {
    serde_json::from_slice(&item.value).ok()
}
