//! Keeping what the worker lists where no planner is reached.
//!
//! A planner that hears nothing of an agent for long begins its tasks
//! elsewhere. What is done here meanwhile must not be done again, so it is
//! kept in the store, where that planner looks first.

use std::time::Duration;

use tokio::time::Instant;

use crate::cell::keys;
use crate::cell::member::Member;
use crate::cell::worker::Worker;
use crate::graph::Ended;
use crate::graph::Life;
use crate::graph::Report;
use crate::store::Compare;
use crate::store::Put;
use crate::store::Revision;
use crate::store::Store;
use crate::store::Swap;

/// How often, while no planner answers, it is looked whether something must
/// be kept. Well below the time between the end of the last lease and the
/// planner's look: 0.8 s.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long is waited at most before it is looked whether that is due.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long ends are kept: many times as long as a planner waits before it
/// looks, and not for ever where an agent goes and none comes in its place.
const SAVED_TTL: Duration = Duration::from_secs(120);
/// The share of the survival without a planner after which ends are kept:
/// longer than it takes another to claim.
const UNREACHED_SHARE: f64 = 1.0 / 3.0;

/// What was kept last.
#[derive(Debug, Default)]
struct Saved {
    /// The lives that it is of, and the highest end of each; none if nothing
    /// is kept.
    ends: Vec<(Life, u64)>,
    /// The revision of the key, as far as it is known.
    revision: Revision,
}

impl<W: Worker, S: Store> Member<W, S> {
    /// Keeps ends in the store while no planner is reached, for ever.
    pub(super) async fn save_ends(&self) {
        let unreached = self.0.config.survival.mul_f64(UNREACHED_SHARE);
        let mut saved = Saved::default();
        loop {
            let now = Instant::now();
            let due = self.lock().last_planner_answer + unreached;
            if !due.is_ahead() {
                let report = self.lock().report(&self.0.config, now);
                self.save(report, &mut saved).await;
                tokio::time::sleep(CHECK_INTERVAL).await;
            } else if !saved.ends.is_empty() {
                self.clear(&mut saved).await;
                tokio::time::sleep(CHECK_INTERVAL).await;
            } else {
                // A timer stands still while the machine is suspended.
                tokio::time::sleep(due.left().min(MAX_CHECK_INTERVAL)).await;
            }
        }
    }

    /// Keeps a report, if it lists an end that is not kept yet.
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
                    "agent: ends are not kept"; "error" => %error);
                return;
            }
        };
        let put = |key| Put::Value(key, value, lease);
        if self.swap(put, saved).await {
            slog::info!(self.0.config.log,
                "agent: ends are kept, no planner is reached";
                "ends" => ?ends);
            saved.ends = ends;
        }
    }

    /// Removes what is kept, once a planner has heard it.
    async fn clear(&self, saved: &mut Saved) {
        if self.swap(Put::Delete, saved).await {
            saved.ends.clear();
        }
    }

    /// Changes the key; returns whether that was done. Each change names the
    /// one before, so that a late one of an earlier call undoes nothing.
    async fn swap(
        &self,
        put: impl FnOnce(String) -> Put,
        saved: &mut Saved,
    ) -> bool {
        let key = keys::report(&self.0.config.agent);
        let condition = Compare::Modified(key.clone(), saved.revision);
        let put = put(key);
        let removes = matches!(put, Put::Delete(_));
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
                    "agent: ends are not kept"; "error" => %error);
                false
            }
        }
    }
}

/// Returns the highest end that a report tells of each life.
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
