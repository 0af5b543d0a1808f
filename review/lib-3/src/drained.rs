//! A worker is emptied and taken away with its machine while the store is
//! down, which it is some times more after that.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::site::Site;

/// The job's name.
const JOB: &str = "703169c53c0681c7";
/// The workers.
const WORKERS: usize = 4;
/// How long the store is down.
const OUTAGE: Duration = Duration::from_millis(4500);
/// How often the store is down.
const OUTAGES: u32 = 4;
/// How long the store is up between two outages.
const PAUSE: Duration = Duration::from_millis(7000);
/// After how long without an impairment all machines are in touch.
const CONTACT_MS: u64 = 3000;
/// For how long nothing of a job may run that could.
const IDLE_MS: u64 = 3000;

/// Plays the case; returns whether the rule was broken.
pub fn play(trouble: bool, record: &Path) -> bool {
    let mut site = Site::start(&[&["a", "r1-1"][..]; WORKERS], 3, record);
    let step = |ms: u64| {
        json!({"replicas": 1, "cpu": 11000, "memMb": 16000, "gpu": 1,
            "estimateMs": ms})
    };
    let mut second = step(4000);
    second["dependsOn"] = json!([0]);
    let steps = [step(4000), second];
    site.submit(JOB, &json!({"spec": "4000", "steps": steps}));
    thread::sleep(Duration::from_millis(500));
    let Some(here) = site.workers.iter().position(|w| w.running() > 0) else {
        site.give_up("the task does not run");
    };
    let worker = site.workers[here].clone();
    let mut calm_ms = site.record.now_ms();
    if trouble {
        // The task ends 1 s after the beginning of the outage, and the worker
        // 1 s later.
        worker.drain(Duration::from_millis(4500));
        thread::sleep(Duration::from_millis(2500));
        site.store.go_down(OUTAGE);
        thread::sleep(Duration::from_millis(2000));
        worker.leave();
        site.record.line("its machine leaves for good");
        site.agents[here].kill();
        thread::sleep(Duration::from_millis(2500));
        calm_ms = site.record.now_ms() + CONTACT_MS;
        for _ in 1..OUTAGES {
            thread::sleep(PAUSE);
            site.store.go_down(OUTAGE);
            thread::sleep(OUTAGE);
        }
    }
    let until = Instant::now() + Duration::from_secs(35);
    let mut shown = None;
    while Instant::now() < until && shown.as_deref() != Some("succeeded") {
        shown = site.state(JOB).or(shown);
        thread::sleep(Duration::from_secs(1));
    }
    // The longest time in which nothing of the job ran, from when on all was
    // calm after the first outage.
    let runs = site.record.runs.lock().unwrap().clone();
    let now_ms = site.record.now_ms();
    let mut spans: Vec<(u64, u64)> = runs
        .iter()
        .map(|run| (run.began_ms, run.ended.map_or(now_ms, |end| end.0)))
        .collect();
    spans.sort();
    let mut idle_ms = 0;
    let mut last_ms = calm_ms;
    for (began, ended) in spans {
        idle_ms = idle_ms.max(began.saturating_sub(last_ms));
        last_ms = last_ms.max(ended);
    }
    if shown.as_deref() != Some("succeeded") {
        idle_ms = idle_ms.max(now_ms.saturating_sub(last_ms));
    }
    let broken = idle_ms > IDLE_MS;
    let verdict = if broken { "broken" } else { "held" };
    site.record.line(format!(
        "the rule LOST: {verdict}; the job is shown as {shown:?}; from 3 s \
         after the first outage on nothing of it ran for {idle_ms} ms, and \
         {IDLE_MS} ms are allowed"
    ));
    println!("LOST: {verdict}");
    site.end();
    broken
}
