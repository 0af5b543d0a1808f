//! The stored form of a job's progress.
//!
//! The progress of a job with few units is one value, the head. From
//! [`MAX_WHOLE_BYTES`] on, the head holds only what concerns the whole job,
//! and the units are stored in parts of at most [`PART_UNITS`]. A change then
//! writes the parts that changed, and no value grows with the job.
//!
//! The parts of one version are written in several transactions, so that a
//! planner may find parts of different age. Units do not depend on each other's
//! records: nothing is ordered and no end is acknowledged before all parts of
//! the version are written. An older part therefore holds a state that workers
//! still confirm, and a newer one at most assigns a run that was not ordered.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::time::SystemTime;

use serde::de::value::MapAccessDeserializer;
use serde::de::MapAccess;
use serde::de::Unexpected;
use serde::de::Visitor;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::graph::Outcome;
use crate::graph::Progress;
use crate::graph::UnitKey;
use crate::graph::UnitProgress;

/// The size from which a job's units are stored in parts, in bytes: many times
/// less than a store takes.
pub const MAX_WHOLE_BYTES: usize = 64 * 1024;
/// The most units in a part.
pub const PART_UNITS: u32 = 64;

/// Identifies a part: units of one repetition and step with neighbouring
/// indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartId {
    /// The repetition.
    pub time: u32,
    /// The index of the step.
    pub step: usize,
    /// The number of the part in its step.
    pub number: u32,
}

impl PartId {
    /// Returns the part that a unit belongs to.
    pub fn of(key: &UnitKey) -> PartId {
        PartId {
            time: key.time,
            step: key.step,
            number: key.index.unwrap_or(0) / PART_UNITS,
        }
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.time, self.step, self.number)
    }
}

/// A text that names no part.
#[derive(Debug, thiserror::Error)]
#[error("part {0:?}: expected TIME.STEP.NUMBER")]
pub struct NoPart(String);

impl FromStr for PartId {
    type Err = NoPart;

    fn from_str(text: &str) -> Result<PartId, NoPart> {
        let no_part = || NoPart(text.to_owned());
        let mut numbers = text.splitn(3, '.');
        let mut next = || numbers.next().unwrap_or_default();
        let (time, step, number) = (next(), next(), next());
        Ok(PartId {
            time: time.parse().map_err(|_| no_part())?,
            step: step.parse().map_err(|_| no_part())?,
            number: number.parse().map_err(|_| no_part())?,
        })
    }
}

/// The units of one part.
pub type Part = BTreeMap<UnitKey, UnitProgress>;

/// The text that stands for units in parts.
const IN_PARTS: &str = "parts";

/// Where a job's units are stored.
#[derive(Clone, Debug, PartialEq)]
enum Units {
    /// In the head.
    Whole(Part),
    /// In parts. A version of the program that knows no parts cannot decode
    /// such a head, and starts nothing of the job.
    InParts,
}

impl Serialize for Units {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        match self {
            Units::Whole(units) => units.serialize(to),
            Units::InParts => to.serialize_str(IN_PARTS),
        }
    }
}

impl<'de> Deserialize<'de> for Units {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Units, D::Error> {
        from.deserialize_any(UnitsVisitor)
    }
}

/// Decodes [`Units`]. An untagged enum cannot: it reads numbers in keys as
/// texts.
struct UnitsVisitor;

impl<'de> Visitor<'de> for UnitsVisitor {
    type Value = Units;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "units, or {IN_PARTS:?}")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Units, E> {
        match text {
            IN_PARTS => Ok(Units::InParts),
            _ => Err(E::invalid_value(Unexpected::Str(text), &self)),
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Units, A::Error> {
        let from = MapAccessDeserializer::new(map);
        Part::deserialize(from).map(Units::Whole)
    }
}

impl Default for Units {
    fn default() -> Units {
        Units::Whole(Part::new())
    }
}

/// The value of a job's progress key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Head {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    outcome: Option<Outcome>,
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "crate::util::option_time_ms"
    )]
    ended: Option<SystemTime>,
    #[serde(default)]
    units: Units,
}

impl Head {
    /// Returns whether the job's units are stored in parts.
    pub fn is_in_parts(&self) -> bool {
        matches!(self.units, Units::InParts)
    }

    /// Returns the progress that a head and the job's parts describe. The units
    /// of a part replace those of the head, which was written before them.
    pub fn join(self, parts: impl IntoIterator<Item = Part>) -> Progress {
        let mut units = match self.units {
            Units::Whole(units) => units,
            Units::InParts => Part::new(),
        };
        units.extend(parts.into_iter().flatten());
        Progress {
            outcome: self.outcome,
            ended: self.ended,
            units,
        }
    }
}

/// How a job ended, in the value of its progress key; other fields are skipped.
#[derive(Deserialize)]
pub struct Ending {
    /// The outcome, if the job has ended.
    #[serde(default)]
    pub outcome: Option<Outcome>,
}

/// A job's progress as it is to be stored.
#[derive(Clone, Debug, PartialEq)]
pub enum Encoded {
    /// The whole progress as one value.
    Whole(Vec<u8>),
    /// The head, and the parts that differ from the stored ones.
    InParts(Vec<u8>, BTreeMap<PartId, Vec<u8>>),
}

/// Encodes a job's progress. `stored` is the progress that is stored in parts,
/// if any is; a job that was once stored so stays so.
///
/// # Errors
///
/// If the progress cannot be encoded.
pub fn encode(
    progress: &Progress,
    stored: Option<&Progress>,
) -> Result<Encoded, serde_json::Error> {
    if stored.is_none() {
        let whole = serde_json::to_vec(progress)?;
        if whole.len() <= MAX_WHOLE_BYTES {
            return Ok(Encoded::Whole(whole));
        }
    }
    let head = Head {
        outcome: progress.outcome,
        ended: progress.ended,
        units: Units::InParts,
    };
    let empty = Part::new();
    let before = stored.map_or(&empty, |stored| &stored.units);
    let mut parts = BTreeMap::new();
    for id in changed_parts(&progress.units, before) {
        let part: BTreeMap<&UnitKey, &UnitProgress> =
            progress.units.range(keys_of(id)).collect();
        parts.insert(id, serde_json::to_vec(&part)?);
    }
    Ok(Encoded::InParts(serde_json::to_vec(&head)?, parts))
}

/// Returns the parts in which units differ.
fn changed_parts(units: &Part, before: &Part) -> BTreeSet<PartId> {
    let changed = units.iter().filter(|(key, unit)| {
        before.get(key).is_none_or(|before| before != *unit)
    });
    let changed = changed.map(|(key, _)| key);
    let gone = before.keys().filter(|key| !units.contains_key(key));
    changed.chain(gone).map(PartId::of).collect()
}

/// Returns the range of the keys that belong to a part. A gang's unit has no
/// index, and precedes all indices of its step.
fn keys_of(id: PartId) -> std::ops::RangeInclusive<UnitKey> {
    let key = |index| UnitKey {
        time: id.time,
        step: id.step,
        index,
    };
    let first = id.number * PART_UNITS;
    let last = key(Some(first + (PART_UNITS - 1)));
    match id.number {
        0 => key(None)..=last,
        _ => key(Some(first))..=last,
    }
}
