//! Renews this daemon's leases for limits of open requests, and updates the
//! list of live daemons from which the homes of each limit are chosen.

use std::sync::Arc;

use briarladder_core::{
    limits::{Handover, RENEWAL_INTERVAL},
    names::VmName,
};
use futures_util::StreamExt;

use crate::{daemon::Daemon, pipeline::limits};

/// The maximum number of concurrent renewals.
const CONCURRENT_RENEWALS: usize = 16;

/// How often the list of live daemons is updated in one renewal interval. A
/// daemon that died should not stay home of a limit for the whole interval.
const MEMBER_UPDATES_PER_RENEWAL: u32 = 4;

/// Renews leases until the process ends.
pub async fn renew(daemon: Arc<Daemon>) {
    let mut ticker =
        tokio::time::interval(RENEWAL_INTERVAL / MEMBER_UPDATES_PER_RENEWAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for tick in 0_u32.. {
        ticker.tick().await;
        for handover in daemon.limits.set_members(live_daemons(&daemon)) {
            tokio::spawn(hand_over(Arc::clone(&daemon), handover));
        }
        if !tick.is_multiple_of(MEMBER_UPDATES_PER_RENEWAL) {
            continue;
        }
        futures_util::stream::iter(daemon.limits.renewals())
            .for_each_concurrent(CONCURRENT_RENEWALS, |request| {
                let daemon = Arc::clone(&daemon);
                async move { limits::request_lease(&daemon, &request).await }
            })
            .await;
    }
}

/// Hands leases over to the new home of their limit. Otherwise the new home
/// can't grant units until the leases have expired.
async fn hand_over(daemon: Arc<Daemon>, handover: Handover) {
    let to = handover.to.clone();
    let address = daemon.members.with(|m| m.get(&to).map(|m| m.address));
    let Some(address) = address else { return };
    let sent = daemon.peers.limits_hand_over(address, handover).await;
    if let Err(error) = sent {
        log::debug!("limits: handing leases over to {to} failed: {error}");
    }
}

/// Returns the live daemons of the whole fleet, because limits are
/// fleet-wide.
fn live_daemons(daemon: &Daemon) -> Arc<[VmName]> {
    daemon.members.with(|members| {
        let live = members.iter().filter(|m| m.is_assignable());
        live.map(|m| m.name.clone()).collect()
    })
}
