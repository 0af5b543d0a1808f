//! HTTP for operators: reads and edits the configuration, and shows the state
//! of the system.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use serde_json::Value as Json;

use crate::config::Account;
use crate::config::ItemId;
use crate::config::Template;
use crate::entry::callers;
use crate::entry::edits;
use crate::entry::edits::Edit;
use crate::entry::edits::Value;
use crate::entry::responses;
use crate::entry::router;
use crate::entry::Shared;
use crate::http;
use crate::store::Revision;
use crate::util::digest;
use crate::vms::Role;
use crate::wire::entry::CellView;
use crate::wire::entry::EntryClient;
use crate::wire::link;

/// The maximum size of a request's body in bytes.
const MAX_BODY_BYTES: usize = 900 * 1024;
/// The time limit for the planner's description of its cell.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The body of an operator's request to edit an item.
#[derive(Debug, Deserialize)]
#[serde(rename = "Asked", deny_unknown_fields)]
struct EditRequest {
    value: Json,
    #[serde(default)]
    revision: Revision,
    #[serde(default)]
    edit: Option<String>,
}

/// An entry and the configuration in force there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryView {
    /// The address on which the entry takes calls of other entries.
    pub address: String,
    /// The revision of the configuration in force at the entry; `None` if it
    /// does not answer.
    pub revision: Option<Revision>,
}

/// The state of the system, as one entry sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The name of the entry that answers.
    pub entry: String,
    /// The revision of the configuration in force at that entry.
    pub revision: Revision,
    /// All entries and their revisions.
    pub entries: Vec<EntryView>,
    /// The cell; `None` if its planner does not answer.
    pub cell: Option<CellView>,
}

/// Handles an operator's request.
pub async fn handle(
    shared: &Arc<Shared>,
    request: http::Request,
    parts: &[&str],
) -> http::Response {
    let known = matches!(parts, ["v1", "config" | "status", ..]);
    if !known {
        return responses::failure(StatusCode::NOT_FOUND, "no such path");
    }
    let token = callers::bearer_token(&request).unwrap_or_default();
    let token = digest::of(token.as_bytes());
    if !digest::equal(&token, &shared.config.operator_token_digest) {
        return responses::failure(
            StatusCode::UNAUTHORIZED,
            "authorization: the operators' token is expected",
        );
    }
    let document = shared.document.borrow().clone();
    match (request.method().clone(), parts) {
        (Method::GET, ["v1", "status"]) => {
            http::json(StatusCode::OK, &view(shared).await)
        }
        (Method::GET, ["v1", "config"]) => {
            http::json(StatusCode::OK, &*document)
        }
        (Method::GET, ["v1", "config", "accounts", id]) => {
            item_response(document.accounts.get(*id))
        }
        (Method::GET, ["v1", "config", "templates", id]) => {
            item_response(document.templates.get(*id))
        }
        (Method::PUT, ["v1", "config", kind, id]) => {
            edit(shared, request, kind, id, false).await
        }
        (Method::POST, ["v1", "config", "check", kind, id]) => {
            edit(shared, request, kind, id, true).await
        }
        (Method::DELETE, ["v1", "config", kind, id]) => {
            edit(shared, request, kind, id, false).await
        }
        _ => responses::failure(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn item_response(item: Option<&impl Serialize>) -> http::Response {
    match item {
        Some(item) => http::json(StatusCode::OK, item),
        None => responses::failure(StatusCode::NOT_FOUND, "no such item"),
    }
}

async fn edit(
    shared: &Arc<Shared>,
    request: http::Request,
    kind: &str,
    id: &str,
    check: bool,
) -> http::Response {
    let is_deleted = request.method() == Method::DELETE;
    let body = match http::read_body(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return responses::body_failure(error),
    };
    let request_body: EditRequest = match serde_json::from_slice(&body) {
        Ok(request_body) => request_body,
        Err(error) => {
            let status = StatusCode::BAD_REQUEST;
            return responses::failure(status, format!("body: {error}"));
        }
    };
    let edit = match parse(request_body, kind, id, is_deleted) {
        Ok(edit) => edit,
        Err(error) => {
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            return responses::failure(status, error);
        }
    };
    if check {
        let document = shared.document.borrow().clone();
        let problems = edits::check(shared, &document, &edit);
        return match problems.is_empty() {
            true => http::json(StatusCode::OK, &json!({"problems": []})),
            false => responses::invalid_fields(problems),
        };
    }
    apply_edit(shared, &edit).await
}

async fn apply_edit(shared: &Arc<Shared>, edit: &Edit) -> http::Response {
    match edits::apply(shared, edit).await {
        Ok(revision) => {
            slog::info!(shared.config.log, "entry: accepted an edit";
                "edit" => &edit.id, "item" => edit.name.key(),
                "revision" => revision);
            let answer = json!({"revision": revision, "edit": edit.id});
            http::json(StatusCode::OK, &answer)
        }
        Err(edits::Error::Invalid(problems)) => {
            responses::invalid_fields(problems)
        }
        Err(edits::Error::Conflict { current, revision }) => {
            let answer = json!({
                "error": format!("revision: {}, expected {revision}, \
                    since another edit came before", edit.base_revision),
                "current": current, "revision": revision});
            http::json(StatusCode::CONFLICT, &answer)
        }
        Err(edits::Error::Store(error)) => {
            let text = format!(
                "{error}; make the edit again under the same name: {}",
                edit.id
            );
            responses::failure(StatusCode::SERVICE_UNAVAILABLE, text)
        }
    }
}

fn parse(
    request_body: EditRequest,
    kind: &str,
    item: &str,
    is_deleted: bool,
) -> Result<Edit, String> {
    let name = match kind {
        "accounts" => ItemId::Account(item.into()),
        "templates" => ItemId::Template(item.into()),
        _ => {
            return Err(format!(
                "kind: {kind:?}, expected accounts or templates"
            ))
        }
    };
    let invalid = |error: serde_json::Error| format!("value: {error}");
    let value = match &name {
        _ if is_deleted => Value::Deleted,
        ItemId::Account(_) => {
            let account: Account =
                serde_json::from_value(request_body.value).map_err(invalid)?;
            Value::Account(account)
        }
        ItemId::Template(_) => {
            let template: Template =
                serde_json::from_value(request_body.value).map_err(invalid)?;
            Value::Template(template)
        }
    };
    let id = request_body
        .edit
        .unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string());
    Ok(Edit {
        name,
        value,
        base_revision: request_body.revision,
        id,
    })
}

async fn view(shared: &Arc<Shared>) -> View {
    let deadline = tokio::time::Instant::now() + CALL_TIMEOUT;
    let cell = router::cell(shared, deadline);
    let addresses: Vec<String> = shared
        .vms
        .borrow()
        .iter()
        .filter(|vm| vm.role == Role::Entry)
        .map(|vm| vm.address.clone())
        .collect();
    let entries = join_all(addresses.into_iter().map(|address| async {
        let revision = match shared.pool.get(&address).await {
            Ok(client) => {
                let call = client.configuration();
                let answer =
                    link::with_timeout(&address, link::CALL_TIMEOUT, call);
                answer.await.ok().map(|document| document.revision)
            }
            Err(_) => None,
        };
        EntryView { address, revision }
    }));
    let (cell, entries) = futures_util::future::join(cell, entries).await;
    View {
        entry: shared.config.name.clone(),
        revision: shared.document.borrow().revision,
        entries,
        cell: cell.ok(),
    }
}
