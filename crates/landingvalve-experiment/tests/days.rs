//! Draws and simulates days, and reads load files.

use std::path::Path;

use landingvalve_experiment::compare;
use landingvalve_experiment::day::Day;
use landingvalve_experiment::load::Load;
use landingvalve_experiment::policy;
use landingvalve_experiment::simulation::simulate;

const LOADS: [&str; 2] = ["loads/small-and-calm.ini", "loads/wide-urgent.ini"];

fn load(name: &str) -> Load {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    Load::read(&path).expect("a load file of this crate")
}

#[test]
fn a_seed_determines_a_day() {
    let load = load(LOADS[0]);
    let policy = policy::parse("").expect("the default policy");
    for seed in 1..4 {
        let [first, second] = [0; 2].map(|_| {
            let day = Day::draw(&load, seed);
            simulate(&load, &day, policy, seed)
        });
        assert_eq!(first, second, "seed {seed}");
    }
    assert_ne!(Day::draw(&load, 1), Day::draw(&load, 2));
}

#[test]
fn a_calm_day_ends_all_jobs_and_earns_most() {
    let mut load = load(LOADS[0]);
    load.patterns.clear();
    for queue in &mut load.queues {
        queue.jobs_per_second /= 4.0;
        queue.failure_share = 0.0;
    }
    let policies = [policy::parse("").expect("the default policy")];
    let days = compare::scores(&load, &policies, 1, 8, 2);
    let earned = compare::mean(&days, 0, |score| score.earned);
    assert!(earned.mean > 0.9, "{earned:?}");
    for score in days.iter().flatten() {
        let ended: u32 = score.queues.iter().map(|q| q.in_time + q.late).sum();
        let submitted: u32 = score.queues.iter().map(|q| q.submitted).sum();
        assert_eq!(ended, submitted, "all jobs end: {score:?}");
    }
}

#[test]
fn a_policy_is_no_better_than_itself() {
    let load = load(LOADS[0]);
    let same = policy::parse("").expect("the default policy");
    let days = compare::scores(&load, &[same, same], 7, 4, 2);
    let difference = compare::difference(&days, 1, |score| score.earned);
    assert_eq!((difference.mean, difference.standard_error), (0.0, 0.0));
}

#[test]
fn load_files_are_read_whole() {
    for name in LOADS {
        let load = load(name);
        assert_eq!(load.queues.len(), 3, "{name}");
        assert!(!load.patterns.is_empty(), "{name}");
    }
}

#[test]
fn an_invalid_value_is_named_in_the_error() {
    let text = std::fs::read_to_string(
        Path::new(env!("CARGO_MANIFEST_DIR")).join(LOADS[0]),
    );
    let text = text.expect("a load file of this crate");
    let cases = [
        ("workers = 12", "workers = many", "[fleet] workers"),
        ("kind = burst", "kind = storm", "[pattern 1] kind"),
        ("width = 3, 0.5, 7", "width = 3", "[queue urgent] width"),
        ("seconds = 60", "", "[day] seconds"),
    ];
    for (from, to, named) in cases {
        let error = Load::parse(&text.replace(from, to));
        let error = error.expect_err(named).to_string();
        assert!(error.starts_with(named), "{error}");
    }
    for bad in ["spare", "spare=much", "colour=1", "spare=-1"] {
        assert!(policy::parse(bad).is_err(), "{bad}");
    }
}
