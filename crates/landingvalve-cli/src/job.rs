//! `landingvalve job`: submit, follow and cancel jobs.

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

/// What to do with jobs.
#[derive(Subcommand)]
pub enum Command {
    /// Submit a job.
    ///
    /// Example: landingvalve job submit replay --set battle=b17 --wait
    Submit {
        /// The template.
        template: String,
        /// A parameter, as NAME=VALUE; the value is JSON or a string.
        #[arg(long, value_name = "NAME=VALUE", value_parser = parameter)]
        set: Vec<(String, Value)>,
        /// Names the request: sent again, it is the same job.
        #[arg(long)]
        request_id: Option<String>,
        /// Wait for the end.
        #[arg(long)]
        wait: bool,
    },
    /// Show a job.
    Status {
        /// The job.
        job: String,
    },
    /// Print a job's whole answer.
    Answer {
        /// The job.
        job: String,
    },
    /// Take a job back.
    Cancel {
        /// The job.
        job: String,
    },
    /// Show the account's jobs.
    List,
    /// Show what has happened to a job.
    Logs {
        /// The job.
        job: String,
    },
}

fn parameter(text: &str) -> Result<(String, Value), String> {
    let (name, value) = text
        .split_once('=')
        .ok_or_else(|| format!("{text:?} is not NAME=VALUE"))?;
    let value = serde_json::from_str(value).unwrap_or_else(|_| value.into());
    Ok((name.to_owned(), value))
}

/// Does what the arguments ask.
///
/// # Errors
///
/// If the entry does not answer, or refuses.
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
            let answer = client.call(Method::POST, path, Some(&body)).await?;
            show(&answer.good()?, json)
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
                let at = landingvalve::util::unix_millis(line.time);
                outln!("{at} {}", line.text);
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
    client.call(method, &path, None).await?.good()
}

async fn list(client: &Client, json: bool) -> eyre::Result<ExitCode> {
    let answer = client.call(Method::GET, "/v1/jobs", None).await?;
    let jobs: Vec<Status> = answer.good()?;
    if json {
        outln!("{}", serde_json::to_string(&jobs)?);
        return Ok(ExitCode::SUCCESS);
    }
    for status in &jobs {
        outln!("{}", line(status));
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints a job; the exit code says whether it ended well.
fn show(status: &Status, json: bool) -> eyre::Result<ExitCode> {
    match json {
        true => outln!("{}", serde_json::to_string(status)?),
        false => outln!("{}", line(status)),
    }
    Ok(match &status.end {
        Some(end) if end.outcome != Outcome::Done => ExitCode::from(3),
        _ => ExitCode::SUCCESS,
    })
}

/// Returns a job in one line.
pub fn line(status: &Status) -> String {
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
