//! Chooses the daemon that opens a connection to a server for this one.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::SortedMap;

use super::super::{peers::Member, placement::Distance};

/// How many more relayed connections than another daemon one of the same zone
/// has before the other is preferred, so that the few daemons of a zone that
/// still reach servers don't carry all of its load.
pub(super) const SAME_ZONE_ADVANTAGE: usize = 16;

/// The same for a daemon of the same region against one of another region.
const SAME_REGION_ADVANTAGE: usize = 8;

/// How long a daemon counts with the connections that it relayed for others
/// when it last opened one.
const LOAD_RETENTION: Duration = Duration::from_secs(1);

/// Why a daemon did not open a connection for this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayDecline {
    /// It doesn't reach the server either, or doesn't respond.
    NoPath,
    /// It relays as many connections as it can.
    Full,
    /// It shuts down, or runs a version that relays nothing.
    Unavailable,
}

impl RelayDecline {
    /// Returns for how long the daemon is not asked again.
    fn retry_after(self) -> Duration {
        match self {
            RelayDecline::NoPath => Duration::from_secs(1),
            RelayDecline::Full => Duration::from_millis(300),
            RelayDecline::Unavailable => Duration::from_secs(10),
        }
    }
}

/// The connections that a daemon relays for others than this one.
#[derive(Clone, Copy, Debug)]
struct OtherLoad {
    connections: usize,
    reported_at: Instant,
}

/// The daemons that open connections to servers for this one.
#[derive(Clone, Debug, Default)]
pub struct RelayTable {
    /// Until when daemons that have declined are not asked.
    declined_until: SortedMap<Arc<str>, Instant>,
    /// Open relayed connections by daemon.
    open: SortedMap<Arc<str>, usize>,
    other_loads: SortedMap<Arc<str>, OtherLoad>,
}

impl RelayTable {
    /// Chooses the daemon to ask: one with few relayed connections, of this
    /// daemon and as far as known of others, near ones first. `random`
    /// distributes requests among equals.
    #[must_use]
    pub fn choose<'a>(
        &self,
        now: Instant,
        members: impl Iterator<Item = &'a Member>,
        distance: impl Fn(&Member) -> Distance,
        random: u64,
    ) -> Option<&'a Member> {
        let usable: Vec<&Member> = members
            .filter(|member| {
                let declined = self.declined_until.get(&*member.name);
                declined.is_none_or(|until| *until <= now)
            })
            .collect();
        let cost = |member: &Member| {
            let penalty = match distance(member) {
                Distance::SameZone => 0,
                Distance::SameRegion => {
                    SAME_ZONE_ADVANTAGE - SAME_REGION_ADVANTAGE
                }
                Distance::OtherRegion => SAME_ZONE_ADVANTAGE,
            };
            // Another daemon may tell any number.
            self.other_connections(now, &member.name)
                .saturating_add(self.open_count(&member.name) + penalty)
        };
        let len = u64::try_from(usable.len()).unwrap_or(u64::MAX).max(1);
        let first = usize::try_from(random % len).unwrap_or(0);
        let (before, after) = usable.split_at(first.min(usable.len()));
        after.iter().chain(before).copied().min_by_key(|member| cost(member))
    }

    pub(super) fn open_count(&self, name: &str) -> usize {
        self.open.get(name).copied().unwrap_or(0)
    }

    fn other_connections(&self, now: Instant, name: &str) -> usize {
        let load = self.other_loads.get(name).filter(|load| {
            now.duration_since(load.reported_at) < LOAD_RETENTION
        });
        load.map_or(0, |load| load.connections)
    }

    /// Records that a daemon has opened a connection for this one, and how
    /// many it relays now for all daemons, if it has told.
    pub fn record_opened(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        relayed_connections: Option<usize>,
    ) {
        let open = self.open.get_or_insert_with(Arc::clone(name), || 0);
        *open += 1;
        if let Some(relayed) = relayed_connections {
            let connections = relayed.saturating_sub(*open);
            let load = OtherLoad { connections, reported_at: now };
            self.other_loads.insert(Arc::clone(name), load);
        }
    }

    /// Records that a relayed connection has ended.
    pub fn record_closed(&mut self, name: &str) {
        if let Some(count) = self.open.get_mut(name) {
            *count -= 1;
            if *count == 0 {
                self.open.remove(name);
            }
        }
    }

    /// Records that a daemon has declined.
    pub fn record_declined(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        reason: RelayDecline,
    ) {
        self.declined_until.retain(|_, until| *until > now);
        let until = now + reason.retry_after();
        self.declined_until.insert(Arc::clone(name), until);
    }
}
