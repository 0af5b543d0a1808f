//! The command line client of landingvalve.

mod client;
mod configuration;
mod explain;
mod job;
mod out;
mod picture;
mod status;
mod trial;

use std::process::ExitCode;

use clap::CommandFactory;
use clap::Parser;
use clap::Subcommand;
use clap_complete::Shell;

use crate::client::Client;

/// Submit jobs to a landingvalve system, operate it, or try one out.
///
/// Examples:
///   landingvalve try --once
///   landingvalve job submit replay --set run_ms=500 --wait
///   landingvalve config show templates replay
///   landingvalve status --json
///   landingvalve explain --late entry-*.log
#[derive(Parser)]
#[command(name = "landingvalve", version, verbatim_doc_comment)]
struct Args {
    #[command(subcommand)]
    command: Command,
    #[command(flatten)]
    options: Options,
}

/// The options that all subcommands share.
#[derive(clap::Args)]
struct Options {
    /// The URL of an entry.
    #[arg(
        long,
        global = true,
        env = "LANDINGVALVE_ENTRY",
        default_value = "http://127.0.0.1:8080"
    )]
    entry: String,
    /// The token of a client account, or of the operators.
    #[arg(
        long,
        global = true,
        env = "LANDINGVALVE_TOKEN",
        default_value = "",
        hide_env_values = true
    )]
    token: String,
    /// Print JSON instead of text.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Run a whole system in this process, with a few jobs as an example.
    Try(trial::Args),
    /// Submit, show and cancel jobs.
    #[command(subcommand)]
    Job(job::Command),
    /// Show and change templates and client accounts.
    #[command(subcommand)]
    Config(configuration::Command),
    /// Show the cell, its workers and guarantees, and entries that lag behind.
    Status,
    /// Explain from logs the course of a job, or why jobs were late or failed.
    Explain(explain::Args),
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    match run(args).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> eyre::Result<ExitCode> {
    let json = args.options.json;
    let client = Client::new(&args.options.entry, &args.options.token);
    match args.command {
        Command::Try(args) => trial::run(args).await,
        Command::Job(command) => job::run(&client, command, json).await,
        Command::Config(command) => {
            configuration::run(&client, command, json).await
        }
        Command::Status => status::run(&client, json).await,
        Command::Explain(args) => explain::run(&args, json),
        Command::Completions { shell } => {
            let mut command = Args::command();
            let out = &mut std::io::stdout();
            clap_complete::generate(shell, &mut command, "landingvalve", out);
            Ok(ExitCode::SUCCESS)
        }
    }
}
