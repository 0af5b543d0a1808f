//! How callers were served.

use std::time::Duration;

use crate::load::Load;

/// What came of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// The number of its queue.
    pub queue: usize,
    /// Its work in core-seconds.
    pub work: f64,
    /// Within which it was to end.
    pub objective: Duration,
    /// When it ended, after it came; nothing if it did not or failed.
    pub took: Option<Duration>,
}

/// How the jobs of a queue fared.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Queue {
    /// How many came.
    pub asked: u32,
    /// How many ended in time.
    pub in_time: u32,
    /// How many ended late.
    pub late: u32,
    /// The share of what they could earn that they did.
    pub earned: f64,
}

/// How a day went.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Score {
    /// The share of what all jobs could earn that they did.
    pub earned: f64,
    /// The queues, in their order.
    pub queues: Vec<Queue>,
    /// Core-seconds that were thrown away.
    pub thrown: f64,
    /// Urgent jobs that were within their account's guarantee when they had
    /// to have begun, with no worker in trouble shortly before.
    pub owed: u32,
    /// Those of them that had not begun, by name.
    pub broken: Vec<String>,
}

/// How much of what a job earns does not depend on its work.
const FIXED: f64 = 0.3;
/// The most that a job earns, in parts of one of mean work.
const MOST: f64 = 4.0;
/// How many times its objective a job may take and still earn something.
const LATE: u32 = 3;

impl Score {
    /// Returns the score of a day's jobs.
    pub fn of(load: &Load, jobs: &[Job], thrown: f64) -> Score {
        let mut earned = 0.0;
        let mut owed = 0.0;
        let mut queues = Vec::new();
        for (at, kind) in load.queues.iter().enumerate() {
            let here = || jobs.iter().filter(|job| job.queue == at);
            let asked = here().count() as u32;
            let all: f64 = here().map(|job| job.work).sum();
            let mean = all / f64::from(asked.max(1));
            let mut queue = Queue {
                asked,
                ..Queue::default()
            };
            let (mut got, mut could) = (0.0, 0.0);
            for job in here() {
                let more = (1.0 - FIXED) * job.work / mean.max(1e-9);
                let weight = (FIXED + more).min(MOST);
                could += weight * kind.worth;
                got += weight
                    * match job.took {
                        Some(took) if took <= job.objective => {
                            queue.in_time += 1;
                            kind.worth
                        }
                        Some(took) if took <= job.objective * LATE => {
                            queue.late += 1;
                            kind.worth_late
                        }
                        Some(_) => {
                            queue.late += 1;
                            0.0
                        }
                        None => 0.0,
                    };
            }
            queue.earned = got / could.max(1e-9);
            earned += got;
            owed += could;
            queues.push(queue);
        }
        Score {
            earned: earned / f64::max(owed, 1e-9),
            queues,
            thrown,
            ..Score::default()
        }
    }
}
