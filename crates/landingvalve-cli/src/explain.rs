//! `landingvalve explain`: reconstructs the course of jobs from logs.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufReader;
use std::process::ExitCode;

use eyre::bail;
use eyre::WrapErr;
use landingvalve::explain::cause::Cause;
use landingvalve::explain::history::History;
use landingvalve::explain::history::Outcome;
use landingvalve::explain::history::Verdict;
use landingvalve::explain::holder;
use landingvalve::explain::Logs;
use serde_json::json;

/// The arguments of `landingvalve explain`.
#[derive(clap::Args)]
pub struct Args {
    /// List every job that missed its objective, with the cause.
    #[arg(long)]
    late: bool,
    /// List every job that failed, was refused, or whose end is not in the
    /// logs, with the cause.
    #[arg(long)]
    failed: bool,
    /// The job's ID, unless --late or --failed is given, followed by files
    /// with log lines of any number of processes, or `-` for standard input
    /// (the default).
    #[arg(value_name = "ID | FILE")]
    names: Vec<String>,
}

/// Prints the course of one job, or a list of jobs.
pub fn run(args: &Args, as_json: bool) -> eyre::Result<ExitCode> {
    let list = args.late || args.failed;
    let (job, files) = match (list, args.names.split_first()) {
        (true, _) => (None, &args.names[..]),
        (false, Some((job, files))) => (Some(job.as_str()), files),
        (false, None) => bail!("expected a job's ID, --late or --failed"),
    };
    let logs = read_logs(files)?;
    match job {
        Some(job) => {
            let Some(history) = logs.history(job) else {
                let (lines, _) = logs.counts();
                bail!("job {job}: none of {lines} lines names it");
            };
            print_history(job, history, as_json);
        }
        None => print_list(&logs, args, as_json),
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads all files, or standard input if there are none.
fn read_logs(files: &[String]) -> eyre::Result<Logs> {
    let mut logs = Logs::default();
    let standard_input = ["-".to_owned()];
    let files = match files {
        [] => &standard_input[..],
        files => files,
    };
    for name in files {
        match name.as_str() {
            "-" => logs.read(std::io::stdin().lock()),
            name => {
                let file = File::open(name).wrap_err(name.to_owned())?;
                logs.read(BufReader::new(file))
            }
        }
        .wrap_err_with(|| name.clone())?;
    }
    match logs.counts() {
        (lines, unread) if lines == unread => {
            bail!("none of {lines} lines is a log line in JSON")
        }
        (_, 0) => {}
        (lines, unread) => {
            eprintln!("{unread} of {lines} lines are not log lines; skipped");
        }
    }
    Ok(logs)
}

/// Prints the log lines of a job, with times since its submission, and its
/// outcome.
fn print_history(job: &str, history: &History, as_json: bool) {
    let began = history.began();
    let verdict = history.verdict();
    let after = |line: &landingvalve::explain::line::Line| {
        let after = began.and_then(|b| line.written_at.duration_since(b).ok());
        after.unwrap_or_default().as_secs_f64()
    };
    if as_json {
        let lines = history.lines().into_iter().map(|line| {
            json!({"after_s": after(line), "process": line.process,
                "message": line.message, "fields": line.fields})
        });
        let lines: Vec<_> = lines.collect();
        let report = json!({"job": job, "lines": lines, "verdict": verdict});
        println!("{report}");
        return;
    }
    for line in history.lines() {
        println!(
            "{:9.3} s  {:24} {}  {}",
            after(line),
            line.process,
            line.message,
            line.display_fields()
        );
    }
    println!("{}", summary(job, &verdict));
}

/// Returns the outcome of a job and its cause in one line.
fn summary(job: &str, verdict: &Verdict) -> String {
    let took = seconds(verdict.took_ms);
    let objective = seconds(verdict.objective_ms);
    let cost = seconds(verdict.cost_ms);
    let cause = verdict.reason();
    match verdict.end {
        Outcome::InTime => {
            format!("job {job}: in time, {took} of {objective} s")
        }
        Outcome::Late => format!(
            "job {job}: late, {took} of {objective} s: {cause} ({cost} s)"
        ),
        Outcome::Failed => {
            format!("job {job}: failed after {took} s: {cause}")
        }
        Outcome::Cancelled => format!("job {job}: cancelled after {took} s"),
        Outcome::Refused => {
            format!("job {job}: refused for {took} s: {cause}")
        }
        Outcome::Open => format!(
            "job {job}: no end in the logs, {took} s after submission: {cause}"
        ),
    }
}

fn seconds(ms: u64) -> String {
    format!("{:.2}", ms as f64 / 1000.0)
}

/// Prints the selected jobs, and the number of jobs and the time lost by cause
/// and by the account that held the room.
fn print_list(logs: &Logs, args: &Args, as_json: bool) {
    let is_selected = |end: Outcome| match end {
        Outcome::Late => args.late,
        Outcome::Failed | Outcome::Refused | Outcome::Open => args.failed,
        Outcome::InTime | Outcome::Cancelled => false,
    };
    let jobs = logs
        .histories()
        .map(|(job, history)| (job, history.verdict()));
    let jobs: Vec<_> = jobs.filter(|(_, v)| is_selected(v.end)).collect();
    let mut table: BTreeMap<Cause, (usize, u64)> = BTreeMap::new();
    for (_, verdict) in &jobs {
        let row = table.entry(verdict.cause).or_default();
        row.0 += 1;
        row.1 += verdict.cost_ms;
    }
    let holders = holder::count(jobs.iter().map(|(_, verdict)| verdict));
    if as_json {
        let jobs = jobs
            .iter()
            .map(|(job, verdict)| json!({"job": job, "verdict": verdict}));
        let jobs: Vec<_> = jobs.collect();
        let causes = table.iter().map(|(cause, (jobs, ms))| {
            json!({"cause": cause, "jobs": jobs, "cost_ms": ms})
        });
        let causes: Vec<_> = causes.collect();
        let list = json!({"jobs": jobs, "causes": causes, "holders": holders});
        println!("{list}");
        return;
    }
    for (job, verdict) in &jobs {
        println!("{}", summary(job, verdict));
    }
    println!("{:>6} {:>9}  cause", "jobs", "cost s");
    for (cause, (jobs, ms)) in &table {
        println!("{jobs:>6} {:>9}  {cause}", seconds(*ms));
    }
    if holders.is_empty() {
        return;
    }
    println!("{:>6} {:>9}  room held by", "jobs", "cost s");
    for row in &holders {
        println!("{:>6} {:>9}  {row}", row.jobs, seconds(row.cost_ms));
    }
}
