//! Claims the cell, and hosts its planner while the claim is held.
//!
//! A claim is a key that hangs on a lease. The lease only says when another
//! may try: what keeps two planners apart is the claim's revision, the
//! epoch, below which no agent obeys once it has seen a higher.

use std::sync::Arc;
use std::time::Duration;

use ractor::Actor;
use ractor::ActorRef;
use tokio::time::Instant;

use crate::entry::jitter;
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

/// How long a claim stands without renewal.
const LEASE: Duration = Duration::from_secs(3);
/// How often a claim is renewed.
const RENEW: Duration = Duration::from_millis(900);
/// The wait after the store has failed, or a try at claiming.
const RETRY: Duration = Duration::from_millis(400);
/// How long a watch is trusted before the claim is read again.
const WATCH: Duration = Duration::from_secs(10);

/// Follows the claim, and takes it whenever nobody has it.
///
/// An entry that stops still follows it: its callers' requests move to the
/// next planner.
pub async fn follow(shared: Arc<Shared>) {
    let key = key(&shared.config.cell);
    loop {
        let stopping = *shared.stopping.borrow();
        let followed = match shared.store.get(&key).await {
            Ok(Some(item)) => {
                see(&shared, &item);
                wait_for_change(&shared, &key, item.modified + 1).await
            }
            Ok(None) if stopping => {
                jitter(RETRY).await;
                Ok(())
            }
            Ok(None) => try_claim(&shared, &key).await,
            Err(error) => Err(error),
        };
        if followed.is_err() {
            jitter(RETRY).await;
        }
    }
}

fn key(cell: &str) -> String {
    format!("/landingvalve/claim/{cell}")
}

fn see(shared: &Shared, item: &store::Item) {
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
    let deadline = Instant::now() + WATCH;
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
    let lease = shared.store.grant(LEASE).await?;
    let claim = Claim {
        address: shared.address.clone(),
        nonce: uuid::Uuid::new_v4().simple().to_string(),
    };
    let Some(epoch) = write(shared, key, &claim, lease).await? else {
        return shared.store.revoke(lease).await;
    };
    slog::info!(shared.config.log, "entry: has claimed the cell";
        "cell" => &shared.config.cell, "epoch" => epoch);
    shared.claim.send_replace(Some(claim));
    host(shared, key, epoch, lease).await;
    Ok(())
}

/// Writes the claim if nobody has it; returns its epoch if it is ours.
async fn write(
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
            error @ (store::Error::Unreached(_) | store::Error::Forgotten(_)),
        ) => Err(error),
        Err(store::Error::Lost(_)) => {
            // The answer is lost, not the write: reading back tells.
            let item = shared.store.get(key).await?;
            let ours = item.filter(|item| {
                serde_json::from_slice::<Claim>(&item.value)
                    .is_ok_and(|theirs| theirs == *claim)
            });
            Ok(ours.map(|item| item.created))
        }
    }
}

/// Hosts the planner until it steps down, the claim is lost to another, or
/// the entry is to stop.
async fn host(shared: &Arc<Shared>, key: &str, epoch: Epoch, lease: LeaseId) {
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
            slog::error!(shared.config.log, "entry: no planner: {error}");
            return;
        }
    };
    shared.planner.send_replace(Some(planner.clone()));
    // What changed while the planner was being started.
    refresh(shared, &planner);
    let mut stopping = shared.stopping.subscribe();
    tokio::select! {
        _ = &mut ended => {}
        _ = keep(shared, lease) => {}
        _ = stopping.wait_for(|stopping| *stopping) => {}
    }
    planner.stop(None);
    shared.planner.send_replace(None);
    let _ = shared.store.revoke(lease).await;
    slog::info!(shared.config.log, "entry: hosts the planner no longer";
        "epoch" => epoch);
}

fn refresh(shared: &Shared, planner: &ActorRef<Message>) {
    let vms = shared.vms.borrow().clone();
    let document = shared.document.borrow().clone();
    let _ = planner.cast(Message::Vms(vms));
    let _ = planner.cast(Message::Configuration(document));
}

/// Renews the lease; returns once the store says that it has lapsed. While
/// the store does not answer, nobody else can claim either.
async fn keep(shared: &Shared, lease: LeaseId) {
    loop {
        tokio::time::sleep(RENEW).await;
        if let Ok(false) = shared.store.keep_alive(lease).await {
            return;
        }
    }
}
