//! Where agents reach the planner of this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::StatusCode;
use jsonrpsee::server::PingConfig;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use tokio::time::Instant;

use crate::cell::rpc::CellServer;
use crate::cell::session::Host;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;
use crate::wire::link;

/// How often the limit is told of while it is met.
const TELL: Duration = Duration::from_secs(1);
/// How often an agent's connection is tried: one that has gone silent for
/// good would else hold its descriptor until the process ends. Seldom, as
/// agents that are alive report more often than that.
const PING: Duration = Duration::from_secs(10);

/// What a planner's server takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most connections.
    pub connections: u32,
    /// The largest report, in bytes.
    pub report: u32,
}

/// How many connections an agent may have at once: the one it has just made,
/// and one that was cut and that nobody has noticed yet.
const PER_AGENT: u32 = 2;
/// The most agents unless told otherwise: four times what the largest site
/// played has, so that what binds is the machine and not this number.
pub const AGENTS: u32 = 1000;

impl Limits {
    /// Returns what a planner takes on so many connections.
    pub fn of_connections(connections: u32) -> Limits {
        Limits {
            connections,
            report: link::MAX_MESSAGE_BYTES,
        }
    }

    /// Returns what a planner of so many agents takes.
    pub fn of_agents(agents: u32) -> Limits {
        Limits::of_connections(agents.saturating_mul(PER_AGENT))
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits::of_agents(AGENTS)
    }
}

/// A server that listens.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    _handle: ServerHandle,
}

impl Server {
    /// Listens for agents, and hands what they report to the planner that
    /// `host` hosts.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn start(
        address: SocketAddr,
        host: Host,
        limits: Limits,
        log: slog::Logger,
    ) -> std::io::Result<Server> {
        let ping = PingConfig::new()
            .ping_interval(PING)
            .inactive_limit(PING)
            .max_failures(1);
        let config = ServerConfig::builder()
            .max_connections(limits.connections)
            .max_request_body_size(limits.report)
            .max_response_body_size(link::MAX_MESSAGE_BYTES)
            .enable_ws_ping(ping)
            .build();
        let full = Arc::new(Full::new(limits, log));
        let watch = tower::ServiceBuilder::new().map_response(
            move |response: jsonrpsee::server::HttpResponse| {
                full.see(response.status());
                response
            },
        );
        let server = jsonrpsee::server::Server::builder()
            .set_config(config)
            .set_http_middleware(watch)
            .build(address)
            .await?;
        Ok(Server {
            address: server.local_addr()?,
            _handle: server.start(host.into_rpc()),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Tells that the limit of connections is met: agents are turned away then,
/// and their workers get no work.
struct Full {
    limits: Limits,
    /// When it was told last, and how many were turned away since.
    told: Mutex<(Option<Instant>, u64)>,
    log: slog::Logger,
}

impl Full {
    fn new(limits: Limits, log: slog::Logger) -> Full {
        Full {
            limits,
            told: Mutex::new((None, 0)),
            log,
        }
    }

    fn see(&self, status: StatusCode) {
        if status != StatusCode::TOO_MANY_REQUESTS {
            return;
        }
        let labels = [label("limit", "agents")];
        metrics::get().limited.add(1, &labels);
        let mut told =
            self.told.lock().unwrap_or_else(PoisonError::into_inner);
        told.1 += 1;
        let now = Instant::now();
        if told.0.is_some_and(|at| now < at + TELL) {
            return;
        }
        slog::warn!(self.log, "planner: agents are turned away";
            "connections" => self.limits.connections, "agents" => told.1);
        *told = (Some(now), 0);
    }
}
