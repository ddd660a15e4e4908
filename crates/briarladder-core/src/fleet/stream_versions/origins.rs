//! Which version has begun which streams.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::sorted::SortedMap;

use super::{MAX_STREAM_SPAN, Moment, Software};

/// Records that are held. At the target size, a daemon begins about 22 streams
/// a second and holds the records of three others: 5,300 in
/// [`MAX_STREAM_SPAN`].
const MAX_RECORDS: usize = 16 * 1024;

/// The longest id of an attempt that is recorded. Callers choose the ids.
pub const MAX_ATTEMPT_BYTES: usize = 128;

/// A record for another daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginNotice {
    /// The caller's attempt that brought the first event.
    pub attempt: Arc<str>,
    /// The version that has begun the stream.
    pub software: Software,
    /// How long ago the stream was begun or taken up last.
    pub age_ms: u32,
}

#[derive(Clone, Debug)]
struct Origin {
    /// `None` if two versions were recorded, because a caller has used the id
    /// of an attempt twice.
    software: Option<Software>,
    used: Moment,
}

/// Which version has begun which streams, by the attempt that brought the
/// first event.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    records: SortedMap<Arc<str>, Origin>,
}

impl StreamOrigins {
    /// Records that a version has begun a stream, or goes on with it.
    pub fn record(
        &mut self,
        now: Instant,
        attempt: &Arc<str>,
        software: &Software,
    ) {
        self.insert(now, attempt, software, Moment::now(now));
    }

    fn insert(
        &mut self,
        now: Instant,
        attempt: &Arc<str>,
        software: &Software,
        used: Moment,
    ) {
        if attempt.is_empty() || attempt.len() > MAX_ATTEMPT_BYTES {
            return;
        }
        if let Some(origin) = self.records.get_mut(attempt) {
            let is_current = origin.used.age(now) <= MAX_STREAM_SPAN;
            if !is_current {
                origin.software = Some(software.clone());
            } else if origin.software.as_ref() != Some(software) {
                origin.software = None;
            }
            if used.age(now) < origin.used.age(now) {
                origin.used = used;
            }
            return;
        }
        if self.records.len() >= MAX_RECORDS {
            self.make_room(now);
        }
        let origin = Origin { software: Some(software.clone()), used };
        self.records.insert(Arc::clone(attempt), origin);
    }

    /// Drops a quarter of the records, the oldest ones. A take-up of their
    /// streams is refused unless their version can be told otherwise.
    fn make_room(&mut self, now: Instant) {
        let mut ages: Vec<Duration> =
            self.records.values().map(|origin| origin.used.age(now)).collect();
        ages.sort_unstable();
        let kept = ages.len() * 3 / 4;
        let max_age = ages[kept];
        let older = ages.len() - ages.partition_point(|age| *age <= max_age);
        let mut dropped_of_max_age = ages.len() - kept - older;
        self.records.retain(|_, origin| {
            let age = origin.used.age(now);
            if age == max_age && dropped_of_max_age > 0 {
                dropped_of_max_age -= 1;
                return false;
            }
            age <= max_age
        });
    }

    /// Returns the version that has begun a stream, if it is known.
    #[must_use]
    pub fn find(&self, now: Instant, attempt: &str) -> Option<&Software> {
        let origin = self.records.get(attempt)?;
        let is_current = origin.used.age(now) <= MAX_STREAM_SPAN;
        origin.software.as_ref().filter(|_| is_current)
    }

    /// Returns the records of a service, for other daemons.
    #[must_use]
    pub fn notices(&self, now: Instant, service: &str) -> Vec<OriginNotice> {
        let notice = |(attempt, origin): (&Arc<str>, &Origin)| {
            let software = origin.software.as_ref()?;
            let age = origin.used.age(now);
            let is_listed =
                *software.service == *service && age <= MAX_STREAM_SPAN;
            is_listed.then(|| OriginNotice {
                attempt: Arc::clone(attempt),
                software: software.clone(),
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        };
        self.records.iter().filter_map(notice).collect()
    }

    /// Adds the records of another daemon.
    pub fn merge(&mut self, now: Instant, notices: &[OriginNotice]) {
        for OriginNotice { attempt, software, age_ms } in notices {
            let age = Duration::from_millis(u64::from(*age_ms));
            let used = Moment::with_age(now, age);
            self.insert(now, attempt, software, used);
        }
    }

    /// Drops records that are no longer needed.
    pub fn expire(&mut self, now: Instant) {
        self.records
            .retain(|_, origin| origin.used.age(now) <= MAX_STREAM_SPAN);
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
