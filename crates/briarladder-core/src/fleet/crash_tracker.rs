//! Detects requests that crash the servers that run them.
//!
//! Such a request is retried under another id and at any daemon, so it is
//! identified by a hash of its content. Each crash is identified by the server
//! process that ended, so that crashes seen by several daemons add up without
//! being counted twice. A request after which three server processes ended is
//! refused; one complete response clears it.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//!
//! use briarladder_core::fleet::crash_tracker::{
//!     ContentHash, CrashTracker, ServerIncarnation,
//! };
//!
//! let now = Instant::now();
//! let content = ContentHash::of("/plans/7", Some("w1"), b"order");
//! let mut tracker = CrashTracker::default();
//! for server in ["s-1", "s-2", "s-3"] {
//!     assert_eq!(tracker.refused_for(now, content), None);
//!     tracker.record_crash(now, content, ServerIncarnation::of(server, 0));
//! }
//! assert!(tracker.refused_for(now, content).is_some());
//! ```

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::sorted::{SortedMap, SortedSet};

/// A request is refused after this many server processes ended while they ran
/// it. Two servers may fail together for another reason, for example with
/// their rack.
const CRASH_LIMIT: usize = 3;

/// How long a request is refused, and how long a crash counts. Afterwards one
/// more crash is enough to refuse it again.
const REFUSAL_DURATION: Duration = Duration::from_mins(2);

/// Requests that are tracked, which takes about 200 KB.
const MAX_TRACKED_REQUESTS: usize = 2048;

/// How long a crash is sent to other daemons.
const NOTICE_DURATION: Duration = Duration::from_secs(5);

/// Maximum number of notices in one message.
pub const MAX_NOTICES: usize = 8;

/// Identifies a request by its content, independent of its id: a hash of its
/// path, its caller and its body. The hash is cryptographic, so that no caller
/// can craft a body that gets another caller's request refused.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ContentHash([u8; 16]);

impl ContentHash {
    /// Hashes a request.
    #[must_use]
    pub fn of(target: &str, caller: Option<&str>, body: &[u8]) -> ContentHash {
        let mut hasher = blake3::Hasher::new();
        // The lengths prevent collisions between requests that divide the same
        // bytes differently.
        for part in [target, caller.unwrap_or_default()] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        ContentHash(bytes)
    }
}

/// Identifies one process of a server.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ServerIncarnation(u64);

impl ServerIncarnation {
    /// Hashes the name of the server and the start time of its process.
    #[must_use]
    pub fn of(name: &str, born_ms: u64) -> ServerIncarnation {
        let name = rapidhash::v3::rapidhash_v3(name.as_bytes());
        ServerIncarnation(name.rotate_left(1) ^ born_ms)
    }
}

/// The crashes of one request, as sent to other daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNotice {
    /// The request.
    pub content: ContentHash,
    /// The server processes that ended while they ran it.
    #[serde(rename = "runs")]
    pub incarnations: Vec<ServerIncarnation>,
}

#[derive(Clone, Debug)]
struct RequestCrashes {
    incarnations: SortedSet<ServerIncarnation>,
    updated_at: Instant,
}

/// The requests whose crashes a daemon knows.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    by_content_hash: SortedMap<ContentHash, RequestCrashes>,
}

impl CrashTracker {
    /// Returns whether no crash is known, in which case no request needs to be
    /// hashed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_content_hash.is_empty()
    }

    /// Records that a server process ended while it ran a request. Returns
    /// whether the request is refused from now on.
    pub fn record_crash(
        &mut self,
        now: Instant,
        content: ContentHash,
        incarnation: ServerIncarnation,
    ) -> bool {
        self.add(now, content, &[incarnation]);
        self.refused_for(now, content).is_some()
    }

    /// Adds crashes of a request and returns whether one was not known.
    fn add(
        &mut self,
        now: Instant,
        content: ContentHash,
        incarnations: &[ServerIncarnation],
    ) -> bool {
        let mut new = false;
        self.expire(now);
        let known = self.by_content_hash.get_or_insert_with(content, || {
            RequestCrashes { incarnations: SortedSet::new(), updated_at: now }
        });
        for incarnation in incarnations {
            let full = known.incarnations.len() >= CRASH_LIMIT;
            if !full && known.incarnations.insert(*incarnation) {
                known.updated_at = now;
                new = true;
            }
        }
        if self.by_content_hash.len() > MAX_TRACKED_REQUESTS {
            let least_crashes =
                self.by_content_hash.iter().min_by_key(|(_, crashes)| {
                    (crashes.incarnations.len(), crashes.updated_at)
                });
            if let Some(least_crashes) =
                least_crashes.map(|(content, _)| *content)
            {
                self.by_content_hash.remove(&least_crashes);
            }
        }
        new
    }

    /// Removes one crash from each request whose last crash is too old to
    /// refuse it, and forgets requests that were below the limit.
    fn expire(&mut self, now: Instant) {
        self.by_content_hash.retain(|_, crashes| {
            if now.duration_since(crashes.updated_at) < REFUSAL_DURATION {
                return true;
            }
            let last = crashes.incarnations.iter().next_back().copied();
            if let Some(last) = last {
                crashes.incarnations.remove(&last);
            }
            crashes.updated_at = now;
            crashes.incarnations.len() + 1 == CRASH_LIMIT
        });
    }

    /// Records a complete response, which shows that the request doesn't crash
    /// servers but only ran on servers that ended for another reason.
    pub fn record_success(&mut self, content: ContentHash) {
        self.by_content_hash.remove(&content);
    }

    /// Returns for how long a request is still refused, or `None` if it is
    /// not.
    #[must_use]
    pub fn refused_for(
        &self,
        now: Instant,
        content: ContentHash,
    ) -> Option<Duration> {
        let crashes = self.by_content_hash.get(&content)?;
        let age = now.duration_since(crashes.updated_at);
        let refused = crashes.incarnations.len() >= CRASH_LIMIT;
        REFUSAL_DURATION.checked_sub(age).filter(|_| refused)
    }

    /// Returns recent crashes for other daemons: the requests with the most
    /// crashes first, then the newest.
    #[must_use]
    pub fn notices(&self, now: Instant) -> Vec<CrashNotice> {
        let mut recent: Vec<(&ContentHash, &RequestCrashes)> = self
            .by_content_hash
            .iter()
            .filter(|(_, c)| {
                now.duration_since(c.updated_at) < NOTICE_DURATION
            })
            .collect();
        recent.sort_by_key(|(_, crashes)| {
            Reverse((crashes.incarnations.len(), crashes.updated_at))
        });
        recent
            .into_iter()
            .take(MAX_NOTICES)
            .map(|(content, crashes)| CrashNotice {
                content: *content,
                incarnations: crashes.incarnations.as_slice().to_vec(),
            })
            .collect()
    }

    /// Merges notices of another daemon and returns how many of them had a
    /// crash that was not known. Merging is idempotent.
    pub fn merge(&mut self, now: Instant, notices: &[CrashNotice]) -> usize {
        let mut new = 0;
        for notice in notices.iter().take(MAX_NOTICES) {
            new += usize::from(self.add(
                now,
                notice.content,
                &notice.incarnations,
            ));
        }
        new
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn incarnation(number: u64) -> ServerIncarnation {
        ServerIncarnation::of("s", number)
    }

    fn content(body: &[u8]) -> ContentHash {
        ContentHash::of("/a/1", Some("w"), body)
    }

    /// Guards against a request that crashes one server at each daemon and is
    /// refused by none, and against one crash that is counted twice.
    #[test]
    fn crashes_add_up_over_daemons() {
        let now = Instant::now();
        let bad = content(b"bad");
        let mut daemons = [1, 2, 3].map(|number| {
            let mut tracker = CrashTracker::default();
            tracker.record_crash(now, bad, incarnation(number));
            tracker.record_crash(now, bad, incarnation(number));
            tracker
        });
        assert!(daemons.iter().all(|d| d.refused_for(now, bad).is_none()));
        for at in [0, 1, 1] {
            let notices = daemons[at].notices(now);
            daemons[at + 1].merge(now, &notices);
        }
        assert!(daemons[2].refused_for(now, bad).is_some());
        assert!(daemons[2].refused_for(now, content(b"good")).is_none());
        let later = now + REFUSAL_DURATION + Duration::from_millis(1);
        assert!(daemons[2].refused_for(later, bad).is_none());
        assert!(
            daemons[2].record_crash(later, bad, incarnation(9)),
            "one more crash is enough"
        );
    }

    /// Guards against a request that is refused because it ran on servers that
    /// another request crashed.
    #[test]
    fn record_success_clears() {
        let now = Instant::now();
        let mut tracker = CrashTracker::default();
        tracker.record_crash(now, content(b"a"), incarnation(1));
        tracker.record_crash(now, content(b"a"), incarnation(2));
        tracker.record_success(content(b"a"));
        assert!(tracker.is_empty());
        assert!(!tracker.record_crash(now, content(b"a"), incarnation(3)));
    }

    /// Guards against memory use and messages that grow with the number of
    /// crashing requests, and against a flood that evicts a refused request.
    #[test]
    fn tracker_bounded() {
        let now = Instant::now();
        let mut tracker = CrashTracker::default();
        for number in 0..3 {
            tracker.record_crash(now, content(b"bad"), incarnation(number));
        }
        for number in 0..3000_u64 {
            let other = content(&number.to_le_bytes());
            tracker.record_crash(now, other, incarnation(number));
        }
        assert!(tracker.by_content_hash.len() <= MAX_TRACKED_REQUESTS);
        assert!(tracker.refused_for(now, content(b"bad")).is_some());
        let notices = tracker.notices(now);
        assert_eq!(notices.len(), MAX_NOTICES);
        assert_eq!(notices[0].content, content(b"bad"));
    }

    /// Guards against different requests, or requests of two callers, that are
    /// treated as one.
    #[test]
    fn content_hash_distinguishes_parts() {
        let whole = ContentHash::of("/a", Some("b"), b"c");
        assert_ne!(whole, ContentHash::of("/a", Some("bc"), b""));
        assert_ne!(whole, ContentHash::of("/ab", None, b"c"));
        assert_ne!(
            ServerIncarnation::of("a", 1),
            ServerIncarnation::of("a", 2)
        );
    }
}
