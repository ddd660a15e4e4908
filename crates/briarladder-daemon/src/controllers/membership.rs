//! Detects which daemons are live: probes peers, handles their probes, and
//! reads the platform's list of VMs.
//!
//! `briarladder_core::membership` decides whom to probe and which daemons
//! are suspect or dead.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    clock::SharedClock,
    config::is_reader as is_zone_reader,
    membership::{
        Heartbeat, Identity, MemberChange, Members, PauseDetector,
        ProbeTarget, Seed, SeedState, TICK_INTERVAL, UpdateOutcome, View,
        ViewStatus,
    },
    names::{ServerName, VmName, ZoneName},
    objects::snapshot::Snapshot,
    platform_version::{PlatformVersion, UNKNOWN_ERA},
    routing::ListedState,
    timeline::{EventKind, EventSubject},
};
use briarladder_wire::{
    peers::{IndirectProbe, Probe},
    platform::{VmKind, VmList, VmState},
};
use parking_lot::Mutex;
use rand::{Rng, seq::IteratorRandom};

use super::platform::{PlatformRead, ReadMode};
use crate::daemon::Daemon;

/// The time between two reads of the VM list by a daemon that does not watch
/// it. 2,500 daemons then make 8 calls per second.
const LIST_READ_INTERVAL: Duration = Duration::from_mins(5);

/// How often a daemon that does not watch the list checks whether it has
/// become a reader.
const READER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The delay before a retry after a failed read of the VM list.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// The view of the fleet's daemons, shared by all tasks.
#[derive(Debug)]
pub struct MembersState {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    members: Members,
    /// Whether a peer has reported its epoch, in a probe or in the response
    /// to one.
    contacted: bool,
    /// Whether the platform's list of VMs was read.
    list_loaded: bool,
}

impl MembersState {
    /// Creates a view that knows only this daemon.
    #[must_use]
    pub fn new(identity: Identity, now: Instant) -> MembersState {
        let members = Members::new(identity, now);
        let inner = Inner { members, contacted: false, list_loaded: false };
        MembersState { inner: Mutex::new(inner) }
    }

    /// Calls a closure with the members locked.
    pub fn with<T>(&self, run: impl FnOnce(&mut Members) -> T) -> T {
        self.with_inner(|inner| run(&mut inner.members))
    }

    fn with_inner<T>(&self, run: impl FnOnce(&mut Inner) -> T) -> T {
        run(&mut self.inner.lock())
    }
}

/// Detects pauses of the process, after which its views are stale.
#[derive(Debug)]
pub struct PauseMonitor {
    clock: SharedClock,
    detector: Mutex<PauseDetector>,
}

impl PauseMonitor {
    /// Creates the monitor of a starting process.
    #[must_use]
    pub fn new(clock: SharedClock) -> PauseMonitor {
        let detector = Mutex::new(PauseDetector::new(clock.now()));
        PauseMonitor { clock, detector }
    }

    /// Records that a view was refreshed by a request sent at `sent_at`.
    pub fn record_refresh(&self, view: View, sent_at: Instant) {
        self.detector.lock().record_refresh(view, sent_at);
    }

    /// Returns whether the views are fresh enough to dispatch work.
    #[must_use]
    pub fn view_status(&self) -> ViewStatus {
        self.detector.lock().view_status(self.clock.now())
    }
}

/// Returns whether this daemon is one of those that watch the platform for
/// its zone.
#[must_use]
pub fn is_reader(daemon: &Daemon) -> bool {
    let zone = &daemon.settings.zone;
    let live = daemon.members.with(|members| members.live_in_zone(zone));
    is_zone_reader(zone, &live, &daemon.settings.vm)
}

/// The numbers of live daemons, including this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LiveDaemonCounts {
    /// The live daemons of this daemon's region.
    pub region_daemons: u32,
    /// The live daemons of all regions.
    pub fleet_daemons: u32,
}

/// Counts the live daemons of this daemon's region and of the fleet.
#[must_use]
pub fn count_live_daemons(
    daemon: &Daemon,
    snapshot: &Snapshot,
) -> LiveDaemonCounts {
    let region = snapshot.region_of(&daemon.settings.zone);
    let region = region.and_then(|name| snapshot.regions.get(name));
    let mut counts = LiveDaemonCounts { region_daemons: 0, fleet_daemons: 0 };
    daemon.members.with(|members| {
        for member in members.iter().filter(|m| m.is_assignable()) {
            let near = region.is_some_and(|region| {
                region.zones.iter().any(|zone| zone.name == member.zone)
            });
            counts.region_daemons += u32::from(near);
            counts.fleet_daemons += 1;
        }
    });
    // A daemon that is leaving does not count itself.
    counts.region_daemons = counts.region_daemons.max(1);
    counts.fleet_daemons = counts.fleet_daemons.max(1);
    counts
}

/// Returns whether a peer has reported its epoch, or there are no peers.
#[must_use]
pub fn peers_contacted(daemon: &Daemon) -> bool {
    daemon.members.with_inner(|inner| {
        let alone = inner.members.iter().len() <= 1;
        inner.contacted || (inner.list_loaded && alone)
    })
}

/// Returns whether the platform's list of VMs was read.
#[must_use]
pub fn vm_list_loaded(daemon: &Daemon) -> bool {
    daemon.members.with_inner(|inner| inner.list_loaded)
}

/// Returns the address of a peer from which to pull a newer configuration.
#[must_use]
pub fn peer_with_newer_epoch(daemon: &Daemon) -> Option<SocketAddr> {
    let (me, zone) = (&daemon.settings.vm, &daemon.settings.zone);
    daemon.members.with(|m| choose_newer_peer(m, me, zone, &mut rand::rng()))
}

/// Chooses a peer of the zone with a newer epoch or, if there is none, any
/// peer with the highest epoch. The choice is random: otherwise all daemons
/// that are behind would pull from the same peer, most of them across
/// regions.
fn choose_newer_peer(
    members: &Members,
    me: &VmName,
    zone: &ZoneName,
    rng: &mut impl Rng,
) -> Option<SocketAddr> {
    let own_epoch = members.get(me).map_or(0, |member| member.epoch);
    let peers =
        || members.iter().filter(|m| m.is_assignable() && m.name != *me);
    let in_zone = peers().filter(|m| m.zone == *zone && m.epoch > own_epoch);
    let in_zone = in_zone.choose(rng);
    let highest = peers().map(|m| m.epoch).max()?;
    let any = || peers().filter(|m| m.epoch == highest);
    in_zone.or_else(|| any().choose(rng)).map(|m| m.address)
}

/// Sets the epoch that this daemon's heartbeats report.
pub fn set_epoch(daemon: &Daemon, epoch: u64) {
    daemon.members.with(|members| members.set_epoch(epoch));
}

/// Probes peers, each in its own task, and advances the failure detector and
/// the pause detector, until the process ends.
pub async fn probe_peers(daemon: Arc<Daemon>) {
    let mut ticker = tokio::time::interval(TICK_INTERVAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        let now = daemon.clock.now();
        detect_pause(&daemon, now);
        let changes = daemon.members.with(|members| members.tick(now));
        record(&daemon, changes);
        let next = |daemon: &Daemon| {
            let mut rng = rand::rng();
            daemon.members.with(|m| m.next_probe(now, &mut rng))
        };
        while let Some(target) = next(&daemon) {
            tokio::spawn(probe_one(Arc::clone(&daemon), target));
        }
    }
}

/// After a pause of the process, restarts the timers of the failure detector:
/// peers did not fall silent, this daemon did not run.
fn detect_pause(daemon: &Daemon, now: Instant) {
    let pause = daemon.pause_monitor.detector.lock().tick(now);
    let Some(pause) = pause else { return };
    let paused_ms =
        u64::try_from(pause.length.as_millis()).unwrap_or(u64::MAX);
    log::warn!("membership: the process did not run for {paused_ms} ms");
    daemon.members.with(|members| members.resume_after_pause(now));
    let kind = EventKind::PauseDetected { paused_ms };
    daemon.events.record(EventSubject::default(), kind);
}

async fn probe_one(daemon: Arc<Daemon>, target: ProbeTarget) {
    let sent_at = daemon.clock.now();
    let message = probe_message(&daemon, &target.name);
    let response = daemon.peers.probe(target.address, message).await;
    match response {
        Ok(response) if response.heartbeat.sender.name == target.name => {
            process_response(&daemon, &response, sent_at);
        }
        // An error, or another daemon has this address now.
        Ok(_) | Err(_) => probe_indirectly(&daemon, &target),
    }
}

/// Probes a silent peer through other peers.
fn probe_indirectly(daemon: &Arc<Daemon>, target: &ProbeTarget) {
    let now = daemon.clock.now();
    let through = daemon
        .members
        .with(|m| m.record_probe_failure(now, target, &mut rand::rng()));
    for peer in through {
        let daemon = Arc::clone(daemon);
        let target = target.clone();
        tokio::spawn(async move {
            let sent_at = daemon.clock.now();
            let probe = probe_message(&daemon, &target.name);
            let through = IndirectProbe { address: target.address, probe };
            let response =
                daemon.peers.probe_through(peer.address, through).await;
            if let Ok(response) = response {
                process_response(&daemon, &response, sent_at);
                return;
            }
            let now = daemon.clock.now();
            let change = daemon
                .members
                .with(|m| m.record_indirect_probe_failure(now, &target.name));
            record(&daemon, change);
        });
    }
}

/// Processes the response to a probe that was sent at `sent_at`.
fn process_response(daemon: &Daemon, response: &Probe, sent_at: Instant) {
    let now = daemon.clock.now();
    daemon.events.observe(response.heartbeat.timestamp);
    let observed = daemon.members.with_inner(|inner| {
        inner.contacted = true;
        inner.members.record_probe_response(now, &response.heartbeat)
    });
    daemon.pause_monitor.record_refresh(View::Membership, sent_at);
    daemon.pause_monitor.record_refresh(View::Configuration, sent_at);
    process_updates(daemon, observed);
    super::config::observe_announcement(daemon, response.announcement);
}

/// Processes a probe from a peer and returns the response.
#[must_use]
pub fn handle_probe(daemon: &Daemon, probe: &Probe) -> Probe {
    let now = daemon.clock.now();
    daemon.events.observe(probe.heartbeat.timestamp);
    let heartbeat: &Heartbeat = &probe.heartbeat;
    let observed = daemon.members.with_inner(|inner| {
        // A probe reports the peer's epoch, as a response does.
        inner.contacted = true;
        inner.members.apply_heartbeat(now, heartbeat)
    });
    process_updates(daemon, observed);
    super::config::observe_announcement(daemon, probe.announcement);
    probe_message(daemon, &heartbeat.sender.name)
}

/// Builds a probe, or the response to one, for a peer.
fn probe_message(daemon: &Daemon, to: &VmName) -> Probe {
    let timestamp = daemon.events.stamp();
    Probe {
        heartbeat: daemon.members.with(|m| m.heartbeat_for(to, timestamp)),
        announcement: daemon.config.announcement(),
    }
}

/// Records the state changes that a heartbeat caused, and logs statements
/// about this daemon itself.
fn process_updates(daemon: &Daemon, outcomes: Vec<UpdateOutcome>) {
    for outcome in outcomes {
        match outcome {
            UpdateOutcome::Unchanged | UpdateOutcome::Stale => {}
            UpdateOutcome::Applied(change) => record(daemon, Some(change)),
            UpdateOutcome::Refuted => {
                log::warn!(
                    "membership: peers considered this daemon dead, or an \
                     ended run of it current"
                );
            }
            UpdateOutcome::Superseded(incarnation) => {
                log::error!(
                    "membership: a later run {incarnation} of this VM's \
                     daemon exists; stop one of them"
                );
            }
        }
    }
}

/// Logs state changes of members and adds them to the timeline.
fn record(daemon: &Daemon, changes: impl IntoIterator<Item = MemberChange>) {
    for change in changes {
        if change.from == Some(change.to) {
            continue;
        }
        let MemberChange { name: member, to: state, .. } = change;
        log::info!("membership: {member} is {state}");
        let kind = EventKind::MemberChanged { member, state };
        daemon.events.record(EventSubject::default(), kind);
    }
}

/// Keeps the members in line with the platform's list of VMs, until the
/// process ends: watches the list while this daemon is one of its zone's
/// readers, and otherwise reads it every five minutes.
pub async fn sync_vm_list(daemon: Arc<Daemon>) {
    let mut known = None;
    loop {
        let mode = known.map_or(ReadMode::Current, ReadMode::NewerThan);
        let sent_at = daemon.clock.now();
        match daemon.platform.vms(mode).await {
            Ok(read) => {
                daemon.members.with_inner(|inner| inner.list_loaded = true);
                let before = known.unwrap_or_default();
                known = Some(apply_list_read(&daemon, before, &read));
                // Without peers, no probe refreshes the view.
                if daemon.members.with(|members| members.iter().len()) <= 1 {
                    daemon
                        .pause_monitor
                        .record_refresh(View::Membership, sent_at);
                }
            }
            Err(error) => {
                log::warn!("membership: the VM list can't be read: {error:#}");
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        }
        if known.is_some_and(|known| known.number > 0) {
            wait_until_read_due(&daemon).await;
        }
    }
}

/// Waits until this daemon is a reader or its next read is due. The readers
/// may die in the meantime; a daemon that kept waiting would miss new daemons
/// that only the list shows for minutes.
async fn wait_until_read_due(daemon: &Daemon) {
    let due_at = daemon.clock.now() + LIST_READ_INTERVAL;
    while !is_reader(daemon) && daemon.clock.now() < due_at {
        tokio::time::sleep(READER_CHECK_INTERVAL).await;
    }
}

/// Applies the list that the platform returned, if any, and returns the
/// version from which to watch it.
fn apply_list_read(
    daemon: &Daemon,
    known: PlatformVersion,
    read: &PlatformRead<VmList>,
) -> PlatformVersion {
    let number = read.value.as_ref().map_or(0, |list| list.version);
    let version = PlatformVersion { era: read.era, number };
    if known.era > UNKNOWN_ERA && version.era > known.era {
        log::warn!(
            "membership: the platform was restored; its VM list goes from \
             {known} to {version}"
        );
    }
    if let Some(list) = &read.value {
        apply_vm_list(daemon, version, list);
    }
    known.max(version)
}

/// Applies the list: entry VMs to the members, backend servers to the router.
fn apply_vm_list(daemon: &Daemon, version: PlatformVersion, list: &VmList) {
    let now = daemon.clock.now();
    let seeds: Vec<Seed> = list
        .vms
        .iter()
        .filter(|vm| vm.kind == VmKind::Entry)
        .map(|vm| Seed {
            name: vm.name.clone(),
            address: vm.address,
            zone: vm.zone.clone(),
            state: match vm.state {
                VmState::Live => SeedState::Live,
                VmState::Leaving => SeedState::Leaving,
            },
        })
        .collect();
    let changes = daemon.members.with(|m| m.apply_seeds(now, version, &seeds));
    record(daemon, changes);
    let mut router = daemon.router.lock();
    for vm in list.vms.iter().filter(|vm| vm.kind == VmKind::Backend) {
        let Ok(server) = ServerName::new(vm.name.as_str()) else { continue };
        let state = match vm.state {
            VmState::Live => ListedState::Live,
            VmState::Leaving => ListedState::Leaving,
        };
        router.set_listed(now, &server, state);
    }
}

#[cfg(test)]
mod tests {
    use briarladder_core::{
        ids::Incarnation,
        membership::{MemberState, MemberUpdate},
        sorted::SortedSet,
    };
    use rand::{SeedableRng, rngs::SmallRng};

    use super::*;

    /// Guards against a whole fleet that pulls from the same peer, and
    /// against pulls across regions while a peer of the zone is up to date.
    #[test]
    fn choose_newer_peer_spreads_in_zone() {
        let now = Instant::now();
        let zone = |name| ZoneName::new(name).unwrap();
        let update = |number: u16, zone: ZoneName, epoch| MemberUpdate {
            name: VmName::new(&format!("vm-{number}")).unwrap(),
            address: ([10, 0, 0, 1], number).into(),
            zone,
            incarnation: Incarnation(1),
            sequence: 0,
            epoch,
            state: MemberState::Ready,
        };
        let me = update(0, zone("a"), 1);
        let identity = Identity {
            name: me.name.clone(),
            address: me.address,
            zone: me.zone.clone(),
            incarnation: me.incarnation,
        };
        let mut members = Members::new(identity, now);
        members.set_epoch(1);
        let known = [("a", 1), ("a", 2), ("a", 2), ("b", 2), ("b", 3)];
        for (number, (place, epoch)) in (1..).zip(known) {
            members.apply_update(now, &update(number, zone(place), epoch));
        }
        let mut rng = SmallRng::seed_from_u64(1);
        let mut chosen = |zone: &ZoneName| -> Vec<u16> {
            let ports = (0..50).filter_map(|_| {
                choose_newer_peer(&members, &me.name, zone, &mut rng)
            });
            let ports: SortedSet<u16> = ports.map(|a| a.port()).collect();
            ports.iter().copied().collect()
        };
        assert_eq!(chosen(&me.zone), [2, 3]);
        // In a zone without a newer epoch, the highest of the fleet is used.
        assert_eq!(chosen(&zone("c")), [5]);
    }
}
