//! Timing of a graceful shutdown.
//!
//! After the shutdown has begun, the balancer still sends new connections for
//! a while, and open connections bring further requests. The daemon serves
//! them, but it accepts no late request that it may not finish, and sends a
//! final response to all open requests shortly before it must exit.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::fleet::shutdown::Shutdown;
//!
//! let started_at = Instant::now();
//! let shutdown = Shutdown::new(started_at, Duration::from_secs(8));
//! let late = started_at + Duration::from_secs(5);
//! assert!(!shutdown.accepts(late, late + Duration::from_secs(20)));
//! assert!(shutdown.accepts(late, late + Duration::from_secs(1)));
//! ```

use std::time::{Duration, Instant};

/// Minimum duration of a shutdown, while the balancer still sends new
/// connections: it takes two failed checks, one second apart, to notice.
const MIN_DURATION: Duration = Duration::from_secs(3);

/// The process exits this long before it would be killed. With a tenth of a
/// core it may need half of this time to write the last log lines and
/// responses.
const EXIT_RESERVE: Duration = Duration::from_millis(600);

/// Requests without a response head get a final response this long before the
/// process exits.
const FINAL_RESPONSE_LEAD: Duration = Duration::from_millis(300);

/// Requests that arrive within this time after the start of the shutdown are
/// accepted regardless of their timeout, since their callers could not know of
/// it.
const ACCEPT_ALL_DURATION: Duration = Duration::from_millis(2500);

/// How long callers may begin further requests on an open connection. Most
/// send their next request within this time; its response then announces the
/// end of the connection.
const LINGER: Duration = Duration::from_millis(1500);

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    started_at: Instant,
    exits_at: Instant,
}

impl Shutdown {
    /// Creates the shutdown of a process that is killed after `grace`.
    #[must_use]
    pub fn new(started_at: Instant, grace: Duration) -> Shutdown {
        let exits_at = started_at + grace.saturating_sub(EXIT_RESERVE);
        Shutdown { started_at, exits_at }
    }

    /// Returns whether the process may exit. `open_requests` counts requests
    /// of callers and requests whose stages this daemon coordinates.
    #[must_use]
    pub fn may_exit(&self, now: Instant, open_requests: usize) -> bool {
        let idle = open_requests == 0 && now >= self.started_at + MIN_DURATION;
        now >= self.exits_at || idle
    }

    /// Returns when a caller's connection is closed on which no whole request
    /// has arrived since `since`. The answer before may have begun before the
    /// shutdown, and could not announce the end of the connection.
    #[must_use]
    pub fn connection_deadline(&self, since: Instant) -> Instant {
        since.max(self.started_at) + LINGER
    }

    /// Returns whether a request with this deadline is accepted.
    #[must_use]
    pub fn accepts(&self, now: Instant, deadline: Instant) -> bool {
        let accepts_all = now < self.started_at + ACCEPT_ALL_DURATION;
        now < self.final_responses_at()
            && (accepts_all || deadline <= self.final_responses_at())
    }

    /// Returns when requests without a response head get a final response.
    #[must_use]
    pub fn final_responses_at(&self) -> Instant {
        self.exits_at.checked_sub(FINAL_RESPONSE_LEAD).unwrap_or(self.exits_at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a shutdown that ends while the balancer still sends
    /// connections, and against one that ends too late and is killed.
    #[test]
    fn may_exit_bounds() {
        let started_at = Instant::now();
        let shutdown = Shutdown::new(started_at, Duration::from_millis(7600));
        let at = |ms| started_at + Duration::from_millis(ms);
        assert!(!shutdown.may_exit(at(2000), 0));
        assert!(shutdown.may_exit(at(3000), 0));
        assert!(!shutdown.may_exit(at(6999), 1));
        assert!(shutdown.may_exit(at(7000), 1));
    }

    /// Guards against connections that are closed as soon as an answer ends
    /// late in a shutdown, and against idle ones that hold it up.
    #[test]
    fn connection_deadline_counts_from_answer() {
        let started_at = Instant::now();
        let shutdown = Shutdown::new(started_at, Duration::from_secs(8));
        let at = |ms| started_at + Duration::from_millis(ms);
        let long_idle = started_at.checked_sub(Duration::from_secs(9));
        let closed_at = |since| shutdown.connection_deadline(since);
        assert_eq!(closed_at(long_idle.unwrap()), at(1500));
        assert_eq!(closed_at(at(4000)), at(5500));
    }

    /// Guards against requests that are accepted after the time of the final
    /// responses because the grace period is short.
    #[test]
    fn accepts_short_grace() {
        let started_at = Instant::now();
        let shutdown = Shutdown::new(started_at, Duration::from_secs(2));
        let at = |ms| started_at + Duration::from_millis(ms);
        assert!(shutdown.accepts(at(1000), at(21_000)));
        assert!(!shutdown.accepts(at(1200), at(1200)));
        assert!(!shutdown.accepts(at(1200), at(21_000)));
    }

    /// Guards against requests that are accepted late in a shutdown and then
    /// cut off without a response.
    #[test]
    fn accepts_what_can_finish() {
        let started_at = Instant::now();
        let shutdown = Shutdown::new(started_at, Duration::from_secs(8));
        let at = |ms| started_at + Duration::from_millis(ms);
        assert!(shutdown.accepts(at(1000), at(21_000)));
        assert!(!shutdown.accepts(at(5300), at(25_300)));
        assert!(shutdown.accepts(at(5300), at(6800)));
        assert!(!shutdown.accepts(at(5300), at(7300)));
        assert!(shutdown.final_responses_at() < at(7400));
    }
}
