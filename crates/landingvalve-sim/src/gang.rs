//! The check GANG: which runs of gangs may end alone.

use std::collections::BTreeMap;
use std::time::Duration;

use landingvalve::graph::JobId;
use landingvalve::graph::Run;
use landingvalve::graph::Task;
use tokio::time::Instant;

use crate::invariants::Key;
use crate::invariants::When;

/// Time after the end of a fault in which it still counts as near: machines
/// are in touch again once nothing has disturbed them for that long.
pub const CONTACT: Duration = Duration::from_millis(3000);

/// Numbers of ends `alone`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AloneCounts {
    /// Ends that the users' rule excuses.
    pub excused: u64,
    /// Ends that violate it.
    pub violations: u64,
}

/// Why a run may end alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Excuse {
    /// A cancel of its job was sent before.
    Cancelled,
    /// A fault was near.
    Fault,
    /// The worker carried out the start late.
    LateStart,
}

/// Time in which at least one fault is active.
#[derive(Clone, Copy, Debug)]
struct FaultPeriod {
    start: Instant,
    /// `None` while a fault is active.
    end: Option<Instant>,
}

/// A gang's run so far.
#[derive(Clone, Debug)]
struct GangRun {
    /// Start of the first member that began.
    first_start: Instant,
    /// Members whose starts the workers carried out late.
    late_members: Vec<Task>,
}

/// The observations on which GANG is checked.
#[derive(Default)]
pub struct Gangs {
    /// Time at which a cancel of each job was first sent.
    cancels: BTreeMap<JobId, Instant>,
    active_faults: usize,
    fault_periods: Vec<FaultPeriod>,
    /// Runs by their gang's first task.
    runs: BTreeMap<(Task, Run), GangRun>,
    counts: AloneCounts,
}

impl Gangs {
    /// Records that a caller sends a cancel, whether or not it is answered.
    pub fn record_cancel_sent(&mut self, id: &JobId, now: Instant) {
        self.cancels.entry(id.clone()).or_insert(now);
    }

    /// Records that a fault begins.
    pub fn begin_fault(&mut self, now: Instant) {
        if self.active_faults == 0 {
            self.fault_periods.push(FaultPeriod {
                start: now,
                end: None,
            });
        }
        self.active_faults += 1;
    }

    /// Records that a fault is over.
    pub fn end_fault(&mut self, now: Instant) {
        self.active_faults = self.active_faults.saturating_sub(1);
        if let (0, Some(period)) =
            (self.active_faults, self.fault_periods.last_mut())
        {
            period.end = Some(now);
        }
    }

    /// Records that a worker begins a run.
    pub fn record_start(&mut self, key: &Key, when: When, now: Instant) {
        let run = self.runs.entry(unit(key)).or_insert_with(|| GangRun {
            first_start: now,
            late_members: Vec::new(),
        });
        if when != When::Now {
            run.late_members.push(key.0.clone());
        }
    }

    /// Records that a run ends alone. Returns why it may, or `None` if it may
    /// not.
    pub fn record_alone(&mut self, key: &Key, now: Instant) -> Option<Excuse> {
        let excuse = self.excuse(key, now);
        match excuse {
            Some(_) => self.counts.excused += 1,
            None => self.counts.violations += 1,
        }
        excuse
    }

    /// Returns the numbers of ends so far.
    pub fn counts(&self) -> AloneCounts {
        self.counts
    }

    fn excuse(&self, key: &Key, now: Instant) -> Option<Excuse> {
        let run = self.runs.get(&unit(key));
        let first_start = run.map_or(now, |run| run.first_start);
        let is_late = run.is_some_and(|r| r.late_members.contains(&key.0));
        let is_near = |period: &FaultPeriod| {
            period.end.is_none_or(|end| end + CONTACT >= first_start)
                && period.start <= now
        };
        let cancel = self.cancels.get(&key.0.job);
        let excuses = [
            (cancel.is_some_and(|at| *at <= now), Excuse::Cancelled),
            (self.fault_periods.iter().any(is_near), Excuse::Fault),
            (is_late, Excuse::LateStart),
        ];
        let first = excuses.into_iter().find(|(holds, _)| *holds);
        first.map(|(_, excuse)| excuse)
    }
}

/// Returns the key of a run's gang.
fn unit((task, run): &Key) -> (Task, Run) {
    let first = Task {
        index: 0,
        ..task.clone()
    };
    (first, *run)
}
