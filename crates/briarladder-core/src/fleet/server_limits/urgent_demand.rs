//! Keeps the places at limited servers for the more urgent requests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::SortedMap;

/// How long less urgent requests take no place after a more urgent request
/// was turned away.
const RESERVATION: Duration = Duration::from_secs(1);

/// One place in this many is open to all ranks, so that the least urgent one
/// is not starved while the more urgent ones exceed the limit.
const OPEN_PLACE_ONE_IN: u64 = 4;

/// The requests that were turned away lately for lack of a place at a limited
/// server. A lower rank is more urgent.
#[derive(Clone, Debug, Default)]
pub struct UrgentDemand {
    by_service: SortedMap<Arc<str>, ServiceDemand>,
}

#[derive(Clone, Debug, Default)]
struct ServiceDemand {
    /// When a request of each rank was last turned away.
    turned_away: SortedMap<u32, Instant>,
    taken_places: u64,
}

impl UrgentDemand {
    /// Records that a request was turned away.
    pub fn record_turned_away(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        rank: u32,
    ) {
        self.by_service
            .get_or_insert_with(Arc::clone(service), ServiceDemand::default)
            .turned_away
            .insert(rank, now);
    }

    /// Records that a request took a place.
    pub fn record_taken(&mut self, service: &str) {
        if let Some(demand) = self.by_service.get_mut(service) {
            demand.taken_places += 1;
        }
    }

    /// Returns whether a request may take a place at a limited server: no more
    /// urgent request of its service was turned away in the last second, or
    /// the place is one that is open to all ranks.
    #[must_use]
    pub fn may_take(&self, now: Instant, service: &str, rank: u32) -> bool {
        self.by_service.get(service).is_none_or(|demand| {
            let next_place = demand.taken_places + 1;
            let is_open = next_place.is_multiple_of(OPEN_PLACE_ONE_IN);
            is_open || !demand.is_reserved(now, rank)
        })
    }
}

impl ServiceDemand {
    fn is_reserved(&self, now: Instant, rank: u32) -> bool {
        self.turned_away
            .iter()
            .take_while(|&(&other, _)| other < rank)
            .any(|(_, &at)| now.saturating_duration_since(at) < RESERVATION)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against less urgent requests that take the places which more
    /// urgent ones wait for.
    #[test]
    fn may_take_after_more_urgent() {
        let now = Instant::now();
        let (plans, orders): (Arc<str>, Arc<str>) =
            ("plans".into(), "o".into());
        let mut demand = UrgentDemand::default();
        assert!(demand.may_take(now, &plans, 3));
        demand.record_turned_away(now, &plans, 2);
        let soon = now + Duration::from_millis(999);
        assert!(!demand.may_take(soon, &plans, 3));
        assert!(demand.may_take(soon, &plans, 2));
        assert!(demand.may_take(soon, &plans, 1));
        assert!(demand.may_take(soon, &orders, 3));
        assert!(demand.may_take(now + RESERVATION, &plans, 3));
    }

    /// Guards against the least urgent requests that get no place while more
    /// urgent ones exceed the limit.
    #[test]
    fn may_take_open_place() {
        let now = Instant::now();
        let plans: Arc<str> = "plans".into();
        let mut demand = UrgentDemand::default();
        let open: Vec<bool> = (0..8)
            .map(|_| {
                demand.record_turned_away(now, &plans, 0);
                let may_take = demand.may_take(now, &plans, 3);
                demand.record_taken(&plans);
                may_take
            })
            .collect();
        let one_round = [false, false, false, true];
        assert_eq!(open, [one_round, one_round].concat());
    }
}
