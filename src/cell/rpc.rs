//! What agents and entries say to each other.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::Deserialize;
use serde::Serialize;

use crate::cell::relay::call::Call;
use crate::cell::relay::call::Reply;
use crate::graph::Orders;
use crate::graph::Report;
use crate::store::Revision;

/// What a planner answers to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// This process does not hold the claim.
    NotPlanner,
    /// It does.
    Orders {
        /// Its fencing token: the revision of its claim.
        token: Revision,
        /// Whether the worker's tasks may go on, counted from when the
        /// report was sent.
        granted: bool,
        /// What is to be done.
        orders: Orders,
    },
}

/// The calls that an entry takes.
#[rpc(client, server, namespace = "cell")]
pub trait Cell {
    /// Takes a report in, and answers once there are orders, or soon.
    #[method(name = "sync")]
    async fn sync(&self, report: Report) -> RpcResult<Answer>;

    /// Makes a call of the store for a process that has no direct way to it.
    #[method(name = "store")]
    async fn store(&self, call: Call) -> RpcResult<Reply>;
}
