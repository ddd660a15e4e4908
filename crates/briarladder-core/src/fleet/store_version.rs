//! Positions in the history of the platform's store.
//!
//! Each change of the store has a revision, greater than all before. A store
//! that is restored from a copy loses the newest changes and gives out their
//! revisions again, so it begins a new *era*. Revisions of two eras have no
//! order. A [`StoreVersion`] therefore holds both numbers and compares the era
//! first.
//!
//! # Example
//!
//! ```
//! use briarladder_core::fleet::store_version::StoreVersion;
//!
//! let before_restore = StoreVersion { era: 1, revision: 41 };
//! let after_restore = StoreVersion { era: 2, revision: 12 };
//! assert!(after_restore > before_restore);
//! ```

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The era of a store that names none, which precedes all others.
pub const UNKNOWN_ERA: u64 = 0;

/// A position in the history of the store, over restores.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("era={era} revision={revision}")]
pub struct StoreVersion {
    /// How often the store was restored, or [`UNKNOWN_ERA`].
    pub era: u64,
    /// The number of the change within the era.
    pub revision: u64,
}

impl StoreVersion {
    /// Returns the version of another change in the same era.
    #[must_use]
    pub fn at(self, revision: u64) -> StoreVersion {
        StoreVersion { revision, ..self }
    }
}
