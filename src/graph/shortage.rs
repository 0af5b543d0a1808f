//! What a unit that finds no room lacks, with figures.
//!
//! "No room" alone says nothing of what would help: more workers, gangs that
//! lie closer together, less that is kept, or another one that is stopped.

use crate::graph::place::Request;
use crate::graph::scheduler::Worker;
use crate::graph::Holders;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::Timestamp;

/// Why a unit finds no room, the first that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShortageKind {
    /// Fewer accelerators are free than it asks for.
    Accelerators,
    /// Enough are free, though not enough on single workers.
    Fragmented,
    /// Enough are free together, but cores or memory are not.
    Cores,
    /// There is room enough, part of it kept for others.
    Reserved,
    /// There is room enough, part of it left to more urgent work.
    Spare,
    /// There is room enough, but not within one rack.
    Rack,
}

impl ShortageKind {
    /// Returns the word for it in logs.
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

/// What a unit lacks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// Why it finds no room.
    pub kind: ShortageKind,
    /// The accelerators that it asks for.
    pub needed: i64,
    /// Those that nothing is in, on workers that it may use.
    pub free: i64,
    /// How many of its tasks would fit now, all but racks looked away from.
    pub fits: u32,
    /// The core-seconds that stopping others would throw away, if that makes
    /// room.
    pub preemption_cost: Option<f64>,
    /// Who holds the pool's accelerators.
    pub holders: Holders,
}

impl Scheduler {
    /// Returns what a unit lacks that finds no room.
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
        let lack = if free < needed {
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
            kind: lack,
            needed,
            free,
            fits,
            preemption_cost: preemption_cost,
            holders: self.holders(&request.pool),
        }
    }
}
