//! Saves the listed ends in the store while no planner is reached.
//!
//! A planner that receives no reports of an agent for a long time starts the
//! agent's runs elsewhere. Runs that ended here meanwhile must not be repeated,
//! so their ends are saved in the store, which the planner reads first.

use std::time::Duration;

use tokio::time::Instant;

use crate::cell::keys;
use crate::cell::member::Member;
use crate::cell::worker::Worker;
use crate::graph::Ended;
use crate::graph::Life;
use crate::graph::Report;
use crate::store::Compare;
use crate::store::Mutation;
use crate::store::Revision;
use crate::store::Store;
use crate::store::Swap;

/// How often the agent checks for ends to save while no planner answers. Well
/// below the 0.8 s between the end of the last lease and the planner's read.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The longest sleep before the agent checks whether saving is due.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The lease of a saved report: many times as long as a planner waits before
/// its read, but limited, for an agent that is removed without a successor.
const SAVED_TTL: Duration = Duration::from_secs(120);
/// The share of the survival time without a planner after which ends are
/// saved: longer than another process needs to claim.
const UNREACHED_SHARE: f64 = 1.0 / 3.0;

/// The report that was saved last.
#[derive(Debug, Default)]
struct Saved {
    /// The lives in the saved report, with the highest end of each; empty if
    /// nothing is saved.
    ends: Vec<(Life, u64)>,
    /// The last known revision of the key.
    revision: Revision,
}

impl<W: Worker, S: Store> Member<W, S> {
    /// Saves ends in the store while no planner is reached. Never returns.
    pub(super) async fn save_ends(&self) {
        let unreached = self.0.config.survival.mul_f64(UNREACHED_SHARE);
        let mut saved = Saved::default();
        loop {
            let now = Instant::now();
            let due = self.lock().last_planner_answer + unreached;
            if !due.is_future() {
                let report = self.lock().report(&self.0.config, now);
                self.save(report, &mut saved).await;
                tokio::time::sleep(CHECK_INTERVAL).await;
            } else if !saved.ends.is_empty() {
                self.clear(&mut saved).await;
                tokio::time::sleep(CHECK_INTERVAL).await;
            } else {
                // Timers stop while the machine is suspended, so the sleep is
                // bounded.
                tokio::time::sleep(due.remaining().min(MAX_CHECK_INTERVAL))
                    .await;
            }
        }
    }

    /// Saves a report, if it lists an end that is not saved yet.
    async fn save(&self, report: Report, saved: &mut Saved) {
        let ends = ends(&report);
        if ends.is_empty() || saved.ends == ends {
            return;
        }
        let value = match serde_json::to_vec(&report) {
            Ok(value) => value,
            Err(error) => {
                slog::error!(self.0.config.log,
                    "agent: a report cannot be encoded"; "error" => %error);
                return;
            }
        };
        let lease = match self.0.store.grant(SAVED_TTL).await {
            Ok(lease) => lease,
            Err(error) => {
                slog::debug!(self.0.config.log,
                    "agent: ends could not be saved"; "error" => %error);
                return;
            }
        };
        let put = |key| Mutation::Value(key, value, lease);
        if self.swap(put, saved).await {
            slog::info!(self.0.config.log,
                "agent: no planner is reachable; ends are saved in the store";
                "ends" => ?ends);
            saved.ends = ends;
        }
    }

    /// Removes the saved report, once a planner has received the ends.
    async fn clear(&self, saved: &mut Saved) {
        if self.swap(Mutation::Delete, saved).await {
            saved.ends.clear();
        }
    }

    /// Changes the key, and returns whether that succeeded. Each change is
    /// conditioned on the previous one, so that a delayed write of an earlier
    /// call undoes nothing.
    async fn swap(
        &self,
        put: impl FnOnce(String) -> Mutation,
        saved: &mut Saved,
    ) -> bool {
        let key = keys::report(&self.0.config.agent);
        let condition = Compare::Modified(key.clone(), saved.revision);
        let put = put(key);
        let removes = matches!(put, Mutation::Delete(_));
        match self.0.store.swap(&[condition], vec![put]).await {
            Ok(Swap::Written(revision)) => {
                saved.revision = if removes { 0 } else { revision };
                true
            }
            Ok(Swap::Refused(items)) => {
                saved.revision = items.first().map_or(0, |i| i.modified);
                false
            }
            Err(error) => {
                slog::debug!(self.0.config.log,
                    "agent: ends could not be saved"; "error" => %error);
                false
            }
        }
    }
}

/// Returns the highest end in a report for each life.
fn ends(report: &Report) -> Vec<(Life, u64)> {
    let highest = |life: &Life, ended: &[Ended]| {
        let last = ended.iter().map(|end| end.number).max()?;
        Some((life.clone(), last))
    };
    let before = report.before.as_ref();
    let before = before.and_then(|b| highest(&b.life, &b.ended));
    let worker = report.worker.as_ref();
    let worker = worker.and_then(|w| highest(&w.life, &w.lists.ended));
    before.into_iter().chain(worker).collect()
}
