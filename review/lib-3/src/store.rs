//! The platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use serde_json::Value;

use crate::http::Answer;
use crate::http::Request;
use crate::http::Server;
use crate::record::Record;

/// How long an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// How long the history goes back.
const HISTORY: Duration = Duration::from_secs(20);
/// How often a waiting watch looks.
const WATCH_STEP: Duration = Duration::from_millis(2);
/// The most items of a page.
const PAGE: usize = 500;

struct Lease {
    ttl: Duration,
    until: Instant,
}

struct Event {
    rev: u64,
    at: Instant,
    key: String,
    item: Value,
}

/// An outage that begins with a certain call.
#[derive(Clone, Debug)]
pub struct Outage {
    /// The call with which it begins: a part of its path and query.
    pub begins_with: String,
    pub lasts: Duration,
}

struct State {
    rev: u64,
    items: BTreeMap<String, Value>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    events: Vec<Event>,
    /// The last revision that the history no longer holds.
    forgotten: u64,
    armed: Option<Outage>,
    silent_until: Option<Instant>,
    outages: u32,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    record: Arc<Record>,
}

impl Store {
    pub fn start(address: SocketAddr, record: Arc<Record>) -> Store {
        let store = Store {
            state: Arc::new(Mutex::new(State {
                rev: 100,
                items: BTreeMap::new(),
                leases: BTreeMap::new(),
                last_lease: 0,
                events: Vec::new(),
                forgotten: 100,
                armed: None,
                silent_until: None,
                outages: 0,
            })),
            record,
        };
        let ticking = store.clone();
        thread::spawn(move || loop {
            thread::sleep(WATCH_STEP);
            ticking.tick();
        });
        let serving = store.clone();
        // The store runs until the script ends.
        std::mem::forget(Server::start(
            address,
            Arc::new(move |request| serving.handle(&request)),
        ));
        store
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &Value) {
        let text = base64(value.to_string().as_bytes());
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        state.write(key, &text, 0);
        drop(state);
        self.record.line(format!("the operator writes {key}"));
    }

    /// Lets the store go silent once a certain call comes.
    pub fn arm(&self, outage: Outage) {
        self.state.lock().unwrap().armed = Some(outage);
    }

    /// Lets the store go silent now.
    pub fn go_down(&self, lasts: Duration) {
        let mut state = self.state.lock().unwrap();
        state.silent_until = Some(Instant::now() + lasts);
        state.outages += 1;
        let ms = lasts.as_millis();
        self.record.line(format!("the store goes down for {ms} ms"));
    }

    /// Returns how many outages there were.
    pub fn outages(&self) -> u32 {
        self.state.lock().unwrap().outages
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        if let Some(until) = state.silent_until {
            // Leases wait while the store is down.
            for lease in state.leases.values_mut() {
                lease.until += WATCH_STEP;
            }
            if now >= until {
                state.silent_until = None;
                self.record.line("the store answers again");
            }
            return;
        }
        let over: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.until)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            state.end_lease(id);
        }
        let old = state.events.iter().take_while(|e| now > e.at + HISTORY);
        let old = old.count();
        let last = state.events.drain(..old).next_back();
        if let Some(last) = last {
            state.forgotten = last.rev;
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        let prefix = request.parameter("pathPrefix").unwrap_or_default();
        let name = format!("{} {}?{prefix}", request.method, request.path);
        {
            let mut state = self.state.lock().unwrap();
            let armed = state.armed.as_ref();
            if armed.is_some_and(|a| name.contains(&a.begins_with)) {
                let outage = state.armed.take().unwrap();
                state.silent_until = Some(Instant::now() + outage.lasts);
                state.outages += 1;
                self.record.line(format!(
                    "the store goes down for {} ms, as the call {name:?} \
                     arrives",
                    outage.lasts.as_millis()
                ));
            }
            if state.silent_until.is_some() {
                return Answer::Silence;
            }
        }
        thread::sleep(ANSWER_TIME);
        let body: Value =
            serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        if request.path == "/api/kv-watch" {
            return self.watch(request, prefix);
        }
        let mut state = self.state.lock().unwrap();
        if state.silent_until.is_some() {
            return Answer::Silence;
        }
        let path = request.path.as_str();
        let (status, reply) = match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => {
                let key = request.parameter("tlsKey").unwrap_or_default();
                match state.items.get(key) {
                    Some(item) => {
                        let mut item = item.clone();
                        item["at"] = json!(state.rev);
                        (200, item)
                    }
                    None => (404, json!({"at": state.rev})),
                }
            }
            ("GET", "/api/kv-range") => {
                let after = request.parameter("dependsOn");
                let mut found = state.items.range(prefix.to_owned()..);
                let mut items = Vec::new();
                let mut more = false;
                for (key, item) in &mut found {
                    if !key.starts_with(prefix) {
                        break;
                    }
                    if after.is_some_and(|after| key.as_str() <= after) {
                        continue;
                    }
                    if items.len() == PAGE {
                        more = true;
                        break;
                    }
                    items.push(item.clone());
                }
                let at = state.rev;
                (200, json!({"items": items, "more": more, "at": at}))
            }
            ("POST", "/api/kv-txn") => state.transact(&body),
            ("POST", "/api/kv-lease") => {
                let ttl = body["ttl_ms"].as_u64().unwrap_or(1000).max(1000);
                state.last_lease += 1;
                let id = state.last_lease;
                let ttl_time = Duration::from_millis(ttl);
                let until = Instant::now() + ttl_time;
                state.leases.insert(
                    id,
                    Lease {
                        ttl: ttl_time,
                        until,
                    },
                );
                (200, json!({"lease": id, "ttl_ms": ttl}))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let id = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let id = path["/api/kv-lease-end/".len()..].parse();
                state.end_lease(id.unwrap_or(0));
                (200, json!({}))
            }
            _ => (404, json!({})),
        };
        Answer::Send(status, reply.to_string())
    }

    fn watch(&self, request: &Request, prefix: &str) -> Answer {
        let number = |name| {
            let text = request.parameter(name).unwrap_or_default();
            text.parse::<u64>().unwrap_or(0)
        };
        let after = number("dependsOn");
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        loop {
            let state = self.state.lock().unwrap();
            if state.silent_until.is_some() {
                return Answer::Silence;
            }
            if after < state.forgotten {
                return Answer::Send(410, "{}".to_owned());
            }
            let events = state.events.iter().filter(|event| {
                event.rev > after && event.key.starts_with(prefix)
            });
            let events: Vec<Value> = events.map(|e| e.item.clone()).collect();
            if !events.is_empty() || Instant::now() >= until {
                let reply = json!({"events": events, "at": state.rev});
                return Answer::Send(200, reply.to_string());
            }
            drop(state);
            thread::sleep(WATCH_STEP);
        }
    }
}

impl State {
    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| -> Vec<Value> {
            body[name].as_array().cloned().unwrap_or_default()
        };
        let expected = rows("expectedRev");
        let holds = expected.iter().all(|row| {
            let key = row["tlsKey"].as_str().unwrap_or_default();
            let rev = self.items.get(key).and_then(|i| i["rev"].as_u64());
            rev.unwrap_or(0) == row["rev"].as_u64().unwrap_or(0)
        });
        if !holds {
            let items = expected.iter().filter_map(|row| {
                self.items.get(row["tlsKey"].as_str().unwrap_or_default())
            });
            let items: Vec<Value> = items.cloned().collect();
            return (412, json!({"items": items}));
        }
        let puts = rows("put");
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let leased = puts.iter().map(lease_of).filter(|id| *id != 0);
        for id in leased {
            if !self.leases.contains_key(&id) {
                return (404, json!({}));
            }
        }
        self.rev += 1;
        for row in &puts {
            let key = row["tlsKey"].as_str().unwrap_or_default();
            let value = row["value"].as_str().unwrap_or_default();
            self.write(key, value, lease_of(row));
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, json!({"rev": self.rev}))
    }

    fn write(&mut self, key: &str, value: &str, lease: u64) {
        let made = self.items.get(key).and_then(|i| i["made"].as_u64());
        let item = json!({"tlsKey": key, "value": value, "rev": self.rev,
            "made": made.unwrap_or(self.rev), "lease": lease});
        self.items.insert(key.to_owned(), item.clone());
        self.push(key, item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let gone = json!({"tlsKey": key, "rev": self.rev, "gone": true});
            self.push(key, gone);
        }
    }

    fn push(&mut self, key: &str, item: Value) {
        self.events.push(Event {
            rev: self.rev,
            at: Instant::now(),
            key: key.to_owned(),
            item,
        });
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys = self.items.iter();
        let keys = keys.filter(|(_, item)| item["lease"] == json!(id));
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.rev += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

/// Encodes bytes in standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..chunk.len()].copy_from_slice(chunk);
        let [a, b, c] = three.map(u32::from);
        let all = a << 16 | b << 8 | c;
        for (place, shift) in [18, 12, 6, 0].into_iter().enumerate() {
            let sign = SIGNS[(all >> shift & 63) as usize];
            let pads = place > chunk.len();
            text.push(if pads { '=' } else { char::from(sign) });
        }
    }
    text
}
