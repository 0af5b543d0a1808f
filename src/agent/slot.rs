//! The record of one gang in a worker's ledger.

use std::time::Duration;
use std::time::Instant;

use crate::agent::lead::Lead;
use crate::agent::ledger::gang_lease;
use crate::agent::ledger::report_interval;
use crate::wire::agent::Sequence;
use crate::wire::gang::End;
use crate::wire::gang::Gang;

/// The phase of a gang at this member.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// Accelerators are held, and the gang has not begun here.
    Held {
        /// The time past which a member asks the lead for the decision, and
        /// the lead itself halts the gang.
        deadline: Instant,
    },
    /// The endpoint has been asked to start the task.
    Beginning {
        /// The time by which the task must have started.
        deadline: Instant,
    },
    /// The task runs.
    Begun {
        /// The time at which the start was confirmed or the task adopted.
        since: Instant,
    },
    /// The endpoint has been asked to stop the task.
    Halting {
        /// The same time as in [`Phase::Begun`]; the time of the stop if the
        /// start was not confirmed.
        since: Instant,
    },
    /// The task has ended, or was never begun.
    Ended(End),
}

/// A gang in a ledger.
#[derive(Clone, Debug)]
pub struct Slot {
    /// The gang.
    pub gang: Gang,
    /// This worker's position among the gang's members.
    pub position: usize,
    /// The gang's phase at this worker.
    pub phase: Phase,
    /// The lead's state; `None` if another member leads.
    pub lead: Option<Lead>,
    /// The time of the last call or answer of the lead.
    pub last_contact: Instant,
    /// The time of the next report to the lead.
    pub next_report_at: Instant,
    /// The number of the last change of this gang.
    pub sequence: Sequence,
}

impl Slot {
    /// Returns the interval between reports to the lead.
    pub fn report_interval(&self) -> Duration {
        report_interval(self.gang.members.len())
    }

    /// Returns the time after which a member without contact stops.
    pub fn lease(&self) -> Duration {
        gang_lease(self.gang.members.len())
    }
}
