//! Time that goes on while the machine is suspended.
//!
//! The steady clock, which timers and time limits run on, stands still while
//! a machine is suspended; the rest of the site does not. Whatever proves
//! that something is still safe (a claim, a grant, the age of knowledge) is
//! therefore told by a type of its own, [`BootInstant`], which the compiler keeps
//! apart from the instants of mere timers. A timer may wake late or early;
//! what it wakes looks at a stamp before it acts.
//!
//! A stamp is an instant of the runtime's clock, which tests may stop and
//! move, and what the machine was suspended for before it.

use std::cell::Cell;
use std::ops::Add;
use std::time::Duration;
use std::time::SystemTime;

use nix::time::clock_gettime;
use nix::time::ClockId;
use tokio::time::Instant;

thread_local! {
    /// Since when this thread's time of day follows the runtime's clock.
    static SIMULATED_WALL_TIME: Cell<Option<(SystemTime, Instant)>> =
        const { Cell::new(None) };
    /// What [`simulate_suspension`] has added.
    static SIMULATED_SUSPENSION: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// An instant by which safety is proven.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Instant);

impl BootInstant {
    /// Returns the present.
    pub fn now() -> BootInstant {
        BootInstant(Instant::now() + suspended())
    }

    /// Returns how long ago it was; zero if it is yet to come.
    pub fn elapsed(self) -> Duration {
        BootInstant::now().0.saturating_duration_since(self.0)
    }

    /// Returns how long it is until then; zero if it is past.
    pub fn remaining(self) -> Duration {
        self.0.saturating_duration_since(BootInstant::now().0)
    }

    /// Returns whether it is yet to come.
    pub fn is_future(self) -> bool {
        BootInstant::now() < self
    }
}

impl Add<Duration> for BootInstant {
    type Output = BootInstant;

    fn add(self, time: Duration) -> BootInstant {
        BootInstant(self.0 + time)
    }
}

/// Returns the present of the runtime's clock, which simulations stop.
pub fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Returns the time of day.
pub fn wall_time() -> SystemTime {
    match SIMULATED_WALL_TIME.with(Cell::get) {
        Some((wall, since)) => wall + since.elapsed(),
        None => SystemTime::now(),
    }
}

/// Lets this thread's time of day follow the runtime's clock from `wall` on:
/// for simulations.
pub fn simulate_wall_time(wall: SystemTime) {
    SIMULATED_WALL_TIME
        .with(|followed| followed.set(Some((wall, Instant::now()))));
}

/// Lets this thread see the machine as having been suspended for so long:
/// for tests, where every test has a thread of its own.
pub fn simulate_suspension(time: Duration) {
    SIMULATED_SUSPENSION
        .with(|suspended| suspended.set(suspended.get() + time));
}

/// Returns for how long the machine was suspended since it started.
fn suspended() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    // The steady clock first: read later, it would seem to have gone on.
    let steady = read(ClockId::CLOCK_MONOTONIC);
    let whole = read(ClockId::CLOCK_BOOTTIME);
    let real = match (steady, whole) {
        (Ok(steady), Ok(whole)) => whole.saturating_sub(steady),
        // A kernel without that clock counts no suspension.
        _ => Duration::ZERO,
    };
    real + SIMULATED_SUSPENSION.with(Cell::get)
}
