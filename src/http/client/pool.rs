//! Connections to servers, apart from those that may have gone silent.
//!
//! All open connections to a server can go silent at once, without a reset,
//! while new ones work. A burst of calls leaves dozens of idle connections, and
//! calls that try them one after the other each wait for an answer in vain.
//! Once a call finds its connection silent, no later call therefore uses an
//! idle connection that was opened before.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::http::uri::Authority;
use hyper::Uri;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

/// How long establishing a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Connections that are used again once they are idle.
pub(super) type Connections = legacy::Client<HttpConnector, Full<Bytes>>;

/// A server's host and port; `None` for a URL without them, which no call can
/// use.
type Server = Option<Authority>;

/// The connections to a server that were opened since the last retirement.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    server: Server,
    /// The number of retirements before.
    generation: u64,
    /// The connections.
    pub connections: Connections,
}

/// The pools of all servers that a client calls. Clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct Pools {
    pools: Arc<Mutex<HashMap<Server, Pool>>>,
}

impl Pools {
    /// Returns the pool of a URL's server.
    pub fn get(&self, url: &Uri) -> Pool {
        let server = url.authority().cloned();
        let mut pools = self.lock();
        let pool = pools.entry(server.clone()).or_insert_with(|| Pool {
            server,
            generation: 0,
            connections: open_connections(),
        });
        pool.clone()
    }

    /// Replaces a pool by an empty one, unless that was done before. Calls on
    /// the connections of the old one go on.
    pub fn retire(&self, pool: &Pool) {
        let mut pools = self.lock();
        let Some(current) = pools.get_mut(&pool.server) else {
            return;
        };
        if current.generation == pool.generation {
            current.generation += 1;
            current.connections = open_connections();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Server, Pool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns an empty set of connections.
fn open_connections() -> Connections {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}
