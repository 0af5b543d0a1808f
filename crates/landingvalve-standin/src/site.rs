//! A whole site in one process: store, list, entries, agents, endpoints.
//!
//! The entries and agents are the very ones that the programs run; they
//! talk over loopback TCP. Each can be killed, stopped or added.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use landingvalve::agent;
use landingvalve::agent::Agent;
use landingvalve::entry;
use landingvalve::entry::Entry;
use landingvalve::plan::Policy;
use landingvalve::util::digest;
use landingvalve::vms::Role;
use landingvalve::vms::Stay;
use landingvalve::vms::Vm;
use tokio::time::Instant;

use crate::Endpoint;
use crate::Store;
use crate::Vms;

/// The token of the operators of a stand-in site.
pub const OPERATOR_TOKEN: &str = "operator-token";

/// A site that cannot be started.
#[derive(Debug)]
pub struct Error(String);

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

fn failed(error: impl std::fmt::Display) -> Error {
    Error(error.to_string())
}

/// How large a site is.
#[derive(Clone, Debug)]
pub struct Config {
    /// How many entries.
    pub entries: usize,
    /// How many workers in each rack, by hall.
    pub halls: Vec<Vec<usize>>,
    /// How many accelerators each worker has.
    pub accelerators: u32,
    /// What the operators weigh.
    pub policy: Policy,
    /// Where logs go.
    pub log: slog::Logger,
}

impl Config {
    /// Returns the size of the first users' sites: 11 workers of 8
    /// accelerators, three to a rack, in three halls.
    pub fn with_entries(entries: usize) -> Config {
        Config {
            entries,
            halls: vec![vec![3, 1], vec![3, 1], vec![3]],
            accelerators: 8,
            policy: Policy::default(),
            log: landingvalve::log::none(),
        }
    }

    /// Returns the place of each worker: hall, rack and name.
    pub fn worker_places(&self) -> Vec<[String; 3]> {
        let mut worker_places = Vec::new();
        for (hall, racks) in self.halls.iter().enumerate() {
            for (rack, workers) in racks.iter().enumerate() {
                for worker in 0..*workers {
                    let hall = format!("h{}", hall + 1);
                    let rack = format!("{hall}r{}", rack + 1);
                    let worker = format!("{rack}w{}", worker + 1);
                    worker_places.push([hall, rack, worker]);
                }
            }
        }
        worker_places
    }
}

/// A site that runs.
pub struct Site {
    plan: Config,
    /// The store.
    pub store: Store,
    /// The list.
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
    pub async fn start(plan: Config) -> Result<Site, Error> {
        let mut site = Site {
            store: Store::start().await.map_err(failed)?,
            vms: Vms::start().await.map_err(failed)?,
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            plan,
        };
        for place in site.plan.worker_places() {
            site.add_worker(&place).await?;
        }
        for number in 1..=site.plan.entries {
            site.add_entry(&format!("e{number}")).await?;
        }
        Ok(site)
    }

    /// Starts a worker: an endpoint and its agent.
    ///
    /// # Errors
    ///
    /// If a part cannot listen.
    pub async fn add_worker(
        &mut self,
        place: &[String; 3],
    ) -> Result<(), Error> {
        let endpoint = Endpoint::start().await.map_err(failed)?;
        self.endpoints.insert(place[2].clone(), endpoint);
        self.add_agent(place).await
    }

    /// Starts an agent beside an endpoint that runs.
    ///
    /// # Errors
    ///
    /// If it cannot listen.
    pub async fn add_agent(
        &mut self,
        place: &[String; 3],
    ) -> Result<(), Error> {
        let [hall, rack, worker] = place;
        let endpoint = self
            .endpoints
            .get(worker)
            .ok_or_else(|| failed("no endpoint of that name"))?;
        let agent = Agent::start(agent::Config {
            worker: worker.as_str().into(),
            accelerators: self.plan.accelerators,
            listen_address: loopback(),
            endpoint_url: endpoint.url(),
            log: self.log(worker),
        })
        .await
        .map_err(failed)?;
        self.vms.put(Vm {
            name: worker.as_str().into(),
            role: Role::Endpoint,
            state: Stay::Live,
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
    /// If it cannot listen.
    pub async fn add_entry(&mut self, name: &str) -> Result<(), Error> {
        let entry = Entry::start(entry::Config {
            name: name.to_owned(),
            callers_address: loopback(),
            peers_address: loopback(),
            store_url: self.store.url(),
            vms_url: self.vms.url(),
            cell: "site".to_owned(),
            accelerators: self.plan.accelerators,
            policy: self.plan.policy.clone(),
            operator_token_digest: digest::of(OPERATOR_TOKEN.as_bytes()),
            log: self.log(name),
        })
        .await
        .map_err(failed)?;
        self.vms.put(Vm {
            name: name.into(),
            role: Role::Entry,
            state: Stay::Live,
            hall: "h1".into(),
            rack: "h1r1".into(),
            address: entry.peers_address().to_owned(),
        });
        self.entries.insert(name.to_owned(), entry);
        Ok(())
    }

    fn log(&self, process: &str) -> slog::Logger {
        let process = process.to_owned();
        self.plan.log.new(slog::o!("process" => process))
    }

    /// Returns where callers reach an entry.
    pub fn url(&self, entry: &str) -> String {
        let address = self.entries.get(entry).map(Entry::callers_address);
        format!("http://{}", address.unwrap_or_else(loopback))
    }

    /// Returns the name of the entry that hosts the planner, if one does.
    pub fn planner(&self) -> Option<String> {
        self.entries
            .iter()
            .find(|(_, entry)| entry.is_planner())
            .map(|(name, _)| name.clone())
    }

    /// Kills an entry's process.
    pub fn kill_entry(&mut self, name: &str) {
        if let Some(entry) = self.entries.remove(name) {
            entry.kill();
        }
    }

    /// Kills an agent's process; what runs at its endpoint goes on.
    pub fn kill_agent(&mut self, worker: &str) {
        if let Some(agent) = self.agents.remove(worker) {
            agent.kill();
        }
    }

    /// Loses a worker's VM with all that runs there.
    pub fn lose_worker(&mut self, worker: &str) {
        self.kill_agent(worker);
        if let Some(endpoint) = self.endpoints.remove(worker) {
            endpoint.kill();
        }
        self.vms.remove(worker);
    }

    /// Stops everything, as planned.
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
