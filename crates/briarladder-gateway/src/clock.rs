//! The clock of the VM, which also reports for how long it was suspended.

use std::time::{Duration, Instant};

use briarladder_core::clock::{Clock, SystemClock};
use rustix::time::{ClockId, Timespec, clock_gettime};

/// The clock of the VM. Monotonic time excludes suspensions, boot time
/// includes them; their difference is the time spent suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct VmClock;

impl Clock for VmClock {
    fn now(&self) -> Instant {
        SystemClock.now()
    }

    fn unix_time(&self) -> Duration {
        SystemClock.unix_time()
    }

    fn suspended(&self) -> Duration {
        let boot = since_start(clock_gettime(ClockId::Boottime));
        let steady = since_start(clock_gettime(ClockId::Monotonic));
        boot.saturating_sub(steady)
    }
}

fn since_start(time: Timespec) -> Duration {
    Duration::try_from(time).unwrap_or_default()
}
