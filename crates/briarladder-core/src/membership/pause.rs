//! Detection of pauses of this process.

use std::time::{Duration, Instant};

/// The time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A longer time between two ticks is a pause.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// A view that is stale after a pause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum View {
    /// Which daemons and backend servers are live.
    Membership,
    /// The epoch in force.
    Configuration,
}

/// Whether the views may be acted on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ViewStatus {
    /// They were refreshed since the last pause.
    Verified,
    /// The process did not run for a while. No new work may be dispatched
    /// until both views are refreshed.
    Unverified,
}

/// A pause that ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pause {
    /// The time between the two ticks around it.
    pub length: Duration,
}

/// Tells from the times of ticks whether the process was paused.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_tick: Instant,
    resumed_at: Instant,
    membership_verified: bool,
    configuration_verified: bool,
}

impl PauseDetector {
    /// Creates a detector for a starting process, whose views are still
    /// unverified.
    #[must_use]
    pub fn new(now: Instant) -> PauseDetector {
        PauseDetector {
            last_tick: now,
            resumed_at: now,
            membership_verified: false,
            configuration_verified: false,
        }
    }

    /// Records a tick, due every [`TICK_INTERVAL`]. Returns the pause that it ends.
    pub fn tick(&mut self, now: Instant) -> Option<Pause> {
        let length = now.duration_since(self.last_tick);
        self.last_tick = now;
        if length <= PAUSE_THRESHOLD {
            return None;
        }
        self.resumed_at = now;
        self.membership_verified = false;
        self.configuration_verified = false;
        Some(Pause { length })
    }

    /// Records that a view was refreshed by a request sent at `asked_at`. An
    /// answer to a request from before the pause does not count: it may have
    /// waited in a socket all along.
    pub fn record_refresh(&mut self, view: View, asked_at: Instant) {
        if asked_at < self.resumed_at {
            return;
        }
        match view {
            View::Membership => self.membership_verified = true,
            View::Configuration => self.configuration_verified = true,
        }
    }

    /// Returns whether work may be dispatched at `now`. A task that wakes
    /// from a pause before the ticker sees the missing ticks here.
    #[must_use]
    pub fn view_status(&self, now: Instant) -> ViewStatus {
        let ticking = now.duration_since(self.last_tick) <= PAUSE_THRESHOLD;
        if ticking && self.membership_verified && self.configuration_verified {
            ViewStatus::Verified
        } else {
            ViewStatus::Unverified
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against work sent from stale views after a pause: by a task
    /// that runs before the ticker, after one view only, or after an answer
    /// from before the pause.
    #[test]
    fn views_need_refresh_after_pause() {
        let start = Instant::now();
        let mut detector = PauseDetector::new(start);
        detector.record_refresh(View::Membership, start);
        assert_eq!(detector.view_status(start), ViewStatus::Unverified);
        detector.record_refresh(View::Configuration, start);
        assert_eq!(detector.view_status(start), ViewStatus::Verified);
        assert_eq!(detector.tick(start + PAUSE_THRESHOLD), None);

        let woken = start + PAUSE_THRESHOLD + Duration::from_millis(1_001);
        assert_eq!(detector.view_status(woken), ViewStatus::Unverified);
        let length = Duration::from_millis(1_001);
        assert_eq!(detector.tick(woken), Some(Pause { length }));
        detector.record_refresh(View::Configuration, start + PAUSE_THRESHOLD);
        detector.record_refresh(View::Membership, woken);
        assert_eq!(detector.view_status(woken), ViewStatus::Unverified);
        detector.record_refresh(View::Configuration, woken);
        assert_eq!(detector.view_status(woken), ViewStatus::Verified);
    }
}
