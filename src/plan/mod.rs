//! The decision core: (state, event, now) -> commands.
//!
//! A [`Plan`] has no clock, does no I/O and draws no random numbers. The
//! planner in an entry, the replay, the tests and the benchmarks all drive
//! this same code. Each stage of a step is a module: events are applied to the
//! state ([`intake`], [`state`]), home blocks are placed ([`home`],
//! [`block`]), waiting jobs are put in [`order`], each gets a [`place`] or
//! displaces other jobs ([`reclaim`]), and jobs are moved together so that
//! whole workers become free ([`compact`]).

pub mod admit;
pub mod block;
pub mod command;
pub mod compact;
pub mod event;
pub mod health;
pub mod home;
pub mod intake;
pub mod mask;
pub mod order;
pub mod place;
pub mod predict;
pub mod reclaim;
pub mod reserve;
pub mod schedule;
pub mod state;

use std::time::Duration;
use std::time::SystemTime;

use crate::plan::command::Command;
use crate::plan::event::Event;
use crate::plan::state::State;
use crate::site::Site;

/// The time within which a guaranteed shape must be reclaimed from its
/// borrowers.
pub const RECLAIM_TIME: Duration = Duration::from_secs(10);
/// The interval of steps for time-driven rules while jobs wait.
const TICK_INTERVAL: Duration = Duration::from_secs(5);

/// The weights that operators set.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// The weight of whole free workers against early completion, 0 to 1.
    pub weight_fragmentation: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            weight_fragmentation: 0.5,
        }
    }
}

/// The decision core: the state of a site and the policy for it.
#[derive(Clone, Debug)]
pub struct Plan {
    state: State,
    policy: Policy,
}

impl Plan {
    /// Returns a plan for a site whose workers are all unreachable so far.
    pub fn new(site: Site, policy: Policy) -> Plan {
        Plan {
            state: State::new(site),
            policy,
        }
    }

    /// Applies `events` and returns the commands that follow from them.
    pub fn step(
        &mut self,
        events: impl IntoIterator<Item = Event>,
        now: SystemTime,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        for event in events {
            intake::apply(&mut self.state, event, now, &mut commands);
        }
        intake::update_probes(&mut self.state, now, &mut commands);
        self.state.place_homes();
        schedule::Pass::new(&mut self.state, &self.policy, now, &mut commands)
            .run();
        compact::run(&mut self.state, &self.policy, now, &mut commands);
        commands
    }

    /// Returns when a step is due without an event; `None` if no job waits.
    pub fn next_deadline(&self, now: SystemTime) -> Option<SystemTime> {
        match self.state.waiting.is_empty() {
            true => None,
            false => Some(now + TICK_INTERVAL),
        }
    }

    /// Returns the state that decisions are based on.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Adds a worker to the site.
    ///
    /// # Errors
    ///
    /// If the site rejects the worker.
    pub fn add_worker(
        &mut self,
        hall: &str,
        rack: &str,
        worker: &str,
    ) -> Result<(), crate::site::Error> {
        self.state.site.add(hall, rack, worker)?;
        self.state.add_missing_workers();
        self.state.update_nominal();
        Ok(())
    }
}
