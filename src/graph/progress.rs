//! The stored progress of a job.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::graph::AgentId;
use crate::graph::Life;
use crate::graph::Run;

/// Identifies a unit within its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitKey {
    /// The repetition of the job, from 0.
    pub time: u32,
    /// The index of the unit's step.
    pub step: usize,
    /// The index of the task, or `None` for a whole gang.
    pub index: Option<u32>,
}

impl fmt::Display for UnitKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.time, self.step)?;
        match self.index {
            Some(index) => write!(f, ".{index}"),
            None => Ok(()),
        }
    }
}

impl FromStr for UnitKey {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<UnitKey, Self::Err> {
        let mut parts = text.split('.');
        let mut next = || parts.next().unwrap_or_default();
        Ok(UnitKey {
            time: next().parse()?,
            step: next().parse()?,
            index: match next() {
                "" => None,
                index => Some(index.parse()?),
            },
        })
    }
}

impl Serialize for UnitKey {
    fn serialize<S: serde::Serializer>(
        &self,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for UnitKey {
    fn deserialize<D: serde::Deserializer<'de>>(
        from: D,
    ) -> Result<UnitKey, D::Error> {
        let text = String::deserialize(from)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A life of a worker, with the agent beside it.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Place {
    /// The agent's name.
    pub agent: AgentId,
    /// The worker's life.
    pub life: Life,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every task was done.
    Succeeded,
    /// A unit failed as often as its queue allows.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// The workers that were lost without a report while they ran a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The number of lost workers.
    pub lost: u32,
    /// The lost workers under which the task had not yet run for long.
    pub sudden: u32,
    /// The last run that was counted. Its end may be reported again, to
    /// another planner.
    pub run: Run,
    /// Further workers that were lost after they had announced that they leave
    /// and after the task had run for long. The task need not be the cause.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub excused: u32,
    /// Workers that are silent and may or may not be lost.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<Place>,
    /// The run at which the losses reached the limit; the runs after it are
    /// counted.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub limit: Run,
}

/// A member whose run was given up before its end was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unread {
    /// The number of the run.
    pub run: Run,
    /// The index of the task within its step.
    pub index: u32,
    /// The member's worker.
    pub place: Place,
    /// How long the member is known to have run.
    #[serde(default, with = "crate::util::duration_ms")]
    pub ran: Duration,
}

/// The stored progress of a unit that was started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Unit {
    /// The number of the last run that was assigned.
    pub run: Run,
    /// The number of failed runs.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// The highest run that was counted as failed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub counted: Run,
    /// The runs that were counted as failed, in rising order, as far as they
    /// are remembered. Their ends may be reported again, to another planner.
    /// Empty in records of versions that kept `counted` alone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<Run>,
    /// The members whose runs were given up before their ends were read, and
    /// whose ends may still be read.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unread: Vec<Unread>,
    /// The workers lost under each task, by the task's index.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lost: BTreeMap<u32, Loss>,
    /// Whether the unit is done.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// The last checkpoint.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub saved: String,
    /// The checkpoint that the last run was started from.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub from: String,
    /// The places of the last run's members, while the run may still be
    /// active.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub on: Vec<Place>,
    /// When the members of a gang's last run must have begun. Another planner
    /// does not know when the first of them did.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "crate::util::option_time_ms"
    )]
    pub begin_by: Option<SystemTime>,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// The stored progress of a job that has begun.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// How the job ended, once it is over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// When the job ended.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "crate::util::option_time_ms"
    )]
    pub ended: Option<SystemTime>,
    /// The units that were started.
    #[serde(default)]
    pub units: BTreeMap<UnitKey, Unit>,
}
