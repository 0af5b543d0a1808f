//! Doing what is ordered.

use std::time::Duration;

use tokio::time::error::Elapsed;
use tokio::time::Instant;

use crate::cell::member::known::Key;
use crate::cell::member::known::Progress;
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

/// How long the answer to an order is waited for.
const ANSWER: Duration = Duration::from_millis(500);
/// How long is waited before an order without answer is given again.
const AGAIN: Duration = Duration::from_millis(150);

/// The next call for an order.
enum Next {
    Start(Call, Box<Start>, WorkerTime),
    Stop(Call),
    /// There is no leave to start yet.
    Wait(Wait),
    /// The order was withdrawn, or is done.
    Nothing,
}

/// Why a start waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// The last look at the worker had no answer, or there was none yet.
    Unknown,
    /// A start has had no answer, and no look since.
    Doubted,
    /// No planner lets the worker's tasks go on.
    Ungranted,
}

impl Wait {
    /// Returns the word for it in logs and metrics.
    fn word(self) -> &'static str {
        match self {
            Wait::Unknown => "worker not known",
            Wait::Doubted => "a start had no answer",
            Wait::Ungranted => "no grant",
        }
    }
}

impl<W: Worker, S: Store> Member<W, S> {
    /// Carries an order out until it is done or withdrawn.
    pub(super) fn act(&self, key: Key) {
        let member = self.clone();
        tokio::spawn(async move { member.carry_out(&key).await });
    }

    /// Sets the pace of a run; if that fails, it is ordered again.
    pub(super) fn set_pace(&self, pace: Pace) {
        let call = {
            let state = self.lock();
            state.worker.as_ref().map(|known| Call {
                life: known.beat.life.clone(),
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
            let answer = tokio::time::timeout(ANSWER, answer).await;
            measure("pace", sent, &answer);
            slog::info!(member.0.config.log, "agent: a pace was ordered";
                "task" => %pace.task, "run" => pace.run,
                "percent" => pace.percent, "life" => &*call.life,
                "token" => call.token, "outcome" => ?answer);
            if let Ok(Err(Error::Fenced)) = answer {
                member.fenced(call.token);
            }
        });
    }

    async fn carry_out(&self, key: &Key) {
        let mut waited = None;
        loop {
            let done = match self.next(key) {
                Next::Start(call, start, expires) => {
                    self.start(&call, &start, expires, key).await
                }
                Next::Stop(call) => self.stop(&call, key).await,
                Next::Wait(why) => {
                    self.tell_wait(key, why, &mut waited);
                    false
                }
                Next::Nothing => return,
            };
            if done {
                return;
            }
            pause(AGAIN).await;
        }
    }

    /// Returns the next call for an order.
    fn next(&self, key: &Key) -> Next {
        let now = Instant::now();
        let mut state = self.lock();
        let target = state.target(self.0.config.lease, now);
        let token = state.token;
        let Some(known) = &mut state.worker else {
            return Next::Nothing;
        };
        let call = Call {
            life: known.beat.life.clone(),
            token,
        };
        match known.progress.get(key) {
            Some(Progress::Stopping) if known.stops.contains(key) => {
                return Next::Stop(call);
            }
            Some(Progress::Starting) if known.starts.contains_key(key) => {}
            Some(Progress::Starting | Progress::Stopping) => {
                // Withdrawn: if it is ordered again, it begins anew.
                known.progress.remove(key);
                return Next::Nothing;
            }
            _ => return Next::Nothing,
        }
        // While looks fail the worker may be down, and be back as another
        // birth that would begin the same run again. Other runs have begun
        // nowhere, and are not held back by a start without answer. Asked of
        // the worker's state: the order may have been withdrawn since.
        let doubted = known.doubted && known.may_run(key);
        let expires = target.and_then(|target| known.time_at(target));
        match (known.starts.get(key), expires) {
            _ if !known.is_known() => Next::Wait(Wait::Unknown),
            _ if doubted => Next::Wait(Wait::Doubted),
            (Some(start), Some(expires)) => {
                let start = Box::new(start.clone());
                known.leased = known.leased.max(target);
                Next::Start(call, start, expires)
            }
            _ => Next::Wait(Wait::Ungranted),
        }
    }

    /// Tells that a start waits, once for each reason in a row.
    fn tell_wait(&self, key: &Key, why: Wait, waited: &mut Option<Wait>) {
        if waited.replace(why) == Some(why) {
            return;
        }
        let state = self.lock();
        let worker = state.worker.as_ref();
        let tried = worker.is_some_and(|known| known.may_run(key));
        drop(state);
        metrics::get()
            .starts_waiting
            .add(1, &[label("why", why.word())]);
        slog::info!(self.0.config.log, "agent: a start waits";
            "task" => %key.0, "run" => key.1, "why" => why.word(),
            "tried" => tried);
    }

    async fn start(
        &self,
        call: &Call,
        start: &Start,
        expires: WorkerTime,
        key: &Key,
    ) -> bool {
        if self.leaves(call) {
            return self.turn_down(call, key, Refusal::Leaving).await;
        }
        if !self.has_room(call, start, key) {
            return self.turn_down(call, key, Refusal::Room).await;
        }
        let answer = self.0.worker.start(call, start, expires);
        let sent = Instant::now();
        let answer = tokio::time::timeout(ANSWER, answer).await;
        measure("start", sent, &answer);
        slog::info!(self.0.config.log, "agent: a start was ordered";
            "task" => %key.0, "run" => key.1, "life" => &*call.life,
            "token" => call.token, "outcome" => ?answer);
        match answer {
            Ok(Ok(_)) => {
                let mut state = self.lock();
                state.begun(&call.life, key, start.charge);
                let known = state.worker.as_mut();
                let known = known.filter(|k| k.beat.life == call.life);
                let progress = known.and_then(|k| k.progress.get_mut(key));
                if let Some(progress @ Progress::Starting) = progress {
                    *progress = Progress::Started;
                }
                true
            }
            Ok(Err(Error::Refused(why))) => {
                self.turn_down(call, key, why).await
            }
            Ok(Err(Error::Late(time))) => {
                let mut state = self.lock();
                if let Some(known) = &mut state.worker {
                    known.clock = Some((time, Instant::now()));
                }
                false
            }
            Ok(Err(Error::Fenced)) => {
                self.fenced(call.token);
                false
            }
            Ok(Err(
                Error::OtherLife | Error::Unreached(_) | Error::Down(_),
            )) => false,
            Ok(Err(Error::Lost(_))) | Err(_) => {
                let mut state = self.lock();
                state.begun(&call.life, key, start.charge);
                state.doubt(&call.life);
                drop(state);
                self.0.look.notify_one();
                false
            }
        }
    }

    async fn stop(&self, call: &Call, key: &Key) -> bool {
        self.turn_down(call, key, Refusal::Barred).await
    }

    /// Tells that a run will not begin here, once it is barred: it is done
    /// elsewhere then, and would be done twice by a start without answer,
    /// also by one for an order of before or of an earlier agent, and by an
    /// old order when room comes back.
    async fn turn_down(&self, call: &Call, key: &Key, why: Refusal) -> bool {
        self.bar(call, key).await && self.refuse(call, key, why)
    }

    /// Stops a run, or sees to it that it never begins; returns whether that
    /// is sure.
    async fn bar(&self, call: &Call, key: &Key) -> bool {
        let stop = Stop {
            task: key.0.clone(),
            run: key.1,
        };
        let answer = self.0.worker.stop(call, &stop);
        let sent = Instant::now();
        let answer = tokio::time::timeout(ANSWER, answer).await;
        measure("stop", sent, &answer);
        slog::info!(self.0.config.log, "agent: a stop was ordered";
            "task" => %key.0, "run" => key.1, "life" => &*call.life,
            "token" => call.token, "outcome" => ?answer);
        match answer {
            Ok(Ok(_) | Err(Error::Refused(Refusal::Barred))) => true,
            Ok(Err(Error::Fenced)) => {
                self.fenced(call.token);
                false
            }
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Bars what was ordered in earlier births under the worker's name, until
    /// that is done or another life is there, however long this one says
    /// nothing: nothing of it is shown before. A start without answer may
    /// come to the later birth, which knows of no stop and no fencing token.
    pub(super) async fn bar_late(&self, life: &Life) {
        loop {
            let next = self.lock().late(life);
            let Some((call, key)) = next else {
                return;
            };
            if !self.bar(&call, &key).await {
                pause(AGAIN * 2).await;
            } else if self.lock().barred(life, &key) {
                self.0.look.notify_one();
            }
        }
    }

    /// Notes that a token is too low: whoever holds it plans no more.
    pub(super) fn fenced(&self, token: Revision) {
        let mut state = self.lock();
        state.fenced = state.fenced.max(token);
        self.0.news.notify_one();
    }

    fn has_room(&self, call: &Call, start: &Start, key: &Key) -> bool {
        let state = self.lock();
        let known = state.worker.as_ref();
        let known = known.filter(|known| known.beat.life == call.life);
        known.is_none_or(|known| known.has_room(key, start))
    }

    fn leaves(&self, call: &Call) -> bool {
        let state = self.lock();
        state.worker.as_ref().is_some_and(|known| {
            known.beat.life == call.life && known.beat.leaving
        })
    }

    /// Notes that a run will not begin here, once a look does not show it.
    fn refuse(&self, call: &Call, key: &Key, why: Refusal) -> bool {
        let mut state = self.lock();
        let known = state.worker.as_mut();
        let known = known.filter(|known| known.beat.life == call.life);
        let Some(known) = known else {
            return true;
        };
        if why != Refusal::Barred && known.stops.contains(key) {
            // A stop was ordered meanwhile, and sees to it.
            return true;
        }
        let look = known.looks + 1;
        let refused = Progress::Refused {
            why,
            look,
            sure: false,
        };
        known.progress.insert(key.clone(), refused);
        self.0.look.notify_one();
        true
    }
}

fn measure(
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
