//! The messages between two daemons.

use std::{
    cmp::Reverse,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{
    Change, Member, Peer, PeerTable, beats::Beat, digests::ZoneDigest,
};

/// The changed members in one message.
pub const MAX_NEWS: usize = 16;

/// The members that one daemon tells at once of zones whose digests differ.
/// At the target size a zone has 208.
pub const MAX_SYNCED: usize = 512;

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
    /// a message that was taken.
    #[must_use]
    pub fn differing(&self, message: &Exchange) -> Vec<Arc<str>> {
        self.digests.differing(&message.digests)
    }

    /// Returns all members of some zones, up to [`MAX_SYNCED`]. `start` is a
    /// random number that picks a part of a longer list.
    #[must_use]
    pub fn members_of(&self, zones: &[Arc<str>], start: usize) -> Vec<Member> {
        let me = std::iter::once(&self.me);
        let members: Vec<&Member> = me
            .chain(self.peers.values().map(|peer| &peer.member))
            .filter(|member| zones.contains(&member.zone))
            .collect();
        (0..members.len().min(MAX_SYNCED))
            .map(|step| members[(start + step) % members.len()].clone())
            .collect()
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
