//! Starts and stops tasks at the endpoint and reads their ends.

use std::time::Duration;

use ractor::ActorRef;

use crate::agent::actor::Message;
use crate::endpoint;
use crate::endpoint::Task;
use crate::wire::agent::Refusal;
use crate::wire::agent::Reply;
use crate::wire::gang;
use crate::wire::gang::End;
use crate::wire::gang::Ending;
use crate::wire::gang::Gang;

/// The lease of a task: the time that it continues to run at its endpoint
/// without a renewal by its agent.
pub const TASK_LEASE: Duration = Duration::from_secs(10);
/// The delay between two attempts to stop a task.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Starts this worker's task of a gang and reports the outcome to the actor.
///
/// # Errors
///
/// If the endpoint does not start the task.
pub async fn start(
    endpoint: &endpoint::Client,
    actor: &ActorRef<Message>,
    gang: &Gang,
    worker: &str,
) -> Reply {
    let id = gang.id.clone();
    let Some(position) = gang.position(worker) else {
        return Err(Refusal::NotHeld);
    };
    let start = endpoint::Start {
        task: id.to_string(),
        run: gang.work.run.clone(),
        parameters: gang.work.parameters.clone(),
        accelerators: gang.members[position].mask,
        lease_seconds: TASK_LEASE.as_secs(),
        checkpoint: gang.work.checkpoint.clone(),
        note: serde_json::to_string(gang).unwrap_or_default(),
    };
    let mut answer = endpoint.start(&start).await;
    if matches!(answer, Err(crate::http::Error::Lost { .. })) {
        // Starts are idempotent, so a start without an answer is repeated.
        answer = endpoint.start(&start).await;
    }
    match answer {
        Ok(_) => {
            let _ = actor.cast(Message::TaskBegun(id));
            Ok(())
        }
        Err(error @ crate::http::Error::Unreached { .. }) => {
            let worker = Some(worker.into());
            let end = End::new(Ending::NotBegun, worker);
            let _ = actor.cast(Message::TaskEnded(id, end));
            let reason = error.to_string();
            Err(Refusal::TaskNotStarted { reason })
        }
        Err(error) => {
            let _ = actor.cast(Message::Halt(id));
            let reason = error.to_string();
            Err(Refusal::TaskNotStarted { reason })
        }
    }
}

/// Stops a task. Returns once the task has ended, or once its lease has
/// expired if the endpoint does not confirm.
pub async fn stop(
    endpoint: &endpoint::Client,
    id: &gang::Id,
    worker: &str,
) -> End {
    let name = id.to_string();
    let lease_end = tokio::time::Instant::now() + TASK_LEASE;
    while tokio::time::Instant::now() < lease_end {
        match endpoint.stop(&name).await {
            Ok(task) => {
                if let Some(end) = end_of(&task, worker) {
                    return end;
                }
            }
            Err(crate::http::Error::Unexpected { status, .. })
                if status == hyper::StatusCode::NOT_FOUND =>
            {
                return End::new(Ending::Stopped, Some(worker.into()));
            }
            Err(_) => {}
        }
        tokio::time::sleep(STOP_RETRY_DELAY).await;
    }
    End::new(Ending::Stopped, Some(worker.into()))
}

/// Returns the end of a task; `None` while it runs.
pub fn end_of(task: &Task, worker: &str) -> Option<End> {
    let ending = match task.state {
        endpoint::State::Running => return None,
        endpoint::State::Done => Ending::Done,
        endpoint::State::Failed => Ending::Failed,
        endpoint::State::Stopped => Ending::Stopped,
    };
    Some(End {
        ending,
        worker: Some(worker.into()),
        output: task.output.clone(),
        checkpoint: task.checkpoint.clone(),
        kept_ms: task.kept_ms,
    })
}
