//! Starting and stopping a gang: hold on all members, then let the lead
//! decide.

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

/// How long a launch may take besides the wait for members' leases, if it
/// goes wrong.
const LAUNCH: Duration = Duration::from_secs(3);
/// The wait between two tries to stop a gang.
const STOP_RETRY: Duration = Duration::from_millis(700);

/// What came of a start.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// All members have begun.
    Started,
    /// No member ever began, nor will.
    NotStarted {
        /// The member that could not be reached, if one could not.
        unreached: Option<WorkerId>,
        /// Whether the planner is behind on configuration.
        behind: bool,
    },
    /// Members may have begun; whatever did has been stopped, or will be
    /// within the gang's lease.
    Broken {
        /// The member in whose way it lay.
        worker: WorkerId,
        /// Whether it is known that it did not run to its end.
        known: bool,
    },
    /// A later planner has spoken.
    Fenced,
}

/// Starts a gang and returns what came of it.
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
    let failed = held
        .into_iter()
        .zip(&gang.members)
        .find_map(|(held, member)| held.err().map(|why| (why, member)));
    if let Some((why, member)) = failed {
        release(&pool, fence, &gang).await;
        return not_held(why, &member.worker);
    }
    launch(&pool, fence, &gang, trace).await
}

fn not_held(why: Option<Refusal>, worker: &WorkerId) -> Outcome {
    match why {
        Some(Refusal::StaleEpoch { .. }) => Outcome::Fenced,
        why => Outcome::NotStarted {
            behind: matches!(why, Some(Refusal::StaleRevision { .. })),
            unreached: why.is_none().then(|| worker.clone()),
        },
    }
}

/// Asks one member to hold; the error says why it does not, if it said.
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
            let limit = LAUNCH + 2 * gang_lease(gang.members.len());
            link::with_timeout(&lead.address, limit, call).await
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
            known: true,
        },
        Ok(Err(Refusal::StaleEpoch { .. })) => Outcome::Fenced,
        Ok(Err(refusal)) => {
            // Asking settles it: a gang that is not decided by now is
            // decided not to run.
            let behind = matches!(refusal, Refusal::StaleRevision { .. });
            let verdict = ask(pool, gang).await;
            if verdict == Some(Decision::Run) {
                return Outcome::Started;
            }
            release(pool, fence, gang).await;
            match verdict {
                Some(_) => Outcome::NotStarted {
                    unreached: None,
                    behind,
                },
                None => Outcome::Broken {
                    worker: lead.worker.clone(),
                    known: false,
                },
            }
        }
        Err(_) => {
            pool.remove(&lead.address);
            lost_launch(pool, fence, gang).await
        }
    }
}

/// Finds out what the lead decided when its answer was lost.
async fn lost_launch(pool: &link::Pool, fence: Fence, gang: &Gang) -> Outcome {
    let deadline =
        Instant::now() + HOLD_DURATION + 2 * gang_lease(gang.members.len());
    while Instant::now() < deadline {
        match ask(pool, gang).await {
            Some(Decision::Run) => return Outcome::Started,
            Some(Decision::Halt) => break,
            None => tokio::time::sleep(STOP_RETRY).await,
        }
    }
    // A lead that halted may have run before, and one that is not reached
    // may run yet: members stop by their lease.
    release(pool, fence, gang).await;
    Outcome::Broken {
        worker: gang.lead().worker.clone(),
        known: false,
    }
}

/// Asks the lead for its verdict; who asks before there is one decides
/// that the gang does not run.
async fn ask(pool: &link::Pool, gang: &Gang) -> Option<Decision> {
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

/// Tells every member to let go; one that is not reached asks its lead.
pub async fn release(pool: &link::Pool, fence: Fence, gang: &Gang) {
    let stops = gang
        .members
        .iter()
        .map(|member| stop_at(pool, fence, gang, member));
    join_all(stops).await;
}

async fn stop_at(
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

/// Stops a gang through its lead, and through its members while the lead
/// is not reached. Returns once somebody has been told.
pub async fn stop(pool: link::Pool, fence: Fence, gang: Gang) {
    let deadline = Instant::now() + 4 * gang_lease(gang.members.len());
    while Instant::now() < deadline {
        if stop_at(&pool, fence, &gang, gang.lead()).await {
            return;
        }
        release(&pool, fence, &gang).await;
        tokio::time::sleep(STOP_RETRY).await;
    }
}
