//! What daemons tell each other about services with brittle servers.
//!
//! A notice travels among those of limits, as [`LimitNotice`], so that daemons
//! of an earlier version can read the message: they ignore a limit below 0. It
//! has the name of the service in place of a server's.
//!
//! A notice bears the age of its evidence, without the time on the way. A
//! receiver therefore takes the evidence for newer than it is by up to
//! [`MIN_REFRESH`], and a notice of what it knows counts only if it is newer
//! by more than that. The end is not told: other daemons learn it from their
//! own responses, or by the time since the last evidence.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::fleet::server_limits::LimitNotice;

use super::{BrittleService, BrittleServices};

/// The value of [`LimitNotice::limit_per_s`] that marks a notice of a brittle
/// service. No limit of a server is below 0.
const MARK: f64 = -1.0;

/// A notice of a known service counts as newer evidence only if it is newer by
/// this. Otherwise the transit times would make it ever newer while it goes
/// around.
const MIN_REFRESH: Duration = Duration::from_secs(2);

/// Evidence that is older is no longer told, so that daemons don't remind each
/// other of it.
const TOLD_FOR: Duration = Duration::from_secs(5);

/// Returns whether a notice is one of a brittle service.
#[must_use]
pub fn is_brittle_notice(notice: &LimitNotice) -> bool {
    notice.limit_per_s == Some(MARK)
}

impl BrittleServices {
    /// Returns the notices for the next message to another daemon.
    #[must_use]
    pub fn notices(&self, now: Instant) -> Vec<LimitNotice> {
        self.by_service
            .iter()
            .filter_map(|(service, known)| known.notice(now, service))
            .collect()
    }

    /// Merges the notices of brittle services from another daemon, and returns
    /// the services that have become brittle.
    pub fn merge(
        &mut self,
        now: Instant,
        notices: &[LimitNotice],
    ) -> Vec<Arc<str>> {
        let notices = notices.iter().filter(|n| is_brittle_notice(n));
        notices.filter_map(|notice| self.merge_one(now, notice)).collect()
    }

    fn merge_one(
        &mut self,
        now: Instant,
        notice: &LimitNotice,
    ) -> Option<Arc<str>> {
        let age = Duration::from_millis(notice.age_ms.into());
        let evidence_at = now.checked_sub(age)?;
        if age >= TOLD_FOR {
            return None;
        }
        let max_rejections_per_s = u32::try_from(notice.born_ms).ok()?;
        let service = &notice.server;
        let known = self.by_service.get(service);
        let is_newer = known
            .is_none_or(|known| evidence_at > known.evidence_at + MIN_REFRESH);
        if !is_newer {
            return None;
        }
        let began = !self.is_brittle(now, service);
        self.set(service, Some(max_rejections_per_s), evidence_at);
        began.then(|| Arc::clone(service))
    }
}

impl BrittleService {
    fn notice(&self, now: Instant, service: &Arc<str>) -> Option<LimitNotice> {
        let age = now.saturating_duration_since(self.evidence_at);
        let max_rejections_per_s = self.max_rejections_per_s?;
        (age < TOLD_FOR).then(|| LimitNotice {
            server: Arc::clone(service),
            born_ms: max_rejections_per_s.into(),
            limit_per_s: Some(MARK),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }
}
