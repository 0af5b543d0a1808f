//! The process beside an endpoint: owns its worker's accelerators.
//!
//! [`ledger`] decides, by [`slot`]s, [`lead`] is its part for gangs that this worker
//! leads, [`keeper`] is the actor that owns them and carries out their
//! effects, on the endpoint's tasks by [`task`], and [`serve`] answers the
//! calls of planners and other agents.

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

/// What an agent has to know.
#[derive(Clone, Debug)]
pub struct Config {
    /// The worker's name.
    pub worker: WorkerId,
    /// How many accelerators it has.
    pub accelerators: u32,
    /// Where to listen.
    pub listen: SocketAddr,
    /// Where the endpoint listens.
    pub endpoint: String,
    /// Where logs go.
    pub log: slog::Logger,
}

/// An agent that cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The number of accelerators is out of range.
    #[error("{0}")]
    Accelerators(#[from] crate::site::Error),
    /// The address cannot be listened on.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The actor did not start.
    #[error("the ledger actor did not start: {0}")]
    Actor(#[from] ractor::SpawnErr),
}

/// An agent that runs.
pub struct Agent {
    address: SocketAddr,
    actor: ActorRef<actor::Message>,
    server: ServerHandle,
}

impl Agent {
    /// Starts an agent; it takes over tasks that run at its endpoint.
    ///
    /// # Errors
    ///
    /// If it cannot listen, or its settings are out of range.
    pub async fn start(config: Config) -> Result<Agent, Error> {
        let ledger =
            ledger::Ledger::new(config.worker.clone(), config.accelerators)?;
        let endpoint =
            endpoint::Client::new(http::Client::new(), &config.endpoint);
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
            address: config.listen,
            source,
        };
        let server = jsonrpsee::server::Server::builder()
            .set_config(server_config())
            .build(config.listen)
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

    /// Returns where the agent listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets no new work in, waits until what is here has ended, or until
    /// the deadline, and stops. Tasks still running then go on under their
    /// lease, for an agent that starts here anew to take over.
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

    /// Stops at once, as a process that is killed.
    pub fn kill(self) {
        let _ = self.server.stop();
        self.actor.kill();
    }
}

/// Returns the limits of the calls that one of our processes takes.
pub(crate) fn server_config() -> jsonrpsee::server::ServerConfig {
    jsonrpsee::server::ServerConfig::builder()
        .max_request_body_size(link::MAX_MESSAGE_BYTES)
        .max_response_body_size(link::MAX_MESSAGE_BYTES)
        .max_connections(4096)
        .build()
}
