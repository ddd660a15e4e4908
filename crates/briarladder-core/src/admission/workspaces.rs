//! Interns workspace names as indexes, so that queues can be arrays.

use rapidhash::v3::rapidhash_v3;

use super::phase_queue::WorkspaceIndex;
use crate::{names::WorkspaceName, sorted::SortedMap};

/// The number of sorted lists over which the names are spread by their hash.
/// With 7,000 names, inserting into
/// a single sorted list dominated the cost of an offer.
const SHARDS: usize = 256;

/// A name with its hash. The hash is compared first, so that a step of a
/// binary search rarely follows the pointer to the name.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct HashedName {
    hash: u64,
    name: WorkspaceName,
}

#[derive(Debug)]
pub(super) struct WorkspaceInterner {
    shards: Vec<SortedMap<HashedName, WorkspaceIndex>>,
    /// The number of interned names, which is also the next index.
    count: usize,
}

impl Default for WorkspaceInterner {
    fn default() -> WorkspaceInterner {
        WorkspaceInterner { shards: vec![SortedMap::new(); SHARDS], count: 0 }
    }
}

impl WorkspaceInterner {
    /// Returns the index of a name, and assigns the next one to a new name.
    /// Indexes are never reused: names come from the published
    /// configuration, so their number is bounded.
    pub(super) fn intern(&mut self, name: &WorkspaceName) -> WorkspaceIndex {
        let hash = rapidhash_v3(name.as_str().as_bytes());
        let shard = hash.to_le_bytes()[0];
        let next = WorkspaceIndex(self.count);
        let key = HashedName { hash, name: name.clone() };
        let index =
            *self.shards[usize::from(shard)].get_or_insert_with(key, || next);
        if index == next {
            self.count += 1;
        }
        index
    }
}
