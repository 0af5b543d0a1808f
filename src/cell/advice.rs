//! Asking which workers may run a step.

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::graph::Question;
use crate::graph::Ticket;

/// How many questions wait at most; the planner asks one at a time.
const WAITING: usize = 4;

/// A question of the planner, and where its answer goes. Dropped, it counts
/// as not answered.
#[derive(Debug)]
pub struct Inquiry {
    /// The question.
    pub question: Question,
    /// Takes the tickets for those of the workers that may run the step.
    pub reply: oneshot::Sender<Vec<Ticket>>,
}

/// Where the planner puts its questions.
pub type Desk = mpsc::Sender<Inquiry>;

/// Returns a desk, and what is put there.
pub fn desk() -> (Desk, mpsc::Receiver<Inquiry>) {
    mpsc::channel(WAITING)
}

/// Puts a question; returns the answer, if one comes.
pub(crate) async fn ask(
    desk: &Desk,
    question: Question,
) -> Option<Vec<Ticket>> {
    let (reply, answer) = oneshot::channel();
    desk.send(Inquiry { question, reply }).await.ok()?;
    answer.await.ok()
}
