//! Who plans: a key under a lease, whose revision is the fencing token.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::cell::keys;
use crate::clock::Stamp;
use crate::store::Compare;
use crate::store::Error;
use crate::store::Item;
use crate::store::LeaseId;
use crate::store::Put;
use crate::store::Revision;
use crate::store::Store;
use crate::store::Swap;

/// How long a claim holds without renewal. Short, since nothing new starts
/// until another may claim; long against the store's slowest answers.
pub const TTL: Duration = Duration::from_millis(2000);
/// How often it is renewed.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// How long at most a process leaves a free claim to stronger ones: a call of
/// the store takes 340 ms where it is 84 times as slow as usual, the slowest
/// seen.
const MAX_DEFERRAL: Duration = Duration::from_millis(400);
/// The cores that a planner of 240 workers took at its busiest: what a
/// process is measured by while nobody has claimed yet.
const PLANNER_CORES: f64 = 0.45;
/// The share of the strongest one's cores that counts as being as strong.
const EQUAL_CORES_SHARE: f64 = 0.9;
/// How long a call for a renewal may take.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(900);

/// The value of the claim's key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Holder {
    /// The process's name.
    pub process: String,
    /// Where agents reach its planner.
    pub address: String,
    /// The life of the process, drawn anew at each start.
    pub life: String,
    /// How many cores it may use.
    #[serde(default)]
    pub cores: f64,
}

/// A claim that this process holds.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The revision at which it was made: the key is written only then.
    pub token: Revision,
    /// The lease it hangs on.
    pub lease: LeaseId,
    /// Until when it surely holds.
    valid_until: Arc<Mutex<Stamp>>,
}

impl Claim {
    /// Returns a claim that holds until `valid`.
    pub fn new(token: Revision, lease: LeaseId, valid_until: Stamp) -> Claim {
        Claim {
            token,
            lease,
            valid_until: Arc::new(Mutex::new(valid_until)),
        }
    }

    /// Returns whether it surely holds now.
    pub fn holds(&self) -> bool {
        self.valid_until().is_ahead()
    }

    /// Returns until when it surely holds.
    pub fn valid_until(&self) -> Stamp {
        *self
            .valid_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the condition that it is still held, for writes.
    pub fn condition(&self) -> Compare {
        Compare::Modified(keys::PLANNER.to_owned(), self.token)
    }

    /// Renews it once; returns whether it may still be held.
    pub async fn renew(&self, store: &impl Store) -> bool {
        // Counted from before the call: the lease began later.
        let sent = Stamp::now();
        let call = tokio::time::timeout(
            RENEWAL_TIMEOUT,
            store.keep_alive(self.lease),
        );
        match call.await {
            Ok(Ok(true)) => {
                let mut valid_until = self
                    .valid_until
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                *valid_until = (*valid_until).max(sent + TTL);
                true
            }
            Ok(Ok(false)) => false,
            Ok(Err(_)) | Err(_) => self.holds(),
        }
    }
}

/// What a try to claim has shown.
#[derive(Clone, Debug)]
pub enum Attempt {
    /// This process holds the claim.
    Held(Claim),
    /// Another does, or may; as of this revision.
    Other(Revision),
}

/// Tries to claim.
///
/// # Errors
///
/// If the store does not answer.
pub async fn try_claim(
    store: &impl Store,
    holder: &Holder,
) -> Result<Attempt, Error> {
    let current = store.get(keys::PLANNER).await?;
    let condition = match &current {
        None => Compare::Modified(keys::PLANNER.to_owned(), 0),
        // An earlier life of this very process is over.
        Some(item) if is_earlier_run(item, holder) => {
            Compare::Modified(keys::PLANNER.to_owned(), item.modified)
        }
        Some(item) => return Ok(Attempt::Other(item.modified)),
    };
    let strongest = strongest(store).await?;
    if let Some(wait) = deferral(holder.cores, strongest) {
        tokio::time::sleep(wait).await;
        let current = store.get(keys::PLANNER).await?;
        let others = current.filter(|item| !is_earlier_run(item, holder));
        if let Some(item) = others {
            return Ok(Attempt::Other(item.modified));
        }
    }
    let sent = Stamp::now();
    let lease = store.grant(TTL).await?;
    let value = serde_json::to_vec(holder).unwrap_or_default();
    let mut puts = vec![Put::Value(keys::PLANNER.to_owned(), value, lease)];
    if strongest.is_none_or(|most| holder.cores > most) {
        let value = holder.cores.to_string().into_bytes();
        puts.push(Put::Value(keys::STRONGEST.to_owned(), value, 0));
    }
    match store.swap(&[condition], puts).await {
        Ok(Swap::Written(token)) => {
            Ok(Attempt::Held(Claim::new(token, lease, sent + TTL)))
        }
        Ok(Swap::Refused(items)) => {
            let seen = items.first().map_or(0, |item| item.modified);
            Ok(Attempt::Other(seen))
        }
        Err(error) => Err(error),
    }
}

/// Returns the cores of the strongest process that has ever claimed.
async fn strongest(store: &impl Store) -> Result<Option<f64>, Error> {
    let item = store.get(keys::STRONGEST).await?;
    let text = item.and_then(|item| String::from_utf8(item.value).ok());
    Ok(text.and_then(|text| text.parse().ok()))
}

/// Returns how long a process of `cores` leaves a free claim to others, if
/// there may be stronger ones. A planner that came to live on a thin machine
/// lost a day: it could not answer 240 agents in time.
fn deferral(cores: f64, strongest: Option<f64>) -> Option<Duration> {
    let most = strongest.unwrap_or(PLANNER_CORES);
    let weak = cores < most * EQUAL_CORES_SHARE;
    weak.then(|| MAX_DEFERRAL.mul_f64(1.0 - (cores / most).max(0.0)))
}

fn is_earlier_run(item: &Item, holder: &Holder) -> bool {
    serde_json::from_slice::<Holder>(&item.value)
        .is_ok_and(|current| current.process == holder.process)
}
