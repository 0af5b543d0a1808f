//! Playing a day on a virtual clock.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use fastrand::Rng;
use landingvalve::graph::Job;
use landingvalve::graph::JobId;
use landingvalve::graph::Options;
use landingvalve::graph::Orders;
use landingvalve::graph::Outcome;
use landingvalve::graph::Policy;
use landingvalve::graph::Resources;
use landingvalve::graph::Run;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Scheduler;
use landingvalve::graph::SharedStr;
use landingvalve::graph::Step;
use landingvalve::graph::Task;
use landingvalve::graph::Timestamp;

use crate::day::Arrival;
use crate::day::Blow;
use crate::day::Day;
use crate::fleet::Time;
use crate::fleet::Work;
use crate::fleet::Worker;
use crate::load::Load;
use crate::score;
use crate::score::Score;

/// The grain of the clock: what comes within it is decided on together.
const GRAIN: Duration = Duration::from_millis(5);
/// How long a write takes.
const WRITE: Duration = Duration::from_millis(8);
/// How long an order or a report is under way.
const WAY: Duration = Duration::from_millis(4);
/// How often the planner looks at what time alone brings.
const TICK: Duration = Duration::from_millis(100);
/// How often an agent reports that has nothing to tell.
const BEAT: Duration = Duration::from_millis(1000);
/// How long after the last job the day goes on.
const AFTER: Duration = Duration::from_secs(60);
/// How many times longer a gang takes that is spread over racks.
const FAR: f64 = 3.0;
/// The work of an accelerator, in cores.
const ACCELERATOR: f64 = 8.0;
/// How often a checkpoint is kept.
const SAVE: Duration = Duration::from_secs(1);

/// What happens at a moment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A job comes.
    Arrives(usize),
    /// Something befalls a worker.
    Blow(usize),
    /// A worker is back.
    Back(usize),
    /// A worker has gone for good.
    Gone(usize),
    /// A task ends on a worker.
    Ends(usize, Task, Run, Ending),
    /// A worker reports.
    Reports(usize),
    /// Progress is written.
    Written(JobId, u64),
    /// A job has to have begun if its account is guaranteed it.
    Owed(JobId),
    /// Time passes.
    Tick,
}

/// How a task ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ending {
    Done,
    Failed,
    Stopped,
}

/// What is known of a job that the planner does not know.
struct Truth {
    arrival: Arrival,
    /// What its tasks have saved, as work at speed 1.
    saved: BTreeMap<Task, Duration>,
    failures: u32,
    /// Whether all tasks of a run were ever there.
    begun: bool,
}

struct Play<'a> {
    load: &'a Load,
    day: &'a Day,
    book: Scheduler,
    workers: Vec<Worker>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    count: u64,
    now: Time,
    start: Timestamp,
    truths: BTreeMap<JobId, Truth>,
    by_agent: BTreeMap<String, usize>,
    due: BTreeSet<usize>,
    random: Rng,
    thrown: f64,
    owed: u32,
    broken: Vec<String>,
}

/// Plays a day under a policy.
pub fn play(load: &Load, day: &Day, policy: Policy, seed: u64) -> Score {
    let start = Timestamp {
        monotonic: Instant::now(),
        wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1 << 30),
    };
    let terms = Options {
        policy,
        far_slowdown: FAR,
        stop_time: load.fleet.stop,
        reclaim_time: load.accounts.reclaim,
        ..Options::default()
    };
    let workers = Worker::all(&load.fleet);
    let names = workers.iter().enumerate();
    let by_agent = names.map(|(at, w)| (w.agent.clone(), at)).collect();
    let mut play = Play {
        load,
        day,
        book: Scheduler::new(terms, start),
        workers,
        events: BinaryHeap::new(),
        count: 0,
        now: Time::ZERO,
        start,
        truths: BTreeMap::new(),
        by_agent,
        due: BTreeSet::new(),
        random: Rng::with_seed(seed),
        thrown: 0.0,
        owed: 0,
        broken: Vec::new(),
    };
    let each = guaranteed(load);
    let accounts = (0..load.accounts.count).map(|at| (account(at), each));
    play.book.set_guarantees(accounts.collect());
    play.run();
    play.score()
}

/// Returns the name of an account.
fn account(number: usize) -> SharedStr {
    format!("account-{number}").into()
}

/// Returns the accelerators that each account is guaranteed.
fn guaranteed(load: &Load) -> i64 {
    let all = load.fleet.workers as i64 * load.fleet.accelerators;
    (all as f64 * load.accounts.sure / load.accounts.count as f64) as i64
}

impl Play<'_> {
    fn at(&mut self, when: Time, event: Event) {
        self.count += 1;
        self.events.push(Reverse((when, self.count, event)));
    }

    fn moment(&self) -> Timestamp {
        Timestamp {
            monotonic: self.start.monotonic + self.now,
            wall: self.start.wall + self.now,
        }
    }

    fn run(&mut self) {
        for worker in 0..self.workers.len() {
            self.due.insert(worker);
        }
        for (number, arrival) in self.day.arrivals.iter().enumerate() {
            self.at(arrival.at, Event::Arrives(number));
        }
        for (number, (at, ..)) in self.day.blows.iter().enumerate() {
            self.at(*at, Event::Blow(number));
        }
        self.at(TICK, Event::Tick);
        let end = Duration::from_secs_f64(self.load.seconds) + AFTER;
        self.decide(true);
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if *at >= end {
                break;
            }
            let grains = at.as_nanos().div_ceil(GRAIN.as_nanos()) as u32;
            self.now = (GRAIN * grains).max(self.now);
            let mut ticks = false;
            while let Some(Reverse((at, _, event))) = self.events.pop() {
                if at > self.now {
                    self.at(at, event);
                    break;
                }
                ticks |= event == Event::Tick;
                self.take(event);
            }
            self.decide(ticks);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrives(number) => self.arrives(number),
            Event::Blow(number) => self.blow(number),
            Event::Back(worker) => {
                self.workers[worker].come_back();
                self.due.insert(worker);
            }
            Event::Gone(worker) => self.lose(worker, Time::MAX),
            Event::Ends(worker, task, run, ending) => {
                self.ends(worker, &task, run, ending);
            }
            Event::Reports(worker) => {
                self.due.insert(worker);
            }
            Event::Written(id, version) => {
                self.book.mark_written(&id, version)
            }
            Event::Owed(id) => self.owed(&id),
            Event::Tick => {
                let beat = BEAT.as_millis() / TICK.as_millis();
                let turn = self.now.as_millis() / TICK.as_millis() % beat;
                for worker in 0..self.workers.len() {
                    if worker as u128 % beat == turn {
                        self.due.insert(worker);
                    }
                }
                self.at(self.now + TICK, Event::Tick);
            }
        }
    }

    /// Lets workers report, the planner decide, and workers obey.
    fn decide(&mut self, ticks: bool) {
        let moment = self.moment();
        for worker in std::mem::take(&mut self.due) {
            let report = self.workers[worker].report(self.now);
            self.book.apply_report(report, moment);
        }
        if ticks || self.book.is_changed() {
            self.book.run_pass(moment);
            for agent in self.book.take_inquiries() {
                let sent = moment.monotonic;
                self.book.apply_inquiry(&agent, None, sent, moment);
            }
            self.book.take_decisions();
        }
        for job in self.book.take_unwritten(usize::MAX) {
            self.at(self.now + WRITE, Event::Written(job.id, job.version));
        }
        let stirred: Vec<_> =
            self.book.take_agents_to_order().into_iter().collect();
        for (agent, orders) in self.book.orders_for(&stirred) {
            if let Some(worker) = self.by_agent.get(&*agent).copied() {
                self.obey(worker, &orders);
            }
        }
    }

    fn arrives(&mut self, number: usize) {
        let arrival = self.day.arrivals[number].clone();
        let queue = &self.load.queues[arrival.queue];
        let id: JobId = format!("{number:06}").into();
        let job = Job {
            id: id.clone(),
            account: account(arrival.account),
            queue: queue.name.as_str().into(),
            pool: "pool".into(),
            priority: queue.priority,
            max_attempts: 3,
            stretch: queue.stretch,
            target: queue.target,
            guarded: true,
            accepted: self.moment().wall,
            spec: "".into(),
            steps: vec![Step {
                replicas: arrival.width,
                resources: Resources {
                    cpu: queue.cpu,
                    memory: queue.memory,
                    accelerators: arrival.accelerators,
                },
                estimate: arrival.declared,
                checkpoints: arrival.saves,
                gang: queue.gang,
                same_rack: arrival.same_rack,
                ..Step::default()
            }],
            repeat: None,
            advice: None,
        };
        let failures = arrival.failures;
        let truth = Truth {
            arrival,
            saved: BTreeMap::new(),
            failures,
            begun: false,
        };
        self.truths.insert(id.clone(), truth);
        if queue.priority == 0 && self.load.accounts.sure > 0.0 {
            let by = self.now + self.load.accounts.reclaim;
            self.at(by, Event::Owed(id));
        }
        let moment = self.moment();
        self.book.accept_job(job, None, moment);
    }

    /// Looks whether a job has begun that its account is guaranteed.
    fn owed(&mut self, id: &JobId) {
        let troubled = self.day.blows.iter().any(|(at, ..)| {
            *at <= self.now && self.now < *at + self.load.accounts.reclaim * 2
        });
        let of = self.truths[id].arrival.account;
        let open = self.truths.iter().filter(|(id, truth)| {
            let queue = &self.load.queues[truth.arrival.queue];
            let progress = self.book.progress(id);
            truth.arrival.account == of
                && queue.priority == 0
                && progress.is_none_or(|kept| kept.outcome.is_none())
        });
        let needed = open.map(|(_, truth)| {
            truth.arrival.accelerators * i64::from(truth.arrival.width)
        });
        if troubled || needed.sum::<i64>() > guaranteed(self.load) {
            return;
        }
        self.owed += 1;
        if !self.truths[id].begun {
            self.broken.push(id.to_string());
        }
    }

    fn blow(&mut self, number: usize) {
        let (_, worker, blow) = self.day.blows[number];
        if !self.workers[worker].is_up() {
            return;
        }
        match blow {
            Blow::Lost(lasts) => {
                self.lose(worker, self.now + lasts);
                self.at(self.now + lasts, Event::Back(worker));
            }
            Blow::Leaves(notice) => {
                self.workers[worker].leaves = Some(self.now + notice);
                self.at(self.now + notice, Event::Gone(worker));
            }
            Blow::Fails(lasts) => {
                self.workers[worker].fails = self.now + lasts;
            }
        }
        self.due.insert(worker);
    }

    fn lose(&mut self, worker: usize, until: Time) {
        for (task, work) in self.workers[worker].lose(until) {
            self.throw(&task, &work, worker);
            self.break_gang(&task, work.run, RunOutcome::Broken);
        }
        self.due.insert(worker);
    }

    fn obey(&mut self, worker: usize, orders: &Orders) {
        if !self.workers[worker].is_up() {
            return;
        }
        let life = self.workers[worker].life();
        if orders.life.as_ref().is_some_and(|of| **of != *life) {
            return;
        }
        self.workers[worker].forget(orders.noted);
        self.workers[worker].forget_refused(orders);
        for stop in &orders.stops {
            let here = self.workers[worker].bar(&stop.task, stop.run);
            let work = self.workers[worker].running.get_mut(&stop.task);
            match work {
                Some(work) if here && !work.stopping => {
                    work.stopping = true;
                    let run = work.run;
                    let takes = self.load.fleet.stop;
                    let takes = takes.mul_f64(0.5 + self.random.f64() / 2.0);
                    let task = stop.task.clone();
                    let ends = Event::Ends(worker, task, run, Ending::Stopped);
                    self.at(self.now + takes, ends);
                }
                Some(_) => {}
                None => {
                    if self.workers[worker].refuse(&stop.task, stop.run) {
                        self.at(self.now + WAY, Event::Reports(worker));
                    }
                }
            }
        }
        for start in &orders.starts {
            let truth = self.truths.get(&start.task.job);
            let saved = truth.and_then(|t| t.saved.get(&start.task).copied());
            let saved = saved.unwrap_or_default();
            if self.workers[worker].start(start, self.now, saved) {
                self.begin(&start.task, start.run);
                self.at(self.now + WAY, Event::Reports(worker));
            }
        }
    }

    /// Returns where the members of a task's run are.
    fn places(&self, task: &Task, run: Run) -> Vec<(usize, Task)> {
        let gang = self.is_gang(task);
        let same = |other: &Task, work: &Work| {
            let one = gang || other.index == task.index;
            other.job == task.job && work.run == run && one
        };
        let mut places = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            let here = worker.running.iter().filter(|(t, w)| same(t, w));
            places.extend(here.map(|(task, _)| (at, task.clone())));
        }
        places
    }

    fn is_gang(&self, task: &Task) -> bool {
        let truth = &self.truths[&task.job];
        self.load.queues[truth.arrival.queue].gang
    }

    /// Lets a run work, once all of its members are there.
    fn begin(&mut self, task: &Task, run: Run) {
        let places = self.places(task, run);
        let truth = &self.truths[&task.job];
        let gang = self.is_gang(task);
        if gang && places.len() < truth.arrival.width as usize {
            return;
        }
        if let Some(truth) = self.truths.get_mut(&task.job) {
            truth.begun = true;
        }
        let truth = &self.truths[&task.job];
        let racks: BTreeSet<&String> = places
            .iter()
            .map(|(at, _)| &self.workers[*at].rack)
            .collect();
        let far = truth.arrival.same_rack && racks.len() > 1;
        let speeds = places.iter().map(|(at, _)| self.workers[*at].speed);
        let speed = speeds.fold(f64::INFINITY, f64::min);
        let slow = if far { FAR } else { 1.0 } / speed;
        let fails = truth.failures > 0;
        let broken = places
            .iter()
            .any(|(at, _)| self.now < self.workers[*at].fails);
        let work = truth.arrival.work;
        for (at, task) in places {
            let Some(here) = self.workers[at].running.get_mut(&task) else {
                continue;
            };
            here.began = Some(self.now);
            let left = work.saturating_sub(here.saved).mul_f64(slow);
            let (takes, ending) = match (broken, fails) {
                (true, _) => (left.mul_f64(0.1), Ending::Failed),
                (_, true) => (left.mul_f64(0.5), Ending::Failed),
                _ => (left, Ending::Done),
            };
            self.at(self.now + takes, Event::Ends(at, task, run, ending));
        }
    }

    fn ends(&mut self, worker: usize, task: &Task, run: Run, ending: Ending) {
        let here = self.workers[worker].running.get(task);
        let Some(work) = here.filter(|work| work.run == run).cloned() else {
            return;
        };
        let how = match ending {
            Ending::Done => RunOutcome::Done,
            Ending::Failed => RunOutcome::Failed,
            Ending::Stopped => RunOutcome::Stopped,
        };
        self.workers[worker].end(task, how);
        self.at(self.now + WAY, Event::Reports(worker));
        if ending != Ending::Done {
            self.throw(task, &work, worker);
        }
        if ending == Ending::Failed {
            if let Some(truth) = self.truths.get_mut(&task.job) {
                truth.failures = truth.failures.saturating_sub(1);
            }
        }
        let others = match ending {
            Ending::Done => RunOutcome::Done,
            _ => RunOutcome::Broken,
        };
        self.break_gang(task, run, others);
    }

    /// Ends what is left of a gang's run.
    fn break_gang(&mut self, task: &Task, run: Run, how: RunOutcome) {
        if !self.is_gang(task) {
            return;
        }
        for (at, member) in self.places(task, run) {
            if let Some(work) = self.workers[at].end(&member, how) {
                if how != RunOutcome::Done {
                    self.throw(&member, &work, at);
                }
                self.at(self.now + WAY, Event::Reports(at));
            }
        }
    }

    /// Counts the work of a run that comes to nothing.
    fn throw(&mut self, task: &Task, work: &Work, worker: usize) {
        let cores = work.charge.cpu as f64 / 1000.0
            + work.charge.accelerators as f64 * ACCELERATOR;
        let began = work.began.unwrap_or(work.since);
        let ran = self.now.saturating_sub(began);
        let speed = self.workers[worker].speed;
        let Some(truth) = self.truths.get_mut(&task.job) else {
            return;
        };
        let mut lost = ran;
        if truth.arrival.saves && work.began.is_some() {
            let saves = ran.as_millis() / SAVE.as_millis();
            let kept = SAVE * saves as u32;
            lost = ran - kept;
            let saved = truth.saved.entry(task.clone()).or_default();
            *saved = work.saved + kept.mul_f64(speed);
        }
        self.thrown += cores * lost.as_secs_f64();
    }

    fn score(&self) -> Score {
        let job = |(id, truth): (&JobId, &Truth)| {
            let arrival = &truth.arrival;
            let queue = &self.load.queues[arrival.queue];
            let cores = queue.cpu as f64 / 1000.0
                + arrival.accelerators as f64 * ACCELERATOR;
            let seconds = arrival.work.as_secs_f64();
            let progress = self.book.progress(id);
            let done = progress
                .filter(|p| p.outcome == Some(Outcome::Succeeded))
                .and_then(|p| p.ended);
            let came = self.start.wall + arrival.at;
            score::Job {
                queue: arrival.queue,
                work: cores * seconds * f64::from(arrival.width),
                objective: arrival.work.mul_f64(queue.stretch) + queue.target,
                took: done.and_then(|at| at.duration_since(came).ok()),
            }
        };
        let jobs: Vec<score::Job> = self.truths.iter().map(job).collect();
        Score {
            owed: self.owed,
            broken: self.broken.clone(),
            ..Score::of(self.load, &jobs, self.thrown)
        }
    }
}
