//! Decides whether a failed attempt is retried.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::retry::{
//!     AttemptDecision, AttemptFailure, Budget, EarlierAttempts,
//!     FailedAttempt, Idempotency, decide,
//! };
//!
//! let now = Instant::now();
//! let mut budget = Budget::new(now);
//! let attempt = FailedAttempt {
//!     failure: AttemptFailure::ConnectionLost,
//!     earlier_attempts: EarlierAttempts::NotRun,
//!     idempotency: Idempotency::NonIdempotent,
//!     tokens_received: 0,
//!     time_left: Duration::from_secs(1),
//!     estimate: Duration::from_millis(10),
//! };
//! // The server may have run the attempt, so it is not retried, and the
//! // outcome is unknown.
//! let decision = decide(now, &attempt, &mut budget);
//! assert_eq!(decision, AttemptDecision::FailUnknown);
//! ```

use std::time::{Duration, Instant};

use derive_more::Display;

/// The credit for each request, in hundredths of a retry.
const REQUEST_CREDIT_HUNDREDTHS: u64 = 10;

/// The cost of one retry, in hundredths of a retry.
const RETRY_COST_HUNDREDTHS: u64 = 100;

/// The highest credit. It bounds the burst of retries when several servers
/// fail at once.
const MAX_CREDIT_HUNDREDTHS: u64 = 20 * RETRY_COST_HUNDREDTHS;

/// Without credit, one retry is allowed in this time. Otherwise a daemon with
/// nine requests could retry none of them.
const MIN_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Why an attempt failed, as far as the daemon can tell.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No connection was established, so no byte was sent.
    #[display("the connection could not be established")]
    ConnectFailed,
    /// The backend server refused the attempt and stated that it did not run.
    #[display("the server refused to run the attempt")]
    RefusedNotRun,
    /// The connection was lost after the first byte was sent.
    #[display("the connection was lost after the request was sent")]
    ConnectionLost,
    /// No complete response arrived within the timeout of the attempt.
    #[display("no complete response arrived in time")]
    TimedOut,
    /// The response has an error status and does not prove that the attempt
    /// did not run.
    #[display("the server responded with an error status")]
    ErrorStatus,
    /// The response belongs to another request, stage or attempt.
    #[display("the response belongs to another attempt")]
    ResponseMismatch,
    /// The backend server is leaving and did not state that the attempt did
    /// not run. With that statement, the failure is `RefusedNotRun`.
    #[display("the server is leaving")]
    Leaving,
}

impl AttemptFailure {
    /// Returns whether the failure proves that the attempt did not run.
    #[must_use]
    pub fn proves_not_run(self) -> bool {
        match self {
            AttemptFailure::ConnectFailed | AttemptFailure::RefusedNotRun => {
                true
            }
            AttemptFailure::ConnectionLost
            | AttemptFailure::TimedOut
            | AttemptFailure::ErrorStatus
            | AttemptFailure::ResponseMismatch
            | AttemptFailure::Leaving => false,
        }
    }
}

/// Whether the stage may run more than once for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    /// It may run more than once.
    Idempotent,
    /// A second run would do harm, for example charge a customer twice.
    NonIdempotent,
}

/// What is known about the earlier attempts at the same stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EarlierAttempts {
    /// There were none, or it is proven that none of them ran.
    NotRun,
    /// At least one may have run, so the stage can't fail as not run.
    MayHaveRun,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Why it failed.
    pub failure: AttemptFailure,
    /// What is known about the attempts before it.
    pub earlier_attempts: EarlierAttempts,
    /// Whether the stage may run more than once.
    pub idempotency: Idempotency,
    /// For generation, the number of tokens received without a gap over all
    /// attempts.
    pub tokens_received: u32,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The expected time of a further attempt and the stages after it.
    pub estimate: Duration,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptDecision {
    /// Run the stage again on another server.
    RetryElsewhere,
    /// Resume the generation on another server after the last token received.
    Resume,
    /// Give up; the outcome of the stage is `not_run`.
    FailNotRun,
    /// Give up; it is unknown whether the stage ran.
    FailUnknown,
}

/// Decides what follows a failed attempt, and charges a retry to the budget.
#[must_use]
pub fn decide(
    now: Instant,
    attempt: &FailedAttempt,
    budget: &mut Budget,
) -> AttemptDecision {
    let not_run = attempt.failure.proves_not_run()
        && attempt.earlier_attempts == EarlierAttempts::NotRun
        && attempt.tokens_received == 0;
    let give_up = if not_run {
        AttemptDecision::FailNotRun
    } else {
        AttemptDecision::FailUnknown
    };
    let allowed = not_run || attempt.idempotency == Idempotency::Idempotent;
    let in_time = attempt.estimate < attempt.time_left;
    // The budget is charged last, and only if a retry is possible otherwise.
    if !allowed || !in_time || !budget.try_spend(now) {
        return give_up;
    }
    if attempt.tokens_received > 0 {
        AttemptDecision::Resume
    } else {
        AttemptDecision::RetryElsewhere
    }
}

/// The retry budget of one daemon: a tenth of its requests, and at least one
/// retry a second.
#[derive(Clone, Debug)]
pub struct Budget {
    credit_hundredths: u64,
    next_free_retry_at: Instant,
}

impl Budget {
    /// Creates the budget of a daemon that has just started.
    #[must_use]
    pub fn new(now: Instant) -> Budget {
        Budget { credit_hundredths: 0, next_free_retry_at: now }
    }

    /// Adds the credit for one request. Call it once for each request, not for
    /// stages or retries; otherwise retries would multiply across stages.
    pub fn record_request(&mut self) {
        self.credit_hundredths = (self.credit_hundredths
            + REQUEST_CREDIT_HUNDREDTHS)
            .min(MAX_CREDIT_HUNDREDTHS);
    }

    /// Takes one retry from the budget. Returns false if the budget is used
    /// up.
    #[must_use = "a retry is only allowed if the budget has credit"]
    pub fn try_spend(&mut self, now: Instant) -> bool {
        if self.credit_hundredths >= RETRY_COST_HUNDREDTHS {
            self.credit_hundredths -= RETRY_COST_HUNDREDTHS;
            return true;
        }
        if now >= self.next_free_retry_at {
            self.next_free_retry_at = now + MIN_RETRY_INTERVAL;
            return true;
        }
        false
    }
}

#[cfg(test)]
mod tests;
