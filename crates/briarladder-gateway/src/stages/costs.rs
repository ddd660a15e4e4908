//! The cost of using servers of another zone, expressed as time.

use std::time::Duration;

use briarladder_core::fleet::placement::Distance;

/// The cost of servers in another region.
const OTHER_REGION_COST: Duration = Duration::from_millis(80);

/// The cost of servers in another zone of the region.
const OTHER_ZONE_COST: Duration = Duration::from_millis(20);

/// The cost of each megabyte of results that crosses zones.
const CROSSING_COST_PER_MB: Duration = Duration::from_millis(15);

const BYTES_PER_MB: u64 = 1_000_000;

/// Returns the cost of producing a result of this size at a distance.
#[must_use]
pub fn cross_zone_cost(distance: Distance, result_bytes: u64) -> Duration {
    let distance_cost = match distance {
        Distance::SameZone => return Duration::ZERO,
        Distance::SameRegion => OTHER_ZONE_COST,
        Distance::OtherRegion => OTHER_REGION_COST,
    };
    let megabytes = result_bytes / BYTES_PER_MB;
    distance_cost
        + CROSSING_COST_PER_MB * u32::try_from(megabytes).unwrap_or(u32::MAX)
}
