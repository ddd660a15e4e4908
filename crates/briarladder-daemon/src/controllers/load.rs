//! Keeps the view of backend servers' load, and the slots of each pool.
//!
//! The decisions are in `briarladder_core::routing` and
//! `briarladder_core::admission`.

use std::{sync::Arc, time::Duration};

use briarladder_core::{
    objects::snapshot::{ResolvedServer, Snapshot},
    routing::PoolSlots,
};

use super::membership::{Sharers, sharers};
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
    let sharers = sharers(daemon, snapshot);
    for pool in snapshot.pools.keys() {
        let slots = daemon.router.lock().free_slots(now, pool);
        daemon.slots.set_pool_slots(pool, usable_slots(slots, sharers));
    }
}

/// Returns the slots that one of several daemons may use: its fair share of
/// the near ones, or what it uses now and its part of the free ones, so
/// that slots which others leave unused are lent.
///
/// The near slots are those of the region, and all daemons of the region
/// reach them. Divided by those of the zone alone, two zones granted each
/// slot twice, and requests queued at the backend servers until they timed
/// out.
fn usable_slots(slots: PoolSlots, sharers: Sharers) -> u32 {
    let near_daemons = subset_daemons(slots, sharers.region_daemons);
    let fair = slots.near_slots_requests.div_ceil(near_daemons);
    let free = slots.near_free_requests.div_ceil(near_daemons)
        + slots.remote_free_requests / sharers.fleet_daemons;
    fair.max(slots.in_flight_requests + free)
}

/// Returns how many of the daemons reach one server of the subset: those of
/// the region in the proportion of the subset to the pool.
fn subset_daemons(slots: PoolSlots, region_daemons: u32) -> u32 {
    let subset = u64::from(slots.near_subset_servers);
    let pool = u64::from(slots.near_pool_servers).max(1);
    let daemons = (u64::from(region_daemons) * subset).div_ceil(pool);
    u32::try_from(daemons).unwrap_or(u32::MAX).max(1)
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
            near_subset_servers: 3,
            near_pool_servers: 3,
            near_free_requests: 16,
            remote_free_requests: 0,
            in_flight_requests: 8,
        };
        let sharers = Sharers { region_daemons: 3, fleet_daemons: 9 };
        assert_eq!(usable_slots(slots, sharers), 14);
        slots.near_free_requests = 0;
        assert_eq!(usable_slots(slots, sharers), 8);
        slots.in_flight_requests = 0;
        assert_eq!(usable_slots(slots, sharers), 8);
    }

    /// Guards against a subset divided by daemons that do not reach it, with
    /// which a daemon of a large region got 1 slot instead of 32.
    #[test]
    fn usable_slots_counts_daemons_of_subset() {
        let slots = PoolSlots {
            near_slots_requests: 256,
            near_subset_servers: 32,
            near_pool_servers: 1_666,
            ..PoolSlots::default()
        };
        let sharers = Sharers { region_daemons: 416, fleet_daemons: 2_500 };
        assert_eq!(usable_slots(slots, sharers), 32);
    }

    /// Guards against free slots of other regions that every daemon of the
    /// fleet grants as if it were the only one that sees them.
    #[test]
    fn usable_slots_shares_remote_ones_over_fleet() {
        let slots = PoolSlots {
            near_slots_requests: 24,
            near_subset_servers: 3,
            near_pool_servers: 3,
            near_free_requests: 0,
            remote_free_requests: 18,
            in_flight_requests: 8,
        };
        let sharers = Sharers { region_daemons: 3, fleet_daemons: 9 };
        assert_eq!(usable_slots(slots, sharers), 10);
    }
}
