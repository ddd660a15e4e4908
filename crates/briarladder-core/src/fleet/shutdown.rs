//! Timing of a planned shutdown.
//!
//! After the shutdown has begun, the balancer still sends new connections for
//! a while, and open connections bring further requests. The daemon serves
//! them, but it accepts no late request that it may not finish, and sends a
//! final answer to all open requests shortly before it must exit.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::fleet::shutdown::Shutdown;
//!
//! let began = Instant::now();
//! let stop = Shutdown::new(began, Duration::from_secs(8));
//! let late = began + Duration::from_secs(5);
//! assert!(!stop.accepts(late, late + Duration::from_secs(20)));
//! assert!(stop.accepts(late, late + Duration::from_secs(1)));
//! ```

use std::time::{Duration, Instant};

/// Minimum duration of a shutdown, while the balancer still sends new
/// connections: it takes two failed checks, one second apart, to notice.
const MIN_STOP: Duration = Duration::from_secs(3);

/// The process exits this long before it would be killed. With a tenth of a
/// core it may need half of this time to write the last log lines and answers.
const STOP_RESERVE: Duration = Duration::from_millis(600);

/// Requests without a response head get a final answer this long before the
/// process exits.
const LAST_ANSWERS: Duration = Duration::from_millis(300);

/// Requests that arrive within this time after the start of the shutdown are
/// accepted regardless of their timeout, since their callers could not know of
/// it.
const TAKES_ALL_FOR: Duration = Duration::from_millis(2500);

/// A planned shutdown in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    began: Instant,
    ends: Instant,
}

impl Shutdown {
    /// Creates the shutdown of a process that is killed after `grace`.
    #[must_use]
    pub fn new(began: Instant, grace: Duration) -> Shutdown {
        let ends = began + grace.saturating_sub(STOP_RESERVE);
        Shutdown { began, ends }
    }

    /// Returns whether the process may exit. `open_requests` counts requests
    /// of callers and requests whose stages this daemon coordinates.
    #[must_use]
    pub fn may_exit(&self, now: Instant, open_requests: usize) -> bool {
        let idle = open_requests == 0 && now >= self.began + MIN_STOP;
        now >= self.ends || idle
    }

    /// Returns whether a request is accepted whose deadline is `give_up`.
    #[must_use]
    pub fn accepts(&self, now: Instant, give_up: Instant) -> bool {
        now < self.began + TAKES_ALL_FOR
            || give_up <= self.final_responses_at()
    }

    /// Returns when requests without a response head get a final answer.
    #[must_use]
    pub fn final_responses_at(&self) -> Instant {
        self.ends.checked_sub(LAST_ANSWERS).unwrap_or(self.ends)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a shutdown that ends while the balancer still sends
    /// connections, and against one that ends too late and is killed.
    #[test]
    fn may_end_bounds() {
        let began = Instant::now();
        let stop = Shutdown::new(began, Duration::from_millis(7600));
        let at = |ms| began + Duration::from_millis(ms);
        assert!(!stop.may_exit(at(2000), 0));
        assert!(stop.may_exit(at(3000), 0));
        assert!(!stop.may_exit(at(6999), 1));
        assert!(stop.may_exit(at(7000), 1));
    }

    /// Guards against requests that are accepted late in a shutdown and then
    /// cut off without an answer.
    #[test]
    fn takes_what_can_end() {
        let began = Instant::now();
        let stop = Shutdown::new(began, Duration::from_secs(8));
        let at = |ms| began + Duration::from_millis(ms);
        assert!(stop.accepts(at(1000), at(21_000)));
        assert!(!stop.accepts(at(5300), at(25_300)));
        assert!(stop.accepts(at(5300), at(6800)));
        assert!(!stop.accepts(at(5300), at(7300)));
        assert!(stop.final_responses_at() < at(7400));
    }
}
