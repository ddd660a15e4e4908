//! Detects that the process was suspended for a while.
//!
//! The monotonic clock stands still while a VM is suspended, so no timer
//! notices. The total suspended time, which is the difference between the boot
//! clock and the monotonic clock, reveals it. A stopped process shows as a
//! long gap between two regular checks. In both cases connections and the
//! known state of servers look fresher than they are.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::fleet::suspension::SuspensionDetector;
//!
//! let now = Instant::now();
//! let mut detector = SuspensionDetector::default();
//! assert_eq!(detector.check(now, Duration::from_secs(7)), None);
//! let woken = detector.check(now, Duration::from_secs(9));
//! assert_eq!(woken, Some(Duration::from_secs(2)));
//! ```

use std::time::{Duration, Instant};

/// Shorter suspensions are ignored, since timers tolerate them.
const MIN_SUSPENSION: Duration = Duration::from_millis(250);

/// A longer time between two checks means that the process did not run. Checks
/// run at least twice a second.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(1500);

/// Detects suspensions by comparing each check with the last one.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionDetector {
    checked_at: Option<Instant>,
    total_suspended: Option<Duration>,
}

impl SuspensionDetector {
    /// Returns for how long the process did not run since the last check, or
    /// `None` if that is too short to matter. `total_suspended` is the total
    /// time that the VM has been suspended since it booted.
    pub fn check(
        &mut self,
        now: Instant,
        total_suspended: Duration,
    ) -> Option<Duration> {
        let gap = self
            .checked_at
            .replace(now)
            .map(|before| now.duration_since(before))
            .filter(|gap| *gap > MAX_CHECK_INTERVAL);
        let known = *self.total_suspended.get_or_insert(total_suspended);
        let increase = total_suspended.saturating_sub(known);
        if increase < MIN_SUSPENSION {
            return gap;
        }
        self.total_suspended = Some(total_suspended);
        Some(increase + gap.unwrap_or_default())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against reading two clocks a moment apart being mistaken for a
    /// suspension, and against short suspensions that add up unnoticed.
    #[test]
    fn check_small_differences() {
        let now = Instant::now();
        let mut detector = SuspensionDetector::default();
        let at = Duration::from_millis;
        assert_eq!(detector.check(now, at(1000)), None);
        assert_eq!(detector.check(now, at(1001)), None);
        assert_eq!(detector.check(now, at(999)), None);
        assert_eq!(detector.check(now, at(1240)), None);
        assert_eq!(detector.check(now, at(1260)), Some(at(260)));
        assert_eq!(detector.check(now, at(1260)), None);
    }

    /// Guards against a stopped process that doesn't notice that it was
    /// stopped.
    #[test]
    fn check_gap() {
        let now = Instant::now();
        let mut detector = SuspensionDetector::default();
        assert_eq!(detector.check(now, Duration::ZERO), None);
        let next = now + Duration::from_millis(600);
        assert_eq!(detector.check(next, Duration::ZERO), None);
        let late = next + Duration::from_secs(3);
        let gap = detector.check(late, Duration::ZERO);
        assert_eq!(gap, Some(Duration::from_secs(3)));
    }
}
