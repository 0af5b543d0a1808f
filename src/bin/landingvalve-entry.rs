//! The entry: serves callers and operators, and may host the planner.

use clap::Parser;

use landingvalve::entry::Config;
use landingvalve::entry::Entry;
use landingvalve::log;
use landingvalve::program;
use landingvalve::settings;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args = program::Args::parse();
    let path = args.path()?;
    if args.print_if_requested(&settings::entry::file(&path)) {
        return Ok(());
    }
    let (config, common) = settings::entry::read(&path)?;
    if args.is_check_only() {
        println!("{}: valid", path.display());
        return Ok(());
    }
    let (telemetry, _page) =
        program::start_telemetry(&config.name, &common).await?;
    let log = log::root(common.format, common.level, &config.name);
    let config = Config {
        log: log.clone(),
        ..config
    };
    let entry = Entry::start(config).await?;
    slog::info!(log, "entry: started"; "callers" => %entry.callers_address(),
        "peers" => entry.peers_address());
    let deadline = program::wait_for_stop_signal().await?;
    slog::info!(log, "entry: stopping; requests in progress are completed");
    entry.stop(deadline).await;
    tokio::task::spawn_blocking(|| telemetry.stop()).await?;
    Ok(())
}
