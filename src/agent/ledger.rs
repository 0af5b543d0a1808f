//! The ledger of one worker: who holds its accelerators, and who runs.
//!
//! It has no clock and does no I/O. What it wants done it returns as
//! [`Effect`]s. It keeps the rules that make gangs whole:
//!
//! * A member that holds does not let go by itself: when its deadline has
//!   passed it asks the lead, which decides once. Only if the lead cannot
//!   be reached for the [`gang_lease`] past that does it let go: a lead that
//!   decided to run without hearing from it has halted the gang by then.
//! * A member that runs and cannot reach its lead for as long stops; a lead
//!   that does not hear from a member for as long halts the gang.
//!
//! So nothing that was started in part outlives that lease and two reports.

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

/// How long a hold stands before the lead is asked.
pub const HOLD_DURATION: Duration = Duration::from_secs(6);
/// How long a small gang stands when its members cannot reach each other.
pub const MIN_GANG_LEASE: Duration = Duration::from_secs(5);
/// How long an endpoint may take to start a task.
pub const TASK_START_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a member of a small gang reports to its lead.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(1500);
/// How much longer a member waits for each member of its gang: at 520 bytes
/// a report, all of them cost the lead no more than 21 KB a second.
const REPORT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(25);
/// How many reports may be missed before a member counts as lost.
const MAX_MISSED_REPORTS: u32 = 3;

/// Returns how often a member of a gang of so many reports to its lead.
pub fn report_interval(members: usize) -> Duration {
    MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_MEMBER * members as u32)
}

/// Returns how long a gang of so many stands when its members cannot reach
/// each other.
pub fn gang_lease(members: usize) -> Duration {
    MIN_GANG_LEASE.max(report_interval(members) * MAX_MISSED_REPORTS)
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Start the task at the endpoint.
    StartTask(gang::Id),
    /// Stop the task at the endpoint.
    StopTask(gang::Id),
    /// Tell the lead.
    ReportToLead {
        /// Where it listens.
        address: String,
        /// What to tell.
        report: Report,
    },
    /// Tell a member to stop.
    HaltMember {
        /// Where it listens.
        address: String,
        /// The gang.
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
    /// Returns an empty ledger of a worker with `accelerators`.
    ///
    /// # Errors
    ///
    /// If `accelerators` is out of range.
    pub fn new(
        worker: WorkerId,
        accelerators: u32,
    ) -> Result<Ledger, crate::site::Error> {
        let all_accelerators = crate::site::Site::new(accelerators)?.whole();
        Ok(Ledger {
            worker,
            all_accelerators,
            epoch: 0,
            revision: 0,
            leaving: false,
            slots: BTreeMap::new(),
            // Who has seen nothing yet asks from 0, and is told at once.
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

    /// Returns the highest epoch and configuration seen.
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

    /// Lets no new work in from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.sequence += 1;
    }

    /// Returns whether nothing is held or runs here.
    pub fn is_idle(&self) -> bool {
        self.slots
            .values()
            .all(|slot| matches!(slot.phase, Phase::Ended(_)))
    }

    /// Returns a gang in the ledger.
    pub fn slot(&self, id: &gang::Id) -> Option<&Slot> {
        self.slots.get(id)
    }

    /// Returns the gangs whose task runs, or is being started or stopped.
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

    /// Takes in a planner's authority.
    ///
    /// # Errors
    ///
    /// If a later planner has spoken, or a later configuration is in force.
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

    /// Keeps accelerators for a gang.
    ///
    /// # Errors
    ///
    /// If the planner is not obeyed, the worker is leaving, or accelerators
    /// are taken. Asking twice is as asking once.
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
        let taken =
            (self.accelerators_in_use() | !self.all_accelerators) & mask;
        if taken != 0 {
            return Err(Refusal::AcceleratorsTaken { mask: taken });
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

    /// Decides, as the lead, that a gang runs; returns its members.
    ///
    /// # Errors
    ///
    /// If the planner is not obeyed, or the gang is not held any more or
    /// has been decided otherwise.
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

    /// Begins the task of a gang, on its lead's word.
    ///
    /// Returns whether the endpoint has to be asked; not if it was before.
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

    /// Takes in that the endpoint has started a task.
    pub fn record_task_start(&mut self, id: &gang::Id, now: Instant) {
        if let Some(slot) = self.slots.get_mut(id) {
            if matches!(slot.phase, Phase::Beginning { .. }) {
                slot.phase = Phase::Begun { since: now };
                self.mark_changed(id);
            }
        }
    }

    /// Takes in that a task has ended here.
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

    /// Takes a member's word, as the lead, and returns the verdict.
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

    /// Takes in the lead's verdict.
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
                // The lead knows now: there is nothing more to tell.
                slot.next_report_at = now + Duration::from_secs(86_400);
                Vec::new()
            }
            (_, Decision::Run) => Vec::new(),
            (_, Decision::Halt) => self.halt(id, now),
        }
    }

    /// Stops a gang, or lets go of a hold, for a planner.
    ///
    /// # Errors
    ///
    /// If the planner is not obeyed.
    pub fn stop(
        &mut self,
        fence: Fence,
        id: &gang::Id,
        now: Instant,
    ) -> Result<Vec<Effect>, Refusal> {
        match self.check_fence(fence) {
            // An older configuration may still stop what it started.
            Ok(()) | Err(Refusal::StaleRevision { .. }) => {}
            Err(refusal) => return Err(refusal),
        }
        Ok(self.halt(id, now))
    }

    /// Stops this member's task, and as the lead the whole gang.
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

    /// Forgets a gang that has ended. One that has not stays.
    pub fn forget(&mut self, id: &gang::Id) {
        let gone = self.slots.get(id).is_some_and(|slot| {
            let lead_done =
                slot.lead.as_ref().is_none_or(|l| l.outcome().is_some());
            matches!(slot.phase, Phase::Ended(_)) && lead_done
        });
        if gone {
            self.slots.remove(id);
        }
    }

    /// Does what is due by `now`.
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
            // The lead begins last: past its hold it never will.
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

    /// Takes in, as the lead, that a member has ended.
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

    /// Takes over a task found running at the endpoint, by an agent process
    /// that has just started. It was begun, so its gang was decided.
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

    /// Returns the entries that changed after `since`.
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
        // The lead begins last: other members may have begun.
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
