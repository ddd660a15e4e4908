//! Load, results and speed of one server, as seen by its coordinator.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{fleet::server_speed::ToldSpeed, sorted::SortedMap};

/// First pause after a refused call; each further refusal doubles it.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);

/// Limits the doublings of [`REFUSAL_PAUSE`]: the longest pause is about two
/// seconds, so that a server that recovers is soon used again.
const MAX_PAUSE_DOUBLINGS: u32 = 5;

/// A server counts as slow or shared if its calls take at least this many
/// times the expected time.
const NORMAL_SLOWDOWN: f64 = 1.15;

/// Weight of the newest call in the smoothed slowdown.
const SLOWDOWN_SMOOTHING: f64 = 0.3;

/// A result that takes memory on its server.
#[derive(Clone, Debug)]
pub struct HeldResult {
    /// Its size.
    pub bytes: u64,
    /// When the server drops it.
    pub until: Instant,
}

/// The state of one server.
#[derive(Clone, Debug, Default)]
pub struct TrackedServer {
    /// Its zone.
    pub zone: Option<Arc<str>>,
    /// Calls in progress.
    pub active_calls: u32,
    /// Expected size of the results of the calls in progress.
    pub pending_result_bytes: u64,
    /// The results that it holds, by reference.
    pub results: SortedMap<Arc<str>, HeldResult>,
    /// When it gets calls again.
    pub paused_until: Option<Instant>,
    /// Consecutive refused calls.
    pub refusals: u32,
    /// Time of its calls relative to the expected time.
    pub slowdown: Slowdown,
    /// Its speed as it has told with the last call.
    pub told_speed: ToldSpeed,
    /// The calls a second that it takes, if it limits them.
    pub max_calls_per_s: Option<f64>,
    /// The server is no longer listed: its calls run to their end, and it gets
    /// no new ones.
    pub delisted: bool,
}

/// Smoothed ratio of the actual to the expected time of calls.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown(f64);

impl Default for Slowdown {
    fn default() -> Slowdown {
        Slowdown(1.0)
    }
}

impl Slowdown {
    /// Returns the smoothed ratio, which is at least 1.
    pub fn ratio(self) -> f64 {
        self.0
    }

    /// Returns whether the server is neither slow nor shared with another
    /// daemon.
    pub fn is_normal(self) -> bool {
        self.0 < NORMAL_SLOWDOWN
    }

    /// Records the time of a call.
    pub fn observe(&mut self, elapsed: Duration, expected: Duration) {
        let ratio = elapsed.as_secs_f64() / expected.as_secs_f64().max(0.001);
        self.0 = self.0 * (1.0 - SLOWDOWN_SMOOTHING)
            + ratio.max(1.0) * SLOWDOWN_SMOOTHING;
    }
}

impl TrackedServer {
    /// Pauses calls after a refusal, longer each time.
    pub fn pause_after_refusal(&mut self, now: Instant) {
        let doublings = self.refusals.min(MAX_PAUSE_DOUBLINGS);
        self.pause_at_least(now + REFUSAL_PAUSE * (1 << doublings));
        self.refusals += 1;
    }

    /// Pauses calls until a time; a longer pause stays.
    pub fn pause_at_least(&mut self, until: Instant) {
        let until = self.paused_until.map_or(until, |known| known.max(until));
        self.paused_until = Some(until);
    }

    /// Returns the part of its calls that it takes if it limits them. Without
    /// the limit it would take this many a second.
    pub fn limited_share(&self, calls_per_s: f64) -> f64 {
        self.max_calls_per_s
            .map_or(1.0, |max| (max / calls_per_s.max(f64::EPSILON)).min(1.0))
    }

    /// Returns the bytes of its results, including those of calls in progress.
    pub fn reserved_bytes(&self) -> u64 {
        let results: u64 =
            self.results.values().map(|result| result.bytes).sum();
        self.pending_result_bytes + results
    }
}
