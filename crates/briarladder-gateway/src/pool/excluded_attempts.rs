//! The attempts that must not use a connection again.
//!
//! A faulty server may send a copy of its answer to an attempt where the next
//! answer on the connection is due. The copy names the attempt, so it can be
//! told from the answer to another attempt, but not from a later answer to the
//! same one. An attempt therefore doesn't return to a connection on which it
//! has failed.

use rapidhash::v3::rapidhash_v3;

/// Attempts that a connection remembers, in 256 bytes. One that is full is
/// closed, since forgetting an attempt would let it return.
const MAX_ATTEMPTS: usize = 32;

/// The hash of an attempt id. Two attempts with the same hash only use one
/// connection less.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct AttemptHash(u64);

impl AttemptHash {
    pub(super) fn of(attempt: &str) -> AttemptHash {
        AttemptHash(rapidhash_v3(attempt.as_bytes()))
    }
}

/// The attempts that have failed on one connection.
#[derive(Debug, Default)]
pub(super) struct ExcludedAttempts {
    hashes: Vec<AttemptHash>,
}

impl ExcludedAttempts {
    /// Adds an attempt.
    pub(super) fn insert(&mut self, attempt: AttemptHash) {
        if !self.contains(attempt) {
            self.hashes.push(attempt);
        }
    }

    /// Returns whether an attempt was added.
    pub(super) fn contains(&self, attempt: AttemptHash) -> bool {
        self.hashes.contains(&attempt)
    }

    /// Returns whether no further attempt can be added.
    pub(super) fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_ATTEMPTS
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an attempt that is forgotten and returns to the
    /// connection on which it failed.
    #[test]
    fn insert_until_full() {
        let mut excluded = ExcludedAttempts::default();
        let mut attempts = Vec::new();
        while !excluded.is_full() {
            let attempt = AttemptHash::of(&format!("a{}", attempts.len()));
            assert!(!excluded.contains(attempt));
            excluded.insert(attempt);
            excluded.insert(attempt);
            attempts.push(attempt);
        }
        assert_eq!(attempts.len(), MAX_ATTEMPTS);
        assert!(attempts.iter().all(|&attempt| excluded.contains(attempt)));
    }
}
