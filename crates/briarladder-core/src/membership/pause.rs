//! Detection of pauses of this process, for example by a suspended VM.

use std::time::{Duration, Instant};

/// The interval at which [`PauseDetector::tick`] is called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two ticks above which the process counts as paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// A kind of state that may be outdated after a pause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum View {
    /// The states of daemons and backend servers.
    Membership,
    /// The epoch in force.
    Configuration,
}

/// Whether decisions may rely on the views.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ViewStatus {
    /// Both views were refreshed after the last pause.
    Verified,
    /// The process was paused or has just started. No new work may be
    /// dispatched until both views are refreshed.
    Unverified,
}

/// A pause of the process that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pause {
    /// The time between the last tick before the pause and the first after
    /// it.
    pub length: Duration,
}

/// Detects pauses of the process from missing ticks.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_tick: Instant,
    resumed_at: Instant,
    membership_verified: bool,
    configuration_verified: bool,
}

impl PauseDetector {
    /// Creates a detector for a starting process, with unverified views.
    #[must_use]
    pub fn new(now: Instant) -> PauseDetector {
        PauseDetector {
            last_tick: now,
            resumed_at: now,
            membership_verified: false,
            configuration_verified: false,
        }
    }

    /// Records a tick, which is due every [`TICK_INTERVAL`]. Returns the pause
    /// that it ends, if any.
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

    /// Records that a view was refreshed by the response to a request sent at
    /// `sent_at`. The response to a request sent before the pause is ignored,
    /// because it may have been waiting in a socket buffer.
    pub fn record_refresh(&mut self, view: View, sent_at: Instant) {
        if sent_at < self.resumed_at {
            return;
        }
        match view {
            View::Membership => self.membership_verified = true,
            View::Configuration => self.configuration_verified = true,
        }
    }

    /// Returns whether work may be dispatched at `now`. Ticks that are
    /// overdue count as a pause, because a task can resume after a pause
    /// before the ticker does.
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

    /// Guards against dispatching work from stale views after a pause: by a
    /// task that resumes before the ticker, after a refresh of one view only,
    /// or after a response to a request sent before the pause.
    #[test]
    fn views_need_refresh_after_pause() {
        let start = Instant::now();
        let mut detector = PauseDetector::new(start);
        detector.record_refresh(View::Membership, start);
        assert_eq!(detector.view_status(start), ViewStatus::Unverified);
        detector.record_refresh(View::Configuration, start);
        assert_eq!(detector.view_status(start), ViewStatus::Verified);
        assert_eq!(detector.tick(start + PAUSE_THRESHOLD), None);

        let resumed_at =
            start + PAUSE_THRESHOLD + Duration::from_millis(1_001);
        assert_eq!(detector.view_status(resumed_at), ViewStatus::Unverified);
        let length = Duration::from_millis(1_001);
        assert_eq!(detector.tick(resumed_at), Some(Pause { length }));
        detector.record_refresh(View::Configuration, start + PAUSE_THRESHOLD);
        detector.record_refresh(View::Membership, resumed_at);
        assert_eq!(detector.view_status(resumed_at), ViewStatus::Unverified);
        detector.record_refresh(View::Configuration, resumed_at);
        assert_eq!(detector.view_status(resumed_at), ViewStatus::Verified);
    }
}
