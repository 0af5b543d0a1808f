//! The command line of experiments.

use std::path::PathBuf;
use std::time::Instant;

use clap::Parser;
use landingvalve_experiment::compare;
use landingvalve_experiment::load::Load;
use landingvalve_experiment::plot;
use landingvalve_experiment::policy;
use landingvalve_experiment::score::Score;

/// Compares ways to decide on the same days of the real decision core.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// What days are drawn from.
    load: PathBuf,
    /// A way, as NAME=NUMBER with commas between; the standing one goes
    /// first by itself.
    #[arg(long = "way")]
    ways: Vec<String>,
    /// How many days are played.
    #[arg(long, default_value_t = 100)]
    days: usize,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many are played side by side.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Where a chart goes, as SVG.
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
    let began = Instant::now();
    let days =
        compare::scores(&load, &policies, args.seed, args.days, args.threads);
    let took = began.elapsed().as_secs_f64();
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
    let mut told = Vec::new();
    for (at, way) in ways.iter().enumerate() {
        let earned = |score: &Score| score.earned;
        let thrown = |score: &Score| score.thrown;
        let mean = compare::mean(&days, at, earned);
        let off = compare::difference(&days, at, earned);
        let waste = compare::mean(&days, at, thrown);
        let more = compare::difference(&days, at, thrown);
        println!(
            "{way:36} {:7.4} +- {:.4} {:+9.4} +- {:.4} {:10.0} {:+9.0} +- {:.0}",
            mean.mean, mean.error, off.mean, off.error, waste.mean,
            more.mean, more.error
        );
        let (owed, broken): (Vec<u32>, Vec<usize>) = days
            .iter()
            .map(|scores| (scores[at].owed, scores[at].broken.len()))
            .unzip();
        println!(
            "    guaranteed: {} of {} had not begun in time, on {} days",
            broken.iter().sum::<usize>(),
            owed.iter().sum::<u32>(),
            broken.iter().filter(|broken| **broken > 0).count()
        );
        for (number, queue) in load.queues.iter().enumerate() {
            let of = |score: &Score| score.queues[number].earned;
            let mean = compare::mean(&days, at, of);
            let off = compare::difference(&days, at, of);
            println!(
                "    {:32} {:7.4} +- {:.4} {:+9.4} +- {:.4}",
                queue.name, mean.mean, mean.error, off.mean, off.error
            );
        }
        if at > 0 {
            told.push((way.clone(), off));
        }
    }
    if let Some(path) = &args.plot {
        plot::differences(path, &told)?;
    }
    Ok(())
}
