//! Loggers and rate limits of log lines.
//!
//! A message is a short sentence after the prefix of its part, such as
//! `entry:`, `planner:` or `agent:`.

use std::fmt;
use std::fmt::Display;
use std::fmt::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use slog::o;
use slog::Drain;
use slog::Level;
use slog::Logger;

/// The maximum number of lines that wait to be written. Further lines are
/// dropped.
const MAX_QUEUED_LINES: usize = 4096;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// One JSON object per line.
    Json,
}

/// Returns the logger of a process. A background thread writes text to
/// standard error, or JSON to standard output.
///
/// # Examples
///
/// ```
/// use landingvalve::log;
///
/// let log = log::root(log::Format::Json, slog::Level::Info, "w1");
/// slog::info!(log, "agent: started");
/// ```
pub fn root(format: Format, level: Level, process: &str) -> Logger {
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match format
    {
        Format::Text => {
            let out = slog_term::PlainDecorator::new(std::io::stderr());
            let out = slog_term::FullFormat::new(out).build();
            Box::new(Mutex::new(out.fuse()).fuse())
        }
        Format::Json => {
            let out = slog_json::Json::default(std::io::stdout());
            Box::new(Mutex::new(out.fuse()).fuse())
        }
    };
    let drain = slog_async::Async::new(drain.fuse())
        .chan_size(MAX_QUEUED_LINES)
        .build()
        .fuse();
    let drain = slog::LevelFilter::new(drain, level).fuse();
    Logger::root(drain, o!("process" => process.to_owned()))
}

/// Returns a logger that discards all lines.
pub fn none() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// The minimum interval between repeated lines that outside parties can
/// trigger at will.
const THROTTLE_INTERVAL: Duration = Duration::from_secs(1);

/// A rate limit for a log line that may repeat without end: once a second.
#[derive(Debug, Default)]
pub struct Throttle {
    next: Mutex<Option<Instant>>,
    suppressed: AtomicU64,
}

impl Throttle {
    /// Returns whether the line may be written now; counts it as suppressed
    /// otherwise.
    pub fn try_acquire(&self) -> bool {
        let now = Instant::now();
        let mut next =
            self.next.lock().unwrap_or_else(PoisonError::into_inner);
        let due = next.is_none_or(|next| now >= next);
        match due {
            true => *next = Some(now + THROTTLE_INTERVAL),
            false => {
                self.suppressed.fetch_add(1, Ordering::Relaxed);
            }
        }
        due
    }

    /// Returns the number of lines suppressed since the last call.
    pub fn take_suppressed(&self) -> u64 {
        self.suppressed.swap(0, Ordering::Relaxed)
    }
}

/// The most characters of a value from outside in a log line or an answer.
pub const MAX_EXCERPT_CHARS: usize = 300;
/// What stands for the part of a value that is left out.
const ELLIPSIS: &str = "...";

/// The beginning of a text.
struct Beginning {
    text: String,
    /// The number of characters that are still taken.
    room: usize,
}

impl Write for Beginning {
    fn write_str(&mut self, more: &str) -> fmt::Result {
        let mut chars = more.chars();
        let taken = chars.by_ref().take(self.room);
        let before = self.text.len();
        self.text.extend(taken);
        self.room -= self.text[before..].chars().count();
        match chars.next() {
            None => Ok(()),
            // Ends the formatting of the value.
            Some(_) => Err(fmt::Error),
        }
    }
}

/// Returns at most [`MAX_EXCERPT_CHARS`] characters of a value from outside, or
/// of an error that repeats one.
///
/// # Examples
///
/// ```
/// use landingvalve::log::excerpt;
///
/// assert_eq!(excerpt("port 70800"), "port 70800");
/// assert!(excerpt("7".repeat(60_000)).ends_with("777..."));
/// ```
pub fn excerpt(value: impl Display) -> String {
    let mut beginning = Beginning {
        text: String::new(),
        room: MAX_EXCERPT_CHARS,
    };
    if write!(beginning, "{value}").is_err() {
        beginning.text.push_str(ELLIPSIS);
    }
    beginning.text
}
