//! Command line of the simulation.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use clap::Parser;
use landingvalve_sim::day;
use landingvalve_sim::day::Kind;
use landingvalve_sim::day::Scenario;
use landingvalve_sim::gang::AloneCounts;

/// Simulates days of the real code under virtual time and checks the
/// invariants.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Seed of the first day.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of days, one seed each.
    #[arg(long, default_value_t = 100)]
    days: u64,
    /// Number of entries.
    #[arg(long, default_value_t = 3)]
    entries: usize,
    /// Number of workers.
    #[arg(long, default_value_t = 6)]
    workers: usize,
    /// Number of jobs submitted on a day.
    #[arg(long, default_value_t = 40)]
    jobs: usize,
    /// Duration of the faults, in seconds.
    #[arg(long, default_value_t = 40)]
    seconds: u64,
    /// Leave out goodbyes of workers and cancels before the acceptance.
    #[arg(long)]
    no_departures: bool,
    /// Let tasks fail on sound workers, also behind cuts.
    #[arg(long)]
    failures: bool,
    /// Play sound days: no faults, while jobs are cancelled or hopeless,
    /// workers join and the configuration changes.
    #[arg(long)]
    sound: bool,
    /// Stop at the first day that violates an invariant.
    #[arg(long)]
    first: bool,
    /// Print the timeline of each day that violates an invariant, or of the
    /// only day.
    #[arg(long)]
    timeline: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let start = Instant::now();
    let mut violating_days = 0;
    let mut faults: BTreeMap<&str, u32> = BTreeMap::new();
    let mut starts = 0;
    let mut repeated_starts = 0;
    let mut alone = AloneCounts::default();
    for seed in args.seed..args.seed + args.days {
        let report = day::simulate(Scenario {
            seed,
            kind: match args.sound {
                true => Kind::Sound,
                false => Kind::Faulty,
            },
            entries: args.entries,
            workers: args.workers,
            jobs: args.jobs,
            fault_duration: Duration::from_secs(args.seconds),
            has_departures: !args.no_departures,
            has_failures: args.failures,
        });
        starts += report.starts;
        repeated_starts += report.repeated_starts;
        alone.excused += report.alone.excused;
        alone.violations += report.alone.violations;
        for (name, count) in report.faults {
            *faults.entry(name).or_default() += count;
        }
        if args.timeline && (args.days == 1 || !report.violations.is_empty()) {
            println!("{}", report.timeline.join("\n"));
        }
        if report.violations.is_empty() {
            continue;
        }
        violating_days += 1;
        println!("seed {seed}: {:#?}", report.violations);
        if args.first {
            break;
        }
    }
    let elapsed = start.elapsed();
    println!(
        "{} days in {:.1} s, {starts} starts, {repeated_starts} of them of what was \
         listed as done, {} runs ended alone and are excused, {} and are not, \
         {violating_days} broke a promise, faults {faults:?}",
        args.days,
        elapsed.as_secs_f64(),
        alone.excused,
        alone.violations,
    );
    match violating_days {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
