//! A token bucket: a request takes a token, and tokens return at a fixed rate
//! up to a capacity.

use std::time::{Duration, Instant};

/// The rate and capacity of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BucketSize {
    pub(super) rate_per_s: f64,
    pub(super) capacity: f64,
}

impl BucketSize {
    /// Returns the time until a bucket with some tokens has a whole one.
    pub(super) fn wait_for(self, tokens: f64) -> Duration {
        let wait_s = (1.0 - tokens).max(0.0) / self.rate_per_s;
        // A nanosecond more, so that rounding leaves a whole token.
        Duration::from_secs_f64(wait_s) + Duration::from_nanos(1)
    }
}

/// The tokens that are left.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    pub(super) tokens: f64,
    pub(super) refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket with one token.
    pub(super) fn new(now: Instant) -> TokenBucket {
        TokenBucket { tokens: 1.0, refilled_at: now }
    }

    pub(super) fn refill(&mut self, now: Instant, size: BucketSize) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let gained = size.rate_per_s * elapsed.as_secs_f64();
        self.tokens = (self.tokens + gained).min(size.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token and returns whether there was one.
    pub(super) fn take(&mut self) -> bool {
        let taken = self.has_token();
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}
