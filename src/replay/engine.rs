//! The virtual clock: feeds a trace to a policy and obeys its commands.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::job;
use crate::job::Outcome;
use crate::plan::command::Command;
use crate::plan::command::Reason;
use crate::plan::event::Event;
use crate::replay::checker::Checker;
use crate::replay::report;
use crate::replay::report::Report;
use crate::replay::report::Steps;
use crate::replay::trace;
use crate::replay::trace::Trace;
use crate::replay::Policy;
use crate::site::Piece;
use crate::site::Site;
use crate::site::WorkerId;

/// How long a stopped task keeps its accelerators, for its checkpoint.
///
/// The format says nothing of it. Taking it as nothing would favour every
/// policy that reclaims over those that do not.
pub const STOP_TIME: Duration = Duration::from_secs(1);
/// How often a task checkpoints by itself.
const CHECKPOINT_EVERY: Duration = Duration::from_secs(60);
/// How long a task lasts on a worker that fails each of them.
const BAD_TASK: Duration = Duration::from_secs(1);
/// How long the clock runs on after the last event.
const LONGEST: Duration = Duration::from_secs(30 * 24 * 3600);
/// From how many accelerators on a job counts as large.
const LARGE: u32 = 16;

/// What the engine has planned to happen.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Planned {
    Ends(job::Id, job::Attempt),
    Fails(job::Id, job::Attempt, WorkerId),
    HasStopped(job::Id, job::Attempt),
    Tick,
}

struct Job {
    submit: trace::Submit,
    submitted: SystemTime,
    first_start: Option<SystemTime>,
    progress: Duration,
    run: Option<Run>,
}

struct Run {
    attempt: job::Attempt,
    pieces: Vec<Piece>,
    started: SystemTime,
    stopping: Option<Duration>,
}

/// The accelerators a client account has at one time, for a plot.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Seconds from the start.
    pub at: f64,
    /// Accelerators by account, in the order of the trace.
    pub used: Vec<u32>,
    /// The fragmentation.
    pub fragmentation: f64,
}

/// A replay under way.
pub struct Engine<'a> {
    trace: &'a Trace,
    site: Site,
    policy: Box<dyn Policy + 'a>,
    checker: Checker,
    now: SystemTime,
    planned: BinaryHeap<Reverse<(SystemTime, u64, Planned)>>,
    sequence: u64,
    tick_at: Option<SystemTime>,
    jobs: BTreeMap<job::Id, Job>,
    lost: Vec<bool>,
    leaving: Vec<bool>,
    bad: Vec<bool>,
    used: Vec<u64>,
    report: Report,
    completions: Vec<u64>,
    slowdowns: Vec<f64>,
    large_waits: Vec<u64>,
    urgent_waits: Vec<u64>,
    decisions: Vec<u64>,
    fragmentation: Steps,
    in_use: f64,
    in_health: f64,
    samples: Option<Vec<Sample>>,
}

/// What a replay came to.
pub struct Outcomes {
    /// The report.
    pub report: Report,
    /// Samples for a plot, if they were to be taken.
    pub samples: Vec<Sample>,
}

impl<'a> Engine<'a> {
    /// Returns a replay of `trace` that has not begun.
    ///
    /// # Errors
    ///
    /// If the trace's site cannot be described.
    pub fn new(
        trace: &'a Trace,
        policy: Box<dyn Policy + 'a>,
    ) -> Result<Engine<'a>, crate::site::Error> {
        let site = trace.header.site()?;
        let accounts = trace.header.terms().collect();
        let count = site.workers().len();
        Ok(Engine {
            trace,
            checker: Checker::new(site.clone(), accounts),
            site,
            policy,
            now: SystemTime::UNIX_EPOCH,
            planned: BinaryHeap::new(),
            sequence: 0,
            tick_at: None,
            jobs: BTreeMap::new(),
            lost: vec![false; count],
            leaving: vec![false; count],
            bad: vec![false; count],
            used: vec![0; count],
            report: Report::default(),
            completions: Vec::new(),
            slowdowns: Vec::new(),
            large_waits: Vec::new(),
            urgent_waits: Vec::new(),
            decisions: Vec::new(),
            fragmentation: Steps::default(),
            in_use: 0.0,
            in_health: 0.0,
            samples: None,
        })
    }

    /// Has samples taken for a plot.
    pub fn with_samples(mut self) -> Engine<'a> {
        self.samples = Some(Vec::new());
        self
    }

    /// Runs the trace to its end.
    pub fn run(mut self, timing: bool) -> Outcomes {
        let first =
            self.trace.header.terms().map(|(account, terms)| {
                Event::AccountChanged { account, terms }
            });
        let workers = self.site.workers().iter();
        let up = workers.map(|worker| Event::WorkerUp {
            worker: worker.id.clone(),
        });
        let mut events: Vec<Event> = up.chain(first).collect();
        let mut lines = self.trace.lines.iter().peekable();
        let last = self.trace.lines.last().map(|line| at(line.at_ms));
        let limit = last.unwrap_or(self.now) + LONGEST;
        loop {
            while let Some(line) = lines.next_if(|l| at(l.at_ms) <= self.now) {
                self.take_line(&line.event, &mut events);
            }
            self.take_planned(&mut events);
            self.decide(std::mem::take(&mut events));
            self.plan_tick();
            let next = lines.peek().map(|line| at(line.at_ms));
            let planned = self.planned.peek().map(|Reverse(p)| p.0);
            let next = next.into_iter().chain(planned).min();
            match next {
                Some(next) if next <= limit => self.advance(next),
                _ => break,
            }
            if lines.peek().is_none() && self.jobs.is_empty() {
                break;
            }
        }
        self.finish(timing)
    }

    fn take_line(&mut self, event: &trace::Event, events: &mut Vec<Event>) {
        match event {
            trace::Event::Submit(submit) => {
                let spec = submit.spec(self.now);
                self.report.jobs += 1;
                self.checker.submitted(&spec);
                let job = Job {
                    submit: submit.clone(),
                    submitted: self.now,
                    first_start: None,
                    progress: Duration::ZERO,
                    run: None,
                };
                self.jobs.insert(spec.id.clone(), job);
                events.push(Event::Submitted { spec });
            }
            trace::Event::Cancel { job } => {
                events.push(Event::Cancelled { job: job.clone() });
            }
            trace::Event::WorkerFail { worker } => {
                self.set(worker, |engine, w| engine.lost[w] = true);
                self.drop_planned(worker);
                let worker = worker.clone();
                events.push(Event::WorkerLost { worker });
            }
            trace::Event::WorkerReturn { worker } => {
                self.set(worker, |engine, w| {
                    engine.lost[w] = false;
                    engine.leaving[w] = false;
                });
                let worker = worker.clone();
                events.push(Event::WorkerUp { worker });
            }
            trace::Event::WorkerLeaving { worker } => {
                self.set(worker, |engine, w| engine.leaving[w] = true);
                let worker = worker.clone();
                events.push(Event::WorkerLeaving { worker });
            }
            // No policy is told of these two: it has to find out.
            trace::Event::WorkerBad { worker } => {
                self.set(worker, |engine, w| engine.bad[w] = true);
            }
            trace::Event::WorkerGood { worker } => {
                self.set(worker, |engine, w| engine.bad[w] = false);
            }
        }
    }

    fn set(&mut self, worker: &str, change: impl FnOnce(&mut Self, usize)) {
        if let Some(index) = self.site.index(worker) {
            change(self, index);
            let healthy = self.is_healthy(index);
            self.checker.worker(worker, healthy);
        }
    }

    fn is_healthy(&self, worker: usize) -> bool {
        !self.lost[worker] && !self.leaving[worker] && !self.bad[worker]
    }

    /// Takes it that nothing more comes of tasks on a worker just lost.
    fn drop_planned(&mut self, worker: &str) {
        let index = self.site.index(worker);
        let jobs = &self.jobs;
        self.planned
            .retain(|Reverse((_, _, planned))| match planned {
                Planned::Ends(id, attempt)
                | Planned::Fails(id, attempt, _) => {
                    let run = jobs.get(id).and_then(|job| job.run.as_ref());
                    !run.is_some_and(|run| {
                        let mut pieces = run.pieces.iter();
                        run.attempt == *attempt
                            && pieces.any(|p| Some(p.worker) == index)
                    })
                }
                Planned::HasStopped(..) | Planned::Tick => true,
            });
    }

    fn take_planned(&mut self, events: &mut Vec<Event>) {
        while let Some(Reverse((due, _, _))) = self.planned.peek() {
            if *due > self.now {
                break;
            }
            let Some(Reverse((_, _, planned))) = self.planned.pop() else {
                break;
            };
            self.happen(planned, events);
        }
    }

    fn happen(&mut self, planned: Planned, events: &mut Vec<Event>) {
        match planned {
            Planned::Tick => {
                self.tick_at = None;
                events.push(Event::Tick);
            }
            Planned::Ends(job, attempt) if self.runs(&job, attempt) => {
                self.vacate(&job);
                events.push(Event::Completed { job, attempt });
            }
            Planned::Fails(job, attempt, worker)
                if self.runs(&job, attempt) =>
            {
                self.lose(&job, Duration::ZERO);
                self.vacate(&job);
                events.push(Event::Failed {
                    job,
                    attempt,
                    worker,
                });
            }
            Planned::HasStopped(job, attempt) => {
                let kept = self.jobs.get(&job).and_then(|job| {
                    let run = job.run.as_ref()?;
                    run.stopping.filter(|_| run.attempt == attempt)
                });
                if let Some(kept) = kept {
                    self.vacate(&job);
                    let proven = true;
                    events.push(Event::Stopped {
                        job,
                        attempt,
                        kept,
                        proven,
                    });
                }
            }
            Planned::Ends(..) | Planned::Fails(..) => {}
        }
    }

    fn runs(&self, id: &job::Id, attempt: job::Attempt) -> bool {
        let run = self.jobs.get(id).and_then(|job| job.run.as_ref());
        run.is_some_and(|run| run.attempt == attempt && run.stopping.is_none())
    }

    fn vacate(&mut self, id: &job::Id) {
        let run = self.jobs.get_mut(id).and_then(|job| job.run.take());
        for piece in run.iter().flat_map(|run| &run.pieces) {
            self.used[piece.worker] &= !piece.mask;
        }
        self.checker.stopped(id);
    }

    /// Takes `kept` of a job's present run as progress, the rest as lost.
    fn lose(&mut self, id: &job::Id, kept: Duration) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(run) = &job.run else {
            return;
        };
        let ran = now.duration_since(run.started).unwrap_or_default();
        self.report.lost_ms += (ran - kept.min(ran)).as_millis() as u64;
        job.progress += kept;
        if !job.submit.checkpoint {
            self.report.lost_ms += job.progress.as_millis() as u64;
            job.progress = Duration::ZERO;
        }
    }

    fn decide(&mut self, events: Vec<Event>) {
        let mut events = events;
        while !events.is_empty() {
            let began = Instant::now();
            let step = std::mem::take(&mut events);
            let commands = self.policy.step(step, self.now);
            let took = began.elapsed().as_micros() as u64;
            self.decisions.push(took);
            for command in commands {
                self.obey(command);
            }
            // What a stop frees at once is told at once.
            self.take_planned(&mut events);
        }
        self.checker.look(self.now);
    }

    fn obey(&mut self, command: Command) {
        match command {
            Command::Start {
                job,
                attempt,
                pieces,
            } => self.start(job, attempt, pieces),
            Command::Stop {
                job,
                attempt,
                reason,
            } => self.stop(&job, attempt, reason),
            Command::Finish { job, outcome, .. } => {
                self.end(&job, outcome);
            }
            Command::Quarantine { .. } | Command::Restore { .. } => {}
        }
    }

    fn start(
        &mut self,
        id: job::Id,
        attempt: job::Attempt,
        pieces: Vec<Piece>,
    ) {
        self.checker.started(&id, &pieces);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let waited = now.duration_since(job.submitted).unwrap_or_default();
        if job.first_start.is_none() {
            job.first_start = Some(now);
            let waited = waited.as_millis() as u64;
            if job.submit.accelerators >= LARGE {
                self.large_waits.push(waited);
            }
            if job.submit.urgent {
                self.urgent_waits.push(waited);
            }
        }
        let actual = Duration::from_millis(job.submit.actual_ms);
        let left = actual.saturating_sub(job.progress);
        let bad = pieces.iter().find(|piece| self.bad[piece.worker]);
        let planned = match bad {
            Some(piece) if BAD_TASK < left => {
                let worker = self.site.workers()[piece.worker].id.clone();
                let fails = Planned::Fails(id.clone(), attempt, worker);
                (now + BAD_TASK, fails)
            }
            _ => (now + left, Planned::Ends(id.clone(), attempt)),
        };
        for piece in &pieces {
            self.used[piece.worker] |= piece.mask;
        }
        job.run = Some(Run {
            attempt,
            pieces,
            started: now,
            stopping: None,
        });
        self.plan(planned.0, planned.1);
    }

    fn stop(&mut self, id: &job::Id, attempt: job::Attempt, reason: Reason) {
        if !self.runs(id, attempt) {
            return;
        }
        if matches!(reason, Reason::Reclaim | Reason::Compact) {
            self.report.reclaims += 1;
        }
        let kept = self.kept(id, reason);
        self.lose(id, kept);
        let lost = &self.lost;
        let Some(run) = self.jobs.get_mut(id).and_then(|j| j.run.as_mut())
        else {
            return;
        };
        run.stopping = Some(kept);
        let gone = run.pieces.iter().all(|piece| lost[piece.worker]);
        let takes = match gone {
            true => Duration::ZERO,
            false => STOP_TIME,
        };
        let stopped = Planned::HasStopped(id.clone(), attempt);
        self.plan(self.now + takes, stopped);
    }

    /// Returns how much of its present run a stopped job keeps.
    fn kept(&self, id: &job::Id, reason: Reason) -> Duration {
        let Some(job) = self.jobs.get(id) else {
            return Duration::ZERO;
        };
        let ran = job
            .run
            .as_ref()
            .and_then(|run| self.now.duration_since(run.started).ok())
            .unwrap_or_default();
        let every = CHECKPOINT_EVERY.as_millis() as u64;
        match reason {
            _ if !job.submit.checkpoint => Duration::ZERO,
            Reason::Broken => {
                let ran = ran.as_millis() as u64;
                Duration::from_millis(ran / every * every)
            }
            _ => ran,
        }
    }

    fn end(&mut self, id: &job::Id, outcome: Outcome) {
        self.vacate(id);
        self.checker.ended(id);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        match outcome {
            Outcome::Done => {
                let took = self.now.duration_since(job.submitted);
                let took = took.unwrap_or_default().as_millis() as u64;
                let actual = job.submit.actual_ms.max(1);
                self.completions.push(took);
                self.slowdowns.push(took as f64 / actual as f64);
                self.report.done += 1;
            }
            Outcome::Failed | Outcome::Unknown => self.report.failed += 1,
            Outcome::Cancelled => self.report.cancelled += 1,
            Outcome::NotRun => self.report.not_run += 1,
        }
    }

    fn plan(&mut self, due: SystemTime, planned: Planned) {
        self.sequence += 1;
        self.planned.push(Reverse((due, self.sequence, planned)));
    }

    fn plan_tick(&mut self) {
        let wanted = self.policy.next_deadline(self.now);
        if let (Some(due), None) = (wanted, self.tick_at) {
            self.tick_at = Some(due);
            self.plan(due, Planned::Tick);
        }
    }

    fn advance(&mut self, next: SystemTime) {
        let held = next.duration_since(self.now).unwrap_or_default();
        let fragmentation = self.fragmentation_now();
        self.fragmentation.push(fragmentation, held);
        let workers = 0..self.used.len();
        let in_use: u32 = self.used.iter().map(|m| m.count_ones()).sum();
        let healthy = workers.filter(|&w| self.is_healthy(w)).count();
        let healthy = healthy as f64 * f64::from(self.site.accelerators());
        self.in_use += f64::from(in_use) * held.as_secs_f64();
        self.in_health += healthy * held.as_secs_f64();
        self.sample(fragmentation);
        self.now = next;
    }

    fn fragmentation_now(&self) -> f64 {
        let whole = self.site.accelerators();
        let frees = (0..self.used.len())
            .filter(|&w| self.is_healthy(w))
            .map(|w| whole - self.used[w].count_ones());
        let (mut free, mut in_wholes) = (0, 0);
        for room in frees {
            free += room;
            in_wholes += if room == whole { room } else { 0 };
        }
        match free {
            0 => 0.0,
            free => f64::from(free - in_wholes) / f64::from(free),
        }
    }

    fn sample(&mut self, fragmentation: f64) {
        if self.samples.is_none() {
            return;
        }
        let accounts = &self.trace.header.accounts;
        let mut used = vec![0; accounts.len()];
        for job in self.jobs.values().filter(|job| job.run.is_some()) {
            let account = &job.submit.account;
            let index = accounts.iter().position(|a| a.account == *account);
            if let Some(index) = index {
                used[index] += job.submit.accelerators;
            }
        }
        let since = self.now.duration_since(SystemTime::UNIX_EPOCH);
        if let Some(samples) = &mut self.samples {
            samples.push(Sample {
                at: since.unwrap_or_default().as_secs_f64(),
                used,
                fragmentation,
            });
        }
    }

    fn finish(mut self, timing: bool) -> Outcomes {
        self.completions.sort_unstable();
        self.slowdowns.sort_by(f64::total_cmp);
        self.large_waits.sort_unstable();
        self.urgent_waits.sort_unstable();
        self.decisions.sort_unstable();
        let done = self.report.done.max(1);
        let counts = self.checker.counts();
        let at = report::percentile::<u64>;
        let report = Report {
            unfinished: self.jobs.len() as u64,
            completion_ms: report::Completion {
                mean: self.completions.iter().sum::<u64>() / done,
                p50: at(&self.completions, 50),
                p95: at(&self.completions, 95),
                p99: at(&self.completions, 99),
            },
            slowdown: report::Slowdown {
                mean: report::rounded(
                    self.slowdowns.iter().sum::<f64>() / done as f64,
                ),
                p99: report::rounded(report::percentile(&self.slowdowns, 99)),
            },
            wait_large_ms: report::Wait {
                p50: at(&self.large_waits, 50),
                p99: at(&self.large_waits, 99),
            },
            urgent_start_ms: report::Start {
                p99: at(&self.urgent_waits, 99),
            },
            fragmentation: report::Fragmentation {
                mean: report::rounded(self.fragmentation.mean()),
                p95: report::rounded(self.fragmentation.quantile(0.95)),
            },
            utilisation: report::rounded(match self.in_health > 0.0 {
                true => self.in_use / self.in_health,
                false => 0.0,
            }),
            guarantee_violations: counts.guarantee_violations,
            partial_gangs: counts.partial_gangs,
            repeated_starts: counts.repeated_starts,
            decision_us: timing.then(|| report::Decision {
                p50: at(&self.decisions, 50),
                p99: at(&self.decisions, 99),
            }),
            ..self.report
        };
        Outcomes {
            report,
            samples: self.samples.unwrap_or_default(),
        }
    }
}

fn at(at_ms: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(at_ms)
}
