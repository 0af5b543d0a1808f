//! A worker that is told by calls what to run, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use serde_json::Value;

use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::http::Server;
use crate::record::Record;

/// How often tasks and leases are looked at.
const STEP: Duration = Duration::from_millis(3);
/// How often a worker reports, `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// The longest lease, `holdMaxMs` of the settings.
const LONGEST_LEASE_MS: u64 = 6000;
/// How long a stop takes, less than `stop_ms` of the settings.
const STOP_TIME: Duration = Duration::from_millis(60);
/// The worker's clock at the start of a life.
const FIRST_MS: u64 = 400_000;

/// What a worker is.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: String,
    /// Where it accepts calls.
    pub app: SocketAddr,
    /// Where it reports.
    pub control: SocketAddr,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub gpus: u64,
}

struct Running {
    run: u64,
    began: Instant,
    work: Duration,
    stops_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct Life {
    id: String,
    began: Instant,
    fence: u64,
    lease_until: Instant,
    running: BTreeMap<String, Running>,
    ends: Vec<End>,
    last_end: u64,
    /// The number of the last end before the lease last ran out.
    lapsed_end: u64,
    /// The highest run of each task that stopped or ended here.
    barred: BTreeMap<String, u64>,
    sequence: u64,
    /// When the worker ends, once it drains.
    ends_at: Option<Instant>,
}

struct State {
    lives: u32,
    life: Option<Life>,
    server: Option<Server>,
}

/// A worker. Clones share it.
#[derive(Clone)]
pub struct Worker {
    pub kind: Arc<Kind>,
    state: Arc<Mutex<State>>,
    record: Arc<Record>,
}

impl Worker {
    /// Starts a worker.
    pub fn start(kind: Kind, record: Arc<Record>) -> Worker {
        let worker = Worker {
            kind: Arc::new(kind),
            state: Arc::new(Mutex::new(State {
                lives: 0,
                life: None,
                server: None,
            })),
            record,
        };
        worker.come_up();
        let ticking = worker.clone();
        thread::spawn(move || loop {
            thread::sleep(STEP);
            ticking.tick();
        });
        let reporting = worker.clone();
        thread::spawn(move || loop {
            reporting.report();
        });
        worker
    }

    /// Begins a life, under a new id.
    pub fn come_up(&self) {
        let mut state = self.state.lock().unwrap();
        state.lives += 1;
        let id = format!("i-{}-{}", self.kind.name, state.lives);
        self.record.line(format!("{id}: is up"));
        let now = Instant::now();
        state.life = Some(Life {
            id,
            began: now,
            fence: 0,
            lease_until: now,
            running: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            lapsed_end: 0,
            barred: BTreeMap::new(),
            sequence: 0,
            ends_at: None,
        });
        let serving = self.clone();
        state.server = Some(Server::start(
            self.kind.app,
            Arc::new(move |request| serving.handle(&request)),
        ));
    }

    /// Ends a life with all that runs, without a word.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        let server = state.server.take();
        if let Some(life) = state.life.take() {
            self.record.line(format!("{}: ends", life.id));
            for (task, running) in &life.running {
                let run = running.run;
                self.record.end(task, run, &life.id, "lost with its worker");
            }
        }
        drop(state);
        if let Some(server) = server {
            server.close();
        }
    }

    /// Announces that the worker ends after some time.
    pub fn drain(&self, within: Duration) {
        let mut state = self.state.lock().unwrap();
        if let Some(life) = &mut state.life {
            self.record.line(format!("{}: drains", life.id));
            life.ends_at = Some(Instant::now() + within);
        }
    }

    /// Says goodbye and ends.
    pub fn leave(&self) {
        let id = {
            let state = self.state.lock().unwrap();
            state.life.as_ref().map(|life| life.id.clone())
        };
        if let Some(id) = id {
            let path = format!("/api/pool/{id}");
            let limit = Duration::from_secs(1);
            let headers = [("host", "agent")];
            let control = self.kind.control;
            let reply =
                http::call(control, "DELETE", &path, &headers, "", limit);
            let status = reply.map(|(status, _)| status);
            self.record
                .line(format!("{id}: says goodbye -> {status:?}"));
        }
        self.crash();
    }

    /// Returns how many tasks run.
    pub fn running(&self) -> usize {
        let state = self.state.lock().unwrap();
        state.life.as_ref().map_or(0, |life| life.running.len())
    }

    fn report(&self) {
        let drains;
        let (id, body) = {
            let mut state = self.state.lock().unwrap();
            let Some(life) = &mut state.life else {
                drop(state);
                thread::sleep(STEP);
                return;
            };
            life.sequence += 1;
            let gpus = self.kind.gpus;
            let mut body = json!({
                "service": self.kind.service,
                "address": self.kind.app.to_string(),
                "zone": self.kind.zone, "version": "v1", "slots": 8,
                "state": "ready", "coldLeftMs": 0,
                "capacity": {"cpu": 128_000, "memMb": 262_144, "gpu": gpus},
                "labels": self.kind.labels,
                "currentTimeMs": life.time_ms(),
                "sequence": life.sequence,
            });
            drains = life.ends_at.is_some();
            if let Some(ends_at) = life.ends_at {
                let left = ends_at.saturating_duration_since(Instant::now());
                body["state"] = json!("draining");
                body["remainingMs"] = json!(left.as_millis() as u64);
            }
            (life.id.clone(), body)
        };
        let path = format!("/api/pool/{id}");
        let headers =
            [("host", "agent"), ("content-type", "application/json")];
        let reply = http::call(
            self.kind.control,
            "PUT",
            &path,
            &headers,
            &body.to_string(),
            Duration::from_secs(1),
        );
        let taken = matches!(reply, Some((200..=299, _)));
        let began = Instant::now();
        let wait = if taken { HEARTBEAT } else { HEARTBEAT / 10 };
        if taken && drains {
            self.record
                .line(format!("{id}: `draining` is acknowledged"));
        }
        // A new life reports at once, and one that begins to drain.
        while began.elapsed() < wait {
            thread::sleep(STEP);
            let state = self.state.lock().unwrap();
            let news = state.life.as_ref().is_some_and(|life| {
                life.id != id || !drains && life.ends_at.is_some()
            });
            if news {
                return;
            }
        }
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let Some(life) = &mut state.life else {
            return;
        };
        let lapsed = now >= life.lease_until;
        let mut over = Vec::new();
        for (task, running) in &life.running {
            let done = now >= running.began + running.work;
            let stopped = running.stops_at.is_some_and(|at| now >= at);
            if lapsed {
                over.push((task.clone(), "lapsed"));
            } else if stopped {
                over.push((task.clone(), "stopped"));
            } else if done && running.stops_at.is_none() {
                over.push((task.clone(), "done"));
            }
        }
        for (task, how) in over {
            life.end(&task, how, &self.record);
        }
        if lapsed {
            life.lapsed_end = life.last_end;
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        let body: Value =
            serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        let wait = match request.path.as_str() {
            "/api/hold" => body["waitMs"].as_u64().unwrap_or(0).min(2000),
            _ => 0,
        };
        let until = Instant::now() + Duration::from_millis(wait);
        let mut first = true;
        loop {
            let mut state = self.state.lock().unwrap();
            let Some(life) = &mut state.life else {
                return Answer::Silence;
            };
            let expected = request.header("expected-instance");
            if expected.is_some_and(|expected| expected != life.id) {
                return Answer::Send(421, "{}".to_owned());
            }
            if token < life.fence {
                return life.refuse("fence");
            }
            life.fence = token;
            if first {
                life.take_lease(&body);
            }
            match request.path.as_str() {
                "/api/run-start" => return life.start(&body, &self.record),
                "/api/run-stop" => return life.stop(&body, &self.record),
                "/api/hold" => {}
                _ => return Answer::Send(404, "{}".to_owned()),
            }
            if first {
                let seen = body["lastSeen"].as_u64().unwrap_or(0);
                life.forget(seen, &self.record);
            }
            first = false;
            if !life.ends.is_empty() || Instant::now() >= until {
                return life.lists();
            }
            drop(state);
            thread::sleep(STEP);
        }
    }
}

impl Life {
    fn time_ms(&self) -> u64 {
        FIRST_MS + self.began.elapsed().as_millis() as u64
    }

    fn refuse(&self, reason: &str) -> Answer {
        let time = self.time_ms();
        let reply = json!({"currentTimeMs": time, "reason": reason});
        Answer::Send(409, reply.to_string())
    }

    fn accept(&self) -> Answer {
        let reply = json!({"currentTimeMs": self.time_ms()});
        Answer::Send(200, reply.to_string())
    }

    fn take_lease(&mut self, body: &Value) {
        let Some(expires) = body["expiresAtMs"].as_u64() else {
            return;
        };
        let left = expires.saturating_sub(self.time_ms());
        let left = Duration::from_millis(left.min(LONGEST_LEASE_MS));
        self.lease_until = self.lease_until.max(Instant::now() + left);
    }

    fn start(&mut self, body: &Value, record: &Record) -> Answer {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        if self.running.get(&task).is_some_and(|r| r.run == run) {
            return self.accept();
        }
        let barred = self.barred.get(&task).is_some_and(|last| run <= *last);
        if barred || self.running.contains_key(&task) {
            record.line(format!("{}: {task} run {run} refused", self.id));
            return self.refuse("old");
        }
        if Instant::now() >= self.lease_until {
            return self.refuse("late");
        }
        // The specification says how long the task works, in ms.
        let spec = body["spec"].as_str().unwrap_or_default();
        let work = spec
            .trim()
            .parse()
            .map_or(Duration::ZERO, Duration::from_millis);
        record.begin(&task, run, &self.id);
        self.running.insert(
            task,
            Running {
                run,
                began: Instant::now(),
                work,
                stops_at: None,
            },
        );
        self.accept()
    }

    fn stop(&mut self, body: &Value, record: &Record) -> Answer {
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or(0);
        let last = self.barred.entry(task.to_owned()).or_default();
        *last = run.max(*last);
        if let Some(running) = self.running.get_mut(task) {
            if running.run <= run && running.stops_at.is_none() {
                record.line(format!(
                    "{}: {task} run {run} is to be stopped",
                    self.id
                ));
                running.stops_at = Some(Instant::now() + STOP_TIME);
            }
        }
        self.accept()
    }

    fn end(&mut self, task: &str, how: &'static str, record: &Record) {
        let Some(running) = self.running.remove(task) else {
            return;
        };
        let last = self.barred.entry(task.to_owned()).or_default();
        *last = running.run.max(*last);
        self.last_end += 1;
        self.ends.push(End {
            number: self.last_end,
            task: task.to_owned(),
            run: running.run,
            how,
        });
        record.end(task, running.run, &self.id, how);
    }

    fn forget(&mut self, seen: u64, record: &Record) {
        for end in self.ends.iter().filter(|end| end.number <= seen) {
            // An end before a lapse does not count as taken note of.
            if end.number > self.lapsed_end {
                record.note(&end.task, end.run, &self.id);
            }
        }
        self.ends.retain(|end| end.number > seen);
    }

    fn lists(&self) -> Answer {
        let running = self.running.iter().map(|(task, running)| {
            let done = running.began.elapsed().as_secs_f64()
                / running.work.as_secs_f64().max(0.001);
            let percent = (done * 100.0).min(99.0) as u64;
            json!([task, running.run, "", percent, 1000])
        });
        let running: Vec<Value> = running.collect();
        let ends =
            self.ends.iter().take(500).map(|end| {
                json!([end.number, end.task, end.run, end.how, ""])
            });
        let ends: Vec<Value> = ends.collect();
        let reply = json!({"currentTimeMs": self.time_ms(),
            "running": running, "finished": ends});
        Answer::Send(200, reply.to_string())
    }
}
