//! Whether the store answers this process directly.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use crate::cell::keys;
use crate::cell::pause;
use crate::store::Store;

/// How long a look may take: twice the slowest answers seen.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long is waited between two looks, with jitter.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// How many calls in a row are refused for their rate before that is taken
/// for a way that is closed: one may be, where all together call too often.
const MAX_THROTTLED_IN_A_ROW: u32 = 2;

/// The direct way to the store.
#[derive(Clone, Debug)]
pub(super) struct Path {
    usable: Arc<AtomicBool>,
    throttled: Arc<AtomicU32>,
    log: slog::Logger,
}

impl Path {
    /// Returns a way that nothing speaks against yet.
    pub fn new(log: slog::Logger) -> Path {
        Path {
            usable: Arc::new(AtomicBool::new(true)),
            throttled: Arc::default(),
            log,
        }
    }

    /// Returns whether it is open, as far as calls have shown.
    pub fn is_usable(&self) -> bool {
        self.usable.load(Ordering::Relaxed)
    }

    /// Takes in that a call was answered.
    pub fn on_answer(&self) {
        self.throttled.store(0, Ordering::Relaxed);
    }

    /// Takes in that a call was refused for its rate; returns whether that
    /// is so again and again.
    pub fn on_throttled(&self) -> bool {
        self.throttled.fetch_add(1, Ordering::Relaxed) + 1
            >= MAX_THROTTLED_IN_A_ROW
    }

    /// Closes it until a look is answered.
    pub fn mark_unusable(&self, store: &impl Store, why: &str) {
        if !self.usable.swap(false, Ordering::Relaxed) {
            return;
        }
        slog::warn!(self.log, "store: the direct way is closed"; "why" => why);
        let (path, store) = (self.clone(), store.clone());
        tokio::spawn(async move { path.probe(&store).await });
    }

    async fn probe(&self, store: &impl Store) {
        loop {
            pause(PROBE_INTERVAL).await;
            let probe =
                tokio::time::timeout(PROBE_TIMEOUT, store.get(keys::PLANNER));
            if let Ok(Ok(_)) = probe.await {
                break;
            }
        }
        self.on_answer();
        self.usable.store(true, Ordering::Relaxed);
        slog::info!(self.log, "store: the direct way is open");
    }
}
