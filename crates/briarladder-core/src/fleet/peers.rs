//! Which daemons of the fleet are alive, from their heartbeats.
//!
//! Each daemon raises its own counter and exchanges a bounded list of
//! counters with one peer at a time. A peer is alive while its counter is
//! seen to rise by the local monotonic clock; wall-clock time decides
//! nothing. A higher incarnation replaces a lower one of the same address.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::fleet::peers::{Heartbeat, PeerTable};
//!
//! let now = Instant::now();
//! let me = Heartbeat::new("vm-1", "zone-a", "10.0.0.1:80".parse()?, 7);
//! let other = Heartbeat::new("vm-2", "zone-a", "10.0.0.2:80".parse()?, 8);
//! let mut table = PeerTable::new(me);
//! table.merge(now, &[other]);
//! assert_eq!(table.live(now).count(), 2);
//! assert_eq!(table.live(now + Duration::from_secs(60)).count(), 1);
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{rendezvous, sorted::SortedMap};

/// A peer without a new heartbeat for this long counts as dead. Six exchange
/// intervals, so that a rumour of a live peer is rarely later.
const DEAD_AFTER: Duration = Duration::from_millis(3500);

/// A peer that did not answer a call is avoided for this long.
const AVOID_FOR: Duration = Duration::from_millis(1500);

/// A dead peer is forgotten after this time.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// The heartbeats in one exchange. It bounds the bytes of an exchange in a
/// large fleet; a random part is sent each time.
pub const MAX_EXCHANGED: usize = 48;

/// The newest that is known of a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The VM.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where it answers peers.
    pub address: SocketAddr,
    /// Rises with each start of the process.
    pub incarnation: u64,
    /// Rises while the process runs.
    pub count: u64,
    /// Whether a planned stop has begun.
    pub leaving: bool,
    /// How long a new request waits for its stages, if this daemon
    /// coordinates any.
    pub stage_wait_ms: u32,
}

impl Heartbeat {
    /// Creates the first heartbeat of an incarnation.
    #[must_use]
    pub fn new(
        name: &str,
        zone: &str,
        address: SocketAddr,
        incarnation: u64,
    ) -> Heartbeat {
        Heartbeat {
            name: Arc::from(name),
            zone: Arc::from(zone),
            address,
            incarnation,
            count: 0,
            leaving: false,
            stage_wait_ms: 0,
        }
    }
}

#[derive(Clone, Debug)]
struct Peer {
    beat: Heartbeat,
    risen_at: Instant,
    avoid_until: Option<Instant>,
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        !self.beat.leaving
            && now.duration_since(self.risen_at) < DEAD_AFTER
            && self.avoid_until.is_none_or(|until| until <= now)
    }
}

/// The daemons that this one knows, itself included.
#[derive(Clone, Debug)]
pub struct PeerTable {
    me: Heartbeat,
    peers: SortedMap<Arc<str>, Peer>,
    largest: usize,
}

impl PeerTable {
    /// Creates the table of a daemon that knows only itself.
    #[must_use]
    pub fn new(me: Heartbeat) -> PeerTable {
        PeerTable { me, peers: SortedMap::new(), largest: 1 }
    }

    /// Returns this daemon.
    #[must_use]
    pub fn me(&self) -> &Heartbeat {
        &self.me
    }

    /// Raises this daemon's counter.
    pub fn beat(&mut self, stage_wait_ms: u32) {
        self.me.count += 1;
        self.me.stage_wait_ms = stage_wait_ms;
    }

    /// Records the wait for stages that a peer has told beside its heartbeat.
    pub fn heard_stage_wait(&mut self, name: &str, stage_wait_ms: u32) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.beat.stage_wait_ms = stage_wait_ms;
        }
    }

    /// Announces that this daemon stops.
    pub fn leave(&mut self) {
        self.me.leaving = true;
        self.me.count += 1;
    }

    /// Takes heartbeats from a peer.
    pub fn merge(&mut self, now: Instant, beats: &[Heartbeat]) {
        for beat in beats {
            if beat.name == self.me.name {
                self.outlive(beat);
            } else {
                self.merge_one(now, beat);
            }
        }
        self.peers.retain(|_, peer| {
            now.duration_since(peer.risen_at) < FORGET_AFTER
        });
        let live = self.live(now).count();
        self.largest = self.largest.max(live);
    }

    /// Takes a higher incarnation than an earlier process of this VM, whose
    /// wall clock may have been ahead.
    fn outlive(&mut self, earlier: &Heartbeat) {
        if earlier.incarnation > self.me.incarnation {
            self.me.incarnation = earlier.incarnation + 1;
        }
    }

    fn merge_one(&mut self, now: Instant, beat: &Heartbeat) {
        let newer = self.peers.get(&*beat.name).is_none_or(|known| {
            let dead = now.duration_since(known.risen_at) >= DEAD_AFTER;
            (beat.incarnation, beat.count)
                > (known.beat.incarnation, known.beat.count)
                || (dead && beat.incarnation != known.beat.incarnation)
        });
        if newer {
            let peer =
                Peer { beat: beat.clone(), risen_at: now, avoid_until: None };
            self.peers.insert(Arc::clone(&beat.name), peer);
        }
    }

    /// Records that a peer did not answer. Its next heartbeat clears this.
    pub fn unreachable(&mut self, now: Instant, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.avoid_until = Some(now + AVOID_FOR);
        }
    }

    /// Iterates over the live daemons, this one included unless it stops.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        let me = Some(&self.me).filter(|me| !me.leaving);
        me.into_iter().chain(self.live_peers(now))
    }

    /// Iterates over the live daemons other than this one.
    pub fn live_peers(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = &Heartbeat> {
        self.peers
            .values()
            .filter(move |peer| peer.is_live(now))
            .map(|peer| &peer.beat)
    }

    /// Returns the largest fleet that was alive at once.
    #[must_use]
    pub fn largest(&self) -> usize {
        self.largest
    }

    /// Returns the daemon that does a duty near a zone: the first in
    /// rendezvous order among the live daemons of the zone, else of all.
    /// Two daemons may disagree for a moment, so a duty must allow that.
    #[must_use]
    pub fn duty_holder(
        &self,
        now: Instant,
        duty: &str,
        zone: &str,
    ) -> Option<&Heartbeat> {
        let in_zone =
            self.live(now).filter(|beat| &*beat.zone == zone).map(Named);
        let holder = rendezvous::order(duty, in_zone).into_iter().next();
        holder
            .or_else(|| {
                let all = self.live(now).map(Named);
                rendezvous::order(duty, all).into_iter().next()
            })
            .map(|Named(beat)| beat)
    }

    /// Returns the heartbeats for an exchange, this daemon's first. `start`
    /// is a random number that picks a part of a long table.
    #[must_use]
    pub fn exchange(&self, now: Instant, start: usize) -> Vec<Heartbeat> {
        let recent: Vec<&Peer> = self
            .peers
            .values()
            .filter(|peer| now.duration_since(peer.risen_at) < DEAD_AFTER)
            .collect();
        let mut beats = vec![self.me.clone()];
        let wanted = recent.len().min(MAX_EXCHANGED - 1);
        for step in 0..wanted {
            let peer = recent[(start + step) % recent.len()];
            beats.push(peer.beat.clone());
        }
        beats
    }
}

struct Named<'a>(&'a Heartbeat);

impl AsRef<str> for Named<'_> {
    fn as_ref(&self) -> &str {
        &self.0.name
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn beat(name: &str, zone: &str, incarnation: u64) -> Heartbeat {
        let address = "127.0.0.1:1".parse().unwrap();
        Heartbeat::new(name, zone, address, incarnation)
    }

    /// Guards against a dead peer that old rumours keep alive.
    #[test]
    fn merge_old_rumour() {
        let start = Instant::now();
        let mut table = PeerTable::new(beat("me", "a", 1));
        let other = beat("other", "a", 1);
        table.merge(start, std::slice::from_ref(&other));
        let later = start + DEAD_AFTER;
        table.merge(later, &[other]);
        assert_eq!(table.live_peers(later).count(), 0);
    }

    /// Guards against a restarted peer whose lower counter is ignored.
    #[test]
    fn merge_new_incarnation() {
        let now = Instant::now();
        let mut table = PeerTable::new(beat("me", "a", 1));
        let mut old = beat("other", "a", 1);
        old.count = 100;
        old.leaving = true;
        table.merge(now, &[old]);
        assert_eq!(table.live_peers(now).count(), 0);
        table.merge(now, &[beat("other", "a", 2)]);
        assert_eq!(table.live_peers(now).count(), 1);
    }

    /// Guards against a restarted daemon that nobody believes because its
    /// wall clock went back.
    #[test]
    fn merge_own_earlier_incarnation() {
        let now = Instant::now();
        let mut table = PeerTable::new(beat("me", "a", 5));
        table.merge(now, &[beat("me", "a", 9)]);
        assert_eq!(table.me().incarnation, 10);
        let mut peer = PeerTable::new(beat("other", "a", 1));
        peer.merge(now, &[beat("me", "a", 9)]);
        let later = now + DEAD_AFTER;
        peer.merge(later, &[beat("me", "a", 5)]);
        assert_eq!(peer.live_peers(later).count(), 1);
    }

    /// Guards against duties that stay with a peer that does not answer, and
    /// against a zone without daemons whose duty nobody holds.
    #[test]
    fn duty_holder_changes() {
        let now = Instant::now();
        let mut table = PeerTable::new(beat("me", "a", 1));
        table.merge(now, &[beat("b1", "b", 1), beat("b2", "b", 1)]);
        let first = table.duty_holder(now, "d", "b").unwrap().name.clone();
        assert_ne!(&*first, "me");
        table.unreachable(now, &first);
        let second = table.duty_holder(now, "d", "b").unwrap().name.clone();
        assert_ne!(first, second);
        assert_ne!(&*second, "me");
        assert!(table.duty_holder(now, "d", "c").is_some());
    }

    /// Guards against requests that all go to one busy cell because its wait
    /// is not known elsewhere.
    #[test]
    fn beat_tells_stage_wait() {
        let now = Instant::now();
        let mut busy = PeerTable::new(beat("busy", "a", 1));
        let mut table = PeerTable::new(beat("me", "b", 1));
        busy.beat(700);
        table.merge(now, &busy.exchange(now, 0));
        let wait = |table: &PeerTable| {
            table.live_peers(now).next().unwrap().stage_wait_ms
        };
        assert_eq!(wait(&table), 700);
        table.heard_stage_wait("busy", 40);
        assert_eq!(wait(&table), 40);
    }

    /// Guards against exchanges that grow with the fleet.
    #[test]
    fn exchange_bounded() {
        let now = Instant::now();
        let mut table = PeerTable::new(beat("me", "a", 1));
        let beats: Vec<Heartbeat> =
            (0..300).map(|at| beat(&format!("vm-{at}"), "a", 1)).collect();
        table.merge(now, &beats);
        assert_eq!(table.exchange(now, 17).len(), MAX_EXCHANGED);
        assert_eq!(table.largest(), 301);
    }
}
