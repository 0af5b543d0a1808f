//! Starts and stops a gang: all members hold their accelerators, then the lead
//! decides.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;

use crate::agent::ledger::gang_lease;
use crate::agent::ledger::HOLD_DURATION;
use crate::site::WorkerId;
use crate::telemetry::Span;
use crate::wire::agent::AgentClient;
use crate::wire::agent::Fence;
use crate::wire::agent::Hold;
use crate::wire::agent::Launch;
use crate::wire::agent::LaunchOutcome;
use crate::wire::agent::Refusal;
use crate::wire::agent::Report;
use crate::wire::agent::Stop;
use crate::wire::gang::Decision;
use crate::wire::gang::Gang;
use crate::wire::gang::Member;
use crate::wire::link;
use crate::wire::Trace;

/// How long a launch may take in addition to twice the gang's lease, for which
/// a failed one waits.
const LAUNCH_TIMEOUT: Duration = Duration::from_secs(3);
/// The wait between two attempts to stop a gang, or to learn its lead's
/// decision.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// The outcome of a start.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// All members have begun.
    Started,
    /// No member has begun, and none will.
    NotStarted {
        /// The member that could not be reached, if any.
        unreached: Option<WorkerId>,
        /// Whether the planner's configuration is older than a member's.
        behind: bool,
    },
    /// Members may have begun; those that did have been stopped, or will be
    /// within the gang's lease.
    Broken {
        /// The member that prevented the start, or the lead if it did not
        /// answer.
        worker: WorkerId,
        /// Whether the gang is known not to have run to its end.
        known_unfinished: bool,
    },
    /// A later planner is active.
    Fenced,
}

/// Starts a gang and returns the outcome.
pub async fn start(
    pool: link::Pool,
    fence: Fence,
    gang: Gang,
    trace: Option<Trace>,
) -> Outcome {
    let span = Span::begin("start", trace.as_ref());
    span.set("gang", &gang.id);
    let trace = span.trace();
    let holds = gang
        .members
        .iter()
        .map(|member| hold(&pool, fence, &gang, member, trace.clone()));
    let held = join_all(holds).await;
    let failed =
        held.into_iter()
            .zip(&gang.members)
            .find_map(|(held, member)| {
                held.err().map(|refusal| (refusal, member))
            });
    if let Some((refusal, member)) = failed {
        release(&pool, fence, &gang).await;
        return hold_failure(refusal, &member.worker);
    }
    launch(&pool, fence, &gang, trace).await
}

fn hold_failure(refusal: Option<Refusal>, worker: &WorkerId) -> Outcome {
    match refusal {
        Some(Refusal::StaleEpoch { .. }) => Outcome::Fenced,
        refusal => Outcome::NotStarted {
            behind: matches!(refusal, Some(Refusal::StaleRevision { .. })),
            unreached: refusal.is_none().then(|| worker.clone()),
        },
    }
}

/// Asks one member to hold its accelerators. The error is the member's
/// refusal, or `None` if the member did not answer.
async fn hold(
    pool: &link::Pool,
    fence: Fence,
    gang: &Gang,
    member: &Member,
    trace: Option<Trace>,
) -> Result<(), Option<Refusal>> {
    let address = &member.address;
    let client = pool.get(address).await.map_err(|_| None)?;
    let hold = Hold {
        fence,
        gang: gang.clone(),
        worker: member.worker.clone(),
        trace,
    };
    match link::with_timeout(address, link::CALL_TIMEOUT, client.hold(hold))
        .await
    {
        Ok(Ok(())) => Ok(()),
        Ok(Err(refusal)) => Err(Some(refusal)),
        Err(_) => {
            pool.remove(address);
            Err(None)
        }
    }
}

async fn launch(
    pool: &link::Pool,
    fence: Fence,
    gang: &Gang,
    trace: Option<Trace>,
) -> Outcome {
    let lead = gang.lead();
    let launch = Launch {
        fence,
        gang: gang.id.clone(),
        trace,
    };
    let launched = match pool.get(&lead.address).await {
        Ok(client) => {
            let call = client.launch(launch);
            let timeout = LAUNCH_TIMEOUT + 2 * gang_lease(gang.members.len());
            link::with_timeout(&lead.address, timeout, call).await
        }
        Err(error) => Err(error),
    };
    match launched {
        Ok(Ok(LaunchOutcome::Started)) => Outcome::Started,
        Ok(Ok(LaunchOutcome::NotStarted { worker, refusal })) => {
            release(pool, fence, gang).await;
            Outcome::NotStarted {
                unreached: worker.filter(|_| refusal.is_none()),
                behind: false,
            }
        }
        Ok(Ok(LaunchOutcome::PartlyStarted { worker })) => Outcome::Broken {
            worker,
            known_unfinished: true,
        },
        Ok(Err(Refusal::StaleEpoch { .. })) => Outcome::Fenced,
        Ok(Err(refusal)) => {
            // The request forces a decision: a gang that has none by then is
            // halted.
            let behind = matches!(refusal, Refusal::StaleRevision { .. });
            let decision = request_decision(pool, gang).await;
            if decision == Some(Decision::Run) {
                return Outcome::Started;
            }
            release(pool, fence, gang).await;
            match decision {
                Some(_) => Outcome::NotStarted {
                    unreached: None,
                    behind,
                },
                None => Outcome::Broken {
                    worker: lead.worker.clone(),
                    known_unfinished: false,
                },
            }
        }
        Err(_) => {
            pool.remove(&lead.address);
            recover_decision(pool, fence, gang).await
        }
    }
}

/// Asks for the lead's decision after its answer to the launch was lost.
async fn recover_decision(
    pool: &link::Pool,
    fence: Fence,
    gang: &Gang,
) -> Outcome {
    let deadline =
        Instant::now() + HOLD_DURATION + 2 * gang_lease(gang.members.len());
    while Instant::now() < deadline {
        match request_decision(pool, gang).await {
            Some(Decision::Run) => return Outcome::Started,
            Some(Decision::Halt) => break,
            None => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
    // A lead that halted may have run before, and an unreachable one may still
    // run: the members stop when their lease ends.
    release(pool, fence, gang).await;
    Outcome::Broken {
        worker: gang.lead().worker.clone(),
        known_unfinished: false,
    }
}

/// Asks the lead for its decision. If there is none yet, the request itself
/// decides that the gang does not run.
async fn request_decision(pool: &link::Pool, gang: &Gang) -> Option<Decision> {
    let address = &gang.lead().address;
    let client = pool.get(address).await.ok()?;
    let report = Report {
        gang: gang.id.clone(),
        member: 0,
        end: None,
    };
    let call = client.report(report);
    link::with_timeout(address, link::CALL_TIMEOUT, call)
        .await
        .ok()
}

/// Stops every member; one that is not reached asks its lead.
pub async fn release(pool: &link::Pool, fence: Fence, gang: &Gang) {
    let stops = gang
        .members
        .iter()
        .map(|member| stop_member(pool, fence, gang, member));
    join_all(stops).await;
}

async fn stop_member(
    pool: &link::Pool,
    fence: Fence,
    gang: &Gang,
    member: &Member,
) -> bool {
    let address = &member.address;
    let Ok(client) = pool.get(address).await else {
        return false;
    };
    let stop = Stop {
        fence,
        gang: gang.id.clone(),
    };
    let call = client.stop(stop);
    match link::with_timeout(address, link::CALL_TIMEOUT, call).await {
        Ok(_) => true,
        Err(_) => {
            pool.remove(address);
            false
        }
    }
}

/// Stops a gang through its lead, and through all members while the lead is
/// not reached. Returns once the lead has answered, or after four times the
/// gang's lease.
pub async fn stop(pool: link::Pool, fence: Fence, gang: Gang) {
    let deadline = Instant::now() + 4 * gang_lease(gang.members.len());
    while Instant::now() < deadline {
        if stop_member(&pool, fence, &gang, gang.lead()).await {
            return;
        }
        release(&pool, fence, &gang).await;
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
