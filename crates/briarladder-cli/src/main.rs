//! The binary `briarladder`: the operators' command.
//!
//! Exit codes: 0 for success, 1 if a set has faults, 2 for wrong usage or
//! files that can't be read or written.

use std::process::ExitCode;

use briarladder_cli::{bench, demo};
use clap::{Parser, Subcommand};

mod bundle;
mod check;
mod set;

/// Exit code if a set has faults.
const EXIT_FAULTS: u8 = 1;

/// Exit code for wrong usage, as clap uses it.
const EXIT_USAGE: u8 = 2;

const EXAMPLES: &str = "\
Examples:
  briarladder check samples/dobradura
  briarladder bundle samples/dobradura --epoch 1 --out out/
  briarladder demo
  briarladder bench control --seconds 10";

/// The operators' command of briarladder.
#[derive(Debug, Parser)]
#[command(name = "briarladder", version, after_help = EXAMPLES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Check(check::Args),
    Bundle(bundle::Args),
    Demo(demo::Args),
    Bench(bench::Args),
}

fn main() -> ExitCode {
    env_logger::init();
    let result = match Cli::parse().command {
        Command::Check(args) => check::run(&args),
        Command::Bundle(args) => bundle::run(&args),
        Command::Demo(args) => demo::run(&args),
        Command::Bench(args) => bench::run(&args),
    };
    result.unwrap_or_else(|error| {
        eprintln!("error: {error:#}");
        ExitCode::from(EXIT_USAGE)
    })
}
