//! HTTP for operators: the configuration and the state of the system.

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
use crate::entry::answers;
use crate::entry::callers;
use crate::entry::edits;
use crate::entry::edits::Edit;
use crate::entry::edits::Value;
use crate::entry::router;
use crate::entry::Shared;
use crate::http;
use crate::store::Revision;
use crate::util::digest;
use crate::vms::Role;
use crate::wire::entry::CellView;
use crate::wire::entry::EntryClient;
use crate::wire::link;

/// The largest body of a request.
const MAX_BODY: usize = 900 * 1024;
/// How long the planner may take to describe its cell.
const CALL: Duration = Duration::from_secs(3);

/// An edit as an operator sends it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Asked {
    value: Json,
    #[serde(default)]
    revision: Revision,
    #[serde(default)]
    edit: Option<String>,
}

/// An entry and the configuration in force there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryView {
    /// Where it listens for others of ours.
    pub address: String,
    /// The configuration in force there; `None` if it does not answer.
    pub revision: Option<Revision>,
}

/// The state of the system, as one entry sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The entry that answers.
    pub entry: String,
    /// The configuration in force there.
    pub revision: Revision,
    /// All entries, and who lags.
    pub entries: Vec<EntryView>,
    /// The cell; `None` if its planner does not answer.
    pub cell: Option<CellView>,
}

/// Answers an operator's request.
pub async fn handle(
    shared: &Arc<Shared>,
    request: http::Request,
    parts: &[&str],
) -> http::Response {
    let known = matches!(parts, ["v1", "config" | "status", ..]);
    if !known {
        return answers::refuse(StatusCode::NOT_FOUND, "no such path");
    }
    let shown = callers::bearer(&request).unwrap_or_default();
    let shown = digest::of(shown.as_bytes());
    if !digest::equal(&shown, &shared.config.operator) {
        return answers::refuse(
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
            found(document.accounts.get(*id))
        }
        (Method::GET, ["v1", "config", "templates", id]) => {
            found(document.templates.get(*id))
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
        _ => answers::refuse(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn found(item: Option<&impl Serialize>) -> http::Response {
    match item {
        Some(item) => http::json(StatusCode::OK, item),
        None => answers::refuse(StatusCode::NOT_FOUND, "no such item"),
    }
}

async fn edit(
    shared: &Arc<Shared>,
    request: http::Request,
    kind: &str,
    id: &str,
    check: bool,
) -> http::Response {
    let gone = request.method() == Method::DELETE;
    let body = match http::read_body(request, MAX_BODY).await {
        Ok(body) => body,
        Err(error) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return answers::refuse(status, error.to_string());
        }
    };
    let asked: Asked = match serde_json::from_slice(&body) {
        Ok(asked) => asked,
        Err(error) => {
            let status = StatusCode::BAD_REQUEST;
            return answers::refuse(status, format!("body: {error}"));
        }
    };
    let edit = match parse(asked, kind, id, gone) {
        Ok(edit) => edit,
        Err(error) => {
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            return answers::refuse(status, error);
        }
    };
    if check {
        let document = shared.document.borrow().clone();
        let problems = edits::check(shared, &document, &edit);
        return match problems.is_empty() {
            true => http::json(StatusCode::OK, &json!({"problems": []})),
            false => answers::invalid(problems),
        };
    }
    make(shared, &edit).await
}

async fn make(shared: &Arc<Shared>, edit: &Edit) -> http::Response {
    match edits::make(shared, edit).await {
        Ok(revision) => {
            slog::info!(shared.config.log, "entry: accepted an edit";
                "edit" => &edit.edit, "item" => edit.name.key(),
                "revision" => revision);
            let answer = json!({"revision": revision, "edit": edit.edit});
            http::json(StatusCode::OK, &answer)
        }
        Err(edits::Error::Invalid(problems)) => answers::invalid(problems),
        Err(edits::Error::Conflict { current, revision }) => {
            let answer = json!({
                "error": format!("revision: {}, expected {revision}, \
                    since another edit came before", edit.on),
                "current": current, "revision": revision});
            http::json(StatusCode::CONFLICT, &answer)
        }
        Err(edits::Error::Store(error)) => {
            let text = format!(
                "{error}; make the edit again under the same name: {}",
                edit.edit
            );
            answers::refuse(StatusCode::SERVICE_UNAVAILABLE, text)
        }
    }
}

fn parse(
    asked: Asked,
    kind: &str,
    id: &str,
    gone: bool,
) -> Result<Edit, String> {
    let name = match kind {
        "accounts" => ItemId::Account(id.into()),
        "templates" => ItemId::Template(id.into()),
        _ => {
            return Err(format!(
                "kind: {kind:?}, expected accounts or templates"
            ))
        }
    };
    let wrong = |error: serde_json::Error| format!("value: {error}");
    let value = match &name {
        _ if gone => Value::Gone,
        ItemId::Account(_) => {
            let account: Account =
                serde_json::from_value(asked.value).map_err(wrong)?;
            Value::Account(account)
        }
        ItemId::Template(_) => {
            let template: Template =
                serde_json::from_value(asked.value).map_err(wrong)?;
            Value::Template(template)
        }
    };
    let edit = asked
        .edit
        .unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string());
    Ok(Edit {
        name,
        value,
        on: asked.revision,
        edit,
    })
}

async fn view(shared: &Arc<Shared>) -> View {
    let deadline = tokio::time::Instant::now() + CALL;
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
                let asked = link::within(&address, link::CALL, call);
                asked.await.ok().map(|document| document.revision)
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
