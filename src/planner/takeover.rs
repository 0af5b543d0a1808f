//! Determines what a new planner takes over, from the records in the store and
//! the gangs in the agents' ledgers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::job;
use crate::log::excerpt;
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

/// The typical wait between two attempts to read records; each varies from
/// half to twice as long.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Records, and the store's revision at which they were read.
#[derive(Debug, Default)]
pub struct Records {
    /// The records.
    pub records: Vec<Record>,
    /// The store's revision.
    pub revision: Revision,
}

/// Reads the records changed at or after `since`, and retries until the store
/// answers.
pub async fn read(
    store: &store::Client,
    since: Revision,
    log: &slog::Logger,
) -> Records {
    loop {
        match try_read(store, since, log).await {
            Ok(records) => return records,
            Err(error) => slog::warn!(log,
                "planner: records could not be read"; "error" => %error),
        }
        let typical = RETRY_WAIT.as_millis() as u64;
        let wait =
            Duration::from_millis(fastrand::u64(typical / 2..=typical * 2));
        tokio::time::sleep(wait).await;
    }
}

/// Reads the records changed at or after `since`.
///
/// # Errors
///
/// If the store does not answer.
async fn try_read(
    store: &store::Client,
    since: Revision,
    log: &slog::Logger,
) -> Result<Records, store::Error> {
    let listing = store.list(crate::record::PREFIX, since).await?;
    let parse = |item: &store::Item| match Record::parse(&item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            slog::error!(log,
                "planner: a job's record cannot be decoded";
                "key" => &item.key, "error" => excerpt(error));
            None
        }
    };
    Ok(Records {
        records: listing.items.iter().filter_map(parse).collect(),
        revision: listing.revision,
    })
}

/// A gang with the evidence of its members' ledgers.
#[derive(Clone, Debug)]
pub struct GangEvidence {
    /// The gang.
    pub gang: Gang,
    /// Whether any member has begun, even if it has ended since.
    pub begun: bool,
    /// How long ago the first member began.
    pub begun_ago: Duration,
    /// Whether the lead's ledger was read.
    pub lead_read: bool,
}

/// Combines the entries of all ledgers by gang.
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

/// How a takeover deals with a record that has no end.
#[derive(Clone, Debug, PartialEq)]
pub enum Resolution {
    /// The gang runs or ran: the job continues with it.
    Adopt(gang::Id),
    /// No start of the job has ever run, or the job may repeat: the job waits
    /// for accelerators.
    Queue,
    /// A start may have been decided, and a member's ledger is unread: the
    /// record is examined again later.
    Defer,
    /// A start may have been decided, and no ledger holds its outcome: the job
    /// ends with an unknown outcome.
    GiveUp,
}

/// The ledger of a worker's agent, as a takeover finds it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ledger {
    /// The ledger was read, in this incarnation of the agent. The agent has
    /// seen the planner's epoch and obeys no earlier planner any more.
    Read(Incarnation),
    /// The ledger has not been read yet.
    Unread,
    /// The agent's VM is gone.
    Gone,
}

/// Returns how to deal with a record, given the gangs found and the ledger of
/// each worker.
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
    let same_incarnations =
        ledgers.len() == mark.incarnations.len()
            && ledgers.iter().zip(&mark.incarnations).all(
                |(ledger, recorded)| *ledger == Ledger::Read(recorded.clone()),
            );
    match ledgers.contains(&Ledger::Unread) {
        true => Resolution::Defer,
        // Each member's agent has kept its memory since, and none began the
        // gang.
        false if same_incarnations => Resolution::Queue,
        false => Resolution::GiveUp,
    }
}

/// Returns the latest gangs of jobs that have no record.
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
