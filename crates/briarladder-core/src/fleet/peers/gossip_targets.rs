//! Chooses the recipient of the next message and evaluates missing answers.

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
const INTERVAL: Duration = Duration::from_millis(500);

/// Time between two messages after a recent change.
const NEWS_INTERVAL: Duration = Duration::from_millis(150);

/// How long messages are sent at [`NEWS_INTERVAL`] after a change. A change
/// then reaches all daemons of a zone of the target size in about a second.
const HURRY_FOR: Duration = Duration::from_secs(1);

/// Time between two messages of a daemon to other zones, in a zone of up to
/// [`FAR_ZONE`] daemons. Traffic between zones is billed.
const FAR_INTERVAL: Duration = Duration::from_secs(4);

/// In larger zones the time is proportionally longer, so that the traffic of a
/// zone doesn't grow with its size.
const FAR_ZONE: usize = 16;

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
const HELPERS: usize = 2;

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
        let news = self
            .in_zone()
            .any(|peer| now.duration_since(peer.changed_at) < HURRY_FOR);
        if news { NEWS_INTERVAL } else { INTERVAL }
    }

    /// Chooses the recipient of the next message.
    pub fn next_target(
        &mut self,
        now: Instant,
        random: &mut impl Rng,
    ) -> GossipTarget {
        let far = self.far_target(now, random);
        let known = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let seed_one_in = SEED_ONE_IN.max(known);
        let near: Vec<&Member> = self
            .in_zone()
            .map(|peer| &peer.member)
            .filter(|member| member.state != MemberState::Dead)
            .collect();
        if let Some(member) = far {
            return GossipTarget::Member(member);
        }
        // A daemon that is alone or isolated tries seeds, dead members and
        // others in turn.
        let alone = near.is_empty() || self.is_isolated(now);
        if random.random_ratio(1, if alone { 3 } else { seed_one_in }) {
            return GossipTarget::Seed;
        }
        let suspects = self.in_zone().map(|peer| &peer.member);
        let suspect = suspects
            .filter(|member| member.state == MemberState::Suspect)
            .choose(random);
        if let Some(member) = suspect
            && random.random_ratio(1, SUSPECT_ONE_IN)
        {
            return GossipTarget::Member(member.clone());
        }
        let dead = || {
            self.in_zone()
                .map(|peer| &peer.member)
                .filter(|member| member.state == MemberState::Dead)
        };
        if random.random_ratio(1, if alone { 3 } else { DEAD_ONE_IN })
            && let Some(member) = dead().choose(random)
        {
            return GossipTarget::Member(member.clone());
        }
        near.choose(random)
            .copied()
            .or_else(|| self.random_far(now, random))
            .map_or(GossipTarget::Seed, |member| {
                GossipTarget::Member(member.clone())
            })
    }

    fn in_zone(&self) -> impl Iterator<Item = &Peer> {
        let zone = &self.me.zone;
        self.peers.values().filter(move |peer| peer.member.zone == *zone)
    }

    /// Returns a member of another zone if a message to one is due.
    fn far_target(
        &mut self,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Member> {
        if self.far_at.is_some_and(|at| now < at) {
            return None;
        }
        let zone = self.in_zone().count() + 1;
        let times = zone.div_ceil(FAR_ZONE);
        let interval = FAR_INTERVAL * u32::try_from(times).unwrap_or(u32::MAX);
        // Jitter spreads the messages of daemons that started together.
        let interval = interval.mul_f64(random.random_range(0.75..1.25));
        let first = self.far_at.replace(now + interval).is_none();
        let far = self.random_far(now, random).cloned();
        if first { None } else { far }
    }

    fn random_far(
        &self,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<&Member> {
        self.live_peers(now)
            .filter(|member| member.zone != self.me.zone)
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
            .filter(|member| member.zone == self.me.zone)
            .map(|member| member.address)
            .sample(random, count)
    }

    /// Returns the daemons that probe a member that didn't answer this daemon.
    /// There are none for a member of another zone, which is observed by its
    /// own zone. Without another daemon nothing is proven, since the fault may
    /// be on this side.
    pub fn indirect_probers(
        &self,
        now: Instant,
        silent: &Member,
        random: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let unchanged = self.peers.get(&*silent.name).is_some_and(|known| {
            known.member == *silent && silent.state < MemberState::Suspect
        });
        if silent.zone != self.me.zone || !unchanged {
            return Vec::new();
        }
        self.live_peers(now)
            .filter(|member| member.zone == self.me.zone)
            .filter(|member| member.name != silent.name)
            .map(|member| member.address)
            .sample(random, HELPERS)
    }

    /// Records that the daemons that probed a member didn't reach it either.
    /// It becomes suspect unless it was heard from in the meantime.
    pub fn mark_suspect(
        &mut self,
        now: Instant,
        silent: &Member,
    ) -> Option<MemberChange> {
        self.accuse(now, silent, MemberState::Suspect)
    }

    /// Records that no process listens at the address of a member. It becomes
    /// dead unless it was heard from in the meantime; a new process there has
    /// a higher incarnation.
    pub fn mark_dead(
        &mut self,
        now: Instant,
        gone: &Member,
    ) -> Option<MemberChange> {
        self.accuse(now, gone, MemberState::Dead)
    }

    fn accuse(
        &mut self,
        now: Instant,
        accused: &Member,
        state: MemberState,
    ) -> Option<MemberChange> {
        let known = self.peers.get(&*accused.name)?;
        let stands = known.member == *accused
            && accused.state < state
            && accused.zone == self.me.zone;
        if !stands {
            return None;
        }
        let known = known.clone();
        self.set_state(now, known, state)
    }
}
