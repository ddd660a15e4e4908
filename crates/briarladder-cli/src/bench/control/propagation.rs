//! Simulates how a configuration change reaches every daemon.
//!
//! The readers of each zone read a change from the platform; the other daemons
//! learn of it through notices or probes and pull it from a peer. Readers,
//! notices and the platform reads of daemons that are behind follow `briarladder_core::config`. Probes have the intervals of
//! `briarladder_core::membership`.

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
    measurement::{Driver, Figure, figure, to_f64},
    membership::{vm_name, zone_name},
    size::Size,
};

/// One-way latency between regions.
const CROSS_REGION_LATENCY: Duration = Duration::from_millis(20);

/// One-way latency within a region.
const INTRA_REGION_LATENCY: Duration = Duration::from_millis(1);

/// Time to pull and adopt a change in addition to the round trips, at the
/// target scale on a shared core.
const ADOPTION_TIME: Duration = Duration::from_millis(100);

/// Interval at which a daemon checks whether a platform read is due.
const BEHIND_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time from the start of the simulation to the end of the partition of
/// [`Fault::ZonePartition`].
const PARTITION_END: Duration = Duration::from_secs(30);

/// Time after which a reader that can't reach the platform retries.
const READER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum simulated time.
const SIMULATION_LIMIT: Duration = Duration::from_mins(1);

/// A fault during the propagation of the change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// One of the two readers of each zone is dead, but not yet known to be
    /// dead.
    OneReader,
    /// Both readers of one zone are dead, but not yet known to be dead.
    BothReaders,
    /// One zone can't reach the platform.
    ZoneWithoutPlatform,
    /// No notices arrive.
    NoNotices,
    /// One zone is partitioned from the others and the platform until
    /// [`PARTITION_END`].
    ZonePartition,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Adopt { daemon: usize, depth: u32 },
    Notified { daemon: usize, by: usize },
    Probe { daemon: usize, cross_zone: bool },
    CheckBehind { daemon: usize },
}

#[derive(Clone, Default)]
struct Daemon {
    /// Hops between daemons by which the change reached this one, 0 if it read
    /// the change from the platform. `None` until it has adopted the change.
    depth: Option<u32>,
    /// Whether a pull from a peer is in progress.
    pulling: bool,
    /// When the daemon first heard of the change, until it has adopted it.
    behind_since: Option<Instant>,
}

struct Simulation<'a> {
    size: &'a Size,
    fault: Fault,
    start: Instant,
    daemons: Vec<Daemon>,
    names: Vec<VmName>,
    zones: Vec<Vec<VmName>>,
    dead: Vec<usize>,
    read_schedules: Vec<PlatformReadSchedule>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    rng: SmallRng,
    platform_reads: u64,
}

/// The result of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Propagation {
    /// Time until the last live daemon adopted the change. `None` if that took
    /// longer than [`SIMULATION_LIMIT`].
    pub completed_after: Option<Duration>,
    /// Most hops between daemons by which the change reached one of them.
    pub rounds: u32,
    /// Platform reads by daemons that were behind.
    pub platform_reads: u64,
}

impl<'a> Simulation<'a> {
    fn new(size: &'a Size, fault: Fault) -> Simulation<'a> {
        let names: Vec<VmName> = (0..size.vms).map(vm_name).collect();
        let zone = |zone: usize| {
            names.iter().skip(zone).step_by(size.zones).cloned().collect()
        };
        Simulation {
            size,
            fault,
            start: Instant::now(),
            daemons: vec![Daemon::default(); size.vms],
            zones: (0..size.zones).map(zone).collect(),
            read_schedules: names
                .iter()
                .map(PlatformReadSchedule::new)
                .collect(),
            names,
            dead: Vec::new(),
            events: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(7),
            platform_reads: 0,
        }
    }

    fn index_of(&self, name: &VmName) -> usize {
        self.names.binary_search(name).expect("all names are listed")
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        let region = |daemon: usize| daemon % self.size.zones / 2;
        if region(from) == region(to) {
            INTRA_REGION_LATENCY
        } else {
            CROSS_REGION_LATENCY
        }
    }

    fn reaches_platform(&self, daemon: usize) -> bool {
        self.fault != Fault::ZoneWithoutPlatform
            || !daemon.is_multiple_of(self.size.zones)
    }

    fn run(mut self) -> Propagation {
        for zone in 0..self.size.zones {
            let live = self.zones[zone].clone();
            let zone_readers = readers(&zone_name(zone), &live);
            for (index, reader) in zone_readers.into_iter().enumerate() {
                let daemon = self.index_of(reader);
                let dead = match self.fault {
                    Fault::OneReader => index == 0,
                    Fault::BothReaders => zone == 0,
                    _ => false,
                };
                if dead {
                    self.dead.push(daemon);
                } else if self.reaches_platform(daemon) {
                    let partitioned =
                        self.fault == Fault::ZonePartition && zone == 0;
                    let start = if partitioned {
                        PARTITION_END + READER_RETRY_INTERVAL
                    } else {
                        Duration::ZERO
                    };
                    let event = Event::Adopt { daemon, depth: 0 };
                    self.schedule(start + ADOPTION_TIME, event);
                }
            }
        }
        for daemon in 0..self.size.vms {
            for (cross_zone, interval) in [
                (false, ZONE_PROBE_INTERVAL),
                (true, CROSS_ZONE_PROBE_INTERVAL),
            ] {
                let phase = interval.mul_f64(self.rng.random_range(0.0..1.0));
                self.schedule(phase, Event::Probe { daemon, cross_zone });
            }
            self.schedule(
                BEHIND_CHECK_INTERVAL,
                Event::CheckBehind { daemon },
            );
        }
        let mut last_adopted_at = Duration::ZERO;
        let mut remaining = self.size.vms - self.dead.len();
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > SIMULATION_LIMIT || remaining == 0 {
                break;
            }
            if let Event::Adopt { daemon, depth } = event {
                if self.adopt(at, daemon, depth) {
                    (last_adopted_at, remaining) = (at, remaining - 1);
                }
            } else {
                self.handle(at, event);
            }
        }
        let depths = self.daemons.iter().filter_map(|state| state.depth);
        Propagation {
            completed_after: (remaining == 0).then_some(last_adopted_at),
            rounds: depths.max().unwrap_or(0),
            platform_reads: self.platform_reads,
        }
    }

    fn adopt(&mut self, at: Duration, daemon: usize, depth: u32) -> bool {
        if self.dead.contains(&daemon) || self.daemons[daemon].depth.is_some()
        {
            return false;
        }
        self.daemons[daemon].depth = Some(depth);
        self.daemons[daemon].behind_since = None;
        if self.fault == Fault::NoNotices {
            return true;
        }
        let zone = &self.zones[daemon % self.size.zones];
        let targets = notify_targets(&self.names[daemon], zone, 2);
        let targets: Vec<usize> =
            targets.into_iter().map(|name| self.index_of(name)).collect();
        for to in targets {
            let event = Event::Notified { daemon: to, by: daemon };
            self.schedule(at + self.latency(daemon, to), event);
        }
        true
    }

    fn handle(&mut self, at: Duration, event: Event) {
        match event {
            Event::Adopt { .. } => {}
            Event::Notified { daemon, by } => {
                self.handle_announcement(at, daemon, by);
            }
            Event::Probe { daemon, cross_zone } => {
                self.probe(at, daemon, cross_zone);
            }
            Event::CheckBehind { daemon } => self.check_behind(at, daemon),
        }
    }

    /// Handles a notice or probe from a daemon. If that daemon has the change,
    /// pulls it from there.
    fn handle_announcement(&mut self, at: Duration, daemon: usize, by: usize) {
        let Some(depth) = self.daemons[by].depth else { return };
        let state = &mut self.daemons[daemon];
        if state.depth.is_some() {
            return;
        }
        state.behind_since.get_or_insert(self.start + at);
        if !state.pulling {
            state.pulling = true;
            // Manifest and chunk: two round trips.
            let adopted_at = at + self.latency(daemon, by) * 4 + ADOPTION_TIME;
            self.schedule(
                adopted_at,
                Event::Adopt { daemon, depth: depth + 1 },
            );
        }
    }

    fn probe(&mut self, at: Duration, daemon: usize, cross_zone: bool) {
        let zones = self.size.zones;
        let (interval, to) = if cross_zone {
            let to = self.rng.random_range(0..self.size.vms);
            (CROSS_ZONE_PROBE_INTERVAL, to)
        } else {
            let zone = daemon % zones;
            let to = self.rng.random_range(0..self.zones[zone].len());
            (ZONE_PROBE_INTERVAL, to * zones + zone)
        };
        self.schedule(at + interval, Event::Probe { daemon, cross_zone });
        let endpoints = [daemon, to];
        let unreachable = endpoints.iter().any(|d| self.dead.contains(d));
        let in_partition = endpoints.map(|d| d.is_multiple_of(zones));
        let partitioned = self.fault == Fault::ZonePartition
            && at < PARTITION_END
            && in_partition[0] != in_partition[1];
        if !unreachable && !partitioned {
            self.handle_announcement(
                at + self.latency(daemon, to),
                to,
                daemon,
            );
            self.handle_announcement(
                at + self.latency(daemon, to) * 2,
                daemon,
                to,
            );
        }
    }

    fn check_behind(&mut self, at: Duration, daemon: usize) {
        self.schedule(
            at + BEHIND_CHECK_INTERVAL,
            Event::CheckBehind { daemon },
        );
        let now = self.start + at;
        let behind_since = self.daemons[daemon].behind_since;
        let due = self.read_schedules[daemon].next_read_at(behind_since);
        if due.is_some_and(|due| due <= now) && self.reaches_platform(daemon) {
            self.read_schedules[daemon].record_read(behind_since, now);
            self.platform_reads += 1;
            self.schedule(
                at + ADOPTION_TIME,
                Event::Adopt { daemon, depth: 0 },
            );
        }
    }
}

/// Measures the propagation of one change under each fault.
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
        ("change everywhere, zone partitioned for 30 s", Fault::ZonePartition),
    ];
    let mut figures = Vec::new();
    for (name, fault) in cases {
        let propagation = Simulation::new(size, fault).run();
        let completed_after = propagation
            .completed_after
            .map_or(f64::INFINITY, |completed_after| {
                completed_after.as_secs_f64()
            });
        let by = Driver::Fixed;
        figures.push(figure(name, "s", by, completed_after));
        figures.push(figure(name, "rounds", by, propagation.rounds.into()));
        let reads = to_f64(propagation.platform_reads);
        figures.push(figure(name, "late reads", by, reads));
    }
    figures
}

#[cfg(test)]
mod tests {
    use super::*;

    const SIZE: Size = Size { vms: 240, servers: 0, zones: 4, workspaces: 0 };

    /// Guards against a single point of failure in the propagation: under each
    /// fault, the change must still reach all live daemons within 17 s.
    #[test]
    fn run_reaches_all_daemons_under_each_fault() {
        for fault in [
            Fault::None,
            Fault::OneReader,
            Fault::BothReaders,
            Fault::ZoneWithoutPlatform,
            Fault::NoNotices,
        ] {
            let propagation = Simulation::new(&SIZE, fault).run();
            let completed_after = propagation
                .completed_after
                .expect("the change reaches all daemons");
            assert!(
                completed_after < Duration::from_secs(17),
                "{fault:?}: {completed_after:?}"
            );
        }
    }

    /// Guards against a simulated partition without effect, and against a zone
    /// that stays behind after it.
    #[test]
    fn run_ends_soon_after_partition() {
        let propagation = Simulation::new(&SIZE, Fault::ZonePartition).run();
        let completed_after = propagation
            .completed_after
            .expect("the change reaches all daemons");
        let limit = PARTITION_END + Duration::from_secs(17);
        assert!(
            (PARTITION_END..limit).contains(&completed_after),
            "{completed_after:?}"
        );
    }
}
