//! The decision core: (state, event, now) -> commands.
//!
//! A [`Plan`] has no clock, does no I/O and draws no random numbers. The
//! planner in an entry, the replay, the tests and the benchmarks all drive
//! this same code. Its stages stand in line, a module each: events change
//! the books ([`state`]), home blocks are settled ([`home`], [`block`]), waiting jobs
//! are put in [`order`], each finds a [`place`] or a claim on somebody
//! else's ([`reclaim`]), and what is left over is compacted ([`compact`]).

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

/// Within which a guaranteed shape can be had back from its borrowers.
pub const RECLAIM_TIME: Duration = Duration::from_secs(10);
/// How often time-driven rules are looked at while jobs wait.
const TICK_INTERVAL: Duration = Duration::from_secs(5);

/// What the operators weigh.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// How much whole free workers count against early completion, 0 to 1.
    pub weight_fragmentation: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            weight_fragmentation: 0.5,
        }
    }
}

/// The decision core.
#[derive(Clone, Debug)]
pub struct Plan {
    state: State,
    policy: Policy,
}

impl Plan {
    /// Returns a plan for a site on which no worker has been seen yet.
    pub fn new(site: Site, policy: Policy) -> Plan {
        Plan {
            state: State::new(site),
            policy,
        }
    }

    /// Takes in what happened and returns what is to be done.
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

    /// Returns when time alone may call for a step, if it may.
    pub fn next_deadline(&self, now: SystemTime) -> Option<SystemTime> {
        match self.state.waiting.is_empty() {
            true => None,
            false => Some(now + TICK_INTERVAL),
        }
    }

    /// Returns the books.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the site, to which workers may be added.
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
