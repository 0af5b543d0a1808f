//! Submits jobs at a fixed rate and prints percentiles of their latency.

use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use hyper::header::AUTHORIZATION;
use hyper::Method;
use landingvalve::http;
use landingvalve::replay::report::percentile;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The timeout of one submission, which waits for its job to end.
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(60);

/// Submits jobs at a fixed rate, waits for each to end, and prints the
/// latency percentiles.
#[derive(Parser)]
struct Args {
    /// The URL of an entry; given several times, the entries are used in turn.
    #[arg(long, required = true)]
    entry: Vec<String>,
    /// The token of the client account.
    #[arg(long)]
    token: String,
    /// The template of the jobs.
    #[arg(long, default_value = "small")]
    template: String,
    /// The number of jobs submitted per second.
    #[arg(long, default_value_t = 200)]
    rate: u32,
    /// The total number of jobs.
    #[arg(long, default_value_t = 1000)]
    count: u32,
    /// The run time of each job, in milliseconds.
    #[arg(long, default_value_t = 1)]
    run_ms: u64,
    /// The prefix of the request ids; runs with the same prefix repeat each
    /// other's requests.
    #[arg(long, default_value = "load")]
    prefix: String,
}

#[tokio::main]
async fn main() {
    let args = Arc::new(Args::parse());
    let client = http::Client::new();
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / args.rate);
    for number in 0..args.count {
        ticks.tick().await;
        let (args, client, sender) =
            (args.clone(), client.clone(), sender.clone());
        tokio::spawn(async move {
            let _ = sender.send(submit(&args, &client, number).await);
        });
    }
    drop(sender);
    let mut latencies_us = Vec::new();
    let mut failed = 0;
    while let Some(result) = receiver.recv().await {
        match result {
            Some(latency) => latencies_us.push(latency.as_micros() as u64),
            None => failed += 1,
        }
    }
    latencies_us.sort_unstable();
    let ms = |percent| percentile(&latencies_us, percent) as f64 / 1e3;
    println!(
        "{}",
        json!({"done": latencies_us.len(), "failed": failed, "p50_ms": ms(50),
            "p95_ms": ms(95), "p99_ms": ms(99)})
    );
}

/// Submits one job and returns its latency, or `None` unless it ended with
/// the outcome `done`.
async fn submit(
    args: &Args,
    client: &http::Client,
    number: u32,
) -> Option<Duration> {
    let entry = &args.entry[number as usize % args.entry.len()];
    let bearer = format!("Bearer {}", args.token);
    let mut headers = HeaderMap::new();
    headers.insert(AUTHORIZATION, HeaderValue::from_str(&bearer).ok()?);
    let request_id = format!("{}-{number}", args.prefix);
    let body = json!({"template": args.template, "request_id": request_id,
        "wait": true, "parameters": {"run_ms": args.run_ms}});
    let url = format!("{entry}/v1/jobs");
    let start = Instant::now();
    let deadline = start + SUBMISSION_TIMEOUT;
    let body = body.to_string();
    let call = client.call(Method::POST, &url, headers, body, deadline);
    let reply = call.await.ok()?;
    let body: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    (body["end"]["outcome"] == "done").then(|| start.elapsed())
}
