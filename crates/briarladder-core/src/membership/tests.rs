use std::time::{Duration, Instant};

use rand::{SeedableRng, rngs::SmallRng};

use super::*;
use crate::{
    ids::Incarnation,
    names::{VmName, ZoneName},
    platform_version::PlatformVersion,
    timeline::HlcTimestamp,
};

const TIMESTAMP: HlcTimestamp = HlcTimestamp { unix_ms: 0, counter: 0 };

fn vm(number: usize) -> VmName {
    VmName::new(&format!("vm-{number}")).unwrap()
}

fn zone(number: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{number}")).unwrap()
}

fn identity(number: usize, incarnation: u64) -> Identity {
    Identity {
        name: vm(number),
        address: ([10, 0, 0, 1], 7_000).into(),
        zone: zone(0),
        incarnation: Incarnation(incarnation),
    }
}

/// Returns a version of the platform's list in its first era.
fn version(number: u64) -> PlatformVersion {
    PlatformVersion { era: 1, number }
}

fn seed(number: usize, zone_number: usize, state: SeedState) -> Seed {
    let address = ([10, 0, 0, 1], 7_000).into();
    Seed { name: vm(number), address, zone: zone(zone_number), state }
}

fn update(
    number: usize,
    incarnation: u64,
    sequence: u64,
    state: MemberState,
) -> MemberUpdate {
    let Identity { name, address, zone, incarnation } =
        identity(number, incarnation);
    MemberUpdate {
        name,
        address,
        zone,
        incarnation,
        sequence,
        epoch: 1,
        state,
    }
}

/// The view of vm-0, which has received updates about vm-1 to vm-3 with
/// incarnation 5.
fn members(now: Instant) -> Members {
    let mut members = Members::new(identity(0, 5), now);
    for number in 1..4 {
        members.apply_update(now, &update(number, 5, 0, MemberState::Ready));
    }
    members
}

fn state(members: &Members, number: usize) -> MemberState {
    members.get(&vm(number)).unwrap().state
}

/// Lets all probes of vm-1 fail and its suspect timeout expire.
fn fail_vm_1(members: &mut Members, now: Instant) -> Instant {
    let mut rng = SmallRng::seed_from_u64(1);
    let target = ProbeTarget::of(members.get(&vm(1)).unwrap());
    let probers = members.record_probe_failure(now, &target, &mut rng);
    assert_eq!(probers.len(), 2);
    assert_eq!(members.record_indirect_probe_failure(now, &vm(1)), None);
    let change = members.record_indirect_probe_failure(now, &vm(1)).unwrap();
    assert_eq!(change.to, MemberState::Suspect);
    let now = now + SUSPECT_TIMEOUT;
    assert_eq!(members.tick(now)[0].to, MemberState::Dead);
    now
}

/// Guards against a wrong precedence of updates. Each row is an update that
/// is applied after one with incarnation 5 and sequence 2, and the resulting
/// state.
#[test]
fn update_precedence() {
    use MemberState::{Dead, Leaving, Ready, Suspect};
    let now = Instant::now();
    let rows = [
        (Ready, (4, 9, Dead), Ready),
        (Ready, (5, 1, Dead), Ready),
        (Ready, (5, 2, Suspect), Suspect),
        (Suspect, (5, 2, Ready), Suspect),
        (Suspect, (5, 3, Ready), Ready),
        (Suspect, (5, 2, Leaving), Suspect),
        (Dead, (5, 2, Suspect), Dead),
        (Dead, (5, 3, Ready), Ready),
        (Dead, (6, 0, Ready), Ready),
        (Leaving, (5, 3, Ready), Leaving),
        (Leaving, (5, 9, Suspect), Suspect),
        (Leaving, (6, 0, Ready), Ready),
    ];
    for (before, (incarnation, sequence, reported), after) in rows {
        let mut members = Members::new(identity(0, 5), now);
        members.apply_update(now, &update(1, 5, 2, before));
        members.apply_update(now, &update(1, incarnation, sequence, reported));
        assert_eq!(
            state(&members, 1),
            after,
            "{before} {incarnation} {reported}"
        );
    }
}

/// Guards against a leaving member that becomes ready by refuting a
/// suspicion.
#[test]
fn update_keeps_leaving_through_suspicion() {
    let now = Instant::now();
    let mut members = members(now);
    members.apply_update(now, &update(1, 5, 1, MemberState::Leaving));
    members.apply_update(now, &update(1, 5, 1, MemberState::Suspect));
    assert!(!members.live_in_zone(&zone(0)).contains(&vm(1)));
    members.apply_update(now, &update(1, 5, 2, MemberState::Ready));
    assert_eq!(state(&members, 1), MemberState::Leaving);
}

/// Guards against an outdated list that makes a dead, leaving or removed
/// member ready again, and against an old list that arrives after a newer one.
#[test]
fn seeds_never_revive_members() {
    let now = Instant::now();
    let mut members = members(now);
    members.apply_update(now, &update(2, 5, 1, MemberState::Leaving));
    let dead_at = fail_vm_1(&mut members, now);
    let list: Vec<Seed> =
        (1..4).map(|n| seed(n, 0, SeedState::Live)).collect();
    assert_eq!(members.apply_seeds(dead_at, version(3), &list), []);
    assert_eq!(state(&members, 1), MemberState::Dead);
    assert_eq!(state(&members, 2), MemberState::Leaving);

    // Version 4 no longer contains the member, which is retained for a while
    // and then removed. An older version does not add it again.
    members.apply_seeds(dead_at, version(4), &list[1..]);
    members.tick(dead_at + DEAD_RETENTION / 2);
    assert_eq!(members.apply_seeds(dead_at, version(5), &list), []);
    assert_eq!(state(&members, 1), MemberState::Dead);
    members.apply_seeds(dead_at, version(6), &list[1..]);
    members.tick(dead_at + DEAD_RETENTION);
    assert_eq!(members.get(&vm(1)), None);
    assert_eq!(members.apply_seeds(dead_at, version(5), &list), []);
}

/// Guards against a list that is ignored after a restore of the platform,
/// because of its lower number, and against one of before that arrives late.
#[test]
fn seeds_of_restored_platform() {
    let now = Instant::now();
    let mut members = members(now);
    let list = |n| [seed(n, 0, SeedState::Live)];
    let in_era = |era, number| PlatformVersion { era, number };
    members.apply_seeds(now, in_era(1, 7), &list(7));
    members.apply_seeds(now, in_era(2, 3), &list(8));
    assert!(members.get(&vm(8)).is_some());
    members.apply_seeds(now, in_era(1, 9), &list(9));
    assert_eq!(members.get(&vm(9)), None);
    assert_eq!(members.list_version(), in_era(2, 3));
}

/// Guards against an outdated list that marks a responding member as leaving,
/// or replaces its address with that of an earlier incarnation.
#[test]
fn seeds_do_not_override_updates() {
    let now = Instant::now();
    let mut members = members(now);
    let mut old = seed(1, 0, SeedState::Leaving);
    old.address = ([10, 0, 0, 9], 7_000).into();
    let before = members.get(&vm(1)).unwrap().address;
    assert_eq!(members.apply_seeds(now, version(1), &[old]), []);
    assert_eq!(state(&members, 1), MemberState::Ready);
    assert_eq!(members.get(&vm(1)).unwrap().address, before);
}

/// Guards against a member known only from the list that stays ready without
/// ever responding, or that the next list makes ready again.
#[test]
fn unresponsive_seed_dies() {
    let now = Instant::now();
    let mut members = Members::new(identity(0, 5), now);
    members.apply_seeds(now, version(1), &[seed(1, 0, SeedState::Live)]);
    let target = members.next_probe(now, &mut SmallRng::seed_from_u64(1));
    let target = target.unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(members.record_probe_failure(now, &target, &mut rng), []);
    assert_eq!(members.tick(now)[0].to, MemberState::Suspect);
    members.tick(now + SUSPECT_TIMEOUT);
    members.apply_seeds(now, version(2), &[seed(1, 0, SeedState::Live)]);
    assert_eq!(state(&members, 1), MemberState::Dead);
    // Its first update makes it live.
    members.apply_update(now, &update(1, 5, 0, MemberState::Ready));
    assert_eq!(state(&members, 1), MemberState::Ready);
}

/// Guards against a member that can't refute a false suspicion, and against
/// two incarnations of one VM that both keep running.
#[test]
fn suspected_member_refutes() {
    let now = Instant::now();
    let mut suspected = Members::new(identity(1, 5), now);
    let mut peer = members(now);
    let now = fail_vm_1(&mut peer, now);
    let probe = peer.heartbeat_for(&vm(1), TIMESTAMP);
    let outcomes = suspected.apply_heartbeat(now, &probe);
    assert!(outcomes.contains(&UpdateOutcome::Refuted));
    let response = suspected.heartbeat_for(&vm(0), TIMESTAMP);
    peer.record_probe_response(now, &response);
    assert_eq!(state(&peer, 1), MemberState::Ready);

    let earlier = update(1, 4, 9, MemberState::Dead);
    assert_eq!(suspected.apply_update(now, &earlier), UpdateOutcome::Stale);
    let mut later = update(1, 6, 0, MemberState::Ready);
    later.address = ([10, 0, 0, 2], 7_000).into();
    let superseded = UpdateOutcome::Superseded(Incarnation(6));
    assert_eq!(suspected.apply_update(now, &later), superseded);
}

/// Guards against a daemon that stays dead for its peers, because its wall
/// clock went back before it was started again and its incarnation is lower.
#[test]
fn restarted_member_with_earlier_clock() {
    let now = Instant::now();
    let mut peer = members(now);
    let now = fail_vm_1(&mut peer, now);
    assert_eq!(state(&peer, 1), MemberState::Dead);
    let mut restarted = Members::new(identity(1, 3), now);
    let probe = restarted.heartbeat_for(&vm(0), TIMESTAMP);
    let outcomes = peer.apply_heartbeat(now, &probe);
    assert!(outcomes.contains(&UpdateOutcome::Stale), "{outcomes:?}");
    let response = peer.heartbeat_for(&vm(1), TIMESTAMP);
    let outcomes = restarted.record_probe_response(now, &response);
    assert!(outcomes.contains(&UpdateOutcome::Refuted), "{outcomes:?}");
    assert_eq!(restarted.incarnation(), Incarnation(6));
    let probe = restarted.heartbeat_for(&vm(0), TIMESTAMP);
    peer.apply_heartbeat(now, &probe);
    assert_eq!(state(&peer, 1), MemberState::Ready);
}

/// Guards against a daemon that is not heard, because its peers know a higher
/// incarnation of it that has announced its shutdown, or that is ready.
#[test]
fn quickly_restarted_member_with_earlier_clock() {
    let now = Instant::now();
    for before in [MemberState::Leaving, MemberState::Ready] {
        let mut peer = members(now);
        peer.apply_update(now, &update(1, 5, 1, before));
        let mut restarted = Members::new(identity(1, 3), now);
        for _ in 0..2 {
            let probe = restarted.heartbeat_for(&vm(0), TIMESTAMP);
            peer.apply_heartbeat(now, &probe);
            let response = peer.heartbeat_for(&vm(1), TIMESTAMP);
            restarted.record_probe_response(now, &response);
        }
        assert_eq!(
            peer.get(&vm(1)).unwrap().incarnation,
            Some(Incarnation(6))
        );
        assert_eq!(state(&peer, 1), MemberState::Ready);
        restarted.begin_leave(now);
        let probe = restarted.heartbeat_for(&vm(0), TIMESTAMP);
        peer.apply_heartbeat(now, &probe);
        assert_eq!(state(&peer, 1), MemberState::Leaving, "{before}");
    }
}

/// Guards against a suspicion despite a response through a peer, a suspicion
/// of an incarnation that has been replaced, and a lost response that prevents
/// detection.
#[test]
fn suspicion_needs_all_probes_to_fail() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut members = members(now);
    let target = ProbeTarget::of(members.get(&vm(1)).unwrap());
    let probers = members.record_probe_failure(now, &target, &mut rng);
    assert!(probers.iter().all(|t| t.name != vm(1) && t.name != vm(0)));
    let mut peer = Members::new(identity(1, 5), now);
    members.record_probe_response(now, &peer.heartbeat_for(&vm(0), TIMESTAMP));
    assert_eq!(members.tick(now + INDIRECT_PROBE_TIMEOUT), []);

    members.record_probe_failure(now, &target, &mut rng);
    members.apply_update(now, &update(1, 6, 0, MemberState::Ready));
    assert_eq!(members.tick(now + INDIRECT_PROBE_TIMEOUT), []);
    assert_eq!(members.record_probe_failure(now, &target, &mut rng), []);

    let target = ProbeTarget::of(members.get(&vm(1)).unwrap());
    members.record_probe_failure(now, &target, &mut rng);
    let changes = members.tick(now + INDIRECT_PROBE_TIMEOUT);
    assert_eq!(changes[0].to, MemberState::Suspect);
}

/// Guards against declaring members dead because this process was paused.
#[test]
fn resume_after_pause_restarts_timers() {
    let now = Instant::now();
    let mut members = members(now);
    members.apply_update(now, &update(1, 5, 0, MemberState::Suspect));
    let resumed_at = now + Duration::from_mins(1);
    members.resume_after_pause(resumed_at);
    assert_eq!(members.tick(resumed_at), []);
    assert_eq!(members.tick(resumed_at + SUSPECT_TIMEOUT).len(), 1);
}

/// Guards against probes at the wrong rate or in the wrong zone, a burst of
/// probes after a pause, and dead members that are never probed again after a
/// partition.
#[test]
fn next_probe_keeps_rates() {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut members = members(start);
    members.apply_seeds(start, version(1), &[seed(9, 1, SeedState::Live)]);
    members.apply_update(start, &update(3, 5, 0, MemberState::Dead));
    let mut counts = [0_u32; 3];
    for tick in 0..1_000 {
        let now = start + Duration::from_millis(100) * tick;
        while let Some(target) = members.next_probe(now, &mut rng) {
            let kind = match target.name {
                name if name == vm(9) => 0,
                name if name == vm(3) => 1,
                _ => 2,
            };
            counts[kind] += 1;
        }
    }
    assert_eq!(counts, [10, 10, 90]);
    let resumed_at = start + Duration::from_mins(10);
    let burst =
        (0..9).filter_map(|_| members.next_probe(resumed_at, &mut rng));
    assert_eq!(burst.count(), 2);
}

/// Guards against messages or a queue that grow without bound, updates that
/// are sent indefinitely, and older updates that are sent before newer ones.
#[test]
fn heartbeat_bounds_updates() {
    let now = Instant::now();
    let mut members = Members::new(identity(0, 5), now);
    for number in 1..200 {
        members.apply_update(now, &update(number, 5, 0, MemberState::Ready));
    }
    let first = members.heartbeat_for(&vm(0), TIMESTAMP).updates;
    let names: Vec<VmName> = first.into_iter().map(|u| u.name).collect();
    assert_eq!(names, [vm(199), vm(198), vm(197), vm(196)]);
    let mut sent = MAX_UPDATES_PER_MESSAGE;
    loop {
        let updates = members.heartbeat_for(&vm(0), TIMESTAMP).updates.len();
        assert!(updates <= MAX_UPDATES_PER_MESSAGE);
        sent += updates;
        if updates == 0 {
            break;
        }
    }
    let bounds = MAX_QUEUED_UPDATES..=24 * MAX_QUEUED_UPDATES;
    assert!(bounds.contains(&sent), "{sent}");
}

/// Guards against the update about a dead member being delayed or dropped
/// because of the first updates of listed members while a fleet starts.
#[test]
fn heartbeat_prefers_changes() {
    let now = Instant::now();
    let mut members = Members::new(identity(0, 5), now);
    let list: Vec<Seed> =
        (1..200).map(|n| seed(n, 0, SeedState::Live)).collect();
    members.apply_seeds(now, version(1), &list);
    let first_updates = |members: &mut Members, numbers| {
        for number in numbers {
            members
                .apply_update(now, &update(number, 5, 0, MemberState::Ready));
        }
    };
    first_updates(&mut members, 1..100);
    let dead = update(1, 5, 0, MemberState::Dead);
    members.apply_update(now, &dead);
    first_updates(&mut members, 100..200);
    let updates = members.heartbeat_for(&vm(0), TIMESTAMP).updates;
    assert_eq!(updates[0], dead);
    assert_eq!(updates.len(), MAX_UPDATES_PER_MESSAGE);
}

/// Guards against a restarted daemon with a lower incarnation.
#[test]
fn new_incarnation_grows_with_time() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut last = Incarnation(0);
    for unix_ms in 1_700_000_000_000..1_700_000_001_000 {
        let unix = Duration::from_millis(unix_ms);
        let incarnation = new_incarnation(unix, &mut rng);
        assert!(incarnation > last);
        last = incarnation;
    }
}

/// Guards against a graceful shutdown that peers don't learn of or that is
/// reverted.
#[test]
fn leave_reaches_peers() {
    let now = Instant::now();
    let mut leaving = Members::new(identity(1, 5), now);
    let mut peer = members(now);
    leaving.begin_leave(now);
    peer.apply_heartbeat(now, &leaving.heartbeat_for(&vm(0), TIMESTAMP));
    assert_eq!(state(&peer, 1), MemberState::Leaving);
    assert_eq!(peer.live_in_zone(&zone(0)), [vm(0), vm(2), vm(3)]);
    peer.apply_update(now, &update(1, 5, 1, MemberState::Dead));
    leaving.apply_heartbeat(now, &peer.heartbeat_for(&vm(1), TIMESTAMP));
    peer.apply_heartbeat(now, &leaving.heartbeat_for(&vm(0), TIMESTAMP));
    assert_eq!(state(&peer, 1), MemberState::Leaving);
}

/// Six daemons that probe each other. Probes across a partition fail
/// immediately.
struct Fleet {
    now: Instant,
    views: Vec<Members>,
    rng: SmallRng,
    /// Daemons with an index below this can't reach the others; 0 if there is
    /// no partition.
    partition_index: usize,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let now = Instant::now();
        let views = (0..6).map(|n| Members::new(identity(n, 5), now));
        let rng = SmallRng::seed_from_u64(seed);
        Fleet { now, views: views.collect(), rng, partition_index: 0 }
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        (a < self.partition_index) == (b < self.partition_index)
    }

    /// Runs for some seconds. The platform's list never changes its content.
    fn run(&mut self, seconds: u64) {
        let list: Vec<Seed> =
            (0..6).map(|n| seed(n, 0, SeedState::Live)).collect();
        for _ in 0..seconds * 10 {
            self.now += TICK_INTERVAL;
            for index in 0..self.views.len() {
                let listed = self.views[index].list_version();
                let version = version(listed.number + 1);
                self.views[index].apply_seeds(self.now, version, &list);
                self.views[index].tick(self.now);
                let view = &mut self.views[index];
                if let Some(target) = view.next_probe(self.now, &mut self.rng)
                {
                    self.probe(index, &target);
                }
            }
        }
    }

    fn probe(&mut self, from: usize, target: &ProbeTarget) {
        let to = (0..6).find(|n| vm(*n) == target.name).unwrap();
        if !self.can_reach(from, to) {
            let view = &mut self.views[from];
            view.record_probe_failure(self.now, target, &mut self.rng);
            return;
        }
        let probe = self.views[from].heartbeat_for(&vm(to), TIMESTAMP);
        self.views[to].apply_heartbeat(self.now, &probe);
        let response = self.views[to].heartbeat_for(&vm(from), TIMESTAMP);
        self.views[from].record_probe_response(self.now, &response);
    }

    fn live(&self, index: usize) -> Vec<VmName> {
        self.views[index].live_in_zone(&zone(0))
    }
}

/// Guards against a partition whose sides don't find each other after it
/// heals, a list that keeps the unreachable side live, and a leaving member
/// that becomes ready again.
#[test]
fn partition_splits_and_heals() {
    let all: Vec<VmName> = (0..6).map(vm).collect();
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed);
        fleet.run(30);
        fleet.partition_index = 2;
        fleet.run(60);
        for index in 0..6 {
            let side = if index < 2 { &all[..2] } else { &all[2..] };
            assert_eq!(fleet.live(index), side, "seed {seed} daemon {index}");
        }
        let now = fleet.now;
        fleet.views[1].begin_leave(now);
        fleet.partition_index = 0;
        fleet.run(60);
        let without_vm_1 = [&all[..1], &all[2..]].concat();
        for index in 0..6 {
            assert_eq!(
                fleet.live(index),
                without_vm_1,
                "seed {seed} daemon {index}"
            );
            assert_eq!(state(&fleet.views[index], 1), MemberState::Leaving);
        }
    }
}

/// Guards against two daemons that are the only live ones in their zone,
/// consider each other dead, and rarely probe each other because many other
/// members have died.
#[test]
fn next_probe_alone_in_zone() {
    let now = Instant::now();
    let mut members = Members::new(identity(0, 5), now);
    for number in 1..40 {
        members.apply_update(now, &update(number, 5, 0, MemberState::Dead));
    }
    members.apply_seeds(now, version(1), &[seed(1, 0, SeedState::Live)]);
    let mut rng = SmallRng::seed_from_u64(1);
    let probed: Vec<VmName> = (0..5)
        .filter_map(|at| {
            let at = now + probe::ZONE_PROBE_INTERVAL * at;
            Some(members.next_probe(at, &mut rng)?.name)
        })
        .collect();
    assert!(probed.contains(&vm(1)), "{probed:?}");
}
