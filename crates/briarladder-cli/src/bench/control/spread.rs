//! How a change reaches every daemon, on simulated time.
//!
//! Readers, notices and reads by daemons that stay behind follow the rules
//! of `briarladder_core::config`; the probes are those of membership.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use briarladder_core::{
    config::{PlatformReadSchedule, notify_targets, readers},
    membership::{CROSS_ZONE_PROBE_INTERVAL, ZONE_PROBE_INTERVAL},
    names::VmName,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::{
    meter::{Driver, Figure, figure, to_f64},
    size::Size,
    world::{vm_name, zone_name},
};

/// One way between zones of different regions; within a region it is 1 ms.
const REGION_LATENCY: Duration = Duration::from_millis(20);
const ZONE_LATENCY: Duration = Duration::from_millis(1);

/// The time from the first byte of a pull to the adoption beyond the round
/// trips: the adoption at the target scale on a shared core.
const ADOPTION: Duration = Duration::from_millis(100);

/// The time at which a daemon looks whether it is behind.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// When a cut zone reaches the others again.
const HEALED: Duration = Duration::from_secs(30);

/// A reader that could not reach the platform tries again after this.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// The simulation ends here.
const LIMIT: Duration = Duration::from_mins(1);

/// What fails while the change spreads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// One of the two readers of each zone is dead, and nobody knows yet.
    OneReader,
    /// Both readers of one zone are.
    BothReaders,
    /// One zone can't reach the platform.
    ZoneWithoutPlatform,
    /// No notices arrive.
    NoNotices,
    /// One zone reaches nothing outside it until [`HEALED`].
    ZoneCut,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Adopt { daemon: usize, depth: u32 },
    Told { daemon: usize, by: usize },
    Probe { daemon: usize, other_zone: bool },
    Look { daemon: usize },
}

#[derive(Clone, Default)]
struct Peer {
    depth: Option<u32>,
    pulling: bool,
    behind_since: Option<Instant>,
}

struct Spread<'a> {
    size: &'a Size,
    fault: Fault,
    start: Instant,
    peers: Vec<Peer>,
    names: Vec<VmName>,
    zones: Vec<Vec<VmName>>,
    dead: Vec<usize>,
    reads: Vec<PlatformReadSchedule>,
    steps: BinaryHeap<Reverse<(Duration, Step)>>,
    rng: SmallRng,
    platform_reads: u64,
}

/// How a change spread.
#[derive(Clone, Copy, Debug)]
pub struct Spreading {
    /// The time until the last live daemon adopted; none at the limit.
    pub all: Option<Duration>,
    /// The most daemons through which the change passed on its way.
    pub rounds: u32,
    /// The reads by daemons that stayed behind.
    pub platform_reads: u64,
}

impl<'a> Spread<'a> {
    fn new(size: &'a Size, fault: Fault) -> Spread<'a> {
        let names: Vec<VmName> = (0..size.vms).map(vm_name).collect();
        let zone = |zone: usize| {
            names.iter().skip(zone).step_by(size.zones).cloned().collect()
        };
        Spread {
            size,
            fault,
            start: Instant::now(),
            peers: vec![Peer::default(); size.vms],
            zones: (0..size.zones).map(zone).collect(),
            reads: names.iter().map(PlatformReadSchedule::new).collect(),
            names,
            dead: Vec::new(),
            steps: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(7),
            platform_reads: 0,
        }
    }

    fn number(&self, name: &VmName) -> usize {
        self.names.binary_search(name).expect("all names are listed")
    }

    fn push(&mut self, at: Duration, step: Step) {
        self.steps.push(Reverse((at, step)));
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        let region = |daemon: usize| daemon % self.size.zones / 2;
        if region(from) == region(to) { ZONE_LATENCY } else { REGION_LATENCY }
    }

    fn reaches_platform(&self, daemon: usize) -> bool {
        self.fault != Fault::ZoneWithoutPlatform
            || !daemon.is_multiple_of(self.size.zones)
    }

    fn run(mut self) -> Spreading {
        for zone in 0..self.size.zones {
            let live = self.zones[zone].clone();
            let picked = readers(&zone_name(zone), &live);
            for (at, reader) in picked.into_iter().enumerate() {
                let daemon = self.number(reader);
                let dead = match self.fault {
                    Fault::OneReader => at == 0,
                    Fault::BothReaders => zone == 0,
                    _ => false,
                };
                if dead {
                    self.dead.push(daemon);
                } else if self.reaches_platform(daemon) {
                    let cut = self.fault == Fault::ZoneCut && zone == 0;
                    let start =
                        if cut { HEALED + RETRY_WAIT } else { Duration::ZERO };
                    let step = Step::Adopt { daemon, depth: 0 };
                    self.push(start + ADOPTION, step);
                }
            }
        }
        for daemon in 0..self.size.vms {
            for (other_zone, interval) in [
                (false, ZONE_PROBE_INTERVAL),
                (true, CROSS_ZONE_PROBE_INTERVAL),
            ] {
                let phase = interval.mul_f64(self.rng.random_range(0.0..1.0));
                self.push(phase, Step::Probe { daemon, other_zone });
            }
            self.push(LOOK_INTERVAL, Step::Look { daemon });
        }
        let mut last = Duration::ZERO;
        let mut open = self.size.vms - self.dead.len();
        while let Some(Reverse((at, step))) = self.steps.pop() {
            if at > LIMIT || open == 0 {
                break;
            }
            if let Step::Adopt { daemon, depth } = step {
                if self.adopt(at, daemon, depth) {
                    (last, open) = (at, open - 1);
                }
            } else {
                self.take(at, step);
            }
        }
        let depths = self.peers.iter().filter_map(|peer| peer.depth);
        Spreading {
            all: (open == 0).then_some(last),
            rounds: depths.max().unwrap_or(0),
            platform_reads: self.platform_reads,
        }
    }

    fn adopt(&mut self, at: Duration, daemon: usize, depth: u32) -> bool {
        if self.dead.contains(&daemon) || self.peers[daemon].depth.is_some() {
            return false;
        }
        self.peers[daemon].depth = Some(depth);
        self.peers[daemon].behind_since = None;
        if self.fault == Fault::NoNotices {
            return true;
        }
        let zone = &self.zones[daemon % self.size.zones];
        let targets = notify_targets(&self.names[daemon], zone, 2);
        let targets: Vec<usize> =
            targets.into_iter().map(|name| self.number(name)).collect();
        for to in targets {
            let step = Step::Told { daemon: to, by: daemon };
            self.push(at + self.latency(daemon, to), step);
        }
        true
    }

    fn take(&mut self, at: Duration, step: Step) {
        match step {
            Step::Adopt { .. } => {}
            Step::Told { daemon, by } => self.hear(at, daemon, by),
            Step::Probe { daemon, other_zone } => {
                self.probe(at, daemon, other_zone);
            }
            Step::Look { daemon } => self.look(at, daemon),
        }
    }

    /// Hears of the change from a daemon that has it, and pulls.
    fn hear(&mut self, at: Duration, daemon: usize, by: usize) {
        let Some(depth) = self.peers[by].depth else { return };
        let peer = &mut self.peers[daemon];
        if peer.depth.is_some() {
            return;
        }
        peer.behind_since.get_or_insert(self.start + at);
        if !peer.pulling {
            peer.pulling = true;
            // Manifest and chunk: two round trips.
            let done = at + self.latency(daemon, by) * 4 + ADOPTION;
            self.push(done, Step::Adopt { daemon, depth: depth + 1 });
        }
    }

    fn probe(&mut self, at: Duration, daemon: usize, other_zone: bool) {
        let zones = self.size.zones;
        let (interval, to) = if other_zone {
            let to = self.rng.random_range(0..self.size.vms);
            (CROSS_ZONE_PROBE_INTERVAL, to)
        } else {
            let zone = daemon % zones;
            let to = self.rng.random_range(0..self.zones[zone].len());
            (ZONE_PROBE_INTERVAL, to * zones + zone)
        };
        self.push(at + interval, Step::Probe { daemon, other_zone });
        let ends = [daemon, to];
        let lost = ends.iter().any(|d| self.dead.contains(d));
        let in_cut = ends.map(|d| d.is_multiple_of(zones));
        let cut = self.fault == Fault::ZoneCut
            && at < HEALED
            && in_cut[0] != in_cut[1];
        if !lost && !cut {
            self.hear(at + self.latency(daemon, to), to, daemon);
            self.hear(at + self.latency(daemon, to) * 2, daemon, to);
        }
    }

    fn look(&mut self, at: Duration, daemon: usize) {
        self.push(at + LOOK_INTERVAL, Step::Look { daemon });
        let now = self.start + at;
        let behind_since = self.peers[daemon].behind_since;
        let due = self.reads[daemon].next_read_at(behind_since);
        if due.is_some_and(|due| due <= now) && self.reaches_platform(daemon) {
            self.reads[daemon].record_read(behind_since, now);
            self.platform_reads += 1;
            self.push(at + ADOPTION, Step::Adopt { daemon, depth: 0 });
        }
    }
}

/// Measures how one change spreads under each fault.
pub fn measure(size: &Size) -> Vec<Figure> {
    let cases = [
        ("change everywhere", Fault::None),
        ("change everywhere, one reader of each zone dead", Fault::OneReader),
        ("change everywhere, both readers dead", Fault::BothReaders),
        (
            "change everywhere, zone without platform",
            Fault::ZoneWithoutPlatform,
        ),
        ("change everywhere, no notices", Fault::NoNotices),
        ("change everywhere, zone cut for 30 s", Fault::ZoneCut),
    ];
    let mut figures = Vec::new();
    for (name, fault) in cases {
        let spread = Spread::new(size, fault).run();
        let all = spread.all.map_or(f64::INFINITY, |all| all.as_secs_f64());
        let by = Driver::Fixed;
        figures.push(figure(name, "s", by, all));
        figures.push(figure(name, "rounds", by, spread.rounds.into()));
        let reads = to_f64(spread.platform_reads);
        figures.push(figure(name, "late reads", by, reads));
    }
    figures
}

#[cfg(test)]
mod tests {
    use super::*;

    const SIZE: Size = Size { vms: 240, servers: 0, zones: 4, workspaces: 0 };

    /// Guards against a way of spreading that fails with its first part:
    /// every fault must leave another way within 17 s.
    #[test]
    fn spread_reaches_all_under_each_fault() {
        for fault in [
            Fault::None,
            Fault::OneReader,
            Fault::BothReaders,
            Fault::ZoneWithoutPlatform,
            Fault::NoNotices,
        ] {
            let spread = Spread::new(&SIZE, fault).run();
            let all = spread.all.expect("it ends");
            assert!(all < Duration::from_secs(17), "{fault:?}: {all:?}");
        }
    }

    /// Guards against a simulated cut that cuts nothing, and against a zone
    /// that stays behind after the cut.
    #[test]
    fn spread_ends_soon_after_cut() {
        let spread = Spread::new(&SIZE, Fault::ZoneCut).run();
        let all = spread.all.expect("it ends");
        let limit = HEALED + Duration::from_secs(17);
        assert!((HEALED..limit).contains(&all), "{all:?}");
    }
}
