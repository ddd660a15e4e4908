//! Availability zones whose servers get no new work.
//!
//! An operator evacuates a zone by an item of the platform's store, and takes
//! the evacuation back by removing it. Work that is in progress in the zone
//! may end there.
//!
//! [`PublishedEvacuations`] is the part of the local copy of the store. There
//! are few zones, so sources always send all of them. [`EvacuatedZones`] holds
//! what is in force, which differs after the store was restored from a copy: an
//! evacuation that the copy lacks holds for [`HOLD_TIME`], in which the
//! operator can write it again. An evacuation that the copy lists is in force,
//! also if it was taken back since: sending nothing is the safe side.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//!
//! use briarladder_core::fleet::{
//!     evacuation::{EvacuatedZones, PublishedEvacuations, ZoneEntry},
//!     store_version::StoreVersion,
//! };
//!
//! let version = StoreVersion { era: 1, revision: 7 };
//! let mut published = PublishedEvacuations::default();
//! published.apply_listing(&[ZoneEntry::evacuated("a", version)], version);
//! let mut zones = EvacuatedZones::default();
//! zones.update(Instant::now(), &published);
//! assert!(zones.contains("a"));
//! ```

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::{SortedMap, SortedSet};

use super::store_version::StoreVersion;

/// How long an evacuation holds that a restored store lacks.
pub const HOLD_TIME: Duration = Duration::from_secs(10);

/// A change of the evacuation of a zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneEntry {
    /// The name of the zone, which need not be known.
    pub zone: Arc<str>,
    /// The version of the change.
    pub version: StoreVersion,
    /// Whether the zone is evacuated.
    pub is_evacuated: bool,
}

impl ZoneEntry {
    /// Creates the entry of an evacuated zone.
    #[must_use]
    pub fn evacuated(zone: &str, version: StoreVersion) -> ZoneEntry {
        ZoneEntry { zone: Arc::from(zone), version, is_evacuated: true }
    }

    /// Creates the removal of an entry.
    #[must_use]
    pub fn removed(zone: &str, version: StoreVersion) -> ZoneEntry {
        ZoneEntry {
            is_evacuated: false,
            ..ZoneEntry::evacuated(zone, version)
        }
    }
}

/// The evacuations that the store holds.
///
/// Removals need not be remembered: all changes up to a version are known, and
/// an older entry that is unknown was removed.
#[derive(Clone, Debug, Default)]
pub struct PublishedEvacuations {
    zones: SortedMap<Arc<str>, StoreVersion>,
    /// All changes up to this version are known.
    version: StoreVersion,
    /// Revision of the last change, which may be greater.
    changed_revision: u64,
}

impl PublishedEvacuations {
    /// Applies a change. An outdated one is ignored.
    pub fn apply(&mut self, entry: &ZoneEntry) {
        let StoreVersion { era, revision } = entry.version;
        let known = self.zones.get(&*entry.zone).copied();
        let is_outdated = era != self.version.era
            || entry.version <= self.version
            || known.is_some_and(|known| entry.version <= known);
        if is_outdated {
            return;
        }
        self.changed_revision = self.changed_revision.max(revision);
        if entry.is_evacuated {
            self.zones.insert(Arc::clone(&entry.zone), entry.version);
        } else {
            self.zones.remove(&*entry.zone);
        }
    }

    /// Applies the list of all evacuated zones that was started at a version.
    /// Evacuations that have begun after that version are kept. A list of an
    /// earlier era is ignored, and one of a later era replaces all.
    pub fn apply_listing(
        &mut self,
        listed: &[ZoneEntry],
        version: StoreVersion,
    ) {
        if version.era < self.version.era {
            return;
        }
        if version.era > self.version.era {
            *self = PublishedEvacuations {
                version: version.at(0),
                changed_revision: version.revision,
                ..PublishedEvacuations::default()
            };
        }
        for entry in listed {
            self.apply(entry);
        }
        let known_count = self.zones.len();
        self.zones.retain(|zone, known| {
            *known > version || listed.iter().any(|entry| entry.zone == *zone)
        });
        if self.zones.len() < known_count {
            self.changed_revision =
                self.changed_revision.max(version.revision);
        }
        self.advance(version);
    }

    /// Records that all changes up to a version are known. A version of
    /// another era changes nothing.
    pub fn advance(&mut self, version: StoreVersion) {
        if version.era == self.version.era {
            self.version = self.version.max(version);
        }
    }

    /// Returns the revision of the last change, in the era of the copy.
    #[must_use]
    pub fn changed_revision(&self) -> u64 {
        self.changed_revision
    }

    /// Iterates over the evacuated zones, with the versions of their entries.
    #[must_use]
    pub fn iter(
        &self,
    ) -> impl ExactSizeIterator<Item = (&Arc<str>, &StoreVersion)> {
        self.zones.iter()
    }
}

/// The beginning or the end of the evacuation of a zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneChange {
    /// The name of the zone.
    pub zone: Arc<str>,
    /// Whether it is evacuated from now on.
    pub is_evacuated: bool,
}

/// The zones whose servers get no new work.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    in_force: SortedSet<Arc<str>>,
    /// Evacuations that a restored store lacks, and until when they hold.
    held: SortedMap<Arc<str>, Instant>,
    /// The era of the evacuations that were last published.
    era: u64,
    change_count: u64,
}

impl EvacuatedZones {
    /// Returns whether the servers of a zone get no new work.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.in_force.contains(zone)
    }

    /// Returns the number of evacuated zones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.in_force.len()
    }

    /// Returns whether no zone is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.in_force.is_empty()
    }

    /// Returns the number of changes so far, to detect that cached decisions
    /// are stale.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Puts what is published in force, except that an evacuation which a
    /// restored store lacks holds for a time. Returns the changes.
    pub fn update(
        &mut self,
        now: Instant,
        published: &PublishedEvacuations,
    ) -> Vec<ZoneChange> {
        if published.version.era > self.era {
            self.era = published.version.era;
            for zone in &self.in_force {
                let until = now + HOLD_TIME;
                self.held.get_or_insert_with(Arc::clone(zone), || until);
            }
        }
        self.held.retain(|zone, until| {
            now < *until && !published.zones.contains_key(&**zone)
        });
        let mut in_force = SortedSet::new();
        for zone in published.zones.keys().chain(self.held.keys()) {
            in_force.insert(Arc::clone(zone));
        }
        let known = std::mem::replace(&mut self.in_force, in_force);
        let changes = zone_changes(&known, &self.in_force);
        if !changes.is_empty() {
            self.change_count += 1;
        }
        changes
    }

    /// Returns when the next evacuation that a restored store lacks ends, with
    /// [`Self::update`].
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.held.values().min().copied()
    }
}

fn zone_changes(
    known: &SortedSet<Arc<str>>,
    in_force: &SortedSet<Arc<str>>,
) -> Vec<ZoneChange> {
    let begun = in_force.iter().filter(|zone| !known.contains(&***zone));
    let ended = known.iter().filter(|zone| !in_force.contains(&***zone));
    let change = |zone: &Arc<str>, is_evacuated| ZoneChange {
        zone: Arc::clone(zone),
        is_evacuated,
    };
    begun
        .map(|zone| change(zone, true))
        .chain(ended.map(|zone| change(zone, false)))
        .collect()
}

#[cfg(test)]
mod tests;
