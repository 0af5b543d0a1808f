//! A soak of the real programs under faults.
//!
//! Entries and agents run as separate processes on loopback, against
//! stand-ins that speak the users' protocol: a [`store`] and [`worker`]s.
//! [`faults`] are injected from outside, by a seed; [`operators`] change the
//! configuration; [`callers`] submit, ask, cancel and ask again; [`promise`] checks what workers and callers
//! see. [`soak`] ties it together and reports.

pub mod callers;
pub mod faults;
pub mod fleet;
pub mod operators;
pub mod promise;
pub mod soak;
pub mod store;
pub mod worker;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks a state that stays good whatever panicked beside it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
