//! Which answers the agents have received.

use std::collections::BTreeMap;

use crate::graph::AgentId;
use crate::graph::Report;

/// The report of an agent whose answer brought the last orders.
#[derive(Debug)]
struct Answered {
    process: String,
    sequence: u64,
}

/// The last answer with orders to each agent.
#[derive(Debug, Default)]
pub(super) struct Deliveries(BTreeMap<AgentId, Answered>);

impl Deliveries {
    /// Records that orders were sent in the answer to a report.
    pub fn record(&mut self, agent: &AgentId, process: &str, sequence: u64) {
        let answered = Answered {
            process: process.to_owned(),
            sequence,
        };
        self.0.insert(agent.clone(), answered);
    }

    /// Returns the number of the report whose answer the agent does not have,
    /// if this newer report shows that. The agent may have given up that
    /// report or restarted, or the connection broke.
    pub fn lost_answer(&self, report: &Report) -> Option<u64> {
        let answered = self.0.get(&report.agent)?;
        let received = report.received?;
        let has_restarted = answered.process != report.process;
        let is_newer = answered.sequence < report.sequence;
        let is_lost =
            has_restarted || is_newer && received < answered.sequence;
        is_lost.then_some(answered.sequence)
    }
}
