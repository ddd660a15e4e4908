//! Assigns who reads the platform's store and who distributes its changes.
//!
//! Calls to the store are limited and billed, and each change wakes every
//! pending call. In a zone of more than a few daemons one daemon reads the
//! store, and changes reach the others along a tree: each daemon polls its
//! parent for changes and serves a few children, so that no link carries more
//! than a few copies. There is no election: all daemons compute the tree from
//! the live daemons of their zone. The first daemons in the order replace a
//! lost reader one after another, and then serve the others. Any daemon
//! without a source reads the store itself after a delay that grows with its
//! position in the order.
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//!
//! use briarladder_core::fleet::store_roles::{Role, role};
//!
//! let zone: Vec<Arc<str>> =
//!     (0..3).map(|at| Arc::from(format!("vm-{at}"))).collect();
//! assert_eq!(role("vm-0", "zone-a", &zone), Role::Reader);
//! ```

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{rendezvous, sorted::SortedMap};

/// In a zone of up to this many daemons all read the store, because a single
/// reader would save few calls.
const MAX_READING_ZONE: usize = 5;

/// Children of one daemon in the tree. With 208 daemons none is more than
/// three hops from the store, and a link carries eight copies of a change.
const FED_BY_ONE: usize = 8;

/// Grace after the timeout of a poll. A follower without an answer for longer
/// has lost its source.
const FRESH_FOR: Duration = Duration::from_millis(500);

/// How long a source is skipped after it failed to answer or lost the store.
const AVOID_FOR: Duration = Duration::from_secs(2);

/// The first daemons of the order, which all others also poll when their
/// ancestors are lost. A network partition may cut off several daemons of a
/// zone at once.
const STAND_INS: usize = 4;

/// Additional delay of each position in the order before a follower without a
/// source reads the store.
const STAND_IN_STEP: Duration = Duration::from_millis(150);

/// The maximum of that delay.
const LONGEST_STAND_IN: Duration = Duration::from_millis(1500);

/// The poll timeout of a follower is this fraction of the bound for applying
/// changes, so that the loss of two sources in a row fits into the bound.
const WAIT_DIVISOR: u32 = 6;

/// The poll timeout of a reader that serves others is this fraction of the
/// bound, so that it soon detects that the store no longer answers.
const READER_WAIT_DIVISOR: u32 = 5;

/// Poll timeout of a reader that serves no other daemon. Longer polls save
/// calls, which are billed.
const LONE_READER_WAIT: Duration = Duration::from_secs(3);

/// The pause of a reader between two polls, in which changes accumulate, is
/// this fraction of the bound.
const PAUSE_DIVISOR: u32 = 8;

/// How a daemon receives changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// It reads the store.
    Reader,
    /// It polls other daemons.
    Follower {
        /// The daemons to poll, in order of preference.
        sources: Vec<Arc<str>>,
        /// How long it waits without a source before it reads the store
        /// itself.
        takeover_delay: Duration,
    },
}

/// Returns the role of a daemon among the live ones of its zone.
#[must_use]
pub fn role(me: &str, zone: &str, live: &[Arc<str>]) -> Role {
    if live.len() <= MAX_READING_ZONE {
        return Role::Reader;
    }
    let order = rendezvous::order(&format!("store@{zone}"), live);
    let Some(place) = order.iter().position(|name| &***name == me) else {
        // A daemon that shuts down serves no one, so it takes the last
        // position.
        return follower(order.len(), &order);
    };
    if place == 0 {
        return Role::Reader;
    }
    follower(place, &order)
}

fn follower(place: usize, order: &[&Arc<str>]) -> Role {
    let mut sources = Vec::new();
    let mut above = place;
    while above > 0 {
        above = (above - 1) / FED_BY_ONE;
        sources.push(Arc::clone(order[above]));
    }
    for stand_in in order.iter().take(STAND_INS.min(place)) {
        if !sources.contains(stand_in) {
            sources.push(Arc::clone(stand_in));
        }
    }
    let steps = u32::try_from(place - 1).unwrap_or(u32::MAX);
    let stands_in_after =
        STAND_IN_STEP.saturating_mul(steps).min(LONGEST_STAND_IN);
    Role::Follower { sources, takeover_delay: stands_in_after }
}

/// Returns the poll timeout of a follower.
#[must_use]
pub fn follower_poll_timeout(change_bound: Duration) -> Duration {
    change_bound / WAIT_DIVISOR
}

/// Returns the poll timeout of a reader in a zone of `zone_daemons` live
/// daemons.
#[must_use]
pub fn reader_poll_timeout(
    change_bound: Duration,
    zone_daemons: usize,
) -> Duration {
    if zone_daemons <= MAX_READING_ZONE {
        LONE_READER_WAIT
    } else {
        change_bound / READER_WAIT_DIVISOR
    }
}

/// Returns the pause of a reader between two polls.
#[must_use]
pub fn reader_poll_interval(change_bound: Duration) -> Duration {
    change_bound / PAUSE_DIVISOR
}

/// The state of a follower's sources.
#[derive(Clone, Debug, Default)]
pub struct SourceTracker {
    fresh_until: Option<Instant>,
    avoid_until: SortedMap<Arc<str>, Instant>,
}

impl SourceTracker {
    /// Records an answer to a poll with this timeout from a source that
    /// receives changes from the store, directly or through others.
    pub fn record_response(
        &mut self,
        now: Instant,
        source: &str,
        wait: Duration,
    ) {
        self.fresh_until = Some(now + wait + FRESH_FOR);
        self.avoid_until.remove(source);
    }

    /// Records that a source didn't answer or has lost the store.
    pub fn record_failure(&mut self, now: Instant, source: &Arc<str>) {
        self.avoid_until.retain(|_, until| *until > now);
        self.avoid_until.insert(Arc::clone(source), now + AVOID_FOR);
    }

    /// Returns whether changes are being received.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until.is_some_and(|until| now <= until)
    }

    /// Returns for how long no changes have been received, or `None` if they
    /// are being received or never were.
    #[must_use]
    pub fn stale_for(&self, now: Instant) -> Option<Duration> {
        now.checked_duration_since(self.fresh_until?)
    }

    /// Returns the source to poll, or `None` if all have failed recently.
    #[must_use]
    pub fn choose_source<'a>(
        &self,
        now: Instant,
        sources: &'a [Arc<str>],
    ) -> Option<&'a Arc<str>> {
        sources.iter().find(|source| {
            self.avoid_until.get(&***source).is_none_or(|until| *until <= now)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(count: usize) -> Vec<Arc<str>> {
        (0..count).map(|at| Arc::from(format!("vm-{at}"))).collect()
    }

    fn sources(name: &str, live: &[Arc<str>]) -> Vec<Arc<str>> {
        match role(name, "z", live) {
            Role::Reader => Vec::new(),
            Role::Follower { sources, .. } => sources,
        }
    }

    /// Guards against calls to the store that grow with the fleet, against a
    /// daemon that serves all others of its zone, and against daemons that are
    /// many hops from the store.
    #[test]
    fn role_one_reader() {
        for count in [6, 13, 50, 208] {
            let live = names(count);
            let mut readers = 0;
            let mut fed: SortedMap<Arc<str>, usize> = SortedMap::new();
            for name in &live {
                let sources = sources(name, &live);
                let Some(source) = sources.first() else {
                    readers += 1;
                    continue;
                };
                let fed = fed.get_or_insert_with(Arc::clone(source), || 0);
                *fed += 1;
                assert!(sources.len() <= 3 + STAND_INS, "{sources:?}");
            }
            assert_eq!(readers, 1, "of {count}");
            assert!(fed.values().all(|&fed| fed <= FED_BY_ONE));
        }
    }

    /// Guards against a reader that changes when another daemon of its zone
    /// ends.
    #[test]
    fn role_is_stable() {
        let live = names(13);
        let reader = |live: &[Arc<str>]| {
            live.iter().position(|name| sources(name, live).is_empty())
        };
        let before = live[reader(&live).unwrap()].clone();
        let ended = live.iter().find(|name| **name != before).unwrap();
        let after: Vec<Arc<str>> =
            live.iter().filter(|name| *name != ended).cloned().collect();
        assert_eq!(before, after[reader(&after).unwrap()]);
    }

    /// Guards against all daemons of a zone reading the store at once when
    /// their reader is lost, and against none of them reading it.
    #[test]
    fn role_stands_in_by_turns() {
        let live = names(33);
        let mut waits: Vec<Duration> = live
            .iter()
            .filter_map(|name| match role(name, "z", &live) {
                Role::Reader => None,
                Role::Follower { takeover_delay: stands_in_after, .. } => {
                    Some(stands_in_after)
                }
            })
            .collect();
        waits.sort_unstable();
        assert_eq!(waits[0], Duration::ZERO);
        assert_eq!(waits[1], STAND_IN_STEP);
        assert!(waits.iter().all(|wait| *wait <= LONGEST_STAND_IN));
    }

    /// Guards against a follower that keeps polling a source that is silent or
    /// has lost the store, and against one that takes too long to detect the
    /// loss of two sources.
    #[test]
    fn is_fresh_ends() {
        let now = Instant::now();
        let sources = names(3);
        let mut feeds = SourceTracker::default();
        assert!(!feeds.is_fresh(now));
        assert_eq!(feeds.stale_for(now), None);
        let bound = Duration::from_millis(2500);
        let wait = follower_poll_timeout(bound);
        feeds.record_response(now, &sources[0], wait);
        let silent = now + wait + FRESH_FOR;
        assert!(feeds.is_fresh(silent));
        let later = silent + Duration::from_millis(10);
        assert_eq!(feeds.stale_for(later), Some(Duration::from_millis(10)));
        feeds.record_failure(now, &sources[0]);
        assert_eq!(feeds.choose_source(now, &sources), Some(&sources[1]));
        feeds.record_failure(now, &sources[1]);
        assert_eq!(feeds.choose_source(now, &sources), Some(&sources[2]));
        let lost = 2 * (wait + FRESH_FOR) + reader_poll_interval(bound);
        assert!(lost < bound, "{lost:?}");
        assert!(reader_poll_timeout(bound, 33) < bound / 4);
        let later = now + AVOID_FOR;
        assert_eq!(feeds.choose_source(later, &sources), Some(&sources[0]));
    }
}
