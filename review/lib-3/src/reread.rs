//! The planner's process is killed, and while the next one reads the records
//! the store is down for two seconds.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::record::Run;
use crate::site::Site;
use crate::store::Outage;

/// How long after its end the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// How long the store is down.
const OUTAGE: Duration = Duration::from_millis(1955);
/// The workers.
const WORKERS: usize = 6;
/// The jobs, each of one task on one accelerator.
const JOBS: u64 = 48;

/// Plays the case; returns whether the rule was broken.
pub fn play(trouble: bool, record: &Path) -> bool {
    let mut site = Site::start(&[&["a", "r1-1"][..]; WORKERS], 3, record);
    let id = |number: u64| format!("5c0e7a21d94b{number:04x}");
    for number in 0..JOBS {
        // All jobs end at about the same time, while there is no planner. A
        // submission takes 8 ms.
        let work = 1950 - 8 * number;
        let step = json!({"replicas": 1, "cpu": 1000, "memMb": 1024,
            "gpu": 1, "estimateMs": work});
        let job = json!({"spec": work.to_string(), "steps": [step]});
        site.submit(&id(number), &job);
    }
    thread::sleep(Duration::from_millis(1000));
    let running: usize = site.workers.iter().map(|w| w.running()).sum();
    site.record.line(format!("{running} tasks run"));
    if trouble {
        site.store.arm(Outage {
            begins_with: "kv-range?lv/part/".to_owned(),
            lasts: OUTAGE,
        });
        site.record.line("the entry is killed");
        site.entry.kill();
        thread::sleep(RESTART_DELAY);
        site.record.line("the entry is started again");
        site.entry.start();
    }
    let until = Instant::now() + Duration::from_secs(25);
    thread::sleep(until - Instant::now());
    for number in 0..JOBS {
        site.state(&id(number));
    }
    if trouble && site.store.outages() == 0 {
        site.give_up("no planner read the records");
    }
    let runs = site.record.runs.lock().unwrap().clone();
    let mut broken = false;
    for (first, second) in pairs(&runs) {
        let noted = first.ended.is_some_and(|(_, how)| how == "done")
            && first.noted_ms.is_some()
            && first.ended.is_some_and(|(at, _)| at <= second.began_ms);
        let together = match first.ended {
            None => true,
            Some((at, _)) => second.began_ms < at,
        };
        if noted || together {
            broken = true;
            site.record.line(format!(
                "TWICE: {} run {} began at {} ms; run {} had ended {:?}, \
                 which was taken note of at {:?} ms",
                second.task,
                second.run,
                second.began_ms,
                first.run,
                first.ended,
                first.noted_ms
            ));
        }
    }
    let verdict = if broken { "broken" } else { "held" };
    site.record.line(format!("the rule TWICE: {verdict}"));
    println!("TWICE: {verdict}");
    site.end();
    broken
}

/// Returns the pairs of runs of one task, the earlier one first.
fn pairs(runs: &[Run]) -> Vec<(Run, Run)> {
    let mut pairs = Vec::new();
    for (index, second) in runs.iter().enumerate() {
        let earlier = runs[..index].iter();
        let earlier = earlier.filter(|first| first.task == second.task);
        pairs.extend(earlier.map(|first| (first.clone(), second.clone())));
    }
    pairs
}
