//! The planner of a cell: passes events from agents, callers and operators to
//! the decision core, and carries out its commands.
//!
//! The entry that holds the cell's claim hosts the planner under the claim's
//! epoch. [`actor`] owns the state; [`links`] watch the agents, [`launch`]
//! starts and stops gangs, [`writer`] writes records in batches, and
//! [`takeover`] determines what already runs before any decision is made.

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

/// The configuration of a planner.
#[derive(Clone)]
pub struct Config {
    /// The name of the cell.
    pub cell: String,
    /// The store key of the cell's claim.
    pub claim: String,
    /// The planner's epoch: the revision at which the claim was written.
    pub epoch: Epoch,
    /// The address at which the hosting entry listens for other processes of
    /// this system.
    pub address: String,
    /// How many accelerators each worker has.
    pub accelerators: u32,
    /// The weights that operators set.
    pub policy: Policy,
    /// The store.
    pub store: store::Client,
    /// The configuration in force.
    pub document: Arc<Document>,
    /// The VMs as last listed by the platform.
    pub vms: Vec<Vm>,
    /// The logger.
    pub log: slog::Logger,
}
