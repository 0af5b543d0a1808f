//! Orders to an agent from a planner that the test plays.

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
use landingvalve::cell::keys;
use landingvalve::cell::member::Config;
use landingvalve::cell::member::Heartbeat;
use landingvalve::cell::member::Member;
use landingvalve::cell::relay::call::Call;
use landingvalve::cell::relay::call::Reply;
use landingvalve::cell::rpc::Answer;
use landingvalve::graph::Options;
use landingvalve::graph::Orders;
use landingvalve::graph::Report;
use landingvalve::graph::Resources;
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

/// How often an agent is answered.
const ANSWERS: Duration = Duration::from_millis(10);
/// How long after a start without answer its order is surely given up: some
/// times as long as an agent waits before it tries again.
const QUIET: Duration = Duration::from_millis(1000);

#[derive(Default)]
struct Data {
    /// The revision of its claim.
    token: Revision,
    orders: Orders,
    last: Option<Report>,
    reports: u32,
}

/// A planner that orders what it is told to.
#[derive(Clone, Default)]
struct Planner(Arc<Mutex<Data>>);

impl Planner {
    /// Returns a planner that holds the claim of a new store.
    async fn new() -> (Planner, Memory) {
        let store = Memory::default();
        let holder = Holder {
            process: "entry".to_owned(),
            address: "entry".to_owned(),
            life: "life".to_owned(),
            cores: 1.0,
        };
        let holder = serde_json::to_vec(&holder).expect("encodes");
        let put = Mutation::Value(keys::CLAIM.to_owned(), holder, 0);
        store.swap(&[], vec![put]).await.expect("is written");
        let claim = store.get(keys::CLAIM).await.expect("answers");
        let planner = Planner::default();
        planner.lock().token = claim.expect("is there").modified;
        (planner, store)
    }

    /// Starts an agent that reports to it.
    fn agent(&self, store: &Memory, worker: &FakeWorker) -> Agent {
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

    /// Orders runs to be started by a worker, and nothing else.
    fn order(&self, worker: &FakeWorker, starts: Vec<Start>) {
        let life = Some(heartbeat(worker, 0).life);
        self.lock().orders = Orders {
            life,
            starts,
            ..Orders::default()
        };
    }

    /// Returns once an agent has reported what `wanted` looks for.
    async fn hears<T>(
        &self,
        what: &str,
        wanted: impl Fn(&Report) -> Option<T>,
    ) -> T {
        let last = || async { self.lock().last.as_ref().and_then(&wanted) };
        until(what, last).await
    }

    /// Returns once an agent has taken in what is ordered now.
    async fn answers(&self) {
        let heard = self.lock().reports;
        let twice = || async {
            let reports = self.lock().reports;
            (reports >= heard + 2).then_some(())
        };
        until("two reports are answered", twice).await;
    }
}

impl fmt::Debug for Planner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Planner")
    }
}

#[async_trait]
impl Connector for Planner {
    async fn connect(&self, _address: &str) -> Result<Arc<dyn Peer>, Error> {
        Ok(Arc::new(self.clone()))
    }
}

#[async_trait]
impl Peer for Planner {
    async fn sync(&self, report: Report) -> Result<Answer, Error> {
        tokio::time::sleep(ANSWERS).await;
        let mut data = self.lock();
        data.last = Some(report);
        data.reports += 1;
        Ok(Answer::Orders {
            token: data.token,
            granted: true,
            orders: data.orders.clone(),
        })
    }

    async fn store(&self, _call: Call) -> Result<Reply, Error> {
        unreachable!("the store is reached")
    }
}

struct Agent {
    member: Member<FakeWorker, Memory>,
    task: JoinHandle<()>,
}

impl Agent {
    fn kill(self) {
        self.task.abort();
    }
}

fn start(index: u32) -> Start {
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
    }
}

fn leaving(worker: &FakeWorker, sequence: u64) -> Heartbeat {
    Heartbeat {
        leaving: true,
        ..heartbeat(worker, sequence)
    }
}

async fn is_known(planner: &Planner) {
    let known = |report: &Report| report.worker.as_ref().map(|_| ());
    planner.hears("the worker is known", known).await;
}

async fn is_refused(planner: &Planner) {
    let refused = |report: &Report| {
        let worker = report.worker.as_ref()?;
        (!worker.refused.is_empty()).then_some(())
    };
    planner.hears("the run will never begin", refused).await;
}

async fn lost(worker: &FakeWorker, count: u32) {
    let lost =
        || async { (worker.unanswered_starts() >= count).then_some(()) };
    until("starts have no answer", lost).await;
}

/// Two runs were ordered together, and the start of one had no answer. The
/// other one, of which nothing is in doubt, waited with it until the worker
/// had answered a look; so the start that was lost next was the first one's
/// repetition: `lost a.0.0.0 1, lost a.0.0.0 1, began a.0.0.1 1`.
#[tokio::test]
async fn a_start_without_answer_holds_back_no_other_run() {
    let (planner, store) = Planner::new().await;
    let worker = FakeWorker::with_births();
    let agent = planner.agent(&store, &worker);
    agent.member.heartbeat(heartbeat(&worker, 1));
    is_known(&planner).await;
    worker.leave_starts_unanswered(1);
    worker.stall_polls_after_unanswered_start();
    planner.order(&worker, vec![start(0), start(1)]);
    lost(&worker, 1).await;
    let stalls = || async { (worker.stalled_polls() >= 2).then_some(()) };
    until("two looks have no answer", stalls).await;
    assert_eq!(worker.started().len(), 1, "{:?}", worker.started());
    agent.kill();
}

/// A start had no answer, its order was withdrawn and given again, by the
/// next planner say, and the worker was leaving by then. The agent had
/// forgotten that start with its first order: it told that the run will never
/// begin, and barred nothing. The planner begins another run elsewhere then,
/// and the late start began this one as well.
#[tokio::test]
async fn a_start_without_answer_is_barred_though_its_order_is_given_again() {
    let (planner, store) = Planner::new().await;
    let worker = FakeWorker::with_births();
    let agent = planner.agent(&store, &worker);
    agent.member.heartbeat(heartbeat(&worker, 1));
    is_known(&planner).await;
    worker.leave_starts_unanswered(u32::MAX);
    planner.order(&worker, vec![start(0)]);
    lost(&worker, 1).await;
    planner.order(&worker, Vec::new());
    planner.answers().await;
    is_quiet(&worker).await;
    agent.member.heartbeat(leaving(&worker, 2));
    planner.order(&worker, vec![start(0)]);
    is_refused(&planner).await;
    worker.execute_late_starts();
    assert_eq!(worker.started(), Vec::<String>::new(), "begun after all");
    agent.kill();
}

/// The same, where the agent starts again before the order is given again:
/// what it had sent, nobody knows.
#[tokio::test]
async fn a_start_of_an_earlier_agent_is_barred_before_it_is_refused() {
    let (planner, store) = Planner::new().await;
    let worker = FakeWorker::with_births();
    let first = planner.agent(&store, &worker);
    first.member.heartbeat(heartbeat(&worker, 1));
    is_known(&planner).await;
    worker.leave_starts_unanswered(u32::MAX);
    planner.order(&worker, vec![start(0)]);
    lost(&worker, 1).await;
    first.kill();
    let second = planner.agent(&store, &worker);
    second.member.heartbeat(leaving(&worker, 2));
    is_refused(&planner).await;
    worker.execute_late_starts();
    assert_eq!(worker.started(), Vec::<String>::new(), "begun after all");
    second.kill();
}

/// Returns once a withdrawn start is not tried again.
async fn is_quiet(worker: &FakeWorker) {
    let mut tried = (worker.unanswered_starts(), Instant::now());
    let quiet = || {
        let now = worker.unanswered_starts();
        if now != tried.0 {
            tried = (now, Instant::now());
        }
        let quiet = tried.1.elapsed() > QUIET;
        async move { quiet.then_some(()) }
    };
    until("nothing is started", quiet).await;
}
