//! The token sequence of one generation across several engines.
//!
//! Tokens are numbered over the whole answer, so a generation that breaks
//! off can resume at another engine without losing or doubling a token.
//!
//! # Example
//!
//! ```
//! use briarladder_core::stream::{
//!     AttemptNumber, EndOutcome, TokenOutcome, TokenStream,
//! };
//!
//! let mut stream = TokenStream::new(100);
//! let first = stream.begin_attempt();
//! assert_eq!(stream.accept(first, 0, "Fold ".into()), TokenOutcome::New);
//! // The first engine crashes. The second one repeats a token.
//! let second = stream.begin_attempt();
//! assert_eq!(stream.resume_tokens().len(), 1);
//! assert_eq!(stream.accept(second, 0, "Fold ".into()), TokenOutcome::Duplicate);
//! assert_eq!(stream.accept(second, 1, "here".into()), TokenOutcome::New);
//! assert_eq!(stream.end(second, 2), EndOutcome::Complete);
//! assert_eq!(stream.text(), "Fold here");
//! ```

use std::sync::Arc;

use derive_more::Display;

/// Counts the attempts at one generation from 0.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct AttemptNumber(pub u32);

/// What became of a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenOutcome {
    /// It is the next one; forward it to the caller.
    New,
    /// It is already known and was dropped.
    Duplicate,
    /// It belongs to an attempt that is over, or comes after the end, and
    /// was dropped.
    Late,
    /// The attempt has failed; cancel it.
    Failed(StreamFault),
}

/// Why an attempt at a generation can't go on.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StreamFault {
    /// A token is missing.
    #[display("token {expected} is missing before token {index}")]
    Gap {
        /// The token that should have come.
        expected: u32,
        /// The token that came.
        index: u32,
    },
    /// The engine repeats a token with another text, so what follows
    /// doesn't continue the tokens that were delivered.
    #[display("token {index} differs from the one delivered before")]
    Diverged {
        /// The token.
        index: u32,
    },
    /// The engine exceeds the longest answer.
    #[display("token {index} exceeds the longest answer")]
    TooLong {
        /// The token.
        index: u32,
    },
}

/// What the end of an attempt means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndOutcome {
    /// All tokens are there.
    Complete,
    /// The total of the engine differs from the tokens received; the answer
    /// is not complete.
    Incomplete {
        /// The tokens received without a gap.
        received_tokens: u32,
        /// The total that the engine states.
        total_tokens: u32,
    },
    /// The attempt was over before.
    Late,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Running,
    /// The attempt has failed; its further events are ignored.
    Failed(StreamFault),
    Complete,
}

/// The tokens of one generation.
#[derive(Debug)]
pub struct TokenStream {
    tokens: Vec<Arc<str>>,
    max_tokens: u32,
    attempt: Option<AttemptNumber>,
    state: State,
}

impl TokenStream {
    /// Creates an empty stream. `max_tokens` bounds the whole answer.
    #[must_use]
    pub fn new(max_tokens: u32) -> TokenStream {
        TokenStream {
            tokens: Vec::new(),
            max_tokens,
            attempt: None,
            state: State::Running,
        }
    }

    /// Starts the next attempt, and ends the one before. A complete stream
    /// stays complete.
    pub fn begin_attempt(&mut self) -> AttemptNumber {
        let next = self.attempt.map_or(0, |attempt| attempt.0 + 1);
        self.attempt = Some(AttemptNumber(next));
        if !self.is_complete() {
            self.state = State::Running;
        }
        AttemptNumber(next)
    }

    /// Takes one token of an attempt.
    pub fn accept(
        &mut self,
        attempt: AttemptNumber,
        index: u32,
        text: Arc<str>,
    ) -> TokenOutcome {
        if Some(attempt) != self.attempt {
            return TokenOutcome::Late;
        }
        match self.state {
            State::Complete => return TokenOutcome::Late,
            State::Failed(fault) => return TokenOutcome::Failed(fault),
            State::Running => {}
        }
        let expected = self.received_tokens();
        if index < expected {
            let known = &self.tokens[index as usize];
            if **known == *text {
                return TokenOutcome::Duplicate;
            }
            return self.fail(StreamFault::Diverged { index });
        }
        if index > expected {
            return self.fail(StreamFault::Gap { expected, index });
        }
        if index >= self.max_tokens {
            return self.fail(StreamFault::TooLong { index });
        }
        self.tokens.push(text);
        TokenOutcome::New
    }

    fn fail(&mut self, fault: StreamFault) -> TokenOutcome {
        self.state = State::Failed(fault);
        TokenOutcome::Failed(fault)
    }

    /// Takes the end of an attempt with the engine's total. A connection
    /// that closes without it leaves the stream incomplete.
    pub fn end(
        &mut self,
        attempt: AttemptNumber,
        total_tokens: u32,
    ) -> EndOutcome {
        if Some(attempt) != self.attempt || self.is_complete() {
            return EndOutcome::Late;
        }
        let received_tokens = self.received_tokens();
        let running = self.state == State::Running;
        if running && received_tokens == total_tokens {
            self.state = State::Complete;
            return EndOutcome::Complete;
        }
        EndOutcome::Incomplete { received_tokens, total_tokens }
    }

    /// Returns whether all tokens are there.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Returns the tokens without a gap so far: what the next attempt
    /// resumes from.
    #[must_use]
    pub fn resume_tokens(&self) -> &[Arc<str>] {
        &self.tokens
    }

    /// Returns the number of tokens without a gap.
    #[must_use]
    pub fn received_tokens(&self) -> u32 {
        // `accept` bounds the length by `max_tokens`, a `u32`.
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Returns the text of the tokens so far.
    #[must_use]
    pub fn text(&self) -> String {
        self.tokens.concat()
    }
}

#[cfg(test)]
mod tests;
