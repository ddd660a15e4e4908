//! Members of the fleet.

use std::{net::SocketAddr, sync::Arc};

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use crate::membership::MemberState;

/// The entry of one daemon: its address, state and duties as of one
/// incarnation and sequence.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The VM.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Address on which it serves peers.
    pub address: SocketAddr,
    /// Increases with each start of the process.
    pub incarnation: u64,
    /// Increases with each change that the member itself makes to its entry.
    pub sequence: u64,
    /// Its state.
    pub state: MemberState,
    /// The duties that it holds, in order.
    pub duties: Vec<DutyId>,
}

/// The hash of the name of a duty. With the 636 cells of the target size, two
/// collide in one of 21,000 fleets; one daemon then holds both duties.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct DutyId(u32);

impl DutyId {
    /// Returns the id of the duty of a name.
    #[must_use]
    pub fn of(name: &str) -> DutyId {
        let hash = rapidhash_v3(name.as_bytes()) & u64::from(u32::MAX);
        DutyId(u32::try_from(hash).unwrap_or_default())
    }
}

impl Member {
    /// Creates the first entry of an incarnation.
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

    /// Returns whether the member holds a duty.
    #[must_use]
    pub fn holds_duty(&self, duty: DutyId) -> bool {
        self.duties.binary_search(&duty).is_ok()
    }

    /// Returns whether duties may be assigned to the member. A suspect keeps
    /// its duties, so that a member that is only slow to respond doesn't lose
    /// them.
    #[must_use]
    pub fn is_assignable(&self) -> bool {
        matches!(self.state, MemberState::Ready | MemberState::Suspect)
    }

    /// Returns a hash of the entry that is the same in all daemons.
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

    /// Returns whether this entry replaces another one of the same member.
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
pub struct MemberChange {
    /// The VM.
    pub name: Arc<str>,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// The state before; `None` for a new member.
    pub from: Option<MemberState>,
    /// The state now.
    pub to: MemberState,
}

impl MemberChange {
    /// Returns the change from a state to that of a member, if they differ.
    pub(super) fn between(
        from: Option<MemberState>,
        member: &Member,
    ) -> Option<MemberChange> {
        (from != Some(member.state)).then(|| MemberChange {
            name: Arc::clone(&member.name),
            incarnation: member.incarnation,
            from,
            to: member.state,
        })
    }
}
