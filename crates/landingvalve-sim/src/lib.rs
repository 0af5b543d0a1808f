//! Deterministic simulation of whole days: the real code under virtual time.
//!
//! [`day::simulate`] runs the product's own admission, claim, planner and
//! agents on one thread whose clock jumps from one timer to the next, so a day
//! of two minutes takes a fraction of a second. Their environment is
//! simulated: the store ([`store`]), connections ([`network`]) and workers
//! ([`worker`]) fail in the ways that their specifications allow. The
//! invariants ([`invariants`]) are checked against what callers and workers
//! observe, never against the state of the product.
//!
//! A seed determines a day: its jobs, its faults and their times. Two runs of
//! a seed may still differ in the order of two tasks that are due at the same
//! time, so run a failing seed several times.

pub mod caller;
pub mod day;
pub mod gang;
pub mod invariants;
pub mod network;
pub mod orders;
pub mod sound;
pub mod store;
pub mod worker;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

pub(crate) fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
