//! `briarladder bench`: runs scenarios against the product and a baseline,
//! one after the other, with the same arrivals.
//!
//! | module | purpose |
//! | --- | --- |
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

use std::{process::ExitCode, time::Duration};

use serde::Serialize;

pub mod deployment;
pub mod scenario;

mod baseline;
mod callers;
mod cpu;
mod event;
mod integrity;
mod load;
mod output;
mod report;
mod run;
mod table;
mod workload;

use deployment::Deployment;
use report::RunReport;
use scenario::{Scenario, System};
use workload::Workload;

/// Exit code if a run was not valid.
const EXIT_INVALID: u8 = 1;

/// Runs scenarios against the product and a baseline, and prints how both
/// fared. The baseline serves first come, first served, round robin over
/// all backend servers, without admission and with plain retries.
#[derive(Clone, Debug, clap::Args)]
#[command(after_help = "Examples:\n  \
    briarladder bench steady\n  \
    briarladder bench flood-least-urgent flood-urgent --seconds 6\n  \
    briarladder bench poison --seed 7 --json\n\n\
    Exit codes: 0 for valid runs, 1 if the load generator lagged.")]
pub struct Args {
    /// The scenarios, run in this order.
    #[arg(value_enum, required = true)]
    scenarios: Vec<Scenario>,
    /// The seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The length of each window of a run, in seconds.
    #[arg(long, default_value_t = 4, value_parser =
        clap::value_parser!(u64).range(1..=60))]
    seconds: u64,
    /// The factor on all service times, timeouts and deadlines.
    #[arg(long, default_value_t = 0.25, value_parser = scale)]
    scale: f64,
    /// The systems to run; left out, both run.
    #[arg(long = "system", value_enum)]
    systems: Vec<System>,
    /// Print one JSON object a scenario instead of tables.
    #[arg(long)]
    json: bool,
}

fn scale(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(scale) if (0.1..=10.0).contains(&scale) => Ok(scale),
        _ => Err("set it to a number from 0.1 to 10; below, the timers' \
                  resolution of 1 ms distorts service times"
            .into()),
    }
}

/// The figures of one scenario.
#[derive(Debug, Serialize)]
struct ScenarioReport {
    scenario: Scenario,
    seed: u64,
    seconds: u64,
    scale: f64,
    runs: Vec<RunReport>,
}

/// Runs the scenarios.
///
/// # Errors
///
/// Returns an error when a part can't start.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let mut valid = true;
    let systems = match args.systems.as_slice() {
        [] => &[System::Product, System::Baseline],
        systems => systems,
    };
    for &scenario in &args.scenarios {
        let deployment = Deployment::new(args.scale)?;
        let time = Duration::from_secs(args.seconds);
        let mut runs = Vec::new();
        for &system in systems {
            let workload =
                Workload::new(&deployment, scenario, args.seed, time)?;
            runs.push(run::run(system, scenario, &deployment, workload)?);
        }
        valid &= runs.iter().all(|run| run.valid);
        let report = ScenarioReport {
            scenario,
            seed: args.seed,
            seconds: args.seconds,
            scale: args.scale,
            runs,
        };
        if args.json {
            println!("{}", serde_json::to_string(&report)?);
        } else {
            println!("{}", table::render(&report));
        }
    }
    Ok(if valid { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INVALID) })
}
