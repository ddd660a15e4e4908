//! Measures what membership costs each daemon, by the number of daemons in a
//! zone.
//!
//! Runs the membership state of all daemons in one process on simulated time.
//! Heartbeats are serialised as JSON but not sent, so the cost of HTTP is not
//! included. A heartbeat arrives at once; a probe of a dead daemon times out.
//!
//! ```text
//! cargo run --release -p briarladder-core \
//!     --example membership_cost -- [zones] [seconds]
//! ```

use std::{
    fs,
    time::{Duration, Instant},
};

use briarladder_core::{
    membership::{
        Heartbeat, Identity, MAX_QUEUED_UPDATES, Member, MemberState,
        MemberUpdate, Members, ProbeTarget, Seed, SeedState, new_incarnation,
    },
    names::{VmName, ZoneName},
    platform_version::PlatformVersion,
    timeline::Hlc,
};
use rand::{SeedableRng, rngs::SmallRng};

/// Numbers of daemons per zone.
const ZONE_SIZES: [usize; 3] = [52, 104, 208];
const STEP: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time from the start to the first deaths. It is so short that the daemons
/// still learn each other's incarnations.
const JOIN_DURATION: Duration = Duration::from_secs(20);
/// Time after which no gossip about the start is left.
const WARM_UP_DURATION: Duration = Duration::from_mins(5);
/// Daemons that are killed in each of the two rounds.
const DEATHS: usize = 5;
/// A death that some daemon has not detected by then counts as undetected.
const DETECTION_TIMEOUT: Duration = Duration::from_mins(2);
/// Unix time at the start of the simulation.
const START_UNIX_TIME: Duration = Duration::from_secs(1_700_000_000);
/// Size of the two reference counts that precede the text of an `Arc<str>`.
const ARC_HEADER_BYTES: usize = 16;

struct Daemon {
    members: Members,
    clock: Hlc,
    identity: Identity,
    alive: bool,
}

enum ProbeRoute {
    Direct,
    Indirect,
}

/// A probe of a dead daemon, which times out at `deadline`.
struct ProbeTimeout {
    deadline: Instant,
    prober: usize,
    target: ProbeTarget,
    route: ProbeRoute,
}

struct Simulation {
    start: Instant,
    now: Instant,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    timeouts: Vec<ProbeTimeout>,
    sent_bytes: usize,
    probes: usize,
}

impl Simulation {
    fn new(zones: usize, zone_size: usize) -> Simulation {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(zone_size as u64);
        let identities: Vec<Identity> = (0..zones * zone_size)
            .map(|index| identity(index, index / zone_size, &mut rng))
            .collect();
        let seeds: Vec<Seed> = identities
            .iter()
            .map(|identity| Seed {
                name: identity.name.clone(),
                address: identity.address,
                zone: identity.zone.clone(),
                state: SeedState::Live,
            })
            .collect();
        let daemons = identities.into_iter().map(|identity| {
            let mut members = Members::new(identity.clone(), now);
            members.apply_seeds(
                now,
                PlatformVersion { era: 1, number: 1 },
                &seeds,
            );
            Daemon { members, clock: Hlc::new(), identity, alive: true }
        });
        Simulation {
            start: now,
            now,
            rng,
            daemons: daemons.collect(),
            timeouts: Vec::new(),
            sent_bytes: 0,
            probes: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.daemons.len() {
            if !self.daemons[index].alive {
                continue;
            }
            self.daemons[index].members.tick(self.now);
            loop {
                let members = &mut self.daemons[index].members;
                let probe = members.next_probe(self.now, &mut self.rng);
                let Some(target) = probe else { break };
                self.probe(index, target, ProbeRoute::Direct);
            }
        }
        let (expired, pending) = std::mem::take(&mut self.timeouts)
            .into_iter()
            .partition(|timeout: &ProbeTimeout| timeout.deadline <= self.now);
        self.timeouts = pending;
        for timeout in expired {
            self.handle_timeout(&timeout);
        }
    }

    /// Sends a probe and its response. An indirect probe is counted with
    /// the bytes of a direct one.
    fn probe(
        &mut self,
        prober: usize,
        target: ProbeTarget,
        route: ProbeRoute,
    ) {
        self.probes += 1;
        let heartbeat_json = self.encode_heartbeat(prober, &target.name);
        let index = daemon_index(&target.name);
        if !self.daemons[index].alive {
            let deadline = self.now + PROBE_TIMEOUT;
            self.timeouts.push(ProbeTimeout {
                deadline,
                prober,
                target,
                route,
            });
            return;
        }
        let unix_time = self.unix_time();
        let receiver = &mut self.daemons[index];
        let probe = parse_heartbeat(&heartbeat_json);
        receiver
            .clock
            .observe(probe.timestamp, unix_time)
            .expect("the daemons share one clock");
        receiver.members.apply_heartbeat(self.now, &probe);
        let prober_name = self.daemons[prober].identity.name.clone();
        let response =
            parse_heartbeat(&self.encode_heartbeat(index, &prober_name));
        self.daemons[prober]
            .members
            .record_probe_response(self.now, &response);
    }

    fn handle_timeout(&mut self, timeout: &ProbeTimeout) {
        let daemon = &mut self.daemons[timeout.prober];
        let target = &timeout.target;
        match timeout.route {
            ProbeRoute::Indirect => {
                daemon
                    .members
                    .record_indirect_probe_failure(self.now, &target.name);
            }
            ProbeRoute::Direct => {
                let relays = daemon.members.record_probe_failure(
                    self.now,
                    target,
                    &mut self.rng,
                );
                for _ in relays {
                    let target = target.clone();
                    self.probe(timeout.prober, target, ProbeRoute::Indirect);
                }
            }
        }
    }

    /// Returns the serialised heartbeat and adds its length to `sent_bytes`.
    fn encode_heartbeat(&mut self, from: usize, to: &VmName) -> Vec<u8> {
        let unix_time = self.unix_time();
        let daemon = &mut self.daemons[from];
        let timestamp = daemon.clock.tick(unix_time);
        let heartbeat = daemon.members.heartbeat_for(to, timestamp);
        let json = serde_json::to_vec(&heartbeat).expect("serialisable");
        self.sent_bytes += json.len();
        json
    }

    fn unix_time(&self) -> Duration {
        START_UNIX_TIME + (self.now - self.start)
    }

    /// Kills a daemon and returns how long it takes until all other daemons of
    /// its zone, and all other daemons, consider it dead.
    fn kill_daemon(&mut self, victim: usize) -> DetectionTimes {
        self.daemons[victim].alive = false;
        let name = self.daemons[victim].identity.name.clone();
        let zone = self.daemons[victim].identity.zone.clone();
        let start = self.now;
        let mut times = DetectionTimes::default();
        while times.all_zones.is_none() && self.now - start < DETECTION_TIMEOUT
        {
            self.step();
            let mut unaware =
                self.daemons.iter().filter(|d| d.alive).filter(|d| {
                    d.members.get(&name).map(|member| member.state)
                        != Some(MemberState::Dead)
                });
            let elapsed = self.now - start;
            if unaware.clone().all(|d| d.identity.zone != zone) {
                times.own_zone.get_or_insert(elapsed);
            }
            if unaware.next().is_none() {
                times.all_zones = Some(elapsed);
            }
        }
        times
    }
}

/// How long it took until daemons considered a killed daemon dead.
#[derive(Default)]
struct DetectionTimes {
    /// Until all daemons of the same zone know; `None` if some never did.
    own_zone: Option<Duration>,
    /// Until the daemons of all zones know; `None` if some never did.
    all_zones: Option<Duration>,
}

fn identity(index: usize, zone: usize, rng: &mut SmallRng) -> Identity {
    let [_, _, high, low] =
        u32::try_from(index).expect("fewer than 2^32 daemons").to_be_bytes();
    Identity {
        name: VmName::new(&format!("vm-{index:04}")).expect("valid name"),
        address: ([10, 0, high, low], 7_000).into(),
        zone: ZoneName::new(&format!("zone-{zone:02}")).expect("valid name"),
        incarnation: new_incarnation(START_UNIX_TIME, rng),
    }
}

fn daemon_index(name: &VmName) -> usize {
    let digits = name.as_str().trim_start_matches("vm-");
    digits.parse().expect("the name of a VM ends in its index")
}

fn parse_heartbeat(json: &[u8]) -> Heartbeat {
    serde_json::from_slice(json).expect("written by this process")
}

/// Returns the CPU time that this process has used.
fn cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/self/schedstat")
        .expect("Linux has schedstat");
    let ns = text.split_whitespace().next().and_then(|n| n.parse().ok());
    Duration::from_nanos(ns.expect("a number"))
}

/// Formats the longest detection times in seconds, as own zone/all zones.
/// A time is `none` if a death was not detected by all of those daemons.
fn format_worst(deaths: &[DetectionTimes]) -> String {
    let max = |field: fn(&DetectionTimes) -> Option<Duration>| {
        let known: Option<Vec<Duration>> = deaths.iter().map(field).collect();
        format_seconds(known.and_then(|durations| durations.into_iter().max()))
    };
    format!("{}/{}", max(|times| times.own_zone), max(|times| times.all_zones))
}

/// Estimates the memory of one daemon's member list: its entries, their texts
/// and a full queue of updates. Spare capacity of vectors is not counted.
fn memory_bytes(members: &Members) -> usize {
    let text_bytes = |text: &str| ARC_HEADER_BYTES + text.len();
    let entries = members.iter().map(|member| {
        size_of::<(VmName, Member)>()
            + text_bytes(member.name.as_str())
            + text_bytes(member.zone.as_str())
    });
    let update = size_of::<MemberUpdate>() + 2 * text_bytes("zone-00");
    entries.sum::<usize>() + MAX_QUEUED_UPDATES * update
}

fn format_seconds(time: Option<Duration>) -> String {
    time.map_or("none".into(), |time| format!("{:.1}", time.as_secs_f64()))
}

#[allow(clippy::cast_precision_loss, reason = "the figures are rounded")]
fn main() {
    let arg = |index, default| {
        let text = std::env::args().nth(index);
        text.map_or(default, |text| text.parse().expect("a number"))
    };
    let (zones, run_s): (usize, usize) = (arg(1, 2), arg(2, 30));
    println!(
        "per daemon, {zones} zones; sent bytes exclude HTTP; a death is \
         shown as zone/all, worst of {DEATHS}"
    );
    println!(
        "zone  steady B/s  B/probe  death B/s  CPU us/s  memory KB  join death  death s"
    );
    for zone_size in ZONE_SIZES {
        let mut simulation = Simulation::new(zones, zone_size);
        simulation.run(JOIN_DURATION);
        let join_deaths: Vec<DetectionTimes> = (1..=DEATHS)
            .map(|victim| simulation.kill_daemon(victim * 7))
            .collect();
        simulation.run(WARM_UP_DURATION);
        (simulation.sent_bytes, simulation.probes) = (0, 0);
        let cpu = cpu_time();
        simulation.run(Duration::from_secs(run_s as u64));
        let cpu =
            cpu_time().checked_sub(cpu).expect("CPU time never decreases");
        let alive = zones * zone_size - DEATHS;
        let daemon_run_s = (alive * run_s) as f64;
        let steady_bytes_per_s = simulation.sent_bytes as f64 / daemon_run_s;
        let probe_bytes = simulation.sent_bytes / simulation.probes;
        let member_list_bytes = memory_bytes(&simulation.daemons[0].members);

        simulation.sent_bytes = 0;
        let start = simulation.now;
        let deaths: Vec<DetectionTimes> = (1..=DEATHS)
            .map(|victim| simulation.kill_daemon(victim * 7 + 1))
            .collect();
        let deaths_s = (simulation.now - start).as_secs_f64();
        let death_bytes_per_s =
            simulation.sent_bytes as f64 / deaths_s / alive as f64;
        println!(
            "{zone_size:4}  {steady_bytes_per_s:10.0}  {probe_bytes:7}  \
             {death_bytes_per_s:9.0}  {:8.1}  {:9.1}  {:>11}  {}",
            cpu.as_secs_f64() * 1e6 / daemon_run_s,
            member_list_bytes as f64 / 1e3,
            format_worst(&join_deaths),
            format_worst(&deaths),
        );
    }
}
