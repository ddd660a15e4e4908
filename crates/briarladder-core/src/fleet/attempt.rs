//! Decides whether a request is retried after an attempt at a backend server
//! failed.
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

/// Maximum number of retries after attempts that provably did not run. Each
/// one goes to another server, so a few are enough to get past a group of
/// failing servers.
const MAX_NOT_RUN_RETRIES: u32 = 3;

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send the request to another server.
    Retry,
    /// Fail the request, which provably did not run.
    FailNotRun,
    /// Fail the request, which may have run.
    FailUnknown,
}

/// Counts the failed attempts of one request.
#[derive(Clone, Debug)]
pub struct AttemptTracker {
    kind: RouteKind,
    max_attempts: u32,
    may_have_run_count: u32,
    not_run_count: u32,
}

impl AttemptTracker {
    /// Creates the tracker of a request that has not been sent yet.
    #[must_use]
    pub fn new(kind: RouteKind, max_attempts: u32) -> AttemptTracker {
        AttemptTracker {
            kind,
            max_attempts: max_attempts.max(1),
            may_have_run_count: 0,
            not_run_count: 0,
        }
    }

    /// Records an attempt that failed while another one of the request runs.
    /// The outcome of that one decides about a retry.
    pub fn record_failure_beside(&mut self, failure: AttemptFailure) {
        if failure.proves_not_run() {
            self.not_run_count += 1;
        } else {
            self.may_have_run_count += 1;
        }
    }

    /// Records a failed attempt. `in_time` tells whether another one can still
    /// meet the deadline. `spend_budget` charges the retry budget: it is
    /// called last, and not at all if no connection was made, since such an
    /// attempt puts no load on a server.
    pub fn record_failure(
        &mut self,
        failure: AttemptFailure,
        in_time: bool,
        spend_budget: impl FnOnce() -> bool,
    ) -> RetryDecision {
        self.record_failure_beside(failure);
        let not_run = failure.proves_not_run();
        let allowed = if not_run {
            self.not_run_count <= MAX_NOT_RUN_RETRIES
        } else {
            self.kind.is_repeatable()
                && self.may_have_run_count < self.max_attempts
        };
        let costs_no_budget = failure == AttemptFailure::ConnectFailed;
        if allowed && in_time && (costs_no_budget || spend_budget()) {
            return RetryDecision::Retry;
        }
        if self.may_have_run_count == 0 {
            RetryDecision::FailNotRun
        } else {
            RetryDecision::FailUnknown
        }
    }

    /// Returns the number of failed attempts so far that may have run.
    #[must_use]
    pub fn may_have_run_count(&self) -> u32 {
        self.may_have_run_count
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a non-idempotent request that runs twice because its
    /// connection broke.
    #[test]
    fn record_failure_non_idempotent_broken() {
        let mut attempts = AttemptTracker::new(RouteKind::NonIdempotent, 3);
        let decision = attempts.record_failure(
            AttemptFailure::ConnectionLost,
            true,
            || true,
        );
        assert_eq!(decision, RetryDecision::FailUnknown);
    }

    /// Guards against a non-idempotent request that fails although no byte of
    /// it was sent.
    #[test]
    fn record_failure_non_idempotent_connect() {
        let mut attempts = AttemptTracker::new(RouteKind::NonIdempotent, 1);
        let spend_budget = || {
            unreachable!("a request that was not sent must not use the budget")
        };
        let decision = attempts.record_failure(
            AttemptFailure::ConnectFailed,
            true,
            spend_budget,
        );
        assert_eq!(decision, RetryDecision::Retry);
    }

    /// Guards against a "not run" result for a request that may have run at an
    /// earlier server.
    #[test]
    fn record_failure_not_run_after_broken() {
        let mut attempts = AttemptTracker::new(RouteKind::Idempotent, 2);
        let decision = attempts.record_failure(
            AttemptFailure::ConnectionLost,
            true,
            || true,
        );
        assert_eq!(decision, RetryDecision::Retry);
        let decision = attempts.record_failure(
            AttemptFailure::RefusedNotRun,
            false,
            || true,
        );
        assert_eq!(decision, RetryDecision::FailUnknown);
    }

    /// Guards against a "not run" result for a request that a second server
    /// refused while the first one may have run it.
    #[test]
    fn record_failure_beside_counts() {
        let mut attempts = AttemptTracker::new(RouteKind::Idempotent, 2);
        attempts.record_failure_beside(AttemptFailure::ConnectionLost);
        let decision = attempts.record_failure(
            AttemptFailure::RefusedNotRun,
            false,
            || true,
        );
        assert_eq!(decision, RetryDecision::FailUnknown);
    }

    /// Guards against more attempts than the route allows.
    #[test]
    fn record_failure_max_attempts() {
        let mut attempts = AttemptTracker::new(RouteKind::Idempotent, 2);
        let decision =
            attempts
                .record_failure(AttemptFailure::ErrorStatus, true, || true);
        assert_eq!(decision, RetryDecision::Retry);
        let decision =
            attempts
                .record_failure(AttemptFailure::ErrorStatus, true, || true);
        assert_eq!(decision, RetryDecision::FailUnknown);
    }

    /// Guards against retries that exceed the retry budget.
    #[test]
    fn record_failure_budget_exhausted() {
        let mut attempts = AttemptTracker::new(RouteKind::Idempotent, 2);
        let decision = attempts.record_failure(
            AttemptFailure::RefusedNotRun,
            true,
            || false,
        );
        assert_eq!(decision, RetryDecision::FailNotRun);
    }
}
