//! The token stream of one generation across several engines.
//!
//! Tokens are numbered over the whole response. A generation whose stream
//! breaks off can therefore resume on another engine without losing or
//! repeating a token.
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
//! let outcome = stream.accept(second, 0, "Fold ".into());
//! assert_eq!(outcome, TokenOutcome::Duplicate);
//! assert_eq!(stream.accept(second, 1, "here".into()), TokenOutcome::New);
//! assert_eq!(stream.end(second, 2), EndOutcome::Complete);
//! assert_eq!(stream.text(), "Fold here");
//! ```

use std::sync::Arc;

use derive_more::Display;

/// The number of an attempt at one generation, counted from 0.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct AttemptNumber(pub u32);

/// The result of accepting a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenOutcome {
    /// It is the next token; forward it to the caller.
    New,
    /// It was received before and is dropped.
    Duplicate,
    /// It belongs to an earlier attempt or follows the end, and is dropped.
    Late,
    /// The attempt has failed; cancel it.
    Failed(StreamFault),
}

/// Why an attempt at a generation has failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StreamFault {
    /// A token is missing.
    #[display("token {expected} is missing before token {index}")]
    Gap {
        /// The index of the missing token.
        expected: u32,
        /// The index of the received token.
        index: u32,
    },
    /// The engine repeated a token with another text, so its further tokens
    /// don't continue those delivered to the caller.
    #[display("token {index} differs from the one received before")]
    Diverged {
        /// The index of the token.
        index: u32,
    },
    /// The response exceeds the maximum number of tokens.
    #[display("token {index} exceeds the maximum response length")]
    TooLong {
        /// The index of the token.
        index: u32,
    },
}

/// The result of the end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndOutcome {
    /// All tokens have been received.
    Complete,
    /// The total stated by the engine differs from the number of tokens
    /// received, so the response is not complete.
    Incomplete {
        /// The number of tokens received without a gap.
        received_tokens: u32,
        /// The total stated by the engine.
        total_tokens: u32,
    },
    /// The attempt had ended before.
    Late,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Running,
    /// The attempt has failed; further tokens are not accepted.
    Failed(StreamFault),
    Complete,
}

/// The tokens of one generation over all its attempts.
#[derive(Debug)]
pub struct TokenStream {
    tokens: Vec<Arc<str>>,
    max_tokens: u32,
    attempt: Option<AttemptNumber>,
    state: State,
}

impl TokenStream {
    /// Creates an empty stream of at most `max_tokens` tokens.
    #[must_use]
    pub fn new(max_tokens: u32) -> TokenStream {
        TokenStream {
            tokens: Vec::new(),
            max_tokens,
            attempt: None,
            state: State::Running,
        }
    }

    /// Begins the next attempt, which ends the previous one. A complete
    /// stream stays complete.
    pub fn begin_attempt(&mut self) -> AttemptNumber {
        let next = self.attempt.map_or(0, |attempt| attempt.0 + 1);
        self.attempt = Some(AttemptNumber(next));
        if !self.is_complete() {
            self.state = State::Running;
        }
        AttemptNumber(next)
    }

    /// Accepts or rejects one token of an attempt.
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

    /// Ends an attempt with the total stated by the engine. If a connection
    /// closes without a total, the stream stays incomplete.
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

    /// Returns whether all tokens have been received.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Returns the tokens received so far, after which the next attempt
    /// resumes.
    #[must_use]
    pub fn resume_tokens(&self) -> &[Arc<str>] {
        &self.tokens
    }

    /// Returns the number of tokens received so far.
    #[must_use]
    pub fn received_tokens(&self) -> u32 {
        // `accept` bounds the length by `max_tokens`, a `u32`.
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Returns the text of the tokens received so far.
    #[must_use]
    pub fn text(&self) -> String {
        self.tokens.concat()
    }
}

#[cfg(test)]
mod tests;
