//! Tracks which daemons of the fleet are alive and assigns duties to them.
//!
//! A daemon exchanges a gossip message with one other daemon of its zone twice
//! a second. A member counts as alive until its zone has found it silent: it
//! didn't answer a daemon directly, a second daemon didn't reach it either,
//! and it didn't refute the suspicion in time. No daemon has to hear from
//! every member within a time limit, so messages don't grow with the fleet,
//! and the daemons of a zone agree on who is alive while nothing changes.
//!
//! A message carries the sender's own entry, the members that changed in the
//! last seconds, a digest of the members of each zone, and the newest
//! heartbeats of coordinators. Daemons whose digests still differ afterwards
//! compare the members of that zone ([`PeerTable::compare`]).
//!
//! Daemons suspect only members of their own zone. That a zone can't be
//! reached is detected by missing heartbeats of its coordinators ([`heartbeats`]).
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//!
//! use briarladder_core::fleet::peers::{Member, PeerTable};
//!
//! let now = Instant::now();
//! let me = Member::new("vm-1", "zone-a", "10.0.0.1:80".parse()?, 7);
//! let other = Member::new("vm-2", "zone-a", "10.0.0.2:80".parse()?, 8);
//! let mut table = PeerTable::new(me);
//! table.merge(now, &[other]);
//! assert_eq!(table.live(now).count(), 2);
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod digests;
mod exchange;
mod gossip_targets;
pub mod heartbeats;
mod member;
#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{membership::MemberState, rendezvous, sorted::SortedMap};

use self::{digests::Digests, heartbeats::HeartbeatTable};

pub use self::{
    exchange::{
        GossipMessage, MAX_MEMBER_UPDATES, ZoneDifference, ZoneSummary,
    },
    gossip_targets::GossipTarget,
    member::{DutyId, Member, MemberChange},
};

/// How long this daemon avoids a member that didn't answer it, unless it hears
/// from the member earlier. By then its zone has usually found it dead.
const AVOID_FOR: Duration = Duration::from_secs(4);

/// How long a suspect has to refute the suspicion. Several exchanges of the
/// member and of the daemons that suspect it fit into this time.
const SUSPECT_FOR: Duration = Duration::from_secs(3);

/// How long a dead member is remembered, so that an older entry doesn't bring
/// it back.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// A daemon that has reached no member of its zone for this long is isolated:
/// it regards itself as the only live one of the zone.
const ISOLATED_AFTER: Duration = Duration::from_secs(2);

/// A longer time between two ticks means that the process was paused, so that
/// missing answers prove nothing about others.
const PAUSE: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    /// When its state last changed in this table.
    since: Instant,
    /// When its entry last changed in this table.
    changed_at: Instant,
    avoid_until: Option<Instant>,
}

impl Peer {
    fn is_usable(&self, now: Instant) -> bool {
        self.member.is_assignable()
            && self.avoid_until.is_none_or(|until| until <= now)
    }
}

/// The daemons that this daemon knows, including itself.
#[derive(Clone, Debug)]
pub struct PeerTable {
    me: Member,
    peers: SortedMap<Arc<str>, Peer>,
    digests: Digests,
    beats: HeartbeatTable,
    /// When a member of the same zone was last heard from.
    contact_at: Option<Instant>,
    ticked_at: Option<Instant>,
    /// Earliest time of the next message to another zone.
    far_at: Option<Instant>,
    largest: usize,
}

impl PeerTable {
    /// Creates the table of a daemon that knows only itself.
    #[must_use]
    pub fn new(me: Member) -> PeerTable {
        let mut digests = Digests::default();
        digests.replace(None, Some(&me));
        PeerTable {
            me,
            peers: SortedMap::new(),
            digests,
            beats: HeartbeatTable::default(),
            contact_at: None,
            ticked_at: None,
            far_at: None,
            largest: 1,
        }
    }

    /// Returns the entry of this daemon.
    #[must_use]
    pub fn local_member(&self) -> &Member {
        &self.me
    }

    /// Announces that this daemon shuts down.
    pub fn leave(&mut self) {
        self.change_me(|me| {
            me.state = MemberState::Leaving;
            me.sequence += 1;
        });
    }

    fn change_me(&mut self, change: impl FnOnce(&mut Member)) {
        let before = self.me.clone();
        change(&mut self.me);
        self.digests.replace(Some(&before), Some(&self.me));
    }

    /// Merges entries of members and returns the changed states.
    pub fn merge(
        &mut self,
        now: Instant,
        statements: &[Member],
    ) -> Vec<MemberChange> {
        let changes = statements
            .iter()
            .filter_map(|statement| self.merge_one(now, statement))
            .collect();
        self.largest = self.largest.max(self.live(now).count());
        changes
    }

    fn merge_one(
        &mut self,
        now: Instant,
        statement: &Member,
    ) -> Option<MemberChange> {
        if statement.name == self.me.name {
            self.merge_own(statement);
            return None;
        }
        let known = self.peers.get(&*statement.name);
        let newer = match known {
            Some(known) => statement.is_newer_than(&known.member),
            // An unknown member that is dead need not be added.
            None => statement.state != MemberState::Dead,
        };
        if !newer {
            return None;
        }
        let from = known.map(|known| known.member.state);
        let same_run = known.is_some_and(|known| {
            known.member.incarnation == statement.incarnation
        });
        let avoid_until = known
            .and_then(|known| known.avoid_until)
            .filter(|_| same_run && statement.state != MemberState::Ready);
        self.put(Peer {
            member: statement.clone(),
            since: now,
            changed_at: now,
            avoid_until,
        });
        MemberChange::between(from, statement)
    }

    /// Handles an entry of this daemon received from others: takes an
    /// incarnation above that of an earlier process whose wall clock was
    /// ahead, and refutes a wrong suspicion.
    fn merge_own(&mut self, statement: &Member) {
        let me = &self.me;
        if statement.incarnation > me.incarnation {
            self.change_me(|me| {
                me.incarnation = statement.incarnation + 1;
                me.sequence = 0;
            });
        } else if statement.is_newer_than(me) {
            self.change_me(|me| {
                me.sequence = statement.sequence + 1;
                // Others have taken over its duties.
                if statement.state == MemberState::Dead {
                    me.duties.clear();
                }
            });
        }
    }

    fn put(&mut self, peer: Peer) {
        let name = Arc::clone(&peer.member.name);
        let before = self.peers.get(&*name).map(|before| &before.member);
        self.digests.replace(before, Some(&peer.member));
        self.peers.insert(name, peer);
    }

    /// Records that a member answered or called. `member` is its own entry.
    pub fn record_contact(
        &mut self,
        now: Instant,
        member: &Member,
    ) -> Vec<MemberChange> {
        if member.name == self.me.name {
            return Vec::new();
        }
        self.revive_earlier_run(now, member);
        let changes = self.merge(now, std::slice::from_ref(member));
        if let Some(peer) = self.peers.get_mut(&*member.name) {
            peer.avoid_until = None;
        }
        if member.zone == self.me.zone {
            self.contact_at = Some(now);
        }
        changes
    }

    /// Accepts a member whose wall clock was set back before it restarted: the
    /// incarnation known here is higher, but dead.
    fn revive_earlier_run(&mut self, now: Instant, member: &Member) {
        let dead_run = self.peers.get(&*member.name).is_some_and(|known| {
            known.member.state == MemberState::Dead
                && known.member.incarnation > member.incarnation
        });
        if dead_run {
            self.put(Peer {
                member: member.clone(),
                since: now,
                changed_at: now,
                avoid_until: None,
            });
        }
    }

    /// Records that a member didn't answer this daemon. Only this daemon
    /// avoids it.
    pub fn mark_unreachable(&mut self, now: Instant, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.avoid_until = Some(now + AVOID_FOR);
        }
    }

    /// Records that another daemon names this member as the holder of a duty.
    /// It counts as reachable although this daemon got no answer.
    pub fn mark_reachable(&mut self, now: Instant, member: &Member) {
        self.merge(now, std::slice::from_ref(member));
        if let Some(peer) = self.peers.get_mut(&*member.name) {
            peer.avoid_until = None;
        }
    }

    /// Advances the timers: suspects become dead, and dead members are
    /// forgotten.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberChange> {
        let paused = self
            .ticked_at
            .replace(now)
            .is_some_and(|before| now.duration_since(before) > PAUSE);
        if paused {
            self.resume_after_pause(now);
        }
        // At the first tick the time without contact starts.
        self.contact_at.get_or_insert(now);
        let overdue: Vec<Peer> = self
            .peers
            .values()
            .filter(|peer| {
                peer.member.state == MemberState::Suspect
                    && now.duration_since(peer.since) >= SUSPECT_FOR
            })
            .cloned()
            .collect();
        let changes = overdue
            .into_iter()
            .filter_map(|peer| self.set_state(now, peer, MemberState::Dead))
            .collect();
        // Dead members are in no digest, so daemons may forget them at
        // different times.
        self.peers.retain(|_, peer| {
            peer.member.state != MemberState::Dead
                || now.duration_since(peer.since) < FORGET_AFTER
        });
        self.beats.expire(now);
        changes
    }

    fn resume_after_pause(&mut self, now: Instant) {
        self.contact_at = Some(now);
        for (_, peer) in self.peers.iter_mut() {
            if peer.member.state == MemberState::Suspect {
                peer.since = now;
            }
        }
    }

    fn set_state(
        &mut self,
        now: Instant,
        mut peer: Peer,
        state: MemberState,
    ) -> Option<MemberChange> {
        let from = Some(peer.member.state);
        peer.member.state = state;
        peer.since = now;
        peer.changed_at = now;
        let change = MemberChange::between(from, &peer.member);
        self.put(peer);
        change
    }

    /// Returns whether this daemon reaches no other member of its zone.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.contact_at
            .is_some_and(|at| now.duration_since(at) >= ISOLATED_AFTER)
    }

    /// Iterates over the live daemons, including this one unless it shuts
    /// down.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let me = Some(&self.me).filter(|me| me.is_assignable());
        me.into_iter().chain(self.live_peers(now))
    }

    /// Iterates over the live daemons other than this one.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let isolated = self.is_isolated(now);
        self.peers
            .values()
            .filter(move |peer| {
                let cut_off = isolated && peer.member.zone == self.me.zone;
                !cut_off && peer.is_usable(now)
            })
            .map(|peer| &peer.member)
    }

    /// Returns the names of the live daemons of this daemon's zone, including
    /// itself.
    #[must_use]
    pub fn live_in_zone(&self, now: Instant) -> Vec<Arc<str>> {
        self.live(now)
            .filter(|member| member.zone == self.me.zone)
            .map(|member| Arc::clone(&member.name))
            .collect()
    }

    /// Returns the address on which a live daemon serves peers.
    #[must_use]
    pub fn address_of(&self, now: Instant, name: &str) -> Option<SocketAddr> {
        let peer = self.peers.get(name)?;
        peer.is_usable(now).then_some(peer.member.address)
    }

    /// Returns the largest number of daemons that were alive at once.
    #[must_use]
    pub fn peak_live_count(&self) -> usize {
        self.largest
    }

    /// Claims a duty, so that it stays with this daemon while others join and
    /// leave. An isolated daemon claims none, since others also do its duties.
    pub fn claim_duty(&mut self, now: Instant, duty: &str) {
        let duty = DutyId::of(duty);
        let Err(at) = self.me.duties.binary_search(&duty) else { return };
        if self.is_isolated(now) {
            return;
        }
        self.change_me(|me| {
            me.duties.insert(at, duty);
            me.sequence += 1;
        });
    }

    /// Releases a duty that another daemon does.
    pub fn release_duty(&mut self, duty: &str) {
        let duty = DutyId::of(duty);
        let Ok(at) = self.me.duties.binary_search(&duty) else { return };
        self.change_me(|me| {
            me.duties.remove(at);
            me.sequence += 1;
        });
    }

    /// Returns the daemon that holds a duty, preferably in a zone: a live
    /// daemon that has claimed it and whose zone may keep it, else the first
    /// in rendezvous order among the live daemons of the zone, else among all.
    /// Two daemons may disagree for a moment, so a duty must tolerate two
    /// holders.
    #[must_use]
    pub fn duty_holder(
        &self,
        now: Instant,
        duty: &str,
        zone: &str,
        may_keep: &dyn Fn(&str) -> bool,
    ) -> Option<&Member> {
        let id = DutyId::of(duty);
        let first = |is_candidate: &dyn Fn(&Member) -> bool| {
            let members = self.live(now).filter(|member| is_candidate(member));
            rendezvous::order(duty, members.map(Named)).into_iter().next()
        };
        let near = |member: &Member| &*member.zone == zone;
        let taken =
            |member: &Member| member.holds_duty(id) && may_keep(&member.zone);
        first(&|member| taken(member) && near(member))
            .or_else(|| first(&taken))
            .or_else(|| first(&near))
            .or_else(|| first(&|_| true))
            .map(|Named(member)| member)
    }
}

struct Named<'a>(&'a Member);

impl AsRef<str> for Named<'_> {
    fn as_ref(&self) -> &str {
        &self.0.name
    }
}
