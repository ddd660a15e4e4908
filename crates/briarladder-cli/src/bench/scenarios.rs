//! Runs scenarios against the product and a baseline, one after the other,
//! with the same arrivals.

use std::{process::ExitCode, time::Duration};

use serde::Serialize;

use super::{
    deployment::Deployment,
    report::RunReport,
    scenario::{Scenario, System},
    table,
    workload::Workload,
};

/// Exit code if a run was not valid.
const EXIT_INVALID: u8 = 1;

/// Which scenarios to run, and how.
#[derive(Clone, Debug, clap::Args)]
pub struct ScenarioArgs {
    /// The scenarios, run in this order.
    #[arg(value_enum)]
    scenarios: Vec<Scenario>,
    /// The seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The length of each window of a run, in seconds.
    #[arg(long, default_value_t = 4, value_parser =
        clap::value_parser!(u64).range(1..=60))]
    seconds: u64,
    /// The factor on all service times, timeouts and deadlines.
    #[arg(long, default_value_t = 0.25, value_parser = parse_scale)]
    scale: f64,
    /// The systems to run; left out, both run.
    #[arg(long = "system", value_enum)]
    systems: Vec<System>,
    /// Print one JSON object a scenario instead of tables.
    #[arg(long)]
    json: bool,
}

fn parse_scale(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(scale) if (0.1..=10.0).contains(&scale) => Ok(scale),
        _ => Err("set it to a number from 0.1 to 10; below, the timers' \
                  resolution of 1 ms distorts service times"
            .into()),
    }
}

/// The figures of one scenario.
#[derive(Debug, Serialize)]
pub(super) struct ScenarioReport {
    pub(super) scenario: Scenario,
    pub(super) seed: u64,
    pub(super) seconds: u64,
    pub(super) scale: f64,
    pub(super) runs: Vec<RunReport>,
}

/// Runs the scenarios.
///
/// # Errors
///
/// Returns an error when a part can't start.
pub fn run(args: &ScenarioArgs) -> anyhow::Result<ExitCode> {
    anyhow::ensure!(
        !args.scenarios.is_empty(),
        "no scenario is named; see `briarladder bench --help`"
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
