//! Polls the load of backend servers, and sets how many slots of each pool
//! this daemon may use.
//!
//! `briarladder_core::routing` decides which servers to poll, and
//! `briarladder_core::admission` which requests get a slot.

use std::{sync::Arc, time::Duration};

use briarladder_core::{
    objects::snapshot::{ResolvedServer, Snapshot},
    routing::PoolSlots,
};

use super::membership::{LiveDaemonCounts, count_live_daemons};
use crate::daemon::Daemon;

/// The time between two rounds of polls. The router's limit of polls per
/// round is derived from it.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Polls the servers whose responses have carried no recent load report, and
/// updates the slots, until the process ends.
pub async fn poll(daemon: Arc<Daemon>) {
    let mut ticker = tokio::time::interval(POLL_INTERVAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        let now = daemon.clock.now();
        let due = daemon.router.lock().take_due_polls(now);
        for poll in due {
            tokio::spawn(poll_one(Arc::clone(&daemon), poll.server));
        }
        if let Ok(snapshot) = daemon.snapshot() {
            refresh_slots(&daemon, &snapshot);
        }
        daemon.metrics.record_load(
            daemon.slots.queue_len_requests() as u64,
            daemon.open_requests_len() as u64,
        );
        daemon.caller_memory.trim_connections();
        daemon.metrics.record_callers(daemon.caller_memory.status());
    }
}

async fn poll_one(daemon: Arc<Daemon>, server: Arc<ResolvedServer>) {
    let report = daemon.backend.load(server.address).await;
    let now = daemon.clock.now();
    match report {
        Ok(report) => {
            super::config::observe_floor(&daemon, report.epoch_seen);
            let mut router = daemon.router.lock();
            router.apply_report(now, &server.name, &report);
        }
        Err(failure) => {
            log::debug!("load: polling {} failed: {failure}", server.name);
            let mut router = daemon.router.lock();
            router.record_poll_failure(now, &server.name);
        }
    }
}

/// Recomputes how many slots of each pool this daemon may use.
pub fn refresh_slots(daemon: &Daemon, snapshot: &Snapshot) {
    let now = daemon.clock.now();
    let counts = count_live_daemons(daemon, snapshot);
    for pool in snapshot.pools.keys() {
        let slots = daemon.router.lock().free_slots(now, pool);
        daemon.slots.set_pool_slots(pool, usable_slots(slots, counts));
    }
}

/// Returns the slots that one of several daemons may use. This is the larger
/// of its fair share of the near slots, and the slots that it uses now plus
/// its share of the free ones, so that a daemon can borrow slots that others
/// leave unused.
///
/// Near slots are those of the region, which all daemons of the region use.
/// When they were divided by the daemons of the zone only, two zones granted
/// each slot twice, and requests queued at the backend servers until they
/// timed out.
fn usable_slots(slots: PoolSlots, counts: LiveDaemonCounts) -> u32 {
    let near_daemons = subset_daemons(slots, counts.region_daemons);
    let fair = slots.near_slots_requests.div_ceil(near_daemons);
    let free = slots.near_free_requests.div_ceil(near_daemons)
        + slots.remote_free_requests / counts.fleet_daemons;
    fair.max(slots.in_flight_requests + free)
}

/// Returns how many daemons share one server of this daemon's subset: the
/// daemons of the region, scaled by the ratio of subset to pool.
fn subset_daemons(slots: PoolSlots, region_daemons: u32) -> u32 {
    let subset = u64::from(slots.near_subset_servers);
    let pool = u64::from(slots.near_pool_servers).max(1);
    let daemons = (u64::from(region_daemons) * subset).div_ceil(pool);
    u32::try_from(daemons).unwrap_or(u32::MAX).max(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a daemon that is held to its fair share while the rest
    /// of the pool is idle, and against one that gets less than that share.
    #[test]
    fn usable_slots_borrows_free_slots() {
        let mut slots = PoolSlots {
            near_slots_requests: 24,
            near_subset_servers: 3,
            near_pool_servers: 3,
            near_free_requests: 16,
            remote_free_requests: 0,
            in_flight_requests: 8,
        };
        let counts = LiveDaemonCounts { region_daemons: 3, fleet_daemons: 9 };
        assert_eq!(usable_slots(slots, counts), 14);
        slots.near_free_requests = 0;
        assert_eq!(usable_slots(slots, counts), 8);
        slots.in_flight_requests = 0;
        assert_eq!(usable_slots(slots, counts), 8);
    }

    /// Guards against dividing the subset by daemons that don't use it: a
    /// daemon of a large region then got 1 slot instead of 32.
    #[test]
    fn usable_slots_counts_daemons_of_subset() {
        let slots = PoolSlots {
            near_slots_requests: 256,
            near_subset_servers: 32,
            near_pool_servers: 1_666,
            ..PoolSlots::default()
        };
        let counts =
            LiveDaemonCounts { region_daemons: 416, fleet_daemons: 2_500 };
        assert_eq!(usable_slots(slots, counts), 32);
    }

    /// Guards against granting free slots of other regions more than once:
    /// every daemon of the fleet sees the same slots.
    #[test]
    fn usable_slots_divides_remote_slots_over_fleet() {
        let slots = PoolSlots {
            near_slots_requests: 24,
            near_subset_servers: 3,
            near_pool_servers: 3,
            near_free_requests: 0,
            remote_free_requests: 18,
            in_flight_requests: 8,
        };
        let counts = LiveDaemonCounts { region_daemons: 3, fleet_daemons: 9 };
        assert_eq!(usable_slots(slots, counts), 10);
    }
}
