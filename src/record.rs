//! The record of a job in the store.

use serde::Deserialize;
use serde::Serialize;

use crate::job;
use crate::job::Outcome;
use crate::util::digest;
use crate::wire::agent::Incarnation;
use crate::wire::gang;
use crate::wire::gang::Member;
use crate::wire::gang::Work;

/// The prefix of the store keys of records.
pub const PREFIX: &str = "/landingvalve/job/";

/// A note that a start that must not repeat is about to be decided, written
/// before the decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// The gang of the start.
    pub gang: gang::Id,
    /// The members of the gang.
    pub members: Vec<Member>,
    /// The incarnations of the members' agents, in the same order. An agent
    /// of the same incarnation that does not know the gang never began it.
    #[serde(default)]
    pub incarnations: Vec<Incarnation>,
}

/// The end of a job and its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// The outcome of the job.
    pub outcome: Outcome,
    /// The reason for the outcome, in words.
    pub reason: String,
    /// The start that produced the answer, 0 for none.
    pub attempt: job::Attempt,
    /// The output of the job, if any.
    pub output: Option<String>,
    /// The length of the output, in bytes.
    pub length: usize,
    /// The digest of the output.
    pub digest: digest::Hex,
}

impl End {
    /// Returns an end with the length and digest of `output`.
    pub fn new(
        outcome: Outcome,
        reason: impl Into<String>,
        attempt: job::Attempt,
        output: Option<String>,
    ) -> End {
        let bytes = output.as_deref().unwrap_or_default().as_bytes();
        End {
            outcome,
            reason: reason.into(),
            attempt,
            length: bytes.len(),
            digest: digest::of(bytes),
            output,
        }
    }
}

/// The record of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The specification of the job.
    pub spec: job::Spec,
    /// The digest of the request that submitted the job.
    pub request: digest::Hex,
    /// The work that the tasks of the job run.
    pub work: Work,
    /// The last start that must not repeat, if there was one.
    #[serde(default)]
    pub mark: Option<Mark>,
    /// Whether the caller has cancelled the job.
    #[serde(default)]
    pub cancelled: bool,
    /// The end of the job, once it has ended.
    #[serde(default)]
    pub end: Option<End>,
}

impl Record {
    /// Returns the store key of the record of `job`.
    pub fn key(job: &str) -> String {
        format!("{PREFIX}{job}")
    }

    /// Serializes the record for the store.
    pub fn bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Parses a record from the store.
    ///
    /// # Errors
    ///
    /// If the value is malformed.
    pub fn parse(bytes: &[u8]) -> Result<Record, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
