//! The processes that schedule jobs of steps on a platform's store: entries
//! accept, one of them plans, agents execute.
//!
//! * [`Admission`] writes accepted jobs and cancellations to the store.
//! * One entry at a time holds the claim ([`claim`]) and hosts the planner
//!   ([`planner`]), which drives the decision core in [`crate::graph`].
//! * [`Member`](member::Member) is the agent beside a worker. Only the agent
//!   calls the worker, and it reports to the planner named by the claim.
//! * [`relay`] sends store calls through other entries while the direct path
//!   to the store is unusable.
//! * [`configuration`] follows the operators' configuration and tracks how
//!   recently it was confirmed.
//!
//! All durable state is in the store, under [`keys`].

pub mod admission;
pub mod advice;
pub mod claim;
pub mod configuration;
pub mod connector;
mod cursor;
mod decision_log;
pub mod inquiry;
mod intake;
pub mod keys;
pub mod member;
pub mod planner;
pub mod reachability;
pub mod record;
pub mod relay;
pub mod rpc;
pub mod server;
pub mod session;
mod watch;
pub mod worker;
mod writer;

pub use admission::Admission;
pub use admission::Stage;
pub use admission::Submitted;
pub use admission::Unavailable;

use std::time::Duration;

/// Sleeps between `min_delay` and twice that before a call is retried. The
/// jitter keeps many processes from calling at the same moment.
pub(crate) async fn pause(min_delay: Duration) {
    let jitter = min_delay.mul_f64(fastrand::f64());
    tokio::time::sleep(min_delay + jitter).await;
}
