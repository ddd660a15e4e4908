//! Index of the prompt prefixes in the prefix caches of a pool's servers.

use crate::sorted::SortedSet;

/// The most prefixes recorded for one backend server, which bounds memory at
/// 16 KiB for each server. Beyond it, no prefix is recorded until the server
/// reports evictions.
const MAX_PREFIXES_PER_SERVER: usize = 1_024;

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEvent {
    /// The prefix with this hash is now cached.
    Stored {
        /// The hash of the prefix.
        prefix_hash: u64,
    },
    /// The prefix with this hash is no longer cached.
    Evicted {
        /// The hash of the prefix.
        prefix_hash: u64,
    },
}

/// The position in the cache events of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CacheCursor {
    /// The number of the next event; `None` before the first events.
    next_sequence: Option<u64>,
    /// The number of prefixes recorded for the server.
    prefixes: usize,
}

impl CacheCursor {
    pub(super) fn is_started(&self) -> bool {
        self.next_sequence.is_some()
    }
}

/// The prefixes of all servers of a pool, sorted by hash and server.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    holders: SortedSet<(u64, usize)>,
}

impl PrefixIndex {
    /// Applies numbered events of one server. Events that were applied before
    /// are skipped. After a gap, the prefixes recorded before it are
    /// discarded.
    pub(super) fn apply(
        &mut self,
        server: usize,
        cursor: &mut CacheCursor,
        first_sequence: u64,
        events: &[CacheEvent],
    ) {
        let next = cursor.next_sequence.unwrap_or(first_sequence);
        if first_sequence > next {
            self.remove_server(server, cursor);
        }
        let applied = next.saturating_sub(first_sequence);
        let skip = usize::try_from(applied).unwrap_or(usize::MAX);
        for event in events.iter().skip(skip) {
            self.apply_event(server, cursor, *event);
        }
        let end = first_sequence.saturating_add(events.len() as u64);
        cursor.next_sequence = Some(end.max(next));
    }

    fn apply_event(
        &mut self,
        server: usize,
        cursor: &mut CacheCursor,
        event: CacheEvent,
    ) {
        match event {
            CacheEvent::Stored { prefix_hash } => {
                if cursor.prefixes < MAX_PREFIXES_PER_SERVER
                    && self.holders.insert((prefix_hash, server))
                {
                    cursor.prefixes += 1;
                }
            }
            CacheEvent::Evicted { prefix_hash } => {
                if self.holders.remove(&(prefix_hash, server)) {
                    cursor.prefixes -= 1;
                }
            }
        }
    }

    /// Discards all prefixes of one server.
    pub(super) fn remove_server(
        &mut self,
        server: usize,
        cursor: &mut CacheCursor,
    ) {
        if cursor.prefixes > 0 {
            let kept = self.holders.iter().filter(|(_, at)| *at != server);
            self.holders = kept.copied().collect();
        }
        *cursor = CacheCursor::default();
    }

    /// Returns the index after servers have moved to new positions, by old
    /// position. Servers without a new position are left out.
    pub(super) fn remap_servers(
        &self,
        moved: &[Option<usize>],
    ) -> PrefixIndex {
        let holders = self
            .holders
            .iter()
            .filter_map(|(hash, at)| Some((*hash, moved[*at]?)))
            .collect();
        PrefixIndex { holders }
    }

    /// Iterates over the servers that have cached a prefix.
    pub(super) fn holders(
        &self,
        prefix_hash: u64,
    ) -> impl Iterator<Item = usize> {
        let items = self.holders.as_slice();
        let start = items.partition_point(|(hash, _)| *hash < prefix_hash);
        items[start..]
            .iter()
            .take_while(move |(hash, _)| *hash == prefix_hash)
            .map(|(_, server)| *server)
    }
}
