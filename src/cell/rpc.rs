//! The calls between agents and entries.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::Deserialize;
use serde::Serialize;

use crate::cell::relay::call::Call;
use crate::cell::relay::call::Reply;
use crate::graph::Orders;
use crate::graph::Report;
use crate::store::Revision;

/// A planner's answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The called process does not hold the claim.
    NotPlanner,
    /// The called process holds the claim.
    Orders {
        /// The planner's fencing token: the revision of its claim.
        token: Revision,
        /// Whether the worker's tasks may continue, counted from the time at
        /// which the report was sent.
        granted: bool,
        /// The orders to carry out.
        orders: Orders,
    },
}

/// The calls that an entry serves. `to` is the life of the process that the
/// call is meant for; callers of earlier versions do not name it.
#[rpc(client, server, namespace = "cell")]
pub trait Cell {
    /// Applies a report, and answers when there are orders, or after a short
    /// wait.
    #[method(name = "sync")]
    async fn sync(
        &self,
        report: Report,
        to: Option<String>,
    ) -> RpcResult<Answer>;

    /// Makes a store call for a process whose direct path to the store is
    /// unusable.
    #[method(name = "store")]
    async fn store(&self, call: Call, to: Option<String>) -> RpcResult<Reply>;
}
