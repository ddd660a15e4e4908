//! Simulates the membership protocol of a few hundred daemons.
//!
//! Each message is serialized to JSON and parsed again, as on the wire.

use std::time::{Duration, Instant};

use briarladder_core::{
    config::{Announcement, Digest},
    membership::{
        Identity, MemberState, Members, ProbeTarget, Seed, SeedState,
        TICK_INTERVAL, new_incarnation,
    },
    names::{VmName, ZoneName},
    platform_version::PlatformVersion,
    timeline::Hlc,
};
use briarladder_wire::peers::Probe;
use rand::{SeedableRng, rngs::SmallRng};

use super::{
    measurement::{
        Driver, Figure, RPC_REQUEST_BYTES, RPC_RESPONSE_BYTES, figure,
        thread_cpu_time, to_f64,
    },
    size::Size,
};

/// Time after which a probe without a response counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Simulated time before measuring, until the updates about the start of the
/// daemons have been disseminated.
const WARM_UP: Duration = Duration::from_mins(5);

/// Time after which the simulation stops waiting for a crash to be detected
/// everywhere.
const DETECTION_LIMIT: Duration = Duration::from_mins(2);

/// Unix time at the start of the simulation.
const UNIX_START: Duration = Duration::from_secs(1_700_000_000);

struct Daemon {
    members: Members,
    clock: Hlc,
    identity: Identity,
    alive: bool,
}

/// A probe without a response that has not timed out yet.
struct PendingTimeout {
    due_at: Instant,
    prober: usize,
    target: ProbeTarget,
    /// Whether the prober sent the probe itself, not through an intermediate
    /// peer.
    direct: bool,
}

/// Probes and responses that all daemons sent since the counts were reset.
#[derive(Clone, Copy, Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
    indirect_messages: u64,
    indirect_bytes: u64,
}

/// Time from a crash until the daemons of the zone, or all daemons, consider
/// the crashed daemon dead, in seconds. `None` if that took longer than [`DETECTION_LIMIT`].
struct DetectionTime {
    in_zone: Option<f64>,
    everywhere: Option<f64>,
}

struct Simulation {
    start: Instant,
    now: Instant,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    pending_timeouts: Vec<PendingTimeout>,
    sent: Traffic,
}

/// Returns the name of the daemon with a number.
pub fn vm_name(number: usize) -> VmName {
    VmName::new(&format!("entry-{number:05}")).expect("a valid name")
}

/// Returns the name of the availability zone with a number.
pub fn zone_name(number: usize) -> ZoneName {
    let text = format!("zone-{}-{}", number / 2, number % 2);
    ZoneName::new(&text).expect("a valid name")
}

/// Returns the identity of a daemon, with a new incarnation.
pub fn identity(number: usize, zone: usize, rng: &mut SmallRng) -> Identity {
    let high = u8::try_from(number / 250).unwrap_or(u8::MAX);
    let low = u8::try_from(number % 250).unwrap_or(u8::MAX);
    Identity {
        name: vm_name(number),
        address: ([10, 0, high, low], 7_000).into(),
        zone: zone_name(zone),
        incarnation: new_incarnation(UNIX_START, rng),
    }
}

impl Simulation {
    fn new(size: &Size) -> Simulation {
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
            pending_timeouts: Vec::new(),
            sent: Traffic::default(),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.now += TICK_INTERVAL;
        for index in 0..self.daemons.len() {
            if !self.daemons[index].alive {
                continue;
            }
            self.daemons[index].members.tick(self.now);
            loop {
                let members = &mut self.daemons[index].members;
                let probe = members.next_probe(self.now, &mut self.rng);
                let Some(target) = probe else { break };
                self.probe(index, target, true);
            }
        }
        let (due, later) = std::mem::take(&mut self.pending_timeouts)
            .into_iter()
            .partition(|timeout: &PendingTimeout| timeout.due_at <= self.now);
        self.pending_timeouts = later;
        for timeout in due {
            self.expire_probe(&timeout);
        }
    }

    fn probe(&mut self, prober: usize, target: ProbeTarget, direct: bool) {
        let probe = self.message(prober, &target.name, direct, true);
        let position = self.daemons.iter().position(|daemon| {
            daemon.identity.name == target.name && daemon.alive
        });
        let Some(receiver) = position else {
            let due_at = self.now + PROBE_TIMEOUT;
            self.pending_timeouts.push(PendingTimeout {
                due_at,
                prober,
                target,
                direct,
            });
            return;
        };
        let unix_time = UNIX_START + (self.now - self.start);
        let daemon = &mut self.daemons[receiver];
        let timestamp = probe.heartbeat.timestamp;
        daemon.clock.observe(timestamp, unix_time).expect("one clock");
        daemon.members.apply_heartbeat(self.now, &probe.heartbeat);
        let name = self.daemons[prober].identity.name.clone();
        let response = self.message(receiver, &name, direct, false);
        let members = &mut self.daemons[prober].members;
        members.record_probe_response(self.now, &response.heartbeat);
    }

    fn expire_probe(&mut self, timeout: &PendingTimeout) {
        let members = &mut self.daemons[timeout.prober].members;
        let target = &timeout.target;
        if !timeout.direct {
            members.record_indirect_probe_failure(self.now, &target.name);
            return;
        }
        let indirect_probes = members
            .record_probe_failure(self.now, target, &mut self.rng)
            .len();
        for _ in 0..indirect_probes {
            self.probe(timeout.prober, target.clone(), false);
        }
    }

    /// Creates a probe or its response, counts its bytes, and returns it as
    /// the receiver parses it.
    fn message(
        &mut self,
        from: usize,
        to: &VmName,
        direct: bool,
        is_request: bool,
    ) -> Probe {
        let unix_time = UNIX_START + (self.now - self.start);
        let daemon = &mut self.daemons[from];
        let timestamp = daemon.clock.tick(unix_time);
        let probe = Probe {
            heartbeat: daemon.members.heartbeat_for(to, timestamp),
            announcement: Announcement {
                in_force: 18_000,
                known: 18_000,
                in_force_digest: Some(Digest::of(b"manifest")),
            },
        };
        let json = serde_json::to_vec(&probe).expect("serialisable");
        let framing =
            if is_request { RPC_REQUEST_BYTES } else { RPC_RESPONSE_BYTES };
        let bytes = (json.len() + framing) as u64;
        if direct {
            self.sent.messages += 1;
            self.sent.bytes += bytes;
        } else {
            // An intermediate peer relays each message.
            self.sent.indirect_messages += 2;
            self.sent.indirect_bytes += 2 * bytes;
        }
        serde_json::from_slice(&json).expect("serialized above")
    }

    /// Crashes a daemon and returns the time until all daemons of its zone,
    /// and all daemons, consider it dead.
    fn crash_and_detect(&mut self, crashed: usize) -> DetectionTime {
        self.daemons[crashed].alive = false;
        let name = self.daemons[crashed].identity.name.clone();
        let zone = self.daemons[crashed].identity.zone.clone();
        let (start, mut in_zone) = (self.now, None);
        while self.now - start < DETECTION_LIMIT {
            self.advance();
            let unaware = self.daemons.iter().filter(|daemon| {
                daemon.alive
                    && daemon.members.get(&name).map(|m| m.state)
                        != Some(MemberState::Dead)
            });
            let unaware: Vec<&Daemon> = unaware.collect();
            let elapsed = (self.now - start).as_secs_f64();
            if unaware.iter().all(|daemon| daemon.identity.zone != zone) {
                in_zone.get_or_insert(elapsed);
            }
            if unaware.is_empty() {
                return DetectionTime { in_zone, everywhere: Some(elapsed) };
            }
        }
        DetectionTime { in_zone, everywhere: None }
    }
}

/// Measures probes and the detection of crashed daemons at one size.
pub fn measure(size: &Size, time: Duration) -> anyhow::Result<Vec<Figure>> {
    let mut simulation = Simulation::new(size);
    simulation.run(WARM_UP);
    simulation.sent = Traffic::default();
    let cpu = thread_cpu_time()?;
    simulation.run(time);
    let cpu = thread_cpu_time()?.saturating_sub(cpu);
    let daemon_s = to_f64(size.vms as u64) * time.as_secs_f64();
    let steady = simulation.sent;

    simulation.sent = Traffic::default();
    let start = simulation.now;
    let detections = [
        simulation.crash_and_detect(1),
        simulation.crash_and_detect(size.vms / 2),
    ];
    let crash_phase_s = (simulation.now - start).as_secs_f64();
    let crash_phase_traffic = simulation.sent;
    let worst = |of: fn(&DetectionTime) -> Option<f64>| {
        let all: Option<Vec<f64>> = detections.iter().map(of).collect();
        all.map_or(f64::INFINITY, |all| all.into_iter().fold(0.0, f64::max))
    };
    let rate = |count: u64| to_f64(count) / daemon_s;
    let crash_phase_rate =
        |count: u64| to_f64(count) / (to_f64(size.vms as u64) * crash_phase_s);
    // Each message is sent by one daemon and received by another.
    let sent_and_received = 2.0;
    Ok(vec![
        figure(
            "probes and responses, sent and received",
            "messages/s",
            Driver::Fixed,
            sent_and_received * rate(steady.messages),
        ),
        figure(
            "probes and responses, sent and received",
            "bytes/s",
            Driver::Fixed,
            sent_and_received * rate(steady.bytes),
        ),
        figure(
            "probes while two daemons crash",
            "bytes/s",
            Driver::Fixed,
            sent_and_received
                * crash_phase_rate(
                    crash_phase_traffic.bytes
                        + crash_phase_traffic.indirect_bytes,
                ),
        ),
        figure(
            "indirect probes while two daemons crash",
            "messages/s",
            Driver::Fixed,
            sent_and_received
                * crash_phase_rate(crash_phase_traffic.indirect_messages),
        ),
        figure(
            "membership CPU",
            "us/s",
            Driver::Daemons,
            cpu.as_secs_f64() * 1e6 / daemon_s,
        ),
        figure(
            "dead daemon known in its zone, worst",
            "s",
            Driver::Fixed,
            worst(|detection| detection.in_zone),
        ),
        figure(
            "dead daemon known everywhere, worst",
            "s",
            Driver::Fixed,
            worst(|detection| detection.everywhere),
        ),
    ])
}
