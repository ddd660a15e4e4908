//! Keeps the view of backend servers' load, and the slots of each pool.
//!
//! The decisions are in `briarladder_core::routing` and
//! `briarladder_core::admission`.

use std::{sync::Arc, time::Duration};

use briarladder_core::{
    objects::snapshot::{ResolvedServer, Snapshot},
    routing::PoolSlots,
};

use crate::daemon::Daemon;

/// The time between two rounds. The router's limit of polls a round rests
/// on it.
const ROUND: Duration = Duration::from_millis(100);

/// Polls load reports that no response brought, and sets the slots.
pub async fn poll(daemon: Arc<Daemon>) {
    let mut ticker = tokio::time::interval(ROUND);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        let now = daemon.clock.now();
        let due = daemon.router.lock().polls_due(now);
        for poll in due {
            tokio::spawn(poll_one(Arc::clone(&daemon), poll.server));
        }
        if let Ok(snapshot) = daemon.snapshot() {
            refresh_slots(&daemon, &snapshot);
        }
        daemon.metrics.load(
            daemon.slots.queue_len_requests() as u64,
            daemon.open_requests_len() as u64,
        );
    }
}

async fn poll_one(daemon: Arc<Daemon>, server: Arc<ResolvedServer>) {
    let report = daemon.backend.load(server.address).await;
    let now = daemon.clock.now();
    match report {
        Ok(report) => {
            super::config::hear_floor(&daemon, report.epoch_seen);
            let mut router = daemon.router.lock();
            router.apply_report(now, &server.name, &report);
        }
        Err(failure) => {
            log::debug!("load: {} gave no report: {failure}", server.name);
            let mut router = daemon.router.lock();
            router.poll_failed(now, &server.name);
        }
    }
}

/// Sets how many slots of each pool this daemon may use.
pub fn refresh_slots(daemon: &Daemon, snapshot: &Snapshot) {
    let now = daemon.clock.now();
    let sharers = super::membership::zone_len(daemon).max(1);
    let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
    for pool in snapshot.pools.keys() {
        let slots = daemon.router.lock().free_slots(now, pool);
        daemon.slots.set_pool_slots(pool, usable_slots(slots, sharers));
    }
}

/// Returns the slots that one of several daemons may use: its fair share of
/// the near ones, or what it uses now and its part of the free ones, so
/// that slots which others leave unused are lent.
fn usable_slots(slots: PoolSlots, sharers: u32) -> u32 {
    let fair = slots.near_slots_requests.div_ceil(sharers);
    let free = slots.near_free_requests + slots.remote_free_requests;
    fair.max(slots.in_flight_requests + free.div_ceil(sharers))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a daemon that stops at its fair share while the rest
    /// of the pool is idle, and against one that gets less than it.
    #[test]
    fn usable_slots_lends_free_ones() {
        let mut slots = PoolSlots {
            near_slots_requests: 24,
            near_free_requests: 16,
            remote_free_requests: 0,
            in_flight_requests: 8,
        };
        assert_eq!(usable_slots(slots, 3), 14);
        slots.near_free_requests = 0;
        assert_eq!(usable_slots(slots, 3), 8);
        slots.in_flight_requests = 0;
        assert_eq!(usable_slots(slots, 3), 8);
    }
}
