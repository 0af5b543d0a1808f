//! Ends that are not written yet.
//!
//! A planner may lose its claim before the store takes a write. The agent that
//! listed an end lists it again to the next planner, unless it is gone by then.
//! The process of the planner that ends therefore hands its unwritten ends on.

use std::collections::BTreeMap;

use crate::graph::unreadable::Known;
use crate::graph::Ended;
use crate::graph::JobId;
use crate::graph::KeptEnd;
use crate::graph::Place;
use crate::graph::Scheduler;

/// An end that was applied to a job's progress.
#[derive(Clone, Debug)]
pub(super) struct UnwrittenEnd {
    end: KeptEnd,
    /// The version of the job's progress that contains the end.
    version: u64,
}

impl Scheduler {
    /// Notes an end that was just applied, if its job's progress must be
    /// written.
    pub(super) fn note_unwritten(&mut self, place: &Place, ended: &Ended) {
        let id = &ended.task.job;
        let version = self.kept_version(id);
        if !self.jobs.contains_key(id) || self.is_written(id, version) {
            return;
        }
        let end = KeptEnd {
            place: place.clone(),
            ended: ended.clone(),
        };
        let unwritten = UnwrittenEnd { end, version };
        self.unwritten_ends
            .entry(id.clone())
            .or_default()
            .push(unwritten);
    }

    /// Forgets the ends that a written version of a job's progress contains.
    pub(super) fn drop_written(&mut self, id: &str, written: u64) {
        let Some(ends) = self.unwritten_ends.get_mut(id) else {
            return;
        };
        ends.retain(|end| end.version > written);
        if ends.is_empty() {
            self.unwritten_ends.remove(id);
        }
    }

    /// Returns the ends that this planner has read and nobody has written, by
    /// job.
    pub fn unwritten_ends(&self) -> BTreeMap<JobId, Vec<KeptEnd>> {
        let known = self.unwritten_ends.iter().map(|(id, ends)| {
            let ends = ends.iter().map(|unwritten| unwritten.end.clone());
            (id.clone(), ends.collect())
        });
        let unreadable =
            self.unreadable_jobs.keys().filter_map(|id| {
                match self.look_up(id) {
                    Known::Unreadable(job) => {
                        Some((id.clone(), job.unwritten()?.to_vec()))
                    }
                    Known::Job(_) | Known::Nobody => None,
                }
            });
        known.chain(unreadable).collect()
    }
}
