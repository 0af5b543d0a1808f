//! Command line of the simulation.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use clap::Parser;
use landingvalve_sim::day;
use landingvalve_sim::day::Kind;
use landingvalve_sim::day::Scenario;
use landingvalve_sim::gang::AloneCounts;
use landingvalve_sim::orders;
use landingvalve_sim::orders::Order;
use landingvalve_sim::orders::Table;

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
    /// Play every order of one fault and one call of the store, in place of
    /// days.
    #[arg(long, conflicts_with = "order")]
    orders: bool,
    /// Write how often each kind of event met each fault to this file, as CSV.
    #[arg(long, requires = "orders")]
    csv: Option<PathBuf>,
    /// Play one order, by its id: PLANNER-MILESTONE-CALL-FAULT.
    #[arg(long)]
    order: Option<String>,
}

/// The exit code for an order that is unknown or has no event.
const NO_SUCH_ORDER: u8 = 2;
/// The number of orders from one line of progress to the next.
const PROGRESS_INTERVAL: usize = 1000;

fn main() -> ExitCode {
    let args = Args::parse();
    match &args.order {
        Some(id) => play_order(id, args.timeline),
        None if args.orders => play_orders(&args),
        None => play_days(&args),
    }
}

/// Plays one order, and tells what it breaks.
fn play_order(id: &str, timeline: bool) -> ExitCode {
    let order = match id.parse() {
        Ok(order) => order,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(NO_SUCH_ORDER);
        }
    };
    let played = orders::play(order);
    if timeline {
        println!("{}", played.report.timeline.join("\n"));
    }
    if !played.is_met {
        eprintln!("order {id}: the day has no such event");
        return ExitCode::from(NO_SUCH_ORDER);
    }
    println!("{id}: {:#?}", played.report.violations);
    match played.report.violations.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Plays all orders, and tells which break a promise.
fn play_orders(args: &Args) -> ExitCode {
    let start = Instant::now();
    let orders = Order::all();
    let played = orders::play_all(&orders, |count| {
        if count % PROGRESS_INTERVAL == 0 {
            eprintln!("{count} of {} orders", orders.len());
        }
    });
    for broken in &played {
        if broken.report.violations.is_empty() {
            continue;
        }
        println!("{}: {:#?}", broken.order, broken.report.violations);
        if args.timeline {
            println!("{}", broken.report.timeline.join("\n"));
        }
    }
    let table = Table::new(&played);
    if let Some(path) = &args.csv {
        if let Err(error) = std::fs::write(path, table.csv()) {
            eprintln!("{}: {error}", path.display());
            return ExitCode::FAILURE;
        }
    }
    println!("{table} in {:.1} s", start.elapsed().as_secs_f64());
    match table.broken() {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn play_days(args: &Args) -> ExitCode {
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
