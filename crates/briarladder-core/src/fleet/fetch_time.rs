//! Estimates how long a backend server takes to fetch the inputs of a request.
//!
//! Results take memory on the servers that produced them until they are
//! released, and that memory limits the throughput of stages. The first sign
//! that a server has fetched its inputs is its response head, which comes only
//! after it has processed the prompt. So the fetch time is estimated from
//! round trips and bandwidth, and the results are released after it. A server
//! that finds an input missing has not run the request: the inputs are
//! produced again and the margin grows.
//!
//! # Example
//!
//! ```
//! use std::{sync::Arc, time::Duration};
//!
//! use briarladder_core::fleet::fetch_time::{FetchTimeEstimator, InputFetch};
//!
//! let near: Arc<str> = Arc::from("a");
//! let mut estimator = FetchTimeEstimator::default();
//! estimator.record_connect_time(&near, Duration::from_millis(2));
//! let fetch = InputFetch {
//!     server_zone: &near,
//!     producer_zones: &[Arc::clone(&near)],
//!     transfer_time: Duration::from_millis(6),
//! };
//! assert!(estimator.estimate(&fetch) < Duration::from_millis(60));
//! ```

use std::{sync::Arc, time::Duration};

use crate::sorted::SortedMap;

/// Round trip assumed for a zone to which no connection was opened yet. It
/// covers two regions of one continent.
const UNKNOWN_ROUND_TRIP: Duration = Duration::from_millis(40);

/// Minimum margin added to the estimate, used while no input was found
/// missing.
const MIN_MARGIN: Duration = Duration::from_millis(20);

/// Maximum margin. Beyond it the response head usually comes first.
const MAX_MARGIN: Duration = Duration::from_secs(1);

/// With each request whose inputs were found, the margin shrinks by its value
/// divided by this.
const MARGIN_DECAY_DIVISOR: u32 = 64;

/// A longer round trip raises the estimate by the excess divided by this,
/// since a connection may also be delayed by a busy process.
const ROUND_TRIP_RISE_DIVISOR: u32 = 16;

/// The inputs that a server has to fetch.
#[derive(Clone, Copy, Debug)]
pub struct InputFetch<'a> {
    /// The zone of the server.
    pub server_zone: &'a str,
    /// The zones of the servers that hold the inputs.
    pub producer_zones: &'a [Arc<str>],
    /// Time to transfer the bytes over the links.
    pub transfer_time: Duration,
}

/// Estimates fetch times from the round trips that a daemon has measured.
#[derive(Clone, Debug)]
pub struct FetchTimeEstimator {
    round_trips: SortedMap<Arc<str>, Duration>,
    margin: Duration,
}

impl Default for FetchTimeEstimator {
    fn default() -> FetchTimeEstimator {
        FetchTimeEstimator {
            round_trips: SortedMap::new(),
            margin: MIN_MARGIN,
        }
    }
}

impl FetchTimeEstimator {
    /// Records how long a new connection to a zone took.
    pub fn record_connect_time(&mut self, zone: &Arc<str>, elapsed: Duration) {
        let known =
            self.round_trips.get_or_insert_with(Arc::clone(zone), || elapsed);
        if elapsed < *known {
            *known = elapsed;
        } else {
            *known += elapsed.saturating_sub(*known) / ROUND_TRIP_RISE_DIVISOR;
        }
    }

    /// Estimates the time from sending a request until its inputs are fetched.
    /// The request may need a new connection. The round trip between two other
    /// zones is at most the sum of the round trips from this daemon's zone to
    /// each.
    #[must_use]
    pub fn estimate(&self, fetch: &InputFetch<'_>) -> Duration {
        let to_server = self.round_trip(fetch.server_zone);
        let to_producer = fetch
            .producer_zones
            .iter()
            .filter(|zone| ***zone != *fetch.server_zone)
            .map(|zone| to_server + self.round_trip(zone))
            .max();
        let request = to_server + to_server / 2;
        let inputs = to_producer.unwrap_or_default() + fetch.transfer_time;
        request + inputs + self.margin
    }

    /// Records that a server found an input missing.
    pub fn record_missing_input(&mut self) {
        self.margin = (self.margin * 2).min(MAX_MARGIN);
    }

    /// Records that a server has fetched its inputs.
    pub fn record_fetched(&mut self) {
        let decrease = self.margin / MARGIN_DECAY_DIVISOR;
        self.margin = self.margin.saturating_sub(decrease).max(MIN_MARGIN);
    }

    fn round_trip(&self, zone: &str) -> Duration {
        self.round_trips.get(zone).copied().unwrap_or(UNKNOWN_ROUND_TRIP)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NEAR: Duration = Duration::from_millis(2);
    const FAR: Duration = Duration::from_millis(42);

    fn estimator() -> (FetchTimeEstimator, Arc<str>, Arc<str>) {
        let (near, far) = (Arc::from("a"), Arc::from("b"));
        let mut estimator = FetchTimeEstimator::default();
        estimator.record_connect_time(&near, NEAR);
        estimator.record_connect_time(&far, FAR);
        (estimator, near, far)
    }

    fn fetch<'a>(
        server: &'a str,
        producers: &'a [Arc<str>],
    ) -> InputFetch<'a> {
        let transfer_time = Duration::from_millis(6);
        InputFetch {
            server_zone: server,
            producer_zones: producers,
            transfer_time,
        }
    }

    /// Guards against results that are released before a server in another
    /// region could fetch them.
    #[test]
    fn estimate_covers_round_trips() {
        let (estimator, near, far) = estimator();
        let producers = [Arc::clone(&near)];
        let far_server = estimator.estimate(&fetch(&far, &producers));
        // Half a round trip to the server, a whole one to the server that
        // holds the input.
        assert!(far_server >= FAR / 2 + FAR + Duration::from_millis(6));
        let producers = [Arc::clone(&near), far];
        let far_producer = estimator.estimate(&fetch(&near, &producers));
        assert!(far_producer >= NEAR / 2 + FAR + Duration::from_millis(6));
    }

    /// Guards against results that are held for the time of a fetch from
    /// another region although all servers are near.
    #[test]
    fn estimate_near_is_short() {
        let (estimator, near, _) = estimator();
        let producers = [Arc::clone(&near)];
        let estimate = estimator.estimate(&fetch(&near, &producers));
        assert!(estimate < Duration::from_millis(40), "{estimate:?}");
    }

    /// Guards against a daemon that keeps releasing results too early, and
    /// against one that keeps releasing them too late after a temporary
    /// disturbance.
    #[test]
    fn margin_grows_and_shrinks() {
        let (mut estimator, near, _) = estimator();
        let producers = [Arc::clone(&near)];
        let first = estimator.estimate(&fetch(&near, &producers));
        for _ in 0..4 {
            estimator.record_missing_input();
        }
        let grown = estimator.estimate(&fetch(&near, &producers));
        assert!(grown >= first + MIN_MARGIN * 15);
        for _ in 0..400 {
            estimator.record_fetched();
        }
        assert_eq!(estimator.estimate(&fetch(&near, &producers)), first);
    }

    /// Guards against one slow connection that determines the estimated round
    /// trip.
    #[test]
    fn record_connect_time_outlier() {
        let (mut estimator, near, _) = estimator();
        estimator.record_connect_time(&near, Duration::from_millis(322));
        let producers = [Arc::clone(&near)];
        let estimate = estimator.estimate(&fetch(&near, &producers));
        assert!(estimate < Duration::from_millis(70), "{estimate:?}");
    }
}
