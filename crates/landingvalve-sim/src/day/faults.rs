//! The faults of a day: drawn, begun and ended.

use std::time::Duration;

use tokio::time::Instant;

use crate::day::Day;
use crate::store;
use crate::worker;

/// Longest time that a worker stays up after its goodbye, in ms.
const MAX_STAY_MS: u64 = 2000;
/// Shortest and longest time of such a cut, in ms: around the time after which
/// a broken gang is given up.
const CUT_MS: std::ops::Range<u64> = 1500..5000;
/// Longest time from the begin of such a cut to the failures behind it, in ms.
const MAX_FAILURE_DELAY_MS: u64 = 1500;

/// Action that ends a fault. Its `Debug` text is part of the timeline.
#[derive(Clone, Copy, Debug)]
pub(super) enum Undo {
    /// Restarts an entry.
    Entry(usize),
    /// Restarts an agent.
    Agent(usize),
    /// Restarts a worker that is down.
    Up(usize),
    /// Ends a worker that has said goodbye.
    Leave(usize),
    /// Clears the faults of a worker.
    Worker(usize),
    /// Clears the faults of the store.
    Store,
    /// Reconnects a machine with the other processes.
    Cut(usize),
    /// Reconnects a machine with the store.
    Part(usize),
}

impl Day {
    /// Records that a fault is active, and when it is undone.
    pub(super) fn begin_fault(&mut self, until: Instant, undo: Undo) {
        self.checker.begin_fault();
        self.pending_undos.push((until, undo));
    }

    /// Lets a worker say goodbye, or lets the goodbye of an earlier birth
    /// arrive. A goodbye is at times not received.
    pub(super) fn say_goodbye(&mut self, now: Instant) {
        let at = self.departures.usize(..self.agents.len());
        let leaves = self.departures.u32(..3) == 0;
        let is_received = !leaves || self.departures.u32(..4) > 0;
        let stay = Duration::from_millis(self.departures.u64(..MAX_STAY_MS));
        let agent = &self.agents[at];
        let is_late = !leaves && agent.endpoint.keeps_earlier_name();
        if !agent.endpoint.is_up() || !(leaves || is_late) {
            return;
        }
        let name = agent.endpoint.life_name();
        let kind = if leaves { "leaves" } else { "late goodbye" };
        *self.faults.entry(kind).or_default() += 1;
        self.checker
            .record(format!("{kind} of {name}, received: {is_received}"));
        if let (Some(member), true) = (&agent.member, is_received) {
            member.worker_left(&name);
        }
        self.checker.begin_fault();
        match leaves {
            true => self.pending_undos.push((now + stay, Undo::Leave(at))),
            false => self.checker.end_fault(),
        }
    }

    /// Cuts a worker off from its agent, or the agent's machine from the other
    /// processes, and lets the tasks behind the cut fail.
    pub(super) fn fail_behind_cut(&mut self, now: Instant) {
        let at = self.failures.usize(..self.agents.len());
        let machine = self.scenario.entries + at;
        let end = now + Duration::from_millis(self.failures.u64(CUT_MS));
        let delay = self.failures.u64(..MAX_FAILURE_DELAY_MS);
        let endpoint = &self.agents[at].endpoint;
        let undo = match self.failures.bool() {
            true => {
                self.network.set_isolated(machine, true);
                Undo::Cut(machine)
            }
            false => {
                endpoint.set_faults(worker::Faults {
                    silent: true,
                    ..worker::Faults::default()
                });
                Undo::Worker(at)
            }
        };
        endpoint.fail_running(now + Duration::from_millis(delay));
        *self.faults.entry("failures behind a cut").or_default() += 1;
        self.checker
            .record(format!("fault: failures behind a cut, {undo:?}"));
        self.begin_fault(end, undo);
    }

    pub(super) fn end_due_faults(&mut self, now: Instant) {
        let pending = std::mem::take(&mut self.pending_undos);
        for (due, undo) in pending {
            if now < due {
                self.pending_undos.push((due, undo));
                continue;
            }
            self.checker.record(format!("over: {undo:?}"));
            self.checker.end_fault();
            match undo {
                Undo::Entry(at) => {
                    self.kill_entry(at);
                    self.start_entry(at);
                }
                Undo::Agent(at) => {
                    self.kill_agent(at);
                    self.start_agent(at);
                }
                Undo::Up(at) => self.agents[at].endpoint.restart(),
                Undo::Leave(at) => self.agents[at].endpoint.crash(),
                Undo::Worker(at) => {
                    self.agents[at]
                        .endpoint
                        .set_faults(worker::Faults::default());
                }
                Undo::Store => self.store.set_faults(store::Faults::default()),
                Undo::Cut(at) => self.network.set_isolated(at, false),
                Undo::Part(at) => self.network.set_store_cut(at, false),
            }
        }
    }

    pub(super) fn inject_fault(&mut self, now: Instant) {
        let entry = self.random.usize(..self.entries.len());
        let worker = self.random.usize(..self.agents.len());
        let machines = self.scenario.entries + self.scenario.workers;
        let machine = self.random.usize(..machines);
        let ms = self.random.u64(100..3000);
        let (short_ms, long_ms) = (ms, ms * 5);
        let (name, undo, ms) = match self.random.u32(..15) {
            0 | 1 => {
                self.kill_entry(entry);
                ("kill entry", Undo::Entry(entry), short_ms)
            }
            2 => {
                self.kill_agent(worker);
                ("kill agent", Undo::Agent(worker), short_ms)
            }
            3..=5 => {
                self.agents[worker].endpoint.crash();
                ("crash", Undo::Up(worker), short_ms)
            }
            6 => {
                for at in 0..self.entries.len() {
                    self.kill_entry(at);
                    let restart_at = now + Duration::from_millis(short_ms);
                    self.begin_fault(restart_at, Undo::Entry(at));
                }
                for at in 0..self.agents.len() {
                    self.kill_agent(at);
                    let restart_at = now + Duration::from_millis(short_ms);
                    self.begin_fault(restart_at, Undo::Agent(at));
                }
                ("kill all", Undo::Entry(0), short_ms)
            }
            7 => {
                self.network.set_isolated(machine, true);
                ("cut", Undo::Cut(machine), long_ms)
            }
            8 => {
                self.network.set_store_cut(machine, true);
                ("part", Undo::Part(machine), long_ms)
            }
            9..=11 => {
                let (name, faults) = self.draw_store_fault();
                self.store.set_faults(faults);
                (name, Undo::Store, short_ms)
            }
            _ => {
                let (name, faults) = self.draw_worker_fault();
                self.agents[worker].endpoint.set_faults(faults);
                (name, Undo::Worker(worker), long_ms)
            }
        };
        *self.faults.entry(name).or_default() += 1;
        let line = format!("fault: {name}, {undo:?} after {ms} ms");
        self.checker.record(line);
        self.begin_fault(now + Duration::from_millis(ms), undo);
    }

    pub(super) fn draw_store_fault(
        &mut self,
    ) -> (&'static str, store::Faults) {
        let faults = store::Faults::default();
        match self.random.u32(..5) {
            0 => (
                "store down",
                store::Faults {
                    down: true,
                    ..faults
                },
            ),
            1 => {
                let refusing = true;
                ("store refuses", store::Faults { refusing, ..faults })
            }
            2 => (
                "store loses",
                store::Faults {
                    lost_share: 0.5,
                    ..faults
                },
            ),
            3 => {
                let delay = Duration::from_millis(300);
                ("store slow", store::Faults { delay, ..faults })
            }
            _ => {
                let compacted = true;
                (
                    "store forgets",
                    store::Faults {
                        compacted,
                        ..faults
                    },
                )
            }
        }
    }

    pub(super) fn draw_worker_fault(
        &mut self,
    ) -> (&'static str, worker::Faults) {
        let faults = worker::Faults::default();
        match self.random.u32(..4) {
            0 => (
                "late",
                worker::Faults {
                    delayed_share: 0.3,
                    ..faults
                },
            ),
            1 => (
                "fails",
                worker::Faults {
                    failing: true,
                    ..faults
                },
            ),
            2 => (
                "mute",
                worker::Faults {
                    silent: true,
                    ..faults
                },
            ),
            _ => (
                "deaf",
                worker::Faults {
                    drops_calls: true,
                    ..faults
                },
            ),
        }
    }
}
