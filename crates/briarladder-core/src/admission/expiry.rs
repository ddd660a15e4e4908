//! A timer wheel of the latest start times of waiting jobs.
//!
//! Entries are grouped into buckets of equal length. Most jobs run before
//! their latest start and leave a stale entry, which is dropped when its
//! bucket becomes due. A single heap in place of the buckets had to be rebuilt
//! to drop stale entries, and cost 0.4 µs more for each job.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::{Duration, Instant},
};

use super::slab::Key;

const BUCKET_LENGTH: Duration = Duration::from_millis(10);

/// The number of buckets from the first one on. They cover 10 s, which is
/// twice the usual deadline. Entries beyond this horizon go to the overflow
/// list. Each time half of these buckets have passed, the entries of that list
/// are sorted into buckets.
const HORIZON_BUCKETS: usize = 1_024;

#[derive(Debug, Default)]
pub(super) struct ExpiryQueue {
    /// The start of the first bucket; set by the first entry.
    first_bucket_at: Option<Instant>,
    /// The entries within the horizon, by bucket.
    buckets: VecDeque<Vec<(Instant, Key)>>,
    /// Entries before the first bucket.
    due: BinaryHeap<Reverse<(Instant, Key)>>,
    /// Entries beyond the horizon.
    overflow: Vec<(Instant, Key)>,
    /// The number of buckets passed since the overflow list was last sorted
    /// into buckets.
    passed_buckets: usize,
}

impl ExpiryQueue {
    pub(super) fn push(
        &mut self,
        now: Instant,
        latest_start: Instant,
        key: Key,
    ) {
        let from = *self.first_bucket_at.get_or_insert(now);
        let Some(ahead) = latest_start.checked_duration_since(from) else {
            self.due.push(Reverse((latest_start, key)));
            return;
        };
        let bucket = ahead.as_nanos() / BUCKET_LENGTH.as_nanos();
        match usize::try_from(bucket) {
            Ok(bucket) if bucket < HORIZON_BUCKETS => {
                if self.buckets.len() <= bucket {
                    self.buckets.resize_with(bucket + 1, Vec::new);
                }
                self.buckets[bucket].push((latest_start, key));
            }
            _ => self.overflow.push((latest_start, key)),
        }
    }

    /// Removes and returns a job whose latest start is before `now`. Entries
    /// for which `is_waiting` is false are dropped.
    pub(super) fn pop_expired(
        &mut self,
        now: Instant,
        is_waiting: impl Fn(Key) -> bool,
    ) -> Option<Key> {
        self.advance(now, &is_waiting);
        while let Some(Reverse((latest_start, key))) = self.due.peek() {
            let (latest_start, key) = (*latest_start, *key);
            let is_waiting = is_waiting(key);
            if is_waiting && now <= latest_start {
                return None;
            }
            self.due.pop();
            if is_waiting {
                return Some(key);
            }
        }
        None
    }

    /// Moves the entries of all buckets that start at or before `now` to
    /// `due`.
    fn advance(&mut self, now: Instant, is_waiting: &impl Fn(Key) -> bool) {
        let Some(mut from) = self.first_bucket_at else { return };
        if self.buckets.is_empty() && self.overflow.is_empty() {
            // After an idle time, skips the empty buckets at once.
            self.first_bucket_at = Some(from.max(now));
            return;
        }
        while from <= now {
            from += BUCKET_LENGTH;
            self.first_bucket_at = Some(from);
            if let Some(mut bucket) = self.buckets.pop_front() {
                bucket.retain(|(_, key)| is_waiting(*key));
                self.due.extend(bucket.drain(..).map(Reverse));
                // Reuses the allocation for a later bucket.
                self.buckets.push_back(bucket);
            }
            self.passed_buckets += 1;
            if self.passed_buckets >= HORIZON_BUCKETS / 2 {
                self.passed_buckets = 0;
                let mut overflow = std::mem::take(&mut self.overflow);
                overflow.retain(|(_, key)| is_waiting(*key));
                for (latest_start, key) in overflow {
                    self.push(now, latest_start, key);
                }
            }
        }
    }

    /// Returns a time before which no job expires.
    pub(super) fn next(&self) -> Option<Instant> {
        if let Some(first) = self.due.peek() {
            return Some(first.0.0);
        }
        let from = self.first_bucket_at?;
        let bucket = self.buckets.iter().position(|b| !b.is_empty());
        let bucket = bucket.or_else(|| {
            // The overflow list is sorted into buckets before any of its
            // entries is due.
            (!self.overflow.is_empty()).then_some(HORIZON_BUCKETS / 2)
        })?;
        Some(from + BUCKET_LENGTH * u32::try_from(bucket).unwrap_or(u32::MAX))
    }
}
