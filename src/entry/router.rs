//! Routes requests to the cell's planner, at this entry or another one.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use ractor::RpcReplyPort;
use tokio::time::Instant;

use crate::account;
use crate::entry::sleep_with_jitter;
use crate::entry::Shared;
use crate::job;
use crate::planner::actor::Message;
use crate::wire::entry::Admit;
use crate::wire::entry::CellView;
use crate::wire::entry::EntryClient;
use crate::wire::entry::Query;
use crate::wire::entry::Refusal;
use crate::wire::entry::Status;
use crate::wire::link;

/// The maximum delay between two attempts to reach the planner.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The time limit of a call to another entry, besides the time for which the
/// request asks the planner to wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a request that the planner may refuse to the planner at this entry.
///
/// # Errors
///
/// The planner's refusal; [`Refusal::NotPlanner`] if this entry hosts none.
pub async fn ask_local<T: Send + 'static>(
    shared: &Shared,
    message: impl FnOnce(RpcReplyPort<Result<T, Refusal>>) -> Message,
) -> Result<T, Refusal> {
    let planner = local_planner(shared).ok_or(Refusal::NotPlanner)?;
    match planner.call(message, None).await {
        Ok(ractor::rpc::CallResult::Success(answer)) => answer,
        _ => Err(Refusal::NotPlanner),
    }
}

/// Sends a request that the planner never refuses to the planner at this
/// entry.
///
/// # Errors
///
/// [`Refusal::NotPlanner`] if this entry hosts none.
pub async fn query_local<T: Send + 'static>(
    shared: &Shared,
    message: impl FnOnce(RpcReplyPort<T>) -> Message,
) -> Result<T, Refusal> {
    let planner = local_planner(shared).ok_or(Refusal::NotPlanner)?;
    match planner.call(message, None).await {
        Ok(ractor::rpc::CallResult::Success(answer)) => Ok(answer),
        _ => Err(Refusal::NotPlanner),
    }
}

fn local_planner(shared: &Shared) -> Option<ActorRef<Message>> {
    shared.planner.borrow().clone()
}

/// The location of the planner: this entry, or another one by its address and
/// connection.
enum Location {
    Local,
    Remote(String, Arc<jsonrpsee::ws_client::WsClient>),
}

async fn locate_planner(shared: &Shared) -> Option<Location> {
    if local_planner(shared).is_some() {
        return Some(Location::Local);
    }
    let address = shared.claim.borrow().as_ref()?.address.clone();
    if address == shared.address {
        return None;
    }
    let client = shared.pool.get(&address).await.ok()?;
    Some(Location::Remote(address, client))
}

/// Repeats a request until the planner answers or the deadline passes. All
/// requests sent this way are idempotent.
async fn retry_until<T, F>(
    deadline: Instant,
    mut ask: impl FnMut() -> F,
) -> Result<T, Refusal>
where
    F: Future<Output = Result<T, Refusal>>,
{
    loop {
        let answer = match tokio::time::timeout_at(deadline, ask()).await {
            Ok(answer) => answer,
            Err(_) => return Err(Refusal::NotPlanner),
        };
        match answer {
            Err(refusal @ (Refusal::NotPlanner | Refusal::TakingOver)) => {
                if Instant::now() + RETRY_DELAY >= deadline {
                    return Err(refusal);
                }
                sleep_with_jitter(RETRY_DELAY).await;
            }
            answer => return answer,
        }
    }
}

async fn call_remote<T>(
    shared: &Shared,
    address: &str,
    limit: Duration,
    call: impl Future<
        Output = Result<Result<T, Refusal>, jsonrpsee::core::ClientError>,
    >,
) -> Result<T, Refusal> {
    match link::with_timeout(address, limit, call).await {
        Ok(answer) => answer,
        Err(_) => {
            shared.pool.remove(address);
            Err(Refusal::NotPlanner)
        }
    }
}

/// Asks the planner to admit a job.
///
/// # Errors
///
/// If the planner refuses, or cannot be reached by the deadline.
pub async fn admit(
    shared: &Shared,
    admit: Admit,
    deadline: Instant,
) -> Result<Status, Refusal> {
    retry_until(deadline, || async {
        let admit = admit.clone();
        match locate_planner(shared).await {
            Some(Location::Local) => {
                let ask = |reply| Message::Admit(Box::new(admit), reply);
                ask_local(shared, ask).await
            }
            Some(Location::Remote(address, client)) => {
                call_remote(
                    shared,
                    &address,
                    CALL_TIMEOUT,
                    client.admit(admit),
                )
                .await
            }
            None => Err(Refusal::NotPlanner),
        }
    })
    .await
}

/// Returns a job's status, once the job has ended or the wait times out.
///
/// # Errors
///
/// If the planner refuses, or cannot be reached by the deadline.
pub async fn status(
    shared: &Shared,
    query: Query,
    deadline: Instant,
) -> Result<Status, Refusal> {
    let limit = CALL_TIMEOUT + Duration::from_millis(query.timeout_ms);
    retry_until(deadline, || async {
        let query = query.clone();
        match locate_planner(shared).await {
            Some(Location::Local) => {
                ask_local(shared, |reply| Message::Status(query, reply)).await
            }
            Some(Location::Remote(address, client)) => {
                call_remote(shared, &address, limit, client.status(query))
                    .await
            }
            None => Err(Refusal::NotPlanner),
        }
    })
    .await
}

/// Cancels a job.
///
/// # Errors
///
/// If the planner refuses, or cannot be reached by the deadline.
pub async fn cancel(
    shared: &Shared,
    job: job::Id,
    deadline: Instant,
) -> Result<Status, Refusal> {
    retry_until(deadline, || async {
        let job = job.clone();
        match locate_planner(shared).await {
            Some(Location::Local) => {
                ask_local(shared, |reply| Message::Cancel(job, reply)).await
            }
            Some(Location::Remote(address, client)) => {
                call_remote(shared, &address, CALL_TIMEOUT, client.cancel(job))
                    .await
            }
            None => Err(Refusal::NotPlanner),
        }
    })
    .await
}

/// Returns the status of an account's jobs, or of all jobs if no account is
/// given.
///
/// # Errors
///
/// If the planner cannot be reached by the deadline.
pub async fn list(
    shared: &Shared,
    account: Option<account::Id>,
    deadline: Instant,
) -> Result<Vec<Status>, Refusal> {
    retry_until(deadline, || async {
        let account = account.clone();
        match locate_planner(shared).await {
            Some(Location::Local) => {
                let ask = |reply| Message::List(account, reply);
                query_local(shared, ask).await
            }
            Some(Location::Remote(address, client)) => {
                call_remote(
                    shared,
                    &address,
                    CALL_TIMEOUT,
                    client.list(account),
                )
                .await
            }
            None => Err(Refusal::NotPlanner),
        }
    })
    .await
}

/// Returns the cell as its planner sees it.
///
/// # Errors
///
/// If the planner cannot be reached by the deadline.
pub async fn cell(
    shared: &Shared,
    deadline: Instant,
) -> Result<CellView, Refusal> {
    retry_until(deadline, || async {
        match locate_planner(shared).await {
            Some(Location::Local) => query_local(shared, Message::Cell).await,
            Some(Location::Remote(address, client)) => {
                call_remote(shared, &address, CALL_TIMEOUT, client.cell())
                    .await
            }
            None => Err(Refusal::NotPlanner),
        }
    })
    .await
}
