//! A gang in a ledger, and where it is in its life there.

use std::time::Duration;
use std::time::Instant;

use crate::agent::lead::Lead;
use crate::agent::ledger::gang_lease;
use crate::agent::ledger::report_interval;
use crate::wire::agent::Sequence;
use crate::wire::gang::End;
use crate::wire::gang::Gang;

/// Where a gang is in its life, at this member.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// Accelerators are kept until the lead is to be asked.
    Held {
        /// When that is.
        deadline: Instant,
    },
    /// The endpoint has been asked to start the task.
    Beginning {
        /// By when it must have.
        deadline: Instant,
    },
    /// The task runs.
    Begun {
        /// Since when.
        since: Instant,
    },
    /// The endpoint has been asked to stop the task.
    Halting {
        /// Since when the task ran.
        since: Instant,
    },
    /// The task has ended, or was never begun.
    Ended(End),
}

/// A gang in the ledger.
#[derive(Clone, Debug)]
pub struct Slot {
    /// The gang.
    pub gang: Gang,
    /// This worker's position among its members.
    pub position: usize,
    /// Where it is in its life here.
    pub phase: Phase,
    /// What its lead keeps of it, if this member leads.
    pub lead: Option<Lead>,
    /// When the lead was last heard.
    pub last_contact: Instant,
    /// When the lead is to be told next.
    pub next_report_at: Instant,
    /// The change that last touched it.
    pub sequence: Sequence,
}

impl Slot {
    /// Returns how often the lead is told.
    pub fn report_interval(&self) -> Duration {
        report_interval(self.gang.members.len())
    }

    /// Returns how long the gang stands without word.
    pub fn lease(&self) -> Duration {
        gang_lease(self.gang.members.len())
    }
}
