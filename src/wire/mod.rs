//! JSON-RPC messages between the system's own processes.
//!
//! A planner calls [`agent`]s, agents call each other about a [`gang`], and
//! [`entry`] processes forward requests to the planner of a cell. Refusals
//! are typed; after a transport error the caller cannot know whether the
//! call took effect.

pub mod agent;
pub mod entry;
pub mod gang;
pub mod link;

/// The number of a planner's claim: the store revision at which the claim
/// was written. An agent obeys only the highest epoch that it has seen.
pub type Epoch = i64;
/// A trace context, in the format of the W3C `traceparent` header.
pub type Trace = String;
