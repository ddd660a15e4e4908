//! Receives changes of the store from other daemons.
//!
//! A follower long-polls its parent in the tree of its zone. A daemon that
//! cannot reach the store polls a random peer.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use briarladder_core::fleet::store_roles::Role;
use rand::seq::IndexedRandom;

use crate::{
    blackboard::StoreRole,
    context::Gateway,
    peers::{
        changes::{CHANGES_PATH, ChangesRequest, ChangesResponse},
        client::PeerError,
    },
};

use super::apply::{advance_revision, apply_change, apply_snapshot};

/// How often a daemon without a source looks for one.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between polls of peers while the store is unreachable.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// How long the store must be unreachable before peers are polled.
const PEER_FALLBACK_DELAY: Duration = Duration::from_millis(300);

/// Timeout of a call to a peer beyond its long-poll timeout.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of the first call, whose response holds all items.
const FULL_LIST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Polls the source of this daemon while it is a follower. Never returns.
pub async fn run_follower(gateway: Rc<Gateway>) {
    let mut last: Option<Arc<str>> = None;
    loop {
        let StoreRole { role, follower_poll_timeout, .. } =
            gateway.blackboard.store_role();
        let Some((source, address)) = current_source(&gateway, &role) else {
            tokio::time::sleep(SOURCE_CHECK_INTERVAL).await;
            continue;
        };
        // The first call to a source does not wait, to find out at once
        // whether it is usable.
        let known = last.as_ref() == Some(&source);
        let wait = if known { follower_poll_timeout } else { Duration::ZERO };
        let polled_at = gateway.blackboard.now();
        let response = tokio::select! {
            response = poll_peer(&gateway, address, wait) => response,
            () = gateway.blackboard.suspension_detected.notified() => {
                last = None;
                continue;
            }
        };
        let now = gateway.blackboard.now();
        let failure = match response {
            Ok(true) => None,
            Ok(false) => Some("it no longer receives changes".to_owned()),
            Err(error) => Some(error.to_string()),
        };
        if let Some(cause) = failure {
            log::info!("store: source={source} outcome=lost cause={cause}");
            gateway
                .blackboard
                .source_tracker
                .borrow_mut()
                .record_failure(now, &source);
            gateway.blackboard.mirror_changed.notify_waiters();
            last = None;
            continue;
        }
        gateway.blackboard.source_tracker.borrow_mut().record_response(
            now,
            &source,
            follower_poll_timeout,
        );
        last = Some(source);
        // Limits the rate of calls to a source that always responds at once.
        if known && now.duration_since(polled_at) < SOURCE_CHECK_INTERVAL {
            tokio::time::sleep(SOURCE_CHECK_INTERVAL).await;
        }
    }
}

fn current_source(
    gateway: &Gateway,
    role: &Role,
) -> Option<(Arc<str>, SocketAddr)> {
    let Role::Follower { sources, .. } = role else { return None };
    let now = gateway.blackboard.now();
    let source_tracker = gateway.blackboard.source_tracker.borrow();
    let source = source_tracker.choose_source(now, sources)?;
    let peers = gateway.blackboard.peers.borrow();
    let address = peers.address_of(now, source)?;
    Some((Arc::clone(source), address))
}

/// Polls peers while the store is unreachable. Never returns.
pub async fn run_peer_fallback(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(PEER_POLL_INTERVAL).await;
        let blackboard = &gateway.blackboard;
        let unreachable_for = blackboard.store_unreachable_for();
        let has_source =
            blackboard.source_tracker.borrow().is_fresh(blackboard.now());
        if !has_source
            && unreachable_for.is_some_and(|time| time > PEER_FALLBACK_DELAY)
        {
            poll_any_peer(&gateway).await;
        }
    }
}

async fn poll_any_peer(gateway: &Gateway) {
    let now = gateway.blackboard.now();
    let peer = {
        let peers = gateway.blackboard.peers.borrow();
        let live: Vec<_> = peers.live_peers(now).collect();
        live.choose(&mut rand::rng()).map(|member| member.address)
    };
    let Some(address) = peer else { return };
    if let Err(error) = poll_peer(gateway, address, Duration::ZERO).await {
        log::debug!("store: {error}");
    }
}

/// Requests changes from a peer and applies them. Returns whether the peer
/// receives changes itself.
async fn poll_peer(
    gateway: &Gateway,
    address: SocketAddr,
    wait: Duration,
) -> Result<bool, PeerError> {
    let after = gateway.blackboard.mirror.borrow().revision();
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let message = ChangesRequest { after, wait_ms };
    let timeout =
        if after == 0 { FULL_LIST_TIMEOUT } else { wait + PEER_TIMEOUT };
    let response: ChangesResponse =
        gateway.peers.call(address, CHANGES_PATH, &message, timeout).await?;
    let in_contact = response.in_contact;
    apply_response(gateway, address, after, response);
    Ok(in_contact)
}

fn apply_response(
    gateway: &Gateway,
    address: SocketAddr,
    after: u64,
    response: ChangesResponse,
) {
    let revision = response.revision;
    // A peer may know single items that are newer than its revision.
    if revision <= after && response.item_count() == 0 {
        return;
    }
    if response.item_count() > 0 {
        log::info!(
            "store: source=peer peer={address} items={} revision={revision}",
            response.item_count(),
        );
    }
    let complete = response.complete;
    let items = response.into_items();
    if complete {
        apply_snapshot(gateway, &items, revision);
    } else {
        for item in items {
            apply_change(gateway, &item);
        }
        advance_revision(gateway, revision);
    }
}
