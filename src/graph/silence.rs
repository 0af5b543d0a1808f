//! Workers that say nothing, under tasks that may not be at fault.
//!
//! A worker whose process is down is told from one that is cut off by the
//! answer of its machine, or by the next life there. One that is cut off is
//! not taken down by its tasks: a job may not be given up for it, though its
//! tasks begin elsewhere. So its loss counts only once it is sure.

use std::time::Duration;
use std::time::Instant;

use crate::graph::entry::Entry;
use crate::graph::unit::Member;
use crate::graph::unit::Phase;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::JobId;
use crate::graph::Loss;
use crate::graph::Outcome;
use crate::graph::Place;
use crate::graph::Scheduler;
use crate::graph::Timestamp;
use crate::graph::UnitKey;
use crate::graph::WorkerReport;

/// For how long nothing must be heard of a worker, after its tasks were begun
/// elsewhere, until it counts as down: a task that takes a VM along with its
/// agent would else be tried on one VM after the other.
const CERTAIN: Duration = Duration::from_secs(30);

/// A loss of a worker that may still be there.
#[derive(Clone, Debug)]
pub(super) struct Silence {
    place: Place,
    job: JobId,
    key: UnitKey,
    /// The task that ran there.
    index: u32,
    /// How long it was seen at work.
    ran: Duration,
    /// When it counts as down, unless it does already.
    counts: Option<Instant>,
}

impl Scheduler {
    /// Takes in that a member's worker may be lost: its loss is counted once
    /// that is sure.
    pub(super) fn blame_later(
        &mut self,
        id: &str,
        key: &UnitKey,
        member: &Member,
        now: Timestamp,
    ) {
        let never =
            !member.handed || self.begun(id, key, member) == Some(false);
        let Some(job) = self.jobs.get(id).map(|entry| entry.job.id.clone())
        else {
            return;
        };
        if never || !self.count_silent(id, key, member) {
            return;
        }
        self.silences.push(Silence {
            place: member.place.clone(),
            job,
            key: *key,
            index: member.index,
            ran: member.ran(),
            counts: Some(now.monotonic + CERTAIN),
        });
    }

    /// Takes over the losses of a job that were not sure for the planner
    /// before: it may have been told nothing more.
    pub(super) fn adopt_silences(&mut self, entry: &Entry, now: Timestamp) {
        for (key, kept) in &entry.progress.units {
            for (index, loss) in &kept.lost {
                let silences = loss.silent.iter().map(|place| Silence {
                    place: place.clone(),
                    job: entry.job.id.clone(),
                    key: *key,
                    index: *index,
                    ran: Duration::ZERO,
                    counts: Some(now.monotonic + CERTAIN),
                });
                self.silences.extend(silences);
            }
        }
    }

    /// Takes in which life is there now: one that had fallen silent, and was
    /// not lost, or another one.
    pub(super) fn settle_silences(
        &mut self,
        agent: &AgentId,
        said: &WorkerReport,
        now: Timestamp,
    ) {
        if self.silences.is_empty() || said.silent {
            return;
        }
        let silences = std::mem::take(&mut self.silences);
        let here = |silence: &Silence| silence.place.agent == *agent;
        let (settled, open) = silences.into_iter().partition(here);
        self.silences = open;
        let settled: Vec<Silence> = settled;
        for silence in settled {
            match silence.place.life == said.life {
                true => self.clear(&silence),
                false => self.count_silence(&silence, now),
            }
        }
    }

    /// Counts the workers that have said nothing for so long that they must
    /// be down.
    pub(super) fn blame_silent(&mut self, now: Timestamp) {
        let due = |s: &Silence| s.counts.is_some_and(|at| now.monotonic >= at);
        if !self.silences.iter().any(due) {
            return;
        }
        for mut silence in std::mem::take(&mut self.silences) {
            if due(&silence) {
                self.count_silence(&silence, now);
                silence.counts = None;
            }
            let entry = self.jobs.get(&silence.job);
            if entry.is_some_and(|entry| !entry.over()) {
                self.silences.push(silence);
            }
        }
    }

    /// Counts a loss, unless it is counted: its worker was down.
    fn count_silence(&mut self, silence: &Silence, now: Timestamp) {
        if silence.counts.is_none() {
            return;
        }
        let id = &*silence.job;
        let Some(loss) = self.loss_of(silence) else {
            return;
        };
        loss.silent.retain(|place| *place != silence.place);
        loss.count();
        let loss = loss.clone();
        self.touch(id);
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        entry.blamed = true;
        let of = entry.subject(&silence.key);
        let unit = entry.units.get(&silence.key);
        let waits = unit.is_some_and(|u| matches!(u.phase, Phase::Waiting));
        let spent = entry.is_spent(&silence.key) && waits && !entry.over();
        self.note(Decision::LossCounted {
            of,
            run: loss.run,
            task: silence.index,
            life: silence.place.life.clone(),
            ran: silence.ran,
            loss,
        });
        if spent {
            self.finish(id, Outcome::Failed, now);
        }
    }

    /// Takes a loss back: its worker was there all the while.
    fn clear(&mut self, silence: &Silence) {
        let counted = silence.counts.is_none();
        let Some(loss) = self.loss_of(silence) else {
            return;
        };
        match counted {
            true => loss.lost = loss.lost.saturating_sub(1),
            false => loss.silent.retain(|place| *place != silence.place),
        }
        self.touch(&silence.job);
    }

    fn loss_of(&mut self, silence: &Silence) -> Option<&mut Loss> {
        let entry = self.jobs.get_mut(&silence.job)?;
        let kept = entry.progress.units.get_mut(&silence.key)?;
        kept.lost.get_mut(&silence.index)
    }
}
