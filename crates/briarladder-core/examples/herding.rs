//! Compares policies for choosing a server when many daemons act on the same
//! stale load reports: least reported load, random choice, and the router.
//!
//! In the first table, the daemons receive load reports once a second. In the
//! second table, each response carries a report as well. All runs get the same
//! arrivals from one seed.
//!
//! ```text
//! cargo run --release -p briarladder-core --example herding -- \
//!     [seed] [load in percent]
//! ```

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
const SLOTS_PER_SERVER: usize = 8;
/// Mean number of jobs that arrive at one daemon in one tick at 100% load:
/// the jobs that all servers finish in a tick, divided by the daemons.
const FULL_LOAD_JOBS_PER_DAEMON_TICK: f64 = 0.2;
const TICK: Duration = Duration::from_millis(10);
/// Length of a run.
const TICKS: u32 = 1_000;
/// Time that a server takes for one job.
const SERVICE_TICKS: u32 = 20;
/// Interval between two rounds of load reports.
const REPORT_TICKS: u32 = 100;

#[derive(Clone, Copy)]
struct Job {
    daemon: usize,
    arrival_tick: u32,
}

/// A simulated server that runs up to [`SLOTS_PER_SERVER`] jobs at a time and
/// queues the others.
#[derive(Clone, Default)]
struct SimulatedServer {
    /// Each running job, with the tick at which it finishes.
    running: Vec<(u32, Job)>,
    queue: VecDeque<Job>,
}

impl SimulatedServer {
    /// Removes and returns the jobs that finish by `tick`, and starts queued
    /// jobs in the free slots.
    fn tick(&mut self, tick: u32) -> Vec<Job> {
        let finished = self.running.extract_if(.., |(end, _)| *end <= tick);
        let finished = finished.map(|(_, job)| job).collect();
        while self.running.len() < SLOTS_PER_SERVER {
            let Some(job) = self.queue.pop_front() else { break };
            self.running.push((tick + SERVICE_TICKS, job));
        }
        finished
    }

    /// Returns the number of running and queued jobs.
    fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}

#[derive(Default)]
struct RunStats {
    completed: u32,
    /// The longest queue of a server.
    max_queue: usize,
    /// The most jobs that waited at the daemons for a server.
    max_entry_queue: usize,
    /// The number of idle servers, summed over all observed ticks.
    idle_server_ticks: u32,
    /// The time from arrival to completion of each completed job.
    latencies_ticks: Vec<u32>,
}

/// How load reports reach the daemons.
#[derive(Clone, Copy, Eq, PartialEq)]
enum ReportMode {
    /// Once a second.
    Periodic,
    /// Once a second, and with each response for the daemon that gets it.
    WithResponses,
}

enum Policy {
    Random,
    /// For each daemon, the last reported load of each server.
    LeastLoaded(Vec<Vec<usize>>),
    Routers(Vec<Router>),
}

struct Simulation {
    now: Instant,
    pool: PoolName,
    server_names: Vec<ServerName>,
    policy: Policy,
    report_mode: ReportMode,
    sequence: u32,
    rng: StdRng,
}

impl Simulation {
    fn new(policy: Policy, report_mode: ReportMode, seed: u64) -> Simulation {
        Simulation {
            now: Instant::now(),
            pool: PoolName::new("engines").unwrap(),
            server_names: (0..SERVERS).map(server_name).collect(),
            policy,
            report_mode,
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Delivers the current load of each server to all daemons.
    fn deliver_reports(&mut self, servers: &[SimulatedServer]) {
        self.sequence += 1;
        match &mut self.policy {
            Policy::Random => {}
            Policy::LeastLoaded(reported) => {
                let loads: Vec<_> =
                    servers.iter().map(SimulatedServer::load).collect();
                reported.fill(loads);
            }
            Policy::Routers(routers) => {
                for router in routers {
                    for (name, server) in self.server_names.iter().zip(servers)
                    {
                        let report = load_report(self.sequence, server);
                        router.apply_report(self.now, name, &report);
                    }
                }
            }
        }
    }

    /// Returns the index of the server for a job, or `None` if the job must
    /// wait at its daemon.
    fn pick_server(&mut self, job: Job) -> Option<usize> {
        match &mut self.policy {
            Policy::Random => Some(self.rng.random_range(0..SERVERS)),
            Policy::LeastLoaded(reported) => {
                // Ties are broken at random: always taking the first of the
                // tied servers would make this policy look worse.
                let reported = &reported[job.daemon];
                let rng = &mut self.rng;
                let key =
                    |index: &usize| (reported[*index], rng.random::<u32>());
                (0..SERVERS).min_by_key(key)
            }
            Policy::Routers(routers) => {
                let second = Duration::from_secs(1);
                let query = Query::new(&self.pool, second, second / 5);
                let router = &mut routers[job.daemon];
                let pick =
                    router.pick(self.now, &query, &mut self.rng).ok()?;
                router.record_sent(self.now, &pick);
                self.server_names.binary_search(&pick.server.name).ok()
            }
        }
    }

    /// Records a completed job and, with reports in responses, the load
    /// that its response carries.
    fn record_completion(
        &mut self,
        index: usize,
        job: Job,
        server: &SimulatedServer,
    ) {
        let in_response = self.report_mode == ReportMode::WithResponses;
        match &mut self.policy {
            Policy::Random => {}
            Policy::LeastLoaded(reported) => {
                if in_response {
                    reported[job.daemon][index] = server.load();
                }
            }
            Policy::Routers(routers) => {
                let router = &mut routers[job.daemon];
                let elapsed = TICK * SERVICE_TICKS;
                let result = AttemptResult::Completed;
                let name = &self.server_names[index];
                router.record_finished(self.now, name, result, elapsed);
                if in_response {
                    self.sequence += 1;
                    let report = load_report(self.sequence, server);
                    router.apply_report(self.now, name, &report);
                }
            }
        }
    }

    fn run(mut self, seed: u64, load_percent: u32) -> RunStats {
        let mut arrival_rng = StdRng::seed_from_u64(seed);
        let mut servers = vec![SimulatedServer::default(); SERVERS];
        let mut waiting = VecDeque::new();
        let mut stats = RunStats::default();
        let arrival_probability =
            FULL_LOAD_JOBS_PER_DAEMON_TICK * f64::from(load_percent) / 100.0;
        for tick in 0..TICKS {
            self.now += TICK;
            for (index, server) in servers.iter_mut().enumerate() {
                for job in server.tick(tick) {
                    stats.completed += 1;
                    stats.latencies_ticks.push(tick - job.arrival_tick);
                    self.record_completion(index, job, server);
                }
            }
            if tick % REPORT_TICKS == 0 {
                self.deliver_reports(&servers);
            }
            let new_jobs = (0..DAEMONS)
                .filter(|_| arrival_rng.random_bool(arrival_probability))
                .map(|daemon| Job { daemon, arrival_tick: tick });
            waiting.extend(new_jobs);
            waiting.retain(|job| match self.pick_server(*job) {
                Some(index) => {
                    servers[index].queue.push_back(*job);
                    false
                }
                None => true,
            });
            // The first second is not observed: all servers start idle.
            if tick >= REPORT_TICKS {
                stats.observe(&servers, waiting.len());
            }
        }
        stats
    }
}

impl RunStats {
    /// Samples the queues and the idle servers after a tick.
    fn observe(&mut self, servers: &[SimulatedServer], waiting: usize) {
        let queue = servers.iter().map(|server| server.queue.len()).max();
        self.max_queue = self.max_queue.max(queue.unwrap_or(0));
        self.max_entry_queue = self.max_entry_queue.max(waiting);
        let idle = servers.iter().filter(|server| server.load() == 0).count();
        self.idle_server_ticks += to_u32(idle);
    }

    fn print(mut self, name: &str) {
        self.latencies_ticks.sort_unstable();
        let p99_ticks =
            self.latencies_ticks[self.latencies_ticks.len() * 99 / 100];
        let observed = (TICKS - REPORT_TICKS) * to_u32(SERVERS);
        let idle =
            100.0 * f64::from(self.idle_server_ticks) / f64::from(observed);
        println!(
            "{name:<24} {:>9} {:>11} {:>11} {idle:>10.1}% {:>10}",
            self.completed,
            self.max_queue,
            self.max_entry_queue,
            u128::from(p99_ticks) * TICK.as_millis(),
        );
    }
}

fn server_name(i: usize) -> ServerName {
    ServerName::new(&format!("engine-{i:03}")).unwrap()
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).expect("counts fit in 32 bits")
}

fn load_report(sequence: u32, server: &SimulatedServer) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        sequence: sequence.into(),
        state: ServerState::Ready,
        slots_requests: to_u32(SLOTS_PER_SERVER),
        running_requests: to_u32(server.running.len()),
        queued_requests: to_u32(server.queue.len()),
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
                slots_requests: u32::try_from(SLOTS_PER_SERVER).unwrap(),
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
        "{DAEMONS} daemons, {SERVERS} servers of {SLOTS_PER_SERVER} slots, \
         {load}% load, seed {seed}"
    );
    for report_mode in [ReportMode::Periodic, ReportMode::WithResponses] {
        match report_mode {
            ReportMode::Periodic => println!("\nreports each second"),
            ReportMode::WithResponses => println!("\nand with each response"),
        }
        println!(
            "{:<24} {:>9} {:>11} {:>11} {:>11} {:>10}",
            "policy", "answered", "max queue", "max entry", "idle", "p99 ms"
        );
        let least_loaded =
            Policy::LeastLoaded(vec![vec![0; SERVERS]; DAEMONS]);
        let policies = [
            ("least by report", least_loaded),
            ("random", Policy::Random),
            ("router", Policy::Routers(routers())),
        ];
        for (name, policy) in policies {
            Simulation::new(policy, report_mode, seed)
                .run(seed, load)
                .print(name);
        }
    }
}
