use std::time::{Duration, Instant};

use rand::{SeedableRng, rngs::SmallRng};

use super::*;
use crate::{
    ids::Incarnation,
    names::{VmName, ZoneName},
    timeline::HlcTimestamp,
};

const STAMP: HlcTimestamp = HlcTimestamp { unix_ms: 0, counter: 0 };

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

fn seed(number: usize, zone_number: usize, state: SeedState) -> Seed {
    let address = ([10, 0, 0, 1], 7_000).into();
    Seed { name: vm(number), address, zone: zone(zone_number), state }
}

fn said(
    number: usize,
    run: u64,
    sequence: u64,
    state: MemberState,
) -> MemberUpdate {
    let Identity { name, address, zone, incarnation } = identity(number, run);
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

/// A view of vm-0 on vm-1 to vm-3, of whose run 5 it heard.
fn members(now: Instant) -> Members {
    let mut members = Members::new(identity(0, 5), now);
    for number in 1..4 {
        members.apply_update(now, &said(number, 5, 0, MemberState::Ready));
    }
    members
}

fn state(members: &Members, number: usize) -> MemberState {
    members.get(&vm(number)).unwrap().state
}

/// Lets all probes of vm-1 fail and the suspicion run out.
fn kill_1(members: &mut Members, now: Instant) -> Instant {
    let mut rng = SmallRng::seed_from_u64(1);
    let target = ProbeTarget::of(members.get(&vm(1)).unwrap());
    let through = members.record_probe_failure(now, &target, &mut rng);
    assert_eq!(through.len(), 2);
    assert_eq!(members.record_indirect_probe_failure(now, &vm(1)), None);
    let change = members.record_indirect_probe_failure(now, &vm(1)).unwrap();
    assert_eq!(change.to, MemberState::Suspect);
    let now = now + SUSPECT_TIMEOUT;
    assert_eq!(members.tick(now)[0].to, MemberState::Dead);
    now
}

/// Guards against statements taken over in the wrong precedence: each row is
/// a statement on top of run 5, sequence 2, and the state afterwards.
#[test]
fn observe_follows_precedence() {
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
    for (before, (run, sequence, told), after) in rows {
        let mut members = Members::new(identity(0, 5), now);
        members.apply_update(now, &said(1, 5, 2, before));
        members.apply_update(now, &said(1, run, sequence, told));
        assert_eq!(state(&members, 1), after, "{before} {run} {told}");
    }
}

/// Guards against a leaving member that becomes ready by way of suspicion.
#[test]
fn observe_keeps_leaving_through_suspicion() {
    let now = Instant::now();
    let mut members = members(now);
    members.apply_update(now, &said(1, 5, 1, MemberState::Leaving));
    members.apply_update(now, &said(1, 5, 1, MemberState::Suspect));
    assert!(!members.live_in_zone(&zone(0)).contains(&vm(1)));
    members.apply_update(now, &said(1, 5, 2, MemberState::Ready));
    assert_eq!(state(&members, 1), MemberState::Leaving);
}

/// Guards against a lagging list that revives a member found dead, one that
/// leaves, or a forgotten one, and against an old list after a newer one.
#[test]
fn seed_never_revives() {
    let now = Instant::now();
    let mut members = members(now);
    members.apply_update(now, &said(2, 5, 1, MemberState::Leaving));
    let dead_at = kill_1(&mut members, now);
    let list: Vec<Seed> =
        (1..4).map(|n| seed(n, 0, SeedState::Live)).collect();
    assert_eq!(members.apply_seeds(dead_at, 3, &list), []);
    assert_eq!(state(&members, 1), MemberState::Dead);
    assert_eq!(state(&members, 2), MemberState::Leaving);

    // Dropped by version 4, the member is remembered, then forgotten; an
    // older version does not bring it back.
    members.apply_seeds(dead_at, 4, &list[1..]);
    members.tick(dead_at + DEAD_RETENTION / 2);
    assert_eq!(members.apply_seeds(dead_at, 5, &list), []);
    assert_eq!(state(&members, 1), MemberState::Dead);
    members.apply_seeds(dead_at, 6, &list[1..]);
    members.tick(dead_at + DEAD_RETENTION);
    assert_eq!(members.get(&vm(1)), None);
    assert_eq!(members.apply_seeds(dead_at, 5, &list), []);
}

/// Guards against a lagging list that withdraws a member that answers, or
/// sends probes to the address of an earlier run.
#[test]
fn seed_yields_to_first_word() {
    let now = Instant::now();
    let mut members = members(now);
    let mut old = seed(1, 0, SeedState::Leaving);
    old.address = ([10, 0, 0, 9], 7_000).into();
    let before = members.get(&vm(1)).unwrap().address;
    assert_eq!(members.apply_seeds(now, 1, &[old]), []);
    assert_eq!(state(&members, 1), MemberState::Ready);
    assert_eq!(members.get(&vm(1)).unwrap().address, before);
}

/// Guards against a member known only from the list that stays alive
/// without ever answering, or that the next list revives.
#[test]
fn seed_is_probed_to_death() {
    let now = Instant::now();
    let mut members = Members::new(identity(0, 5), now);
    members.apply_seeds(now, 1, &[seed(1, 0, SeedState::Live)]);
    let target = members.next_probe(now, &mut SmallRng::seed_from_u64(1));
    let target = target.unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(members.record_probe_failure(now, &target, &mut rng), []);
    assert_eq!(members.tick(now)[0].to, MemberState::Suspect);
    members.tick(now + SUSPECT_TIMEOUT);
    members.apply_seeds(now, 2, &[seed(1, 0, SeedState::Live)]);
    assert_eq!(state(&members, 1), MemberState::Dead);
    // Its first word makes it live.
    members.apply_update(now, &said(1, 5, 0, MemberState::Ready));
    assert_eq!(state(&members, 1), MemberState::Ready);
}

/// Guards against a wrongly accused member that cannot clear itself, and
/// against two runs of one VM that both go on.
#[test]
fn observe_refutes_own_suspicion() {
    let now = Instant::now();
    let mut accused = Members::new(identity(1, 5), now);
    let mut peer = members(now);
    let now = kill_1(&mut peer, now);
    let probe = peer.heartbeat_for(&vm(1), STAMP);
    let observed = accused.apply_heartbeat(now, &probe);
    assert!(observed.contains(&UpdateOutcome::Refuted));
    let answer = accused.heartbeat_for(&vm(0), STAMP);
    peer.record_probe_response(now, &answer);
    assert_eq!(state(&peer, 1), MemberState::Ready);

    let past = said(1, 4, 9, MemberState::Dead);
    assert_eq!(accused.apply_update(now, &past), UpdateOutcome::Stale);
    let later = said(1, 6, 0, MemberState::Ready);
    let superseded = UpdateOutcome::Superseded(Incarnation(6));
    assert_eq!(accused.apply_update(now, &later), superseded);
}

/// Guards against a suspicion despite an answer through a peer, one about a
/// run that was replaced meanwhile, and a lost reply that blocks detection.
#[test]
fn probe_failed_needs_all_probes() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut members = members(now);
    let target = ProbeTarget::of(members.get(&vm(1)).unwrap());
    let through = members.record_probe_failure(now, &target, &mut rng);
    assert!(through.iter().all(|t| t.name != vm(1) && t.name != vm(0)));
    let mut peer = Members::new(identity(1, 5), now);
    members.record_probe_response(now, &peer.heartbeat_for(&vm(0), STAMP));
    assert_eq!(members.tick(now + INDIRECT_PROBE_TIMEOUT), []);

    members.record_probe_failure(now, &target, &mut rng);
    members.apply_update(now, &said(1, 6, 0, MemberState::Ready));
    assert_eq!(members.tick(now + INDIRECT_PROBE_TIMEOUT), []);
    assert_eq!(members.record_probe_failure(now, &target, &mut rng), []);

    let target = ProbeTarget::of(members.get(&vm(1)).unwrap());
    members.record_probe_failure(now, &target, &mut rng);
    let changes = members.tick(now + INDIRECT_PROBE_TIMEOUT);
    assert_eq!(changes[0].to, MemberState::Suspect);
}

/// Guards against members declared dead because this process was paused.
#[test]
fn resume_after_pause_restarts_timers() {
    let now = Instant::now();
    let mut members = members(now);
    members.apply_update(now, &said(1, 5, 0, MemberState::Suspect));
    let woken = now + Duration::from_mins(1);
    members.resume_after_pause(woken);
    assert_eq!(members.tick(woken), []);
    assert_eq!(members.tick(woken + SUSPECT_TIMEOUT).len(), 1);
}

/// Guards against probes at the wrong rate or zone, a burst after a pause,
/// and dead members that are never tried again after a partition.
#[test]
fn next_probe_keeps_rates() {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut members = members(start);
    members.apply_seeds(start, 1, &[seed(9, 1, SeedState::Live)]);
    members.apply_update(start, &said(3, 5, 0, MemberState::Dead));
    let mut counts = [0_u32; 3];
    for tenth in 0..1_000 {
        let now = start + Duration::from_millis(100) * tenth;
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
    let woken = start + Duration::from_mins(10);
    let burst = (0..9).filter_map(|_| members.next_probe(woken, &mut rng));
    assert_eq!(burst.count(), 2);
}

/// Guards against messages or a queue that grow without bound, updates sent
/// for ever, and an old update sent before a newer one.
#[test]
fn heartbeat_bounds_updates() {
    let now = Instant::now();
    let mut members = Members::new(identity(0, 5), now);
    for number in 1..200 {
        members.apply_update(now, &said(number, 5, 0, MemberState::Ready));
    }
    let first = members.heartbeat_for(&vm(0), STAMP).updates;
    let names: Vec<VmName> = first.into_iter().map(|u| u.name).collect();
    assert_eq!(names, [vm(199), vm(198), vm(197), vm(196)]);
    let mut sent = MAX_UPDATES_PER_MESSAGE;
    loop {
        let updates = members.heartbeat_for(&vm(0), STAMP).updates.len();
        assert!(updates <= MAX_UPDATES_PER_MESSAGE);
        sent += updates;
        if updates == 0 {
            break;
        }
    }
    let bounds = MAX_QUEUED_UPDATES..=24 * MAX_QUEUED_UPDATES;
    assert!(bounds.contains(&sent), "{sent}");
}

/// Guards against news of a death that waits behind, or is dropped for, the
/// first words of listed members while a fleet starts.
#[test]
fn heartbeat_prefers_changes() {
    let now = Instant::now();
    let mut members = Members::new(identity(0, 5), now);
    let list: Vec<Seed> =
        (1..200).map(|n| seed(n, 0, SeedState::Live)).collect();
    members.apply_seeds(now, 1, &list);
    let first_words = |members: &mut Members, numbers| {
        for number in numbers {
            members.apply_update(now, &said(number, 5, 0, MemberState::Ready));
        }
    };
    first_words(&mut members, 1..100);
    let dead = said(1, 5, 0, MemberState::Dead);
    members.apply_update(now, &dead);
    first_words(&mut members, 100..200);
    let updates = members.heartbeat_for(&vm(0), STAMP).updates;
    assert_eq!(updates[0], dead);
    assert_eq!(updates.len(), MAX_UPDATES_PER_MESSAGE);
}

/// Guards against a restart whose incarnation is lower than before.
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

/// Guards against a planned stop that peers cannot see or that is undone.
#[test]
fn leave_reaches_peers() {
    let now = Instant::now();
    let mut leaving = Members::new(identity(1, 5), now);
    let mut peer = members(now);
    leaving.begin_leave(now);
    peer.apply_heartbeat(now, &leaving.heartbeat_for(&vm(0), STAMP));
    assert_eq!(state(&peer, 1), MemberState::Leaving);
    assert_eq!(peer.live_in_zone(&zone(0)), [vm(0), vm(2), vm(3)]);
    peer.apply_update(now, &said(1, 5, 1, MemberState::Dead));
    leaving.apply_heartbeat(now, &peer.heartbeat_for(&vm(1), STAMP));
    peer.apply_heartbeat(now, &leaving.heartbeat_for(&vm(0), STAMP));
    assert_eq!(state(&peer, 1), MemberState::Leaving);
}

/// Six daemons that probe each other; a probe across a cut fails at once.
struct Fleet {
    now: Instant,
    views: Vec<Members>,
    rng: SmallRng,
    /// Daemons below this number can't reach the others.
    cut: usize,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let now = Instant::now();
        let views = (0..6).map(|n| Members::new(identity(n, 5), now));
        let rng = SmallRng::seed_from_u64(seed);
        Fleet { now, views: views.collect(), rng, cut: 0 }
    }

    fn reach(&self, a: usize, b: usize) -> bool {
        (a < self.cut) == (b < self.cut)
    }

    /// Runs for some seconds with a list that never changes its content.
    fn run(&mut self, seconds: u64) {
        let list: Vec<Seed> =
            (0..6).map(|n| seed(n, 0, SeedState::Live)).collect();
        for _ in 0..seconds * 10 {
            self.now += TICK_INTERVAL;
            for at in 0..self.views.len() {
                let version = self.views[at].list_version() + 1;
                self.views[at].apply_seeds(self.now, version, &list);
                self.views[at].tick(self.now);
                let view = &mut self.views[at];
                if let Some(target) = view.next_probe(self.now, &mut self.rng)
                {
                    self.probe(at, &target);
                }
            }
        }
    }

    fn probe(&mut self, from: usize, target: &ProbeTarget) {
        let to = (0..6).find(|n| vm(*n) == target.name).unwrap();
        if !self.reach(from, to) {
            let view = &mut self.views[from];
            view.record_probe_failure(self.now, target, &mut self.rng);
            return;
        }
        let probe = self.views[from].heartbeat_for(&vm(to), STAMP);
        self.views[to].apply_heartbeat(self.now, &probe);
        let answer = self.views[to].heartbeat_for(&vm(from), STAMP);
        self.views[from].record_probe_response(self.now, &answer);
    }

    fn live(&self, at: usize) -> Vec<VmName> {
        self.views[at].live_in_zone(&zone(0))
    }
}

/// Guards against a partition whose sides never find each other again,
/// whose list keeps the lost side alive, or that revives a leaving member.
#[test]
fn partition_splits_and_heals() {
    let all: Vec<VmName> = (0..6).map(vm).collect();
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed);
        fleet.run(30);
        fleet.cut = 2;
        fleet.run(60);
        for at in 0..6 {
            let side = if at < 2 { &all[..2] } else { &all[2..] };
            assert_eq!(fleet.live(at), side, "seed {seed} daemon {at}");
        }
        let now = fleet.now;
        fleet.views[1].begin_leave(now);
        fleet.cut = 0;
        fleet.run(60);
        let without_1 = [&all[..1], &all[2..]].concat();
        for at in 0..6 {
            assert_eq!(fleet.live(at), without_1, "seed {seed} daemon {at}");
            assert_eq!(state(&fleet.views[at], 1), MemberState::Leaving);
        }
    }
}

/// Guards against two daemons that are alone in their zone, hold each other to
/// be dead, and find each other only by chance among all that died before.
#[test]
fn next_probe_alone_in_zone() {
    let now = Instant::now();
    let mut members = Members::new(identity(0, 5), now);
    for number in 1..40 {
        members.apply_update(now, &said(number, 5, 0, MemberState::Dead));
    }
    members.apply_seeds(now, 1, &[seed(1, 0, SeedState::Live)]);
    let mut rng = SmallRng::seed_from_u64(1);
    let probed: Vec<VmName> = (0..5)
        .filter_map(|at| {
            let at = now + probe::ZONE_PROBE_INTERVAL * at;
            Some(members.next_probe(at, &mut rng)?.name)
        })
        .collect();
    assert!(probed.contains(&vm(1)), "{probed:?}");
}
