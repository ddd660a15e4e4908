//! Simulates daemons that share the limit of one server, without a network.
//!
//! The server names its limit in each response from [`NAMED_AT`] on. Requests,
//! responses and gossip messages take some time. The example `server_limits`
//! includes this file, so it uses only the public interface of the crate.

mod asking;
mod designs;
mod events;
mod faults;

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::fleet::{
    server::ListedServer,
    server_limits::{
        LimitMembers, LimitNotice, LimitTime, NamedLimit, Observation,
        ServerLimits,
    },
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

pub use self::asking::AskCounts;

use self::{
    asking::SentAsk,
    designs::Bucket,
    events::{Event, Timed},
};

/// When the server begins to name its limit.
const NAMED_AT: Duration = Duration::from_secs(8);

/// The time from the first response with a limit until it has to be kept.
const GRACE: Duration = Duration::from_secs(4);

/// The length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time between two attempts of a daemon that has requests.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two requests of a daemon that knows of no limit.
const UNLIMITED_INTERVAL: Duration = Duration::from_millis(200);

/// After this time another daemon becomes the coordinator.
const COORDINATOR_TERM: Duration = Duration::from_secs(10);

const START_UNIX_TIME: Duration = Duration::from_secs(1_700_000_000);

/// The way in which daemons share a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Design {
    /// The one of this crate.
    Turns,
    /// The same, and a daemon without a place asks a holder of the turn.
    TurnsWithAsking,
    /// The one of this crate for servers that one daemon calls. It is replaced
    /// regularly and when it restarts; for 2 s both daemons call the server.
    Coordinator,
    /// Each daemon uses an equal part of the limit at any time.
    EqualParts,
    /// One daemon uses the limit for a turn.
    OneHome,
}

/// The requests that daemons have for the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Demand {
    /// The limit and one request more a second arrive at the whole fleet. A
    /// daemon without a place rejects its request.
    Sparse,
    /// Each daemon always has a request.
    Saturating,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub daemons: usize,
    pub zones: usize,
    pub limit_per_s: f64,
    pub demand: Demand,
    pub design: Design,
    /// Whether clocks jump, processes restart, a zone is cut off, and lists of
    /// members differ.
    pub faults: bool,
    /// When the server no longer names its limit.
    pub ends_at: Option<Duration>,
    pub duration: Duration,
    pub seed: u64,
}

/// What the server got from daemons that knew its limit.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// The most requests in a window.
    pub most_requests: usize,
    /// The most that are allowed.
    pub allowed_requests: f64,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Daemons that keep a limit at the end.
    pub limited_daemons: usize,
    pub asks: AskCounts,
}

impl Outcome {
    pub fn is_kept(&self) -> bool {
        to_f64(self.most_requests) <= self.allowed_requests
    }
}

struct Daemon {
    name: Arc<str>,
    limits: ServerLimits,
    members: LimitMembers,
    bucket: Option<Bucket>,
    /// How far its wall clock is ahead of the slowest one.
    clock_ahead: Duration,
    jumped_by: Duration,
    down_until: Duration,
    /// When it may next ask another daemon for a place.
    next_ask_at: Duration,
    /// Number of its processes so far.
    run: u32,
}

struct Simulation {
    scenario: Scenario,
    start: Instant,
    now: Duration,
    random: SmallRng,
    events: BinaryHeap<Reverse<Timed>>,
    event_count: u64,
    server: ListedServer,
    daemons: Vec<Daemon>,
    version: u64,
    /// The daemons that were found to be the home of a turn.
    homes: Vec<(u64, usize)>,
    coordinator: usize,
    previous_coordinator: usize,
    /// Until when the previous coordinator also calls the server.
    overlap_until: Duration,
    first_named_at: Option<Duration>,
    arrivals: Vec<Duration>,
    asks: Vec<SentAsk>,
}

/// Runs a scenario.
pub fn run(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    simulation.schedule_start();
    while let Some(Reverse(timed)) = simulation.events.pop() {
        if timed.at >= scenario.duration {
            break;
        }
        simulation.now = timed.at;
        simulation.handle(timed.event);
    }
    simulation.outcome()
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let mut random = SmallRng::seed_from_u64(scenario.seed);
        let start = Instant::now();
        let names: Arc<[Arc<str>]> = (0..scenario.daemons)
            .map(|at| Arc::from(format!("vm-{at}")))
            .collect();
        let daemons = names
            .iter()
            .map(|name| Daemon {
                name: Arc::clone(name),
                limits: ServerLimits::new(start),
                members: LimitMembers::new(
                    Arc::clone(name),
                    Arc::clone(&names),
                    0,
                ),
                bucket: None,
                clock_ahead: ms(random.random_range(0..100)),
                jumped_by: Duration::ZERO,
                down_until: Duration::ZERO,
                next_ask_at: Duration::ZERO,
                run: 0,
            })
            .collect();
        let address = "10.0.0.1:80".parse().expect("valid");
        let server = ListedServer::new("s-1", "plans", address);
        Simulation {
            scenario,
            start,
            now: Duration::ZERO,
            random,
            events: BinaryHeap::new(),
            event_count: 0,
            server,
            daemons,
            version: 0,
            homes: Vec::new(),
            coordinator: 0,
            previous_coordinator: 0,
            overlap_until: Duration::ZERO,
            first_named_at: None,
            arrivals: Vec::new(),
            asks: Vec::new(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        let at = self.now + after;
        let number = self.event_count;
        self.events.push(Reverse(Timed { at, number, event }));
    }

    fn schedule_start(&mut self) {
        for daemon in 0..self.daemons.len() {
            let first = self.up_to(GOSSIP_INTERVAL);
            self.schedule(first, Event::Gossip { daemon });
            if self.scenario.demand == Demand::Saturating {
                let first = self.up_to(UNLIMITED_INTERVAL);
                self.schedule(first, Event::Attempt { daemon, run: 0 });
            }
        }
        if self.scenario.demand == Demand::Sparse {
            self.schedule(Duration::ZERO, Event::Request);
        }
        if self.scenario.design == Design::Coordinator {
            self.schedule(COORDINATOR_TERM, Event::Coordinator);
        }
        if self.scenario.faults {
            for event in [Event::ClockJump, Event::Restart, Event::Views] {
                self.schedule(faults::FAULT_INTERVAL, event);
            }
        }
    }

    fn up_to(&mut self, time: Duration) -> Duration {
        time.mul_f64(self.random.random::<f64>())
    }

    /// Draws the time to the next of events that have this mean interval.
    fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        mean.mul_f64(-uniform.ln())
    }

    fn any_daemon(&mut self) -> usize {
        self.random.random_range(0..self.daemons.len())
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn time_of(&self, daemon: usize) -> LimitTime {
        let daemon = &self.daemons[daemon];
        LimitTime {
            now: self.instant(),
            unix_time: START_UNIX_TIME
                + self.now
                + daemon.clock_ahead
                + daemon.jumped_by,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Attempt { daemon, run } => self.attempt(daemon, run),
            Event::Request => self.request(),
            Event::Arrival { daemon, sent_at, is_aware } => {
                self.arrive(daemon, sent_at, is_aware);
            }
            Event::Response { daemon, sent_at, is_limited } => {
                self.respond(daemon, sent_at, is_limited);
            }
            Event::Gossip { daemon } => self.gossip(daemon),
            Event::Notices { from, to, notices, is_reply } => {
                self.receive(from, to, &notices, is_reply);
            }
            Event::PlaceRequest(ask) => self.answer_ask(ask),
            Event::PlaceResponse { ask, is_granted } => {
                self.receive_place(ask, is_granted);
            }
            Event::ClockJump => self.jump_clock(),
            Event::ClockCorrection { daemon } => {
                self.daemons[daemon].jumped_by = Duration::ZERO;
            }
            Event::Restart => self.restart(),
            Event::Views => self.draw_views(),
            Event::Coordinator => {
                self.replace_coordinator();
                self.schedule(COORDINATOR_TERM, Event::Coordinator);
            }
        }
    }

    fn attempt(&mut self, daemon: usize, run: u32) {
        if self.daemons[daemon].run != run {
            return;
        }
        self.send_if_allowed(daemon);
        let wait = match self.next_attempt_in(daemon) {
            Some(wait) => wait.min(RETRY_INTERVAL) + ms(1),
            None => UNLIMITED_INTERVAL,
        };
        self.schedule(wait, Event::Attempt { daemon, run });
    }

    fn request(&mut self) {
        let daemon = self.any_daemon();
        self.send_if_allowed(daemon);
        let rate_per_s = self.scenario.limit_per_s + 1.0;
        let mean = Duration::from_secs(1).div_f64(rate_per_s);
        let next = self.exponential(mean);
        self.schedule(next, Event::Request);
    }

    fn send_if_allowed(&mut self, daemon: usize) {
        let is_down = self.now < self.daemons[daemon].down_until;
        if is_down {
            return;
        }
        if !self.take(daemon) {
            self.ask_for_place(daemon);
            return;
        }
        let now = self.instant();
        let limits = &self.daemons[daemon].limits;
        let is_aware = limits.limit_per_s(now, &self.server).is_some();
        self.send(daemon, is_aware);
    }

    fn send(&mut self, daemon: usize, is_aware: bool) {
        let event = Event::Arrival { daemon, sent_at: self.now, is_aware };
        let transit = self.up_to(ms(20));
        self.schedule(transit, event);
    }

    fn arrive(&mut self, daemon: usize, sent_at: Duration, is_aware: bool) {
        if is_aware {
            self.arrivals.push(self.now);
        }
        let is_limited = self.now >= NAMED_AT
            && self.scenario.ends_at.is_none_or(|at| self.now < at);
        let transit = self.up_to(ms(60));
        let event = Event::Response { daemon, sent_at, is_limited };
        self.schedule(transit, event);
    }

    fn respond(&mut self, at: usize, sent_at: Duration, is_limited: bool) {
        if self.now < self.daemons[at].down_until {
            return;
        }
        if is_limited {
            self.first_named_at.get_or_insert(self.now);
        }
        let named = if is_limited {
            NamedLimit::PerS(self.scenario.limit_per_s)
        } else {
            NamedLimit::Absent
        };
        let sent_at = self.start + sent_at;
        let observation = Observation { sent_at, named, is_own: true };
        let now = self.instant();
        self.daemons[at].limits.observe(now, &self.server, observation);
    }

    fn gossip(&mut self, from: usize) {
        self.schedule(GOSSIP_INTERVAL, Event::Gossip { daemon: from });
        let zones = self.scenario.zones;
        let zone_peers = self.daemons.len() / zones;
        let crosses = self.random.random_bool(0.2);
        let to = if crosses {
            self.any_daemon()
        } else {
            let peer = self.random.random_range(0..zone_peers);
            peer * zones + from % zones
        };
        self.send_notices(from, to, false);
    }

    fn send_notices(&mut self, from: usize, to: usize, is_reply: bool) {
        if from == to || self.is_cut(from, to) {
            return;
        }
        let now = self.instant();
        let daemon = &mut self.daemons[from];
        if self.now < daemon.down_until {
            return;
        }
        let notices = daemon.limits.notices(now);
        let is_slow = self.random.random_bool(0.02);
        let transit = self.up_to(ms(if is_slow { 400 } else { 10 }));
        let event = Event::Notices { from, to, notices, is_reply };
        self.schedule(transit, event);
    }

    fn receive(
        &mut self,
        from: usize,
        to: usize,
        notices: &[LimitNotice],
        is_reply: bool,
    ) {
        if self.now < self.daemons[to].down_until {
            return;
        }
        let now = self.instant();
        self.daemons[to].limits.merge(now, notices);
        if !is_reply {
            self.send_notices(to, from, true);
        }
    }

    fn outcome(&self) -> Outcome {
        let limit_per_s = self.scenario.limit_per_s;
        let window_s = WINDOW.as_secs_f64();
        let from = self.first_named_at.unwrap_or(NAMED_AT) + GRACE;
        let counted: Vec<Duration> =
            self.arrivals.iter().copied().filter(|&at| at >= from).collect();
        let counted_s =
            self.scenario.duration.saturating_sub(from).as_secs_f64();
        let now = self.instant();
        let limited_daemons = self
            .daemons
            .iter()
            .filter(|daemon| daemon.limits.limited(now).next().is_some())
            .count();
        Outcome {
            limited_daemons,
            most_requests: most_in_window(&counted, WINDOW),
            allowed_requests: 1.5 * limit_per_s * window_s + 5.0,
            rate_per_s: to_f64(counted.len()) / counted_s,
            asks: self.ask_counts(),
        }
    }
}

/// Returns the most of some ascending times that lie in a window.
fn most_in_window(times: &[Duration], window: Duration) -> usize {
    (0..times.len())
        .map(|first| {
            let end = times[first] + window;
            times.partition_point(|&at| at <= end) - first
        })
        .max()
        .unwrap_or(0)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[allow(clippy::cast_precision_loss)] // Counts of one run are small.
pub fn to_f64(n: usize) -> f64 {
    n as f64
}
