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
const WARNING_INTERVAL: Duration = Duration::from_secs(1);
/// How often an agent's connection is tried: one that has gone silent for
/// good would else hold its descriptor until the process ends. Seldom, as
/// agents that are alive report more often than that.
const PING_INTERVAL: Duration = Duration::from_secs(10);

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
const CONNECTIONS_PER_AGENT: u32 = 2;
/// The most agents unless told otherwise: four times what the largest site
/// played has, so that what binds is the machine and not this number.
pub const DEFAULT_AGENTS: u32 = 1000;

impl Limits {
    /// Returns what a planner takes on so many connections.
    pub fn of_connections(connections: u32) -> Limits {
        Limits {
            connections,
            report: link::MAX_MESSAGE,
        }
    }

    /// Returns what a planner of so many agents takes.
    pub fn of_agents(agents: u32) -> Limits {
        Limits::of_connections(agents.saturating_mul(CONNECTIONS_PER_AGENT))
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits::of_agents(DEFAULT_AGENTS)
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
            .ping_interval(PING_INTERVAL)
            .inactive_limit(PING_INTERVAL)
            .max_failures(1);
        let config = ServerConfig::builder()
            .max_connections(limits.connections)
            .max_request_body_size(limits.report)
            .max_response_body_size(link::MAX_MESSAGE)
            .enable_ws_ping(ping)
            .build();
        let rejections = Arc::new(Rejections::new(limits, log));
        let watch = tower::ServiceBuilder::new().map_response(
            move |response: jsonrpsee::server::HttpResponse| {
                rejections.observe(response.status());
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
struct Rejections {
    limits: Limits,
    /// When it was told last, and how many were turned away since.
    unreported: Mutex<(Option<Instant>, u64)>,
    log: slog::Logger,
}

impl Rejections {
    fn new(limits: Limits, log: slog::Logger) -> Rejections {
        Rejections {
            limits,
            unreported: Mutex::new((None, 0)),
            log,
        }
    }

    fn observe(&self, status: StatusCode) {
        if status != StatusCode::TOO_MANY_REQUESTS {
            return;
        }
        let labels = [label("limit", "agents")];
        metrics::get().limited.add(1, &labels);
        let mut unreported = self
            .unreported
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        unreported.1 += 1;
        let now = Instant::now();
        if unreported.0.is_some_and(|at| now < at + WARNING_INTERVAL) {
            return;
        }
        slog::warn!(self.log, "planner: agents are turned away";
            "connections" => self.limits.connections,
            "agents" => unreported.1);
        *unreported = (Some(now), 0);
    }
}
