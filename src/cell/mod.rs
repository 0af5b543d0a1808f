//! Jobs of steps on a platform's store: who accepts, who plans, who acts.
//!
//! * [`Admission`] writes accepted jobs and cancellations to the store.
//! * One entry at a time holds the claim ([`claim`]) and hosts the planner
//!   ([`planner`]), which drives [`crate::graph::Book`].
//! * [`Member`](member::Member) is the agent beside a worker: it alone calls
//!   the worker, and reports to the planner that the claim names.
//! * [`relay`] reaches the store by way of other entries while there is no
//!   direct way.
//! * [`configuration`] keeps the operators' configuration up to date, and
//!   knows how old that knowledge is.
//!
//! Everything that must last is in the store, under [`keys`].

mod admission;
pub mod advice;
pub mod claim;
pub mod configuration;
pub mod connector;
mod cursor;
mod decision_log;
mod inquiry;
pub mod keys;
pub mod member;
pub mod planner;
pub mod reachability;
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

/// Waits before another try of a call, with jitter so that many processes
/// do not call at once.
pub(crate) async fn pause(least: Duration) {
    let jitter = least.mul_f64(fastrand::f64());
    tokio::time::sleep(least + jitter).await;
}
