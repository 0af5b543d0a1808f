//! Serves the JSON-RPC calls of planners and of other agents.

use std::time::Duration;

use futures_util::future::join_all;
use jsonrpsee::core::async_trait;
use jsonrpsee::core::RpcResult;
use jsonrpsee::types::ErrorObjectOwned;
use ractor::ActorRef;
use ractor::RpcReplyPort;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::agent::actor::Message;
use crate::agent::ledger::gang_lease;
use crate::agent::task;
use crate::endpoint;
use crate::telemetry::Span;
use crate::wire::agent::AgentClient;
use crate::wire::agent::AgentServer;
use crate::wire::agent::Changes;
use crate::wire::agent::Forget;
use crate::wire::agent::Hold;
use crate::wire::agent::Incarnation;
use crate::wire::agent::Launch;
use crate::wire::agent::LaunchOutcome;
use crate::wire::agent::Refusal;
use crate::wire::agent::Reply;
use crate::wire::agent::Report;
use crate::wire::agent::Sequence;
use crate::wire::agent::Stop;
use crate::wire::agent::Watch;
use crate::wire::gang;
use crate::wire::gang::Decision;
use crate::wire::gang::Ending;
use crate::wire::gang::Gang;
use crate::wire::gang::Member;
use crate::wire::link;
use crate::wire::Trace;

/// The JSON-RPC error code of calls to an actor that has stopped.
const ACTOR_STOPPED_CODE: i32 = -32000;
/// The maximum time that a call for changes waits.
const MAX_WATCH: Duration = Duration::from_secs(30);
/// The interval at which the outcome of a failed launch is polled.
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The JSON-RPC methods of an agent.
pub struct Methods {
    /// The name of the worker.
    pub worker: crate::site::WorkerId,
    /// The actor that owns the ledger.
    pub actor: ActorRef<Message>,
    /// The endpoint.
    pub endpoint: endpoint::Client,
    /// Connections to other agents.
    pub pool: link::Pool,
    /// The number of the ledger's last change.
    pub sequence_receiver: watch::Receiver<Sequence>,
    /// The identifier of this run of the process.
    pub incarnation: Incarnation,
    /// The logger.
    pub log: slog::Logger,
}

impl Methods {
    async fn call<T: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<T>) -> Message,
    ) -> RpcResult<T> {
        let result = self.actor.call(message, None).await;
        match result {
            Ok(ractor::rpc::CallResult::Success(answer)) => Ok(answer),
            _ => Err(ErrorObjectOwned::owned(
                ACTOR_STOPPED_CODE,
                "the agent is stopping",
                None::<()>,
            )),
        }
    }

    /// Asks one member to begin. The error is the member's refusal, or `None`
    /// if the member did not answer.
    async fn begin_member(
        &self,
        member: &Member,
        gang: &Gang,
        trace: &Option<Trace>,
    ) -> Result<(), Option<Refusal>> {
        let address = &member.address;
        let client =
            self.pool.get(address).await.map_err(|_| None::<Refusal>)?;
        let call = client.begin(gang.id.clone(), trace.clone());
        match link::with_timeout(address, link::CALL_TIMEOUT, call).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(refusal)) => Err(Some(refusal)),
            Err(_) => Err(None),
        }
    }

    /// Has all members begin, the lead last. The error names the first member
    /// that did not.
    async fn begin_all(
        &self,
        gang: &Gang,
        trace: &Option<Trace>,
    ) -> Result<(), (Member, Option<Refusal>)> {
        let others = gang.members.iter().skip(1).map(|member| async move {
            let begun = self.begin_member(member, gang, trace).await;
            begun.map_err(|refusal| (member.clone(), refusal))
        });
        for begun in join_all(others).await {
            begun?;
        }
        let lead = gang.lead().clone();
        match self.begin_own_task(gang.id.clone(), trace.clone()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(refusal)) => Err((lead, Some(refusal))),
            Err(_) => Err((lead, None)),
        }
    }

    async fn begin_own_task(
        &self,
        id: gang::Id,
        trace: Option<Trace>,
    ) -> RpcResult<Reply> {
        let span = Span::begin("begin", trace.as_ref());
        span.set("worker", &self.worker);
        let task = Span::begin("task", span.trace().as_ref());
        task.set("worker", &self.worker);
        let _ = self.actor.cast(Message::TaskSpan(id.clone(), task));
        let begun = self.call(|reply| Message::Begin(id, reply)).await?;
        let gang = match begun {
            Ok(Some(gang)) => gang,
            Ok(None) => return Ok(Ok(())),
            Err(refusal) => return Ok(Err(refusal)),
        };
        let (endpoint, actor) = (&self.endpoint, &self.actor);
        let answer = task::start(endpoint, actor, &gang, &self.worker);
        Ok(answer.await)
    }

    /// Halts a gang that failed to start, waits until all of its members have
    /// ended, and returns whether any of them may have begun.
    async fn await_outcome(
        &self,
        gang: &Gang,
        member: Member,
        refusal: Option<Refusal>,
    ) -> LaunchOutcome {
        let id = &gang.id;
        let _ = self.actor.cast(Message::Halt(id.clone()));
        let lease = gang_lease(gang.members.len());
        let deadline = Instant::now() + 2 * lease;
        while Instant::now() < deadline {
            let id = id.clone();
            let end = self.call(|reply| Message::Outcome(id, reply)).await;
            match end {
                Ok(Some(end)) if end.ending == Ending::NotBegun => {
                    return LaunchOutcome::NotStarted {
                        worker: Some(member.worker),
                        refusal,
                    };
                }
                Ok(Some(_)) | Err(_) => break,
                Ok(None) => tokio::time::sleep(OUTCOME_POLL_INTERVAL).await,
            }
        }
        LaunchOutcome::PartlyStarted {
            worker: member.worker,
        }
    }
}

#[async_trait]
impl AgentServer for Methods {
    async fn hold(&self, hold: Hold) -> RpcResult<Reply> {
        let span = Span::begin("hold", hold.trace.as_ref());
        span.set("worker", &self.worker);
        let hold = Box::new(hold);
        self.call(|reply| Message::Hold(hold, reply)).await
    }

    async fn launch(
        &self,
        launch: Launch,
    ) -> RpcResult<Result<LaunchOutcome, Refusal>> {
        let span = Span::begin("launch", launch.trace.as_ref());
        span.set("worker", &self.worker);
        let trace = span.trace();
        let decided = self.call(|reply| Message::Launch(launch, reply));
        let gang = match decided.await? {
            Ok(gang) => gang,
            Err(refusal) => return Ok(Err(refusal)),
        };
        match self.begin_all(&gang, &trace).await {
            Ok(()) => Ok(Ok(LaunchOutcome::Started)),
            Err((member, refusal)) => {
                slog::warn!(self.log, "agent: gang {} is broken", gang.id;
                    "worker" => &*member.worker);
                Ok(Ok(self.await_outcome(&gang, member, refusal).await))
            }
        }
    }

    async fn begin(
        &self,
        gang: gang::Id,
        trace: Option<Trace>,
    ) -> RpcResult<Reply> {
        self.begin_own_task(gang, trace).await
    }

    async fn report(&self, report: Report) -> RpcResult<Decision> {
        self.call(|reply| Message::Report(report, reply)).await
    }

    async fn stop(&self, stop: Stop) -> RpcResult<Reply> {
        self.call(|reply| Message::Stop(stop, reply)).await
    }

    async fn halt(&self, gang: gang::Id) -> RpcResult<()> {
        let _ = self.actor.cast(Message::Halt(gang));
        Ok(())
    }

    async fn forget(&self, forget: Forget) -> RpcResult<Reply> {
        self.call(|reply| Message::Forget(forget, reply)).await
    }

    async fn watch(
        &self,
        watch: Watch,
    ) -> RpcResult<Result<Changes, Refusal>> {
        let timeout = Duration::from_millis(watch.timeout_ms);
        let deadline = Instant::now() + timeout.min(MAX_WATCH);
        let mut sequence = self.sequence_receiver.clone();
        // A first call returns at once, even if there are no entries.
        while watch.since != 0 && *sequence.borrow_and_update() <= watch.since
        {
            let changed =
                tokio::time::timeout_at(deadline, sequence.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                break;
            }
        }
        let view = self
            .call(|reply| Message::Changes(watch.fence, watch.since, reply));
        Ok(view.await?.map(|view| Changes {
            incarnation: self.incarnation.clone(),
            sequence: view.sequence,
            leaving: view.leaving,
            endpoint_lost: view.endpoint_lost,
            entries: view.entries,
        }))
    }
}
