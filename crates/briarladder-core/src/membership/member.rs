//! A member, and what is said about one.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use derive_more::Display;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{
    ids::Incarnation,
    names::{VmName, ZoneName},
    timeline::HlcTimestamp,
};

/// The random low bits of an incarnation. The 42 bits above them hold
/// milliseconds since the Unix epoch and suffice until the year 2109.
const INCARNATION_RANDOM_BITS: u32 = 22;

/// Draws the incarnation of a starting daemon: its start time, then random
/// bits. A restart is thus higher, which a purely random number is not.
#[must_use]
pub fn new_incarnation(unix: Duration, rng: &mut impl Rng) -> Incarnation {
    let unix_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
    let low = rng.random_range(0..1_u64 << INCARNATION_RANDOM_BITS);
    Incarnation(unix_ms << INCARNATION_RANDOM_BITS | low)
}

/// The state of a member. Of two statements with equal incarnation and
/// sequence, the one with the greater state holds.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It takes requests.
    #[display("ready")]
    Ready,
    /// It is in a planned stop.
    #[display("leaving")]
    Leaving,
    /// It did not answer, directly or through others.
    #[display("suspect")]
    Suspect,
    /// It stayed suspect for [`SUSPECT_TIMEOUT`](super::SUSPECT_TIMEOUT).
    #[display("dead")]
    Dead,
}

/// What a daemon is for its peers, fixed for one run of the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The VM.
    pub name: VmName,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The run of the process.
    pub incarnation: Incarnation,
}

/// A VM from the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// The VM.
    pub name: VmName,
    /// Where peers reach its daemon.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What the list says.
    pub state: SeedState,
}

/// The platform's word on a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SeedState {
    /// It runs.
    Live,
    /// It is about to be stopped.
    Leaving,
}

/// One daemon as seen by another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The VM.
    pub name: VmName,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The run of the process; `None` if only the platform's list names it.
    pub incarnation: Option<Incarnation>,
    /// The state.
    pub state: MemberState,
    /// The epoch it last had in force.
    pub epoch: u64,
    /// Raised by the member with each statement about itself that replaces
    /// another.
    pub sequence: u64,
    /// Whether it said, in this incarnation, that it leaves. Kept apart from
    /// the state, so that a suspicion does not hide it.
    pub(super) leaving: bool,
    /// When the state last changed.
    pub(super) since: Instant,
    /// Whether the platform's newest list names it.
    pub(super) listed: bool,
}

impl Member {
    /// Returns whether the member counts in rendezvous orders: it is ready,
    /// or suspect without having said that it leaves. Suspects count, so
    /// that a false suspicion does not move what they hold.
    #[must_use]
    pub fn is_assignable(&self) -> bool {
        match self.state {
            MemberState::Ready => true,
            MemberState::Suspect => !self.leaving,
            MemberState::Leaving | MemberState::Dead => false,
        }
    }

    /// Returns when the state last changed.
    #[must_use]
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Returns what can be said of the member, if its incarnation is known.
    pub(super) fn update(&self) -> Option<MemberUpdate> {
        Some(MemberUpdate {
            name: self.name.clone(),
            address: self.address,
            zone: self.zone.clone(),
            incarnation: self.incarnation?,
            sequence: self.sequence,
            epoch: self.epoch,
            state: self.state,
        })
    }
}

/// A statement about one member, passed between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// The VM.
    pub name: VmName,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The sequence of the member's statement that this one is based on.
    pub sequence: u64,
    /// The epoch it had in force.
    pub epoch: u64,
    /// The state.
    pub state: MemberState,
}

/// The body of a probe and of its answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's statement about itself.
    pub sender: MemberUpdate,
    /// The sender's clock.
    pub timestamp: HlcTimestamp,
    /// Statements about other members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<MemberUpdate>,
}

/// A member whose state changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberChange {
    /// The VM.
    pub name: VmName,
    /// The state before; `None` for a new member.
    pub from: Option<MemberState>,
    /// The state now.
    pub to: MemberState,
}

/// What came of a statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpdateOutcome {
    /// It says nothing new.
    Unchanged,
    /// It is older than what is known.
    Stale,
    /// It was taken over; the state changed, or a higher sequence or epoch
    /// or another incarnation confirmed the state.
    Applied(MemberChange),
    /// It said that this daemon is suspect or dead; the sequence was raised
    /// to refute it.
    Refuted,
    /// A later run of this daemon exists, or the wall clock was set back
    /// before the start. This process must stop, or restart with a higher
    /// incarnation.
    Superseded(Incarnation),
}
