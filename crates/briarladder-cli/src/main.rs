//! The `briarladder` command for operators.
//!
//! # Exit codes
//!
//! - 0: success.
//! - 1: the command ran and found a problem: an object set has validation
//!   errors, a daemon, zone or backend server is not as configured, a daemon
//!   is unreachable, the logs have no line of the request, or the load
//!   generator of a benchmark sent its requests too late.
//! - 2: wrong usage, a refused key, a file that can't be read or written, or
//!   any other error.

use std::process::ExitCode;

use briarladder_cli::{
    bench, demo, follow,
    operators::{status, timeline},
};
use clap::{CommandFactory, Parser, Subcommand};

mod bundle;
mod check;
mod completions;
mod object_set;

/// The exit code if an object set has validation errors.
const EXIT_VALIDATION_ERRORS: u8 = 1;

/// The exit code for wrong usage and other errors. Clap uses the same one.
const EXIT_USAGE: u8 = 2;

const EXAMPLES: &str = "\
Examples:
  briarladder check samples/dobradura
  briarladder bundle samples/dobradura --epoch 1 --out out/
  briarladder demo
  briarladder bench steady
  briarladder status --daemon 10.0.1.4:7001
  briarladder timeline --daemon 10.0.1.4:7001 --from 15m --html page.html
  briarladder follow 8f21c0 front-*.log
  briarladder completions bash";

/// Checks and publishes object sets, and inspects running daemons.
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
    Status(status::Args),
    Timeline(timeline::Args),
    Follow(follow::Args),
    Completions(completions::Args),
}

fn main() -> ExitCode {
    env_logger::init();
    let result = match Cli::parse().command {
        Command::Check(args) => check::run(&args),
        Command::Bundle(args) => bundle::run(&args),
        Command::Demo(args) => demo::run(&args),
        Command::Bench(args) => bench::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Timeline(args) => timeline::run(&args),
        Command::Follow(args) => follow::run(&args),
        Command::Completions(args) => {
            Ok(completions::run(&args, Cli::command()))
        }
    };
    result.unwrap_or_else(|error| {
        eprintln!("error: {error:#}");
        ExitCode::from(EXIT_USAGE)
    })
}
