//! The use of a pool by client accounts, and the order that follows from it.
//!
//! The order is made for pools where one account submits most of the work.
//! Ordered by latest start alone, the units of the nine other accounts of both
//! deployments wait behind the backlog of the large one. Between units that are
//! about equally urgent, the account with less recent use therefore goes first.
//!
//! Use is measured in accelerator-seconds and decays. Each agent keeps the use
//! of its own worker and reports it, so that a new planner has the sum as soon
//! as the agents have reported.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::graph::job_record::JobRecord;
use crate::graph::schedule::WaitingUnit;
use crate::graph::unit::Phase;
use crate::graph::AgentId;
use crate::graph::JobId;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// The time in which use counts half as much: several times the mean run of
/// both deployments (2 to 6 s), and shorter than a burst's backlog lasts.
pub const HALF_LIFE: Duration = Duration::from_secs(30);
/// The use below which an account is forgotten: a hundredth of what one
/// accelerator adds in a second.
const MIN_USE: f64 = 0.01;
/// The largest use of an account that is taken from one report: what 20,000
/// accelerators on one worker would add in the long run.
const MAX_USE: f64 = 1e6;
/// The most accounts that are taken from one report.
const MAX_ACCOUNTS: usize = 256;
/// How often a planner adds up the use, which decays by less than 1% in that
/// time.
const SUM_INTERVAL: Duration = Duration::from_millis(250);

/// The use of a worker by an account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountUse {
    /// The client account.
    pub account: SharedStr,
    /// The decayed use, in accelerator-seconds.
    pub accelerator_seconds: f64,
}

/// Returns what is left of use after some time.
pub fn decay(used: f64, elapsed: Duration) -> f64 {
    used * (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

/// Returns the use that a constant rate leaves after some time.
pub fn accrue(rate: f64, elapsed: Duration) -> f64 {
    let lifetime = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
    rate * lifetime * (1.0 - decay(1.0, elapsed))
}

/// Returns the dominant share that a charge takes of a capacity, as a number
/// of its `accelerators`. A capacity without accelerators counts as one.
pub fn weight(charge: &Resources, capacity: &Resources) -> f64 {
    let share = |part: i64, whole: i64| match whole {
        ..=0 => 0.0,
        _ => part.max(0) as f64 / whole as f64,
    };
    let dominant = share(charge.cpu, capacity.cpu)
        .max(share(charge.memory, capacity.memory))
        .max(share(charge.accelerators, capacity.accelerators));
    dominant * capacity.accelerators.max(1) as f64
}

/// The decayed use of one worker, by account.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    used: BTreeMap<SharedStr, f64>,
}

impl Meter {
    /// Advances the meter by the time for which accounts have held what
    /// `held` lists.
    pub fn advance(
        &mut self,
        held: &[(SharedStr, Resources)],
        capacity: &Resources,
        elapsed: Duration,
    ) {
        for used in self.used.values_mut() {
            *used = decay(*used, elapsed);
        }
        let mut sums: BTreeMap<&SharedStr, Resources> = BTreeMap::new();
        for (account, charge) in held {
            let sum = sums.entry(account).or_default();
            *sum = sum.plus(charge);
        }
        for (account, charge) in sums {
            let added = accrue(weight(&charge, capacity), elapsed);
            *self.used.entry(account.clone()).or_default() += added;
        }
        self.used.retain(|_, used| *used >= MIN_USE);
    }

    /// Returns the use by account.
    pub fn list(&self) -> Vec<AccountUse> {
        let used = self.used.iter().map(|(account, used)| AccountUse {
            account: account.clone(),
            accelerator_seconds: *used,
        });
        used.collect()
    }
}

/// A waiting unit, for the order by use.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The client account of the unit's job.
    pub account: SharedStr,
    /// The use that the unit's run will add.
    pub cost: f64,
    /// The number of the unit's group. Units of one group are about equally
    /// urgent, and are next to each other.
    pub group: usize,
}

/// Returns the order in which to serve units, as indices into `claims`.
///
/// Groups keep their order. Within a group, units go by the use that their
/// account will have once its earlier units of the group have run, so that the
/// accounts take turns even if none has any use yet.
pub fn order(claims: &[Claim], used: &BTreeMap<SharedStr, f64>) -> Vec<usize> {
    let mut ahead: BTreeMap<(usize, &SharedStr), f64> = BTreeMap::new();
    let mut tagged: Vec<(usize, f64, usize)> = Vec::new();
    for (index, claim) in claims.iter().enumerate() {
        let account = &claim.account;
        let ahead = ahead
            .entry((claim.group, account))
            .or_insert_with(|| used.get(account).copied().unwrap_or_default());
        tagged.push((claim.group, *ahead, index));
        *ahead += claim.cost;
    }
    tagged.sort_by(|a, b| {
        (a.0.cmp(&b.0))
            .then(a.1.total_cmp(&b.1))
            .then(a.2.cmp(&b.2))
    });
    tagged.into_iter().map(|(_, _, index)| index).collect()
}

/// Returns the use above which an account has more than its part: the mean of
/// the accounts that wait or have used anything.
pub fn fair_use(
    used: &BTreeMap<SharedStr, f64>,
    waiting: &BTreeSet<&SharedStr>,
) -> f64 {
    let idle = waiting.iter().filter(|a| !used.contains_key(**a)).count();
    let whole: f64 = used.values().sum();
    whole / (used.len() + idle).max(1) as f64
}

/// Returns the values of a metric that names at most `max` accounts, and
/// `None` with the sum of all others. `named` holds the accounts that were
/// named before; they stay named, so that each keeps its series.
pub fn summarize(
    used: &BTreeMap<SharedStr, f64>,
    named: &mut BTreeSet<SharedStr>,
    max: usize,
) -> Vec<(Option<SharedStr>, f64)> {
    let mut by_use: Vec<(&SharedStr, f64)> = used
        .iter()
        .map(|(account, used)| (account, *used))
        .collect();
    by_use.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(b.0)));
    for (account, _) in &by_use {
        if named.len() < max {
            named.insert((*account).clone());
        }
    }
    let use_of = |account| used.get(account).copied().unwrap_or_default();
    let mut values: Vec<(Option<SharedStr>, f64)> = named
        .iter()
        .map(|account| (Some(account.clone()), use_of(account)))
        .collect();
    let others = by_use.iter().filter(|(a, _)| !named.contains(*a));
    values.push((None, others.map(|(_, used)| used).sum()));
    values
}

/// The use that an agent has reported last.
#[derive(Clone, Debug)]
struct Reported {
    at: Instant,
    pool: SharedStr,
    used: Vec<AccountUse>,
}

/// A planner's knowledge of the accounts' use.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    reported: BTreeMap<AgentId, Reported>,
    /// The use by pool and account, as of the last sum.
    sums: BTreeMap<SharedStr, BTreeMap<SharedStr, f64>>,
    summed_at: Option<Instant>,
}

impl Shares {
    /// Takes the use from a report, in place of that of the one before.
    pub fn report(
        &mut self,
        agent: &AgentId,
        pool: &SharedStr,
        used: &[AccountUse],
        now: Instant,
    ) {
        let valid = |used: &&AccountUse| {
            used.accelerator_seconds.is_finite()
                && used.accelerator_seconds > 0.0
        };
        let used = used.iter().filter(valid).take(MAX_ACCOUNTS);
        let used = used.map(|used| AccountUse {
            account: used.account.clone(),
            accelerator_seconds: used.accelerator_seconds.min(MAX_USE),
        });
        let reported = Reported {
            at: now,
            pool: pool.clone(),
            used: used.collect(),
        };
        self.reported.insert(agent.clone(), reported);
    }

    /// Returns an account's part of the whole use of a pool, 0 to 1.
    fn share(&self, pool: &SharedStr, account: &SharedStr) -> f64 {
        let Some(used) = self.sums.get(pool) else {
            return 0.0;
        };
        let whole: f64 = used.values().sum();
        let part = used.get(account).copied().unwrap_or_default();
        if whole > 0.0 {
            part / whole
        } else {
            0.0
        }
    }
}

/// A waiting unit with its position in the order of ranks.
struct Waiting<'a> {
    position: usize,
    record: &'a JobRecord,
    unit: &'a WaitingUnit,
    /// Whether use alone decides the unit's position among others like it.
    by_use: bool,
}

impl Waiting<'_> {
    /// Returns whether use decides between this unit and a later one.
    fn is_close(&self, later: &Waiting) -> bool {
        match (self.by_use, later.by_use) {
            (true, true) => true,
            (false, false) => self.unit.rank.is_close(&later.unit.rank),
            _ => false,
        }
    }
}

impl Scheduler {
    /// Adds up the use that agents have reported, and that of the runs since
    /// the reports.
    pub(super) fn sum_use(&mut self, now: Timestamp) {
        let now = now.monotonic;
        let recent = self
            .shares
            .summed_at
            .is_some_and(|summed| now < summed + SUM_INTERVAL);
        if !self.options.policy.shares || recent {
            return;
        }
        let mut sums: BTreeMap<SharedStr, BTreeMap<SharedStr, f64>> =
            BTreeMap::new();
        for reported in self.shares.reported.values() {
            let elapsed = now.saturating_duration_since(reported.at);
            let left = decay(1.0, elapsed);
            let sum = sums.entry(reported.pool.clone()).or_default();
            for used in &reported.used {
                let account = sum.entry(used.account.clone()).or_default();
                *account += used.accelerator_seconds * left;
            }
        }
        for record in self.live_jobs() {
            let running = record
                .units
                .iter()
                .filter(|(_, unit)| matches!(unit.phase, Phase::Running(_)));
            for (key, unit) in running {
                let charge = record.job.steps[key.step].charge();
                let added = unit.members().map(|member| {
                    let agent = &member.place.agent;
                    let reported = self.shares.reported.get(agent);
                    let since = reported.map_or(now, |reported| reported.at);
                    let since = since.max(member.assigned_at);
                    let elapsed = now.saturating_duration_since(since);
                    let worker = self.workers.get(agent);
                    let rate =
                        worker.map_or(0.0, |w| weight(&charge, &w.capacity));
                    rate * elapsed.as_secs_f64()
                });
                let added: f64 = added.sum();
                let sum = sums.entry(record.job.pool.clone()).or_default();
                *sum.entry(record.job.account.clone()).or_default() += added;
            }
        }
        self.shares.sums = sums;
        self.shares.summed_at = Some(now);
    }

    /// Orders units that are about equally urgent by the use of their
    /// accounts. The units are in the order of their ranks. Those of different
    /// pools do not compete.
    pub(super) fn order_by_use(
        &self,
        waiting: Vec<WaitingUnit>,
        now: Timestamp,
    ) -> Vec<WaitingUnit> {
        let mut by_pool: BTreeMap<&SharedStr, Vec<Waiting>> = BTreeMap::new();
        for (position, unit) in waiting.iter().enumerate() {
            let Some(record) = self.jobs.get(&unit.id) else {
                continue;
            };
            let entry = Waiting {
                position,
                record,
                unit,
                by_use: false,
            };
            by_pool.entry(&record.job.pool).or_default().push(entry);
        }
        let mut order: Vec<usize> = (0..waiting.len()).collect();
        for (pool, units) in by_pool {
            let positions: Vec<usize> =
                units.iter().map(|unit| unit.position).collect();
            let ordered = self.order_pool(pool, units, now);
            for (position, from) in positions.into_iter().zip(ordered) {
                order[position] = from;
            }
        }
        let mut waiting: Vec<Option<WaitingUnit>> =
            waiting.into_iter().map(Some).collect();
        let ordered =
            order.into_iter().filter_map(|from| waiting[from].take());
        ordered.collect()
    }

    /// Returns the positions of a pool's waiting units in their new order.
    fn order_pool(
        &self,
        pool: &SharedStr,
        mut units: Vec<Waiting>,
        now: Timestamp,
    ) -> Vec<usize> {
        let none = BTreeMap::new();
        let used = self.shares.sums.get(pool).unwrap_or(&none);
        let accounts: BTreeSet<&SharedStr> =
            units.iter().map(|unit| &unit.record.job.account).collect();
        // One account alone keeps its order.
        if accounts.len() < 2 {
            return units.iter().map(|unit| unit.position).collect();
        }
        let fair = fair_use(used, &accounts);
        for waiting in &mut units {
            let rank = &waiting.unit.rank;
            // The units of an account with more than its part are late because
            // of its own backlog, and do not go ahead for that.
            let over = used
                .get(&waiting.record.job.account)
                .is_some_and(|used| *used > fair);
            waiting.by_use =
                rank.is_of_lower_priority() && (rank.has_slack(now) || over);
        }
        units.sort_by_key(|waiting| (waiting.unit.rank.class, waiting.by_use));
        let mut group = 0;
        let mut first: Option<&Waiting> = None;
        let mut claims = Vec::new();
        // A pass orders up to thousands of tasks of a few steps.
        let mut costs: BTreeMap<(&JobId, usize), f64> = BTreeMap::new();
        for waiting in &units {
            let WaitingUnit { id, key, .. } = waiting.unit;
            let cost = costs
                .entry((id, key.step))
                .or_insert_with(|| self.expected_use(waiting.record, key));
            if !first.is_some_and(|first| first.is_close(waiting)) {
                first = Some(waiting);
                group += 1;
            }
            claims.push(Claim {
                account: waiting.record.job.account.clone(),
                cost: *cost,
                group,
            });
        }
        let ordered = order(&claims, used).into_iter();
        ordered.map(|index| units[index].position).collect()
    }

    /// Returns the use that a run of a unit is expected to add.
    fn expected_use(&self, record: &JobRecord, key: &UnitKey) -> f64 {
        let charge = record.job.steps[key.step].charge();
        let weight = self.pool_capacities.weight(&record.job.pool, &charge);
        let rate = weight * f64::from(record.member_count(key));
        accrue(rate, self.expected_time(record, key.step))
    }

    /// Returns an account's part of the whole use of a pool, 0 to 1, if use
    /// decides anything.
    pub(super) fn account_share(
        &self,
        pool: &SharedStr,
        account: &SharedStr,
    ) -> Option<f64> {
        let used = self.options.policy.shares;
        used.then(|| self.shares.share(pool, account))
    }

    /// Returns the use of all pools by account, in accelerator-seconds.
    pub fn account_use(&self) -> BTreeMap<SharedStr, f64> {
        let mut all: BTreeMap<SharedStr, f64> = BTreeMap::new();
        for (account, used) in self.shares.sums.values().flatten() {
            *all.entry(account.clone()).or_default() += used;
        }
        all
    }
}
