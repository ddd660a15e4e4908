//! Detects requests that crash the servers that run them.
//!
//! Such a request is retried under another id and at any daemon, or many
//! requests crash servers that have only a part of their prompts in common.
//! Each crash is therefore counted for all [`Feature`]s of the requests that
//! the server was running: the whole content, and the parts of the prompt that
//! other requests may share. A crash is identified by the server process that
//! ended, so that crashes seen by several daemons add up without being counted
//! twice.
//!
//! A request whose server survives clears its features, so that only those
//! remain that crash each server. If crashes of at least three processes
//! remain for a feature and no more specific feature explains them, requests
//! with it are refused.
//!
//! Daemons tell each other of crashes and of their clearance. Merging what
//! others tell needs no common clock: a crash that was cleared anywhere stays
//! cleared. What is no longer news is compared ([`exchange`]), so that a daemon
//! that starts, or was cut off, refuses what the others refuse.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::fleet::crash_tracker::{
//!     CrashTracker, Feature, ServerIncarnation,
//! };
//!
//! let mut now = Instant::now();
//! let shared = Feature::prompt_part("system prompt", 0);
//! let faulty = Feature::prompt_part("document", 1);
//! let mut tracker = CrashTracker::default();
//! for server in ["s-1", "s-2", "s-3"] {
//!     assert_eq!(tracker.refused_for(now, &[shared, faulty]), None);
//!     let incarnation = ServerIncarnation::of(server, 0);
//!     tracker.record_crash(now, &[shared, faulty], incarnation);
//!     now += Duration::from_secs(1);
//! }
//! assert!(tracker.refused_for(now, &[shared, faulty]).is_some());
//! assert!(tracker.refused_for(now, &[shared]).is_none());
//! ```

mod attribution;
mod exchange;
mod feature;
mod suspect;
#[cfg(test)]
mod tests;

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::sorted::SortedMap;

pub use self::{
    exchange::{
        CrashDifference, CrashDigest, CrashSummary, MAX_COMPARED_FEATURES,
        MergedDifference,
    },
    feature::{Feature, Fingerprint, ServerIncarnation},
};

use self::suspect::{Crash, Suspect};

/// A feature is refused after this many server processes ended while they ran
/// requests with it. Two servers may fail together for another reason, for
/// example with their rack.
const CRASH_LIMIT: usize = 3;

/// How long a feature is refused, and how long a crash counts. Afterwards one
/// more crash is enough to refuse it again.
const REFUSAL_DURATION: Duration = Duration::from_mins(2);

/// Features that are tracked, which takes about 500 KB.
const MAX_SUSPECTS: usize = 2048;

/// How long a change is sent to other daemons.
const NOTICE_DURATION: Duration = Duration::from_secs(5);

/// A feature with this many crashes is urgent news for other daemons: it may
/// crash further servers until they know.
const URGENT_CRASHES: usize = 2;

/// How long a change is urgent.
const URGENT_DURATION: Duration = Duration::from_millis(500);

/// Maximum number of notices in one message.
pub const MAX_NOTICES: usize = 16;

/// The crashes of one feature, as sent to other daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNotice {
    /// The feature.
    pub feature: Feature,
    /// The server processes that ended while they ran requests with it.
    pub crashes: Vec<CrashReport>,
}

/// A crash, as sent to other daemons.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The server process that ended.
    pub incarnation: ServerIncarnation,
    /// How long ago it ended, in milliseconds.
    pub age_ms: u32,
    /// Whether the feature is known not to be the reason.
    pub cleared: bool,
}

/// The features whose crashes a daemon knows.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    suspects: SortedMap<Fingerprint, Suspect>,
    /// Until when requests with a feature are refused.
    refused: SortedMap<Fingerprint, Instant>,
    /// Whether this daemon knows what others knew when it started.
    is_synced: bool,
    /// When this daemon last began a comparison with another one.
    compared_at: Option<Instant>,
}

impl CrashTracker {
    /// Returns whether no crash is known, in which case the features of
    /// requests need not be computed to clear them.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether a feature is refused, in which case the features of
    /// requests must be computed before they are sent.
    #[must_use]
    pub fn refuses_any(&self) -> bool {
        !self.refused.is_empty()
    }

    /// Records that a server process ended while it ran a request with some
    /// features. Returns whether such requests are refused from now on.
    pub fn record_crash(
        &mut self,
        now: Instant,
        features: &[Feature],
        incarnation: ServerIncarnation,
    ) -> bool {
        self.expire(now);
        let crash = Crash { at: now, cleared: false };
        for feature in features {
            self.add(now, *feature, &[(incarnation, crash)]);
        }
        self.update_refused(now);
        self.refused_for(now, features).is_some()
    }

    /// Records that a server has survived a request, which shows that its
    /// features don't crash servers. Returns whether one was suspected.
    pub fn record_survival(
        &mut self,
        now: Instant,
        features: &[Feature],
    ) -> bool {
        let mut changed = false;
        for feature in features {
            if let Some(known) = self.suspects.get_mut(&feature.fingerprint) {
                changed |= known.clear(now);
            }
        }
        if changed {
            self.update_refused(now);
        }
        changed
    }

    /// Returns for how long a request with some features is still refused, or
    /// `None` if it is not.
    #[must_use]
    pub fn refused_for(
        &self,
        now: Instant,
        features: &[Feature],
    ) -> Option<Duration> {
        features
            .iter()
            .filter_map(|feature| self.refused.get(&feature.fingerprint))
            .filter_map(|until| until.checked_duration_since(now))
            .max()
            .filter(|wait| !wait.is_zero())
    }

    /// Returns whether a server ended while it ran a request with one of some
    /// features, and none has survived one since.
    #[must_use]
    pub fn is_suspect(&self, features: &[Feature]) -> bool {
        let crashes = |feature: &Feature| {
            self.suspects
                .get(&feature.fingerprint)
                .is_some_and(|suspect| suspect.counted().count() > 0)
        };
        features.iter().any(crashes)
    }

    /// Returns recent changes for other daemons: the features with the most
    /// crashes first, of equal ones those that were told least often.
    pub fn notices(&mut self, now: Instant) -> Vec<CrashNotice> {
        let mut recent: Vec<(&Fingerprint, &mut Suspect)> = self
            .suspects
            .iter_mut()
            .filter(|(_, suspect)| {
                now.duration_since(suspect.updated_at) < NOTICE_DURATION
            })
            .collect();
        recent.sort_by_key(|(_, suspect)| {
            let crashes = suspect.counted().count();
            (Reverse(crashes), suspect.told, Reverse(suspect.updated_at))
        });
        recent.truncate(MAX_NOTICES);
        recent
            .into_iter()
            .map(|(fingerprint, suspect)| {
                suspect.told += 1;
                suspect.notice(now, *fingerprint)
            })
            .collect()
    }

    /// Merges notices of another daemon and returns how many of them were
    /// new. Merging is idempotent.
    pub fn merge(&mut self, now: Instant, notices: &[CrashNotice]) -> usize {
        self.merge_all(now, &notices[..notices.len().min(MAX_NOTICES)])
    }

    fn merge_all(&mut self, now: Instant, notices: &[CrashNotice]) -> usize {
        self.expire(now);
        let mut new = 0;
        for notice in notices {
            let crashes: Vec<(ServerIncarnation, Crash)> = notice
                .crashes
                .iter()
                .map(|report| {
                    let age = Duration::from_millis(report.age_ms.into());
                    let at = now.checked_sub(age).unwrap_or(now);
                    let crash = Crash { at, cleared: report.cleared };
                    (report.incarnation, crash)
                })
                .collect();
            new += usize::from(self.add(now, notice.feature, &crashes));
        }
        if new > 0 {
            self.update_refused(now);
        }
        new
    }

    /// Returns whether other daemons need to know recent changes soon.
    #[must_use]
    pub fn has_urgent_news(&self, now: Instant) -> bool {
        self.suspects.values().any(|suspect| {
            suspect.counted().count() >= URGENT_CRASHES
                && now.duration_since(suspect.updated_at) < URGENT_DURATION
        })
    }

    /// Returns the number of features that are refused.
    #[must_use]
    pub fn refused_count(&self, now: Instant) -> usize {
        self.refused.values().filter(|until| **until > now).count()
    }

    fn expire(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| suspect.expire(now));
    }

    /// Adds crashes of a feature and returns whether something is new.
    fn add(
        &mut self,
        now: Instant,
        feature: Feature,
        crashes: &[(ServerIncarnation, Crash)],
    ) -> bool {
        let first_at = crashes.iter().map(|(_, crash)| crash.at).min();
        let known =
            self.suspects.get_or_insert_with(feature.fingerprint, || {
                Suspect::new(now, first_at.unwrap_or(now), feature)
            });
        known.specificity = known.specificity.max(feature.specificity);
        let mut new = false;
        for (incarnation, crash) in crashes {
            new |= known.add(now, *incarnation, *crash);
        }
        self.evict();
        new
    }

    /// Forgets the least important feature if too many are tracked.
    fn evict(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, s)| (s.counted().count(), s.updated_at))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(least) = least {
            self.suspects.remove(&least);
        }
    }

    fn update_refused(&mut self, now: Instant) {
        let until = |fingerprint: &Fingerprint| {
            let suspect = self.suspects.get(fingerprint)?;
            Some(suspect.last_crash_at() + REFUSAL_DURATION)
        };
        self.refused = attribution::reasons(&self.suspects)
            .into_iter()
            .filter_map(|reason| Some((reason, until(&reason)?)))
            .filter(|(_, until)| *until > now)
            .collect();
    }
}
