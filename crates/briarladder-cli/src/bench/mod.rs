//! `briarladder bench`: benchmarks of bounded length on loopback.
//!
//! Scenarios compare the daemons with a baseline dispatcher. The subcommands
//! `control` and `daemon` measure the cost of the control plane and the speed
//! of one daemon.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`scenarios`] | runs scenarios and prints their reports |
//! | [`scenario`] | scenarios, systems under test and windows of a run |
//! | [`deployment`] | the object set, reduced to what one machine can serve |
//! | `workload` | arrivals, generated from a seed |
//! | `load_generator` | open-loop load generator |
//! | `callers` | callers that reach the daemons through a balancer |
//! | `baseline` | dispatcher without admission control |
//! | `event` | faults and scaling that a scenario applies |
//! | `run` | one run of one system |
//! | `integrity` | duplicates, losses and false refusals |
//! | `report`, `table` | figures of a run and their text form |
//! | `cpu` | CPU time by group of threads |
//! | `output` | stage requests and expected outputs |
//! | [`control`] | cost of the control plane, for docs/CAPACITY.md |
//! | [`daemon`] | speed of one daemon in its own process |

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

/// Runs scenarios against the daemons and a baseline, and prints the figures
/// of both. The baseline is a first-come, first-served dispatcher that sends
/// round robin to all backend servers, without admission control, and retries
/// every failure at once.
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

/// Runs the selected benchmark.
///
/// # Errors
///
/// Returns an error when a component can't start, a benchmark's arguments are
/// invalid, or a request of `bench daemon` fails.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    match &args.part {
        Some(Part::Control(args)) => control::run(args),
        Some(Part::Daemon(args)) => daemon::run(args),
        None => scenarios::run(&args.scenarios),
    }
}
