//! The binary `briarladder`: the operators' command.
//!
//! Exit codes: 0 for success, 1 if a set has faults or something is behind or
//! unreachable, 2 for wrong usage, a refused key, or files that can't be read
//! or written.

use std::process::ExitCode;

use briarladder_cli::{
    bench, demo, follow,
    operators::{status, timeline},
};
use clap::{CommandFactory, Parser, Subcommand};

mod bundle;
mod check;
mod completions;
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
  briarladder bench steady
  briarladder status --daemon 10.0.1.4:7001
  briarladder timeline --daemon 10.0.1.4:7001 --from 15m --html page.html
  briarladder follow 8f21c0 front-*.log
  briarladder completions bash";

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
