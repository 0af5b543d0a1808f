//! Carries out the planner's orders on the worker.

use std::time::Duration;

use tokio::time::error::Elapsed;
use tokio::time::Instant;

use crate::cell::member::view::Key;
use crate::cell::member::view::Phase;
use crate::cell::member::Member;
use crate::cell::pause;
use crate::cell::worker::Call;
use crate::cell::worker::Error;
use crate::cell::worker::Worker;
use crate::cell::worker::WorkerTime;
use crate::graph::Life;
use crate::graph::Pace;
use crate::graph::Refusal;
use crate::graph::Start;
use crate::graph::Stop;
use crate::store::Revision;
use crate::store::Store;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// The longest wait for the worker's answer to an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before an order that failed is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The next action for an order.
enum Action {
    Start(Call, Box<Start>, WorkerTime),
    Stop(Call),
    /// The start must wait.
    Wait(Wait),
    /// The start's deadline has passed.
    GiveUp(Call),
    /// The order was withdrawn or is carried out.
    Done,
}

/// Why a start waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// The last poll of the worker failed, or there was none yet.
    WorkerUnknown,
    /// A start was not answered, and no poll has been answered since.
    StartUnanswered,
    /// No planner's grant lets the worker's tasks run long enough.
    NoGrant,
}

impl Wait {
    /// Returns the reason's name in logs and metrics.
    fn word(self) -> &'static str {
        match self {
            Wait::WorkerUnknown => "worker not known",
            Wait::StartUnanswered => "a start had no answer",
            Wait::NoGrant => "no grant",
        }
    }
}

impl<W: Worker, S: Store> Member<W, S> {
    /// Carries out an order until it is done or withdrawn.
    pub(super) fn carry_out(&self, key: Key) {
        let member = self.clone();
        tokio::spawn(async move { member.run_order(&key).await });
    }

    /// Sets the pace of a run. If that fails, the planner orders it again.
    pub(super) fn set_pace(&self, pace: Pace) {
        let call = {
            let state = self.lock();
            state.worker.as_ref().map(|view| Call {
                life: view.heartbeat.life.clone(),
                token: state.token,
            })
        };
        let Some(call) = call else {
            return;
        };
        let member = self.clone();
        tokio::spawn(async move {
            let answer = member.0.worker.pace(&call, &pace);
            let sent = Instant::now();
            let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
            record_order("pace", sent, &answer);
            slog::info!(member.0.config.log, "agent: a pace was ordered";
                "task" => %pace.task, "run" => pace.run,
                "percent" => pace.percent, "life" => &*call.life,
                "token" => call.token, "outcome" => ?answer);
            if let Ok(Err(Error::Fenced)) = answer {
                member.record_fenced(call.token);
            }
        });
    }

    async fn run_order(&self, key: &Key) {
        let mut waited = None;
        loop {
            let done = match self.next(key) {
                Action::Start(call, start, expires) => {
                    self.start(&call, &start, expires, key).await
                }
                Action::Stop(call) => self.stop(&call, key).await,
                Action::Wait(reason) => {
                    self.log_wait(key, reason, &mut waited);
                    false
                }
                Action::GiveUp(call) => self.give_up(&call, key).await,
                Action::Done => return,
            };
            if done {
                return;
            }
            pause(RETRY_DELAY).await;
        }
    }

    /// Returns the next action for an order.
    fn next(&self, key: &Key) -> Action {
        let now = Instant::now();
        let mut state = self.lock();
        let lease_until = state.lease_until(self.0.config.lease, now);
        let token = state.token;
        let Some(view) = &mut state.worker else {
            return Action::Done;
        };
        let call = Call {
            life: view.heartbeat.life.clone(),
            token,
        };
        match view.phases.get(key) {
            Some(Phase::Stopping) if view.stops.contains(key) => {
                return Action::Stop(call);
            }
            Some(Phase::Starting) if view.is_too_late(key, now) => {
                return Action::GiveUp(call);
            }
            Some(Phase::Starting) if view.starts.contains_key(key) => {}
            Some(Phase::Starting | Phase::Stopping) => {
                // The order was withdrawn. If it is ordered again, it starts
                // from scratch.
                view.phases.remove(key);
                return Action::Done;
            }
            _ => return Action::Done,
        }
        // While polls fail, the worker may be down, and may come back as
        // another birth that would start the same run again. Runs that have
        // not begun anywhere need not wait for another start's answer. The
        // view of the worker decides, rather than this order, which may have
        // been withdrawn and given again.
        let start_unanswered = view.start_unanswered && view.may_run(key);
        let expires = lease_until
            .and_then(|lease_until| view.worker_time_at(lease_until));
        match (view.starts.get(key), expires) {
            _ if !view.is_current() => Action::Wait(Wait::WorkerUnknown),
            _ if start_unanswered => Action::Wait(Wait::StartUnanswered),
            (Some(start), Some(expires)) => {
                let start = Box::new(start.clone());
                view.leased_until = view.leased_until.max(lease_until);
                Action::Start(call, start, expires)
            }
            _ => Action::Wait(Wait::NoGrant),
        }
    }

    /// Logs that a start waits, once for each change of the reason.
    fn log_wait(&self, key: &Key, reason: Wait, waited: &mut Option<Wait>) {
        if waited.replace(reason) == Some(reason) {
            return;
        }
        let state = self.lock();
        let worker = state.worker.as_ref();
        let tried = worker.is_some_and(|view| view.may_run(key));
        drop(state);
        metrics::get()
            .starts_waiting
            .add(1, &[label("why", reason.word())]);
        slog::info!(self.0.config.log, "agent: a start waits";
            "task" => %key.0, "run" => key.1, "why" => reason.word(),
            "tried" => tried);
    }

    async fn start(
        &self,
        call: &Call,
        start: &Start,
        expires: WorkerTime,
        key: &Key,
    ) -> bool {
        if self.is_leaving(call) {
            return self.bar_and_refuse(call, key, Refusal::Leaving).await;
        }
        if !self.has_room(call, start, key) {
            return self.bar_and_refuse(call, key, Refusal::Room).await;
        }
        let answer = self.0.worker.start(call, start, expires);
        let sent = Instant::now();
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        record_order("start", sent, &answer);
        slog::info!(self.0.config.log, "agent: a start was ordered";
            "task" => %key.0, "run" => key.1, "life" => &*call.life,
            "token" => call.token, "outcome" => ?answer);
        match answer {
            Ok(Ok(_)) => {
                let mut state = self.lock();
                state.mark_begun(&call.life, key, start);
                let view = state.worker.as_mut();
                let view =
                    view.filter(|view| view.heartbeat.life == call.life);
                let phase = view.and_then(|view| view.phases.get_mut(key));
                if let Some(phase @ Phase::Starting) = phase {
                    *phase = Phase::Started;
                }
                drop(state);
                if start.begin_within_ms.is_some() {
                    // The planner must know soon that the member has begun.
                    self.0.poll_now.notify_one();
                }
                true
            }
            Ok(Err(Error::Refused(reason))) => {
                self.bar_and_refuse(call, key, reason).await
            }
            Ok(Err(Error::Late(time))) => {
                let mut state = self.lock();
                if let Some(view) = &mut state.worker {
                    view.clock = Some((time, Instant::now()));
                }
                false
            }
            Ok(Err(Error::Fenced)) => {
                self.record_fenced(call.token);
                false
            }
            Ok(Err(
                Error::OtherLife | Error::Unreached(_) | Error::Down(_),
            )) => false,
            Ok(Err(Error::Lost(_))) | Err(_) => {
                let mut state = self.lock();
                state.mark_begun(&call.life, key, start);
                state.mark_start_unanswered(&call.life);
                drop(state);
                self.0.poll_now.notify_one();
                false
            }
        }
    }

    /// Bars a run whose start was not carried out by its deadline. It is
    /// reported as barred: planners of the version before know that reason.
    async fn give_up(&self, call: &Call, key: &Key) -> bool {
        let barred = self.bar_and_refuse(call, key, Refusal::Barred).await;
        slog::info!(self.0.config.log, "agent: a start is given up as late";
            "task" => %key.0, "run" => key.1, "life" => &*call.life,
            "barred" => barred);
        barred
    }

    async fn stop(&self, call: &Call, key: &Key) -> bool {
        self.bar_and_refuse(call, key, Refusal::Barred).await
    }

    /// Reports that a run will not begin here, once the run is barred. The
    /// planner then starts the run elsewhere. Without the bar the run could
    /// begin here as well: by a start that was not answered, including those
    /// of earlier orders and of an earlier agent process, or by an old order
    /// when room becomes available.
    async fn bar_and_refuse(
        &self,
        call: &Call,
        key: &Key,
        reason: Refusal,
    ) -> bool {
        self.bar(call, key).await && self.mark_refused(call, key, reason)
    }

    /// Stops a run, or bars it from starting. Returns whether the worker has
    /// confirmed that.
    async fn bar(&self, call: &Call, key: &Key) -> bool {
        let stop = Stop {
            task: key.0.clone(),
            run: key.1,
        };
        let answer = self.0.worker.stop(call, &stop);
        let sent = Instant::now();
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        record_order("stop", sent, &answer);
        slog::info!(self.0.config.log, "agent: a stop was ordered";
            "task" => %key.0, "run" => key.1, "life" => &*call.life,
            "token" => call.token, "outcome" => ?answer);
        match answer {
            Ok(Ok(_) | Err(Error::Refused(Refusal::Barred))) => true,
            Ok(Err(Error::Fenced)) => {
                self.record_fenced(call.token);
                false
            }
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Bars, in the worker's current birth, the runs that were ordered in
    /// earlier births under the same name. A start that was not answered may
    /// still reach this birth, which knows neither the stops nor the fencing
    /// token of the earlier ones.
    ///
    /// Retries, however long the worker does not answer, until all of these
    /// runs are barred or another life has taken the worker's place. Until
    /// then nothing of this birth is reported.
    pub(super) async fn bar_late_runs(&self, life: &Life) {
        loop {
            let next = self.lock().next_late_run(life);
            let Some((call, key)) = next else {
                return;
            };
            if !self.bar(&call, &key).await {
                pause(RETRY_DELAY * 2).await;
            } else if self.lock().mark_barred(life, &key) {
                self.0.poll_now.notify_one();
            }
        }
    }

    /// Records that the worker rejected a token as too low: its holder no
    /// longer plans.
    pub(super) fn record_fenced(&self, token: Revision) {
        let mut state = self.lock();
        state.highest_fenced = state.highest_fenced.max(token);
        self.0.report_now.notify_one();
    }

    fn has_room(&self, call: &Call, start: &Start, key: &Key) -> bool {
        let state = self.lock();
        let view = state.worker.as_ref();
        let view = view.filter(|view| view.heartbeat.life == call.life);
        view.is_none_or(|view| view.has_room(key, start))
    }

    fn is_leaving(&self, call: &Call) -> bool {
        let state = self.lock();
        state.worker.as_ref().is_some_and(|view| {
            view.heartbeat.life == call.life && view.heartbeat.leaving
        })
    }

    /// Records a refusal, which is reported once a later poll does not list
    /// the run.
    fn mark_refused(&self, call: &Call, key: &Key, reason: Refusal) -> bool {
        let mut state = self.lock();
        let view = state.worker.as_mut();
        let view = view.filter(|view| view.heartbeat.life == call.life);
        let Some(view) = view else {
            return true;
        };
        if reason != Refusal::Barred && view.stops.contains(key) {
            // A stop that was ordered meanwhile will bar the run.
            return true;
        }
        let poll = view.polls + 1;
        let refused = Phase::Refused {
            reason,
            poll,
            confirmed: false,
        };
        view.phases.insert(key.clone(), refused);
        self.0.poll_now.notify_one();
        true
    }
}

fn record_order(
    kind: &'static str,
    sent: Instant,
    answer: &Result<Result<WorkerTime, Error>, Elapsed>,
) {
    let outcome = match answer {
        Ok(Ok(_)) => "done",
        Ok(Err(Error::Refused(_))) => "refused",
        Ok(Err(Error::Late(_))) => "late",
        Ok(Err(Error::Fenced)) => "fenced",
        Ok(Err(Error::OtherLife)) => "another life",
        Ok(Err(Error::Unreached(_) | Error::Down(_))) => "not reached",
        Ok(Err(Error::Lost(_))) | Err(_) => "no answer",
    };
    let labels = [label("kind", kind), label("outcome", outcome)];
    let took = sent.elapsed().as_secs_f64();
    metrics::get().order_seconds.record(took, &labels);
}
