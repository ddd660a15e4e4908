//! Keeps the view of live daemons.
//!
//! The decisions are in `briarladder_core::membership`.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    clock::SharedClock,
    config::is_reader as is_zone_reader,
    membership::{
        Change, Heartbeat, Identity, Members, Observed, PauseDetector,
        ProbeTarget, Seed, SeedState, TICK, View, Views,
    },
    names::{ServerName, VmName, ZoneName},
    objects::snapshot::Snapshot,
    routing::ListedState,
    timeline::{EventKind, Subject},
};
use briarladder_wire::{
    peers::{Probe, ProbeThrough},
    platform::{VmKind, VmList, VmState},
};
use parking_lot::Mutex;
use rand::{Rng, seq::IteratorRandom};

use super::platform::Wait;
use crate::daemon::Daemon;

/// The time between two reads of the VM list by a daemon that does not watch
/// it. At 2,500 daemons this makes 8 calls a second.
const LIST_INTERVAL: Duration = Duration::from_mins(5);

/// How often a daemon that does not watch the list looks whether it has
/// become a reader.
const READER_RECHECK: Duration = Duration::from_secs(1);

/// The wait after a failed read of the VM list.
const RETRY_WAIT: Duration = Duration::from_secs(2);

/// The view of live daemons.
#[derive(Debug)]
pub struct MembersState {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    members: Members,
    /// Whether some probe was answered, or there is nobody to probe.
    asked_peers: bool,
    list_read: bool,
}

impl MembersState {
    /// Creates a view that knows only this daemon.
    #[must_use]
    pub fn new(identity: Identity, now: Instant) -> MembersState {
        let members = Members::new(identity, now);
        let inner = Inner { members, asked_peers: false, list_read: false };
        MembersState { inner: Mutex::new(inner) }
    }

    /// Runs with the members locked.
    pub fn with<T>(&self, run: impl FnOnce(&mut Members) -> T) -> T {
        self.with_inner(|inner| run(&mut inner.members))
    }

    fn with_inner<T>(&self, run: impl FnOnce(&mut Inner) -> T) -> T {
        run(&mut self.inner.lock())
    }
}

/// Tells whether the process slept and its views are stale.
#[derive(Debug)]
pub struct Pauses {
    clock: SharedClock,
    detector: Mutex<PauseDetector>,
}

impl Pauses {
    /// Creates the detector of a starting process.
    #[must_use]
    pub fn new(clock: SharedClock) -> Pauses {
        let detector = Mutex::new(PauseDetector::new(clock.now()));
        Pauses { clock, detector }
    }

    /// Notes that a view was refreshed by a request sent at `asked_at`.
    pub fn refreshed(&self, view: View, asked_at: Instant) {
        self.detector.lock().refreshed(view, asked_at);
    }

    /// Returns whether new work may be dispatched.
    #[must_use]
    pub fn views(&self) -> Views {
        self.detector.lock().views(self.clock.now())
    }
}

/// Returns whether this daemon watches the platform for its zone.
#[must_use]
pub fn is_reader(daemon: &Daemon) -> bool {
    let zone = &daemon.settings.zone;
    let live = daemon.members.with(|members| members.live_in_zone(zone));
    is_zone_reader(zone, &live, &daemon.settings.vm)
}

/// The live daemons that share pools with this one, which is included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sharers {
    /// Those in the same region.
    pub region_daemons: u32,
    /// Those in all regions.
    pub fleet_daemons: u32,
}

/// Counts the daemons that share pools with this one.
#[must_use]
pub fn sharers(daemon: &Daemon, snapshot: &Snapshot) -> Sharers {
    let region = snapshot.region_of(&daemon.settings.zone);
    let region = region.and_then(|name| snapshot.regions.get(name));
    let mut sharers = Sharers { region_daemons: 0, fleet_daemons: 0 };
    daemon.members.with(|members| {
        for member in members.iter().filter(|m| m.is_assignable()) {
            let near = region.is_some_and(|region| {
                region.zones.iter().any(|zone| zone.name == member.zone)
            });
            sharers.region_daemons += u32::from(near);
            sharers.fleet_daemons += 1;
        }
    });
    sharers.region_daemons = sharers.region_daemons.max(1);
    sharers.fleet_daemons = sharers.fleet_daemons.max(1);
    sharers
}

/// Returns whether some peer was asked for its epoch, or there is none.
#[must_use]
pub fn asked_peers(daemon: &Daemon) -> bool {
    daemon.members.with_inner(|inner| {
        let alone = inner.members.iter().len() <= 1;
        inner.asked_peers || (inner.list_read && alone)
    })
}

/// Returns whether the platform's list of VMs was read.
#[must_use]
pub fn list_read(daemon: &Daemon) -> bool {
    daemon.members.with_inner(|inner| inner.list_read)
}

/// Returns the address of a peer from which to pull what is newer.
#[must_use]
pub fn peer_with_newer(daemon: &Daemon) -> Option<SocketAddr> {
    let (me, zone) = (&daemon.settings.vm, &daemon.settings.zone);
    daemon.members.with(|m| newer_peer(m, me, zone, &mut rand::rng()))
}

/// Chooses a peer of the zone with a newer epoch, otherwise any with the
/// highest one. The choice is random: all daemons that are behind would
/// otherwise pull from the same peer, most of them from another region.
fn newer_peer(
    members: &Members,
    me: &VmName,
    zone: &ZoneName,
    rng: &mut impl Rng,
) -> Option<SocketAddr> {
    let own_epoch = members.get(me).map_or(0, |member| member.epoch);
    let peers =
        || members.iter().filter(|m| m.is_assignable() && m.name != *me);
    let near = peers().filter(|m| m.zone == *zone && m.epoch > own_epoch);
    let near = near.choose(rng);
    let highest = peers().map(|m| m.epoch).max()?;
    let any = || peers().filter(|m| m.epoch == highest);
    near.or_else(|| any().choose(rng)).map(|m| m.address)
}

/// Sets the epoch that this daemon tells its peers.
pub fn set_epoch(daemon: &Daemon, epoch: u64) {
    daemon.members.with(|members| members.set_epoch(epoch));
}

/// Probes peers, one task a probe, and advances the timers.
pub async fn probe(daemon: Arc<Daemon>) {
    let mut ticker = tokio::time::interval(TICK);
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

fn detect_pause(daemon: &Daemon, now: Instant) {
    let pause = daemon.pauses.detector.lock().tick(now);
    let Some(pause) = pause else { return };
    let paused_ms =
        u64::try_from(pause.length.as_millis()).unwrap_or(u64::MAX);
    log::warn!("membership: the process did not run for {paused_ms} ms");
    daemon.members.with(|members| members.resume_after_pause(now));
    let kind = EventKind::PauseDetected { paused_ms };
    daemon.events.record(Subject::default(), kind);
}

async fn probe_one(daemon: Arc<Daemon>, target: ProbeTarget) {
    let asked_at = daemon.clock.now();
    let message = message_for(&daemon, &target.name);
    let answer = daemon.peers.probe(target.address, message).await;
    match answer {
        Ok(answer) if answer.heartbeat.sender.name == target.name => {
            take_answer(&daemon, &answer, asked_at);
        }
        Ok(_) | Err(_) => probe_through(&daemon, &target),
    }
}

/// Probes a silent peer through others.
fn probe_through(daemon: &Arc<Daemon>, target: &ProbeTarget) {
    let now = daemon.clock.now();
    let through =
        daemon.members.with(|m| m.probe_failed(now, target, &mut rand::rng()));
    for peer in through {
        let daemon = Arc::clone(daemon);
        let target = target.clone();
        tokio::spawn(async move {
            let asked_at = daemon.clock.now();
            let probe = message_for(&daemon, &target.name);
            let through = ProbeThrough { address: target.address, probe };
            let answer =
                daemon.peers.probe_through(peer.address, through).await;
            if let Ok(answer) = answer {
                take_answer(&daemon, &answer, asked_at);
                return;
            }
            let now = daemon.clock.now();
            let change = daemon
                .members
                .with(|m| m.indirect_probe_failed(now, &target.name));
            record(&daemon, change);
        });
    }
}

fn take_answer(daemon: &Daemon, answer: &Probe, asked_at: Instant) {
    let now = daemon.clock.now();
    daemon.events.observe(answer.heartbeat.timestamp);
    let observed = daemon.members.with_inner(|inner| {
        inner.asked_peers = true;
        inner.members.probe_answered(now, &answer.heartbeat)
    });
    daemon.pauses.refreshed(View::Membership, asked_at);
    daemon.pauses.refreshed(View::Configuration, asked_at);
    take_observed(daemon, observed);
    super::config::hear(daemon, answer.announcement);
}

/// Takes a peer's probe and returns the answer.
#[must_use]
pub fn answer_probe(daemon: &Daemon, probe: &Probe) -> Probe {
    let now = daemon.clock.now();
    daemon.events.observe(probe.heartbeat.timestamp);
    let heartbeat: &Heartbeat = &probe.heartbeat;
    let observed = daemon.members.with_inner(|inner| {
        // A probe tells the peer's epoch just as an answer does.
        inner.asked_peers = true;
        inner.members.heard(now, heartbeat)
    });
    take_observed(daemon, observed);
    super::config::hear(daemon, probe.announcement);
    message_for(daemon, &heartbeat.sender.name)
}

fn message_for(daemon: &Daemon, to: &VmName) -> Probe {
    let stamp = daemon.events.stamp();
    Probe {
        heartbeat: daemon.members.with(|m| m.heartbeat_for(to, stamp)),
        announcement: daemon.config.announcement(),
    }
}

fn take_observed(daemon: &Daemon, observed: Vec<Observed>) {
    for outcome in observed {
        match outcome {
            Observed::Known | Observed::Stale => {}
            Observed::Applied(change) => record(daemon, Some(change)),
            Observed::Refuted => {
                log::warn!("membership: peers held this daemon to be dead");
            }
            Observed::Superseded(incarnation) => {
                log::error!(
                    "membership: a later run {incarnation} of this VM's \
                     daemon exists; stop one of them"
                );
            }
        }
    }
}

fn record(daemon: &Daemon, changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        if change.from == Some(change.to) {
            continue;
        }
        let Change { name: member, to: state, .. } = change;
        log::info!("membership: {member} is {state}");
        let kind = EventKind::MemberChanged { member, state };
        daemon.events.record(Subject::default(), kind);
    }
}

/// Reads the platform's list of VMs: watches it as a reader of the zone, and
/// otherwise reads it now and then.
pub async fn read_list(daemon: Arc<Daemon>) {
    let mut version = 0;
    loop {
        let wait = match version {
            0 => Wait::No,
            known => Wait::After(known),
        };
        let asked_at = daemon.clock.now();
        match daemon.platform.vms(wait).await {
            Ok(list) => {
                daemon.members.with_inner(|inner| inner.list_read = true);
                if let Some(list) = list {
                    version = list.version;
                    take_list(&daemon, &list);
                }
                if daemon.members.with(|members| members.iter().len()) <= 1 {
                    daemon.pauses.refreshed(View::Membership, asked_at);
                }
            }
            Err(error) => {
                log::warn!("membership: the VM list can't be read: {error:#}");
                tokio::time::sleep(RETRY_WAIT).await;
                continue;
            }
        }
        if version > 0 {
            wait_for_turn(&daemon).await;
        }
    }
}

/// Waits until this daemon is a reader or the next read is due. The readers
/// may die meanwhile; a daemon that slept on would not learn for minutes of
/// daemons that only the list tells of.
async fn wait_for_turn(daemon: &Daemon) {
    let due_at = daemon.clock.now() + LIST_INTERVAL;
    while !is_reader(daemon) && daemon.clock.now() < due_at {
        tokio::time::sleep(READER_RECHECK).await;
    }
}

fn take_list(daemon: &Daemon, list: &VmList) {
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
    let changes = daemon.members.with(|m| m.seed(now, list.version, &seeds));
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
        membership::{MemberState, Update},
        sorted::SortedSet,
    };
    use rand::{SeedableRng, rngs::SmallRng};

    use super::*;

    /// Guards against a whole fleet that pulls from one peer, and against
    /// pulls from another region while the zone has the change.
    #[test]
    fn newer_peer_spreads_in_zone() {
        let now = Instant::now();
        let zone = |name| ZoneName::new(name).unwrap();
        let update = |number: u16, zone: ZoneName, epoch| Update {
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
            members.observe(now, &update(number, zone(place), epoch));
        }
        let mut rng = SmallRng::seed_from_u64(1);
        let mut chosen = |zone: &ZoneName| -> Vec<u16> {
            let ports = (0..50).filter_map(|_| {
                newer_peer(&members, &me.name, zone, &mut rng)
            });
            let ports: SortedSet<u16> = ports.map(|a| a.port()).collect();
            ports.iter().copied().collect()
        };
        assert_eq!(chosen(&me.zone), [2, 3]);
        // A zone without the change falls back to the highest epoch.
        assert_eq!(chosen(&zone("c")), [5]);
    }
}
