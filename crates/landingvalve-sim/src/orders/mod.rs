//! Faults bound to events: each order of a fault and a call, one by one.
//!
//! Days draw the times of their faults, so that two events that lie 4 ms apart
//! are hardly ever told apart. An [`Order`] names a call of the store (the Nth
//! of a planner's process after it has claimed, read the records or written)
//! and the fault that begins with it. [`play`] plays a small site with it:
//! three entries, three workers and a few jobs, whose planner is killed once.

mod event;
mod fault;
mod table;
mod trigger;

pub use event::Event;
pub use event::Milestone;
pub use event::Planner;
pub use fault::Fault;
pub use table::Table;
pub use trigger::Trigger;
pub use trigger::LATE;

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::thread;

use crate::day;
use crate::day::Report;
use crate::lock;

/// A fault and the event that it begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// The event.
    pub event: Event,
    /// The fault.
    pub fault: Fault,
}

impl Order {
    /// Returns all orders.
    pub fn all() -> Vec<Order> {
        let faults = Fault::all();
        let of = |event| {
            let faults = faults.clone().into_iter();
            faults.map(move |fault| Order { event, fault })
        };
        Event::all().flat_map(of).collect()
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.event, self.fault)
    }
}

impl FromStr for Order {
    type Err = UnknownOrder;

    fn from_str(text: &str) -> Result<Order, UnknownOrder> {
        let parts: Vec<&str> = text.splitn(4, '-').collect();
        let [planner, after, call, fault] = parts[..] else {
            let expected = "PLANNER-MILESTONE-CALL-FAULT";
            return Err(UnknownOrder::new("order", text, expected));
        };
        let after: Milestone = after.parse()?;
        let calls = 1..=after.calls();
        let number = call.parse().ok().filter(|call| calls.contains(call));
        let expected = format!("{} to {}", calls.start(), calls.end());
        let unknown = || UnknownOrder::new("call", call, &expected);
        Ok(Order {
            event: Event {
                planner: planner.parse()?,
                after,
                call: number.ok_or_else(unknown)?,
            },
            fault: fault.parse()?,
        })
    }
}

/// A text that names no order.
#[derive(Debug, PartialEq, Eq)]
pub struct UnknownOrder {
    part: &'static str,
    text: String,
    expected: String,
}

impl UnknownOrder {
    fn new(part: &'static str, text: &str, expected: &str) -> UnknownOrder {
        UnknownOrder {
            part,
            text: text.to_owned(),
            expected: expected.to_owned(),
        }
    }
}

impl fmt::Display for UnknownOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let UnknownOrder {
            part,
            text,
            expected,
        } = self;
        write!(f, "{part} {text:?}: expected {expected}")
    }
}

impl std::error::Error for UnknownOrder {}

/// An order that was played.
#[derive(Clone, Debug)]
pub struct Played {
    /// The order.
    pub order: Order,
    /// Whether the day had the event.
    pub is_met: bool,
    /// The results of the day.
    pub report: Report,
}

/// Plays one order.
pub fn play(order: Order) -> Played {
    let (report, is_met) = day::simulate_order(order);
    Played {
        order,
        is_met,
        report,
    }
}

/// Plays orders on all cores, and calls `progress` with the number of those
/// that were played.
pub fn play_all(
    orders: &[Order],
    progress: impl Fn(usize) + Sync,
) -> Vec<Played> {
    let next = AtomicUsize::new(0);
    let played: Mutex<Vec<Played>> = Mutex::default();
    let cores = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                while let Some(order) =
                    orders.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    let mut result = play(*order);
                    if result.report.violations.is_empty() {
                        result.report.timeline.clear();
                    }
                    let count = {
                        let mut played = lock(&played);
                        played.push(result);
                        played.len()
                    };
                    progress(count);
                }
            });
        }
    });
    let mut played = std::mem::take(&mut *lock(&played));
    played.sort_by_key(|played| played.order);
    played
}
