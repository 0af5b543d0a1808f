//! The planner of a cell: drives the decision core with what agents,
//! callers and operators say, and carries its commands out.
//!
//! It is hosted by the entry that holds the cell's claim, under the claim's
//! epoch. [`actor`] owns the books; [`links`] listen to agents, [`launch`]
//! starts and stops gangs, [`writer`] writes records in batches, and
//! [`takeover`] finds out what goes on before anything is decided.

pub mod actor;
pub mod jobs;
pub mod launch;
pub mod links;
pub mod takeover;
pub mod view;
pub mod writer;

use std::sync::Arc;

use crate::config::Document;
use crate::plan::Policy;
use crate::store;
use crate::vms::Vm;
use crate::wire::Epoch;

/// What a planner has to know.
#[derive(Clone)]
pub struct Config {
    /// The cell.
    pub cell: String,
    /// The key of its claim.
    pub claim: String,
    /// The epoch: the revision at which the claim was written.
    pub epoch: Epoch,
    /// Where the entry that hosts it listens for others of ours.
    pub address: String,
    /// How many accelerators each worker has.
    pub accelerators: u32,
    /// What the operators weigh.
    pub policy: Policy,
    /// The store.
    pub store: store::Client,
    /// The configuration in force.
    pub document: Arc<Document>,
    /// The VMs, as last listed.
    pub vms: Vec<Vm>,
    /// Where logs go.
    pub log: slog::Logger,
}
