//! A client that gives each call a deadline.

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
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The narrowest link that is waited for, in bytes a second: 1 Mbit/s, a
/// tenth of the users' narrowest.
const MIN_LINK_BYTES_PER_SECOND: f64 = 125_000.0;

/// Returns how much longer a request may take for the bytes that it sends.
pub fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_LINK_BYTES_PER_SECOND)
}

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
        /// Whether its machine has answered that nobody listens there.
        refused: bool,
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

impl Reply {
    /// Returns the JSON of a good answer to a call of `url`.
    ///
    /// # Errors
    ///
    /// If it is not a good one.
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
        let mut request = request(method, url, body.into())?;
        request.headers_mut().extend(headers);
        let answer = self.send(request, url, deadline).await?;
        receive(answer, url, || deadline).await
    }

    /// Sends a request and returns the whole answer, however long it takes
    /// for as long as it goes on coming.
    ///
    /// For answers as large as others have made them: a limit on the whole
    /// would cut them on a narrow link, and cut each further try as well.
    ///
    /// # Errors
    ///
    /// If the answer does not begin in `first`, beside what the request's
    /// bytes take, or if nothing more of it comes for `silence`.
    pub async fn call_with_idle_timeout(
        &self,
        method: Method,
        url: &str,
        headers: HeaderMap,
        body: impl Into<Bytes>,
        first: Duration,
        silence: Duration,
    ) -> Result<Reply, Error> {
        let body = body.into();
        let begins = Instant::now() + first + transfer_time(body.len());
        let mut request = request(method, url, body)?;
        request.headers_mut().extend(headers);
        let answer = self.send(request, url, begins).await?;
        receive(answer, url, || Instant::now() + silence).await
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
        let body = encode(url, value)?;
        let reply =
            self.call(Method::POST, url, json(), body, deadline).await?;
        reply.json(url)
    }

    /// Posts JSON and returns the JSON of a good answer, however long it
    /// takes for as long as it goes on coming; see [`Client::call_with_idle_timeout`].
    ///
    /// # Errors
    ///
    /// If it does not begin or go on coming, or is not a good one.
    pub async fn post_with_idle_timeout<A: DeserializeOwned>(
        &self,
        url: &str,
        value: &impl Serialize,
        silence: Duration,
    ) -> Result<A, Error> {
        let body = encode(url, value)?;
        let reply = self
            .call_with_idle_timeout(
                Method::POST,
                url,
                json(),
                body,
                silence,
                silence,
            )
            .await?;
        reply.json(url)
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
        reply.json(url)
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
        let body = encode(url, value)?;
        let request = request(Method::POST, url, body.into())?;
        let answer = self.send(request, url, deadline).await?;
        match answer.status().is_success() {
            true => Ok(Stream {
                body: answer.into_body(),
                url: url.to_owned(),
                rest: Vec::new(),
            }),
            false => Err(Error::Unexpected {
                url: url.to_owned(),
                status: answer.status(),
                body: String::new(),
            }),
        }
    }

    /// Sends a request and returns the answer once its head has come.
    async fn send(
        &self,
        request: hyper::Request<Full<Bytes>>,
        url: &str,
        deadline: Instant,
    ) -> Result<hyper::Response<Incoming>, Error> {
        let answer = self.inner.request(request);
        match tokio::time::timeout_at(deadline, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(call_error(url, &error)),
            Err(_) => Err(lost(url, "the deadline has passed")),
        }
    }
}

/// Receives the whole of an answer; each piece of it must have come by
/// `limit`, which is asked anew for each.
async fn receive(
    answer: hyper::Response<Incoming>,
    url: &str,
    limit: impl Fn() -> Instant,
) -> Result<Reply, Error> {
    let (head, body) = answer.into_parts();
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    let mut bytes = Vec::new();
    loop {
        match tokio::time::timeout_at(limit(), body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let piece = frame.into_data().unwrap_or_default();
                bytes.extend_from_slice(&piece);
            }
            Ok(Some(Err(error))) => return Err(lost(url, error)),
            Ok(None) => break,
            // How many tells an answer that was cut from silence.
            Err(_) => {
                let come = bytes.len();
                let reason =
                    format!("the deadline has passed, {come} bytes had come");
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

fn encode(url: &str, value: &impl Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|error| unreached(url, &error))
}

/// Returns the header of a body in JSON.
fn json() -> HeaderMap {
    let kind = HeaderValue::from_static("application/json");
    HeaderMap::from_iter([(CONTENT_TYPE, kind)])
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

/// Returns whether a connection was refused, by an error or its sources.
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
