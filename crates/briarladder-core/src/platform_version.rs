//! Positions in the history of a value that the platform publishes.
//!
//! Each change of a value has a number, greater than all before. A platform
//! that is restored from an earlier copy loses the newest changes and gives
//! out their numbers again, so it begins a new *era*. Numbers of two eras have
//! no order. A [`PlatformVersion`] therefore holds both and compares the era
//! first.
//!
//! # Example
//!
//! ```
//! use briarladder_core::platform_version::PlatformVersion;
//!
//! let before_restore = PlatformVersion { era: 1, number: 41 };
//! let after_restore = PlatformVersion { era: 2, number: 12 };
//! assert!(after_restore > before_restore);
//! ```

use derive_more::Display;

/// The era of a platform that names none, which precedes all others.
pub const UNKNOWN_ERA: u64 = 0;

/// A position in the history of a value, over restores. The default precedes
/// all others.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd,
)]
#[display("version {number} (era {era})")]
pub struct PlatformVersion {
    /// The era, or [`UNKNOWN_ERA`].
    pub era: u64,
    /// The epoch of a manifest or the version of a list; 0 if nothing was
    /// published in the era.
    pub number: u64,
}
