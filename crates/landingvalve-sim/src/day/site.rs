//! The processes and workers of a day.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use landingvalve::cell::claim::Holder;
use landingvalve::cell::configuration::Source;
use landingvalve::cell::member::Config;
use landingvalve::cell::member::Member;
use landingvalve::cell::reachability::Reachability;
use landingvalve::cell::relay::Peers;
use landingvalve::cell::relay::Relay;
use landingvalve::cell::session::Host;
use landingvalve::cell::session::Session;
use landingvalve::cell::Admission;
use landingvalve::graph::Options;
use landingvalve::graph::Run;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Task;
use landingvalve::log;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::day::faults::Undo;
use crate::day::Day;
use crate::day::Kind;
use crate::day::Scenario;
use crate::day::FAILURES_SEED;
use crate::day::TICK_INTERVAL;
use crate::day::WORKER_LEASE;
use crate::invariants::Checker;
use crate::lock;
use crate::network::ProcessId;
use crate::sound;
use crate::sound::Draws;
use crate::store;
use crate::worker;
use crate::worker::Endpoint;

/// One run in this number fails, of a job whose tasks fail.
const FAILING_RUN_INTERVAL: u64 = 2;

/// A running entry or agent.
pub(super) struct Program {
    pub(super) process: ProcessId,
    pub(super) task: JoinHandle<()>,
}

pub(super) struct Agent {
    pub(super) program: Option<Program>,
    pub(super) member: Option<Member<worker::Client, store::Client>>,
    pub(super) endpoint: Endpoint,
}

impl Day {
    pub(super) fn start_entry(&mut self, at: usize) {
        let process = self.network.start(at);
        let address = format!("entry-{at}-{process}:1");
        let name = format!("entry-{at}");
        let connector = self.network.connector(process);
        let peers = Peers::new(&name, connector, log::none());
        let direct = self.store.client(&self.network, process);
        let store = Relay::new(direct, peers.clone(), log::none());
        let host = Host::new(&address, log::none())
            .with_proxy(Arc::new(store.clone()));
        self.network.listen(&address, process, host.clone());
        let holder = Holder {
            process: name,
            address: address.clone(),
            life: address,
            cores: 1.0,
        };
        let following = peers.follow(store.clone(), holder.recipient());
        let mut source = Source::without_closed_halls();
        if self.sound.is_some() {
            source = Source::new();
            tokio::spawn(source.clone().follow(
                store.clone(),
                sound::KEYS,
                sound::APPLY_BOUND,
                sound::decode,
                Reachability::new(),
                log::none(),
            ));
        }
        let session = Session {
            store: store.clone(),
            holder,
            host,
            source,
            advice: None,
            options: Options::default(),
            log: log::none(),
        };
        // The task keeps the sender: dropping it would stop the session in an
        // orderly way.
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(async move {
            tokio::join!(session.run(stopped), following);
            drop(stop);
        });
        self.entries[at] = Some(Program { process, task });
        let admission = Admission::new(store, log::none());
        lock(&self.admissions).insert(at, admission);
    }

    pub(super) fn kill_entry(&mut self, at: usize) {
        lock(&self.admissions).remove(&at);
        if let Some(program) = self.entries[at].take() {
            self.network.kill(program.process);
            program.task.abort();
        }
    }

    pub(super) fn start_agent(&mut self, at: usize) {
        let machine = self.scenario.entries + at;
        let process = self.network.start(machine);
        let agent = &mut self.agents[at];
        let config = Config {
            agent: format!("agent-{at}").into(),
            survival: Options::default().survival,
            lease: WORKER_LEASE,
            connector: self.network.connector(process),
            log: log::none(),
        };
        let worker = agent.endpoint.client(&self.network, process);
        let store = self.store.client(&self.network, process);
        let member = Member::new(config, worker, store);
        let running = member.clone();
        let task = tokio::spawn(async move { running.run().await });
        agent.member = Some(member);
        agent.program = Some(Program { process, task });
    }

    pub(super) fn kill_agent(&mut self, at: usize) {
        let agent = &mut self.agents[at];
        agent.member = None;
        if let Some(program) = agent.program.take() {
            self.network.kill(program.process);
            program.task.abort();
        }
    }

    /// Advances all workers; a gang works only while all of its members are
    /// present.
    pub(super) fn advance_workers(&mut self) {
        let mut present: BTreeMap<(Task, Run), u32> = BTreeMap::new();
        for agent in &self.agents {
            for (unit, count) in agent.endpoint.member_counts() {
                *present.entry(unit).or_default() += count;
            }
        }
        let jobs = &self.jobs;
        let is_complete = |task: &Task, run: Run| {
            let (job, _) = jobs.get(&task.job)?;
            let step = &job.steps[task.step];
            let first = Task {
                index: 0,
                ..task.clone()
            };
            let members = present.get(&(first, run)).copied().unwrap_or(0);
            step.gang.then_some(members >= step.replicas)
        };
        let course = |task: &Task, run: Run| {
            let work = jobs.get(&task.job).map_or(Duration::ZERO, |(_, w)| *w);
            let fails = self.hopeless_jobs.contains(&task.job)
                || self.failing_jobs.contains(&task.job)
                    && fails(self.scenario.seed, task, run);
            match fails {
                true => worker::Course {
                    work: work / 2,
                    outcome: RunOutcome::Failed,
                },
                false => worker::Course {
                    work,
                    outcome: RunOutcome::Done,
                },
            }
        };
        let mut ended_gangs = Vec::new();
        for agent in &self.agents {
            ended_gangs.extend(agent.endpoint.advance(
                TICK_INTERVAL,
                is_complete,
                course,
            ));
        }
        for (task, run, outcome) in ended_gangs {
            let outcome = match outcome {
                RunOutcome::Done => outcome,
                _ => RunOutcome::Broken,
            };
            for agent in &self.agents {
                agent.endpoint.end_gang(&task, run, outcome);
            }
        }
        self.schedule_restarts();
    }

    /// Schedules the restart of workers that a job has crashed.
    pub(super) fn schedule_restarts(&mut self) {
        let now = Instant::now();
        for at in 0..self.agents.len() {
            let is_restart = |(_, undo): &(Instant, Undo)| matches!(undo, Undo::Up(other) if *other == at);
            let is_scheduled = self.pending_undos.iter().any(is_restart);
            if !self.agents[at].endpoint.is_up() && !is_scheduled {
                let ms = self.random.u64(..3000);
                let restart_at = now + Duration::from_millis(ms);
                self.begin_fault(restart_at, Undo::Up(at));
            }
        }
    }

    pub(super) fn send_heartbeats(&mut self) {
        for agent in &self.agents {
            if let Some(member) = &agent.member {
                if let Some(heartbeat) = agent.endpoint.heartbeat() {
                    member.heartbeat(heartbeat);
                }
            }
        }
    }
}

/// Returns an agent that has not started, beside a worker that is up.
pub(super) fn new_agent(
    scenario: Scenario,
    at: usize,
    checker: &Checker,
) -> Agent {
    let endpoint = Endpoint::new(
        &format!("w{at}"),
        scenario.seed ^ (1 + at as u64) << 32,
        checker.clone(),
    );
    if scenario.kind == Kind::Sound {
        endpoint.set_hall(&Draws::hall(at));
        endpoint.list_progress();
    }
    Agent {
        program: None,
        member: None,
        endpoint,
    }
}

/// Returns whether a run of a failing job fails, the same each time.
fn fails(seed: u64, task: &Task, run: Run) -> bool {
    let text = format!("{seed} {task} {run}");
    let hash = text.bytes().fold(FAILURES_SEED, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    fastrand::Rng::with_seed(hash).u64(..FAILING_RUN_INTERVAL) == 0
}
