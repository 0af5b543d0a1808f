//! One fault at each step of a gang's hold, decision, begin and end.
//!
//! The agents' ledgers exchange messages over a simulated network in virtual
//! time. A step is the delivery of a message. At each step in turn, the
//! message is lost, duplicated or delayed past those that follow, or one of
//! the agents dies or is paused for longer than every lease.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use landingvalve::agent::ledger::Effect;
use landingvalve::agent::ledger::Ledger;
use landingvalve::agent::ledger::HOLD_DURATION;
use landingvalve::agent::ledger::MIN_GANG_LEASE;
use landingvalve::agent::ledger::MIN_REPORT_INTERVAL;
use landingvalve::agent::slot::Phase;
use landingvalve::job;
use landingvalve::site::Shape;
use landingvalve::site::Within;
use landingvalve::wire::agent::Fence;
use landingvalve::wire::agent::Hold;
use landingvalve::wire::agent::Report;
use landingvalve::wire::agent::Stop;
use landingvalve::wire::gang;
use landingvalve::wire::gang::Decision;
use landingvalve::wire::gang::End;
use landingvalve::wire::gang::Ending;
use landingvalve::wire::gang::Gang;
use landingvalve::wire::gang::Member;
use landingvalve::wire::gang::Work;

const MEMBER_COUNT: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(30);
const TICK: Duration = Duration::from_millis(250);
/// Time within which a gang that runs only in part has stopped and every hold
/// is released.
const CLEANUP_LIMIT: Duration = Duration::from_secs(
    HOLD_DURATION.as_secs() + 2 * MIN_GANG_LEASE.as_secs() + 2,
);
const FENCE: Fence = Fence {
    epoch: 5,
    revision: 1,
};

#[derive(Clone, Debug, PartialEq)]
enum Message {
    Hold(usize),
    Held(usize),
    Launch,
    Begin(usize),
    Report(Report),
    Decided(usize, Decision),
    Halt(usize),
    TaskStarted(usize),
    TaskEnded(usize, Ending),
    StopTask(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Drop,
    Duplicate,
    Delay,
    Kill(usize),
    Pause(usize),
}

struct Simulation {
    now: Instant,
    start: Instant,
    ledgers: Vec<Ledger>,
    dead: Vec<bool>,
    paused_until: Vec<Instant>,
    /// Messages to deliver, one a step.
    queue: VecDeque<Message>,
    /// Messages to deliver once their time has come.
    delayed: Vec<(Instant, Message)>,
    held: BTreeMap<usize, bool>,
    /// Since when each member's task has run.
    running: Vec<Option<Instant>>,
    /// When each member's task began; it stays once the task has ended.
    begun_at: Vec<Option<Instant>>,
    /// Since when only a part of the gang has run.
    partial_since: Option<Instant>,
    longest_partial: Duration,
    steps: usize,
}

fn gang() -> Gang {
    let member = |at: usize| Member {
        worker: format!("w{at}").into(),
        address: format!("{at}"),
        mask: 0xff,
    };
    Gang {
        id: gang::Id {
            job: "j".into(),
            epoch: FENCE.epoch,
            attempt: 1,
        },
        spec: job::Spec {
            id: "j".into(),
            account: "a".into(),
            template: "t".into(),
            shape: Shape {
                accelerators: 8 * MEMBER_COUNT as u32,
                within: Within::Any,
            },
            declared: RUN_TIME,
            repeatable: false,
            checkpoint: false,
            urgent: false,
            submitted: SystemTime::UNIX_EPOCH,
            due: None,
        },
        members: (0..MEMBER_COUNT).map(member).collect(),
        work: Work {
            run: "task".to_owned(),
            parameters: serde_json::Value::Null,
            checkpoint: None,
        },
    }
}

fn hold(at: usize) -> Hold {
    Hold {
        fence: FENCE,
        gang: gang(),
        worker: format!("w{at}").into(),
        trace: None,
    }
}

impl Simulation {
    fn new() -> Simulation {
        let now = Instant::now();
        let ledger =
            |at: usize| Ledger::new(format!("w{at}").into(), 8).unwrap();
        Simulation {
            now,
            start: now,
            ledgers: (0..MEMBER_COUNT).map(ledger).collect(),
            dead: vec![false; MEMBER_COUNT],
            paused_until: vec![now; MEMBER_COUNT],
            queue: (0..MEMBER_COUNT).map(Message::Hold).collect(),
            delayed: Vec::new(),
            held: BTreeMap::new(),
            running: vec![None; MEMBER_COUNT],
            begun_at: vec![None; MEMBER_COUNT],
            partial_since: None,
            longest_partial: Duration::ZERO,
            steps: 0,
        }
    }

    fn is_up(&self, at: usize) -> bool {
        !self.dead[at] && self.paused_until[at] <= self.now
    }

    /// Runs to the end, with `fault` at step `at`; returns the number of
    /// steps.
    fn run(&mut self, at: usize, fault: Option<Fault>) -> usize {
        while self.now < self.start + RUN_TIME + 2 * CLEANUP_LIMIT {
            while let Some(message) = self.queue.pop_front() {
                self.steps += 1;
                match fault {
                    Some(fault) if self.steps == at => {
                        self.inject(fault, message)
                    }
                    _ => self.deliver(message),
                }
                self.track_partial_run();
            }
            self.now += TICK;
            self.advance();
            self.track_partial_run();
        }
        self.steps
    }

    fn inject(&mut self, fault: Fault, message: Message) {
        match fault {
            Fault::Drop => {}
            Fault::Duplicate => {
                self.deliver(message.clone());
                self.deliver(message);
            }
            Fault::Delay => {
                let due = self.now + Duration::from_secs(3);
                self.delayed.push((due, message));
            }
            Fault::Kill(agent) => {
                self.dead[agent] = true;
                self.deliver(message);
            }
            Fault::Pause(agent) => {
                self.paused_until[agent] =
                    self.now + 2 * MIN_GANG_LEASE + Duration::from_secs(1);
                self.deliver(message);
            }
        }
    }

    /// Delivers delayed messages, ends tasks and expires deadlines that are
    /// due.
    fn advance(&mut self) {
        let delayed = std::mem::take(&mut self.delayed);
        for (due, message) in delayed {
            match due <= self.now {
                true => self.queue.push_back(message),
                false => self.delayed.push((due, message)),
            }
        }
        for at in 0..MEMBER_COUNT {
            let ended = self.running[at]
                .is_some_and(|begun| begun + RUN_TIME <= self.now);
            if self.dead[at] && self.running[at].is_some() {
                // The whole worker is lost, and its task with it. If only the
                // agent died, the task would go on for at most its lease.
                self.running[at] = None;
            } else if ended {
                self.running[at] = None;
                let message = Message::TaskEnded(at, Ending::Done);
                self.queue.push_back(message);
            }
            if self.is_up(at) {
                self.poll(at);
                let effects = self.ledgers[at].tick(self.now);
                self.apply_effects(at, effects);
            }
        }
    }

    /// Polls the endpoint as an agent does: reports a task that has ended, and
    /// repeats the stop of a task until it has stopped.
    fn poll(&mut self, at: usize) {
        let slot = self.ledgers[at].slot(&gang().id);
        let has_ended =
            self.begun_at[at].is_some() && self.running[at].is_none();
        match slot.map(|slot| &slot.phase) {
            Some(Phase::Begun { .. }) if has_ended => {
                let message = Message::TaskEnded(at, Ending::Done);
                self.queue.push_back(message);
            }
            Some(Phase::Halting { .. }) => {
                self.queue.push_back(Message::StopTask(at));
            }
            _ => {}
        }
    }

    fn deliver(&mut self, message: Message) {
        let to = match &message {
            Message::Held(_) => None,
            Message::Launch | Message::Report(_) => Some(0),
            Message::Hold(at)
            | Message::Begin(at)
            | Message::Decided(at, _)
            | Message::Halt(at)
            | Message::TaskStarted(at)
            | Message::TaskEnded(at, _)
            | Message::StopTask(at) => Some(*at),
        };
        match to {
            Some(at) if self.dead[at] => {}
            Some(at) if !self.is_up(at) => {
                // The message waits in the socket until the process resumes.
                self.delayed.push((self.paused_until[at], message));
            }
            _ => self.handle(message),
        }
    }

    fn handle(&mut self, message: Message) {
        let id = gang().id;
        let now = self.now;
        match message {
            Message::Hold(at) => {
                let hold = hold(at);
                if self.ledgers[at].hold(hold, now).is_ok() {
                    self.queue.push_back(Message::Held(at));
                }
            }
            Message::Held(at) => {
                self.held.insert(at, true);
                if self.held.len() == MEMBER_COUNT {
                    self.queue.push_back(Message::Launch);
                }
            }
            Message::Launch => {
                let launch = self.ledgers[0].launch(FENCE, &id, now);
                if launch.is_ok() {
                    let members = (0..MEMBER_COUNT).rev();
                    self.queue.extend(members.map(Message::Begin));
                }
            }
            Message::Begin(at) => {
                if let Ok(true) = self.ledgers[at].begin(&id, now) {
                    self.queue.push_back(Message::TaskStarted(at));
                }
            }
            Message::TaskStarted(at) => self.handle_task_start(at),
            Message::TaskEnded(at, ending) => {
                let worker = Some(format!("w{at}").into());
                let end = End::new(ending, worker);
                let effects = self.ledgers[at].record_task_end(&id, end, now);
                self.apply_effects(at, effects);
            }
            Message::StopTask(at) => {
                self.running[at] = None;
                let message = Message::TaskEnded(at, Ending::Stopped);
                self.queue.push_back(message);
            }
            Message::Report(report) => {
                let at = report.member;
                let (decision, effects) =
                    self.ledgers[0].handle_report(report, now);
                self.apply_effects(0, effects);
                self.queue.push_back(Message::Decided(at, decision));
            }
            Message::Decided(at, decision) => {
                let effects =
                    self.ledgers[at].apply_decision(&id, decision, now);
                self.apply_effects(at, effects);
            }
            Message::Halt(at) => {
                let effects = self.ledgers[at].halt(&id, now);
                self.apply_effects(at, effects);
            }
        }
    }

    fn handle_task_start(&mut self, at: usize) {
        let slot = self.ledgers[at].slot(&gang().id);
        let is_beginning = slot
            .is_some_and(|slot| matches!(slot.phase, Phase::Beginning { .. }));
        if is_beginning {
            assert!(self.begun_at[at].is_none(), "begun twice on w{at}");
            self.running[at] = Some(self.now);
            self.begun_at[at] = Some(self.now);
        }
        self.ledgers[at].record_task_start(&gang().id, self.now);
    }

    fn apply_effects(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            let message = match effect {
                Effect::StartTask(_) => Message::TaskStarted(at),
                Effect::StopTask(_) => Message::StopTask(at),
                Effect::ReportToLead { report, .. } => Message::Report(report),
                Effect::HaltMember { address, .. } => {
                    Message::Halt(address.parse().unwrap())
                }
            };
            self.queue.push_back(message);
        }
    }

    /// Tracks the longest time for which some members ran while others that
    /// had not completed their task did not.
    fn track_partial_run(&mut self) {
        let has_completed = |at: usize| {
            let slot = self.ledgers[at].slot(&gang().id);
            slot.is_some_and(|slot| {
                matches!(&slot.phase, Phase::Ended(end)
                    if end.ending == Ending::Done)
            })
        };
        let some_run = self.running.iter().any(Option::is_some);
        let all_run = (0..MEMBER_COUNT).all(|at| {
            self.running[at].is_some()
                || has_completed(at)
                || self.begun_at[at].is_some_and(|b| b + RUN_TIME <= self.now)
                    && !self.dead[at]
        });
        match some_run && !all_run {
            true => {
                let since = *self.partial_since.get_or_insert(self.now);
                self.longest_partial =
                    self.longest_partial.max(self.now - since);
            }
            false => self.partial_since = None,
        }
    }

    fn check(&self, what: &str) {
        assert!(
            self.longest_partial <= MIN_GANG_LEASE + 2 * MIN_REPORT_INTERVAL,
            "{what}: ran in part for {:?}",
            self.longest_partial
        );
        for at in (0..MEMBER_COUNT).filter(|at| !self.dead[*at]) {
            assert_eq!(self.running[at], None, "{what}: w{at} still runs");
            let held_mask = self.ledgers[at].accelerators_in_use();
            assert_eq!(held_mask, 0, "{what}: w{at} holds {held_mask:x}");
        }
        let lead = self.ledgers[0].slot(&gang().id);
        let outcome = lead.and_then(|slot| slot.lead.as_ref()?.outcome());
        if let Some(end) = outcome {
            let any_began = self.begun_at.iter().any(Option::is_some);
            let ending = end.ending;
            assert!(
                ending != Ending::NotBegun || !any_began,
                "{what}: reported as not begun, but a task began"
            );
            let all_began = self.begun_at.iter().all(Option::is_some);
            assert!(
                ending != Ending::Done || all_began,
                "{what}: done, but not all members began"
            );
        }
    }
}

#[test]
fn promise_gang_without_a_fault_runs_whole() {
    let mut simulation = Simulation::new();
    simulation.run(0, None);
    simulation.check("no fault");
    let lead = simulation.ledgers[0].slot(&gang().id).unwrap();
    let outcome = lead.lead.as_ref().unwrap().outcome().unwrap();
    assert_eq!(outcome.ending, Ending::Done);
    assert_eq!(simulation.longest_partial, Duration::ZERO);
}

#[test]
fn promise_gang_runs_whole_or_stops_with_a_fault_at_any_step() {
    let steps = Simulation::new().run(0, None);
    let members = 0..MEMBER_COUNT;
    let faults: Vec<Fault> = [Fault::Drop, Fault::Duplicate, Fault::Delay]
        .into_iter()
        .chain(members.clone().map(Fault::Kill))
        .chain(members.map(Fault::Pause))
        .collect();
    for at in 1..=steps {
        for fault in &faults {
            let mut simulation = Simulation::new();
            simulation.run(at, Some(*fault));
            simulation.check(&format!("{fault:?} at step {at} of {steps}"));
        }
    }
}

#[test]
fn promise_planner_of_an_earlier_epoch_is_refused() {
    let now = Instant::now();
    let mut ledger = Ledger::new("w0".into(), 8).unwrap();
    let later = Fence {
        epoch: 6,
        revision: 1,
    };
    ledger.check_fence(later).unwrap();
    let hold = hold(0);
    assert!(ledger.hold(hold, now).is_err());
    let stop = Stop {
        fence: FENCE,
        gang: gang().id,
    };
    assert!(ledger.stop(stop.fence, &stop.gang, now).is_err());
    assert!(ledger.launch(FENCE, &stop.gang, now).is_err());
}

#[test]
fn promise_configuration_of_an_earlier_revision_is_refused() {
    let now = Instant::now();
    let mut ledger = Ledger::new("w0".into(), 8).unwrap();
    let newer = Fence {
        epoch: 5,
        revision: 9,
    };
    ledger.check_fence(newer).unwrap();
    let hold = hold(0);
    let refusal = ledger.hold(hold, now).unwrap_err();
    assert_eq!(refusal.to_string(), "configuration 1 is before 9");
    assert_eq!(ledger.fence(), newer, "the fence never goes back");
}
