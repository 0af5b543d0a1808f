//! Changes of a worker's capacity while it runs.
//!
//! A worker reports its capacity with each heartbeat. Its runs go on even if
//! they exceed the new capacity, and nothing is added until there is room
//! again. Starts that have not begun are withdrawn, because a worker that does
//! not enforce its capacity would begin them all the same.

use crate::graph::unit::MemberState;
use crate::graph::unit::Phase;
use crate::graph::unit::StopReason;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::JobId;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

impl Scheduler {
    /// Applies a worker's present capacity.
    pub(super) fn resize(&mut self, agent: &AgentId, to: Resources) {
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        if worker.capacity == to {
            return;
        }
        let resized = Decision::Resized {
            life: worker.life.clone(),
            from: worker.capacity,
            to,
            used: worker.used,
        };
        worker.capacity = to;
        // Reservations of units that have not begun are checked separately.
        let occupied = worker.used.minus(&worker.reserved);
        if !to.holds(&occupied) {
            self.withdrawals.insert(agent.clone(), StopReason::Shrunk);
        }
        self.record_decision(resized);
    }

    /// Withdraws the starts that have not begun on workers that must begin
    /// nothing more.
    pub(super) fn withdraw_orders(&mut self, now: Timestamp) {
        for (agent, reason) in std::mem::take(&mut self.withdrawals) {
            for (id, key) in self.units_ordered_on(&agent) {
                self.stop_unit(&id, &key, reason, now);
            }
        }
    }

    /// Returns the running units that have a member on the agent's worker which
    /// was ordered to start and is not known to have begun.
    fn units_ordered_on(&self, agent: &AgentId) -> Vec<(JobId, UnitKey)> {
        let mut ordered = Vec::new();
        for record in self.live_jobs() {
            for (key, unit) in &record.units {
                let runs = matches!(unit.phase, Phase::Running(_));
                let here = unit.members().any(|member| {
                    member.place.agent == *agent
                        && matches!(member.state, MemberState::Ordered(_))
                });
                if runs && here {
                    ordered.push((record.job.id.clone(), *key));
                }
            }
        }
        ordered
    }
}
