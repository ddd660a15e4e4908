//! Renews the leases of limits, and tells their homes who is live.

use std::sync::Arc;

use briarladder_core::{
    limits::{Handover, RENEWAL_INTERVAL},
    names::VmName,
};
use futures_util::StreamExt;

use crate::{daemon::Daemon, pipeline::limits};

/// The renewals that are on their way at once.
const CONCURRENT_RENEWALS: usize = 16;

/// The looks at the members in one renewal interval. A daemon that died
/// should not stay home of a limit for the whole interval.
const LOOKS_PER_RENEWAL: u32 = 4;

/// Renews leases until the process ends.
pub async fn renew(daemon: Arc<Daemon>) {
    let mut ticker =
        tokio::time::interval(RENEWAL_INTERVAL / LOOKS_PER_RENEWAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for look in 0_u32.. {
        ticker.tick().await;
        for handover in daemon.limits.set_members(live(&daemon)) {
            tokio::spawn(hand_over(Arc::clone(&daemon), handover));
        }
        if !look.is_multiple_of(LOOKS_PER_RENEWAL) {
            continue;
        }
        futures_util::stream::iter(daemon.limits.renewals())
            .for_each_concurrent(CONCURRENT_RENEWALS, |request| {
                let daemon = Arc::clone(&daemon);
                async move { limits::exchange(&daemon, &request).await }
            })
            .await;
    }
}

/// Sends leases to the new home of their limit. Without them the new home
/// waits until they have expired.
async fn hand_over(daemon: Arc<Daemon>, handover: Handover) {
    let to = handover.to.clone();
    let address = daemon.members.with(|m| m.get(&to).map(|m| m.address));
    let Some(address) = address else { return };
    let sent = daemon.peers.limits_hand_over(address, handover).await;
    if let Err(error) = sent {
        log::debug!("limits: {to} did not take leases over: {error}");
    }
}

/// Returns the live daemons of the fleet, because limits hold over all of
/// it.
fn live(daemon: &Daemon) -> Arc<[VmName]> {
    daemon.members.with(|members| {
        let live = members.iter().filter(|m| m.is_assignable());
        live.map(|m| m.name.clone()).collect()
    })
}
