//! The platform's list of live and leaving VMs, which lags.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::http;
use crate::site::HallId;
use crate::site::RackId;
use crate::site::WorkerId;

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry VM.
    Entry,
    /// An endpoint VM.
    Endpoint,
}

/// Whether a VM is to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// It is live.
    Live,
    /// It is leaving.
    Leaving,
}

/// A VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name; an endpoint's is its worker's.
    pub name: WorkerId,
    /// What it is for.
    pub role: Role,
    /// Whether it is to stay.
    pub state: Status,
    /// Its hall.
    pub hall: HallId,
    /// Its rack.
    pub rack: RackId,
    /// Where our process on it listens for others of ours.
    pub address: String,
}

/// A client of the list.
#[derive(Clone, Debug)]
pub struct Client {
    http: http::Client,
    url: String,
}

impl Client {
    /// Returns a client of the list at `url`.
    pub fn new(http: http::Client, url: impl Into<String>) -> Client {
        Client {
            http,
            url: url.into(),
        }
    }

    /// Returns the list.
    ///
    /// # Errors
    ///
    /// If the platform does not answer.
    pub async fn list(&self) -> Result<Vec<Vm>, http::Error> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        self.http.get(&format!("{}/vms", self.url), deadline).await
    }
}
