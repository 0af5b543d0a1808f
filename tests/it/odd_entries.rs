//! Values of another writer among the keys that entries and agents read.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use landingvalve::cell::connector::Network;
use landingvalve::cell::connector::Recipient;
use landingvalve::cell::keys;
use landingvalve::cell::relay::Peers;
use landingvalve::cell::Admission;
use landingvalve::graph::Job;
use landingvalve::graph::Repeat;
use landingvalve::graph::RunOutcome;
use landingvalve::log;
use landingvalve::store::LeaseId;
use landingvalve::store::Mutation;
use landingvalve::store::Store;
use serde_json::json;
use serde_json::Value;

use crate::cell::deadline;
use crate::cell::job;
use crate::cell::start_agent;
use crate::cell::wait_for_running;
use crate::cell::wait_for_stage;
use crate::cell::Entry;
use crate::cell::FakeWorker;
use crate::cell::Memory;
use crate::cell::SUCCEEDED;
use crate::explain::Lines;
use crate::support::until;

/// No lease.
const UNLEASED: LeaseId = 0;
/// The depth of a value that is nested very deeply.
const DEPTH: usize = 30_000;

/// The size of a value that is much longer than a line should be.
const LONG_BYTES: usize = 60_000;
/// The longest line about a value.
const MAX_LINE_BYTES: usize = 1000;
/// The time by which an entry has read the registrations of the others.
const FIRST_READ: Duration = Duration::from_secs(4);
/// The time within which another entry replaces a claim that nobody holds.
const TAKEN_WITHIN: Duration = Duration::from_secs(9);

/// Returns values that no process of the system writes.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = [vec![b'['; DEPTH], vec![b']'; DEPTH]].concat();
    let digits = "7".repeat(400);
    let numbers = format!(
        r#"{{"process":"other","address":"10.0.0.9:70800","life":"x",
        "cores":1e308,"sequence":{digits}}}"#
    );
    let port = r#"{"process":"other","address":"10.0.0.9:70800","life":"x"}"#;
    vec![
        nested,
        numbers.into_bytes(),
        port.as_bytes().to_vec(),
        vec![0xff, 0xfe, b'{', 0x80],
        Vec::new(),
        b"null".to_vec(),
    ]
}

/// Writes a value as another writer.
async fn write(store: &Memory, key: &str, value: Vec<u8>) {
    let put = Mutation::Value(key.to_owned(), value, UNLEASED);
    store.swap(&[], vec![put]).await.expect("is written");
}

/// Submits a job of two tasks and waits until both have run.
async fn run_job(id: &str, store: &Memory, worker: &FakeWorker) {
    let admission = Admission::new(store.clone(), log::none());
    admission.submit(&job(id), deadline()).await;
    wait_for_running(worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, id, SUCCEEDED).await;
}

/// Waits until a process holds the claim.
async fn wait_for_holder(store: &Memory, process: &str) {
    let held = || async {
        let holder = store.claim_holder()?;
        (holder.process == process).then_some(())
    };
    until("the claim is held", held).await;
}

/// Guards against a site without a planner for good. The planner stopped, and
/// nobody claimed again.
#[tokio::test]
async fn a_value_in_the_place_of_a_held_claim_does_not_end_planning() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    run_job("a", &store, &worker).await;
    for (number, value) in odd_values().into_iter().enumerate() {
        write(&store, keys::CLAIM, value).await;
        // The planner has nothing to write meanwhile.
        wait_for_holder(&store, "entry").await;
        run_job(&format!("b{number}"), &store, &worker).await;
    }
    assert_eq!(worker.started().len(), 14, "{:?}", worker.started());
    agent.abort();
    entry.kill();
}

/// Guards against the same at the start of all entries.
#[tokio::test]
async fn a_value_in_the_place_of_the_first_claim_does_not_prevent_planning() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let value = odd_values().swap_remove(0);
    write(&store, keys::CLAIM, value).await;
    let entries = [
        Entry::start("first", &store).await,
        Entry::start("second", &store).await,
    ];
    let agent = start_agent(&store, &worker);
    run_job("a", &store, &worker).await;
    agent.abort();
    for entry in entries {
        entry.kill();
    }
}

/// A claim of a live process is kept by its lease.
#[tokio::test]
async fn a_claim_under_a_lease_is_left_to_its_holder() {
    let store = Memory::default();
    let first = Entry::start("first", &store).await;
    wait_for_holder(&store, "first").await;
    let second = Entry::start("second", &store).await;
    let claim = || async { store.get(keys::CLAIM).await.expect("answers") };
    let before = claim().await.expect("is held").modified;
    tokio::time::sleep(TAKEN_WITHIN).await;
    assert_eq!(claim().await.expect("is held").modified, before);
    first.kill();
    second.kill();
}

/// Odd values beside sound ones, read by a planner that has just claimed and by
/// one that follows changes.
#[tokio::test]
async fn odd_values_beside_sound_ones_stop_nothing() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    write_everywhere(&store, "before").await;
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    run_job("a", &store, &worker).await;
    write_everywhere(&store, "after").await;
    run_job("b", &store, &worker).await;
    entry.kill();
    let entry = Entry::start("other", &store).await;
    run_job("c", &store, &worker).await;
    agent.abort();
    entry.kill();
}

/// Returns the values that come of a value by the replacement of one number in
/// it by an extreme one.
fn with_extreme_numbers(value: &Value) -> Vec<Value> {
    let extremes = [json!(u64::MAX), json!(i64::MAX), json!(u32::MAX)];
    let extremes = extremes.into_iter().chain([json!(1e308), json!(-1)]);
    match value {
        Value::Number(_) => extremes.collect(),
        Value::Array(items) => {
            let odd = |at: usize| {
                let one = with_extreme_numbers(&items[at]).into_iter();
                one.map(move |odd| {
                    let mut items = items.clone();
                    items[at] = odd;
                    Value::Array(items)
                })
            };
            (0..items.len()).flat_map(odd).collect()
        }
        Value::Object(fields) => {
            let odd = |name: &String| {
                let (name, fields) = (name.clone(), fields.clone());
                let one = with_extreme_numbers(&fields[&name]).into_iter();
                one.map(move |odd| {
                    let mut fields = fields.clone();
                    fields.insert(name.clone(), odd);
                    Value::Object(fields)
                })
            };
            fields.keys().flat_map(odd).collect()
        }
        _ => Vec::new(),
    }
}

/// Guards against planners that end again and again: of their memory, for a job
/// of 4 billion tasks, or of a time that does not exist.
#[tokio::test]
async fn a_job_with_a_number_that_no_entry_accepts_stops_nothing() {
    let store = Memory::default();
    let worker = FakeWorker::with_births();
    let repeat = Repeat {
        times: 10_000,
        start: SystemTime::now(),
        interval: Duration::from_secs(3600),
    };
    let sound = Job {
        pool: "elsewhere".into(),
        repeat: Some(repeat),
        ..job("odd")
    };
    let sound = serde_json::to_value(&sound).expect("is encoded");
    for (number, mut odd) in
        with_extreme_numbers(&sound).into_iter().enumerate()
    {
        let name = format!("odd{number}");
        odd["id"] = json!(name);
        let value = serde_json::to_vec(&odd).expect("is encoded");
        write(&store, &keys::job(&name), value).await;
    }
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    run_job("a", &store, &worker).await;
    agent.abort();
    entry.kill();
}

/// Guards against lines of 60 kB, which repeated the values that they were
/// about.
#[tokio::test]
async fn lines_about_values_that_cannot_be_read_are_short() {
    let store = Memory::default();
    let lines = Lines::default();
    let text = format!("\"{}\"", "x".repeat(LONG_BYTES));
    let (name, text) = ("long", text.into_bytes());
    let odd = [keys::job(name), keys::report(name), keys::progress("other")];
    for key in odd {
        write(&store, &key, text.clone()).await;
    }
    let entry = Entry::with_log("entry", &store, lines.logger()).await;
    let worker = FakeWorker::with_births();
    let agent = start_agent(&store, &worker);
    run_job("a", &store, &worker).await;
    let about = lines.with("cannot be decoded");
    assert!(about.len() >= 2, "{} lines", about.len());
    let longest = about.iter().map(String::len).max().unwrap_or(0);
    assert!(longest <= MAX_LINE_BYTES, "a line of {longest} bytes");
    agent.abort();
    entry.kill();
}

/// Guards against registrations that are dropped without a line, and against
/// calls through an entry that cannot be there.
#[tokio::test(start_paused = true)]
async fn registrations_that_name_no_entry_are_told_and_passed_over() {
    let store = Memory::default();
    let lines = Lines::default();
    for (number, value) in odd_values().into_iter().enumerate() {
        write(&store, &keys::entry(&format!("odd{number}")), value).await;
    }
    let sound = Recipient {
        address: "127.0.0.1:9".to_owned(),
        life: "sound".to_owned(),
    };
    let value = serde_json::to_vec(&sound).expect("is written");
    write(&store, &keys::entry("sound"), value).await;
    let peers = Peers::new("entry", Arc::new(Network), lines.logger());
    let own = Recipient {
        address: "127.0.0.1:10".to_owned(),
        life: "own".to_owned(),
    };
    let follow = tokio::spawn(peers.clone().follow(store.clone(), own));
    tokio::time::sleep(FIRST_READ).await;
    let known = format!("{peers:?}");
    assert!(known.contains("127.0.0.1:9"), "{known}");
    assert!(!known.contains("70800"), "{known}");
    let told = lines.with("a registration names no entry");
    assert!(told.len() == 1, "{told:?}");
    follow.abort();
}

/// Writes each odd value below each prefix that processes read.
async fn write_everywhere(store: &Memory, name: &str) {
    for (number, value) in odd_values().into_iter().enumerate() {
        let name = format!("{name}{number}");
        let odd = [
            format!("{}00-{name}", keys::ENTRY_PREFIX),
            keys::report(&name),
            keys::job(&name),
            keys::cancel(&format!("{name}-cancelled")),
            format!("{}{name}", keys::INTAKE_PREFIX),
            keys::progress(&name),
            format!("{}{name}/0.0.0", keys::PART_PREFIX),
            format!("{}{name}/99999999999999999999.x", keys::PART_PREFIX),
            keys::waiting_job("queue", &name),
            keys::STRONGEST_CORES.to_owned(),
        ];
        for key in odd {
            write(store, &key, value.clone()).await;
        }
    }
}
