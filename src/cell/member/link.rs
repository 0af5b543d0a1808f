//! Speaking with the planner.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::ws_client::WsClient;
use tokio::time::Instant;

use crate::cell::claim::Holder;
use crate::cell::keys;
use crate::cell::member::Member;
use crate::cell::pause;
use crate::cell::planner::HOLD;
use crate::cell::rpc::Answer;
use crate::cell::rpc::CellClient;
use crate::cell::worker::Worker;
use crate::store::Change;
use crate::store::Item;
use crate::store::Revision;
use crate::store::Store;
use crate::wire::link;

/// How much longer than a planner holds a report its answer may take.
const ANSWER: Duration = Duration::from_millis(900);
/// How long is waited before the claim is looked up again.
const AGAIN: Duration = Duration::from_millis(150);
/// How long a call of the store may take.
const CALL: Duration = Duration::from_millis(1200);
/// How long one call for a change of the claim waits.
const WATCH: Duration = Duration::from_millis(600);
/// News that come this close together go in one report.
const GATHER: Duration = Duration::from_millis(5);

impl<W: Worker, S: Store> Member<W, S> {
    /// Reports to whoever holds the claim, for ever.
    pub(super) async fn follow_planner(&self) {
        let mut failed = 0;
        loop {
            let (holder, revision) = self.holder().await;
            let Some(holder) = holder.filter(|_| revision != failed) else {
                self.wait_for_claim(revision).await;
                failed = 0;
                continue;
            };
            match link::connect(&holder.address).await {
                Ok(client) => {
                    slog::info!(self.0.config.log,
                        "agent: reports to a planner";
                        "planner" => &holder.process, "claim" => revision);
                    self.learn(revision);
                    self.report_to(&client, revision).await;
                    slog::info!(self.0.config.log,
                        "agent: has left a planner";
                        "planner" => &holder.process, "claim" => revision);
                }
                Err(error) => slog::warn!(self.0.config.log,
                    "agent: a planner is not reached";
                    "error" => %error),
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

    async fn wait_for_claim(&self, revision: Revision) {
        if revision == 0 {
            pause(AGAIN).await;
            return;
        }
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
            }
            Ok(Err(_)) | Err(_) => pause(AGAIN).await,
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
    async fn report_to(&self, client: &Arc<WsClient>, token: Revision) {
        loop {
            let sent = Instant::now();
            let report = {
                let mut state = self.lock();
                if state.fenced >= token {
                    return;
                }
                state.report(&self.0.config, sent)
            };
            let sync = client.sync(report);
            let answer = tokio::select! {
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
        granted: Option<Instant>,
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

fn decode(item: &Item) -> Option<Holder> {
    serde_json::from_slice(&item.value).ok()
}
