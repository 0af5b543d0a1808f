//! How long stops take, learned from stops.
//!
//! The longest time that a stop may take is several times what most stops
//! take. A unit that has less time left than that, but more than a usual stop
//! needs, can still be served; one that has less than a usual stop needs would
//! be late in any case, and what is stopped for it is lost for nothing.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::graph::SharedStr;

/// The number of stops that are remembered for each pool.
const MAX_STOPS: usize = 32;
/// The number of stops from which the estimate is used.
const MIN_STOPS: usize = 4;
/// The share of stops that take at most the estimated time.
const QUANTILE: f64 = 0.9;

/// The share by which an estimate must change to be reported again.
const NEWS_SHARE: f64 = 0.2;
/// The least time between two reports on a pool.
const NEWS_INTERVAL: Duration = Duration::from_secs(1);

/// The last stops of each pool.
#[derive(Clone, Debug, Default)]
pub struct StopTimes {
    by_pool: BTreeMap<SharedStr, VecDeque<Duration>>,
    /// The estimate of each pool that was reported last, and when.
    reported: BTreeMap<SharedStr, (Duration, Instant)>,
}

impl StopTimes {
    /// Records how long a stop took, from the decision to the last end.
    pub fn record(&mut self, pool: &SharedStr, took: Duration) {
        let stops = self.by_pool.entry(pool.clone()).or_default();
        if stops.len() >= MAX_STOPS {
            stops.pop_front();
        }
        stops.push_back(took);
    }

    /// Returns the time within which a stop in a pool is expected to be over,
    /// at most `bound`; the bound itself until enough stops were seen.
    pub fn estimate(&self, pool: &str, bound: Duration) -> Duration {
        let stops = self.by_pool.get(pool).filter(|s| s.len() >= MIN_STOPS);
        let Some(stops) = stops else {
            return bound;
        };
        let mut sorted: Vec<Duration> = stops.iter().copied().collect();
        sorted.sort();
        let rank = (sorted.len() as f64 * QUANTILE).ceil() as usize;
        let index = rank.saturating_sub(1).min(sorted.len() - 1);
        sorted[index].min(bound)
    }

    /// Returns a pool's estimate if it has changed clearly since it was
    /// reported last, with the value that was reported then.
    pub fn news(
        &mut self,
        pool: &SharedStr,
        bound: Duration,
        now: Instant,
    ) -> Option<(Duration, Duration)> {
        let time = self.estimate(pool, bound);
        let reported = self.reported.get(pool).copied();
        let recent = reported.is_some_and(|(_, at)| now < at + NEWS_INTERVAL);
        let before = reported.map_or(bound, |(time, _)| time);
        if recent || time.abs_diff(before) <= before.mul_f64(NEWS_SHARE) {
            return None;
        }
        self.reported.insert(pool.clone(), (time, now));
        Some((time, before))
    }
}
