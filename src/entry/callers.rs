//! HTTP for callers: submits, shows, cancels and lists jobs, and returns their
//! answers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use hyper::header::AUTHORIZATION;
use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::Value;

use crate::account;
use crate::config;
use crate::config::Account;
use crate::config::Document;
use crate::config::Problem;
use crate::entry::operators;
use crate::entry::responses;
use crate::entry::router;
use crate::entry::Shared;
use crate::http;
use crate::http::Handler;
use crate::job;
use crate::log::excerpt;
use crate::plan::admit;
use crate::record::Record;
use crate::store;
use crate::telemetry::Span;
use crate::util::digest;
use crate::wire::entry::Admit;
use crate::wire::entry::Query;
use crate::wire::entry::Refusal;
use crate::wire::entry::Status;
use crate::wire::gang::Work;
use crate::wire::Trace;

/// The maximum size of a request's body in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// The time limit of a call to the planner that does not wait for a job's end.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum time that a caller may wait for a job's end, and the default.
const MAX_WAIT: Duration = Duration::from_secs(300);

/// The body of a request that submits a job.
#[derive(Debug, Deserialize)]
#[serde(rename = "Submit", deny_unknown_fields)]
struct Submission {
    template: String,
    #[serde(default)]
    parameters: Option<Value>,
    #[serde(default)]
    request_id: Option<String>,
    #[serde(default)]
    wait: bool,
    #[serde(default)]
    wait_ms: Option<u64>,
    #[serde(default)]
    due_ms: Option<u64>,
}

/// The HTTP handler of an entry.
pub struct Api {
    /// The state of the entry.
    pub shared: Arc<Shared>,
}

impl Handler for Api {
    async fn handle(&self, request: http::Request) -> http::Response {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> =
            path.split('/').filter(|part| !part.is_empty()).collect();
        match &parts[..] {
            ["v1", "jobs", rest @ ..] => self.handle_jobs(request, rest).await,
            ["healthz"] => http::text(StatusCode::OK, "ok\n"),
            _ => operators::handle(&self.shared, request, &parts).await,
        }
    }
}

impl Api {
    async fn handle_jobs(
        &self,
        request: http::Request,
        rest: &[&str],
    ) -> http::Response {
        let document = self.shared.document.borrow().clone();
        let owner =
            bearer_token(&request).and_then(|t| document.account_of_token(t));
        let Some(id) = owner else {
            return responses::failure(
                StatusCode::UNAUTHORIZED,
                "authorization: the token of a client account is expected",
            );
        };
        let Some(account) = document.account(&id) else {
            return responses::failure(
                StatusCode::UNAUTHORIZED,
                "no such account",
            );
        };
        let now = Instant::now();
        if let Err(wait) = self.shared.limits.take_token(&id, account, now) {
            let text =
                format!("rate: more than {} requests a second", account.rate);
            return responses::retry_later(
                StatusCode::TOO_MANY_REQUESTS,
                text,
                wait,
            );
        }
        let caller = Caller {
            shared: &self.shared,
            document: &document,
            id,
            account,
        };
        match (request.method().clone(), rest) {
            (Method::POST, []) => caller.submit(request).await,
            (Method::GET, []) => caller.list().await,
            (Method::GET, [job]) => caller.status(job).await,
            (Method::GET, [job, "answer"]) => caller.answer(job).await,
            (Method::DELETE, [job]) => caller.cancel(job).await,
            (_, [] | [_] | [_, "answer"]) => responses::failure(
                StatusCode::METHOD_NOT_ALLOWED,
                "method not allowed",
            ),
            _ => responses::failure(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

/// An authenticated caller.
struct Caller<'a> {
    shared: &'a Shared,
    document: &'a Document,
    id: account::Id,
    account: &'a Account,
}

impl Caller<'_> {
    async fn submit(&self, request: http::Request) -> http::Response {
        let parent = request.headers().get("traceparent");
        let parent = parent.and_then(|value| value.to_str().ok());
        let parent = parent.map(str::to_owned);
        let span = Span::begin("call", parent.as_ref());
        span.set("account", &self.id);
        let body = match http::read_body(request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return responses::body_failure(error),
        };
        let submission: Submission = match serde_json::from_slice(&body) {
            Ok(submission) => submission,
            Err(error) => {
                let status = StatusCode::BAD_REQUEST;
                return responses::failure(status, format!("body: {error}"));
            }
        };
        match self.record(&submission) {
            Ok(record) => {
                span.set("job", &record.spec.id);
                self.admit(record, &submission, span.trace()).await
            }
            Err(problems) => responses::invalid_fields(problems),
        }
    }

    /// Returns the record of the job that a request describes, or the problems
    /// of the request.
    fn record(&self, submission: &Submission) -> Result<Record, Vec<Problem>> {
        let Some(template) = self.document.template(&submission.template)
        else {
            let names: Vec<&str> =
                self.document.templates.keys().map(|t| &**t).collect();
            let expected = format!("one of {}", names.join(", "));
            let problem =
                Problem::new("template", &submission.template, expected);
            return Err(vec![problem]);
        };
        let empty = Value::Object(Default::default());
        let parameters = submission.parameters.clone().unwrap_or(empty);
        let mut problems = template.check_parameters(&parameters);
        let request_id = submission
            .request_id
            .clone()
            .unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string());
        if !config::is_name(&request_id) {
            problems.push(Problem::new(
                "request_id",
                &request_id,
                "1 to 64 characters of a-z, A-Z, 0-9, - and _",
            ));
        }
        let is_never_repeated = self
            .account
            .never_repeat
            .iter()
            .any(|name| **name == *submission.template);
        let now = SystemTime::now();
        let spec = job::Spec {
            id: format!("{}.{request_id}", self.id).into(),
            account: self.id.clone(),
            template: submission.template.as_str().into(),
            shape: template.shape,
            declared: template.declared,
            repeatable: template.repeatable && !is_never_repeated,
            checkpoint: template.checkpoint,
            urgent: template.urgent,
            submitted: now,
            due: submission.due_ms.map(|ms| now + Duration::from_millis(ms)),
        };
        let nominal = self.shared.nominal_plan.borrow().clone();
        let has_site = !nominal.state().workers.is_empty();
        let refusal = admit::unplaceable_reason(nominal.state(), &spec);
        if let Some(reason) = refusal.filter(|_| has_site) {
            problems.push(Problem::new(
                "template",
                &submission.template,
                format!("a shape that the site can hold: {reason}"),
            ));
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        let request = serde_json::json!([submission.template, parameters]);
        Ok(Record {
            spec,
            request: digest::of(request.to_string().as_bytes()),
            work: Work {
                run: template.run.clone(),
                parameters,
                checkpoint: None,
            },
            mark: None,
            cancelled: false,
            end: None,
        })
    }

    async fn admit(
        &self,
        record: Record,
        submission: &Submission,
        trace: Option<Trace>,
    ) -> http::Response {
        let job = record.spec.id.clone();
        let repeatable = record.spec.repeatable;
        // If the record cannot be read, the planner decides: it writes a new
        // record only where there is none.
        if let Ok(Some(existing)) = self.read_record(&job).await {
            match existing.request == record.request {
                false => return responses::conflict(),
                // The planner is not needed for a job that has ended.
                true if existing.end.is_some() => {
                    return responses::job_status(
                        StatusCode::OK,
                        &responses::status_from_record(&existing),
                    );
                }
                true => {}
            }
        }
        let permit = match submission.wait {
            true => {
                match self.shared.limits.acquire_wait(&self.id, self.account) {
                    Some(permit) => Some(permit),
                    None => {
                        let text = format!(
                            "waiting: {} callers wait already",
                            self.account.waiting
                        );
                        let wait = Duration::from_secs(1);
                        let status = StatusCode::TOO_MANY_REQUESTS;
                        return responses::retry_later(status, text, wait);
                    }
                }
            }
            false => None,
        };
        let admit = Admit {
            record,
            caller_waits: submission.wait,
            trace,
        };
        let wait = submission.wait_ms.map(Duration::from_millis);
        let wait = wait.unwrap_or(MAX_WAIT).min(MAX_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        let admission_deadline = tokio::time::Instant::now() + CALL_TIMEOUT;
        let admitted =
            router::admit(self.shared, admit.clone(), admission_deadline)
                .await;
        let status = match admitted {
            Ok(status) => status,
            Err(refusal) => return responses::from_refusal(&refusal),
        };
        if permit.is_none() {
            return responses::job_status(StatusCode::ACCEPTED, &status);
        }
        self.wait_for_end(&job, admit, repeatable, deadline).await
    }

    /// Waits for a job's end. If a new planner does not know the job, a
    /// repeatable job is admitted again: under the same id it is the same job.
    async fn wait_for_end(
        &self,
        job: &job::Id,
        admit: Admit,
        repeatable: bool,
        deadline: tokio::time::Instant,
    ) -> http::Response {
        loop {
            let remaining = deadline - tokio::time::Instant::now();
            let query = Query {
                job: job.clone(),
                timeout_ms: remaining.as_millis() as u64,
            };
            let status = router::status(self.shared, query, deadline).await;
            match status {
                Ok(status) if status.end.is_some() => {
                    return responses::job_status(StatusCode::OK, &status);
                }
                Ok(status) if deadline <= tokio::time::Instant::now() => {
                    return responses::job_status(
                        StatusCode::ACCEPTED,
                        &status,
                    );
                }
                Ok(_) => {}
                Err(Refusal::UnknownJob) => {
                    let record = self.read_record(job).await.ok().flatten();
                    if let Some(ended) = record.filter(|r| r.end.is_some()) {
                        return responses::job_status(
                            StatusCode::OK,
                            &responses::status_from_record(&ended),
                        );
                    }
                    if !repeatable {
                        return responses::from_refusal(
                            &Refusal::StoreUnavailable,
                        );
                    }
                    let retry = admit.clone();
                    let admitted =
                        router::admit(self.shared, retry, deadline).await;
                    if let Err(refusal) = admitted {
                        return responses::from_refusal(&refusal);
                    }
                }
                Err(refusal) => return responses::from_refusal(&refusal),
            }
        }
    }

    /// Reads a job's record; `None` if there is none.
    async fn read_record(
        &self,
        job: &str,
    ) -> Result<Option<Record>, UnreadRecord> {
        let key = Record::key(job);
        let item = self.shared.store.get(&key).await;
        let record = item.map_err(UnreadRecord::from).and_then(|item| {
            let record = item.map(|item| Record::parse(&item.value));
            Ok(record.transpose()?)
        });
        if let Err(error) = &record {
            slog::warn!(self.shared.config.log,
                "entry: a job's record could not be read";
                "key" => key, "error" => excerpt(error));
        }
        record
    }

    fn owns(&self, job: &str) -> bool {
        job.split_once('.')
            .is_some_and(|(account, _)| account == &*self.id)
    }

    /// Returns a job's status from its planner, or else from its record.
    async fn find_status(&self, job: &str) -> Result<Status, http::Response> {
        let not_found = || {
            responses::failure(StatusCode::NOT_FOUND, "job: it is not known")
        };
        if !self.owns(job) {
            return Err(not_found());
        }
        let query = Query {
            job: job.into(),
            timeout_ms: 0,
        };
        let deadline = tokio::time::Instant::now() + CALL_TIMEOUT;
        match router::status(self.shared, query, deadline).await {
            Ok(status) => Ok(status),
            Err(Refusal::UnknownJob) => {
                let record = self.read_record(job).await;
                record
                    .map_err(|error| error.response())?
                    .map(|r| responses::status_from_record(&r))
                    .ok_or_else(not_found)
            }
            Err(refusal) => match self.read_record(job).await {
                Ok(Some(record)) => Ok(responses::status_from_record(&record)),
                Ok(None) | Err(_) => Err(responses::from_refusal(&refusal)),
            },
        }
    }

    async fn status(&self, job: &str) -> http::Response {
        match self.find_status(job).await {
            Ok(status) => responses::job_status(StatusCode::OK, &status),
            Err(response) => response,
        }
    }

    async fn answer(&self, job: &str) -> http::Response {
        let status = match self.find_status(job).await {
            Ok(status) => status,
            Err(response) => return response,
        };
        let end = status.end.as_ref();
        let output = end.and_then(|end| end.output.clone());
        match (end, output) {
            (Some(_), Some(output)) => {
                let mut response = http::text(StatusCode::OK, output);
                responses::set_job_headers(&mut response, &status);
                response
            }
            (Some(end), None) => responses::failure(
                StatusCode::GONE,
                format!("job: it ended as {} without answer", end.outcome),
            ),
            (None, _) => responses::retry_later(
                StatusCode::CONFLICT,
                "job: it has not ended",
                Duration::from_secs(1),
            ),
        }
    }

    async fn cancel(&self, job: &str) -> http::Response {
        if !self.owns(job) {
            return responses::failure(
                StatusCode::NOT_FOUND,
                "job: it is not known",
            );
        }
        let deadline = tokio::time::Instant::now() + CALL_TIMEOUT;
        match router::cancel(self.shared, job.into(), deadline).await {
            Ok(status) => responses::job_status(StatusCode::OK, &status),
            Err(Refusal::UnknownJob) => self.status(job).await,
            Err(refusal) => responses::from_refusal(&refusal),
        }
    }

    async fn list(&self) -> http::Response {
        let deadline = tokio::time::Instant::now() + CALL_TIMEOUT;
        let account = Some(self.id.clone());
        match router::list(self.shared, account, deadline).await {
            Ok(jobs) => http::json(StatusCode::OK, &jobs),
            Err(refusal) => responses::from_refusal(&refusal),
        }
    }
}

/// Returns the bearer token of a request.
pub fn bearer_token(request: &http::Request) -> Option<&str> {
    let value = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

/// A job's record could not be read. Whether the job exists is not known.
#[derive(Debug, thiserror::Error)]
enum UnreadRecord {
    /// The store did not answer.
    #[error("{0}")]
    Store(#[from] store::Error),
    /// The record cannot be decoded.
    #[error("it cannot be decoded: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl UnreadRecord {
    /// Returns the response to a caller who asked for the job.
    fn response(&self) -> http::Response {
        match self {
            UnreadRecord::Store(_) => {
                responses::from_refusal(&Refusal::StoreUnavailable)
            }
            UnreadRecord::Malformed(_) => responses::failure(
                StatusCode::INTERNAL_SERVER_ERROR,
                "job: its record cannot be decoded",
            ),
        }
    }
}
