//! An independent check of the guarantees, from events and commands alone.
//!
//! The checker shares no state with any policy. It tracks which job runs where
//! and counts violations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::SystemTime;

use crate::account;
use crate::account::Account;
use crate::job;
use crate::plan::RECLAIM_TIME;
use crate::site::Mask;
use crate::site::Piece;
use crate::site::Shape;
use crate::site::Site;

/// The violations counted by a [`Checker`]. All counts should be 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that waited longer than the reclaim time although they fit into an
    /// unused guaranteed shape of their account, and although the healthy
    /// workers have room for all guaranteed shapes.
    pub guarantee_violations: u64,
    /// Starts on anything other than exactly the requested accelerators, all
    /// of them free and within one part of the site.
    pub partial_gangs: u64,
    /// Repeated starts of jobs that are not repeatable.
    pub repeated_starts: u64,
}

/// The state of a worker.
#[derive(Clone, Copy, Debug, Default)]
struct Worker {
    healthy: bool,
    used: Mask,
}

struct Job {
    account: account::Id,
    shape: Shape,
    repeatable: bool,
    starts: u32,
    pieces: Vec<Piece>,
    /// Since when the job waits although it fits into an unused guaranteed
    /// shape of its account.
    entitled_since: Option<SystemTime>,
    /// Whether the present wait was counted as a violation.
    violation_counted: bool,
}

/// A checker with its own view of the site.
pub struct Checker {
    site: Site,
    accounts: BTreeMap<account::Id, Account>,
    workers: Vec<Worker>,
    jobs: BTreeMap<job::Id, Job>,
    /// Whether all guaranteed shapes fit on the healthy workers; `None` if
    /// this has to be computed again.
    guarantees_fit: Option<bool>,
    counts: Counts,
}

impl Checker {
    /// Returns a checker for a site whose workers are all healthy.
    pub fn new(
        site: Site,
        accounts: BTreeMap<account::Id, Account>,
    ) -> Checker {
        let worker = Worker {
            healthy: true,
            used: 0,
        };
        Checker {
            workers: vec![worker; site.workers().len()],
            site,
            accounts,
            jobs: BTreeMap::new(),
            guarantees_fit: None,
            counts: Counts::default(),
        }
    }

    /// Returns the violations counted so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Records whether a worker is healthy: present, accepting work, and not
    /// failing its tasks.
    pub fn set_health(&mut self, worker: &str, healthy: bool) {
        if let Some(index) = self.site.index(worker) {
            self.workers[index].healthy = healthy;
            self.guarantees_fit = None;
        }
    }

    /// Records the submission of a job.
    pub fn record_submission(&mut self, spec: &job::Spec) {
        let job = Job {
            account: spec.account.clone(),
            shape: spec.shape,
            repeatable: spec.repeatable,
            starts: 0,
            pieces: Vec::new(),
            entitled_since: None,
            violation_counted: false,
        };
        self.jobs.insert(spec.id.clone(), job);
    }

    /// Records a command to start a job, and checks it.
    pub fn record_start(&mut self, id: &job::Id, pieces: &[Piece]) {
        let Some(job) = self.jobs.get_mut(id) else {
            self.counts.partial_gangs += 1;
            return;
        };
        let total: u32 = pieces.iter().map(Piece::len).sum();
        let whole = total == job.shape.accelerators
            && self.site.lies_within(pieces, job.shape.within)
            && job.pieces.is_empty();
        let mut free = true;
        for piece in pieces {
            let used = &mut self.workers[piece.worker].used;
            let exists = piece.mask & !self.site.full_mask() == 0;
            free &= exists && *used & piece.mask == 0;
            *used |= piece.mask;
        }
        if !whole || !free {
            self.counts.partial_gangs += 1;
        }
        job.starts += 1;
        if !job.repeatable && job.starts > 1 {
            self.counts.repeated_starts += 1;
        }
        job.pieces = pieces.to_vec();
        job.entitled_since = None;
        job.violation_counted = false;
    }

    /// Records that a job has released its accelerators.
    pub fn record_release(&mut self, id: &job::Id) {
        let pieces = self
            .jobs
            .get_mut(id)
            .map(|job| std::mem::take(&mut job.pieces))
            .unwrap_or_default();
        for piece in pieces {
            self.workers[piece.worker].used &= !piece.mask;
        }
    }

    /// Records the end of a job.
    pub fn record_end(&mut self, id: &job::Id) {
        self.record_release(id);
        self.jobs.remove(id);
    }

    /// Checks the guarantees once all events and commands at `now` are
    /// recorded.
    pub fn check(&mut self, now: SystemTime) {
        let guarantees_fit = match self.guarantees_fit {
            Some(guarantees_fit) => guarantees_fit,
            None => self.guarantees_fit_now(),
        };
        self.guarantees_fit = Some(guarantees_fit);
        let waiting: BTreeSet<account::Id> = self
            .jobs
            .values()
            .filter(|job| job.pieces.is_empty())
            .map(|job| job.account.clone())
            .collect();
        if waiting.is_empty() {
            return;
        }
        let mut running: BTreeMap<&account::Id, Vec<Shape>> = BTreeMap::new();
        let is_of_waiting_account = |job: &&Job| {
            !job.pieces.is_empty() && waiting.contains(&job.account)
        };
        for job in self.jobs.values().filter(is_of_waiting_account) {
            running.entry(&job.account).or_default().push(job.shape);
        }
        let unused: BTreeMap<account::Id, Vec<Shape>> = self
            .accounts
            .iter()
            .filter(|(id, _)| waiting.contains(*id))
            .map(|(id, terms)| {
                let running = running.remove(id).unwrap_or_default();
                (id.clone(), unused_shapes(terms, running))
            })
            .collect();
        for job in self.jobs.values_mut().filter(|j| j.pieces.is_empty()) {
            let shapes = unused.get(&job.account);
            let entitled = guarantees_fit
                && shapes.into_iter().flatten().any(|s| s.holds(&job.shape));
            match job.entitled_since {
                _ if !entitled => {
                    job.entitled_since = None;
                    job.violation_counted = false;
                }
                None => job.entitled_since = Some(now),
                Some(since)
                    if now > since + RECLAIM_TIME
                        && !job.violation_counted =>
                {
                    job.violation_counted = true;
                    self.counts.guarantee_violations += 1;
                }
                Some(_) => {}
            }
        }
    }

    /// Returns whether all guaranteed shapes fit on the healthy workers
    /// together, the largest placed first.
    fn guarantees_fit_now(&self) -> bool {
        let whole = self.site.accelerators();
        let mut rooms: Vec<u32> = self
            .workers
            .iter()
            .map(|worker| if worker.healthy { whole } else { 0 })
            .collect();
        let mut shapes: Vec<Shape> = self
            .accounts
            .values()
            .flat_map(|terms| terms.guarantee.iter().copied())
            .collect();
        shapes.sort_by_key(|s| (std::cmp::Reverse(s.accelerators), s.within));
        shapes
            .into_iter()
            .all(|shape| self.reserve(shape, &mut rooms))
    }

    /// Takes room for a shape in the tightest part of the site that holds it.
    /// Returns whether there is one.
    fn reserve(&self, shape: Shape, rooms: &mut [u32]) -> bool {
        let tightest = self
            .site
            .domains(shape.within)
            .map(|domain| {
                let room: u32 = domain.iter().map(|&w| rooms[w]).sum();
                (room, domain)
            })
            .filter(|(room, _)| *room >= shape.accelerators)
            .min_by_key(|(room, _)| *room);
        let Some((_, domain)) = tightest else {
            return false;
        };
        let mut workers = domain.to_vec();
        workers.sort_by_key(|&w| (std::cmp::Reverse(rooms[w]), w));
        let mut needed = shape.accelerators;
        for worker in workers {
            let taken = needed.min(rooms[worker]);
            rooms[worker] -= taken;
            needed -= taken;
        }
        true
    }
}

/// Returns the guaranteed shapes that an account's running jobs leave unused.
/// Jobs are assigned to the tightest shape that holds them, the largest job
/// first.
fn unused_shapes(terms: &Account, mut running: Vec<Shape>) -> Vec<Shape> {
    running.sort_by_key(|s| std::cmp::Reverse(s.accelerators));
    let mut rooms: Vec<(Shape, u32)> = terms
        .guarantee
        .iter()
        .map(|s| (*s, s.accelerators))
        .collect();
    for job in running {
        let room = rooms
            .iter_mut()
            .filter(|(shape, room)| {
                shape.holds(&job) && *room >= job.accelerators
            })
            .min_by_key(|(_, room)| *room);
        if let Some((_, room)) = room {
            *room -= job.accelerators;
        }
    }
    rooms
        .into_iter()
        .filter(|(shape, room)| shape.accelerators == *room)
        .map(|(shape, _)| shape)
        .collect()
}
