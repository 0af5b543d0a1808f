//! HTTP for callers: submit, status, answer, cancel, list.

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
use crate::entry::answers;
use crate::entry::operators;
use crate::entry::router;
use crate::entry::Shared;
use crate::http;
use crate::http::Handler;
use crate::job;
use crate::plan::admit;
use crate::record::Record;
use crate::telemetry::Span;
use crate::util::digest;
use crate::wire::entry::Admit;
use crate::wire::entry::Await;
use crate::wire::entry::Refusal;
use crate::wire::entry::Status;
use crate::wire::gang::Work;
use crate::wire::Trace;

/// The largest body of a request.
const MAX_BODY: usize = 256 * 1024;
/// How long a request that waits for nothing may take.
const CALL: Duration = Duration::from_secs(5);
/// How long a caller may wait, and does unless it says.
const LONGEST_WAIT: Duration = Duration::from_secs(300);

/// A job that a caller asks for.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Submit {
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

/// The HTTP side of an entry.
pub struct Front {
    /// What the parts of the entry share.
    pub shared: Arc<Shared>,
}

impl Handler for Front {
    async fn handle(&self, request: http::Request) -> http::Response {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> =
            path.split('/').filter(|part| !part.is_empty()).collect();
        match &parts[..] {
            ["v1", "jobs", rest @ ..] => self.jobs(request, rest).await,
            ["healthz"] => http::text(StatusCode::OK, "ok\n"),
            _ => operators::handle(&self.shared, request, &parts).await,
        }
    }
}

impl Front {
    async fn jobs(
        &self,
        request: http::Request,
        rest: &[&str],
    ) -> http::Response {
        let document = self.shared.document.borrow().clone();
        let owner =
            bearer(&request).and_then(|t| document.account_of_token(t));
        let Some(id) = owner else {
            return answers::refuse(
                StatusCode::UNAUTHORIZED,
                "authorization: the token of a client account is expected",
            );
        };
        let Some(account) = document.account(&id) else {
            return answers::refuse(
                StatusCode::UNAUTHORIZED,
                "no such account",
            );
        };
        let now = Instant::now();
        if let Err(wait) = self.shared.limits.request(&id, account, now) {
            let text =
                format!("rate: more than {} requests a second", account.rate);
            return answers::later(StatusCode::TOO_MANY_REQUESTS, text, wait);
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
            (_, [] | [_] | [_, "answer"]) => answers::refuse(
                StatusCode::METHOD_NOT_ALLOWED,
                "method not allowed",
            ),
            _ => answers::refuse(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

/// A caller that has shown its token.
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
        let body = match http::read_body(request, MAX_BODY).await {
            Ok(body) => body,
            Err(error) => {
                let status = StatusCode::PAYLOAD_TOO_LARGE;
                return answers::refuse(status, error.to_string());
            }
        };
        let submit: Submit = match serde_json::from_slice(&body) {
            Ok(submit) => submit,
            Err(error) => {
                let status = StatusCode::BAD_REQUEST;
                return answers::refuse(status, format!("body: {error}"));
            }
        };
        match self.record(&submit) {
            Ok(record) => {
                span.set("job", &record.spec.id);
                self.admit(record, &submit, span.trace()).await
            }
            Err(problems) => answers::invalid(problems),
        }
    }

    /// Returns the record that a request asks for.
    fn record(&self, submit: &Submit) -> Result<Record, Vec<Problem>> {
        let Some(template) = self.document.template(&submit.template) else {
            let names: Vec<&str> =
                self.document.templates.keys().map(|t| &**t).collect();
            let expected = format!("one of {}", names.join(", "));
            let problem = Problem::new("template", &submit.template, expected);
            return Err(vec![problem]);
        };
        let empty = Value::Object(Default::default());
        let parameters = submit.parameters.clone().unwrap_or(empty);
        let mut problems = template.check_parameters(&parameters);
        let request_id = submit
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
        let never = self
            .account
            .never_repeat
            .iter()
            .any(|name| **name == *submit.template);
        let now = SystemTime::now();
        let spec = job::Spec {
            id: format!("{}.{request_id}", self.id).into(),
            account: self.id.clone(),
            template: submit.template.as_str().into(),
            shape: template.shape,
            declared: template.declared,
            repeatable: template.repeatable && !never,
            checkpoint: template.checkpoint,
            urgent: template.urgent,
            submitted: now,
            due: submit.due_ms.map(|ms| now + Duration::from_millis(ms)),
        };
        let nominal = self.shared.nominal.borrow().clone();
        let has_site = !nominal.state().workers.is_empty();
        let refusal = admit::impossible(nominal.state(), &spec);
        if let Some(reason) = refusal.filter(|_| has_site) {
            problems.push(Problem::new(
                "template",
                &submit.template,
                format!("a shape that the site can hold: {reason}"),
            ));
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        let told = serde_json::json!([submit.template, parameters]);
        Ok(Record {
            spec,
            request: digest::of(told.to_string().as_bytes()),
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
        submit: &Submit,
        trace: Option<Trace>,
    ) -> http::Response {
        let job = record.spec.id.clone();
        let repeatable = record.spec.repeatable;
        if let Some(old) = self.recorded(&job).await {
            match old.request == record.request {
                false => return answers::conflict(),
                // An ended job is answered from its record.
                true if old.end.is_some() => {
                    return answers::shown(
                        StatusCode::OK,
                        &answers::status_of(&old),
                    );
                }
                true => {}
            }
        }
        let place = match submit.wait {
            true => match self.shared.limits.wait(&self.id, self.account) {
                Some(place) => Some(place),
                None => {
                    let text = format!(
                        "waiting: {} callers wait already",
                        self.account.waiting
                    );
                    let wait = Duration::from_secs(1);
                    let status = StatusCode::TOO_MANY_REQUESTS;
                    return answers::later(status, text, wait);
                }
            },
            false => None,
        };
        let admit = Admit {
            record,
            waits: submit.wait,
            trace,
        };
        let wait = submit.wait_ms.map(Duration::from_millis);
        let wait = wait.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        let soon = tokio::time::Instant::now() + CALL;
        let admitted = router::admit(self.shared, admit.clone(), soon).await;
        let status = match admitted {
            Ok(status) => status,
            Err(refusal) => return answers::refused(&refusal),
        };
        if place.is_none() {
            return answers::shown(StatusCode::ACCEPTED, &status);
        }
        self.wait(&job, admit, repeatable, deadline).await
    }

    /// Waits for a job's end. Should its planner die and forget it, it is
    /// admitted anew: under the same id it is the same job.
    async fn wait(
        &self,
        job: &job::Id,
        admit: Admit,
        repeatable: bool,
        deadline: tokio::time::Instant,
    ) -> http::Response {
        loop {
            let left = deadline - tokio::time::Instant::now();
            let wait = Await {
                job: job.clone(),
                within_ms: left.as_millis() as u64,
            };
            let status = router::status(self.shared, wait, deadline).await;
            match status {
                Ok(status) if status.end.is_some() => {
                    return answers::shown(StatusCode::OK, &status);
                }
                Ok(status) if deadline <= tokio::time::Instant::now() => {
                    return answers::shown(StatusCode::ACCEPTED, &status);
                }
                Ok(_) => {}
                Err(Refusal::NotKnown) => {
                    if let Some(old) = self.recorded(job).await {
                        if old.end.is_some() {
                            return answers::shown(
                                StatusCode::OK,
                                &answers::status_of(&old),
                            );
                        }
                    }
                    if !repeatable {
                        return answers::refused(&Refusal::StoreDown);
                    }
                    let again = admit.clone();
                    let admitted =
                        router::admit(self.shared, again, deadline).await;
                    if let Err(refusal) = admitted {
                        return answers::refused(&refusal);
                    }
                }
                Err(refusal) => return answers::refused(&refusal),
            }
        }
    }

    async fn recorded(&self, job: &str) -> Option<Record> {
        let item = self.shared.store.get(&Record::key(job)).await.ok()??;
        Record::parse(&item.value)
    }

    fn owns(&self, job: &str) -> bool {
        job.split_once('.')
            .is_some_and(|(account, _)| account == &*self.id)
    }

    /// Returns a job's status from its planner, or its record.
    async fn find(&self, job: &str) -> Result<Status, http::Response> {
        let missing =
            || answers::refuse(StatusCode::NOT_FOUND, "job: it is not known");
        if !self.owns(job) {
            return Err(missing());
        }
        let wait = Await {
            job: job.into(),
            within_ms: 0,
        };
        let deadline = tokio::time::Instant::now() + CALL;
        match router::status(self.shared, wait, deadline).await {
            Ok(status) => Ok(status),
            Err(Refusal::NotKnown) => {
                let record = self.recorded(job).await;
                record.map(|r| answers::status_of(&r)).ok_or_else(missing)
            }
            Err(refusal) => match self.recorded(job).await {
                Some(record) => Ok(answers::status_of(&record)),
                None => Err(answers::refused(&refusal)),
            },
        }
    }

    async fn status(&self, job: &str) -> http::Response {
        match self.find(job).await {
            Ok(status) => answers::shown(StatusCode::OK, &status),
            Err(response) => response,
        }
    }

    async fn answer(&self, job: &str) -> http::Response {
        let status = match self.find(job).await {
            Ok(status) => status,
            Err(response) => return response,
        };
        let end = status.end.as_ref();
        let output = end.and_then(|end| end.output.clone());
        match (end, output) {
            (Some(_), Some(output)) => {
                let mut response = http::text(StatusCode::OK, output);
                answers::name(&mut response, &status);
                response
            }
            (Some(end), None) => answers::refuse(
                StatusCode::GONE,
                format!("job: it ended as {} without answer", end.outcome),
            ),
            (None, _) => answers::later(
                StatusCode::CONFLICT,
                "job: it has not ended",
                Duration::from_secs(1),
            ),
        }
    }

    async fn cancel(&self, job: &str) -> http::Response {
        if !self.owns(job) {
            return answers::refuse(
                StatusCode::NOT_FOUND,
                "job: it is not known",
            );
        }
        let deadline = tokio::time::Instant::now() + CALL;
        match router::cancel(self.shared, job.into(), deadline).await {
            Ok(status) => answers::shown(StatusCode::OK, &status),
            Err(Refusal::NotKnown) => self.status(job).await,
            Err(refusal) => answers::refused(&refusal),
        }
    }

    async fn list(&self) -> http::Response {
        let deadline = tokio::time::Instant::now() + CALL;
        let account = Some(self.id.clone());
        match router::list(self.shared, account, deadline).await {
            Ok(jobs) => http::json(StatusCode::OK, &jobs),
            Err(refusal) => answers::refused(&refusal),
        }
    }
}

/// Returns the token that a request shows.
pub fn bearer(request: &http::Request) -> Option<&str> {
    let value = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}
