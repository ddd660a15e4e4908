//! The prefix cache of an engine: an LRU cache whose events are published
//! with a lag and, optionally, with gaps.

use std::{collections::VecDeque, time::Duration};

use briarladder_wire::backend::{CacheEvent, CacheEvents};
use tokio::time::Instant;

/// The maximum number of events that are kept. A reader that falls further
/// behind sees a gap.
const MAX_EVENTS: usize = 4096;

/// The cached prefixes and the events about their changes.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    event_lag: Duration,
    drop_every: Option<u64>,
    // Ordered by last use, the most recent at the end.
    cached: Vec<u64>,
    events: VecDeque<(u64, Instant, CacheEvent)>,
    next_sequence: u64,
}

impl PrefixCache {
    /// Creates a cache for `capacity` prefixes. Events become visible after
    /// `event_lag`, and every `drop_every`-th one is never published.
    pub(crate) fn new(
        capacity: usize,
        event_lag: Duration,
        drop_every: Option<u64>,
    ) -> PrefixCache {
        PrefixCache {
            capacity,
            event_lag,
            drop_every,
            cached: Vec::new(),
            events: VecDeque::new(),
            next_sequence: 1,
        }
    }

    /// Inserts the prefixes of one input, ordered from the shortest, and
    /// returns how many leading ones were already cached.
    pub(crate) fn lookup_and_insert(
        &mut self,
        hashes: &[u64],
        now: Instant,
    ) -> usize {
        if self.capacity == 0 {
            return 0;
        }
        let hits = hashes.iter().take_while(|h| self.cached.contains(h));
        let hits = hits.count();
        // The shortest prefix becomes the most recently used one, because
        // it matches the most inputs and should be evicted last.
        for &hash in hashes.iter().rev() {
            match self.cached.iter().position(|&cached| cached == hash) {
                Some(index) => drop(self.cached.remove(index)),
                None => {
                    self.publish(
                        CacheEvent::Stored { prefix_hash: hash },
                        now,
                    );
                }
            }
            self.cached.push(hash);
        }
        while self.cached.len() > self.capacity {
            let prefix_hash = self.cached.remove(0);
            self.publish(CacheEvent::Evicted { prefix_hash }, now);
        }
        hits
    }

    /// Clears prefixes and events and restarts the event sequence, as a
    /// process restart does.
    pub(crate) fn clear(&mut self) {
        self.cached.clear();
        self.events.clear();
        self.next_sequence = 1;
    }

    /// Returns the visible events whose sequence follows `after`, up to the
    /// next gap.
    pub(crate) fn events_after(
        &self,
        after: u64,
        now: Instant,
    ) -> CacheEvents {
        let visible = |time: Instant| time + self.event_lag <= now;
        let start = self.events.partition_point(|(s, _, _)| *s <= after);
        let mut first_sequence =
            after.saturating_add(1).min(self.next_sequence);
        let mut events = Vec::new();
        for (sequence, time, event) in self.events.range(start..) {
            if !visible(*time) {
                break;
            }
            if events.is_empty() {
                first_sequence = *sequence;
            } else if *sequence != first_sequence + events.len() as u64 {
                break;
            }
            events.push(*event);
        }
        CacheEvents { first_sequence, events }
    }

    fn publish(&mut self, event: CacheEvent, now: Instant) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let dropped = |every: u64| sequence.is_multiple_of(every);
        if self.drop_every.is_some_and(dropped) {
            return;
        }
        self.events.push_back((sequence, now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
