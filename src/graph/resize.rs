//! Workers whose room shrinks and grows while they run.
//!
//! A worker says so with its next heartbeat. What runs there goes on, though
//! it may be more than there is room for now; nothing is added until it fits
//! again, and what was ordered and has not begun is taken back: a worker that
//! does not guard its room would begin it all the same.

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
    /// Takes in what room a worker has now.
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
        // What is kept for units that have not begun is looked at by itself.
        let taken = worker.used.minus(&worker.reserved);
        if !to.holds(&taken) {
            self.withdrawals.insert(agent.clone(), StopReason::Shrunk);
        }
        self.record_decision(resized);
    }

    /// Takes back what was ordered on workers that must begin nothing more,
    /// as far as it has not begun.
    pub(super) fn withdraw_orders(&mut self, now: Timestamp) {
        for (agent, why) in std::mem::take(&mut self.withdrawals) {
            for (id, key) in self.units_ordered_on(&agent) {
                self.stop_unit(&id, &key, why, now);
            }
        }
    }

    /// Returns the units with a member on a worker that is not known to have
    /// begun there.
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
