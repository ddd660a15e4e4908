//! Tracks which daemons of the fleet are alive and assigns duties to them. A
//! duty is a task that one daemon does, such as coordinating a cell.
//!
//! A daemon exchanges a gossip message with one other daemon of its zone twice
//! a second. A member counts as alive until its zone has found it silent: it
//! didn't respond to a daemon directly, a second daemon didn't reach it
//! either, and it didn't refute the suspicion in time. No daemon has to hear
//! from every member within a time limit, so messages don't grow with the
//! fleet, and the daemons of a zone agree on who is alive while nothing
//! changes.
//!
//! A message carries the sender's own entry, the members that changed in the
//! last seconds, a digest of the members of each zone, and the newest
//! heartbeats of coordinators. Daemons whose digests still differ afterwards
//! compare the members of that zone ([`PeerTable::compare`]).
//!
//! Daemons suspect only members of their own zone. That a zone can't be
//! reached is detected by missing heartbeats of its coordinators
//! ([`heartbeats`]).
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
mod present;
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

/// How long this daemon avoids a member that didn't respond to it, unless it
/// hears from the member earlier. By then its zone has usually found it dead.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(4);

/// How long a suspect has to refute the suspicion. Several exchanges of the
/// member and of the daemons that suspect it fit into this time.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a dead member is remembered, so that an older entry doesn't bring
/// it back.
const DEAD_RETENTION: Duration = Duration::from_mins(1);

/// A daemon that has reached no member of its zone for this long is isolated:
/// it regards itself as the only live one of the zone.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(2);

/// A longer time between two ticks means that the process was paused, so that
/// missing responses prove nothing about others.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    /// When its state last changed in this table.
    state_since: Instant,
    /// When its entry last changed in this table.
    changed_at: Instant,
    backoff_until: Option<Instant>,
}

impl Peer {
    fn is_usable(&self, now: Instant) -> bool {
        self.member.is_assignable()
            && self.backoff_until.is_none_or(|until| until <= now)
    }
}

/// The daemons that this daemon knows, including itself.
#[derive(Clone, Debug)]
pub struct PeerTable {
    local: Member,
    peers: SortedMap<Arc<str>, Peer>,
    digests: Digests,
    heartbeats: HeartbeatTable,
    /// When a member of the same zone was last heard from.
    last_contact_at: Option<Instant>,
    last_tick_at: Option<Instant>,
    /// Earliest time of the next message to another zone.
    next_cross_zone_at: Option<Instant>,
    /// Until when there is news that others need soon.
    urgent_until: Option<Instant>,
    peak_live_count: usize,
    /// Number of changes to the names of the present members.
    present_version: u64,
}

impl PeerTable {
    /// Creates the table of a daemon that knows only itself.
    #[must_use]
    pub fn new(local: Member) -> PeerTable {
        let mut digests = Digests::default();
        digests.replace(None, Some(&local));
        PeerTable {
            local,
            peers: SortedMap::new(),
            digests,
            heartbeats: HeartbeatTable::default(),
            last_contact_at: None,
            last_tick_at: None,
            next_cross_zone_at: None,
            urgent_until: None,
            peak_live_count: 1,
            present_version: 0,
        }
    }

    /// Returns the entry of this daemon.
    #[must_use]
    pub fn local_member(&self) -> &Member {
        &self.local
    }

    /// Announces that this daemon shuts down.
    pub fn leave(&mut self) {
        self.update_local(|local| {
            local.state = MemberState::Leaving;
            local.sequence += 1;
        });
    }

    fn update_local(&mut self, change: impl FnOnce(&mut Member)) {
        let previous = self.local.clone();
        change(&mut self.local);
        if previous.is_assignable() != self.local.is_assignable() {
            self.present_version += 1;
        }
        self.digests.replace(Some(&previous), Some(&self.local));
    }

    /// Merges entries of members and returns the changed states.
    pub fn merge(
        &mut self,
        now: Instant,
        entries: &[Member],
    ) -> Vec<MemberChange> {
        let changes = entries
            .iter()
            .filter_map(|entry| self.merge_one(now, entry))
            .collect();
        self.peak_live_count =
            self.peak_live_count.max(self.live(now).count());
        changes
    }

    fn merge_one(
        &mut self,
        now: Instant,
        entry: &Member,
    ) -> Option<MemberChange> {
        if entry.name == self.local.name {
            self.merge_local(entry);
            return None;
        }
        let known = self.peers.get(&*entry.name);
        let is_newer = match known {
            Some(known) => entry.is_newer_than(&known.member),
            // An unknown member that is dead need not be added.
            None => entry.state != MemberState::Dead,
        };
        if !is_newer {
            return None;
        }
        let from = known.map(|known| known.member.state);
        let same_incarnation = known.is_some_and(|known| {
            known.member.incarnation == entry.incarnation
        });
        let backoff_until = known
            .and_then(|known| known.backoff_until)
            .filter(|_| same_incarnation && entry.state != MemberState::Ready);
        self.insert_peer(Peer {
            member: entry.clone(),
            state_since: now,
            changed_at: now,
            backoff_until,
        });
        MemberChange::between(from, entry)
    }

    /// Handles an entry of this daemon received from others: takes an
    /// incarnation above that of an earlier process whose wall clock was
    /// ahead, and refutes a wrong suspicion.
    fn merge_local(&mut self, entry: &Member) {
        let local = &self.local;
        if entry.incarnation > local.incarnation {
            self.update_local(|local| {
                local.incarnation = entry.incarnation + 1;
                local.sequence = 0;
            });
        } else if entry.is_newer_than(local) {
            self.update_local(|local| {
                local.sequence = entry.sequence + 1;
                // Others have taken over its duties.
                if entry.state == MemberState::Dead {
                    local.duties.clear();
                }
            });
        }
    }

    fn insert_peer(&mut self, peer: Peer) {
        let name = Arc::clone(&peer.member.name);
        let previous = self.peers.get(&*name).map(|previous| &previous.member);
        let was_present = previous.is_some_and(Member::is_assignable);
        if was_present != peer.member.is_assignable() {
            self.present_version += 1;
        }
        self.digests.replace(previous, Some(&peer.member));
        self.peers.insert(name, peer);
    }

    /// Records that a member responded or called. `member` is its own entry.
    pub fn record_contact(
        &mut self,
        now: Instant,
        member: &Member,
    ) -> Vec<MemberChange> {
        if member.name == self.local.name {
            return Vec::new();
        }
        self.accept_lower_incarnation(now, member);
        let changes = self.merge(now, std::slice::from_ref(member));
        if let Some(peer) = self.peers.get_mut(&*member.name) {
            peer.backoff_until = None;
        }
        if member.zone == self.local.zone {
            self.last_contact_at = Some(now);
        }
        changes
    }

    /// Accepts a member whose wall clock was set back before it restarted: the
    /// incarnation known here is higher, but dead.
    fn accept_lower_incarnation(&mut self, now: Instant, member: &Member) {
        let higher_is_dead =
            self.peers.get(&*member.name).is_some_and(|known| {
                known.member.state == MemberState::Dead
                    && known.member.incarnation > member.incarnation
            });
        if higher_is_dead {
            self.insert_peer(Peer {
                member: member.clone(),
                state_since: now,
                changed_at: now,
                backoff_until: None,
            });
        }
    }

    /// Records that a member didn't respond to this daemon. Only this daemon
    /// avoids it.
    pub fn mark_unreachable(&mut self, now: Instant, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.backoff_until = Some(now + UNREACHABLE_BACKOFF);
        }
    }

    /// Records that another daemon names this member as the holder of a duty.
    /// It counts as reachable although this daemon got no response.
    pub fn mark_reachable(&mut self, now: Instant, member: &Member) {
        self.merge(now, std::slice::from_ref(member));
        if let Some(peer) = self.peers.get_mut(&*member.name) {
            peer.backoff_until = None;
        }
    }

    /// Advances the timers: suspects become dead, and dead members are
    /// forgotten.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberChange> {
        let was_paused =
            self.last_tick_at.replace(now).is_some_and(|previous| {
                now.duration_since(previous) > PAUSE_THRESHOLD
            });
        if was_paused {
            self.resume_after_pause(now);
        }
        // The time without contact counts from the first tick.
        self.last_contact_at.get_or_insert(now);
        let expired_suspects: Vec<Peer> = self
            .peers
            .values()
            .filter(|peer| {
                peer.member.state == MemberState::Suspect
                    && now.duration_since(peer.state_since) >= SUSPECT_TIMEOUT
            })
            .cloned()
            .collect();
        let changes = expired_suspects
            .into_iter()
            .filter_map(|peer| self.set_state(now, peer, MemberState::Dead))
            .collect();
        // Dead members are in no digest, so daemons may forget them at
        // different times.
        self.peers.retain(|_, peer| {
            peer.member.state != MemberState::Dead
                || now.duration_since(peer.state_since) < DEAD_RETENTION
        });
        self.heartbeats.expire(now);
        changes
    }

    fn resume_after_pause(&mut self, now: Instant) {
        self.last_contact_at = Some(now);
        for (_, peer) in self.peers.iter_mut() {
            if peer.member.state == MemberState::Suspect {
                peer.state_since = now;
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
        peer.state_since = now;
        peer.changed_at = now;
        let change = MemberChange::between(from, &peer.member);
        self.insert_peer(peer);
        change
    }

    /// Returns whether this daemon reaches no other member of its zone.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.last_contact_at
            .is_some_and(|at| now.duration_since(at) >= ISOLATION_TIMEOUT)
    }

    /// Iterates over the live daemons, including this one unless it shuts
    /// down.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let local = Some(&self.local).filter(|local| local.is_assignable());
        local.into_iter().chain(self.live_peers(now))
    }

    /// Iterates over the live daemons other than this one.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let isolated = self.is_isolated(now);
        self.peers
            .values()
            .filter(move |peer| {
                let unreachable =
                    isolated && peer.member.zone == self.local.zone;
                !unreachable && peer.is_usable(now)
            })
            .map(|peer| &peer.member)
    }

    /// Returns the names of the live daemons of this daemon's zone, including
    /// itself.
    #[must_use]
    pub fn live_in_zone(&self, now: Instant) -> Vec<Arc<str>> {
        self.live(now)
            .filter(|member| member.zone == self.local.zone)
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
        self.peak_live_count
    }

    /// Claims a duty, so that it stays with this daemon while others join and
    /// leave. An isolated daemon claims none, since others also do its duties.
    pub fn claim_duty(&mut self, now: Instant, duty: &str) {
        let duty = DutyId::of(duty);
        let Err(at) = self.local.duties.binary_search(&duty) else { return };
        if self.is_isolated(now) {
            return;
        }
        self.update_local(|local| {
            local.duties.insert(at, duty);
            local.sequence += 1;
        });
    }

    /// Releases a duty that another daemon does.
    pub fn release_duty(&mut self, duty: &str) {
        let duty = DutyId::of(duty);
        let Ok(at) = self.local.duties.binary_search(&duty) else { return };
        self.update_local(|local| {
            local.duties.remove(at);
            local.sequence += 1;
        });
    }

    /// Returns the daemon that holds a duty, preferably in a zone: a live
    /// daemon that has claimed it and whose zone may keep it, else the first
    /// in rendezvous order among the live daemons of the zone, else among
    /// those of the zones that may keep it, else among all.
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
            rendezvous::order(duty, members.map(ByName)).into_iter().next()
        };
        let in_zone = |member: &Member| &*member.zone == zone;
        let claimed =
            |member: &Member| member.holds_duty(id) && may_keep(&member.zone);
        first(&|member| claimed(member) && in_zone(member))
            .or_else(|| first(&claimed))
            .or_else(|| first(&in_zone))
            .or_else(|| first(&|member| may_keep(&member.zone)))
            .or_else(|| first(&|_| true))
            .map(|ByName(member)| member)
    }
}

struct ByName<'a>(&'a Member);

impl AsRef<str> for ByName<'_> {
    fn as_ref(&self) -> &str {
        &self.0.name
    }
}
