//! Learns from other daemons which requests crash servers.
//!
//! News of a crash comes with the gossip messages. What is no longer news is
//! compared with a daemon whose digest differs, for example after a start or a
//! network partition. A daemon that has just started reports that it is ready
//! once it has asked one that knows.

use std::{net::SocketAddr, time::Duration};

use briarladder_core::fleet::crash_tracker::{
    CrashDifference, CrashDigest, CrashNotice,
};

use crate::context::Gateway;

use super::{
    client::PeerError,
    messages::{Ack, COMPARE_CRASHES_PATH, CRASHES_PATH, CrashList},
};

/// Timeout of a message that carries crashes.
const COMPARISON_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a daemon that has just started looks for one that knows of
/// crashes, before it reports that it is ready. None may be reachable.
const START_SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Merges the news of another daemon.
pub(super) fn learn(gateway: &Gateway, notices: &[CrashNotice], source: &str) {
    let blackboard = &gateway.blackboard;
    let now = blackboard.now();
    let learned = blackboard.crash_tracker.borrow_mut().merge(now, notices);
    record_learned(gateway, learned, source);
}

/// Merges what another daemon has sent after a comparison.
pub(super) fn learn_compared(gateway: &Gateway, notices: &[CrashNotice]) {
    let blackboard = &gateway.blackboard;
    let now = blackboard.now();
    let mut tracker = blackboard.crash_tracker.borrow_mut();
    let learned = tracker.merge_compared(now, notices);
    drop(tracker);
    record_learned(gateway, learned, "comparison");
}

/// Compares crashes with a daemon if its digest requires that.
///
/// # Errors
///
/// If the daemon does not respond in time.
pub(super) async fn compare(
    gateway: &Gateway,
    address: SocketAddr,
    digest: CrashDigest,
) -> Result<(), PeerError> {
    let blackboard = &gateway.blackboard;
    let summary = {
        let now = blackboard.now();
        let mut tracker = blackboard.crash_tracker.borrow_mut();
        if !tracker.begin_comparison(now, digest) {
            return Ok(());
        }
        tracker.summarize(now)
    };
    let difference: CrashDifference = gateway
        .peers
        .call(address, COMPARE_CRASHES_PATH, &summary, COMPARISON_TIMEOUT)
        .await?;
    let now = blackboard.now();
    let merged = blackboard
        .crash_tracker
        .borrow_mut()
        .merge_difference(now, &difference);
    record_learned(gateway, merged.learned, "comparison");
    if digest.is_synced() {
        set_synced(gateway, "peer");
    }
    if !merged.replies.is_empty() {
        let message = CrashList { crashes: merged.replies };
        let _: Ack = gateway
            .peers
            .call(address, CRASHES_PATH, &message, COMPARISON_TIMEOUT)
            .await?;
    }
    Ok(())
}

/// Stops looking for a daemon that knows of crashes if there is none to ask, or
/// none was found in time.
pub(super) fn end_start_sync(gateway: &Gateway) {
    let blackboard = &gateway.blackboard;
    let now = blackboard.now();
    let is_over =
        now.duration_since(blackboard.started_at) >= START_SYNC_TIMEOUT;
    let me = blackboard.peers.borrow().local_member().address;
    let is_alone = blackboard.seeds.borrow().iter().all(|&seed| seed == me)
        && blackboard.joined_at.get().is_none();
    if is_over {
        set_synced(gateway, "timeout");
    } else if is_alone {
        set_synced(gateway, "alone");
    }
}

fn set_synced(gateway: &Gateway, source: &str) {
    let blackboard = &gateway.blackboard;
    let now = blackboard.now();
    let mut tracker = blackboard.crash_tracker.borrow_mut();
    if tracker.set_synced() {
        log::info!(
            "crashers: event=synced source={source} refused={} ms={}",
            tracker.refused_count(now),
            now.duration_since(blackboard.started_at).as_millis()
        );
    }
}

fn record_learned(gateway: &Gateway, learned: usize, source: &str) {
    if learned == 0 {
        return;
    }
    let blackboard = &gateway.blackboard;
    let now = blackboard.now();
    let (refused, is_urgent) = {
        let tracker = blackboard.crash_tracker.borrow();
        (tracker.refused_count(now), tracker.has_urgent_news(now))
    };
    log::info!(
        "crashers: learned={learned} refused={refused} source={source}"
    );
    if is_urgent {
        blackboard.hasten_gossip();
    }
}
