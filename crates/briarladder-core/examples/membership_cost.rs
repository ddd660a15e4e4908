//! Cost of membership for each daemon, by the number of daemons in a zone.
//!
//! Runs the decision code of all daemons in one process on simulated time.
//! Messages are serialised as JSON but not sent, so the cost of HTTP is not
//! included. A message arrives at once; a probe of a dead daemon times out.
//!
//! ```text
//! cargo run --release --example membership_cost -- [zones] [seconds]
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
    timeline::Hlc,
};
use rand::{SeedableRng, rngs::SmallRng};

const ZONE_SIZES: [usize; 3] = [52, 104, 208];
const STEP: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Deaths while the daemons still learn each other's incarnations.
const JOIN: Duration = Duration::from_secs(20);
/// The time after which no updates about the start are left.
const WARM_UP: Duration = Duration::from_mins(5);
const DEATHS: usize = 5;
/// A death that is not known after this long counts as not known.
const DEATH_LIMIT: Duration = Duration::from_mins(2);
const UNIX_BASE: Duration = Duration::from_secs(1_700_000_000);
/// The reference counts before the text of an `Arc<str>`.
const ARC_HEADER_BYTES: usize = 16;

struct Daemon {
    members: Members,
    clock: Hlc,
    identity: Identity,
    alive: bool,
}

enum Attempt {
    Direct,
    Indirect,
}

/// A probe that will be found unanswered.
struct Timeout {
    due: Instant,
    prober: usize,
    target: ProbeTarget,
    attempt: Attempt,
}

struct World {
    start: Instant,
    now: Instant,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    timeouts: Vec<Timeout>,
    sent_bytes: usize,
    probes: usize,
}

impl World {
    fn new(zones: usize, zone_size: usize) -> World {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(zone_size as u64);
        let identities: Vec<Identity> = (0..zones * zone_size)
            .map(|number| identity(number, number / zone_size, &mut rng))
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
            members.apply_seeds(now, 1, &seeds);
            Daemon { members, clock: Hlc::new(), identity, alive: true }
        });
        World {
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
        for at in 0..self.daemons.len() {
            if !self.daemons[at].alive {
                continue;
            }
            self.daemons[at].members.tick(self.now);
            loop {
                let members = &mut self.daemons[at].members;
                let probe = members.next_probe(self.now, &mut self.rng);
                let Some(target) = probe else { break };
                self.probe(at, target, Attempt::Direct);
            }
        }
        let (due, later) = std::mem::take(&mut self.timeouts)
            .into_iter()
            .partition(|timeout: &Timeout| timeout.due <= self.now);
        self.timeouts = later;
        for timeout in due {
            self.time_out(&timeout);
        }
    }

    /// Sends a probe and its answer. One through another peer costs the same
    /// bytes here as a direct one.
    fn probe(&mut self, prober: usize, target: ProbeTarget, attempt: Attempt) {
        self.probes += 1;
        let message = self.message(prober, &target.name);
        let at = number(&target.name);
        if !self.daemons[at].alive {
            let due = self.now + PROBE_TIMEOUT;
            self.timeouts.push(Timeout { due, prober, target, attempt });
            return;
        }
        let unix = self.unix();
        let receiver = &mut self.daemons[at];
        let probe = parse(&message);
        receiver.clock.observe(probe.timestamp, unix).expect("one clock");
        receiver.members.apply_heartbeat(self.now, &probe);
        let prober_name = self.daemons[prober].identity.name.clone();
        let answer = parse(&self.message(at, &prober_name));
        self.daemons[prober].members.record_probe_response(self.now, &answer);
    }

    fn time_out(&mut self, timeout: &Timeout) {
        let daemon = &mut self.daemons[timeout.prober];
        let target = &timeout.target;
        match timeout.attempt {
            Attempt::Indirect => {
                daemon
                    .members
                    .record_indirect_probe_failure(self.now, &target.name);
            }
            Attempt::Direct => {
                let through = daemon.members.record_probe_failure(
                    self.now,
                    target,
                    &mut self.rng,
                );
                for _ in through {
                    let target = target.clone();
                    self.probe(timeout.prober, target, Attempt::Indirect);
                }
            }
        }
    }

    fn message(&mut self, from: usize, to: &VmName) -> Vec<u8> {
        let unix = self.unix();
        let daemon = &mut self.daemons[from];
        let stamp = daemon.clock.tick(unix);
        let heartbeat = daemon.members.heartbeat_for(to, stamp);
        let json = serde_json::to_vec(&heartbeat).expect("serialisable");
        self.sent_bytes += json.len();
        json
    }

    fn unix(&self) -> Duration {
        UNIX_BASE + (self.now - self.start)
    }

    /// Stops a daemon and returns how long it takes until all others of its
    /// zone, and until all others, hold it to be dead.
    fn kill(&mut self, victim: usize) -> Death {
        self.daemons[victim].alive = false;
        let name = self.daemons[victim].identity.name.clone();
        let zone = self.daemons[victim].identity.zone.clone();
        let start = self.now;
        let mut death = Death::default();
        while death.all.is_none() && self.now - start < DEATH_LIMIT {
            self.step();
            let mut unaware =
                self.daemons.iter().filter(|d| d.alive).filter(|d| {
                    d.members.get(&name).map(|member| member.state)
                        != Some(MemberState::Dead)
                });
            let passed = self.now - start;
            if unaware.clone().all(|d| d.identity.zone != zone) {
                death.zone.get_or_insert(passed);
            }
            if unaware.next().is_none() {
                death.all = Some(passed);
            }
        }
        death
    }
}

#[derive(Default)]
struct Death {
    zone: Option<Duration>,
    all: Option<Duration>,
}

fn identity(number: usize, zone: usize, rng: &mut SmallRng) -> Identity {
    let [_, _, high, low] =
        u32::try_from(number).expect("small").to_be_bytes();
    Identity {
        name: VmName::new(&format!("vm-{number:04}")).expect("valid name"),
        address: ([10, 0, high, low], 7_000).into(),
        zone: ZoneName::new(&format!("zone-{zone:02}")).expect("valid name"),
        incarnation: new_incarnation(UNIX_BASE, rng),
    }
}

fn number(name: &VmName) -> usize {
    let digits = name.as_str().trim_start_matches("vm-");
    digits.parse().expect("names end in their number")
}

fn parse(json: &[u8]) -> Heartbeat {
    serde_json::from_slice(json).expect("written by this process")
}

/// Returns the CPU time of this process.
fn cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/self/schedstat").expect("Linux");
    let ns = text.split_whitespace().next().and_then(|n| n.parse().ok());
    Duration::from_nanos(ns.expect("a number"))
}

/// Returns the longest times, in seconds, until the zone and until all knew.
/// A death that not all came to know shows as `none`.
fn worst(deaths: &[Death]) -> String {
    let max = |of: fn(&Death) -> Option<Duration>| {
        let known: Option<Vec<Duration>> = deaths.iter().map(of).collect();
        seconds(known.and_then(|times| times.into_iter().max()))
    };
    format!("{}/{}", max(|death| death.zone), max(|death| death.all))
}

/// Returns the memory of one view: its entries, their texts and a full queue
/// of updates. Spare capacity of vectors is not counted.
fn memory_bytes(members: &Members) -> usize {
    let text = |text: &str| ARC_HEADER_BYTES + text.len();
    let entries = members.iter().map(|member| {
        size_of::<(VmName, Member)>()
            + text(member.name.as_str())
            + text(member.zone.as_str())
    });
    let update = size_of::<MemberUpdate>() + 2 * text("zone-00");
    entries.sum::<usize>() + MAX_QUEUED_UPDATES * update
}

fn seconds(time: Option<Duration>) -> String {
    time.map_or("none".into(), |time| format!("{:.1}", time.as_secs_f64()))
}

#[allow(clippy::cast_precision_loss, reason = "the figures are rounded")]
fn main() {
    let arg = |at, default| {
        let text = std::env::args().nth(at);
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
        let mut world = World::new(zones, zone_size);
        world.run(JOIN);
        let early: Vec<Death> =
            (1..=DEATHS).map(|victim| world.kill(victim * 7)).collect();
        world.run(WARM_UP);
        (world.sent_bytes, world.probes) = (0, 0);
        let cpu = cpu_time();
        world.run(Duration::from_secs(run_s as u64));
        let cpu = cpu_time().checked_sub(cpu).expect("it grows");
        let alive = zones * zone_size - DEATHS;
        let daemon_run_s = (alive * run_s) as f64;
        let steady_bytes = world.sent_bytes as f64 / daemon_run_s;
        let probe_bytes = world.sent_bytes / world.probes;
        let memory = memory_bytes(&world.daemons[0].members);

        world.sent_bytes = 0;
        let start = world.now;
        let deaths: Vec<Death> =
            (1..=DEATHS).map(|victim| world.kill(victim * 7 + 1)).collect();
        let killing_s = (world.now - start).as_secs_f64();
        let death_bytes = world.sent_bytes as f64 / killing_s / alive as f64;
        println!(
            "{zone_size:4}  {steady_bytes:10.0}  {probe_bytes:7}  \
             {death_bytes:9.0}  {:8.1}  {:9.1}  {:>11}  {}",
            cpu.as_secs_f64() * 1e6 / daemon_run_s,
            memory as f64 / 1e3,
            worst(&early),
            worst(&deaths),
        );
    }
}
