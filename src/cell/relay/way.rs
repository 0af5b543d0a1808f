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
const LOOK: Duration = Duration::from_millis(700);
/// How long is waited between two looks, with jitter.
const AGAIN: Duration = Duration::from_millis(100);
/// How many calls in a row are refused for their rate before that is taken
/// for a way that is closed: one may be, where all together call too often.
const THROTTLED: u32 = 2;

/// The direct way to the store.
#[derive(Clone, Debug)]
pub(super) struct Way {
    open: Arc<AtomicBool>,
    throttled: Arc<AtomicU32>,
    log: slog::Logger,
}

impl Way {
    /// Returns a way that nothing speaks against yet.
    pub fn new(log: slog::Logger) -> Way {
        Way {
            open: Arc::new(AtomicBool::new(true)),
            throttled: Arc::default(),
            log,
        }
    }

    /// Returns whether it is open, as far as calls have shown.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Relaxed)
    }

    /// Takes in that a call was answered.
    pub fn answered(&self) {
        self.throttled.store(0, Ordering::Relaxed);
    }

    /// Takes in that a call was refused for its rate; returns whether that
    /// is so again and again.
    pub fn throttled(&self) -> bool {
        self.throttled.fetch_add(1, Ordering::Relaxed) + 1 >= THROTTLED
    }

    /// Closes it until a look is answered.
    pub fn close(&self, store: &impl Store, why: &str) {
        if !self.open.swap(false, Ordering::Relaxed) {
            return;
        }
        slog::warn!(self.log, "store: the direct way is closed"; "why" => why);
        let (way, store) = (self.clone(), store.clone());
        tokio::spawn(async move { way.look(&store).await });
    }

    async fn look(&self, store: &impl Store) {
        loop {
            pause(AGAIN).await;
            let look = tokio::time::timeout(LOOK, store.get(keys::PLANNER));
            if let Ok(Ok(_)) = look.await {
                break;
            }
        }
        self.answered();
        self.open.store(true, Ordering::Relaxed);
        slog::info!(self.log, "store: the direct way is open");
    }
}
