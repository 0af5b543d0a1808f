//! Whether the store is reachable, as the calls of this process have shown.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::cell::keys;
use crate::store::Store;

/// The longest that a probe may take: twice the slowest answer observed of a
/// store that serves. A probe without answer ends by then, so that the store's
/// return is noticed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// The least delay between two probes; up to as much again is added as jitter.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);

/// Tracks whether the store is reachable, shared by all writers of a process.
///
/// A write that is sent during an outage may have taken effect, and the process
/// can then no longer answer its caller that there was no effect. Writers
/// therefore wait for a successful read first, and one probe serves all that
/// wait.
#[derive(Clone, Debug)]
pub struct Reachability {
    reached: Arc<AtomicBool>,
    /// Notified when the store is reached again. A notification wakes its
    /// waiters in order: callers who came first are served first, and
    /// simulations repeat.
    regained: Arc<Notify>,
    /// The earliest time of the next probe; locked by the task that probes.
    next_probe: Arc<Mutex<Instant>>,
}

impl Default for Reachability {
    fn default() -> Reachability {
        Reachability::new()
    }
}

impl Reachability {
    /// Returns a state that counts as reachable until a call fails.
    pub fn new() -> Reachability {
        Reachability {
            reached: Arc::new(AtomicBool::new(true)),
            regained: Arc::default(),
            next_probe: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Records whether a call was answered.
    pub fn set(&self, reached: bool) {
        let before = self.reached.swap(reached, Ordering::Relaxed);
        if reached && !before {
            self.regained.notify_waiters();
        }
    }

    fn is_reached(&self) -> bool {
        self.reached.load(Ordering::Relaxed)
    }

    /// Waits until the store is reachable. Returns `false` if `until` passes
    /// first.
    pub async fn wait(&self, store: &impl Store, until: Instant) -> bool {
        let wait = self.wait_or_probe(store);
        Instant::now() < until
            && tokio::time::timeout_at(until, wait).await.is_ok()
    }

    /// Waits until the store is reachable, and probes it meanwhile.
    async fn wait_or_probe(&self, store: &impl Store) {
        let mut regained = std::pin::pin!(self.regained.notified());
        // A waiter keeps its place however often it probes.
        regained.as_mut().enable();
        while !self.is_reached() {
            tokio::select! {
                biased;
                () = &mut regained => {
                    regained.set(self.regained.notified());
                    regained.as_mut().enable();
                }
                () = self.probe(store) => {}
            }
        }
    }

    /// Probes the store, after other tasks' probes and not before the next one
    /// is due.
    async fn probe(&self, store: &impl Store) {
        let mut due = self.next_probe.lock().await;
        tokio::time::sleep_until(*due).await;
        if self.is_reached() {
            return;
        }
        *due = Instant::now()
            + PROBE_INTERVAL
            + PROBE_INTERVAL.mul_f64(fastrand::f64());
        let probe =
            tokio::time::timeout(PROBE_TIMEOUT, store.get(keys::CLAIM));
        if let Ok(Ok(_)) = probe.await {
            self.set(true);
        }
    }
}
