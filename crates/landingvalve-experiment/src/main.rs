//! Command line of the experiments.

use std::path::PathBuf;
use std::time::Instant;

use clap::Parser;
use landingvalve_experiment::compare;
use landingvalve_experiment::load::Load;
use landingvalve_experiment::plot;
use landingvalve_experiment::policy;
use landingvalve_experiment::score::Score;

/// Compares scheduling policies on the same simulated days.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// File that days are drawn from.
    load: PathBuf,
    /// A policy to compare with the default one, as NAME=NUMBER settings with
    /// commas between; may be given several times.
    #[arg(long = "way")]
    ways: Vec<String>,
    /// Number of days.
    #[arg(long, default_value_t = 100)]
    days: usize,
    /// Seed of the first day.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of days simulated in parallel.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// File that a chart of the differences is written to, as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let load = Load::read(&args.load)?;
    let mut ways = vec!["standing".to_owned()];
    ways.extend(args.ways.iter().cloned());
    let mut policies = vec![policy::parse("")?];
    for way in &args.ways {
        policies.push(policy::parse(way)?);
    }
    let start = Instant::now();
    let days =
        compare::scores(&load, &policies, args.seed, args.days, args.threads);
    let took = start.elapsed().as_secs_f64();
    let plays = (args.days * policies.len()).max(1) as f64;
    let each = took * args.threads as f64 / plays;
    println!(
        "{} days under {} ways in {took:.1} s, {each:.2} s a play and thread",
        args.days,
        policies.len()
    );
    println!(
        "{:36} {:>16} {:>18} {:>10} {:>18}",
        "way", "earned", "difference", "thrown", "difference"
    );
    let mut differences = Vec::new();
    for (at, way) in ways.iter().enumerate() {
        let earned = |score: &Score| score.earned;
        let wasted = |score: &Score| score.wasted;
        let mean = compare::mean(&days, at, earned);
        let earned_difference = compare::difference(&days, at, earned);
        let mean_wasted = compare::mean(&days, at, wasted);
        let wasted_difference = compare::difference(&days, at, wasted);
        println!(
            "{way:36} {:7.4} +- {:.4} {:+9.4} +- {:.4} {:10.0} {:+9.0} +- {:.0}",
            mean.mean,
            mean.standard_error,
            earned_difference.mean,
            earned_difference.standard_error,
            mean_wasted.mean,
            wasted_difference.mean,
            wasted_difference.standard_error
        );
        let (guaranteed, missed): (Vec<u32>, Vec<usize>) = days
            .iter()
            .map(|scores| (scores[at].guaranteed, scores[at].missed.len()))
            .unzip();
        println!(
            "    guaranteed: {} of {} had not begun in time, on {} days",
            missed.iter().sum::<usize>(),
            guaranteed.iter().sum::<u32>(),
            missed.iter().filter(|missed| **missed > 0).count()
        );
        for (number, queue) in load.queues.iter().enumerate() {
            let queue_earned = |score: &Score| score.queues[number].earned;
            let mean = compare::mean(&days, at, queue_earned);
            let earned_difference =
                compare::difference(&days, at, queue_earned);
            println!(
                "    {:32} {:7.4} +- {:.4} {:+9.4} +- {:.4}",
                queue.name,
                mean.mean,
                mean.standard_error,
                earned_difference.mean,
                earned_difference.standard_error
            );
        }
        if at > 0 {
            differences.push((way.clone(), earned_difference));
        }
    }
    if let Some(path) = &args.plot {
        plot::draw_differences(path, &differences)?;
    }
    Ok(())
}
