//! A wide job comes beside the others.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::site::Site;

/// A job of one task, which runs when the wide job comes.
const OTHER: &str = "5c0e7a21d94b0001";
/// The wide job.
const WIDE: &str = "5c0e7a21d94b0002";
/// The tasks of the wide job, all of which fit on one worker.
const TASKS: u32 = 2400;
/// The tasks of that job without the trouble.
const FEW_TASKS: u32 = 100;
/// The workers: there is more than twice the room that the job needs.
const WORKERS: usize = 3;
/// For how long nothing of a job may run that could.
const IDLE_MS: u64 = 3000;
/// The longest specification, in bytes.
const SPEC_BYTES: usize = 4000;

/// Plays the case; returns whether the rule was broken.
pub fn play(trouble: bool, record: &Path) -> bool {
    let site = Site::start(&[&["a", "r1-1"][..]; WORKERS], 3, record);
    let step = json!({"replicas": 1, "cpu": 1000, "memMb": 1024, "gpu": 1,
        "estimateMs": 30000});
    site.submit(OTHER, &json!({"spec": "30000", "steps": [step]}));
    thread::sleep(Duration::from_secs(1));
    let tasks = if trouble { TASKS } else { FEW_TASKS };
    let step = json!({"replicas": tasks, "cpu": 50, "memMb": 64,
        "estimateMs": 1000});
    let spec = format!("{:<SPEC_BYTES$}", "1000 ");
    site.submit(WIDE, &json!({"spec": spec, "steps": [step]}));
    let accepted_ms = site.record.now_ms();
    let until = Instant::now() + Duration::from_secs(60);
    let mut shown = [None, None];
    while Instant::now() < until {
        for (state, id) in shown.iter_mut().zip([OTHER, WIDE]) {
            *state = site.state(id).or(state.take());
        }
        if shown.iter().all(|s| s.as_deref() == Some("succeeded")) {
            break;
        }
        thread::sleep(Duration::from_secs(2));
    }
    let runs = site.record.runs.lock().unwrap().clone();
    let wide = runs.iter().filter(|run| run.task.starts_with(WIDE));
    let now_ms = site.record.now_ms();
    // The latest time at which a task of the job ran.
    let last_ms = wide.clone().map(|run| run.ended.map_or(now_ms, |e| e.0));
    let idle_ms = now_ms - last_ms.max().unwrap_or(accepted_ms);
    site.record.line(format!(
        "the other job is shown as {:?}, the wide job as {:?}; {} runs of it \
         have begun, and for {idle_ms} ms nothing of it has run",
        shown[0],
        shown[1],
        wide.count()
    ));
    let open = shown
        .iter()
        .any(|state| state.as_deref() != Some("succeeded"));
    let broken = open && idle_ms > IDLE_MS;
    let verdict = if broken { "broken" } else { "held" };
    site.record.line(format!("the rule LOST: {verdict}"));
    println!("LOST: {verdict}");
    site.end();
    broken
}
