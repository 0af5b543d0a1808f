//! Room that becomes free by itself soon enough.
//!
//! Made for urgent gangs with seconds of time left on a fleet of short runs: a
//! stop discards work to start such a gang earlier than its caller needs. Only
//! ends that the progress of a run shows are counted on, because declared
//! times are often off by a factor of two or more.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::graph::eviction::Need;
use crate::graph::eviction::Room;
use crate::graph::AgentId;
use crate::graph::Place;
use crate::graph::Resources;

/// How much the rate at which a run works may still change, as a share of its
/// remaining time.
const RATE_ERROR: f64 = 0.25;
/// How far the difference of two shares may be off, in percent, because each
/// is reported as a whole number.
const ROUNDING_PERCENT: f64 = 2.0;

/// An expected end of a run's member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct End {
    /// The time after which the member has ended even if its estimate is off
    /// by its margin.
    pub within: Duration,
    /// The resources that the end frees.
    pub charge: Resources,
}

/// The expected ends on each agent's worker, the earliest first.
pub type Ends = BTreeMap<AgentId, Vec<End>>;

/// Returns what the estimate of a remaining time may be off, if `observed`
/// percent of the work were seen; at least `min_margin`.
pub fn margin(
    remaining: Duration,
    observed: f64,
    min_margin: Duration,
) -> Duration {
    let error = ROUNDING_PERCENT / observed.max(1.0) + RATE_ERROR;
    remaining.mul_f64(error).max(min_margin)
}

/// Returns the time within which a worker has room for `charge`.
pub fn room_within(
    free: Resources,
    charge: &Resources,
    ends: &[End],
) -> Option<Duration> {
    let mut free = free;
    if free.holds(charge) {
        return Some(Duration::ZERO);
    }
    for end in ends {
        free = free.plus(&end.charge);
        if free.holds(charge) {
            return Some(end.within);
        }
    }
    None
}

/// Returns the places that have room for a unit first, and the time within
/// which all of them do, if that is at most `limit`.
pub fn earliest_places(
    need: &Need,
    rooms: Vec<Room>,
    ends: &Ends,
    limit: Duration,
) -> Option<(Duration, Vec<Place>)> {
    let within = |room: &Room| {
        let ends = ends.get(&room.place.agent).map_or(&[][..], Vec::as_slice);
        let time = room_within(room.free, &need.charge, ends)?;
        (room.quota > 0 && time <= limit).then_some(time)
    };
    let rooms = rooms.into_iter();
    let mut open: Vec<(Duration, Room)> = rooms
        .filter_map(|room| Some((within(&room)?, room)))
        .collect();
    let mut last = Duration::ZERO;
    let mut places = Vec::new();
    for _ in 0..need.width {
        let times = open.iter().enumerate();
        let (index, _) = times.min_by_key(|(_, (time, _))| *time)?;
        let (time, room) = &mut open[index];
        last = last.max(*time);
        places.push(room.place.clone());
        room.free = room.free.minus(&need.charge);
        room.quota -= 1;
        match within(room) {
            Some(next) => *time = next,
            None => {
                open.swap_remove(index);
            }
        }
    }
    Some((last, places))
}
