//! Events that faults are bound to: calls of the store by a planner's process.

use std::fmt;
use std::str::FromStr;

use crate::orders::UnknownOrder;

/// The planner whose process makes the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Planner {
    /// The first of the day.
    First,
    /// The one that takes over from it.
    Next,
}

/// What the process has done before the calls are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Milestone {
    /// Its claim was written.
    Claim,
    /// It has read the accepted jobs, the last of the records.
    Records,
    /// Its first progress was written.
    Write,
}

impl Milestone {
    /// Returns how many calls after the milestone are met with faults: more
    /// than a planner makes until it serves regularly.
    pub fn calls(self) -> usize {
        match self {
            Milestone::Claim | Milestone::Records => 20,
            Milestone::Write => 12,
        }
    }
}

/// A call of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Event {
    /// Whose call it is.
    pub planner: Planner,
    /// What precedes the call.
    pub after: Milestone,
    /// The number of the call after that, from 1.
    pub call: usize,
}

impl Event {
    /// Returns all events.
    pub fn all() -> impl Iterator<Item = Event> {
        let planners = [Planner::First, Planner::Next];
        planners.into_iter().flat_map(|planner| {
            let milestones =
                [Milestone::Claim, Milestone::Records, Milestone::Write];
            milestones.into_iter().flat_map(move |after| {
                (1..=after.calls()).map(move |call| Event {
                    planner,
                    after,
                    call,
                })
            })
        })
    }

    /// Returns the text of the planner and the milestone.
    pub fn kind(&self) -> String {
        format!("{}-{}", self.planner, self.after)
    }
}

impl fmt::Display for Planner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Planner::First => "first",
            Planner::Next => "next",
        })
    }
}

impl FromStr for Planner {
    type Err = UnknownOrder;

    fn from_str(text: &str) -> Result<Planner, UnknownOrder> {
        match text {
            "first" => Ok(Planner::First),
            "next" => Ok(Planner::Next),
            _ => Err(UnknownOrder::new("planner", text, "first or next")),
        }
    }
}

impl fmt::Display for Milestone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Milestone::Claim => "claim",
            Milestone::Records => "records",
            Milestone::Write => "write",
        })
    }
}

impl FromStr for Milestone {
    type Err = UnknownOrder;

    fn from_str(text: &str) -> Result<Milestone, UnknownOrder> {
        match text {
            "claim" => Ok(Milestone::Claim),
            "records" => Ok(Milestone::Records),
            "write" => Ok(Milestone::Write),
            _ => {
                let expected = "claim, records or write";
                Err(UnknownOrder::new("milestone", text, expected))
            }
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.planner, self.after, self.call)
    }
}
