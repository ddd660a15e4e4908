//! Tells the statuses of answers from numbers that are none.
//!
//! A head may hold any number of three digits as its status, but only five
//! classes have a meaning (RFC 9110, section 15). Another number says nothing
//! of a request, nor does an informational status as the last one, since no
//! request asks for another protocol.

use briarladder_core::retry::AttemptFailure;
use derive_more::{Display, Error};
use http::StatusCode;

use super::SendError;

/// The statuses that end a request.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// A head whose status is not that of an answer.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{_0} is not the status of an answer")]
pub(super) struct NoAnswer(#[error(not(source))] u16);

impl From<NoAnswer> for SendError {
    fn from(error: NoAnswer) -> SendError {
        let failure = AttemptFailure::ResponseMismatch;
        SendError::new(failure, error.to_string())
    }
}

/// Checks that a status is that of an answer.
///
/// # Errors
///
/// If it isn't; the request may have run.
pub(super) fn check(status: StatusCode) -> Result<(), NoAnswer> {
    let status = status.as_u16();
    if FINAL_STATUSES.contains(&status) {
        Ok(())
    } else {
        Err(NoAnswer(status))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a head that is no answer and is forwarded as one, or
    /// that counts as proof that the request has not run.
    #[test]
    fn check_each_class() {
        for status in 100..1000 {
            let checked = check(StatusCode::from_u16(status).unwrap());
            let is_answer = (200..600).contains(&status);
            assert_eq!(checked.is_ok(), is_answer, "{status}");
            let Err(error) = checked else { continue };
            let error = SendError::from(error);
            assert!(!error.failure.proves_not_run(), "{status}");
        }
    }
}
