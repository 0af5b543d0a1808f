//! The agent: manages the accelerators of one worker, beside its endpoint.

use clap::Parser;

use landingvalve::agent::Agent;
use landingvalve::agent::Config;
use landingvalve::log;
use landingvalve::program;
use landingvalve::settings;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args = program::Args::parse();
    let path = args.path()?;
    if args.print_if_requested(&settings::agent::file(&path)) {
        return Ok(());
    }
    let (config, common) = settings::agent::read(&path)?;
    if args.is_check_only() {
        println!("{}: valid", path.display());
        return Ok(());
    }
    let (telemetry, _page) =
        program::start_telemetry(&config.worker, &common).await?;
    let log = log::root(common.format, common.level, &config.worker);
    let config = Config {
        log: log.clone(),
        ..config
    };
    let agent = Agent::start(config).await?;
    slog::info!(log, "agent: started"; "listen" => %agent.address());
    let deadline = program::wait_for_stop_signal().await?;
    slog::info!(log, "agent: stopping once idle; new work is refused");
    agent.stop(deadline).await;
    tokio::task::spawn_blocking(|| telemetry.stop()).await?;
    Ok(())
}
