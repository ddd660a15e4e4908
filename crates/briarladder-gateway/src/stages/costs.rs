//! What it counts for to use servers of another zone, as a time.

use std::time::Duration;

use briarladder_core::fleet::placement::Distance;

/// For servers of another region.
const FAR_COST: Duration = Duration::from_millis(80);

/// For servers of another zone of the region.
const REGION_COST: Duration = Duration::from_millis(20);

/// For each megabyte of results that crosses zones.
const CROSSING_COST_PER_MB: Duration = Duration::from_millis(15);

const BYTES_PER_MB: u64 = 1_000_000;

/// Returns what it counts for to make a result of this size elsewhere.
#[must_use]
pub fn crossing_cost(distance: Distance, result_bytes: u64) -> Duration {
    let way = match distance {
        Distance::SameZone => return Duration::ZERO,
        Distance::SameRegion => REGION_COST,
        Distance::OtherRegion => FAR_COST,
    };
    let megabytes = result_bytes / BYTES_PER_MB;
    way + CROSSING_COST_PER_MB * u32::try_from(megabytes).unwrap_or(u32::MAX)
}
