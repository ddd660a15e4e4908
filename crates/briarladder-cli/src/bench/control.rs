//! `briarladder bench control`: the cost of the control plane for one daemon,
//! and how it grows with the fleet.
//!
//! Runs the decision code on simulated time at a quarter, half and the whole
//! of a size, fits a line to each figure and prints its value at the target
//! scale. Messages are the real ones in JSON, plus a fixed allowance for HTTP
//! and JSON-RPC; TCP and IP headers are not counted. Memory is measured as the
//! growth of the resident set when a state is copied: a counting allocator
//! needs unsafe code, which the workspace forbids.

use std::{process::ExitCode, time::Duration};

use anyhow::ensure;
use serde::Serialize;

use measurement::{Driver, Figure, LinearFit};
use size::{Size, TARGET};

mod components;
mod config_and_load;
mod loopback;
mod measurement;
mod membership;
mod propagation;
mod size;
#[cfg(test)]
mod tests;

/// Divisors of the size that the arguments give, one for each run.
const DIVISORS: [usize; 3] = [4, 2, 1];

/// Measures the cost of the control plane for one daemon and prints how it
/// grows.
#[derive(Clone, Debug, clap::Args)]
#[command(after_help = "Examples:\n  \
    briarladder bench control --vms 240 --servers 10000 --zones 4\n  \
    briarladder bench control --real --seconds 10")]
pub struct Args {
    /// Daemons of the largest run.
    #[arg(
        long,
        default_value_t = 240,
        value_parser = clap::value_parser!(u16).range(8..=600)
    )]
    vms: u16,
    /// Backend servers of the largest run.
    #[arg(
        long,
        default_value_t = 10_000,
        value_parser = clap::value_parser!(u16).range(4..=20_000)
    )]
    servers: u16,
    /// Availability zones of all runs.
    #[arg(
        long,
        default_value_t = 4,
        value_parser = clap::value_parser!(u16).range(1..=64)
    )]
    zones: u16,
    /// Workspaces of the largest run.
    #[arg(
        long,
        default_value_t = 7_000,
        value_parser = clap::value_parser!(u16).range(1..=20_000)
    )]
    workspaces: u16,
    /// Length of each run in simulated seconds, or in real seconds with
    /// `--real`.
    #[arg(
        long,
        default_value_t = 30,
        value_parser = clap::value_parser!(u16).range(1..=600)
    )]
    seconds: u16,
    /// Instead of simulating, start idle daemons on loopback and measure this
    /// process.
    #[arg(long)]
    real: bool,
    /// Print the figures as JSON.
    #[arg(long)]
    json: bool,
}

/// The figures measured at one size.
#[derive(Serialize)]
struct Run {
    size: Size,
    figures: Vec<Figure>,
}

/// One figure in all runs.
#[derive(Serialize)]
struct Row {
    name: &'static str,
    unit: &'static str,
    by: Driver,
    /// The measured value of each run, in the order of [`DIVISORS`].
    values: Vec<f64>,
    /// The line fitted to the values.
    line: LinearFit,
    /// The value of the line at [`TARGET`].
    at_target: f64,
}

/// Runs the benchmark and prints the figures.
///
/// # Errors
///
/// Returns an error when there are fewer than 8 daemons per zone, `/proc` can't
/// be read, or, with `--real`, a fleet can't start.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    if args.real {
        loopback::run(Duration::from_secs(args.seconds.into()), args.json)?;
        return Ok(ExitCode::SUCCESS);
    }
    let largest = Size {
        vms: args.vms.into(),
        servers: args.servers.into(),
        zones: args.zones.into(),
        workspaces: args.workspaces.into(),
    };
    ensure!(
        largest.vms >= 8 * largest.zones,
        "--vms must be at least 8 per zone; increase it or decrease --zones"
    );
    let time = Duration::from_secs(args.seconds.into());
    let runs: Vec<Run> = DIVISORS
        .iter()
        .map(|divisor| measure(&largest.divided(*divisor), time))
        .collect::<anyhow::Result<_>>()?;
    let rows = rows(&runs);
    // This simulation is cheap enough to run at the target scale itself.
    let propagation = propagation::measure(&TARGET);
    if args.json {
        let sizes: Vec<Size> = runs.iter().map(|run| run.size).collect();
        let report = serde_json::json!({"sizes": sizes, "target": TARGET,
            "rows": rows, "spread": propagation});
        println!("{report:#}");
    } else {
        print(&runs, &rows, &propagation);
    }
    Ok(ExitCode::SUCCESS)
}

fn measure(size: &Size, time: Duration) -> anyhow::Result<Run> {
    // Memory first: other measurements free memory that copies would reuse.
    let mut figures = components::measure_membership(size)?;
    figures.extend(config_and_load::measure_configuration(size)?);
    figures.extend(config_and_load::measure_load_view(size, time)?);
    figures.extend(components::measure_limits(size)?);
    figures.extend(components::measure_tickets()?);
    figures.extend(components::measure_events()?);
    figures.extend(components::measure_suspects()?);
    figures.extend(components::measure_orders(size)?);
    figures.extend(config_and_load::measure_notices(size)?);
    figures.extend(config_and_load::measure_vm_list(size));
    figures.extend(membership::measure(size, time)?);
    Ok(Run { size: *size, figures })
}

fn rows(runs: &[Run]) -> Vec<Row> {
    let row = |index: usize| {
        let Figure { name, unit, by, .. } = runs[0].figures[index];
        let points: Vec<(f64, f64)> = runs
            .iter()
            .map(|run| (run.size.driver_count(by), run.figures[index].value))
            .collect();
        let line = LinearFit::fit(&points);
        let values = points.iter().map(|point| point.1).collect();
        let at_target = line.predict(TARGET.driver_count(by));
        Row { name, unit, by, values, line, at_target }
    };
    (0..runs[0].figures.len()).map(row).collect()
}

fn print(runs: &[Run], rows: &[Row], propagation: &[Figure]) {
    for run in runs {
        println!("run: {:?}", run.size);
    }
    println!(
        "{:44} {:>10} {:>12} {:>34} {:>11} {:>12}",
        "figure of one daemon",
        "unit",
        "grows by",
        "values of the runs",
        "slope",
        "target"
    );
    for row in rows {
        let values: Vec<String> =
            row.values.iter().map(|v| format!("{v:.1}")).collect();
        let by = format!("{:?}", row.by);
        println!(
            "{:44} {:>10} {by:>12} {:>34} {:>11.4} {:>12.1}",
            row.name,
            row.unit,
            values.join(" "),
            row.line.slope,
            row.at_target
        );
    }
    println!(
        "one configuration change at the target, {TARGET:?}\n\
         (rounds: most hops between daemons to reach one; late reads: \
         platform reads by daemons that were behind)"
    );
    for figure in propagation {
        println!("{:50} {:8.2} {}", figure.name, figure.value, figure.unit);
    }
}
