//! The binary `briarladderd`: the daemon of an entry VM.

use std::{path::PathBuf, rc::Rc};

use briarladder_daemon::{process, settings::Settings};
use briarladder_gateway::{logs, process as gateway};
use briarladder_platform::{
    PlatformDialect,
    settings::{self, DEFAULT_METRICS_PORT, SETTINGS_VARIABLE},
};
use clap::{ArgMatches, Args, FromArgMatches, Parser, Subcommand};

/// The daemon of an entry VM.
///
/// Without a subcommand it serves the pipelines that operators publish. With
/// `platform` it serves the routes of the platform that its settings file
/// describes.
#[derive(Debug, Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
struct Cli {
    // Before the subcommand, which is taken out of the matches.
    #[command(flatten)]
    settings: PlainSettings,
    #[command(subcommand)]
    command: Option<Command>,
}

/// The settings of the daemon without a subcommand. A variable of one of them
/// may also be set beside a subcommand, where none of them is needed.
#[derive(Debug)]
struct PlainSettings(Option<Settings>);

impl FromArgMatches for PlainSettings {
    fn from_arg_matches(
        matches: &ArgMatches,
    ) -> Result<PlainSettings, clap::Error> {
        if matches.subcommand_name().is_some() {
            return Ok(PlainSettings(None));
        }
        Settings::from_arg_matches(matches).map(Some).map(PlainSettings)
    }

    fn update_from_arg_matches(
        &mut self,
        matches: &ArgMatches,
    ) -> Result<(), clap::Error> {
        *self = PlainSettings::from_arg_matches(matches)?;
        Ok(())
    }
}

impl Args for PlainSettings {
    fn augment_args(command: clap::Command) -> clap::Command {
        Settings::augment_args(command)
    }

    fn augment_args_for_update(command: clap::Command) -> clap::Command {
        Settings::augment_args_for_update(command)
    }
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
    /// The port of the metrics endpoint, on the callers' address.
    #[arg(long, env = "BRIARLADDER_METRICS_PORT", default_value_t = DEFAULT_METRICS_PORT)]
    metrics_port: u16,
    /// The limit of requests that are sent to a second server while the first
    /// one is slow, in percent of the requests of each service. 0 turns such
    /// sends off.
    #[arg(
        long,
        env = "BRIARLADDER_EXTRA_SENDS_PERCENT",
        default_value_t = 0.0,
        value_parser = parse_extra_sends_percent
    )]
    extra_sends_percent: f64,
}

/// The highest limit of extra sends. Above it, they would use up the retry
/// budget of a service.
const MAX_EXTRA_SENDS_PERCENT: f64 = 10.0;

fn parse_extra_sends_percent(text: &str) -> Result<f64, String> {
    let percent = text.parse().ok();
    percent
        .filter(|percent| (0.0..=MAX_EXTRA_SENDS_PERCENT).contains(percent))
        .ok_or_else(|| {
            format!("set it to 0 to {MAX_EXTRA_SENDS_PERCENT} percent")
        })
}

fn main() -> anyhow::Result<()> {
    let cli = Cli::parse();
    match (cli.command, cli.settings.0) {
        (Some(Command::Platform(args)), _) => run_platform(args),
        (None, Some(settings)) => process::run(settings),
        (None, None) => {
            anyhow::bail!("no flags and no subcommand were given; see --help")
        }
    }
}

fn run_platform(args: PlatformArgs) -> anyhow::Result<()> {
    let flusher = logs::init()?;
    let load = move || {
        let mut settings = settings::load(&args.settings, args.metrics_port)?;
        settings.extra_send_ratio = args.extra_sends_percent / 100.0;
        Ok(settings)
    };
    let first = load()?;
    let reload = Box::new(load);
    gateway::run(first, Rc::new(PlatformDialect), reload, &flusher)
}
