//! The [`Clock`] trait, which lets tests control time.
//!
//! Decision code takes an [`Instant`] as an argument; controllers read it
//! from a [`Clock`].
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use briarladder_core::clock::{Clock, FakeClock};
//!
//! let clock = FakeClock::new();
//! let start = clock.now();
//! clock.advance(Duration::from_millis(5));
//! assert_eq!(clock.now() - start, Duration::from_millis(5));
//! ```

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync + std::fmt::Debug {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time since the Unix epoch.
    fn unix_time(&self) -> Duration;

    /// Returns how long the VM has been suspended since it booted; zero if
    /// the clock does not measure this.
    fn suspended(&self) -> Duration {
        Duration::ZERO
    }
}

/// A clock shared by all components of a process.
pub type SharedClock = Arc<dyn Clock>;

/// A clock that reads the operating system's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_time(&self) -> Duration {
        // A wall clock set before 1970 reads as 1970. That is harmless:
        // wall-clock time labels events, and no safety decision uses it.
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

/// A clock for tests that moves only when [`FakeClock::advance`] is called.
#[derive(Debug)]
pub struct FakeClock {
    base: Instant,
    offset_ns: AtomicU64,
}

impl FakeClock {
    /// Creates a clock that is stopped at an arbitrary instant.
    #[must_use]
    pub fn new() -> FakeClock {
        FakeClock { base: Instant::now(), offset_ns: AtomicU64::new(0) }
    }

    /// Moves the clock forward.
    ///
    /// # Panics
    ///
    /// Panics if `by` is longer than 584 years.
    pub fn advance(&self, by: Duration) {
        let by_ns = u64::try_from(by.as_nanos()).expect("under 584 years");
        self.offset_ns.fetch_add(by_ns, Ordering::SeqCst);
    }

    fn offset(&self) -> Duration {
        Duration::from_nanos(self.offset_ns.load(Ordering::SeqCst))
    }
}

impl Default for FakeClock {
    fn default() -> FakeClock {
        FakeClock::new()
    }
}

impl Clock for FakeClock {
    fn now(&self) -> Instant {
        self.base + self.offset()
    }

    fn unix_time(&self) -> Duration {
        Duration::from_secs(1_700_000_000) + self.offset()
    }
}
