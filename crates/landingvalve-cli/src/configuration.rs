//! `landingvalve config`: shows and edits templates and client accounts.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Subcommand;
use clap::ValueEnum;
use eyre::WrapErr;
use hyper::Method;
use hyper::StatusCode;
use serde_json::json;
use serde_json::Value;

use crate::client::Client;
use crate::client::Response;
use crate::out::outln;

/// How often an edit is sent, always under the same id, while the store is
/// unavailable.
const MAX_EDIT_ATTEMPTS: usize = 4;

/// A kind of item.
#[derive(Clone, Copy, ValueEnum)]
pub enum Kind {
    /// Client accounts.
    Accounts,
    /// Templates of jobs.
    Templates,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Kind::Accounts => "accounts",
            Kind::Templates => "templates",
        }
    }
}

/// The subcommands of `landingvalve config`.
#[derive(Subcommand)]
pub enum Command {
    /// Show the whole configuration, or one item.
    Show {
        /// The kind of the item.
        kind: Option<Kind>,
        /// The name of the item.
        name: Option<String>,
    },
    /// Set fields of an item, as FIELD=JSON.
    ///
    /// Example: landingvalve config set accounts bots borrow=48
    Set {
        /// The kind of the item.
        kind: Kind,
        /// The name of the item.
        name: String,
        /// The fields to set, each as FIELD=JSON.
        #[arg(required = true, value_parser = parse_field)]
        fields: Vec<(String, Value)>,
        /// The id of the edit; an edit repeated under the same id takes effect
        /// once.
        #[arg(long)]
        edit: Option<String>,
    },
    /// Replace a whole item by the JSON in a file.
    Edit {
        /// The kind of the item.
        kind: Kind,
        /// The name of the item.
        name: String,
        /// The file with the item.
        file: PathBuf,
        /// The revision of the item that the edit is based on, 0 for a new
        /// item; by default the current revision.
        #[arg(long)]
        revision: Option<i64>,
        /// The id of the edit; an edit repeated under the same id takes effect
        /// once.
        #[arg(long)]
        edit: Option<String>,
    },
    /// Check an item in a JSON file without changing the configuration.
    Check {
        /// The kind of the item.
        kind: Kind,
        /// The name of the item.
        name: String,
        /// The file with the item.
        file: PathBuf,
    },
    /// Show the last edits of an item.
    History {
        /// The kind of the item.
        kind: Kind,
        /// The name of the item.
        name: String,
    },
}

fn parse_field(text: &str) -> Result<(String, Value), String> {
    let (name, value) = text
        .split_once('=')
        .ok_or_else(|| format!("{text:?} is not FIELD=JSON"))?;
    let value = serde_json::from_str(value)
        .map_err(|error| format!("{name}: {error}"))?;
    Ok((name.to_owned(), value))
}

/// Runs a subcommand.
///
/// # Errors
///
/// If the entry does not respond or rejects the request, or a file cannot be
/// read.
pub async fn run(
    client: &Client,
    command: Command,
    json: bool,
) -> eyre::Result<ExitCode> {
    match command {
        Command::Show { kind, name } => {
            let path = match (kind, name) {
                (Some(kind), Some(name)) => item_path(kind, &name),
                _ => "/v1/config".to_owned(),
            };
            let response = client.call(Method::GET, &path, None).await?;
            print(&response.parse()?, json)
        }
        Command::Set {
            kind,
            name,
            fields,
            edit,
        } => {
            let current = current(client, kind, &name).await?;
            let mut value = current["item"]["value"].clone();
            for (field, field_value) in fields {
                value[field] = field_value;
            }
            let base = current["revision"].as_i64().unwrap_or(0);
            put(client, kind, &name, value, base, edit, json).await
        }
        Command::Edit {
            kind,
            name,
            file,
            revision,
            edit,
        } => {
            let value = read_json(&file)?;
            let base = match revision {
                Some(revision) => revision,
                None => {
                    let current = current(client, kind, &name).await?;
                    current["revision"].as_i64().unwrap_or(0)
                }
            };
            put(client, kind, &name, value, base, edit, json).await
        }
        Command::Check { kind, name, file } => {
            let body = json!({"value": read_json(&file)?});
            let path = format!("/v1/config/check/{}/{name}", kind.name());
            let response =
                client.call(Method::POST, &path, Some(&body)).await?;
            print(&response.parse()?, json)
        }
        Command::History { kind, name } => {
            let current = current(client, kind, &name).await?;
            print(&current["item"]["edits"], json)
        }
    }
}

fn item_path(kind: Kind, name: &str) -> String {
    format!("/v1/config/{}/{name}", kind.name())
}

fn read_json(file: &PathBuf) -> eyre::Result<Value> {
    let name = || file.display().to_string();
    let text = std::fs::read_to_string(file).wrap_err_with(name)?;
    serde_json::from_str(&text).wrap_err_with(name)
}

/// Returns an item and its revision: an empty item with revision 0 if there
/// is none of that name.
async fn current(
    client: &Client,
    kind: Kind,
    name: &str,
) -> eyre::Result<Value> {
    let path = item_path(kind, name);
    let response = client.call(Method::GET, &path, None).await?;
    match response.status {
        StatusCode::NOT_FOUND => {
            Ok(json!({"revision": 0, "item": {"value": {}}}))
        }
        _ => response.parse(),
    }
}

/// Replaces an item that has the revision `base`. While the entry replies
/// that the service is unavailable, the edit is sent again under the same id,
/// so that an edit whose reply was lost takes effect once.
async fn put(
    client: &Client,
    kind: Kind,
    name: &str,
    value: Value,
    base: i64,
    edit: Option<String>,
    json: bool,
) -> eyre::Result<ExitCode> {
    let edit = edit.unwrap_or_else(|| {
        let now = std::time::SystemTime::now();
        let nanos = now.duration_since(std::time::SystemTime::UNIX_EPOCH);
        format!("cli-{:x}", nanos.unwrap_or_default().as_nanos())
    });
    let body = json!({"value": value, "revision": base, "edit": edit});
    let path = item_path(kind, name);
    let mut response: Option<Response> = None;
    for _ in 0..MAX_EDIT_ATTEMPTS {
        let latest = client.call(Method::PUT, &path, Some(&body)).await?;
        let unavailable = latest.status == StatusCode::SERVICE_UNAVAILABLE;
        response = Some(latest);
        if !unavailable {
            break;
        }
    }
    match response {
        Some(response) => print(&response.parse()?, json),
        None => eyre::bail!("the edit was not sent"),
    }
}

fn print(value: &Value, json: bool) -> eyre::Result<ExitCode> {
    match json {
        true => outln!("{value}"),
        false => outln!("{}", serde_json::to_string_pretty(value)?),
    }
    Ok(ExitCode::SUCCESS)
}
