//! Compares ways to choose a server when many daemons share one stale load
//! report: the least loaded by the report, any at random, and the router.
//!
//! Reports come once a second; in a second table, each response carries one
//! too. All runs get the same arrivals from one seed. Arguments: seed, load
//! in percent.

use std::{
    collections::VecDeque,
    env,
    time::{Duration, Instant},
};

use briarladder_core::{
    ids::Incarnation,
    load::{LoadReport, ServerState},
    names::{PoolName, RegionName, ServerName, VmName, ZoneName},
    objects::{
        Fleet, Object, Pool, Region, Role, Server, Zone, snapshot::Snapshot,
    },
    routing::{AttemptResult, Query, Router, Settings},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const DAEMONS: usize = 200;
const SERVERS: usize = 100;
const SLOTS: usize = 8;
/// The jobs of one daemon in one tick that make 100% load.
const CAPACITY: f64 = 0.2;
const TICK: Duration = Duration::from_millis(10);
const TICKS: u32 = 1_000;
const SERVICE_TICKS: u32 = 20;
const REPORT_TICKS: u32 = 100;

#[derive(Clone, Copy)]
struct Job {
    daemon: usize,
    arrived: u32,
}

/// A server that runs up to [`SLOTS`] jobs and queues the others.
#[derive(Clone, Default)]
struct Engine {
    running: Vec<(u32, Job)>,
    queue: VecDeque<Job>,
}

impl Engine {
    /// Starts queued jobs and returns those that ended.
    fn tick(&mut self, tick: u32) -> Vec<Job> {
        let ended = self.running.extract_if(.., |(end, _)| *end <= tick);
        let ended = ended.map(|(_, job)| job).collect();
        while self.running.len() < SLOTS {
            let Some(job) = self.queue.pop_front() else { break };
            self.running.push((tick + SERVICE_TICKS, job));
        }
        ended
    }

    fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}

#[derive(Default)]
struct Figures {
    answered: u32,
    max_queue: usize,
    max_entry_queue: usize,
    idle_servers: u32,
    waits_ticks: Vec<u32>,
}

/// How load reports reach the daemons.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Reports {
    EachSecond,
    WithResponses,
}

enum Policy {
    Random,
    /// The reported load of each server, for each daemon.
    LeastLoaded(Vec<Vec<usize>>),
    Routers(Vec<Router>),
}

struct Run {
    now: Instant,
    pool: PoolName,
    names: Vec<ServerName>,
    policy: Policy,
    reports: Reports,
    sequence: u32,
    rng: StdRng,
}

impl Run {
    fn new(policy: Policy, reports: Reports, seed: u64) -> Run {
        Run {
            now: Instant::now(),
            pool: PoolName::new("engines").unwrap(),
            names: (0..SERVERS).map(server_name).collect(),
            policy,
            reports,
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn report(&mut self, engines: &[Engine]) {
        self.sequence += 1;
        match &mut self.policy {
            Policy::Random => {}
            Policy::LeastLoaded(reported) => {
                let loads: Vec<_> = engines.iter().map(Engine::load).collect();
                reported.fill(loads);
            }
            Policy::Routers(routers) => {
                for router in routers {
                    for (name, engine) in self.names.iter().zip(engines) {
                        let report = load_report(self.sequence, engine);
                        router.apply_report(self.now, name, &report);
                    }
                }
            }
        }
    }

    /// Returns the server for a job, or nothing if it must wait.
    fn pick(&mut self, job: Job) -> Option<usize> {
        match &mut self.policy {
            Policy::Random => Some(self.rng.random_range(0..SERVERS)),
            Policy::LeastLoaded(reported) => {
                // Ties are broken at random, in favour of this policy.
                let reported = &reported[job.daemon];
                let rng = &mut self.rng;
                let key = |at: &usize| (reported[*at], rng.random::<u32>());
                (0..SERVERS).min_by_key(key)
            }
            Policy::Routers(routers) => {
                let second = Duration::from_secs(1);
                let query = Query::new(&self.pool, second, second / 5);
                let router = &mut routers[job.daemon];
                let pick =
                    router.pick(self.now, &query, &mut self.rng).ok()?;
                router.record_sent(self.now, &pick);
                self.names.binary_search(&pick.server.name).ok()
            }
        }
    }

    fn ended(&mut self, at: usize, job: Job, engine: &Engine) {
        let carried = self.reports == Reports::WithResponses;
        match &mut self.policy {
            Policy::Random => {}
            Policy::LeastLoaded(reported) => {
                if carried {
                    reported[job.daemon][at] = engine.load();
                }
            }
            Policy::Routers(routers) => {
                let router = &mut routers[job.daemon];
                let elapsed = TICK * SERVICE_TICKS;
                let result = AttemptResult::Completed;
                let name = &self.names[at];
                router.record_finished(self.now, name, result, elapsed);
                if carried {
                    self.sequence += 1;
                    let report = load_report(self.sequence, engine);
                    router.apply_report(self.now, name, &report);
                }
            }
        }
    }

    fn run(mut self, seed: u64, load_percent: u32) -> Figures {
        let mut arrivals = StdRng::seed_from_u64(seed);
        let mut engines = vec![Engine::default(); SERVERS];
        let mut waiting = VecDeque::new();
        let mut figures = Figures::default();
        let chance = CAPACITY * f64::from(load_percent) / 100.0;
        for tick in 0..TICKS {
            self.now += TICK;
            for (at, engine) in engines.iter_mut().enumerate() {
                for job in engine.tick(tick) {
                    figures.answered += 1;
                    figures.waits_ticks.push(tick - job.arrived);
                    self.ended(at, job, engine);
                }
            }
            if tick % REPORT_TICKS == 0 {
                self.report(&engines);
            }
            let arrived = (0..DAEMONS)
                .filter(|_| arrivals.random_bool(chance))
                .map(|daemon| Job { daemon, arrived: tick });
            waiting.extend(arrived);
            waiting.retain(|job| match self.pick(*job) {
                Some(at) => {
                    engines[at].queue.push_back(*job);
                    false
                }
                None => true,
            });
            // Before the first second, the servers are idle in any case.
            if tick >= REPORT_TICKS {
                figures.observe(&engines, waiting.len());
            }
        }
        figures
    }
}

impl Figures {
    fn observe(&mut self, engines: &[Engine], waiting: usize) {
        let queue = engines.iter().map(|e| e.queue.len()).max();
        self.max_queue = self.max_queue.max(queue.unwrap_or(0));
        self.max_entry_queue = self.max_entry_queue.max(waiting);
        let idle = engines.iter().filter(|e| e.load() == 0).count();
        self.idle_servers += count(idle);
    }

    fn print(mut self, name: &str) {
        self.waits_ticks.sort_unstable();
        let p99 = self.waits_ticks[self.waits_ticks.len() * 99 / 100];
        let observed = (TICKS - REPORT_TICKS) * count(SERVERS);
        let idle = 100.0 * f64::from(self.idle_servers) / f64::from(observed);
        println!(
            "{name:<24} {:>9} {:>11} {:>11} {idle:>10.1}% {:>10}",
            self.answered,
            self.max_queue,
            self.max_entry_queue,
            u128::from(p99) * TICK.as_millis(),
        );
    }
}

fn server_name(i: usize) -> ServerName {
    ServerName::new(&format!("engine-{i:03}")).unwrap()
}

fn count(n: usize) -> u32 {
    u32::try_from(n).expect("small numbers")
}

fn load_report(sequence: u32, engine: &Engine) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        sequence: sequence.into(),
        state: ServerState::Ready,
        slots_requests: count(SLOTS),
        running_requests: count(engine.running.len()),
        queued_requests: count(engine.queue.len()),
        epoch_seen: 1,
        model_versions: Vec::new(),
    }
}

fn routers() -> Vec<Router> {
    let pool = PoolName::new("engines").unwrap();
    let zone = ZoneName::new("zone").unwrap();
    let server = |i| Server {
        name: server_name(i),
        pool: pool.clone(),
        address: ([127, 0, 0, 1], 80).into(),
    };
    let objects = [
        Object::Fleet(Fleet {
            ticket_keys: Vec::new(),
            ticket_lifetime_ms: 1,
            outcome_retention_ms: 1,
            weight_store_bytes_per_s: 1,
        }),
        Object::Region(Region {
            name: RegionName::new("region").unwrap(),
            pools: vec![Pool {
                name: pool.clone(),
                role: Role::Engine,
                slots_requests: u32::try_from(SLOTS).unwrap(),
                model_versions: Vec::new(),
                checks_fencing: true,
            }],
            zones: vec![Zone {
                name: zone.clone(),
                servers: (0..SERVERS).map(server).collect(),
            }],
            links: Vec::new(),
        }),
    ];
    let snapshot = Snapshot::resolve(1, &objects).unwrap();
    let router = |i| {
        let vm = VmName::new(&format!("vm-{i}")).unwrap();
        let mut router = Router::new(Settings::new(vm, zone.clone()));
        router.apply_snapshot(Instant::now(), &snapshot);
        router
    };
    (0..DAEMONS).map(router).collect()
}

fn main() {
    let mut args = env::args().skip(1).map(|arg| arg.parse().unwrap());
    let seed = args.next().unwrap_or(1);
    let load = args.next().map_or(70, |load| u32::try_from(load).unwrap());
    println!(
        "{DAEMONS} daemons, {SERVERS} servers of {SLOTS} slots, \
         {load}% load, seed {seed}"
    );
    for reports in [Reports::EachSecond, Reports::WithResponses] {
        match reports {
            Reports::EachSecond => println!("\nreports each second"),
            Reports::WithResponses => println!("\nand with each response"),
        }
        println!(
            "{:<24} {:>9} {:>11} {:>11} {:>11} {:>10}",
            "policy", "answered", "max queue", "max entry", "idle", "p99 ms"
        );
        let stale = Policy::LeastLoaded(vec![vec![0; SERVERS]; DAEMONS]);
        let policies = [
            ("least by report", stale),
            ("random", Policy::Random),
            ("router", Policy::Routers(routers())),
        ];
        for (name, policy) in policies {
            Run::new(policy, reports, seed).run(seed, load).print(name);
        }
    }
}
