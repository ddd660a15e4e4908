//! Decides whether a request is sent again after a backend server failed it.
//!
//! # Example
//!
//! ```
//! use briarladder_core::{
//!     fleet::{
//!         attempt::{AttemptTracker, RetryDecision}, config::RouteKind,
//!     },
//!     retry::AttemptFailure,
//! };
//!
//! let mut attempts = AttemptTracker::new(RouteKind::NonIdempotent, 1);
//! // The connection broke after the first byte, so the request may have run.
//! let decision =
//!     attempts.record_failure(AttemptFailure::ConnectionLost, true, || true);
//! assert_eq!(decision, RetryDecision::FailUnknown);
//! ```

use crate::{fleet::config::RouteKind, retry::AttemptFailure};

/// Retries of a request after sends that provably did not run. Each one goes
/// to another server, so a few are enough to get past a group of failing
/// servers.
const MAX_UNRUN_RETRIES: u32 = 3;

/// What to do after a failed send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send the request to another server.
    Retry,
    /// Fail the request, which provably did not run.
    FailNotRun,
    /// Fail the request, which may have run.
    FailUnknown,
}

/// Counts the failed sends of one request.
#[derive(Clone, Debug)]
pub struct AttemptTracker {
    kind: RouteKind,
    max_attempts: u32,
    may_have_run: u32,
    unrun: u32,
}

impl AttemptTracker {
    /// Creates the tracker of a request that has not been sent yet.
    #[must_use]
    pub fn new(kind: RouteKind, max_attempts: u32) -> AttemptTracker {
        AttemptTracker {
            kind,
            max_attempts: max_attempts.max(1),
            may_have_run: 0,
            unrun: 0,
        }
    }

    /// Records a failed send. `in_time` tells whether another send can still
    /// meet the deadline. `pay` charges the retry budget: it is called last,
    /// and not at all if no connection was made, since such a send put no load
    /// on a server.
    pub fn record_failure(
        &mut self,
        failure: AttemptFailure,
        in_time: bool,
        pay: impl FnOnce() -> bool,
    ) -> RetryDecision {
        let not_run = failure.proves_not_run();
        if not_run {
            self.unrun += 1;
        } else {
            self.may_have_run += 1;
        }
        let allowed = if not_run {
            self.unrun <= MAX_UNRUN_RETRIES
        } else {
            self.kind.is_repeatable() && self.may_have_run < self.max_attempts
        };
        let free = failure == AttemptFailure::ConnectFailed;
        if allowed && in_time && (free || pay()) {
            return RetryDecision::Retry;
        }
        if self.may_have_run == 0 {
            RetryDecision::FailNotRun
        } else {
            RetryDecision::FailUnknown
        }
    }

    /// Returns the number of failed sends so far that may have run.
    #[must_use]
    pub fn may_have_run(&self) -> u32 {
        self.may_have_run
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a non-idempotent request that runs twice because its
    /// connection broke.
    #[test]
    fn failed_non_idempotent_broken() {
        let mut sends = AttemptTracker::new(RouteKind::NonIdempotent, 3);
        let step =
            sends
                .record_failure(AttemptFailure::ConnectionLost, true, || true);
        assert_eq!(step, RetryDecision::FailUnknown);
    }

    /// Guards against a non-idempotent request that fails although no byte of
    /// it was sent.
    #[test]
    fn failed_non_idempotent_connect() {
        let mut sends = AttemptTracker::new(RouteKind::NonIdempotent, 1);
        let unpaid = || unreachable!("an unsent request costs nothing");
        let step =
            sends.record_failure(AttemptFailure::ConnectFailed, true, unpaid);
        assert_eq!(step, RetryDecision::Retry);
    }

    /// Guards against a "not run" result for a request that may have run at an
    /// earlier server.
    #[test]
    fn failed_not_run_after_broken() {
        let mut sends = AttemptTracker::new(RouteKind::Idempotent, 2);
        let step =
            sends
                .record_failure(AttemptFailure::ConnectionLost, true, || true);
        assert_eq!(step, RetryDecision::Retry);
        let step =
            sends
                .record_failure(AttemptFailure::RefusedNotRun, false, || true);
        assert_eq!(step, RetryDecision::FailUnknown);
    }

    /// Guards against more attempts than the route allows.
    #[test]
    fn failed_max_attempts() {
        let mut sends = AttemptTracker::new(RouteKind::Idempotent, 2);
        let step =
            sends.record_failure(AttemptFailure::ErrorStatus, true, || true);
        assert_eq!(step, RetryDecision::Retry);
        let step =
            sends.record_failure(AttemptFailure::ErrorStatus, true, || true);
        assert_eq!(step, RetryDecision::FailUnknown);
    }

    /// Guards against retries that exceed the retry budget.
    #[test]
    fn failed_unpaid() {
        let mut sends = AttemptTracker::new(RouteKind::Idempotent, 2);
        let step =
            sends
                .record_failure(AttemptFailure::RefusedNotRun, true, || false);
        assert_eq!(step, RetryDecision::FailNotRun);
    }
}
