//! Replays a recorded trace with the decision core or a baseline policy.

use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;

use clap::Parser;
use clap::ValueEnum;
use eyre::WrapErr;

use landingvalve::plan::Plan;
use landingvalve::plan::Policy;
use landingvalve::replay;
use landingvalve::replay::baseline::Baseline;
use landingvalve::replay::baseline::Kind;
use landingvalve::replay::engine::Engine;
use landingvalve::replay::plot;
use landingvalve::replay::trace::Trace;

/// Replays a recorded trace and prints a report as JSON.
///
/// Examples:
///   landingvalve-replay trace.jsonl --json
///   landingvalve-replay trace.jsonl --policy backfill --json
///   landingvalve-replay trace.jsonl --plot trace.svg
#[derive(Parser)]
#[command(version, verbatim_doc_comment)]
struct Args {
    /// The trace, one JSON object per line.
    trace: PathBuf,
    /// The policy that decides.
    #[arg(long, value_enum, default_value = "landingvalve")]
    policy: Choice,
    /// The weight of keeping whole workers free against early completion, 0 to
    /// 1.
    #[arg(long, default_value_t = 0.5, value_parser = parse_weight)]
    weight_fragmentation: f64,
    /// Print the report on one line instead of indented.
    #[arg(long)]
    json: bool,
    /// Include the wall time of decisions, which differs between runs.
    #[arg(long)]
    timing: bool,
    /// Write a chart of accelerators by account and of fragmentation over
    /// time.
    #[arg(long, value_name = "FILE.svg")]
    plot: Option<PathBuf>,
}

#[derive(Clone, Copy, ValueEnum)]
enum Choice {
    Landingvalve,
    Fifo,
    Scatter,
    Backfill,
}

fn parse_weight(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(weight) if (0.0..=1.0).contains(&weight) => Ok(weight),
        _ => Err(format!("{text:?} is not a number from 0 to 1")),
    }
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let name = args.trace.display().to_string();
    let file = File::open(&args.trace).wrap_err_with(|| name.clone())?;
    let trace = Trace::read(BufReader::new(file)).wrap_err(name)?;
    let site = trace.header.site()?;
    let baseline = |kind| Box::new(Baseline::new(kind, site.clone()));
    let policy: Box<dyn replay::Policy> = match args.policy {
        Choice::Landingvalve => {
            let policy = Policy {
                weight_fragmentation: args.weight_fragmentation,
            };
            Box::new(Plan::new(site, policy))
        }
        Choice::Fifo => baseline(Kind::Fifo),
        Choice::Scatter => baseline(Kind::Scatter),
        Choice::Backfill => baseline(Kind::Backfill),
    };
    let engine = Engine::new(&trace, policy)?;
    let engine = match args.plot {
        Some(_) => engine.with_samples(),
        None => engine,
    };
    let outcomes = engine.run(args.timing);
    if let Some(path) = &args.plot {
        let accounts = trace.header.accounts.iter();
        let accounts: Vec<String> =
            accounts.map(|terms| terms.account.to_string()).collect();
        plot::draw(path, &accounts, &outcomes.samples)?;
    }
    let text = match args.json {
        true => serde_json::to_string(&outcomes.report)?,
        false => serde_json::to_string_pretty(&outcomes.report)?,
    };
    println!("{text}");
    Ok(())
}
