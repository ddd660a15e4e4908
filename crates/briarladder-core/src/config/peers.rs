//! The epochs that daemons announce, and since when a daemon has been behind.
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
//! let announce = |epoch| Announcement {
//!     in_force: epoch,
//!     known: epoch,
//!     in_force_digest: None,
//! };
//! peers.observe(&a, announce(4), start);
//! let later = start + Duration::from_secs(1);
//! peers.observe(&b, announce(5), later);
//! let behind = peers.behind();
//! assert_eq!((behind[0].vm, behind[0].since), (&a, later));
//! ```

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::{config::Digest, names::VmName, sorted::SortedMap};

/// The epochs that a daemon announces in each probe.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct Announcement {
    /// The epoch in force; 0 if there is none.
    pub in_force: u64,
    /// The highest epoch whose set it has completely, in force or rejected.
    /// Rejected sets are passed on, so that every daemon's status shows the
    /// reason.
    pub known: u64,
    /// The digest of the manifest in force, which tells two contents of one
    /// epoch apart. `None` if no epoch is in force, or in announcements of
    /// earlier versions of the daemon.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force_digest: Option<Digest>,
}

/// The epochs in force at all known daemons, this one included.
#[derive(Debug, Default)]
pub struct PeerEpochs {
    /// The highest epoch that any daemon has announced to be in force.
    newest: u64,
    peers: SortedMap<VmName, Peer>,
}

#[derive(Debug)]
struct Peer {
    in_force: u64,
    behind_since: Option<Instant>,
}

/// A daemon whose epoch in force is older than that of another daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BehindPeer<'a> {
    /// The daemon.
    pub vm: &'a VmName,
    /// The epoch it has in force; 0 if there is none.
    pub in_force: u64,
    /// When this daemon first observed that the other one is behind.
    pub since: Instant,
}

impl PeerEpochs {
    /// Creates a collection without daemons.
    #[must_use]
    pub fn new() -> PeerEpochs {
        PeerEpochs::default()
    }

    /// Records the announcement of a daemon.
    pub fn observe(
        &mut self,
        vm: &VmName,
        announced: Announcement,
        now: Instant,
    ) {
        let in_force = announced.in_force;
        let peer = self.peers.get_or_insert_with(vm.clone(), || Peer {
            in_force,
            behind_since: None,
        });
        // The epoch can decrease: a restarted daemon begins at 0.
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

    /// Removes a dead daemon.
    pub fn remove(&mut self, vm: &VmName) {
        self.peers.remove(vm);
    }

    /// Returns the daemons that are behind, sorted by name.
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
    /// Sets or clears `behind_since` for the newest epoch in force.
    fn update(&mut self, newest: u64, now: Instant) {
        self.behind_since =
            (self.in_force < newest).then(|| self.behind_since.unwrap_or(now));
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    /// Guards against resetting the start time with each probe or epoch,
    /// which would hide how long a daemon has been behind.
    #[test]
    fn behind_keeps_first_time() {
        let start = Instant::now();
        let at = |s| start + Duration::from_secs(s);
        let vm = |name| VmName::new(name).unwrap();
        let announce = |epoch| Announcement {
            in_force: epoch,
            known: epoch,
            in_force_digest: None,
        };
        let mut peers = PeerEpochs::new();
        peers.observe(&vm("a"), announce(4), at(0));
        peers.observe(&vm("b"), announce(5), at(1));
        peers.observe(&vm("a"), announce(4), at(2));
        peers.observe(&vm("b"), announce(6), at(3));
        peers.observe(&vm("a"), announce(5), at(4));
        let behind = peers.behind();
        assert_eq!(behind.len(), 1);
        assert_eq!((behind[0].in_force, behind[0].since), (5, at(1)));
        peers.observe(&vm("a"), announce(6), at(5));
        assert!(peers.behind().is_empty());
        peers.observe(&vm("a"), announce(0), at(6));
        assert_eq!(peers.behind()[0].since, at(6));
        peers.remove(&vm("a"));
        assert!(peers.behind().is_empty());
    }
}
