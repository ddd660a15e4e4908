//! The clock by which a daemon takes turns.

use std::time::{Duration, Instant};

use super::LimitTime;

/// A larger deviation of the wall clock from the monotonic one is a jump.
const MAX_DEVIATION: Duration = Duration::from_millis(100);

/// A jump counts once it has lasted this long.
const MIN_JUMP_DURATION: Duration = Duration::from_secs(30);

/// The wall clock without jumps that are soon corrected. While its clock is
/// wrong, a daemon would take part in a turn of others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TurnClock {
    /// The last time at which the wall clock was relied on.
    reference: Option<LimitTime>,
    jumped_at: Option<Instant>,
}

impl TurnClock {
    /// Returns the time of a decision, with the wall clock as it would be
    /// without a recent jump.
    pub(super) fn corrected(&mut self, at: LimitTime) -> LimitTime {
        let Some(reference) = self.reference else {
            return self.rely_on(at);
        };
        let elapsed = at.now.saturating_duration_since(reference.now);
        let expected = reference.after(elapsed);
        if at.unix_time.abs_diff(expected.unix_time) <= MAX_DEVIATION {
            return self.rely_on(at);
        }
        let jumped_at = *self.jumped_at.get_or_insert(at.now);
        let since_jump = at.now.saturating_duration_since(jumped_at);
        if since_jump >= MIN_JUMP_DURATION {
            return self.rely_on(at);
        }
        LimitTime { now: at.now, unix_time: expected.unix_time }
    }

    fn rely_on(&mut self, at: LimitTime) -> LimitTime {
        self.reference = Some(at);
        self.jumped_at = None;
        at
    }
}
