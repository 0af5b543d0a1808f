//! Logs: short sentences, each with a fixed prefix for its part.
//!
//! The prefixes are `entry:`, `planner:` and `agent:`.

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

/// How many lines may wait to be written before some are dropped.
const MAX_QUEUED_LINES: usize = 4096;

/// How lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Returns a logger that writes off the caller's thread: text for people to
/// standard error, JSON for collectors to standard output.
///
/// # Examples
///
/// ```
/// use landingvalve::log;
///
/// let log = log::root(log::Format::Json, slog::Level::Info, "w1");
/// slog::info!(log, "agent: has started");
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

/// Returns a logger that writes nothing.
pub fn none() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// How often a line is written that others can bring about at will.
const THROTTLE_INTERVAL: Duration = Duration::from_secs(1);

/// Says when a line that may repeat without end is due: once a second.
#[derive(Debug, Default)]
pub struct Throttle {
    next: Mutex<Option<Instant>>,
    suppressed: AtomicU64,
}

impl Throttle {
    /// Returns whether the line may be written now, else counts it.
    pub fn is_due(&self) -> bool {
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

    /// Returns how many lines were left out since this was last asked.
    pub fn take_suppressed(&self) -> u64 {
        self.suppressed.swap(0, Ordering::Relaxed)
    }
}
