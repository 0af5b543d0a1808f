//! A client that gives each call a deadline.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::header::CONTENT_TYPE;
use hyper::Method;
use hyper::StatusCode;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::time::Instant;

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The longest answer that is read.
const MAX_ANSWER: usize = 64 << 20;

/// A call that brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was made: the call has had no effect.
    #[error("{url}: not reached: {reason}")]
    Unreached {
        /// What was called.
        url: String,
        /// Why it was not reached.
        reason: String,
    },
    /// The answer did not come, or not whole: any effect is unknown.
    #[error("{url}: no answer: {reason}")]
    Lost {
        /// What was called.
        url: String,
        /// How the answer was lost.
        reason: String,
    },
    /// The answer is not what was expected.
    #[error("{url}: status {status}: {body}")]
    Unexpected {
        /// What was called.
        url: String,
        /// The status of the answer.
        status: StatusCode,
        /// The start of its body.
        body: String,
    },
}

/// A whole answer.
#[derive(Debug)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// An HTTP client with a pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    inner: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// Returns a client without connections.
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner =
            hyper_util::client::legacy::Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(IDLE_TIMEOUT)
                .build(connector);
        Client { inner }
    }

    /// Sends a request and returns the whole answer.
    ///
    /// # Errors
    ///
    /// If no whole answer comes before the deadline.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        headers: HeaderMap,
        body: impl Into<Bytes>,
        deadline: Instant,
    ) -> Result<Reply, Error> {
        let come = AtomicUsize::new(0);
        let answer = self.exchange(method, url, headers, body.into(), &come);
        match tokio::time::timeout_at(deadline, answer).await {
            Ok(answer) => answer,
            Err(_) => {
                // Tells a transfer that was cut from silence.
                let come = come.load(Ordering::Relaxed);
                let reason =
                    format!("the deadline has passed, {come} bytes had come");
                Err(lost(url, reason))
            }
        }
    }

    /// Posts JSON and returns the JSON of a good answer.
    ///
    /// # Errors
    ///
    /// If no whole answer comes before the deadline, or it is not a good
    /// one.
    pub async fn post<A: DeserializeOwned>(
        &self,
        url: &str,
        value: &impl Serialize,
        deadline: Instant,
    ) -> Result<A, Error> {
        let mut headers = HeaderMap::new();
        let kind = hyper::header::HeaderValue::from_static("application/json");
        headers.insert(CONTENT_TYPE, kind);
        let body = serde_json::to_vec(value)
            .map_err(|error| unreached(url, error))?;
        let reply = self
            .call(Method::POST, url, headers, body, deadline)
            .await?;
        parse(url, &reply)
    }

    /// Gets the JSON of a good answer.
    ///
    /// # Errors
    ///
    /// As [`Client::post`].
    pub async fn get<A: DeserializeOwned>(
        &self,
        url: &str,
        deadline: Instant,
    ) -> Result<A, Error> {
        let headers = HeaderMap::new();
        let reply = self
            .call(Method::GET, url, headers, Bytes::new(), deadline)
            .await?;
        parse(url, &reply)
    }

    /// Posts JSON and returns the answer's body in pieces.
    ///
    /// # Errors
    ///
    /// If the answer does not begin before the deadline.
    pub async fn stream(
        &self,
        url: &str,
        value: &impl Serialize,
        deadline: Instant,
    ) -> Result<Stream, Error> {
        let body = serde_json::to_vec(value)
            .map_err(|error| unreached(url, error))?;
        let request = request(Method::POST, url, body.into())?;
        let answer = self.inner.request(request);
        let answer = tokio::time::timeout_at(deadline, answer).await;
        match answer {
            Ok(Ok(answer)) if answer.status().is_success() => Ok(Stream {
                body: answer.into_body(),
                url: url.to_owned(),
                rest: Vec::new(),
            }),
            Ok(Ok(answer)) => Err(Error::Unexpected {
                url: url.to_owned(),
                status: answer.status(),
                body: String::new(),
            }),
            Ok(Err(error)) => Err(failed(url, &error)),
            Err(_) => Err(lost(url, "the deadline has passed")),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        url: &str,
        headers: HeaderMap,
        body: Bytes,
        come: &AtomicUsize,
    ) -> Result<Reply, Error> {
        let mut request = request(method, url, body)?;
        request.headers_mut().extend(headers);
        let answer = self
            .inner
            .request(request)
            .await
            .map_err(|error| failed(url, &error))?;
        let (head, body) = answer.into_parts();
        let body = body.map_frame(|frame| {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            come.fetch_add(bytes, Ordering::Relaxed);
            frame
        });
        let body = Limited::new(body, MAX_ANSWER)
            .collect()
            .await
            .map_err(|error| lost(url, error))?;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}

/// The body of an answer, read a line at a time.
pub struct Stream {
    body: Incoming,
    url: String,
    rest: Vec<u8>,
}

impl Stream {
    /// Returns the next line, or `None` at the end.
    ///
    /// # Errors
    ///
    /// If the connection breaks.
    pub async fn line(&mut self) -> Result<Option<Vec<u8>>, Error> {
        loop {
            if let Some(end) = self.rest.iter().position(|b| *b == b'\n') {
                let mut line: Vec<u8> = self.rest.drain(..=end).collect();
                line.pop();
                return Ok(Some(line));
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    self.rest.extend(frame.into_data().unwrap_or_default());
                }
                Some(Err(error)) => return Err(lost(&self.url, error)),
            }
        }
    }
}

fn request(
    method: Method,
    url: &str,
    body: Bytes,
) -> Result<hyper::Request<Full<Bytes>>, Error> {
    hyper::Request::builder()
        .method(method)
        .uri(url)
        .body(Full::new(body))
        .map_err(|error| unreached(url, error))
}

fn parse<A: DeserializeOwned>(url: &str, reply: &Reply) -> Result<A, Error> {
    match serde_json::from_slice(&reply.body) {
        Ok(value) if reply.status.is_success() => Ok(value),
        _ => {
            let body = String::from_utf8_lossy(&reply.body);
            Err(Error::Unexpected {
                url: url.to_owned(),
                status: reply.status,
                body: body.chars().take(300).collect(),
            })
        }
    }
}

fn failed(url: &str, error: &hyper_util::client::legacy::Error) -> Error {
    match error.is_connect() {
        true => unreached(url, error),
        false => lost(url, error),
    }
}

fn unreached(url: &str, reason: impl std::fmt::Display) -> Error {
    Error::Unreached {
        url: url.to_owned(),
        reason: reason.to_string(),
    }
}

fn lost(url: &str, reason: impl std::fmt::Display) -> Error {
    Error::Lost {
        url: url.to_owned(),
        reason: reason.to_string(),
    }
}
