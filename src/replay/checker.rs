//! An independent check of the promises, from events and commands alone.
//!
//! It shares no books with any policy: it keeps its own view of who runs
//! where, and counts what should never be.

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

/// What should never be, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Accounts kept waiting for an unused guaranteed shape.
    pub guarantee_violations: u64,
    /// Starts on other than all accelerators that were asked for.
    pub partial_gangs: u64,
    /// Second starts of jobs that may not repeat.
    pub repeated_starts: u64,
}

/// A worker as the checker sees it.
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
    entitled_since: Option<SystemTime>,
    counted: bool,
}

/// The checker and its own view of the site.
pub struct Checker {
    site: Site,
    accounts: BTreeMap<account::Id, Account>,
    workers: Vec<Worker>,
    jobs: BTreeMap<job::Id, Job>,
    enough: Option<bool>,
    counts: Counts,
}

impl Checker {
    /// Returns a checker for a site of which all workers are healthy.
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
            enough: None,
            counts: Counts::default(),
        }
    }

    /// Returns what was counted so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Takes in whether a worker is there, takes work and does it.
    pub fn worker(&mut self, worker: &str, healthy: bool) {
        if let Some(index) = self.site.index(worker) {
            self.workers[index].healthy = healthy;
            self.enough = None;
        }
    }

    /// Takes in that a job was submitted.
    pub fn submitted(&mut self, spec: &job::Spec) {
        let job = Job {
            account: spec.account.clone(),
            shape: spec.shape,
            repeatable: spec.repeatable,
            starts: 0,
            pieces: Vec::new(),
            entitled_since: None,
            counted: false,
        };
        self.jobs.insert(spec.id.clone(), job);
    }

    /// Takes in a command to start a job.
    pub fn started(&mut self, id: &job::Id, pieces: &[Piece]) {
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
        job.counted = false;
    }

    /// Takes in that a job no longer has its accelerators.
    pub fn stopped(&mut self, id: &job::Id) {
        let pieces = self
            .jobs
            .get_mut(id)
            .map(|job| std::mem::take(&mut job.pieces))
            .unwrap_or_default();
        for piece in pieces {
            self.workers[piece.worker].used &= !piece.mask;
        }
    }

    /// Takes in that a job has ended.
    pub fn ended(&mut self, id: &job::Id) {
        self.stopped(id);
        self.jobs.remove(id);
    }

    /// Looks at the site after all that happened at `now`.
    pub fn look(&mut self, now: SystemTime) {
        let enough = match self.enough {
            Some(enough) => enough,
            None => self.enough_workers(),
        };
        self.enough = Some(enough);
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
        let of_waiting = |job: &&Job| {
            !job.pieces.is_empty() && waiting.contains(&job.account)
        };
        for job in self.jobs.values().filter(of_waiting) {
            running.entry(&job.account).or_default().push(job.shape);
        }
        let unused: BTreeMap<account::Id, Vec<Shape>> = self
            .accounts
            .iter()
            .filter(|(id, _)| waiting.contains(*id))
            .map(|(id, terms)| {
                let running = running.remove(id).unwrap_or_default();
                (id.clone(), unused(terms, running))
            })
            .collect();
        for job in self.jobs.values_mut().filter(|j| j.pieces.is_empty()) {
            let shapes = unused.get(&job.account);
            let entitled = enough
                && shapes.into_iter().flatten().any(|s| s.holds(&job.shape));
            match job.entitled_since {
                _ if !entitled => {
                    job.entitled_since = None;
                    job.counted = false;
                }
                None => job.entitled_since = Some(now),
                Some(since) if now > since + RECLAIM_TIME && !job.counted => {
                    job.counted = true;
                    self.counts.guarantee_violations += 1;
                }
                Some(_) => {}
            }
        }
    }

    /// Returns whether all guaranteed shapes fit on the healthy workers.
    fn enough_workers(&self) -> bool {
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
        shapes.into_iter().all(|shape| self.put(shape, &mut rooms))
    }

    fn put(&self, shape: Shape, rooms: &mut [u32]) -> bool {
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

/// Returns the shapes that an account's running jobs leave unused, the jobs
/// put into the tightest shapes, the largest first.
fn unused(terms: &Account, mut running: Vec<Shape>) -> Vec<Shape> {
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
