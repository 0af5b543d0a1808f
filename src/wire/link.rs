//! Connections to others of our own processes, made when first needed.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use jsonrpsee_client_transport::ws::WsHandshakeError;

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a call may take, unless it waits for something.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The most calls under way on one connection.
const MAX_CONCURRENT_CALLS: usize = 1024;
/// The largest message.
pub const MAX_MESSAGE_BYTES: u32 = 8 << 20;

/// A process that could not be asked, or did not answer.
#[derive(Debug, thiserror::Error)]
#[error("{address}: {reason}")]
pub struct Error {
    address: String,
    reason: String,
    rejected: bool,
}

impl Error {
    /// Returns an error of a call to `address`.
    pub fn new(address: &str, reason: impl std::fmt::Display) -> Error {
        Error {
            address: address.to_owned(),
            reason: reason.to_string(),
            rejected: false,
        }
    }

    /// Returns whether the other process is there and takes no connection.
    pub fn is_rejected(&self) -> bool {
        self.rejected
    }
}

/// Connections by address.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    clients: Arc<Mutex<HashMap<String, Arc<WsClient>>>>,
}

impl Pool {
    /// Returns a pool without connections.
    pub fn new() -> Pool {
        Pool::default()
    }

    /// Returns a connection to `address`.
    ///
    /// # Errors
    ///
    /// If none can be made.
    pub async fn get(&self, address: &str) -> Result<Arc<WsClient>, Error> {
        if let Some(client) = self.cached(address) {
            return Ok(client);
        }
        let client = connect(address).await?;
        let mut clients = self.lock();
        clients.insert(address.to_owned(), client.clone());
        Ok(client)
    }

    /// Drops the connection to `address`.
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

/// Returns a connection of its own to `address`.
///
/// # Errors
///
/// If it cannot be made.
pub async fn connect(address: &str) -> Result<Arc<WsClient>, Error> {
    let connecting = WsClientBuilder::default()
        .connection_timeout(CONNECT_TIMEOUT)
        // Each call has its own, shorter or longer, deadline.
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
        Err(_) => Err(Error::new(address, "not connected in time")),
    }
}

fn is_handshake_rejection(error: &ClientError) -> bool {
    let ClientError::Transport(error) = error else {
        return false;
    };
    let rejected = error.downcast_ref::<WsHandshakeError>();
    matches!(rejected, Some(WsHandshakeError::Rejected { .. }))
}

/// Waits for a call's answer until its deadline.
///
/// # Errors
///
/// If the call fails or its deadline passes.
pub async fn with_timeout<T>(
    address: &str,
    limit: Duration,
    call: impl std::future::Future<Output = Result<T, ClientError>>,
) -> Result<T, Error> {
    match tokio::time::timeout(limit, call).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(Error::new(address, error)),
        Err(_) => Err(Error::new(address, "no answer in time")),
    }
}
