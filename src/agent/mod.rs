//! The agent: the process beside an endpoint that assigns the accelerators of
//! its worker to gangs.
//!
//! [`ledger`] holds the rules and one [`slot`] for each gang; [`lead`] is the
//! state of gangs that this worker leads. [`actor`] owns the ledger and
//! executes its effects, starting and stopping the endpoint's tasks through
//! [`task`]. [`serve`] answers the calls of planners and other agents.

pub mod actor;
pub mod lead;
pub mod ledger;
pub mod serve;
pub mod slot;
pub mod task;

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::server::ServerHandle;
use ractor::ActorRef;

use crate::endpoint;
use crate::http;
use crate::site::WorkerId;
use crate::wire::agent::AgentServer;
use crate::wire::link;

/// The configuration of an agent.
#[derive(Clone, Debug)]
pub struct Config {
    /// The worker's name.
    pub worker: WorkerId,
    /// The number of accelerators of the worker.
    pub accelerators: u32,
    /// The address to listen on.
    pub listen_address: SocketAddr,
    /// The base URL of the endpoint.
    pub endpoint_url: String,
    /// The logger.
    pub log: slog::Logger,
}

/// The reason why an agent cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The number of accelerators is out of range.
    #[error("{0}")]
    Accelerators(#[from] crate::site::Error),
    /// The agent cannot listen on its address.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause of the failure.
        source: std::io::Error,
    },
    /// The ledger's actor did not start.
    #[error("the ledger actor did not start: {0}")]
    Actor(#[from] ractor::SpawnErr),
}

/// A running agent.
pub struct Agent {
    address: SocketAddr,
    actor: ActorRef<actor::Message>,
    server: ServerHandle,
}

impl Agent {
    /// Starts an agent, which adopts the tasks found at its endpoint. Waits
    /// until the endpoint has listed them.
    ///
    /// # Errors
    ///
    /// If the agent cannot listen, or its settings are out of range.
    pub async fn start(config: Config) -> Result<Agent, Error> {
        let ledger =
            ledger::Ledger::new(config.worker.clone(), config.accelerators)?;
        let endpoint =
            endpoint::Client::new(http::Client::new(), &config.endpoint_url);
        let (sequence_sender, sequence_receiver) =
            tokio::sync::watch::channel(0);
        let (actor, _) = ractor::Actor::spawn(
            None,
            actor::LedgerActor,
            actor::Arguments {
                ledger,
                endpoint: endpoint.clone(),
                sequence_sender,
                log: config.log.clone(),
            },
        )
        .await?;
        let methods = serve::Methods {
            worker: config.worker,
            actor: actor.clone(),
            endpoint,
            pool: link::Pool::new(),
            sequence_receiver,
            incarnation: uuid::Uuid::new_v4().simple().to_string(),
            log: config.log,
        };
        let listen = |source| Error::Listen {
            address: config.listen_address,
            source,
        };
        let server = jsonrpsee::server::Server::builder()
            .set_config(server_config())
            .build(config.listen_address)
            .await
            .map_err(listen)?;
        let address = server.local_addr().map_err(listen)?;
        let server = server.start(methods.into_rpc());
        Ok(Agent {
            address,
            actor,
            server,
        })
    }

    /// Returns the address that the agent listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting work, waits until all gangs here have ended or the
    /// deadline passes, and stops. Tasks that still run then continue under
    /// their leases, and an agent that is started again here adopts them.
    pub async fn stop(self, deadline: tokio::time::Instant) {
        let _ = self.actor.cast(actor::Message::Leave);
        while tokio::time::Instant::now() < deadline {
            let idle =
                ractor::call_t!(self.actor, actor::Message::IsIdle, 1000);
            if matches!(idle, Ok(true)) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.kill();
    }

    /// Stops at once without cleanup, as a killed process would.
    pub fn kill(self) {
        let _ = self.server.stop();
        self.actor.kill();
    }
}

/// Returns the limits of the JSON-RPC servers of agents and entries.
pub(crate) fn server_config() -> jsonrpsee::server::ServerConfig {
    jsonrpsee::server::ServerConfig::builder()
        .max_request_body_size(link::MAX_MESSAGE_BYTES)
        .max_response_body_size(link::MAX_MESSAGE_BYTES)
        .max_connections(4096)
        .build()
}
