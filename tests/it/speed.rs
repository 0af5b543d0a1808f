//! The estimates of workers' speeds.
//!
//! Guards against workers that count as equally fast although one needs twice
//! the time of another, and against differences that are only chance.

use std::time::Duration;
use std::time::Instant;

use landingvalve::graph::AgentId;
use landingvalve::graph::Speeds;

/// The number of drawn fleets.
const FLEETS: u64 = 100;
/// How much the tasks of a step differ, as a standard deviation.
const NOISE: f64 = 0.15;

/// Runs of drawn steps on a drawn fleet.
struct Fleet {
    random: fastrand::Rng,
    speeds: Vec<f64>,
    estimates: Speeds,
    steps: u32,
}

impl Fleet {
    fn new(seed: u64, speeds: &[f64]) -> Fleet {
        Fleet {
            random: fastrand::Rng::with_seed(seed),
            speeds: speeds.to_vec(),
            estimates: Speeds::default(),
            steps: 0,
        }
    }

    /// Returns a normal draw.
    fn noise(&mut self) -> f64 {
        let sum: f64 = (0..12).map(|_| self.random.f64()).sum();
        (sum - 6.0) * NOISE
    }

    fn agent(worker: usize) -> AgentId {
        format!("agent-{worker}").into()
    }

    /// Runs a step of `tasks` tasks on random workers.
    fn run_step(&mut self, tasks: u32) {
        let work = 2.0 + self.random.f64() * 10.0;
        let step = (format!("job-{}", self.steps).into(), 0, 0);
        self.steps += 1;
        for task in 0..tasks {
            let worker = self.random.usize(0..self.speeds.len());
            let time = work / self.speeds[worker] * self.noise().exp();
            // One run in twenty is slow for another reason.
            let slow = self.random.u32(0..20) == 0;
            let time = if slow { time * 3.0 } else { time };
            let time = Duration::from_secs_f64(time);
            let agent = Fleet::agent(worker);
            self.estimates.record(&step, task, &agent, time);
        }
    }

    fn estimate(&mut self) {
        self.estimates.estimate(Instant::now());
    }

    /// Returns the share of the pairs of workers that differ by at least
    /// `ratio` whose order is right.
    fn ordered(&self, ratio: f64) -> f64 {
        let (mut right, mut all) = (0.0, 0.0);
        for (slow, slow_speed) in self.speeds.iter().enumerate() {
            for (fast, fast_speed) in self.speeds.iter().enumerate() {
                if *fast_speed < slow_speed * ratio * 0.999 {
                    continue;
                }
                let of = |worker| self.estimates.of(&Fleet::agent(worker));
                all += 1.0;
                right += f64::from(of(slow) < of(fast));
            }
        }
        right / all
    }
}

/// Returns a fleet of `workers` of three speeds in turn.
fn three_speeds(speeds: [f64; 3], workers: usize) -> Vec<f64> {
    speeds.into_iter().cycle().take(workers).collect()
}

#[test]
fn workers_that_differ_by_a_quarter_are_ordered_after_eight_runs_each() {
    let mut right = 0.0;
    for seed in 0..FLEETS {
        let mut fleet = Fleet::new(seed, &three_speeds([0.8, 1.0, 1.25], 60));
        for _ in 0..12 {
            fleet.run_step(40);
        }
        fleet.estimate();
        right += fleet.ordered(1.25);
    }
    let share = right / FLEETS as f64;
    assert!(share >= 0.95, "{share} of the pairs are ordered");
}

#[test]
fn workers_that_differ_by_a_factor_are_ordered_after_two_runs_each() {
    let mut right = 0.0;
    for seed in 0..FLEETS {
        let mut fleet = Fleet::new(seed, &three_speeds([0.6, 1.0, 1.6], 60));
        for _ in 0..4 {
            fleet.run_step(40);
        }
        fleet.estimate();
        right += fleet.ordered(1.6);
    }
    let share = right / FLEETS as f64;
    assert!(share >= 0.9, "{share} of the pairs are ordered");
}

#[test]
fn equal_workers_are_not_told_apart() {
    for seed in 0..FLEETS {
        for steps in [1, 2, 4, 16] {
            let mut fleet = Fleet::new(seed, &[1.0; 60]);
            for _ in 0..steps {
                fleet.run_step(40);
            }
            fleet.estimate();
            let speeds = (0..60).map(|w| fleet.estimates.of(&Fleet::agent(w)));
            let largest = speeds.map(f64::abs).fold(0.0, f64::max);
            assert!(largest < 0.2, "seed {seed}, {steps} steps: {largest}");
        }
    }
}

#[test]
fn fastest_workers_are_known_by_their_speed() {
    let mut fleet = Fleet::new(1, &three_speeds([0.6, 1.0, 1.6], 60));
    for _ in 0..12 {
        fleet.run_step(40);
    }
    fleet.estimate();
    let ratio = fleet.estimates.fastest().exp();
    assert!((1.4..1.8).contains(&ratio), "{ratio}");
}

#[test]
fn forgotten_worker_counts_as_one_of_the_middle() {
    let mut fleet = Fleet::new(1, &three_speeds([0.6, 1.0, 1.6], 60));
    for _ in 0..12 {
        fleet.run_step(40);
    }
    fleet.estimate();
    let agent = Fleet::agent(0);
    assert!(fleet.estimates.of(&agent) < -0.3);
    fleet.estimates.forget(&agent);
    assert!(fleet.estimates.of(&agent) == 0.0);
}

/// Guards against a planner that treats fast and slow workers alike until runs
/// have shown them again.
#[test]
fn next_planner_knows_what_the_last_one_has_learned() {
    let speeds = three_speeds([0.6, 1.0, 1.6], 60);
    let mut fleet = Fleet::new(1, &speeds);
    for _ in 0..12 {
        fleet.run_step(40);
    }
    fleet.estimate();
    let mut next = Fleet::new(2, &speeds);
    for worker in 0..60 {
        let agent = Fleet::agent(worker);
        let learned = fleet.estimates.learned(&agent);
        next.estimates
            .adopt(&agent, learned.expect("runs were seen"));
    }
    next.estimate();
    assert!(next.ordered(1.6) > 0.95, "{}", next.ordered(1.6));
}
