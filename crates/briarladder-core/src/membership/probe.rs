//! Whom to probe and when.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, seq::IteratorRandom};

use crate::{
    ids::Incarnation,
    membership::{Member, MemberState},
    names::{VmName, ZoneName},
    sorted::SortedMap,
};

/// The time between probes of peers in the same zone.
pub const ZONE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The time between probes of peers in other zones.
pub const CROSS_ZONE_PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// How long the probes through other peers may take. After this they count
/// as failed, so that a lost reply does not keep a dead member ready.
pub const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of peers through which an unresponsive one is probed.
pub(super) const INDIRECT_PEERS: usize = 2;

/// One in this many zone probes goes to a dead member, so that the two sides
/// of a healed partition find each other. Without live members in the zone,
/// all do.
const DEAD_PROBE_EVERY: u64 = 10;

/// A member to probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeTarget {
    /// The VM.
    pub name: VmName,
    /// Where to reach it.
    pub address: SocketAddr,
    /// The run that is believed to be there, if known.
    pub incarnation: Option<Incarnation>,
}

impl ProbeTarget {
    pub(super) fn of(member: &Member) -> ProbeTarget {
        ProbeTarget {
            name: member.name.clone(),
            address: member.address,
            incarnation: member.incarnation,
        }
    }
}

/// The times of the next probes.
#[derive(Debug)]
pub(super) struct Schedule {
    zone_at: Instant,
    other_zone_at: Instant,
    zone_probes: u64,
}

impl Schedule {
    pub(super) fn new(now: Instant) -> Schedule {
        Schedule { zone_at: now, other_zone_at: now, zone_probes: 0 }
    }

    pub(super) fn next_at(&self) -> Instant {
        self.zone_at.min(self.other_zone_at)
    }

    /// Returns the member to probe now, if a probe is due. Times missed in a
    /// pause are not made up for.
    pub(super) fn next(
        &mut self,
        now: Instant,
        me: &VmName,
        zone: &ZoneName,
        members: &SortedMap<VmName, Member>,
        rng: &mut impl Rng,
    ) -> Option<ProbeTarget> {
        let in_zone = |dead: bool| {
            members.values().filter(move |member| {
                member.name != *me
                    && member.zone == *zone
                    && (member.state == MemberState::Dead) == dead
            })
        };
        // Most dead members were replaced; one that the platform lists may
        // only be cut off.
        let dead_peer = |rng: &mut _| {
            let listed = in_zone(true).filter(|member| member.listed);
            listed.choose(rng).or_else(|| in_zone(true).choose(rng))
        };
        if now >= self.zone_at {
            self.zone_at = now + ZONE_PROBE_INTERVAL;
            self.zone_probes += 1;
            let dead = self.zone_probes.is_multiple_of(DEAD_PROBE_EVERY);
            let dead = if dead { dead_peer(rng) } else { None };
            let target = dead
                .or_else(|| in_zone(false).choose(rng))
                .or_else(|| dead_peer(rng));
            if let Some(target) = target {
                return Some(ProbeTarget::of(target));
            }
        }
        if now >= self.other_zone_at {
            self.other_zone_at = now + CROSS_ZONE_PROBE_INTERVAL;
            // Dead members are included: see `DEAD_PROBE_EVERY`.
            let others = members.values().filter(|m| m.zone != *zone);
            return others.choose(rng).map(ProbeTarget::of);
        }
        None
    }
}

/// A member that did not answer and is being probed through others.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) name: VmName,
    pub(super) incarnation: Option<Incarnation>,
    pub(super) probes_left: usize,
    pub(super) until: Instant,
}
