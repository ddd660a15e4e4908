//! Outcomes of offering manifests and chunks to the store, and its readiness.
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
        check::CheckError,
        parse::ParseError,
        snapshot::{ResolveError, Snapshot},
    },
};

/// Why a manifest or chunk was ignored.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum IgnoreReason {
    /// The epoch is not newer than the one in force or being collected, or it
    /// was received before.
    #[display("not newer")]
    NotNewer,
    /// A newer epoch has been in force at another daemon.
    #[display("below the floor of epoch {floor}")]
    BelowFloor {
        /// The floor.
        floor: u64,
    },
    /// The pending manifest does not need the chunk, or there is none.
    #[display("no manifest needs the chunk")]
    NotWanted,
    /// The bytes do not match the digest and length in the manifest.
    #[display("the bytes do not match the digest; fetch the chunk again")]
    Corrupt,
}

/// Why a set was rejected.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// The manifest is invalid.
    #[display("{_0}")]
    BadManifest(ManifestError),
    /// Objects in the chunks can't be parsed.
    #[display("{} objects can't be read; first: {}", _0.len(), _0[0])]
    Unreadable(Vec<ParseError>),
    /// The set has errors.
    #[display("{} faults; first: {}", _0.len(), _0[0])]
    Faults(Vec<CheckError>),
    /// A reference that `objects::check` accepted can't be resolved.
    #[display("{_0}")]
    Unresolved(#[serde(serialize_with = "as_text")] ResolveError),
    /// The epoch was published before with other content.
    #[display("published before as {first}; publish a higher epoch")]
    EpochReused {
        /// The manifest that was published first.
        first: ManifestId,
    },
}

fn as_text<S: Serializer>(
    error: &ResolveError,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(error)
}

/// A set that was rejected. The last valid one stays in force.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{id} rejected: {reason}")]
pub struct Rejection {
    /// The manifest of the set.
    pub id: ManifestId,
    /// The reason for the rejection.
    pub reason: RejectReason,
}

/// The outcome of offering a manifest or chunk, or of confirming the floor.
#[derive(Clone, Debug)]
pub enum OfferOutcome {
    /// Nothing changed.
    Ignored(IgnoreReason),
    /// These chunks are still needed.
    Missing(Vec<ChunkRef>),
    /// The set is valid and waits for
    /// [`confirm_floor`](super::ConfigStore::confirm_floor).
    Held(Arc<Snapshot>),
    /// The set is now in force. The caller notifies peers.
    Adopted(Arc<Snapshot>),
    /// The set was rejected. The caller notifies peers, unless the reason is
    /// [`RejectReason::EpochReused`].
    Rejected(Rejection),
}

/// Whether the daemon may serve requests.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Readiness {
    /// A set is in force.
    #[display("ready")]
    Ready,
    /// No valid set has been received yet.
    #[display("no configuration yet")]
    NoConfiguration,
    /// The epochs of peers and backend servers are not known yet.
    #[display("the epoch floor is not confirmed yet")]
    FloorUnconfirmed,
    /// A newer epoch than that of any valid set here has been in force
    /// elsewhere.
    #[display("no configuration at or above the floor of epoch {floor}")]
    BelowFloor {
        /// The epoch floor.
        floor: u64,
    },
}
