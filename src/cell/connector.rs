//! How entries are reached: the one that the claim names, and any other.
//!
//! Programs use [`Network`]; a simulation brings connections of its own.

use std::fmt::Debug;
use std::sync::Arc;

use jsonrpsee::core::async_trait;
use jsonrpsee::ws_client::WsClient;

use crate::cell::relay::call::Call;
use crate::cell::relay::call::Reply;
use crate::cell::rpc::Answer;
use crate::cell::rpc::CellClient;
use crate::graph::Report;
use crate::wire::link;
use crate::wire::link::Error;

/// An entry that is connected.
#[async_trait]
pub trait Peer: Send + Sync {
    /// Reports, and returns what the planner answers.
    ///
    /// # Errors
    ///
    /// If there is no answer: the report may have been heard.
    async fn sync(&self, report: Report) -> Result<Answer, Error>;

    /// Lets it make a call of the store.
    ///
    /// # Errors
    ///
    /// If there is no answer: the call may have been made.
    async fn store(&self, call: Call) -> Result<Reply, Error>;
}

/// Makes connections to entries.
#[async_trait]
pub trait Connector: Debug + Send + Sync {
    /// Returns a connection of its own to `address`.
    ///
    /// # Errors
    ///
    /// If it cannot be made.
    async fn connect(&self, address: &str) -> Result<Arc<dyn Peer>, Error>;
}

/// Connections over the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network;

#[async_trait]
impl Connector for Network {
    async fn connect(&self, address: &str) -> Result<Arc<dyn Peer>, Error> {
        let client = link::connect(address).await?;
        let address = address.to_owned();
        Ok(Arc::new(Remote { address, client }))
    }
}

struct Remote {
    address: String,
    client: Arc<WsClient>,
}

#[async_trait]
impl Peer for Remote {
    async fn sync(&self, report: Report) -> Result<Answer, Error> {
        let answer = CellClient::sync(&*self.client, report).await;
        answer.map_err(|error| Error::new(&self.address, error))
    }

    async fn store(&self, call: Call) -> Result<Reply, Error> {
        let reply = CellClient::store(&*self.client, call).await;
        reply.map_err(|error| Error::new(&self.address, error))
    }
}
