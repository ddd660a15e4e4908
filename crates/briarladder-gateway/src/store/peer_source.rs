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
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between polls of peers while the store is unreachable.
const PEER_INTERVAL: Duration = Duration::from_millis(400);

/// How long the store must be unreachable before peers are polled.
const PEERS_AFTER: Duration = Duration::from_millis(300);

/// Timeout of a call to a peer beyond its long-poll timeout.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of the first call, whose response holds all items.
const FIRST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Polls the source of this daemon while it is a follower. Never returns.
pub async fn run_follower(gateway: Rc<Gateway>) {
    let mut last: Option<Arc<str>> = None;
    loop {
        let StoreRole { role, follower_poll_timeout: feed_wait, .. } =
            gateway.blackboard.store_role();
        let Some((source, address)) = source(&gateway, &role) else {
            tokio::time::sleep(LOOK_INTERVAL).await;
            continue;
        };
        // The first call to a source does not wait, to find out at once
        // whether it is usable.
        let known = last.as_ref() == Some(&source);
        let wait = if known { feed_wait } else { Duration::ZERO };
        let asked_at = gateway.blackboard.now();
        let answer = tokio::select! {
            answer = ask(&gateway, address, wait) => answer,
            () = gateway.blackboard.suspension_detected.notified() => {
                last = None;
                continue;
            }
        };
        let now = gateway.blackboard.now();
        let failure = match answer {
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
        gateway
            .blackboard
            .source_tracker
            .borrow_mut()
            .record_response(now, &source, feed_wait);
        last = Some(source);
        // Limits the rate of calls to a source that always responds at once.
        if known && now.duration_since(asked_at) < LOOK_INTERVAL {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}

fn source(gateway: &Gateway, role: &Role) -> Option<(Arc<str>, SocketAddr)> {
    let Role::Follower { sources, .. } = role else { return None };
    let now = gateway.blackboard.now();
    let feeds = gateway.blackboard.source_tracker.borrow();
    let source = feeds.choose_source(now, sources)?;
    let peers = gateway.blackboard.peers.borrow();
    let address = peers.address_of(now, source)?;
    Some((Arc::clone(source), address))
}

/// Polls peers while the store is unreachable. Never returns.
pub async fn run_peer_fallback(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(PEER_INTERVAL).await;
        let blackboard = &gateway.blackboard;
        let lost = blackboard.store_unreachable_for();
        let fed =
            blackboard.source_tracker.borrow().is_fresh(blackboard.now());
        if !fed && lost.is_some_and(|lost| lost > PEERS_AFTER) {
            ask_any_peer(&gateway).await;
        }
    }
}

async fn ask_any_peer(gateway: &Gateway) {
    let now = gateway.blackboard.now();
    let peer = {
        let peers = gateway.blackboard.peers.borrow();
        let live: Vec<_> = peers.live_peers(now).collect();
        live.choose(&mut rand::rng()).map(|member| member.address)
    };
    let Some(address) = peer else { return };
    if let Err(error) = ask(gateway, address, Duration::ZERO).await {
        log::debug!("store: {error}");
    }
}

/// Requests changes from a peer and applies them. Returns whether the peer
/// receives changes itself.
async fn ask(
    gateway: &Gateway,
    address: SocketAddr,
    wait: Duration,
) -> Result<bool, PeerError> {
    let after = gateway.blackboard.mirror.borrow().revision();
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let message = ChangesRequest { after, wait_ms };
    let timeout = if after == 0 { FIRST_TIMEOUT } else { wait + PEER_TIMEOUT };
    let reply: ChangesResponse =
        gateway.peers.call(address, CHANGES_PATH, &message, timeout).await?;
    let in_contact = reply.in_contact;
    take(gateway, address, after, reply);
    Ok(in_contact)
}

fn take(
    gateway: &Gateway,
    address: SocketAddr,
    after: u64,
    reply: ChangesResponse,
) {
    let revision = reply.revision;
    if revision <= after {
        return;
    }
    if reply.item_count() > 0 {
        log::info!(
            "store: source=peer peer={address} items={} revision={revision}",
            reply.item_count(),
        );
    }
    let complete = reply.complete;
    let items = reply.into_items();
    if complete {
        apply_snapshot(gateway, &items, revision);
    } else {
        for item in items {
            apply_change(gateway, &item);
        }
        advance_revision(gateway, revision);
    }
}
