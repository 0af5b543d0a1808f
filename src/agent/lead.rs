//! The state of a gang at its lead: the decision whether the gang runs, and
//! the last report and the end of each member.

use std::time::Duration;
use std::time::Instant;

use crate::agent::ledger::gang_lease;
use crate::wire::gang::Decision;
use crate::wire::gang::End;
use crate::wire::gang::Ending;
use crate::wire::gang::Gang;

/// The time after its own hold in which the lead may decide to run a gang.
///
/// The window closes well before a member's hold expires, so that members
/// are asked to begin before they have to ask for the decision.
pub const DECISION_WINDOW: Duration = Duration::from_secs(4);

/// The state of a gang at its lead.
#[derive(Clone, Debug)]
pub struct Lead {
    decision: Option<Decision>,
    ever_ran: bool,
    decide_by: Instant,
    members: Vec<Member>,
    /// The first end of a member that was not [`Ending::Done`].
    first_failure: Option<End>,
}

#[derive(Clone, Debug)]
struct Member {
    last_contact: Instant,
    end: Option<End>,
}

impl Lead {
    /// Creates the state of a gang that is not decided.
    pub fn new(gang: &Gang, now: Instant) -> Lead {
        let member = Member {
            last_contact: now,
            end: None,
        };
        Lead {
            decision: None,
            ever_ran: false,
            decide_by: now + DECISION_WINDOW,
            members: vec![member; gang.members.len()],
            first_failure: None,
        }
    }

    /// Creates the state of a gang whose task was found running.
    pub fn adopted(gang: &Gang, now: Instant) -> Lead {
        Lead {
            decision: Some(Decision::Run),
            ever_ran: true,
            ..Lead::new(gang, now)
        }
    }

    /// Decides that the gang runs, unless it was decided before or the
    /// decision window has closed; returns the decision.
    pub fn decide(&mut self, now: Instant) -> Decision {
        let decision = match self.decision {
            Some(decision) => decision,
            None if now <= self.decide_by => Decision::Run,
            None => Decision::Halt,
        };
        for member in &mut self.members {
            member.last_contact = now;
        }
        self.decision = Some(decision);
        self.ever_ran |= decision == Decision::Run;
        decision
    }

    /// Returns whether the gang was ever decided to run.
    pub fn has_run(&self) -> bool {
        self.ever_ran
    }

    /// Returns the decision. If there is none yet, the gang is decided to
    /// halt.
    pub fn decision_or_halt(&mut self) -> Decision {
        *self.decision.get_or_insert(Decision::Halt)
    }

    /// Decides that the gang halts; returns whether the decision changed.
    pub fn halt(&mut self) -> bool {
        self.decision.replace(Decision::Halt) != Some(Decision::Halt)
    }

    /// Returns whether the decision window closed without a decision.
    pub fn has_missed_decision(&self, now: Instant) -> bool {
        self.decision.is_none() && now > self.decide_by
    }

    /// Records that a member has reported.
    pub fn record_contact(&mut self, member: usize, now: Instant) {
        if let Some(member) = self.members.get_mut(member) {
            member.last_contact = now;
        }
    }

    /// Records the end of a member's task; only its first end counts.
    pub fn record_end(&mut self, member: usize, end: End) {
        let good = end.ending == Ending::Done;
        if !good && self.first_failure.is_none() {
            self.first_failure = Some(end.clone());
        }
        if let Some(member) = self.members.get_mut(member) {
            member.end.get_or_insert(end);
        }
    }

    /// Returns a member, other than the lead, that has neither ended nor
    /// reported for the gang's lease. There is none before the decision.
    pub fn overdue_member(&self, now: Instant) -> Option<usize> {
        self.decision?;
        let lease = gang_lease(self.members.len());
        (1..self.members.len()).find(|&position| {
            let member = &self.members[position];
            let silent = now.saturating_duration_since(member.last_contact);
            member.end.is_none() && silent >= lease
        })
    }

    /// Returns the end of the whole gang, once every member has ended.
    pub fn outcome(&self) -> Option<End> {
        let ends: Option<Vec<&End>> =
            self.members.iter().map(|m| m.end.as_ref()).collect();
        let ends = ends?;
        let begun = ends.iter().any(|end| end.ending != Ending::NotBegun);
        let own = ends[0].clone();
        let kept_ms =
            ends.iter().map(|end| end.kept_ms).min().unwrap_or_default();
        match &self.first_failure {
            None => Some(own),
            Some(_) if !begun => Some(End::new(Ending::NotBegun, None)),
            Some(first_failure) => Some(End {
                ending: match first_failure.ending {
                    // Other members began: the gang ran in part.
                    Ending::NotBegun => Ending::Stopped,
                    ending => ending,
                },
                worker: first_failure.worker.clone(),
                output: None,
                checkpoint: own.checkpoint.clone(),
                kept_ms,
            }),
        }
    }
}
