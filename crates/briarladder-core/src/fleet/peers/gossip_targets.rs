//! Chooses the recipient of the next message and evaluates missing responses.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{
    Rng, RngExt,
    seq::{IndexedRandom, IteratorRandom},
};

use crate::membership::MemberState;

use super::{Member, MemberChange, Peer, PeerTable};

/// Time between two messages while nothing changes.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two messages after a recent change.
const FAST_GOSSIP_INTERVAL: Duration = Duration::from_millis(150);

/// How long messages are sent at [`FAST_GOSSIP_INTERVAL`] after a change. A
/// change then reaches all daemons of a zone of the target size in about a
/// second.
const FAST_GOSSIP_DURATION: Duration = Duration::from_secs(1);

/// Time between two messages of a daemon to other zones, in a zone of up to
/// [`CROSS_ZONE_BASE_DAEMONS`] daemons. Traffic between zones is billed.
const CROSS_ZONE_INTERVAL: Duration = Duration::from_secs(4);

/// In larger zones the time is proportionally longer, so that the traffic of a
/// zone doesn't grow with its size.
const CROSS_ZONE_BASE_DAEMONS: usize = 16;

/// Time between two messages to other zones while there is urgent news.
const URGENT_CROSS_ZONE_INTERVAL: Duration = Duration::from_millis(500);

/// One message in this many goes to a dead member of the zone, so that the two
/// sides of a healed network partition find each other.
const DEAD_ONE_IN: u32 = 16;

/// One message in this many goes to a seed, or in the number of known members
/// if that is larger, so that the messages to seeds don't grow with the fleet.
const SEED_ONE_IN: u32 = 12;

/// While a member of the zone is suspect, one message in this many goes to it,
/// so that a slow member can refute in time.
const SUSPECT_ONE_IN: u32 = 3;

/// Number of daemons that probe a silent member.
const INDIRECT_PROBER_COUNT: usize = 2;

/// The recipient of the next message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipTarget {
    /// A member.
    Member(Member),
    /// One of the seed addresses in the settings.
    Seed,
}

impl PeerTable {
    /// Returns the time until the next message.
    #[must_use]
    pub fn gossip_interval(&self, now: Instant) -> Duration {
        let changed_recently = self.zone_peers().any(|peer| {
            now.duration_since(peer.changed_at) < FAST_GOSSIP_DURATION
        });
        if changed_recently || self.has_urgent_news(now) {
            FAST_GOSSIP_INTERVAL
        } else {
            GOSSIP_INTERVAL
        }
    }

    /// Records that the next messages carry news that other daemons need
    /// soon, such as a crash. They are sent faster for a while, the next one
    /// to another zone.
    pub fn set_urgent_news(&mut self, now: Instant) {
        if !self.has_urgent_news(now) {
            self.next_cross_zone_at = Some(now);
        }
        self.urgent_until = Some(now + FAST_GOSSIP_DURATION);
    }

    fn has_urgent_news(&self, now: Instant) -> bool {
        self.urgent_until.is_some_and(|until| now < until)
    }

    /// Chooses the recipient of the next message.
    pub fn next_target(
        &mut self,
        now: Instant,
        random: &mut impl Rng,
    ) -> GossipTarget {
        let cross_zone = self.cross_zone_target(now, random);
        let known = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let seed_one_in = SEED_ONE_IN.max(known);
        let zone_members: Vec<&Member> = self
            .zone_peers()
            .map(|peer| &peer.member)
            .filter(|member| member.state != MemberState::Dead)
            .collect();
        if let Some(member) = cross_zone {
            return GossipTarget::Member(member);
        }
        // A daemon that is alone or isolated picks seeds, dead members and
        // other members about equally often.
        let alone = zone_members.is_empty() || self.is_isolated(now);
        if random.random_ratio(1, if alone { 3 } else { seed_one_in }) {
            return GossipTarget::Seed;
        }
        let suspects = self.zone_peers().map(|peer| &peer.member);
        let suspect = suspects
            .filter(|member| member.state == MemberState::Suspect)
            .choose(random);
        if let Some(member) = suspect
            && random.random_ratio(1, SUSPECT_ONE_IN)
        {
            return GossipTarget::Member(member.clone());
        }
        let dead = || {
            self.zone_peers()
                .map(|peer| &peer.member)
                .filter(|member| member.state == MemberState::Dead)
        };
        if random.random_ratio(1, if alone { 3 } else { DEAD_ONE_IN })
            && let Some(member) = dead().choose(random)
        {
            return GossipTarget::Member(member.clone());
        }
        zone_members
            .choose(random)
            .copied()
            .or_else(|| self.random_cross_zone(now, random))
            .map_or(GossipTarget::Seed, |member| {
                GossipTarget::Member(member.clone())
            })
    }

    fn zone_peers(&self) -> impl Iterator<Item = &Peer> {
        let zone = &self.local.zone;
        self.peers.values().filter(move |peer| peer.member.zone == *zone)
    }

    /// Returns a member of another zone if a message to one is due.
    fn cross_zone_target(
        &mut self,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Member> {
        if self.next_cross_zone_at.is_some_and(|at| now < at) {
            return None;
        }
        let zone = self.zone_peers().count() + 1;
        let factor = zone.div_ceil(CROSS_ZONE_BASE_DAEMONS);
        let interval = if self.has_urgent_news(now) {
            URGENT_CROSS_ZONE_INTERVAL
        } else {
            CROSS_ZONE_INTERVAL * u32::try_from(factor).unwrap_or(u32::MAX)
        };
        // Jitter spreads the messages of daemons that started together.
        let interval = interval.mul_f64(random.random_range(0.75..1.25));
        let first = self.next_cross_zone_at.replace(now + interval).is_none();
        let cross_zone = self.random_cross_zone(now, random).cloned();
        if first { None } else { cross_zone }
    }

    fn random_cross_zone(
        &self,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<&Member> {
        self.live_peers(now)
            .filter(|member| member.zone != self.local.zone)
            .choose(random)
    }

    /// Returns the addresses of random live members of the zone, to notify
    /// them at once.
    pub fn sample_zone(
        &self,
        now: Instant,
        count: usize,
        random: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        self.live_peers(now)
            .filter(|member| member.zone == self.local.zone)
            .map(|member| member.address)
            .sample(random, count)
    }

    /// Returns the daemons that probe a member that didn't respond to this
    /// daemon. There are none for a member of another zone, which is observed
    /// by its own zone. Without another daemon nothing is proven, since the
    /// fault may be on this side.
    pub fn indirect_probers(
        &self,
        now: Instant,
        silent: &Member,
        random: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let unchanged = self.peers.get(&*silent.name).is_some_and(|known| {
            known.member == *silent && silent.state < MemberState::Suspect
        });
        if silent.zone != self.local.zone || !unchanged {
            return Vec::new();
        }
        self.live_peers(now)
            .filter(|member| member.zone == self.local.zone)
            .filter(|member| member.name != silent.name)
            .map(|member| member.address)
            .sample(random, INDIRECT_PROBER_COUNT)
    }

    /// Records that the daemons that probed a member didn't reach it either.
    /// It becomes suspect unless it was heard from in the meantime.
    pub fn mark_suspect(
        &mut self,
        now: Instant,
        silent: &Member,
    ) -> Option<MemberChange> {
        self.update_state(now, silent, MemberState::Suspect)
    }

    /// Records that no process listens at the address of a member. It becomes
    /// dead unless it was heard from in the meantime; a new process there has
    /// a higher incarnation.
    pub fn mark_dead(
        &mut self,
        now: Instant,
        observed: &Member,
    ) -> Option<MemberChange> {
        self.update_state(now, observed, MemberState::Dead)
    }

    fn update_state(
        &mut self,
        now: Instant,
        observed: &Member,
        state: MemberState,
    ) -> Option<MemberChange> {
        let known = self.peers.get(&*observed.name)?;
        let is_current = known.member == *observed
            && observed.state < state
            && observed.zone == self.local.zone;
        if !is_current {
            return None;
        }
        let known = known.clone();
        self.set_state(now, known, state)
    }
}
