//! Whether the store is in reach, as the calls of this process have shown.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::cell::keys;
use crate::store::Store;

/// How long a look may take: twice the slowest answers seen of a store that
/// serves. A look into silence ends by then, so that a return is noticed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long is waited between two looks, with jitter.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);

/// What is known of the way to the store.
///
/// A write that is sent into an outage may have been done, so that its
/// caller can no longer be told that it was not. What waits for the store
/// therefore looks first, by a read, and one look serves all that wait.
#[derive(Clone, Debug)]
pub struct Reachability {
    reached: watch::Sender<bool>,
    /// Held by whoever looks: before when there is nothing to see yet.
    next_probe: Arc<Mutex<Instant>>,
}

impl Default for Reachability {
    fn default() -> Reachability {
        Reachability::new()
    }
}

impl Reachability {
    /// Returns a reach that nothing speaks against yet.
    pub fn new() -> Reachability {
        Reachability {
            reached: watch::Sender::new(true),
            next_probe: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Takes in whether a call was answered.
    pub fn set(&self, reached: bool) {
        self.reached.send_if_modified(|current| {
            let changed = *current != reached;
            *current = reached;
            changed
        });
    }

    /// Waits until the store is in reach; returns whether it was in time.
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
                    // Whoever sends is this value, which is alive.
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

    /// Looks once it is this caller's turn, and the last look is a while
    /// ago.
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
