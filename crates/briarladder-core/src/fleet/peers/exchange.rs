//! The messages between two daemons.

use std::{
    cmp::Reverse,
    sync::Arc,
    time::{Duration, Instant},
};

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use super::{
    Change, Member, Peer, PeerTable, beats::Beat, digests::ZoneDigest,
};

/// The changed members in one message.
pub const MAX_NEWS: usize = 16;

/// The members that one daemon tells at once of zones whose digests differ.
/// At the target size a zone has 208.
const MAX_SYNCED: usize = 512;

/// Changes are told for this long. Within it they have reached all daemons
/// of a zone, and digests find who has missed one.
const NEWS_FOR: Duration = Duration::from_secs(5);

/// One message, in either direction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Exchange {
    /// The sender.
    pub from: Member,
    /// What the sender knows of each zone.
    pub digests: Vec<ZoneDigest>,
    /// The members that have changed lately.
    pub news: Vec<Member>,
    /// The newest beats of coordinators.
    pub beats: Vec<Beat>,
}

/// A member in short: the hash of its name, and that of what is known.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct KnownMember {
    name: u32,
    statement: u32,
}

impl KnownMember {
    fn of(member: &Member) -> KnownMember {
        KnownMember {
            name: short(rapidhash_v3(member.name.as_bytes())),
            statement: short(member.hash()),
        }
    }
}

/// Keeps the lower half of a hash. Two of 208 members share it once in
/// 200,000 zones, and then learn of each other from later news.
fn short(hash: u64) -> u32 {
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}

/// What a daemon knows of some zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// The zones.
    pub zones: Vec<Arc<str>>,
    /// Their members, dead ones included.
    pub known: Vec<KnownMember>,
}

/// What a daemon knows otherwise than the sender of a summary.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// The members that it knows, and knows otherwise.
    pub members: Vec<Member>,
    /// The names of members that the sender knows otherwise.
    wanted: Vec<u32>,
}

impl PeerTable {
    /// Returns the message to a member, or the answer for one.
    #[must_use]
    pub fn exchange(&self, now: Instant, to: Option<&Member>) -> Exchange {
        let mut recent: Vec<&Peer> = self
            .peers
            .values()
            .filter(|peer| now.duration_since(peer.changed_at) < NEWS_FOR)
            .collect();
        recent.sort_by_key(|peer| Reverse(peer.changed_at));
        recent.truncate(MAX_NEWS);
        let mut news: Vec<Member> =
            recent.into_iter().map(|peer| peer.member.clone()).collect();
        // The member must hear what is held against it, or that an earlier
        // run of it is thought to be newer.
        let accused = to.and_then(|to| {
            let known = &self.peers.get(&*to.name)?.member;
            (known.is_newer_than(to) && !news.contains(known)).then_some(known)
        });
        news.extend(accused.cloned());
        Exchange {
            from: self.me.clone(),
            digests: self.digests.all(),
            news,
            beats: self.beats.newest(now),
        }
    }

    /// Takes a message from a member.
    pub fn take(&mut self, now: Instant, message: &Exchange) -> Vec<Change> {
        let mut changes = self.heard(now, &message.from);
        changes.extend(self.merge(now, &message.news));
        self.beats.merge(now, &message.beats);
        changes
    }

    /// Returns the zones that are known otherwise here than to the sender of
    /// a message that was taken. Links between zones are billed, so that two
    /// daemons of different zones tell each other only of these two; a daemon
    /// learns of others from its own zone.
    #[must_use]
    pub fn differing(&self, message: &Exchange) -> Vec<Arc<str>> {
        let ends = [&self.me.zone, &message.from.zone];
        let near = ends[0] == ends[1];
        let zones = self.digests.differing(&message.digests).into_iter();
        zones.filter(|zone| near || ends.contains(&zone)).collect()
    }

    /// Returns what this daemon knows of some zones, in short.
    #[must_use]
    pub fn summary(&self, zones: Vec<Arc<str>>) -> Summary {
        let known = self.of_zones(&zones).map(KnownMember::of).collect();
        Summary { zones, known }
    }

    /// Compares what another daemon knows of some zones with what is known
    /// here.
    #[must_use]
    pub fn compare(&self, summary: &Summary) -> Difference {
        let mut theirs = summary.known.clone();
        theirs.sort_unstable();
        let mut members = Vec::new();
        let mut wanted = theirs.clone();
        for member in self.of_zones(&summary.zones) {
            let here = KnownMember::of(member);
            if theirs.binary_search(&here).is_err() {
                members.push(member.clone());
            }
            wanted.retain(|there| *there != here);
        }
        members.truncate(MAX_SYNCED);
        wanted.truncate(MAX_SYNCED);
        let wanted = wanted.into_iter().map(|known| known.name).collect();
        Difference { members, wanted }
    }

    /// Returns the members that another daemon lacks or knows less of, from
    /// its answer to a summary, which was merged.
    #[must_use]
    pub fn wanted(&self, difference: &Difference) -> Vec<Member> {
        std::iter::once(&self.me)
            .chain(self.peers.values().map(|peer| &peer.member))
            .filter(|member| {
                difference.wanted.contains(&KnownMember::of(member).name)
            })
            .filter(|member| !difference.members.contains(member))
            .cloned()
            .collect()
    }

    fn of_zones<'a>(
        &'a self,
        zones: &'a [Arc<str>],
    ) -> impl Iterator<Item = &'a Member> {
        std::iter::once(&self.me)
            .chain(self.peers.values().map(|peer| &peer.member))
            .filter(|member| zones.contains(&member.zone))
    }

    /// Says that this daemon coordinates a cell and how long a new request
    /// waits for its stages.
    pub fn beat(&mut self, now: Instant, wait_ms: u32) {
        let before = self.beats.count_of(&self.me.name);
        let beat = Beat {
            name: Arc::clone(&self.me.name),
            incarnation: self.me.incarnation,
            count: before + 1,
            wait_ms,
            age_ms: 0,
        };
        self.beats.merge(now, &[beat]);
    }

    /// Records the wait for stages that a member has told.
    pub fn heard_stage_wait(
        &mut self,
        now: Instant,
        name: &str,
        wait_ms: u32,
    ) {
        self.beats.told(now, name, wait_ms);
    }

    /// Returns how long a new request waits at a coordinator, if that one
    /// was heard of lately.
    #[must_use]
    pub fn stage_wait(&self, now: Instant, name: &str) -> Option<Duration> {
        self.beats.wait(now, name)
    }
}
