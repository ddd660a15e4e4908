//! Members, and the updates that daemons exchange about them.

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

/// The number of random low bits of an incarnation. The 42 bits above them
/// contain milliseconds since the Unix epoch and suffice until the year 2109.
const INCARNATION_RANDOM_BITS: u32 = 22;

/// Generates the incarnation of a starting daemon from its start time and
/// random low bits. A restarted daemon therefore has a higher incarnation,
/// which a purely random number would not guarantee.
#[must_use]
pub fn new_incarnation(unix: Duration, rng: &mut impl Rng) -> Incarnation {
    let unix_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
    let low = rng.random_range(0..1_u64 << INCARNATION_RANDOM_BITS);
    Incarnation(unix_ms << INCARNATION_RANDOM_BITS | low)
}

/// The state of a member. Among updates with equal incarnation and sequence,
/// the one with the greater state takes precedence.
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
    /// The daemon takes requests.
    #[display("ready")]
    Ready,
    /// The daemon is in a graceful shutdown.
    #[display("leaving")]
    Leaving,
    /// The daemon did not respond to direct and indirect probes.
    #[display("suspect")]
    Suspect,
    /// The daemon was suspect for
    /// [`SUSPECT_TIMEOUT`](super::SUSPECT_TIMEOUT) without refuting it.
    #[display("dead")]
    Dead,
}

/// The identity of a daemon, which does not change while the process runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The name of the VM.
    pub name: VmName,
    /// The address at which the daemon serves peers.
    pub address: SocketAddr,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The run of the process.
    pub incarnation: Incarnation,
}

/// A VM from the platform's list, used to discover members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// The name of the VM.
    pub name: VmName,
    /// The address at which its daemon serves peers.
    pub address: SocketAddr,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The state in the platform's list.
    pub state: SeedState,
}

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SeedState {
    /// The VM is running.
    Live,
    /// The VM is about to be stopped.
    Leaving,
}

/// One daemon as seen by another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The name of the VM.
    pub name: VmName,
    /// The address at which the daemon serves peers.
    pub address: SocketAddr,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The run of the process; `None` if the member is known only from the
    /// platform's list.
    pub incarnation: Option<Incarnation>,
    /// The state of the member.
    pub state: MemberState,
    /// The highest epoch that the member is known to have had in force.
    pub epoch: u64,
    /// Incremented by the member when it announces a new state of itself.
    pub sequence: u64,
    /// Whether the member announced its shutdown in this incarnation. This is
    /// separate from the state, so that a suspicion does not hide it.
    pub(super) leaving: bool,
    /// When the state last changed.
    pub(super) since: Instant,
    /// Whether the newest list of the platform contains the member.
    pub(super) listed: bool,
    /// Whether an update of an earlier incarnation arrived since the last
    /// message to the member. It may be that of a process that started after
    /// the wall clock went back.
    pub(super) earlier_heard: bool,
}

impl Member {
    /// Returns whether the member takes part in rendezvous hashing: it is
    /// ready, or suspect without having announced its shutdown. Suspect
    /// members are included so that a false suspicion does not reassign what
    /// they own.
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

    /// Returns an update with the state of the member; `None` if its
    /// incarnation is unknown.
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

/// An update about one member, exchanged between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// The name of the VM.
    pub name: VmName,
    /// The address at which the daemon serves peers.
    pub address: SocketAddr,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The member's own sequence number on which this update is based.
    pub sequence: u64,
    /// The epoch that the member had in force.
    pub epoch: u64,
    /// The state of the member.
    pub state: MemberState,
}

/// The body of a probe and of the response to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's update about itself.
    pub sender: MemberUpdate,
    /// The sender's hybrid logical clock.
    pub timestamp: HlcTimestamp,
    /// Updates about other members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<MemberUpdate>,
}

/// A state change of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberChange {
    /// The name of the VM.
    pub name: VmName,
    /// The previous state; `None` for a new member.
    pub from: Option<MemberState>,
    /// The new state.
    pub to: MemberState,
}

/// The outcome of applying a [`MemberUpdate`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpdateOutcome {
    /// The update contains nothing new.
    Unchanged,
    /// The update is older than the known state.
    Stale,
    /// The update was applied. It changed the state, or confirmed it with a
    /// higher sequence or incarnation.
    Applied(MemberChange),
    /// The update claims that this daemon is suspect or dead, or is about a
    /// process that has ended. The daemon increased its sequence or its
    /// incarnation to refute it.
    Refuted,
    /// A later incarnation of this daemon exists at another address. This
    /// process must stop, or restart with a higher incarnation.
    Superseded(Incarnation),
}
