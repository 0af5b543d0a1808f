//! Ways to decide, compared in pairs on days of the real decision core.
//!
//! A [`load`] file says what kinds of jobs come, to which fleet, and what
//! goes wrong. A [`day`] is drawn from it by a seed; [`play`] plays it on a
//! virtual clock with [`landingvalve::graph::Scheduler`] and workers that do what
//! they are told; [`score`] says how callers were served. [`compare`] plays
//! the same days under two policies and tells the mean difference with its
//! standard error.
//!
//! What is not played: entries, the store's faults, silent agents, births.
//! Those are the simulation's (`landingvalve-sim`); here thousands of days
//! tell two ways apart that a day of whole processes cannot.

pub mod compare;
pub mod day;
pub mod fleet;
pub mod load;
pub mod play;
pub mod plot;
pub mod policy;
pub mod score;
