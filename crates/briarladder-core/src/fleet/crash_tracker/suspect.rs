//! The crashes of one feature.

use std::time::{Duration, Instant};

use rapidhash::v3::rapidhash_v3;

use crate::sorted::SortedMap;

use super::{
    CRASH_LIMIT, CrashNotice, CrashReport, Feature, Fingerprint,
    REFUSAL_DURATION, ServerIncarnation,
};

/// Maximum number of crashes that are kept for one feature.
const MAX_CRASHES: usize = 8;

/// How long a feature is kept at least after all its crashes were cleared, so
/// that late messages don't report them as not cleared.
const MIN_CLEARED_RETENTION: Duration = Duration::from_secs(20);

/// A server process that ended while it ran a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    /// When it ended, as far as this daemon knows.
    pub(super) at: Instant,
    /// A request with the same feature did not crash its server afterwards,
    /// so the feature was not the reason.
    pub(super) cleared: bool,
}

/// A feature of requests that were running when servers crashed.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    pub(super) specificity: u8,
    pub(super) crashes: SortedMap<ServerIncarnation, Crash>,
    /// When something new was learned.
    pub(super) updated_at: Instant,
    /// The number of messages that it was part of since then.
    pub(super) told: u32,
    /// When the last crash happened that counts.
    last_crash_at: Instant,
}

impl Crash {
    /// Returns the order in which crashes are kept: those that count first,
    /// and of these the newest.
    fn importance(self) -> (bool, Instant) {
        (!self.cleared, self.at)
    }
}

impl Suspect {
    /// Creates a feature without crashes, of which the first one happened at
    /// `crash_at`.
    pub(super) fn new(
        now: Instant,
        crash_at: Instant,
        feature: Feature,
    ) -> Suspect {
        Suspect {
            specificity: feature.specificity,
            crashes: SortedMap::new(),
            updated_at: now,
            told: 0,
            last_crash_at: crash_at,
        }
    }

    /// Returns the crashes that count against the feature.
    pub(super) fn counted(
        &self,
    ) -> impl Iterator<Item = (&ServerIncarnation, Instant)> {
        self.crashes
            .iter()
            .filter(|(_, crash)| !crash.cleared)
            .map(|(incarnation, crash)| (incarnation, crash.at))
    }

    /// Adds or updates a crash, and returns whether that changed anything but
    /// its time.
    pub(super) fn add(
        &mut self,
        now: Instant,
        incarnation: ServerIncarnation,
        crash: Crash,
    ) -> bool {
        if let Some(known) = self.crashes.get_mut(&incarnation) {
            // Each message adds its delay to the time.
            known.at = known.at.min(crash.at);
            let cleared = crash.cleared && !known.cleared;
            known.cleared |= crash.cleared;
            if cleared {
                self.set_updated(now);
            }
            return cleared;
        }
        if !crash.cleared {
            self.last_crash_at = self.last_crash_at.max(crash.at);
        }
        if self.crashes.len() >= MAX_CRASHES && !self.make_room(crash) {
            return false;
        }
        self.crashes.insert(incarnation, crash);
        self.set_updated(now);
        true
    }

    /// Clears all crashes, and returns whether one was not cleared.
    pub(super) fn clear(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for (_, crash) in self.crashes.iter_mut() {
            changed |= !crash.cleared;
            crash.cleared = true;
        }
        if changed {
            self.set_updated(now);
        }
        changed
    }

    /// Removes what is too old, and returns whether anything is left. A
    /// feature that was refused stays one crash below the limit, so that one
    /// more crash is enough to refuse it again. A clearance is kept for as long
    /// as other daemons may report the crashes that it clears.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        if self.counted().next().is_none() {
            let is_reported = self
                .crashes
                .values()
                .any(|crash| now.duration_since(crash.at) < REFUSAL_DURATION);
            return is_reported
                || now.duration_since(self.updated_at)
                    < MIN_CLEARED_RETENTION;
        }
        if now.duration_since(self.last_crash_at) < REFUSAL_DURATION {
            return true;
        }
        let mut counted = self.counted().count();
        if counted < CRASH_LIMIT {
            return false;
        }
        self.crashes.retain(|_, crash| {
            let kept = !crash.cleared && counted < CRASH_LIMIT;
            counted -= usize::from(!crash.cleared && !kept);
            kept
        });
        self.last_crash_at = now;
        true
    }

    /// Returns when the last crash happened.
    pub(super) fn last_crash_at(&self) -> Instant {
        self.last_crash_at
    }

    /// Returns what other daemons are told.
    pub(super) fn notice(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
    ) -> CrashNotice {
        let feature = Feature { fingerprint, specificity: self.specificity };
        let report = |(incarnation, crash): (&ServerIncarnation, &Crash)| {
            let age = now.duration_since(crash.at).as_millis();
            CrashReport {
                incarnation: *incarnation,
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                cleared: crash.cleared,
            }
        };
        CrashNotice {
            feature,
            crashes: self.crashes.iter().map(report).collect(),
        }
    }

    fn set_updated(&mut self, now: Instant) {
        self.updated_at = now;
        self.told = 0;
    }

    /// Returns a hash of the crashes that count.
    pub(super) fn hash_counted(&self) -> u64 {
        let bytes: Vec<u8> = self
            .counted()
            .flat_map(|(incarnation, _)| incarnation.to_bytes())
            .collect();
        rapidhash_v3(&bytes)
    }

    /// Returns whether a crash, or its clearance, is missing in a notice.
    pub(super) fn exceeds(&self, notice: &CrashNotice) -> bool {
        self.crashes.iter().any(|(incarnation, crash)| {
            let told = notice
                .crashes
                .iter()
                .find(|report| report.incarnation == *incarnation);
            told.is_none_or(|report| crash.cleared && !report.cleared)
        })
    }

    /// Removes the least important crash, and returns whether that makes room
    /// for another one. All daemons keep the same crashes, in whichever order
    /// they learn them.
    fn make_room(&mut self, crash: Crash) -> bool {
        let least = self
            .crashes
            .iter()
            .min_by_key(|(_, crash)| crash.importance())
            .filter(|(_, least)| least.importance() < crash.importance())
            .map(|(incarnation, _)| *incarnation);
        least.is_some_and(|least| self.crashes.remove(&least).is_some())
    }
}
