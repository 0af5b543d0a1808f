//! `landingvalve try`: a whole system in one process, at work.

use std::process::ExitCode;
use std::time::Duration;
use std::time::SystemTime;

use eyre::ContextCompat;
use hyper::Method;
use landingvalve::entry::operators::View;
use landingvalve::job::Outcome;
use landingvalve::telemetry::Collector;
use landingvalve::telemetry::Finished;
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

/// How long the whole site may take to come up.
const UP: Duration = Duration::from_secs(8);
/// How long a planned stop may take.
const STOP: Duration = Duration::from_secs(5);
/// How often something is looked at.
const LOOK: Duration = Duration::from_millis(60);

/// How to try a system out.
#[derive(clap::Args)]
pub struct Args {
    /// End once all answers are in, instead of serving until Ctrl-C.
    #[arg(long)]
    once: bool,
    /// How many entries.
    #[arg(long, default_value_t = 3)]
    entries: usize,
    /// Print the spans of one request, from its caller to its answer.
    #[arg(long)]
    trace: bool,
    /// Write the log of all processes to standard error.
    #[arg(long)]
    verbose: bool,
}

/// Runs a system and shows it at work.
///
/// # Errors
///
/// If it does not come up.
pub async fn run(args: Args) -> eyre::Result<ExitCode> {
    let spans = Collector::default();
    let telemetry = Telemetry::start("try", None, Some(spans.clone()))?;
    let mut config = site::Config::with_entries(args.entries.clamp(1, 9));
    if args.verbose {
        let format = landingvalve::log::Format::Text;
        config.log = landingvalve::log::root(format, slog::Level::Info, "try");
    }
    let site = Site::start(config).await?;
    let operator = Client::new(&site.url("e1"), site::OPERATOR_TOKEN);
    configure(&operator).await?;
    let planner = ready(&operator).await?;
    println!(
        "A store, a list of VMs, {} entries and 11 agents are up; \
         the planner is at {planner}.",
        args.entries
    );
    let good = jobs(&site, &operator).await?;
    let code = match good {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    };
    if args.trace {
        print_trace(&spans);
    }
    if !args.once {
        serve(&site, &operator).await?;
    }
    site.stop(Instant::now() + STOP).await;
    tokio::task::spawn_blocking(|| telemetry.stop()).await?;
    Ok(code)
}

/// The client accounts of the trial, their tokens named after them.
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

fn templates() -> Vec<(&'static str, Value)> {
    let parameters = json!({"run_ms": {"kind": "integer"},
        "output": {"kind": "string"}, "fail": {"kind": "boolean"}});
    let template = |accelerators: u32, within: &str, more: Value| {
        let mut value = json!({"run_ms": 1000, "run": "task",
            "shape": {"accelerators": accelerators, "within": within},
            "parameters": parameters});
        if let (Some(value), Some(more)) =
            (value.as_object_mut(), more.as_object())
        {
            value.extend(more.clone());
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

async fn configure(operator: &Client) -> eyre::Result<()> {
    let deadline = Instant::now() + UP;
    let accounts = accounts().into_iter().map(|item| ("accounts", item));
    let templates = templates().into_iter().map(|item| ("templates", item));
    for (kind, (name, value)) in accounts.chain(templates) {
        let path = format!("/v1/config/{kind}/{name}");
        let edit = format!("try-{name}");
        let body = json!({"value": value, "revision": 0, "edit": edit});
        loop {
            let put = operator.call(Method::PUT, &path, Some(&body)).await?;
            if put.status.is_success() {
                break;
            }
            eyre::ensure!(Instant::now() < deadline, "{}", put.error());
            tokio::time::sleep(LOOK).await;
        }
    }
    Ok(())
}

/// Waits until a planner has all workers up and all guarantees placed, and
/// every entry the configuration; returns where it is.
async fn ready(operator: &Client) -> eyre::Result<String> {
    let deadline = Instant::now() + UP;
    loop {
        let view = view(operator).await?;
        let same = view
            .entries
            .iter()
            .all(|entry| entry.revision == Some(view.revision));
        if let Some(cell) = &view.cell {
            let up = cell.workers.iter().filter(|w| w.presence == "up");
            let placed = cell.guarantees.iter().all(|g| g.placed);
            if same && up.count() == 11 && placed && view.revision > 0 {
                return Ok(cell.planner_address.clone());
            }
        }
        eyre::ensure!(Instant::now() < deadline, "the site is not ready");
        tokio::time::sleep(LOOK).await;
    }
}

async fn view(operator: &Client) -> eyre::Result<View> {
    let answer = operator.call(Method::GET, "/v1/status", None).await?;
    answer.good()
}

/// Submits a replay, a gang and a report through different entries, and
/// prints their lives. Returns whether all ended well.
async fn jobs(site: &Site, operator: &Client) -> eyre::Result<bool> {
    let wanted = [
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
    for (at, (account, template, parameters)) in wanted.iter().enumerate() {
        let entry = site.url(&names[at % names.len()]);
        let client = Client::new(&entry, &format!("{account}-token"));
        let body = json!({"template": template, "parameters": parameters,
            "request_id": format!("try-{template}")});
        let path = "/v1/jobs";
        let answer = client.call(Method::POST, path, Some(&body)).await?;
        let status: Status = answer.good()?;
        println!("{entry}  {}", job::line(&status));
        jobs.push((client, status));
    }
    follow(operator, jobs).await
}

/// Follows jobs until they end, and draws the site while they run.
async fn follow(
    operator: &Client,
    mut jobs: Vec<(Client, Status)>,
) -> eyre::Result<bool> {
    let deadline = Instant::now() + UP;
    let mut drawn = false;
    while Instant::now() < deadline {
        let mut open = false;
        for (client, seen) in &mut jobs {
            let path = format!("/v1/jobs/{}", seen.job);
            let answer = client.call(Method::GET, &path, None).await?;
            let status: Status = answer.good()?;
            if status.stage != seen.stage {
                println!("  {}", job::line(&status));
            }
            open |= status.end.is_none();
            *seen = status;
        }
        let retrain = jobs.iter().find(|(_, s)| &*s.template == "retrain");
        let runs = retrain.is_some_and(|(_, s)| !s.workers.is_empty());
        if runs && !drawn {
            drawn = true;
            let view = view(operator).await?;
            let cell = view.cell.wrap_err("no planner answers")?;
            print!("{}", picture::draw(&cell, picture::has_colour()));
        }
        if !open {
            break;
        }
        tokio::time::sleep(LOOK).await;
    }
    let mut good = true;
    for (client, status) in &jobs {
        good &= answered(client, status).await?;
    }
    Ok(good)
}

/// Prints a job's answer; returns whether it is whole.
async fn answered(client: &Client, status: &Status) -> eyre::Result<bool> {
    let Some(end) = &status.end else {
        println!("{}: has not ended", status.job);
        return Ok(false);
    };
    let path = format!("/v1/jobs/{}/answer", status.job);
    let reply = client.fetch(&path).await?;
    let text = String::from_utf8_lossy(&reply.body);
    let whole = digest::of(&reply.body) == end.digest;
    println!("{}: {}, answer {text:?}", status.job, end.outcome);
    Ok(whole && end.outcome == Outcome::Done)
}

/// Prints the spans of the gang's request, each below the one above it.
fn print_trace(spans: &Collector) {
    let all = spans.spans();
    let is_gang = |span: &&Finished| {
        let of_gang =
            |(_, value): &(String, String)| value.contains("try-retrain");
        span.name == "call" && span.attributes.iter().any(of_gang)
    };
    let Some(root) = all.iter().find(is_gang) else {
        return;
    };
    println!("spans of trace {}:", root.trace);
    let mut trace = spans.trace(&root.trace);
    trace.sort_by_key(|span| span.began);
    print_below(&trace, &root.parent, root.began, 1);
}

fn print_below(
    trace: &[Finished],
    parent: &str,
    start: SystemTime,
    depth: usize,
) {
    for span in trace.iter().filter(|span| span.parent == parent) {
        let at = span.began.duration_since(start).unwrap_or_default();
        let took = span.ended.duration_since(span.began);
        let took = took.unwrap_or_default();
        let known: Vec<String> = span
            .attributes
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        println!(
            "{:indent$}{} at {:.1} ms, took {:.1} ms  {}",
            "",
            span.name,
            at.as_secs_f64() * 1e3,
            took.as_secs_f64() * 1e3,
            known.join(" "),
            indent = 2 * depth,
        );
        print_below(trace, &span.span, start, depth + 1);
    }
}

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
