//! The faults of a soak, drawn from a seeded generator. Faults may overlap.

use std::time::Duration;

use crate::store;
use crate::worker;

/// The number of idle queues with which the configuration nearly reaches the
/// size limit of a value in the store.
const MANY_IDLE_QUEUES: usize = 4500;

/// A fault. Processes and workers are named by their index; the report counts
/// faults under the variants' names.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An entry is killed, and restarted when the fault ends.
    KillEntry(usize),
    /// An entry is suspended, and resumed when the fault ends.
    PauseEntry(usize),
    /// An entry gets a termination signal, and is restarted once it has
    /// ended.
    StopEntry(usize),
    /// All entries are killed, and restarted when the fault ends.
    KillEntries,
    /// An agent is killed, and restarted when the fault ends.
    KillAgent(usize),
    /// An agent is suspended, and resumed when the fault ends.
    PauseAgent(usize),
    /// All entries and agents are killed, and restarted when the fault ends.
    KillAll,
    /// A worker loses its tasks and begins another life.
    Crash(usize),
    /// A worker is in a faulty mode until the fault ends.
    Worker(usize, worker::Mode),
    /// The store is in a faulty mode until the fault ends.
    Store(store::Mode),
    /// The store discards its history of events.
    Forget,
    /// Operators write a new version of the configuration with this number of
    /// idle queues.
    Configure(usize),
}

impl Fault {
    /// Returns whether the fault impairs anything: operators may change the
    /// configuration at any time.
    pub fn is_impairment(self) -> bool {
        !matches!(self, Fault::Configure(_))
    }
}

/// A fault with its times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Injection {
    /// The fault.
    pub fault: Fault,
    /// How long the fault lasts, if it doesn't take effect at once.
    pub duration: Duration,
    /// The time from the start of this fault to the start of the next.
    pub next_after: Duration,
}

/// Draws the next fault for a fleet of `entries` entries and `workers`
/// workers.
pub fn draw(
    random: &mut fastrand::Rng,
    entries: usize,
    workers: usize,
) -> Injection {
    let entry = random.usize(..entries);
    let worker = random.usize(..workers);
    let share = 0.2 + 0.4 * random.f64();
    let healthy = worker::Mode::default();
    let fault = match random.u32(..22) {
        0 | 1 => Fault::KillEntry(entry),
        2 => Fault::PauseEntry(entry),
        3 => Fault::StopEntry(entry),
        4 => Fault::KillEntries,
        5 => Fault::KillAgent(worker),
        6 => Fault::PauseAgent(worker),
        7 => Fault::KillAll,
        8 => Fault::Crash(worker),
        9 => Fault::Worker(
            worker,
            worker::Mode {
                late_share: share,
                ..healthy
            },
        ),
        10 => Fault::Worker(
            worker,
            worker::Mode {
                fails: true,
                ..healthy
            },
        ),
        11 => Fault::Worker(
            worker,
            worker::Mode {
                unreachable: true,
                ..healthy
            },
        ),
        12 => Fault::Store(store::Mode::Unavailable),
        13 => Fault::Store(store::Mode::Unresponsive),
        14 => {
            let ms = random.u64(50..400);
            Fault::Store(store::Mode::Slow(Duration::from_millis(ms)))
        }
        15 => Fault::Store(store::Mode::LosesReplies(share)),
        16 => Fault::Store(store::Mode::DelaysWrites(share)),
        17 => Fault::Forget,
        _ => Fault::Configure([0, 500, MANY_IDLE_QUEUES][random.usize(..3)]),
    };
    Injection {
        fault,
        duration: Duration::from_millis(random.u64(300..5000)),
        next_after: Duration::from_millis(random.u64(200..2500)),
    }
}
