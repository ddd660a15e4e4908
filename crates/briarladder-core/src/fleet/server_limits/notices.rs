//! What daemons tell each other about limits.
//!
//! A notice bears the age of its evidence: the time since the receipt of the
//! response that named the limit, or since the sending of the request whose
//! response no longer named it. The newest evidence wins. A receiver doesn't
//! know the transit time of a message, so the time that it computes may be too
//! late by up to [`MAX_TRANSIT`]. For a limit that is the safe side. For the
//! end of one it takes the earliest possible time.

use std::{
    cmp::Reverse,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{
    LimitChange, LimitSource,
    knowledge::{Entry, Knowledge, ServerKey, Status, is_valid},
};

/// Maximum number of notices in one message.
pub const MAX_LIMIT_NOTICES: usize = 16;

/// The longest time that a message between daemons takes.
const MAX_TRANSIT: Duration = Duration::from_millis(400);

/// Changes are sent in each message for this long.
const RECENT: Duration = Duration::from_secs(5);

/// A notice of a known limit counts as newer evidence only if it is newer by
/// this. Otherwise the transit times would make it ever newer while it goes
/// around.
const MIN_REFRESH: Duration = Duration::from_secs(10);

/// A limit or the end of one, as sent to other daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNotice {
    /// The name of the server.
    pub server: Arc<str>,
    /// Start time of its process.
    pub born_ms: u64,
    /// The limit in requests a second; `None` if it has ended.
    pub limit_per_s: Option<f64>,
    /// Age of the evidence in milliseconds.
    pub age_ms: u32,
}

impl Knowledge {
    /// Returns the notices for the next message: recent changes first, and the
    /// others in turn.
    pub(super) fn notices(&mut self, now: Instant) -> Vec<LimitNotice> {
        self.expire(now);
        let mut recent = Vec::new();
        let mut others = Vec::new();
        for (key, entry) in self.entries() {
            if entry.age(now) >= entry.status.told_for() {
                continue;
            }
            let since_change = now.saturating_duration_since(entry.changed_at);
            if since_change < RECENT {
                recent.push((key, entry));
            } else {
                others.push((key, entry));
            }
        }
        recent.sort_by_key(|(_, entry)| Reverse(entry.changed_at));
        // Continues after the server that the last message ended with.
        let next = self
            .last_told
            .as_ref()
            .map_or(0, |last| others.partition_point(|&(key, _)| key <= last));
        others.rotate_left(next);
        let room = MAX_LIMIT_NOTICES.saturating_sub(recent.len());
        others.truncate(room);
        let last_told = others.last().map(|&(key, _)| key.clone());
        let notices = recent
            .into_iter()
            .chain(others)
            .take(MAX_LIMIT_NOTICES)
            .map(|(key, entry)| entry.notice(now, key))
            .collect();
        self.last_told = last_told.or(self.last_told.take());
        notices
    }

    /// Merges notices from another daemon.
    pub(super) fn merge(
        &mut self,
        now: Instant,
        notices: &[LimitNotice],
    ) -> Vec<LimitChange> {
        notices
            .iter()
            .filter_map(|notice| self.merge_one(now, notice))
            .collect()
    }

    fn merge_one(
        &mut self,
        now: Instant,
        notice: &LimitNotice,
    ) -> Option<LimitChange> {
        let status = match notice.limit_per_s {
            Some(limit_per_s) if is_valid(limit_per_s) => {
                Status::Limited { limit_per_s }
            }
            Some(_) => return None,
            None => Status::Ended,
        };
        let mut age = Duration::from_millis(notice.age_ms.into());
        if status == Status::Ended {
            age += MAX_TRANSIT;
        }
        if age >= status.told_for() {
            return None;
        }
        let evidence_at = now.checked_sub(age)?;
        let key = ServerKey {
            name: Arc::clone(&notice.server),
            born_ms: notice.born_ms,
        };
        if !self.is_newer(&key, status, evidence_at) {
            return None;
        }
        self.set(now, key, status, evidence_at, LimitSource::Peer)
    }

    fn is_newer(
        &self,
        key: &ServerKey,
        status: Status,
        evidence_at: Instant,
    ) -> bool {
        let Some(entry) = self.entry(key) else { return true };
        if entry.status == status {
            let limited = status != Status::Ended;
            return limited && evidence_at > entry.evidence_at + MIN_REFRESH;
        }
        evidence_at > entry.evidence_at
    }
}

impl Entry {
    fn notice(&self, now: Instant, key: &ServerKey) -> LimitNotice {
        let limit_per_s = match self.status {
            Status::Limited { limit_per_s } => Some(limit_per_s),
            Status::Ended => None,
        };
        LimitNotice {
            server: Arc::clone(&key.name),
            born_ms: key.born_ms,
            limit_per_s,
            age_ms: u32::try_from(self.age(now).as_millis())
                .unwrap_or(u32::MAX),
        }
    }
}
