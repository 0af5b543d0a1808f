//! The channel on which the planner asks which workers may run a step.

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::graph::Question;
use crate::graph::Ticket;

/// The most questions that wait in the channel; the planner asks one at a
/// time.
const MAX_QUEUED_REQUESTS: usize = 4;

/// A question of the planner, and the channel for its answer. Dropping a
/// request counts as no answer.
#[derive(Debug)]
pub struct Request {
    /// The question.
    pub question: Question,
    /// Receives the tickets of the workers that may run the step.
    pub reply: oneshot::Sender<Vec<Ticket>>,
}

/// The planner's end of the channel.
pub type Sender = mpsc::Sender<Request>;

/// Returns the two ends of a channel for questions.
pub fn channel() -> (Sender, mpsc::Receiver<Request>) {
    mpsc::channel(MAX_QUEUED_REQUESTS)
}

/// Sends a question and returns the answer, if one comes.
pub(crate) async fn ask(
    sender: &Sender,
    question: Question,
) -> Option<Vec<Ticket>> {
    let (reply, answer) = oneshot::channel();
    sender.send(Request { question, reply }).await.ok()?;
    answer.await.ok()
}
