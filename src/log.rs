//! Logs: short sentences, each with a fixed prefix for its part.
//!
//! The prefixes are `entry:`, `planner:` and `agent:`.

use std::sync::Mutex;

use slog::o;
use slog::Drain;
use slog::Level;
use slog::Logger;

/// How many lines may wait to be written before some are dropped.
const QUEUE: usize = 4096;

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
        .chan_size(QUEUE)
        .build()
        .fuse();
    let drain = slog::LevelFilter::new(drain, level).fuse();
    Logger::root(drain, o!("process" => process.to_owned()))
}

/// Returns a logger that writes nothing.
pub fn none() -> Logger {
    Logger::root(slog::Discard, o!())
}
