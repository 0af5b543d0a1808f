//! What the long-running programs have in common: arguments and signals.

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

/// How long a planned stop may take.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// The arguments of a long-running program.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// The settings, in INI.
    #[arg(long, global = true, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Print every setting, with its value and its source, and exit.
    #[arg(long)]
    pub print_settings: bool,
    /// What to do instead of running.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What a program may do instead of running.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check the settings and exit.
    CheckSettings,
}

impl Args {
    /// Returns the path of the settings.
    ///
    /// # Errors
    ///
    /// If it was not given.
    pub fn path(&self) -> eyre::Result<PathBuf> {
        self.settings
            .clone()
            .ok_or_else(|| eyre::eyre!("--settings FILE is missing"))
    }

    /// Prints the settings if that was asked for, and returns whether.
    pub fn print_if_requested(&self, file: &File) -> bool {
        if self.print_settings {
            print!("{}", file.to_ini());
        }
        self.print_settings
    }

    /// Returns whether the settings were only to be checked.
    pub fn is_check_only(&self) -> bool {
        matches!(self.command, Some(Command::CheckSettings))
    }
}

/// Sets up telemetry as the settings ask, with the local page.
///
/// # Errors
///
/// If the collector's address cannot be used, or the page's not listened
/// on.
pub async fn start_telemetry(
    process: &str,
    common: &Common,
) -> eyre::Result<(Telemetry, Option<http::Server>)> {
    let otlp = common.otlp.as_deref();
    let telemetry = Telemetry::start(process, otlp, None)?;
    let page = match common.page {
        Some(address) => {
            let page = Arc::new(telemetry.page());
            Some(http::Server::start(address, page).await?)
        }
        None => None,
    };
    Ok((telemetry, page))
}

/// Waits until the process is asked to stop, and returns the deadline by
/// which it must have.
///
/// # Errors
///
/// If signals cannot be received.
pub async fn wait_for_stop_signal() -> std::io::Result<Instant> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(Instant::now() + STOP_TIMEOUT)
}
