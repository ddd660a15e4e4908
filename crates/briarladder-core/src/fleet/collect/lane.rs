//! What a collector knows of one server.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::SortedMap;

/// How long a server that refused a call gets none; each further refusal
/// doubles the time.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);

/// The doublings of [`REFUSAL_PAUSE`]; the longest pause is about two
/// seconds, so that a server that comes back is used again.
const MAX_DOUBLINGS: u32 = 5;

/// Calls of a server that is neither slow nor shared take less than this many
/// times what is expected.
const NORMAL_SLOWNESS: f64 = 1.15;

/// The weight of the newest call in the slowness of a server.
const SLOWNESS_SMOOTHING: f64 = 0.3;

/// A result that takes room.
#[derive(Clone, Debug)]
pub struct Held {
    /// Its size.
    pub bytes: u64,
    /// When the server drops it.
    pub until: Instant,
}

/// What is known of one server.
#[derive(Clone, Debug, Default)]
pub struct Lane {
    /// Its zone.
    pub zone: Option<Arc<str>>,
    /// The calls that it works on.
    pub calls: u32,
    /// The expected results of these.
    pub in_call_bytes: u64,
    /// The results that it holds.
    pub results: SortedMap<Arc<str>, Held>,
    /// When it gets calls again.
    pub paused_until: Option<Instant>,
    /// The calls that it refused in a row.
    pub refusals: u32,
    /// What its calls take, as a multiple of what is expected.
    pub slowness: Slowness,
    /// The server is no longer listed and only ends its calls.
    pub closed: bool,
}

/// How many times longer than expected calls take, smoothed.
#[derive(Clone, Copy, Debug)]
pub struct Slowness(f64);

impl Default for Slowness {
    fn default() -> Slowness {
        Slowness(1.0)
    }
}

impl Slowness {
    /// Returns the smoothed multiple.
    pub fn times(self) -> f64 {
        self.0
    }

    /// Returns whether the server is neither slow nor shared.
    pub fn is_normal(self) -> bool {
        self.0 < NORMAL_SLOWNESS
    }

    /// Records a call.
    pub fn observe(&mut self, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        self.0 = self.0 * (1.0 - SLOWNESS_SMOOTHING)
            + ratio.max(1.0) * SLOWNESS_SMOOTHING;
    }
}

impl Lane {
    /// Keeps calls from the server for a while, longer each time.
    pub fn pause(&mut self, now: Instant) {
        let doublings = self.refusals.min(MAX_DOUBLINGS);
        self.pause_at_least(now + REFUSAL_PAUSE * (1 << doublings));
        self.refusals += 1;
    }

    /// Keeps calls from the server until a time, or later if it is paused
    /// for longer.
    pub fn pause_at_least(&mut self, until: Instant) {
        let until = self.paused_until.map_or(until, |known| known.max(until));
        self.paused_until = Some(until);
    }

    /// Returns the room that is taken.
    pub fn held_bytes(&self) -> u64 {
        let results: u64 = self.results.values().map(|held| held.bytes).sum();
        self.in_call_bytes + results
    }
}
