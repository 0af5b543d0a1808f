//! Gangs: which members are present at the workers, and which runs may end
//! alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::invariants::TaskId;
use crate::lock;

/// How long a member waits for the other members, as in the setting `gang_ms`.
pub const WAIT: Duration = Duration::from_millis(3000);
/// The time after the end of a fault in which it still counts as near: machines
/// are in touch again once nothing has disturbed them for that long.
pub const CONTACT: Duration = Duration::from_millis(3000);

/// The key of a gang's run: its step's name and the number of the run.
pub type RunKey = (String, u32);

/// Returns the key of the run that a task belongs to.
pub fn run_key(task: &str, run: u32) -> RunKey {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    (step.to_owned(), run)
}

/// What a member does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The members are not all present yet.
    Waiting,
    /// All members are present since this time.
    Working(Instant),
    /// The run has ended at another member, so that this one ends likewise.
    Ending(&'static str),
}

#[derive(Default)]
struct Members {
    present: BTreeSet<TaskId>,
    complete: Option<Instant>,
    /// How the members that were present at an end of another one end.
    ending: BTreeMap<TaskId, &'static str>,
}

/// The members of all gangs' runs that are present at the workers; clones
/// share them.
#[derive(Clone, Default)]
pub struct Registry(Arc<Mutex<BTreeMap<RunKey, Members>>>);

impl Registry {
    /// Adds a member to a run of `width` members.
    pub fn join(&self, task: &str, run: u32, width: u32, now: Instant) {
        let mut runs = lock(&self.0);
        let members = runs.entry(run_key(task, run)).or_default();
        members.present.insert(task.to_owned());
        if members.present.len() as u32 >= width {
            members.complete.get_or_insert(now);
        }
    }

    /// Returns what a member does next.
    pub fn stage(&self, task: &str, run: u32) -> Stage {
        let runs = lock(&self.0);
        let members = runs.get(&run_key(task, run));
        let ending = members.and_then(|members| members.ending.get(task));
        match (ending, members.and_then(|members| members.complete)) {
            (Some(outcome), _) => Stage::Ending(outcome),
            (None, Some(since)) => Stage::Working(since),
            (None, None) => Stage::Waiting,
        }
    }

    /// Removes a member that has ended, `None` if with its worker. The others
    /// that are present end too, unless they wait for a member that was lost
    /// with its worker.
    pub fn leave(&self, task: &str, run: u32, outcome: Option<&'static str>) {
        let mut runs = lock(&self.0);
        let key = run_key(task, run);
        let Some(members) = runs.get_mut(&key) else {
            return;
        };
        members.present.remove(task);
        members.ending.remove(task);
        let ending = match (outcome, members.complete) {
            (Some("done"), _) => Some("done"),
            (Some(_), _) | (None, Some(_)) => Some("broken"),
            (None, None) => None,
        };
        if let Some(ending) = ending {
            for other in &members.present {
                members.ending.entry(other.clone()).or_insert(ending);
            }
        }
        if members.present.is_empty() {
            runs.remove(&key);
        }
    }
}

/// Why a run may end alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Excuse {
    /// A cancel of its job was sent before.
    Cancelled,
    /// A fault was near.
    Fault,
    /// The worker executed the start late.
    LateStart,
}

/// A time in which at least one fault is active.
#[derive(Clone, Copy, Debug)]
struct FaultPeriod {
    start: Instant,
    /// `None` while a fault is active.
    end: Option<Instant>,
}

/// The observations that tell which runs may end alone.
#[derive(Debug, Default)]
pub struct Excuses {
    active_faults: usize,
    fault_periods: Vec<FaultPeriod>,
    /// When the first member of each run began.
    first_starts: BTreeMap<RunKey, Instant>,
    /// The runs of tasks whose start was executed late.
    late: BTreeSet<(TaskId, u32)>,
}

impl Excuses {
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

    /// Records that a worker started a run.
    pub fn record_start(
        &mut self,
        task: &str,
        run: u32,
        late: bool,
        now: Instant,
    ) {
        let key = run_key(task, run);
        self.first_starts.entry(key).or_insert(now);
        if late {
            self.late.insert((task.to_owned(), run));
        }
    }

    /// Returns why a run may end alone, or `None` if it may not.
    pub fn find(
        &self,
        task: &str,
        run: u32,
        cancel_sent: bool,
        now: Instant,
    ) -> Option<Excuse> {
        let first_start = self.first_starts.get(&run_key(task, run));
        let first_start = first_start.copied().unwrap_or(now);
        let is_near = |period: &FaultPeriod| {
            period.end.is_none_or(|end| end + CONTACT >= first_start)
                && period.start <= now
        };
        match () {
            () if cancel_sent => Some(Excuse::Cancelled),
            () if self.fault_periods.iter().any(is_near) => {
                Some(Excuse::Fault)
            }
            () if self.late.contains(&(task.to_owned(), run)) => {
                Some(Excuse::LateStart)
            }
            () => None,
        }
    }
}
