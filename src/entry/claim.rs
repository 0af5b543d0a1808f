//! Claims the cell, and hosts its planner while the claim is held.
//!
//! A claim is a key in the store that is attached to a lease. The lease only
//! determines when another entry may claim. The epoch, which is the revision at
//! which the claim was written, excludes earlier planners: an agent that has
//! seen a higher epoch refuses requests of a lower one.

use std::sync::Arc;
use std::time::Duration;

use ractor::Actor;
use ractor::ActorRef;
use tokio::time::Instant;

use crate::entry::sleep_with_jitter;
use crate::entry::Claim;
use crate::entry::Shared;
use crate::planner;
use crate::planner::actor::Message;
use crate::planner::actor::Planner;
use crate::store;
use crate::store::Compare;
use crate::store::LeaseId;
use crate::store::Mutation;
use crate::store::Swap;
use crate::wire::Epoch;

/// The lease of a claim: the time that a claim lasts without renewal.
const CLAIM_LEASE: Duration = Duration::from_secs(3);
/// The interval at which a claim is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(900);
/// The maximum delay before the claim is read again, after an error of the
/// store, or while this entry stops and there is no claim.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// The maximum duration of a watch, after which the claim is read again.
const MAX_WATCH: Duration = Duration::from_secs(10);

/// Follows the claim, and claims the cell whenever nobody holds the claim.
///
/// An entry that stops still follows the claim, because its callers' requests
/// move on to the next planner, but does not claim.
pub async fn follow(shared: Arc<Shared>) {
    let key = claim_key(&shared.config.cell);
    loop {
        let stopping = *shared.stopping.borrow();
        let followed = match shared.store.get(&key).await {
            Ok(Some(item)) => {
                update_claim(&shared, &item);
                wait_for_change(&shared, &key, item.modified + 1).await
            }
            Ok(None) if stopping => {
                sleep_with_jitter(RETRY_DELAY).await;
                Ok(())
            }
            Ok(None) => try_claim(&shared, &key).await,
            Err(error) => Err(error),
        };
        if followed.is_err() {
            sleep_with_jitter(RETRY_DELAY).await;
        }
    }
}

fn claim_key(cell: &str) -> String {
    format!("/landingvalve/claim/{cell}")
}

fn update_claim(shared: &Shared, item: &store::Item) {
    let claim: Option<Claim> = serde_json::from_slice(&item.value).ok();
    shared.claim.send_if_modified(|seen| {
        let changed = *seen != claim;
        *seen = claim;
        changed
    });
}

async fn wait_for_change(
    shared: &Shared,
    key: &str,
    from: store::Revision,
) -> Result<(), store::Error> {
    let mut watch = shared.store.watch(key, from).await?;
    let deadline = Instant::now() + MAX_WATCH;
    loop {
        let changes = tokio::time::timeout_at(deadline, watch.next());
        match changes.await {
            Ok(Ok(changes)) if changes.is_empty() => continue,
            Ok(Ok(_)) | Err(_) => return Ok(()),
            Ok(Err(error)) => return Err(error),
        }
    }
}

async fn try_claim(
    shared: &Arc<Shared>,
    key: &str,
) -> Result<(), store::Error> {
    let lease = shared.store.grant(CLAIM_LEASE).await?;
    let claim = Claim {
        address: shared.address.clone(),
        nonce: uuid::Uuid::new_v4().simple().to_string(),
    };
    let Some(epoch) = write_claim(shared, key, &claim, lease).await? else {
        return shared.store.revoke(lease).await;
    };
    slog::info!(shared.config.log, "entry: claimed the cell";
        "cell" => &shared.config.cell, "epoch" => epoch);
    shared.claim.send_replace(Some(claim));
    host_planner(shared, key, epoch, lease).await;
    Ok(())
}

/// Writes the claim if nobody holds one; returns its epoch if it was written.
async fn write_claim(
    shared: &Shared,
    key: &str,
    claim: &Claim,
    lease: LeaseId,
) -> Result<Option<Epoch>, store::Error> {
    let value = serde_json::to_vec(claim).unwrap_or_default();
    let put = Mutation::Value(key.to_owned(), value, lease);
    let absent = Compare::Created(key.to_owned(), 0);
    match shared.store.swap(&[absent], vec![put]).await {
        Ok(Swap::Written(revision)) => Ok(Some(revision)),
        Ok(Swap::Refused(_)) => Ok(None),
        Err(
            error @ (store::Error::Unreached(_)
            | store::Error::Rejected(_)
            | store::Error::Forgotten(_)),
        ) => Err(error),
        Err(store::Error::Lost(_)) => {
            // The write may have succeeded without its answer: read the
            // claim back to find out.
            let item = shared.store.get(key).await?;
            let own = item.filter(|item| {
                serde_json::from_slice::<Claim>(&item.value)
                    .is_ok_and(|stored| stored == *claim)
            });
            Ok(own.map(|item| item.created))
        }
    }
}

/// Hosts the planner until the planner ends, the claim's lease expires, or the
/// entry stops.
async fn host_planner(
    shared: &Arc<Shared>,
    key: &str,
    epoch: Epoch,
    lease: LeaseId,
) {
    let config = planner::Config {
        cell: shared.config.cell.clone(),
        claim: key.to_owned(),
        epoch,
        address: shared.address.clone(),
        accelerators: shared.config.accelerators,
        policy: shared.config.policy.clone(),
        store: shared.store.clone(),
        document: shared.document.borrow().clone(),
        vms: shared.vms.borrow().clone(),
        log: shared.config.log.clone(),
    };
    let spawned = Actor::spawn(None, Planner, config).await;
    let (planner, mut ended) = match spawned {
        Ok(spawned) => spawned,
        Err(error) => {
            slog::error!(
                shared.config.log,
                "entry: the planner did not start: {error}"
            );
            return;
        }
    };
    shared.planner.send_replace(Some(planner.clone()));
    // The inputs may have changed while the planner was being started.
    send_current_inputs(shared, &planner);
    let mut stopping = shared.stopping.subscribe();
    tokio::select! {
        _ = &mut ended => {}
        _ = renew_until_lapsed(shared, lease) => {}
        _ = stopping.wait_for(|stopping| *stopping) => {}
    }
    planner.stop(None);
    shared.planner.send_replace(None);
    let _ = shared.store.revoke(lease).await;
    slog::info!(shared.config.log, "entry: stopped hosting the planner";
        "epoch" => epoch);
}

fn send_current_inputs(shared: &Shared, planner: &ActorRef<Message>) {
    let vms = shared.vms.borrow().clone();
    let document = shared.document.borrow().clone();
    let _ = planner.cast(Message::Vms(vms));
    let _ = planner.cast(Message::Configuration(document));
}

/// Renews the lease, and returns once the store reports that it has expired.
/// Errors are ignored: while the store does not answer, no other entry can
/// claim the cell either.
async fn renew_until_lapsed(shared: &Shared, lease: LeaseId) {
    loop {
        tokio::time::sleep(RENEWAL_INTERVAL).await;
        if let Ok(false) = shared.store.keep_alive(lease).await {
            return;
        }
    }
}
