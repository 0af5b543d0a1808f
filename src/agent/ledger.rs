//! The ledger of one worker: which gangs hold or use its accelerators.
//!
//! The ledger has no clock and does no I/O: callers pass the time, and the
//! ledger returns [`Effect`]s to execute. Its rules keep a gang from running
//! with only some of its members:
//!
//! * A member that holds does not release its accelerators on its own. When
//!   its deadline has passed, the member asks the lead, which decides once.
//!   Only if the lead cannot be reached for a further [`gang_lease`] does the
//!   member release: by then a lead that had decided to run has halted the
//!   gang, because this member did not report.
//! * A member that runs and cannot reach its lead for a [`gang_lease`] stops.
//!   A lead that gets no report of a member for a [`gang_lease`] halts the
//!   gang.
//!
//! So a gang that was started only in part runs for no longer than one
//! [`gang_lease`] and two report intervals.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::agent::lead::Lead;
use crate::agent::slot::Phase;
use crate::agent::slot::Slot;
use crate::site::Mask;
use crate::site::WorkerId;
use crate::store::Revision;
use crate::wire::agent::Entry;
use crate::wire::agent::Fence;
use crate::wire::agent::Hold;
use crate::wire::agent::Refusal;
use crate::wire::agent::Report;
use crate::wire::agent::Sequence;
use crate::wire::agent::Stage;
use crate::wire::gang;
use crate::wire::gang::Decision;
use crate::wire::gang::End;
use crate::wire::gang::Ending;
use crate::wire::gang::Gang;
use crate::wire::Epoch;

/// The time that a member holds before it asks its lead for the decision.
pub const HOLD_DURATION: Duration = Duration::from_secs(6);
/// The lease of a small gang: how long it continues while its members cannot
/// reach each other.
pub const MIN_GANG_LEASE: Duration = Duration::from_secs(5);
/// The time limit for the endpoint to start a task.
pub const TASK_START_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which a member of a small gang reports to its lead.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(1500);
/// The report interval of a large gang for each of its members: at 520 bytes
/// a report, all reports together cost the lead at most 21 KB a second.
const REPORT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(25);
/// The number of report intervals without a report after which a member of a
/// large gang counts as lost.
const MAX_MISSED_REPORTS: u32 = 3;

/// Returns the interval at which each member of a gang of `members` reports
/// to the lead.
pub fn report_interval(members: usize) -> Duration {
    MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_MEMBER * members as u32)
}

/// Returns the lease of a gang of `members`: how long it continues while its
/// members cannot reach each other.
pub fn gang_lease(members: usize) -> Duration {
    MIN_GANG_LEASE.max(report_interval(members) * MAX_MISSED_REPORTS)
}

/// An action that the ledger asks its owner to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Start the task at the endpoint.
    StartTask(gang::Id),
    /// Stop the task at the endpoint.
    StopTask(gang::Id),
    /// Send a report to the lead of a gang.
    ReportToLead {
        /// The address of the lead's agent.
        address: String,
        /// The report to send.
        report: Report,
    },
    /// Ask a member to stop its task.
    HaltMember {
        /// The address of the member's agent.
        address: String,
        /// The gang to stop.
        gang: gang::Id,
    },
}

/// The ledger of one worker.
#[derive(Clone, Debug)]
pub struct Ledger {
    worker: WorkerId,
    all_accelerators: Mask,
    epoch: Epoch,
    revision: Revision,
    leaving: bool,
    slots: BTreeMap<gang::Id, Slot>,
    sequence: Sequence,
}

impl Ledger {
    /// Creates the empty ledger of a worker with `accelerators`.
    ///
    /// # Errors
    ///
    /// If `accelerators` is out of range.
    pub fn new(
        worker: WorkerId,
        accelerators: u32,
    ) -> Result<Ledger, crate::site::Error> {
        let all_accelerators =
            crate::site::Site::new(accelerators)?.full_mask();
        Ok(Ledger {
            worker,
            all_accelerators,
            epoch: 0,
            revision: 0,
            leaving: false,
            slots: BTreeMap::new(),
            // A planner that asks for all changes since 0 is answered at
            // once.
            sequence: 1,
        })
    }

    /// Returns the worker's name.
    pub fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// Returns the number of the last change.
    pub fn sequence(&self) -> Sequence {
        self.sequence
    }

    /// Returns the highest epoch and configuration revision seen.
    pub fn fence(&self) -> Fence {
        Fence {
            epoch: self.epoch,
            revision: self.revision,
        }
    }

    /// Returns whether the worker is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Marks the worker as leaving: new holds are refused.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.sequence += 1;
    }

    /// Returns whether no gang holds or runs here.
    pub fn is_idle(&self) -> bool {
        self.slots
            .values()
            .all(|slot| matches!(slot.phase, Phase::Ended(_)))
    }

    /// Returns a gang in the ledger.
    pub fn slot(&self, id: &gang::Id) -> Option<&Slot> {
        self.slots.get(id)
    }

    /// Returns the gangs whose tasks run, or are being started or stopped.
    pub fn running(&self) -> impl Iterator<Item = &Slot> {
        self.slots.values().filter(|slot| {
            matches!(
                slot.phase,
                Phase::Beginning { .. }
                    | Phase::Begun { .. }
                    | Phase::Halting { .. }
            )
        })
    }

    /// Returns the accelerators that are held or in use.
    pub fn accelerators_in_use(&self) -> Mask {
        self.slots
            .values()
            .filter(|slot| !matches!(slot.phase, Phase::Ended(_)))
            .fold(0, |mask, slot| mask | slot.gang.members[slot.position].mask)
    }

    /// Checks a request's fencing token and raises the highest one seen.
    ///
    /// # Errors
    ///
    /// If a request of a later planner, or under a later configuration, has
    /// been seen.
    pub fn check_fence(&mut self, fence: Fence) -> Result<(), Refusal> {
        if fence.epoch < self.epoch {
            return Err(Refusal::StaleEpoch {
                asked: fence.epoch,
                highest: self.epoch,
            });
        }
        self.epoch = fence.epoch;
        if fence.revision < self.revision {
            return Err(Refusal::StaleRevision {
                asked: fence.revision,
                highest: self.revision,
            });
        }
        self.revision = fence.revision;
        Ok(())
    }

    /// Holds accelerators for a gang. Repeating the request has no further
    /// effect.
    ///
    /// # Errors
    ///
    /// If the fencing token is stale, the worker is leaving, the accelerators
    /// are not free, the gang has no member here, or it has ended.
    pub fn hold(&mut self, hold: Hold, now: Instant) -> Result<(), Refusal> {
        self.check_fence(hold.fence)?;
        let id = hold.gang.id.clone();
        match self.slots.get(&id).map(|slot| &slot.phase) {
            Some(Phase::Ended(_)) => return Err(Refusal::NotHeld),
            Some(_) => return Ok(()),
            None if self.leaving => return Err(Refusal::Leaving),
            None => {}
        }
        let Some(position) = hold.gang.position(&self.worker) else {
            return Err(Refusal::NotHeld);
        };
        let mask = hold.gang.members[position].mask;
        let unavailable =
            (self.accelerators_in_use() | !self.all_accelerators) & mask;
        if unavailable != 0 {
            return Err(Refusal::AcceleratorsTaken { mask: unavailable });
        }
        let deadline = now + HOLD_DURATION;
        let lead = (position == 0).then(|| Lead::new(&hold.gang, now));
        let slot = Slot {
            gang: hold.gang,
            position,
            phase: Phase::Held { deadline },
            lead,
            last_contact: now,
            next_report_at: deadline,
            sequence: 0,
        };
        self.slots.insert(id.clone(), slot);
        self.mark_changed(&id);
        Ok(())
    }

    /// Decides, as the lead, that a gang runs, and returns the gang.
    ///
    /// # Errors
    ///
    /// If the fencing token is stale, this worker does not lead the gang, or
    /// the gang is decided to halt.
    pub fn launch(
        &mut self,
        fence: Fence,
        id: &gang::Id,
        now: Instant,
    ) -> Result<Gang, Refusal> {
        self.check_fence(fence)?;
        let slot = self.slots.get_mut(id).ok_or(Refusal::NotHeld)?;
        let lead = slot.lead.as_mut().ok_or(Refusal::NotHeld)?;
        let decision = lead.decide(now);
        let gang = slot.gang.clone();
        self.mark_changed(id);
        match decision {
            Decision::Run => Ok(gang),
            Decision::Halt => Err(Refusal::NotHeld),
        }
    }

    /// Begins this member's task of a gang, at its lead's request.
    ///
    /// Returns whether the caller has to start the task at the endpoint, which
    /// is false if the task was begun before.
    ///
    /// # Errors
    ///
    /// If the gang is not held here.
    pub fn begin(
        &mut self,
        id: &gang::Id,
        now: Instant,
    ) -> Result<bool, Refusal> {
        let slot = self.slots.get_mut(id).ok_or(Refusal::NotHeld)?;
        match slot.phase {
            Phase::Held { .. } => {
                slot.phase = beginning_phase(now);
                slot.last_contact = now;
                slot.next_report_at = now + slot.report_interval();
                self.mark_changed(id);
                Ok(true)
            }
            Phase::Beginning { .. } | Phase::Begun { .. } => Ok(false),
            Phase::Halting { .. } | Phase::Ended(_) => Err(Refusal::NotHeld),
        }
    }

    /// Records that the endpoint has started a task.
    pub fn record_task_start(&mut self, id: &gang::Id, now: Instant) {
        if let Some(slot) = self.slots.get_mut(id) {
            if matches!(slot.phase, Phase::Beginning { .. }) {
                slot.phase = Phase::Begun { since: now };
                self.mark_changed(id);
            }
        }
    }

    /// Records the end of this member's task.
    pub fn record_task_end(
        &mut self,
        id: &gang::Id,
        end: End,
        now: Instant,
    ) -> Vec<Effect> {
        let Some(slot) = self.slots.get_mut(id) else {
            return Vec::new();
        };
        if matches!(slot.phase, Phase::Ended(_)) {
            return Vec::new();
        }
        slot.phase = Phase::Ended(end.clone());
        slot.next_report_at = now;
        let position = slot.position;
        self.mark_changed(id);
        match position {
            0 => self.record_member_end(id, 0, end, now),
            _ => self.report_to_lead(id, now).into_iter().collect(),
        }
    }

    /// Records a member's report, as the lead, and returns the decision.
    pub fn handle_report(
        &mut self,
        report: Report,
        now: Instant,
    ) -> (Decision, Vec<Effect>) {
        let Some(slot) = self.slots.get_mut(&report.gang) else {
            return (Decision::Halt, Vec::new());
        };
        let Some(lead) = slot.lead.as_mut() else {
            return (Decision::Halt, Vec::new());
        };
        lead.record_contact(report.member, now);
        let decision = lead.decision_or_halt();
        let mut effects = Vec::new();
        if decision == Decision::Halt {
            effects = self.halt(&report.gang, now);
        }
        if let Some(end) = report.end {
            let more =
                self.record_member_end(&report.gang, report.member, end, now);
            effects.extend(more);
        }
        (decision, effects)
    }

    /// Applies the lead's decision, as one of the other members.
    pub fn apply_decision(
        &mut self,
        id: &gang::Id,
        decision: Decision,
        now: Instant,
    ) -> Vec<Effect> {
        let Some(slot) = self.slots.get_mut(id) else {
            return Vec::new();
        };
        slot.last_contact = now;
        match (&slot.phase, decision) {
            (Phase::Held { .. }, Decision::Run) => {
                slot.phase = beginning_phase(now);
                slot.next_report_at = now + slot.report_interval();
                self.mark_changed(id);
                vec![Effect::StartTask(id.clone())]
            }
            (Phase::Ended(_), _) => {
                // The lead has the end: no report is due for a day.
                slot.next_report_at = now + Duration::from_secs(86_400);
                Vec::new()
            }
            (_, Decision::Run) => Vec::new(),
            (_, Decision::Halt) => self.halt(id, now),
        }
    }

    /// Stops a gang or releases its hold, at a planner's request.
    ///
    /// # Errors
    ///
    /// If a request of a later planner has been seen.
    pub fn stop(
        &mut self,
        fence: Fence,
        id: &gang::Id,
        now: Instant,
    ) -> Result<Vec<Effect>, Refusal> {
        match self.check_fence(fence) {
            // A planner with an older configuration may still stop gangs.
            Ok(()) | Err(Refusal::StaleRevision { .. }) => {}
            Err(refusal) => return Err(refusal),
        }
        Ok(self.halt(id, now))
    }

    /// Stops this member's task or releases its hold; as the lead, halts the
    /// whole gang.
    pub fn halt(&mut self, id: &gang::Id, now: Instant) -> Vec<Effect> {
        let Some(slot) = self.slots.get_mut(id) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        if let Some(lead) = slot.lead.as_mut() {
            if lead.halt() {
                let others = slot.gang.members.iter().skip(1);
                effects.extend(others.map(|member| Effect::HaltMember {
                    address: member.address.clone(),
                    gang: id.clone(),
                }));
            }
        }
        match slot.phase {
            Phase::Held { .. } => {
                let end = End::new(Ending::NotBegun, None);
                effects.extend(self.record_task_end(id, end, now));
            }
            Phase::Begun { since } => {
                slot.phase = Phase::Halting { since };
                self.mark_changed(id);
                effects.push(Effect::StopTask(id.clone()));
            }
            Phase::Beginning { .. } => {
                slot.phase = Phase::Halting { since: now };
                self.mark_changed(id);
                effects.push(Effect::StopTask(id.clone()));
            }
            Phase::Halting { .. } | Phase::Ended(_) => {}
        }
        effects
    }

    /// Removes a gang that has ended here and, at its lead, as a whole. Any
    /// other gang stays.
    pub fn forget(&mut self, id: &gang::Id) {
        let removable = self.slots.get(id).is_some_and(|slot| {
            let lead_done =
                slot.lead.as_ref().is_none_or(|l| l.outcome().is_some());
            matches!(slot.phase, Phase::Ended(_)) && lead_done
        });
        if removable {
            self.slots.remove(id);
        }
    }

    /// Handles the deadlines that have passed by `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let ids: Vec<gang::Id> = self.slots.keys().cloned().collect();
        ids.iter().flat_map(|id| self.tick_gang(id, now)).collect()
    }

    fn tick_gang(&mut self, id: &gang::Id, now: Instant) -> Vec<Effect> {
        let Some(slot) = self.slots.get_mut(id) else {
            return Vec::new();
        };
        let late = match &slot.phase {
            Phase::Beginning { deadline } => *deadline <= now,
            // The lead begins last, and does not begin past its own hold.
            Phase::Held { deadline } => slot.position == 0 && *deadline <= now,
            _ => false,
        };
        if late {
            return self.halt(id, now);
        }
        if let Some(lead) = slot.lead.as_mut() {
            return match lead.overdue_member(now) {
                Some(member) => self.mark_member_lost(id, member, now),
                None if lead.has_missed_decision(now) => self.halt(id, now),
                None => Vec::new(),
            };
        }
        let silent = now.saturating_duration_since(slot.last_contact);
        match &slot.phase {
            Phase::Held { deadline } if now >= *deadline + slot.lease() => {
                let end = End::new(Ending::NotBegun, None);
                self.record_task_end(id, end, now)
            }
            Phase::Begun { .. } | Phase::Beginning { .. }
                if silent >= slot.lease() =>
            {
                self.halt(id, now)
            }
            _ if now >= slot.next_report_at => {
                self.report_to_lead(id, now).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    fn mark_member_lost(
        &mut self,
        id: &gang::Id,
        member: usize,
        now: Instant,
    ) -> Vec<Effect> {
        let worker = self
            .slots
            .get(id)
            .and_then(|slot| slot.gang.members.get(member))
            .map(|member| member.worker.clone());
        let end = End::new(Ending::Lost, worker);
        self.record_member_end(id, member, end, now)
    }

    /// Records, as the lead, the end of a member's task; any end other than
    /// [`Ending::Done`] halts the gang.
    pub fn record_member_end(
        &mut self,
        id: &gang::Id,
        member: usize,
        end: End,
        now: Instant,
    ) -> Vec<Effect> {
        let Some(slot) = self.slots.get_mut(id) else {
            return Vec::new();
        };
        let Some(lead) = slot.lead.as_mut() else {
            return Vec::new();
        };
        let good = end.ending == Ending::Done;
        lead.record_end(member, end);
        let effects = match good {
            true => Vec::new(),
            false => self.halt(id, now),
        };
        self.mark_changed(id);
        effects
    }

    fn report_to_lead(
        &mut self,
        id: &gang::Id,
        now: Instant,
    ) -> Option<Effect> {
        let slot = self.slots.get_mut(id)?;
        slot.next_report_at = now + slot.report_interval();
        let end = match &slot.phase {
            Phase::Ended(end) => Some(end.clone()),
            _ => None,
        };
        Some(Effect::ReportToLead {
            address: slot.gang.lead().address.clone(),
            report: Report {
                gang: id.clone(),
                member: slot.position,
                end,
            },
        })
    }

    /// Adopts a task that a newly started agent process found at the endpoint.
    /// The task was begun, so its gang was decided to run.
    pub fn adopt(&mut self, gang: Gang, now: Instant) {
        let Some(position) = gang.position(&self.worker) else {
            return;
        };
        let id = gang.id.clone();
        self.epoch = self.epoch.max(id.epoch);
        let lead = (position == 0).then(|| Lead::adopted(&gang, now));
        let slot = Slot {
            gang,
            position,
            phase: Phase::Begun { since: now },
            lead,
            last_contact: now,
            next_report_at: now,
            sequence: 0,
        };
        self.slots.insert(id.clone(), slot);
        self.mark_changed(&id);
    }

    /// Returns the entries that changed after the change `since`.
    pub fn changes(&self, since: Sequence, now: Instant) -> Vec<Entry> {
        self.slots
            .values()
            .filter(|slot| slot.sequence > since)
            .map(|slot| Entry {
                gang: slot.gang.clone(),
                stage: stage(slot, now),
                outcome: slot.lead.as_ref().and_then(Lead::outcome),
            })
            .collect()
    }

    fn mark_changed(&mut self, id: &gang::Id) {
        self.sequence += 1;
        if let Some(slot) = self.slots.get_mut(id) {
            slot.sequence = self.sequence;
        }
    }
}

fn beginning_phase(now: Instant) -> Phase {
    Phase::Beginning {
        deadline: now + TASK_START_TIMEOUT,
    }
}

fn stage(slot: &Slot, now: Instant) -> Stage {
    let runs = slot.lead.as_ref().is_some_and(Lead::has_run);
    match &slot.phase {
        // The lead begins last, so other members may have begun.
        Phase::Held { .. } if runs => Stage::Begun { ago_ms: 0 },
        Phase::Held { .. } => Stage::Held,
        Phase::Beginning { .. } => Stage::Begun { ago_ms: 0 },
        Phase::Begun { since } | Phase::Halting { since } => {
            let ago = now.saturating_duration_since(*since);
            Stage::Begun {
                ago_ms: ago.as_millis() as u64,
            }
        }
        Phase::Ended(end) => Stage::Ended(end.clone()),
    }
}
