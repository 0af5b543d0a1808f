//! A simulation of the site on a virtual clock: feeds the events of a trace to
//! a policy and executes its commands.

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
use crate::replay::report::TimeSeries;
use crate::replay::trace;
use crate::replay::trace::Trace;
use crate::replay::Policy;
use crate::site::Piece;
use crate::site::Site;
use crate::site::WorkerId;

/// How long a stopped task keeps its accelerators to write a checkpoint.
///
/// Traces do not record this time. A time of zero would favor policies that
/// reclaim accelerators over those that do not.
pub const STOP_TIME: Duration = Duration::from_secs(1);
/// The interval at which a running task writes checkpoints.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(60);
/// How long a task runs on a bad worker until it fails.
const BAD_WORKER_TASK_TIME: Duration = Duration::from_secs(1);
/// How long the replay continues after the last line of the trace.
const MAX_TIME_AFTER_LAST_LINE: Duration = Duration::from_secs(30 * 24 * 3600);
/// The number of accelerators from which on a job counts as large.
const LARGE_JOB_ACCELERATORS: u32 = 16;

/// A future event of the simulated site.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    TaskEnds(job::Id, job::Attempt),
    TaskFails(job::Id, job::Attempt, WorkerId),
    JobStopped(job::Id, job::Attempt),
    Tick,
}

struct Job {
    submit: trace::Submit,
    submitted: SystemTime,
    first_start: Option<SystemTime>,
    /// The part of the actual run time that earlier runs have preserved.
    progress: Duration,
    run: Option<Run>,
}

struct Run {
    attempt: job::Attempt,
    pieces: Vec<Piece>,
    started: SystemTime,
    /// How much of the run is preserved, once it is being stopped.
    stopping: Option<Duration>,
}

/// The state of the site at one time, for a plot.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The time in seconds from the start of the trace.
    pub at: f64,
    /// The accelerators in use by each account, in the order of the header.
    pub used: Vec<u32>,
    /// The share of free accelerators that are on partly used workers.
    pub fragmentation: f64,
}

/// A replay of one trace.
pub struct Engine<'a> {
    trace: &'a Trace,
    site: Site,
    policy: Box<dyn Policy + 'a>,
    checker: Checker,
    now: SystemTime,
    scheduled: BinaryHeap<Reverse<(SystemTime, u64, Scheduled)>>,
    /// The number of the last scheduled event, which orders events of the same
    /// time.
    sequence: u64,
    /// The time of the scheduled tick, if there is one.
    tick_at: Option<SystemTime>,
    jobs: BTreeMap<job::Id, Job>,
    /// Whether each worker is lost, by its index.
    lost: Vec<bool>,
    /// Whether each worker is leaving.
    leaving: Vec<bool>,
    /// Whether each worker fails its tasks.
    bad: Vec<bool>,
    /// The mask of accelerators in use of each worker.
    used: Vec<u64>,
    report: Report,
    completions: Vec<u64>,
    slowdowns: Vec<f64>,
    large_waits: Vec<u64>,
    urgent_waits: Vec<u64>,
    decisions: Vec<u64>,
    fragmentation: TimeSeries,
    used_accelerator_seconds: f64,
    healthy_accelerator_seconds: f64,
    samples: Option<Vec<Sample>>,
}

/// The result of a replay.
pub struct Outcomes {
    /// The report.
    pub report: Report,
    /// The samples for a plot, empty unless [`Engine::with_samples`] was
    /// called.
    pub samples: Vec<Sample>,
}

impl<'a> Engine<'a> {
    /// Returns a replay of `trace`, not yet started.
    ///
    /// # Errors
    ///
    /// If the description of the site is invalid.
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
            scheduled: BinaryHeap::new(),
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
            fragmentation: TimeSeries::default(),
            used_accelerator_seconds: 0.0,
            healthy_accelerator_seconds: 0.0,
            samples: None,
        })
    }

    /// Enables samples for a plot.
    pub fn with_samples(mut self) -> Engine<'a> {
        self.samples = Some(Vec::new());
        self
    }

    /// Runs the replay to its end. With `timing`, the report includes the wall
    /// time of decisions.
    pub fn run(mut self, timing: bool) -> Outcomes {
        let accounts =
            self.trace.header.terms().map(|(account, terms)| {
                Event::AccountChanged { account, terms }
            });
        let workers = self.site.workers().iter();
        let up = workers.map(|worker| Event::WorkerUp {
            worker: worker.id.clone(),
        });
        let mut events: Vec<Event> = up.chain(accounts).collect();
        let mut lines = self.trace.lines.iter().peekable();
        let last = self.trace.lines.last().map(|line| trace_time(line.at_ms));
        let limit = last.unwrap_or(self.now) + MAX_TIME_AFTER_LAST_LINE;
        loop {
            while let Some(line) =
                lines.next_if(|l| trace_time(l.at_ms) <= self.now)
            {
                self.apply_line(&line.event, &mut events);
            }
            self.run_scheduled(&mut events);
            self.decide(std::mem::take(&mut events));
            self.schedule_tick();
            let next = lines.peek().map(|line| trace_time(line.at_ms));
            let scheduled = self.scheduled.peek().map(|Reverse(p)| p.0);
            let next = next.into_iter().chain(scheduled).min();
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

    fn apply_line(&mut self, event: &trace::Event, events: &mut Vec<Event>) {
        match event {
            trace::Event::Submit(submit) => {
                let spec = submit.spec(self.now);
                self.report.jobs += 1;
                self.checker.record_submission(&spec);
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
                self.update_worker(worker, |engine, w| engine.lost[w] = true);
                self.drop_scheduled(worker);
                let worker = worker.clone();
                events.push(Event::WorkerLost { worker });
            }
            trace::Event::WorkerReturn { worker } => {
                self.update_worker(worker, |engine, w| {
                    engine.lost[w] = false;
                    engine.leaving[w] = false;
                });
                let worker = worker.clone();
                events.push(Event::WorkerUp { worker });
            }
            trace::Event::WorkerLeaving { worker } => {
                self.update_worker(worker, |engine, w| {
                    engine.leaving[w] = true
                });
                let worker = worker.clone();
                events.push(Event::WorkerLeaving { worker });
            }
            // Policies are not notified of bad workers. They have to infer
            // them from failures.
            trace::Event::WorkerBad { worker } => {
                self.update_worker(worker, |engine, w| engine.bad[w] = true);
            }
            trace::Event::WorkerGood { worker } => {
                self.update_worker(worker, |engine, w| engine.bad[w] = false);
            }
        }
    }

    /// Changes the state of a worker and reports its health to the checker.
    fn update_worker(
        &mut self,
        worker: &str,
        change: impl FnOnce(&mut Self, usize),
    ) {
        if let Some(index) = self.site.index(worker) {
            change(self, index);
            let healthy = self.is_healthy(index);
            self.checker.set_health(worker, healthy);
        }
    }

    fn is_healthy(&self, worker: usize) -> bool {
        !self.lost[worker] && !self.leaving[worker] && !self.bad[worker]
    }

    /// Drops the scheduled ends and failures of jobs on a lost worker.
    fn drop_scheduled(&mut self, worker: &str) {
        let index = self.site.index(worker);
        let jobs = &self.jobs;
        self.scheduled
            .retain(|Reverse((_, _, scheduled))| match scheduled {
                Scheduled::TaskEnds(id, attempt)
                | Scheduled::TaskFails(id, attempt, _) => {
                    let run = jobs.get(id).and_then(|job| job.run.as_ref());
                    !run.is_some_and(|run| {
                        let mut pieces = run.pieces.iter();
                        run.attempt == *attempt
                            && pieces.any(|p| Some(p.worker) == index)
                    })
                }
                Scheduled::JobStopped(..) | Scheduled::Tick => true,
            });
    }

    fn run_scheduled(&mut self, events: &mut Vec<Event>) {
        while let Some(Reverse((due, _, _))) = self.scheduled.peek() {
            if *due > self.now {
                break;
            }
            let Some(Reverse((_, _, scheduled))) = self.scheduled.pop() else {
                break;
            };
            self.apply_scheduled(scheduled, events);
        }
    }

    /// Turns a scheduled event into an event for the policy, unless the run
    /// that it belongs to is over.
    fn apply_scheduled(
        &mut self,
        scheduled: Scheduled,
        events: &mut Vec<Event>,
    ) {
        match scheduled {
            Scheduled::Tick => {
                self.tick_at = None;
                events.push(Event::Tick);
            }
            Scheduled::TaskEnds(job, attempt)
                if self.is_running(&job, attempt) =>
            {
                self.vacate(&job);
                events.push(Event::Completed { job, attempt });
            }
            Scheduled::TaskFails(job, attempt, worker)
                if self.is_running(&job, attempt) =>
            {
                self.settle_progress(&job, Duration::ZERO);
                self.vacate(&job);
                events.push(Event::Failed {
                    job,
                    attempt,
                    worker,
                });
            }
            Scheduled::JobStopped(job, attempt) => {
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
            Scheduled::TaskEnds(..) | Scheduled::TaskFails(..) => {}
        }
    }

    fn is_running(&self, id: &job::Id, attempt: job::Attempt) -> bool {
        let run = self.jobs.get(id).and_then(|job| job.run.as_ref());
        run.is_some_and(|run| run.attempt == attempt && run.stopping.is_none())
    }

    /// Releases the accelerators of a job.
    fn vacate(&mut self, id: &job::Id) {
        let run = self.jobs.get_mut(id).and_then(|job| job.run.take());
        for piece in run.iter().flat_map(|run| &run.pieces) {
            self.used[piece.worker] &= !piece.mask;
        }
        self.checker.record_release(id);
    }

    /// Adds `kept` of a job's present run to its progress and counts the rest
    /// as lost. A job without checkpoints loses all of its progress.
    fn settle_progress(&mut self, id: &job::Id, kept: Duration) {
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
                self.execute(command);
            }
            // A stop on lost workers frees its accelerators at once, which the
            // policy has to see in the same instant.
            self.run_scheduled(&mut events);
        }
        self.checker.check(self.now);
    }

    fn execute(&mut self, command: Command) {
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
        self.checker.record_start(&id, &pieces);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let waited = now.duration_since(job.submitted).unwrap_or_default();
        if job.first_start.is_none() {
            job.first_start = Some(now);
            let waited = waited.as_millis() as u64;
            if job.submit.accelerators >= LARGE_JOB_ACCELERATORS {
                self.large_waits.push(waited);
            }
            if job.submit.urgent {
                self.urgent_waits.push(waited);
            }
        }
        let actual = Duration::from_millis(job.submit.actual_ms);
        let left = actual.saturating_sub(job.progress);
        let bad = pieces.iter().find(|piece| self.bad[piece.worker]);
        let scheduled = match bad {
            Some(piece) if BAD_WORKER_TASK_TIME < left => {
                let worker = self.site.workers()[piece.worker].id.clone();
                let fails = Scheduled::TaskFails(id.clone(), attempt, worker);
                (now + BAD_WORKER_TASK_TIME, fails)
            }
            _ => (now + left, Scheduled::TaskEnds(id.clone(), attempt)),
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
        self.schedule(scheduled.0, scheduled.1);
    }

    fn stop(&mut self, id: &job::Id, attempt: job::Attempt, reason: Reason) {
        if !self.is_running(id, attempt) {
            return;
        }
        if matches!(reason, Reason::Reclaim | Reason::Compact) {
            self.report.reclaims += 1;
        }
        let kept = self.kept(id, reason);
        self.settle_progress(id, kept);
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
        let stopped = Scheduled::JobStopped(id.clone(), attempt);
        self.schedule(self.now + takes, stopped);
    }

    /// Returns how much of its present run a stopped job keeps: nothing
    /// without checkpoints, the part up to the last checkpoint if the gang
    /// broke, and otherwise all of it, because the stop writes a final
    /// checkpoint.
    fn kept(&self, id: &job::Id, reason: Reason) -> Duration {
        let Some(job) = self.jobs.get(id) else {
            return Duration::ZERO;
        };
        let ran = job
            .run
            .as_ref()
            .and_then(|run| self.now.duration_since(run.started).ok())
            .unwrap_or_default();
        let every = CHECKPOINT_INTERVAL.as_millis() as u64;
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
        self.checker.record_end(id);
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

    fn schedule(&mut self, due: SystemTime, scheduled: Scheduled) {
        self.sequence += 1;
        self.scheduled
            .push(Reverse((due, self.sequence, scheduled)));
    }

    fn schedule_tick(&mut self) {
        let wanted = self.policy.next_deadline(self.now);
        if let (Some(due), None) = (wanted, self.tick_at) {
            self.tick_at = Some(due);
            self.schedule(due, Scheduled::Tick);
        }
    }

    /// Moves the clock to `next` and adds up the time that has passed.
    fn advance(&mut self, next: SystemTime) {
        let held = next.duration_since(self.now).unwrap_or_default();
        let fragmentation = self.fragmentation_now();
        self.fragmentation.push(fragmentation, held);
        let workers = 0..self.used.len();
        let in_use: u32 = self.used.iter().map(|m| m.count_ones()).sum();
        let healthy = workers.filter(|&w| self.is_healthy(w)).count();
        let healthy = healthy as f64 * f64::from(self.site.accelerators());
        self.used_accelerator_seconds +=
            f64::from(in_use) * held.as_secs_f64();
        self.healthy_accelerator_seconds += healthy * held.as_secs_f64();
        self.sample(fragmentation);
        self.now = next;
    }

    fn fragmentation_now(&self) -> f64 {
        let whole = self.site.accelerators();
        let frees = (0..self.used.len())
            .filter(|&w| self.is_healthy(w))
            .map(|w| whole - self.used[w].count_ones());
        let (mut free, mut in_whole_workers) = (0, 0);
        for room in frees {
            free += room;
            in_whole_workers += if room == whole { room } else { 0 };
        }
        match free {
            0 => 0.0,
            free => f64::from(free - in_whole_workers) / f64::from(free),
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
        let percentile = report::percentile::<u64>;
        let report = Report {
            unfinished: self.jobs.len() as u64,
            completion_ms: report::Completion {
                mean: self.completions.iter().sum::<u64>() / done,
                p50: percentile(&self.completions, 50),
                p95: percentile(&self.completions, 95),
                p99: percentile(&self.completions, 99),
            },
            slowdown: report::Slowdown {
                mean: report::rounded(
                    self.slowdowns.iter().sum::<f64>() / done as f64,
                ),
                p99: report::rounded(report::percentile(&self.slowdowns, 99)),
            },
            wait_large_ms: report::Wait {
                p50: percentile(&self.large_waits, 50),
                p99: percentile(&self.large_waits, 99),
            },
            urgent_start_ms: report::Start {
                p99: percentile(&self.urgent_waits, 99),
            },
            fragmentation: report::Fragmentation {
                mean: report::rounded(self.fragmentation.mean()),
                p95: report::rounded(self.fragmentation.quantile(0.95)),
            },
            utilisation: report::rounded(
                match self.healthy_accelerator_seconds > 0.0 {
                    true => {
                        self.used_accelerator_seconds
                            / self.healthy_accelerator_seconds
                    }
                    false => 0.0,
                },
            ),
            guarantee_violations: counts.guarantee_violations,
            partial_gangs: counts.partial_gangs,
            repeated_starts: counts.repeated_starts,
            decision_us: timing.then(|| report::Decision {
                p50: percentile(&self.decisions, 50),
                p99: percentile(&self.decisions, 99),
            }),
            ..self.report
        };
        Outcomes {
            report,
            samples: self.samples.unwrap_or_default(),
        }
    }
}

fn trace_time(at_ms: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(at_ms)
}
