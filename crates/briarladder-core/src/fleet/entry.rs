//! Which requests may begin their stages, and which are refused.
//!
//! Results of a stage take room at their makers until the next stage has
//! fetched them. If every request began its first stage at once, a burst
//! would fill that room with work that waits for the slowest service, and
//! results would expire while they wait. So requests wait here, where they
//! hold nothing, and begin when each service on their way is about to run out
//! of work. The order is decided here too: first what can still meet its
//! target, by rank and time; one request in eight is the one that has waited
//! longest. What can't be done in its time is refused at once.
//!
//! # Example
//!
//! ```
//! use std::{sync::Arc, time::{Duration, Instant}};
//!
//! use briarladder_core::fleet::entry::{
//!     Demand, Entry, EntryQueue, Throughput,
//! };
//!
//! let now = Instant::now();
//! let mut queue = EntryQueue::default();
//! queue.push(Entry {
//!     id: 1,
//!     rank: 0,
//!     demand: vec![Demand {
//!         service: Arc::from("fetch"),
//!         pieces: 3,
//!         lead: Duration::ZERO,
//!     }],
//!     time: Duration::from_millis(200),
//!     target: now + Duration::from_secs(1),
//!     deadline: now + Duration::from_secs(4),
//!     arrived: now,
//! });
//! let throughput = |_: &str| Throughput {
//!     pieces_per_s: 100.0,
//!     call: Duration::from_millis(200),
//! };
//! assert_eq!(queue.admit(now, &throughput), Some(1));
//! assert_eq!(queue.admit(now, &throughput), None);
//! ```

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::SortedMap;

/// The work that is begun for a service beyond what its servers work on, as
/// the time that it takes. It covers the time until a new request's pieces
/// arrive, so that servers never idle.
const BEGUN_AHEAD: Duration = Duration::from_millis(400);

/// Requests that have no time to wait may begin this much sooner.
const TIGHT_AHEAD: Duration = Duration::from_millis(300);

/// A request has no time to wait if it came less than this many times its own
/// time before its target.
const TIGHT_TIMES: u32 = 2;

/// One admission in this many goes to the request that has waited longest, so
/// that a flood of a more urgent rank starves no other.
const FLOOR_ONE_IN: u32 = 8;

/// The wait of a request that misses its target counts this many times, since
/// newer requests that can be on time go first.
const LATE_WAIT_FACTOR: u32 = 3;

/// The weight of the newest request in the pace.
const PACE_SMOOTHING: f64 = 0.1;

/// The deviations from the mean pace that a request is given. Of equal rank,
/// those that may well end late go behind the others: if each began as the
/// last one in time, half of them would end late.
const PACE_DEVIATIONS: f64 = 2.0;

/// What a service can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throughput {
    /// Pieces that all its servers make in a second with full calls.
    pub pieces_per_s: f64,
    /// The time of a full call.
    pub call: Duration,
}

impl Throughput {
    fn time_for(&self, pieces: f64) -> Duration {
        let seconds = pieces / self.pieces_per_s;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// The pieces that a request needs of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The service.
    pub service: Arc<str>,
    /// The pieces.
    pub pieces: u32,
    /// The time from the beginning of the request until they are asked for.
    pub lead: Duration,
}

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Identifies the request.
    pub id: u64,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// What its stages need.
    pub demand: Vec<Demand>,
    /// The time that its stages take once it begins.
    pub time: Duration,
    /// When its stages should be done so that it meets its target.
    pub target: Instant,
    /// When its stages are of no use any more.
    pub deadline: Instant,
    /// When it came.
    pub arrived: Instant,
}

impl Entry {
    /// Returns whether a request that begins now ends late.
    fn misses_target(&self, now: Instant) -> bool {
        now + self.time > self.target
    }

    /// Returns whether a request that begins now may well end late.
    fn is_at_risk(&self, now: Instant, pace: Pace) -> bool {
        now + pace.longest(self.time) > self.target
    }

    /// Returns whether a request has no time to wait, though it came in
    /// time.
    fn is_tight(&self, now: Instant) -> bool {
        let loaded = self.time * TIGHT_TIMES;
        self.arrived + loaded > self.target && !self.misses_target(now)
    }
}

/// The time that requests take from their beginning, as a multiple of what
/// is expected.
#[derive(Clone, Copy, Debug)]
struct Pace {
    mean: f64,
    deviation: f64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { mean: 1.0, deviation: 0.0 }
    }
}

impl Pace {
    fn observe(&mut self, expected: Duration, took: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let off = (ratio - self.mean).abs();
        self.mean += (ratio - self.mean) * PACE_SMOOTHING;
        self.deviation += (off - self.deviation) * PACE_SMOOTHING;
    }

    /// Returns the time that a request rarely exceeds.
    fn longest(self, expected: Duration) -> Duration {
        expected.mul_f64(self.mean + self.deviation * PACE_DEVIATIONS)
    }
}

/// A request that is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// The request.
    pub id: u64,
    /// The wait until it would have begun.
    pub wait: Duration,
}

/// The pieces of requests that have begun and that are not made yet.
#[derive(Clone, Copy, Debug, Default)]
struct Begun {
    pieces: f64,
    /// The sum of the leads of all pieces, in seconds.
    leads_s: f64,
}

impl Begun {
    fn add(&mut self, pieces: u32, lead: Duration) {
        self.pieces += f64::from(pieces);
        self.leads_s += f64::from(pieces) * lead.as_secs_f64();
    }

    fn remove(&mut self, pieces: u32, lead: Duration) {
        self.pieces = (self.pieces - f64::from(pieces)).max(0.0);
        let leads_s = f64::from(pieces) * lead.as_secs_f64();
        self.leads_s = (self.leads_s - leads_s).max(0.0);
    }

    /// Returns the time that the begun work may take: the time until its
    /// pieces are asked for, a call that is worked on, and some ahead.
    fn allowance(&self, throughput: &Throughput) -> Duration {
        let lead_s = self.leads_s / self.pieces.max(1.0);
        throughput.call + BEGUN_AHEAD + Duration::from_secs_f64(lead_s)
    }

    /// Returns the time until a request may begin behind `ahead` further
    /// pieces.
    fn wait(&self, throughput: &Throughput, ahead: f64) -> Duration {
        throughput
            .time_for(self.pieces + ahead)
            .saturating_sub(self.allowance(throughput))
    }
}

/// The requests that wait to begin their stages.
#[derive(Clone, Debug, Default)]
pub struct EntryQueue {
    waiting: Vec<Entry>,
    begun: SortedMap<Arc<str>, Begun>,
    admissions: u32,
    pace: Pace,
}

impl EntryQueue {
    /// Adds a request.
    pub fn push(&mut self, entry: Entry) {
        self.waiting.push(entry);
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|entry| entry.id != id);
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Lets the next request begin, if the services have room for it. Its
    /// pieces count until [`EntryQueue::made`].
    pub fn admit(
        &mut self,
        now: Instant,
        throughput: &impl Fn(&str) -> Throughput,
    ) -> Option<u64> {
        self.sort(now);
        let longest = self.admissions.is_multiple_of(FLOOR_ONE_IN);
        let first = (0..self.waiting.len())
            .min_by_key(|&at| self.waiting[at].arrived)
            .filter(|_| longest);
        let at = first
            .into_iter()
            .chain(0..self.waiting.len())
            .find(|&at| self.may_begin(now, &self.waiting[at], throughput))?;
        let entry = self.waiting.remove(at);
        self.admissions = self.admissions.wrapping_add(1);
        for Demand { service, pieces, lead } in &entry.demand {
            self.begun
                .entry_or_insert_with(Arc::clone(service), Begun::default)
                .add(*pieces, *lead);
        }
        Some(entry.id)
    }

    /// Records that pieces of a request that has begun are made, or not
    /// needed any more.
    pub fn made(&mut self, demand: &Demand) {
        if let Some(begun) = self.begun.get_mut(&*demand.service) {
            begun.remove(demand.pieces, demand.lead);
        }
    }

    /// Records how long the stages of a request took from its beginning.
    pub fn finished(&mut self, expected: Duration, took: Duration) {
        self.pace.observe(expected, took);
    }

    /// Takes the requests that can't be done in their time, with all that is
    /// ahead of them.
    pub fn take_hopeless(
        &mut self,
        now: Instant,
        throughput: &impl Fn(&str) -> Throughput,
    ) -> Vec<Refused> {
        self.sort(now);
        let mut ahead: SortedMap<Arc<str>, f64> = SortedMap::new();
        let mut refused = Vec::new();
        let begun = &self.begun;
        self.waiting.retain(|entry| {
            let wait = wait_of(begun, &ahead, entry, throughput);
            let factor =
                if entry.misses_target(now) { LATE_WAIT_FACTOR } else { 1 };
            let expected = wait.saturating_mul(factor);
            let end = now.checked_add(expected.saturating_add(entry.time));
            let hopeless = end.is_none_or(|end| end > entry.deadline);
            if hopeless {
                refused.push(Refused { id: entry.id, wait });
            } else {
                for Demand { service, pieces, .. } in &entry.demand {
                    *ahead
                        .entry_or_insert_with(Arc::clone(service), || 0.0) +=
                        f64::from(*pieces);
                }
            }
            !hopeless
        });
        refused
    }

    /// Returns how long a new request waits that can be on time: the longest
    /// wait over all services.
    #[must_use]
    pub fn expected_wait(
        &self,
        now: Instant,
        throughput: &impl Fn(&str) -> Throughput,
    ) -> Duration {
        let mut ahead: SortedMap<&str, f64> = SortedMap::new();
        let on_time =
            self.waiting.iter().filter(|entry| !entry.misses_target(now));
        for demand in on_time.flat_map(|entry| &entry.demand) {
            *ahead.entry_or_insert_with(&demand.service, || 0.0) +=
                f64::from(demand.pieces);
        }
        self.begun
            .iter()
            .map(|(service, begun)| {
                let ahead = ahead.get(&**service).copied().unwrap_or(0.0);
                begun.wait(&throughput(service), ahead)
            })
            .max()
            .unwrap_or_default()
    }

    fn may_begin(
        &self,
        now: Instant,
        entry: &Entry,
        throughput: &impl Fn(&str) -> Throughput,
    ) -> bool {
        let sooner =
            if entry.is_tight(now) { TIGHT_AHEAD } else { Duration::ZERO };
        entry.demand.iter().all(|demand| {
            self.begun.get(&*demand.service).is_none_or(|begun| {
                begun.wait(&throughput(&demand.service), 0.0) <= sooner
            })
        })
    }

    fn sort(&mut self, now: Instant) {
        let pace = self.pace;
        self.waiting.sort_by_key(|entry| {
            (
                entry.misses_target(now),
                entry.rank,
                !entry.is_tight(now) && entry.is_at_risk(now, pace),
                entry.target,
            )
        });
    }
}

/// Returns how long a request waits behind begun work and those ahead.
fn wait_of(
    begun: &SortedMap<Arc<str>, Begun>,
    ahead: &SortedMap<Arc<str>, f64>,
    entry: &Entry,
    throughput: &impl Fn(&str) -> Throughput,
) -> Duration {
    entry
        .demand
        .iter()
        .map(|Demand { service, .. }| {
            let begun = begun.get(&**service).copied().unwrap_or_default();
            let ahead = ahead.get(&**service).copied().unwrap_or(0.0);
            begun.wait(&throughput(service), ahead)
        })
        .max()
        .unwrap_or_default()
}

#[cfg(test)]
mod tests;
