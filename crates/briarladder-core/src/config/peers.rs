//! What peers say of their epochs, and who is behind since when.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::{
//!     config::{Announcement, PeerEpochs},
//!     names::VmName,
//! };
//!
//! let start = Instant::now();
//! let mut peers = PeerEpochs::new();
//! let (a, b) = (VmName::new("a").unwrap(), VmName::new("b").unwrap());
//! peers.observe(&a, Announcement { in_force: 4, known: 4 }, start);
//! let later = start + Duration::from_secs(1);
//! peers.observe(&b, Announcement { in_force: 5, known: 5 }, later);
//! let behind = peers.behind();
//! assert_eq!((behind[0].vm, behind[0].since), (&a, later));
//! ```

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::{names::VmName, sorted::SortedMap};

/// What a daemon says of its configuration in each probe.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct Announcement {
    /// The epoch in force; 0 if there is none.
    pub in_force: u64,
    /// The highest epoch that it has whole, in force or rejected. Rejected
    /// sets are passed on, so that the reason appears in every status.
    pub known: u64,
}

/// The epochs of all daemons that this one hears of, itself included.
#[derive(Debug, Default)]
pub struct PeerEpochs {
    /// The highest epoch in force anywhere.
    newest: u64,
    peers: SortedMap<VmName, Peer>,
}

#[derive(Debug)]
struct Peer {
    in_force: u64,
    behind_since: Option<Instant>,
}

/// A daemon with an older epoch in force than another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BehindPeer<'a> {
    /// The daemon.
    pub vm: &'a VmName,
    /// The epoch it has in force; 0 if there is none.
    pub in_force: u64,
    /// When this daemon first knew that the other one is behind.
    pub since: Instant,
}

impl PeerEpochs {
    /// Creates an empty view.
    #[must_use]
    pub fn new() -> PeerEpochs {
        PeerEpochs::default()
    }

    /// Notes what a daemon announced.
    pub fn observe(
        &mut self,
        vm: &VmName,
        announced: Announcement,
        now: Instant,
    ) {
        let in_force = announced.in_force;
        let peer = self.peers.entry_or_insert_with(vm.clone(), || Peer {
            in_force,
            behind_since: None,
        });
        // A restarted daemon starts at 0, so the epoch may go down.
        peer.in_force = in_force;
        if in_force > self.newest {
            self.newest = in_force;
            for (_, peer) in self.peers.iter_mut() {
                peer.update(in_force, now);
            }
        } else {
            peer.update(self.newest, now);
        }
    }

    /// Forgets a daemon that is dead.
    pub fn forget(&mut self, vm: &VmName) {
        self.peers.remove(vm);
    }

    /// Returns the daemons that are behind, by name.
    #[must_use]
    pub fn behind(&self) -> Vec<BehindPeer<'_>> {
        let behind = self.peers.iter().filter_map(|(vm, peer)| {
            let since = peer.behind_since?;
            Some(BehindPeer { vm, in_force: peer.in_force, since })
        });
        behind.collect()
    }
}

impl Peer {
    fn update(&mut self, newest: u64, now: Instant) {
        self.behind_since =
            (self.in_force < newest).then(|| self.behind_since.unwrap_or(now));
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    /// Guards against a time that restarts with each probe or epoch, which
    /// would hide how long a daemon has been behind.
    #[test]
    fn behind_keeps_first_time() {
        let start = Instant::now();
        let at = |s| start + Duration::from_secs(s);
        let vm = |name| VmName::new(name).unwrap();
        let said = |epoch| Announcement { in_force: epoch, known: epoch };
        let mut peers = PeerEpochs::new();
        peers.observe(&vm("a"), said(4), at(0));
        peers.observe(&vm("b"), said(5), at(1));
        peers.observe(&vm("a"), said(4), at(2));
        peers.observe(&vm("b"), said(6), at(3));
        peers.observe(&vm("a"), said(5), at(4));
        let behind = peers.behind();
        assert_eq!(behind.len(), 1);
        assert_eq!((behind[0].in_force, behind[0].since), (5, at(1)));
        peers.observe(&vm("a"), said(6), at(5));
        assert!(peers.behind().is_empty());
        peers.observe(&vm("a"), said(0), at(6));
        assert_eq!(peers.behind()[0].since, at(6));
        peers.forget(&vm("a"));
        assert!(peers.behind().is_empty());
    }
}
