//! Logs the planner's decisions, one line each, within a budget.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Deref;
use std::time::Duration;

use opentelemetry::KeyValue;
use tokio::time::Instant;

use crate::graph::share;
use crate::graph::Decision;
use crate::graph::GuaranteeStatus;
use crate::graph::Holder;
use crate::graph::MissingMember;
use crate::graph::Outcome;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::ShortageKind;
use crate::graph::Subject;
use crate::graph::Task;
use crate::graph::WaitReason;
use crate::store::Revision;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// The most lines of one kind in a window: enough to log a hundred jobs that
/// arrive at once completely, while a storm of decisions stays bounded.
const MAX_LINES_PER_WINDOW: u32 = 400;
/// The length of a budget's window.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// The most accounts that the metric of use names. Each is a series of its own.
const MAX_NAMED_ACCOUNTS: usize = 64;
/// The most members of a gang that a line names.
const MAX_NAMED_MEMBERS: usize = 8;
/// The name of all other accounts in that metric.
const OTHER_ACCOUNTS: &str = "(other)";
/// How often the metric of use is recorded.
const USE_INTERVAL: Duration = Duration::from_secs(1);

/// The lines written and left out in a window, for one kind of decision.
#[derive(Debug, Default)]
struct Budget {
    lines: u32,
    left_out: u32,
}

/// Writes decisions to the log and counts them in metrics.
pub(super) struct Recorder {
    log: slog::Logger,
    /// When the present window ends.
    window_ends: Instant,
    /// The budget of decisions about workers.
    workers: Budget,
    /// The budget of decisions about units and jobs.
    units: Budget,
    /// The accounts whose use the metric names.
    named: BTreeSet<SharedStr>,
    /// When the accounts' use is recorded next.
    use_due: Instant,
}

impl Recorder {
    /// Returns a recorder with an unused budget.
    pub fn new(log: slog::Logger) -> Recorder {
        Recorder {
            log,
            window_ends: Instant::now() + BUDGET_WINDOW,
            workers: Budget::default(),
            units: Budget::default(),
            named: BTreeSet::new(),
            use_due: Instant::now(),
        }
    }

    /// Records the accounts' use in its metric, at most once in an interval.
    pub fn record_use(&mut self, scheduler: &Scheduler) {
        let now = Instant::now();
        if now < self.use_due {
            return;
        }
        self.use_due = now + USE_INTERVAL;
        self.set_use(&scheduler.account_use());
    }

    fn set_use(&mut self, used: &BTreeMap<SharedStr, f64>) {
        let values =
            share::summarize(used, &mut self.named, MAX_NAMED_ACCOUNTS);
        for (account, used) in values {
            let account = account.as_deref().unwrap_or(OTHER_ACCOUNTS);
            let labels = [KeyValue::new("account", account.to_owned())];
            metrics::get().account_use.record(used, &labels);
        }
    }

    /// Logs a decision, or counts it as left out once the budget is spent. A
    /// job's outcome is always logged.
    pub fn record(&mut self, decision: &Decision, token: Revision) {
        count_decision(decision);
        self.renew_budgets();
        let budget = match decision {
            Decision::WorkerAdded { .. }
            | Decision::WorkerLost { .. }
            | Decision::Resized { .. }
            | Decision::WorkerQuarantined { .. }
            | Decision::SpeedsEstimated { .. }
            | Decision::HeadroomKept { .. }
            | Decision::StopTimeEstimated { .. }
            | Decision::Paced { .. } => &mut self.workers,
            _ => &mut self.units,
        };
        let is_job_end = matches!(decision, Decision::JobEnded { .. });
        if budget.lines >= MAX_LINES_PER_WINDOW && !is_job_end {
            budget.left_out += 1;
            return;
        }
        budget.lines += 1;
        write_line(&self.log, decision, token);
    }

    /// Starts the next window once the present one has ended.
    fn renew_budgets(&mut self) {
        let now = Instant::now();
        if now < self.window_ends {
            return;
        }
        self.window_ends = now + BUDGET_WINDOW;
        let left_out = (self.workers.left_out, self.units.left_out);
        if left_out != (0, 0) {
            slog::warn!(self.log,
                "planner: decisions were left out of the log";
                "workers" => left_out.0, "units" => left_out.1);
        }
        self.workers = Budget::default();
        self.units = Budget::default();
    }
}

impl Drop for Recorder {
    /// Another planner records the use from now on.
    fn drop(&mut self) {
        if !self.named.is_empty() {
            self.set_use(&BTreeMap::new());
        }
    }
}

/// Counts a decision in the metrics, whether or not it is logged.
fn count_decision(decision: &Decision) {
    let metrics = metrics::get();
    let kind = match decision {
        Decision::WorkerAdded { .. } => "worker known",
        Decision::WorkerLost { .. } => "worker gone",
        Decision::Resized { .. } => "worker resized",
        Decision::WorkerQuarantined { .. } => "worker kept apart",
        Decision::Paced { .. } => "paced",
        Decision::SpeedsEstimated { .. } => "speeds estimated",
        Decision::HeadroomKept { worker_seconds, .. } => {
            metrics.headroom_worker_seconds.add(*worker_seconds, &[]);
            "headroom kept"
        }
        Decision::Waiting {
            reason, shortage, ..
        } => {
            if shortage.is_some_and(|s| s.kind == ShortageKind::Spare) {
                metrics.headroom_waits.add(1, &[]);
            }
            match reason {
                WaitReason::Worker => "waits for a worker",
                WaitReason::Room => "waits for room",
                WaitReason::Rack => "waits for a rack",
            }
        }
        Decision::StopTimeEstimated { .. } => "stop time estimated",
        Decision::Reserved {
            awaited: Some(_), ..
        } => "room awaited",
        Decision::Reserved { .. } => "room kept",
        Decision::Placed {
            waited,
            run,
            guarantee,
            ..
        } => {
            metrics.wait_seconds.record(waited.as_secs_f64(), &[]);
            match guarantee {
                Some(status) if status.within && *run == 1 => {
                    let late = if status.left_ms < 0 { "yes" } else { "no" };
                    let labels = [label("late", late)];
                    metrics.owed_seconds.record(waited.as_secs_f64(), &labels);
                }
                _ => {}
            }
            "placed"
        }
        Decision::GangBegan { first, last, .. } => {
            let spread = last.saturating_sub(*first);
            metrics.gang_begin_seconds.record(spread.as_secs_f64(), &[]);
            "gang begun"
        }
        Decision::GangIncomplete { .. } => "gang incomplete",
        Decision::Stopped { .. } => "stopped",
        Decision::Ended { end, ran, .. } => {
            metrics
                .run_seconds
                .record(ran.as_secs_f64(), &[label("how", end)]);
            "run ended"
        }
        Decision::LateEnd { .. } => "end read late",
        Decision::AwaitsEnds { .. } => "waits for unread ends",
        Decision::UnreadClosed { .. } => "end never read",
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

fn write_line(log: &slog::Logger, decision: &Decision, token: Revision) {
    match decision {
        Decision::WorkerAdded { agent, life } => slog::info!(log,
            "planner: a worker is known"; "agent" => &**agent,
            "worker" => &**life, "token" => token),
        Decision::WorkerLost { life, silent } => slog::warn!(log,
            "planner: a worker is considered lost"; "worker" => &**life,
            "silent_ms" => millis(silent), "token" => token),
        Decision::Resized {
            life,
            from,
            to,
            used,
        } => slog::info!(log,
            "planner: a worker's capacity has changed"; "worker" => &**life,
            "cpu" => to.cpu, "memory" => to.memory,
            "accelerators" => to.accelerators,
            "accelerators_before" => from.accelerators,
            "accelerators_used" => used.accelerators, "token" => token),
        Decision::WorkerQuarantined {
            life,
            duration,
            failed,
        } => slog::warn!(log,
            "planner: a worker is quarantined"; "worker" => &**life,
            "for_ms" => millis(duration), "failed" => failed,
            "token" => token),
        Decision::SpeedsEstimated {
            workers,
            fastest,
            before,
        } => slog::info!(log,
            "planner: the workers' speeds are estimated";
            "workers" => workers, "fastest" => fastest, "before" => before,
            "token" => token),
        Decision::HeadroomKept {
            pool,
            agents,
            workers,
            jobs,
            mean,
            deviation,
            elsewhere,
            gang,
            worker_seconds,
        } => slog::info!(log,
            "planner: workers are kept for urgent work"; "pool" => &**pool,
            "kept" => agents.len(), "of_workers" => workers,
            "urgent_jobs" => jobs, "mean" => mean, "deviation" => deviation,
            "elsewhere" => elsewhere, "gang" => gang,
            "worker_s" => worker_seconds, "agents" => names(agents),
            "token" => token),
        Decision::Paced {
            agent,
            from,
            to,
            worst,
        } => slog::info!(log,
            "planner: filler runs on a worker are paced"; "agent" => &**agent,
            "from" => from, "to" => to, "worst" => worst, "token" => token),
        Decision::Waiting {
            subject,
            reason,
            slack_ms,
            workers,
            guarantee,
            share,
            shortage,
            holders,
        } => slog::info!(log,
            "planner: a unit waits"; subject, "on" => waits_on(*reason),
            "slack_ms" => slack_ms, "of_workers" => workers,
            "lacks" => shortage.map(|s| s.kind.word()),
            "accelerators" => shortage.map(|s| s.needed),
            "free" => shortage.map(|s| s.free),
            "fits" => shortage.map(|s| s.fits),
            "dear_core_s" => shortage.and_then(|s| s.preemption_cost).map(f64::round),
            "held_within" => shortage.map(|s| s.usage.within),
            "held_lent" => shortage.map(|s| s.usage.borrowed),
            "held_lower" => shortage.map(|s| s.usage.lower),
            "holders" => holder_list(holders),
            Guarantee(*guarantee), "share" => share.map(rounded),
            "token" => token),
        Decision::Reserved {
            subject,
            lives,
            stopped,
            cost,
            awaited,
        } => slog::info!(log,
            "planner: room is kept"; subject, "workers" => names(lives),
            "stopped" => stopped, "cost_core_s" => cost.round(),
            "awaited_ms" => awaited.as_ref().map(millis), "token" => token),
        Decision::StopTimeEstimated {
            pool,
            time,
            before,
            last,
        } => slog::info!(log,
            "planner: the time of stops is estimated"; "pool" => &**pool,
            "time_ms" => millis(time), "before_ms" => millis(before),
            "last_ms" => millis(last), "token" => token),
        Decision::Placed {
            subject,
            run,
            lives,
            failed,
            waited,
            slack_ms,
            expected,
            guarantee,
            share,
        } => slog::info!(log,
            "planner: a unit is placed"; subject, "run" => run,
            "workers" => names(lives), "failed" => failed,
            "waited_ms" => millis(waited), "slack_ms" => slack_ms, "expected_ms" => millis(expected),
            Guarantee(*guarantee), "share" => share.map(rounded),
            "token" => token),
        Decision::GangBegan {
            subject,
            run,
            members,
            first,
            last,
        } => slog::info!(log,
            "planner: a gang has begun"; subject, "run" => run,
            "members" => members, "first_ms" => millis(first),
            "last_ms" => millis(last), "token" => token),
        Decision::GangIncomplete {
            subject,
            run,
            missing,
        } => slog::warn!(log,
            "planner: members of a gang have not begun"; subject,
            "run" => run, "missing" => members(missing), "token" => token),
        Decision::Stopped {
            subject,
            run,
            reason,
        } => slog::info!(log,
            "planner: a run is stopped"; subject, "run" => run,
            "why" => reason, "token" => token),
        Decision::Ended {
            subject,
            run,
            member,
            life,
            end,
            ran,
        } => slog::info!(log,
            "planner: a run has ended"; subject, "run" => run,
            "member" => member, "worker" => &**life, "how" => end,
            "ran_ms" => millis(ran), "token" => token),
        Decision::LateEnd {
            task,
            run,
            life,
            end,
            latest_run,
            failed,
        } => slog::info!(log,
            "planner: the end of a run is read late"; "job" => &*task.job,
            "unit" => task_in_job(task), "run" => run, "worker" => &**life,
            "how" => end, "latest_run" => latest_run, "failed" => failed,
            "token" => token),
        Decision::AwaitsEnds {
            subject,
            failed,
            lives,
        } => slog::info!(log,
            "planner: a unit waits for unread ends"; subject,
            "failed" => failed, "workers" => names(lives), "token" => token),
        Decision::UnreadClosed {
            subject,
            run,
            task,
            life,
            why,
        } => slog::info!(log,
            "planner: an unread end is no longer awaited"; subject,
            "run" => run, "task" => task, "worker" => &**life, "why" => why,
            "token" => token),
        Decision::LossCounted {
            subject,
            run,
            task,
            life,
            ran,
            loss,
        } => slog::warn!(log,
            "planner: a worker was lost under a task"; subject, "run" => run,
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

/// An urgent unit's position against its account's guarantee; empty for other
/// units.
struct Guarantee(Option<GuaranteeStatus>);

impl slog::KV for Guarantee {
    fn serialize(
        &self,
        _record: &slog::Record<'_>,
        to: &mut dyn slog::Serializer,
    ) -> slog::Result {
        let Guarantee(Some(status)) = self else {
            return Ok(());
        };
        to.emit_i64("guaranteed", status.guaranteed)?;
        to.emit_i64("account_needs", status.needed)?;
        to.emit_bool("within_guarantee", status.within)?;
        to.emit_i64("owed_in_ms", status.left_ms)
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

/// Returns a share with three decimals.
fn rounded(share: f64) -> f64 {
    (share * 1000.0).round() / 1000.0
}

fn millis(time: &Duration) -> u64 {
    time.as_millis() as u64
}

fn names<T: Deref<Target = str>>(names: &[T]) -> String {
    let names: Vec<&str> = names.iter().map(|name| &**name).collect();
    names.join(",")
}

/// Returns the first of the missing members as the value of a field, with
/// their number.
fn members(missing: &[MissingMember]) -> String {
    let named = missing.iter().take(MAX_NAMED_MEMBERS);
    let named: Vec<String> = named.map(MissingMember::to_string).collect();
    format!("{}: {}", missing.len(), named.join(", "))
}

/// Returns holders as the value of a field, or `None` if there are none.
fn holder_list(holders: &[Holder]) -> Option<String> {
    let names: Vec<String> = holders.iter().map(Holder::to_string).collect();
    (!names.is_empty()).then(|| names.join("; "))
}

/// Returns a task's name without its job.
fn task_in_job(task: &Task) -> String {
    format!("{}.{}.{}", task.time, task.step, task.index)
}

fn waits_on(reason: WaitReason) -> &'static str {
    match reason {
        WaitReason::Worker => "a worker",
        WaitReason::Room => "room",
        WaitReason::Rack => "a rack",
    }
}
