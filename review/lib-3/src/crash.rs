//! One worker of ten crashes four times.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::record::Run;
use crate::site::Site;

/// How long the worker is down.
const DOWN: Duration = Duration::from_millis(700);
/// How long after its return it crashes again.
const UP: Duration = Duration::from_millis(700);
/// How often it crashes.
const CRASHES: u32 = 4;
/// How long the jobs have, once the worker stays up.
const CALM: Duration = Duration::from_secs(20);
/// A job of one task of 2.5 s.
const SHORT: &str = "5c0e7a21d94b36f8";
/// A job of one task that lasts.
const LASTING: &str = "5c0e7a21d94b36f9";

/// Plays the case; returns whether the rule was broken.
pub fn play(trouble: bool, record: &Path) -> bool {
    let mut labels: Vec<&[&str]> = vec![&["a", "r1-1"]; 9];
    labels.push(&["b", "r1-2"]);
    let site = Site::start(&labels, 3, record);
    let odd = site.workers.last().expect("a worker").clone();
    let mut step = json!({"replicas": 1, "cpu": 15000, "memMb": 39000,
        "gpu": 4, "estimateMs": 2500, "requirements": "b"});
    site.submit(SHORT, &json!({"spec": "2500", "steps": [step.clone()]}));
    step["longRunning"] = json!(true);
    site.submit(LASTING, &json!({"spec": "3600000", "steps": [step]}));
    thread::sleep(Duration::from_millis(500));
    for _ in 0..CRASHES {
        if trouble {
            odd.crash();
            thread::sleep(DOWN);
            odd.come_up();
            thread::sleep(UP);
        }
    }
    let until = Instant::now() + CALM;
    let mut shown = [None, None];
    while Instant::now() < until {
        for (state, id) in shown.iter_mut().zip([SHORT, LASTING]) {
            *state = site.state(id).or(state.take());
        }
        thread::sleep(Duration::from_millis(2000));
    }
    let runs = site.record.runs.lock().unwrap().clone();
    let mut broken = false;
    for (state, id) in shown.iter().zip([SHORT, LASTING]) {
        let of_job = |run: &&Run| run.task.starts_with(id);
        let began = runs.iter().filter(of_job).count();
        let failed = runs
            .iter()
            .filter(of_job)
            .filter(|run| run.ended.is_some_and(|(_, how)| how == "failed"));
        let failed = failed.count();
        site.record.line(format!(
            "{id} is shown as {state:?} after {began} runs, of which {failed} \
             ended failed"
        ));
        broken |= state.as_deref() == Some("failed") && failed == 0;
    }
    let verdict = if broken { "broken" } else { "held" };
    site.record.line(format!("the rule LOST: {verdict}"));
    println!("LOST: {verdict}");
    site.end();
    broken
}
