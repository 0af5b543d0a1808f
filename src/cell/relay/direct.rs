//! Whether the store answers this process directly.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::cell::keys;
use crate::cell::pause;
use crate::store::Store;

/// The longest that a probe may take: twice the slowest answers observed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// The least delay between two probes; up to as much again is added as jitter.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// The consecutive calls refused for the store's rate limit from which the
/// direct path counts as unusable. A single refusal is expected when all
/// processes together call too often.
const MAX_THROTTLED_IN_A_ROW: u32 = 2;

/// The state of the direct path to the store.
#[derive(Clone, Debug)]
pub(super) struct Path {
    usable: watch::Sender<bool>,
    throttled: Arc<AtomicU32>,
    log: slog::Logger,
}

impl Path {
    /// Returns a path that counts as usable until a call fails.
    pub fn new(log: slog::Logger) -> Path {
        Path {
            usable: watch::Sender::new(true),
            throttled: Arc::default(),
            log,
        }
    }

    /// Returns whether the path is usable, as far as calls have shown.
    pub fn is_usable(&self) -> bool {
        *self.usable.borrow()
    }

    /// Waits until the path is not usable.
    pub async fn wait_unusable(&self) {
        let mut usable = self.usable.subscribe();
        // The channel cannot close: this value holds its sender.
        let _ = usable.wait_for(|usable| !usable).await;
    }

    /// Records that a call was answered.
    pub fn on_answer(&self) {
        self.throttled.store(0, Ordering::Relaxed);
    }

    /// Records that a call was refused for the store's rate limit. Returns
    /// whether the limit of consecutive refusals is reached.
    pub fn on_throttled(&self) -> bool {
        self.throttled.fetch_add(1, Ordering::Relaxed) + 1
            >= MAX_THROTTLED_IN_A_ROW
    }

    /// Marks the path as unusable until a probe is answered.
    pub fn mark_unusable(&self, store: &impl Store, why: &str) {
        if !self.usable.send_replace(false) {
            return;
        }
        slog::warn!(self.log,
            "store: the direct path is unusable"; "why" => why);
        let (path, store) = (self.clone(), store.clone());
        tokio::spawn(async move { path.probe(&store).await });
    }

    async fn probe(&self, store: &impl Store) {
        loop {
            pause(PROBE_INTERVAL).await;
            let probe =
                tokio::time::timeout(PROBE_TIMEOUT, store.get(keys::CLAIM));
            if let Ok(Ok(_)) = probe.await {
                break;
            }
        }
        self.on_answer();
        self.usable.send_replace(true);
        slog::info!(self.log, "store: the direct path is usable again");
    }
}
