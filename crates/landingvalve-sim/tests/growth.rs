//! Store calls of fleets of several sizes, in virtual time.
//!
//! Guards against calls that grow faster than the fleet, and against processes
//! that call more often only because there are more of them.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use landingvalve::cell::claim::Holder;
use landingvalve::cell::configuration::Configuration;
use landingvalve::cell::configuration::Keys;
use landingvalve::cell::configuration::Source;
use landingvalve::cell::keys;
use landingvalve::cell::member::Config;
use landingvalve::cell::member::Member;
use landingvalve::cell::reachability::Reachability;
use landingvalve::cell::relay::Peers;
use landingvalve::cell::relay::Relay;
use landingvalve::cell::session::Host;
use landingvalve::cell::session::Session;
use landingvalve::clock;
use landingvalve::graph::Options;
use landingvalve::log;
use landingvalve::store::Changes;
use landingvalve::store::Compare;
use landingvalve::store::Error;
use landingvalve::store::Item;
use landingvalve::store::LeaseId;
use landingvalve::store::Listing;
use landingvalve::store::Mutation;
use landingvalve::store::Revision;
use landingvalve::store::Store;
use landingvalve::store::Swap;
use landingvalve_sim::invariants::Checker;
use landingvalve_sim::network::Network;
use landingvalve_sim::network::ProcessId;
use landingvalve_sim::store;
use landingvalve_sim::store::Server;
use landingvalve_sim::worker;
use landingvalve_sim::worker::Endpoint;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The agents of the smaller and of the larger fleet.
const AGENTS: [usize; 2] = [500, 2000];
/// The agents for each entry.
const AGENTS_PER_ENTRY: usize = 5;
/// The time within which a configuration must be in force.
const APPLY_TIME: Duration = Duration::from_secs(5);
/// The time after which all processes have started.
const START_TIME: Duration = Duration::from_secs(6);
/// The length of a time without changes.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// The length of the time after a planner's end, or an outage, in which calls
/// are counted.
const TROUBLE_TIME: Duration = Duration::from_secs(8);
/// The interval between a worker's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// How much more than in proportion counts as chance.
const CHANCE: f64 = 1.05;

/// The store keys of the configuration.
const KEYS: Keys = Keys {
    prefix: "op/",
    configuration: "op/config",
    closed: "op/closed/",
};

/// The calls of the processes of one role.
#[derive(Clone, Default)]
struct Usage {
    calls: Arc<AtomicU64>,
    rows: Arc<AtomicU64>,
}

impl Usage {
    /// Returns the calls, and the rows read, since the last time.
    fn take(&self) -> (f64, f64) {
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed) as f64;
        (take(&self.calls), take(&self.rows))
    }
}

/// A client of the store whose calls are counted.
#[derive(Clone)]
struct Counted {
    client: store::Client,
    usage: Usage,
}

impl Counted {
    fn count(&self) -> &store::Client {
        self.usage.calls.fetch_add(1, Ordering::Relaxed);
        &self.client
    }
}

impl Store for Counted {
    async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        self.count().get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let listing = self.count().list(prefix).await?;
        let rows = listing.items.len() as u64;
        self.usage.rows.fetch_add(rows, Ordering::Relaxed);
        Ok(listing)
    }

    async fn swap(
        &self,
        conditions: &[Compare],
        mutations: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        self.count().swap(conditions, mutations).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.count().grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, Error> {
        self.count().keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.count().revoke(lease).await
    }

    async fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, Error> {
        self.count().changes(prefix, after, wait).await
    }
}

/// A running entry.
struct Entry {
    process: ProcessId,
    name: String,
    tasks: Vec<JoinHandle<()>>,
    _stop: watch::Sender<bool>,
}

/// A fleet whose workers run nothing.
struct Fleet {
    network: Network,
    server: Server,
    entries: Vec<Entry>,
    of_entries: Usage,
    of_agents: Usage,
}

impl Fleet {
    async fn start(agents: usize) -> Fleet {
        let mut fleet = Fleet {
            network: Network::default(),
            server: Server::new(1, Duration::from_secs(4)),
            entries: Vec::new(),
            of_entries: Usage::default(),
            of_agents: Usage::default(),
        };
        fleet.write_configuration().await;
        for at in 0..agents / AGENTS_PER_ENTRY {
            fleet.start_entry(at);
        }
        for at in 0..agents {
            fleet.start_agent(at);
        }
        tokio::time::sleep(START_TIME).await;
        fleet.take();
        fleet
    }

    async fn write_configuration(&self) {
        let process = self.network.start(usize::MAX);
        let client = self.server.client(&self.network, process);
        let key = KEYS.configuration.to_owned();
        let put = Mutation::Value(key, b"1".to_vec(), 0);
        client.swap(&[], vec![put]).await.expect("is written");
    }

    fn start_entry(&mut self, at: usize) {
        let process = self.network.start(at);
        let name = format!("entry-{at}");
        let address = format!("{name}:1");
        let peers =
            Peers::new(&name, self.network.connector(process), log::none());
        let direct = Counted {
            client: self.server.client(&self.network, process),
            usage: self.of_entries.clone(),
        };
        let store = Relay::new(direct, peers.clone(), log::none());
        let host =
            Host::new(&name, log::none()).with_proxy(Arc::new(store.clone()));
        self.network.listen(&address, process, host.clone());
        let holder = Holder {
            process: name.clone(),
            address,
            life: name.clone(),
            cores: 1.0,
        };
        let source = Source::new();
        let follow = source.clone().follow(
            store.clone(),
            KEYS,
            APPLY_TIME,
            |_: &[u8]| Ok::<_, String>(Configuration::default()),
            Reachability::new(),
            log::none(),
        );
        let register = peers.follow(store.clone(), holder.recipient());
        let session = Session {
            store,
            holder,
            host,
            source,
            advice: None,
            options: Options::default(),
            log: log::none(),
        };
        let (stop, stopped) = watch::channel(false);
        let tasks = vec![
            tokio::spawn(session.run(stopped)),
            tokio::spawn(follow),
            tokio::spawn(register),
        ];
        self.entries.push(Entry {
            process,
            name,
            tasks,
            _stop: stop,
        });
    }

    fn start_agent(&mut self, at: usize) {
        let process = self.network.start(self.entries.len() + at);
        let name = format!("agent-{at}");
        let endpoint =
            Endpoint::new(&format!("w{at}"), at as u64, Checker::default());
        let store = Counted {
            client: self.server.client(&self.network, process),
            usage: self.of_agents.clone(),
        };
        let config = Config {
            agent: name.as_str().into(),
            survival: Options::default().survival,
            lease: Duration::from_secs(6),
            connector: self.network.connector(process),
            log: log::none(),
        };
        let client: worker::Client = endpoint.client(&self.network, process);
        let member = Member::new(config, client, store);
        let running = member.clone();
        tokio::spawn(async move { running.run().await });
        tokio::spawn(async move {
            loop {
                if let Some(heartbeat) = endpoint.heartbeat() {
                    member.heartbeat(heartbeat);
                }
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
    }

    /// Returns the calls, and the rows read, since the last time: of all
    /// entries and of all agents.
    fn take(&self) -> [(f64, f64); 2] {
        [self.of_entries.take(), self.of_agents.take()]
    }

    /// Returns the index of the entry that plans.
    async fn planner(&self) -> usize {
        let process = self.network.start(usize::MAX);
        let client = self.server.client(&self.network, process);
        let claim = client.get(keys::CLAIM).await.expect("an answer");
        let claim = claim.expect("a claim").value;
        let holder: Holder = serde_json::from_slice(&claim).expect("a holder");
        let named = |entry: &Entry| entry.name == holder.process;
        self.entries.iter().position(named).expect("an entry")
    }

    async fn kill_planner(&self) {
        let entry = &self.entries[self.planner().await];
        self.network.kill(entry.process);
        for task in &entry.tasks {
            task.abort();
        }
    }

    async fn stop_store(&self, time: Duration) {
        let down = store::Faults {
            down: true,
            ..store::Faults::default()
        };
        self.server.set_faults(down);
        tokio::time::sleep(time).await;
        self.server.set_faults(store::Faults::default());
    }
}

/// The calls of a fleet.
struct Calls {
    entries: f64,
    /// Of entries and agents at rest, in [`IDLE_TIME`].
    at_rest: [(f64, f64); 2],
    /// Of both together after the planner has ended.
    takeover: f64,
    /// Of both together in and after an outage of the store.
    outage: f64,
}

/// Plays a fleet at rest, without its planner, and without the store.
fn play(agents: usize) -> Calls {
    fastrand::seed(agents as u64);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let total = |calls: [(f64, f64); 2]| calls[0].0 + calls[1].0;
    runtime.expect("a runtime").block_on(async {
        clock::simulate_wall_time(
            SystemTime::UNIX_EPOCH + Duration::from_secs(1 << 30),
        );
        let fleet = Fleet::start(agents).await;
        tokio::time::sleep(IDLE_TIME).await;
        let at_rest = fleet.take();
        fleet.kill_planner().await;
        tokio::time::sleep(TROUBLE_TIME).await;
        let takeover = total(fleet.take());
        fleet.stop_store(Duration::from_secs(4)).await;
        tokio::time::sleep(TROUBLE_TIME).await;
        Calls {
            entries: fleet.entries.len() as f64,
            at_rest,
            takeover,
            outage: total(fleet.take()),
        }
    })
}

#[test]
fn calls_grow_no_faster_than_the_fleet() {
    let plays = AGENTS.map(|agents| std::thread::spawn(move || play(agents)));
    let [small, large] = plays.map(|play| play.join().expect("is played"));
    let growth = AGENTS[1] as f64 / AGENTS[0] as f64 * CHANCE;
    for calls in [&small, &large] {
        let idle = IDLE_TIME.as_secs_f64();
        let [(entries, rows), (agents, _)] = calls.at_rest;
        println!(
            "{} entries: {:.3} calls and {:.2} rows a second each, agents \
             {agents} calls; takeover {}, outage {}",
            calls.entries,
            entries / idle / calls.entries,
            rows / idle / calls.entries,
            calls.takeover,
            calls.outage
        );
    }
    for calls in [&small, &large] {
        let idle = IDLE_TIME.as_secs_f64();
        let [(entries, _), (agents, _)] = calls.at_rest;
        // The planner renews its claim and watches what entries write.
        let planner = idle * 4.0;
        let each = (entries - planner) / calls.entries / idle;
        assert!(each < 0.5, "an entry: {each} calls a second");
        let each = agents / (calls.entries * AGENTS_PER_ENTRY as f64) / idle;
        assert!(each < 0.05, "an agent: {each} calls a second");
    }
    let rows = |calls: &Calls| calls.at_rest[0].1 / calls.entries;
    assert!(
        rows(&large) <= rows(&small).max(128.0) * CHANCE,
        "rows read"
    );
    let pairs = [
        ("at rest", small.at_rest[0].0, large.at_rest[0].0),
        ("takeover", small.takeover, large.takeover),
        ("outage", small.outage, large.outage),
    ];
    for (when, small, large) in pairs {
        assert!(large <= small * growth, "{when}: {small}, then {large}");
    }
}
