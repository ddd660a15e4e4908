//! A daemon of the fleet, as one statement describes it.

use std::{net::SocketAddr, sync::Arc};

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use crate::membership::MemberState;

/// One daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The VM.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where it answers peers.
    pub address: SocketAddr,
    /// Rises with each start of the process.
    pub incarnation: u64,
    /// Rises with each statement of the member that replaces another.
    pub sequence: u64,
    /// The state.
    pub state: MemberState,
    /// The duties that it has taken, in order.
    pub duties: Vec<DutyId>,
}

/// A duty in short: the hash of its name. Two of the 636 cells at the target
/// size share it in one of 21,000 fleets; one daemon then does both.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct DutyId(u32);

impl DutyId {
    /// Returns the hash of a name.
    #[must_use]
    pub fn of(name: &str) -> DutyId {
        let hash = rapidhash_v3(name.as_bytes()) & u64::from(u32::MAX);
        DutyId(u32::try_from(hash).unwrap_or_default())
    }
}

impl Member {
    /// Creates the first statement of an incarnation.
    #[must_use]
    pub fn new(
        name: &str,
        zone: &str,
        address: SocketAddr,
        incarnation: u64,
    ) -> Member {
        Member {
            name: Arc::from(name),
            zone: Arc::from(zone),
            address,
            incarnation,
            sequence: 0,
            state: MemberState::Ready,
            duties: Vec::new(),
        }
    }

    /// Returns whether the member has taken a duty.
    #[must_use]
    pub fn has_taken(&self, duty: DutyId) -> bool {
        self.duties.binary_search(&duty).is_ok()
    }

    /// Returns whether duties may fall on the member. A suspect keeps its
    /// own, so that a member that is only slow to answer loses nothing.
    #[must_use]
    pub fn is_assignable(&self) -> bool {
        matches!(self.state, MemberState::Ready | MemberState::Suspect)
    }

    /// Returns a hash of the statement, the same in all daemons.
    #[must_use]
    pub(super) fn hash(&self) -> u64 {
        let mut bytes = self.name.as_bytes().to_vec();
        bytes.extend(self.incarnation.to_le_bytes());
        bytes.extend(self.sequence.to_le_bytes());
        bytes.push(match self.state {
            MemberState::Ready => 0,
            MemberState::Leaving => 1,
            MemberState::Suspect => 2,
            MemberState::Dead => 3,
        });
        rapidhash_v3(&bytes)
    }

    /// Returns whether this statement replaces another one of the same
    /// member.
    #[must_use]
    pub fn is_newer_than(&self, known: &Member) -> bool {
        let key = |member: &Member| {
            (member.incarnation, member.sequence, member.state)
        };
        key(self) > key(known)
    }
}

/// A member whose state has changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The VM.
    pub name: Arc<str>,
    /// The run of its process.
    pub incarnation: u64,
    /// The state before; `None` for a new member.
    pub from: Option<MemberState>,
    /// The state now.
    pub to: MemberState,
}

impl Change {
    /// Returns the change to a statement, if the state differs.
    pub(super) fn between(
        from: Option<MemberState>,
        member: &Member,
    ) -> Option<Change> {
        (from != Some(member.state)).then(|| Change {
            name: Arc::clone(&member.name),
            incarnation: member.incarnation,
            from,
            to: member.state,
        })
    }
}
