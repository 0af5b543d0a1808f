//! What a new planner finds: records in the store, gangs in the ledgers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::job;
use crate::record::Record;
use crate::site::WorkerId;
use crate::store;
use crate::store::Revision;
use crate::wire::agent::Entry;
use crate::wire::agent::Incarnation;
use crate::wire::agent::Stage;
use crate::wire::gang;
use crate::wire::gang::Ending;
use crate::wire::gang::Gang;

/// The wait between two tries to read records.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Records as they were read, and at which revision.
#[derive(Debug, Default)]
pub struct Records {
    /// The records.
    pub records: Vec<Record>,
    /// The store's revision.
    pub revision: Revision,
}

/// Reads the records that were changed at or after `since`, trying until
/// the store answers.
pub async fn read(store: &store::Client, since: Revision) -> Records {
    loop {
        if let Ok(records) = try_read(store, since).await {
            return records;
        }
        let most = RETRY_WAIT.as_millis() as u64;
        let wait = Duration::from_millis(fastrand::u64(most / 2..=most * 2));
        tokio::time::sleep(wait).await;
    }
}

/// Reads the records that were changed at or after `since`.
///
/// # Errors
///
/// If the store does not answer.
pub async fn try_read(
    store: &store::Client,
    since: Revision,
) -> Result<Records, store::Error> {
    let listing = store.list(crate::record::PREFIX, since).await?;
    let parse = |item: &store::Item| Record::parse(&item.value);
    Ok(Records {
        records: listing.items.iter().filter_map(parse).collect(),
        revision: listing.revision,
    })
}

/// A gang put together from its members' ledgers.
#[derive(Clone, Debug)]
pub struct GangEvidence {
    /// The gang.
    pub gang: Gang,
    /// Whether any member has begun, or had.
    pub begun: bool,
    /// How long ago the first one did.
    pub begun_ago: Duration,
    /// Whether the lead's ledger was read.
    pub lead_read: bool,
}

/// Puts the gangs of all ledgers together.
pub fn collect_gangs<'a>(
    entries: impl Iterator<Item = (&'a WorkerId, &'a Entry)>,
) -> BTreeMap<gang::Id, GangEvidence> {
    let mut gangs: BTreeMap<gang::Id, GangEvidence> = BTreeMap::new();
    for (worker, entry) in entries {
        let evidence =
            gangs.entry(entry.gang.id.clone()).or_insert_with(|| {
                GangEvidence {
                    gang: entry.gang.clone(),
                    begun: false,
                    begun_ago: Duration::ZERO,
                    lead_read: false,
                }
            });
        evidence.lead_read |= entry.gang.lead().worker == *worker;
        match &entry.stage {
            Stage::Held => {}
            Stage::Begun { ago_ms } => {
                evidence.begun = true;
                evidence.begun_ago =
                    evidence.begun_ago.max(Duration::from_millis(*ago_ms));
            }
            Stage::Ended(end) => {
                evidence.begun |= end.ending != Ending::NotBegun;
            }
        }
    }
    gangs
}

/// What is to be done about a record that has not ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Resolution {
    /// It runs, or did: this gang is the one.
    Adopt(gang::Id),
    /// Nothing of it has ever run, or it may run again.
    Queue,
    /// A start may have been decided, and a member's ledger is not read.
    Defer,
    /// A start may have been decided, and nobody knows of it.
    GiveUp,
}

/// An agent as a takeover finds it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ledger {
    /// Its ledger was read, in this life of its process. It has seen the
    /// epoch of this planner, so no earlier one is obeyed any more.
    Read(Incarnation),
    /// Its ledger has not been read yet.
    Unread,
    /// Its VM is gone.
    Gone,
}

/// Returns what is to be done about a record, given the gangs found and
/// what became of each worker's agent.
pub fn resolve(
    record: &Record,
    gangs: &BTreeMap<gang::Id, GangEvidence>,
    ledger: impl Fn(&WorkerId) -> Ledger,
) -> Resolution {
    let last = gangs
        .iter()
        .filter(|(id, evidence)| id.job == record.spec.id && evidence.begun)
        .map(|(id, _)| id)
        .max_by_key(|id| (id.epoch, id.attempt));
    if let Some(id) = last {
        return Resolution::Adopt(id.clone());
    }
    let Some(mark) = &record.mark else {
        return Resolution::Queue;
    };
    let ledgers: Vec<Ledger> =
        mark.members.iter().map(|m| ledger(&m.worker)).collect();
    let same_incarnations = ledgers.len() == mark.incarnations.len()
        && ledgers
            .iter()
            .zip(&mark.incarnations)
            .all(|(ledger, then)| *ledger == Ledger::Read(then.clone()));
    match ledgers.contains(&Ledger::Unread) {
        true => Resolution::Defer,
        // Every member's agent remembers, and none has begun it.
        false if same_incarnations => Resolution::Queue,
        false => Resolution::GiveUp,
    }
}

/// Returns the jobs that gangs without a record belong to.
pub fn unrecorded(
    gangs: &BTreeMap<gang::Id, GangEvidence>,
    records: &BTreeSet<job::Id>,
) -> Vec<Gang> {
    let mut latest: BTreeMap<&job::Id, &GangEvidence> = BTreeMap::new();
    for (id, evidence) in gangs {
        if evidence.begun && !records.contains(&id.job) {
            latest.insert(&id.job, evidence);
        }
    }
    latest
        .values()
        .map(|evidence| evidence.gang.clone())
        .collect()
}
