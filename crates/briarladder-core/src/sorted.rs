//! Maps and sets stored as sorted vectors with binary search.
//!
//! They suit collections of up to a few thousand entries that are read far
//! more often than changed. For a queue, use `VecDeque`.
//!
//! # Example
//!
//! ```
//! use briarladder_core::sorted::SortedMap;
//!
//! let mut ports = SortedMap::new();
//! ports.insert("b", 2);
//! ports.insert("a", 1);
//! assert_eq!(ports.get("a"), Some(&1));
//! assert_eq!(ports.keys().collect::<Vec<_>>(), [&"a", &"b"]);
//! ```

use std::borrow::Borrow;

/// A map stored as a vector sorted by key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SortedMap<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        SortedMap { entries: Vec::new() }
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    /// Creates an empty map.
    #[must_use]
    pub fn new() -> Self {
        SortedMap::default()
    }

    /// Returns the index of a key, or the index at which to insert it as an
    /// error.
    fn position<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: Borrow<Q>,
    {
        self.entries.binary_search_by(|(k, _)| k.borrow().cmp(key))
    }

    /// Returns the value of a key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.position(key).ok().map(|index| &self.entries[index].1)
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        let index = self.position(key).ok()?;
        Some(&mut self.entries[index].1)
    }

    /// Returns whether the key is present.
    pub fn contains_key<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.position(key).is_ok()
    }

    /// Sets the value of a key and returns the previous value, if any.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(index) => {
                Some(std::mem::replace(&mut self.entries[index].1, value))
            }
            Err(index) => {
                self.entries.insert(index, (key, value));
                None
            }
        }
    }

    /// Returns a mutable reference to the value of a key, inserting `make()`
    /// if the key is absent.
    pub fn get_or_insert_with(
        &mut self,
        key: K,
        make: impl FnOnce() -> V,
    ) -> &mut V {
        let index = match self.position(&key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (key, make()));
                index
            }
        };
        &mut self.entries[index].1
    }

    /// Removes a key and returns its value, if it was present.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        let index = self.position(key).ok()?;
        Some(self.entries.remove(index).1)
    }

    /// Retains only the entries for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(k, v)| keep(k, v));
    }

    /// Iterates over the entries in key order.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&K, &V)> {
        self.entries.iter().map(|(k, v)| (k, v))
    }

    /// Iterates over the entries in key order, with mutable values.
    pub fn iter_mut(&mut self) -> impl ExactSizeIterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(k, v)| (&*k, v))
    }

    /// Iterates over the keys in order.
    #[must_use]
    pub fn keys(&self) -> impl ExactSizeIterator<Item = &K> {
        self.entries.iter().map(|(k, _)| k)
    }

    /// Iterates over the values in key order.
    #[must_use]
    pub fn values(&self) -> impl ExactSizeIterator<Item = &V> {
        self.entries.iter().map(|(_, v)| v)
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the map is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Collects entries; among entries with equal keys, the last one is kept.
impl<K: Ord, V> FromIterator<(K, V)> for SortedMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut entries: Vec<(K, V)> = entries.into_iter().collect();
        // Reversing makes the stable sort put the last of several entries
        // with equal keys first, which is the one that `dedup_by` keeps.
        entries.reverse();
        entries.sort_by(|a, b| a.0.cmp(&b.0));
        entries.dedup_by(|later, first| later.0 == first.0);
        SortedMap { entries }
    }
}

/// A set stored as a sorted vector.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SortedSet<T> {
    items: Vec<T>,
}

impl<T> Default for SortedSet<T> {
    fn default() -> Self {
        SortedSet { items: Vec::new() }
    }
}

impl<T: Ord> SortedSet<T> {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        SortedSet::default()
    }

    /// Inserts an item and returns whether it was absent.
    pub fn insert(&mut self, item: T) -> bool {
        match self.items.binary_search(&item) {
            Ok(_) => false,
            Err(index) => {
                self.items.insert(index, item);
                true
            }
        }
    }

    /// Returns whether the item is present.
    pub fn contains<Q: Ord + ?Sized>(&self, item: &Q) -> bool
    where
        T: Borrow<Q>,
    {
        self.items.binary_search_by(|i| i.borrow().cmp(item)).is_ok()
    }

    /// Removes an item and returns whether it was present.
    pub fn remove<Q: Ord + ?Sized>(&mut self, item: &Q) -> bool
    where
        T: Borrow<Q>,
    {
        match self.items.binary_search_by(|i| i.borrow().cmp(item)) {
            Ok(index) => {
                self.items.remove(index);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns the items in order.
    #[must_use]
    pub fn as_slice(&self) -> &[T] {
        &self.items
    }

    /// Iterates over the items in order.
    pub fn iter(&self) -> std::slice::Iter<'_, T> {
        self.items.iter()
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

impl<'a, T: Ord> IntoIterator for &'a SortedSet<T> {
    type Item = &'a T;
    type IntoIter = std::slice::Iter<'a, T>;

    fn into_iter(self) -> Self::IntoIter {
        self.items.iter()
    }
}

impl<T: Ord> FromIterator<T> for SortedSet<T> {
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> Self {
        let mut items: Vec<T> = items.into_iter().collect();
        items.sort();
        items.dedup();
        SortedSet { items }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against failed lookups after inserts in any order.
    #[test]
    fn insert_keeps_order() {
        let mut map = SortedMap::new();
        for key in [5, 1, 4, 2, 3] {
            assert_eq!(map.insert(key, key * 10), None);
        }
        assert_eq!(map.insert(4, 0), Some(40));
        assert_eq!(map.keys().copied().collect::<Vec<_>>(), [1, 2, 3, 4, 5]);
        assert_eq!(map.get(&4), Some(&0));
        assert_eq!(map.remove(&1), Some(10));
        assert!(!map.contains_key(&1));
    }

    /// Guards against keeping an earlier entry instead of a later one with
    /// the same key.
    #[test]
    fn from_iter_keeps_last() {
        let map: SortedMap<_, _> =
            [("a", 1), ("b", 2), ("a", 3)].into_iter().collect();
        assert_eq!(map.len(), 2);
        assert_eq!(map.get("a"), Some(&3));
    }

    /// Guards against duplicate items, and against a wrong return value of
    /// `insert` and `remove`.
    #[test]
    fn set_insert_reports_absence() {
        let mut set: SortedSet<_> = [3, 1, 3].into_iter().collect();
        assert!(!set.insert(1));
        assert!(set.insert(2));
        assert_eq!(set.as_slice(), [1, 2, 3]);
        assert!(set.remove(&3) && !set.remove(&3));
    }
}
