//! How often a process calls the store, and for what.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// The time between two log lines of the calls made meanwhile.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// The call's name.
    pub call: &'static str,
    /// What the called keys hold.
    pub subject: &'static str,
}

/// Counts the calls of a process, by kind.
#[derive(Clone, Debug, Default)]
pub struct Usage(Arc<Mutex<BTreeMap<Kind, u64>>>);

impl Usage {
    /// Counts a call.
    pub fn record(&self, kind: Kind) {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(kind).or_default() += 1;
    }

    /// Returns the calls since the last time, by kind.
    pub fn take(&self) -> BTreeMap<Kind, u64> {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *counts)
    }

    /// Logs the calls at a regular interval, unless there were none. Never
    /// returns.
    pub async fn log_regularly(self, log: slog::Logger) {
        loop {
            tokio::time::sleep(LOG_INTERVAL).await;
            let counts = self.take();
            if counts.is_empty() {
                continue;
            }
            let calls: Vec<String> = counts
                .iter()
                .map(|(kind, count)| {
                    format!("{} {} {count}", kind.call, kind.subject)
                })
                .collect();
            slog::info!(log, "store: calls were made";
                "within_s" => LOG_INTERVAL.as_secs(),
                "count" => counts.values().sum::<u64>(),
                "calls" => calls.join(", "));
        }
    }
}
