//! Paired comparison of scheduling policies on simulated days of the real
//! decision core.
//!
//! A [`load`] file describes the kinds of jobs, the fleet and the incidents. A
//! [`day`] is drawn from a load by a seed; [`simulation`] runs it on a virtual
//! virtual clock with [`landingvalve::graph::Scheduler`] and workers that do what
//! orders; [`score`] measures how well callers were served. [`compare`]
//! simulates the same days under several policies and reports the mean
//! differences with their standard errors.
//!
//! Entries, faults of the store, unresponsive agents and births are not
//! simulated here but by `landingvalve-sim`. Without them thousands of days
//! are affordable, which reveal differences between policies that are too
//! small for days of whole processes.

pub mod compare;
pub mod day;
pub mod fleet;
pub mod load;
pub mod plot;
pub mod policy;
pub mod score;
pub mod simulation;
