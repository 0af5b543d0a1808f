//! Serves the JSON-RPC calls of other entries.

use std::sync::Arc;

use jsonrpsee::core::async_trait;
use jsonrpsee::core::RpcResult;

use crate::account;
use crate::config::Document;
use crate::entry::router;
use crate::entry::Shared;
use crate::job;
use crate::planner::actor::Message;
use crate::wire::entry::Admit;
use crate::wire::entry::CellView;
use crate::wire::entry::EntryServer;
use crate::wire::entry::Query;
use crate::wire::entry::Refusal;
use crate::wire::entry::Status;

/// The JSON-RPC methods of an entry.
pub struct Methods {
    /// The state of the entry.
    pub shared: Arc<Shared>,
}

#[async_trait]
impl EntryServer for Methods {
    async fn admit(&self, admit: Admit) -> RpcResult<Result<Status, Refusal>> {
        let ask = |reply| Message::Admit(Box::new(admit), reply);
        Ok(router::ask_local(&self.shared, ask).await)
    }

    async fn status(
        &self,
        query: Query,
    ) -> RpcResult<Result<Status, Refusal>> {
        let ask = |reply| Message::Status(query, reply);
        Ok(router::ask_local(&self.shared, ask).await)
    }

    async fn cancel(
        &self,
        job: job::Id,
    ) -> RpcResult<Result<Status, Refusal>> {
        let ask = |reply| Message::Cancel(job, reply);
        Ok(router::ask_local(&self.shared, ask).await)
    }

    async fn list(
        &self,
        account: Option<account::Id>,
    ) -> RpcResult<Result<Vec<Status>, Refusal>> {
        let ask = |reply| Message::List(account, reply);
        Ok(router::query_local(&self.shared, ask).await)
    }

    async fn cell(&self) -> RpcResult<Result<CellView, Refusal>> {
        Ok(router::query_local(&self.shared, Message::Cell).await)
    }

    async fn configuration(&self) -> RpcResult<Document> {
        Ok(Document::clone(&self.shared.document.borrow()))
    }
}
