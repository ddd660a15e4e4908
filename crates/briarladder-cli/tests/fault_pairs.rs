//! Two faults at once, drawn from a seed.
//!
//! `BRIARLADDER_PAIRS` is the number of pairs and `BRIARLADDER_PAIRS_SEED`
//! the seed of the first; each further pair has the next seed. To run one
//! pair again, set its seed and a number of 1.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use briarladder_core::timeline::{merge, render};
use briarladder_wire::callers::Outcome;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use support::{
    cells::{FaultKind, Injection, Step},
    fleet::{DaemonProcess, ServerLinks, TestFleet, TestFleetSettings},
    history::{CallEnd, History, Record},
    invariants::check,
    scenario::{self, Ran},
};
use tokio::task::JoinSet;

/// The pairs of a run.
const DEFAULT_PAIRS: u64 = 500;

/// The seed of the first pair.
const DEFAULT_SEED: u64 = 1;

/// The fleets that run at once. Pairs mostly wait, so that there are more
/// fleets than cores. About one pair in ten needs links to the servers.
const DIRECT_FLEETS: u64 = 20;
const PROXIED_FLEETS: u64 = 4;

/// The factor on service times. Steps are stretched by the scenario.
const TIME_SCALE: f64 = 0.1;

/// The longest time for one pair.
const PAIR_TIMEOUT: Duration = Duration::from_secs(30);

fn number(variable: &str, default: u64) -> u64 {
    match std::env::var(variable) {
        Ok(text) => text.parse().expect("the variable is a number"),
        Err(_) => default,
    }
}

/// Returns the faults of a seed.
fn draw(seed: u64) -> Vec<Injection> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Step::ALL.to_vec();
    // The daemon sends no orders yet.
    steps.retain(|step| *step != Step::Order);
    let mut one = || Injection {
        step: steps[rng.random_range(0..steps.len())],
        fault: FaultKind::ALL[rng.random_range(0..FaultKind::ALL.len())],
    };
    vec![one(), one()]
}

/// Returns the links that a pair needs.
fn links_for(pair: &[Injection]) -> ServerLinks {
    let cut = |i: &Injection| i.fault == FaultKind::PartitionServers;
    if pair.iter().any(cut) {
        ServerLinks::Proxied
    } else {
        ServerLinks::Direct
    }
}

/// What a run of pairs brought.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    pairs: u64,
    missed_steps: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    broken: u64,
}

impl Tally {
    fn count(&mut self, ran: &Ran) {
        self.pairs += 1;
        self.missed_steps += ran.missed.len() as u64;
        for end in ran.records.iter().flat_map(|record| &record.ends) {
            match end {
                CallEnd::Answered(_) => self.answered += 1,
                CallEnd::Refused(p) if p.outcome == Outcome::NotRun => {
                    self.not_run += 1;
                }
                CallEnd::Refused(_) => self.unknown += 1,
                _ => self.broken += 1,
            }
        }
    }

    fn add(&mut self, other: Tally) {
        self.pairs += other.pairs;
        self.missed_steps += other.missed_steps;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.broken += other.broken;
    }

    /// Fails if the faults did not strike, so that nothing was tested.
    fn assert_faults_struck(self) {
        // An earlier fault may keep a request from a step, but not often.
        assert!(self.missed_steps * 4 < self.pairs * 2, "{self:?}");
        let struck = [self.not_run, self.unknown, self.broken];
        assert!(struck.iter().all(|count| *count > 0), "{self:?}");
        assert!(self.answered > self.pairs, "{self:?}");
    }
}

/// Draws pairs until all are taken, and runs them in one fleet.
async fn run_some(
    next: Arc<AtomicU64>,
    seeds: std::ops::Range<u64>,
    server_links: ServerLinks,
) -> anyhow::Result<Tally> {
    let settings = TestFleetSettings {
        zones: vec!["east-a", "east-a"],
        time_scale: TIME_SCALE,
        server_links,
        ..TestFleetSettings::default()
    };
    let mut fleet = TestFleet::start(settings).await?;
    let mut records = Vec::new();
    let mut tally = Tally::default();
    loop {
        let seed = next.fetch_add(1, Ordering::AcqRel);
        if !seeds.contains(&seed) {
            return Ok(tally);
        }
        let pair = draw(seed);
        if links_for(&pair) != server_links {
            continue;
        }
        let run = run_pair(&mut fleet, &pair, &mut records, &mut tally);
        let result = match tokio::time::timeout(PAIR_TIMEOUT, run).await {
            Ok(result) => result,
            Err(_) => Err(anyhow::anyhow!("no end in {PAIR_TIMEOUT:?}")),
        };
        if let Err(error) = result {
            let pages: Vec<_> =
                fleet.daemons().iter().map(DaemonProcess::timeline).collect();
            let timeline = render(&merge(&pages));
            anyhow::bail!(
                "seed {seed}: {} and {}: {error:#}\n{timeline}",
                pair[0],
                pair[1]
            );
        }
    }
}

async fn run_pair(
    fleet: &mut TestFleet,
    pair: &[Injection],
    records: &mut Vec<Record>,
    tally: &mut Tally,
) -> anyhow::Result<()> {
    let ran = scenario::run(fleet, pair).await?;
    tally.count(&ran);
    records.extend(ran.records);
    let broken = check(&History::of(fleet, records.clone()));
    let lines: Vec<String> = broken.iter().map(ToString::to_string).collect();
    anyhow::ensure!(lines.is_empty(), "{}", lines.join("\n"));
    while fleet.running().len() < 2 {
        fleet.start_daemon("east-a").await?;
    }
    while fleet.running().len() > 2 {
        let vm = fleet.place(2).vm;
        let stopping = fleet.begin_stop(&vm)?;
        fleet.finish_stop(stopping).await;
    }
    fleet.list_vms();
    fleet.wait_until_ready().await.context("repair")
}

/// Guards against combinations of faults that break an invariant although
/// each fault alone does not.
#[tokio::test(flavor = "multi_thread")]
async fn pairs_of_faults_keep_the_invariants() {
    let first = number("BRIARLADDER_PAIRS_SEED", DEFAULT_SEED);
    let pairs = number("BRIARLADDER_PAIRS", DEFAULT_PAIRS);
    let mut fleets = JoinSet::new();
    for (server_links, count) in [
        (ServerLinks::Direct, DIRECT_FLEETS),
        (ServerLinks::Proxied, PROXIED_FLEETS),
    ] {
        let next = Arc::new(AtomicU64::new(first));
        for _ in 0..count.min(pairs) {
            let seeds = first..first + pairs;
            fleets.spawn(run_some(Arc::clone(&next), seeds, server_links));
        }
    }
    let mut failures = Vec::new();
    let mut tally = Tally::default();
    while let Some(result) = fleets.join_next().await {
        match result.expect("a fleet does not panic") {
            Ok(some) => tally.add(some),
            Err(error) => failures.push(error.to_string()),
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n\n"));
    println!("{tally:?}");
    // A few pairs, as when one is run again, need not meet every outcome.
    if pairs >= DEFAULT_PAIRS {
        tally.assert_faults_struck();
    }
}
