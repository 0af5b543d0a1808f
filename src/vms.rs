//! A client of the platform's list of live and leaving VMs.
//!
//! The list lags behind the actual state of the VMs.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::http;
use crate::site::HallId;
use crate::site::RackId;
use crate::site::WorkerId;

/// The timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry VM.
    Entry,
    /// An endpoint VM.
    Endpoint,
}

/// Whether a VM is about to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// The VM is live.
    Live,
    /// The VM is about to leave.
    Leaving,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the VM. For an endpoint VM this is the name of its worker.
    pub name: WorkerId,
    /// The role of the VM.
    pub role: Role,
    /// Whether the VM is live or about to leave.
    pub state: Status,
    /// The hall of the VM.
    pub hall: HallId,
    /// The rack of the VM.
    pub rack: RackId,
    /// The address of the process of this system on the VM, for its peers.
    pub address: String,
}

/// A client of the list of VMs.
#[derive(Clone, Debug)]
pub struct Client {
    http: http::Client,
    url: String,
}

impl Client {
    /// Returns a client of the list of the platform at `url`.
    pub fn new(http: http::Client, url: impl Into<String>) -> Client {
        Client {
            http,
            url: url.into(),
        }
    }

    /// Returns the current list.
    ///
    /// # Errors
    ///
    /// If the platform does not answer with a valid list.
    pub async fn list(&self) -> Result<Vec<Vm>, http::Error> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        self.http.get(&format!("{}/vms", self.url), deadline).await
    }
}
