//! Batches pieces of many requests into calls.
//!
//! A stage of a request consists of pieces, each of which gives one result. A
//! call carries several pieces; it has a fixed overhead and a small cost for
//! each piece, and a server runs few calls at once. While a server is idle, a
//! piece is sent at once. While all are busy, pieces queue up and fill the
//! next call. So calls are small at low load and full at high load, without a
//! batching timer.
//!
//! Pieces that can still meet their target come first, ordered by rank and
//! then by due time. Under overload, ordering by time alone would serve each
//! piece just as it becomes late. A part of each call is reserved for the
//! pieces that are due first, whatever their rank, to prevent starvation. A
//! piece that can't be processed before its deadline, given the backlog ahead
//! of it, is shed at once.
//!
//! A group is split over two calls only to fill the first one. Its remainder
//! goes first in the next call, for which it would have waited anyway.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::fleet::{
//!     batching::{PieceQueue, QueuedPiece, ZoneAffinity},
//!     config::PieceServerSpec,
//! };
//!
//! let spec = PieceServerSpec {
//!     slots: 1,
//!     max_batch: 8,
//!     call_overhead: Duration::from_millis(150),
//!     time_per_piece: Duration::from_millis(16),
//!     result_capacity_bytes: 1_000_000,
//!     result_lifetime: Duration::from_secs(4),
//!     link_bytes_per_ms: 1_250_000,
//! };
//! let now = Instant::now();
//! let mut queue = PieceQueue::new(spec);
//! queue.set_servers([("server-1".into(), "zone-a".into())]);
//! for id in 0..3 {
//!     queue.push(QueuedPiece {
//!         id,
//!         group: 0,
//!         rank: 0,
//!         pieces_done: 0,
//!         affinity: ZoneAffinity::Strong("zone-a".into()),
//!         due: now + Duration::from_secs(1),
//!         deadline: now + Duration::from_secs(5),
//!         result_bytes: 1000,
//!         cross_zone_bytes: 1000,
//!         input_producers: [].into(),
//!         avoid: None,
//!     });
//! }
//! assert_eq!(queue.next_call(now).unwrap().ids, [0, 1, 2]);
//! ```

use std::{
    cmp::Reverse,
    sync::Arc,
    time::{Duration, Instant},
};

use derive_more::Display;

use crate::sorted::{SortedMap, SortedSet};

use super::{
    config::PieceServerSpec, server_speed::ServerLoad,
    stage_admission::Throughput,
};

mod batch_selection;
mod tracked_server;

use self::tracked_server::{HeldResult, TrackedServer};

/// The expected wait of a piece that misses its target is multiplied by this,
/// since newer pieces that can still be on time go first. It doesn't apply if
/// the request has results already.
const LATE_WAIT_FACTOR: u32 = 3;

/// How long a server gets no calls after it lacked memory although its known
/// results fit. It still holds results of an earlier coordinator.
const UNKNOWN_RESULTS_PAUSE: Duration = Duration::from_millis(350);

/// The smallest part of a server that all servers together count as, so that
/// a wait is finite although they take almost no calls.
const MIN_SHARE: f64 = 0.01;

/// Weight of the newest call in the moving average of batch sizes under
/// backlog.
const BATCH_SMOOTHING: f64 = 0.1;

/// The zone in which a piece should be processed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ZoneAffinity {
    /// This zone; large results should not leave it.
    Strong(Arc<str>),
    /// Preferably this zone, but the request can run wherever the results are.
    Weak(Arc<str>),
}

impl ZoneAffinity {
    /// Returns the zone.
    #[must_use]
    pub fn zone(&self) -> &Arc<str> {
        match self {
            ZoneAffinity::Strong(zone) | ZoneAffinity::Weak(zone) => zone,
        }
    }
}

/// A piece that waits for a call.
#[derive(Clone, Debug)]
pub struct QueuedPiece {
    /// Identifies the piece within the queue.
    pub id: u64,
    /// Identifies its request and stage. The pieces of a group are only useful
    /// together.
    pub group: u64,
    /// The rank of its request; 0 is the most urgent.
    pub rank: u8,
    /// The number of pieces of its request that are done. Their results take
    /// memory, and are wasted if the rest comes too late.
    pub pieces_done: u32,
    /// The zone in which it should be processed.
    pub affinity: ZoneAffinity,
    /// When the piece must be done so that its request meets its target.
    pub due: Instant,
    /// When the piece is of no use any more.
    pub deadline: Instant,
    /// Expected size of its result, which takes memory on the server.
    pub result_bytes: u64,
    /// Bytes that cross zones if it is processed in another zone: its result,
    /// or the inputs stored in its own zone.
    pub cross_zone_bytes: u64,
    /// The servers that hold its inputs.
    pub input_producers: Arc<[Arc<str>]>,
    /// A server that failed it before.
    pub avoid: Option<Arc<str>>,
}

/// The result of a call, to be recorded in the queue.
#[derive(Clone, Copy, Debug)]
pub struct CallReport<'a> {
    /// The server.
    pub server: &'a str,
    /// How it ended.
    pub outcome: CallOutcome,
    /// The time that the call took.
    pub elapsed: Duration,
    /// The time that [`Call::expected`] predicted.
    pub expected: Duration,
    /// The expected size of all results.
    pub result_bytes: u64,
    /// References of the results.
    pub results: &'a [Arc<str>],
    /// What the server has told of its load.
    pub load: Option<ServerLoad>,
}

/// A call to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// The server.
    pub server: Arc<str>,
    /// The pieces, in order.
    pub ids: Vec<u64>,
    /// Expected time of the call.
    pub expected: Duration,
    /// The expected size of all results.
    pub result_bytes: u64,
    /// Why the call has no more pieces.
    pub limit: CallLimit,
    /// Whether the server is expected to start the call immediately. A slow
    /// server, or one that also works for another daemon, fetches the inputs
    /// later.
    pub starts_immediately: bool,
}

/// Why a call has no more pieces.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallLimit {
    /// No other piece waits.
    #[display("none_waiting")]
    NoneWaiting,
    /// It has as many pieces as a call may have.
    #[display("full")]
    Full,
    /// The server has no memory for more results.
    #[display("memory")]
    Memory,
    /// The other pieces should be processed by other servers.
    #[display("other_servers")]
    OtherServers,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The server processed it.
    Completed,
    /// The server refused it or did not respond.
    Refused,
}

/// The backlog of one service and the state of its servers.
#[derive(Clone, Debug)]
pub struct PieceQueue {
    spec: PieceServerSpec,
    waiting: Vec<QueuedPiece>,
    /// Groups of which some pieces were sent in a call and others still wait.
    split_groups: SortedSet<u64>,
    servers: SortedMap<Arc<str>, TrackedServer>,
    /// Moving average of the pieces in a call while others wait: less than a
    /// full batch if the servers lack memory for results.
    mean_batch: f64,
}

impl PieceQueue {
    /// Creates an empty queue without servers.
    #[must_use]
    pub fn new(spec: PieceServerSpec) -> PieceQueue {
        PieceQueue {
            spec,
            waiting: Vec::new(),
            split_groups: SortedSet::new(),
            servers: SortedMap::new(),
            mean_batch: f64::from(to_u32(spec.max_batch.max(1))),
        }
    }

    /// Sets the published cost and capacity of a server.
    pub fn set_spec(&mut self, spec: PieceServerSpec) {
        self.spec = spec;
    }

    /// Sets the servers that take calls, with their zones. The state of a
    /// server that stays is kept.
    pub fn set_servers(
        &mut self,
        servers: impl IntoIterator<Item = (Arc<str>, Arc<str>)>,
    ) {
        let mut kept = SortedMap::new();
        for (server, zone) in servers {
            let mut tracked =
                self.servers.remove(&*server).unwrap_or_default();
            tracked.zone = Some(zone);
            tracked.delisted = false;
            kept.insert(server, tracked);
        }
        // A server that still runs a call is kept, so that it doesn't get a
        // second call beyond its slots when it is listed again.
        for (server, tracked) in
            self.servers.iter().filter(|(_, tracked)| tracked.active_calls > 0)
        {
            let mut tracked = tracked.clone();
            tracked.delisted = true;
            kept.insert(Arc::clone(server), tracked);
        }
        self.servers = kept;
    }

    /// Adds a piece.
    pub fn push(&mut self, piece: QueuedPiece) {
        self.waiting.push(piece);
    }

    /// Removes pieces whose request has ended.
    pub fn cancel(&mut self, ids: &[u64]) {
        self.waiting.retain(|piece| !ids.contains(&piece.id));
    }

    /// Removes the pieces that have an input on a server whose process has
    /// ended, and returns their ids. A call with them would fail.
    pub fn take_with_lost_inputs(&mut self, server: &str) -> Vec<u64> {
        self.waiting
            .extract_if(.., |piece| {
                piece
                    .input_producers
                    .iter()
                    .any(|producer| **producer == *server)
            })
            .map(|piece| piece.id)
            .collect()
    }

    /// Removes the pieces that can't be done before their deadline, given the
    /// backlog ahead of them, and returns their ids.
    pub fn shed_infeasible(&mut self, now: Instant) -> Vec<u64> {
        self.sort_waiting(now);
        let min_call_time = self.spec.call_overhead + self.spec.time_per_piece;
        let mut shed = Vec::new();
        let mut ahead = 0;
        let waits: Vec<Duration> =
            (0..self.waiting.len()).map(|at| self.wait_behind(at)).collect();
        self.waiting.retain(|piece| {
            let misses_target = now + min_call_time > piece.due;
            let factor = match piece.pieces_done {
                0 if misses_target => LATE_WAIT_FACTOR,
                _ => 1,
            };
            let start = now + waits[ahead] * factor;
            let infeasible = start + min_call_time > piece.deadline;
            if infeasible {
                shed.push(piece.id);
            } else {
                ahead += 1;
            }
            !infeasible
        });
        shed
    }

    /// Returns the next call to send, if a server is idle.
    pub fn next_call(&mut self, now: Instant) -> Option<Call> {
        if self.waiting.is_empty() {
            return None;
        }
        self.expire_results(now);
        self.sort_waiting(now);
        self.idle_servers(now).into_iter().find_map(|server| {
            let call = self.take_batch(now, server);
            (!call.ids.is_empty()).then_some(call)
        })
    }

    /// Records the end of a call and its results.
    pub fn record_call_end(&mut self, now: Instant, call: &CallReport<'_>) {
        let lifetime = self.spec.result_lifetime;
        let Some(tracked) = self.servers.get_mut(call.server) else { return };
        tracked.active_calls = tracked.active_calls.saturating_sub(1);
        if let Some(load) = &call.load {
            tracked.told_speed.record(now, load);
        }
        tracked.pending_result_bytes =
            tracked.pending_result_bytes.saturating_sub(call.result_bytes);
        match call.outcome {
            CallOutcome::Refused => tracked.pause_after_refusal(now),
            CallOutcome::Completed => {
                tracked.refusals = 0;
                tracked.slowdown.observe(call.elapsed, call.expected);
                let results = u64::try_from(call.results.len().max(1));
                let bytes_each =
                    call.result_bytes / results.unwrap_or(u64::MAX);
                for result in call.results {
                    let held = HeldResult {
                        bytes: bytes_each,
                        until: now + lifetime,
                    };
                    tracked.results.insert(Arc::clone(result), held);
                }
            }
        }
    }

    /// Records that a result was released.
    pub fn record_release(&mut self, server: &str, result: &str) {
        if let Some(tracked) = self.servers.get_mut(server) {
            tracked.results.remove(result);
        }
    }

    /// Records that the process of a server has ended and its results are
    /// lost.
    pub fn record_process_end(&mut self, server: &str) {
        if let Some(tracked) = self.servers.get_mut(server) {
            tracked.results = SortedMap::new();
        }
    }

    /// Pauses calls to a server until a time.
    pub fn pause_until(&mut self, server: &str, until: Instant) {
        if let Some(tracked) = self.servers.get_mut(server) {
            tracked.pause_at_least(until);
        }
    }

    /// Sets how many calls a second a server takes; `None` if it doesn't limit
    /// them.
    pub fn set_call_limit(&mut self, server: &str, per_s: Option<f64>) {
        if let Some(tracked) = self.servers.get_mut(server) {
            tracked.max_calls_per_s = per_s;
        }
    }

    /// Records that a server lacks memory for results.
    pub fn record_out_of_capacity(&mut self, now: Instant, server: &str) {
        if let Some(tracked) = self.servers.get_mut(server) {
            tracked.pause_at_least(now + UNKNOWN_RESULTS_PAUSE);
        }
    }

    /// Estimates how long a piece that is pushed now waits for its call.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        self.wait_behind(self.waiting.len())
    }

    /// Estimates the wait of a piece with this many pieces ahead of it.
    fn wait_behind(&self, ahead: usize) -> Duration {
        let batch = self.mean_batch.max(1.0);
        let call =
            self.spec.call_overhead + self.spec.time_per_piece.mul_f64(batch);
        let slots_each = f64::from(self.spec.slots.max(1));
        let calls_per_s = slots_each / call.as_secs_f64().max(f64::EPSILON);
        let servers: f64 = self
            .servers
            .values()
            .map(|tracked| tracked.limited_share(calls_per_s))
            .sum();
        let servers =
            if self.servers.is_empty() { 1.0 } else { servers.max(MIN_SHARE) };
        let calls = f64::from(to_u32(ahead)) / (batch * servers * slots_each);
        let queued = call.mul_f64(calls);
        let busy = self
            .servers
            .values()
            .all(|tracked| tracked.active_calls >= self.spec.slots);
        if busy { queued + call / 2 } else { queued }
    }

    /// Returns the throughput of all servers with full calls.
    #[must_use]
    pub fn throughput(&self) -> Throughput {
        let pieces = to_u32(self.spec.max_batch.max(1));
        let call_time =
            self.spec.call_overhead + self.spec.time_per_piece * pieces;
        let slots = f64::from(self.spec.slots.max(1));
        let full_rate_per_s = slots / call_time.as_secs_f64();
        let effective_servers: f64 = self
            .servers
            .values()
            .filter(|tracked| !tracked.delisted)
            .map(|tracked| {
                let share = tracked.limited_share(full_rate_per_s);
                share.min(1.0 / tracked.slowdown.ratio())
            })
            .sum();
        let calls_per_s = effective_servers * slots / call_time.as_secs_f64();
        Throughput { pieces_per_s: calls_per_s * f64::from(pieces), call_time }
    }

    /// Returns the number of waiting pieces.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    fn expire_results(&mut self, now: Instant) {
        for (_, tracked) in self.servers.iter_mut() {
            tracked.results.retain(|_, held| now < held.until);
        }
    }

    fn sort_waiting(&mut self, now: Instant) {
        let min_call_time = self.spec.call_overhead + self.spec.time_per_piece;
        self.waiting.sort_by_key(|piece| {
            let misses_target = now + min_call_time > piece.due;
            let pieces_done =
                misses_target.then_some(Reverse(piece.pieces_done));
            let is_split = self.split_groups.contains(&piece.group);
            (!is_split, misses_target, pieces_done, piece.rank, piece.due)
        });
    }

    /// Returns the servers with a free slot: those in the zone of the first
    /// waiting piece come first, then those that have told that they are
    /// faster, then those with the fewest bytes of results.
    fn idle_servers(&self, now: Instant) -> Vec<Arc<str>> {
        let preferred_zone =
            self.waiting.first().map(|piece| piece.affinity.zone());
        let mut idle: Vec<(&Arc<str>, &TrackedServer)> = self
            .servers
            .iter()
            .filter(|(_, tracked)| !tracked.delisted)
            .filter(|(_, tracked)| {
                tracked.active_calls < self.spec.slots.max(1)
            })
            .filter(|(_, tracked)| {
                tracked.paused_until.is_none_or(|until| until <= now)
            })
            .collect();
        idle.sort_by_key(|(_, tracked)| {
            let leaves_zone = tracked.zone.as_ref() != preferred_zone;
            let class = tracked.told_speed.class(now);
            (leaves_zone, class, tracked.reserved_bytes())
        });
        idle.into_iter().map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Moves waiting pieces into a call to a server.
    fn take_batch(&mut self, now: Instant, server: Arc<str>) -> Call {
        let (positions, limit) = self.choose_batch(now, &server);
        let mut ids = Vec::with_capacity(positions.len());
        let mut result_bytes = 0;
        for &at in &positions {
            ids.push(self.waiting[at].id);
            result_bytes += self.waiting[at].result_bytes;
            self.split_groups.insert(self.waiting[at].group);
        }
        self.waiting.retain(|piece| !ids.contains(&piece.id));
        self.prune_split_groups();
        if !ids.is_empty()
            && let Some(tracked) = self.servers.get_mut(&*server)
        {
            tracked.active_calls += 1;
            tracked.pending_result_bytes += result_bytes;
        }
        if !self.waiting.is_empty() && !ids.is_empty() {
            let taken = u32::try_from(ids.len()).unwrap_or(u32::MAX);
            self.mean_batch = self.mean_batch * (1.0 - BATCH_SMOOTHING)
                + f64::from(taken) * BATCH_SMOOTHING;
        }
        let pieces = u32::try_from(ids.len()).unwrap_or(u32::MAX);
        let expected =
            self.spec.call_overhead + self.spec.time_per_piece * pieces;
        let tracked = self.servers.get(&*server);
        let starts_immediately =
            tracked.is_some_and(|tracked| tracked.slowdown.is_normal());
        Call { server, ids, expected, result_bytes, limit, starts_immediately }
    }

    /// Forgets the groups that have no waiting piece.
    fn prune_split_groups(&mut self) {
        let mut waiting = SortedSet::new();
        for piece in &self.waiting {
            if self.split_groups.contains(&piece.group) {
                waiting.insert(piece.group);
            }
        }
        self.split_groups = waiting;
    }
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
