//! The command `briarladder status`: compares daemons, zones and backend
//! servers with the configuration in force.

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

Exit codes: 0 if all daemons, zones and backend servers are as configured, 1 if
one is not or a daemon is unreachable, 2 for wrong usage or a refused key. With
--watch, the exit code is that of the last round.";

/// The escape sequence that moves the cursor to the top left corner and clears
/// the terminal.
const CLEAR_SCREEN: &str = "\u{1b}[H\u{1b}[2J";

/// Compares daemons, zones and backend servers with the configuration in
/// force.
///
/// Lists everything that is unreachable or not as configured, with the reason
/// and since when.
#[derive(Clone, Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(flatten)]
    connect: ConnectArgs,

    /// Write JSON instead of text. With --watch, each round is one line.
    #[arg(long)]
    json: bool,

    /// Repeat until interrupted.
    #[arg(long)]
    watch: bool,

    /// The time from one round of --watch to the next, in milliseconds.
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
/// Returns an error when no daemon accepts the key.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let client = FleetClient::new(&args.connect)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        if !args.watch {
            let fleet = assess(&client.discover().await?);
            print(args, &fleet)?;
            return Ok(exit_code(&fleet));
        }
        let mut ticker =
            tokio::time::interval(Duration::from_millis(args.interval_ms));
        let mut code = ExitCode::SUCCESS;
        loop {
            let round = async {
                ticker.tick().await;
                anyhow::Ok(assess(&client.discover().await?))
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
            print!("{CLEAR_SCREEN}");
        }
        let now = SystemClock.unix_time().as_millis();
        let now = u64::try_from(now).unwrap_or(u64::MAX);
        print!("{}", report::render(fleet, now));
    }
    Ok(())
}
