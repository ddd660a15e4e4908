//! `briarladder bench control`: the cost of control for one daemon, and how
//! it grows.
//!
//! Runs the decision code on simulated time at a quarter, half and the whole
//! of a size, fits a line through each figure and prints its value at the
//! target scale. Messages are the ones of the wire as JSON, with a fixed
//! allowance for HTTP and JSON-RPC; TCP and IP headers are not counted.
//! Memory is the growth of the resident set by copies of a state: a counting
//! allocator needs unsafe code, which the workspace forbids.

use std::{process::ExitCode, time::Duration};

use anyhow::ensure;
use serde::Serialize;

use meter::{Driver, Figure, Line};
use size::{Size, TARGET};

mod changes;
mod meter;
mod parts;
mod real;
mod size;
mod spread;
#[cfg(test)]
mod tests;
mod world;

/// The parts of a size that are run.
const DIVISORS: [usize; 3] = [4, 2, 1];

/// Measures the cost of control and prints how it grows.
#[derive(Clone, Debug, clap::Args)]
#[command(after_help = "Examples:\n  \
    briarladder bench control --vms 240 --servers 10000 --zones 4\n  \
    briarladder bench control --real --seconds 10")]
pub struct Args {
    /// The daemons of the largest run.
    #[arg(
        long,
        default_value_t = 240,
        value_parser = clap::value_parser!(u16).range(8..=600)
    )]
    vms: u16,
    /// The backend servers of the largest run.
    #[arg(
        long,
        default_value_t = 10_000,
        value_parser = clap::value_parser!(u16).range(4..=20_000)
    )]
    servers: u16,
    /// The availability zones.
    #[arg(
        long,
        default_value_t = 4,
        value_parser = clap::value_parser!(u16).range(1..=64)
    )]
    zones: u16,
    /// The workspaces of the largest run.
    #[arg(
        long,
        default_value_t = 7_000,
        value_parser = clap::value_parser!(u16).range(1..=20_000)
    )]
    workspaces: u16,
    /// The simulated seconds of each run, or with `--real` the seconds.
    #[arg(
        long,
        default_value_t = 30,
        value_parser = clap::value_parser!(u16).range(1..=600)
    )]
    seconds: u16,
    /// Start daemons on loopback instead, without requests, and measure the
    /// process.
    #[arg(long)]
    real: bool,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Serialize)]
struct Run {
    size: Size,
    figures: Vec<Figure>,
}

#[derive(Serialize)]
struct Row {
    name: &'static str,
    unit: &'static str,
    by: Driver,
    values: Vec<f64>,
    line: Line,
    at_target: f64,
}

/// Runs the benchmark.
///
/// # Errors
///
/// Returns an error when the sizes do not fit, or /proc can't be read.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    if args.real {
        real::run(Duration::from_secs(args.seconds.into()), args.json)?;
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
        "--vms must be at least 8 for each zone; raise it or lower --zones"
    );
    let time = Duration::from_secs(args.seconds.into());
    let runs: Vec<Run> = DIVISORS
        .iter()
        .map(|by| measure(&largest.divided(*by), time))
        .collect::<anyhow::Result<_>>()?;
    let rows = rows(&runs);
    // The spread is cheap enough to run at the target scale itself.
    let spread = spread::measure(&TARGET);
    if args.json {
        let sizes: Vec<Size> = runs.iter().map(|run| run.size).collect();
        let report = serde_json::json!({"sizes": sizes, "target": TARGET,
            "rows": rows, "spread": spread});
        println!("{report:#}");
    } else {
        print(&runs, &rows, &spread);
    }
    Ok(ExitCode::SUCCESS)
}

fn measure(size: &Size, time: Duration) -> anyhow::Result<Run> {
    // Memory first: later steps free memory that copies would reuse.
    let mut figures = parts::members(size)?;
    figures.extend(changes::configuration(size)?);
    figures.extend(changes::load_view(size, time)?);
    figures.extend(parts::limits(size)?);
    figures.extend(parts::tickets()?);
    figures.extend(parts::events()?);
    figures.extend(parts::suspects()?);
    figures.extend(parts::orders(size)?);
    figures.extend(changes::notices(size)?);
    figures.extend(changes::vm_list(size));
    figures.extend(world::measure(size, time)?);
    Ok(Run { size: *size, figures })
}

fn rows(runs: &[Run]) -> Vec<Row> {
    let row = |at: usize| {
        let Figure { name, unit, by, .. } = runs[0].figures[at];
        let points: Vec<(f64, f64)> = runs
            .iter()
            .map(|run| (run.size.count(by), run.figures[at].value))
            .collect();
        let line = Line::fit(&points);
        let values = points.iter().map(|point| point.1).collect();
        let at_target = line.at(TARGET.count(by));
        Row { name, unit, by, values, line, at_target }
    };
    (0..runs[0].figures.len()).map(row).collect()
}

fn print(runs: &[Run], rows: &[Row], spread: &[Figure]) {
    for run in runs {
        println!("{:?}", run.size);
    }
    println!(
        "{:44} {:>10} {:>12} {:>34} {:>11} {:>12}",
        "figure of one daemon", "unit", "grows by", "runs", "slope", "target"
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
    println!("{TARGET:?}");
    for figure in spread {
        println!("{:50} {:8.2} {}", figure.name, figure.value, figure.unit);
    }
}
