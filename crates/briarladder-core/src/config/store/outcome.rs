//! What an event at the store led to, with the reasons.
//!
//! # Example
//!
//! ```
//! use briarladder_core::config::Readiness;
//!
//! let readiness = Readiness::BelowFloor { floor: 7 };
//! assert!(readiness.to_string().ends_with("the floor of epoch 7"));
//! ```

use std::sync::Arc;

use derive_more::Display;
use serde::{Serialize, Serializer};

use crate::{
    config::{ChunkRef, ManifestError, ManifestId},
    objects::{
        check::Fault,
        load::LoadFault,
        snapshot::{ResolveError, Snapshot},
    },
};

/// Why nothing was done with a manifest or chunk.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum IgnoreReason {
    /// The epoch is not newer than one that was put in force, rejected or
    /// is being collected.
    #[display("not newer")]
    NotNewer,
    /// A newer epoch has been in force elsewhere.
    #[display("below the floor of epoch {floor}")]
    BelowFloor {
        /// The floor.
        floor: u64,
    },
    /// No manifest that is being collected lists the chunk.
    #[display("no manifest needs the chunk")]
    NotWanted,
    /// The bytes do not have the digest.
    #[display("the bytes do not have the digest; fetch the chunk again")]
    Corrupt,
}

/// Why a set was rejected.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// The manifest can't be used.
    #[display("{_0}")]
    BadManifest(ManifestError),
    /// The chunks are not objects.
    #[display("{} objects can't be read; first: {}", _0.len(), _0[0])]
    Unreadable(Vec<LoadFault>),
    /// The objects have faults.
    #[display("{} faults; first: {}", _0.len(), _0[0])]
    Faults(Vec<Fault>),
    /// A reference that `objects::check` accepts and the snapshot does not.
    #[display("{_0}")]
    Unresolved(#[serde(serialize_with = "as_text")] ResolveError),
    /// The epoch was published before with other content.
    #[display("published before as {first}; publish a higher epoch")]
    EpochReused {
        /// The content that came first.
        first: ManifestId,
    },
}

fn as_text<S: Serializer>(
    error: &ResolveError,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(error)
}

/// A set that was rejected. The last good one stays in force.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{id} rejected: {reason}")]
pub struct Rejection {
    /// The set.
    pub id: ManifestId,
    /// The reason.
    pub reason: RejectReason,
}

/// What an event led to.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Nothing changed.
    Ignored(IgnoreReason),
    /// These chunks are still needed.
    Missing(Vec<ChunkRef>),
    /// The set is good and waits for `EpochStore::confirm_floor`.
    Held(Arc<Snapshot>),
    /// The set is now in force. Notify peers.
    Adopted(Arc<Snapshot>),
    /// The set was rejected. Notify peers, unless the reason is
    /// [`RejectReason::EpochReused`].
    Rejected(Rejection),
}

/// Whether the daemon may serve.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Readiness {
    /// A set is in force.
    #[display("ready")]
    Ready,
    /// No good set arrived yet.
    #[display("no configuration yet")]
    NoConfiguration,
    /// Peers and backend servers were not asked for their epochs yet.
    #[display("the epoch floor is not confirmed yet")]
    FloorUnconfirmed,
    /// A newer epoch than any good set here has been in force elsewhere.
    #[display("no configuration at or above the floor of epoch {floor}")]
    BelowFloor {
        /// The floor.
        floor: u64,
    },
}
