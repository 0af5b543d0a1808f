//! Whether the store answers this process directly.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::cell::keys;
use crate::cell::pause;
use crate::store::Store;

/// The longest that a probe may take: twice the slowest answers observed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// The least delay before the first probe; up to as much again is added as
/// jitter. The delay doubles with each probe, because other entries make the
/// calls meanwhile and a refused probe costs as much as any call.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// The most that the delay grows to.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(800);
/// The consecutive calls refused for the store's rate limit from which the
/// direct path counts as unusable. A single refusal is expected when all
/// processes together call too often.
const MAX_THROTTLED_IN_A_ROW: u32 = 2;

/// The state of the direct path to the store.
#[derive(Clone, Debug)]
pub(super) struct Path {
    usable: Arc<AtomicBool>,
    /// Notified when the path is found unusable. A notification wakes its
    /// waiters in order, so that simulations repeat.
    lost: Arc<Notify>,
    throttled: Arc<AtomicU32>,
    log: slog::Logger,
}

impl Path {
    /// Returns a path that counts as usable until a call fails.
    pub fn new(log: slog::Logger) -> Path {
        Path {
            usable: Arc::new(AtomicBool::new(true)),
            lost: Arc::default(),
            throttled: Arc::default(),
            log,
        }
    }

    /// Returns whether the path is usable, as far as calls have shown.
    pub fn is_usable(&self) -> bool {
        self.usable.load(Ordering::Relaxed)
    }

    /// Waits until the path is not usable.
    pub async fn wait_unusable(&self) {
        let mut lost = std::pin::pin!(self.lost.notified());
        lost.as_mut().enable();
        if self.is_usable() {
            lost.await;
        }
    }

    /// Records that a call was answered: the path is usable.
    pub fn on_answer(&self) {
        self.throttled.store(0, Ordering::Relaxed);
        if !self.usable.swap(true, Ordering::Relaxed) {
            slog::info!(self.log, "store: the direct path is usable again");
        }
    }

    /// Records that a call was refused for the store's rate limit. Returns
    /// whether the limit of consecutive refusals is reached.
    pub fn on_throttled(&self) -> bool {
        self.throttled.fetch_add(1, Ordering::Relaxed) + 1
            >= MAX_THROTTLED_IN_A_ROW
    }

    /// Marks the path as unusable until a probe is answered.
    pub fn mark_unusable(&self, store: &impl Store, why: &str) {
        if !self.usable.swap(false, Ordering::Relaxed) {
            return;
        }
        self.lost.notify_waiters();
        slog::warn!(self.log,
            "store: the direct path is unusable"; "why" => why);
        let (path, store) = (self.clone(), store.clone());
        tokio::spawn(async move { path.probe(&store).await });
    }

    async fn probe(&self, store: &impl Store) {
        let mut interval = PROBE_INTERVAL;
        while !self.is_usable() {
            pause(interval).await;
            interval = MAX_PROBE_INTERVAL.min(interval * 2);
            let probe =
                tokio::time::timeout(PROBE_TIMEOUT, store.get(keys::CLAIM));
            if let Ok(Ok(_)) = probe.await {
                self.on_answer();
            }
        }
    }
}
