//! Which daemons collect for which servers.

use std::{cmp::Reverse, sync::Arc};

use crate::sorted::SortedMap;

/// Up to this many servers of a service are collected for by one daemon.
const MAX_SHARED_SERVERS: usize = 8;

/// Which servers a daemon collects for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CollectingZone {
    /// All servers of the service; a daemon of this zone does it.
    Shared(Arc<str>),
    /// The servers of this zone; a daemon of the same zone does it.
    Own(Arc<str>),
}

/// Returns who collects for the servers of a service, given the zones of all
/// its servers and the zone whose servers are preferred.
#[must_use]
pub fn collecting_zone<'a>(
    zones: impl IntoIterator<Item = &'a Arc<str>>,
    preferred: &Arc<str>,
) -> CollectingZone {
    let mut count: SortedMap<Arc<str>, usize> = SortedMap::new();
    for zone in zones {
        *count.entry_or_insert_with(Arc::clone(zone), || 0) += 1;
    }
    let servers: usize = count.values().sum();
    if servers > MAX_SHARED_SERVERS {
        return CollectingZone::Own(Arc::clone(preferred));
    }
    // The zone with the most servers; of equal ones the first by name.
    let largest = count
        .iter()
        .max_by_key(|(zone, servers)| (**servers, Reverse(Arc::clone(zone))))
        .map(|(zone, _)| Arc::clone(zone));
    CollectingZone::Shared(largest.unwrap_or_else(|| Arc::clone(preferred)))
}
