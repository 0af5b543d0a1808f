//! Planners that could not read the records, or not all of them, or not write
//! what they have read.
//!
//! Guards against ends that are acknowledged although nobody has kept them:
//! the worker forgets them, and the tasks run again.

use std::time::Duration;

use landingvalve::cell::claim;
use landingvalve::cell::claim::Holder;
use landingvalve::cell::configuration::Configuration;
use landingvalve::cell::configuration::Source;
use landingvalve::cell::keys;
use landingvalve::cell::reachability::Reachability;
use landingvalve::cell::rpc::Answer;
use landingvalve::cell::rpc::CellServer;
use landingvalve::cell::session::Host;
use landingvalve::cell::session::Session;
use landingvalve::cell::Admission;
use landingvalve::graph::Job;
use landingvalve::graph::Options;
use landingvalve::graph::Orders;
use landingvalve::graph::Outcome;
use landingvalve::graph::Progress;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Scheduler;
use landingvalve::graph::Step;
use landingvalve::log;
use landingvalve::store::Mutation;
use landingvalve::store::Store;
use serde_json::Value;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::cell::deadline;
use crate::cell::job;
use crate::cell::CONFIGURATION_BOUND;
use crate::cell::CONFIGURATION_KEYS;
use crate::graph;
use crate::graph::step;
use crate::graph::Site;
use crate::graph::Worker;
use crate::memory::Event;
use crate::memory::Memory;
use crate::memory::Outage;
use crate::memory::CLIENT_TIMEOUT;

/// The tasks of the job, and how many of them end while nobody plans.
const TASKS: usize = 4;
const DONE: usize = 2;
/// The calls of the store after a claim at which an outage begins: all of those
/// that come before the planner's first answer, and some after it.
const CALLS: std::ops::RangeInclusive<usize> = 1..=12;
/// The step between the lengths of outages.
const STEP: Duration = Duration::from_millis(50);
/// The time within which the job is over, whatever the outage.
const LIMIT: Duration = Duration::from_secs(60);
/// The pause of an agent that reaches no planner.
const AGENT_PAUSE: Duration = Duration::from_millis(50);

/// A process that plans, called without a network.
struct Process {
    host: Host,
    planning: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

impl Process {
    fn start(name: &str, store: &Memory) -> Process {
        let source = Source::without_closed_halls();
        Process::with_source(name, store, source)
    }

    fn with_source(name: &str, store: &Memory, source: Source) -> Process {
        let host = Host::new(name, log::none());
        let session = Session {
            store: store.clone(),
            holder: Holder {
                process: name.to_owned(),
                address: String::new(),
                life: name.to_owned(),
                cores: 1.0,
            },
            host: host.clone(),
            source,
            advice: None,
            options: Options::default(),
            log: log::none(),
        };
        let (stop, stopped) = watch::channel(false);
        Process {
            host,
            planning: tokio::spawn(session.run(stopped)),
            _stop: stop,
        }
    }

    /// Reports the worker and carries out the orders. Returns them, if this
    /// process plans.
    async fn serve(&self, worker: &mut Worker) -> Option<Orders> {
        let answer = self.host.sync(worker.report(), None).await;
        match answer {
            Ok(Answer::Orders { orders, .. }) => {
                worker.execute(&orders);
                Some(orders)
            }
            Ok(Answer::NotPlanner) | Err(_) => {
                tokio::time::sleep(AGENT_PAUSE).await;
                None
            }
        }
    }
}

/// Plays in a runtime of its own, so that no process of another play goes on.
fn in_virtual_time<T>(play: impl std::future::Future<Output = T>) -> T {
    // The jitter of retries is the same in each run of the tests.
    fastrand::seed(0);
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(play)
}

/// Returns a job of [`TASKS`] tasks.
fn wide_job() -> Job {
    let narrow = job("a");
    let step = Step {
        replicas: TASKS as u32,
        ..narrow.steps[0].clone()
    };
    Job {
        steps: vec![step],
        ..narrow
    }
}

/// A store and a worker whose tasks an earlier planner has started, some of
/// which have ended since.
async fn site_without_planner() -> (Memory, Worker) {
    let store = Memory::default();
    let mut worker = Site::new(&[("w1", "r1")]).workers.remove(0);
    let admission = Admission::new(store.clone(), log::none());
    admission.submit(&wide_job(), deadline()).await;
    let first = Process::start("first", &store);
    let until = Instant::now() + LIMIT;
    while worker.running.len() < TASKS {
        assert!(Instant::now() < until, "the tasks do not start");
        first.serve(&mut worker).await;
    }
    first.planning.abort();
    worker.end(RunOutcome::Done, |run| (run.task.index as usize) < DONE);
    (store, worker)
}

/// Returns the stored progress of the job.
fn stored(store: &Memory) -> Progress {
    let value = store.value(&keys::progress("a"));
    let progress = value.map(|value| serde_json::from_slice(&value));
    let progress = progress.transpose().expect("is readable");
    progress.unwrap_or_default()
}

/// Plays an outage while a second planner takes over. Returns what it breaks.
async fn play(outage: Outage) -> Option<String> {
    let (store, mut worker) = site_without_planner().await;
    store.plan_outage(outage);
    let second = Process::start("second", &store);
    let until = Instant::now() + LIMIT;
    while stored(&store).outcome.is_none() {
        if Instant::now() >= until {
            return Some("the job does not end".to_owned());
        }
        let Some(orders) = second.serve(&mut worker).await else {
            continue;
        };
        let progress = stored(&store);
        let done = progress.units.values().filter(|unit| unit.done).count();
        if orders.noted > done as u64 {
            let noted = orders.noted;
            return Some(format!("{noted} ends acknowledged, {done} stored"));
        }
        if !orders.stops.is_empty() {
            return Some(format!("stopped: {:?}", orders.stops));
        }
        if store.is_outage_over() {
            worker.end(RunOutcome::Done, |_| true);
        }
    }
    second.planning.abort();
    let outcome = stored(&store).outcome;
    let starts = worker.started_runs.len();
    (outcome != Some(Outcome::Succeeded) || starts != TASKS)
        .then(|| format!("{outcome:?} after {starts} starts"))
}

/// Guards against a planner that took three reads that had failed for three
/// empty answers: it acknowledged the ends of jobs that it did not know and
/// stopped their runs, and the next planner began done tasks again.
#[test]
fn a_planner_whose_reads_fail_while_its_claim_goes_on_takes_nothing_for_empty()
{
    let longest = claim::TTL + CLIENT_TIMEOUT;
    let mut broken = Vec::new();
    for call in CALLS {
        let mut lasts = STEP;
        while lasts <= longest {
            let at = Event::AfterClaim(call);
            let outage = Outage { at, lasts };
            if let Some(why) = in_virtual_time(play(outage)) {
                broken.push(format!("{outage:?}: {why}"));
            }
            lasts += STEP;
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Plays an outage that begins as the planner reads what a lost worker's agent
/// has saved. Returns what it breaks.
async fn play_loss(lasts: Duration) -> Option<String> {
    let store = Memory::default();
    let mut workers = Site::new(&[("w1", "r1"), ("w2", "r1")]).workers;
    let (mut other, mut lost) = (workers.remove(1), workers.remove(0));
    let admission = Admission::new(store.clone(), log::none());
    admission.submit(&wide_job(), deadline()).await;
    let process = Process::start("entry", &store);
    let until = Instant::now() + LIMIT;
    while lost.running.len() < TASKS {
        assert!(Instant::now() < until, "the tasks do not start");
        process.serve(&mut lost).await;
    }
    let at = Event::List(keys::REPORT_PREFIX);
    store.plan_outage(Outage { at, lasts });
    while stored(&store).outcome.is_none() {
        if Instant::now() >= until {
            return Some("the job does not end".to_owned());
        }
        process.serve(&mut other).await;
        if store.is_outage_over() {
            other.end(RunOutcome::Done, |_| true);
        }
    }
    process.planning.abort();
    None
}

/// Guards against runs that are never settled. A planner whose claim lapsed
/// while it read the saved reports of a lost worker's agent gave up the reading
/// for good, and a renewal that was under way kept it planning.
#[test]
fn saved_reports_that_could_not_be_read_are_read_again() {
    let mut broken = Vec::new();
    let mut lasts = STEP;
    while lasts <= claim::TTL + CLIENT_TIMEOUT {
        if let Some(why) = in_virtual_time(play_loss(lasts)) {
            broken.push(format!("{lasts:?}: {why}"));
        }
        lasts += STEP;
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The key of the ends that are kept for the job while it cannot be read.
const ENDS_KEY: &str = "lv/in/a/ends";
/// A value that no version of the program can decode.
const GARBAGE: &[u8] = b"{\"units\": 7}";
/// How long a planner serves a worker whose job it cannot read.
const SERVED: Duration = Duration::from_secs(5);
/// What can be wrong with the records of the job, as the key that is written
/// and its value; nothing if the key is deleted.
const DAMAGES: [(&str, Option<&[u8]>); 4] = [
    ("lv/progress/a", Some(GARBAGE)),
    ("lv/part/a/0.0.0", Some(GARBAGE)),
    ("lv/in/a/job", Some(GARBAGE)),
    ("lv/in/a/job", None),
];

/// Writes or deletes a key.
async fn set(store: &Memory, key: &str, value: Option<Vec<u8>>) {
    let key = key.to_owned();
    let mutation = match value {
        Some(value) => Mutation::Value(key, value, 0),
        None => Mutation::Delete(key),
    };
    store.swap(&[], vec![mutation]).await.expect("is written");
}

/// Returns the number of ends that are kept for the job.
fn kept(store: &Memory) -> usize {
    let value = store.value(ENDS_KEY);
    let ends = value.map(|v| serde_json::from_slice::<Vec<Value>>(&v));
    ends.map_or(0, |ends| ends.expect("is readable").len())
}

/// Plays two takeovers: a planner that cannot read the job's records, and after
/// their repair one that can. Returns what that breaks.
async fn play_damage(key: &str, value: Option<&[u8]>) -> Option<String> {
    let (store, mut worker) = site_without_planner().await;
    let sound = store.value(key);
    set(&store, key, value.map(<[u8]>::to_vec)).await;
    let second = Process::start("second", &store);
    let until = Instant::now() + SERVED;
    while Instant::now() < until {
        let Some(orders) = second.serve(&mut worker).await else {
            continue;
        };
        if orders.noted > kept(&store) as u64 {
            return Some(format!("{} ends acknowledged", orders.noted));
        }
        if !orders.stops.is_empty() || !orders.starts.is_empty() {
            return Some(format!("ordered: {orders:?}"));
        }
    }
    if worker.acknowledged != DONE as u64 {
        return Some("kept ends are not acknowledged".to_owned());
    }
    second.planning.abort();
    set(&store, key, sound).await;
    let third = Process::start("third", &store);
    let until = Instant::now() + LIMIT;
    worker.end(RunOutcome::Done, |_| true);
    while stored(&store).outcome.is_none() {
        if Instant::now() >= until {
            return Some("the job does not end".to_owned());
        }
        third.serve(&mut worker).await;
    }
    third.planning.abort();
    let starts = worker.started_runs.len();
    (starts != TASKS).then(|| format!("{starts} starts"))
}

/// Guards against tasks that are done and run again, or are stopped, because a
/// record of their job could not be decoded: the planner took the job for one
/// that was removed.
#[test]
fn ends_of_a_job_that_cannot_be_read_are_kept_until_it_can_be() {
    let mut broken = Vec::new();
    for (key, value) in DAMAGES {
        if let Some(why) = in_virtual_time(play_damage(key, value)) {
            let what = if value.is_some() { "damaged" } else { "gone" };
            broken.push(format!("{key} {what}: {why}"));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Serves a worker without a planner until the runs of the job are stopped and
/// all ends acknowledged.
async fn serve_until_nothing_is_left(store: &Memory, worker: &mut Worker) {
    let second = Process::start("second", store);
    let until = Instant::now() + LIMIT;
    while !worker.running.is_empty() || !worker.ended.is_empty() {
        let left = (&worker.running, &worker.ended);
        assert!(Instant::now() < until, "left: {left:?}");
        second.serve(worker).await;
    }
    second.planning.abort();
}

/// Guards against ends that a worker keeps for good, and holds back the later
/// ones.
#[tokio::test(start_paused = true)]
async fn ends_of_a_removed_job_are_acknowledged_and_its_runs_stopped() {
    let (store, mut worker) = site_without_planner().await;
    for key in ["lv/in/a/job", "lv/progress/a"] {
        set(&store, key, None).await;
    }
    serve_until_nothing_is_left(&store, &mut worker).await;
    assert_eq!(store.value(ENDS_KEY), None);
}

/// Guards against tasks that run on after their cancel was confirmed.
#[tokio::test(start_paused = true)]
async fn runs_of_a_job_that_cannot_be_read_stop_at_its_cancel() {
    let (store, mut worker) = site_without_planner().await;
    set(&store, "lv/progress/a", Some(GARBAGE.to_vec())).await;
    let admission = Admission::new(store.clone(), log::none());
    assert!(admission.cancel("a", deadline()).await.expect("answers"));
    serve_until_nothing_is_left(&store, &mut worker).await;
    assert_eq!(kept(&store), TASKS);
}

/// Returns how many tasks of another job begin beside those of a job whose
/// records a planner cannot read.
fn begun_beside_unreadable(is_job_known: bool) -> usize {
    let mut site = Site::new(&[("w1", "r1")]);
    let hidden = graph::job("hidden", 1, vec![step(4, 1, false)], &site);
    site.submit(hidden.clone());
    site.settle();
    assert_eq!(site.running("hidden"), 4);
    site.scheduler = Scheduler::new(Options::default(), site.now);
    let known = is_job_known.then_some(&hidden);
    site.scheduler
        .add_unreadable_job("hidden".into(), known, Vec::new());
    let other = graph::job("other", 1, vec![step(8, 1, false)], &site);
    site.submit(other);
    site.run_for(Duration::from_secs(5));
    assert_eq!(site.running("hidden"), 4, "stopped");
    site.running("other")
}

/// Guards against workers that are filled beyond their capacity beside runs
/// that go on although nothing is known of their job.
#[test]
fn runs_of_a_job_that_cannot_be_read_keep_their_room() {
    assert_eq!(begun_beside_unreadable(true), 4);
    assert_eq!(begun_beside_unreadable(false), 0);
}

/// Guards against tasks that begin in a hall that has been closed for long. A
/// planner that had claimed before its process had read the operators' keys
/// took the halls for open.
#[tokio::test(start_paused = true)]
async fn a_planner_starts_nothing_before_the_operators_keys_are_read() {
    let store = Memory::default();
    let [mut closed, mut open] = [("w1", "r1"), ("w2", "r1")]
        .map(|worker| Site::new(&[worker]).workers.remove(0));
    closed.hall = "closed".into();
    set(&store, "key/closed/closed", Some(Vec::new())).await;
    let admission = Admission::new(store.clone(), log::none());
    admission.submit(&wide_job(), deadline()).await;
    let source = Source::new();
    let process = Process::with_source("entry", &store, source.clone());
    let until = Instant::now() + SERVED;
    while Instant::now() < until {
        process.serve(&mut closed).await;
        process.serve(&mut open).await;
    }
    let started = closed.started_runs.len() + open.started_runs.len();
    assert_eq!(started, 0, "before the keys are read");
    let decode = |_: &[u8]| Ok::<_, String>(Configuration::default());
    let follow = source.follow(
        store.clone(),
        CONFIGURATION_KEYS,
        CONFIGURATION_BOUND,
        decode,
        Reachability::new(),
        log::none(),
    );
    let follow = tokio::spawn(follow);
    let until = Instant::now() + LIMIT;
    while open.running.len() < TASKS {
        assert!(Instant::now() < until, "the tasks do not start");
        process.serve(&mut closed).await;
        process.serve(&mut open).await;
    }
    assert_eq!(closed.started_runs.len(), 0);
    follow.abort();
    process.planning.abort();
}

/// The longest time from the store's return to the start of a task that waits
/// for nothing but an end that was read before.
const TASK_WAIT: Duration = Duration::from_secs(5);

/// Guards against a job that stands still although its task was done. The
/// planner had read the end, could not write it while the store was away, and
/// forgot it with its claim; the agent was taken away with its worker.
#[tokio::test(start_paused = true)]
async fn an_end_that_was_read_outlasts_its_planner_and_its_agent() {
    let store = Memory::default();
    let mut workers = Site::new(&[("w1", "r1"), ("w2", "r1")]).workers;
    let (mut other, mut gone) = (workers.remove(1), workers.remove(0));
    let narrow = job("a");
    let first = Step {
        replicas: 1,
        ..narrow.steps[0].clone()
    };
    let second = Step {
        after: vec![0],
        ..first.clone()
    };
    let steps = vec![first, second];
    let admission = Admission::new(store.clone(), log::none());
    let chain = Job { steps, ..narrow };
    admission.submit(&chain, deadline()).await;
    let process = Process::start("entry", &store);
    let until = Instant::now() + LIMIT;
    while gone.running.is_empty() {
        assert!(Instant::now() < until, "the task does not start");
        process.serve(&mut gone).await;
    }
    store.reject_calls(u32::MAX);
    gone.end(RunOutcome::Done, |_| true);
    process.serve(&mut gone).await;
    tokio::time::sleep(claim::TTL + CLIENT_TIMEOUT).await;
    store.reject_calls(0);
    let until = Instant::now() + TASK_WAIT;
    while other.running.is_empty() {
        assert!(Instant::now() < until, "the second step does not start");
        process.serve(&mut other).await;
    }
    assert_eq!(other.started_runs, ["a.0.1.0 1"]);
    process.planning.abort();
}

/// Guards against ends that are dropped, or never acknowledged, as a job's
/// record is repaired.
#[tokio::test(start_paused = true)]
async fn a_job_that_is_repaired_while_a_planner_runs_goes_on() {
    let (store, mut worker) = site_without_planner().await;
    let sound = store.value("lv/in/a/job");
    set(&store, "lv/in/a/job", Some(GARBAGE.to_vec())).await;
    let process = Process::start("second", &store);
    while kept(&store) < DONE {
        process.serve(&mut worker).await;
    }
    set(&store, "lv/in/a/job", sound).await;
    worker.end(RunOutcome::Done, |_| true);
    let until = Instant::now() + LIMIT;
    while stored(&store).outcome.is_none() || !worker.ended.is_empty() {
        assert!(Instant::now() < until, "left: {:?}", worker.ended);
        process.serve(&mut worker).await;
        let progress = stored(&store);
        let done = progress.units.values().filter(|unit| unit.done).count();
        assert!(worker.acknowledged <= done.max(kept(&store)) as u64);
    }
    assert_eq!(worker.started_runs.len(), TASKS);
    process.planning.abort();
}

/// Guards against ends that are kept and not applied: an odd value of another
/// writer among them made a known job count as one that cannot be read.
#[tokio::test(start_paused = true)]
async fn an_odd_value_for_kept_ends_does_not_stop_a_known_job() {
    let (store, mut worker) = site_without_planner().await;
    let process = Process::start("second", &store);
    while process.serve(&mut worker).await.is_none() {}
    set(&store, ENDS_KEY, Some(GARBAGE.to_vec())).await;
    let job = store.value("lv/in/a/job");
    set(&store, "lv/in/a/job", job).await;
    let until = Instant::now() + SERVED;
    while Instant::now() < until {
        process.serve(&mut worker).await;
    }
    worker.end(RunOutcome::Done, |_| true);
    let until = Instant::now() + LIMIT;
    while stored(&store).outcome.is_none() {
        assert!(Instant::now() < until, "the job does not end");
        process.serve(&mut worker).await;
    }
    assert_eq!(worker.started_runs.len(), TASKS);
    process.planning.abort();
}
