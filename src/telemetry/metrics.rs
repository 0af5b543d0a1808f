//! The metrics of all programs.
//!
//! A field of [`Metrics`] has the name of its metric without the prefix
//! `landingvalve_`.

use std::sync::OnceLock;

use opentelemetry::global;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::KeyValue;

/// The name and help text of a metric.
#[derive(Clone, Copy, Debug)]
pub struct Description {
    /// The exported name.
    pub name: &'static str,
    /// What the metric measures, with its labels.
    pub help: &'static str,
}

/// The descriptions of all metrics.
pub const DESCRIPTIONS: &[Description] = &[
    describe("landingvalve_jobs_admitted", "Jobs taken in, by account."),
    describe("landingvalve_jobs_ended", "Jobs that ended, by outcome."),
    describe("landingvalve_starts", "Gangs that were started."),
    describe("landingvalve_stops", "Gangs told to stop, by reason."),
    describe("landingvalve_refused", "Requests refused, by status."),
    describe("landingvalve_store_calls", "Calls of the store, by path."),
    describe(
        "landingvalve_start_seconds",
        "Submission to all tasks begun.",
    ),
    describe("landingvalve_step_seconds", "Wall time of one decision."),
    describe("landingvalve_takeover_seconds", "Claim to first decision."),
    describe("landingvalve_jobs_waiting", "Jobs that wait."),
    describe("landingvalve_jobs_running", "Jobs that have accelerators."),
    describe(
        "landingvalve_fragmentation",
        "Share of free accelerators in no free whole worker, 0 to 1.",
    ),
    describe(
        "landingvalve_guarantee_missing",
        "Guaranteed accelerators without a place, by account.",
    ),
    describe(
        "landingvalve_configuration",
        "Configuration revision in force.",
    ),
    describe(
        "landingvalve_held",
        "Accelerators held or in use, by worker.",
    ),
    describe(
        "landingvalve_request_seconds",
        "Time of an answer to a caller, by method and status.",
    ),
    describe("landingvalve_submissions", "Submissions, by outcome."),
    describe(
        "landingvalve_store_seconds",
        "Time of a call of the platform's store, by call, subject, outcome.",
    ),
    describe(
        "landingvalve_records_rejected",
        "Jobs with a record that the store does not take.",
    ),
    describe("landingvalve_decisions", "Decisions of a planner, by kind."),
    describe(
        "landingvalve_wait_seconds",
        "Waiting of a unit until it was placed.",
    ),
    describe(
        "landingvalve_owed_seconds",
        "The same of first runs within a guarantee, by whether it was late.",
    ),
    describe(
        "landingvalve_run_seconds",
        "Length of runs that ended, by how.",
    ),
    describe(
        "landingvalve_job_seconds",
        "Acceptance to end of a job, by outcome and whether it was late.",
    ),
    describe(
        "landingvalve_account_use",
        "Decayed use in accelerator-seconds, by account.",
    ),
    describe(
        "landingvalve_order_seconds",
        "Time of an order to a worker, by kind and outcome.",
    ),
    describe("landingvalve_looks", "Looks at the worker, by outcome."),
    describe(
        "landingvalve_starts_waiting",
        "Starts that an agent has kept waiting, by reason.",
    ),
    describe(
        "landingvalve_gang_begin_seconds",
        "Time from the first to the last begin of a gang's members.",
    ),
    describe(
        "landingvalve_answers_lost",
        "Answers with orders that an agent did not receive.",
    ),
    describe(
        "landingvalve_limited",
        "What was turned away at a limit of this process, by limit.",
    ),
    describe(
        "landingvalve_relayed",
        "Calls of the store by way of another entry, by outcome.",
    ),
    describe(
        "landingvalve_strange",
        "What came from outside and could not be used, by kind.",
    ),
    describe(
        "landingvalve_headroom_worker_seconds",
        "Time for which workers were kept for urgent work.",
    ),
    describe(
        "landingvalve_headroom_waits",
        "Units that waited because of workers left to urgent work.",
    ),
    describe("landingvalve_claims", "Claims, by what became of them."),
    describe(
        "landingvalve_ready",
        "Whether new callers are taken, 0 or 1.",
    ),
    describe(
        "landingvalve_configuration_age_seconds",
        "Age of the configuration that a request was answered by.",
    ),
    describe(
        "landingvalve_configuration_bytes",
        "Size of the configuration in force.",
    ),
];

/// The bucket bounds of all histograms, in seconds. They range from a response
/// of the store to the longest job.
const BUCKET_BOUNDS_SECONDS: [f64; 13] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0,
];

/// Returns the help text of a metric, or `None` if it is not one of
/// [`DESCRIPTIONS`].
pub fn help(name: &str) -> Option<&'static str> {
    let metric = DESCRIPTIONS.iter().find(|metric| metric.name == name)?;
    Some(metric.help)
}

const fn describe(name: &'static str, help: &'static str) -> Description {
    Description { name, help }
}

/// The instruments of the metrics in [`DESCRIPTIONS`].
pub struct Metrics {
    /// Jobs admitted.
    pub jobs_admitted: Counter<u64>,
    /// Jobs that ended.
    pub jobs_ended: Counter<u64>,
    /// Gangs that were started.
    pub starts: Counter<u64>,
    /// Stops ordered for gangs.
    pub stops: Counter<u64>,
    /// Requests refused.
    pub refused: Counter<u64>,
    /// Calls of the store.
    pub store_calls: Counter<u64>,
    /// Time from submission to the start of all tasks, in seconds.
    pub start_seconds: Histogram<f64>,
    /// Wall time of one decision, in seconds.
    pub step_seconds: Histogram<f64>,
    /// Time from claim to first decision, in seconds.
    pub takeover_seconds: Histogram<f64>,
    /// Jobs waiting.
    pub jobs_waiting: Gauge<u64>,
    /// Jobs holding accelerators.
    pub jobs_running: Gauge<u64>,
    /// Share of free accelerators on partly used workers, 0 to 1.
    pub fragmentation: Gauge<f64>,
    /// Guaranteed accelerators without a place.
    pub guarantee_missing: Gauge<u64>,
    /// Configuration revision in force.
    pub configuration: Gauge<i64>,
    /// Accelerators held or in use.
    pub held: Gauge<u64>,
    /// Time to answer a request of a caller, in seconds.
    pub request_seconds: Histogram<f64>,
    /// Submissions.
    pub submissions: Counter<u64>,
    /// Time of a call of the platform's store, in seconds.
    pub store_seconds: Histogram<f64>,
    /// Decisions of a planner.
    pub decisions: Counter<u64>,
    /// Time that a unit waited until it was placed, in seconds.
    pub wait_seconds: Histogram<f64>,
    /// Time that a first run within a guarantee waited, in seconds.
    pub owed_seconds: Histogram<f64>,
    /// Length of ended runs, in seconds.
    pub run_seconds: Histogram<f64>,
    /// Time from acceptance to end of a job, in seconds.
    pub job_seconds: Histogram<f64>,
    /// Decayed use by account, in accelerator-seconds.
    pub account_use: Gauge<f64>,
    /// Time of an order to a worker, in seconds.
    pub order_seconds: Histogram<f64>,
    /// Polls of the worker.
    pub looks: Counter<u64>,
    /// Starts delayed by an agent.
    pub starts_waiting: Counter<u64>,
    /// Time from the first to the last begin of a gang's members, in seconds.
    pub gang_begin_seconds: Histogram<f64>,
    /// Answers with orders that an agent did not receive.
    pub answers_lost: Counter<u64>,
    /// Connections and requests rejected at a limit of this process.
    pub limited: Counter<u64>,
    /// Calls of the store relayed by another entry.
    pub relayed: Counter<u64>,
    /// Unusable input from outside.
    pub strange: Counter<u64>,
    /// Jobs with a record that the store does not take.
    pub records_rejected: Counter<u64>,
    /// Time for which workers were kept for urgent work, in worker-seconds.
    pub headroom_worker_seconds: Counter<f64>,
    /// Units that waited because of workers left to urgent work.
    pub headroom_waits: Counter<u64>,
    /// Claims of the planner role.
    pub claims: Counter<u64>,
    /// Whether new callers are accepted, 0 or 1.
    pub ready: Gauge<u64>,
    /// Age of the configuration used to answer a request, in seconds.
    pub configuration_age_seconds: Histogram<f64>,
    /// Size of the configuration in force, in bytes.
    pub configuration_bytes: Gauge<u64>,
}

/// Returns a label with a fixed value.
pub fn label(key: &'static str, value: &'static str) -> KeyValue {
    KeyValue::new(key, value)
}

/// Returns the instruments of this process, created at the first call.
pub fn get() -> &'static Metrics {
    static METRICS: OnceLock<Metrics> = OnceLock::new();
    METRICS.get_or_init(|| {
        let meter = global::meter("landingvalve");
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let gauge = |name: &'static str| meter.u64_gauge(name).build();
        let histogram = |name: &'static str| {
            let histogram = meter.f64_histogram(name);
            histogram
                .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
                .build()
        };
        Metrics {
            jobs_admitted: counter("landingvalve_jobs_admitted"),
            jobs_ended: counter("landingvalve_jobs_ended"),
            starts: counter("landingvalve_starts"),
            stops: counter("landingvalve_stops"),
            refused: counter("landingvalve_refused"),
            store_calls: counter("landingvalve_store_calls"),
            start_seconds: histogram("landingvalve_start_seconds"),
            step_seconds: histogram("landingvalve_step_seconds"),
            takeover_seconds: histogram("landingvalve_takeover_seconds"),
            jobs_waiting: gauge("landingvalve_jobs_waiting"),
            jobs_running: gauge("landingvalve_jobs_running"),
            fragmentation: meter
                .f64_gauge("landingvalve_fragmentation")
                .build(),
            guarantee_missing: gauge("landingvalve_guarantee_missing"),
            configuration: meter
                .i64_gauge("landingvalve_configuration")
                .build(),
            held: gauge("landingvalve_held"),
            request_seconds: histogram("landingvalve_request_seconds"),
            submissions: counter("landingvalve_submissions"),
            store_seconds: histogram("landingvalve_store_seconds"),
            decisions: counter("landingvalve_decisions"),
            wait_seconds: histogram("landingvalve_wait_seconds"),
            owed_seconds: histogram("landingvalve_owed_seconds"),
            run_seconds: histogram("landingvalve_run_seconds"),
            job_seconds: histogram("landingvalve_job_seconds"),
            account_use: meter.f64_gauge("landingvalve_account_use").build(),
            order_seconds: histogram("landingvalve_order_seconds"),
            looks: counter("landingvalve_looks"),
            starts_waiting: counter("landingvalve_starts_waiting"),
            gang_begin_seconds: histogram("landingvalve_gang_begin_seconds"),
            answers_lost: counter("landingvalve_answers_lost"),
            limited: counter("landingvalve_limited"),
            relayed: counter("landingvalve_relayed"),
            strange: counter("landingvalve_strange"),
            records_rejected: counter("landingvalve_records_rejected"),
            headroom_worker_seconds: meter
                .f64_counter("landingvalve_headroom_worker_seconds")
                .build(),
            headroom_waits: counter("landingvalve_headroom_waits"),
            claims: counter("landingvalve_claims"),
            ready: gauge("landingvalve_ready"),
            configuration_age_seconds: histogram(
                "landingvalve_configuration_age_seconds",
            ),
            configuration_bytes: gauge("landingvalve_configuration_bytes"),
        }
    })
}
