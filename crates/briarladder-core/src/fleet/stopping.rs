//! The course of a planned stop.
//!
//! The balancer sends new connections for a while after the stop has begun,
//! and kept connections bring further requests. A daemon serves them, but
//! takes nothing late that it may not finish, and answers what is still open
//! shortly before it must end.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::fleet::stopping::Stop;
//!
//! let began = Instant::now();
//! let stop = Stop::new(began, Duration::from_secs(8));
//! let late = began + Duration::from_secs(5);
//! assert!(!stop.takes(late, late + Duration::from_secs(20)));
//! assert!(stop.takes(late, late + Duration::from_secs(1)));
//! ```

use std::time::{Duration, Instant};

/// A stopping process stays at least this long, while the balancer still
/// sends it new connections: two failed checks a second apart.
const MIN_STOP: Duration = Duration::from_secs(3);

/// A stopping process ends this long before it would be killed. A tenth of a
/// core may take half of it to write the last lines and answers.
const STOP_RESERVE: Duration = Duration::from_millis(600);

/// Requests without the head of an answer get their final one this long
/// before the process ends.
const LAST_ANSWERS: Duration = Duration::from_millis(300);

/// Requests that come within this time of a stop are taken whatever time they
/// have: their callers could not know of it.
const TAKES_ALL_FOR: Duration = Duration::from_millis(2500);

/// A planned stop that has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop {
    began: Instant,
    ends: Instant,
}

impl Stop {
    /// Creates a stop of a process that is killed after `grace`.
    #[must_use]
    pub fn new(began: Instant, grace: Duration) -> Stop {
        let ends = began + grace.saturating_sub(STOP_RESERVE);
        Stop { began, ends }
    }

    /// Returns whether the process may end. `open_requests` counts those of
    /// callers and those whose stages are coordinated here.
    #[must_use]
    pub fn may_end(&self, now: Instant, open_requests: usize) -> bool {
        let idle = open_requests == 0 && now >= self.began + MIN_STOP;
        now >= self.ends || idle
    }

    /// Returns whether a request is taken that is given up at `give_up`.
    #[must_use]
    pub fn takes(&self, now: Instant, give_up: Instant) -> bool {
        now < self.began + TAKES_ALL_FOR || give_up <= self.last_answers_at()
    }

    /// Returns when requests without the head of an answer get a final one.
    #[must_use]
    pub fn last_answers_at(&self) -> Instant {
        self.ends.checked_sub(LAST_ANSWERS).unwrap_or(self.ends)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a stop that leaves while the balancer still sends
    /// connections, and against one that is killed.
    #[test]
    fn may_end_bounds() {
        let began = Instant::now();
        let stop = Stop::new(began, Duration::from_millis(7600));
        let at = |ms| began + Duration::from_millis(ms);
        assert!(!stop.may_end(at(2000), 0));
        assert!(stop.may_end(at(3000), 0));
        assert!(!stop.may_end(at(6999), 1));
        assert!(stop.may_end(at(7000), 1));
    }

    /// Guards against requests that are taken late in a stop and then cut
    /// without an answer.
    #[test]
    fn takes_what_can_end() {
        let began = Instant::now();
        let stop = Stop::new(began, Duration::from_secs(8));
        let at = |ms| began + Duration::from_millis(ms);
        assert!(stop.takes(at(1000), at(21_000)));
        assert!(!stop.takes(at(5300), at(25_300)));
        assert!(stop.takes(at(5300), at(6800)));
        assert!(!stop.takes(at(5300), at(7300)));
        assert!(stop.last_answers_at() < at(7400));
    }
}
