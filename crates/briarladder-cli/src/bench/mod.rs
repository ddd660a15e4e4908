//! `briarladder bench`: bounded measurements on loopback.
//!
//! Scenarios compare the product with a baseline; the other parts measure
//! one thing each.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`scenarios`] | runs scenarios and prints their figures |
//! | [`scenario`] | the scenarios and the windows of a run |
//! | [`deployment`] | the object set, cut down to what the machine carries |
//! | `workload` | the arrivals, from a seed |
//! | `load` | the open-loop load generator |
//! | `callers` | callers behind a balancer |
//! | `baseline` | a dispatcher without admission |
//! | `event` | what a scenario does to the deployment |
//! | `run` | one run of one system |
//! | `integrity` | duplicates, losses and false refusals |
//! | `report`, `table` | the figures and their text form |
//! | [`control`] | the cost of control, for docs/CAPACITY.md |
//! | [`daemon`] | the speed of one daemon in a process of its own |

use std::process::ExitCode;

use clap::Subcommand;

pub mod control;
pub mod daemon;
pub mod deployment;
pub mod scenario;
pub mod scenarios;

mod baseline;
mod callers;
mod cpu;
mod event;
mod integrity;
mod load_generator;
mod output;
mod report;
mod run;
mod table;
mod workload;

/// Runs scenarios against the product and a baseline, and prints how both
/// fared. The baseline serves first come, first served, round robin over
/// all backend servers, without admission and with plain retries.
#[derive(Clone, Debug, clap::Args)]
#[command(
    args_conflicts_with_subcommands = true,
    after_help = "Examples:\n  \
    briarladder bench steady\n  \
    briarladder bench flood-least-urgent flood-urgent --seconds 6\n  \
    briarladder bench poison --seed 7 --json\n  \
    briarladder bench daemon\n  \
    briarladder bench control --seconds 10\n\n\
    Exit codes: 0 for valid runs, 1 if the load generator lagged."
)]
pub struct Args {
    #[command(flatten)]
    scenarios: scenarios::ScenarioArgs,
    #[command(subcommand)]
    part: Option<Part>,
}

#[derive(Clone, Debug, Subcommand)]
enum Part {
    Control(control::Args),
    Daemon(daemon::Args),
}

/// Runs a measurement.
///
/// # Errors
///
/// Returns an error when a part can't start or a request gets no answer.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    match &args.part {
        Some(Part::Control(args)) => control::run(args),
        Some(Part::Daemon(args)) => daemon::run(args),
        None => scenarios::run(&args.scenarios),
    }
}
