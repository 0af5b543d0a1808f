//! Room kept for units that would else never find enough of it at once.
//!
//! Small tasks fill every gap as soon as it opens. A unit that has waited
//! is therefore promised the workers that will have room for it first:
//! nothing new is placed there until it has begun.
//!
//! Not before it has no time left: room kept after 1.5 s for gangs with 17 s
//! stood empty while others ran out of time.

use std::time::Duration;
use std::time::Instant;

use crate::graph::entry::Entry;
use crate::graph::place::Candidate;
use crate::graph::place::Request;
use crate::graph::unit::Member;
use crate::graph::unit::Phase;
use crate::graph::JobId;
use crate::graph::Place;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// How long a unit waits before room is kept for it.
const PATIENCE: Duration = Duration::from_millis(1500);
/// The share of its age that a run is expected to go on for at least.
const OUTLIVED: f64 = 0.15;

/// When something that runs on a worker is expected to end.
#[derive(Clone, Copy, Debug)]
struct Release {
    at: Instant,
    charge: Resources,
}

impl Scheduler {
    /// Keeps room for a unit that finds no place, if it has waited and not
    /// too much is kept already; returns whether it is.
    pub(super) fn keep_room(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        request: &Request,
        now: Timestamp,
    ) -> bool {
        if now.monotonic < request.ready + PATIENCE
            || self.has_time(id, key, now)
        {
            return false;
        }
        let workers = self.candidates(request, now).len();
        let kept = self.kept_workers(request);
        let most = (workers as f64 * self.terms.policy.reserved_share).ceil()
            as usize;
        if kept.len() >= most {
            return false;
        }
        let best = self
            .choices(request, now)
            .into_iter()
            .filter_map(|chosen| self.soonest(request, chosen, now))
            .min_by_key(|(at, _)| *at);
        let Some((_, places)) = best else {
            return false;
        };
        self.reserve(id, key, places, (0, 0.0), now);
        true
    }

    /// Returns whether a unit can wait and be in time all the same; one that
    /// lasts has no time to lose.
    fn has_time(&self, id: &JobId, key: &UnitKey, now: Timestamp) -> bool {
        let Some(entry) = self.jobs.get(id) else {
            return false;
        };
        self.terms.policy.reserve_only_late
            && !entry.job.steps[key.step].lasting
            && self.slack(entry, key, now) > 0
    }

    /// Returns the workers on which room is kept.
    fn kept_workers(&self, request: &Request) -> Vec<Place> {
        let mut kept = Vec::new();
        for entry in self.live() {
            if entry.job.pool != request.pool {
                continue;
            }
            let reserved = entry
                .units
                .values()
                .filter(|unit| matches!(unit.phase, Phase::Reserved(_)));
            for member in reserved.flat_map(|unit| unit.members()) {
                if !kept.contains(&member.place) {
                    kept.push(member.place.clone());
                }
            }
        }
        kept
    }

    /// Returns the places that have room for a unit first, and when.
    fn soonest(
        &self,
        request: &Request,
        candidates: Vec<Candidate>,
        now: Timestamp,
    ) -> Option<(Instant, Vec<Place>)> {
        let mut workers: Vec<(Candidate, Vec<Release>)> = candidates
            .into_iter()
            .map(|candidate| {
                let releases = self.releases(&candidate.place, now);
                (candidate, releases)
            })
            .collect();
        let mut last = now.monotonic;
        let mut places = Vec::new();
        for _ in 0..request.width {
            let (at, worker) = workers
                .iter_mut()
                .filter(|(candidate, _)| candidate.quota > 0)
                .filter_map(|worker| {
                    let at = fits_at(request, &worker.0, &worker.1, now)?;
                    Some((at, worker))
                })
                .min_by_key(|(at, _)| *at)?;
            worker.0.free = worker.0.free.minus(&request.charge);
            worker.0.quota -= 1;
            places.push(worker.0.place.clone());
            last = last.max(at);
        }
        Some((last, places))
    }

    /// Returns when a member is expected to end.
    pub(super) fn expected_end(
        &self,
        entry: &Entry,
        key: &UnitKey,
        member: &Member,
        now: Timestamp,
    ) -> Instant {
        let whole = self.expect(entry, key.step);
        let ran = now.monotonic.saturating_duration_since(member.since);
        // What has outlived its expectation goes on for a while yet.
        let left = whole.saturating_sub(ran).max(ran.mul_f64(OUTLIVED));
        now.monotonic + left
    }

    /// Returns what runs on a worker, by when it is expected to end.
    fn releases(&self, place: &Place, now: Timestamp) -> Vec<Release> {
        let mut releases = Vec::new();
        for entry in self.live() {
            for (key, unit) in &entry.units {
                if !matches!(unit.phase, Phase::Running(_)) {
                    continue;
                }
                let here = unit.members().filter(|m| m.place == *place);
                releases.extend(here.map(|member| Release {
                    at: self.expected_end(entry, key, member, now),
                    charge: entry.job.steps[key.step].charge(),
                }));
            }
        }
        releases.sort_by_key(|release| release.at);
        releases
    }
}

/// Returns when a worker has room for one more member.
fn fits_at(
    request: &Request,
    candidate: &Candidate,
    releases: &[Release],
    now: Timestamp,
) -> Option<Instant> {
    let mut free = candidate.free;
    if free.holds(&request.charge) {
        return Some(now.monotonic);
    }
    for release in releases {
        free = free.plus(&release.charge);
        if free.holds(&request.charge) {
            return Some(release.at);
        }
    }
    None
}
