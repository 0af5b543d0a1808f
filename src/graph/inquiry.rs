//! Agents that are not heard of, and what they have left in the store.
//!
//! An agent that does not reach the planner keeps the ends that its worker
//! lists in the store. Before what runs there is taken for gone, that is
//! read: a task that is done must not begin again, whatever kept its agent
//! from saying so.

use std::time::Instant;

use crate::graph::settle::MemberEnd;
use crate::graph::AgentId;
use crate::graph::Place;
use crate::graph::Report;
use crate::graph::Scheduler;
use crate::graph::Timestamp;

/// How far the question about an agent has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Inquiry {
    /// It is to be asked.
    Pending,
    /// It is being asked.
    Sent,
    /// All that the agent kept before then is known.
    Answered(Instant),
}

impl Scheduler {
    /// Returns the agents that are silent for so long that their members are
    /// about to be taken for gone, each once: what they have kept in the
    /// store must be told to [`Scheduler::inquired`].
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

    /// Takes in what an agent has kept, as read by a call that was sent at
    /// `sent`; nothing where it has kept nothing.
    pub fn apply_inquiry(
        &mut self,
        agent: &AgentId,
        stored: Option<Report>,
        sent: Instant,
        now: Timestamp,
    ) {
        self.changed = true;
        self.inquiries
            .insert(agent.clone(), Inquiry::Answered(sent));
        let Some(worker) = stored.and_then(|report| report.worker) else {
            return;
        };
        self.move_births(agent, &worker.life, &worker.lists);
        let place = Place {
            agent: agent.clone(),
            life: worker.life,
        };
        for ended in &worker.lists.ended {
            let found = self.find_member(&ended.task, ended.run, &place);
            if let Some((key, position)) = found {
                self.store_checkpoint(&ended.task.job, &key, &ended.saved);
                let end = MemberEnd::Listed(ended.how);
                self.end_member(&ended.task.job, &key, position, end, now);
            }
        }
    }

    /// Returns whether it is known what an agent has kept until `since`;
    /// else it will be asked.
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
