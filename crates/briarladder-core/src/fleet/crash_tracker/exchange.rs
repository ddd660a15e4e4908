//! Comparison of the crashes that two daemons know.
//!
//! News of a crash is sent for seconds, and a feature is refused for minutes.
//! A daemon that starts, or that was cut off or suspended, between the two has
//! missed the news. Messages therefore carry a digest of the older crashes,
//! and daemons whose digests differ compare what they know: the sender of a
//! [`CrashSummary`] gets a [`CrashDifference`], merges it, and sends back what
//! the receiver lacks.
//!
//! Crashes are compared together with their clearances, since a daemon that
//! learns only the crashes refuses sound requests.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use super::{
    CrashNotice, CrashTracker, Fingerprint, NOTICE_DURATION, REFUSAL_DURATION,
    suspect::Suspect,
};

/// Maximum number of features in one comparison, those with the most crashes
/// first. A notice takes 32 bytes for one crash and 130 for eight.
pub const MAX_COMPARED_FEATURES: usize = 512;

/// A crash that is about to expire is no longer compared, so that daemons
/// which forget it at slightly different times don't bring it back.
const MAX_COMPARED_AGE: Duration =
    REFUSAL_DURATION.saturating_sub(NOTICE_DURATION);

/// The shortest time between two comparisons that a daemon starts.
const MIN_COMPARISON_INTERVAL: Duration = Duration::from_secs(1);

/// What a daemon tells of its knowledge of crashes in each message.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashDigest {
    /// The sum of the hashes of the features whose crashes are no longer news.
    sum: u64,
    /// Whether the daemon has learned what others knew when it started.
    is_synced: bool,
}

/// A feature and its crashes in compact form.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
struct FeatureState {
    /// A hash of the fingerprint.
    fingerprint: u64,
    /// A hash of the crashes that count; zero if there is none.
    crashes: u64,
}

/// The features that a daemon suspects, in compact form.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashSummary {
    known: Vec<FeatureState>,
}

/// The crashes in which a daemon differs from the sender of a summary.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashDifference {
    /// Its crashes of features that the sender lacks or knows differently.
    pub notices: Vec<CrashNotice>,
    /// Short fingerprints of features that it lacks or knows differently.
    wanted: Vec<u64>,
}

/// What a daemon did with a [`CrashDifference`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MergedDifference {
    /// The number of notices that were new.
    pub learned: usize,
    /// What the other daemon lacks.
    pub replies: Vec<CrashNotice>,
}

impl CrashDigest {
    /// Returns whether the daemon has learned what others knew when it
    /// started.
    #[must_use]
    pub fn is_synced(self) -> bool {
        self.is_synced
    }
}

impl CrashTracker {
    /// Returns the digest for a message.
    #[must_use]
    pub fn digest(&self, now: Instant) -> CrashDigest {
        let sum = self
            .most_compared(now)
            .into_iter()
            .filter(|known| known.age >= NOTICE_DURATION)
            .fold(0_u64, |sum, known| sum.wrapping_add(known.state.hash()));
        CrashDigest { sum, is_synced: self.is_synced }
    }

    /// Returns whether to compare crashes with the sender of a digest, and
    /// assumes that this is done.
    #[must_use = "the comparison counts as done"]
    pub fn begin_comparison(
        &mut self,
        now: Instant,
        remote: CrashDigest,
    ) -> bool {
        let is_first = remote.is_synced && !self.is_synced;
        let is_recent = self.compared_at.is_some_and(|compared_at| {
            now.duration_since(compared_at) < MIN_COMPARISON_INTERVAL
        });
        let differs = remote.sum != self.digest(now).sum;
        let begins = is_first || (differs && !is_recent);
        if begins {
            self.compared_at = Some(now);
        }
        begins
    }

    /// Records that this daemon has learned what others knew when it started,
    /// or that it has reached no daemon that knows. Returns whether that is
    /// new.
    pub fn set_synced(&mut self) -> bool {
        !std::mem::replace(&mut self.is_synced, true)
    }

    /// Returns whether this daemon has learned what others knew when it
    /// started.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Returns the features that this daemon suspects, in compact form.
    #[must_use]
    pub fn summarize(&self, now: Instant) -> CrashSummary {
        let known = self.most_compared(now).into_iter();
        CrashSummary { known: known.map(|known| known.state).collect() }
    }

    /// Compares the features that another daemon suspects with those that are
    /// suspected here, and with those that were cleared.
    #[must_use]
    pub fn compare(
        &self,
        now: Instant,
        summary: &CrashSummary,
    ) -> CrashDifference {
        let mut remote = summary.known.clone();
        remote.truncate(MAX_COMPARED_FEATURES);
        remote.sort_unstable();
        let state_of = |short: u64| {
            let at = remote.partition_point(|state| state.fingerprint < short);
            remote.get(at).filter(|state| state.fingerprint == short)
        };
        let mut wanted: Vec<u64> =
            remote.iter().map(|state| state.fingerprint).collect();
        let mut notices = Vec::new();
        for known in self.most_compared(now) {
            let state = known.state;
            if state_of(state.fingerprint) == Some(&state) {
                wanted.retain(|fingerprint| *fingerprint != state.fingerprint);
            } else {
                notices.push(known.notice(now));
            }
        }
        // Features that the sender suspects and that were cleared here.
        for (fingerprint, suspect) in self.suspects.iter() {
            let short = fingerprint.short();
            let is_cleared = suspect.counted().next().is_none();
            if is_cleared && state_of(short).is_some() {
                wanted.retain(|fingerprint| *fingerprint != short);
                notices.push(suspect.notice(now, *fingerprint));
            }
        }
        notices.truncate(MAX_COMPARED_FEATURES);
        CrashDifference { notices, wanted }
    }

    /// Merges the crashes in which another daemon differs from this one.
    #[must_use = "the replies are to be sent"]
    pub fn merge_difference(
        &mut self,
        now: Instant,
        difference: &CrashDifference,
    ) -> MergedDifference {
        let learned = self.merge_compared(now, &difference.notices);
        let mut wanted = difference.wanted.clone();
        wanted.sort_unstable();
        let replies = self
            .suspects
            .iter()
            .filter_map(|(fingerprint, suspect)| {
                let told = difference
                    .notices
                    .iter()
                    .find(|told| told.feature.fingerprint == *fingerprint);
                let is_missing = match told {
                    Some(told) => suspect.exceeds(told),
                    None => wanted.binary_search(&fingerprint.short()).is_ok(),
                };
                is_missing.then(|| suspect.notice(now, *fingerprint))
            })
            .take(MAX_COMPARED_FEATURES)
            .collect();
        MergedDifference { learned, replies }
    }

    /// Merges the crashes that another daemon sends after a comparison, and
    /// returns how many of the notices were new.
    pub fn merge_compared(
        &mut self,
        now: Instant,
        notices: &[CrashNotice],
    ) -> usize {
        let end = notices.len().min(MAX_COMPARED_FEATURES);
        self.merge_all(now, &notices[..end])
    }

    /// Returns the features that daemons compare.
    fn compared(&self, now: Instant) -> impl Iterator<Item = Compared<'_>> {
        self.suspects.iter().filter_map(move |(fingerprint, suspect)| {
            let last = suspect.counted().map(|(_, at)| at).max()?;
            let age = now.duration_since(last);
            (age < MAX_COMPARED_AGE).then(|| Compared {
                fingerprint,
                suspect,
                age,
                state: FeatureState {
                    fingerprint: fingerprint.short(),
                    crashes: suspect.hash_counted(),
                },
            })
        })
    }

    /// Returns the features that fit into a comparison.
    fn most_compared(&self, now: Instant) -> Vec<Compared<'_>> {
        let mut compared: Vec<Compared<'_>> = self.compared(now).collect();
        if compared.len() > MAX_COMPARED_FEATURES {
            // The order must not depend on local times, so that daemons with
            // the same knowledge select the same features.
            compared.sort_by_key(|known| {
                (Reverse(known.suspect.counted().count()), known.fingerprint)
            });
            compared.truncate(MAX_COMPARED_FEATURES);
        }
        compared
    }
}

/// A feature that daemons compare.
struct Compared<'a> {
    fingerprint: &'a Fingerprint,
    suspect: &'a Suspect,
    /// The time since its last crash.
    age: Duration,
    state: FeatureState,
}

impl Compared<'_> {
    fn notice(&self, now: Instant) -> CrashNotice {
        self.suspect.notice(now, *self.fingerprint)
    }
}

impl FeatureState {
    fn hash(self) -> u64 {
        let [a, b] = [self.fingerprint, self.crashes].map(u64::to_le_bytes);
        rapidhash_v3(&[a, b].concat())
    }
}

#[cfg(test)]
mod tests;
