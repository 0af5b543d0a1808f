//! What callers and workers see, and the promises that it may not break.

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

use crate::lock;

/// How long after a cancel was acknowledged a task may still start.
const CANCEL: Duration = Duration::from_millis(3000);
/// The users' bound on workers that crash under a task, and on its starts
/// after that.
const CRASHES: u32 = 3;
const MORE: u32 = 3;

/// A run of a task.
pub type Key = (Task, Run);

/// When an order is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// As it comes.
    Now,
    /// Seconds later, without an answer.
    Late,
    /// Later still, by a birth that it was not sent to. What was barred in
    /// the birth before cannot be barred in this one before its agent knows
    /// of it, so that such a run is nobody's fault; it is not counted.
    LaterBirth,
}

#[derive(Default)]
struct Data {
    began: Option<Instant>,
    jobs: BTreeMap<JobId, Job>,
    accepted: BTreeSet<JobId>,
    cancelled: BTreeMap<JobId, Instant>,
    /// Where each task runs now.
    running: BTreeMap<Task, Vec<String>>,
    ended: BTreeSet<Task>,
    noted: BTreeSet<Task>,
    /// The tasks whose end as done an answer has listed.
    listed: BTreeSet<Task>,
    /// How many starts began such a task again.
    again: u64,
    failed: BTreeMap<Task, BTreeSet<Run>>,
    crashes: BTreeMap<Task, (u32, u32)>,
    /// Runs that are not counted, and where.
    uncounted: BTreeSet<(Key, String)>,
    shown: BTreeMap<JobId, Outcome>,
    starts: u64,
    broken: Vec<String>,
    lines: Vec<String>,
}

/// What is promised, and what was seen.
#[derive(Clone, Default)]
pub struct Promise(Arc<Mutex<Data>>);

impl Promise {
    /// Counts time from now on.
    pub fn begin(&self) {
        lock(&self.0).began = Some(Instant::now());
    }

    /// Adds a line to the day's timeline.
    pub fn tell(&self, line: String) {
        lock(&self.0).tell(line);
    }

    /// Takes in that a caller hands a job in.
    pub fn submits(&self, job: &Job) {
        let mut data = lock(&self.0);
        data.jobs.insert(job.id.clone(), job.clone());
    }

    /// Takes in that a job was accepted.
    pub fn accepts(&self, id: &JobId) {
        let mut data = lock(&self.0);
        data.tell(format!("{id} is accepted"));
        data.accepted.insert(id.clone());
    }

    /// Takes in that a cancel was acknowledged.
    pub fn cancels(&self, id: &JobId) {
        let mut data = lock(&self.0);
        data.tell(format!("{id} is cancelled"));
        data.cancelled.entry(id.clone()).or_insert(Instant::now());
    }

    /// Takes in how a job stands, as its caller is told.
    pub fn shows(&self, id: &JobId, stage: Option<Stage>) {
        let mut data = lock(&self.0);
        let Some(stage) = stage else {
            data.breaks(format!("LOST: {id} is accepted and not known"));
            return;
        };
        let Stage::Ended(outcome) = stage else {
            if let Some(shown) = data.shown.get(id) {
                let line = format!("MIXED: {id} was {shown:?}, is {stage:?}");
                data.breaks(line);
            }
            return;
        };
        let before = data.shown.insert(id.clone(), outcome);
        if before.is_some_and(|before| before != outcome) {
            data.breaks(format!("MIXED: {id} was {before:?}, is {outcome:?}"));
        }
        if before.is_none() {
            data.tell(format!("{id} is shown as {outcome:?}"));
            data.check_outcome(id, outcome);
        }
    }

    /// Takes in that a worker begins a run.
    pub fn starts(&self, key: &Key, life: &str, when: When) {
        let mut data = lock(&self.0);
        let (task, run) = key;
        data.tell(format!("{task} run {run} begins on {life}: {when:?}"));
        if when == When::LaterBirth {
            data.uncounted.insert((key.clone(), life.to_owned()));
            return;
        }
        data.starts += 1;
        data.again += u64::from(data.listed.contains(task));
        data.check_start(key, when);
        let lives = data.running.entry(task.clone()).or_default();
        lives.push(life.to_owned());
    }

    /// Takes in that a run ends.
    pub fn ends(&self, key: &Key, life: &str, how: Option<RunOutcome>) {
        let mut data = lock(&self.0);
        let (task, run) = key;
        data.tell(format!("{task} run {run} ends on {life}: {how:?}"));
        let uncounted = (key.clone(), life.to_owned());
        if data.uncounted.remove(&uncounted) && how.is_none() {
            return;
        }
        if let Some(lives) = data.running.get_mut(task) {
            lives.retain(|other| other != life);
        }
        match how {
            Some(RunOutcome::Done) => {
                data.ended.insert(task.clone());
            }
            Some(RunOutcome::Failed) => {
                let runs = data.failed.entry(task.clone()).or_default();
                runs.insert(*run);
            }
            Some(_) => {}
            None => {
                data.crashes.entry(task.clone()).or_default().0 += 1;
            }
        }
    }

    /// Takes in that an answer lists the end of a run.
    pub fn lists(&self, key: &Key, life: &str, how: RunOutcome) {
        let mut data = lock(&self.0);
        let (task, run) = key;
        data.tell(format!("{task} run {run} is listed by {life}: {how:?}"));
        if how == RunOutcome::Done {
            data.listed.insert(task.clone());
        }
    }

    /// Takes in that a worker has gone down before any answer listed the end
    /// of a run: the users' rules count an end that is taken note of, and
    /// this one never can be.
    pub fn hides(&self, key: &Key, life: &str) {
        let mut data = lock(&self.0);
        let (task, run) = key;
        data.tell(format!("{task} run {run} ended unseen on {life}"));
        if let Some(runs) = data.failed.get_mut(task) {
            runs.remove(run);
        }
    }

    /// Takes in that the end of a run as done was acknowledged.
    pub fn notes(&self, task: &Task) {
        let mut data = lock(&self.0);
        data.tell(format!("{task} is noted as done"));
        data.noted.insert(task.clone());
    }

    /// Takes in that something is not as promised.
    pub fn breaks(&self, line: String) {
        lock(&self.0).breaks(line);
    }

    /// Returns whether a run is not counted on a life.
    pub fn is_uncounted(&self, key: &Key, life: &str) -> bool {
        let uncounted = (key.clone(), life.to_owned());
        lock(&self.0).uncounted.contains(&uncounted)
    }

    /// Returns the accepted jobs that are not shown as ended.
    pub fn open(&self) -> Vec<JobId> {
        let data = lock(&self.0);
        let open = |id: &&JobId| !data.shown.contains_key(*id);
        data.accepted.iter().filter(open).cloned().collect()
    }

    /// Returns what is broken, how many tasks began and how many jobs were
    /// accepted.
    pub fn seen(&self) -> (Vec<String>, u64, usize) {
        let data = lock(&self.0);
        (data.broken.clone(), data.starts, data.accepted.len())
    }

    /// Returns how many starts began a task again whose end as done an
    /// answer had listed.
    pub fn again(&self) -> u64 {
        lock(&self.0).again
    }

    /// Returns the day's timeline.
    pub fn timeline(&self) -> Vec<String> {
        lock(&self.0).lines.clone()
    }
}

impl Data {
    fn tell(&mut self, line: String) {
        let at = self.began.map_or(0, |began| began.elapsed().as_millis());
        self.lines.push(format!("{at:>7} {line}"));
    }

    fn breaks(&mut self, line: String) {
        self.tell(format!("BROKEN {line}"));
        self.broken.push(line);
    }

    fn check_start(&mut self, (task, run): &Key, when: When) {
        let now = Instant::now();
        let Some(job) = self.jobs.get(&task.job).cloned() else {
            return self.breaks(format!("UNASKED: {task} of no job"));
        };
        if self.running.get(task).is_some_and(|on| !on.is_empty()) {
            self.breaks(format!("TWICE: {task} run {run} runs already"));
        }
        if self.noted.contains(task) {
            self.breaks(format!("TWICE: {task} run {run} begins when done"));
        }
        for step in &job.steps[task.step].after {
            let of = |done: &&Task| done.job == job.id && done.step == *step;
            let done = self.ended.iter().filter(of).count() as u32;
            let whole = job.steps[*step].gang && done > 0;
            if !whole && done < job.steps[*step].replicas {
                self.breaks(format!("ORDER: {task} before step {step}"));
            }
        }
        let cancelled = self.cancelled.get(&task.job);
        let late = when != When::Now;
        if cancelled.is_some_and(|at| !late && now > *at + CANCEL) {
            self.breaks(format!("UNASKED: {task} was cancelled"));
        }
        let failed = self.failed.get(task);
        let others = failed.map_or(0, |runs| {
            runs.iter().filter(|failed| *failed != run).count()
        });
        if others as u32 >= job.max_attempts {
            self.breaks(format!("BUDGET: {task} has failed {others} times"));
        }
        let (crashes, more) = self.crashes.entry(task.clone()).or_default();
        *more += u32::from(*crashes >= CRASHES);
        if *more >= MORE {
            self.breaks(format!("BUDGET: {task} begins though it crashes"));
        }
    }

    fn check_outcome(&mut self, id: &JobId, outcome: Outcome) {
        let Some(job) = self.jobs.get(id).cloned() else {
            return;
        };
        let of = |task: &Task| task.job == *id;
        match outcome {
            Outcome::Succeeded => {
                for (at, step) in job.steps.iter().enumerate() {
                    let done = self.ended.iter();
                    let done = done.filter(|t| of(t) && t.step == at).count();
                    let whole = step.gang && done > 0;
                    if !whole && done < step.replicas as usize {
                        let line = format!("MIXED: {id} step {at}: {done}");
                        self.breaks(line);
                    }
                }
            }
            Outcome::Failed => {
                let mut failed = self.failed.iter();
                let failed = failed.any(|(t, runs)| {
                    of(t) && runs.len() as u32 >= job.max_attempts
                });
                // A gang fails as a whole, by whichever member.
                let all = self.failed.iter().filter(|(t, _)| of(t));
                let runs: BTreeSet<Run> =
                    all.flat_map(|(_, runs)| runs.iter().copied()).collect();
                let gang = job.steps.iter().any(|step| step.gang)
                    && runs.len() as u32 >= job.max_attempts;
                let mut crashed = self.crashes.iter();
                let crashed = crashed.any(|(t, (n, _))| of(t) && *n >= 2);
                if !failed && !gang && !crashed {
                    self.breaks(format!("LOST: {id} failed without cause"));
                }
            }
            Outcome::Cancelled => {
                // An unanswered cancel may have been taken as well.
            }
        }
    }
}
