//! Runs each scenario against the daemons and then the baseline, with the
//! same arrivals.

use std::{process::ExitCode, time::Duration};

use serde::Serialize;

use super::{
    deployment::Deployment,
    report::RunReport,
    scenario::{Scenario, System},
    table,
    workload::Workload,
};

/// Exit code when the load generator lagged in at least one run.
const EXIT_INVALID: u8 = 1;

/// Scenarios to run and the parameters of the runs.
#[derive(Clone, Debug, clap::Args)]
pub struct ScenarioArgs {
    /// Scenarios to run, in this order.
    #[arg(value_enum)]
    scenarios: Vec<Scenario>,
    /// Seed of the random arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Length of each reported window of a run, in seconds.
    #[arg(long, default_value_t = 4, value_parser =
        clap::value_parser!(u64).range(1..=60))]
    seconds: u64,
    /// Factor applied to all service times, timeouts and deadlines.
    #[arg(long, default_value_t = 0.25, value_parser = parse_scale)]
    scale: f64,
    /// Systems to run; both by default.
    #[arg(long = "system", value_enum)]
    systems: Vec<System>,
    /// Print one JSON object per scenario instead of tables.
    #[arg(long)]
    json: bool,
}

fn parse_scale(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(scale) if (0.1..=10.0).contains(&scale) => Ok(scale),
        _ => Err("must be a number from 0.1 to 10; below 0.1, the timer \
                  resolution of 1 ms distorts service times"
            .into()),
    }
}

/// Parameters of one scenario and the figures of its runs.
#[derive(Debug, Serialize)]
pub(super) struct ScenarioReport {
    pub(super) scenario: Scenario,
    pub(super) seed: u64,
    pub(super) seconds: u64,
    pub(super) scale: f64,
    pub(super) runs: Vec<RunReport>,
}

/// Runs the scenarios and prints a report of each. The exit code is 1 when
/// a run is not valid because the load generator lagged.
///
/// # Errors
///
/// Returns an error when no scenario is given or a system can't start.
pub fn run(args: &ScenarioArgs) -> anyhow::Result<ExitCode> {
    anyhow::ensure!(
        !args.scenarios.is_empty(),
        "no scenario given; see `briarladder bench --help`"
    );
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
            runs.push(super::run::run(
                system,
                scenario,
                &deployment,
                workload,
            )?);
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
