//! A machine leaves for good, without a word, with the worker and the agent
//! on it.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::site::Site;

/// The job's name.
const JOB: &str = "7d21c09e55a0b3f4";
/// From when on after its last run a task that lasts is missed, and for how
/// long it has to be away.
const MISSED_AFTER_MS: u64 = 6000 + 3000;
/// The workers.
const WORKERS: usize = 4;

/// Plays the case; returns whether the rule was broken.
pub fn play(trouble: bool, record: &Path) -> bool {
    let mut site = Site::start(&[&["a", "r1-1"][..]; WORKERS], 3, record);
    let step = json!({"replicas": 1, "cpu": 15000, "memMb": 39000, "gpu": 4,
        "estimateMs": 2500, "longRunning": true});
    let job = json!({"spec": "3600000", "steps": [step]});
    site.submit(JOB, &job);
    thread::sleep(Duration::from_secs(5));
    let Some(here) = site.workers.iter().position(|w| w.running() > 0) else {
        site.give_up("the task does not run");
    };
    let left_ms = site.record.now_ms();
    if trouble {
        site.record.line("the machine leaves for good");
        site.agents[here].kill();
        site.workers[here].crash();
    }
    let until = Instant::now() + Duration::from_secs(25);
    while Instant::now() < until {
        site.state(JOB);
        thread::sleep(Duration::from_secs(1));
    }
    let runs = site.record.runs.lock().unwrap().clone();
    let next = runs.iter().map(|run| run.began_ms);
    let next = next.filter(|began| *began > left_ms).min();
    let end = next.unwrap_or_else(|| site.record.now_ms());
    let away = if trouble { end - left_ms } else { 0 };
    let broken = away > MISSED_AFTER_MS;
    let verdict = if broken { "broken" } else { "held" };
    site.record.line(format!(
        "the rule LOST: {verdict}; the task was away for {away} ms, and \
         {MISSED_AFTER_MS} ms are allowed"
    ));
    println!("LOST: {verdict}");
    site.end();
    broken
}
