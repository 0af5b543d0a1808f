//! An HTTP client whose calls have a deadline or an idle timeout.

mod pool;

use std::io::ErrorKind;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use hyper::header::CONTENT_TYPE;
use hyper::Method;
use hyper::StatusCode;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::time::Instant;

use crate::http::client::pool::Pool;
use crate::http::client::pool::Pools;

/// How long a server may take to begin a response, beyond the wait that the
/// request asks for, before the connection counts as silent. The slowest
/// answers of a store that serves took 340 ms.
const SUSPECT_AFTER: Duration = Duration::from_millis(350);
/// The maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The slowest link that timeouts allow for, in bytes per second: 1 Mbit/s, a
/// tenth of the users' slowest link.
const MIN_LINK_BYTES_PER_SECOND: f64 = 125_000.0;

/// Returns how long the slowest link that timeouts allow for takes to transfer
/// `bytes`. A request may take that much longer.
pub fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_LINK_BYTES_PER_SECOND)
}

/// A call without a usable response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was established. The call had no effect.
    #[error("{url}: connection failed: {reason}")]
    Unreached {
        /// The URL of the call.
        url: String,
        /// Why the connection failed.
        reason: String,
        /// Whether the host refused the connection, as a host does when no
        /// process listens on the port.
        refused: bool,
    },
    /// No complete response arrived. The call may or may not have taken
    /// effect.
    #[error("{url}: no response: {reason}")]
    Lost {
        /// The URL of the call.
        url: String,
        /// Why no complete response arrived.
        reason: String,
    },
    /// The response has an error status, or its body cannot be parsed.
    #[error("{url}: status {status}: {body}")]
    Unexpected {
        /// The URL of the call.
        url: String,
        /// The status of the response.
        status: StatusCode,
        /// The first 300 characters of the body, or an empty text.
        body: String,
    },
}

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Reply {
    /// Parses the JSON body of a successful response. `url` is the URL of the
    /// call, for the error.
    ///
    /// # Errors
    ///
    /// If the status is not a success, or the body is not the JSON of an `A`.
    pub fn json<A: DeserializeOwned>(&self, url: &str) -> Result<A, Error> {
        match serde_json::from_slice(&self.body) {
            Ok(value) if self.status.is_success() => Ok(value),
            _ => {
                let body = String::from_utf8_lossy(&self.body);
                Err(Error::Unexpected {
                    url: url.to_owned(),
                    status: self.status,
                    body: body.chars().take(300).collect(),
                })
            }
        }
    }
}

/// How long a server may send nothing before a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// The time that the request asks the server to wait.
    pub wait: Duration,
    /// The time beyond `wait` until the response begins.
    pub first_byte: Duration,
    /// The time between two parts of the response.
    pub idle: Duration,
}

/// An HTTP client that keeps its connections. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Client {
    pools: Pools,
}

impl Client {
    /// Returns a client without connections.
    pub fn new() -> Client {
        Client::default()
    }

    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    ///
    /// If no complete response arrives before the deadline.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        headers: HeaderMap,
        body: impl Into<Bytes>,
        deadline: Instant,
    ) -> Result<Reply, Error> {
        let mut request = request(method, url, body.into())?;
        request.headers_mut().extend(headers);
        let sent = self.send(request, url, deadline, deadline).await?;
        self.receive(sent, url, || deadline).await
    }

    /// Sends a request and returns the complete response, without a limit on
    /// the total time.
    ///
    /// For responses whose size depends on the data of others: a total limit
    /// would cut them off on a narrow link, and every retry too.
    ///
    /// # Errors
    ///
    /// If the server sends nothing for longer than `silence` allows. The time
    /// until the response begins is extended by the [`transfer_time`] of the
    /// request body.
    pub async fn call_with_idle_timeout(
        &self,
        method: Method,
        url: &str,
        headers: HeaderMap,
        body: impl Into<Bytes>,
        silence: Silence,
    ) -> Result<Reply, Error> {
        let body = body.into();
        let due = Instant::now() + silence.wait + transfer_time(body.len());
        let begin_by = due + silence.first_byte;
        let suspect_at = begin_by.min(due + SUSPECT_AFTER);
        let mut request = request(method, url, body)?;
        request.headers_mut().extend(headers);
        let sent = self.send(request, url, suspect_at, begin_by).await?;
        self.receive(sent, url, || Instant::now() + silence.idle)
            .await
    }

    /// Posts JSON and returns the JSON of a successful response.
    ///
    /// # Errors
    ///
    /// If no complete response arrives before the deadline, if its status is
    /// not a success, or if its body is not the JSON of an `A`.
    pub async fn post<A: DeserializeOwned>(
        &self,
        url: &str,
        value: &impl Serialize,
        deadline: Instant,
    ) -> Result<A, Error> {
        let body = encode(url, value)?;
        let reply =
            self.call(Method::POST, url, json(), body, deadline).await?;
        reply.json(url)
    }

    /// Posts JSON and returns the JSON of a successful response, with a limit
    /// on idle time only; see [`Client::call_with_idle_timeout`].
    ///
    /// # Errors
    ///
    /// If the response does not begin or continue within `idle`, if its status
    /// is not a success, or if its body is not the JSON of an `A`.
    pub async fn post_with_idle_timeout<A: DeserializeOwned>(
        &self,
        url: &str,
        value: &impl Serialize,
        idle: Duration,
    ) -> Result<A, Error> {
        let body = encode(url, value)?;
        let reply = self
            .call_with_idle_timeout(
                Method::POST,
                url,
                json(),
                body,
                Silence {
                    wait: Duration::ZERO,
                    first_byte: idle,
                    idle,
                },
            )
            .await?;
        reply.json(url)
    }

    /// Gets the JSON of a successful response.
    ///
    /// # Errors
    ///
    /// In the same cases as [`Client::post`].
    pub async fn get<A: DeserializeOwned>(
        &self,
        url: &str,
        deadline: Instant,
    ) -> Result<A, Error> {
        let headers = HeaderMap::new();
        let reply = self
            .call(Method::GET, url, headers, Bytes::new(), deadline)
            .await?;
        reply.json(url)
    }

    /// Posts JSON and returns the body of the response as a stream.
    ///
    /// # Errors
    ///
    /// If the response does not begin before the deadline, or its status is
    /// not a success.
    pub async fn stream(
        &self,
        url: &str,
        value: &impl Serialize,
        deadline: Instant,
    ) -> Result<Stream, Error> {
        let body = encode(url, value)?;
        let request = request(Method::POST, url, body.into())?;
        let sent = self.send(request, url, deadline, deadline).await?;
        let response = sent.response;
        match response.status().is_success() {
            true => Ok(Stream {
                body: response.into_body(),
                url: url.to_owned(),
                buffer: Vec::new(),
            }),
            false => Err(Error::Unexpected {
                url: url.to_owned(),
                status: response.status(),
                body: String::new(),
            }),
        }
    }

    /// Sends a request and returns the response once its head has arrived.
    /// Idle connections to the server are not used again if it has not by
    /// `suspect_at`.
    async fn send(
        &self,
        request: hyper::Request<Full<Bytes>>,
        url: &str,
        suspect_at: Instant,
        deadline: Instant,
    ) -> Result<Sent, Error> {
        let pool = self.pools.get(request.uri());
        let mut response = pool.connections.request(request);
        let soon = tokio::time::timeout_at(suspect_at, &mut response).await;
        let answer = match soon {
            Ok(answer) => Ok(answer),
            Err(_) => {
                self.pools.retire(&pool);
                tokio::time::timeout_at(deadline, response).await
            }
        };
        match answer {
            Ok(Ok(response)) => Ok(Sent { response, pool }),
            Ok(Err(error)) => Err(call_error(url, &error)),
            Err(_) => Err(lost(url, "deadline exceeded")),
        }
    }

    /// Receives the complete response. Calls `limit` before each frame for the
    /// deadline of that frame.
    async fn receive(
        &self,
        sent: Sent,
        url: &str,
        limit: impl Fn() -> Instant,
    ) -> Result<Reply, Error> {
        let (head, body) = sent.response.into_parts();
        let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
        let mut bytes = Vec::new();
        loop {
            match tokio::time::timeout_at(limit(), body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    bytes.extend_from_slice(&data);
                }
                Ok(Some(Err(error))) => return Err(lost(url, error)),
                Ok(None) => break,
                // The count distinguishes a response that was cut off from one
                // that never began.
                Err(_) => {
                    self.pools.retire(&sent.pool);
                    let received = bytes.len();
                    let reason =
                        format!("deadline exceeded after {received} bytes");
                    return Err(lost(url, reason));
                }
            }
        }
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: bytes.into(),
        })
    }
}

/// A request whose response has begun.
struct Sent {
    response: hyper::Response<Incoming>,
    /// The pool of the connection.
    pool: Pool,
}

/// The body of a response, read line by line.
pub struct Stream {
    body: Incoming,
    url: String,
    buffer: Vec<u8>,
}

impl Stream {
    /// Returns the next line without its newline, or `None` at the end.
    ///
    /// # Errors
    ///
    /// If the connection breaks.
    pub async fn next_line(&mut self) -> Result<Option<Vec<u8>>, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let mut line: Vec<u8> = self.buffer.drain(..=end).collect();
                line.pop();
                return Ok(Some(line));
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    self.buffer.extend(frame.into_data().unwrap_or_default());
                }
                Some(Err(error)) => return Err(lost(&self.url, error)),
            }
        }
    }
}

fn encode(url: &str, value: &impl Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|error| unreached(url, &error))
}

/// Returns the headers of a request with a JSON body.
fn json() -> HeaderMap {
    let content_type = HeaderValue::from_static("application/json");
    HeaderMap::from_iter([(CONTENT_TYPE, content_type)])
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
        .map_err(|error| unreached(url, &error))
}

fn call_error(url: &str, error: &hyper_util::client::legacy::Error) -> Error {
    match error.is_connect() {
        true => unreached(url, error),
        false => lost(url, error),
    }
}

fn unreached(url: &str, reason: &(dyn std::error::Error + 'static)) -> Error {
    Error::Unreached {
        url: url.to_owned(),
        reason: reason.to_string(),
        refused: is_refused(reason),
    }
}

/// Returns whether an error or any of its sources is a refused connection.
fn is_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(error) = next {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
        next = error.source();
    }
    false
}

fn lost(url: &str, reason: impl std::fmt::Display) -> Error {
    Error::Lost {
        url: url.to_owned(),
        reason: reason.to_string(),
    }
}
