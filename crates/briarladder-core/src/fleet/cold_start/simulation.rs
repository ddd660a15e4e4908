//! Simulates daemons that send to the cold servers of a zone, without a
//! network. All servers of the zone are cold from the start on.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom};

use crate::fleet::{
    config::ColdStartSpec, placement::Regions, server::ListedServer,
    server_limits::Sharing,
};

use super::{
    Caller, ColdCallers, ColdLimit, ColdServers, ColdStartBound, START_DELAY,
    WINDOW,
};

pub(super) const TOLERATED_PER_S: f64 = 8.0;
pub(super) const BOUND: ColdStartBound =
    ColdStartBound { overage: 1.5, slack: 5.0 };

const ZONES: usize = 3;
const SERVERS: usize = 5;
const TICK: Duration = Duration::from_millis(10);

/// How long the servers stay cold, longer than usual to see more windows.
const COLD_TIME: Duration = Duration::from_secs(10);

/// The longest time from the choice of a server until a request is sent.
const MAX_SEND_DELAY: Duration = Duration::from_millis(50);

/// When the daemons of the zone begin to leave.
const LEAVING_AT: Duration = Duration::from_secs(2);

/// The time between two departures, if not all leave at once.
const LEAVING_INTERVAL: Duration = Duration::from_millis(200);

/// How long a daemon takes to start again.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// The longest time until a daemon learns of a departure.
const MAX_NEWS_DELAY: Duration = Duration::from_secs(3);

/// What happens to the daemons and their lists of members.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Trouble {
    /// All know all members.
    None,
    /// Each half of the daemons doesn't know the other one.
    TwoLists,
    /// All daemons of the zone of the servers are restarted at once.
    ZoneRestart,
    /// The daemons of that zone are restarted one after the other.
    RollingRestart,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) daemons: usize,
    pub(super) trouble: Trouble,
    /// The requests a second of each daemon, but of every fourth one 40.
    pub(super) requests_per_s: f64,
    pub(super) seed: u64,
}

/// What the servers got.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outcome {
    /// The most requests to one server in a window.
    pub(super) most_in_window: usize,
    /// The mean rate of a server.
    pub(super) rate_per_s: f64,
}

struct Daemon {
    cold: ColdServers,
    callers: ColdCallers,
    leaves_at: Option<Instant>,
    /// How long it takes to learn of a departure.
    news_delay: Duration,
    known_departures: Option<usize>,
    requests_per_s: f64,
}

struct Simulation {
    scenario: Scenario,
    start: Instant,
    random: SmallRng,
    servers: Vec<ListedServer>,
    members: Vec<Caller>,
    daemons: Vec<Daemon>,
    /// When daemons leave, in order.
    departures: Vec<Instant>,
    /// When requests were sent to each server.
    sent: Vec<Vec<Instant>>,
}

pub(super) fn run(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    let mut now = simulation.start;
    while now < simulation.start + COLD_TIME {
        for at in 0..simulation.daemons.len() {
            simulation.step(now, at);
        }
        now += TICK;
    }
    simulation.outcome()
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let started_at = Instant::now();
        let start = started_at + START_DELAY;
        let mut random = SmallRng::seed_from_u64(scenario.seed);
        let servers = (0..SERVERS).map(|at| server(scenario.seed, at));
        let servers: Vec<ListedServer> = servers.collect();
        let members: Vec<Caller> = (0..scenario.daemons)
            .map(|at| Caller {
                name: Arc::from(format!("vm-{at}")),
                zone: Arc::from(format!("zone-{}", at % ZONES)),
            })
            .collect();
        let daemons = members
            .iter()
            .enumerate()
            .map(|(at, member)| Daemon {
                cold: observe_cold(started_at, start, &servers),
                callers: ColdCallers {
                    local: Arc::clone(&member.name),
                    members: Arc::from([]),
                    version: 0,
                    regions: Regions::default(),
                    is_complete: true,
                },
                leaves_at: leaves_at(scenario, start, at),
                news_delay: MAX_NEWS_DELAY.mul_f64(random.random()),
                known_departures: None,
                requests_per_s: match at % 4 {
                    0 => 40.0,
                    _ => scenario.requests_per_s,
                },
            })
            .collect();
        let departures = (0..scenario.daemons)
            .filter_map(|at| leaves_at(scenario, start, at))
            .collect();
        let sent = vec![Vec::new(); SERVERS];
        Simulation {
            scenario,
            start,
            random,
            servers,
            members,
            daemons,
            departures,
            sent,
        }
    }

    fn step(&mut self, now: Instant, at: usize) {
        self.update_members(now, at);
        let daemon = &mut self.daemons[at];
        if let Some(leaves_at) = daemon.leaves_at
            && now >= leaves_at
        {
            if now < leaves_at + RESTART_TIME {
                return;
            }
            daemon.leaves_at = None;
            daemon.cold = observe_cold(now, now, &self.servers);
        }
        let chance = daemon.requests_per_s * TICK.as_secs_f64();
        if !self.random.random_bool(chance) {
            return;
        }
        let mut order: Vec<usize> = (0..SERVERS).collect();
        order.shuffle(&mut self.random);
        let chosen = order.into_iter().find(|&server| {
            let server = &self.servers[server];
            let sharing = Sharing::Turns;
            daemon.cold.take_place(now, server, sharing, &daemon.callers)
        });
        if let Some(server) = chosen {
            let delay = MAX_SEND_DELAY.mul_f64(self.random.random());
            self.sent[server].push(now + delay);
        }
    }

    /// Updates the list of members of a daemon. A daemon that has left isn't
    /// listed again.
    fn update_members(&mut self, now: Instant, at: usize) {
        let Scenario { daemons, trouble, .. } = self.scenario;
        let daemon = &self.daemons[at];
        let heard_until = now.checked_sub(daemon.news_delay).unwrap();
        let departures =
            self.departures.partition_point(|&at| at <= heard_until);
        if daemon.known_departures == Some(departures) {
            return;
        }
        let has_left = |other: usize| {
            leaves_at(self.scenario, self.start, other)
                .is_some_and(|left_at| left_at <= heard_until)
        };
        let is_known = |other: usize| {
            let is_other_half = other / ZONES % 2 != at / ZONES % 2;
            !(trouble == Trouble::TwoLists && is_other_half)
        };
        let members = (0..daemons)
            .filter(|&other| !has_left(other) && is_known(other))
            .map(|other| self.members[other].clone())
            .collect();
        let daemon = &mut self.daemons[at];
        daemon.known_departures = Some(departures);
        daemon.callers.members = members;
        daemon.callers.version += 1;
    }

    fn outcome(mut self) -> Outcome {
        let mut total = 0_u32;
        let mut most_in_window = 0;
        for times in &mut self.sent {
            times.sort();
            total += u32::try_from(times.len()).unwrap();
            for (first, &from) in times.iter().enumerate() {
                let end = times.partition_point(|&at| at - from <= WINDOW);
                most_in_window = most_in_window.max(end - first);
            }
        }
        let servers = u32::try_from(SERVERS).unwrap();
        let rate_per_s =
            f64::from(total) / f64::from(servers) / COLD_TIME.as_secs_f64();
        Outcome { most_in_window, rate_per_s }
    }
}

fn server(seed: u64, at: usize) -> ListedServer {
    let address = "127.0.0.1:1".parse().unwrap();
    let name = format!("s-{seed}-{at}");
    let mut server = ListedServer::new(&name, "plans", address);
    server.zone = Arc::from("zone-0");
    server
}

/// Returns the state of a daemon that hears of cold servers at `now`.
fn observe_cold(
    started_at: Instant,
    now: Instant,
    servers: &[ListedServer],
) -> ColdServers {
    let spec =
        ColdStartSpec { duration: COLD_TIME, requests_per_s: TOLERATED_PER_S };
    let mut cold = ColdServers::new(started_at);
    for server in servers {
        let limit = ColdLimit::new(spec, BOUND);
        cold.observe_entry(now, server, COLD_TIME, limit);
    }
    cold
}

fn leaves_at(
    scenario: Scenario,
    start: Instant,
    at: usize,
) -> Option<Instant> {
    if !at.is_multiple_of(ZONES) {
        return None;
    }
    let first = start + LEAVING_AT;
    let in_zone = u32::try_from(at / ZONES).unwrap();
    match scenario.trouble {
        Trouble::None | Trouble::TwoLists => None,
        Trouble::ZoneRestart => Some(first),
        Trouble::RollingRestart => Some(first + LEAVING_INTERVAL * in_zone),
    }
}
