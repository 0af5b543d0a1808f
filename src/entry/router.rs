//! Finds the cell's planner, here or on another entry, and asks it.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use ractor::RpcReplyPort;
use tokio::time::Instant;

use crate::account;
use crate::entry::jitter;
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

/// The wait between two tries to reach the planner.
const RETRY: Duration = Duration::from_millis(150);
/// How long a planner may take over a call that waits for nothing.
const CALL: Duration = Duration::from_secs(3);

/// Asks the planner hosted here.
///
/// # Errors
///
/// As the planner refuses; [`Refusal::NotPlanner`] if there is none.
pub async fn ask_here<T: Send + 'static>(
    shared: &Shared,
    message: impl FnOnce(RpcReplyPort<Result<T, Refusal>>) -> Message,
) -> Result<T, Refusal> {
    let planner = here(shared).ok_or(Refusal::NotPlanner)?;
    match planner.call(message, None).await {
        Ok(ractor::rpc::CallResult::Success(answer)) => answer,
        _ => Err(Refusal::NotPlanner),
    }
}

/// Asks the planner hosted here for something it does not refuse.
///
/// # Errors
///
/// [`Refusal::NotPlanner`] if there is none.
pub async fn query_here<T: Send + 'static>(
    shared: &Shared,
    message: impl FnOnce(RpcReplyPort<T>) -> Message,
) -> Result<T, Refusal> {
    let planner = here(shared).ok_or(Refusal::NotPlanner)?;
    match planner.call(message, None).await {
        Ok(ractor::rpc::CallResult::Success(answer)) => Ok(answer),
        _ => Err(Refusal::NotPlanner),
    }
}

fn here(shared: &Shared) -> Option<ActorRef<Message>> {
    shared.planner.borrow().clone()
}

/// Where to ask: here, or at another entry.
enum Host {
    Here,
    There(String, Arc<jsonrpsee::ws_client::WsClient>),
}

async fn host(shared: &Shared) -> Option<Host> {
    if here(shared).is_some() {
        return Some(Host::Here);
    }
    let address = shared.claim.borrow().as_ref()?.address.clone();
    if address == shared.address {
        return None;
    }
    let client = shared.pool.get(&address).await.ok()?;
    Some(Host::There(address, client))
}

/// Asks until the planner answers or the deadline passes. All that is
/// asked this way may be asked twice.
async fn persist<T, F>(
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
                if Instant::now() + RETRY >= deadline {
                    return Err(refusal);
                }
                jitter(RETRY).await;
            }
            answer => return answer,
        }
    }
}

async fn there<T>(
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

/// Has the planner take a job in.
///
/// # Errors
///
/// As the planner refuses, or if it is not reached by the deadline.
pub async fn admit(
    shared: &Shared,
    admit: Admit,
    deadline: Instant,
) -> Result<Status, Refusal> {
    persist(deadline, || async {
        let admit = admit.clone();
        match host(shared).await {
            Some(Host::Here) => {
                let ask = |reply| Message::Admit(Box::new(admit), reply);
                ask_here(shared, ask).await
            }
            Some(Host::There(address, client)) => {
                there(shared, &address, CALL, client.admit(admit)).await
            }
            None => Err(Refusal::NotPlanner),
        }
    })
    .await
}

/// Returns a job's status, once it has ended or the wait is over.
///
/// # Errors
///
/// As the planner refuses, or if it is not reached by the deadline.
pub async fn status(
    shared: &Shared,
    wait: Query,
    deadline: Instant,
) -> Result<Status, Refusal> {
    let limit = CALL + Duration::from_millis(wait.timeout_ms);
    persist(deadline, || async {
        let wait = wait.clone();
        match host(shared).await {
            Some(Host::Here) => {
                ask_here(shared, |reply| Message::Status(wait, reply)).await
            }
            Some(Host::There(address, client)) => {
                there(shared, &address, limit, client.status(wait)).await
            }
            None => Err(Refusal::NotPlanner),
        }
    })
    .await
}

/// Takes a job back.
///
/// # Errors
///
/// As the planner refuses, or if it is not reached by the deadline.
pub async fn cancel(
    shared: &Shared,
    job: job::Id,
    deadline: Instant,
) -> Result<Status, Refusal> {
    persist(deadline, || async {
        let job = job.clone();
        match host(shared).await {
            Some(Host::Here) => {
                ask_here(shared, |reply| Message::Cancel(job, reply)).await
            }
            Some(Host::There(address, client)) => {
                there(shared, &address, CALL, client.cancel(job)).await
            }
            None => Err(Refusal::NotPlanner),
        }
    })
    .await
}

/// Returns the status of an account's jobs.
///
/// # Errors
///
/// If the planner is not reached by the deadline.
pub async fn list(
    shared: &Shared,
    account: Option<account::Id>,
    deadline: Instant,
) -> Result<Vec<Status>, Refusal> {
    persist(deadline, || async {
        let account = account.clone();
        match host(shared).await {
            Some(Host::Here) => {
                let ask = |reply| Message::List(account, reply);
                query_here(shared, ask).await
            }
            Some(Host::There(address, client)) => {
                there(shared, &address, CALL, client.list(account)).await
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
/// If the planner is not reached by the deadline.
pub async fn cell(
    shared: &Shared,
    deadline: Instant,
) -> Result<CellView, Refusal> {
    persist(deadline, || async {
        match host(shared).await {
            Some(Host::Here) => query_here(shared, Message::Cell).await,
            Some(Host::There(address, client)) => {
                there(shared, &address, CALL, client.cell()).await
            }
            None => Err(Refusal::NotPlanner),
        }
    })
    .await
}
