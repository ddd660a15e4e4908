//! A copy of the platform's published items, by key and revision.
//!
//! The copy answers the same two questions as the platform itself: all items,
//! and what has changed since a revision. A daemon that the platform turns
//! away therefore reads from a peer with the code that reads from the
//! platform.
//!
//! # Example
//!
//! ```
//! use briarladder_core::fleet::mirror::{Item, Mirror};
//!
//! let mut mirror = Mirror::default();
//! mirror.apply(Item::present("item-a", 7, b"{}".to_vec()));
//! assert!(mirror.apply(Item::absent("item-a", 9)));
//! assert!(!mirror.apply(Item::present("item-a", 8, b"{}".to_vec())));
//! assert_eq!(mirror.revision(), 9);
//! ```

use std::{collections::VecDeque, sync::Arc};

use crate::sorted::SortedMap;

/// Removals that are remembered, so that an older copy can't bring a removed
/// item back.
const MAX_REMOVALS: usize = 512;

/// One item, or its removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: Arc<str>,
    /// The revision of its last change.
    pub revision: u64,
    /// The bytes, or `None` if it was removed.
    pub value: Option<Arc<[u8]>>,
}

impl Item {
    /// Creates an item.
    #[must_use]
    pub fn present(key: &str, revision: u64, value: Vec<u8>) -> Item {
        Item { key: Arc::from(key), revision, value: Some(value.into()) }
    }

    /// Creates a removal.
    #[must_use]
    pub fn absent(key: &str, revision: u64) -> Item {
        Item { key: Arc::from(key), revision, value: None }
    }
}

/// The copy.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    items: SortedMap<Arc<str>, Item>,
    removals: VecDeque<Item>,
    /// Below this revision, removals are no longer known.
    removals_from: u64,
    revision: u64,
}

impl Mirror {
    /// Applies a change and returns whether it was news.
    pub fn apply(&mut self, item: Item) -> bool {
        self.revision = self.revision.max(item.revision);
        let known = self.known_revision(&item.key);
        if item.revision <= known {
            return false;
        }
        if item.value.is_some() {
            self.items.insert(Arc::clone(&item.key), item);
        } else {
            self.items.remove(&item.key);
            self.remember_removal(item);
        }
        true
    }

    /// Takes a full list that was begun at `revision` and returns the
    /// removals that it implies. Items that changed later are kept.
    pub fn apply_full(&mut self, listed: &[Item], revision: u64) -> Vec<Item> {
        let mut keys: Vec<&Arc<str>> =
            listed.iter().map(|item| &item.key).collect();
        keys.sort_unstable();
        let missing: Vec<Item> = self
            .items
            .values()
            .filter(|item| item.revision <= revision)
            .filter(|item| keys.binary_search(&&item.key).is_err())
            .map(|item| Item::absent(&item.key, revision))
            .collect();
        for item in &missing {
            self.items.remove(&item.key);
            self.remember_removal(item.clone());
        }
        self.advance(revision);
        missing
    }

    /// Records that all changes up to a revision are known.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the revision up to which changes are known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the changes after a revision, oldest first, or `None` if
    /// removals in between may be forgotten.
    #[must_use]
    pub fn since(&self, revision: u64) -> Option<Vec<Item>> {
        if revision < self.removals_from {
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

    /// Iterates over the items present.
    #[must_use]
    pub fn items(&self) -> impl ExactSizeIterator<Item = &Item> {
        self.items.values()
    }

    fn known_revision(&self, key: &str) -> u64 {
        let present = self.items.get(key).map_or(0, |item| item.revision);
        let removed = self
            .removals
            .iter()
            .filter(|item| &*item.key == key)
            .map(|item| item.revision)
            .max()
            .unwrap_or(0);
        present.max(removed)
    }

    fn remember_removal(&mut self, item: Item) {
        self.removals.push_back(item);
        while self.removals.len() > MAX_REMOVALS {
            if let Some(oldest) = self.removals.pop_front() {
                self.removals_from = oldest.revision;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a server that left and comes back through an older
    /// list, for example from a peer that lags.
    #[test]
    fn apply_full_older_list() {
        let mut mirror = Mirror::default();
        mirror.apply(Item::present("a", 3, vec![1]));
        mirror.apply(Item::absent("a", 5));
        assert!(!mirror.apply(Item::present("a", 3, vec![1])));
        assert!(mirror.items().next().is_none());
    }

    /// Guards against a removal that is missed when the history is lost.
    #[test]
    fn apply_full_missing_item() {
        let mut mirror = Mirror::default();
        mirror.apply(Item::present("a", 3, vec![1]));
        mirror.apply(Item::present("b", 9, vec![1]));
        let removed = mirror.apply_full(&[], 6);
        assert_eq!(removed, vec![Item::absent("a", 6)]);
        assert_eq!(mirror.items().count(), 1, "b changed after the list");
    }

    /// Guards against a peer that misses what was removed meanwhile.
    #[test]
    fn since_includes_removals() {
        let mut mirror = Mirror::default();
        mirror.apply(Item::present("a", 3, vec![1]));
        mirror.apply(Item::absent("a", 5));
        mirror.apply(Item::present("b", 6, vec![1]));
        let changes = mirror.since(4).unwrap();
        assert_eq!(changes.len(), 2);
        assert_eq!(changes[0], Item::absent("a", 5));
    }
}
