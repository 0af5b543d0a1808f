//! An HTTP client of the public interface of an entry.

use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use hyper::header::AUTHORIZATION;
use hyper::Method;
use hyper::StatusCode;
use landingvalve::http;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::Instant;

/// The timeout of a call that doesn't wait for a job.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// The timeout of a submission that waits for the job to end.
const WAITING_CALL_TIMEOUT: Duration = Duration::from_secs(320);

/// A client of one entry that authenticates with one token.
#[derive(Clone)]
pub struct Client {
    http: http::Client,
    entry: String,
    token: String,
}

/// A response with a JSON body.
pub struct Response {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body, null if the body of the response was not JSON.
    pub body: Value,
}

impl Response {
    /// Parses the body of a successful response.
    ///
    /// # Errors
    ///
    /// If the status is not a success (the error holds the status and the
    /// reason that the entry gave), or the body is not a `T`.
    pub fn parse<T: DeserializeOwned>(self) -> eyre::Result<T> {
        match self.status.is_success() {
            true => Ok(serde_json::from_value(self.body)?),
            false => Err(eyre::eyre!("{}", self.error())),
        }
    }

    /// Returns the status and the reason of a failed call.
    pub fn error(&self) -> String {
        let reason = self.body["error"].as_str().unwrap_or("no reason given");
        format!("{}: {reason}", self.status.as_u16())
    }
}

impl Client {
    /// Returns a client of the entry at a URL.
    pub fn new(entry: &str, token: &str) -> Client {
        Client {
            http: http::Client::new(),
            entry: entry.trim_end_matches('/').to_owned(),
            token: token.to_owned(),
        }
    }

    /// Calls a path whose responses are JSON. A body with `"wait": true` gets
    /// the longer timeout.
    ///
    /// # Errors
    ///
    /// If no response arrives before the timeout.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> eyre::Result<Response> {
        let waits = body.is_some_and(|body| body["wait"] == true);
        let timeout = if waits {
            WAITING_CALL_TIMEOUT
        } else {
            CALL_TIMEOUT
        };
        let reply = self.send(method, path, body, timeout).await?;
        let body = serde_json::from_slice(&reply.body);
        Ok(Response {
            status: reply.status,
            body: body.unwrap_or(Value::Null),
        })
    }

    /// Returns the response of a path with its body as bytes.
    ///
    /// # Errors
    ///
    /// If no response arrives before the timeout.
    pub async fn fetch(&self, path: &str) -> eyre::Result<http::Reply> {
        self.send(Method::GET, path, None, CALL_TIMEOUT).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        timeout: Duration,
    ) -> eyre::Result<http::Reply> {
        let mut headers = HeaderMap::new();
        let bearer = format!("Bearer {}", self.token);
        headers.insert(AUTHORIZATION, HeaderValue::from_str(&bearer)?);
        let body = body.map(Value::to_string).unwrap_or_default();
        let url = format!("{}{path}", self.entry);
        let deadline = Instant::now() + timeout;
        let call = self.http.call(method, &url, headers, body, deadline);
        Ok(call.await?)
    }
}
