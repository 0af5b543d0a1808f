//! Histories of jobs, rebuilt from log lines alone.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use landingvalve::cell::Admission;
use landingvalve::explain::cause::Cause;
use landingvalve::explain::history::History;
use landingvalve::explain::history::Outcome;
use landingvalve::explain::holder;
use landingvalve::explain::holder::Count;
use landingvalve::explain::Logs;
use landingvalve::graph::RunOutcome;
use slog::o;
use slog::Drain;

use crate::cell::deadline;
use crate::cell::job;
use crate::cell::start_agent;
use crate::cell::wait_for_running;
use crate::cell::wait_for_stage;
use crate::cell::Entry;
use crate::cell::FakeWorker;
use crate::cell::Memory;
use crate::cell::SUCCEEDED;

/// A log kept in memory, in the format of the processes.
#[derive(Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    /// Returns a logger that adds to these lines.
    pub fn logger(&self) -> slog::Logger {
        let out = slog_json::Json::default(self.clone());
        let drain = Mutex::new(out.fuse()).fuse();
        slog::Logger::root(drain, o!("process" => "e1"))
    }

    /// Returns the lines with a text.
    pub fn with(&self, text: &str) -> Vec<String> {
        let lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = String::from_utf8_lossy(&lines).into_owned();
        let lines = lines.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }

    fn read(&self) -> Logs {
        let lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut logs = Logs::default();
        logs.read(lines.as_slice()).expect("readable lines");
        logs
    }
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[tokio::test]
async fn history_of_a_job_is_rebuilt_from_the_log_lines_of_its_processes() {
    let lines = Lines::default();
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), lines.logger());
    let entry = Entry::with_log("entry", &store, lines.logger()).await;
    let agent = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    let logs = lines.read();
    let history = logs.history("a").expect("a history");
    let messages: Vec<&str> =
        history.lines().iter().map(|l| l.message.as_str()).collect();
    let expected = [
        "entry: a job was submitted",
        "planner: a job is taken in",
        "planner: a unit is placed",
        "planner: a unit is placed",
        "planner: a run has ended",
        "planner: a run has ended",
        "planner: a job has ended",
    ];
    for message in expected {
        assert!(
            messages.contains(&message),
            "{message}: not in {messages:?}"
        );
    }
    assert_eq!(history.verdict().end, Outcome::InTime);
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn throttled_log_still_holds_the_end_of_every_job() {
    let lines = Lines::default();
    let store = Memory::default();
    let admission = Admission::new(store.clone(), lines.logger());
    let mut ids = Vec::new();
    for number in 0..450 {
        let mut job = job(&format!("{number}"));
        // No worker has the label, so neither of the job's two units starts.
        job.steps[0].label = Some("none".into());
        ids.push(job.id.clone());
        admission.submit(&job, deadline()).await;
    }
    for id in &ids {
        admission.cancel(id, deadline()).await.expect("cancelled");
    }
    let entry = Entry::with_log("entry", &store, lines.logger()).await;
    let all_ended = || async {
        let logs = lines.read();
        let is_cancelled = |id: &Arc<str>| {
            let history = logs.history(id).expect("a history");
            history.verdict().end == Outcome::Cancelled
        };
        ids.iter().all(is_cancelled).then_some(())
    };
    crate::support::until("the log holds every end", all_ended).await;
    entry.kill();
}

/// Log lines, and the end and the cause that they show.
struct Case {
    name: &'static str,
    lines: &'static [&'static str],
    end: Outcome,
    cause: Cause,
}

const CASES: &[Case] = &[
    Case {
        name: "refused by the store",
        lines: &[
            r#"{"ts":"2026-01-01T00:00:01Z","msg":"entry: a job was submitted","job":"j","outcome":"Refused"}"#,
            r#"{"ts":"2026-01-01T00:00:01Z","msg":"entry: a request is answered","method":"POST","path":"/q/j","status":503,"ms":600}"#,
        ],
        end: Outcome::Refused,
        cause: Cause::Store,
    },
    Case {
        name: "refused because of its key",
        lines: &[
            r#"{"ts":"2026-01-01T00:00:01Z","msg":"entry: a request is answered","method":"POST","path":"/q/5c0e7a21d94b36f8","status":401,"ms":0}"#,
        ],
        end: Outcome::Refused,
        cause: Cause::Key,
    },
    Case {
        name: "late because of its own run time",
        lines: &[
            r#"{"ts":"2026-01-01T00:00:00Z","msg":"entry: a job was submitted","job":"j","outcome":"Accepted"}"#,
            r#"{"ts":"2026-01-01T00:00:00.01Z","msg":"planner: a job is taken in","job":"j"}"#,
            r#"{"ts":"2026-01-01T00:00:00.01Z","msg":"planner: a unit is placed","job":"j","unit":"0.0.0","run":1,"expected_ms":6000}"#,
            r#"{"ts":"2026-01-01T00:00:06Z","msg":"planner: a run has ended","job":"j","unit":"0.0.0","how":"done","member":0,"ran_ms":6000}"#,
            r#"{"ts":"2026-01-01T00:00:06Z","msg":"planner: a job has ended","job":"j","outcome":"Succeeded","objective_ms":3000}"#,
        ],
        end: Outcome::Late,
        cause: Cause::Work,
    },
    Case {
        name: "late because there was no room; lines with a prefix",
        lines: &[
            r#"x 1.0 {"ts":"2026-01-01T00:00:00Z","msg":"entry: a job was submitted","job":"j","outcome":"Accepted"}"#,
            r#"x 1.0 {"ts":"2026-01-01T00:00:00Z","msg":"planner: a job is taken in","job":"j"}"#,
            r#"x 1.0 {"ts":"2026-01-01T00:00:00Z","msg":"planner: a unit waits","job":"j","unit":"0.0.0","on":"room"}"#,
            r#"x 5.0 {"ts":"2026-01-01T00:00:04Z","msg":"planner: a unit is placed","job":"j","unit":"0.0.0","run":1,"expected_ms":1000}"#,
            r#"x 6.0 {"ts":"2026-01-01T00:00:05Z","msg":"planner: a run has ended","job":"j","unit":"0.0.0","how":"done","member":0,"ran_ms":1000}"#,
            r#"x 6.0 {"ts":"2026-01-01T00:00:05Z","msg":"planner: a job has ended","job":"j","outcome":"Succeeded","objective_ms":3000}"#,
        ],
        end: Outcome::Late,
        cause: Cause::Room,
    },
    Case {
        name: "late because it was stopped; lines out of order",
        lines: &[
            r#"{"ts":"2026-01-01T00:00:09Z","msg":"planner: a job has ended","job":"j","outcome":"Succeeded","objective_ms":3000}"#,
            r#"{"ts":"2026-01-01T00:00:04Z","msg":"planner: a run has ended","job":"j","unit":"0.0.0","how":"stopped","member":0,"ran_ms":3000}"#,
            r#"{"ts":"2026-01-01T00:00:00Z","msg":"entry: a job was submitted","job":"j","outcome":"Accepted"}"#,
            r#"{"ts":"2026-01-01T00:00:03Z","msg":"planner: a run is stopped","job":"j","unit":"0.0.0","why":"room for urgent work"}"#,
            r#"{"ts":"2026-01-01T00:00:01Z","msg":"planner: a unit is placed","job":"j","unit":"0.0.0","run":1,"expected_ms":3000}"#,
            r#"{"ts":"2026-01-01T00:00:05Z","msg":"planner: a unit is placed","job":"j","unit":"0.0.0","run":2,"expected_ms":3000}"#,
            r#"{"ts":"2026-01-01T00:00:09Z","msg":"planner: a run has ended","job":"j","unit":"0.0.0","how":"done","member":0,"ran_ms":3100}"#,
        ],
        end: Outcome::Late,
        cause: Cause::Displaced,
    },
    Case {
        name: "late because a run was lost during a takeover",
        lines: &[
            r#"{"ts":"2026-01-01T00:00:00Z","msg":"entry: a job was submitted","job":"j","outcome":"Accepted"}"#,
            r#"{"ts":"2026-01-01T00:00:00Z","msg":"planner: a unit is placed","job":"j","unit":"0.0","run":1,"expected_ms":2000}"#,
            r#"{"ts":"2026-01-01T00:00:04Z","msg":"planner: a run has ended","job":"j","unit":"0.0","how":"worker gone","member":0,"ran_ms":20}"#,
            r#"{"ts":"2026-01-01T00:00:05Z","msg":"planner: a unit is placed","job":"j","unit":"0.0","run":2,"expected_ms":2000}"#,
            r#"{"ts":"2026-01-01T00:00:07Z","msg":"planner: a run has ended","job":"j","unit":"0.0","how":"done","member":0,"ran_ms":2000}"#,
            r#"{"ts":"2026-01-01T00:00:07Z","msg":"planner: a job has ended","job":"j","outcome":"Succeeded","objective_ms":3000}"#,
        ],
        end: Outcome::Late,
        cause: Cause::Gone,
    },
    Case {
        name: "late because a run's worker stopped reporting",
        lines: &[
            r#"{"ts":"2026-01-01T00:00:00Z","msg":"entry: a job was submitted","job":"j","outcome":"Accepted"}"#,
            r#"{"ts":"2026-01-01T00:00:00Z","msg":"planner: a unit is placed","job":"j","unit":"0.0","run":1,"expected_ms":2000}"#,
            r#"{"ts":"2026-01-01T00:00:04Z","msg":"planner: a run has ended","job":"j","unit":"0.0","how":"worker silent","member":0,"ran_ms":20}"#,
            r#"{"ts":"2026-01-01T00:00:05Z","msg":"planner: a unit is placed","job":"j","unit":"0.0","run":2,"expected_ms":2000}"#,
            r#"{"ts":"2026-01-01T00:00:07Z","msg":"planner: a run has ended","job":"j","unit":"0.0","how":"done","member":0,"ran_ms":2000}"#,
            r#"{"ts":"2026-01-01T00:00:07Z","msg":"planner: a job has ended","job":"j","outcome":"Succeeded","objective_ms":3000}"#,
        ],
        end: Outcome::Late,
        cause: Cause::Gone,
    },
    Case {
        name: "failed on its workers",
        lines: &[
            r#"{"ts":"2026-01-01T00:00:00Z","msg":"entry: a job was submitted","job":"j","outcome":"Accepted"}"#,
            r#"{"ts":"2026-01-01T00:00:00Z","msg":"planner: a unit is placed","job":"j","unit":"0.0","run":1,"expected_ms":3000}"#,
            r#"{"ts":"2026-01-01T00:00:02Z","msg":"planner: a run has ended","job":"j","unit":"0.0","how":"failed","member":0,"ran_ms":2000}"#,
            r#"{"ts":"2026-01-01T00:00:02Z","msg":"planner: a job has ended","job":"j","outcome":"Failed","objective_ms":3000}"#,
            r#"{"ts":"2026-01-01T00:00:03Z","msg":"planner: a run has ended","job":"j","unit":"0.1","how":"stopped","member":0,"ran_ms":9000}"#,
        ],
        end: Outcome::Failed,
        cause: Cause::Failed,
    },
];

#[test]
fn each_end_and_cause_is_recognized() {
    for case in CASES {
        let mut logs = Logs::default();
        let text = case.lines.join("\n");
        logs.read(text.as_bytes()).expect("readable lines");
        let (_, history) = logs.histories().next().expect("a history");
        let verdict = history.verdict();
        assert_eq!(verdict.end, case.end, "{}: {verdict:?}", case.name);
        assert_eq!(verdict.cause, case.cause, "{}: {verdict:?}", case.name);
    }
}

/// Guards against a report of late jobs that does not show whose work was in
/// their way: the planner's lines name it, and so does the explanation.
#[tokio::test]
async fn job_that_held_the_room_is_named_in_the_line_and_the_explanation() {
    let lines = Lines::default();
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), lines.logger());
    let entry = Entry::with_log("entry", &store, lines.logger()).await;
    let agent = start_agent(&store, &worker);
    for (id, account) in [("a", "large"), ("b", "small")] {
        let mut job = job(id);
        job.account = account.into();
        job.steps[0].resources.accelerators = 4;
        admission.submit(&job, deadline()).await;
        let logged = || async {
            let logs = lines.read();
            let placed = "planner: a unit is placed";
            let waits = "planner: a unit waits";
            let is_logged = |history: &History| {
                let lines = history.lines();
                let mut messages = lines.iter().map(|l| l.message.as_str());
                messages.any(|m| m == placed || m == waits)
            };
            logs.history(id).is_some_and(is_logged).then_some(())
        };
        crate::support::until("the job is placed or waits", logged).await;
    }
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "b", SUCCEEDED).await;
    let logs = lines.read();
    let history = logs.history("b").expect("a history");
    let history_lines = history.lines();
    let mut fields = history_lines.iter().filter_map(|l| l.text("holders"));
    assert_eq!(
        fields.next(),
        Some(
            "job=a account=large priority=1 accelerators=8 cores=2 \
             why=not_urgent"
        )
    );
    let verdict = history.verdict();
    assert_eq!(verdict.cause, Cause::Room, "{verdict:?}");
    assert_eq!(
        verdict.reason(),
        "job a of account large (priority 1) held 8 accelerators: nothing is \
         stopped for a job that is not urgent"
    );
    agent.abort();
    entry.kill();
}

/// Guards against an urgent job that is late while work of a lower priority
/// runs, without a word on why that work was not stopped.
#[tokio::test]
async fn late_urgent_job_names_the_work_that_was_too_expensive_to_stop() {
    let lines = Lines::default();
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), lines.logger());
    let entry = Entry::with_log("entry", &store, lines.logger()).await;
    let agent = start_agent(&store, &worker);
    let job_of = |id: &str, account: &str, priority| {
        let mut job = job(id);
        job.account = account.into();
        job.priority = priority;
        job.target = Duration::from_millis(250);
        job.stretch = 1.5;
        job.steps[0].gang = true;
        job.steps[0].resources.accelerators = 4;
        job.steps[0].estimate = Duration::from_millis(500);
        job
    };
    let mut large = job_of("6b1f0c9e55d2a704", "large", 1);
    large.steps[0].estimate = Duration::from_secs(60);
    admission.submit(&large, deadline()).await;
    wait_for_running(&worker, 2).await;
    // A stop then loses 66 cores x 2 s, more than the 120 core-seconds that a
    // policy allows for a unit of 66 cores x 0.5 s.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let urgent = job_of("d07e43a8f1960b5c", "small", 0);
    admission.submit(&urgent, deadline()).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, &large.id, SUCCEEDED).await;
    wait_for_running(&worker, 2).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, &urgent.id, SUCCEEDED).await;
    let logs = lines.read();
    let verdict = logs.history(&urgent.id).expect("a history").verdict();
    assert_eq!(verdict.end, Outcome::Late, "{verdict:?}");
    assert_eq!(
        verdict.reason(),
        "job 6b1f0c9e55d2a704 of account large (priority 1) held 8 \
         accelerators: stops would have lost too much work"
    );
    let counts = holder::count([&verdict]);
    assert_eq!(counts.len(), 1, "{counts:?}");
    assert_eq!(counts[0].account.as_deref(), Some("large"));
    agent.abort();
    entry.kill();
}

/// Returns the log of a late job that waited 4 s, with further fields of the
/// line about its wait.
fn waiting_log(job: &str, fields: &str) -> String {
    let texts = [
        r#"{"ts":"2026-01-01T00:00:00Z","msg":"planner: a job is taken in","job":"J"}"#,
        r#"{"ts":"2026-01-01T00:00:00Z","msg":"planner: a unit waits","job":"J","unit":"0.0.0","on":"room"FIELDS}"#,
        r#"{"ts":"2026-01-01T00:00:04Z","msg":"planner: a unit is placed","job":"J","unit":"0.0.0","run":1,"expected_ms":1000,"waited_ms":4000}"#,
        r#"{"ts":"2026-01-01T00:00:04Z","msg":"planner: a unit is placed","job":"J","unit":"0.0.1","run":1,"expected_ms":1000,"waited_ms":4000}"#,
        r#"{"ts":"2026-01-01T00:00:05Z","msg":"planner: a run has ended","job":"J","unit":"0.0.0","how":"done","member":0,"ran_ms":1000}"#,
        r#"{"ts":"2026-01-01T00:00:05Z","msg":"planner: a job has ended","job":"J","outcome":"Succeeded","objective_ms":3000}"#,
    ];
    let texts: Vec<String> = texts
        .iter()
        .map(|text| text.replace('J', job).replace("FIELDS", fields))
        .collect();
    texts.join("\n")
}

fn read(texts: &[String]) -> Logs {
    let mut logs = Logs::default();
    let text = texts.join("\n");
    logs.read(text.as_bytes()).expect("readable lines");
    logs
}

/// Guards against text that this version cannot read, from older, newer and
/// damaged lines alike.
#[test]
fn wait_is_explained_with_whatever_its_line_says_of_holders() {
    let no_room = "no room was free";
    let cases = [
        ("", no_room),
        (r#","holders":null"#, no_room),
        (r#","holders":"""#, no_room),
        (r#","holders":7"#, no_room),
        (r#","holders":"job=x accelerators""#, no_room),
        (r#","holders":"job=x accelerators=y why=budget""#, no_room),
        (
            r#","holders":"job=x account=a priority=1 accelerators=1 cores=2.5 why=budget""#,
            "job x of account a (priority 1) held 1 accelerator: stops would \
             have lost too much work",
        ),
        (
            r#","holders":"job=x account=a priority=0 accelerators=0 cores=2.5 why=guaranteed; job=y account=b why=budget""#,
            "job x of account a (priority 0) held 2.5 cores: it is within its \
             account's guarantee",
        ),
        (
            r#","holders":"accelerators=16 cores=64 why=spare; job=x account=a why=budget""#,
            "16 accelerators were not used: workers are left to urgent work",
        ),
        (
            r#","holders":"job=x account=a accelerators=8 why=reserved""#,
            "job x of account a held 8 accelerators: reserved for it",
        ),
        (
            r#","holders":"job=x account=a accelerators=8 new=1 why=newer""#,
            "job x of account a held 8 accelerators: newer",
        ),
    ];
    for (fields, expected) in cases {
        let logs = read(&[waiting_log("j", fields)]);
        let (_, history) = logs.histories().next().expect("a history");
        let verdict = history.verdict();
        assert_eq!(verdict.end, Outcome::Late, "{fields}");
        assert_eq!(verdict.cause, Cause::Room, "{fields}");
        assert_eq!(verdict.reason(), expected, "{fields}");
        assert_eq!(verdict.cost_ms, 4000, "{fields}");
    }
}

/// Of a step of many tasks only one has a line about its wait.
#[test]
fn task_waits_for_the_holders_that_its_step_waits_for() {
    let holders = r#","holders":"job=x account=a priority=1 accelerators=8 cores=2 why=budget""#;
    let text = waiting_log("j", holders);
    let text = text.replace(
        r#""unit":"0.0.0","how":"done""#,
        r#""unit":"0.0.1","how":"done""#,
    );
    let logs = read(&[text]);
    let verdict = logs.history("j").expect("a history").verdict();
    assert_eq!((verdict.cause, verdict.cost_ms), (Cause::Room, 4000));
    assert_eq!(verdict.holders.len(), 1, "{verdict:?}");
}

/// A wait for runs that are being stopped is not one for the jobs that could
/// not be stopped before.
#[test]
fn holders_of_a_short_wait_do_not_explain_a_long_stop() {
    let holders = r#","holders":"job=x account=a priority=1 accelerators=8 cores=2 why=budget""#;
    for (stopped, named) in [(2, 0), (0, 1)] {
        let kept = format!(
            r#"{{"ts":"2026-01-01T00:00:01Z","msg":"planner: room is kept","job":"j","unit":"0.0.0","stopped":{stopped}}}"#
        );
        let logs = read(&[waiting_log("j", holders), kept]);
        let verdict = logs.history("j").expect("a history").verdict();
        assert_eq!((verdict.cause, verdict.cost_ms), (Cause::Room, 4000));
        assert_eq!(verdict.holders.len(), named, "{stopped}: {verdict:?}");
    }
}

#[test]
fn late_jobs_are_counted_by_holder() {
    let field = |account: &str, why: &str| {
        format!(
            r#","holders":"job=x account={account} priority=1 accelerators=8 cores=2 why={why}""#
        )
    };
    let logs = read(&[
        waiting_log("a", &field("one", "budget")),
        waiting_log("b", &field("two", "budget")),
        waiting_log("c", &field("two", "budget")),
        waiting_log("d", ""),
    ]);
    let verdicts: Vec<_> = logs
        .histories()
        .map(|(_, history)| history.verdict())
        .collect();
    let row = |account: &str, jobs, cost_ms| Count {
        account: Some(account.to_owned()),
        priority: Some(1),
        why: "budget".to_owned(),
        jobs,
        cost_ms,
    };
    let expected = [row("two", 2, 8000), row("one", 1, 4000)];
    assert_eq!(holder::count(&verdicts), expected);
}

#[test]
fn lines_of_other_programs_are_counted_and_skipped() {
    let mut logs = Logs::default();
    let text = "no line of ours\n{\"ts\":\"yesterday\",\"msg\":\"x\"}\n{\n\n";
    logs.read(text.as_bytes()).expect("readable lines");
    assert_eq!(logs.counts(), (3, 3));
    assert_eq!(logs.histories().count(), 0);
}
