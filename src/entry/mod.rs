//! The process on an entry VM: HTTP for callers and operators, and the
//! planner of each cell whose claim it holds.
//!
//! [`callers`] and [`operators`] answer HTTP with [`answers`], [`router`] finds the planner,
//! [`claim`] hosts it, [`configuration`] and [`listing`] follow the store
//! and the platform's list, and [`serve`] answers other entries.

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

/// What an entry has to know.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where it listens for callers and operators.
    pub callers: SocketAddr,
    /// Where it listens for others of our processes.
    pub peers: SocketAddr,
    /// Where the store is.
    pub store: String,
    /// Where the platform's list is.
    pub vms: String,
    /// The cell.
    pub cell: String,
    /// How many accelerators each worker has.
    pub accelerators: u32,
    /// What the operators weigh.
    pub policy: Policy,
    /// The digest of the operators' token.
    pub operator: digest::Hex,
    /// Where logs go.
    pub log: slog::Logger,
}

/// An entry that cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be listened on.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The site cannot be described.
    #[error("accelerators: {0}")]
    Site(#[from] crate::site::Error),
}

/// A planner's claim, as an entry sees it.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize,
)]
pub struct Claim {
    /// Where the entry that hosts the planner listens.
    pub address: String,
    /// Names this try at claiming, to know it again.
    pub nonce: String,
}

/// What the parts of an entry share.
pub struct Shared {
    /// Its settings.
    pub config: Config,
    /// Where it listens for others of ours.
    pub address: String,
    /// The store.
    pub store: store::Client,
    /// The configuration in force.
    pub document: watch::Sender<Arc<Document>>,
    /// The VMs, as last listed.
    pub vms: watch::Sender<Vec<Vm>>,
    /// A plan of the site without jobs, to check requests against.
    pub nominal_plan: watch::Sender<Arc<Plan>>,
    /// The planner, while it is hosted here.
    pub planner: watch::Sender<Option<ActorRef<planner::actor::Message>>>,
    /// The claim, as last seen.
    pub claim: watch::Sender<Option<Claim>>,
    /// Connections to other entries.
    pub pool: link::Pool,
    /// Limits of client accounts.
    pub limits: limits::Limits,
    /// Whether the entry is to stop.
    pub stopping: watch::Sender<bool>,
}

/// An entry that runs.
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
    /// If it cannot listen, or its settings are out of range.
    pub async fn start(config: Config) -> Result<Entry, Error> {
        let http = http::Client::new();
        let site = crate::site::Site::new(config.accelerators)?;
        let nominal_plan = Arc::new(Plan::new(site, config.policy.clone()));
        let listener = jsonrpsee::server::Server::builder()
            .set_config(crate::agent::server_config())
            .build(config.peers)
            .await
            .map_err(|source| listen_error(config.peers, source))?;
        let address = listener
            .local_addr()
            .map_err(|source| listen_error(config.peers, source))?;
        let shared = Arc::new(Shared {
            address: address.to_string(),
            store: store::Client::new(http.clone(), &config.store),
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
        let callers_address = shared.config.callers;
        let api = Arc::new(callers::CallerApi {
            shared: shared.clone(),
        });
        let callers = http::Server::start(callers_address, api)
            .await
            .map_err(|source| listen_error(callers_address, source))?;
        let list = vms::Client::new(http, &shared.config.vms);
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

    /// Returns where callers and operators reach the entry.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns where others of our processes reach the entry.
    pub fn peers(&self) -> &str {
        &self.shared.address
    }

    /// Returns whether the planner is hosted here.
    pub fn is_planner(&self) -> bool {
        self.shared.planner.borrow().is_some()
    }

    /// Returns the revision of the configuration in force here.
    pub fn revision(&self) -> store::Revision {
        self.shared.document.borrow().revision
    }

    /// Hands the planner over, answers every request under way, or until
    /// the deadline, and stops.
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

    /// Stops at once, as a process that is killed.
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

/// Waits between half and all of `max`, so that processes that failed
/// together do not come back together.
pub(crate) async fn sleep_with_jitter(max: Duration) {
    let max = max.as_millis() as u64;
    let wait = fastrand::u64(max / 2..=max);
    tokio::time::sleep(Duration::from_millis(wait)).await;
}
