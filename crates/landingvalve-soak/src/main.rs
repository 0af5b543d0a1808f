//! The command line of the soak test.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use landingvalve_soak::soak;
use landingvalve_soak::soak::Config;

/// Runs the real programs on loopback under faults, and checks the
/// scheduler's invariants.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// The folder of the programs under test.
    #[arg(long, default_value = "target/release")]
    programs: PathBuf,
    /// The first seed of faults and jobs; random by default.
    #[arg(long)]
    seed: Option<u64>,
    /// The number of runs, one after the other with consecutive seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// For how many seconds faults are injected in each run.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// For how many seconds each run is sound before its faults: only the
    /// configuration changes and jobs are cancelled.
    #[arg(long, default_value_t = 0)]
    sound_seconds: u64,
    /// The number of entries.
    #[arg(long, default_value_t = 3)]
    entries: usize,
    /// The number of workers, each with an agent.
    #[arg(long, default_value_t = 4)]
    workers: usize,
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let args = Args::parse();
    let first = args.seed.unwrap_or_else(|| fastrand::u64(..1_000_000_000));
    let mut broken = 0;
    for seed in first..first + args.seeds {
        let folder =
            format!("landingvalve-soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        let run = soak::run(Config {
            entry: args.programs.join("landingvalve-platform-entry"),
            agent: args.programs.join("landingvalve-platform-agent"),
            folder: folder.clone(),
            seed,
            faults_for: Duration::from_secs(args.seconds),
            sound_for: Duration::from_secs(args.sound_seconds),
            entries: args.entries,
            workers: args.workers,
        });
        // Dropping a run kills the processes that it started.
        let report = tokio::select! {
            report = run => report?,
            _ = tokio::signal::ctrl_c() => return Ok(ExitCode::FAILURE),
        };
        println!("{}", serde_json::to_string(&report)?);
        match report.broken.is_empty() {
            true => std::fs::remove_dir_all(&folder)?,
            false => {
                broken += 1;
                println!("logs: {}", folder.display());
            }
        }
    }
    println!("{} seeds, {broken} broke a promise", args.seeds);
    Ok(match broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}
