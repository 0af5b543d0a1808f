//! A gang brought to a fault at every step of hold, decide, begin and end.
//!
//! The agents' ledgers are driven over a network of this test's own, in
//! virtual time. A step is a message about to be delivered; at each one in
//! turn it is lost, doubled, held back past all that follows, or one of
//! the agents dies, or is paused for longer than every lease.

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

const MEMBERS: usize = 3;
const RUN: Duration = Duration::from_secs(30);
const TICK: Duration = Duration::from_millis(250);
/// Within which nothing started in part is left, and no hold.
const BOUND: Duration = Duration::from_secs(
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
    Told(usize, Decision),
    Halt(usize),
    TaskStarted(usize),
    TaskEnded(usize, Ending),
    StopTask(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Lose,
    Double,
    Delay,
    Kill(usize),
    Pause(usize),
}

struct World {
    now: Instant,
    start: Instant,
    ledgers: Vec<Ledger>,
    dead: Vec<bool>,
    paused_until: Vec<Instant>,
    queue: VecDeque<Message>,
    later: Vec<(Instant, Message)>,
    held: BTreeMap<usize, bool>,
    running: Vec<Option<Instant>>,
    /// When the first and the last task began.
    began: Vec<Option<Instant>>,
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
                accelerators: 8 * MEMBERS as u32,
                within: Within::Any,
            },
            declared: RUN,
            repeatable: false,
            checkpoint: false,
            urgent: false,
            submitted: SystemTime::UNIX_EPOCH,
            due: None,
        },
        members: (0..MEMBERS).map(member).collect(),
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

impl World {
    fn new() -> World {
        let now = Instant::now();
        let ledger =
            |at: usize| Ledger::new(format!("w{at}").into(), 8).unwrap();
        World {
            now,
            start: now,
            ledgers: (0..MEMBERS).map(ledger).collect(),
            dead: vec![false; MEMBERS],
            paused_until: vec![now; MEMBERS],
            queue: (0..MEMBERS).map(Message::Hold).collect(),
            later: Vec::new(),
            held: BTreeMap::new(),
            running: vec![None; MEMBERS],
            began: vec![None; MEMBERS],
            partial_since: None,
            longest_partial: Duration::ZERO,
            steps: 0,
        }
    }

    fn is_up(&self, at: usize) -> bool {
        !self.dead[at] && self.paused_until[at] <= self.now
    }

    /// Runs to the end, with `fault` at step `at`; returns the steps taken.
    fn run(&mut self, at: usize, fault: Option<Fault>) -> usize {
        while self.now < self.start + RUN + 2 * BOUND {
            while let Some(message) = self.queue.pop_front() {
                self.steps += 1;
                match fault {
                    Some(fault) if self.steps == at => {
                        self.strike(fault, message)
                    }
                    _ => self.deliver(message),
                }
                self.watch();
            }
            self.now += TICK;
            self.pass();
            self.watch();
        }
        self.steps
    }

    fn strike(&mut self, fault: Fault, message: Message) {
        match fault {
            Fault::Lose => {}
            Fault::Double => {
                self.deliver(message.clone());
                self.deliver(message);
            }
            Fault::Delay => {
                let due = self.now + Duration::from_secs(3);
                self.later.push((due, message));
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

    /// Lets time pass: deadlines, tasks that end, messages held back.
    fn pass(&mut self) {
        let later = std::mem::take(&mut self.later);
        for (due, message) in later {
            match due <= self.now {
                true => self.queue.push_back(message),
                false => self.later.push((due, message)),
            }
        }
        for at in 0..MEMBERS {
            let ended =
                self.running[at].is_some_and(|began| began + RUN <= self.now);
            if self.dead[at] && self.running[at].is_some() {
                // An agent's task outlives it by the task's lease at most;
                // here the whole worker is lost.
                self.running[at] = None;
            } else if ended {
                self.running[at] = None;
                let message = Message::TaskEnded(at, Ending::Done);
                self.queue.push_back(message);
            }
            if self.is_up(at) {
                self.poll(at);
                let effects = self.ledgers[at].tick(self.now);
                self.carry_out(at, effects);
            }
        }
    }

    /// An agent asks its endpoint again and again, and stops what it must
    /// until it has.
    fn poll(&mut self, at: usize) {
        let slot = self.ledgers[at].slot(&gang().id);
        let over = self.began[at].is_some() && self.running[at].is_none();
        match slot.map(|slot| &slot.phase) {
            Some(Phase::Begun { .. }) if over => {
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
            | Message::Told(at, _)
            | Message::Halt(at)
            | Message::TaskStarted(at)
            | Message::TaskEnded(at, _)
            | Message::StopTask(at) => Some(*at),
        };
        match to {
            Some(at) if self.dead[at] => {}
            Some(at) if !self.is_up(at) => {
                // It waits in the socket until the process goes on.
                self.later.push((self.paused_until[at], message));
            }
            _ => self.take(message),
        }
    }

    fn take(&mut self, message: Message) {
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
                if self.held.len() == MEMBERS {
                    self.queue.push_back(Message::Launch);
                }
            }
            Message::Launch => {
                let launched = self.ledgers[0].launch(FENCE, &id, now);
                if launched.is_ok() {
                    let members = (0..MEMBERS).rev();
                    self.queue.extend(members.map(Message::Begin));
                }
            }
            Message::Begin(at) => {
                if let Ok(true) = self.ledgers[at].begin(&id, now) {
                    self.queue.push_back(Message::TaskStarted(at));
                }
            }
            Message::TaskStarted(at) => self.task_started(at),
            Message::TaskEnded(at, ending) => {
                let worker = Some(format!("w{at}").into());
                let end = End::new(ending, worker);
                let effects = self.ledgers[at].record_task_end(&id, end, now);
                self.carry_out(at, effects);
            }
            Message::StopTask(at) => {
                self.running[at] = None;
                let message = Message::TaskEnded(at, Ending::Stopped);
                self.queue.push_back(message);
            }
            Message::Report(report) => {
                let at = report.member;
                let (verdict, effects) =
                    self.ledgers[0].handle_report(report, now);
                self.carry_out(0, effects);
                self.queue.push_back(Message::Told(at, verdict));
            }
            Message::Told(at, verdict) => {
                let effects =
                    self.ledgers[at].apply_decision(&id, verdict, now);
                self.carry_out(at, effects);
            }
            Message::Halt(at) => {
                let effects = self.ledgers[at].halt(&id, now);
                self.carry_out(at, effects);
            }
        }
    }

    fn task_started(&mut self, at: usize) {
        let slot = self.ledgers[at].slot(&gang().id);
        let wanted = slot
            .is_some_and(|slot| matches!(slot.phase, Phase::Beginning { .. }));
        if wanted {
            assert!(self.began[at].is_none(), "begun twice on w{at}");
            self.running[at] = Some(self.now);
            self.began[at] = Some(self.now);
        }
        self.ledgers[at].record_task_start(&gang().id, self.now);
    }

    fn carry_out(&mut self, at: usize, effects: Vec<Effect>) {
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

    /// Keeps the longest time for which some members ran and others, that
    /// had not done their part, did not.
    fn watch(&mut self) {
        let done = |at: usize| {
            let slot = self.ledgers[at].slot(&gang().id);
            slot.is_some_and(|slot| {
                matches!(&slot.phase, Phase::Ended(end)
                    if end.ending == Ending::Done)
            })
        };
        let some = self.running.iter().any(Option::is_some);
        let all = (0..MEMBERS).all(|at| {
            self.running[at].is_some()
                || done(at)
                || self.began[at].is_some_and(|b| b + RUN <= self.now)
                    && !self.dead[at]
        });
        match some && !all {
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
            "{what}: in part for {:?}",
            self.longest_partial
        );
        for at in (0..MEMBERS).filter(|at| !self.dead[*at]) {
            assert_eq!(self.running[at], None, "{what}: w{at} runs on");
            let leaked = self.ledgers[at].accelerators_in_use();
            assert_eq!(leaked, 0, "{what}: w{at} holds {leaked:x}");
        }
        let lead = self.ledgers[0].slot(&gang().id);
        let outcome = lead.and_then(|slot| slot.lead.as_ref()?.outcome());
        if let Some(end) = outcome {
            let began = self.began.iter().any(Option::is_some);
            let ending = end.ending;
            assert!(
                ending != Ending::NotBegun || !began,
                "{what}: told not begun, and it was"
            );
            let whole = self.began.iter().all(Option::is_some);
            assert!(ending != Ending::Done || whole, "{what}: not whole");
        }
    }
}

#[test]
fn promise_gang_without_a_fault_runs_whole() {
    let mut world = World::new();
    world.run(0, None);
    world.check("no fault");
    let lead = world.ledgers[0].slot(&gang().id).unwrap();
    let outcome = lead.lead.as_ref().unwrap().outcome().unwrap();
    assert_eq!(outcome.ending, Ending::Done);
    assert_eq!(world.longest_partial, Duration::ZERO);
}

#[test]
fn promise_gang_is_whole_or_gone_with_a_fault_at_every_step() {
    let steps = World::new().run(0, None);
    let members = 0..MEMBERS;
    let faults: Vec<Fault> = [Fault::Lose, Fault::Double, Fault::Delay]
        .into_iter()
        .chain(members.clone().map(Fault::Kill))
        .chain(members.map(Fault::Pause))
        .collect();
    for at in 1..=steps {
        for fault in &faults {
            let mut world = World::new();
            world.run(at, Some(*fault));
            world.check(&format!("{fault:?} at step {at} of {steps}"));
        }
    }
}

#[test]
fn promise_paused_holder_planner_is_refused_after_a_later_one() {
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
fn promise_configuration_of_an_older_revision_is_refused() {
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
    assert_eq!(ledger.fence(), newer, "never lower again");
}
