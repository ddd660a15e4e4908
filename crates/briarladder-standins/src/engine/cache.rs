//! The prefix cache of an engine: limited, least recently used first out,
//! with events that are published late and with gaps.

use std::{collections::VecDeque, time::Duration};

use briarladder_wire::backend::{CacheEvent, CacheEvents};
use tokio::time::Instant;

/// The events that are kept for readers. A slower reader sees a gap.
const KEPT_EVENTS: usize = 4096;

/// The cached prefixes and the events about them.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    lag: Duration,
    lose_every: Option<u64>,
    // In order of use, the most recent last.
    cached: Vec<u64>,
    events: VecDeque<(u64, Instant, CacheEvent)>,
    next_sequence: u64,
}

impl PrefixCache {
    /// Creates a cache for a number of prefixes. Of the events, every
    /// `lose_every`-th is never published.
    pub(crate) fn new(
        capacity: usize,
        lag: Duration,
        lose_every: Option<u64>,
    ) -> PrefixCache {
        PrefixCache {
            capacity,
            lag,
            lose_every,
            cached: Vec::new(),
            events: VecDeque::new(),
            next_sequence: 1,
        }
    }

    /// Uses the prefixes of one input and returns how many of them, from
    /// the shortest, were cached.
    pub(crate) fn use_prefixes(
        &mut self,
        hashes: &[u64],
        now: Instant,
    ) -> usize {
        if self.capacity == 0 {
            return 0;
        }
        let hits = hashes.iter().take_while(|h| self.cached.contains(h));
        let hits = hits.count();
        // The shortest is used last, so that it is evicted last: it serves
        // most inputs.
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

    /// Drops the prefixes and events, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.cached.clear();
        self.events.clear();
        self.next_sequence = 1;
    }

    /// Returns the visible events after a number, up to the next gap.
    pub(crate) fn events_after(
        &self,
        after: u64,
        now: Instant,
    ) -> CacheEvents {
        let visible = |time: Instant| time + self.lag <= now;
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
        let lost = |every: u64| sequence.is_multiple_of(every);
        if self.lose_every.is_some_and(lost) {
            return;
        }
        self.events.push_back((sequence, now, event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
