//! The schedule of probes and the choice of their targets.

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

/// The timeout of indirect probes. After it they count as failed, so that a
/// lost response does not prevent the detection of a dead member.
pub const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of peers that are asked to probe an unresponsive member.
pub(super) const INDIRECT_PEERS: usize = 2;

/// One in this many probes within the zone goes to a dead member, so that the
/// two sides of a healed partition rediscover each other. If the zone has no
/// live members, every probe does.
const DEAD_PROBE_EVERY: u64 = 10;

/// A member to probe, directly or through a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeTarget {
    /// The name of the VM.
    pub name: VmName,
    /// The address at which its daemon serves peers.
    pub address: SocketAddr,
    /// The expected incarnation; `None` if it is not known yet.
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

/// The times of the next probes within the zone and to other zones.
#[derive(Debug)]
pub(super) struct ProbeSchedule {
    zone_at: Instant,
    other_zone_at: Instant,
    /// The number of probes within the zone so far.
    zone_probes: u64,
}

impl ProbeSchedule {
    pub(super) fn new(now: Instant) -> ProbeSchedule {
        ProbeSchedule { zone_at: now, other_zone_at: now, zone_probes: 0 }
    }

    pub(super) fn next_at(&self) -> Instant {
        self.zone_at.min(self.other_zone_at)
    }

    /// Returns the member to probe now, if a probe is due. Probes missed
    /// during a pause of the process are skipped.
    pub(super) fn next_target(
        &mut self,
        now: Instant,
        local_vm: &VmName,
        zone: &ZoneName,
        members: &SortedMap<VmName, Member>,
        rng: &mut impl Rng,
    ) -> Option<ProbeTarget> {
        let in_zone = |dead: bool| {
            members.values().filter(move |member| {
                member.name != *local_vm
                    && member.zone == *zone
                    && (member.state == MemberState::Dead) == dead
            })
        };
        // Most dead members have been replaced. One that the platform still
        // lists may only be unreachable, so those are preferred.
        let dead_peer = |rng: &mut _| {
            let listed = in_zone(true).filter(|member| member.listed);
            listed.choose(rng).or_else(|| in_zone(true).choose(rng))
        };
        if now >= self.zone_at {
            self.zone_at = now + ZONE_PROBE_INTERVAL;
            self.zone_probes += 1;
            let dead_turn = self.zone_probes.is_multiple_of(DEAD_PROBE_EVERY);
            let dead = if dead_turn { dead_peer(rng) } else { None };
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

/// The indirect probes of a member that did not respond to a direct one.
#[derive(Debug)]
pub(super) struct PendingProbes {
    pub(super) name: VmName,
    pub(super) incarnation: Option<Incarnation>,
    pub(super) probes_left: usize,
    /// When the remaining probes count as failed.
    pub(super) deadline: Instant,
}
