//! `landingvalve job`: submits, shows and cancels jobs.

use std::process::ExitCode;

use clap::Subcommand;
use hyper::Method;
use landingvalve::job::Outcome;
use landingvalve::wire::entry::Stage;
use landingvalve::wire::entry::Status;
use serde_json::json;
use serde_json::Map;
use serde_json::Value;

use crate::client::Client;
use crate::out::outln;

/// The subcommands of `landingvalve job`.
#[derive(Subcommand)]
pub enum Command {
    /// Submit a job.
    ///
    /// Example: landingvalve job submit replay --set battle=b17 --wait
    Submit {
        /// The template of the job.
        template: String,
        /// A parameter as NAME=VALUE; a value that is not JSON is a string.
        #[arg(long, value_name = "NAME=VALUE", value_parser = parse_parameter)]
        set: Vec<(String, Value)>,
        /// The id of the request; a request repeated under the same id
        /// submits one job.
        #[arg(long)]
        request_id: Option<String>,
        /// Wait until the job ends.
        #[arg(long)]
        wait: bool,
    },
    /// Show the status of a job.
    Status {
        /// The job's ID.
        job: String,
    },
    /// Print the whole answer of a job.
    Answer {
        /// The job's ID.
        job: String,
    },
    /// Cancel a job.
    Cancel {
        /// The job's ID.
        job: String,
    },
    /// Show the account's jobs.
    List,
    /// Show the log of a job.
    Logs {
        /// The job's ID.
        job: String,
    },
}

fn parse_parameter(text: &str) -> Result<(String, Value), String> {
    let (name, value) = text
        .split_once('=')
        .ok_or_else(|| format!("{text:?} is not NAME=VALUE"))?;
    let value = serde_json::from_str(value).unwrap_or_else(|_| value.into());
    Ok((name.to_owned(), value))
}

/// Runs a subcommand.
///
/// # Errors
///
/// If the entry does not respond, or rejects the request.
pub async fn run(
    client: &Client,
    command: Command,
    json: bool,
) -> eyre::Result<ExitCode> {
    match command {
        Command::Submit {
            template,
            set,
            request_id,
            wait,
        } => {
            let parameters: Map<String, Value> = set.into_iter().collect();
            let body = json!({"template": template, "wait": wait,
                "request_id": request_id, "parameters": parameters});
            let path = "/v1/jobs";
            let response =
                client.call(Method::POST, path, Some(&body)).await?;
            show(&response.parse()?, json)
        }
        Command::Status { job } => {
            show(&status(client, Method::GET, &job).await?, json)
        }
        Command::Answer { job } => {
            let path = format!("/v1/jobs/{job}/answer");
            let reply = client.fetch(&path).await?;
            let text = String::from_utf8_lossy(&reply.body);
            match reply.status.is_success() {
                true => outln!("{text}"),
                false => eyre::bail!("{}: {text}", reply.status.as_u16()),
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Cancel { job } => {
            let status = status(client, Method::DELETE, &job).await?;
            show(&status, json)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::List => list(client, json).await,
        Command::Logs { job } => {
            let status = status(client, Method::GET, &job).await?;
            for line in status.log {
                let time_ms = landingvalve::util::unix_millis(line.time);
                outln!("{time_ms} {}", line.text);
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

async fn status(
    client: &Client,
    method: Method,
    job: &str,
) -> eyre::Result<Status> {
    let path = format!("/v1/jobs/{job}");
    client.call(method, &path, None).await?.parse()
}

async fn list(client: &Client, json: bool) -> eyre::Result<ExitCode> {
    let response = client.call(Method::GET, "/v1/jobs", None).await?;
    let jobs: Vec<Status> = response.parse()?;
    if json {
        outln!("{}", serde_json::to_string(&jobs)?);
        return Ok(ExitCode::SUCCESS);
    }
    for status in &jobs {
        outln!("{}", summary(status));
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints a job. Returns exit code 3 if the job ended without success.
fn show(status: &Status, json: bool) -> eyre::Result<ExitCode> {
    match json {
        true => outln!("{}", serde_json::to_string(status)?),
        false => outln!("{}", summary(status)),
    }
    Ok(match &status.end {
        Some(end) if end.outcome != Outcome::Done => ExitCode::from(3),
        _ => ExitCode::SUCCESS,
    })
}

/// Returns a job's id, stage or outcome, and workers in one line.
pub fn summary(status: &Status) -> String {
    let workers: Vec<&str> = status.workers.iter().map(|w| &**w).collect();
    let stage = match (&status.end, status.stage) {
        (Some(end), _) if end.reason.is_empty() => end.outcome.to_string(),
        (Some(end), _) => format!("{}: {}", end.outcome, end.reason),
        (None, Stage::Queued) => "queued".to_owned(),
        (None, Stage::Starting) => "starting".to_owned(),
        (None, Stage::Running) => "running".to_owned(),
        (None, Stage::Stopping) => "stopping".to_owned(),
        (None, Stage::Ended) => "ended".to_owned(),
    };
    format!("{}  {stage}  {}", status.job, workers.join(" "))
        .trim_end()
        .to_owned()
}
