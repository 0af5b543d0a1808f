//! A small deployment: entries, agents and workers on loopback addresses, and
//! a client.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use serde_json::Value;

use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Kind;
use crate::worker::Worker;

/// The client's key, host and path, as the manifest has them.
pub const KEY: &str = "k-5d1f02";
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
/// The service of the queue.
pub const SERVICE: &str = "huvo11a";
/// How long a client waits for an answer.
const CLIENT_LIMIT: Duration = Duration::from_millis(3000);

/// All children of this process that have not been waited for.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills all children and waits for them.
fn end_children() {
    for mut child in CHILDREN.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A program of the project, as the deploy file runs it.
pub struct Process {
    program: &'static str,
    settings: PathBuf,
    output: PathBuf,
    /// The id of the running process.
    id: Option<u32>,
}

impl Process {
    fn new(program: &'static str, folder: &Path, name: &str) -> Process {
        Process {
            program,
            settings: folder.join(format!("{name}.ini")),
            output: folder.join(format!("{name}.log")),
            id: None,
        }
    }

    /// Starts the program, or starts it again.
    pub fn start(&mut self) {
        let output = File::options()
            .create(true)
            .append(true)
            .open(&self.output)
            .expect("a log file");
        let errors = output.try_clone().expect("a log file");
        let child = Command::new(self.program)
            .env("LANDINGVALVE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => {
                self.id = Some(child.id());
                CHILDREN.lock().unwrap().push(child);
            }
            Err(error) => {
                eprintln!("{}: {error}", self.program);
                end_children();
                std::process::exit(2);
            }
        }
    }

    /// Kills the program by SIGKILL.
    pub fn kill(&mut self) {
        let Some(id) = self.id.take() else {
            return;
        };
        let mut children = CHILDREN.lock().unwrap();
        let found = children.iter().position(|child| child.id() == id);
        if let Some(position) = found {
            let mut child = children.swap_remove(position);
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A deployment.
pub struct Site {
    pub record: Arc<Record>,
    pub store: Store,
    pub entry: Process,
    pub agents: Vec<Process>,
    pub workers: Vec<Worker>,
    front: SocketAddr,
    /// The folder with the settings and the logs of the programs.
    folder: PathBuf,
    record_path: PathBuf,
}

/// Returns a free port of the loopback address.
fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

impl Site {
    /// Starts a deployment with a worker for each list of labels, and waits
    /// until it is ready. `max_attempts` is that of the queue.
    /// The record is saved at `record_path`.
    pub fn start(
        labels: &[&[&str]],
        max_attempts: u32,
        record_path: &Path,
    ) -> Site {
        let record = Arc::new(Record::new());
        let folder = std::env::temp_dir()
            .join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store_address = free();
        let store = Store::start(store_address, record.clone());
        store.put("op/config", &manifest(max_attempts));
        let (front, ready) = (free(), free());
        let settings = format!(
            "[process]\nname = edge-lodz-a-1\nhall = lodz-a\n[listen]\n\
             callers = {front}\nready = {ready}\nplanner = {planner}\n\
             [platform]\nstore = {store_address}\nadvice = \n[times]\n\
             survival_ms = 12000\napply_ms = 2000\nrevoke_ms = 5000\n\
             grace_s = 6\ngang_ms = 3000\nstop_ms = 400\n\
             reclaim_ms = 2900\nfar = 3\n[limits]\ndescriptors = 4100\n\
             memory_mb = 260\ncpu_share = 0.25\ncpu_speed = 1\n\
             [telemetry]\npage = {page}\n[log]\nformat = json\n\
             level = info\n",
            planner = free(),
            page = free(),
        );
        let mut entry = Process::new(
            "target/release/landingvalve-platform-entry",
            &folder,
            "edge-lodz-a-1",
        );
        write(&entry.settings, &settings);
        entry.start();
        let mut agents = Vec::new();
        let mut workers = Vec::new();
        for (number, labels) in labels.iter().enumerate() {
            let name = format!("side-lodz-a-{}", number + 1);
            let kind = Kind {
                name: format!("w{}", number + 1),
                app: free(),
                control: free(),
                service: SERVICE.to_owned(),
                zone: "lodz-a".to_owned(),
                labels: labels.iter().map(|l| (*l).to_owned()).collect(),
                gpus: 8,
            };
            let settings = format!(
                "[process]\nname = {name}\nhall = lodz-a\n[listen]\n\
                 worker = {control}\n[worker]\naddress = {app}\n\
                 [platform]\nstore = {store_address}\n[times]\n\
                 survival_ms = 12000\nlease_ms = 6000\n[limits]\n\
                 descriptors = 4096\nmemory_mb = 128\n[telemetry]\n\
                 page = {page}\n[log]\nformat = json\nlevel = info\n",
                control = kind.control,
                app = kind.app,
                page = free(),
            );
            let mut agent = Process::new(
                "target/release/landingvalve-platform-agent",
                &folder,
                &name,
            );
            write(&agent.settings, &settings);
            agent.start();
            agents.push(agent);
            workers.push(Worker::start(kind, record.clone()));
        }
        let site = Site {
            record,
            store,
            entry,
            agents,
            workers,
            front,
            folder,
            record_path: record_path.to_owned(),
        };
        let until = Instant::now() + Duration::from_secs(10);
        while site.call_ready(ready) != Some(200) {
            if Instant::now() > until {
                site.give_up("the entry is not ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
        // The workers report, and the agents find the planner.
        thread::sleep(Duration::from_secs(3));
        site
    }

    fn call_ready(&self, ready: SocketAddr) -> Option<u16> {
        let headers = [("host", "ready")];
        let limit = Duration::from_secs(1);
        let path = "/api/readyz";
        let reply = http::call(ready, "GET", path, &headers, "", limit);
        reply.map(|(status, _)| status)
    }

    /// Ends a script that cannot run.
    pub fn give_up(&self, why: &str) -> ! {
        eprintln!("the case cannot run: {why}");
        end_children();
        self.record.line(format!("the case cannot run: {why}"));
        self.record.save(&self.record_path);
        std::process::exit(2);
    }

    /// Calls the entry as a client does.
    pub fn call(&self, method: &str, id: &str, body: &str) -> Option<u16> {
        self.call_for_body(method, id, body)
            .map(|(status, _)| status)
    }

    fn call_for_body(
        &self,
        method: &str,
        id: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id}");
        let headers = [
            ("host", HOST),
            ("content-type", "application/json"),
            ("credential", KEY),
            ("deadline", "3000"),
        ];
        let reply = http::call(
            self.front,
            method,
            &path,
            &headers,
            body,
            CLIENT_LIMIT,
        );
        let status = reply.as_ref().map(|(status, _)| *status);
        let text = reply.as_ref().map_or("", |(_, body)| body);
        self.record
            .line(format!("client: {method} {id} -> {status:?} {text}"));
        reply
    }

    /// Submits a job, again after a silence, 429, 502, 503 or 504.
    pub fn submit(&self, id: &str, job: &Value) {
        let body = job.to_string();
        for _ in 0..8 {
            match self.call("POST", id, &body) {
                Some(200..=299) => return,
                _ => thread::sleep(Duration::from_millis(500)),
            }
        }
        self.give_up("a job was not accepted");
    }

    /// Returns the state of a job, as the entry shows it.
    pub fn state(&self, id: &str) -> Option<String> {
        let (status, body) = self.call_for_body("GET", id, "")?;
        if status != 200 {
            return Some(status.to_string());
        }
        let body: Value = serde_json::from_str(&body).ok()?;
        body["state"].as_str().map(str::to_owned)
    }

    /// Ends all processes, saves the record and removes the logs, unless
    /// `KEEP_LOGS` is set.
    pub fn end(self) {
        end_children();
        self.record.save(&self.record_path);
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => println!("logs: {}", self.folder.display()),
            None => {
                let _ = fs::remove_dir_all(&self.folder);
            }
        }
    }
}

fn write(path: &Path, text: &str) {
    fs::write(path, text).expect("a settings file");
}

fn manifest(max_attempts: u32) -> Value {
    json!({
        "version": 7,
        "routes": [{"name": "q-replay", "host": HOST, "pathPrefix": PREFIX,
            "service": SERVICE, "timeoutMs": 3000, "priority": 1,
            "maxAttempts": max_attempts, "stretch": 3.0,
            "targetLatencyMs": 1000}],
        "services": [{"name": SERVICE, "enforcesCapacity": true}],
        "limits": {"maxBodyBytes": 262_144},
        "tenants": [{"name": "t1", "apiKeys": [KEY],
            "guaranteed": {"gpu": 0}}],
    })
}
