//! One retry budget per service, enforced by all daemons without coordination.
//!
//! The fleet as a whole may retry a fixed ratio of the first sends in a
//! sliding window, plus a fixed slack. Each daemon uses the ratio of its own
//! first sends and an equal part of the slack, so the sum over all daemons
//! stays within the budget as long as no daemon underestimates the size of the
//! fleet.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::fleet::budget::{RetryBudget, RetryBudgetConfig};
//!
//! let config = RetryBudgetConfig {
//!     ratio: 0.2,
//!     window: Duration::from_secs(10),
//!     slack: 8.0,
//! };
//! let now = Instant::now();
//! let mut budget = RetryBudget::new(config);
//! // With four daemons, each may use two retries of the slack.
//! assert!(budget.try_spend(now, 4) && budget.try_spend(now, 4));
//! assert!(!budget.try_spend(now, 4));
//! ```

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The part of the ratio that is used. The rest covers sends that cross the
/// edge of a window and daemons that are not known yet.
const USED_FRACTION: f64 = 0.8;

/// The part of the budget that sends beside a running one may use. The rest is
/// kept for requests that have failed.
const EXTRA_SEND_FRACTION: f64 = 0.25;

/// The retry budget of the whole fleet for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries per first send.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries per window in addition to the ratio, over the whole fleet.
    pub slack: f64,
}

/// The share of one daemon in the budget of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    first_sends: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates an unspent budget.
    #[must_use]
    pub fn new(config: RetryBudgetConfig) -> RetryBudget {
        RetryBudget {
            config,
            first_sends: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts the first send of a request.
    pub fn record_first_send(&mut self, now: Instant) {
        self.expire(now);
        self.first_sends.push_back(now);
    }

    /// Takes one retry from the budget and returns whether there was one.
    /// `daemons` is the largest fleet size that this daemon has evidence of.
    #[must_use = "a retry is only allowed if the budget covers it"]
    pub fn try_spend(&mut self, now: Instant, daemons: usize) -> bool {
        self.expire(now);
        let allowed = self.allowed(daemons);
        let spent = to_f64(self.retries.len());
        if spent + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns whether the budget covers a send beside a running one and still
    /// leaves most of it for retries.
    #[must_use]
    pub fn covers_extra_send(&mut self, now: Instant, daemons: usize) -> bool {
        self.expire(now);
        let spent = to_f64(self.retries.len());
        spent + 1.0 <= self.allowed(daemons) * EXTRA_SEND_FRACTION
    }

    fn allowed(&self, daemons: usize) -> f64 {
        let own_slack = self.config.slack / to_f64(daemons.max(1));
        let earned =
            self.config.ratio * to_f64(self.first_sends.len()) * USED_FRACTION;
        earned + own_slack
    }

    fn expire(&mut self, now: Instant) {
        let window = self.config.window;
        for times in [&mut self.first_sends, &mut self.retries] {
            while times
                .front()
                .is_some_and(|&at| now.duration_since(at) > window)
            {
                times.pop_front();
            }
        }
    }
}

#[allow(clippy::cast_precision_loss)] // Counts of one window are small.
fn to_f64(n: usize) -> f64 {
    n as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    const CONFIG: RetryBudgetConfig = RetryBudgetConfig {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 9.0,
    };

    /// Guards against a fleet that exceeds its budget when every request fails
    /// at every daemon.
    #[test]
    fn try_spend_whole_fleet() {
        let start = Instant::now();
        let mut fleet = vec![RetryBudget::new(CONFIG); 9];
        let mut retries = 0;
        for step in 0..900_u64 {
            let now = start + Duration::from_millis(step * 10);
            let daemon = &mut fleet[usize::try_from(step).expect("small") % 9];
            daemon.record_first_send(now);
            if daemon.try_spend(now, 9) {
                retries += 1;
            }
        }
        assert!(retries <= 900 / 5 + 9, "{retries} retries");
        assert!(retries > 100, "{retries} retries");
    }

    /// Guards against extra sends that use up what failed requests need.
    #[test]
    fn covers_extra_send_leaves_retries() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(CONFIG);
        for _ in 0..100 {
            budget.record_first_send(now);
        }
        let mut extra_sends = 0;
        while budget.covers_extra_send(now, 3) {
            assert!(budget.try_spend(now, 3));
            extra_sends += 1;
        }
        let mut retries = 0;
        while budget.try_spend(now, 3) {
            retries += 1;
        }
        assert_eq!((extra_sends, retries), (4, 15));
    }

    /// Guards against a budget that never recovers.
    #[test]
    fn try_spend_after_window() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(CONFIG);
        while budget.try_spend(now, 3) {}
        let later = now + Duration::from_secs(11);
        assert!(budget.try_spend(later, 3));
    }
}
