//! Membership of a few hundred daemons on simulated time.
//!
//! The messages are the ones of the wire, written and read as JSON.

use std::time::{Duration, Instant};

use briarladder_core::{
    config::Announcement,
    membership::{
        Identity, MemberState, Members, ProbeTarget, Seed, SeedState,
        TICK_INTERVAL, new_incarnation,
    },
    names::{VmName, ZoneName},
    timeline::Hlc,
};
use briarladder_wire::peers::Probe;
use rand::{SeedableRng, rngs::SmallRng};

use super::{
    meter::{
        Driver, Figure, RPC_ANSWER_BYTES, RPC_REQUEST_BYTES, cpu_time, figure,
        to_f64,
    },
    size::Size,
};

/// The time until an unanswered probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which the updates about the start are spread.
const WARM_UP: Duration = Duration::from_mins(5);

/// A death that is not known everywhere after this long ends the run.
const DEATH_LIMIT: Duration = Duration::from_mins(2);

const UNIX_BASE: Duration = Duration::from_secs(1_700_000_000);

struct Peer {
    members: Members,
    clock: Hlc,
    identity: Identity,
    alive: bool,
}

struct Timeout {
    due: Instant,
    prober: usize,
    target: ProbeTarget,
    direct: bool,
}

#[derive(Clone, Copy, Default)]
struct Sent {
    messages: u64,
    bytes: u64,
    through_messages: u64,
    through_bytes: u64,
}

/// How long a death took to be known, in seconds. A limit that was reached
/// is none.
struct Death {
    in_zone: Option<f64>,
    everywhere: Option<f64>,
}

struct World {
    start: Instant,
    now: Instant,
    rng: SmallRng,
    peers: Vec<Peer>,
    timeouts: Vec<Timeout>,
    sent: Sent,
}

/// Returns the name of a daemon.
pub fn vm_name(number: usize) -> VmName {
    VmName::new(&format!("entry-{number:05}")).expect("a valid name")
}

/// Returns the name of an availability zone.
pub fn zone_name(number: usize) -> ZoneName {
    let text = format!("zone-{}-{}", number / 2, number % 2);
    ZoneName::new(&text).expect("a valid name")
}

/// Returns a daemon's identity.
pub fn identity(number: usize, zone: usize, rng: &mut SmallRng) -> Identity {
    let high = u8::try_from(number / 250).unwrap_or(u8::MAX);
    let low = u8::try_from(number % 250).unwrap_or(u8::MAX);
    Identity {
        name: vm_name(number),
        address: ([10, 0, high, low], 7_000).into(),
        zone: zone_name(zone),
        incarnation: new_incarnation(UNIX_BASE, rng),
    }
}

impl World {
    fn new(size: &Size) -> World {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(size.vms as u64);
        let identities: Vec<Identity> = (0..size.vms)
            .map(|n| identity(n, n % size.zones, &mut rng))
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
        let peers = identities.into_iter().map(|identity| {
            let mut members = Members::new(identity.clone(), now);
            members.apply_seeds(now, 1, &seeds);
            Peer { members, clock: Hlc::new(), identity, alive: true }
        });
        World {
            start: now,
            now,
            rng,
            peers: peers.collect(),
            timeouts: Vec::new(),
            sent: Sent::default(),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += TICK_INTERVAL;
        for at in 0..self.peers.len() {
            if !self.peers[at].alive {
                continue;
            }
            self.peers[at].members.tick(self.now);
            loop {
                let members = &mut self.peers[at].members;
                let probe = members.next_probe(self.now, &mut self.rng);
                let Some(target) = probe else { break };
                self.probe(at, target, true);
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

    fn probe(&mut self, prober: usize, target: ProbeTarget, direct: bool) {
        let probe = self.message(prober, &target.name, direct, true);
        let at = self
            .peers
            .iter()
            .position(|peer| peer.identity.name == target.name && peer.alive);
        let Some(at) = at else {
            let due = self.now + PROBE_TIMEOUT;
            self.timeouts.push(Timeout { due, prober, target, direct });
            return;
        };
        let unix = UNIX_BASE + (self.now - self.start);
        let peer = &mut self.peers[at];
        let stamp = probe.heartbeat.timestamp;
        peer.clock.observe(stamp, unix).expect("one clock");
        peer.members.apply_heartbeat(self.now, &probe.heartbeat);
        let name = self.peers[prober].identity.name.clone();
        let answer = self.message(at, &name, direct, false);
        let members = &mut self.peers[prober].members;
        members.record_probe_response(self.now, &answer.heartbeat);
    }

    fn time_out(&mut self, timeout: &Timeout) {
        let members = &mut self.peers[timeout.prober].members;
        let target = &timeout.target;
        if !timeout.direct {
            members.record_indirect_probe_failure(self.now, &target.name);
            return;
        }
        let through = members
            .record_probe_failure(self.now, target, &mut self.rng)
            .len();
        for _ in 0..through {
            self.probe(timeout.prober, target.clone(), false);
        }
    }

    /// Writes and reads a message, as both ends of a call do.
    fn message(
        &mut self,
        from: usize,
        to: &VmName,
        direct: bool,
        asks: bool,
    ) -> Probe {
        let unix = UNIX_BASE + (self.now - self.start);
        let peer = &mut self.peers[from];
        let timestamp = peer.clock.tick(unix);
        let probe = Probe {
            heartbeat: peer.members.heartbeat_for(to, timestamp),
            announcement: Announcement { in_force: 18_000, known: 18_000 },
        };
        let json = serde_json::to_vec(&probe).expect("serialisable");
        let framing = if asks { RPC_REQUEST_BYTES } else { RPC_ANSWER_BYTES };
        let bytes = (json.len() + framing) as u64;
        if direct {
            self.sent.messages += 1;
            self.sent.bytes += bytes;
        } else {
            // Each way passes through the peer in the middle.
            self.sent.through_messages += 2;
            self.sent.through_bytes += 2 * bytes;
        }
        serde_json::from_slice(&json).expect("written by this process")
    }

    /// Stops a daemon and returns how long it takes until its zone, and
    /// until all, hold it to be dead.
    fn kill(&mut self, victim: usize) -> Death {
        self.peers[victim].alive = false;
        let name = self.peers[victim].identity.name.clone();
        let zone = self.peers[victim].identity.zone.clone();
        let (start, mut in_zone) = (self.now, None);
        while self.now - start < DEATH_LIMIT {
            self.step();
            let unaware = self.peers.iter().filter(|peer| {
                peer.alive
                    && peer.members.get(&name).map(|m| m.state)
                        != Some(MemberState::Dead)
            });
            let unaware: Vec<&Peer> = unaware.collect();
            let passed = (self.now - start).as_secs_f64();
            if unaware.iter().all(|peer| peer.identity.zone != zone) {
                in_zone.get_or_insert(passed);
            }
            if unaware.is_empty() {
                return Death { in_zone, everywhere: Some(passed) };
            }
        }
        Death { in_zone, everywhere: None }
    }
}

/// Measures membership at one size.
pub fn measure(size: &Size, time: Duration) -> anyhow::Result<Vec<Figure>> {
    let mut world = World::new(size);
    world.run(WARM_UP);
    world.sent = Sent::default();
    let cpu = cpu_time()?;
    world.run(time);
    let cpu = cpu_time()?.saturating_sub(cpu);
    let daemon_s = to_f64(size.vms as u64) * time.as_secs_f64();
    let steady = world.sent;

    world.sent = Sent::default();
    let start = world.now;
    let deaths = [world.kill(1), world.kill(size.vms / 2)];
    let dying_time_s = (world.now - start).as_secs_f64();
    let dying = world.sent;
    let worst = |of: fn(&Death) -> Option<f64>| {
        let all: Option<Vec<f64>> = deaths.iter().map(of).collect();
        all.map_or(f64::INFINITY, |all| all.into_iter().fold(0.0, f64::max))
    };
    let rate = |count: u64| to_f64(count) / daemon_s;
    let dying_rate =
        |count: u64| to_f64(count) / (to_f64(size.vms as u64) * dying_time_s);
    // Each message is sent by one daemon and received by another.
    let both = 2.0;
    Ok(vec![
        figure(
            "probes and answers, sent and received",
            "messages/s",
            Driver::Fixed,
            both * rate(steady.messages),
        ),
        figure(
            "probes and answers, sent and received",
            "bytes/s",
            Driver::Fixed,
            both * rate(steady.bytes),
        ),
        figure(
            "probes while two daemons die",
            "bytes/s",
            Driver::Fixed,
            both * dying_rate(dying.bytes + dying.through_bytes),
        ),
        figure(
            "probes through others while two die",
            "messages/s",
            Driver::Fixed,
            both * dying_rate(dying.through_messages),
        ),
        figure(
            "membership CPU",
            "us/s",
            Driver::Daemons,
            cpu.as_secs_f64() * 1e6 / daemon_s,
        ),
        figure(
            "death known in the zone, worst",
            "s",
            Driver::Fixed,
            worst(|death| death.in_zone),
        ),
        figure(
            "death known everywhere, worst",
            "s",
            Driver::Fixed,
            worst(|death| death.everywhere),
        ),
    ])
}
