//! How fast a server works at the moment, as it tells with its answers.
//!
//! Servers share their machines, so the time that work takes changes many
//! times a second. What a server has told is a hint that loses its weight
//! within a fraction of a second. A server that tells nothing works as usual.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::fleet::server_speed::{ServerLoad, ToldSpeed};
//!
//! let now = Instant::now();
//! let load =
//!     ServerLoad { running: 1, waiting: 0, slots: 1, work_percent: Some(300) };
//! let mut speed = ToldSpeed::default();
//! speed.record(now, &load);
//! assert_eq!(speed.work_factor(now), 3.0);
//! assert!(speed.work_factor(now + Duration::from_secs(2)) < 1.01);
//! ```

use std::time::{Duration, Instant};

/// The figure of a server that works as usual.
const USUAL_PERCENT: f64 = 100.0;

/// The smallest factor that a told figure counts as.
const MIN_WORK_FACTOR: f64 = 0.5;

/// The largest factor that a told figure counts as.
const MAX_WORK_FACTOR: f64 = 4.0;

/// After this time, a told figure counts for a little more than a third. The
/// figure changes many times a second.
const HINT_TIME: Duration = Duration::from_millis(200);

/// Factors that differ by less than half of one part in this many are the same
/// class.
const CLASSES_PER_FACTOR: f64 = 4.0;

/// What a server tells of its load with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How long work takes on its machine, in percent of the usual time, if it
    /// says so.
    pub work_percent: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
struct Hint {
    work_factor: f64,
    told_at: Instant,
}

/// The speed of a server by its last figure.
#[derive(Clone, Copy, Debug, Default)]
pub struct ToldSpeed(Option<Hint>);

impl ToldSpeed {
    /// Records what a server has told. A load without the figure changes
    /// nothing.
    pub fn record(&mut self, now: Instant, load: &ServerLoad) {
        let Some(percent) = load.work_percent else { return };
        let work_factor = f64::from(percent) / USUAL_PERCENT;
        self.0 = Some(Hint {
            work_factor: work_factor.clamp(MIN_WORK_FACTOR, MAX_WORK_FACTOR),
            told_at: now,
        });
    }

    /// Returns the expected time of work, relative to the usual time.
    #[must_use]
    pub fn work_factor(&self, now: Instant) -> f64 {
        let Some(hint) = self.0 else { return 1.0 };
        let age = now.saturating_duration_since(hint.told_at);
        let weight = (-age.div_duration_f64(HINT_TIME)).exp();
        1.0 + (hint.work_factor - 1.0) * weight
    }

    /// Returns the class of the server: a server of a lower class is clearly
    /// faster. A server that works as usual has the same class as one that
    /// tells nothing.
    #[must_use]
    pub fn class(&self, now: Instant) -> u32 {
        let class = (self.work_factor(now) * CLASSES_PER_FACTOR).round();
        // OK because the factor is positive and small.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let class = class as u32;
        class
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(now: Instant, work_percent: Option<u32>) -> ToldSpeed {
        let mut speed = ToldSpeed::default();
        let load =
            ServerLoad { running: 0, waiting: 0, slots: 1, work_percent };
        speed.record(now, &load);
        speed
    }

    /// Guards against a figure of a moment that decides for seconds, and
    /// against a server that is never or always chosen for an absurd one.
    #[test]
    fn work_factor_of_age() {
        let now = Instant::now();
        let later = now + Duration::from_secs(1);
        for (percent, factor) in
            [(100, 1.0), (250, 2.5), (0, 0.5), (20, 0.5), (u32::MAX, 4.0)]
        {
            let speed = told(now, Some(percent));
            assert!((speed.work_factor(now) - factor).abs() < 1e-9);
            assert!((speed.work_factor(later) - 1.0).abs() < 0.03);
            assert_eq!(speed.class(later), told(now, None).class(now));
        }
    }

    /// Guards against an order of servers that follows small differences.
    #[test]
    fn class_of_near_factors() {
        let now = Instant::now();
        let class = |percent| told(now, Some(percent)).class(now);
        assert_eq!(class(96), class(104));
        assert!(class(60) < class(100) && class(100) < class(150));
    }
}
