//! A vector with reused places and keys that don't outlive their entry.

/// The key of an entry. A key of a removed entry finds nothing, even when
/// its place is in use again.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Place<T> {
    generation: u32,
    entry: Option<T>,
}

#[derive(Debug)]
pub(super) struct Slab<T> {
    places: Vec<Place<T>>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Slab<T> {
        Slab { places: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// # Panics
    ///
    /// Panics at 2^32 entries; the queue limit is far lower.
    pub(super) fn insert(&mut self, entry: T) -> Key {
        if let Some(index) = self.free.pop() {
            let place = &mut self.places[index as usize];
            place.entry = Some(entry);
            return Key { index, generation: place.generation };
        }
        let index = u32::try_from(self.places.len()).expect("under 2^32");
        self.places.push(Place { generation: 0, entry: Some(entry) });
        Key { index, generation: 0 }
    }

    pub(super) fn get(&self, key: Key) -> Option<&T> {
        let place = self.places.get(key.index as usize)?;
        (place.generation == key.generation).then_some(())?;
        place.entry.as_ref()
    }

    pub(super) fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let place = self.places.get_mut(key.index as usize)?;
        (place.generation == key.generation).then_some(())?;
        place.entry.as_mut()
    }

    pub(super) fn remove(&mut self, key: Key) -> Option<T> {
        let place = self.places.get_mut(key.index as usize)?;
        (place.generation == key.generation).then_some(())?;
        let entry = place.entry.take()?;
        place.generation = place.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(entry)
    }

    /// Removes all entries and keeps the memory. Keys of before may find
    /// later entries.
    pub(super) fn clear(&mut self) {
        self.places.clear();
        self.free.clear();
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &T> {
        self.places.iter().filter_map(|place| place.entry.as_ref())
    }
}
