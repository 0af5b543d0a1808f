//! Measures how well callers were served on a day.

use std::time::Duration;

use crate::load::Load;

/// Result of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Index of the job's queue in the load.
    pub queue: usize,
    /// Work in core-seconds.
    pub work: f64,
    /// Time from the submission within which the job should end.
    pub objective: Duration,
    /// Time from the submission to the end, `None` if the job failed or did
    /// not end.
    pub response_time: Option<Duration>,
}

/// Results of a queue's jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Queue {
    /// Number of jobs submitted.
    pub submitted: u32,
    /// Number of jobs that ended within their objective.
    pub in_time: u32,
    /// Number of jobs that ended after their objective.
    pub late: u32,
    /// Value earned, as a share of the value that the queue's jobs could earn.
    pub earned: f64,
}

/// Score of a day under a policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Score {
    /// Value earned, as a share of the value that all jobs could earn.
    pub earned: f64,
    /// Results of the queues, in the order of the load.
    pub queues: Vec<Queue>,
    /// Core-seconds of work that was lost.
    pub wasted: f64,
    /// Number of urgent jobs that were within their account's guarantee at the
    /// time by which they must have begun, with no incident shortly before.
    pub guaranteed: u32,
    /// Names of those of them that had not begun by then.
    pub missed: Vec<String>,
}

/// Share of a job's weight that does not depend on its work.
const FIXED_SHARE: f64 = 0.3;
/// Maximum weight of a job, where a job of its queue's mean work has weight 1.
const MAX_WEIGHT: f64 = 4.0;
/// Multiple of its objective within which a job still earns its late value.
const LATE_FACTOR: u32 = 3;

impl Score {
    /// Returns the score of a day's jobs, without its guarantees.
    pub fn new(load: &Load, jobs: &[Job], wasted: f64) -> Score {
        let mut earned = 0.0;
        let mut possible = 0.0;
        let mut queues = Vec::new();
        for (at, settings) in load.queues.iter().enumerate() {
            let in_queue = || jobs.iter().filter(|job| job.queue == at);
            let submitted = in_queue().count() as u32;
            let total_work: f64 = in_queue().map(|job| job.work).sum();
            let mean_work = total_work / f64::from(submitted.max(1));
            let mut queue = Queue {
                submitted,
                ..Queue::default()
            };
            let (mut queue_earned, mut queue_possible) = (0.0, 0.0);
            for job in in_queue() {
                let variable =
                    (1.0 - FIXED_SHARE) * job.work / mean_work.max(1e-9);
                let weight = (FIXED_SHARE + variable).min(MAX_WEIGHT);
                queue_possible += weight * settings.value;
                queue_earned += weight
                    * match job.response_time {
                        Some(time) if time <= job.objective => {
                            queue.in_time += 1;
                            settings.value
                        }
                        Some(time) if time <= job.objective * LATE_FACTOR => {
                            queue.late += 1;
                            settings.late_value
                        }
                        Some(_) => {
                            queue.late += 1;
                            0.0
                        }
                        None => 0.0,
                    };
            }
            queue.earned = queue_earned / queue_possible.max(1e-9);
            earned += queue_earned;
            possible += queue_possible;
            queues.push(queue);
        }
        Score {
            earned: earned / f64::max(possible, 1e-9),
            queues,
            wasted,
            ..Score::default()
        }
    }
}
