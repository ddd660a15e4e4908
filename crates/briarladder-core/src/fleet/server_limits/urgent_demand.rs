//! Keeps the places at limited servers for the more urgent requests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::SortedMap;

/// How long less urgent requests take no place after a more urgent request
/// was turned away.
const RESERVATION: Duration = Duration::from_secs(1);

/// The requests that were turned away lately for lack of a place at a limited
/// server. A lower rank is more urgent.
#[derive(Clone, Debug, Default)]
pub struct UrgentDemand {
    /// By service, when a request of each rank was last turned away.
    turned_away: SortedMap<Arc<str>, SortedMap<u32, Instant>>,
}

impl UrgentDemand {
    /// Records that a request was turned away.
    pub fn record_turned_away(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        rank: u32,
    ) {
        self.turned_away
            .get_or_insert_with(Arc::clone(service), SortedMap::new)
            .insert(rank, now);
    }

    /// Returns whether a request may take a place at a limited server: no more
    /// urgent request of its service was turned away in the last second.
    #[must_use]
    pub fn may_take(&self, now: Instant, service: &str, rank: u32) -> bool {
        self.turned_away.get(service).is_none_or(|by_rank| {
            by_rank.iter().take_while(|&(&other, _)| other < rank).all(
                |(_, &at)| now.saturating_duration_since(at) >= RESERVATION,
            )
        })
    }
}
