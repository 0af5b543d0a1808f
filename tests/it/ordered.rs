//! Orders to an agent from a simulated planner: a start without an answer
//! neither delays other runs nor takes effect after the agent has refused it.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use jsonrpsee::core::async_trait;
use landingvalve::cell::claim::Holder;
use landingvalve::cell::connector::Connector;
use landingvalve::cell::connector::Peer;
use landingvalve::cell::connector::Recipient;
use landingvalve::cell::keys;
use landingvalve::cell::member::Config;
use landingvalve::cell::member::Heartbeat;
use landingvalve::cell::member::Member;
use landingvalve::cell::relay::call::Call;
use landingvalve::cell::relay::call::Reply;
use landingvalve::cell::rpc::Answer;
use landingvalve::graph::Life;
use landingvalve::graph::Options;
use landingvalve::graph::Orders;
use landingvalve::graph::Refusal;
use landingvalve::graph::Report;
use landingvalve::graph::Resources;
use landingvalve::graph::Speed;
use landingvalve::graph::Start;
use landingvalve::graph::Task;
use landingvalve::log;
use landingvalve::store::Mutation;
use landingvalve::store::Revision;
use landingvalve::store::Store;
use landingvalve::wire::link::Error;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::cell::heartbeat;
use crate::cell::FakeWorker;
use crate::cell::Memory;
use crate::support::until;

/// The time that the planner takes to answer a report.
const ANSWER_DELAY: Duration = Duration::from_millis(10);
/// Time without another attempt after which a withdrawn start is no longer
/// retried: several times the interval at which an agent retries.
const QUIET_TIME: Duration = Duration::from_millis(1000);

#[derive(Default)]
struct Data {
    /// The revision of the planner's claim.
    token: Revision,
    orders: Orders,
    last_report: Option<Report>,
    report_count: u32,
    /// The lives that reports named as gone, in their order.
    gone: Vec<Life>,
    /// How long the planner holds a report before it answers.
    hold: Duration,
    connections: u32,
}

/// A planner whose orders the test sets.
#[derive(Clone, Default)]
pub struct Planner(Arc<Mutex<Data>>);

impl Planner {
    /// Returns a planner that holds the claim of a new store.
    pub async fn new() -> (Planner, Memory) {
        let store = Memory::default();
        let holder = Holder {
            process: "entry".to_owned(),
            address: "entry".to_owned(),
            life: "life".to_owned(),
            cores: 1.0,
        };
        let holder = serde_json::to_vec(&holder).expect("encoded");
        let put = Mutation::Value(keys::CLAIM.to_owned(), holder, 0);
        store.swap(&[], vec![put]).await.expect("written");
        let claim = store.get(keys::CLAIM).await.expect("an answer");
        let planner = Planner::default();
        planner.lock().token = claim.expect("a claim").modified;
        (planner, store)
    }

    /// Starts an agent that reports to this planner.
    pub fn agent(&self, store: &Memory, worker: &FakeWorker) -> Agent {
        let config = Config {
            agent: "agent".into(),
            survival: Options::default().survival,
            lease: Duration::from_secs(6),
            connector: Arc::new(self.clone()),
            log: log::none(),
        };
        let member = Member::new(config, worker.clone(), store.clone());
        let running = member.clone();
        let task = tokio::spawn(async move { running.run().await });
        Agent { member, task }
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the orders by `starts` at a worker.
    pub fn order(&self, worker: &FakeWorker, starts: Vec<Start>) {
        let mut data = self.lock();
        data.orders = Orders {
            life: Some(heartbeat(worker, 0).life),
            starts,
            speed: data.orders.speed,
            ..Orders::default()
        };
    }

    /// Tells agents what is known of their workers' speed.
    pub fn set_speed(&self, speed: Speed) {
        self.lock().orders.speed = Some(speed);
    }

    /// Returns the lives that reports named as gone.
    pub fn gone(&self) -> Vec<Life> {
        self.lock().gone.clone()
    }

    /// Waits for a report in which `wanted` finds a value; returns the value.
    async fn wait_for_report<T>(
        &self,
        what: &str,
        wanted: impl Fn(&Report) -> Option<T>,
    ) -> T {
        let last =
            || async { self.lock().last_report.as_ref().and_then(&wanted) };
        until(what, last).await
    }

    /// Waits until a report refuses a run; returns why.
    pub async fn wait_for_refusal(&self) -> Refusal {
        let refusal = |report: &Report| {
            let worker = report.worker.as_ref()?;
            worker.refused.first().map(|refused| refused.why)
        };
        self.wait_for_report("the run is refused", refusal).await
    }

    /// Waits until an agent has received the present orders.
    async fn wait_until_received(&self) {
        let before = self.lock().report_count;
        let is_received = || async {
            let reports = self.lock().report_count;
            (reports >= before + 2).then_some(())
        };
        until("two reports are answered", is_received).await;
    }
}

impl fmt::Debug for Planner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Planner")
    }
}

#[async_trait]
impl Connector for Planner {
    async fn connect(
        &self,
        _entry: &Recipient,
    ) -> Result<Arc<dyn Peer>, Error> {
        self.lock().connections += 1;
        Ok(Arc::new(self.clone()))
    }
}

#[async_trait]
impl Peer for Planner {
    async fn sync(&self, report: Report) -> Result<Answer, Error> {
        let hold = {
            let mut data = self.lock();
            data.last_report = Some(report.clone());
            data.gone.extend(report.gone.clone());
            data.hold
        };
        tokio::time::sleep(ANSWER_DELAY + hold).await;
        let mut data = self.lock();
        data.last_report = Some(report);
        data.report_count += 1;
        Ok(Answer::Orders {
            token: data.token,
            granted: true,
            orders: data.orders.clone(),
        })
    }

    async fn store(&self, _call: Call) -> Result<Reply, Error> {
        unreachable!("the store is reachable")
    }
}

/// An agent that reports to a [`Planner`].
pub struct Agent {
    pub member: Member<FakeWorker, Memory>,
    task: JoinHandle<()>,
}

impl Agent {
    pub fn kill(self) {
        self.task.abort();
    }
}

/// Returns the order to start a task's first run.
pub fn start(index: u32) -> Start {
    Start {
        task: Task {
            job: "a".into(),
            time: 0,
            step: 0,
            index,
        },
        run: 1,
        spec: "spec".into(),
        saved: None,
        ticket: None,
        charge: Resources::default(),
        account: None,
        begin_within_ms: None,
    }
}

fn leaving(worker: &FakeWorker, sequence: u64) -> Heartbeat {
    Heartbeat {
        leaving: true,
        ..heartbeat(worker, sequence)
    }
}

/// Waits until a report describes the worker.
pub async fn wait_until_known(planner: &Planner) {
    let known = |report: &Report| report.worker.as_ref().map(|_| ());
    planner.wait_for_report("the worker is known", known).await;
}

async fn wait_until_lost(worker: &FakeWorker, count: u32) {
    let lost =
        || async { (worker.unanswered_starts() >= count).then_some(()) };
    until("starts without an answer", lost).await;
}

/// Two runs are ordered together, and the start of one gets no answer. The
/// agent must not delay the other one, whose state is known, until the worker
/// has answered a poll. Such a delay showed as a repetition of the first run's
/// start: `lost a.0.0.0 1, lost a.0.0.0 1, began a.0.0.1 1`.
#[tokio::test]
async fn start_without_an_answer_does_not_delay_other_runs() {
    let (planner, store) = Planner::new().await;
    let worker = FakeWorker::with_births();
    let agent = planner.agent(&store, &worker);
    agent.member.heartbeat(heartbeat(&worker, 1));
    wait_until_known(&planner).await;
    worker.leave_starts_unanswered(1);
    worker.stall_polls_after_unanswered_start();
    planner.order(&worker, vec![start(0), start(1)]);
    wait_until_lost(&worker, 1).await;
    let is_stalled = || async { (worker.stalled_polls() >= 2).then_some(()) };
    until("two polls without an answer", is_stalled).await;
    assert_eq!(worker.started().len(), 1, "{:?}", worker.started());
    agent.kill();
}

/// A start gets no answer, its order is withdrawn and given again (by the next
/// planner, for instance) while the worker is leaving. An agent that forgets
/// the start with its first order refuses the run without barring it: the
/// planner then starts another run elsewhere, and the late start begins this
/// one as well.
#[tokio::test]
async fn start_without_an_answer_is_barred_when_its_order_is_repeated() {
    let (planner, store) = Planner::new().await;
    let worker = FakeWorker::with_births();
    let agent = planner.agent(&store, &worker);
    agent.member.heartbeat(heartbeat(&worker, 1));
    wait_until_known(&planner).await;
    worker.leave_starts_unanswered(u32::MAX);
    planner.order(&worker, vec![start(0)]);
    wait_until_lost(&worker, 1).await;
    planner.order(&worker, Vec::new());
    planner.wait_until_received().await;
    wait_until_quiet(&worker).await;
    agent.member.heartbeat(leaving(&worker, 2));
    planner.order(&worker, vec![start(0)]);
    planner.wait_for_refusal().await;
    worker.execute_late_starts();
    assert_eq!(
        worker.started(),
        Vec::<String>::new(),
        "a refused run began"
    );
    agent.kill();
}

/// The agent counts the use of its worker for the accounts of its runs, also
/// where an older planner names none.
#[tokio::test]
async fn an_agent_reports_the_use_of_its_worker_by_account() {
    let (planner, store) = Planner::new().await;
    let worker = FakeWorker::with_births();
    let agent = planner.agent(&store, &worker);
    agent.member.heartbeat(heartbeat(&worker, 1));
    wait_until_known(&planner).await;
    let charge = Resources {
        accelerators: 4,
        ..Resources::default()
    };
    let named = Start {
        charge,
        account: Some("large".into()),
        ..start(0)
    };
    let unnamed = Start { charge, ..start(1) };
    let began = Instant::now();
    planner.order(&worker, vec![named, unnamed]);
    let used = |report: &Report| {
        let used = &report.worker.as_ref()?.used;
        let enough = used.iter().any(|used| used.accelerator_seconds > 0.5);
        enough.then(|| used.clone())
    };
    let used = planner.wait_for_report("use is reported", used).await;
    assert_eq!(used.len(), 1, "{used:?}");
    assert_eq!(&*used[0].account, "large");
    let most = 4.0 * began.elapsed().as_secs_f64();
    assert!(used[0].accelerator_seconds <= most, "{used:?}, {most}");
    agent.kill();
}

/// The same with a restart of the agent before the order is repeated: the new
/// process does not know which starts the earlier one has sent.
#[tokio::test]
async fn start_by_an_earlier_agent_process_is_barred_before_it_is_refused() {
    let (planner, store) = Planner::new().await;
    let worker = FakeWorker::with_births();
    let first = planner.agent(&store, &worker);
    first.member.heartbeat(heartbeat(&worker, 1));
    wait_until_known(&planner).await;
    worker.leave_starts_unanswered(u32::MAX);
    planner.order(&worker, vec![start(0)]);
    wait_until_lost(&worker, 1).await;
    first.kill();
    let second = planner.agent(&store, &worker);
    second.member.heartbeat(leaving(&worker, 2));
    planner.wait_for_refusal().await;
    worker.execute_late_starts();
    assert_eq!(
        worker.started(),
        Vec::<String>::new(),
        "a refused run began"
    );
    second.kill();
}

/// Waits until a withdrawn start is no longer retried.
async fn wait_until_quiet(worker: &FakeWorker) {
    let mut last_attempt = (worker.unanswered_starts(), Instant::now());
    let is_quiet = || {
        let now = worker.unanswered_starts();
        if now != last_attempt.0 {
            last_attempt = (now, Instant::now());
        }
        let quiet = last_attempt.1.elapsed() > QUIET_TIME;
        async move { quiet.then_some(()) }
    };
    until("no more starts", is_quiet).await;
}

/// Starts a run on a worker and sets what is known of the worker's speed.
async fn run_with_speed(
    planner: &Planner,
    worker: &FakeWorker,
    speed: Option<Speed>,
) {
    wait_until_known(planner).await;
    planner.order(worker, vec![start(0)]);
    planner.lock().orders.speed = speed;
    let runs = |report: &Report| {
        let worker = report.worker.as_ref()?;
        (!worker.lists.running.is_empty()).then_some(())
    };
    planner.wait_for_report("the run is listed", runs).await;
}

/// Guards against short runs that end before two polls have shown how fast
/// their worker is, and against polls that stay frequent where it is known.
#[tokio::test]
async fn a_worker_of_unknown_speed_is_polled_more_often() {
    let known = Speed { log: 0.0, runs: 4 };
    for (speed, wait) in [(None, 300), (Some(known), 1000)] {
        let (planner, store) = Planner::new().await;
        let worker = FakeWorker::with_births();
        let agent = planner.agent(&store, &worker);
        agent.member.heartbeat(heartbeat(&worker, 1));
        run_with_speed(&planner, &worker, speed).await;
        let wait = Duration::from_millis(wait);
        let is_wait =
            || async { (worker.last_poll_wait() == wait).then_some(()) };
        until("a poll with this wait", is_wait).await;
        agent.kill();
    }
}

/// Guards against observations that reach the planner only with the next
/// report, up to 1 s later.
#[tokio::test]
async fn progress_on_a_worker_of_unknown_speed_is_reported_at_once() {
    let known = Speed { log: 0.0, runs: 4 };
    for (speed, at_once) in [(None, true), (Some(known), false)] {
        let (planner, store) = Planner::new().await;
        let worker = FakeWorker::with_births();
        let agent = planner.agent(&store, &worker);
        agent.member.heartbeat(heartbeat(&worker, 1));
        run_with_speed(&planner, &worker, speed).await;
        worker.set_shares(1.0);
        let has_begun = |report: &Report| {
            let running = &report.worker.as_ref()?.lists.running;
            running.iter().all(|run| run.pace == 1.0).then_some(())
        };
        planner.wait_for_report("a small share", has_begun).await;
        // From now on only an agent that has something new reports.
        planner.lock().hold = Duration::from_secs(600);
        tokio::time::sleep(ANSWER_DELAY * 10).await;
        worker.set_shares(12.0);
        let reported = || {
            let data = planner.lock();
            let report = data.last_report.as_ref();
            let worker = report.and_then(|report| report.worker.as_ref());
            worker.is_some_and(|worker| {
                worker.lists.running.iter().any(|run| run.pace == 12.0)
            })
        };
        // An agent whose report is not answered connects again and reports
        // all it knows.
        let connections = planner.lock().connections;
        until("the share is reported", || async {
            reported().then_some(())
        })
        .await;
        let is_first = planner.lock().connections == connections;
        assert_eq!(is_first, at_once);
        agent.kill();
    }
}
