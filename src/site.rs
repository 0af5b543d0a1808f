//! The site: halls of racks of workers, and the shapes that fit on them.
//!
//! A [`Site`] only grows. Whether a worker is healthy, leaving or lost is
//! tracked by the [`plan`](crate::plan).

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// The name of a worker.
pub type WorkerId = Arc<str>;
/// The name of a rack.
pub type RackId = Arc<str>;
/// The name of a hall.
pub type HallId = Arc<str>;
/// The index of a worker in its [`Site`].
pub type WorkerIndex = usize;
/// A set of accelerators of one worker, one bit each.
pub type Mask = u64;

/// The maximum number of accelerators of a worker: the bits of a [`Mask`].
pub const MAX_ACCELERATORS: u32 = Mask::BITS;

/// The part of a site that must contain a whole shape.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Within {
    /// One worker.
    Worker,
    /// One rack.
    Rack,
    /// One hall.
    Hall,
    /// Anywhere on the site.
    Any,
}

impl fmt::Display for Within {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Within::Worker => "worker",
            Within::Rack => "rack",
            Within::Hall => "hall",
            Within::Any => "any",
        })
    }
}

/// A number of accelerators and the part of the site that holds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// The number of accelerators.
    pub accelerators: u32,
    /// The part of the site that must contain all of them.
    pub within: Within,
}

impl Shape {
    /// Returns whether a job of shape `job` fits inside this shape.
    ///
    /// # Examples
    ///
    /// ```
    /// use landingvalve::site::Shape;
    /// use landingvalve::site::Within;
    ///
    /// let rack = Shape { accelerators: 16, within: Within::Rack };
    /// let hall = Shape { accelerators: 16, within: Within::Hall };
    /// assert!(rack.holds(&hall));
    /// assert!(!hall.holds(&rack));
    /// ```
    pub fn holds(&self, job: &Shape) -> bool {
        job.accelerators <= self.accelerators && self.within <= job.within
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} within {}", self.accelerators, self.within)
    }
}

/// The accelerators of one worker that belong to one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The worker.
    pub worker: WorkerIndex,
    /// The accelerators.
    pub mask: Mask,
}

impl Piece {
    /// Returns the number of accelerators of the piece.
    pub fn len(&self) -> u32 {
        self.mask.count_ones()
    }

    /// Returns whether the piece has no accelerators.
    pub fn is_empty(&self) -> bool {
        self.mask == 0
    }
}

/// A worker and its location.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The name of the worker.
    pub id: WorkerId,
    /// The index of its rack in [`Site::racks`].
    pub rack: usize,
    /// The index of its hall in [`Site::halls`].
    pub hall: usize,
}

/// A rack and the workers in it.
#[derive(Clone, Debug)]
pub struct Rack {
    /// The name of the rack.
    pub id: RackId,
    /// The index of its hall in [`Site::halls`].
    pub hall: usize,
    /// The indexes of its workers.
    pub workers: Vec<WorkerIndex>,
}

/// A hall and the workers in it.
#[derive(Clone, Debug)]
pub struct Hall {
    /// The name of the hall.
    pub id: HallId,
    /// The indexes of its workers.
    pub workers: Vec<WorkerIndex>,
}

/// Halls, racks and workers, and the number of accelerators of each worker.
#[derive(Clone, Debug)]
pub struct Site {
    accelerators: u32,
    workers: Vec<Worker>,
    racks: Vec<Rack>,
    halls: Vec<Hall>,
    all: Vec<WorkerIndex>,
    by_id: BTreeMap<WorkerId, WorkerIndex>,
}

/// An invalid description of a site.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The number of accelerators is out of range.
    #[error(
        "accelerators: {0} is out of range, expected 1 to {MAX_ACCELERATORS}"
    )]
    Accelerators(u32),
    /// A worker is listed in two racks.
    #[error("worker: {0:?} is in two racks, expected one rack per worker")]
    DuplicateWorker(WorkerId),
}

impl Site {
    /// Returns a site without workers, each of which will have `accelerators`
    /// accelerators.
    ///
    /// # Errors
    ///
    /// If `accelerators` is not within 1 to [`MAX_ACCELERATORS`].
    pub fn new(accelerators: u32) -> Result<Site, Error> {
        if !(1..=MAX_ACCELERATORS).contains(&accelerators) {
            return Err(Error::Accelerators(accelerators));
        }
        Ok(Site {
            accelerators,
            workers: Vec::new(),
            racks: Vec::new(),
            halls: Vec::new(),
            all: Vec::new(),
            by_id: BTreeMap::new(),
        })
    }

    /// Adds a worker, and its hall and rack if they are new. Returns the index
    /// of the worker, which stays the same if the worker is added again.
    ///
    /// # Errors
    ///
    /// If the worker is already in another rack.
    pub fn add(
        &mut self,
        hall: &str,
        rack: &str,
        worker: &str,
    ) -> Result<WorkerIndex, Error> {
        let hall_index = self.hall(hall);
        let rack_index = self.rack(hall_index, rack);
        if let Some(&index) = self.by_id.get(worker) {
            return match self.workers[index].rack == rack_index {
                true => Ok(index),
                false => Err(Error::DuplicateWorker(worker.into())),
            };
        }
        let index = self.workers.len();
        let id: WorkerId = worker.into();
        self.by_id.insert(id.clone(), index);
        self.workers.push(Worker {
            id,
            rack: rack_index,
            hall: hall_index,
        });
        self.racks[rack_index].workers.push(index);
        self.halls[hall_index].workers.push(index);
        self.all.push(index);
        Ok(index)
    }

    /// Returns the index of a hall, which is added if it is new.
    fn hall(&mut self, id: &str) -> usize {
        match self.halls.iter().position(|hall| &*hall.id == id) {
            Some(index) => index,
            None => {
                self.halls.push(Hall {
                    id: id.into(),
                    workers: Vec::new(),
                });
                self.halls.len() - 1
            }
        }
    }

    /// Returns the index of a rack, which is added if it is new. Racks of
    /// different halls may share a name.
    fn rack(&mut self, hall: usize, id: &str) -> usize {
        let matches = |rack: &Rack| rack.hall == hall && &*rack.id == id;
        match self.racks.iter().position(matches) {
            Some(index) => index,
            None => {
                self.racks.push(Rack {
                    id: id.into(),
                    hall,
                    workers: Vec::new(),
                });
                self.racks.len() - 1
            }
        }
    }

    /// Returns the number of accelerators of each worker.
    pub fn accelerators(&self) -> u32 {
        self.accelerators
    }

    /// Returns the mask of all accelerators of a worker.
    pub fn full_mask(&self) -> Mask {
        Mask::MAX >> (MAX_ACCELERATORS - self.accelerators)
    }

    /// Returns the workers, in the order of their indexes.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Returns the racks.
    pub fn racks(&self) -> &[Rack] {
        &self.racks
    }

    /// Returns the halls.
    pub fn halls(&self) -> &[Hall] {
        &self.halls
    }

    /// Returns the index of a worker, if it is on the site.
    pub fn index(&self, worker: &str) -> Option<WorkerIndex> {
        self.by_id.get(worker).copied()
    }

    /// Returns the parts of the site of the kind `within`, each as the indexes
    /// of its workers.
    pub fn domains(
        &self,
        within: Within,
    ) -> Box<dyn Iterator<Item = &[WorkerIndex]> + '_> {
        match within {
            Within::Worker => Box::new(self.all.chunks(1)),
            Within::Rack => {
                Box::new(self.racks.iter().map(|rack| &*rack.workers))
            }
            Within::Hall => {
                Box::new(self.halls.iter().map(|hall| &*hall.workers))
            }
            Within::Any => Box::new(std::iter::once(&*self.all)),
        }
    }

    /// Returns whether all `pieces` lie within one part of the site of the
    /// kind `within`.
    pub fn lies_within(&self, pieces: &[Piece], within: Within) -> bool {
        let Some(first) = pieces.first() else {
            return true;
        };
        let first = &self.workers[first.worker];
        pieces.iter().all(|piece| {
            let worker = &self.workers[piece.worker];
            match within {
                Within::Worker => worker.id == first.id,
                Within::Rack => worker.rack == first.rack,
                Within::Hall => worker.hall == first.hall,
                Within::Any => true,
            }
        })
    }
}
