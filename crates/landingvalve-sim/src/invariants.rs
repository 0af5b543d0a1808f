//! Records what callers and workers observe and checks the invariants on it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use landingvalve::cell::Stage;
use landingvalve::graph::Job;
use landingvalve::graph::JobId;
use landingvalve::graph::Outcome;
use landingvalve::graph::Run;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Task;
use tokio::time::Instant;

use crate::gang::AloneCounts;
use crate::gang::Gangs;
use crate::lock;

/// Time after the acknowledgment of a cancel during which a task may still
/// start.
const CANCEL_GRACE: Duration = Duration::from_millis(3000);
/// Number of workers that crash under a task before the users' bound limits
/// its starts.
const CRASH_LIMIT: u32 = 3;
/// Number of starts of a task after [`CRASH_LIMIT`] that violates the bound.
const START_LIMIT: u32 = 3;

/// Identifies a run of a task.
pub type Key = (Task, Run);

/// Time at which an order is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// On arrival.
    Now,
    /// Up to seconds after its arrival, without an answer.
    Late,
    /// Late, and by a later birth than the one that the order was sent to. The
    /// agent cannot bar in a birth that it does not know yet what it barred in
    /// the previous one. Such a run is therefore no violation and is not
    /// counted.
    LaterBirth,
}

/// A start that breaks the bound of attempts once enough of the failures
/// before it are noted.
struct LateStart {
    key: Key,
    failed: BTreeSet<Run>,
    max_attempts: u32,
}

#[derive(Default)]
struct Data {
    /// Time origin of the timeline.
    started: Option<Instant>,
    jobs: BTreeMap<JobId, Job>,
    accepted: BTreeSet<JobId>,
    cancelled: BTreeMap<JobId, Instant>,
    /// Lives on which each task runs now.
    running: BTreeMap<Task, Vec<String>>,
    ended: BTreeSet<Task>,
    acknowledged: BTreeSet<Task>,
    /// Tasks whose end as done an answer has listed.
    listed: BTreeSet<Task>,
    /// Number of starts of tasks that were in `listed` already.
    repeated_starts: u64,
    /// Failed runs of each task.
    failed: BTreeMap<Task, BTreeSet<Run>>,
    /// Failed runs of each task whose ends an agent has acknowledged, no lease
    /// having lapsed in between.
    noted_failures: BTreeMap<Task, BTreeSet<Run>>,
    /// Starts with as many failures behind them as a job may have, noted or
    /// not. Those that are noted later count as well.
    late_starts: Vec<LateStart>,
    /// Workers that went down under each task, and its starts since
    /// [`CRASH_LIMIT`] of them.
    crashes: BTreeMap<Task, (u32, u32)>,
    /// Runs that began as [`When::LaterBirth`] and are not counted, each with
    /// its life.
    uncounted: BTreeSet<(Key, String)>,
    /// Outcomes that callers have been shown.
    reported: BTreeMap<JobId, Outcome>,
    gangs: Gangs,
    starts: u64,
    violations: Vec<String>,
    timeline: Vec<String>,
}

/// The invariants of a day and the observations that they are checked on.
#[derive(Clone, Default)]
pub struct Checker(Arc<Mutex<Data>>);

impl Checker {
    /// Sets the time origin of the timeline to now.
    pub fn start_clock(&self) {
        lock(&self.0).started = Some(Instant::now());
    }

    /// Adds a line to the timeline.
    pub fn record(&self, line: String) {
        lock(&self.0).record(line);
    }

    /// Records that a caller submits a job.
    pub fn record_submission(&self, job: &Job) {
        let mut data = lock(&self.0);
        data.jobs.insert(job.id.clone(), job.clone());
    }

    /// Records that a job was accepted.
    pub fn record_acceptance(&self, id: &JobId) {
        let mut data = lock(&self.0);
        data.record(format!("{id} is accepted"));
        data.accepted.insert(id.clone());
    }

    /// Records that a cancel was acknowledged, either of a known job or with
    /// the answer that there is no such job. Nothing of the job may start after
    /// either one.
    pub fn record_cancellation(&self, id: &JobId, found: bool) {
        let mut data = lock(&self.0);
        data.record(format!("{id} is cancelled, found: {found}"));
        data.cancelled.entry(id.clone()).or_insert(Instant::now());
    }

    /// Records that a caller sends a cancel, whether or not it is answered.
    pub fn record_cancel_sent(&self, id: &JobId) {
        lock(&self.0).gangs.record_cancel_sent(id, Instant::now());
    }

    /// Records that a fault begins.
    pub fn begin_fault(&self) {
        lock(&self.0).gangs.begin_fault(Instant::now());
    }

    /// Records that a fault is over.
    pub fn end_fault(&self) {
        lock(&self.0).gangs.end_fault(Instant::now());
    }

    /// Records the stage of a job that its caller was shown, `None` if the job
    /// was unknown, and checks that it fits the stages shown before.
    pub fn record_stage(&self, id: &JobId, stage: Option<Stage>) {
        let mut data = lock(&self.0);
        let Some(stage) = stage else {
            data.record_violation(format!(
                "LOST: {id} is accepted and not known"
            ));
            return;
        };
        let Stage::Ended(outcome) = stage else {
            if let Some(shown) = data.reported.get(id) {
                let line = format!("MIXED: {id} was {shown:?}, is {stage:?}");
                data.record_violation(line);
            }
            return;
        };
        let before = data.reported.insert(id.clone(), outcome);
        if before.is_some_and(|before| before != outcome) {
            data.record_violation(format!(
                "MIXED: {id} was {before:?}, is {outcome:?}"
            ));
        }
        if before.is_none() {
            data.record(format!("{id} is shown as {outcome:?}"));
            data.check_outcome(id, outcome);
        }
    }

    /// Records that a worker begins a run, and checks that it may.
    pub fn record_start(&self, key: &Key, life: &str, when: When) {
        let mut data = lock(&self.0);
        let (task, run) = key;
        data.record(format!("{task} run {run} begins on {life}: {when:?}"));
        data.gangs.record_start(key, when, Instant::now());
        if when == When::LaterBirth {
            data.uncounted.insert((key.clone(), life.to_owned()));
            return;
        }
        data.starts += 1;
        data.repeated_starts += u64::from(data.listed.contains(task));
        data.check_start(key, when);
        let lives = data.running.entry(task.clone()).or_default();
        lives.push(life.to_owned());
    }

    /// Records that a run ends; `outcome` is `None` if the run is lost with its
    /// worker.
    pub fn record_end(
        &self,
        key: &Key,
        life: &str,
        outcome: Option<RunOutcome>,
    ) {
        let mut data = lock(&self.0);
        let (task, run) = key;
        data.record(format!("{task} run {run} ends on {life}: {outcome:?}"));
        let uncounted = (key.clone(), life.to_owned());
        if data.uncounted.remove(&uncounted) && outcome.is_none() {
            return;
        }
        if let Some(lives) = data.running.get_mut(task) {
            lives.retain(|other| other != life);
        }
        match outcome {
            Some(RunOutcome::Done) => {
                data.ended.insert(task.clone());
            }
            Some(RunOutcome::Failed) => {
                let runs = data.failed.entry(task.clone()).or_default();
                runs.insert(*run);
            }
            Some(RunOutcome::Alone) => data.check_alone(key),
            Some(_) => {}
            None => {
                data.crashes.entry(task.clone()).or_default().0 += 1;
            }
        }
    }

    /// Records that an answer lists the end of a run.
    pub fn record_listing(&self, key: &Key, life: &str, outcome: RunOutcome) {
        let mut data = lock(&self.0);
        let (task, run) = key;
        data.record(format!(
            "{task} run {run} is listed by {life}: {outcome:?}"
        ));
        if outcome == RunOutcome::Done {
            data.listed.insert(task.clone());
        }
    }

    /// Records that a worker went down before any answer listed the end of a
    /// run. The users' rules count only ends that are acknowledged, which this
    /// one can never be.
    pub fn record_unlisted_end(&self, key: &Key, life: &str) {
        let mut data = lock(&self.0);
        let (task, run) = key;
        data.record(format!("{task} run {run} ended unseen on {life}"));
        if let Some(runs) = data.failed.get_mut(task) {
            runs.remove(run);
        }
    }

    /// Records that an agent acknowledged the end of a run.
    pub fn record_acknowledgment(&self, key: &Key, outcome: RunOutcome) {
        let mut data = lock(&self.0);
        let (task, run) = key;
        match outcome {
            RunOutcome::Done => {
                data.record(format!("{task} is noted as done"));
                data.acknowledged.insert(task.clone());
            }
            RunOutcome::Failed => {
                data.record(format!("{task} run {run} is noted as failed"));
                let runs =
                    data.noted_failures.entry(task.clone()).or_default();
                runs.insert(*run);
                data.check_attempts(task);
            }
            _ => {}
        }
    }

    /// Records a violation; the line begins with its kind in capitals.
    pub fn record_violation(&self, line: String) {
        lock(&self.0).record_violation(line);
    }

    /// Returns whether a run on a life is not counted.
    pub fn is_uncounted(&self, key: &Key, life: &str) -> bool {
        let uncounted = (key.clone(), life.to_owned());
        lock(&self.0).uncounted.contains(&uncounted)
    }

    /// Returns the accepted jobs that no caller has been shown as ended.
    pub fn unfinished_jobs(&self) -> Vec<JobId> {
        let data = lock(&self.0);
        let is_unfinished = |id: &&JobId| !data.reported.contains_key(*id);
        data.accepted
            .iter()
            .filter(is_unfinished)
            .cloned()
            .collect()
    }

    /// Returns the violations, the number of starts and the number of accepted
    /// jobs.
    pub fn results(&self) -> (Vec<String>, u64, usize) {
        let data = lock(&self.0);
        (data.violations.clone(), data.starts, data.accepted.len())
    }

    /// Returns the number of starts of tasks whose end as done an answer had
    /// listed before.
    pub fn repeated_starts(&self) -> u64 {
        lock(&self.0).repeated_starts
    }

    /// Returns the numbers of ends `alone`.
    pub fn alone_counts(&self) -> AloneCounts {
        lock(&self.0).gangs.counts()
    }

    /// Returns the timeline: one line per event, in order, each after its time
    /// in ms.
    pub fn timeline(&self) -> Vec<String> {
        lock(&self.0).timeline.clone()
    }
}

impl Data {
    fn record(&mut self, line: String) {
        let elapsed_ms = self
            .started
            .map_or(0, |started| started.elapsed().as_millis());
        self.timeline.push(format!("{elapsed_ms:>7} {line}"));
    }

    fn record_violation(&mut self, line: String) {
        self.record(format!("BROKEN {line}"));
        self.violations.push(line);
    }

    /// Checks that a run may end alone.
    fn check_alone(&mut self, key: &Key) {
        let (task, run) = key;
        match self.gangs.record_alone(key, Instant::now()) {
            Some(excuse) => {
                self.record(format!(
                    "{task} run {run} is excused: {excuse:?}"
                ));
            }
            None => {
                let line = format!("GANG: {task} run {run} ends alone");
                self.record_violation(line);
            }
        }
    }

    fn check_start(&mut self, (task, run): &Key, when: When) {
        let now = Instant::now();
        let Some(job) = self.jobs.get(&task.job).cloned() else {
            return self
                .record_violation(format!("UNASKED: {task} of no job"));
        };
        if self
            .running
            .get(task)
            .is_some_and(|lives| !lives.is_empty())
        {
            self.record_violation(format!(
                "TWICE: {task} run {run} runs already"
            ));
        }
        if self.acknowledged.contains(task) {
            self.record_violation(format!(
                "TWICE: {task} run {run} begins when done"
            ));
        }
        for step in &job.steps[task.step].after {
            let belongs =
                |done: &&Task| done.job == job.id && done.step == *step;
            let done = self.ended.iter().filter(belongs).count() as u32;
            let gang_done = job.steps[*step].gang && done > 0;
            if !gang_done && done < job.steps[*step].replicas {
                self.record_violation(format!(
                    "ORDER: {task} before step {step}"
                ));
            }
        }
        let cancelled = self.cancelled.get(&task.job);
        let late = when != When::Now;
        if cancelled.is_some_and(|at| !late && now > *at + CANCEL_GRACE) {
            self.record_violation(format!("UNASKED: {task} was cancelled"));
        }
        let mut failed = self.failed.get(task).cloned().unwrap_or_default();
        failed.remove(run);
        if failed.len() as u32 >= job.max_attempts {
            self.late_starts.push(LateStart {
                key: (task.clone(), *run),
                failed,
                max_attempts: job.max_attempts,
            });
            self.check_attempts(task);
        }
        let (crashes, starts) = self.crashes.entry(task.clone()).or_default();
        *starts += u32::from(*crashes >= CRASH_LIMIT);
        if *starts >= START_LIMIT {
            self.record_violation(format!(
                "BUDGET: {task} begins though it crashes"
            ));
        }
    }

    /// Checks that no run of a task began after as many failures as its job
    /// may have. The users' rules count those whose ends are noted before the
    /// start or afterwards.
    fn check_attempts(&mut self, task: &Task) {
        let noted = self.noted_failures.get(task).cloned().unwrap_or_default();
        let starts = std::mem::take(&mut self.late_starts);
        let is_broken = |start: &LateStart| {
            let counted = start.failed.intersection(&noted).count();
            start.key.0 == *task && counted as u32 >= start.max_attempts
        };
        let (broken, open): (Vec<LateStart>, Vec<LateStart>) =
            starts.into_iter().partition(is_broken);
        self.late_starts = open;
        for LateStart { key, failed, .. } in broken {
            let (task, run) = key;
            let count = failed.len();
            self.record_violation(format!(
                "BUDGET: {task} has failed {count} times before run {run}"
            ));
        }
    }

    fn check_outcome(&mut self, id: &JobId, outcome: Outcome) {
        let Some(job) = self.jobs.get(id).cloned() else {
            return;
        };
        let belongs = |task: &Task| task.job == *id;
        match outcome {
            Outcome::Succeeded => {
                for (at, step) in job.steps.iter().enumerate() {
                    let done = self.ended.iter();
                    let done =
                        done.filter(|t| belongs(t) && t.step == at).count();
                    let gang_done = step.gang && done > 0;
                    if !gang_done && done < step.replicas as usize {
                        let line = format!("MIXED: {id} step {at}: {done}");
                        self.record_violation(line);
                    }
                }
            }
            Outcome::Failed => {
                let mut failed = self.failed.iter();
                let failed = failed.any(|(t, runs)| {
                    belongs(t) && runs.len() as u32 >= job.max_attempts
                });
                // A failure of any member is a failure of the whole gang.
                let all = self.failed.iter().filter(|(t, _)| belongs(t));
                let runs: BTreeSet<Run> =
                    all.flat_map(|(_, runs)| runs.iter().copied()).collect();
                let gang = job.steps.iter().any(|step| step.gang)
                    && runs.len() as u32 >= job.max_attempts;
                let mut crashed = self.crashes.iter();
                let crashed = crashed.any(|(t, (n, _))| belongs(t) && *n >= 2);
                if !failed && !gang && !crashed {
                    self.record_violation(format!(
                        "LOST: {id} failed without cause"
                    ));
                }
            }
            Outcome::Cancelled => {
                // A cancel that was not answered may have been carried out
                // too.
            }
        }
    }
}
