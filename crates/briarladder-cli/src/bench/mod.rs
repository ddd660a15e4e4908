//! `briarladder bench`: bounded measurements on loopback.

use std::process::ExitCode;

use clap::Subcommand;

pub mod daemon;

/// Measures a part of the system on loopback.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    part: Part,
}

#[derive(Clone, Debug, Subcommand)]
enum Part {
    Daemon(daemon::Args),
}

/// Runs a measurement.
///
/// # Errors
///
/// Returns an error when a part can't start or a request gets no answer.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    match &args.part {
        Part::Daemon(args) => daemon::run(args),
    }
}
