//! Whether an attempt may be repeated.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::retry::{
//!     AttemptDecision, AttemptFailure, Budget, EarlierAttempts, FailedAttempt,
//!     Idempotency, decide,
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
//! // The server may have run it, so it is neither repeated nor refused.
//! let decision = decide(now, &attempt, &mut budget);
//! assert_eq!(decision, AttemptDecision::FailUnknown);
//! ```

use std::time::{Duration, Instant};

use derive_more::Display;

/// The retries that one first attempt pays for, in hundredths.
const EARNED_HUNDREDTHS: u64 = 10;

/// The price of one retry, in hundredths.
const RETRY_HUNDREDTHS: u64 = 100;

/// The most that is saved up. It bounds the burst of retries when a group of
/// servers fails at once.
const MAX_SAVED_HUNDREDTHS: u64 = 20 * RETRY_HUNDREDTHS;

/// A daemon with few requests may always spend one retry in this time;
/// otherwise 10% of nine requests would allow none.
const FLOOR_INTERVAL: Duration = Duration::from_secs(1);

/// Why an attempt failed, as far as the daemon can prove.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No connection, so no byte was sent.
    #[display("no connection could be made")]
    ConnectFailed,
    /// The backend server stated that it did not run the attempt.
    #[display("it refused to run the attempt")]
    RefusedNotRun,
    /// The connection failed after the first byte was sent.
    #[display("the answer broke off")]
    ConnectionLost,
    /// No complete answer within the timeout of the attempt.
    #[display("no complete answer in time")]
    TimedOut,
    /// An error status without proof that nothing ran.
    #[display("it answered with an error status")]
    ErrorStatus,
    /// The answer belongs to another request, stage or attempt.
    #[display("the answer belongs to another attempt")]
    ResponseMismatch,
    /// The backend server refused because it is leaving, without a statement
    /// that nothing ran. With that statement it is `RefusedNotRun`.
    #[display("it is leaving")]
    Leaving,
}

impl AttemptFailure {
    /// Returns whether the failure proves that nothing ran.
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
    /// It is idempotent.
    Idempotent,
    /// A second run would be a fault, for example a second charge.
    NonIdempotent,
}

/// What is known of the earlier attempts at the same stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EarlierAttempts {
    /// There were none, or each one provably did not run.
    NotRun,
    /// At least one may have run, so the stage can't fail as not run.
    MayHaveRun,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Why it failed.
    pub failure: AttemptFailure,
    /// What is known of the attempts before it.
    pub earlier_attempts: EarlierAttempts,
    /// Whether the stage may run again.
    pub idempotency: Idempotency,
    /// For generation, the tokens received without a gap over all attempts.
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
    /// Continue the generation on another server after its last token.
    Resume,
    /// Give up; the outcome of the stage is `not_run`.
    FailNotRun,
    /// Give up; whether the stage ran is not known.
    FailUnknown,
}

/// Decides what follows a failed attempt, and charges a repetition to the
/// budget.
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
    // The budget is charged last, so that a repetition that is out of the
    // question costs nothing.
    if !allowed || !in_time || !budget.try_spend(now) {
        return give_up;
    }
    if attempt.tokens_received > 0 {
        AttemptDecision::Resume
    } else {
        AttemptDecision::RetryElsewhere
    }
}

/// The retries of one daemon: a tenth of its requests, with a floor.
#[derive(Clone, Debug)]
pub struct Budget {
    saved_hundredths: u64,
    floor_at: Instant,
}

impl Budget {
    /// Creates the budget of a daemon that has just started.
    #[must_use]
    pub fn new(now: Instant) -> Budget {
        Budget { saved_hundredths: 0, floor_at: now }
    }

    /// Counts a request. Stages and repeated attempts do not count, so that
    /// retries never multiply across stages.
    pub fn record_request(&mut self) {
        self.saved_hundredths = (self.saved_hundredths + EARNED_HUNDREDTHS)
            .min(MAX_SAVED_HUNDREDTHS);
    }

    /// Takes one retry from the budget, if there is one.
    #[must_use = "a retry is only allowed if it could be paid"]
    pub fn try_spend(&mut self, now: Instant) -> bool {
        if self.saved_hundredths >= RETRY_HUNDREDTHS {
            self.saved_hundredths -= RETRY_HUNDREDTHS;
            return true;
        }
        if now >= self.floor_at {
            self.floor_at = now + FLOOR_INTERVAL;
            return true;
        }
        false
    }
}

#[cfg(test)]
mod tests;
