//! Noticing that the process did not run for a while.
//!
//! The steady clock stands still while a VM is suspended, so that no timer
//! tells of it; the time that the VM was suspended in all, the difference of
//! the boot clock and the steady clock, does. A process that was stopped sees
//! a long time between two checks that are made regularly. Either way
//! connections look fresh, and what is known of servers looks new.
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

/// A shorter suspension changes nothing that timers would not allow for.
const MIN_SUSPENSION: Duration = Duration::from_millis(250);

/// A longer time between two checks means that the process did not run. The
/// checks are made at least twice a second.
const LONGEST_GAP: Duration = Duration::from_millis(1500);

/// Remembers the last check.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionDetector {
    checked_at: Option<Instant>,
    suspended: Option<Duration>,
}

impl SuspensionDetector {
    /// Takes the time and the time that the VM was suspended since its start,
    /// and returns for how long the process did not run since the last check,
    /// if that is worth a reaction.
    pub fn check(
        &mut self,
        now: Instant,
        suspended: Duration,
    ) -> Option<Duration> {
        let gap = self
            .checked_at
            .replace(now)
            .map(|before| now.duration_since(before))
            .filter(|gap| *gap > LONGEST_GAP);
        let known = *self.suspended.get_or_insert(suspended);
        let grown = suspended.saturating_sub(known);
        if grown < MIN_SUSPENSION {
            return gap;
        }
        self.suspended = Some(suspended);
        Some(grown + gap.unwrap_or_default())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against clocks that are read a moment apart and look like a
    /// suspension, and against short ones that add up unseen.
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

    /// Guards against a process that was stopped and does not notice.
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
