//! Generates a trace for replays: the submissions and, optionally, the faults
//! at one of three sites. The trace depends on the arguments alone.
//!
//! `cargo run --example make-trace -- SITE HOURS LOAD FAULTS SEED`, where
//! SITE is `wiezogrod`, `vedurskra` or `fleet`, LOAD is the offered load as a
//! share of all accelerators (unused for `fleet`), and FAULTS is `calm` or
//! `faults`.

use std::time::Duration;

use fastrand::Rng;
use serde_json::json;
use serde_json::Value;

const MS_PER_HOUR: f64 = 3_600_000.0;

/// A template of generated jobs.
struct Template {
    name: &'static str,
    account: &'static str,
    /// The accelerators and the scope of the shapes, drawn with equal
    /// probability.
    shapes: &'static [(u32, &'static str)],
    median_run: Duration,
    /// The standard deviation of the logarithm of the run time.
    run_sigma: f64,
    /// The median ratio of the declared run time to the actual one.
    declared_factor: f64,
    /// The share of the offered load.
    load_share: f64,
    repeatable: bool,
    checkpoint: bool,
    /// The share of urgent jobs.
    urgent_share: f64,
}

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

const WIEZOGROD: &[Template] = &[
    Template {
        name: "replay",
        account: "players",
        shapes: &[(1, "worker"), (1, "worker"), (2, "worker")],
        median_run: secs(40),
        run_sigma: 0.7,
        declared_factor: 0.5,
        load_share: 0.15,
        repeatable: true,
        checkpoint: false,
        urgent_share: 0.2,
    },
    Template {
        name: "retrain",
        account: "bots",
        shapes: &[(16, "rack"), (8, "worker"), (16, "hall")],
        median_run: secs(2400),
        run_sigma: 0.5,
        declared_factor: 1.8,
        load_share: 0.4,
        repeatable: true,
        checkpoint: true,
        urgent_share: 0.0,
    },
    Template {
        name: "fine-tune",
        account: "ladder",
        shapes: &[(4, "worker"), (2, "worker"), (3, "worker")],
        median_run: secs(900),
        run_sigma: 0.8,
        declared_factor: 1.0,
        load_share: 0.3,
        repeatable: true,
        checkpoint: true,
        urgent_share: 0.0,
    },
    Template {
        name: "balance-report",
        account: "designers",
        shapes: &[(4, "worker"), (2, "worker")],
        median_run: secs(600),
        run_sigma: 0.4,
        declared_factor: 0.7,
        load_share: 0.15,
        repeatable: false,
        checkpoint: false,
        urgent_share: 0.0,
    },
];

const VEDURSKRA: &[Template] = &[
    Template {
        name: "homogenisation",
        account: "council",
        shapes: &[(2, "worker"), (4, "worker"), (1, "worker")],
        median_run: secs(500),
        run_sigma: 0.8,
        declared_factor: 0.6,
        load_share: 0.25,
        repeatable: true,
        checkpoint: false,
        urgent_share: 0.15,
    },
    Template {
        name: "reconstruction",
        account: "researchers",
        shapes: &[(16, "rack"), (24, "hall"), (16, "hall"), (8, "worker")],
        median_run: secs(5400),
        run_sigma: 0.5,
        declared_factor: 1.6,
        load_share: 0.45,
        repeatable: true,
        checkpoint: true,
        urgent_share: 0.0,
    },
    Template {
        name: "gridding",
        account: "planners",
        shapes: &[(4, "worker"), (3, "worker"), (6, "worker")],
        median_run: secs(1500),
        run_sigma: 0.9,
        declared_factor: 1.2,
        load_share: 0.2,
        repeatable: true,
        checkpoint: true,
        urgent_share: 0.0,
    },
    Template {
        name: "publication",
        account: "archive",
        shapes: &[(4, "worker"), (8, "worker")],
        median_run: secs(900),
        run_sigma: 0.3,
        declared_factor: 0.8,
        load_share: 0.1,
        repeatable: false,
        checkpoint: false,
        urgent_share: 0.0,
    },
];

/// The shapes of the fleet's jobs, by kind of job.
const FLEET_SHAPES: &[&[(u32, &str)]] = &[
    &[(8, "worker"), (16, "rack"), (4, "worker")],
    &[(64, "hall"), (256, "hall"), (16, "rack"), (128, "hall")],
    &[(1, "worker"), (2, "worker"), (4, "worker"), (8, "worker")],
];

struct Site {
    /// The first line of the trace.
    header: Value,
    /// The workers of each rack.
    racks: Vec<Vec<String>>,
    /// The number of accelerators of the site.
    accelerators: f64,
}

/// Returns a site of 11 workers in three halls.
fn small_site(name: &str, accounts: Value) -> Site {
    let workers_by_rack = [[3, 1], [3, 1], [3, 0]];
    let mut halls = Vec::new();
    let mut racks = Vec::new();
    for (hall, workers_by_rack) in workers_by_rack.iter().enumerate() {
        let mut racks_in_hall = Vec::new();
        for (rack, workers_in_rack) in workers_by_rack.iter().enumerate() {
            if *workers_in_rack == 0 {
                continue;
            }
            let name = format!("h{}r{}", hall + 1, rack + 1);
            let workers: Vec<String> = (1..=*workers_in_rack)
                .map(|w| format!("{name}w{w}"))
                .collect();
            racks_in_hall.push(json!({"rack": name, "workers": workers}));
            racks.push(workers);
        }
        let name = format!("h{}", hall + 1);
        halls.push(json!({"hall": name, "racks": racks_in_hall}));
    }
    Site {
        header: json!({"site": name, "accelerators": 8, "halls": halls,
            "accounts": accounts}),
        racks,
        accelerators: 88.0,
    }
}

/// Returns a site of 2500 workers in nine halls.
fn fleet() -> Site {
    let mut halls = Vec::new();
    let mut racks = Vec::new();
    for hall in 0..9 {
        let mut racks_in_hall = Vec::new();
        let count: usize = if hall < 7 { 278 } else { 277 };
        for rack in 0..count.div_ceil(8) {
            let name = format!("h{hall}r{rack}");
            let workers_in_rack = 8.min(count - rack * 8);
            let workers: Vec<String> = (0..workers_in_rack)
                .map(|w| format!("{name}w{w}"))
                .collect();
            racks_in_hall.push(json!({"rack": name, "workers": workers}));
            racks.push(workers);
        }
        halls
            .push(json!({"hall": format!("h{hall}"), "racks": racks_in_hall}));
    }
    let accounts: Vec<Value> = (0..60)
        .map(|account| {
            let large = if account % 10 == 0 { 256 } else { 32 };
            json!({"account": format!("team{account}"), "guarantee": [
                {"accelerators": large, "within": "hall"},
                {"accelerators": 16, "within": "rack"},
                {"accelerators": 8, "within": "worker"}], "borrow": 2000})
        })
        .collect();
    Site {
        header: json!({"site": "fleet", "accelerators": 8, "halls": halls,
            "accounts": accounts}),
        racks,
        accelerators: 20_000.0,
    }
}

/// Returns an approximately standard normal number, by a sum of 12 uniform
/// ones.
fn normal(rng: &mut Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}

fn shape(template: &Template, rng: &mut Rng) -> (u32, &'static str) {
    template.shapes[rng.usize(0..template.shapes.len())]
}

/// Returns the arrival times of jobs in ms, unsorted. The arrival rate varies
/// periodically, and 3 % of the arrivals are bursts of 12 jobs within two
/// seconds.
fn arrivals(count: usize, span_ms: f64, rng: &mut Rng) -> Vec<f64> {
    let mut times = Vec::new();
    while times.len() < count {
        let time_ms = rng.f64() * span_ms;
        let relative_rate = 0.6 + 0.4 * (time_ms / span_ms * 12.0).sin();
        if rng.f64() > relative_rate {
            continue;
        }
        let jobs = if rng.f64() < 0.03 { 12 } else { 1 };
        times.extend((0..jobs).map(|_| time_ms + rng.f64() * 2000.0));
    }
    times.truncate(count);
    times
}

/// Returns the submissions of a small site, each with its time in ms. The
/// number of jobs of each template follows from its share of the load and
/// its mean shape and run time.
fn submissions(
    templates: &[Template],
    site: &Site,
    hours: f64,
    load: f64,
    rng: &mut Rng,
) -> Vec<(u64, Value)> {
    let span_ms = hours * MS_PER_HOUR;
    let mut lines = Vec::new();
    for template in templates {
        let accelerators = template.shapes.iter().map(|s| f64::from(s.0));
        let mean_accelerators =
            accelerators.sum::<f64>() / template.shapes.len() as f64;
        let mean_run = template.median_run.as_secs_f64()
            * (template.run_sigma * template.run_sigma / 2.0).exp();
        let accelerator_seconds = site.accelerators * hours * 3600.0 * load;
        let count = accelerator_seconds * template.load_share
            / (mean_accelerators * mean_run);
        let count = count.round().max(2.0) as usize;
        for (time_ms, number) in arrivals(count, span_ms, rng).iter().zip(1..)
        {
            let (accelerators, within) = shape(template, rng);
            let run = template.median_run.as_secs_f64()
                * (template.run_sigma * normal(rng)).exp();
            let declared =
                run * template.declared_factor * (0.5 * normal(rng)).exp();
            let ms = |seconds: f64| (seconds * 1e3).max(500.0) as u64;
            lines.push((
                *time_ms as u64,
                json!({"event": "submit",
                    "job": format!("{}-{number}", template.name),
                    "account": template.account,
                    "template": template.name,
                    "accelerators": accelerators, "within": within,
                    "declared_ms": ms(declared), "actual_ms": ms(run),
                    "repeatable": template.repeatable,
                    "checkpoint": template.checkpoint,
                    "urgent": rng.f64() < template.urgent_share}),
            ));
        }
    }
    lines
}

/// Returns the submissions of the fleet, each with its time in ms.
fn fleet_submissions(hours: f64, rng: &mut Rng) -> Vec<(u64, Value)> {
    let count = (4700.0 * hours / 24.0) as usize;
    let times = arrivals(count, hours * MS_PER_HOUR, rng);
    let lines = times.iter().enumerate().map(|(number, time_ms)| {
        let kind = match rng.f64() {
            x if x < 0.45 => 0,
            x if x < 0.60 => 1,
            _ => 2,
        };
        let shapes = FLEET_SHAPES[kind];
        let (accelerators, within) = shapes[rng.usize(0..shapes.len())];
        let run = 7200.0 * (0.9 * normal(rng)).exp();
        let declared = run * 1.5 * (0.5 * normal(rng)).exp();
        let repeatable = rng.f64() < 0.9;
        let line = json!({"event": "submit", "job": format!("j{number}"),
            "account": format!("team{}", rng.usize(0..60)),
            "template": format!("t{}", rng.usize(0..5) * 3 + kind),
            "accelerators": accelerators, "within": within,
            "declared_ms": (declared * 1e3) as u64,
            "actual_ms": (run * 1e3) as u64, "repeatable": repeatable,
            "checkpoint": repeatable && rng.f64() < 0.8,
            "urgent": kind == 2 && rng.f64() < 0.05});
        (*time_ms as u64, line)
    });
    lines.collect()
}

fn worker_event(event: &str, worker: &str) -> Value {
    json!({"event": event, "worker": worker})
}

/// Returns fault events, each with its time in ms: lost, leaving and bad
/// workers that return, the loss of one rack, and waves of cancellations.
fn faults(
    site: &Site,
    jobs: &[(u64, Value)],
    hours: f64,
    rng: &mut Rng,
) -> Vec<(u64, Value)> {
    let span = (hours * MS_PER_HOUR) as u64;
    let workers: Vec<&String> = site.racks.iter().flatten().collect();
    let mut lines = Vec::new();
    let rounds = (workers.len() as f64 / 11.0 * hours / 8.0).ceil() as usize;
    let kinds = [
        ("worker_fail", "worker_return"),
        ("worker_leaving", "worker_return"),
        ("worker_bad", "worker_good"),
    ];
    for (start_event, end_event) in kinds.iter().cycle().take(rounds * 3) {
        let worker = workers[rng.usize(0..workers.len())];
        let from = rng.u64(0..span);
        let until = from + rng.u64(300_000..3_600_000);
        lines.push((from, worker_event(start_event, worker)));
        lines.push((until, worker_event(end_event, worker)));
    }
    let rack = &site.racks[rng.usize(0..site.racks.len())];
    let from = rng.u64(span / 4..span * 3 / 4);
    for worker in rack {
        lines.push((from, worker_event("worker_fail", worker)));
        let until = from + 1_800_000;
        lines.push((until, worker_event("worker_return", worker)));
    }
    for _ in 0..2 {
        let wave = rng.u64(span / 8..span);
        let recent = jobs.iter().filter(|(time_ms, _)| {
            *time_ms < wave && *time_ms + 1_200_000 > wave
        });
        for (_, job) in recent.filter(|_| rng.f64() < 0.5) {
            let cancel = json!({"event": "cancel", "job": job["job"]});
            lines.push((wave, cancel));
        }
    }
    lines
}

/// Returns the site of a name and its templates; the fleet has none.
fn site(name: &str) -> Option<(Site, &'static [Template])> {
    let shape =
        |n: u32, within: &str| json!({"accelerators": n, "within": within});
    match name {
        "wiezogrod" => {
            let accounts = json!([
                {"account": "players", "borrow": 64, "guarantee":
                    [shape(8, "worker"), shape(4, "worker")]},
                {"account": "bots", "borrow": 64, "guarantee":
                    [shape(16, "rack"), shape(8, "worker")]},
                {"account": "ladder", "borrow": 64, "guarantee":
                    [shape(8, "worker")]},
                {"account": "designers", "borrow": 64, "guarantee":
                    [shape(4, "worker"), shape(4, "worker")]},
            ]);
            Some((small_site(name, accounts), WIEZOGROD))
        }
        "vedurskra" => {
            let accounts = json!([
                {"account": "council", "borrow": 64, "guarantee":
                    [shape(4, "worker"), shape(4, "worker")]},
                {"account": "researchers", "borrow": 64, "guarantee":
                    [shape(24, "hall"), shape(8, "worker")]},
                {"account": "planners", "borrow": 64, "guarantee":
                    [shape(8, "worker")]},
                {"account": "archive", "borrow": 64, "guarantee":
                    [shape(8, "worker")]},
            ]);
            Some((small_site(name, accounts), VEDURSKRA))
        }
        "fleet" => Some((fleet(), &[])),
        _ => None,
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let usage = "usage: make-trace SITE HOURS LOAD FAULTS SEED";
    let [name, hours, load, kind, seed] = &args[..] else {
        eprintln!("{usage}");
        std::process::exit(2);
    };
    let numbers = (hours.parse(), load.parse::<f64>(), seed.parse());
    let (Some((site, templates)), (Ok(hours), Ok(load), Ok(seed))) =
        (site(name), numbers)
    else {
        eprintln!("{usage}");
        std::process::exit(2);
    };
    let mut rng = Rng::with_seed(seed);
    let mut lines = match templates {
        [] => fleet_submissions(hours, &mut rng),
        _ => submissions(templates, &site, hours, load, &mut rng),
    };
    if kind == "faults" {
        let fault_lines = faults(&site, &lines, hours, &mut rng);
        lines.extend(fault_lines);
    }
    lines.sort_by_key(|(time_ms, _)| *time_ms);
    println!("{}", site.header);
    for (at_ms, mut line) in lines {
        line["at_ms"] = json!(at_ms);
        println!("{line}");
    }
}
