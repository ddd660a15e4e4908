//! The waits that collectors report, as other daemons know them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::SortedMap;

/// An estimate counts for this long; then the collector counts as idle, so
/// that it is tried again.
pub(super) const ESTIMATE_LIFETIME: Duration = Duration::from_millis(1500);

/// What this daemon has heard of the queues of the collectors.
#[derive(Clone, Debug, Default)]
pub struct WaitEstimates {
    waits: SortedMap<(Arc<str>, Arc<str>), Estimate>,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    wait: Duration,
    heard_at: Instant,
}

impl WaitEstimates {
    /// Records the wait that the collector of a zone reports.
    pub fn heard(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        zone: &Arc<str>,
        wait: Duration,
    ) {
        let key = (Arc::clone(service), Arc::clone(zone));
        self.waits.insert(key, Estimate { wait, heard_at: now });
    }

    /// Returns the expected wait; an old report fades.
    #[must_use]
    pub fn wait(
        &self,
        now: Instant,
        service: &Arc<str>,
        zone: &Arc<str>,
    ) -> Duration {
        let key = (Arc::clone(service), Arc::clone(zone));
        let Some(estimate) = self.waits.get(&key) else {
            return Duration::ZERO;
        };
        let age = now.duration_since(estimate.heard_at);
        let left = ESTIMATE_LIFETIME.saturating_sub(age);
        estimate
            .wait
            .mul_f64(left.as_secs_f64() / ESTIMATE_LIFETIME.as_secs_f64())
    }
}
