//! The crashes of one feature.

use std::time::{Duration, Instant};

use crate::sorted::SortedMap;

use super::{
    CRASH_LIMIT, CrashNotice, CrashReport, Feature, REFUSAL_DURATION,
    ServerIncarnation,
};

/// Maximum number of crashes that are kept for one feature.
const MAX_CRASHES: usize = 8;

/// How long a feature is kept after all its crashes were cleared. Other
/// daemons must no longer report them as not cleared by then.
const CLEARED_RETENTION: Duration = Duration::from_secs(20);

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

impl Suspect {
    pub(super) fn new(now: Instant, feature: Feature) -> Suspect {
        Suspect {
            specificity: feature.specificity,
            crashes: SortedMap::new(),
            updated_at: now,
            told: 0,
            last_crash_at: now,
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
        if self.crashes.len() >= MAX_CRASHES && !self.remove_cleared() {
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
    /// more crash is enough to refuse it again.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        if self.counted().next().is_none() {
            return now.duration_since(self.updated_at) < CLEARED_RETENTION;
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
        feature: Feature,
    ) -> CrashNotice {
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

    /// Removes the oldest cleared crash, and returns whether there was one.
    fn remove_cleared(&mut self) -> bool {
        let oldest = self
            .crashes
            .iter()
            .filter(|(_, crash)| crash.cleared)
            .min_by_key(|(_, crash)| crash.at)
            .map(|(incarnation, _)| *incarnation);
        oldest.is_some_and(|oldest| self.crashes.remove(&oldest).is_some())
    }
}
