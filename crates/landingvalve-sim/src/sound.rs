//! Draws of a sound day: nothing fails, while jobs are cancelled or hopeless,
//! workers join and the configuration changes.

use std::collections::BTreeSet;
use std::time::Duration;

use landingvalve::cell::configuration::Configuration;
use landingvalve::cell::configuration::Keys;
use landingvalve::graph::Resources;
use landingvalve::graph::SharedStr;
use landingvalve::graph::Step;
use landingvalve::store::Mutation;
use tokio::time::Instant;

use crate::worker;

/// Keys of the configuration.
pub const KEYS: Keys = Keys {
    prefix: "op/",
    configuration: "op/config",
    closed: "op/closed/",
};
/// Time within which a changed configuration is in force.
pub const APPLY_BOUND: Duration = Duration::from_secs(5);

/// Distinguishes the draws of sound days from the others of a seed.
const SEED: u64 = 0x0073_6f75_6e64;
/// Halls of the site.
const HALLS: usize = 3;
/// Client accounts that submit jobs.
const ACCOUNTS: [&str; 3] = ["account", "account-1", "account-2"];
/// Largest guarantee of an account, in accelerators.
const MAX_GUARANTEE: i64 = 24;
/// Mean time from one change of the configuration to the next.
const MEAN_CHANGE_INTERVAL: Duration = Duration::from_millis(3000);
/// Mean time from one worker that joins to the next.
const MEAN_JOIN_INTERVAL: Duration = Duration::from_millis(8000);
/// Largest number of workers that join.
const MAX_JOINING: usize = 5;
/// Longest work of a task, in ms.
const MAX_WORK_MS: u64 = 5000;
/// Longest time to a cancel that comes soon after the submission, in ms.
const MAX_SOON_MS: u64 = 1000;
/// Longest time to any other cancel, in ms.
const MAX_CANCEL_MS: u64 = 8000;
/// Times after which a job that cannot begin is cancelled, in ms.
const GIVE_UP_MS: std::ops::Range<u64> = 2000..15_000;
/// Number of members of a gang that is wider than any site.
const TOO_WIDE: u32 = 200;

/// What is hopeless about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hopeless {
    /// A gang is wider than the site.
    TooWide,
    /// A task is larger than any worker.
    TooLarge,
    /// Its tasks fail each time.
    Failing,
}

/// What is drawn of a job beside its steps.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Account that submits the job.
    pub account: SharedStr,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Time that each of its tasks works.
    pub work: Duration,
    /// What is hopeless about it, if anything is.
    pub hopeless: Option<Hopeless>,
    /// How long after its submission it is cancelled, if it is.
    pub cancel_after: Option<Duration>,
}

/// The draws of a sound day.
pub struct Draws {
    random: fastrand::Rng,
    closed: BTreeSet<usize>,
    version: u64,
    joined: usize,
    next_change: Instant,
    next_join: Instant,
}

impl Draws {
    /// Returns the draws of a seed, for a day that starts now.
    pub fn new(seed: u64) -> Draws {
        Draws {
            random: fastrand::Rng::with_seed(seed ^ SEED),
            closed: BTreeSet::new(),
            version: 0,
            joined: 0,
            next_change: Instant::now(),
            next_join: Instant::now() + MEAN_JOIN_INTERVAL / 2,
        }
    }

    /// Returns the hall of a worker.
    pub fn hall(at: usize) -> String {
        format!("hall-{}", at % HALLS)
    }

    /// Returns whether a worker joins now.
    pub fn joins(&mut self, now: Instant) -> bool {
        if now < self.next_join || self.joined == MAX_JOINING {
            return false;
        }
        let share = 2.0 * self.random.f64();
        self.next_join = now + MEAN_JOIN_INTERVAL.mul_f64(share);
        self.joined += 1;
        true
    }

    /// Returns the change of the configuration that an operator makes now, if
    /// any.
    pub fn change(&mut self, now: Instant) -> Option<Mutation> {
        if now < self.next_change {
            return None;
        }
        let share = 2.0 * self.random.f64();
        self.next_change = now + MEAN_CHANGE_INTERVAL.mul_f64(share);
        let hall = self.random.usize(..HALLS);
        match self.random.u32(..3) {
            0 => Some(self.draw_configuration()),
            _ if self.closed.remove(&hall) => {
                Some(Mutation::Delete(closed_key(hall)))
            }
            _ if self.closed.is_empty() => {
                self.closed.insert(hall);
                Some(Mutation::Value(closed_key(hall), Vec::new(), 0))
            }
            _ => Some(self.draw_configuration()),
        }
    }

    /// Returns the changes that open all halls again.
    pub fn open_halls(&mut self) -> Vec<Mutation> {
        let closed = std::mem::take(&mut self.closed);
        let keys = closed.into_iter().map(closed_key);
        keys.map(Mutation::Delete).collect()
    }

    fn draw_configuration(&mut self) -> Mutation {
        self.version += 1;
        let guarantees = ACCOUNTS.map(|_| self.random.i64(0..=MAX_GUARANTEE));
        let value = serde_json::json!([self.version, guarantees]);
        let value = value.to_string().into_bytes();
        Mutation::Value(KEYS.configuration.to_owned(), value, 0)
    }

    /// Returns a job's draws.
    pub fn draw_job(&mut self) -> Plan {
        let steps = self.random.usize(1..=2);
        let mut steps: Vec<Step> =
            (0..steps).map(|at| self.draw_step(at)).collect();
        let hopeless = match self.random.u32(..24) {
            0 => Some(Hopeless::TooWide),
            1 => Some(Hopeless::TooLarge),
            2 => Some(Hopeless::Failing),
            _ => None,
        };
        let last = steps.len() - 1;
        match hopeless {
            Some(Hopeless::TooWide) => {
                steps[last].gang = true;
                steps[last].replicas = TOO_WIDE;
            }
            Some(Hopeless::TooLarge) => {
                steps[last].resources.accelerators = worker::ACCELERATORS + 1;
            }
            Some(Hopeless::Failing) | None => {}
        }
        let work_ms = self.random.u64(200..MAX_WORK_MS);
        Plan {
            account: ACCOUNTS[self.random.usize(..ACCOUNTS.len())].into(),
            steps,
            work: Duration::from_millis(work_ms),
            hopeless,
            cancel_after: self.draw_cancel(hopeless),
        }
    }

    fn draw_cancel(&mut self, hopeless: Option<Hopeless>) -> Option<Duration> {
        let ms = match (hopeless, self.random.u32(..8)) {
            (Some(Hopeless::TooWide | Hopeless::TooLarge), _) => {
                self.random.u64(GIVE_UP_MS)
            }
            (_, 0) => self.random.u64(..MAX_SOON_MS),
            (_, 1) => self.random.u64(..MAX_CANCEL_MS),
            _ => return None,
        };
        Some(Duration::from_millis(ms))
    }

    fn draw_step(&mut self, at: usize) -> Step {
        let gang = self.random.u32(..3) > 0;
        Step {
            replicas: match gang {
                true => self.random.u32(2..=6),
                false => self.random.u32(1..=3),
            },
            resources: Resources {
                cpu: 1000,
                memory: 1000,
                accelerators: [1, 2, 4, 8][self.random.usize(..4)],
            },
            estimate: Duration::from_secs(2),
            after: (0..at).collect(),
            gang,
            ..Step::default()
        }
    }
}

fn closed_key(hall: usize) -> String {
    format!("{}hall-{hall}", KEYS.closed)
}

/// Decodes a configuration that a sound day has written.
///
/// # Errors
///
/// If the value is none that was written.
pub fn decode(value: &[u8]) -> Result<Configuration, serde_json::Error> {
    let (version, guarantees): (u64, [i64; ACCOUNTS.len()]) =
        serde_json::from_slice(value)?;
    let accounts = ACCOUNTS.map(SharedStr::from);
    Ok(Configuration {
        version,
        guarantees: accounts.into_iter().zip(guarantees).collect(),
        ..Configuration::default()
    })
}
