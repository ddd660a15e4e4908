//! The binary `briarladderd`: the daemon of an entry VM.

use std::{path::PathBuf, rc::Rc};

use briarladder_daemon::{process, settings::Settings};
use briarladder_gateway::{logs, process as gateway};
use briarladder_platform::{
    PlatformDialect,
    settings::{self, SETTINGS_VARIABLE},
};
use clap::{Args, Parser, Subcommand};

/// The daemon of an entry VM.
///
/// Without a subcommand it serves pipelines that operators of this product
/// publish. With `platform` it serves the routes of the platform that its
/// settings file describes.
#[derive(Debug, Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    settings: Option<Settings>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve the routes of the platform.
    Platform(PlatformArgs),
}

#[derive(Args, Debug)]
struct PlatformArgs {
    /// The settings file that the platform writes.
    #[arg(long, env = SETTINGS_VARIABLE)]
    settings: PathBuf,
}

fn main() -> anyhow::Result<()> {
    let cli = Cli::parse();
    match (cli.command, cli.settings) {
        (Some(Command::Platform(args)), _) => run_platform(args.settings),
        (None, Some(settings)) => process::run(settings),
        (None, None) => anyhow::bail!(
            "neither flags nor a subcommand were given; see --help"
        ),
    }
}

fn run_platform(path: PathBuf) -> anyhow::Result<()> {
    logs::init()?;
    let first = settings::load(&path)?;
    let reload = Box::new(move || settings::load(&path));
    gateway::run(first, Rc::new(PlatformDialect), reload)
}
