//! Telling decisions in the log, a line each, within a budget.

use std::time::Duration;

use tokio::time::Instant;

use crate::graph::Decision;
use crate::graph::GuaranteeStatus;
use crate::graph::Life;
use crate::graph::Outcome;
use crate::graph::Subject;
use crate::graph::WaitReason;
use crate::store::Revision;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// How many lines of one kind are written a second: a hundred jobs that come
/// at once are told whole, and a storm costs no more than that.
const BUDGET: u32 = 400;
/// The time that the budget is for.
const WINDOW: Duration = Duration::from_secs(1);

/// A share of the log, for each kind of decision.
#[derive(Debug, Default)]
struct Budget {
    written: u32,
    left_out: u32,
}

/// Writes decisions to a log.
pub(super) struct Teller {
    log: slog::Logger,
    /// When the present window ends.
    until: Instant,
    /// What concerns workers.
    workers: Budget,
    /// What concerns units and jobs.
    units: Budget,
}

impl Teller {
    /// Returns a teller with a whole budget.
    pub fn new(log: slog::Logger) -> Teller {
        Teller {
            log,
            until: Instant::now() + WINDOW,
            workers: Budget::default(),
            units: Budget::default(),
        }
    }

    /// Writes a decision, or counts it where the budget is spent. What a job
    /// came to is always written.
    pub fn tell(&mut self, decision: &Decision, token: Revision) {
        measure(decision);
        self.renew();
        let budget = match decision {
            Decision::WorkerAdded { .. }
            | Decision::WorkerLost { .. }
            | Decision::Resized { .. }
            | Decision::WorkerQuarantined { .. }
            | Decision::Paced { .. } => &mut self.workers,
            _ => &mut self.units,
        };
        let over = matches!(decision, Decision::JobEnded { .. });
        if budget.written >= BUDGET && !over {
            budget.left_out += 1;
            return;
        }
        budget.written += 1;
        write(&self.log, decision, token);
    }

    /// Begins another window once the present one is over.
    fn renew(&mut self) {
        let now = Instant::now();
        if now < self.until {
            return;
        }
        self.until = now + WINDOW;
        let left_out = (self.workers.left_out, self.units.left_out);
        if left_out != (0, 0) {
            slog::warn!(self.log, "planner: lines were left out";
                "workers" => left_out.0, "units" => left_out.1);
        }
        self.workers = Budget::default();
        self.units = Budget::default();
    }
}

/// Counts a decision, whether it is written or not.
fn measure(decision: &Decision) {
    let metrics = metrics::get();
    let kind = match decision {
        Decision::WorkerAdded { .. } => "worker known",
        Decision::WorkerLost { .. } => "worker gone",
        Decision::Resized { .. } => "worker resized",
        Decision::WorkerQuarantined { .. } => "worker kept apart",
        Decision::Paced { .. } => "paced",
        Decision::Waiting { reason: what, .. } => match what {
            WaitReason::Worker => "waits for a worker",
            WaitReason::Room => "waits for room",
            WaitReason::Rack => "waits for a rack",
        },
        Decision::Reserved { .. } => "room kept",
        Decision::Placed {
            waited,
            run,
            guarantee: standing,
            ..
        } => {
            metrics.wait_seconds.record(waited.as_secs_f64(), &[]);
            match standing {
                Some(standing) if standing.within && *run == 1 => {
                    let late = if standing.left_ms < 0 { "yes" } else { "no" };
                    let labels = [label("late", late)];
                    metrics.owed_seconds.record(waited.as_secs_f64(), &labels);
                }
                _ => {}
            }
            "placed"
        }
        Decision::Stopped { .. } => "stopped",
        Decision::Ended { end: how, ran, .. } => {
            metrics
                .run_seconds
                .record(ran.as_secs_f64(), &[label("how", how)]);
            "run ended"
        }
        Decision::LossCounted { .. } => "worker lost under a task",
        Decision::JobEnded {
            outcome,
            took,
            objective,
            ..
        } => {
            let outcome = match outcome {
                Outcome::Succeeded => "succeeded",
                Outcome::Failed => "failed",
                Outcome::Cancelled => "cancelled",
            };
            let late = if took > objective { "yes" } else { "no" };
            let labels = [label("outcome", outcome), label("late", late)];
            metrics.job_seconds.record(took.as_secs_f64(), &labels);
            "job ended"
        }
    };
    metrics.decisions.add(1, &[label("kind", kind)]);
}

fn write(log: &slog::Logger, decision: &Decision, token: Revision) {
    match decision {
        Decision::WorkerAdded { agent, life } => slog::info!(log,
            "planner: a worker is known"; "agent" => &**agent,
            "worker" => &**life, "token" => token),
        Decision::WorkerLost { life, silent } => slog::warn!(log,
            "planner: a worker is taken for gone"; "worker" => &**life,
            "silent_ms" => millis(silent), "token" => token),
        Decision::Resized {
            life,
            from,
            to,
            used,
        } => slog::info!(log,
            "planner: a worker's room has changed"; "worker" => &**life,
            "cpu" => to.cpu, "memory" => to.memory,
            "accelerators" => to.accelerators,
            "accelerators_before" => from.accelerators,
            "accelerators_used" => used.accelerators, "token" => token),
        Decision::WorkerQuarantined {
            life,
            duration: time,
            failed,
        } => slog::warn!(log,
            "planner: a worker is kept apart"; "worker" => &**life,
            "for_ms" => millis(time), "failed" => failed, "token" => token),
        Decision::Paced {
            agent,
            from,
            to,
            worst,
        } => slog::info!(log,
            "planner: what fills a worker is paced"; "agent" => &**agent,
            "from" => from, "to" => to, "worst" => worst, "token" => token),
        Decision::Waiting {
            subject: of,
            reason: what,
            slack_ms: slack,
            workers,
            guarantee: standing,
            shortage,
        } => slog::info!(log,
            "planner: a unit waits"; of, "on" => word(*what),
            "slack_ms" => slack, "of_workers" => workers,
            "lacks" => shortage.map(|s| s.kind.word()),
            "accelerators" => shortage.map(|s| s.needed),
            "free" => shortage.map(|s| s.free),
            "fits" => shortage.map(|s| s.fits),
            "dear_core_s" => shortage.and_then(|s| s.preemption_cost).map(f64::round),
            "held_within" => shortage.map(|s| s.usage.within),
            "held_lent" => shortage.map(|s| s.usage.borrowed),
            "held_lower" => shortage.map(|s| s.usage.lower),
            Promise(*standing),
            "token" => token),
        Decision::Reserved {
            subject: of,
            lives: on,
            stopped,
            cost,
        } => slog::info!(log,
            "planner: room is kept"; of, "workers" => names(on),
            "stopped" => stopped, "cost_core_s" => cost.round(),
            "token" => token),
        Decision::Placed {
            subject: of,
            run,
            lives: on,
            waited,
            slack_ms: slack,
            expected,
            guarantee: standing,
        } => slog::info!(log,
            "planner: a unit is placed"; of, "run" => run,
            "workers" => names(on), "waited_ms" => millis(waited),
            "slack_ms" => slack, "expected_ms" => millis(expected),
            Promise(*standing), "token" => token),
        Decision::Stopped {
            subject: of,
            run,
            reason: why,
        } => slog::info!(log,
            "planner: a run is stopped"; of, "run" => run, "why" => why,
            "token" => token),
        Decision::Ended {
            subject: of,
            run,
            member,
            life,
            end: how,
            ran,
        } => slog::info!(log,
            "planner: a run has ended"; of, "run" => run, "member" => member,
            "worker" => &**life, "how" => how, "ran_ms" => millis(ran),
            "token" => token),
        Decision::LossCounted {
            subject: of,
            run,
            task,
            life,
            ran,
            loss,
        } => slog::warn!(log,
            "planner: a worker was lost under a task"; of, "run" => run,
            "task" => task, "worker" => &**life, "ran_ms" => millis(ran),
            "lost" => loss.lost, "sudden" => loss.sudden,
            "silent" => loss.silent.len(), "token" => token),
        Decision::JobEnded {
            job,
            account,
            queue,
            outcome,
            took,
            objective,
        } => slog::info!(log,
            "planner: a job has ended"; "job" => &**job,
            "account" => &**account, "queue" => &**queue,
            "outcome" => ?outcome, "took_ms" => millis(took),
            "objective_ms" => millis(objective), "token" => token),
    }
}

/// How a unit stands to what its account is guaranteed, if it is urgent.
struct Promise(Option<GuaranteeStatus>);

impl slog::KV for Promise {
    fn serialize(
        &self,
        _record: &slog::Record<'_>,
        to: &mut dyn slog::Serializer,
    ) -> slog::Result {
        let Promise(Some(standing)) = self else {
            return Ok(());
        };
        to.emit_i64("guaranteed", standing.guaranteed)?;
        to.emit_i64("account_needs", standing.needed)?;
        to.emit_bool("within_guarantee", standing.within)?;
        to.emit_i64("owed_in_ms", standing.left_ms)
    }
}

impl slog::KV for Subject {
    fn serialize(
        &self,
        _record: &slog::Record<'_>,
        to: &mut dyn slog::Serializer,
    ) -> slog::Result {
        to.emit_str("job", &self.job)?;
        to.emit_str("account", &self.account)?;
        to.emit_str("queue", &self.queue)?;
        to.emit_arguments("unit", &format_args!("{}", self.unit))
    }
}

fn millis(time: &Duration) -> u64 {
    time.as_millis() as u64
}

fn names(lives: &[Life]) -> String {
    let names: Vec<&str> = lives.iter().map(|life| &**life).collect();
    names.join(",")
}

fn word(what: WaitReason) -> &'static str {
    match what {
        WaitReason::Worker => "a worker",
        WaitReason::Room => "room",
        WaitReason::Rack => "a rack",
    }
}
