//! Queries for the ends that silent agents have saved.
//!
//! An agent that cannot reach the planner writes the ends that its worker
//! lists to the store. The planner reads them before it considers the worker
//! lost: a task that is done must not begin again, even if its agent could not
//! report the end.

use std::time::Instant;

use crate::graph::AgentId;
use crate::graph::Place;
use crate::graph::Report;
use crate::graph::Scheduler;
use crate::graph::Timestamp;

/// The state of the query about an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Inquiry {
    /// The query has not been sent.
    Pending,
    /// The query has been sent.
    Sent,
    /// Everything that the agent saved before this time is known.
    Answered(Instant),
}

impl Scheduler {
    /// Returns the agents whose members are about to be considered lost, each
    /// once. The caller reads what these agents have saved and passes it to
    /// [`Scheduler::apply_inquiry`], or the agents to
    /// [`Scheduler::reopen_inquiries`] if the reports could not be read.
    pub fn take_inquiries(&mut self) -> Vec<AgentId> {
        let open = self
            .inquiries
            .iter_mut()
            .filter(|(_, inquiry)| **inquiry == Inquiry::Pending);
        open.map(|(agent, inquiry)| {
            *inquiry = Inquiry::Sent;
            agent.clone()
        })
        .collect()
    }

    /// Makes queries pending again that were not answered.
    pub fn reopen_inquiries(&mut self, agents: &[AgentId]) {
        for agent in agents {
            if let Some(inquiry) = self.inquiries.get_mut(agent) {
                *inquiry = Inquiry::Pending;
            }
        }
    }

    /// Applies the report that an agent has saved, as read by a call that was
    /// sent at `sent`, or `None` if the agent has saved nothing.
    pub fn apply_inquiry(
        &mut self,
        agent: &AgentId,
        saved: Option<Report>,
        sent: Instant,
        now: Timestamp,
    ) {
        self.changed = true;
        self.inquiries
            .insert(agent.clone(), Inquiry::Answered(sent));
        let Some(worker) = saved.and_then(|report| report.worker) else {
            return;
        };
        self.move_births(agent, &worker.life, &worker.lists);
        let place = Place {
            agent: agent.clone(),
            life: worker.life,
        };
        for ended in &worker.lists.ended {
            self.apply_listed_end(&place, ended, now);
        }
    }

    /// Returns whether everything that an agent saved until `since` is known;
    /// if not, a query is made pending.
    pub(super) fn is_inquiry_answered(
        &mut self,
        agent: &AgentId,
        since: Instant,
    ) -> bool {
        let inquiry = self
            .inquiries
            .entry(agent.clone())
            .or_insert(Inquiry::Pending);
        match *inquiry {
            Inquiry::Answered(sent) if sent >= since => true,
            Inquiry::Answered(_) => {
                *inquiry = Inquiry::Pending;
                false
            }
            Inquiry::Pending | Inquiry::Sent => false,
        }
    }
}
