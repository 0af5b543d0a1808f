//! Waits for an order's event in the calls of the store, and begins its fault.

use std::time::Duration;

use crate::network::ProcessId;
use crate::orders::Fault;
use crate::orders::Milestone;
use crate::orders::Order;
use crate::orders::Planner;

/// How late a call is carried out.
pub const LATE: Duration = Duration::from_secs(3);

/// How far the event has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// So many claims were made.
    Claims(usize),
    /// The process has claimed; the milestone is not reached.
    Claimed(ProcessId),
    /// So many calls of the process are left, with the event's.
    Counting(ProcessId, usize),
    /// The event was met.
    Met,
}

/// An order's event and fault.
#[derive(Clone, Copy, Debug)]
pub struct Trigger {
    order: Order,
    state: State,
}

impl Trigger {
    /// Returns a trigger that has seen no call.
    pub fn new(order: Order) -> Trigger {
        Trigger {
            order,
            state: State::Claims(0),
        }
    }

    /// Returns whether the event was met.
    pub fn is_met(&self) -> bool {
        self.state == State::Met
    }

    /// Records a call of a process. Returns the fault that begins with it.
    pub fn on_call(&mut self, process: ProcessId) -> Option<Fault> {
        match self.state {
            State::Counting(counted, left) if counted == process => {
                let is_met = left <= 1;
                self.state = match is_met {
                    true => State::Met,
                    false => State::Counting(process, left - 1),
                };
                is_met.then_some(self.order.fault)
            }
            _ => None,
        }
    }

    /// Records what a process has done.
    pub fn on_milestone(&mut self, process: ProcessId, reached: Milestone) {
        let event = self.order.event;
        let wanted = match event.planner {
            Planner::First => 1,
            Planner::Next => 2,
        };
        match self.state {
            State::Claims(claims) if reached == Milestone::Claim => {
                self.state = match claims + 1 == wanted {
                    true => State::Claimed(process),
                    false => State::Claims(claims + 1),
                };
            }
            _ => {}
        }
        if self.state == State::Claimed(process) && reached == event.after {
            self.state = State::Counting(process, event.call);
        }
    }
}
