//! `briarladder bench`: measurements of the system on this machine.

use std::process::ExitCode;

pub mod control;

/// Measures parts of the system and prints the figures.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Debug, clap::Subcommand)]
enum Command {
    Control(control::Args),
}

/// Runs a benchmark.
///
/// # Errors
///
/// Returns an error when the benchmark can't run with its settings.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    match &args.command {
        Command::Control(args) => control::run(args),
    }
}
