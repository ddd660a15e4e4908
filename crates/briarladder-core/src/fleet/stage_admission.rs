//! Decides which requests may start their stages, and which are refused.
//!
//! Results of a stage take memory on the servers that produced them until the
//! next stage has fetched them. If every request started its first stage on
//! arrival, a burst would fill that memory with results that wait for the
//! slowest service, where they expire. So requests wait in this queue, where
//! they hold no resources, and start when each service that they need is about
//! to run out of work. Requests that can still meet their target come first,
//! by rank and then by target time; one admission in eight goes to the one of
//! them that has waited longest. Requests that can't meet their deadline are
//! refused at once.
//!
//! # Example
//!
//! ```
//! use std::{sync::Arc, time::{Duration, Instant}};
//!
//! use briarladder_core::fleet::stage_admission::{
//!     QueuedRequest, StageAdmissionQueue, StageDemand, Throughput,
//! };
//!
//! let now = Instant::now();
//! let mut queue = StageAdmissionQueue::default();
//! queue.push(QueuedRequest {
//!     id: 1,
//!     rank: 0,
//!     demand: vec![StageDemand {
//!         service: Arc::from("fetch"),
//!         pieces: 3,
//!         lead_time: Duration::ZERO,
//!     }],
//!     stages_time: Duration::from_millis(200),
//!     target_at: now + Duration::from_secs(1),
//!     deadline: now + Duration::from_secs(4),
//!     arrived_at: now,
//! });
//! let throughput = |_: &str| Throughput {
//!     pieces_per_s: 100.0,
//!     call_time: Duration::from_millis(200),
//! };
//! assert_eq!(queue.admit(now, &throughput).unwrap().id, 1);
//! assert_eq!(queue.admit(now, &throughput), None);
//! ```

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use derive_more::Display;

use crate::sorted::SortedMap;

/// How much work is started for a service beyond the calls in progress, as
/// processing time. It covers the time until the pieces of a new request
/// arrive, so that servers don't idle.
const STARTED_AHEAD: Duration = Duration::from_millis(400);

/// Requests without time to wait may start this much earlier.
const NO_SLACK_AHEAD: Duration = Duration::from_millis(300);

/// At most one admission in this many is a head start, so that requests
/// without time to wait don't starve the others: while more of them arrive
/// than a service can process, the backlog never falls to the level at which
/// the others start.
const HEAD_START_INTERVAL: u32 = 3;

/// Head starts that a quiet time may save up for a burst.
const MAX_SAVED_HEAD_STARTS: u32 = 4;

/// A request has no time to wait if it arrived less than this many times its
/// own processing time before its target.
const NO_SLACK_FACTOR: u32 = 2;

/// One admission in this many goes to the request that has waited longest, so
/// that a flood of a more urgent rank doesn't starve others.
const OLDEST_ADMISSION_INTERVAL: u32 = 8;

/// The expected wait of a request that misses its target is multiplied by
/// this, since newer requests that can still be on time go first.
const LATE_WAIT_FACTOR: u32 = 3;

/// Weight of the newest request in the moving averages of [`DurationRatio`].
const RATIO_SMOOTHING: f64 = 0.1;

/// Number of mean deviations added to the mean to predict how long a request
/// takes. Among requests of equal rank, those that would then miss their
/// target go behind the others: if each started at the last possible moment by
/// the mean, half of them would be late.
const RATIO_DEVIATIONS: f64 = 2.0;

/// The throughput of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throughput {
    /// Pieces per second that all its servers process with full calls.
    pub pieces_per_s: f64,
    /// Time of a full call.
    pub call_time: Duration,
}

impl Throughput {
    fn time_for(&self, pieces: f64) -> Duration {
        let seconds = pieces / self.pieces_per_s;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// The pieces that a request needs from a service.
#[derive(Clone, Debug, PartialEq)]
pub struct StageDemand {
    /// The service.
    pub service: Arc<str>,
    /// The pieces.
    pub pieces: u32,
    /// Time from the start of the request until it needs them.
    pub lead_time: Duration,
}

/// A request that waits to start its stages.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Identifies the request.
    pub id: u64,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// The pieces that its stages need.
    pub demand: Vec<StageDemand>,
    /// Expected time of its stages once it starts.
    pub stages_time: Duration,
    /// When its stages should be done so that it meets its target.
    pub target_at: Instant,
    /// When its stages are of no use any more.
    pub deadline: Instant,
    /// When it arrived.
    pub arrived_at: Instant,
}

impl QueuedRequest {
    /// Returns whether the request would miss its target if it started now.
    fn misses_target(&self, now: Instant) -> bool {
        now + self.stages_time > self.target_at
    }

    /// Returns whether the request would miss its target if it started now and
    /// took as much longer than expected as others have. Its expected time
    /// leaves out the waits between its stages, which grow with the load.
    fn is_expected_late(
        &self,
        now: Instant,
        duration_ratio: DurationRatio,
    ) -> bool {
        now + duration_ratio.mean_time(self.stages_time) > self.target_at
    }

    /// Returns whether the request is likely to miss its target if it starts
    /// now, given how much longer than expected requests have taken.
    fn is_likely_late(
        &self,
        now: Instant,
        duration_ratio: DurationRatio,
    ) -> bool {
        now + duration_ratio.upper_bound(self.stages_time) > self.target_at
    }

    /// Returns whether the request has no time to wait, though it can still
    /// meet its target.
    fn has_no_slack(&self, now: Instant) -> bool {
        let needed = self.stages_time * NO_SLACK_FACTOR;
        self.arrived_at + needed > self.target_at && !self.misses_target(now)
    }
}

/// Moving mean and mean deviation of the time that requests take from their
/// start, relative to the expected time.
#[derive(Clone, Copy, Debug)]
struct DurationRatio {
    mean: f64,
    deviation: f64,
}

impl Default for DurationRatio {
    fn default() -> DurationRatio {
        DurationRatio { mean: 1.0, deviation: 0.0 }
    }
}

impl DurationRatio {
    fn observe(&mut self, expected: Duration, elapsed: Duration) {
        let ratio = elapsed.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let difference = (ratio - self.mean).abs();
        self.mean += (ratio - self.mean) * RATIO_SMOOTHING;
        self.deviation += (difference - self.deviation) * RATIO_SMOOTHING;
    }

    /// Returns the time that a request takes on average, at least the expected
    /// time.
    fn mean_time(self, expected: Duration) -> Duration {
        expected.mul_f64(self.mean.max(1.0))
    }

    /// Returns a time that a request rarely exceeds.
    fn upper_bound(self, expected: Duration) -> Duration {
        expected.mul_f64(self.mean + self.deviation * RATIO_DEVIATIONS)
    }
}

/// Why a request starts before the others that wait.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AdmissionTurn {
    /// It is the first in order that may start.
    #[display("in_order")]
    InOrder,
    /// It has waited longest, and it is the turn of such a request.
    #[display("oldest")]
    Oldest,
    /// It has no time to wait, and starts although the backlog of a service
    /// stops requests that have.
    #[display("head_start")]
    HeadStart,
}

/// A request that starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admission {
    /// The request.
    pub id: u64,
    /// Why it starts before the others.
    pub turn: AdmissionTurn,
}

/// A request that is refused because it can't meet its deadline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedRequest {
    /// The request.
    pub id: u64,
    /// How long it would have waited to start.
    pub wait: Duration,
    /// The service with the longest wait among those that it needs.
    pub service: Option<Arc<str>>,
}

/// The unfinished pieces of a service that belong to requests that have
/// started.
#[derive(Clone, Copy, Debug, Default)]
struct StartedWork {
    pieces: f64,
    /// Sum of the lead times of all pieces, in seconds.
    lead_times_s: f64,
}

impl StartedWork {
    fn add(&mut self, pieces: u32, lead_time: Duration) {
        self.pieces += f64::from(pieces);
        self.lead_times_s += f64::from(pieces) * lead_time.as_secs_f64();
    }

    fn remove(&mut self, pieces: u32, lead_time: Duration) {
        self.pieces = (self.pieces - f64::from(pieces)).max(0.0);
        let lead_times_s = f64::from(pieces) * lead_time.as_secs_f64();
        self.lead_times_s = (self.lead_times_s - lead_times_s).max(0.0);
    }

    /// Returns the processing time that started work may add up to: the mean
    /// lead time of its pieces, one call in progress, and [`STARTED_AHEAD`].
    fn allowed_backlog(&self, throughput: &Throughput) -> Duration {
        let lead_s = self.lead_times_s / self.pieces.max(1.0);
        throughput.call_time + STARTED_AHEAD + Duration::from_secs_f64(lead_s)
    }

    /// Returns the time until a request may start behind `ahead` further
    /// pieces.
    fn wait(&self, throughput: &Throughput, ahead: f64) -> Duration {
        throughput
            .time_for(self.pieces + ahead)
            .saturating_sub(self.allowed_backlog(throughput))
    }
}

/// Limits head starts to a part of all admissions.
#[derive(Clone, Copy, Debug)]
struct HeadStartBudget {
    /// Admissions since the last head starts, up to a limit.
    saved_admissions: u32,
}

impl HeadStartBudget {
    const MAX_ADMISSIONS: u32 = HEAD_START_INTERVAL * MAX_SAVED_HEAD_STARTS;

    fn allows_head_start(self) -> bool {
        self.saved_admissions >= HEAD_START_INTERVAL
    }

    fn record(&mut self, turn: AdmissionTurn) {
        if turn == AdmissionTurn::HeadStart {
            self.saved_admissions =
                self.saved_admissions.saturating_sub(HEAD_START_INTERVAL);
        }
        self.saved_admissions =
            (self.saved_admissions + 1).min(HeadStartBudget::MAX_ADMISSIONS);
    }
}

impl Default for HeadStartBudget {
    fn default() -> HeadStartBudget {
        HeadStartBudget { saved_admissions: HeadStartBudget::MAX_ADMISSIONS }
    }
}

/// The requests that wait to start their stages.
#[derive(Clone, Debug, Default)]
pub struct StageAdmissionQueue {
    waiting: Vec<QueuedRequest>,
    started: SortedMap<Arc<str>, StartedWork>,
    /// Admissions until it is the turn of the longest wait. The turn stays
    /// due until such a request starts.
    admissions_to_turn: u32,
    head_starts: HeadStartBudget,
    duration_ratio: DurationRatio,
}

impl StageAdmissionQueue {
    /// Adds a request.
    pub fn push(&mut self, request: QueuedRequest) {
        self.waiting.push(request);
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|request| request.id != id);
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

    /// Starts the next request if all services that it needs have capacity.
    /// Its pieces count as started work until
    /// [`StageAdmissionQueue::record_pieces_done`].
    pub fn admit(
        &mut self,
        now: Instant,
        throughput: &impl Fn(&str) -> Throughput,
    ) -> Option<Admission> {
        self.sort(now);
        let take_oldest = self.admissions_to_turn == 0;
        let duration_ratio = self.duration_ratio;
        let oldest = (0..self.waiting.len())
            .min_by_key(|&at| {
                let request = &self.waiting[at];
                let is_late = request.is_expected_late(now, duration_ratio);
                (is_late, request.arrived_at)
            })
            .filter(|_| take_oldest);
        let at = oldest
            .into_iter()
            .chain(0..self.waiting.len())
            .find(|&at| self.may_start(now, &self.waiting[at], throughput))?;
        let turn = if oldest == Some(at) {
            AdmissionTurn::Oldest
        } else if self.has_room(&self.waiting[at], throughput) {
            AdmissionTurn::InOrder
        } else {
            AdmissionTurn::HeadStart
        };
        let request = self.waiting.remove(at);
        self.admissions_to_turn = match turn {
            AdmissionTurn::Oldest => OLDEST_ADMISSION_INTERVAL - 1,
            _ => self.admissions_to_turn.saturating_sub(1),
        };
        self.head_starts.record(turn);
        for StageDemand { service, pieces, lead_time } in &request.demand {
            self.started
                .get_or_insert_with(Arc::clone(service), StartedWork::default)
                .add(*pieces, *lead_time);
        }
        Some(Admission { id: request.id, turn })
    }

    /// Records that pieces of a started request are done, or not needed any
    /// more.
    pub fn record_pieces_done(&mut self, demand: &StageDemand) {
        if let Some(started) = self.started.get_mut(&*demand.service) {
            started.remove(demand.pieces, demand.lead_time);
        }
    }

    /// Records how long the stages of a request took from its start.
    pub fn record_duration(&mut self, expected: Duration, elapsed: Duration) {
        self.duration_ratio.observe(expected, elapsed);
    }

    /// Removes the requests that can't be done before their deadline, given
    /// the backlog ahead of them.
    pub fn shed_infeasible(
        &mut self,
        now: Instant,
        throughput: &impl Fn(&str) -> Throughput,
    ) -> Vec<RefusedRequest> {
        self.sort(now);
        let mut ahead: SortedMap<Arc<str>, f64> = SortedMap::new();
        let mut refused = Vec::new();
        let started = &self.started;
        self.waiting.retain(|request| {
            let (wait, service) =
                longest_wait(started, &ahead, request, throughput);
            let factor =
                if request.misses_target(now) { LATE_WAIT_FACTOR } else { 1 };
            let expected = wait.saturating_mul(factor);
            let end =
                now.checked_add(expected.saturating_add(request.stages_time));
            let infeasible = end.is_none_or(|end| end > request.deadline);
            if infeasible {
                let id = request.id;
                refused.push(RefusedRequest { id, wait, service });
            } else {
                for StageDemand { service, pieces, .. } in &request.demand {
                    *ahead.get_or_insert_with(Arc::clone(service), || 0.0) +=
                        f64::from(*pieces);
                }
            }
            !infeasible
        });
        refused
    }

    /// Returns how long a new request that can meet its target would wait: the
    /// longest wait over all services.
    #[must_use]
    pub fn expected_wait(
        &self,
        now: Instant,
        throughput: &impl Fn(&str) -> Throughput,
    ) -> Duration {
        let mut ahead: SortedMap<&str, f64> = SortedMap::new();
        let on_time =
            self.waiting.iter().filter(|request| !request.misses_target(now));
        for demand in on_time.flat_map(|request| &request.demand) {
            *ahead.get_or_insert_with(&demand.service, || 0.0) +=
                f64::from(demand.pieces);
        }
        self.started
            .iter()
            .map(|(service, started)| {
                let ahead = ahead.get(&**service).copied().unwrap_or(0.0);
                started.wait(&throughput(service), ahead)
            })
            .max()
            .unwrap_or_default()
    }

    /// Returns how long a new request that can meet its target would wait for
    /// one service. It is [`Duration::MAX`] if the service has no server.
    #[must_use]
    pub fn expected_wait_for(
        &self,
        now: Instant,
        service: &str,
        throughput: &Throughput,
    ) -> Duration {
        if throughput.pieces_per_s <= 0.0 {
            return Duration::MAX;
        }
        let on_time =
            self.waiting.iter().filter(|request| !request.misses_target(now));
        let ahead: u32 = on_time
            .flat_map(|request| &request.demand)
            .filter(|demand| *demand.service == *service)
            .map(|demand| demand.pieces)
            .sum();
        let started = self.started.get(service).copied().unwrap_or_default();
        started.wait(throughput, f64::from(ahead))
    }

    fn may_start(
        &self,
        now: Instant,
        request: &QueuedRequest,
        throughput: &impl Fn(&str) -> Throughput,
    ) -> bool {
        let may_start_ahead = self.head_starts.allows_head_start();
        let head_start = if may_start_ahead && request.has_no_slack(now) {
            NO_SLACK_AHEAD
        } else {
            Duration::ZERO
        };
        self.has_room_after(head_start, request, throughput)
    }

    /// Returns whether no service that a request needs has more work than it
    /// may have.
    fn has_room(
        &self,
        request: &QueuedRequest,
        throughput: &impl Fn(&str) -> Throughput,
    ) -> bool {
        self.has_room_after(Duration::ZERO, request, throughput)
    }

    /// Returns whether all services that a request needs have room for it
    /// after a time.
    fn has_room_after(
        &self,
        time: Duration,
        request: &QueuedRequest,
        throughput: &impl Fn(&str) -> Throughput,
    ) -> bool {
        request.demand.iter().all(|demand| {
            self.started.get(&*demand.service).is_none_or(|started| {
                started.wait(&throughput(&demand.service), 0.0) <= time
            })
        })
    }

    fn sort(&mut self, now: Instant) {
        let duration_ratio = self.duration_ratio;
        self.waiting.sort_by_key(|request| {
            (
                request.is_expected_late(now, duration_ratio),
                request.rank,
                !request.has_no_slack(now)
                    && request.is_likely_late(now, duration_ratio),
                request.target_at,
            )
        });
    }
}

/// Returns how long a request waits behind started work and the `ahead` pieces
/// of each service, and the service with the longest wait.
fn longest_wait(
    started: &SortedMap<Arc<str>, StartedWork>,
    ahead: &SortedMap<Arc<str>, f64>,
    request: &QueuedRequest,
    throughput: &impl Fn(&str) -> Throughput,
) -> (Duration, Option<Arc<str>>) {
    request
        .demand
        .iter()
        .map(|StageDemand { service, .. }| {
            let started = started.get(&**service).copied().unwrap_or_default();
            let ahead = ahead.get(&**service).copied().unwrap_or(0.0);
            (started.wait(&throughput(service), ahead), service)
        })
        .max()
        .map_or((Duration::ZERO, None), |(wait, service)| {
            (wait, Some(Arc::clone(service)))
        })
}

#[cfg(test)]
mod tests;
