//! The server through which agents reach this process's planner.

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

/// The least time between two warnings about the connection limit.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);
/// How often an agent's connection is pinged. Without pings, a connection that
/// went silent for good would hold its descriptor until the process ends. The
/// interval is long because live agents report more often.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// The limits of a planner's server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most connections.
    pub connections: u32,
    /// The largest report, in bytes.
    pub report: u32,
}

/// The connections that one agent may have at once: its newest, and an earlier
/// one that was cut without notice.
const CONNECTIONS_PER_AGENT: u32 = 2;
/// The default for the most agents: four times as many as on the largest site
/// tested, so that the machine is the limit and not this number.
pub const DEFAULT_AGENTS: u32 = 1000;

impl Limits {
    /// Returns limits with the given number of connections.
    pub fn of_connections(connections: u32) -> Limits {
        Limits {
            connections,
            report: link::MAX_MESSAGE_BYTES,
        }
    }

    /// Returns limits for the given number of agents.
    pub fn of_agents(agents: u32) -> Limits {
        Limits::of_connections(agents.saturating_mul(CONNECTIONS_PER_AGENT))
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits::of_agents(DEFAULT_AGENTS)
    }
}

/// A listening server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    _handle: ServerHandle,
}

impl Server {
    /// Listens for agents and passes their reports to the planner of `host`.
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
            .max_response_body_size(link::MAX_MESSAGE_BYTES)
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

/// Counts rejected connections and logs them. A rejected agent gets no work
/// for its worker.
struct Rejections {
    limits: Limits,
    /// The time of the last warning, and the rejections since.
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
        if unreported
            .0
            .is_some_and(|warned| now < warned + WARNING_INTERVAL)
        {
            return;
        }
        slog::warn!(self.log, "planner: connections of agents are rejected";
            "connections" => self.limits.connections,
            "agents" => unreported.1);
        *unreported = (Some(now), 0);
    }
}
