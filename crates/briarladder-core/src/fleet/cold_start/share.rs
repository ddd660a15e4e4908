//! One daemon's part of what a cold server tolerates.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    fleet::{
        config::ColdStartSpec,
        placement::Distance,
        token_bucket::{BucketSize, TokenBucket},
    },
    rendezvous,
};

use super::{ColdCallers, ColdStartBound};

/// The window in which the requests to a cold server are counted.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of daemons that send to a cold server.
const MAX_HOLDERS: u32 = 4;

/// The sets of holders that may send at the same time, because daemons know
/// different members.
const CONCURRENT_SETS: f64 = 2.0;

/// The holders are as many as still use this part of what a server tolerates.
const MIN_USED_FRACTION: f64 = 0.6;

/// The rate of a holder, as a part of the one that would use all of its
/// requests in a window. The rest covers requests that leave a daemon closer
/// together than they were admitted.
const RATE_MARGIN: f64 = 0.9;

/// What all daemons together may send to a cold server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// How long a server is cold after its start.
    pub duration: Duration,
    requests_per_s: f64,
    max_in_window: f64,
}

impl ColdLimit {
    /// Creates the limit of the servers of a service. `None` if the service
    /// names no number of requests.
    #[must_use]
    pub fn new(
        spec: ColdStartSpec,
        bound: ColdStartBound,
    ) -> Option<ColdLimit> {
        let ColdStartSpec { duration, requests_per_s } = spec;
        let ColdStartBound { overage, slack } = bound;
        (requests_per_s > 0.0).then_some(ColdLimit {
            duration,
            requests_per_s,
            max_in_window: requests_per_s * overage + slack,
        })
    }

    /// Returns the bucket of each of some holders; `None` if not even one
    /// request of each fits into the window.
    fn bucket_size(self, holders: u32) -> Option<BucketSize> {
        let holders = f64::from(holders.max(1));
        let in_window = self.max_in_window / (CONCURRENT_SETS * holders);
        let most = in_window.floor() * RATE_MARGIN;
        let rate_per_s = most.min(self.requests_per_s / holders);
        (rate_per_s > 0.0).then_some(BucketSize { rate_per_s, capacity: 1.0 })
    }

    /// Returns the requests a second of some holders together.
    fn used_per_s(self, holders: u32) -> f64 {
        let size = self.bucket_size(holders);
        size.map_or(0.0, |size| size.rate_per_s * f64::from(holders))
    }

    /// Returns the number of daemons that send to a cold server.
    fn holder_count(self, callers: usize) -> u32 {
        let callers = u32::try_from(callers).unwrap_or(u32::MAX);
        let least = MIN_USED_FRACTION * self.requests_per_s;
        let counts = 1..=MAX_HOLDERS.min(callers);
        let enough = |&count: &u32| self.used_per_s(count) >= least;
        counts.rev().find(enough).unwrap_or(1)
    }
}

/// Whether this daemon is a holder, as of one list of members.
#[derive(Clone, Copy, Debug)]
struct Holding {
    version: u64,
    is_holder: bool,
    /// From when on it may send.
    sends_from: Instant,
}

/// This daemon's part of what one cold server tolerates.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Share {
    bucket: Option<TokenBucket>,
    holding: Option<Holding>,
}

impl Share {
    /// Returns when this daemon has its next place; `None` if it isn't a
    /// holder.
    pub(super) fn next_place_at(
        &mut self,
        now: Instant,
        server: &ColdTarget<'_>,
        callers: &ColdCallers,
    ) -> Option<Instant> {
        let size = server.bucket_size(callers)?;
        let holding = self.holding(now, server, callers);
        if !holding.is_holder {
            return None;
        }
        let at = holding.sends_from.max(now);
        let mut bucket = self.bucket.unwrap_or(TokenBucket::new(at));
        bucket.refill(at, size);
        Some(if bucket.has_token() {
            at
        } else {
            at + size.wait_for(bucket.tokens)
        })
    }

    /// Takes a place and returns whether there was one.
    pub(super) fn take(
        &mut self,
        now: Instant,
        server: &ColdTarget<'_>,
        callers: &ColdCallers,
    ) -> bool {
        let Some(size) = server.bucket_size(callers) else {
            return false;
        };
        let holding = self.holding(now, server, callers);
        if !holding.is_holder || holding.sends_from > now {
            return false;
        }
        let bucket = self.bucket.get_or_insert(TokenBucket::new(now));
        bucket.refill(now, size);
        bucket.take()
    }

    /// Returns whether this daemon is a holder. One that becomes a holder
    /// while the server is cold waits for a window, so that the requests of
    /// the daemon before it are no longer counted.
    fn holding(
        &mut self,
        now: Instant,
        server: &ColdTarget<'_>,
        callers: &ColdCallers,
    ) -> Holding {
        if let Some(holding) = self.holding
            && holding.version == callers.version
        {
            return holding;
        }
        let is_holder = holders(server, callers).contains(&&callers.local);
        let sends_from = match self.holding {
            Some(before) if !before.is_holder => now + WINDOW,
            Some(before) => before.sends_from,
            None => now,
        };
        let version = callers.version;
        *self.holding.insert(Holding { version, is_holder, sends_from })
    }
}

/// A cold server, as far as its holders depend on it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdTarget<'a> {
    pub(super) name: &'a str,
    pub(super) zone: &'a str,
    pub(super) born_ms: u64,
    pub(super) limit: ColdLimit,
}

impl ColdTarget<'_> {
    /// Returns the bucket of each of its holders.
    fn bucket_size(&self, callers: &ColdCallers) -> Option<BucketSize> {
        let holders = self.limit.holder_count(callers.members.len());
        self.limit.bucket_size(holders)
    }
}

/// Returns the daemons that send to a cold server: the first ones in
/// rendezvous order of its process among the nearest to it.
pub(super) fn holders<'a>(
    server: &ColdTarget<'_>,
    callers: &'a ColdCallers,
) -> Vec<&'a Arc<str>> {
    let count = server.limit.holder_count(callers.members.len());
    let count = usize::try_from(count).unwrap_or(usize::MAX);
    let key = format!("{}/{}", server.name, server.born_ms);
    let mut holders: Vec<&Arc<str>> = Vec::with_capacity(count);
    let distances =
        [Distance::SameZone, Distance::SameRegion, Distance::OtherRegion];
    for distance in distances {
        let left = count - holders.len();
        if left == 0 {
            break;
        }
        let at_distance = callers
            .members
            .iter()
            .filter(|member| {
                callers.regions.distance(server.zone, &member.zone) == distance
            })
            .map(|member| &member.name);
        holders.extend(rendezvous::top(&key, at_distance, left));
    }
    holders
}
