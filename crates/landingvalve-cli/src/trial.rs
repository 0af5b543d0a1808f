//! `landingvalve try`: runs a whole system in one process and shows jobs on
//! it.

use std::process::ExitCode;
use std::time::Duration;
use std::time::SystemTime;

use eyre::ContextCompat;
use hyper::Method;
use landingvalve::entry::operators::View;
use landingvalve::job::Outcome;
use landingvalve::telemetry::FinishedSpan;
use landingvalve::telemetry::MemoryExporter;
use landingvalve::telemetry::Telemetry;
use landingvalve::util::digest;
use landingvalve::wire::entry::Status;
use landingvalve_standin::site;
use landingvalve_standin::Site;
use serde_json::json;
use serde_json::Value;
use tokio::time::Instant;

use crate::client::Client;
use crate::job;
use crate::picture;
use crate::status;

/// The timeout of each phase: the configuration, the readiness of the site,
/// and the jobs.
const PHASE_TIMEOUT: Duration = Duration::from_secs(8);
/// The timeout of the shutdown at the end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two polls of the system.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// The arguments of `landingvalve try`.
#[derive(clap::Args)]
pub struct Args {
    /// Exit when the jobs have ended, instead of serving until Ctrl-C.
    #[arg(long)]
    once: bool,
    /// The number of entries, 1 to 9.
    #[arg(long, default_value_t = 3)]
    entries: usize,
    /// Print the spans of one request's trace.
    #[arg(long)]
    trace: bool,
    /// Write the log of all processes to standard error.
    #[arg(long)]
    verbose: bool,
}

/// Runs a system, submits jobs and prints their course. Returns a failure code
/// if a job does not succeed.
///
/// # Errors
///
/// If the system does not start in time, or an entry does not respond.
pub async fn run(args: Args) -> eyre::Result<ExitCode> {
    let spans = MemoryExporter::default();
    let telemetry = Telemetry::start("try", None, Some(spans.clone()))?;
    let mut config = site::Config::with_entries(args.entries.clamp(1, 9));
    if args.verbose {
        let format = landingvalve::log::Format::Text;
        config.log = landingvalve::log::root(format, slog::Level::Info, "try");
    }
    let site = Site::start(config).await?;
    let operator = Client::new(&site.url("e1"), site::OPERATOR_TOKEN);
    configure(&operator).await?;
    let planner = wait_until_ready(&operator).await?;
    println!(
        "A store, a list of VMs, {} entries and 11 agents are up; \
         the planner is at {planner}.",
        args.entries
    );
    let succeeded = run_jobs(&site, &operator).await?;
    let code = match succeeded {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    };
    if args.trace {
        print_trace(&spans);
    }
    if !args.once {
        serve(&site, &operator).await?;
    }
    site.stop(Instant::now() + SHUTDOWN_TIMEOUT).await;
    tokio::task::spawn_blocking(|| telemetry.stop()).await?;
    Ok(code)
}

/// Returns the client accounts of the trial; the token of an account is its
/// name followed by `-token`.
fn accounts() -> Vec<(&'static str, Value)> {
    let shape = |accelerators: u32, within: &str| json!({"accelerators": accelerators, "within": within});
    let token = |name: &str| digest::of(format!("{name}-token").as_bytes());
    vec![
        (
            "players",
            json!({"guarantee": [shape(8, "worker"), shape(4, "worker")],
                "borrow": 32, "tokens": [token("players")]}),
        ),
        (
            "bots",
            json!({"guarantee": [shape(16, "rack"), shape(8, "worker")],
                "borrow": 48, "tokens": [token("bots")]}),
        ),
        (
            "designers",
            json!({"guarantee": [shape(4, "worker"), shape(4, "worker")],
                "borrow": 16, "tokens": [token("designers")]}),
        ),
    ]
}

/// Returns the templates of the trial.
fn templates() -> Vec<(&'static str, Value)> {
    let parameters = json!({"run_ms": {"kind": "integer"},
        "output": {"kind": "string"}, "fail": {"kind": "boolean"}});
    let template = |accelerators: u32, within: &str, options: Value| {
        let mut value = json!({"run_ms": 1000, "run": "task",
            "shape": {"accelerators": accelerators, "within": within},
            "parameters": parameters});
        if let (Some(value), Some(options)) =
            (value.as_object_mut(), options.as_object())
        {
            value.extend(options.clone());
        }
        value
    };
    vec![
        (
            "replay",
            template(1, "worker", json!({"repeatable": true, "urgent": true})),
        ),
        (
            "retrain",
            template(
                16,
                "rack",
                json!({"repeatable": true, "checkpoint": true}),
            ),
        ),
        (
            "balance-report",
            template(4, "worker", json!({"repeatable": false})),
        ),
    ]
}

/// Writes the accounts and the templates, retrying until an entry accepts
/// them.
async fn configure(operator: &Client) -> eyre::Result<()> {
    let deadline = Instant::now() + PHASE_TIMEOUT;
    let accounts = accounts().into_iter().map(|item| ("accounts", item));
    let templates = templates().into_iter().map(|item| ("templates", item));
    for (kind, (name, value)) in accounts.chain(templates) {
        let path = format!("/v1/config/{kind}/{name}");
        let edit = format!("try-{name}");
        let body = json!({"value": value, "revision": 0, "edit": edit});
        loop {
            let reply = operator.call(Method::PUT, &path, Some(&body)).await?;
            if reply.status.is_success() {
                break;
            }
            eyre::ensure!(Instant::now() < deadline, "{}", reply.error());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Waits until the planner has all workers up and all guarantees placed, and
/// all entries have the same configuration; returns the planner's address.
async fn wait_until_ready(operator: &Client) -> eyre::Result<String> {
    let deadline = Instant::now() + PHASE_TIMEOUT;
    loop {
        let view = view(operator).await?;
        let in_sync = view
            .entries
            .iter()
            .all(|entry| entry.revision == Some(view.revision));
        if let Some(cell) = &view.cell {
            let up = cell.workers.iter().filter(|w| w.presence == "up");
            let placed = cell.guarantees.iter().all(|g| g.placed);
            if in_sync && up.count() == 11 && placed && view.revision > 0 {
                return Ok(cell.planner_address.clone());
            }
        }
        eyre::ensure!(Instant::now() < deadline, "the site is not ready");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn view(operator: &Client) -> eyre::Result<View> {
    let response = operator.call(Method::GET, "/v1/status", None).await?;
    response.parse()
}

/// Submits a replay, a gang and a report through different entries, and
/// prints their course. Returns whether all succeeded.
async fn run_jobs(site: &Site, operator: &Client) -> eyre::Result<bool> {
    let submissions = [
        (
            "players",
            "replay",
            json!({"run_ms": 300, "output": "battle 17"}),
        ),
        (
            "bots",
            "retrain",
            json!({"run_ms": 1500, "output": "weights"}),
        ),
        (
            "designers",
            "balance-report",
            json!({"run_ms": 800, "output": "balance of the day"}),
        ),
    ];
    let names: Vec<String> = site.entries.keys().cloned().collect();
    let mut jobs = Vec::new();
    for (index, (account, template, parameters)) in
        submissions.iter().enumerate()
    {
        let entry = site.url(&names[index % names.len()]);
        let client = Client::new(&entry, &format!("{account}-token"));
        let body = json!({"template": template, "parameters": parameters,
            "request_id": format!("try-{template}")});
        let path = "/v1/jobs";
        let response = client.call(Method::POST, path, Some(&body)).await?;
        let status: Status = response.parse()?;
        println!("{entry}  {}", job::summary(&status));
        jobs.push((client, status));
    }
    follow(operator, jobs).await
}

/// Prints each change of the jobs' stages until they end, and draws the site
/// once while the gang runs. Returns whether all jobs succeeded.
async fn follow(
    operator: &Client,
    mut jobs: Vec<(Client, Status)>,
) -> eyre::Result<bool> {
    let deadline = Instant::now() + PHASE_TIMEOUT;
    let mut drawn = false;
    while Instant::now() < deadline {
        let mut unfinished = false;
        for (client, last_status) in &mut jobs {
            let path = format!("/v1/jobs/{}", last_status.job);
            let response = client.call(Method::GET, &path, None).await?;
            let status: Status = response.parse()?;
            if status.stage != last_status.stage {
                println!("  {}", job::summary(&status));
            }
            unfinished |= status.end.is_none();
            *last_status = status;
        }
        let retrain = jobs.iter().find(|(_, s)| &*s.template == "retrain");
        let is_running = retrain.is_some_and(|(_, s)| !s.workers.is_empty());
        if is_running && !drawn {
            drawn = true;
            let view = view(operator).await?;
            let cell = view.cell.wrap_err("no planner responds")?;
            print!("{}", picture::draw(&cell, picture::has_color()));
        }
        if !unfinished {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let mut succeeded = true;
    for (client, status) in &jobs {
        succeeded &= print_answer(client, status).await?;
    }
    Ok(succeeded)
}

/// Prints a job's answer; returns whether the job succeeded and the answer
/// matches its digest.
async fn print_answer(client: &Client, status: &Status) -> eyre::Result<bool> {
    let Some(end) = &status.end else {
        println!("{}: not ended yet", status.job);
        return Ok(false);
    };
    let path = format!("/v1/jobs/{}/answer", status.job);
    let reply = client.fetch(&path).await?;
    let text = String::from_utf8_lossy(&reply.body);
    let intact = digest::of(&reply.body) == end.digest;
    println!("{}: {}, answer {text:?}", status.job, end.outcome);
    Ok(intact && end.outcome == Outcome::Done)
}

/// Prints the spans of the gang's request as a tree.
fn print_trace(spans: &MemoryExporter) {
    let all = spans.spans();
    let is_gang = |span: &&FinishedSpan| {
        let names_gang =
            |(_, value): &(String, String)| value.contains("try-retrain");
        span.name == "call" && span.attributes.iter().any(names_gang)
    };
    let Some(root) = all.iter().find(is_gang) else {
        return;
    };
    println!("spans of trace {}:", root.trace);
    let mut trace = spans.trace(&root.trace);
    trace.sort_by_key(|span| span.began);
    print_children(&trace, &root.parent, root.began, 1);
}

/// Prints the spans below a parent, indented by `depth`; times are relative to
/// `start`.
fn print_children(
    trace: &[FinishedSpan],
    parent: &str,
    start: SystemTime,
    depth: usize,
) {
    for span in trace.iter().filter(|span| span.parent == parent) {
        let offset = span.began.duration_since(start).unwrap_or_default();
        let duration = span.ended.duration_since(span.began);
        let duration = duration.unwrap_or_default();
        let attributes: Vec<String> = span
            .attributes
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        println!(
            "{:indent$}{} at {:.1} ms, took {:.1} ms  {}",
            "",
            span.name,
            offset.as_secs_f64() * 1e3,
            duration.as_secs_f64() * 1e3,
            attributes.join(" "),
            indent = 2 * depth,
        );
        print_children(trace, &span.span, start, depth + 1);
    }
}

/// Prints example commands and serves until Ctrl-C.
async fn serve(site: &Site, operator: &Client) -> eyre::Result<()> {
    if let Some(cell) = view(operator).await?.cell {
        status::show(&cell);
    }
    let url = site.url("e1");
    println!("\nServing until Ctrl-C. Try:\n");
    println!("  export LANDINGVALVE_ENTRY={url}");
    println!("  export LANDINGVALVE_TOKEN=players-token");
    println!("  landingvalve job submit replay --set run_ms=500 --wait");
    println!("  landingvalve --token {} status", site::OPERATOR_TOKEN);
    println!(
        "  curl -H 'authorization: Bearer players-token' \\\n    \
         -d '{{\"template\": \"replay\", \"wait\": true}}' {url}/v1/jobs"
    );
    tokio::signal::ctrl_c().await?;
    Ok(())
}
