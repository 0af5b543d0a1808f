//! A soak test of the real programs under faults.
//!
//! Entries and agents run as separate processes on loopback, against
//! stand-ins that implement the users' protocol: a [`store`] and [`worker`]s.
//! [`faults`] are drawn from a seed and injected from outside; [`operators`]
//! change the configuration; [`callers`] submit, query and cancel jobs;
//! [`invariants`] checks what workers and callers observe. [`soak`] runs a
//! whole test and reports the results.

pub mod callers;
pub mod faults;
pub mod fleet;
pub mod gang;
pub mod invariants;
pub mod operators;
pub mod soak;
pub mod store;
pub mod worker;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks a mutex whose value stays valid after a panic of another holder.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
