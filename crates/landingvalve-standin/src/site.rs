//! A whole site in one process: store, list of VMs, entries, agents and
//! endpoints.
//!
//! The entries and agents are those of the real programs; all parts talk over
//! loopback TCP. Parts can be added and killed one by one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use landingvalve::agent;
use landingvalve::agent::Agent;
use landingvalve::entry;
use landingvalve::entry::Entry;
use landingvalve::plan::Policy;
use landingvalve::util::digest;
use landingvalve::vms::Role;
use landingvalve::vms::Status;
use landingvalve::vms::Vm;
use tokio::time::Instant;

use crate::Endpoint;
use crate::Store;
use crate::Vms;

/// The operators' token at a stand-in site.
pub const OPERATOR_TOKEN: &str = "operator-token";

/// A failure to start a part of a site, as a message.
#[derive(Debug)]
pub struct Error(String);

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

fn start_error(error: impl std::fmt::Display) -> Error {
    Error(error.to_string())
}

/// The size and the settings of a site.
#[derive(Clone, Debug)]
pub struct Config {
    /// The number of entries.
    pub entries: usize,
    /// The number of workers in each rack, by hall.
    pub halls: Vec<Vec<usize>>,
    /// The number of accelerators of each worker.
    pub accelerators: u32,
    /// The planner's policy.
    pub policy: Policy,
    /// The logger of all processes, which disables logs by default.
    pub log: slog::Logger,
}

impl Config {
    /// Returns the configuration of a site of the first users' size: 11 workers
    /// with 8 accelerators each, at most three per rack, in three halls.
    pub fn with_entries(entries: usize) -> Config {
        Config {
            entries,
            halls: vec![vec![3, 1], vec![3, 1], vec![3]],
            accelerators: 8,
            policy: Policy::default(),
            log: landingvalve::log::none(),
        }
    }

    /// Returns the hall, the rack and the name of each worker.
    pub fn worker_places(&self) -> Vec<[String; 3]> {
        let mut places = Vec::new();
        for (hall, racks) in self.halls.iter().enumerate() {
            for (rack, workers) in racks.iter().enumerate() {
                for worker in 0..*workers {
                    let hall = format!("h{}", hall + 1);
                    let rack = format!("{hall}r{}", rack + 1);
                    let worker = format!("{rack}w{}", worker + 1);
                    places.push([hall, rack, worker]);
                }
            }
        }
        places
    }
}

/// A running site.
pub struct Site {
    config: Config,
    /// The store.
    pub store: Store,
    /// The list of VMs.
    pub vms: Vms,
    /// The entries, by name.
    pub entries: BTreeMap<String, Entry>,
    /// The agents, by worker.
    pub agents: BTreeMap<String, Agent>,
    /// The endpoints, by worker.
    pub endpoints: BTreeMap<String, Endpoint>,
}

impl Site {
    /// Starts a site.
    ///
    /// # Errors
    ///
    /// If a part cannot listen.
    pub async fn start(config: Config) -> Result<Site, Error> {
        let mut site = Site {
            store: Store::start().await.map_err(start_error)?,
            vms: Vms::start().await.map_err(start_error)?,
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            config,
        };
        for place in site.config.worker_places() {
            site.add_worker(&place).await?;
        }
        for number in 1..=site.config.entries {
            site.add_entry(&format!("e{number}")).await?;
        }
        Ok(site)
    }

    /// Starts an endpoint and its agent at a place of
    /// [`Config::worker_places`].
    ///
    /// # Errors
    ///
    /// If a part cannot listen.
    pub async fn add_worker(
        &mut self,
        place: &[String; 3],
    ) -> Result<(), Error> {
        let endpoint = Endpoint::start().await.map_err(start_error)?;
        self.endpoints.insert(place[2].clone(), endpoint);
        self.add_agent(place).await
    }

    /// Starts an agent for the running endpoint at a place of
    /// [`Config::worker_places`].
    ///
    /// # Errors
    ///
    /// If there is no endpoint at that place, or the agent cannot listen.
    pub async fn add_agent(
        &mut self,
        place: &[String; 3],
    ) -> Result<(), Error> {
        let [hall, rack, worker] = place;
        let endpoint = self
            .endpoints
            .get(worker)
            .ok_or_else(|| start_error("no endpoint of that name"))?;
        let agent = Agent::start(agent::Config {
            worker: worker.as_str().into(),
            accelerators: self.config.accelerators,
            listen_address: loopback(),
            endpoint_url: endpoint.url(),
            log: self.log(worker),
        })
        .await
        .map_err(start_error)?;
        self.vms.put(Vm {
            name: worker.as_str().into(),
            role: Role::Endpoint,
            state: Status::Live,
            hall: hall.as_str().into(),
            rack: rack.as_str().into(),
            address: agent.address().to_string(),
        });
        self.agents.insert(worker.clone(), agent);
        Ok(())
    }

    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// If the entry cannot listen.
    pub async fn add_entry(&mut self, name: &str) -> Result<(), Error> {
        let entry = Entry::start(entry::Config {
            name: name.to_owned(),
            callers_address: loopback(),
            peers_address: loopback(),
            store_url: self.store.url(),
            vms_url: self.vms.url(),
            cell: "site".to_owned(),
            accelerators: self.config.accelerators,
            policy: self.config.policy.clone(),
            operator_token_digest: digest::of(OPERATOR_TOKEN.as_bytes()),
            log: self.log(name),
        })
        .await
        .map_err(start_error)?;
        self.vms.put(Vm {
            name: name.into(),
            role: Role::Entry,
            state: Status::Live,
            hall: "h1".into(),
            rack: "h1r1".into(),
            address: entry.peers_address().to_owned(),
        });
        self.entries.insert(name.to_owned(), entry);
        Ok(())
    }

    fn log(&self, process: &str) -> slog::Logger {
        let process = process.to_owned();
        self.config.log.new(slog::o!("process" => process))
    }

    /// Returns the URL of an entry for its callers.
    pub fn url(&self, entry: &str) -> String {
        let address = self.entries.get(entry).map(Entry::callers_address);
        format!("http://{}", address.unwrap_or_else(loopback))
    }

    /// Returns the name of the entry that hosts the planner, if any.
    pub fn planner(&self) -> Option<String> {
        self.entries
            .iter()
            .find(|(_, entry)| entry.is_planner())
            .map(|(name, _)| name.clone())
    }

    /// Ends an entry without a shutdown, which simulates a killed process.
    pub fn kill_entry(&mut self, name: &str) {
        if let Some(entry) = self.entries.remove(name) {
            entry.kill();
        }
    }

    /// Ends an agent without a shutdown, which simulates a killed process; the
    /// tasks of its endpoint continue.
    pub fn kill_agent(&mut self, worker: &str) {
        if let Some(agent) = self.agents.remove(worker) {
            agent.kill();
        }
    }

    /// Ends a worker's agent and endpoint and removes its VM from the list,
    /// which simulates the loss of the VM.
    pub fn lose_worker(&mut self, worker: &str) {
        self.kill_agent(worker);
        if let Some(endpoint) = self.endpoints.remove(worker) {
            endpoint.kill();
        }
        self.vms.remove(worker);
    }

    /// Shuts the entries down by the deadline, one after another, then ends
    /// the agents.
    pub async fn stop(self, deadline: Instant) {
        for entry in self.entries.into_values() {
            entry.stop(deadline).await;
        }
        for agent in self.agents.into_values() {
            agent.kill();
        }
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
