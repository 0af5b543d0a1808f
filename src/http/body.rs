//! Reading of request bodies into a bounded amount of memory.
//!
//! All unfinished bodies of a process share one [`Memory`]. A body takes its
//! share before it is read: a body of known length at once, a chunked one as
//! it grows. If nothing is left, the oldest unfinished bodies are given up, so
//! that clients that never finish do not keep others out.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::StatusCode;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::http;
use crate::http::arrival::Connection;
use crate::http::transfer_time;
use crate::http::Request;
use crate::http::Response;
use crate::log::Throttle;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// How long a body may take in addition to its transfer over the slowest link,
/// if its caller gives no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay after which a caller whose body was refused should retry, in
/// seconds.
const RETRY_AFTER_SECONDS: u64 = 1;
/// The least memory that a chunked body takes, in bytes.
const MIN_CHUNKED_BYTES: usize = 4096;
/// The limit of [`Memory::default`], in bytes.
const DEFAULT_LIMIT_BYTES: usize = 64_000_000;

/// A body that was not read completely. Its request had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("body: longer than the {limit} bytes allowed")]
    TooLong {
        /// The longest body that is allowed, in bytes.
        limit: usize,
    },
    /// The connection broke before the end of the body.
    #[error("body: incomplete")]
    Incomplete,
    /// The body was not complete at its deadline.
    #[error("body: not complete in time")]
    Late,
    /// Other bodies hold the memory.
    #[error("body: other requests hold the memory")]
    NoMemory,
    /// The body was the oldest unfinished one when a later one needed memory.
    #[error("body: given up for later requests")]
    GivenUp,
}

impl BodyError {
    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            BodyError::TooLong { .. } | BodyError::Incomplete => {
                StatusCode::PAYLOAD_TOO_LARGE
            }
            BodyError::Late | BodyError::NoMemory | BodyError::GivenUp => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    /// Returns the value of the label `limit` for a refusal, `None` if the
    /// body itself is at fault.
    fn limit(self) -> Option<Limit> {
        match self {
            BodyError::TooLong { .. } | BodyError::Incomplete => None,
            BodyError::Late => Some(Limit::Time),
            BodyError::NoMemory => Some(Limit::Memory),
            BodyError::GivenUp => Some(Limit::Age),
        }
    }
}

/// Returns the response to a request whose body was not read completely.
pub fn body_failure(error: BodyError) -> Response {
    let status = error.status();
    let mut response = http::text(status, error.to_string());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = HeaderValue::from(RETRY_AFTER_SECONDS);
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// The limit at which a body is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Limit {
    Time,
    Memory,
    Age,
}

impl Limit {
    fn label(self) -> &'static str {
        match self {
            Limit::Time => "body time",
            Limit::Memory => "body memory",
            Limit::Age => "body age",
        }
    }
}

/// The memory that the bodies of a process may hold together. Clones share it.
#[derive(Clone)]
pub struct Memory(Arc<Inner>);

struct Inner {
    limit_bytes: usize,
    state: Mutex<State>,
    throttles: [Throttle; 3],
    log: slog::Logger,
}

/// The number of a body. Later bodies have higher numbers.
type Number = u64;

#[derive(Default)]
struct State {
    held_bytes: usize,
    last: Number,
    /// The unfinished bodies, oldest first.
    unfinished: BTreeMap<Number, Unfinished>,
}

/// The part of a body that has arrived. It is kept here, and not by its
/// reader, so that its memory is free as soon as it is given up.
struct Unfinished {
    bytes: Vec<u8>,
    share_bytes: usize,
    given_up: Arc<Notify>,
}

impl State {
    /// Takes memory for a body, and gives up older unfinished bodies while
    /// there is too little. Returns whether there is enough.
    fn take(&mut self, bytes: usize, body: Number, limit: usize) -> bool {
        while self.held_bytes + bytes > limit {
            if self.held_bytes - self.older_bytes(body) + bytes > limit {
                return false;
            }
            let Some((_, oldest)) = self.unfinished.pop_first() else {
                return false;
            };
            self.held_bytes -= oldest.share_bytes;
            oldest.given_up.notify_one();
        }
        self.held_bytes += bytes;
        true
    }

    /// Returns the memory that unfinished bodies older than `body` hold.
    fn older_bytes(&self, body: Number) -> usize {
        let older = self.unfinished.range(..body);
        older.map(|(_, unfinished)| unfinished.share_bytes).sum()
    }
}

impl Default for Memory {
    fn default() -> Memory {
        Memory::new(DEFAULT_LIMIT_BYTES, crate::log::none())
    }
}

impl fmt::Debug for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Memory")
            .field("limit_bytes", &self.0.limit_bytes)
            .field("held_bytes", &self.held_bytes())
            .finish()
    }
}

impl Memory {
    /// Returns memory of which nothing is held. A single body longer than the
    /// limit is still read, if it is alone.
    pub fn new(limit_bytes: usize, log: slog::Logger) -> Memory {
        Memory(Arc::new(Inner {
            limit_bytes,
            state: Mutex::default(),
            throttles: Default::default(),
            log,
        }))
    }

    /// Returns the memory that bodies hold, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.lock().held_bytes
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a body; `bytes` is its length, or 0 if it is chunked.
    fn begin(&self, bytes: usize) -> Result<Reading, BodyError> {
        let mut state = self.lock();
        let number = state.last + 1;
        state.last = number;
        let share_bytes = bytes.min(self.0.limit_bytes);
        if !state.take(share_bytes, number, self.0.limit_bytes) {
            return Err(BodyError::NoMemory);
        }
        let given_up = Arc::new(Notify::new());
        let unfinished = Unfinished {
            bytes: Vec::with_capacity(bytes),
            share_bytes,
            given_up: given_up.clone(),
        };
        state.unfinished.insert(number, unfinished);
        Ok(Reading {
            memory: self.clone(),
            number,
            given_up,
        })
    }

    /// Counts and logs a refusal, unless the body itself is at fault.
    fn report(&self, error: BodyError) {
        let Some(limit) = error.limit() else {
            return;
        };
        let label = label("limit", limit.label());
        metrics::get().limited.add(1, &[label]);
        let throttle = &self.0.throttles[limit as usize];
        if throttle.try_acquire() {
            slog::warn!(self.0.log, "http: a request's body is refused";
                "limit" => limit.label(), "why" => %error,
                "held_bytes" => self.held_bytes(),
                "limit_bytes" => self.0.limit_bytes,
                "left_out" => throttle.take_suppressed());
        }
    }
}

/// A body that is being read.
struct Reading {
    memory: Memory,
    number: Number,
    given_up: Arc<Notify>,
}

impl Reading {
    /// Appends what has arrived to a body of at most `limit` bytes.
    fn append(&self, data: &[u8], limit: usize) -> Result<(), BodyError> {
        let limit_bytes = self.memory.0.limit_bytes;
        let mut state = self.memory.lock();
        let Some(body) = state.unfinished.get(&self.number) else {
            return Err(BodyError::GivenUp);
        };
        let (length, capacity) = (body.bytes.len(), body.bytes.capacity());
        let needed = length + data.len();
        if needed > limit {
            return Err(BodyError::TooLong { limit });
        }
        let grown = match needed > capacity {
            true => needed.max(2 * capacity).max(MIN_CHUNKED_BYTES).min(limit),
            false => capacity,
        };
        let share_bytes = body.share_bytes.max(grown.min(limit_bytes));
        let missing = share_bytes - body.share_bytes;
        if !state.take(missing, self.number, limit_bytes) {
            return Err(BodyError::NoMemory);
        }
        let Some(body) = state.unfinished.get_mut(&self.number) else {
            return Err(BodyError::GivenUp);
        };
        body.share_bytes = share_bytes;
        body.bytes.reserve_exact(grown - length);
        body.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the body once it has arrived completely.
    fn finish(self) -> Result<Body, BodyError> {
        let unfinished = self.memory.lock().unfinished.remove(&self.number);
        let unfinished = unfinished.ok_or(BodyError::GivenUp)?;
        Ok(Body {
            bytes: unfinished.bytes,
            share: Share {
                memory: self.memory.clone(),
                bytes: unfinished.share_bytes,
            },
        })
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        if let Some(unfinished) = state.unfinished.remove(&self.number) {
            state.held_bytes -= unfinished.share_bytes;
        }
    }
}

/// Memory that a request holds. It is given back when this is dropped.
#[derive(Debug)]
pub struct Share {
    memory: Memory,
    bytes: usize,
}

impl Share {
    /// Takes more memory, up to `bytes` in all, for what was made of a body.
    ///
    /// # Errors
    ///
    /// If other requests hold the memory.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), BodyError> {
        let limit_bytes = self.memory.0.limit_bytes;
        let missing = bytes.min(limit_bytes).saturating_sub(self.bytes);
        let taken = {
            let mut state = self.memory.lock();
            state.take(missing, Number::MAX, limit_bytes)
        };
        if !taken {
            self.memory.report(BodyError::NoMemory);
            return Err(BodyError::NoMemory);
        }
        self.bytes += missing;
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.lock().held_bytes -= self.bytes;
    }
}

/// A complete body, which holds its memory until it is dropped.
#[derive(Debug)]
pub struct Body {
    bytes: Vec<u8>,
    share: Share,
}

impl Body {
    /// Drops the bytes, and returns the memory that they took.
    pub fn into_share(self) -> Share {
        self.share
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the whole body of a request, up to `limit` bytes, for a caller that
/// gives no deadline.
///
/// # Errors
///
/// In the same cases as [`read_body_until`].
pub async fn read_body(
    request: Request,
    limit: usize,
) -> Result<Body, BodyError> {
    let timeout = BODY_TIMEOUT + transfer_time(limit);
    read_body_until(request, limit, Instant::now() + timeout).await
}

/// Reads the whole body of a request, up to `limit` bytes, into the memory of
/// the server that received it.
///
/// # Errors
///
/// If the body is longer than `limit`, the connection breaks, the body is not
/// complete at the deadline, or others need the memory.
pub async fn read_body_until(
    request: Request,
    limit: usize,
    deadline: Instant,
) -> Result<Body, BodyError> {
    let memory = request.extensions().get::<Memory>().cloned();
    let memory = memory.unwrap_or_default();
    let connection = request.extensions().get::<Connection>();
    let _arrival = connection.map(Connection::wait);
    let read = read(&memory, request.into_body(), limit, deadline).await;
    if let Err(error) = read {
        memory.report(error);
    }
    read
}

async fn read(
    memory: &Memory,
    mut body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Body, BodyError> {
    let length = body.size_hint().exact().unwrap_or_default();
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > limit {
        return Err(BodyError::TooLong { limit });
    }
    let reading = memory.begin(length)?;
    let given_up = reading.given_up.clone();
    let late = tokio::time::sleep_until(deadline);
    tokio::pin!(late);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = given_up.notified() => return Err(BodyError::GivenUp),
            () = &mut late => return Err(BodyError::Late),
        };
        let data: Bytes = match frame {
            None => return reading.finish(),
            Some(Err(_)) => return Err(BodyError::Incomplete),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        reading.append(&data, limit)?;
    }
}
