//! Reads the reports that agents saved in the store while they reached no
//! planner.

use std::time::Duration;

use tokio::time::Instant;

use crate::cell::claim::Claim;
use crate::cell::keys;
use crate::cell::pause;
use crate::graph::Report;
use crate::log::excerpt;
use crate::store::Item;
use crate::store::Store;

/// The delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Returns the saved reports and the time at which the read was sent, or
/// `None` once the claim is over.
pub(super) async fn read(
    store: &impl Store,
    claim: &Claim,
    log: &slog::Logger,
) -> Option<(Vec<Report>, Instant)> {
    while claim.holds() {
        let sent = Instant::now();
        match store.list(keys::REPORT_PREFIX).await {
            Ok(listing) => {
                let items = listing.items.iter();
                let reports = items.filter_map(|item| decode(item, log));
                return Some((reports.collect(), sent));
            }
            Err(error) => slog::debug!(log,
                "planner: saved reports could not be read"; "error" => %error),
        }
        pause(RETRY_DELAY).await;
    }
    None
}

fn decode(item: &Item, log: &slog::Logger) -> Option<Report> {
    match serde_json::from_slice(&item.value) {
        Ok(report) => Some(report),
        Err(error) => {
            slog::error!(log, "planner: a saved report cannot be decoded";
                "key" => &item.key, "error" => excerpt(error));
            None
        }
    }
}
