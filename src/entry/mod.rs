//! The entry: the process that serves HTTP to callers and operators, and that
//! hosts the planner of its cell while it holds the cell's claim.
//!
//! [`callers`] and [`operators`] handle HTTP requests, build their answers
//! with [`responses`] and reach the planner through [`router`]. [`claim`]
//! claims the cell and hosts its planner. [`configuration`] and [`listing`]
//! follow the configuration and the platform's list of VMs. [`serve`] answers
//! the calls of other entries.

pub mod callers;
pub mod claim;
pub mod configuration;
pub mod edits;
pub mod limits;
pub mod listing;
pub mod operators;
pub mod responses;
pub mod router;
pub mod serve;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::server::ServerHandle;
use ractor::ActorRef;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::config::Document;
use crate::http;
use crate::plan::Plan;
use crate::plan::Policy;
use crate::planner;
use crate::store;
use crate::util::digest;
use crate::vms;
use crate::vms::Vm;
use crate::wire::entry::EntryServer;
use crate::wire::link;

/// The configuration of an entry.
#[derive(Clone, Debug)]
pub struct Config {
    /// The entry's name.
    pub name: String,
    /// The address for the HTTP requests of callers and operators.
    pub callers_address: SocketAddr,
    /// The address for the calls of other entries.
    pub peers_address: SocketAddr,
    /// The base URL of the store.
    pub store_url: String,
    /// The base URL of the platform's list of VMs.
    pub vms_url: String,
    /// The name of the cell.
    pub cell: String,
    /// The number of accelerators of each worker.
    pub accelerators: u32,
    /// The planner's policy, as the operators set it.
    pub policy: Policy,
    /// The digest of the operators' token.
    pub operator_token_digest: digest::Hex,
    /// The logger.
    pub log: slog::Logger,
}

/// The reason why an entry cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The entry cannot listen on one of its addresses.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause of the failure.
        source: std::io::Error,
    },
    /// The number of accelerators is out of range.
    #[error("accelerators: {0}")]
    Site(#[from] crate::site::Error),
}

/// The claim of a cell, as stored: which entry hosts the planner.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize,
)]
pub struct Claim {
    /// The address on which the hosting entry takes calls of other entries.
    pub address: String,
    /// Identifies this attempt to claim, so that its writer recognizes the
    /// stored claim as its own.
    pub nonce: String,
}

/// The state shared by the parts of an entry.
pub struct Shared {
    /// The entry's configuration.
    pub config: Config,
    /// The address on which the entry takes calls of other entries.
    pub address: String,
    /// The client of the store.
    pub store: store::Client,
    /// The operators' configuration in force at this entry.
    pub document: watch::Sender<Arc<Document>>,
    /// The VMs, as last listed.
    pub vms: watch::Sender<Vec<Vm>>,
    /// A plan of the site without jobs, against which requests are checked.
    pub nominal_plan: watch::Sender<Arc<Plan>>,
    /// The planner, while this entry hosts it.
    pub planner: watch::Sender<Option<ActorRef<planner::actor::Message>>>,
    /// The cell's claim, as last read.
    pub claim: watch::Sender<Option<Claim>>,
    /// Connections to other entries.
    pub pool: link::Pool,
    /// The use of the client accounts' limits.
    pub limits: limits::Limits,
    /// Whether the entry is stopping.
    pub stopping: watch::Sender<bool>,
}

/// A running entry.
pub struct Entry {
    shared: Arc<Shared>,
    callers: http::Server,
    peers: ServerHandle,
    tasks: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// If the entry cannot listen, or its settings are out of range.
    pub async fn start(config: Config) -> Result<Entry, Error> {
        let http = http::Client::new();
        let site = crate::site::Site::new(config.accelerators)?;
        let nominal_plan = Arc::new(Plan::new(site, config.policy.clone()));
        let listener = jsonrpsee::server::Server::builder()
            .set_config(crate::agent::server_config())
            .build(config.peers_address)
            .await
            .map_err(|source| listen_error(config.peers_address, source))?;
        let address = listener
            .local_addr()
            .map_err(|source| listen_error(config.peers_address, source))?;
        let shared = Arc::new(Shared {
            address: address.to_string(),
            store: store::Client::new(http.clone(), &config.store_url),
            document: watch::channel(Arc::default()).0,
            vms: watch::channel(Vec::new()).0,
            nominal_plan: watch::channel(nominal_plan).0,
            planner: watch::channel(None).0,
            claim: watch::channel(None).0,
            pool: link::Pool::new(),
            limits: limits::Limits::default(),
            stopping: watch::channel(false).0,
            config,
        });
        let methods = serve::Methods {
            shared: shared.clone(),
        };
        let peers = listener.start(methods.into_rpc());
        let callers_address = shared.config.callers_address;
        let api = Arc::new(callers::Api {
            shared: shared.clone(),
        });
        let callers = http::Server::start(callers_address, api)
            .await
            .map_err(|source| listen_error(callers_address, source))?;
        let list = vms::Client::new(http, &shared.config.vms_url);
        let tasks = vec![
            tokio::spawn(listing::follow(shared.clone(), list)),
            tokio::spawn(configuration::follow(shared.clone())),
            tokio::spawn(configuration::follow_nominal_plan(shared.clone())),
            tokio::spawn(claim::follow(shared.clone())),
        ];
        Ok(Entry {
            shared,
            callers,
            peers,
            tasks,
        })
    }

    /// Returns the address for callers and operators.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for other entries.
    pub fn peers_address(&self) -> &str {
        &self.shared.address
    }

    /// Returns whether this entry hosts the planner.
    pub fn is_planner(&self) -> bool {
        self.shared.planner.borrow().is_some()
    }

    /// Returns the revision of the configuration in force at this entry.
    pub fn revision(&self) -> store::Revision {
        self.shared.document.borrow().revision
    }

    /// Stops hosting the planner, answers the requests in progress until the
    /// deadline, and stops.
    pub async fn stop(self, deadline: tokio::time::Instant) {
        let _ = self.shared.stopping.send(true);
        let handed_over = async {
            let mut planner = self.shared.planner.subscribe();
            let _ = planner.wait_for(|planner| planner.is_none()).await;
        };
        let _ = tokio::time::timeout_at(deadline, handed_over).await;
        self.callers.stop(deadline).await;
        let _ = self.peers.stop();
        for task in self.tasks {
            task.abort();
        }
    }

    /// Stops at once without cleanup, as a killed process would.
    pub fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.callers.kill();
        let _ = self.peers.stop();
        if let Some(planner) = self.shared.planner.borrow().clone() {
            planner.kill();
        }
    }
}

fn listen_error(address: SocketAddr, source: std::io::Error) -> Error {
    Error::Listen { address, source }
}

/// Sleeps for a random time between half of `max` and `max`, so that processes
/// that failed together do not retry together.
pub(crate) async fn sleep_with_jitter(max: Duration) {
    let max = max.as_millis() as u64;
    let wait = fastrand::u64(max / 2..=max);
    tokio::time::sleep(Duration::from_millis(wait)).await;
}
