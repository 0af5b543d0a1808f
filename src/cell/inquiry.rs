//! Reads the reports that agents saved in the store while they reached no
//! planner.

use tokio::time::Instant;

use crate::cell::keys;
use crate::graph::AgentId;
use crate::graph::Report;
use crate::log::excerpt;
use crate::store::Error;
use crate::store::Item;
use crate::store::Store;

/// What agents had saved when it was read.
#[derive(Debug)]
pub struct SavedReports {
    /// The agents whose reports were asked for.
    pub agents: Vec<AgentId>,
    /// The reports of all agents that have saved one.
    pub reports: Vec<Report>,
    /// When the read was sent.
    pub sent: Instant,
}

/// Reads the saved reports for `agents`.
///
/// # Errors
///
/// If the store does not answer. Nothing is known of the agents then; they have
/// to be asked for again.
pub(super) async fn read(
    store: &impl Store,
    agents: Vec<AgentId>,
    log: &slog::Logger,
) -> Result<SavedReports, Unread> {
    let sent = Instant::now();
    match store.list(keys::REPORT_PREFIX).await {
        Ok(listing) => {
            let items = listing.items.iter();
            let reports = items.filter_map(|item| decode(item, log));
            Ok(SavedReports {
                agents,
                reports: reports.collect(),
                sent,
            })
        }
        Err(source) => Err(Unread { agents, source }),
    }
}

/// The saved reports of agents could not be read.
#[derive(Debug, thiserror::Error)]
#[error("the saved reports of {} agents: {source}", agents.len())]
pub struct Unread {
    /// The agents whose reports were asked for.
    pub agents: Vec<AgentId>,
    source: Error,
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
