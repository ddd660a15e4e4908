mod crashes;

use super::{simulation::Fleet, *};

fn member(name: &str, zone: &str, incarnation: u64) -> Member {
    let address = "127.0.0.1:1".parse().unwrap();
    Member::new(name, zone, address, incarnation)
}

/// Daemons and zones of the users' deployments.
const SIZES: [(usize, usize); 3] = [(30, 3), (195, 6), (300, 6)];

/// Guards against daemons of one zone that choose different coordinators while
/// nothing changes: their calls compete for servers with one slot. With
/// counters that had to arrive from all members in time, 7.7% of 195 and 19.4%
/// of 300 daemons chose another one.
#[test]
fn duty_holder_agreed_when_stable() {
    for (daemons, zones) in SIZES {
        let mut fleet = Fleet::new(daemons, zones, 1);
        fleet.loss = 0.02;
        fleet.slow_down_some(0.2);
        fleet.run(20);
        let agreement = fleet.run(120);
        assert_eq!(agreement.falsely_dead, 0, "of {daemons}");
        let wrong = agreement.wrong_share();
        assert!(wrong <= 0.002, "{wrong} of {daemons}");
    }
}

/// Guards against slow discovery after all processes were restarted at once.
#[test]
fn duty_holder_agreed_after_start() {
    for (daemons, zones) in SIZES {
        let mut fleet = Fleet::new(daemons, zones, 2);
        fleet.run(6);
        let agreement = fleet.run(4);
        let wrong = agreement.wrong_share();
        assert!(wrong <= 0.01, "{wrong} of {daemons} after 3 s");
        // Each daemon receives the entry of each other one a few times at
        // most.
        let sent = fleet.sent_members / (daemons * daemons);
        assert!(sent <= 4, "{sent} times");
    }
}

/// Guards against duties that stay with processes that have ended, or that
/// don't return to a restarted one.
#[test]
fn duty_holder_follows_restarts() {
    for (daemons, zones) in SIZES {
        let mut fleet = Fleet::with_known_members(daemons, zones, 3);
        fleet.loss = 0.02;
        fleet.run(4);
        for zone in 0..zones {
            let holder = fleet.expected_holder(zone);
            fleet.kill(holder);
            fleet.run(8);
            let ended = fleet.agreement();
            assert_eq!(ended.wrong, 0, "of {daemons} 4 s after an end");
            fleet.restart(holder);
            fleet.run(8);
            let started = fleet.agreement();
            assert_eq!(started.wrong, 0, "of {daemons} 4 s after a start");
        }
    }
}

/// Guards against a duty that stays with a machine without power, also when no
/// daemon has sent a request to it.
#[test]
fn duty_holder_replaced_after_power_loss() {
    for (daemons, zones) in SIZES {
        let mut fleet = Fleet::with_known_members(daemons, zones, 4);
        let holder = fleet.expected_holder(0);
        fleet.set_isolated(holder, true);
        fleet.run(16);
        assert_eq!(fleet.agreement().wrong, 0, "of {daemons} after 8 s");
    }
}

/// Guards against a formerly isolated machine whose wrong suspicions of others
/// move their duties.
#[test]
fn duty_holder_kept_when_isolated_machine_returns() {
    for (daemons, zones) in SIZES {
        let mut fleet = Fleet::with_known_members(daemons, zones, 5);
        let isolated = fleet.expected_holder(0) + zones;
        let isolated =
            if isolated < daemons { isolated } else { isolated - 2 * zones };
        fleet.set_isolated(isolated, true);
        fleet.run(24);
        let now = fleet.now();
        let isolated_table = fleet.table(isolated);
        assert_eq!(
            isolated_table.live_in_zone(now).len(),
            1,
            "an isolated daemon sees only itself"
        );
        fleet.set_isolated(isolated, false);
        let agreement = fleet.run(10);
        let wrong = agreement.wrong_share();
        // Only the machine itself may be wrong until it is heard from again.
        let one_daemon = 1.0 / f64::from(u32::try_from(daemons).unwrap());
        assert!(wrong <= one_daemon, "{wrong} of {daemons}");
        assert_eq!(fleet.run(4).wrong, 0, "of {daemons}");
    }
}

/// Returns the holder of the duty "d" near zone "z" in the view of a daemon.
fn holder_of(table: &PeerTable, now: Instant) -> &str {
    &table.duty_holder(now, "d", "z", &|_| true).unwrap().name
}

/// Returns the tables of three daemons of zone "z" that know each other. The
/// first one is the first in rendezvous order for the duty "d".
fn three_connected(now: Instant) -> [PeerTable; 3] {
    let names = rendezvous::order("d", ["a", "b", "c"]);
    let members = [0, 1, 2].map(|at| member(names[at], "z", 1));
    members.clone().map(|me| {
        let mut table = PeerTable::new(me);
        table.merge(now, &members);
        table
    })
}

/// Guards against a duty that moves back to a restarted daemon while its
/// replacement still works: the calls of both compete for servers with one
/// slot.
#[test]
fn claimed_duty_stays_after_restart() {
    let now = Instant::now();
    let [first, mut second, mut third] = three_connected(now);
    assert_eq!(holder_of(&third, now), &*first.local_member().name);
    second.mark_dead(now, first.local_member());
    second.claim_duty(now, "d");
    let back = member(&first.local_member().name, "z", 2);
    second.record_contact(now, &back);
    third.record_contact(now, &back);
    third.record_contact(now, second.local_member());
    let mut restarted = PeerTable::new(back);
    restarted.merge(
        now,
        &[second.local_member().clone(), third.local_member().clone()],
    );
    for table in [&second, &third, &restarted] {
        assert_eq!(holder_of(table, now), &*second.local_member().name);
    }
}

/// Guards against a duty that stays in a zone that may not keep it, or with a
/// daemon that shuts down.
#[test]
fn claimed_duty_moves_when_required() {
    let now = Instant::now();
    let [first, mut second, mut third] = three_connected(now);
    second.claim_duty(now, "d");
    third.record_contact(now, second.local_member());
    assert_eq!(holder_of(&third, now), &*second.local_member().name);
    let moved = third.duty_holder(now, "d", "z", &|_| false);
    assert_eq!(moved.unwrap().name, first.local_member().name);
    second.leave();
    third.record_contact(now, second.local_member());
    assert_eq!(holder_of(&third, now), &*first.local_member().name);
    assert_eq!(holder_of(&second, now), &*first.local_member().name);
}

/// Guards against two daemons that have both claimed a duty and keep it.
#[test]
fn claimed_duty_settles_on_one() {
    let now = Instant::now();
    let [mut first, mut second, mut third] = three_connected(now);
    first.claim_duty(now, "d");
    second.claim_duty(now, "d");
    first.record_contact(now, second.local_member());
    second.record_contact(now, first.local_member());
    third.merge(
        now,
        &[first.local_member().clone(), second.local_member().clone()],
    );
    for table in [&first, &second, &third] {
        assert_eq!(holder_of(table, now), &*first.local_member().name);
    }
    second.release_duty("d");
    assert!(second.local_member().duties.is_empty());
    third.record_contact(now, second.local_member());
    assert!(second.local_member().is_newer_than(&member(
        &second.local_member().name,
        "z",
        1
    )));
}

/// Guards against a formerly isolated machine that takes its duties back from
/// the daemon that did them in the meantime.
#[test]
fn claimed_duty_lost_when_isolated() {
    let mut now = Instant::now();
    let [mut first, mut second, third] = three_connected(now);
    first.tick(now);
    first.claim_duty(now, "d");
    second.record_contact(now, first.local_member());
    now += ISOLATION_TIMEOUT;
    first.claim_duty(now, "e");
    assert_eq!(
        first.local_member().duties,
        [DutyId::of("d")],
        "an isolated daemon claims no duty"
    );
    let mut dead = first.local_member().clone();
    dead.state = MemberState::Dead;
    second.merge(now, std::slice::from_ref(&dead));
    second.record_contact(now, third.local_member());
    second.claim_duty(now, "d");
    first.record_contact(now, second.local_member());
    first.merge(now, &[dead]);
    second.record_contact(now, first.local_member());
    for table in [&first, &second] {
        assert_eq!(holder_of(table, now), &*second.local_member().name);
    }
}

/// Guards against a network partition between zones that moves duties within a
/// zone, and against a coordinator on the other side that counts as live.
#[test]
fn partitioned_zone_keeps_its_duties() {
    let mut fleet = Fleet::with_known_members(195, 6, 6);
    let holder = fleet.expected_holder(1);
    let name = Arc::clone(&fleet.table(holder).local_member().name);
    let send_heartbeat = |fleet: &mut Fleet| {
        let now = fleet.now();
        fleet.table_mut(holder).record_own_heartbeat(now, 40);
    };
    for _ in 0..12 {
        send_heartbeat(&mut fleet);
        fleet.run(1);
    }
    let known_wait = |fleet: &Fleet| {
        let now = fleet.now();
        fleet.table(0).stage_wait(now, &name)
    };
    assert_eq!(known_wait(&fleet), Some(Duration::from_millis(40)));
    fleet.partitioned_zone = Some(1);
    for _ in 0..24 {
        send_heartbeat(&mut fleet);
        assert_eq!(fleet.run(1).wrong, 0);
    }
    assert_eq!(known_wait(&fleet), None);
    fleet.partitioned_zone = None;
    for _ in 0..12 {
        send_heartbeat(&mut fleet);
        assert_eq!(fleet.run(1).wrong, 0);
    }
    assert!(known_wait(&fleet).is_some());
}

/// Guards against messages that grow with the fleet, and against comparisons
/// of whole zones while nothing changes.
#[test]
fn message_to_bounded() {
    let now = Instant::now();
    let all: Vec<Member> = (0..2_500)
        .map(|at| member(&format!("vm-{at}"), &format!("z{}", at % 12), 1))
        .collect();
    let mut tables = [0, 1].map(|at: usize| {
        let mut table = PeerTable::new(all[at].clone());
        table.merge(now, &all);
        table
    });
    assert_eq!(tables[0].peak_live_count(), 2_500);
    assert!(
        tables[0].message_to(now, None).updates.len() <= MAX_MEMBER_UPDATES
    );
    let later = now + Duration::from_secs(6);
    let message = tables[0].message_to(later, None);
    assert_eq!((message.digests.len(), message.updates.len()), (12, 0));
    tables[1].apply_message(later, &message);
    assert!(tables[1].differing_zones(&message).is_empty());
    for changed in [13, 14] {
        let changed = all[changed].clone();
        tables[1].merge(later, &[Member { sequence: 1, ..changed }]);
    }
    // The sender is in another zone, so a third zone is not compared with it.
    assert_eq!(tables[1].differing_zones(&message), [Arc::from("z1")]);
    let summary = tables[0].summarize(vec![Arc::from("z1")]);
    let difference = tables[1].compare(&summary);
    assert_eq!(difference.members.len(), 1);
}

/// Guards against a daemon that keeps its duties while it shuts down.
#[test]
fn leave_releases_duties() {
    let mut fleet = Fleet::with_known_members(30, 3, 8);
    let holder = fleet.expected_holder(0);
    fleet.leave(holder);
    fleet.run(6);
    assert_eq!(fleet.agreement().wrong, 0);
}

/// Guards against daemons that were themselves paused and then declare others
/// dead.
#[test]
fn tick_after_pause() {
    let now = Instant::now();
    let mut table = PeerTable::new(member("me", "a", 1));
    let other = member("other", "a", 1);
    table.merge(now, std::slice::from_ref(&other));
    table.record_contact(now, &other);
    table.tick(now);
    table.mark_suspect(now, &other).unwrap();
    let later = now + SUSPECT_TIMEOUT * 2;
    assert!(table.tick(later).is_empty());
    assert!(!table.is_isolated(later));
    assert_eq!(table.live(later).count(), 2);
}

/// Guards against a slow member that loses its duties: as a suspect it keeps
/// them, and its own message clears the suspicion.
#[test]
fn suspect_refutes() {
    let now = Instant::now();
    let mut observer = PeerTable::new(member("me", "a", 1));
    let slow = member("slow", "a", 1);
    observer.merge(now, std::slice::from_ref(&slow));
    let mut table = PeerTable::new(slow.clone());
    observer.mark_suspect(now, &slow).unwrap();
    assert_eq!(observer.live_peers(now).count(), 1);
    let message = observer.message_to(now, Some(table.local_member()));
    table.apply_message(now, &message);
    observer.apply_message(now, &table.message_to(now, None));
    let later = now + SUSPECT_TIMEOUT;
    assert!(observer.tick(later).is_empty());
}

/// Guards against a suspicion raised by a daemon that reaches nobody, or
/// against a member of another zone.
#[test]
fn indirect_probers_only_in_zone() {
    let now = Instant::now();
    let mut random = rand::rng();
    let mut table = PeerTable::new(member("me", "a", 1));
    let (near, far) = (member("near", "a", 1), member("far", "b", 1));
    table.merge(now, &[near.clone(), far.clone(), member("far2", "b", 1)]);
    assert!(table.indirect_probers(now, &near, &mut random).is_empty());
    assert!(table.indirect_probers(now, &far, &mut random).is_empty());
    assert!(table.mark_suspect(now, &far).is_none());
    table.merge(now, &[member("third", "a", 1)]);
    assert_eq!(table.indirect_probers(now, &near, &mut random).len(), 1);
}

/// Guards against a dead member that an old entry brings back.
#[test]
fn merge_old_entry() {
    let start = Instant::now();
    let mut table = PeerTable::new(member("me", "a", 1));
    let other = member("other", "a", 1);
    table.merge(start, std::slice::from_ref(&other));
    table.mark_suspect(start, &other).unwrap();
    let mut now = start;
    while now < start + SUSPECT_TIMEOUT {
        now += PAUSE_THRESHOLD;
        table.tick(now);
    }
    table.merge(now, &[other]);
    assert_eq!(table.live_peers(now).count(), 0);
}

/// Guards against a restarted peer that is ignored because its sequence is
/// lower.
#[test]
fn merge_new_incarnation() {
    let now = Instant::now();
    let mut table = PeerTable::new(member("me", "a", 1));
    let mut old = member("other", "a", 1);
    old.sequence = 100;
    old.state = MemberState::Leaving;
    table.merge(now, &[old]);
    assert_eq!(table.live_peers(now).count(), 0);
    table.merge(now, &[member("other", "a", 2)]);
    assert_eq!(table.live_peers(now).count(), 1);
}

/// Guards against a restarted daemon that is ignored because its wall clock
/// was set back.
#[test]
fn merge_own_earlier_incarnation() {
    let now = Instant::now();
    let mut table = PeerTable::new(member("me", "a", 5));
    table.merge(now, &[member("me", "a", 9)]);
    assert_eq!(table.local_member().incarnation, 10);
    let mut peer = PeerTable::new(member("other", "a", 1));
    let mut earlier = member("me", "a", 9);
    peer.merge(now, std::slice::from_ref(&earlier));
    earlier.state = MemberState::Dead;
    peer.merge(now, &[earlier]);
    peer.record_contact(now, &member("me", "a", 5));
    assert_eq!(peer.live_peers(now).count(), 1);
}

/// Guards against duties that stay with a peer that doesn't respond, and
/// against a zone without daemons whose duty nobody holds.
#[test]
fn duty_holder_changes() {
    let now = Instant::now();
    let mut table = PeerTable::new(member("me", "a", 1));
    table.merge(now, &[member("b1", "b", 1), member("b2", "b", 1)]);
    let first =
        table.duty_holder(now, "d", "b", &|_| true).unwrap().name.clone();
    assert_ne!(&*first, "me");
    table.mark_unreachable(now, &first);
    let second = table.duty_holder(now, "d", "b", &|_| true).unwrap().clone();
    assert_ne!(first, second.name);
    assert_ne!(&*second.name, "me");
    assert!(table.duty_holder(now, "d", "c", &|_| true).is_some());
    let named = member(&first, "b", 1);
    table.mark_reachable(now, &named);
    assert_eq!(
        table.duty_holder(now, "d", "b", &|_| true).unwrap().name,
        first
    );
}

/// Guards against all requests going to one busy cell because other daemons
/// don't know its wait.
#[test]
fn heartbeat_carries_stage_wait() {
    let now = Instant::now();
    let mut busy = PeerTable::new(member("busy", "a", 1));
    let mut table = PeerTable::new(member("me", "b", 1));
    busy.record_own_heartbeat(now, 700);
    table.apply_message(now, &busy.message_to(now, None));
    let wait = |table: &PeerTable| table.stage_wait(now, "busy");
    assert_eq!(wait(&table), Some(Duration::from_millis(700)));
    table.record_stage_wait(now, "busy", 40);
    assert_eq!(wait(&table), Some(Duration::from_millis(40)));
}
