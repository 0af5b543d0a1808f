//! Agents that do not receive an answer of the planner, or give up many
//! reports for newer ones.

use std::sync::Arc;
use std::time::Duration;

use landingvalve::cell::connector::Connector;
use landingvalve::cell::connector::Network;
use landingvalve::cell::connector::Peer;
use landingvalve::cell::connector::Recipient;
use landingvalve::cell::rpc::Answer;
use landingvalve::cell::Admission;
use landingvalve::cell::Submitted;
use landingvalve::graph::Orders;
use landingvalve::log;

use crate::cell::deadline;
use crate::cell::job;
use crate::cell::Entry;
use crate::cell::Memory;
use crate::graph::Site;
use crate::graph::Worker;
use crate::support::until;

/// The interval at which an agent reports the progress of its runs while its
/// worker's speed is unknown: less than a planner holds a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// The reports that are sent at this interval: longer than the members of a
/// gang wait for each other.
const REPORT_COUNT: u32 = 12;

/// An agent whose reports the test sends.
struct Agent {
    worker: Worker,
    process: &'static str,
    peer: Arc<dyn Peer>,
    received: u64,
}

impl Agent {
    async fn connect(entry: &Entry) -> Agent {
        let recipient = Recipient {
            address: entry.address().to_string(),
            life: String::new(),
        };
        let connect = || async { Network.connect(&recipient).await.ok() };
        let peer = until("a connection to the planner", connect).await;
        Agent {
            worker: Site::new(&[("agent", "rack")]).workers.remove(0),
            process: "first",
            peer,
            received: 0,
        }
    }

    /// Sends a report, and waits for orders until the next report is due.
    async fn report(&mut self) -> Option<Orders> {
        let mut report = self.worker.report();
        report.process = self.process.to_owned();
        report.received = Some(self.received);
        let answer = self.peer.sync(report);
        match tokio::time::timeout(REPORT_INTERVAL, answer).await {
            Ok(Ok(Answer::Orders { orders, .. })) => Some(orders),
            _ => None,
        }
    }

    /// Reports until an answer has starts, which it does not receive; returns
    /// how many.
    async fn lose_starts(&mut self) -> usize {
        for _ in 0..REPORT_COUNT {
            match self.report().await {
                Some(orders) if !orders.starts.is_empty() => {
                    return orders.starts.len();
                }
                Some(_) => self.received = self.worker.sequence,
                None => {}
            }
        }
        panic!("no report was answered with starts");
    }
}

/// Starts an entry with a job of two tasks, and connects an agent.
async fn start(store: &Memory) -> (Entry, Agent) {
    let entry = Entry::start("entry", store).await;
    let admission = Admission::new(store.clone(), log::none());
    let submitted = admission.submit(&job("job"), deadline()).await;
    assert!(matches!(submitted, Submitted::Accepted));
    let agent = Agent::connect(&entry).await;
    (entry, agent)
}

/// Guards against parts of gangs that run alone: the other members' starts were
/// in an answer that an agent gave up for a newer report.
#[tokio::test]
async fn starts_in_an_answer_that_was_not_received_are_sent_again() {
    let store = Memory::default();
    let (_entry, mut agent) = start(&store).await;
    assert_eq!(agent.lose_starts().await, 2);
    assert_eq!(agent.report().await.map(|o| o.starts.len()), Some(2));
}

#[tokio::test]
async fn starts_that_an_agent_received_before_it_restarted_are_sent_again() {
    let store = Memory::default();
    let (_entry, mut agent) = start(&store).await;
    assert_eq!(agent.lose_starts().await, 2);
    agent.process = "second";
    agent.worker.sequence = 0;
    assert_eq!(agent.report().await.map(|o| o.starts.len()), Some(2));
}

/// Guards against agents whose grants run out although they report: each
/// report that replaced a waiting one began a new wait.
#[tokio::test]
async fn an_agent_that_replaces_its_reports_is_answered() {
    let store = Memory::default();
    let entry = Entry::start("entry", &store).await;
    let mut agent = Agent::connect(&entry).await;
    let mut answers = 0;
    for _ in 0..REPORT_COUNT {
        if agent.report().await.is_some() {
            agent.received = agent.worker.sequence;
            answers += 1;
        }
    }
    assert!(answers > 0, "{REPORT_COUNT} reports without an answer");
}
