//! Arguments, telemetry and signals of the long-running programs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use clap::Subcommand;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;
use tokio::time::Instant;

use crate::http;
use crate::settings::Common;
use crate::settings::File;
use crate::telemetry::Telemetry;

/// How long a graceful stop may take.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// The arguments of a long-running program.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// The settings file, in INI format.
    #[arg(long, global = true, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Print every setting with its value and source, and exit.
    #[arg(long)]
    pub print_settings: bool,
    /// A command to run instead of the program.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// A command that replaces the normal run of a program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check the settings and exit.
    CheckSettings,
}

impl Args {
    /// Returns the path of the settings file.
    ///
    /// # Errors
    ///
    /// If `--settings` is missing.
    pub fn path(&self) -> eyre::Result<PathBuf> {
        self.settings
            .clone()
            .ok_or_else(|| eyre::eyre!("--settings FILE is missing"))
    }

    /// Prints the settings if `--print-settings` was given. Returns whether
    /// they were printed.
    pub fn print_if_requested(&self, file: &File) -> bool {
        if self.print_settings {
            print!("{}", file.to_ini());
        }
        self.print_settings
    }

    /// Returns whether the command is `check-settings`.
    pub fn is_check_only(&self) -> bool {
        matches!(self.command, Some(Command::CheckSettings))
    }
}

/// Sets up telemetry as the settings specify, and serves the local metrics
/// page if they name an address for it.
///
/// # Errors
///
/// If the URL of the collector is invalid, or the address of the page cannot
/// be bound.
pub async fn start_telemetry(
    process: &str,
    common: &Common,
) -> eyre::Result<(Telemetry, Option<http::Server>)> {
    let otlp = common.otlp.as_deref();
    let telemetry = Telemetry::start(process, otlp, None)?;
    let page = match common.page {
        Some(address) => {
            let page = Arc::new(telemetry.page());
            let limit = http::ConnectionLimit::of_page(crate::log::none());
            let page =
                http::Server::start_with_limit(address, page, limit).await?;
            Some(page)
        }
        None => None,
    };
    Ok((telemetry, page))
}

/// Waits for SIGTERM or SIGINT, and returns the deadline of the graceful stop.
///
/// # Errors
///
/// If the signal handlers cannot be installed.
pub async fn wait_for_stop_signal() -> std::io::Result<Instant> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(Instant::now() + STOP_TIMEOUT)
}
