//! Connections to the system's other processes, opened on first use.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use jsonrpsee_client_transport::ws::WsHandshakeError;

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time limit of a call that does not wait for an event.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_CALLS: usize = 1024;
/// The maximum size of a request or response in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 8 << 20;

/// A failed call: the process could not be reached, or did not answer.
#[derive(Debug, thiserror::Error)]
#[error("{address}: {reason}")]
pub struct Error {
    address: String,
    reason: String,
    rejected: bool,
}

impl Error {
    /// Creates an error of a call to `address`.
    pub fn new(address: &str, reason: impl std::fmt::Display) -> Error {
        Error {
            address: address.to_owned(),
            reason: reason.to_string(),
            rejected: false,
        }
    }

    /// Returns whether the other process answered the handshake and rejected
    /// the connection.
    pub fn is_rejected(&self) -> bool {
        self.rejected
    }
}

/// A pool of shared connections by address.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    clients: Arc<Mutex<HashMap<String, Arc<WsClient>>>>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new() -> Pool {
        Pool::default()
    }

    /// Returns the shared connection to `address`, opening it if necessary.
    ///
    /// # Errors
    ///
    /// If the connection cannot be opened.
    pub async fn get(&self, address: &str) -> Result<Arc<WsClient>, Error> {
        if let Some(client) = self.cached(address) {
            return Ok(client);
        }
        let client = connect(address).await?;
        let mut clients = self.lock();
        clients.insert(address.to_owned(), client.clone());
        Ok(client)
    }

    /// Removes the connection to `address`, so that the next call reconnects.
    pub fn remove(&self, address: &str) {
        self.lock().remove(address);
    }

    fn cached(&self, address: &str) -> Option<Arc<WsClient>> {
        let mut clients = self.lock();
        let client = clients.get(address).cloned()?;
        match client.is_connected() {
            true => Some(client),
            false => {
                clients.remove(address);
                None
            }
        }
    }

    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<String, Arc<WsClient>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a new connection to `address`, outside any pool.
///
/// # Errors
///
/// If the connection cannot be opened.
pub async fn connect(address: &str) -> Result<Arc<WsClient>, Error> {
    let connecting = WsClientBuilder::default()
        .connection_timeout(CONNECT_TIMEOUT)
        // Only an upper bound: callers set deadlines by `with_timeout`.
        .request_timeout(Duration::from_secs(60))
        .max_concurrent_requests(MAX_CONCURRENT_CALLS)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .build(format!("ws://{address}"));
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(client)) => Ok(Arc::new(client)),
        Ok(Err(error)) => Err(Error {
            rejected: is_handshake_rejection(&error),
            ..Error::new(address, error)
        }),
        Err(_) => Err(Error::new(address, "connection timed out")),
    }
}

fn is_handshake_rejection(error: &ClientError) -> bool {
    let ClientError::Transport(error) = error else {
        return false;
    };
    let rejected = error.downcast_ref::<WsHandshakeError>();
    matches!(rejected, Some(WsHandshakeError::Rejected { .. }))
}

/// Waits for the answer to a call, for `limit` at most.
///
/// # Errors
///
/// If the call fails or times out.
pub async fn with_timeout<T>(
    address: &str,
    limit: Duration,
    call: impl std::future::Future<Output = Result<T, ClientError>>,
) -> Result<T, Error> {
    match tokio::time::timeout(limit, call).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(Error::new(address, error)),
        Err(_) => Err(Error::new(address, "call timed out")),
    }
}
