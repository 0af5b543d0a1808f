//! Whether the store is reachable, as the calls of this process have shown.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::sync::Mutex;
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
    reached: watch::Sender<bool>,
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
            reached: watch::Sender::new(true),
            next_probe: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Records whether a call was answered.
    pub fn set(&self, reached: bool) {
        self.reached.send_if_modified(|current| {
            let changed = *current != reached;
            *current = reached;
            changed
        });
    }

    /// Waits until the store is reachable. Returns `false` if `until` passes
    /// first.
    pub async fn wait(&self, store: &impl Store, until: Instant) -> bool {
        let mut reached = self.reached.subscribe();
        loop {
            if Instant::now() >= until {
                return false;
            }
            if *reached.borrow_and_update() {
                return true;
            }
            let change_or_probe = async {
                tokio::select! {
                    biased;
                    // The channel cannot close: this value holds its sender.
                    _ = reached.changed() => {}
                    () = self.probe(store) => {}
                }
            };
            if tokio::time::timeout_at(until, change_or_probe)
                .await
                .is_err()
            {
                return false;
            }
        }
    }

    /// Probes the store, after other tasks' probes and not before the next one
    /// is due.
    async fn probe(&self, store: &impl Store) {
        let mut due = self.next_probe.lock().await;
        tokio::time::sleep_until(*due).await;
        if *self.reached.borrow() {
            return;
        }
        *due = Instant::now()
            + PROBE_INTERVAL
            + PROBE_INTERVAL.mul_f64(fastrand::f64());
        let probe =
            tokio::time::timeout(PROBE_TIMEOUT, store.get(keys::PLANNER));
        if let Ok(Ok(_)) = probe.await {
            self.set(true);
        }
    }
}
