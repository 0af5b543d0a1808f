//! The planner's claim: a key under a lease, whose revision is the fencing
//! token.

mod watch;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::cell::connector::Recipient;
use crate::cell::keys;
use crate::clock::BootInstant;
use crate::log::excerpt;
use crate::store::Compare;
use crate::store::Error;
use crate::store::Item;
use crate::store::LeaseId;
use crate::store::Mutation;
use crate::store::Revision;
use crate::store::Store;
use crate::store::Swap;

pub(super) use crate::cell::claim::watch::Event;
pub(super) use crate::cell::claim::watch::Watch;

/// How long a claim holds without renewal. Short, because nothing new starts
/// until another process may claim; long compared to the store's slowest
/// answers.
pub const TTL: Duration = Duration::from_millis(2000);
/// The time between two renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// The longest time for which a process leaves a free claim to stronger ones.
/// A store call takes 340 ms when the store is 84 times slower than usual, the
/// slowest observed.
const MAX_DEFERRAL: Duration = Duration::from_millis(400);
/// The cores that a planner of 240 workers used at its busiest: the reference
/// while no process has claimed yet.
const PLANNER_CORES: f64 = 0.45;
/// The share of the strongest process's cores from which a process counts as
/// equally strong.
const EQUAL_CORES_SHARE: f64 = 0.9;
/// How long a holder plans without an answer that shows its claim in the store.
pub(super) const UNSEEN_LIMIT: Duration = Duration::from_secs(5);
/// How long a value in the claim's place that nobody holds is left there: until
/// the holder of the claim before it has certainly stepped down. A store that
/// is about to drop its history may show a change a second late.
pub(super) const UNHELD_WAIT: Duration = Duration::from_secs(7);
/// The longest that a renewal call may take.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(900);

/// The value of the claim's key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Holder {
    /// The process's name.
    pub process: String,
    /// The address at which agents reach the process's planner.
    pub address: String,
    /// The process's life, drawn at random at each start.
    pub life: String,
    /// The number of cores that the process may use.
    #[serde(default)]
    pub cores: f64,
}

impl Holder {
    /// Returns the process as the recipient of reports.
    pub fn recipient(&self) -> Recipient {
        Recipient {
            address: self.address.clone(),
            life: self.life.clone(),
        }
    }
}

/// A claim held by this process.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The fencing token: the revision at which the claim was made. The key is
    /// not written again afterwards.
    pub token: Revision,
    /// The lease of the claim's key.
    pub lease: LeaseId,
    /// The time until which the claim certainly holds.
    valid_until: Arc<Mutex<BootInstant>>,
}

impl Claim {
    /// Returns a claim that holds until `valid_until`.
    pub fn new(
        token: Revision,
        lease: LeaseId,
        valid_until: BootInstant,
    ) -> Claim {
        Claim {
            token,
            lease,
            valid_until: Arc::new(Mutex::new(valid_until)),
        }
    }

    /// Returns whether the claim certainly holds now.
    ///
    /// `false` is not the end: a renewal that is under way may still succeed,
    /// as leases wait while the store is down, and the claim then holds again.
    /// Whoever gives something up at `false` has to end its planner with it.
    pub fn holds(&self) -> bool {
        self.valid_until().is_future()
    }

    /// Returns the time until which the claim certainly holds.
    pub fn valid_until(&self) -> BootInstant {
        *self
            .valid_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the condition, for writes, that the claim is still held.
    pub fn condition(&self) -> Compare {
        Compare::Modified(keys::CLAIM.to_owned(), self.token)
    }

    /// Renews the claim once. Returns whether the claim may still be held.
    pub async fn renew(&self, store: &impl Store) -> bool {
        // The lease is counted from before the call, since it began no
        // earlier.
        let sent = BootInstant::now();
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

/// The outcome of a try to claim.
#[derive(Clone, Debug)]
pub enum Attempt {
    /// This process holds the claim.
    Held(Claim),
    /// Another process holds the claim, or may hold it, as of this revision.
    Other(Revision),
    /// A value of another writer that nobody holds is in the claim's place, as
    /// of this revision.
    Unheld(Revision, Unheld),
}

/// Why a value in the claim's place is held by nobody.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Unheld {
    /// It names no process.
    #[error("the value cannot be read: {0}")]
    Unreadable(String),
    /// It would stay although its writer has ended.
    #[error("no lease is attached")]
    Unleased,
}

/// Tries to claim. A value that nobody holds is replaced only if it was written
/// at revision `past`.
///
/// # Errors
///
/// If the store does not answer.
pub async fn try_claim(
    store: &impl Store,
    holder: &Holder,
    past: Option<Revision>,
) -> Result<Attempt, Error> {
    let current = store.get(keys::CLAIM).await?;
    let may_replace = |item: &Item| {
        // The holder is an earlier run of this very process, which is over.
        is_earlier_run(item, holder) || past == Some(item.modified)
    };
    let condition = match &current {
        None => Compare::Modified(keys::CLAIM.to_owned(), 0),
        Some(item) if is_earlier_run(item, holder) => {
            Compare::Modified(keys::CLAIM.to_owned(), item.modified)
        }
        Some(item) => match unheld(store, item).await? {
            None => return Ok(Attempt::Other(item.modified)),
            Some(_) if may_replace(item) => {
                Compare::Modified(keys::CLAIM.to_owned(), item.modified)
            }
            Some(why) => return Ok(Attempt::Unheld(item.modified, why)),
        },
    };
    let strongest = strongest(store).await?;
    if let Some(wait) = deferral(holder.cores, strongest) {
        tokio::time::sleep(wait).await;
        let current = store.get(keys::CLAIM).await?;
        if let Some(item) = current.filter(|item| !may_replace(item)) {
            return Ok(Attempt::Other(item.modified));
        }
    }
    let sent = BootInstant::now();
    let lease = store.grant(TTL).await?;
    let value = serde_json::to_vec(holder).unwrap_or_default();
    let mut puts = vec![Mutation::Value(keys::CLAIM.to_owned(), value, lease)];
    if strongest.is_none_or(|cores| holder.cores > cores) {
        let value = holder.cores.to_string().into_bytes();
        puts.push(Mutation::Value(keys::STRONGEST_CORES.to_owned(), value, 0));
    }
    match store.swap(&[condition], puts).await {
        Ok(Swap::Written(token)) => {
            Ok(Attempt::Held(Claim::new(token, lease, sent + TTL)))
        }
        Ok(Swap::Refused(items)) => {
            let revision = items.first().map_or(0, |item| item.modified);
            Ok(Attempt::Other(revision))
        }
        Err(error) => Err(error),
    }
}

/// Returns the cores of the strongest process that has ever claimed.
async fn strongest(store: &impl Store) -> Result<Option<f64>, Error> {
    let item = store.get(keys::STRONGEST_CORES).await?;
    let text = item.and_then(|item| String::from_utf8(item.value).ok());
    Ok(text.and_then(|text| text.parse().ok()))
}

/// Returns how long a process with `cores` leaves a free claim to others, if
/// there may be stronger ones. A planner on a machine with too little CPU
/// could not answer 240 agents in time, and a day's work was lost.
fn deferral(cores: f64, strongest: Option<f64>) -> Option<Duration> {
    let reference = strongest.unwrap_or(PLANNER_CORES);
    let weak = cores < reference * EQUAL_CORES_SHARE;
    weak.then(|| MAX_DEFERRAL.mul_f64(1.0 - (cores / reference).max(0.0)))
}

fn is_earlier_run(item: &Item, holder: &Holder) -> bool {
    decode(item).is_ok_and(|current| current.process == holder.process)
}

/// Decodes the holder of a claim.
pub(super) fn decode(item: &Item) -> Result<Holder, serde_json::Error> {
    serde_json::from_slice(&item.value)
}

/// Returns why nobody holds a value in the claim's place, if that is certain.
/// A claim is written readable, and under a lease.
async fn unheld(
    store: &impl Store,
    item: &Item,
) -> Result<Option<Unheld>, Error> {
    if let Err(error) = decode(item) {
        return Ok(Some(Unheld::Unreadable(excerpt(error))));
    }
    let unleased = store.is_unleased(keys::CLAIM).await?;
    Ok((unleased == Some(true)).then_some(Unheld::Unleased))
}
