//! A local copy of what the platform publishes, by key and revision.
//!
//! A daemon that reads the store decodes each item once, and all others
//! receive the decoded items. The copy serves two queries of other daemons:
//! all items, and the changes since a revision.
//!
//! The revision of the copy is a claim: all changes up to it are known. An
//! item proves nothing about other items, however new it is, so the revision
//! only advances when a source has sent all changes up to another one.
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//!
//! use briarladder_core::fleet::mirror::{
//!     Item, ItemKey, Mirror, PublishedValue,
//! };
//!
//! let config = |bytes: &[u8]| Some(PublishedValue::Config(Arc::from(bytes)));
//! let item =
//!     |revision, value| Item { key: ItemKey::Config, revision, value };
//! let mut mirror = Mirror::default();
//! assert!(mirror.apply(item(7, config(b"{}"))));
//! assert!(mirror.apply(item(9, None)));
//! assert!(!mirror.apply(item(8, config(b"{}"))));
//! assert_eq!(mirror.revision(), 0, "other items may have changed before");
//! mirror.advance(9);
//! assert_eq!(mirror.revision(), 9);
//! ```

use std::{collections::VecDeque, sync::Arc};

use crate::sorted::SortedMap;

use super::server::ListedServer;

/// Removals that are remembered, so that an outdated copy can't bring a
/// removed item back.
const MAX_REMOVALS: usize = 512;

/// The key of an item.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ItemKey {
    /// The configuration.
    Config,
    /// The backend server of this name.
    Server(Arc<str>),
}

/// The value of an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishedValue {
    /// The configuration, in the compressed format of the platform.
    Config(Arc<[u8]>),
    /// A backend server.
    Server(ListedServer),
}

/// One item, or its removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Its key.
    pub key: ItemKey,
    /// The revision of its last change.
    pub revision: u64,
    /// Its value; `None` if it was removed or can't be decoded.
    pub value: Option<PublishedValue>,
}

/// A local copy of the published items.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    items: SortedMap<ItemKey, Item>,
    removals: VecDeque<Item>,
    /// Removals up to this revision may be forgotten, or were never known.
    removals_complete_from: u64,
    /// All changes up to this revision are known.
    revision: u64,
    /// Revision of the last change of an item, which may be greater.
    changed_revision: u64,
}

impl Mirror {
    /// Applies a change and returns whether it differs from what was known.
    pub fn apply(&mut self, item: Item) -> bool {
        // The changes up to the revision are known, so an older item was
        // replaced or removed.
        let known = self.known_revision(&item.key).max(self.revision);
        if item.revision <= known {
            return false;
        }
        let known_value = self.items.get(&item.key).map(|known| &known.value);
        let is_new = known_value != Some(&item.value);
        self.changed_revision = self.changed_revision.max(item.revision);
        if item.value.is_some() {
            self.items.insert(item.key.clone(), item);
        } else {
            self.items.remove(&item.key);
            self.record_removal(item);
        }
        is_new
    }

    /// Completes a full listing that started at `revision`, whose items were
    /// applied, and returns the removals that it implies. Items that changed
    /// after that revision are kept.
    pub fn apply_snapshot(
        &mut self,
        listed: &[Item],
        revision: u64,
    ) -> Vec<Item> {
        let mut keys: Vec<&ItemKey> =
            listed.iter().map(|item| &item.key).collect();
        keys.sort_unstable();
        let removed: Vec<Item> = self
            .items
            .values()
            .filter(|item| item.revision <= revision)
            .filter(|item| keys.binary_search(&&item.key).is_err())
            .map(|item| Item { key: item.key.clone(), revision, value: None })
            .collect();
        for item in &removed {
            self.items.remove(&item.key);
            self.record_removal(item.clone());
            self.changed_revision = self.changed_revision.max(revision);
        }
        // An item that was created and removed between the last known revision
        // and the listing leaves no trace, but a peer may have seen it.
        self.forget_removals(revision);
        self.advance(revision);
        removed
    }

    /// Records that all changes up to a revision are known. Call it after all
    /// of them were applied.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the revision up to which changes are known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether an item changed after a revision, as far as all changes
    /// are known. A copy at that revision can advance in this case.
    #[must_use]
    pub fn has_changes_after(&self, revision: u64) -> bool {
        self.changed_revision.min(self.revision) > revision
    }

    /// Returns the changes after a revision, oldest first, or `None` if
    /// removals in that range may be unknown.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Option<Vec<Item>> {
        if revision < self.removals_complete_from {
            return None;
        }
        let mut changes: Vec<Item> = self
            .items
            .values()
            .chain(&self.removals)
            .filter(|item| item.revision > revision)
            .cloned()
            .collect();
        changes.sort_by_key(|item| item.revision);
        Some(changes)
    }

    /// Iterates over the present items.
    #[must_use]
    pub fn items(&self) -> impl ExactSizeIterator<Item = &Item> {
        self.items.values()
    }

    fn known_revision(&self, key: &ItemKey) -> u64 {
        let present = self.items.get(key).map_or(0, |item| item.revision);
        let removed = self
            .removals
            .iter()
            .filter(|item| item.key == *key)
            .map(|item| item.revision)
            .max()
            .unwrap_or(0);
        present.max(removed)
    }

    fn record_removal(&mut self, item: Item) {
        self.removals.push_back(item);
        while self.removals.len() > MAX_REMOVALS {
            if let Some(oldest) = self.removals.pop_front() {
                self.forget_removals(oldest.revision);
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
