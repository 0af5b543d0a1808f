//! What the lead of a gang keeps: the one decision, and who was heard.

use std::time::Duration;
use std::time::Instant;

use crate::agent::ledger::gang_lease;
use crate::wire::gang::Decision;
use crate::wire::gang::End;
use crate::wire::gang::Ending;
use crate::wire::gang::Gang;

/// How long after its own hold the lead may still decide to run a gang.
///
/// It is well before a member's hold ends, so that a member is asked to
/// begin before it has to ask.
pub const DECIDE: Duration = Duration::from_secs(4);

/// The lead's part of a gang.
#[derive(Clone, Debug)]
pub struct Lead {
    decided: Option<Decision>,
    ran: bool,
    decide_by: Instant,
    members: Vec<Member>,
    /// The first end that was not a good one.
    broken: Option<End>,
}

#[derive(Clone, Debug)]
struct Member {
    heard: Instant,
    end: Option<End>,
}

impl Lead {
    /// Returns the part of a gang that is not decided.
    pub fn new(gang: &Gang, now: Instant) -> Lead {
        let member = Member {
            heard: now,
            end: None,
        };
        Lead {
            decided: None,
            ran: false,
            decide_by: now + DECIDE,
            members: vec![member; gang.members.len()],
            broken: None,
        }
    }

    /// Returns the part of a gang whose task was found running.
    pub fn adopted(gang: &Gang, now: Instant) -> Lead {
        Lead {
            decided: Some(Decision::Run),
            ran: true,
            ..Lead::new(gang, now)
        }
    }

    /// Decides that the gang runs, unless it was decided or is too late.
    pub fn decide(&mut self, now: Instant) -> Decision {
        let verdict = match self.decided {
            Some(verdict) => verdict,
            None if now <= self.decide_by => Decision::Run,
            None => Decision::Halt,
        };
        for member in &mut self.members {
            member.heard = now;
        }
        self.decided = Some(verdict);
        self.ran |= verdict == Decision::Run;
        verdict
    }

    /// Returns whether the gang was ever decided to run.
    pub fn has_run(&self) -> bool {
        self.ran
    }

    /// Returns the verdict. Who asks before there is one decides: it halts.
    pub fn verdict(&mut self) -> Decision {
        *self.decided.get_or_insert(Decision::Halt)
    }

    /// Decides that the gang halts; returns whether that is new.
    pub fn halt(&mut self) -> bool {
        self.decided.replace(Decision::Halt) != Some(Decision::Halt)
    }

    /// Returns whether nobody has decided by the time it was due.
    pub fn is_late(&self, now: Instant) -> bool {
        self.decided.is_none() && now > self.decide_by
    }

    /// Takes in that a member was heard.
    pub fn hear(&mut self, member: usize, now: Instant) {
        if let Some(member) = self.members.get_mut(member) {
            member.heard = now;
        }
    }

    /// Takes in that a member has ended.
    pub fn ended(&mut self, member: usize, end: End) {
        let good = end.ending == Ending::Done;
        if !good && self.broken.is_none() {
            self.broken = Some(end.clone());
        }
        if let Some(member) = self.members.get_mut(member) {
            member.end.get_or_insert(end);
        }
    }

    /// Returns a member, other than the lead, that has not been heard for
    /// the gang's lease.
    pub fn overdue(&self, now: Instant) -> Option<usize> {
        self.decided?;
        let lease = gang_lease(self.members.len());
        (1..self.members.len()).find(|&at| {
            let member = &self.members[at];
            let silent = now.saturating_duration_since(member.heard);
            member.end.is_none() && silent >= lease
        })
    }

    /// Returns how the whole gang ended, once every member has.
    pub fn outcome(&self) -> Option<End> {
        let ends: Option<Vec<&End>> =
            self.members.iter().map(|m| m.end.as_ref()).collect();
        let ends = ends?;
        let begun = ends.iter().any(|end| end.ending != Ending::NotBegun);
        let own = ends[0].clone();
        let kept_ms =
            ends.iter().map(|end| end.kept_ms).min().unwrap_or_default();
        match &self.broken {
            None => Some(own),
            Some(_) if !begun => Some(End::new(Ending::NotBegun, None)),
            Some(broken) => Some(End {
                ending: match broken.ending {
                    // Some began and some did not: it ran in part.
                    Ending::NotBegun => Ending::Stopped,
                    ending => ending,
                },
                worker: broken.worker.clone(),
                output: None,
                checkpoint: own.checkpoint.clone(),
                kept_ms,
            }),
        }
    }
}
