//! A slab: a vector that reuses the entries of removed values. Its keys have
//! a generation, so that the key of a removed value finds nothing.

/// The key of a value: the index of its entry, and the generation that the
/// entry had when the value was inserted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Entry<T> {
    /// The number of values removed from this entry; wraps at 2^32.
    generation: u32,
    value: Option<T>,
}

#[derive(Debug)]
pub(super) struct Slab<T> {
    entries: Vec<Entry<T>>,
    /// The indexes of the vacant entries.
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Slab<T> {
        Slab { entries: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// Inserts a value, into a vacant entry if there is one.
    ///
    /// # Panics
    ///
    /// Panics at 2^32 entries; the queue limit is far lower.
    pub(super) fn insert(&mut self, value: T) -> Key {
        if let Some(index) = self.free.pop() {
            let entry = &mut self.entries[index as usize];
            entry.value = Some(value);
            return Key { index, generation: entry.generation };
        }
        let index = u32::try_from(self.entries.len()).expect("under 2^32");
        self.entries.push(Entry { generation: 0, value: Some(value) });
        Key { index, generation: 0 }
    }

    pub(super) fn get(&self, key: Key) -> Option<&T> {
        let entry = self.entries.get(key.index as usize)?;
        (entry.generation == key.generation).then_some(())?;
        entry.value.as_ref()
    }

    pub(super) fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let entry = self.entries.get_mut(key.index as usize)?;
        (entry.generation == key.generation).then_some(())?;
        entry.value.as_mut()
    }

    pub(super) fn remove(&mut self, key: Key) -> Option<T> {
        let entry = self.entries.get_mut(key.index as usize)?;
        (entry.generation == key.generation).then_some(())?;
        let value = entry.value.take()?;
        entry.generation = entry.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }

    /// Removes all values and keeps the allocations. Generations start
    /// again at 0, so an old key may find a later value.
    pub(super) fn clear(&mut self) {
        self.entries.clear();
        self.free.clear();
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().filter_map(|entry| entry.value.as_ref())
    }
}
