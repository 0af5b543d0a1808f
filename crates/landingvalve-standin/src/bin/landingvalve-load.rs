//! Submits small jobs at a rate and prints how long their answers took.

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

/// How long one answer may take.
const LONGEST: Duration = Duration::from_secs(60);

/// Submits jobs that are waited for.
#[derive(Parser)]
struct Args {
    /// The entries, which take turns.
    #[arg(long, required = true)]
    entry: Vec<String>,
    /// The token of the client account.
    #[arg(long)]
    token: String,
    /// The template.
    #[arg(long, default_value = "small")]
    template: String,
    /// How many jobs a second.
    #[arg(long, default_value_t = 200)]
    rate: u32,
    /// How many jobs.
    #[arg(long, default_value_t = 1000)]
    count: u32,
    /// How long each runs, in milliseconds.
    #[arg(long, default_value_t = 1)]
    run_ms: u64,
    /// Starts each request id, so that runs do not meet.
    #[arg(long, default_value = "load")]
    prefix: String,
}

#[tokio::main]
async fn main() {
    let args = Arc::new(Args::parse());
    let client = http::Client::new();
    let (to, mut from) = mpsc::unbounded_channel();
    let mut pace = tokio::time::interval(Duration::from_secs(1) / args.rate);
    for number in 0..args.count {
        pace.tick().await;
        let (args, client, to) = (args.clone(), client.clone(), to.clone());
        tokio::spawn(async move {
            let _ = to.send(one(&args, &client, number).await);
        });
    }
    drop(to);
    let mut took = Vec::new();
    let mut failed = 0;
    while let Some(result) = from.recv().await {
        match result {
            Some(time) => took.push(time.as_micros() as u64),
            None => failed += 1,
        }
    }
    took.sort_unstable();
    let ms = |percent| percentile(&took, percent) as f64 / 1e3;
    println!(
        "{}",
        json!({"done": took.len(), "failed": failed, "p50_ms": ms(50),
            "p95_ms": ms(95), "p99_ms": ms(99)})
    );
}

/// Submits one job; returns how long its answer took, if it was done.
async fn one(
    args: &Args,
    client: &http::Client,
    number: u32,
) -> Option<Duration> {
    let entry = &args.entry[number as usize % args.entry.len()];
    let bearer = format!("Bearer {}", args.token);
    let mut headers = HeaderMap::new();
    headers.insert(AUTHORIZATION, HeaderValue::from_str(&bearer).ok()?);
    let id = format!("{}-{number}", args.prefix);
    let body = json!({"template": args.template, "request_id": id,
        "wait": true, "parameters": {"run_ms": args.run_ms}});
    let url = format!("{entry}/v1/jobs");
    let began = Instant::now();
    let deadline = began + LONGEST;
    let body = body.to_string();
    let call = client.call(Method::POST, &url, headers, body, deadline);
    let reply = call.await.ok()?;
    let body: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    (body["end"]["outcome"] == "done").then(|| began.elapsed())
}
