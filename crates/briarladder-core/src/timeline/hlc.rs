//! The hybrid logical clock.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The maximum time by which a remote timestamp may be ahead of the local wall
/// clock. Without this limit, one VM with a wrong clock would advance the
/// timestamps of the whole fleet.
pub const MAX_DRIFT: Duration = Duration::from_secs(10);

/// A timestamp of a hybrid logical clock. Timestamps are ordered by
/// wall-clock time, then by counter.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{}.{:03}+{counter}", unix_ms / 1_000, unix_ms % 1_000)]
pub struct HlcTimestamp {
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Orders events within the same millisecond.
    pub counter: u32,
}

impl HlcTimestamp {
    /// Returns the next greater timestamp.
    fn successor(self) -> HlcTimestamp {
        match self.counter.checked_add(1) {
            Some(counter) => HlcTimestamp { counter, ..self },
            None => HlcTimestamp {
                unix_ms: self.unix_ms.saturating_add(1),
                counter: 0,
            },
        }
    }
}

/// The error for a remote timestamp that is too far ahead of the local wall
/// clock.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display(
    "the remote clock is {ahead_ms} ms ahead, more than {} ms; \
     synchronise the clocks of both VMs",
    MAX_DRIFT.as_millis()
)]
pub struct DriftError {
    /// How far the remote timestamp is ahead, in milliseconds.
    pub ahead_ms: u64,
}

/// The hybrid logical clock of one process. Its timestamps always increase,
/// even if the wall clock is set back.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hlc {
    last: HlcTimestamp,
}

impl Hlc {
    /// Creates a clock that has issued no timestamps.
    #[must_use]
    pub fn new() -> Hlc {
        Hlc::default()
    }

    /// Returns a timestamp for a local event or for a message to send. `unix`
    /// is the wall-clock time since the Unix epoch.
    pub fn tick(&mut self, unix: Duration) -> HlcTimestamp {
        let wall = HlcTimestamp { unix_ms: millis(unix), counter: 0 };
        self.last = wall.max(self.last.successor());
        self.last
    }

    /// Returns a timestamp for a received message, greater than the `remote`
    /// timestamp that it contains.
    ///
    /// # Errors
    ///
    /// Returns an error and leaves the clock unchanged if `remote` is ahead
    /// of `unix` by more than [`MAX_DRIFT`]. The caller then uses a timestamp
    /// from [`Hlc::tick`] instead.
    pub fn observe(
        &mut self,
        remote: HlcTimestamp,
        unix: Duration,
    ) -> Result<HlcTimestamp, DriftError> {
        let ahead_ms = remote.unix_ms.saturating_sub(millis(unix));
        if u128::from(ahead_ms) > MAX_DRIFT.as_millis() {
            return Err(DriftError { ahead_ms });
        }
        self.last = self.last.max(remote);
        Ok(self.tick(unix))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn at(unix_ms: u64) -> Duration {
        Duration::from_millis(unix_ms)
    }

    /// Guards against timestamps that repeat or decrease when the wall clock
    /// is set back, or when the counter overflows.
    #[test]
    fn tick_always_increases() {
        let mut clock = Hlc::new();
        let first = clock.tick(at(100));
        let second = clock.tick(at(50));
        assert_eq!(second, HlcTimestamp { unix_ms: 100, counter: 1 });
        assert!(first < second);
        clock.last.counter = u32::MAX;
        assert!(clock.tick(at(100)) > HlcTimestamp { counter: 9, ..second });
    }

    /// Guards against an effect that is ordered before its cause on a VM whose
    /// wall clock is behind.
    #[test]
    fn observe_follows_remote() {
        let remote = HlcTimestamp { unix_ms: 5_000, counter: 3 };
        let stamp = Hlc::new().observe(remote, at(100)).unwrap();
        assert_eq!(stamp, HlcTimestamp { counter: 4, ..remote });
    }

    /// Guards against one wrong clock that advances the clocks of all others.
    #[test]
    fn observe_rejects_drift() {
        let mut clock = Hlc::new();
        let remote = HlcTimestamp { unix_ms: 10_101, counter: 0 };
        let error = clock.observe(remote, at(100)).unwrap_err();
        assert_eq!(error, DriftError { ahead_ms: 10_001 });
        assert_eq!(clock.tick(at(100)).unix_ms, 100);
        assert!(clock.observe(remote, at(101)).is_ok());
    }
}
