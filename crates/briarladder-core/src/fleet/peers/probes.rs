//! Whom to send the next message, and what a missing answer means.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{
    Rng, RngExt,
    seq::{IndexedRandom, IteratorRandom},
};

use crate::membership::MemberState;

use super::{Change, Member, Peer, PeerTable};

/// The time between two messages while nothing happens.
const INTERVAL: Duration = Duration::from_millis(500);

/// The time between two messages while there is news.
const NEWS_INTERVAL: Duration = Duration::from_millis(150);

/// Messages follow each other sooner for this long after a change. News then
/// reach a zone of the target size in about a second.
const HURRY_FOR: Duration = Duration::from_secs(1);

/// The time between two messages of a daemon to other zones, in a zone of up
/// to [`FAR_ZONE`] daemons. Links between zones are billed.
const FAR_INTERVAL: Duration = Duration::from_secs(4);

/// In larger zones the time is longer, so that the messages of a zone don't
/// grow with it.
const FAR_ZONE: usize = 16;

/// One message of this many goes to a dead member of the zone, so that the
/// two sides of a healed cut find each other.
const DEAD_ONE_IN: u32 = 16;

/// One message of this many, or of the known members if they are more, goes
/// to a seed, so that the messages to seeds don't grow with the fleet.
const SEED_ONE_IN: u32 = 12;

/// While a member of the zone is suspect, one message of this many goes to
/// it, so that one that is only slow is heard in time.
const SUSPECT_ONE_IN: u32 = 3;

/// The daemons that check on a member that did not answer.
const HELPERS: usize = 2;

/// The receiver of the next message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// A member.
    Member(Member),
    /// One of the addresses that the settings name.
    Seed,
}

impl PeerTable {
    /// Returns the time until the next message.
    #[must_use]
    pub fn interval(&self, now: Instant) -> Duration {
        let news = self
            .in_zone()
            .any(|peer| now.duration_since(peer.changed_at) < HURRY_FOR);
        if news { NEWS_INTERVAL } else { INTERVAL }
    }

    /// Returns the receiver of the next message.
    pub fn next_target(
        &mut self,
        now: Instant,
        random: &mut impl Rng,
    ) -> Target {
        let far = self.far_target(now, random);
        let known = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let seed_one_in = SEED_ONE_IN.max(known);
        let near: Vec<&Member> = self
            .in_zone()
            .map(|peer| &peer.member)
            .filter(|member| member.state != MemberState::Dead)
            .collect();
        if let Some(member) = far {
            return Target::Member(member);
        }
        // A daemon that is alone or cut off looks everywhere by turns.
        let alone = near.is_empty() || self.is_isolated(now);
        if random.random_ratio(1, if alone { 3 } else { seed_one_in }) {
            return Target::Seed;
        }
        let suspects = self.in_zone().map(|peer| &peer.member);
        let suspect = suspects
            .filter(|member| member.state == MemberState::Suspect)
            .choose(random);
        if let Some(member) = suspect
            && random.random_ratio(1, SUSPECT_ONE_IN)
        {
            return Target::Member(member.clone());
        }
        let dead = || {
            self.in_zone()
                .map(|peer| &peer.member)
                .filter(|member| member.state == MemberState::Dead)
        };
        if random.random_ratio(1, if alone { 3 } else { DEAD_ONE_IN })
            && let Some(member) = dead().choose(random)
        {
            return Target::Member(member.clone());
        }
        near.choose(random)
            .copied()
            .or_else(|| self.random_far(now, random))
            .map_or(Target::Seed, |member| Target::Member(member.clone()))
    }

    fn in_zone(&self) -> impl Iterator<Item = &Peer> {
        let zone = &self.me.zone;
        self.peers.values().filter(move |peer| peer.member.zone == *zone)
    }

    /// Returns a member of another zone if one is due.
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
        // A random part keeps daemons that started together apart.
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

    /// Returns random live members of the zone, to be told of something at
    /// once.
    pub fn some_of_zone(
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

    /// Returns the daemons that check on a member that did not answer this
    /// one. There are none for a member of another zone: its own zone finds
    /// out. Without helpers nothing is proven, since the fault may lie here.
    pub fn helpers(
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

    /// Records that the daemons that checked on a member did not reach it
    /// either. It is suspect from now on, unless it was heard from meanwhile.
    pub fn confirmed_silent(
        &mut self,
        now: Instant,
        silent: &Member,
    ) -> Option<Change> {
        self.accuse(now, silent, MemberState::Suspect)
    }

    /// Records that no process listens at the address of a member. It is
    /// dead, unless it was heard from meanwhile; a new process there has a
    /// higher incarnation.
    pub fn refused(&mut self, now: Instant, gone: &Member) -> Option<Change> {
        self.accuse(now, gone, MemberState::Dead)
    }

    fn accuse(
        &mut self,
        now: Instant,
        accused: &Member,
        state: MemberState,
    ) -> Option<Change> {
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
