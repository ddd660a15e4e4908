//! Simulates a fleet of peer tables that exchange messages without a network.
//!
//! Time advances in rounds of four steps. A daemon sends a message in the
//! first step after the interval that its table returns. Messages and
//! responses may be lost, and machines may be slow, cut off or restarted.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    fleet::crash_tracker::{
        CrashNotice, CrashTracker, Feature, ServerIncarnation,
    },
    membership::MemberState,
    rendezvous,
    sorted::SortedMap,
};

use super::{GossipTarget, Member, PeerTable};

/// The simulated time of one step.
pub(super) const STEP: Duration = Duration::from_millis(125);

/// The steps of a round.
const ROUND_STEPS: u32 = 4;

/// Number of daemons that serve as seeds.
const SEEDS: usize = 3;

/// One daemon.
struct Daemon {
    member: Member,
    /// `None` while the process does not run.
    table: Option<PeerTable>,
    /// What it knows of requests that crash servers.
    crash_tracker: CrashTracker,
    /// Fraction of messages that it is too slow to respond to in time.
    slow_fraction: f64,
    isolated: bool,
    next_at: Instant,
}

/// How well the daemons of all zones agree on the holders of duties.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Agreement {
    /// Number of daemons' views that were checked.
    pub(super) checks: usize,
    /// Number of views that did not name the expected holder.
    pub(super) wrong: usize,
    /// Number of views in which a running daemon of the same zone was dead.
    pub(super) falsely_dead: usize,
}

impl Agreement {
    pub(super) fn wrong_share(self) -> f64 {
        f64::from(u32::try_from(self.wrong).unwrap())
            / f64::from(u32::try_from(self.checks.max(1)).unwrap())
    }
}

/// A simulated fleet.
pub(super) struct Fleet {
    daemons: Vec<Daemon>,
    by_name: SortedMap<Arc<str>, usize>,
    zones: usize,
    start: Instant,
    step: u32,
    random: SmallRng,
    /// Fraction of messages that are lost.
    pub(super) loss: f64,
    /// A zone that is partitioned from all others.
    pub(super) partitioned_zone: Option<usize>,
    /// Number of comparisons of zones.
    pub(super) comparisons: usize,
    /// Number of entries that were sent in comparisons.
    pub(super) sent_members: usize,
    /// Bytes of the messages that compare crashes.
    pub(super) crash_bytes: usize,
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

impl Fleet {
    /// Creates a fleet whose daemons know no others.
    pub(super) fn new(daemons: usize, zones: usize, seed: u64) -> Fleet {
        let start = Instant::now();
        let count = u32::try_from(daemons).unwrap();
        let daemons: Vec<Daemon> = (0..count)
            .map(|at| {
                let next_at = start + STEP * ROUND_STEPS * at / count;
                let at = usize::try_from(at).unwrap();
                let address = format!("10.0.{}.{}:80", at / 250, at % 250);
                let member = Member::new(
                    &format!("vm-{at}"),
                    &zone_name(at % zones),
                    address.parse().unwrap(),
                    1,
                );
                let table = Some(PeerTable::new(member.clone()));
                Daemon {
                    member,
                    table,
                    crash_tracker: CrashTracker::default(),
                    slow_fraction: 0.0,
                    isolated: false,
                    next_at,
                }
            })
            .collect();
        let by_name = daemons
            .iter()
            .enumerate()
            .map(|(at, daemon)| (Arc::clone(&daemon.member.name), at))
            .collect();
        Fleet {
            daemons,
            by_name,
            zones,
            start,
            step: 0,
            random: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            partitioned_zone: None,
            comparisons: 0,
            sent_members: 0,
            crash_bytes: 0,
        }
    }

    /// Creates a fleet whose daemons all know each other.
    pub(super) fn with_known_members(
        daemons: usize,
        zones: usize,
        seed: u64,
    ) -> Fleet {
        let mut fleet = Fleet::new(daemons, zones, seed);
        let all: Vec<Member> =
            fleet.daemons.iter().map(|d| d.member.clone()).collect();
        let now = fleet.now();
        for daemon in &mut fleet.daemons {
            daemon.table.as_mut().unwrap().merge(now, &all);
        }
        fleet
    }

    pub(super) fn now(&self) -> Instant {
        self.start + STEP * self.step
    }

    /// Makes every tenth machine too slow to respond to this fraction of
    /// messages.
    pub(super) fn slow_down_some(&mut self, fraction: f64) {
        for daemon in self.daemons.iter_mut().step_by(10) {
            daemon.slow_fraction = fraction;
        }
    }

    /// Isolates a machine, or reconnects it.
    pub(super) fn set_isolated(&mut self, at: usize, isolated: bool) {
        self.daemons[at].isolated = isolated;
    }

    /// Ends the process of a machine.
    pub(super) fn kill(&mut self, at: usize) {
        self.daemons[at].table = None;
    }

    /// Restarts the process of a machine, which then knows no others.
    pub(super) fn restart(&mut self, at: usize) {
        let daemon = &mut self.daemons[at];
        daemon.member.incarnation += 1;
        daemon.table = Some(PeerTable::new(daemon.member.clone()));
        daemon.crash_tracker = CrashTracker::default();
        daemon.next_at = self.start + STEP * self.step;
    }

    /// Starts a graceful shutdown.
    pub(super) fn leave(&mut self, at: usize) {
        self.daemons[at].table.as_mut().unwrap().leave();
    }

    pub(super) fn table(&self, at: usize) -> &PeerTable {
        self.daemons[at].table.as_ref().unwrap()
    }

    pub(super) fn table_mut(&mut self, at: usize) -> &mut PeerTable {
        self.daemons[at].table.as_mut().unwrap()
    }

    /// Records that a daemon lost its connection to a server.
    pub(super) fn record_crash(
        &mut self,
        at: usize,
        features: &[Feature],
        server: ServerIncarnation,
    ) {
        let now = self.now();
        let tracker = &mut self.daemons[at].crash_tracker;
        tracker.record_crash(now, features, server);
        self.wake(at);
    }

    /// Makes a daemon with urgent news send its next message at once.
    fn wake(&mut self, at: usize) {
        let now = self.now();
        let daemon = &mut self.daemons[at];
        if let Some(table) = &mut daemon.table {
            table.set_urgent_news(now);
            daemon.next_at = daemon.next_at.min(now + STEP);
        }
    }

    /// Merges crash notices, and passes urgent ones on soon.
    fn merge_crashes(&mut self, at: usize, notices: &[CrashNotice]) {
        let now = self.now();
        let tracker = &mut self.daemons[at].crash_tracker;
        if tracker.merge(now, notices) > 0 && tracker.has_urgent_news(now) {
            self.wake(at);
        }
    }

    pub(super) fn crash_trackers(
        &self,
    ) -> impl Iterator<Item = &CrashTracker> {
        self.daemons.iter().map(|daemon| &daemon.crash_tracker)
    }

    /// Records that a server has survived a request of a daemon.
    pub(super) fn record_survival(&mut self, at: usize, features: &[Feature]) {
        let now = self.now();
        self.daemons[at].crash_tracker.record_survival(now, features);
    }

    /// Makes all daemons those that know what others knew at their start.
    pub(super) fn set_crashes_synced(&mut self) {
        for daemon in &mut self.daemons {
            daemon.crash_tracker.set_synced();
        }
    }

    /// Compares crashes if the digests of two daemons in contact require it.
    fn compare_crashes(&mut self, now: Instant, from: usize, to: usize) {
        let digest = self.daemons[to].crash_tracker.digest(now);
        let tracker = &mut self.daemons[from].crash_tracker;
        if !tracker.begin_comparison(now, digest) {
            return;
        }
        let summary = tracker.summarize(now);
        let difference = self.daemons[to].crash_tracker.compare(now, &summary);
        let tracker = &mut self.daemons[from].crash_tracker;
        let merged = tracker.merge_difference(now, &difference);
        if digest.is_synced() {
            tracker.set_synced();
        }
        let tracker = &mut self.daemons[to].crash_tracker;
        tracker.merge_compared(now, &merged.replies);
        let len = |bytes: postcard::Result<Vec<u8>>| bytes.unwrap().len();
        self.crash_bytes += len(postcard::to_stdvec(&summary))
            + len(postcard::to_stdvec(&difference))
            + len(postcard::to_stdvec(&merged.replies));
    }

    /// Runs one step, without checking the agreement.
    pub(super) fn step(&mut self) {
        self.run_step();
    }

    /// Returns the running daemon that should hold the duty of a zone.
    pub(super) fn expected_holder(&self, zone: usize) -> usize {
        let names: Vec<&Arc<str>> = self
            .running(zone)
            .map(|at| &self.daemons[at].member.name)
            .collect();
        let duty = duty(zone);
        let first = rendezvous::order(&duty, names).into_iter().next();
        *self.by_name.get(&**first.unwrap()).unwrap()
    }

    fn running(&self, zone: usize) -> impl Iterator<Item = usize> + '_ {
        (zone..self.daemons.len()).step_by(self.zones).filter(|&at| {
            let daemon = &self.daemons[at];
            !daemon.isolated
                && daemon.table.as_ref().is_some_and(|table| {
                    table.local_member().state == MemberState::Ready
                })
        })
    }

    /// Checks each running daemon's view of its zone's duty holder.
    pub(super) fn agreement(&self) -> Agreement {
        let mut agreement = Agreement::default();
        let now = self.now();
        for zone in 0..self.zones {
            let expected_holder =
                &self.daemons[self.expected_holder(zone)].member.name;
            let running: Vec<usize> = self.running(zone).collect();
            for &at in &running {
                let table = self.table(at);
                let holder = table.duty_holder(
                    now,
                    &duty(zone),
                    &zone_name(zone),
                    &|_| true,
                );
                agreement.checks += 1;
                agreement.wrong += usize::from(
                    holder.is_none_or(|h| h.name != *expected_holder),
                );
                agreement.falsely_dead += running
                    .iter()
                    .filter(|&&other| self.is_dead(at, other))
                    .count();
            }
        }
        agreement
    }

    /// Returns whether a daemon regards another as dead.
    pub(super) fn is_dead(&self, at: usize, other: usize) -> bool {
        let other = &self.daemons[other].member.name;
        let known = self.table(at).peers.get(&**other);
        known.is_some_and(|peer| peer.member.state == MemberState::Dead)
    }

    /// Runs rounds and sums up the agreement after each.
    pub(super) fn run(&mut self, rounds: u32) -> Agreement {
        let mut sum = Agreement::default();
        for _ in 0..rounds {
            (0..ROUND_STEPS).for_each(|_| self.run_step());
            let agreement = self.agreement();
            sum.checks += agreement.checks;
            sum.wrong += agreement.wrong;
            sum.falsely_dead += agreement.falsely_dead;
        }
        sum
    }

    fn run_step(&mut self) {
        self.step += 1;
        let now = self.now();
        for at in 0..self.daemons.len() {
            let daemon = &mut self.daemons[at];
            let Some(table) = &mut daemon.table else { continue };
            if daemon.next_at > now {
                continue;
            }
            table.tick(now);
            let target = table.next_target(now, &mut self.random);
            daemon.next_at = now + table.gossip_interval(now);
            self.send(now, at, &target);
        }
    }

    fn send(&mut self, now: Instant, from: usize, target: &GossipTarget) {
        let (to, member) = match target {
            GossipTarget::Seed => (self.random.random_range(0..SEEDS), None),
            GossipTarget::Member(member) => {
                (*self.by_name.get(&*member.name).unwrap(), Some(member))
            }
        };
        if to == from {
            return;
        }
        if self.gossip(now, from, to, member) {
            return;
        }
        let Some(member) = member else { return };
        if self.refuses_connections(from, to) {
            self.table_mut(from).mark_dead(now, member);
            return;
        }
        let table = self.daemons[from].table.as_ref().unwrap();
        let probers = table.indirect_probers(now, member, &mut self.random);
        let mut reports = Vec::new();
        for address in probers {
            let prober = self
                .daemons
                .iter()
                .position(|daemon| daemon.member.address == address)
                .unwrap();
            let reached =
                self.is_delivered(prober, to) && self.is_delivered(to, prober);
            if self.is_delivered(from, prober)
                && self.is_delivered(prober, from)
            {
                reports.push(reached);
            }
        }
        if !reports.is_empty() && !reports.contains(&true) {
            self.table_mut(from).mark_suspect(now, member);
        }
    }

    /// Returns whether a machine refuses connections because no process
    /// listens.
    fn refuses_connections(&mut self, from: usize, to: usize) -> bool {
        let no_process = self.daemons[to].table.is_none();
        no_process
            && !self.daemons[to].isolated
            && !self.daemons[from].isolated
    }

    /// Sends a message and returns whether its response arrived.
    fn gossip(
        &mut self,
        now: Instant,
        from: usize,
        to: usize,
        member: Option<&Member>,
    ) -> bool {
        if !self.is_delivered(from, to) {
            return false;
        }
        let message = self.table(from).message_to(now, member);
        let table = self.table_mut(to);
        table.apply_message(now, &message);
        let response = table.message_to(now, Some(&message.from));
        let notices = self.daemons[from].crash_tracker.notices(now);
        self.merge_crashes(to, &notices);
        let notices = self.daemons[to].crash_tracker.notices(now);
        if !self.is_delivered(to, from) {
            return false;
        }
        self.merge_crashes(from, &notices);
        self.compare_crashes(now, from, to);
        let table = self.table_mut(from);
        table.apply_message(now, &response);
        let zones = table.differing_zones(&response);
        if !zones.is_empty() {
            let summary = self.table(from).summarize(zones);
            let difference = self.table(to).compare(&summary);
            let table = self.table_mut(from);
            table.merge(now, &difference.members);
            let requested = table.requested_members(&difference);
            self.table_mut(to).merge(now, &requested);
            self.sent_members += difference.members.len() + requested.len();
            self.comparisons += 1;
        }
        true
    }

    /// Returns whether a message arrives and is processed in time.
    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let lost = self.random.random_bool(self.loss);
        let late = self.random.random_bool(self.daemons[to].slow_fraction);
        let zones = (from % self.zones, to % self.zones);
        let partitioned = zones.0 != zones.1
            && self
                .partitioned_zone
                .is_some_and(|z| zones.0 == z || zones.1 == z);
        let endpoints = [from, to].map(|at| &self.daemons[at]);
        let reachable = endpoints
            .iter()
            .all(|daemon| daemon.table.is_some() && !daemon.isolated);
        reachable && !lost && !late && !partitioned
    }
}

fn duty(zone: usize) -> String {
    format!("stages@{}/0", zone_name(zone))
}
