//! Simulates a day: processes, workers, jobs and faults, drawn from a seed.

mod faults;
mod load;
mod ordered;
mod site;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::SystemTime;

use landingvalve::clock;
use landingvalve::graph::Job;
use landingvalve::graph::JobId;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::caller::Admissions;
use crate::day::faults::Undo;
use crate::day::site::new_agent;
use crate::day::site::Agent;
use crate::day::site::Program;
use crate::gang::AloneCounts;
use crate::invariants::Checker;
use crate::network::Network;
use crate::orders::Order;
use crate::sound::Draws;
use crate::store::Server;

/// Interval at which the workers and the day's schedule advance.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a worker's leases are extended at a time.
pub const WORKER_LEASE: Duration = Duration::from_secs(6);
/// Interval at which a worker sends heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the last fault within which all accepted jobs must have ended.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Mean time from one goodbye to the next.
const MEAN_GOODBYE_INTERVAL: Duration = Duration::from_millis(1500);
/// Distinguishes the draws of goodbyes and early cancels from the others of a
/// seed.
const DEPARTURES_SEED: u64 = 0x6465_7061_7274;
/// Mean time from one cut beside failing tasks to the next.
const MEAN_CUT_INTERVAL: Duration = Duration::from_millis(1500);
/// Distinguishes the draws of failures from the others of a seed.
const FAILURES_SEED: u64 = 0x6661_696c;
/// Mean time from one fault to the next.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(1500);

/// What may happen on a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Faults of all kinds.
    Faulty,
    /// No fault; jobs are cancelled or hopeless, workers join and the
    /// configuration changes.
    Sound,
    /// One fault that begins with an event, and a planner that is killed.
    Ordered,
}

/// Parameters of a simulated day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// Seed of all random draws.
    pub seed: u64,
    /// What may happen.
    pub kind: Kind,
    /// Number of entries.
    pub entries: usize,
    /// Number of workers, each with an agent.
    pub workers: usize,
    /// Number of jobs submitted.
    pub jobs: usize,
    /// Duration of the first part of the day, in which faults begin and over
    /// which the jobs are spread.
    pub fault_duration: Duration,
    /// Whether workers say goodbye, in time or late, and callers cancel jobs
    /// whose acceptance they have not heard. Off in the days whose seeds were
    /// recorded before these were drawn.
    pub has_departures: bool,
    /// Whether tasks fail on sound workers, at times while their worker or its
    /// agent is cut off.
    pub has_failures: bool,
}

impl Scenario {
    /// Returns a scenario with 3 entries, 6 workers, 40 jobs and 40 s of
    /// faults.
    pub fn with_seed(seed: u64) -> Scenario {
        Scenario {
            seed,
            kind: Kind::Faulty,
            entries: 3,
            workers: 6,
            jobs: 40,
            fault_duration: Duration::from_secs(40),
            has_departures: true,
            has_failures: false,
        }
    }

    /// Returns how late the store may carry out a write at most.
    fn max_write_delay(&self) -> Duration {
        match self.has_departures {
            true => Duration::from_secs(8),
            false => Duration::from_secs(4),
        }
    }
}

/// Results of a simulated day.
#[derive(Clone, Debug)]
pub struct Report {
    /// Violations of the invariants.
    pub violations: Vec<String>,
    /// Number of starts of tasks.
    pub starts: u64,
    /// Number of these starts whose task had been listed as done before.
    pub repeated_starts: u64,
    /// Numbers of runs that ended `alone`.
    pub alone: AloneCounts,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of times that each fault was injected.
    pub faults: BTreeMap<&'static str, u32>,
    /// Events of the day, one line each, in order.
    pub timeline: Vec<String>,
}

/// Simulates a day under virtual time.
///
/// # Panics
///
/// If the runtime cannot be built.
pub fn simulate(scenario: Scenario) -> Report {
    in_virtual_time(scenario, async |mut day| {
        day.run().await;
        day.report()
    })
}

/// Simulates a small site on which a fault begins with an event. Returns
/// whether there was the event.
///
/// # Panics
///
/// If the runtime cannot be built.
pub fn simulate_order(order: Order) -> (Report, bool) {
    in_virtual_time(ordered::scenario(), async |mut day| {
        day.set_order(order);
        day.run().await;
        let is_met = day.store.is_event_met();
        (day.report(), is_met)
    })
}

/// Plays a day on a runtime of its own.
fn in_virtual_time<T>(
    scenario: Scenario,
    play: impl AsyncFnOnce(Day) -> T,
) -> T {
    fastrand::seed(scenario.seed);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let runtime = runtime.expect("a runtime of one thread");
    runtime.block_on(async {
        clock::simulate_wall_time(
            SystemTime::UNIX_EPOCH + Duration::from_secs(1 << 30),
        );
        play(Day::new(scenario)).await
    })
}

struct Day {
    scenario: Scenario,
    random: fastrand::Rng,
    /// Draws goodbyes and early cancels.
    departures: fastrand::Rng,
    /// Draws failing jobs, and cuts beside their failures.
    failures: fastrand::Rng,
    /// Jobs whose runs fail at times.
    failing_jobs: BTreeSet<JobId>,
    /// Draws of a sound day.
    sound: Option<Draws>,
    /// Jobs whose runs fail each time.
    hopeless_jobs: BTreeSet<JobId>,
    network: Network,
    store: Server,
    checker: Checker,
    entries: Vec<Option<Program>>,
    admissions: Admissions,
    agents: Vec<Agent>,
    jobs: BTreeMap<JobId, (Job, Duration)>,
    faults: BTreeMap<&'static str, u32>,
    /// Actions that end the active faults, with the time of each.
    pending_undos: Vec<(Instant, Undo)>,
    callers: Vec<JoinHandle<()>>,
    /// When the planner is killed on a day with an order.
    planner_dies_at: Option<Instant>,
    start: Instant,
}

impl Day {
    fn new(scenario: Scenario) -> Day {
        let checker = Checker::default();
        let agent = |at: usize| new_agent(scenario, at, &checker);
        let is_sound = scenario.kind == Kind::Sound;
        Day {
            scenario,
            random: fastrand::Rng::with_seed(scenario.seed),
            departures: fastrand::Rng::with_seed(
                scenario.seed ^ DEPARTURES_SEED,
            ),
            failures: fastrand::Rng::with_seed(scenario.seed ^ FAILURES_SEED),
            failing_jobs: BTreeSet::new(),
            sound: is_sound.then(|| Draws::new(scenario.seed)),
            hopeless_jobs: BTreeSet::new(),
            network: Network::default(),
            store: Server::new(scenario.seed, scenario.max_write_delay()),
            checker: checker.clone(),
            entries: (0..scenario.entries).map(|_| None).collect(),
            admissions: Admissions::default(),
            agents: (0..scenario.workers).map(agent).collect(),
            jobs: BTreeMap::new(),
            faults: BTreeMap::new(),
            pending_undos: Vec::new(),
            callers: Vec::new(),
            planner_dies_at: None,
            start: Instant::now(),
        }
    }

    fn report(self) -> Report {
        let (violations, starts, accepted) = self.checker.results();
        Report {
            violations,
            starts,
            repeated_starts: self.checker.repeated_starts(),
            alone: self.checker.alone_counts(),
            accepted,
            faults: self.faults,
            timeline: self.checker.timeline(),
        }
    }

    async fn run(&mut self) {
        self.checker.start_clock();
        if self.sound.is_some() {
            self.network
                .draw_times(self.scenario.seed, self.checker.clone());
        }
        for at in 0..self.entries.len() {
            self.start_entry(at);
        }
        for at in 0..self.agents.len() {
            self.start_agent(at);
        }
        let faults_end = self.start + self.scenario.fault_duration;
        let submit_interval = match self.scenario.kind {
            Kind::Ordered => ordered::SUBMIT_INTERVAL,
            Kind::Faulty | Kind::Sound => {
                self.scenario.fault_duration / (self.scenario.jobs as u32 + 1)
            }
        };
        let mut next_job = self.start + Duration::from_secs(3);
        let mut next_fault = self.start + Duration::from_secs(4);
        let mut next_goodbye = next_fault;
        let mut next_cut = next_fault;
        let mut next_heartbeat = self.start;
        let mut submitted = 0;
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        loop {
            tick.tick().await;
            let now = Instant::now();
            self.advance_workers();
            if now >= next_heartbeat {
                next_heartbeat = now + HEARTBEAT_INTERVAL;
                self.send_heartbeats();
            }
            self.end_due_faults(now);
            if now >= next_job && submitted < self.scenario.jobs {
                next_job = now + submit_interval;
                self.submit_job(submitted);
                submitted += 1;
            }
            self.play_sound_day(now, faults_end);
            self.play_ordered_day(now);
            let is_faulty = self.scenario.kind == Kind::Faulty;
            if is_faulty && now >= next_fault && now < faults_end {
                let wait =
                    MEAN_FAULT_INTERVAL.mul_f64(2.0 * self.random.f64());
                next_fault = now + wait;
                self.inject_fault(now);
            }
            let departs = is_faulty && self.scenario.has_departures;
            if departs && now >= next_goodbye && now < faults_end {
                let share = 2.0 * self.departures.f64();
                next_goodbye = now + MEAN_GOODBYE_INTERVAL.mul_f64(share);
                self.say_goodbye(now);
            }
            let cuts = is_faulty && self.scenario.has_failures;
            if cuts && now >= next_cut && now < faults_end {
                let share = 2.0 * self.failures.f64();
                next_cut = now + MEAN_CUT_INTERVAL.mul_f64(share);
                self.fail_behind_cut(now);
            }
            let timed_out = now >= faults_end + SETTLE_TIMEOUT;
            let settled = now >= faults_end && self.pending_undos.is_empty();
            let done = settled
                && submitted == self.scenario.jobs
                && self.callers.iter().all(JoinHandle::is_finished)
                && self.checker.unfinished_jobs().is_empty();
            if timed_out || done {
                break;
            }
        }
        for id in self.checker.unfinished_jobs() {
            let line = format!("LOST: {id} has not ended");
            self.checker.record_violation(line);
        }
    }
}
