//! Numbers for workspace names, so that queues are arrays.

use rapidhash::v3::rapidhash_v3;

use super::lane::WorkspaceIndex;
use crate::{names::WorkspaceName, sorted::SortedMap};

/// Parts of the list, by hash. With 7,000 names one sorted list was the
/// largest part of an offer.
const PARTS: usize = 256;

/// Compared by hash first, which avoids following a pointer in each step of
/// a binary search.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct HashedName {
    hash: u64,
    name: WorkspaceName,
}

#[derive(Debug)]
pub(super) struct Workspaces {
    parts: Vec<SortedMap<HashedName, WorkspaceIndex>>,
    count: usize,
}

impl Default for Workspaces {
    fn default() -> Workspaces {
        Workspaces { parts: vec![SortedMap::new(); PARTS], count: 0 }
    }
}

impl Workspaces {
    /// Returns the number of a name. Numbers are never taken back; the names
    /// are those of the published set, so there are few.
    pub(super) fn intern(&mut self, name: &WorkspaceName) -> WorkspaceIndex {
        let hash = rapidhash_v3(name.as_str().as_bytes());
        let part = hash.to_le_bytes()[0];
        let next = WorkspaceIndex(self.count);
        let key = HashedName { hash, name: name.clone() };
        let index =
            *self.parts[usize::from(part)].entry_or_insert_with(key, || next);
        if index == next {
            self.count += 1;
        }
        index
    }
}
