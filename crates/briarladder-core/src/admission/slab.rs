//! A slab with generational keys.

/// The key of an entry. The generation differs after the slot is reused, so
/// the key of a removed entry finds nothing.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Slot<T> {
    generation: u32,
    entry: Option<T>,
}

#[derive(Debug)]
pub(super) struct Slab<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Slab<T> {
        Slab { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// Adds an entry, in a free slot if there is one.
    ///
    /// # Panics
    ///
    /// Panics at 2^32 entries; the queue limit is far lower.
    pub(super) fn insert(&mut self, entry: T) -> Key {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.entry = Some(entry);
            return Key { index, generation: slot.generation };
        }
        let index = u32::try_from(self.slots.len()).expect("under 2^32");
        self.slots.push(Slot { generation: 0, entry: Some(entry) });
        Key { index, generation: 0 }
    }

    pub(super) fn get(&self, key: Key) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        (slot.generation == key.generation).then_some(())?;
        slot.entry.as_ref()
    }

    pub(super) fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        (slot.generation == key.generation).then_some(())?;
        slot.entry.as_mut()
    }

    pub(super) fn remove(&mut self, key: Key) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        (slot.generation == key.generation).then_some(())?;
        let entry = slot.entry.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(entry)
    }

    /// Removes all entries and keeps the allocations. Generations start
    /// again at 0, so an old key may find a later entry.
    pub(super) fn clear(&mut self) {
        self.slots.clear();
        self.free.clear();
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().filter_map(|slot| slot.entry.as_ref())
    }
}
