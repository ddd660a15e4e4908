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
        let boot = to_duration(clock_gettime(ClockId::Boottime));
        let monotonic = to_duration(clock_gettime(ClockId::Monotonic));
        boot.saturating_sub(monotonic)
    }
}

fn to_duration(time: Timespec) -> Duration {
    Duration::try_from(time).unwrap_or_default()
}
