//! What goes wrong, drawn by a seed: in series, and overlapping.

use std::time::Duration;

use crate::store;
use crate::worker;

/// Queues of a document that nearly fills the store's largest value.
const MANY: usize = 4500;

/// What a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An entry is killed and started again after the fault's time.
    KillEntry(usize),
    /// An entry stands still.
    PauseEntry(usize),
    /// An entry is asked to stop, and started again.
    StopEntry(usize),
    /// All entries are killed.
    KillEntries,
    /// An agent is killed and started again.
    KillAgent(usize),
    /// An agent stands still.
    PauseAgent(usize),
    /// Every process is killed.
    KillAll,
    /// A worker begins another life.
    Crash(usize),
    /// A worker fares badly.
    Worker(usize, worker::Mode),
    /// The store fares badly.
    Store(store::Mode),
    /// The store forgets its history.
    Forget,
    /// Operators change the configuration, and it has so many idle queues.
    Configure(usize),
}

/// A fault, and how long it lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Strike {
    /// What happens.
    pub fault: Fault,
    /// For how long.
    pub lasts: Duration,
    /// How long after it began the next begins.
    pub next: Duration,
}

/// Draws the next fault for so many entries and workers.
pub fn draw(
    random: &mut fastrand::Rng,
    entries: usize,
    workers: usize,
) -> Strike {
    let entry = random.usize(..entries);
    let at = random.usize(..workers);
    let share = 0.2 + 0.4 * random.f64();
    let sound = worker::Mode::default();
    let fault = match random.u32(..22) {
        0 | 1 => Fault::KillEntry(entry),
        2 => Fault::PauseEntry(entry),
        3 => Fault::StopEntry(entry),
        4 => Fault::KillEntries,
        5 => Fault::KillAgent(at),
        6 => Fault::PauseAgent(at),
        7 => Fault::KillAll,
        8 => Fault::Crash(at),
        9 => Fault::Worker(
            at,
            worker::Mode {
                late: share,
                ..sound
            },
        ),
        10 => Fault::Worker(
            at,
            worker::Mode {
                fails: true,
                ..sound
            },
        ),
        11 => Fault::Worker(at, worker::Mode { cut: true, ..sound }),
        12 => Fault::Store(store::Mode::Busy),
        13 => Fault::Store(store::Mode::Silent),
        14 => {
            let ms = random.u64(50..400);
            Fault::Store(store::Mode::Slow(Duration::from_millis(ms)))
        }
        15 => Fault::Store(store::Mode::Lossy(share)),
        16 => Fault::Store(store::Mode::Late(share)),
        17 => Fault::Forget,
        _ => Fault::Configure([0, 500, MANY][random.usize(..3)]),
    };
    Strike {
        fault,
        lasts: Duration::from_millis(random.u64(300..5000)),
        next: Duration::from_millis(random.u64(200..2500)),
    }
}
