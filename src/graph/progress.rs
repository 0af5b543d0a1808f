//! What is kept of a job while it goes on.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::graph::AgentId;
use crate::graph::Life;
use crate::graph::Run;

/// Names a unit within its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitKey {
    /// Which time of the job, from 0.
    pub time: u32,
    /// Its step.
    pub step: usize,
    /// The task, or `None` for the whole gang.
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

/// One life of a worker, beside its agent.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Place {
    /// The agent.
    pub agent: AgentId,
    /// The worker's life.
    pub life: Life,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every task ran to its end.
    Succeeded,
    /// A unit failed as often as its queue allows.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// The workers that went without a word while they ran a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// How many.
    pub lost: u32,
    /// How many of them before the task was seen at work for long.
    pub sudden: u32,
    /// The last run that was counted: its end may be told again, to another
    /// planner.
    pub run: Run,
    /// How many more went after they had said that they leave, and after the
    /// task was seen at work for long: they may have gone by themselves.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub excused: u32,
    /// Those that only fell silent: whether they went is not known yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<Place>,
    /// The run under which there were so many that its further ones count.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub limit: Run,
}

/// What is kept of a unit that was started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Unit {
    /// The number of the last run given out.
    pub run: Run,
    /// How many runs failed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// The last run that was counted as failed: its end may be told again,
    /// to another planner.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub counted: Run,
    /// The workers that were lost under each of its tasks, by the task's
    /// number.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lost: BTreeMap<u32, Loss>,
    /// Whether it is done.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Its last checkpoint.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub saved: String,
    /// The checkpoint that the last run was given.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub from: String,
    /// Where the members of the last run are, while it may be running.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub on: Vec<Place>,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// What is kept of a job that has begun.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// How it ended, once it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// When it ended.
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
