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
const MAX_ALL_READERS_DAEMONS: usize = 5;

/// Children of one daemon in the tree. With 208 daemons none is more than
/// three hops from the store, and a link carries eight copies of a change.
const CHILDREN_PER_DAEMON: usize = 8;

/// Grace after the timeout of a poll. A follower without a response for longer
/// has lost its source.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// How long a source is skipped after it failed to respond or lost the store.
pub const SOURCE_BACKOFF: Duration = Duration::from_secs(2);

/// Number of daemons at the head of the order that all others also poll when
/// their ancestors are lost. A network partition may cut off several daemons
/// of a zone at once.
const STANDBY_COUNT: usize = 4;

/// Additional delay of each position in the order before a follower without a
/// source reads the store.
const TAKEOVER_STEP: Duration = Duration::from_millis(150);

/// Upper limit of that delay.
const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(1500);

/// The poll timeout of a follower is the bound for applying changes divided by
/// this, so that the loss of two sources in a row fits into the bound.
const FOLLOWER_TIMEOUT_DIVISOR: u32 = 6;

/// The poll timeout of a reader that serves others is the bound divided by
/// this, so that it soon detects that the store no longer responds.
const READER_TIMEOUT_DIVISOR: u32 = 5;

/// Poll timeout of a reader that serves no other daemon. Longer polls save
/// calls, which are billed.
const LONE_READER_POLL_TIMEOUT: Duration = Duration::from_secs(3);

/// The largest part of the bound for applying changes that a poll of such a
/// reader may take. A poll that starts just after the store was restored may
/// end only with its timeout, since it asks for changes after a revision that
/// the store has given out again.
const MAX_LONE_POLL_PERCENT: u32 = 75;

/// The pause of a reader between two polls, in which changes accumulate, is
/// the bound divided by this.
const POLL_INTERVAL_DIVISOR: u32 = 8;

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
    if live.len() <= MAX_ALL_READERS_DAEMONS {
        return Role::Reader;
    }
    let order = rendezvous::order(&format!("store@{zone}"), live);
    let Some(position) = order.iter().position(|name| &***name == me) else {
        // A daemon that shuts down serves no one, so it takes the last
        // position.
        return follower_role(order.len(), &order);
    };
    if position == 0 {
        return Role::Reader;
    }
    follower_role(position, &order)
}

fn follower_role(position: usize, order: &[&Arc<str>]) -> Role {
    let mut sources = Vec::new();
    let mut parent = position;
    while parent > 0 {
        parent = (parent - 1) / CHILDREN_PER_DAEMON;
        sources.push(Arc::clone(order[parent]));
    }
    for standby in order.iter().take(STANDBY_COUNT.min(position)) {
        if !sources.contains(standby) {
            sources.push(Arc::clone(standby));
        }
    }
    let steps = u32::try_from(position - 1).unwrap_or(u32::MAX);
    let takeover_delay =
        TAKEOVER_STEP.saturating_mul(steps).min(MAX_TAKEOVER_DELAY);
    Role::Follower { sources, takeover_delay }
}

/// Returns the poll timeout of a follower.
#[must_use]
pub fn follower_poll_timeout(max_change_delay: Duration) -> Duration {
    max_change_delay / FOLLOWER_TIMEOUT_DIVISOR
}

/// Returns the poll timeout of a reader in a zone of `zone_daemons` live
/// daemons.
#[must_use]
pub fn reader_poll_timeout(
    max_change_delay: Duration,
    zone_daemons: usize,
) -> Duration {
    if zone_daemons <= MAX_ALL_READERS_DAEMONS {
        let longest = max_change_delay * MAX_LONE_POLL_PERCENT / 100;
        LONE_READER_POLL_TIMEOUT.min(longest)
    } else {
        max_change_delay / READER_TIMEOUT_DIVISOR
    }
}

/// Returns the pause of a reader between two polls.
#[must_use]
pub fn reader_poll_interval(max_change_delay: Duration) -> Duration {
    max_change_delay / POLL_INTERVAL_DIVISOR
}

/// The state of a follower's sources.
#[derive(Clone, Debug, Default)]
pub struct SourceTracker {
    fresh_until: Option<Instant>,
    backoff_until: SortedMap<Arc<str>, Instant>,
}

impl SourceTracker {
    /// Records a response to a poll with this timeout from a source that
    /// receives changes from the store, directly or through others.
    pub fn record_response(
        &mut self,
        now: Instant,
        source: &str,
        poll_timeout: Duration,
    ) {
        self.fresh_until = Some(now + poll_timeout + RESPONSE_GRACE);
        self.backoff_until.remove(source);
    }

    /// Records that a source is of no use for a while, for example because it
    /// didn't respond or has lost the store.
    pub fn record_failure(
        &mut self,
        now: Instant,
        source: &Arc<str>,
        backoff: Duration,
    ) {
        self.backoff_until.retain(|_, until| *until > now);
        self.backoff_until.insert(Arc::clone(source), now + backoff);
    }

    /// Polls all sources again, for example because they may be the first ones
    /// to know that the store is back.
    pub fn clear_backoffs(&mut self) {
        self.backoff_until = SortedMap::new();
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
            self.backoff_until
                .get(&***source)
                .is_none_or(|until| *until <= now)
        })
    }
}

#[cfg(test)]
mod tests;
