//! Asking which workers may run a step.

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::graph::Question;
use crate::graph::Ticket;

/// How many questions wait at most; the planner asks one at a time.
const MAX_QUEUED: usize = 4;

/// A question of the planner, and where its answer goes. Dropped, it counts
/// as not answered.
#[derive(Debug)]
pub struct Request {
    /// The question.
    pub question: Question,
    /// Takes the tickets for those of the workers that may run the step.
    pub reply: oneshot::Sender<Vec<Ticket>>,
}

/// Where the planner puts its questions.
pub type Sender = mpsc::Sender<Request>;

/// Returns a desk, and what is put there.
pub fn channel() -> (Sender, mpsc::Receiver<Request>) {
    mpsc::channel(MAX_QUEUED)
}

/// Puts a question; returns the answer, if one comes.
pub(crate) async fn ask(
    sender: &Sender,
    question: Question,
) -> Option<Vec<Ticket>> {
    let (reply, answer) = oneshot::channel();
    sender.send(Request { question, reply }).await.ok()?;
    answer.await.ok()
}
