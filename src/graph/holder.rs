//! The jobs that hold the room that a waiting unit could use.
//!
//! The figures of a shortage do not show whose work fills the pool. An
//! operator who is asked why an urgent gang waited 2.8 s while 40 accelerators
//! were free needs the jobs in its way, and why they were not stopped.

use std::collections::BTreeMap;
use std::fmt;

use crate::graph::JobId;
use crate::graph::Resources;
use crate::graph::SharedStr;
use crate::graph::ShortageKind;

/// The most holders that are reported, so that a log line stays short.
pub const MAX_HOLDERS: usize = 3;
/// The most characters of a name in a log line.
const MAX_NAME_LENGTH: usize = 64;

/// Why the resources of a holder were not made free for a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Obstacle {
    /// The resources are on workers that are left to more urgent work.
    Spare,
    /// The resources are reserved for the job.
    Reserved,
    /// The job is within its account's guarantee.
    Guaranteed,
    /// No run is stopped for the unit, because it is not urgent.
    NotUrgent,
    /// The job's priority is not lower than that of the unit.
    Priority,
    /// The run is already being stopped.
    Stopping,
    /// The planner does not know yet what all workers run.
    AwaitsReports,
    /// No more tasks of the job's step may be down.
    MayMiss,
    /// The stops for the unit would lose too much work.
    Budget,
    /// The unit would still be late after the stops.
    TooLate,
    /// Stops would not make enough room for the unit.
    Insufficient,
}

impl Obstacle {
    /// Returns the value that names the obstacle in logs.
    pub fn word(self) -> &'static str {
        match self {
            Obstacle::Spare => "spare",
            Obstacle::Reserved => "reserved",
            Obstacle::Guaranteed => "guaranteed",
            Obstacle::NotUrgent => "not_urgent",
            Obstacle::Priority => "priority",
            Obstacle::Stopping => "stopping",
            Obstacle::AwaitsReports => "awaits_reports",
            Obstacle::MayMiss => "may_miss",
            Obstacle::Budget => "budget",
            Obstacle::TooLate => "too_late",
            Obstacle::Insufficient => "insufficient",
        }
    }
}

/// What the obstacles depend on, of a waiting unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The priority of the unit's job; 0 is urgent.
    pub priority: u32,
    /// Whether the unit is within its account's guarantee.
    pub guaranteed: bool,
    /// Whether the planner stops nothing yet because it awaits reports.
    pub awaits_reports: bool,
    /// Whether the stops for the unit were rejected because of their loss.
    pub over_budget: bool,
    /// Whether the unit would still be late after a stop, so that nothing is
    /// stopped for it.
    pub too_late: bool,
}

/// How a unit holds resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldingState {
    /// The unit is running.
    Running,
    /// The resources are reserved for the unit.
    Reserved,
    /// The unit is being stopped.
    Stopping,
}

/// A job that holds resources.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The job's name.
    pub job: JobId,
    /// The job's client account.
    pub account: SharedStr,
    /// The job's priority.
    pub priority: u32,
}

/// The resources that one unit holds on the workers that a waiting unit may
/// use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The unit's job.
    pub owner: Owner,
    /// Whether the job is within its account's guarantee.
    pub guaranteed: bool,
    /// What the unit holds there.
    pub held: Resources,
    /// How the unit holds it.
    pub state: HoldingState,
    /// Whether the unit may be down as far as its step's limit goes.
    pub may_be_absent: bool,
}

/// A job that holds resources that a waiting unit could use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The job; `None` for workers that are left empty for urgent work.
    pub owner: Option<Owner>,
    /// What the job holds on the workers that the unit may use.
    pub held: Resources,
    /// Why most of that was not made free.
    pub obstacle: Obstacle,
}

impl fmt::Display for Holder {
    /// Writes the holder as `name=value` pairs separated by spaces, for a
    /// field of a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(owner) = &self.owner {
            let job = log_name(&owner.job);
            let account = log_name(&owner.account);
            let priority = owner.priority;
            write!(f, "job={job} account={account} priority={priority} ")?;
        }
        let accelerators = self.held.accelerators;
        let cores = self.held.cpu as f64 / 1000.0;
        let why = self.obstacle.word();
        write!(f, "accelerators={accelerators} cores={cores} why={why}")
    }
}

/// Returns a name without the characters that separate fields, and cut to a
/// bounded length.
fn log_name(name: &str) -> String {
    let separates =
        |c: char| c.is_whitespace() || c.is_control() || c == ';' || c == '=';
    let plain = |c| if separates(c) { '_' } else { c };
    name.chars().take(MAX_NAME_LENGTH).map(plain).collect()
}

/// Returns why the resources of a holding were not made free for a unit.
pub fn obstacle(waiter: &Waiter, holding: &Holding) -> Obstacle {
    let priority = holding.owner.priority;
    let borrows = waiter.guaranteed
        && priority == waiter.priority
        && !holding.guaranteed;
    let may_stop =
        waiter.priority == 0 && (borrows || priority > waiter.priority);
    match holding.state {
        HoldingState::Stopping => Obstacle::Stopping,
        HoldingState::Reserved if !may_stop => Obstacle::Reserved,
        _ if !may_stop && holding.guaranteed => Obstacle::Guaranteed,
        _ if waiter.priority > 0 => Obstacle::NotUrgent,
        _ if !may_stop => Obstacle::Priority,
        _ if waiter.awaits_reports => Obstacle::AwaitsReports,
        _ if !holding.may_be_absent => Obstacle::MayMiss,
        _ if waiter.over_budget => Obstacle::Budget,
        _ if waiter.too_late => Obstacle::TooLate,
        _ => Obstacle::Insufficient,
    }
}

/// Returns the jobs that hold most of what a unit could use, at most
/// [`MAX_HOLDERS`].
///
/// Accelerators count first, and cores if the unit lacks those or needs no
/// accelerators. If the resources would suffice without reservations or spare
/// workers, these come before running work: they are what the unit waits for.
/// `spare` is what is free on workers that the unit leaves to urgent work.
pub fn holders(
    waiter: &Waiter,
    kind: ShortageKind,
    needs_accelerators: bool,
    holdings: impl IntoIterator<Item = Holding>,
    spare: Resources,
) -> Vec<Holder> {
    let by_cores = kind == ShortageKind::Cores || !needs_accelerators;
    let amount = |held: &Resources| match by_cores {
        true => (held.cpu, held.accelerators),
        false => (held.accelerators, held.cpu),
    };
    let is_cause = |obstacle| match kind {
        ShortageKind::Reserved => obstacle == Obstacle::Reserved,
        ShortageKind::Spare => obstacle == Obstacle::Spare,
        _ => false,
    };
    let mut jobs: BTreeMap<JobId, (Owner, BTreeMap<Obstacle, Resources>)> =
        BTreeMap::new();
    for holding in holdings {
        let obstacle = obstacle(waiter, &holding);
        let (_, parts) = jobs
            .entry(holding.owner.job.clone())
            .or_insert_with(|| (holding.owner, BTreeMap::new()));
        let part = parts.entry(obstacle).or_default();
        *part = part.plus(&holding.held);
    }
    let of_job = |(owner, parts): (Owner, BTreeMap<Obstacle, Resources>)| {
        let held = parts
            .values()
            .fold(Resources::default(), |sum, part| sum.plus(part));
        let main = parts.iter().max_by_key(|(obstacle, part)| {
            (is_cause(**obstacle), amount(part))
        });
        main.map(|(obstacle, _)| Holder {
            owner: Some(owner),
            held,
            obstacle: *obstacle,
        })
    };
    let mut holders: Vec<Holder> =
        jobs.into_values().filter_map(of_job).collect();
    if spare != Resources::default() {
        holders.push(Holder {
            owner: None,
            held: spare,
            obstacle: Obstacle::Spare,
        });
    }
    holders.retain(|holder| amount(&holder.held) > (0, 0));
    // The sort is stable, so that equal holders stay in the order of their
    // names.
    holders.sort_by_key(|holder| {
        std::cmp::Reverse((is_cause(holder.obstacle), amount(&holder.held)))
    });
    holders.truncate(MAX_HOLDERS);
    holders
}
