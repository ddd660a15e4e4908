//! How far a backend server has come with the answer to one attempt.
//!
//! A server that crashes because of a request does so when it begins the
//! answer. The first bytes may still arrive, so only bytes that follow some
//! time later show that the server has survived the request.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::fleet::answer_progress::{
//!     AnswerPhase, AnswerProgress,
//! };
//!
//! let start = Instant::now();
//! let mut progress = AnswerProgress::default();
//! assert!(!progress.record_bytes(start));
//! assert_eq!(progress.phase(), AnswerPhase::Begun);
//! // Returns true once.
//! assert!(progress.record_bytes(start + Duration::from_secs(1)));
//! assert!(!progress.record_bytes(start + Duration::from_secs(2)));
//! assert_eq!(progress.phase(), AnswerPhase::Underway);
//! ```

use std::time::{Duration, Instant};

use derive_more::Display;

/// Bytes that arrive this long after the first ones show that the server has
/// survived the beginning of its answer. It covers several round trips between
/// regions.
const SURVIVAL_TIME: Duration = Duration::from_millis(200);

/// How far an answer has come.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AnswerPhase {
    /// No byte of the body has arrived.
    #[display("none")]
    NotBegun,
    /// The first bytes have arrived, too recently to tell whether the server
    /// survives them.
    #[display("begun")]
    Begun,
    /// Bytes have arrived for a while.
    #[display("underway")]
    Underway,
}

/// The progress of the answer to one attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerProgress {
    first_bytes_at: Option<Instant>,
    underway: bool,
}

impl AnswerProgress {
    /// Records that bytes of the body arrived. Returns `true` the first time
    /// that the answer is known to be underway.
    pub fn record_bytes(&mut self, now: Instant) -> bool {
        let first_at = *self.first_bytes_at.get_or_insert(now);
        let survived = now.duration_since(first_at) >= SURVIVAL_TIME;
        let newly = survived && !self.underway;
        self.underway |= survived;
        newly
    }

    /// Returns how far the answer has come.
    #[must_use]
    pub fn phase(&self) -> AnswerPhase {
        match self.first_bytes_at {
            None => AnswerPhase::NotBegun,
            Some(_) if self.underway => AnswerPhase::Underway,
            Some(_) => AnswerPhase::Begun,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a server that counts as having survived a request
    /// because its first bytes arrived before it crashed.
    #[test]
    fn record_bytes_first_burst() {
        let start = Instant::now();
        let mut progress = AnswerProgress::default();
        assert_eq!(progress.phase(), AnswerPhase::NotBegun);
        for elapsed_ms in [0, 40, 199] {
            let now = start + Duration::from_millis(elapsed_ms);
            assert!(!progress.record_bytes(now));
            assert_eq!(progress.phase(), AnswerPhase::Begun);
        }
        assert!(progress.record_bytes(start + SURVIVAL_TIME));
    }
}
