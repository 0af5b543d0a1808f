//! What was sent, answered and run, in the order in which it happened.

use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A run of a task, as the workers saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub began_ms: u64,
    /// When and how the run ended.
    pub ended: Option<(u64, &'static str)>,
    /// When the end was taken note of, unless the worker's lease had lapsed
    /// between.
    pub noted_ms: Option<u64>,
}

/// The record of a script.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
    pub runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            started: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    /// Returns the time since the start in ms.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>6} ms  {}", self.now_ms(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn save(&self, path: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(error) = fs::write(path, text) {
            eprintln!("{}: {error}", path.display());
            std::process::exit(2);
        }
    }

    pub fn begin(&self, task: &str, run: u64, worker: &str) {
        self.line(format!("{worker}: {task} run {run} begins"));
        self.runs.lock().unwrap().push(Run {
            task: task.to_owned(),
            run,
            worker: worker.to_owned(),
            began_ms: self.now_ms(),
            ended: None,
            noted_ms: None,
        });
    }

    pub fn end(&self, task: &str, run: u64, worker: &str, how: &'static str) {
        self.line(format!("{worker}: {task} run {run} ends: {how}"));
        let now = self.now_ms();
        let mut runs = self.runs.lock().unwrap();
        let found = runs
            .iter_mut()
            .find(|r| r.task == task && r.run == run && r.worker == worker);
        if let Some(found) = found {
            found.ended = Some((now, how));
        }
    }

    pub fn note(&self, task: &str, run: u64, worker: &str) {
        self.line(format!(
            "{worker}: the end of {task} run {run} is taken note of"
        ));
        let now = self.now_ms();
        let mut runs = self.runs.lock().unwrap();
        let found = runs
            .iter_mut()
            .find(|r| r.task == task && r.run == run && r.worker == worker);
        if let Some(found) = found {
            found.noted_ms = Some(now);
        }
    }
}
