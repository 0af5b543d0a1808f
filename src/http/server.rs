//! A server that stops without cutting a request off.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
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

use crate::http::Request;
use crate::http::Response;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// How long a caller may take over the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The most bytes that the head of a request may have.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How long is waited after a connection could not be accepted: without, a
/// process that has no descriptor left would do nothing but try.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How often it is told that connections are turned away.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The most connections unless told otherwise.
const DEFAULT_MAX_CONNECTIONS: usize = 4096;

/// How many connections a server takes, and who is told when it takes no
/// more.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    /// The most connections; one more is closed at once.
    pub connections: usize,
    /// Where logs go.
    pub log: slog::Logger,
}

impl ConnectionLimit {
    /// Tells what was turned away, once a second at most.
    fn report_rejection(
        &self,
        told: &mut Option<Instant>,
        error: Option<io::Error>,
    ) {
        let limit = match error {
            Some(_) => "descriptors",
            None => "connections",
        };
        metrics::get().limited.add(1, &[label("limit", limit)]);
        let now = Instant::now();
        if told.is_some_and(|at| now < at + REJECTION_LOG_INTERVAL) {
            return;
        }
        *told = Some(now);
        slog::warn!(self.log, "http: connections are turned away";
            "limit" => limit, "most" => self.connections,
            "error" => error.map(|error| error.to_string()));
    }
}

/// What answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        &self,
        request: Request,
    ) -> impl Future<Output = Response> + Send;
}

/// A server that listens.
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and answers with `handler`.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn start(
        address: SocketAddr,
        handler: Arc<impl Handler>,
    ) -> io::Result<Server> {
        let limit = ConnectionLimit {
            connections: DEFAULT_MAX_CONNECTIONS,
            log: crate::log::none(),
        };
        Server::start_with_limit(address, handler, limit).await
    }

    /// Listens on `address` and answers with `handler`, on so many
    /// connections at once.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn start_with_limit(
        address: SocketAddr,
        handler: Arc<impl Handler>,
        limit: ConnectionLimit,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(listener, handler, limit, stopped));
        Ok(Server {
            address,
            stop,
            task,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and returns once every request under way has its
    /// answer, or at the deadline.
    pub async fn stop(self, deadline: Instant) {
        let _ = self.stop.send(true);
        let mut task = self.task;
        if tokio::time::timeout_at(deadline, &mut task).await.is_err() {
            task.abort();
        }
    }

    /// Stops at once, cutting requests off, as a process that is killed.
    pub fn kill(self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    handler: Arc<impl Handler>,
    limit: ConnectionLimit,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    // Dropped with this task, so that an abort ends every connection.
    let mut connections = tokio::task::JoinSet::new();
    let mut told = None;
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    limit.report_rejection(&mut told, Some(error));
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            Some(_) = connections.join_next() => continue,
            _ = stopped.changed() => break,
        };
        if connections.len() >= limit.connections {
            limit.report_rejection(&mut told, None);
            continue;
        }
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(handler.handle(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        connections.spawn(async move {
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
    while connections.join_next().await.is_some() {}
}
