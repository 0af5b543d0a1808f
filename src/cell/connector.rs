//! Connections to entries: the one named by the claim, and any other.
//!
//! Programs use [`Network`]; a simulation provides its own connections.

use std::fmt::Debug;
use std::num::NonZeroU16;
use std::sync::Arc;

use jsonrpsee::core::async_trait;
use jsonrpsee::ws_client::WsClient;
use serde::Deserialize;
use serde::Serialize;

use crate::cell::relay::call::Call;
use crate::cell::relay::call::Reply;
use crate::cell::rpc::Answer;
use crate::cell::rpc::CellClient;
use crate::graph::Report;
use crate::wire::link;
use crate::wire::link::Error;

/// The entry that calls are meant for.
///
/// An address alone does not name an entry: after the entry has ended, an
/// entry of another site may serve at the same address.
#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct Recipient {
    /// The address at which the entry serves calls.
    pub address: String,
    /// The life of the entry's process, drawn at random at each start; empty
    /// if not known.
    #[serde(default)]
    pub life: String,
}

/// A value that names no entry.
#[derive(Debug, thiserror::Error)]
pub enum RecipientError {
    /// The value does not describe an entry.
    #[error("the value does not describe an entry: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The address is not that of a port.
    #[error("address {0:?}: expected HOST:PORT, with a port from 1 to 65535")]
    Address(String),
}

impl Recipient {
    /// Decodes the value of an entry's registration.
    ///
    /// # Errors
    ///
    /// If the value names no entry that could be reached.
    pub fn decode(value: &[u8]) -> Result<Recipient, RecipientError> {
        let recipient: Recipient = serde_json::from_slice(value)?;
        let port = recipient.address.rsplit_once(':').map(|(_, port)| port);
        let port = port.and_then(|port| port.parse::<NonZeroU16>().ok());
        match port {
            Some(_) => Ok(recipient),
            None => Err(RecipientError::Address(recipient.address)),
        }
    }
}

/// A connection to an entry.
#[async_trait]
pub trait Peer: Send + Sync {
    /// Sends a report and returns the planner's answer.
    ///
    /// # Errors
    ///
    /// If there is no answer. The report may have been received.
    async fn sync(&self, report: Report) -> Result<Answer, Error>;

    /// Has the entry make a store call.
    ///
    /// # Errors
    ///
    /// If there is no answer. The call may have been made.
    async fn store(&self, call: Call) -> Result<Reply, Error>;
}

/// Opens connections to entries.
#[async_trait]
pub trait Connector: Debug + Send + Sync {
    /// Opens a new connection to an entry.
    ///
    /// # Errors
    ///
    /// If no connection can be made.
    async fn connect(&self, entry: &Recipient)
        -> Result<Arc<dyn Peer>, Error>;
}

/// Connections over the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network;

#[async_trait]
impl Connector for Network {
    async fn connect(
        &self,
        entry: &Recipient,
    ) -> Result<Arc<dyn Peer>, Error> {
        let client = link::connect(&entry.address).await?;
        let entry = entry.clone();
        Ok(Arc::new(Remote { entry, client }))
    }
}

struct Remote {
    entry: Recipient,
    client: Arc<WsClient>,
}

impl Remote {
    fn life(&self) -> Option<String> {
        Some(self.entry.life.clone())
    }
}

#[async_trait]
impl Peer for Remote {
    async fn sync(&self, report: Report) -> Result<Answer, Error> {
        let answer =
            CellClient::sync(&*self.client, report, self.life()).await;
        answer.map_err(|error| Error::new(&self.entry.address, error))
    }

    async fn store(&self, call: Call) -> Result<Reply, Error> {
        let reply = CellClient::store(&*self.client, call, self.life()).await;
        reply.map_err(|error| Error::new(&self.entry.address, error))
    }
}
