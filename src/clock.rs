//! Clocks that tests and simulations can control, and instants that count
//! suspended time.
//!
//! The monotonic clock of timers and timeouts stops while the machine is
//! suspended; the rest of the site goes on. Every check that something is
//! still safe (a claim, a grant, the age of information) therefore uses
//! [`BootInstant`], a type that the compiler keeps apart from the instants of
//! timers. A timer may fire early or late; the code that it wakes compares a
//! [`BootInstant`] before it acts.
//!
//! A [`BootInstant`] is an instant of the runtime's clock, which tests can
//! pause and advance, plus the time that the machine has been suspended so
//! far.

use std::cell::Cell;
use std::ops::Add;
use std::time::Duration;
use std::time::SystemTime;

use nix::time::clock_gettime;
use nix::time::ClockId;
use tokio::time::Instant;

thread_local! {
    /// The wall time set by [`simulate_wall_time`], and the instant of the
    /// runtime's clock at which it was set.
    static SIMULATED_WALL_TIME: Cell<Option<(SystemTime, Instant)>> =
        const { Cell::new(None) };
    /// The suspended time added by [`simulate_suspension`].
    static SIMULATED_SUSPENSION: Cell<Duration> =
        const { Cell::new(Duration::ZERO) };
}

/// An instant that includes the time during which the machine was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Instant);

impl BootInstant {
    /// Returns the current instant.
    pub fn now() -> BootInstant {
        BootInstant(Instant::now() + suspended())
    }

    /// Returns the time since this instant; zero if it is in the future.
    pub fn elapsed(self) -> Duration {
        BootInstant::now().0.saturating_duration_since(self.0)
    }

    /// Returns the time until this instant; zero if it is in the past.
    pub fn remaining(self) -> Duration {
        self.0.saturating_duration_since(BootInstant::now().0)
    }

    /// Returns whether this instant is in the future.
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

/// Returns the current instant of the runtime's clock, which simulations
/// pause.
pub fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Returns the wall time, simulated if [`simulate_wall_time`] was called on
/// this thread.
pub fn wall_time() -> SystemTime {
    match SIMULATED_WALL_TIME.with(Cell::get) {
        Some((wall, since)) => wall + since.elapsed(),
        None => SystemTime::now(),
    }
}

/// Sets the wall time of this thread to `wall` and lets it advance with the
/// runtime's clock, for simulations.
pub fn simulate_wall_time(wall: SystemTime) {
    SIMULATED_WALL_TIME
        .with(|followed| followed.set(Some((wall, Instant::now()))));
}

/// Adds `time` to the suspended time that this thread sees, for tests. Every
/// test runs on its own thread.
pub fn simulate_suspension(time: Duration) {
    SIMULATED_SUSPENSION
        .with(|suspended| suspended.set(suspended.get() + time));
}

/// Returns how long the machine has been suspended since it booted; in
/// simulations, only the time that was added there.
fn suspended() -> Duration {
    let added = SIMULATED_SUSPENSION.with(Cell::get);
    // The real time that passes between two reads of clocks would make two
    // simulations of the same day differ.
    match SIMULATED_WALL_TIME.with(Cell::get) {
        Some(_) => added,
        None => added + real_suspension(),
    }
}

/// Returns how long the machine has been suspended, as the kernel counts it.
fn real_suspension() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    // The monotonic clock is read first: read second, it would include the
    // time between the reads and hide as much suspended time.
    let monotonic = read(ClockId::CLOCK_MONOTONIC);
    let boot_time = read(ClockId::CLOCK_BOOTTIME);
    match (monotonic, boot_time) {
        (Ok(monotonic), Ok(boot_time)) => boot_time.saturating_sub(monotonic),
        // A kernel without the boot-time clock reports no suspension.
        _ => Duration::ZERO,
    }
}
