//! Digests of the members of each zone.
//!
//! Two daemons with equal digests know the same live members of a zone. A
//! digest is the sum of the hashes of its members, so that a change costs one
//! hash. Dead members are left out, because each daemon forgets them at a
//! different time.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{membership::MemberState, sorted::SortedMap};

use super::member::Member;

/// The digest of one zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneDigest {
    /// The zone.
    pub zone: Arc<str>,
    /// The sum of the hashes of its members.
    pub sum: u64,
}

/// The digests of all zones.
#[derive(Clone, Debug, Default)]
pub(super) struct Digests {
    by_zone: SortedMap<Arc<str>, u64>,
}

impl Digests {
    /// Replaces a member whose entry has changed.
    pub(super) fn replace(
        &mut self,
        before: Option<&Member>,
        after: Option<&Member>,
    ) {
        if let Some(before) = before {
            let sum = self.sum_of(&before.zone);
            *sum = sum.wrapping_sub(term(before));
        }
        if let Some(after) = after {
            let sum = self.sum_of(&after.zone);
            *sum = sum.wrapping_add(term(after));
        }
    }

    fn sum_of(&mut self, zone: &Arc<str>) -> &mut u64 {
        self.by_zone.get_or_insert_with(Arc::clone(zone), || 0)
    }

    /// Returns the digests for a message.
    pub(super) fn all(&self) -> Vec<ZoneDigest> {
        self.by_zone
            .iter()
            .map(|(zone, &sum)| ZoneDigest { zone: Arc::clone(zone), sum })
            .collect()
    }

    /// Returns the zones that differ from those of another daemon.
    pub(super) fn differing(&self, remote: &[ZoneDigest]) -> Vec<Arc<str>> {
        let only_remote = remote
            .iter()
            .filter(|digest| !self.by_zone.contains_key(&*digest.zone))
            .filter(|digest| digest.sum != 0)
            .map(|digest| Arc::clone(&digest.zone));
        let differing = self.by_zone.iter().filter(|(zone, sum)| {
            let digest = remote.iter().find(|digest| digest.zone == **zone);
            digest.map_or(0, |digest| digest.sum) != **sum
        });
        differing
            .map(|(zone, _)| Arc::clone(zone))
            .chain(only_remote)
            .collect()
    }
}

/// Returns the term of a member in the sum of its zone.
fn term(member: &Member) -> u64 {
    match member.state {
        MemberState::Dead => 0,
        _ => member.hash(),
    }
}
