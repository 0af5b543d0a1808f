//! Helpers shared by the tests of the processes: a site on loopback, calls of
//! clients and operators, and waiting for a condition.

use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use hyper::header::AUTHORIZATION;
use hyper::Method;
use hyper::StatusCode;
use landingvalve::entry::operators::View;
use landingvalve::http;
use landingvalve::util::digest;
use landingvalve::wire::entry::Stage;
use landingvalve::wire::entry::Status;
use landingvalve_standin::site;
use landingvalve_standin::Site;
use serde_json::json;
use serde_json::Value;
use tokio::time::Instant;

/// Upper bound of each wait, far above what any of them needs.
pub const TIMEOUT: Duration = Duration::from_secs(40);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it returns a value, and returns that value.
///
/// # Panics
///
/// If there is no value within [`TIMEOUT`]; the message names `what`.
pub async fn until<T, F>(what: &str, mut condition: impl FnMut() -> F) -> T
where
    F: std::future::Future<Output = Option<T>>,
{
    let deadline = Instant::now() + TIMEOUT;
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    loop {
        interval.tick().await;
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < deadline, "never came: {what}");
    }
}

/// A response of an entry, its body parsed as JSON.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Value,
}

/// Calls an entry with a bearer token; `None` if there is no response.
pub async fn call(
    url: &str,
    token: &str,
    method: Method,
    path: &str,
    body: Option<Value>,
) -> Option<Response> {
    let mut headers = HeaderMap::new();
    let bearer = format!("Bearer {token}");
    let bearer = HeaderValue::from_str(&bearer).expect("an ASCII token");
    headers.insert(AUTHORIZATION, bearer);
    let body = body.map(|body| body.to_string()).unwrap_or_default();
    let deadline = Instant::now() + TIMEOUT;
    let url = format!("{url}{path}");
    let client = http::Client::new();
    let call = client.call(method, &url, headers, body, deadline);
    let reply = call.await.ok()?;
    Some(Response {
        status: reply.status,
        headers: reply.headers,
        body: serde_json::from_slice(&reply.body).unwrap_or(Value::Null),
    })
}

/// Submits a job for account `a`, and returns the response.
pub async fn submit(url: &str, body: Value) -> Option<Response> {
    call(url, "a-token", Method::POST, "/v1/jobs", Some(body)).await
}

/// Returns a job's status; `None` if the entry sends none.
pub async fn job_status(url: &str, job: &str) -> Option<Status> {
    let path = format!("/v1/jobs/{job}");
    let response = call(url, "a-token", Method::GET, &path, None).await?;
    serde_json::from_value(response.body).ok()
}

/// Waits until a job is at `stage`, and returns its status.
pub async fn wait_for_stage(url: &str, job: &str, stage: Stage) -> Status {
    let what = format!("{job} at {stage:?}");
    until(&what, || async {
        let status = job_status(url, job).await?;
        (status.stage == stage).then_some(status)
    })
    .await
}

/// Returns the status page of an entry for operators; `None` without one.
pub async fn view(url: &str) -> Option<View> {
    let path = "/v1/status";
    let response =
        call(url, site::OPERATOR_TOKEN, Method::GET, path, None).await?;
    serde_json::from_value(response.body).ok()
}

/// Creates an item of the configuration, and retries until it is accepted.
pub async fn put_config(url: &str, path: &str, value: Value) -> Response {
    until("an edit", || async {
        let body = json!({"value": value, "revision": 0, "edit": "setup"});
        let path = format!("/v1/config/{path}");
        let method = Method::PUT;
        let token = site::OPERATOR_TOKEN;
        let response = call(url, token, method, &path, Some(body)).await?;
        (response.status == StatusCode::OK).then_some(response)
    })
    .await
}

/// Returns the settings of account `a`: a guarantee of 16 accelerators within
/// a rack, and up to `borrow` accelerators to borrow.
pub fn account_value(borrow: u32) -> Value {
    json!({"borrow": borrow, "tokens": [digest::of(b"a-token")],
        "guarantee": [{"accelerators": 16, "within": "rack"}]})
}

/// Returns a template of the given shape whose jobs run for 1 s by default.
pub fn template_value(
    accelerators: u32,
    within: &str,
    repeatable: bool,
) -> Value {
    json!({"shape": {"accelerators": accelerators, "within": within},
        "run_ms": 1000, "run": "task", "repeatable": repeatable,
        "checkpoint": false, "parameters": {
            "run_ms": {"kind": "integer"}, "output": {"kind": "string"},
            "fail": {"kind": "boolean"}}})
}

/// Returns how many tasks of a job were started, over all workers.
pub fn start_count(site: &Site, job: &str) -> usize {
    let prefix = format!("{job}@");
    site.endpoints
        .values()
        .flat_map(|endpoint| endpoint.started_tasks())
        .filter(|task| task.starts_with(&prefix))
        .count()
}

/// Starts a site with account `a` and the templates `small`, `gang` and
/// `report` (not repeatable), and waits until it has settled.
pub async fn start_site(entries: usize) -> Site {
    let plan = site::Config::with_entries(entries);
    let site = Site::start(plan).await.expect("a site on loopback");
    let url = site.url("e1");
    put_config(&url, "accounts/a", account_value(64)).await;
    put_config(&url, "templates/small", template_value(1, "worker", true))
        .await;
    put_config(&url, "templates/gang", template_value(16, "rack", true)).await;
    put_config(&url, "templates/report", template_value(2, "worker", false))
        .await;
    wait_until_settled(&url, 11).await;
    site
}

/// Waits until the planner has `workers` workers up and every guarantee
/// placed, and all entries have the same revision of the configuration.
pub async fn wait_until_settled(url: &str, workers: usize) -> View {
    until("a settled site", || async {
        let view = view(url).await?;
        let cell = view.cell.as_ref()?;
        let up_count =
            cell.workers.iter().filter(|w| w.presence == "up").count();
        let all_placed = cell.guarantees.iter().all(|g| g.placed);
        let is_same_revision = view
            .entries
            .iter()
            .all(|e| e.revision == Some(view.revision));
        let is_configured = !cell.guarantees.is_empty() && view.revision > 0;
        (up_count == workers
            && all_placed
            && is_same_revision
            && is_configured)
            .then_some(view)
    })
    .await
}
