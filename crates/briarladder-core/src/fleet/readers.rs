//! Which daemons read the platform's store, and who feeds the others.
//!
//! Calls to the store are limited and billed, and each change wakes every
//! call that waits for one. In a zone of more than a few daemons only some
//! read the store; the others wait for changes at two of these. Nobody is
//! appointed: all daemons work the readers out from the heartbeats, and one
//! that is fed by nobody reads for itself.
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//!
//! use briarladder_core::fleet::readers::{Role, role};
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

/// The readers of a zone. A follower is fed by two of them, so that one that
/// is lost or turned away delays nobody.
const READERS: usize = 3;

/// In a zone of up to this many daemons all read: the calls that readers
/// would save are few.
const MAX_READING_ZONE: usize = 5;

/// A follower without a word of a reader for this long reads for itself.
const FRESH_FOR: Duration = Duration::from_millis(1200);

/// A reader that does not answer, or has lost the store, is left alone for
/// this long.
const AVOID_FOR: Duration = Duration::from_secs(2);

/// How long a follower waits for a change in one call, in a zone of up to
/// [`SHORT_WAIT_ZONE`] daemons.
const SHORT_WAIT: Duration = Duration::from_millis(900);

/// In larger zones calls wait longer, so that the calls to a reader don't
/// grow with its zone.
const SHORT_WAIT_ZONE: usize = 32;

/// The longest wait. A reader that has gone silent is noticed after it.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// What a daemon does to learn of changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// It reads the store.
    Reader,
    /// It is fed by these daemons, the best one first.
    Follower(Vec<Arc<str>>),
}

/// Returns the role of a daemon among the live ones of its zone.
#[must_use]
pub fn role(me: &str, zone: &str, live: &[Arc<str>]) -> Role {
    if live.len() <= MAX_READING_ZONE {
        return Role::Reader;
    }
    let duty = format!("store@{zone}");
    let readers = rendezvous::top(&duty, live, READERS);
    if readers.iter().any(|reader| &***reader == me) {
        return Role::Reader;
    }
    // Each follower has an order of its own, which spreads them.
    let readers = readers.into_iter().map(Arc::clone);
    Role::Follower(rendezvous::order(me, readers))
}

/// Returns how long a follower waits for a change in one call.
#[must_use]
pub fn feed_wait(zone_daemons: usize) -> Duration {
    let times = zone_daemons.div_ceil(SHORT_WAIT_ZONE).max(1);
    let wait = SHORT_WAIT * u32::try_from(times).unwrap_or(u32::MAX);
    wait.min(LONGEST_WAIT)
}

/// What a follower knows of its feeds.
#[derive(Clone, Debug, Default)]
pub struct Feeds {
    heard: Option<Heard>,
    avoid_until: SortedMap<Arc<str>, Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    /// The wait of the call that was answered.
    wait: Duration,
}

impl Feeds {
    /// Records an answer of a reader that reaches the store.
    pub fn heard(&mut self, now: Instant, reader: &str, wait: Duration) {
        self.heard = Some(Heard { at: now, wait });
        self.avoid_until.remove(reader);
    }

    /// Records that a reader does not answer or has lost the store.
    pub fn failed(&mut self, now: Instant, reader: &Arc<str>) {
        self.avoid_until.retain(|_, until| *until > now);
        self.avoid_until.insert(Arc::clone(reader), now + AVOID_FOR);
    }

    /// Returns whether changes arrive.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.heard.is_some_and(|heard| {
            now.duration_since(heard.at) <= heard.wait + FRESH_FOR
        })
    }

    /// Returns the reader for one of the feeds; each feed has another one.
    #[must_use]
    pub fn reader<'a>(
        &self,
        now: Instant,
        readers: &'a [Arc<str>],
        feed: usize,
    ) -> Option<&'a Arc<str>> {
        let usable = |reader: &&Arc<str>| {
            self.avoid_until.get(&***reader).is_none_or(|until| *until <= now)
        };
        readers.iter().filter(usable).nth(feed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(count: usize) -> Vec<Arc<str>> {
        (0..count).map(|at| Arc::from(format!("vm-{at}"))).collect()
    }

    /// Guards against calls to the store that grow with the fleet, and
    /// against readers that all followers of a zone choose first.
    #[test]
    fn role_few_readers() {
        for count in [6, 13, 208] {
            let live = names(count);
            let mut readers = 0;
            let mut first: SortedMap<Arc<str>, usize> = SortedMap::new();
            for name in &live {
                match role(name, "z", &live) {
                    Role::Reader => readers += 1,
                    Role::Follower(order) => {
                        assert_eq!(order.len(), READERS);
                        let first =
                            first.entry_or_insert_with(order[0].clone(), || 0);
                        *first += 1;
                    }
                }
            }
            assert_eq!(readers, READERS, "of {count}");
            if count == 208 {
                assert!(first.values().all(|&followers| followers > 40));
            }
        }
    }

    /// Guards against a zone whose readers change when another daemon ends.
    #[test]
    fn role_is_stable() {
        let live = names(13);
        let readers = |live: &[Arc<str>]| -> Vec<Arc<str>> {
            let reads =
                |name: &&Arc<str>| role(name, "z", live) == Role::Reader;
            live.iter().filter(reads).cloned().collect()
        };
        let before = readers(&live);
        let ended = live.iter().find(|name| !before.contains(name)).unwrap();
        let after: Vec<Arc<str>> =
            live.iter().filter(|name| *name != ended).cloned().collect();
        assert_eq!(before, readers(&after));
    }

    /// Guards against a follower that trusts readers that are silent or have
    /// lost the store.
    #[test]
    fn is_fresh_ends() {
        let now = Instant::now();
        let readers = names(3);
        let mut feeds = Feeds::default();
        assert!(!feeds.is_fresh(now));
        let wait = feed_wait(13);
        feeds.heard(now, &readers[0], wait);
        assert!(feeds.is_fresh(now + wait + FRESH_FOR));
        assert!(!feeds.is_fresh(now + wait + FRESH_FOR * 2));
        feeds.failed(now, &readers[0]);
        assert_eq!(feeds.reader(now, &readers, 0), Some(&readers[1]));
        assert_eq!(feeds.reader(now, &readers, 1), Some(&readers[2]));
        let later = now + AVOID_FOR;
        assert_eq!(feeds.reader(later, &readers, 0), Some(&readers[0]));
    }

    /// Guards against a reader whose calls grow with its zone.
    #[test]
    fn feed_wait_grows() {
        assert_eq!(feed_wait(13), SHORT_WAIT);
        assert_eq!(feed_wait(208), LONGEST_WAIT);
    }
}
