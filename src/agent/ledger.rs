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
use crate::agent::slot::Place;
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
use crate::wire::gang::End;
use crate::wire::gang::Ending;
use crate::wire::gang::Gang;
use crate::wire::gang::Verdict;
use crate::wire::Epoch;

/// How long a hold stands before the lead is asked.
pub const HOLD: Duration = Duration::from_secs(6);
/// How long a small gang stands when its members cannot reach each other.
pub const GANG_LEASE: Duration = Duration::from_secs(5);
/// How long an endpoint may take to start a task.
pub const BEGIN: Duration = Duration::from_secs(5);
/// How often a member of a small gang reports to its lead.
pub const REPORT_EVERY: Duration = Duration::from_millis(1500);
/// How much longer a member waits for each member of its gang: at 520 bytes
/// a report, all of them cost the lead no more than 21 KB a second.
const REPORT_EACH: Duration = Duration::from_millis(25);
/// How many reports may be missed before a member counts as lost.
const MISSED: u32 = 3;

/// Returns how often a member of a gang of so many reports to its lead.
pub fn report_every(members: usize) -> Duration {
    REPORT_EVERY.max(REPORT_EACH * members as u32)
}

/// Returns how long a gang of so many stands when its members cannot reach
/// each other.
pub fn gang_lease(members: usize) -> Duration {
    GANG_LEASE.max(report_every(members) * MISSED)
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Start the task at the endpoint.
    StartTask(gang::Id),
    /// Stop the task at the endpoint.
    StopTask(gang::Id),
    /// Tell the lead.
    TellLead {
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
    whole: Mask,
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
        let whole = crate::site::Site::new(accelerators)?.full_mask();
        Ok(Ledger {
            worker,
            whole,
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
            .all(|slot| matches!(slot.place, Place::Ended(_)))
    }

    /// Returns a gang in the ledger.
    pub fn slot(&self, id: &gang::Id) -> Option<&Slot> {
        self.slots.get(id)
    }

    /// Returns the gangs whose task runs, or is being started or stopped.
    pub fn running(&self) -> impl Iterator<Item = &Slot> {
        self.slots.values().filter(|slot| {
            matches!(
                slot.place,
                Place::Beginning { .. }
                    | Place::Begun { .. }
                    | Place::Halting { .. }
            )
        })
    }

    /// Returns the accelerators that are held or in use.
    pub fn taken(&self) -> Mask {
        self.slots
            .values()
            .filter(|slot| !matches!(slot.place, Place::Ended(_)))
            .fold(0, |mask, slot| mask | slot.gang.members[slot.me].mask)
    }

    /// Takes in a planner's authority.
    ///
    /// # Errors
    ///
    /// If a later planner has spoken, or a later configuration is in force.
    pub fn admit(&mut self, fence: Fence) -> Result<(), Refusal> {
        if fence.epoch < self.epoch {
            return Err(Refusal::Epoch {
                asked: fence.epoch,
                highest: self.epoch,
            });
        }
        self.epoch = fence.epoch;
        if fence.revision < self.revision {
            return Err(Refusal::Revision {
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
        self.admit(hold.fence)?;
        let id = hold.gang.id.clone();
        match self.slots.get(&id).map(|slot| &slot.place) {
            Some(Place::Ended(_)) => return Err(Refusal::NotHeld),
            Some(_) => return Ok(()),
            None if self.leaving => return Err(Refusal::Leaving),
            None => {}
        }
        let Some(me) = hold.gang.position(&self.worker) else {
            return Err(Refusal::NotHeld);
        };
        let mask = hold.gang.members[me].mask;
        let taken = (self.taken() | !self.whole) & mask;
        if taken != 0 {
            return Err(Refusal::Taken { mask: taken });
        }
        let deadline = now + HOLD;
        let lead = (me == 0).then(|| Lead::new(&hold.gang, now));
        let slot = Slot {
            gang: hold.gang,
            me,
            place: Place::Held { deadline },
            lead,
            heard: now,
            report_at: deadline,
            sequence: 0,
        };
        self.slots.insert(id.clone(), slot);
        self.touch(&id);
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
        self.admit(fence)?;
        let slot = self.slots.get_mut(id).ok_or(Refusal::NotHeld)?;
        let lead = slot.lead.as_mut().ok_or(Refusal::NotHeld)?;
        let verdict = lead.decide(now);
        let gang = slot.gang.clone();
        self.touch(id);
        match verdict {
            Verdict::Run => Ok(gang),
            Verdict::Halt => Err(Refusal::NotHeld),
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
        match slot.place {
            Place::Held { .. } => {
                slot.place = beginning(now);
                slot.heard = now;
                slot.report_at = now + slot.report_every();
                self.touch(id);
                Ok(true)
            }
            Place::Beginning { .. } | Place::Begun { .. } => Ok(false),
            Place::Halting { .. } | Place::Ended(_) => Err(Refusal::NotHeld),
        }
    }

    /// Takes in that the endpoint has started a task.
    pub fn begun(&mut self, id: &gang::Id, now: Instant) {
        if let Some(slot) = self.slots.get_mut(id) {
            if matches!(slot.place, Place::Beginning { .. }) {
                slot.place = Place::Begun { since: now };
                self.touch(id);
            }
        }
    }

    /// Takes in that a task has ended here.
    pub fn ended(
        &mut self,
        id: &gang::Id,
        end: End,
        now: Instant,
    ) -> Vec<Effect> {
        let Some(slot) = self.slots.get_mut(id) else {
            return Vec::new();
        };
        if matches!(slot.place, Place::Ended(_)) {
            return Vec::new();
        }
        slot.place = Place::Ended(end.clone());
        slot.report_at = now;
        let me = slot.me;
        self.touch(id);
        match me {
            0 => self.member_ended(id, 0, end, now),
            _ => self.tell_lead(id, now).into_iter().collect(),
        }
    }

    /// Takes a member's word, as the lead, and returns the verdict.
    pub fn report(
        &mut self,
        report: Report,
        now: Instant,
    ) -> (Verdict, Vec<Effect>) {
        let Some(slot) = self.slots.get_mut(&report.gang) else {
            return (Verdict::Halt, Vec::new());
        };
        let Some(lead) = slot.lead.as_mut() else {
            return (Verdict::Halt, Vec::new());
        };
        lead.hear(report.member, now);
        let verdict = lead.verdict();
        let mut effects = Vec::new();
        if verdict == Verdict::Halt {
            effects = self.halt(&report.gang, now);
        }
        if let Some(end) = report.end {
            let more =
                self.member_ended(&report.gang, report.member, end, now);
            effects.extend(more);
        }
        (verdict, effects)
    }

    /// Takes in the lead's verdict.
    pub fn told(
        &mut self,
        id: &gang::Id,
        verdict: Verdict,
        now: Instant,
    ) -> Vec<Effect> {
        let Some(slot) = self.slots.get_mut(id) else {
            return Vec::new();
        };
        slot.heard = now;
        match (&slot.place, verdict) {
            (Place::Held { .. }, Verdict::Run) => {
                slot.place = beginning(now);
                slot.report_at = now + slot.report_every();
                self.touch(id);
                vec![Effect::StartTask(id.clone())]
            }
            (Place::Ended(_), _) => {
                // The lead knows now: there is nothing more to tell.
                slot.report_at = now + Duration::from_secs(86_400);
                Vec::new()
            }
            (_, Verdict::Run) => Vec::new(),
            (_, Verdict::Halt) => self.halt(id, now),
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
        match self.admit(fence) {
            // An older configuration may still stop what it started.
            Ok(()) | Err(Refusal::Revision { .. }) => {}
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
        match slot.place {
            Place::Held { .. } => {
                let end = End::of(Ending::NotBegun, None);
                effects.extend(self.ended(id, end, now));
            }
            Place::Begun { since } => {
                slot.place = Place::Halting { since };
                self.touch(id);
                effects.push(Effect::StopTask(id.clone()));
            }
            Place::Beginning { .. } => {
                slot.place = Place::Halting { since: now };
                self.touch(id);
                effects.push(Effect::StopTask(id.clone()));
            }
            Place::Halting { .. } | Place::Ended(_) => {}
        }
        effects
    }

    /// Forgets a gang that has ended. One that has not stays.
    pub fn forget(&mut self, id: &gang::Id) {
        let gone = self.slots.get(id).is_some_and(|slot| {
            let lead_done =
                slot.lead.as_ref().is_none_or(|l| l.outcome().is_some());
            matches!(slot.place, Place::Ended(_)) && lead_done
        });
        if gone {
            self.slots.remove(id);
        }
    }

    /// Does what is due by `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let ids: Vec<gang::Id> = self.slots.keys().cloned().collect();
        ids.iter().flat_map(|id| self.tick_one(id, now)).collect()
    }

    fn tick_one(&mut self, id: &gang::Id, now: Instant) -> Vec<Effect> {
        let Some(slot) = self.slots.get_mut(id) else {
            return Vec::new();
        };
        let late = match &slot.place {
            Place::Beginning { deadline } => *deadline <= now,
            // The lead begins last: past its hold it never will.
            Place::Held { deadline } => slot.me == 0 && *deadline <= now,
            _ => false,
        };
        if late {
            return self.halt(id, now);
        }
        if let Some(lead) = slot.lead.as_mut() {
            return match lead.overdue(now) {
                Some(member) => self.lose_member(id, member, now),
                None if lead.is_late(now) => self.halt(id, now),
                None => Vec::new(),
            };
        }
        let silent = now.saturating_duration_since(slot.heard);
        match &slot.place {
            Place::Held { deadline } if now >= *deadline + slot.lease() => {
                let end = End::of(Ending::NotBegun, None);
                self.ended(id, end, now)
            }
            Place::Begun { .. } | Place::Beginning { .. }
                if silent >= slot.lease() =>
            {
                self.halt(id, now)
            }
            _ if now >= slot.report_at => {
                self.tell_lead(id, now).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    fn lose_member(
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
        let end = End::of(Ending::Lost, worker);
        self.member_ended(id, member, end, now)
    }

    /// Takes in, as the lead, that a member has ended.
    pub fn member_ended(
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
        lead.ended(member, end);
        let effects = match good {
            true => Vec::new(),
            false => self.halt(id, now),
        };
        self.touch(id);
        effects
    }

    fn tell_lead(&mut self, id: &gang::Id, now: Instant) -> Option<Effect> {
        let slot = self.slots.get_mut(id)?;
        slot.report_at = now + slot.report_every();
        let end = match &slot.place {
            Place::Ended(end) => Some(end.clone()),
            _ => None,
        };
        Some(Effect::TellLead {
            address: slot.gang.lead().address.clone(),
            report: Report {
                gang: id.clone(),
                member: slot.me,
                end,
            },
        })
    }

    /// Takes over a task found running at the endpoint, by an agent process
    /// that has just started. It was begun, so its gang was decided.
    pub fn adopt(&mut self, gang: Gang, now: Instant) {
        let Some(me) = gang.position(&self.worker) else {
            return;
        };
        let id = gang.id.clone();
        self.epoch = self.epoch.max(id.epoch);
        let lead = (me == 0).then(|| Lead::adopted(&gang, now));
        let slot = Slot {
            gang,
            me,
            place: Place::Begun { since: now },
            lead,
            heard: now,
            report_at: now,
            sequence: 0,
        };
        self.slots.insert(id.clone(), slot);
        self.touch(&id);
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

    fn touch(&mut self, id: &gang::Id) {
        self.sequence += 1;
        if let Some(slot) = self.slots.get_mut(id) {
            slot.sequence = self.sequence;
        }
    }
}

fn beginning(now: Instant) -> Place {
    Place::Beginning {
        deadline: now + BEGIN,
    }
}

fn stage(slot: &Slot, now: Instant) -> Stage {
    let runs = slot.lead.as_ref().is_some_and(Lead::has_run);
    match &slot.place {
        // The lead begins last: other members may have begun.
        Place::Held { .. } if runs => Stage::Begun { ago_ms: 0 },
        Place::Held { .. } => Stage::Held,
        Place::Beginning { .. } => Stage::Begun { ago_ms: 0 },
        Place::Begun { since } | Place::Halting { since } => {
            let ago = now.saturating_duration_since(*since);
            Stage::Begun {
                ago_ms: ago.as_millis() as u64,
            }
        }
        Place::Ended(end) => Stage::Ended(end.clone()),
    }
}
