//! The shortage of a unit that finds no room, in figures.
//!
//! A bare "no room" does not show what would help: more workers, gangs that
//! are packed more closely, fewer reservations, or another run that is
//! stopped.

use crate::graph::place::Request;
use crate::graph::scheduler::Worker;
use crate::graph::PoolUsage;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::Timestamp;

/// Why a unit finds no room. The first kind that applies is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShortageKind {
    /// Fewer accelerators are free than the unit requests.
    Accelerators,
    /// Enough accelerators are free, but not enough on single workers.
    Fragmented,
    /// The accelerators would suffice, but CPU or memory does not.
    Cores,
    /// The resources would suffice, but a part of them is reserved for others.
    Reserved,
    /// The resources would suffice, but a part of them is left to more urgent
    /// work.
    Spare,
    /// The resources would suffice, but not within one rack.
    Rack,
}

impl ShortageKind {
    /// Returns the value that names the kind in logs.
    pub fn word(self) -> &'static str {
        match self {
            ShortageKind::Accelerators => "accelerators",
            ShortageKind::Fragmented => "accelerators together",
            ShortageKind::Cores => "cores or memory",
            ShortageKind::Reserved => "room that is kept",
            ShortageKind::Spare => "room for urgent work",
            ShortageKind::Rack => "room in one rack",
        }
    }
}

/// The shortage of a waiting unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// Why the unit finds no room.
    pub kind: ShortageKind,
    /// The accelerators that the unit requests.
    pub needed: i64,
    /// The unoccupied accelerators on workers that the unit may use.
    pub free: i64,
    /// How many of the unit's tasks would fit now, without regard to racks.
    pub fits: u32,
    /// The core-seconds that preemption would lose, if it could make room.
    pub preemption_cost: Option<f64>,
    /// How the pool's accelerators are used.
    pub usage: PoolUsage,
}

impl Scheduler {
    /// Returns the shortage of a unit that finds no room.
    pub(super) fn shortage(
        &self,
        request: &Request,
        preemption_cost: Option<f64>,
        now: Timestamp,
    ) -> Shortage {
        let workers = self.workers.values();
        let usable = workers.filter(|w| self.is_usable(w, request, now));
        let usable: Vec<&Worker> = usable.collect();
        let accelerators = Resources {
            accelerators: request.charge.accelerators,
            ..Resources::default()
        };
        let slots = |room: fn(&Worker) -> Resources, charge: &Resources| {
            let each = usable.iter().map(|w| room(w).times(charge));
            each.fold(0, u32::saturating_add)
        };
        let free = usable.iter().map(|w| w.unoccupied().accelerators).sum();
        let needed = request.charge.accelerators * i64::from(request.width);
        let candidates = self.candidates(request, now);
        let fits = candidates.iter().map(|c| c.slots(&request.charge));
        let fits = fits.fold(0, u32::saturating_add);
        let width = request.width;
        let kind = if free < needed {
            ShortageKind::Accelerators
        } else if slots(Worker::unoccupied, &accelerators) < width {
            ShortageKind::Fragmented
        } else if slots(Worker::unoccupied, &request.charge) < width {
            ShortageKind::Cores
        } else if slots(Worker::free, &request.charge) < width {
            ShortageKind::Reserved
        } else if fits < width {
            ShortageKind::Spare
        } else {
            ShortageKind::Rack
        };
        Shortage {
            kind,
            needed,
            free,
            fits,
            preemption_cost,
            usage: self.pool_usage(&request.pool),
        }
    }
}
