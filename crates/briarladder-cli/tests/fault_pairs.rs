//! Runs random pairs of faults, each derived from a seed.
//!
//! `BRIARLADDER_PAIRS` is the number of pairs and `BRIARLADDER_PAIRS_SEED`
//! the seed of the first pair; seeds are consecutive. To reproduce one pair,
//! set its seed and a number of 1.

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
    history::{CallRecord, CallResult, History},
    invariants::check,
    scenario::{self, ScenarioRun},
};
use tokio::task::JoinSet;

/// The default number of pairs.
const DEFAULT_PAIRS: u64 = 500;

/// The default seed of the first pair.
const DEFAULT_SEED: u64 = 1;

/// The number of fleets that run concurrently. Pairs spend most of their time
/// waiting, so there are more fleets than cores. About one pair in ten needs
/// proxied links to the servers.
const DIRECT_FLEETS: u64 = 20;
const PROXIED_FLEETS: u64 = 4;

/// The factor for service times. The scenario adds its own delays so that
/// each step can be observed.
const TIME_SCALE: f64 = 0.1;

/// The timeout for one pair.
const PAIR_TIMEOUT: Duration = Duration::from_secs(30);

fn env_number(variable: &str, default: u64) -> u64 {
    match std::env::var(variable) {
        Ok(text) => {
            text.parse().expect("the environment variable must be a number")
        }
        Err(_) => default,
    }
}

/// Returns the pair of faults for a seed.
fn draw_pair(seed: u64) -> Vec<Injection> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Step::ALL.to_vec();
    // The daemon does not send orders yet.
    steps.retain(|step| *step != Step::Order);
    let mut draw_injection = || Injection {
        step: steps[rng.random_range(0..steps.len())],
        fault: FaultKind::ALL[rng.random_range(0..FaultKind::ALL.len())],
    };
    vec![draw_injection(), draw_injection()]
}

/// Returns the kind of server links that a pair needs.
fn links_for(pair: &[Injection]) -> ServerLinks {
    let needs_proxy = |i: &Injection| i.fault == FaultKind::PartitionServers;
    if pair.iter().any(needs_proxy) {
        ServerLinks::Proxied
    } else {
        ServerLinks::Direct
    }
}

/// Counts of pairs and of the results of their requests.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    pairs: u64,
    unreached_steps: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    incomplete: u64,
}

impl Tally {
    fn count(&mut self, run_result: &ScenarioRun) {
        self.pairs += 1;
        self.unreached_steps += run_result.unreached.len() as u64;
        for result in
            run_result.records.iter().flat_map(|record| &record.results)
        {
            match result {
                CallResult::Answered(_) => self.answered += 1,
                CallResult::Refused(p) if p.outcome == Outcome::NotRun => {
                    self.not_run += 1;
                }
                CallResult::Refused(_) => self.unknown += 1,
                _ => self.incomplete += 1,
            }
        }
    }

    fn add(&mut self, other: Tally) {
        self.pairs += other.pairs;
        self.unreached_steps += other.unreached_steps;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.incomplete += other.incomplete;
    }

    /// Panics if the faults took no effect, because then nothing was tested.
    fn assert_faults_took_effect(self) {
        // An earlier fault may keep a request from reaching a step, but this
        // must be rare.
        assert!(self.unreached_steps * 4 < self.pairs * 2, "{self:?}");
        let failure_counts = [self.not_run, self.unknown, self.incomplete];
        assert!(failure_counts.iter().all(|count| *count > 0), "{self:?}");
        assert!(self.answered > self.pairs, "{self:?}");
    }
}

/// Runs pairs in one fleet, taking the next seed until none is left.
async fn run_pairs(
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
        let pair = draw_pair(seed);
        if links_for(&pair) != server_links {
            continue;
        }
        let run = run_pair(&mut fleet, &pair, &mut records, &mut tally);
        let result = match tokio::time::timeout(PAIR_TIMEOUT, run).await {
            Ok(result) => result,
            Err(_) => {
                Err(anyhow::anyhow!("not completed within {PAIR_TIMEOUT:?}"))
            }
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
    records: &mut Vec<CallRecord>,
    tally: &mut Tally,
) -> anyhow::Result<()> {
    let run_result = scenario::run(fleet, pair).await?;
    tally.count(&run_result);
    records.extend(run_result.records);
    let violations = check(&History::collect(fleet, records.clone()));
    let lines: Vec<String> =
        violations.iter().map(ToString::to_string).collect();
    anyhow::ensure!(lines.is_empty(), "{}", lines.join("\n"));
    while fleet.running().len() < 2 {
        fleet.start_daemon("east-a").await?;
    }
    while fleet.running().len() > 2 {
        let vm = fleet.endpoint(2).vm;
        let pending_shutdown = fleet.begin_shutdown(&vm)?;
        fleet.finish_shutdown(pending_shutdown).await;
    }
    fleet.publish_vm_list();
    fleet.wait_until_ready().await.context("restoring two daemons")
}

/// Guards against combinations of faults that violate an invariant although
/// each fault alone does not.
#[tokio::test(flavor = "multi_thread")]
async fn pairs_of_faults_keep_the_invariants() {
    let first = env_number("BRIARLADDER_PAIRS_SEED", DEFAULT_SEED);
    let pairs = env_number("BRIARLADDER_PAIRS", DEFAULT_PAIRS);
    let mut fleets = JoinSet::new();
    for (server_links, count) in [
        (ServerLinks::Direct, DIRECT_FLEETS),
        (ServerLinks::Proxied, PROXIED_FLEETS),
    ] {
        let next = Arc::new(AtomicU64::new(first));
        for _ in 0..count.min(pairs) {
            let seeds = first..first + pairs;
            fleets.spawn(run_pairs(Arc::clone(&next), seeds, server_links));
        }
    }
    let mut failures = Vec::new();
    let mut tally = Tally::default();
    while let Some(result) = fleets.join_next().await {
        match result.expect("a fleet does not panic") {
            Ok(partial) => tally.add(partial),
            Err(error) => failures.push(error.to_string()),
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n\n"));
    println!("{tally:?}");
    // A small run, as when one pair is reproduced, need not see all outcomes.
    if pairs >= DEFAULT_PAIRS {
        tally.assert_faults_took_effect();
    }
}
