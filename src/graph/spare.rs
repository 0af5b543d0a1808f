//! Workers that are left empty for urgent work.
//!
//! A stop takes up to a second, which is longer than a short urgent job can
//! wait. Work that can wait therefore does not fill a pool completely.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::graph::place::Request;
use crate::graph::scheduler::Worker;
use crate::graph::AgentId;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::Timestamp;

/// The largest share of a pool's workers that is left empty.
const MAX_SPARE_SHARE: f64 = 0.3;
/// How long after the last urgent job of a pool workers are left empty.
const SPARE_AFTER_URGENT: Duration = Duration::from_secs(30);

impl Scheduler {
    /// Returns the empty workers that a unit leaves to urgent work, in as few
    /// racks as possible.
    pub(super) fn spare_workers(
        &self,
        request: &Request,
        usable: &[(&AgentId, &Worker)],
        now: Timestamp,
    ) -> BTreeSet<AgentId> {
        let share = (self.options.policy.spare_share
            * f64::from(request.priority))
        .min(MAX_SPARE_SHARE);
        let count = (usable.len() as f64 * share) as usize;
        let urgent = self
            .last_urgent
            .get(&request.pool)
            .is_some_and(|last| now.monotonic < *last + SPARE_AFTER_URGENT);
        if request.priority == 0 || request.may_use_reserved || !urgent {
            return BTreeSet::new();
        }
        let slots = || usable.iter().map(|(_, w)| u64::from(request.slots(w)));
        let largest = slots().max().unwrap_or(0);
        let slots_left =
            slots().sum::<u64>().saturating_sub(count as u64 * largest);
        if slots_left < u64::from(request.width) {
            return BTreeSet::new();
        }
        let mut racks: BTreeMap<&SharedStr, Vec<&AgentId>> = BTreeMap::new();
        for (agent, worker) in usable {
            if worker.used == Resources::default() {
                racks.entry(&worker.rack).or_default().push(agent);
            }
        }
        let mut racks: Vec<Vec<&AgentId>> = racks.into_values().collect();
        racks.sort_by_key(|agents| Reverse(agents.len()));
        racks.into_iter().flatten().take(count).cloned().collect()
    }
}
