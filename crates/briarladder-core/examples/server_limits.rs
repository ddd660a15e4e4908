//! Compares ways in which daemons can share the limit of a server.
//!
//! Prints, for each number of daemons, limit, demand and design, the most
//! requests that the server got in 4 s, the most that are allowed, which share
//! of the limit was used, in how many runs the limit was exceeded, and how
//! many daemons knew it at the end. The last columns are the requests for
//! places: the most that one daemon sent in a second, the most that all sent,
//! the most that were not granted, and the mean of those. Of a limit of 0, the
//! share is that of 0.2 requests a second. Clocks jump, processes restart, a
//! zone is cut off, and lists of members differ. With `chosen`, the rejected
//! designs are left out; with the name of a design, all others are. The exit
//! status is 1 if a design of the crate exceeds a limit.
//!
//! ```text
//! cargo run --release -p briarladder-core \
//!     --example server_limits -- [seeds] [chosen|DESIGN]
//! ```

#[path = "../src/fleet/server_limits/simulation/mod.rs"]
#[allow(missing_docs)]
mod simulation;

use std::{process::ExitCode, time::Duration};

use simulation::{Demand, Design, Outcome, Scenario, run};

/// Numbers of daemons and zones.
const SIZES: [(usize, usize); 4] = [(9, 3), (30, 3), (300, 6), (2500, 12)];
const LIMITS_PER_S: [f64; 6] = [0.0, 0.3, 1.0, 2.5, 8.0, 40.0];

/// The designs of the crate, and then the rejected ones.
const DESIGNS: [Design; 5] = [
    Design::Turns,
    Design::TurnsWithAsking,
    Design::Coordinator,
    Design::EqualParts,
    Design::OneHome,
];

/// Number of designs of the crate.
const CHOSEN: usize = 3;

const DURATION: Duration = Duration::from_mins(1);
const DEFAULT_SEEDS: u64 = 5;

/// The runs of one scenario with different seeds.
#[derive(Default)]
struct Summary {
    most_requests: usize,
    allowed_requests: f64,
    rate_per_s: f64,
    exceeded: u64,
    /// The fewest daemons that knew the limit at the end of a run.
    least_aware: Option<usize>,
    most_asks_per_daemon: usize,
    most_asks: usize,
    most_refused_asks: usize,
    refused_asks_per_s: f64,
}

impl Summary {
    fn add(&mut self, outcome: &Outcome, weight: f64) {
        self.most_requests = self.most_requests.max(outcome.most_requests);
        self.allowed_requests = outcome.allowed_requests;
        self.rate_per_s += outcome.rate_per_s * weight;
        self.exceeded += u64::from(!outcome.is_kept());
        let aware = outcome.limited_daemons;
        let least = self.least_aware.map_or(aware, |least| least.min(aware));
        self.least_aware = Some(least);
        let asks = outcome.asks;
        self.most_asks_per_daemon =
            self.most_asks_per_daemon.max(asks.most_per_daemon);
        self.most_asks = self.most_asks.max(asks.most);
        self.most_refused_asks = self.most_refused_asks.max(asks.most_refused);
        self.refused_asks_per_s += asks.refused_per_s * weight;
    }
}

#[allow(clippy::cast_precision_loss)] // There are few seeds.
fn run_seeds(scenario: Scenario, seeds: u64) -> Summary {
    let mut summary = Summary::default();
    for seed in 0..seeds {
        let outcome = run(Scenario { seed, ..scenario });
        summary.add(&outcome, 1.0 / seeds as f64);
    }
    summary
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let seeds = args
        .next()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(DEFAULT_SEEDS);
    let designs = designs(args.next().as_deref());
    println!(
        "daemons limit/s demand     design          most allowed share \
         over    aware asks: daemon   all refused mean"
    );
    let mut is_kept = true;
    for scenario in scenarios(&designs) {
        let summary = run_seeds(scenario, seeds);
        print_row(&scenario, &summary, seeds);
        let is_chosen = DESIGNS[..CHOSEN].contains(&scenario.design);
        is_kept &= !is_chosen || summary.exceeded == 0;
    }
    if is_kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Returns the designs that an argument selects.
fn designs(selection: Option<&str>) -> Vec<Design> {
    let Some(selection) = selection else { return DESIGNS.to_vec() };
    if selection == "chosen" {
        return DESIGNS[..CHOSEN].to_vec();
    }
    DESIGNS
        .into_iter()
        .filter(|design| format!("{design:?}") == selection)
        .collect()
}

/// Returns all scenarios of some designs.
fn scenarios(designs: &[Design]) -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for (daemons, zones) in SIZES {
        for limit_per_s in LIMITS_PER_S {
            for demand in [Demand::Saturating, Demand::Sparse] {
                scenarios.extend(designs.iter().map(|&design| Scenario {
                    daemons,
                    zones,
                    limit_per_s,
                    demand,
                    design,
                    faults: true,
                    ends_at: None,
                    duration: DURATION,
                    seed: 0,
                }));
            }
        }
    }
    scenarios
}

fn print_row(scenario: &Scenario, summary: &Summary, seeds: u64) {
    let share = summary.rate_per_s / scenario.limit_per_s.max(0.2);
    println!(
        "{:7} {:7} {:10} {:15} {:4} {:7} {:4.0}% {:>2}/{seeds} {:8} \
         {:12} {:5} {:7} {:4.0}",
        scenario.daemons,
        scenario.limit_per_s,
        format!("{:?}", scenario.demand),
        format!("{:?}", scenario.design),
        summary.most_requests,
        summary.allowed_requests,
        share * 100.0,
        summary.exceeded,
        summary.least_aware.unwrap_or(0),
        summary.most_asks_per_daemon,
        summary.most_asks,
        summary.most_refused_asks,
        summary.refused_asks_per_s,
    );
}
