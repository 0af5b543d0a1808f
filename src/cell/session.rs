//! Claims, and hosts the planner for as long as the claim holds.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use jsonrpsee::core::async_trait;
use jsonrpsee::core::RpcResult;
use jsonrpsee::types::ErrorObjectOwned;
use ractor::Actor;
use ractor::ActorRef;
use tokio::sync::watch;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::cell::advice;
use crate::cell::claim;
use crate::cell::claim::Attempt;
use crate::cell::claim::Claim;
use crate::cell::claim::Holder;
use crate::cell::claim::Unheld;
use crate::cell::configuration::Source;
use crate::cell::cursor::Cursor;
use crate::cell::keys;
use crate::cell::pause;
use crate::cell::planner::Arguments;
use crate::cell::planner::Message;
use crate::cell::planner::Planner;
use crate::cell::planner::Records;
use crate::cell::planner::REPORT_HOLD;
use crate::cell::relay::call::Call;
use crate::cell::relay::call::Reply;
use crate::cell::relay::Proxy;
use crate::cell::rpc::Answer;
use crate::cell::rpc::CellServer;
use crate::graph::Options;
use crate::graph::Report;
use crate::log::excerpt;
use crate::log::Throttle;
use crate::store::Changes;
use crate::store::Error;
use crate::store::Listing;
use crate::store::Revision;
use crate::store::Store;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// How long one watch of the claim waits for changes. Once other calls show
/// that the store cannot be reached, the watch ends sooner.
const CLAIM_WATCH_WAIT: Duration = Duration::from_secs(20);
/// How long one watch call waits for changes; a lost call is noticed by then.
const WATCH_WAIT: Duration = Duration::from_millis(2000);
/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a planner whose write was refused waits for what is in its claim's
/// place.
const REPLACED_WAIT: Duration = Duration::from_millis(500);
/// The longest that a call without a wait may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// The JSON-RPC error code for a planner that has stopped.
const PLANNER_STOPPED: i32 = -32000;

/// How long a report waits for a planner that has claimed and is still reading
/// the jobs' records.
const STARTUP_WAIT: Duration = Duration::from_millis(600);

/// The planner of this process, while it hosts one.
///
/// Calls that are meant for another process are refused. Otherwise, an agent
/// or entry of another site that calls an address where this process now
/// serves would have its runs and writes counted here.
#[derive(Clone)]
pub struct Host {
    /// The life of this process.
    life: String,
    misdirected: Arc<Throttle>,
    log: slog::Logger,
    current: Arc<Mutex<Option<ActorRef<Message>>>>,
    /// Notified when a planner is hosted. A notification wakes its waiters in
    /// order, so that simulations repeat.
    hosted: Arc<Notify>,
    /// Makes store calls for other processes, if set.
    proxy: Option<Arc<dyn Proxy>>,
}

impl Host {
    /// Returns a host without a planner, in the process of a life.
    pub fn new(life: &str, log: slog::Logger) -> Host {
        Host {
            life: life.to_owned(),
            misdirected: Arc::default(),
            log,
            current: Arc::default(),
            hosted: Arc::default(),
            proxy: None,
        }
    }

    /// Sets the proxy that makes store calls for other processes.
    #[must_use]
    pub fn with_proxy(self, proxy: Arc<dyn Proxy>) -> Host {
        Host {
            proxy: Some(proxy),
            ..self
        }
    }

    fn set(&self, planner: Option<ActorRef<Message>>) {
        let is_hosted = planner.is_some();
        *self.lock() = planner;
        if is_hosted {
            self.hosted.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<ActorRef<Message>>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a call is meant for this process.
    fn is_recipient(&self, to: Option<&str>) -> bool {
        let here = to.is_none_or(|to| to.is_empty() || to == self.life);
        if !here && self.misdirected.try_acquire() {
            slog::warn!(self.log,
                "entry: a call is meant for another process";
                "to" => to.map(excerpt), "life" => &self.life);
        }
        here
    }

    async fn wait_for_planner(&self) -> Option<ActorRef<Message>> {
        let mut hosted = std::pin::pin!(self.hosted.notified());
        hosted.as_mut().enable();
        if let Some(planner) = self.lock().clone() {
            return Some(planner);
        }
        // The outcome does not matter: the current value is used either way.
        let _ = tokio::time::timeout(STARTUP_WAIT, hosted).await;
        self.lock().clone()
    }
}

#[async_trait]
impl CellServer for Host {
    async fn sync(
        &self,
        report: Report,
        to: Option<String>,
    ) -> RpcResult<Answer> {
        if !self.is_recipient(to.as_deref()) {
            return Ok(Answer::NotPlanner);
        }
        let Some(planner) = self.wait_for_planner().await else {
            return Ok(Answer::NotPlanner);
        };
        let message = |reply| Message::Sync(Box::new(report), reply);
        let limit = Some(REPORT_HOLD * 4);
        match planner.call(message, limit).await {
            Ok(ractor::rpc::CallResult::Success(answer)) => Ok(answer),
            _ => Err(ErrorObjectOwned::owned(
                PLANNER_STOPPED,
                "the planner has stopped",
                None::<()>,
            )),
        }
    }

    async fn store(&self, call: Call, to: Option<String>) -> RpcResult<Reply> {
        Ok(match &self.proxy {
            Some(proxy) if self.is_recipient(to.as_deref()) => {
                proxy.serve(call).await
            }
            _ => Reply::Away,
        })
    }
}

/// What a session knows of the values of others in the claim's place.
struct Others {
    claims: claim::Watch,
    /// The revision of the value that may be replaced if nobody holds it.
    past: Option<Revision>,
    /// Limits the log lines about values that nobody holds.
    throttle: Throttle,
}

impl Others {
    fn new() -> Others {
        Others {
            claims: claim::Watch::new(CLAIM_WATCH_WAIT),
            past: None,
            throttle: Throttle::default(),
        }
    }
}

/// An entry's role as a candidate for the claim, and as its holder.
#[derive(Clone)]
pub struct Session<S> {
    /// The store.
    pub store: S,
    /// The value that the session writes to the claim's key.
    pub holder: Holder,
    /// The host through which agents reach the planner.
    pub host: Host,
    /// The configuration.
    pub source: Source,
    /// The channel for questions to the advice service, if there is one.
    pub advice: Option<advice::Sender>,
    /// The timing bounds and the policy of the scheduler.
    pub options: Options,
    /// The log.
    pub log: slog::Logger,
}

impl<S: Store> Session<S> {
    /// Claims whenever the claim is free, and plans while it holds, until
    /// `stop` is set.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        let mut others = Others::new();
        while !*stop.borrow() {
            // A planner that reaches the store only through other entries
            // would be the first to lose contact, so the claim is left to
            // others.
            match self.store.is_direct() {
                true => self.try_once(&mut others, stop.clone()).await,
                false => pause(RETRY_DELAY).await,
            }
        }
    }

    async fn try_once(
        &self,
        others: &mut Others,
        mut stop: watch::Receiver<bool>,
    ) {
        let past = others.past;
        let attempt = claim::try_claim(&self.store, &self.holder, past);
        match tokio::time::timeout(CALL_TIMEOUT * 2, attempt).await {
            Ok(Ok(Attempt::Held(claim))) => {
                count_claim("made");
                slog::info!(self.log, "planner: has claimed";
                    "token" => claim.token);
                let planned = self.plan(&claim, stop).await;
                // Only this process could have held the claim until then.
                others.past = planned;
                self.host.set(None);
                count_claim("given up");
                slog::info!(self.log, "planner: has stepped down";
                    "token" => claim.token, "in_its_place" => planned);
                // Ending the lease lets this process or another one claim at
                // once.
                if claim.holds() {
                    let revoked = self.store.revoke(claim.lease);
                    let revoked =
                        tokio::time::timeout(CALL_TIMEOUT, revoked).await;
                    slog::info!(self.log, "planner: has revoked its claim";
                        "outcome" => ?revoked);
                }
            }
            Ok(Ok(Attempt::Other(revision))) => tokio::select! {
                biased;
                () = self.wait_until_free(revision, &mut others.claims) => {}
                _ = stop.changed() => {}
            },
            Ok(Ok(Attempt::Unheld(revision, why))) => tokio::select! {
                biased;
                () = self.wait_past(revision, &why, others) => {}
                _ = stop.changed() => {}
            },
            Ok(Err(_)) | Err(_) => pause(RETRY_DELAY * 2).await,
        }
    }

    /// Waits until the claim of a revision may be free.
    async fn wait_until_free(
        &self,
        revision: Revision,
        claims: &mut claim::Watch,
    ) {
        claims.follow(revision);
        loop {
            match claims.next(&self.store).await {
                Ok(claim::Event::Same) => {}
                Ok(claim::Event::Free | claim::Event::Replaced(_)) => return,
                Err(_) => {
                    pause(RETRY_DELAY).await;
                    return;
                }
            }
        }
    }

    /// Waits until a value that nobody holds may be replaced, or is gone.
    async fn wait_past(
        &self,
        revision: Revision,
        why: &Unheld,
        others: &mut Others,
    ) {
        metrics::get().strange.add(1, &[label("what", "claim")]);
        if others.throttle.try_acquire() {
            slog::warn!(self.log, "planner: nobody holds the claim";
                "revision" => revision, "why" => %why,
                "left_out" => others.throttle.take_suppressed());
        }
        let free = self.wait_until_free(revision, &mut others.claims);
        let waited = tokio::time::timeout(claim::UNHELD_WAIT, free).await;
        others.past = waited.is_err().then_some(revision);
    }

    /// Plans until the claim is lost or `stop` is set. Returns the revision of
    /// the value that has replaced the claim, if one has.
    async fn plan(
        &self,
        claim: &Claim,
        mut stop: watch::Receiver<bool>,
    ) -> Option<Revision> {
        let claimed = Instant::now();
        let mut replaced = std::pin::pin!(self.wait_until_replaced(claim));
        let records = tokio::select! {
            biased;
            records = self.read_records() => records,
            by = &mut replaced => return by,
            () = self.renew(claim) => return None,
            _ = stop.changed() => return None,
        };
        let after = records.intake.revision;
        let (claim_lost, mut lost_signal) = watch::channel(false);
        let arguments = Arguments {
            store: self.store.clone(),
            claim: claim.clone(),
            source: self.source.clone(),
            advice: self.advice.clone(),
            options: self.options,
            records,
            claim_lost,
            log: self.log.clone(),
        };
        let spawned = Actor::spawn(None, Planner::default(), arguments).await;
        let planner = match spawned {
            Ok((planner, _)) => planner,
            Err(error) => {
                slog::error!(self.log, "planner: cannot start";
                    "error" => %error);
                return None;
            }
        };
        let took = claimed.elapsed().as_secs_f64();
        metrics::get().takeover_seconds.record(took, &[]);
        self.host.set(Some(planner.clone()));
        let by = tokio::select! {
            biased;
            by = &mut replaced => by,
            () = self.renew(claim) => None,
            () = self.follow_intake(&planner, after) => None,
            _ = lost_signal.changed() => {
                let by = tokio::time::timeout(REPLACED_WAIT, replaced);
                by.await.unwrap_or(None)
            }
            _ = stop.changed() => None,
        };
        self.host.set(None);
        planner.stop(None);
        by
    }

    /// Waits until the claim is no longer in the store, or was not seen there
    /// for [`claim::UNSEEN_LIMIT`]. Returns the revision of the value in its
    /// place, if there is one.
    ///
    /// A renewal does not show that: the lease goes on although another writer
    /// has replaced the value.
    async fn wait_until_replaced(&self, claim: &Claim) -> Option<Revision> {
        let mut claims = claim::Watch::new(WATCH_WAIT);
        claims.follow(claim.token);
        let mut until = Instant::now() + claim::UNSEEN_LIMIT;
        loop {
            let next = claims.next(&self.store);
            let by = match tokio::time::timeout_at(until, next).await {
                Ok(Ok(claim::Event::Same)) => {
                    until = Instant::now() + claim::UNSEEN_LIMIT;
                    continue;
                }
                Ok(Ok(claim::Event::Replaced(item))) => Some(item.modified),
                Ok(Ok(claim::Event::Free)) | Err(_) => None,
                Ok(Err(_)) => {
                    pause(RETRY_DELAY).await;
                    continue;
                }
            };
            slog::warn!(self.log,
                "planner: its claim is not seen in the store";
                "token" => claim.token, "in_its_place" => by);
            return by;
        }
    }

    /// Reads the progress and the accepted jobs that earlier planners and all
    /// entries have written, however long the store does not answer.
    ///
    /// The caller drops the call once the claim is lost. A planner must not
    /// begin without the records: it would take running tasks for nobody's.
    /// Since the claim was made nobody else writes progress, so a listing that
    /// was read stays true while the others are read again.
    async fn read_records(&self) -> Records {
        Records {
            progress: self.read_all(keys::PROGRESS_PREFIX).await,
            parts: self.read_all(keys::PART_PREFIX).await,
            // Last, because the watch continues from its revision.
            intake: self.read_all(keys::INTAKE_PREFIX).await,
        }
    }

    /// Reads the keys with a prefix, and retries until the store answers.
    async fn read_all(&self, prefix: &str) -> Listing {
        loop {
            match self.list(prefix).await {
                Some(listing) => return listing,
                None => pause(RETRY_DELAY).await,
            }
        }
    }

    async fn list(&self, prefix: &str) -> Option<Listing> {
        // No timeout here, however many records there are: the store's client
        // gives up when the store goes silent.
        match self.store.list(prefix).await {
            Ok(listing) => Some(listing),
            Err(error) => {
                slog::warn!(self.log, "planner: records could not be read";
                    "prefix" => prefix, "error" => %error);
                None
            }
        }
    }

    /// Renews the claim until it is lost.
    async fn renew(&self, claim: &Claim) {
        while claim.renew(&self.store).await && claim.holds() {
            tokio::time::sleep(claim::RENEWAL_INTERVAL).await;
        }
    }

    /// Passes the records that entries write to the planner.
    async fn follow_intake(
        &self,
        planner: &ActorRef<Message>,
        after: Revision,
    ) {
        let mut cursor = Cursor::new(after);
        loop {
            let after = cursor.after();
            let changes =
                self.store.changes(keys::INTAKE_PREFIX, after, WATCH_WAIT);
            let message = match changes.await {
                Ok(Changes { revision, changes }) => {
                    match changes.is_empty() {
                        true => cursor.advance_empty(revision),
                        false => cursor.advance(revision),
                    }
                    Message::Changes(changes)
                }
                Err(Error::Forgotten(_)) => {
                    match self.list(keys::INTAKE_PREFIX).await {
                        Some(listing) => {
                            slog::warn!(self.log,
                                "planner: changes were missed, reading all";
                                "from" => after, "to" => listing.revision);
                            cursor.advance(listing.revision);
                            Message::Listing(listing)
                        }
                        None => {
                            pause(RETRY_DELAY).await;
                            continue;
                        }
                    }
                }
                Err(_) => {
                    pause(RETRY_DELAY).await;
                    continue;
                }
            };
            if planner.cast(message).is_err() {
                return;
            }
        }
    }
}

fn count_claim(event: &'static str) {
    metrics::get().claims.add(1, &[label("what", event)]);
}
