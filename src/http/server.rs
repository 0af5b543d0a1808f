//! An HTTP server with a limit on connections and a graceful stop.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::http::arrival::Arrivals;
use crate::http::stream::Stream;
use crate::http::Memory;
use crate::http::Request;
use crate::http::Response;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// How long a client may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum size of the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The delay after a connection could not be accepted. Without it, a process
/// that has run out of file descriptors would retry in a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The minimum interval between log lines about rejected connections.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The connection limit of a server that only shows the state of its process.
const MAX_PAGE_CONNECTIONS: usize = 128;
/// The connection limit of [`Server::start`].
const DEFAULT_MAX_CONNECTIONS: usize = 4096;

/// The maximum number of connections of a server, and the log that reports
/// rejected connections.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    /// The maximum number of open connections. To accept a further one, the
    /// server closes the oldest of those of which the rest of a request is
    /// awaited; if there is none, it closes the further one at once.
    pub max_connections: usize,
    /// The logger for rejected connections.
    pub log: slog::Logger,
}

impl Default for ConnectionLimit {
    fn default() -> ConnectionLimit {
        ConnectionLimit {
            max_connections: DEFAULT_MAX_CONNECTIONS,
            log: crate::log::none(),
        }
    }
}

impl ConnectionLimit {
    /// Returns the limit of a server that only shows the state of its process,
    /// such as its metrics.
    pub fn of_page(log: slog::Logger) -> ConnectionLimit {
        ConnectionLimit {
            max_connections: MAX_PAGE_CONNECTIONS,
            log,
        }
    }

    /// Counts a connection that was rejected or closed, and logs it at most
    /// once a second.
    fn report_rejection(
        &self,
        last_logged: &mut Option<Instant>,
        rejection: Rejection,
    ) {
        let limit = rejection.limit();
        metrics::get().limited.add(1, &[label("limit", limit)]);
        let now = Instant::now();
        if last_logged
            .is_some_and(|logged| now < logged + REJECTION_LOG_INTERVAL)
        {
            return;
        }
        *last_logged = Some(now);
        slog::warn!(self.log, "http: connections are rejected";
            "limit" => limit, "most" => self.max_connections,
            "error" => rejection.error());
    }
}

/// Why a connection is rejected or closed.
enum Rejection {
    /// It could not be accepted.
    Failed(io::Error),
    /// The limit of connections is reached.
    Full,
    /// It was the oldest of which the rest of a request was awaited when the
    /// limit of connections was reached.
    Awaited,
}

impl Rejection {
    /// Returns the value of the label `limit`.
    fn limit(&self) -> &'static str {
        match self {
            Rejection::Failed(_) => "descriptors",
            Rejection::Full => "connections",
            Rejection::Awaited => "connection age",
        }
    }

    fn error(&self) -> Option<String> {
        match self {
            Rejection::Failed(error) => Some(error.to_string()),
            Rejection::Full | Rejection::Awaited => None,
        }
    }
}

/// Handles the requests that a [`Server`] receives.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to one request.
    fn handle(
        &self,
        request: Request,
    ) -> impl Future<Output = Response> + Send;
}

/// A running HTTP server.
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and serves requests with `handler`, with the default
    /// limit on connections.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        handler: Arc<impl Handler>,
    ) -> io::Result<Server> {
        let limit = ConnectionLimit::default();
        Server::start_with_limit(address, handler, limit).await
    }

    /// Binds `address` and serves requests with `handler` on at most as many
    /// connections as `limit` allows.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start_with_limit(
        address: SocketAddr,
        handler: Arc<impl Handler>,
        limit: ConnectionLimit,
    ) -> io::Result<Server> {
        let memory = Memory::default();
        Server::start_within(address, handler, limit, memory).await
    }

    /// Binds `address` and serves requests with `handler` on at most as many
    /// connections as `limit` allows. The bodies of the requests share
    /// `memory` with those of other servers that were given it.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start_within(
        address: SocketAddr,
        handler: Arc<impl Handler>,
        limit: ConnectionLimit,
        memory: Memory,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task =
            tokio::spawn(accept(listener, handler, limit, memory, stopped));
        Ok(Server {
            address,
            stop,
            task,
        })
    }

    /// Returns the bound address, with the port that was assigned for port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and returns once every request in progress
    /// has its response. Aborts the requests that remain at the deadline.
    pub async fn stop(self, deadline: Instant) {
        let _ = self.stop.send(true);
        let mut task = self.task;
        if tokio::time::timeout_at(deadline, &mut task).await.is_err() {
            task.abort();
        }
    }

    /// Stops at once and aborts requests in progress, as if the process were
    /// killed.
    pub fn kill(self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    handler: Arc<impl Handler>,
    limit: ConnectionLimit,
    memory: Memory,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    // The set is dropped with this task, so that aborting the task closes
    // every connection.
    let mut connections = tokio::task::JoinSet::new();
    let arrivals = Arrivals::default();
    let mut last_logged = None;
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    let rejection = Rejection::Failed(error);
                    limit.report_rejection(&mut last_logged, rejection);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            Some(_) = connections.join_next() => continue,
            _ = stopped.changed() => break,
        };
        let is_full = connections.len() >= limit.max_connections;
        if is_full && !arrivals.close_oldest() {
            limit.report_rejection(&mut last_logged, Rejection::Full);
            continue;
        }
        if is_full {
            limit.report_rejection(&mut last_logged, Rejection::Awaited);
            connections.join_next().await;
        }
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let memory = memory.clone();
        let handle = arrivals.connect();
        let closed = handle.clone();
        let first_head = Mutex::new(Some(handle.wait()));
        let service = service_fn(move |mut request: Request| {
            let handler = handler.clone();
            request.extensions_mut().insert(memory.clone());
            request.extensions_mut().insert(handle.clone());
            let mut first_head =
                first_head.lock().unwrap_or_else(PoisonError::into_inner);
            drop(first_head.take());
            async move { Ok::<_, Infallible>(handler.handle(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(Stream::new(stream)), service);
        let connection = graceful.watch(connection);
        connections.spawn(async move {
            // In this order, so that a connection that is to be closed does not
            // read the rest of its request, which would be lost.
            tokio::select! {
                biased;
                () = closed.closed() => {}
                _ = connection => {}
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
    while connections.join_next().await.is_some() {}
}
