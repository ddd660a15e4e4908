//! Tests of what the daemons of a fleet know of crashes.

use std::time::Duration;

use crate::fleet::{
    crash_tracker::{CrashTracker, Feature, ServerIncarnation},
    peers::simulation::{Fleet, STEP},
};

/// The requests that are at a server when it crashes, besides the one that
/// crashed it.
const VICTIMS: u64 = 30;

/// Guards against crashes that each of hundreds of daemons learns too late, or
/// not at all because the many other requests at the servers fill the
/// messages. The users' bound is 4 s in zones of up to 32 daemons.
#[test]
fn crash_notices_reach_all_in_time() {
    for (daemons, zones) in [(9, 3), (75, 6), (195, 6), (300, 6)] {
        let mut fleet = Fleet::with_known_members(daemons, zones, 5);
        fleet.loss = 0.02;
        fleet.run(20);
        let bad = Feature::prompt_part("bad", 1);
        for crash in 0..3 {
            let at = |request: u64| {
                usize::try_from(crash * 37 + request * 7).unwrap() % daemons
            };
            let server = ServerIncarnation::of("s", crash);
            for victim in 1..VICTIMS {
                let body = (crash * VICTIMS + victim).to_le_bytes();
                let part = format!("part of {crash} {victim}");
                let features = [
                    Feature::whole_request("/a", None, &body),
                    Feature::prompt_part(&part, 0),
                ];
                fleet.record_crash(at(victim), &features, server);
            }
            fleet.record_crash(at(0), &[bad], server);
            fleet.run(1);
        }
        let crashed_at = fleet.now();
        let refused_by_all = |fleet: &Fleet| {
            let now = fleet.now();
            fleet
                .crash_trackers()
                .all(|t| t.refused_for(now, &[bad]).is_some())
        };
        while !refused_by_all(&fleet) {
            fleet.step();
            let elapsed = fleet.now().duration_since(crashed_at);
            assert!(elapsed <= Duration::from_secs(4), "of {daemons}");
        }
        let elapsed = fleet.now().duration_since(crashed_at);
        println!("{daemons} daemons: {elapsed:?}");
    }
}

/// A fleet in which a feature has crashed three servers and the news of it is
/// over.
struct CrashedFleet {
    fleet: Fleet,
    bad: Feature,
    /// A feature that was at the same crashes and was survived since.
    sound: Feature,
}

/// The time after its start, or after a cut, from which the users' rules hold
/// for a daemon.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// The bytes a second that a daemon may spend on all control messages.
const CONTROL_BYTES_PER_S: f64 = 12_000.0;

impl CrashedFleet {
    fn new(daemons: usize, zones: usize) -> CrashedFleet {
        let mut fleet = Fleet::with_known_members(daemons, zones, 7);
        fleet.loss = 0.02;
        fleet.set_crashes_synced();
        fleet.run(8);
        let bad = Feature::prompt_part("bad", 1);
        let sound = Feature::prompt_part("popular", 0);
        let mut crashed = CrashedFleet { fleet, bad, sound };
        crashed.crash("a");
        crashed.fleet.run(12);
        crashed
    }

    /// Lets requests of three daemons crash servers, one of which then
    /// survives a request that shares a feature.
    fn crash(&mut self, server: &str) {
        for at in 0..3 {
            let born_ms = u64::try_from(at).unwrap();
            let server = ServerIncarnation::of(server, born_ms);
            let features = [self.bad, self.sound];
            self.fleet.record_crash(at, &features, server);
            self.fleet.run(1);
        }
        self.fleet.record_survival(0, &[self.sound]);
    }

    /// Checks that each of some daemons refuses what it should, and nothing
    /// else.
    fn check(&self, at: impl Iterator<Item = usize>, case: &str) {
        let now = self.fleet.now();
        let trackers: Vec<&CrashTracker> =
            self.fleet.crash_trackers().collect();
        for at in at {
            let refuses =
                |feature| trackers[at].refused_for(now, &[feature]).is_some();
            assert!(refuses(self.bad), "{case}: {at} doesn't refuse");
            assert!(!refuses(self.sound), "{case}: {at} refuses a sound one");
        }
    }

    /// Restarts all daemons in turn, `at_a_time` of them each `gap_steps`, and
    /// checks those that have run for long enough.
    fn roll(&mut self, at_a_time: usize, gap_steps: usize, case: &str) {
        let daemons = self.fleet.crash_trackers().count();
        let contact_steps =
            usize::try_from(CONTACT_TIME.as_millis() / STEP.as_millis());
        let contact_steps = contact_steps.unwrap();
        let mut started_at = vec![None; daemons];
        let turns = daemons.div_ceil(at_a_time);
        for step in 0..turns * gap_steps + contact_steps {
            if step % gap_steps == 0 {
                let first = step / gap_steps * at_a_time;
                let restarted = started_at.iter_mut().enumerate();
                for (at, started_at) in restarted.skip(first).take(at_a_time) {
                    self.fleet.restart(at);
                    *started_at = Some(step);
                }
            }
            self.fleet.step();
            let in_touch = (0..daemons).filter(|&at| {
                started_at[at].is_none_or(|at| step >= at + contact_steps)
            });
            self.check(in_touch, case);
        }
    }
}

/// Guards against daemons that are stopped and started in turn and forget
/// which requests crash servers, when the news of the crashes is over.
#[test]
fn rolled_daemons_refuse_crashing() {
    let cases = [
        ("quick", 5, 3, 1, 10, 2),
        ("slow", 9, 3, 1, 64, 1),
        ("quick", 75, 6, 1, 2, 2),
        ("in groups", 300, 6, 30, 20, 1),
    ];
    for (name, daemons, zones, at_a_time, gap_steps, rolls) in cases {
        let case = format!("{name}, {daemons} daemons");
        let mut crashed = CrashedFleet::new(daemons, zones);
        let start = crashed.fleet.now();
        for _ in 0..rolls {
            crashed.roll(at_a_time, gap_steps, &case);
        }
        let elapsed = crashed.fleet.now().duration_since(start);
        let count = f64::from(u32::try_from(daemons).unwrap());
        let bytes = u32::try_from(crashed.fleet.crash_bytes).unwrap();
        let bytes_per_s = f64::from(bytes) / count / elapsed.as_secs_f64();
        println!("{case}: {bytes_per_s:.1} bytes a daemon and second");
        assert!(bytes_per_s < CONTROL_BYTES_PER_S / 100.0, "{case}");
    }
}

/// Guards against a daemon that was cut off or suspended while a request
/// crashed servers, and sends it after the news of that is over.
#[test]
fn daemon_back_from_cut_refuses_crashing() {
    for (daemons, zones) in [(9, 3), (75, 6), (300, 6)] {
        let mut crashed = CrashedFleet::new(daemons, zones);
        crashed.bad = Feature::prompt_part("worse", 1);
        crashed.sound = Feature::prompt_part("other", 0);
        let cut_off = daemons - 1;
        crashed.fleet.set_isolated(cut_off, true);
        crashed.crash("b");
        crashed.fleet.run(20);
        crashed.fleet.set_isolated(cut_off, false);
        crashed.fleet.run(8);
        crashed.check(0..daemons, &format!("{daemons} daemons"));
    }
}

/// Guards against a zone that was cut off while a request crashed servers
/// elsewhere, and sends it after the news of that is over.
#[test]
fn zone_back_from_cut_refuses_crashing() {
    for (daemons, zones) in [(9, 3), (75, 6), (300, 6)] {
        let mut crashed = CrashedFleet::new(daemons, zones);
        crashed.bad = Feature::prompt_part("worse", 1);
        crashed.sound = Feature::prompt_part("other", 0);
        crashed.fleet.partitioned_zone = Some(zones - 1);
        crashed.crash("b");
        crashed.fleet.run(20);
        crashed.fleet.partitioned_zone = None;
        crashed.fleet.run(8);
        crashed.check(0..daemons, &format!("{daemons} daemons"));
    }
}

/// Guards against a daemon that was cut off when a feature was found sound,
/// and goes on refusing it, or makes the others refuse it again.
#[test]
fn daemon_back_from_cut_learns_clearance() {
    let mut crashed = CrashedFleet::new(9, 3);
    let cut_off = 8;
    let now = crashed.fleet.now();
    let refuses = |crashed: &CrashedFleet, at| {
        let now = crashed.fleet.now();
        let tracker = crashed.fleet.crash_trackers().nth(at).unwrap();
        tracker.refused_for(now, &[crashed.bad]).is_some()
    };
    crashed.fleet.set_isolated(cut_off, true);
    crashed.fleet.record_survival(0, &[crashed.bad]);
    crashed.fleet.run(80);
    assert!(refuses(&crashed, cut_off));
    crashed.fleet.set_isolated(cut_off, false);
    crashed.fleet.run(8);
    assert!(crashed.fleet.now() < now + Duration::from_mins(1));
    assert!((0..9).all(|at| !refuses(&crashed, at)));
}
