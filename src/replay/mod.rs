//! Replays of recorded traces with the decision core or a baseline policy.
//!
//! The formats are fixed: a trace has one JSON object per line, and the report
//! is one JSON object. The same trace gives the same report, byte for byte.

pub mod baseline;
pub mod checker;
pub mod engine;
pub mod plot;
pub mod report;
pub mod trace;

use std::time::SystemTime;

use crate::plan::command::Command;
use crate::plan::event::Event;
use crate::plan::Plan;

/// A scheduling policy: the decision core or a baseline.
pub trait Policy {
    /// Processes events and returns the commands to execute.
    fn step(&mut self, events: Vec<Event>, now: SystemTime) -> Vec<Command>;

    /// Returns the time of the next step that is due without an event, if any.
    fn next_deadline(&self, now: SystemTime) -> Option<SystemTime>;
}

impl Policy for Plan {
    fn step(&mut self, events: Vec<Event>, now: SystemTime) -> Vec<Command> {
        Plan::step(self, events, now)
    }

    fn next_deadline(&self, now: SystemTime) -> Option<SystemTime> {
        Plan::next_deadline(self, now)
    }
}
