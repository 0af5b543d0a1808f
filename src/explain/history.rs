//! All that logs hold of one job, and what it comes to.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use crate::explain::cause;
use crate::explain::cause::Cause;
use crate::explain::line::Line;

/// How much longer than expected a run may take before that is a cause.
const SLOW: f64 = 1.25;

/// How a job ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Within its objective.
    InTime,
    /// Later than that.
    Late,
    /// With a failure.
    Failed,
    /// By its caller's will.
    Cancelled,
    /// It was never accepted.
    Refused,
    /// The logs do not say.
    Open,
}

/// What a story comes to.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Verdict {
    /// How it ended.
    pub end: Outcome,
    /// What cost it the most time.
    pub cause: Cause,
    /// How long that was, in ms.
    pub cost_ms: u64,
    /// From the caller's first request to the end, in ms.
    pub took_ms: u64,
    /// Within which it was to end, in ms, as far as its runs tell.
    pub objective_ms: u64,
}

/// The lines about one job.
#[derive(Clone, Debug, Default)]
pub struct History {
    lines: Vec<Line>,
}

impl History {
    pub(super) fn push(&mut self, line: Line) {
        self.lines.push(line);
    }

    /// Returns its lines in order.
    pub fn lines(&self) -> Vec<&Line> {
        let mut lines: Vec<&Line> = self.lines.iter().collect();
        lines.sort_by_key(|line| line.written_at);
        lines
    }

    /// Returns when the caller first asked.
    pub fn began(&self) -> Option<SystemTime> {
        let asked = |line: &Line| {
            let took = line.time("ms").unwrap_or_default();
            line.written_at.checked_sub(took).unwrap_or(line.written_at)
        };
        self.lines.iter().map(asked).min()
    }

    /// Returns what it comes to.
    pub fn verdict(&self) -> Verdict {
        let lines = self.lines();
        let began = self.began().unwrap_or(SystemTime::UNIX_EPOCH);
        let over = lines.iter().find(|line| line.message.ends_with(OVER));
        let ended =
            over.or(lines.last()).map_or(began, |line| line.written_at);
        let took = ended.duration_since(began).unwrap_or_default();
        let objective = over.and_then(|line| line.time("objective_ms"));
        let objective = objective.unwrap_or_default();
        let accepted = lines
            .iter()
            .any(|line| line.text("outcome") == Some("Accepted"));
        let end = match over.and_then(|line| line.text("outcome")) {
            Some("Succeeded") if took <= objective => Outcome::InTime,
            Some("Succeeded") => Outcome::Late,
            Some("Failed") => Outcome::Failed,
            Some(_) => Outcome::Cancelled,
            None if accepted || taken_in(&lines).is_some() => Outcome::Open,
            None => Outcome::Refused,
        };
        let costs = costs(&lines, began);
        let dearest = costs.iter().max_by_key(|(_, cost)| **cost);
        // What cost little of what it is late by is not why it is late.
        let late = took.saturating_sub(objective);
        let (cause, cost) = match dearest {
            _ if end == Outcome::Refused => (refusal(&lines), took),
            // What else its units went through did not end it.
            _ if end == Outcome::Failed => (Cause::Failed, took),
            Some((_, cost)) if end == Outcome::Late && *cost < late / 4 => {
                (Cause::Work, late)
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
        }
    }
}

/// The end of the line that says that a job has ended.
const OVER: &str = "a job has ended";

/// Returns why a request was refused: by the last answer to it.
fn refusal(lines: &[&Line]) -> Cause {
    let statuses = lines.iter().rev();
    let mut statuses = statuses.filter_map(|line| line.number("status"));
    statuses.next().map_or(Cause::Store, cause::of_status)
}

fn taken_in<'a>(lines: &[&'a Line]) -> Option<&'a Line> {
    let mut lines = lines.iter();
    lines.find(|l| l.message.ends_with("is taken in")).copied()
}

/// What one unit's lines have shown so far.
#[derive(Default)]
struct Unit {
    /// What it waits for, and since when.
    waits: Option<(Cause, SystemTime)>,
    /// When its run was given out.
    placed: Option<SystemTime>,
    /// Why its run is stopped.
    why: Option<String>,
    /// How long its run is expected to take.
    expected: Duration,
    costs: BTreeMap<Cause, Duration>,
    last: Option<SystemTime>,
}

impl Unit {
    fn add(&mut self, cause: Cause, cost: Duration) {
        *self.costs.entry(cause).or_default() += cost;
    }

    fn take(&mut self, line: &Line) {
        self.last = Some(line.written_at);
        match &*line.message {
            "planner: a unit waits" => {
                self.wait_ends(line.written_at);
                let on = line.text("on").unwrap_or_default();
                self.waits = Some((cause::of_wait(on), line.written_at));
            }
            "planner: room is kept" => {
                self.wait_ends(line.written_at);
                self.waits = Some((Cause::Room, line.written_at));
            }
            "planner: a unit is placed" => {
                self.wait_ends(line.written_at);
                self.waits = None;
                self.placed = Some(line.written_at);
                self.why = None;
                self.expected = line.time("expected_ms").unwrap_or_default();
            }
            "planner: a run is stopped" => {
                self.why = line.text("why").map(str::to_owned);
            }
            "planner: a run has ended" => self.run_ends(line),
            _ => {}
        }
    }

    fn wait_ends(&mut self, at: SystemTime) {
        if let Some((cause, since)) = self.waits {
            self.add(cause, at.duration_since(since).unwrap_or_default());
        }
    }

    fn run_ends(&mut self, line: &Line) {
        let ran = line.time("ran_ms").unwrap_or_default();
        // A planner that took the run over counts from then only.
        let since = self
            .placed
            .and_then(|p| line.written_at.duration_since(p).ok());
        let ran = ran.max(since.unwrap_or_default());
        let how = line.text("how").unwrap_or_default();
        // The members of a gang run side by side: the first tells.
        if line.number("member").unwrap_or_default() > 0 {
            return;
        }
        match how {
            "done" if ran > self.expected.mul_f64(SLOW) => {
                self.add(Cause::Slow, ran - self.expected);
            }
            "done" => {}
            how => {
                let cause = cause::of_end(how, self.why.as_deref());
                self.add(cause, ran);
            }
        }
    }
}

/// Returns what each cause cost the unit that ended last, and what it cost
/// before any unit was there.
fn costs(lines: &[&Line], began: SystemTime) -> BTreeMap<Cause, Duration> {
    let mut units: BTreeMap<&str, Unit> = BTreeMap::new();
    for line in lines {
        if let Some(unit) = line.text("unit") {
            units.entry(unit).or_default().take(line);
        }
    }
    let last = units.into_values().max_by_key(|unit| unit.last);
    let last = last.unwrap_or_default();
    let mut costs = last.costs;
    let accepted = lines
        .iter()
        .find(|line| line.text("outcome") == Some("Accepted"));
    let taken = taken_in(lines).map(|line| line.written_at);
    let accepted = accepted.map(|line| line.written_at).or(taken);
    let mut add = |cause, from: SystemTime, to: Option<SystemTime>| {
        let cost = to.and_then(|to| to.duration_since(from).ok());
        *costs.entry(cause).or_default() += cost.unwrap_or_default();
    };
    add(Cause::Store, began, accepted);
    if let Some(accepted) = accepted {
        add(Cause::Planner, accepted, taken);
    }
    let over = lines.iter().find(|line| line.message.ends_with(OVER));
    if let (Some(last), Some(over)) = (last.last, over) {
        add(Cause::Noting, last, Some(over.written_at));
    }
    costs.retain(|_, cost| !cost.is_zero());
    costs
}
