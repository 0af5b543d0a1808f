//! `explain`: what became of jobs, from the logs alone.

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
use landingvalve::explain::Logs;
use serde_json::json;

/// What to explain, and from what.
#[derive(clap::Args)]
pub struct Args {
    /// List every job that was late, with its cause.
    #[arg(long)]
    late: bool,
    /// List every job that failed or was refused, with its cause.
    #[arg(long)]
    failed: bool,
    /// A job, unless a list is asked for; then files with log lines of any
    /// number of processes, or `-` for standard input.
    #[arg(value_name = "ID | FILE")]
    names: Vec<String>,
}

/// Prints the life of a job, or a list of jobs.
pub fn run(args: &Args, as_json: bool) -> eyre::Result<ExitCode> {
    let list = args.late || args.failed;
    let (job, files) = match (list, args.names.split_first()) {
        (true, _) => (None, &args.names[..]),
        (false, Some((job, files))) => (Some(job.as_str()), files),
        (false, None) => bail!("a job's name, --late or --failed: none given"),
    };
    let logs = read(files)?;
    match job {
        Some(job) => {
            let Some(story) = logs.history(job) else {
                let (lines, _) = logs.counts();
                bail!("job {job}: in none of {lines} lines");
            };
            print_story(job, story, as_json);
        }
        None => print_list(&logs, args, as_json),
    }
    Ok(ExitCode::SUCCESS)
}

fn read(files: &[String]) -> eyre::Result<Logs> {
    let mut logs = Logs::default();
    let standard = ["-".to_owned()];
    let files = match files {
        [] => &standard[..],
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
            bail!("none of {lines} lines is a log line, expected JSON")
        }
        (_, 0) => {}
        (lines, unread) => {
            eprintln!("{unread} of {lines} lines are no log lines");
        }
    }
    Ok(logs)
}

fn print_story(job: &str, story: &History, as_json: bool) {
    let began = story.began();
    let verdict = story.verdict();
    let after = |line: &landingvalve::explain::line::Line| {
        let after = began.and_then(|b| line.written_at.duration_since(b).ok());
        after.unwrap_or_default().as_secs_f64()
    };
    if as_json {
        let lines = story.lines().into_iter().map(|line| {
            json!({"after_s": after(line), "process": line.process,
                "message": line.message, "fields": line.fields})
        });
        let lines: Vec<_> = lines.collect();
        let told = json!({"job": job, "lines": lines, "verdict": verdict});
        println!("{told}");
        return;
    }
    for line in story.lines() {
        println!(
            "{:9.3} s  {:24} {}  {}",
            after(line),
            line.process,
            line.message,
            line.display_fields()
        );
    }
    println!("{}", sentence(job, &verdict));
}

fn sentence(job: &str, verdict: &Verdict) -> String {
    let took = seconds(verdict.took_ms);
    let objective = seconds(verdict.objective_ms);
    let cost = seconds(verdict.cost_ms);
    let cause = verdict.cause;
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
            "job {job}: no end is told, {took} s after its start: {cause}"
        ),
    }
}

fn seconds(ms: u64) -> String {
    format!("{:.2}", ms as f64 / 1000.0)
}

fn print_list(logs: &Logs, args: &Args, as_json: bool) {
    let asked = |end: Outcome| match end {
        Outcome::Late => args.late,
        Outcome::Failed | Outcome::Refused | Outcome::Open => args.failed,
        Outcome::InTime | Outcome::Cancelled => false,
    };
    let told = logs.histories().map(|(job, story)| (job, story.verdict()));
    let told: Vec<_> = told.filter(|(_, v)| asked(v.end)).collect();
    let mut table: BTreeMap<Cause, (usize, u64)> = BTreeMap::new();
    for (_, verdict) in &told {
        let row = table.entry(verdict.cause).or_default();
        row.0 += 1;
        row.1 += verdict.cost_ms;
    }
    if as_json {
        let jobs = told
            .iter()
            .map(|(job, verdict)| json!({"job": job, "verdict": verdict}));
        let jobs: Vec<_> = jobs.collect();
        let causes = table.iter().map(|(cause, (jobs, ms))| {
            json!({"cause": cause, "jobs": jobs, "cost_ms": ms})
        });
        let causes: Vec<_> = causes.collect();
        println!("{}", json!({"jobs": jobs, "causes": causes}));
        return;
    }
    for (job, verdict) in &told {
        println!("{}", sentence(job, verdict));
    }
    println!("{:>6} {:>9}  cause", "jobs", "cost s");
    for (cause, (jobs, ms)) in &table {
        println!("{jobs:>6} {:>9}  {cause}", seconds(*ms));
    }
}
