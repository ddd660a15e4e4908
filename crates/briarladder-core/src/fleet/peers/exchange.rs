//! The gossip messages between two daemons.

use std::{
    cmp::Reverse,
    sync::Arc,
    time::{Duration, Instant},
};

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use super::{
    Member, MemberChange, Peer, PeerTable, digests::ZoneDigest,
    heartbeats::CoordinatorHeartbeat,
};

/// Maximum number of changed members in one message.
pub const MAX_MEMBER_UPDATES: usize = 16;

/// Maximum number of members in one comparison of zones whose digests differ.
/// At the target size a zone has 208 members.
const MAX_COMPARED_MEMBERS: usize = 512;

/// How long a changed member is sent. Within this time the change reaches all
/// daemons of a zone, and the digests reveal who missed one.
const UPDATE_DURATION: Duration = Duration::from_secs(5);

/// One gossip message, in either direction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GossipMessage {
    /// The sender.
    pub from: Member,
    /// Digests of the members that the sender knows in each zone.
    pub digests: Vec<ZoneDigest>,
    /// Members that have changed recently.
    #[serde(rename = "news")]
    pub updates: Vec<Member>,
    /// The newest heartbeats of coordinators.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<CoordinatorHeartbeat>,
}

/// A member in compact form: hashes of its name and of its entry.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct MemberFingerprint {
    name: u32,
    #[serde(rename = "statement")]
    entry: u32,
}

impl MemberFingerprint {
    fn of(member: &Member) -> MemberFingerprint {
        MemberFingerprint {
            name: lower_half(rapidhash_v3(member.name.as_bytes())),
            entry: lower_half(member.hash()),
        }
    }
}

/// Returns the lower half of a hash. Two of 208 members collide in one of
/// 200,000 zones; a daemon then learns of the missing one from its later
/// changes.
fn lower_half(hash: u64) -> u32 {
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}

/// The members that a daemon knows in some zones, in compact form.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneSummary {
    /// The zones.
    pub zones: Vec<Arc<str>>,
    /// Their members, including dead ones.
    pub known: Vec<MemberFingerprint>,
}

/// The entries in which a daemon differs from the sender of a summary.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneDifference {
    /// Its entries that the sender lacks or knows differently.
    pub members: Vec<Member>,
    /// Hashed names of the members that the sender knows differently.
    wanted: Vec<u32>,
}

impl PeerTable {
    /// Returns the message to a member, or the reply to its message.
    #[must_use]
    pub fn message_to(
        &self,
        now: Instant,
        to: Option<&Member>,
    ) -> GossipMessage {
        let mut recent: Vec<&Peer> = self
            .peers
            .values()
            .filter(|peer| {
                now.duration_since(peer.changed_at) < UPDATE_DURATION
            })
            .collect();
        recent.sort_by_key(|peer| Reverse(peer.changed_at));
        recent.truncate(MAX_MEMBER_UPDATES);
        let mut updates: Vec<Member> =
            recent.into_iter().map(|peer| peer.member.clone()).collect();
        // The recipient must learn that it is suspected or held to be dead, or
        // that a newer incarnation of it is known, so that it can refute this.
        let disputed = to.and_then(|to| {
            let known = &self.peers.get(&*to.name)?.member;
            (known.is_newer_than(to) && !updates.contains(known))
                .then_some(known)
        });
        updates.extend(disputed.cloned());
        GossipMessage {
            from: self.local.clone(),
            digests: self.digests.all(),
            updates,
            heartbeats: self.heartbeats.newest(now),
        }
    }

    /// Applies a received message and returns the changed states.
    pub fn apply_message(
        &mut self,
        now: Instant,
        message: &GossipMessage,
    ) -> Vec<MemberChange> {
        let mut changes = self.record_contact(now, &message.from);
        changes.extend(self.merge(now, &message.updates));
        self.heartbeats.merge(now, &message.heartbeats);
        changes
    }

    /// Returns the zones in which this daemon differs from the sender of a
    /// message that was applied. Traffic between zones is billed, so two
    /// daemons of different zones compare only those two zones; a daemon
    /// learns about other zones from peers of its own.
    #[must_use]
    pub fn differing_zones(&self, message: &GossipMessage) -> Vec<Arc<str>> {
        let compared_zones = [&self.local.zone, &message.from.zone];
        let same_zone = compared_zones[0] == compared_zones[1];
        let zones = self.digests.differing(&message.digests).into_iter();
        zones
            .filter(|zone| same_zone || compared_zones.contains(&zone))
            .collect()
    }

    /// Returns the members that this daemon knows in some zones, in compact
    /// form.
    #[must_use]
    pub fn summarize(&self, zones: Vec<Arc<str>>) -> ZoneSummary {
        let known =
            self.members_of_zones(&zones).map(MemberFingerprint::of).collect();
        ZoneSummary { zones, known }
    }

    /// Compares the members that another daemon knows in some zones with those
    /// known here.
    #[must_use]
    pub fn compare(&self, summary: &ZoneSummary) -> ZoneDifference {
        let mut remote = summary.known.clone();
        remote.sort_unstable();
        let mut members = Vec::new();
        let mut wanted = remote.clone();
        for member in self.members_of_zones(&summary.zones) {
            let local = MemberFingerprint::of(member);
            if remote.binary_search(&local).is_err() {
                members.push(member.clone());
            }
            wanted.retain(|member| *member != local);
        }
        members.truncate(MAX_COMPARED_MEMBERS);
        wanted.truncate(MAX_COMPARED_MEMBERS);
        let wanted = wanted.into_iter().map(|known| known.name).collect();
        ZoneDifference { members, wanted }
    }

    /// Returns the members that another daemon lacks or has an older entry of,
    /// given its difference, which must have been merged before.
    #[must_use]
    pub fn requested_members(
        &self,
        difference: &ZoneDifference,
    ) -> Vec<Member> {
        std::iter::once(&self.local)
            .chain(self.peers.values().map(|peer| &peer.member))
            .filter(|member| {
                difference.wanted.contains(&MemberFingerprint::of(member).name)
            })
            .filter(|member| !difference.members.contains(member))
            .cloned()
            .collect()
    }

    fn members_of_zones<'a>(
        &'a self,
        zones: &'a [Arc<str>],
    ) -> impl Iterator<Item = &'a Member> {
        std::iter::once(&self.local)
            .chain(self.peers.values().map(|peer| &peer.member))
            .filter(|member| zones.contains(&member.zone))
    }

    /// Adds a heartbeat of this daemon, which coordinates a cell. `wait_ms` is
    /// how long a new request waits for its stages.
    pub fn record_own_heartbeat(&mut self, now: Instant, wait_ms: u32) {
        let previous_count = self.heartbeats.count_of(&self.local.name);
        let heartbeat = CoordinatorHeartbeat {
            name: Arc::clone(&self.local.name),
            incarnation: self.local.incarnation,
            count: previous_count + 1,
            wait_ms,
            age_ms: 0,
        };
        self.heartbeats.merge(now, &[heartbeat]);
    }

    /// Records the wait for stages that a member reported.
    pub fn record_stage_wait(
        &mut self,
        now: Instant,
        name: &str,
        wait_ms: u32,
    ) {
        self.heartbeats.record_wait(now, name, wait_ms);
    }

    /// Returns how long a new request waits for its stages at a coordinator,
    /// or `None` if it has not been heard from lately.
    #[must_use]
    pub fn stage_wait(&self, now: Instant, name: &str) -> Option<Duration> {
        self.heartbeats.wait(now, name)
    }
}
