//! `briarladder status`: every daemon, zone and backend server against what
//! was declared.

use std::{io::IsTerminal, process::ExitCode, time::Duration};

use briarladder_core::clock::{Clock, SystemClock};

use super::{
    EXIT_UNHEALTHY,
    assess::{FleetStatus, assess},
    client::{ConnectArgs, FleetClient},
    report,
};

const EXAMPLES: &str = "\
Examples:
  export BRIARLADDER_PEER_KEY=...
  briarladder status --daemon 10.0.1.4:7001
  briarladder status --daemon 10.0.1.4:7001 10.0.2.4:7001 --watch
  briarladder status --daemon 10.0.1.4:7001 --json

Exit codes: 0 all in line, 1 something is behind or unreachable, 2 wrong
usage or a refused key.";

/// Moves to the top left corner and clears the terminal.
const CLEAR: &str = "\u{1b}[H\u{1b}[2J";

/// Shows every daemon, zone and backend server against what was declared,
/// and what is behind, since when and why.
#[derive(Clone, Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(flatten)]
    connect: ConnectArgs,

    /// Write JSON instead of text; with --watch, one line each time.
    #[arg(long)]
    json: bool,

    /// Ask again until interrupted.
    #[arg(long)]
    watch: bool,

    /// With --watch, the time between two rounds, in milliseconds.
    #[arg(
        long,
        default_value_t = 2_000,
        env = "BRIARLADDER_INTERVAL_MS",
        value_parser = clap::value_parser!(u64).range(100..)
    )]
    interval_ms: u64,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when no daemon takes the key.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let operator = FleetClient::new(&args.connect)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        if !args.watch {
            let fleet = assess(&operator.discover().await?);
            print(args, &fleet)?;
            return Ok(exit_code(&fleet));
        }
        let mut ticker =
            tokio::time::interval(Duration::from_millis(args.interval_ms));
        let mut code = ExitCode::SUCCESS;
        loop {
            let round = async {
                ticker.tick().await;
                anyhow::Ok(assess(&operator.discover().await?))
            };
            tokio::select! {
                fleet = round => {
                    let fleet = fleet?;
                    print(args, &fleet)?;
                    code = exit_code(&fleet);
                }
                signal = tokio::signal::ctrl_c() => {
                    signal?;
                    return Ok(code);
                }
            }
        }
    })
}

fn exit_code(fleet: &FleetStatus) -> ExitCode {
    if fleet.findings.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_UNHEALTHY)
    }
}

fn print(args: &Args, fleet: &FleetStatus) -> anyhow::Result<()> {
    if args.json && args.watch {
        println!("{}", serde_json::to_string(fleet)?);
    } else if args.json {
        println!("{}", serde_json::to_string_pretty(fleet)?);
    } else {
        if args.watch && std::io::stdout().is_terminal() {
            print!("{CLEAR}");
        }
        let now = SystemClock.unix_time().as_millis();
        let now = u64::try_from(now).unwrap_or(u64::MAX);
        print!("{}", report::render(fleet, now));
    }
    Ok(())
}
