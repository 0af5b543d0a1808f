//! The log lines of one job, and the outcome and cause derived from them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use crate::explain::cause;
use crate::explain::cause::Cause;
use crate::explain::holder;
use crate::explain::holder::Holder;
use crate::explain::line::Line;

/// The factor over the expected run time beyond which a run counts as slow.
const SLOW_RUN_FACTOR: f64 = 1.25;

/// The outcome of a job for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The job succeeded within its objective.
    InTime,
    /// The job succeeded after its objective.
    Late,
    /// The job failed.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
    /// The job was never accepted.
    Refused,
    /// The logs hold no end of the job.
    Open,
}

/// The outcome of a job and its main cause.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Verdict {
    /// How the job ended.
    pub end: Outcome,
    /// The cause that cost the job the most time.
    pub cause: Cause,
    /// The time that the cause cost, in milliseconds.
    pub cost_ms: u64,
    /// The time from the caller's first request to the end, or to the last
    /// line if there is no end, in milliseconds.
    pub took_ms: u64,
    /// The time within which the job was to end, in milliseconds; 0 if the
    /// logs do not hold it.
    pub objective_ms: u64,
    /// The jobs that held the room for which the job waited, if that is the
    /// cause and the log names them.
    pub holders: Vec<Holder>,
}

impl Verdict {
    /// Returns the cause as text, with the job that held most of the room
    /// if the log names it.
    pub fn reason(&self) -> String {
        match (self.cause, self.holders.first()) {
            (Cause::Room, Some(holder)) => holder.to_string(),
            (cause, Some(holder)) => format!("{cause}; {holder}"),
            (cause, None) => cause.to_string(),
        }
    }
}

/// The log lines of one job.
#[derive(Clone, Debug, Default)]
pub struct History {
    lines: Vec<Line>,
}

impl History {
    pub(super) fn push(&mut self, line: Line) {
        self.lines.push(line);
    }

    /// Returns the lines in the order of their times.
    pub fn lines(&self) -> Vec<&Line> {
        let mut lines: Vec<&Line> = self.lines.iter().collect();
        lines.sort_by_key(|line| line.written_at);
        lines
    }

    /// Returns the time of the first request, or `None` without lines.
    ///
    /// A line about a request is written when the request ends and holds its
    /// duration, which is subtracted here.
    pub fn began(&self) -> Option<SystemTime> {
        let request_time = |line: &Line| {
            let took = line.duration("ms").unwrap_or_default();
            line.written_at.checked_sub(took).unwrap_or(line.written_at)
        };
        self.lines.iter().map(request_time).min()
    }

    /// Returns the outcome of the job and its main cause.
    pub fn verdict(&self) -> Verdict {
        let lines = self.lines();
        let began = self.began().unwrap_or(SystemTime::UNIX_EPOCH);
        let end_line = lines
            .iter()
            .find(|line| line.message.ends_with(JOB_ENDED_SUFFIX));
        let ended = end_line
            .or(lines.last())
            .map_or(began, |line| line.written_at);
        let took = ended.duration_since(began).unwrap_or_default();
        let objective =
            end_line.and_then(|line| line.duration("objective_ms"));
        let objective = objective.unwrap_or_default();
        let accepted = lines
            .iter()
            .any(|line| line.text("outcome") == Some("Accepted"));
        let end = match end_line.and_then(|line| line.text("outcome")) {
            Some("Succeeded") if took <= objective => Outcome::InTime,
            Some("Succeeded") => Outcome::Late,
            Some("Failed") => Outcome::Failed,
            Some(_) => Outcome::Cancelled,
            None if accepted || admission(&lines).is_some() => Outcome::Open,
            None => Outcome::Refused,
        };
        let Costs { costs, waits } = costs(&lines, began);
        let costliest = costs.iter().max_by_key(|(_, cost)| **cost);
        // A cause that explains less than a quarter of the delay is not the
        // reason for it.
        let delay = took.saturating_sub(objective);
        let (cause, cost) = match costliest {
            _ if end == Outcome::Refused => (refusal(&lines), took),
            // Other causes delayed the job but did not make it fail.
            _ if end == Outcome::Failed => (Cause::Failed, took),
            Some((_, cost)) if end == Outcome::Late && *cost < delay / 4 => {
                (Cause::Work, delay)
            }
            Some((cause, cost)) => (*cause, *cost),
            None => (Cause::Work, took),
        };
        Verdict {
            end,
            cause,
            cost_ms: cost.as_millis() as u64,
            took_ms: took.as_millis() as u64,
            objective_ms: objective.as_millis() as u64,
            holders: holders_of(cause, waits),
        }
    }
}

/// The message about a unit that finds no place.
const UNIT_WAITS: &str = "planner: a unit waits";
/// The end of the message about the end of a job.
const JOB_ENDED_SUFFIX: &str = "a job has ended";

/// Returns the cause of a refused request: the status of its last answer.
fn refusal(lines: &[&Line]) -> Cause {
    let statuses = lines.iter().rev();
    let mut statuses = statuses.filter_map(|line| line.number("status"));
    statuses.next().map_or(Cause::Store, cause::for_status)
}

/// Returns the line about the admission of the job by a planner.
fn admission<'a>(lines: &[&'a Line]) -> Option<&'a Line> {
    let mut lines = lines.iter();
    lines.find(|l| l.message.ends_with("is taken in")).copied()
}

/// A wait of a unit.
struct Wait {
    cause: Cause,
    since: SystemTime,
    holders: Vec<Holder>,
}

impl Wait {
    /// Returns the wait that a line begins.
    fn new(line: &Line) -> Wait {
        let on = line.text("on").unwrap_or_default();
        let holders = line.text("holders").unwrap_or_default();
        Wait {
            cause: cause::for_wait(on),
            since: line.written_at,
            holders: holder::parse(holders),
        }
    }
}

/// A wait that is over, with the jobs that held the room.
struct EndedWait {
    cause: Cause,
    took: Duration,
    holders: Vec<Holder>,
}

/// Returns the holders for which a job waited longest, if it waited for them
/// longer than for room whose holders are unknown.
fn holders_of(cause: Cause, waits: Vec<EndedWait>) -> Vec<Holder> {
    let mut totals: Vec<(Duration, Vec<Holder>)> = Vec::new();
    for wait in waits.into_iter().filter(|wait| wait.cause == cause) {
        let first = wait.holders.first().map(Holder::identity);
        let mut same = totals.iter_mut();
        let same = same.find(|(_, holders)| {
            holders.first().map(Holder::identity) == first
        });
        match same {
            Some((took, _)) => *took += wait.took,
            None => totals.push((wait.took, wait.holders)),
        }
    }
    let longest = totals.into_iter().max_by_key(|(took, _)| *took);
    longest.map(|(_, holders)| holders).unwrap_or_default()
}

/// The state of one unit while its lines are read.
#[derive(Default)]
struct Unit {
    /// The present wait.
    wait: Option<Wait>,
    /// The waits that are over.
    waits: Vec<EndedWait>,
    /// When the present run was placed.
    placed: Option<SystemTime>,
    /// The reason for the stop of the present run, if one was ordered.
    stop_reason: Option<String>,
    /// The expected duration of the present run.
    expected: Duration,
    /// The time that each cause has cost so far.
    costs: BTreeMap<Cause, Duration>,
    /// The time of the last line.
    last: Option<SystemTime>,
}

impl Unit {
    fn add(&mut self, cause: Cause, cost: Duration) {
        *self.costs.entry(cause).or_default() += cost;
    }

    /// Applies a line. `step` is the last wait of the unit's step that names
    /// holders.
    fn apply(&mut self, line: &Line, step: Option<&Wait>) {
        self.last = Some(line.written_at);
        match &*line.message {
            UNIT_WAITS => {
                self.end_wait(line.written_at);
                self.wait = Some(Wait::new(line));
            }
            "planner: room is kept" => {
                // Without stops the unit goes on waiting for the same jobs.
                let stops = line.number("stopped") != Some(0);
                let holders = match self.end_wait(line.written_at) {
                    Some(wait) if !stops => wait.holders,
                    _ => Vec::new(),
                };
                self.wait = Some(Wait {
                    cause: Cause::Room,
                    since: line.written_at,
                    holders,
                });
            }
            "planner: a unit is placed" => {
                let logged = self.end_wait(line.written_at).is_some();
                if let Some(step) = step.filter(|_| !logged) {
                    self.wait_like(step, line);
                }
                self.placed = Some(line.written_at);
                self.stop_reason = None;
                self.expected =
                    line.duration("expected_ms").unwrap_or_default();
            }
            "planner: a run is stopped" => {
                self.stop_reason = line.text("why").map(str::to_owned);
            }
            "planner: a run has ended" => self.end_run(line),
            _ => {}
        }
    }

    /// Ends the present wait, adds its time to its cause and returns it.
    fn end_wait(&mut self, time: SystemTime) -> Option<Wait> {
        let wait = self.wait.take()?;
        let took = time.duration_since(wait.since).unwrap_or_default();
        self.add(wait.cause, took);
        self.waits.push(EndedWait {
            cause: wait.cause,
            took,
            holders: wait.holders.clone(),
        });
        Some(wait)
    }

    /// Adds the time that a unit has waited for the room that another unit of
    /// its step was logged to wait for: only one unit of a step is logged.
    fn wait_like(&mut self, step: &Wait, placed: &Line) {
        let took = placed.duration("waited_ms").unwrap_or_default();
        self.add(step.cause, took);
        self.waits.push(EndedWait {
            cause: step.cause,
            took,
            holders: step.holders.clone(),
        });
    }

    /// Adds the cost of a run that has ended, unless it ended as expected.
    fn end_run(&mut self, line: &Line) {
        let ran = line.duration("ran_ms").unwrap_or_default();
        // A planner that adopted the run counts only from its takeover on.
        let since = self
            .placed
            .and_then(|p| line.written_at.duration_since(p).ok());
        let ran = ran.max(since.unwrap_or_default());
        let how = line.text("how").unwrap_or_default();
        // The members of a gang run in parallel. Only the first one counts.
        if line.number("member").unwrap_or_default() > 0 {
            return;
        }
        match how {
            "done" if ran > self.expected.mul_f64(SLOW_RUN_FACTOR) => {
                self.add(Cause::Slow, ran - self.expected);
            }
            "done" => {}
            how => {
                let cause =
                    cause::for_run_end(how, self.stop_reason.as_deref());
                self.add(cause, ran);
            }
        }
    }
}

/// The time that each cause cost a job, and the waits of the unit that ended
/// last.
struct Costs {
    costs: BTreeMap<Cause, Duration>,
    waits: Vec<EndedWait>,
}

/// Returns the part of a unit's key, `TIME.STEP` or `TIME.STEP.INDEX`, that
/// names its step.
fn step_of(unit: &str) -> &str {
    match unit.match_indices('.').nth(1) {
        Some((end, _)) => &unit[..end],
        None => unit,
    }
}

/// Returns the time that each cause cost the unit that ended last, the time
/// until the job was admitted, and the time until its end was recorded.
fn costs(lines: &[&Line], began: SystemTime) -> Costs {
    let mut units: BTreeMap<&str, Unit> = BTreeMap::new();
    let mut steps: BTreeMap<&str, Wait> = BTreeMap::new();
    for line in lines {
        let Some(unit) = line.text("unit") else {
            continue;
        };
        let step = step_of(unit);
        units.entry(unit).or_default().apply(line, steps.get(step));
        if line.message == UNIT_WAITS {
            let wait = Wait::new(line);
            if !wait.holders.is_empty() {
                steps.insert(step, wait);
            }
        }
    }
    let last_unit = units.into_values().max_by_key(|unit| unit.last);
    let last_unit = last_unit.unwrap_or_default();
    let mut costs = last_unit.costs;
    let accepted = lines
        .iter()
        .find(|line| line.text("outcome") == Some("Accepted"));
    let admitted = admission(lines).map(|line| line.written_at);
    let accepted = accepted.map(|line| line.written_at).or(admitted);
    let mut add = |cause, from: SystemTime, to: Option<SystemTime>| {
        let cost = to.and_then(|to| to.duration_since(from).ok());
        *costs.entry(cause).or_default() += cost.unwrap_or_default();
    };
    add(Cause::Store, began, accepted);
    if let Some(accepted) = accepted {
        add(Cause::Planner, accepted, admitted);
    }
    let end_line = lines
        .iter()
        .find(|line| line.message.ends_with(JOB_ENDED_SUFFIX));
    if let (Some(last), Some(end)) = (last_unit.last, end_line) {
        add(Cause::EndRecording, last, Some(end.written_at));
    }
    costs.retain(|_, cost| !cost.is_zero());
    Costs {
        costs,
        waits: last_unit.waits,
    }
}
