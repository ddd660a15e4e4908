//! A buffer for received bytes that gives its memory back when it is dropped.
//!
//! A general allocator may keep the memory of a large buffer: the one of the
//! GNU C library maps large buffers apart at first, but places them on the
//! heap once some have been released, where growing buffers leave holes. The
//! account of what callers hold would then be far below what the process
//! occupies. So large buffers are mapped apart here, whatever the allocator
//! does.
//!
//! # Example
//!
//! ```
//! use briarladder_gateway::receive_buffer::ReceiveBuffer;
//!
//! let mut buffer = ReceiveBuffer::default();
//! buffer.reserve(1 << 20);
//! buffer.extend_from_slice(b"body");
//! assert_eq!(buffer.as_ref(), b"body");
//! assert!(buffer.capacity() >= 1 << 20);
//! ```

use memmap2::MmapMut;

/// Buffers of at least this capacity are mapped apart. With 64 KiB, the many
/// buffers of growing bodies left a heap that the allocator kept beside later
/// mappings.
const MIN_MAPPED_BYTES: usize = 16 * 1024;

/// A buffer for received bytes.
#[derive(Debug)]
pub enum ReceiveBuffer {
    /// A small buffer, or one for which no mapping could be made.
    Heap(Vec<u8>),
    /// A large buffer.
    Mapped {
        /// Its memory.
        memory: MmapMut,
        /// The part that is filled.
        len: usize,
    },
}

impl Default for ReceiveBuffer {
    fn default() -> ReceiveBuffer {
        ReceiveBuffer::Heap(Vec::new())
    }
}

impl ReceiveBuffer {
    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        match self {
            ReceiveBuffer::Heap(bytes) => bytes.len(),
            ReceiveBuffer::Mapped { len, .. } => *len,
        }
    }

    /// Returns whether the buffer is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many bytes fit without more memory.
    #[must_use]
    pub fn capacity(&self) -> usize {
        match self {
            ReceiveBuffer::Heap(bytes) => bytes.capacity(),
            ReceiveBuffer::Mapped { memory, .. } => memory.len(),
        }
    }

    /// Makes room for `capacity` bytes in all. While the bytes are moved, both
    /// the old and the new memory exist.
    pub fn reserve(&mut self, capacity: usize) {
        if capacity <= self.capacity() {
            return;
        }
        let len = self.len();
        if capacity >= MIN_MAPPED_BYTES
            && let Ok(mut memory) = MmapMut::map_anon(capacity)
        {
            memory[..len].copy_from_slice(self.as_ref());
            *self = ReceiveBuffer::Mapped { memory, len };
            return;
        }
        let mut bytes = match std::mem::take(self) {
            ReceiveBuffer::Heap(bytes) => bytes,
            ReceiveBuffer::Mapped { memory, len } => memory[..len].to_vec(),
        };
        bytes.reserve_exact(capacity - len);
        *self = ReceiveBuffer::Heap(bytes);
    }

    /// Appends bytes, and makes room for them if there is none.
    pub fn extend_from_slice(&mut self, data: &[u8]) {
        self.reserve(self.len() + data.len());
        match self {
            ReceiveBuffer::Heap(bytes) => bytes.extend_from_slice(data),
            ReceiveBuffer::Mapped { memory, len } => {
                memory[*len..*len + data.len()].copy_from_slice(data);
                *len += data.len();
            }
        }
    }
}

impl AsRef<[u8]> for ReceiveBuffer {
    fn as_ref(&self) -> &[u8] {
        match self {
            ReceiveBuffer::Heap(bytes) => bytes,
            ReceiveBuffer::Mapped { memory, len } => &memory[..*len],
        }
    }
}

#[cfg(test)]
mod tests;
