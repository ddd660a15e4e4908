//! Counts the bytes that cross region boundaries, by stage.
//!
//! # Example
//!
//! ```
//! use briarladder_core::{names::StageName, routing::CrossRegionBytes};
//!
//! let mut bytes = CrossRegionBytes::default();
//! let stage = StageName::new("plan").unwrap();
//! bytes.add(&stage, 100, 20);
//! assert_eq!(bytes.total_bytes(), 120);
//! ```

use crate::{names::StageName, sorted::SortedMap};

/// The bytes exchanged with backend servers in other regions, by stage.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrossRegionBytes {
    stages: SortedMap<StageName, StageBytes>,
}

/// The bytes of one stage that crossed a region boundary.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StageBytes {
    /// Bytes sent to other regions.
    pub sent_bytes: u64,
    /// Bytes received from other regions.
    pub received_bytes: u64,
}

impl CrossRegionBytes {
    /// Adds the bytes of one attempt.
    pub fn add(
        &mut self,
        stage: &StageName,
        sent_bytes: u64,
        received_bytes: u64,
    ) {
        // Looks up first, so that the usual case does not clone the name.
        if self.stages.get(stage).is_none() {
            self.stages.insert(stage.clone(), StageBytes::default());
        }
        if let Some(count) = self.stages.get_mut(stage) {
            count.sent_bytes += sent_bytes;
            count.received_bytes += received_bytes;
        }
    }

    /// Returns the bytes of one stage.
    #[must_use]
    pub fn of_stage(&self, stage: &StageName) -> StageBytes {
        self.stages.get(stage).copied().unwrap_or_default()
    }

    /// Iterates over the stages in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&StageName, &StageBytes)> {
        self.stages.iter()
    }

    /// Returns the bytes of all stages in both directions.
    #[must_use]
    pub fn total_bytes(&self) -> u64 {
        self.stages.values().map(|b| b.sent_bytes + b.received_bytes).sum()
    }
}
