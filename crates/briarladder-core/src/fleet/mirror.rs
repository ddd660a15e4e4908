//! A local copy of what the platform publishes, by key and version.
//!
//! A daemon that reads the store decodes each item once, and all others
//! receive the decoded items. The copy serves two queries of other daemons:
//! all servers, and the changes since a version.
//!
//! The version of the copy is a claim: all changes up to it are known. An
//! entry proves nothing about other entries, however new it is, so the version
//! only advances when a source has sent all changes up to another one.
//!
//! A restored store begins a new era ([`StoreVersion`]). The changes before
//! and after can't be compared, so only a full listing brings the copy into a
//! new era, and nothing of an earlier era is applied from then on.
//!
//! Evacuations of zones follow the same rule, but a listing of them holds all
//! of them and comes separately.
//!
//! The configuration follows another rule. Its own version says which of two
//! is newer, also when the store has gone back to an older one, so the copy
//! keeps the newest that any source has sent, over all eras.
//!
//! # Example
//!
//! ```
//! use briarladder_core::fleet::{
//!     mirror::{Listing, Mirror},
//!     store_version::StoreVersion,
//! };
//!
//! let mut mirror = Mirror::default();
//! let listed = StoreVersion { era: 1, revision: 41 };
//! mirror.apply_listing(&[], listed);
//! assert_eq!(mirror.version(), listed);
//! // The store was restored from a copy.
//! let restored = StoreVersion { era: 2, revision: 12 };
//! mirror.apply_listing(&[], restored);
//! assert_eq!(mirror.version(), restored);
//! assert_eq!(mirror.apply_listing(&[], listed), Listing::Outdated);
//! ```

use std::{collections::VecDeque, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::sorted::SortedMap;

use super::{
    evacuation::{PublishedEvacuations, ZoneEntry},
    server::ListedServer,
    store_version::StoreVersion,
};

/// Removals that are remembered, so that an outdated copy can't bring a
/// removed entry back.
const MAX_REMOVALS: usize = 512;

/// The entry of a backend server, or its removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEntry {
    /// The name of the server.
    pub name: Arc<str>,
    /// The version of its last change.
    pub version: StoreVersion,
    /// The server; `None` if the entry was removed or can't be decoded.
    pub server: Option<ListedServer>,
    /// How long the server stays cold, as of the entry.
    pub cold_left: Duration,
}

/// Which of two configurations is newer. A version that the operator writes
/// once more, after a restore has lost it, has another place in the store.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ConfigStamp {
    /// The version that the configuration itself names.
    pub config_version: u64,
    /// The version of the store at which it was written.
    pub written_at: StoreVersion,
}

/// A valid configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedConfig {
    /// Which of two configurations is newer.
    pub stamp: ConfigStamp,
    /// The configuration, in the compressed format of the platform.
    pub bytes: Arc<[u8]>,
}

/// What became of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Applied {
    /// A later change of the entry is known.
    Outdated,
    /// The entry was written again with the same content.
    Unchanged,
    /// The entry differs from what was known.
    Changed,
}

/// What became of a full listing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Listing {
    /// It belongs to an earlier era.
    Outdated,
    /// These entries were written since, in the same era.
    Changes(Vec<ServerEntry>),
    /// It has replaced what was known of an earlier era.
    NewEra,
}

/// A local copy of the published items.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    config: Option<PublishedConfig>,
    servers: SortedMap<Arc<str>, ServerEntry>,
    removals: VecDeque<ServerEntry>,
    evacuations: PublishedEvacuations,
    /// Removals up to this revision may be forgotten, or were never known.
    removals_complete_from: u64,
    /// All changes up to this version are known.
    version: StoreVersion,
    /// Revision of the last change of an entry, which may be greater.
    changed_revision: u64,
}

impl Mirror {
    /// Keeps a configuration if it is newer, and returns whether its content
    /// differs from the one that was known.
    pub fn apply_config(&mut self, config: PublishedConfig) -> bool {
        let known = self.config.as_ref();
        if known.is_some_and(|known| known.stamp >= config.stamp) {
            return false;
        }
        let is_new = known.is_none_or(|known| known.bytes != config.bytes);
        self.config = Some(config);
        is_new
    }

    /// Applies a change of a server's entry.
    pub fn apply(&mut self, entry: ServerEntry) -> Applied {
        // The changes up to the revision are known, so an older entry was
        // replaced or removed.
        let known = self.known_revision(&entry.name).max(self.revision());
        let StoreVersion { era, revision } = entry.version;
        if era != self.version.era || revision <= known {
            return Applied::Outdated;
        }
        let known = self.servers.get(&entry.name);
        let known = known.and_then(|known| known.server.as_ref());
        let applied = if known == entry.server.as_ref() {
            Applied::Unchanged
        } else {
            Applied::Changed
        };
        self.changed_revision = self.changed_revision.max(revision);
        if entry.server.is_some() {
            self.servers.insert(Arc::clone(&entry.name), entry);
        } else {
            self.servers.remove(&entry.name);
            self.record_removal(entry);
        }
        applied
    }

    /// Applies a full listing that started at a version. Entries that have
    /// changed after that version are kept.
    pub fn apply_listing(
        &mut self,
        listed: &[ServerEntry],
        version: StoreVersion,
    ) -> Listing {
        if version.era < self.version.era {
            return Listing::Outdated;
        }
        if version.era > self.version.era {
            self.begin_era(listed, version);
            return Listing::NewEra;
        }
        let mut changes: Vec<ServerEntry> = listed
            .iter()
            .filter(|entry| self.apply((*entry).clone()) != Applied::Outdated)
            .cloned()
            .collect();
        changes.extend(self.remove_unlisted(listed, version));
        // An entry that was created and removed between the last known
        // revision and the listing leaves no trace, but a peer may have seen
        // it.
        self.forget_removals(version.revision);
        self.version = self.version.max(version);
        Listing::Changes(changes)
    }

    /// Applies a change of the evacuation of a zone.
    pub fn apply_evacuation(&mut self, entry: &ZoneEntry) {
        self.evacuations.apply(entry);
    }

    /// Applies the list of all evacuated zones that was started at a version.
    /// A source that knows no evacuations sends none.
    pub fn apply_evacuation_listing(
        &mut self,
        listed: &[ZoneEntry],
        version: StoreVersion,
    ) {
        self.evacuations.apply_listing(listed, version);
    }

    fn begin_era(&mut self, listed: &[ServerEntry], version: StoreVersion) {
        let config = self.config.take();
        let evacuations = std::mem::take(&mut self.evacuations);
        *self = Mirror { config, evacuations, version, ..Mirror::default() };
        self.changed_revision = version.revision;
        self.forget_removals(version.revision);
        for entry in listed.iter().filter(|entry| entry.server.is_some()) {
            let revision = entry.version.revision;
            self.changed_revision = self.changed_revision.max(revision);
            self.servers.insert(Arc::clone(&entry.name), entry.clone());
        }
    }

    /// Removes the entries that a listing lacks, and returns their removals.
    fn remove_unlisted(
        &mut self,
        listed: &[ServerEntry],
        version: StoreVersion,
    ) -> Vec<ServerEntry> {
        let mut names: Vec<&Arc<str>> =
            listed.iter().map(|entry| &entry.name).collect();
        names.sort_unstable();
        let removed: Vec<ServerEntry> = self
            .servers
            .values()
            .filter(|entry| entry.version <= version)
            .filter(|entry| names.binary_search(&&entry.name).is_err())
            .map(|entry| ServerEntry {
                name: Arc::clone(&entry.name),
                version,
                server: None,
                cold_left: Duration::ZERO,
            })
            .collect();
        for entry in &removed {
            self.servers.remove(&entry.name);
            self.record_removal(entry.clone());
            self.changed_revision =
                self.changed_revision.max(version.revision);
        }
        removed
    }

    /// Records that all changes up to a version are known. Call it after all
    /// of them were applied. A version of another era changes nothing.
    pub fn advance(&mut self, version: StoreVersion) {
        if version.era == self.version.era {
            self.version = self.version.max(version);
            self.evacuations.advance(version);
        }
    }

    /// Returns the version up to which changes are known.
    #[must_use]
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns the newest configuration.
    #[must_use]
    pub fn config(&self) -> Option<&PublishedConfig> {
        self.config.as_ref()
    }

    /// Returns the newest configuration if it is newer than another one.
    #[must_use]
    pub fn config_after(
        &self,
        stamp: Option<ConfigStamp>,
    ) -> Option<&PublishedConfig> {
        self.config.as_ref().filter(|config| Some(config.stamp) > stamp)
    }

    /// Returns whether an entry changed after a version, as far as all changes
    /// are known. A copy at that version can advance in this case.
    #[must_use]
    pub fn has_changes_after(&self, version: StoreVersion) -> bool {
        let changed = self
            .changed_revision
            .max(self.evacuations.changed_revision())
            .min(self.revision());
        self.version.at(changed) > version
    }

    /// Returns the changes after a version, oldest first, or `None` if a copy
    /// at that version needs all entries, because removals since may be
    /// unknown or it belongs to another era.
    #[must_use]
    pub fn changes_since(
        &self,
        version: StoreVersion,
    ) -> Option<Vec<ServerEntry>> {
        let is_complete = version.era == self.version.era
            && version.revision >= self.removals_complete_from;
        if !is_complete {
            return None;
        }
        let mut changes: Vec<ServerEntry> = self
            .servers
            .values()
            .chain(&self.removals)
            .filter(|entry| entry.version > version)
            .cloned()
            .collect();
        changes.sort_by_key(|entry| entry.version);
        Some(changes)
    }

    /// Iterates over the entries of the present servers.
    #[must_use]
    pub fn servers(&self) -> impl ExactSizeIterator<Item = &ServerEntry> {
        self.servers.values()
    }

    /// Returns the evacuations of zones.
    #[must_use]
    pub fn evacuations(&self) -> &PublishedEvacuations {
        &self.evacuations
    }

    fn revision(&self) -> u64 {
        self.version.revision
    }

    fn known_revision(&self, name: &str) -> u64 {
        let present =
            self.servers.get(name).map_or(0, |entry| entry.version.revision);
        let removed = self
            .removals
            .iter()
            .filter(|entry| *entry.name == *name)
            .map(|entry| entry.version.revision)
            .max()
            .unwrap_or(0);
        present.max(removed)
    }

    fn record_removal(&mut self, entry: ServerEntry) {
        self.removals.push_back(entry);
        while self.removals.len() > MAX_REMOVALS {
            if let Some(oldest) = self.removals.pop_front() {
                self.forget_removals(oldest.version.revision);
            }
        }
    }

    fn forget_removals(&mut self, revision: u64) {
        self.removals_complete_from =
            self.removals_complete_from.max(revision);
    }
}

#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;
