//! Learning of changes from other daemons.
//!
//! A follower waits for changes at the daemon above it in the tree of its
//! zone; a daemon that the store does not answer asks any peer.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use briarladder_core::fleet::store_roles::Role;
use rand::seq::IndexedRandom;

use crate::{
    board::StoreRole,
    context::Gateway,
    peers::{
        changes::{CHANGES_PATH, ChangesReply, ChangesRequest},
        client::PeerError,
    },
};

use super::apply::{advance, apply, apply_list};

/// How often a daemon that has no source to ask looks for one.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The time between two questions to peers while the store does not answer.
const PEER_INTERVAL: Duration = Duration::from_millis(400);

/// The store may be silent for this long before peers are asked.
const PEERS_AFTER: Duration = Duration::from_millis(300);

/// The longest time for an answer of a peer beyond its wait.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest time for a first answer, which holds everything.
const FIRST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Follows a source for as long as the process runs and is a follower.
pub async fn follow_source(gateway: Rc<Gateway>) {
    let mut last: Option<Arc<str>> = None;
    loop {
        let StoreRole { role, feed_wait, .. } = gateway.board.store_role();
        let Some((source, address)) = source(&gateway, &role) else {
            tokio::time::sleep(LOOK_INTERVAL).await;
            continue;
        };
        // A new source shows at once whether it is of use.
        let known = last.as_ref() == Some(&source);
        let wait = if known { feed_wait } else { Duration::ZERO };
        let asked_at = gateway.board.now();
        let answer = tokio::select! {
            answer = ask(&gateway, address, wait) => answer,
            () = gateway.board.woken.notified() => {
                last = None;
                continue;
            }
        };
        let now = gateway.board.now();
        let failure = match answer {
            Ok(true) => None,
            Ok(false) => Some("it has lost the store".to_owned()),
            Err(error) => Some(error.to_string()),
        };
        if let Some(cause) = failure {
            log::info!("store: source={source} outcome=lost cause={cause}");
            gateway.board.feeds.borrow_mut().record_failure(now, &source);
            gateway.board.mirror_changed.notify_waiters();
            last = None;
            continue;
        }
        gateway
            .board
            .feeds
            .borrow_mut()
            .record_response(now, &source, feed_wait);
        last = Some(source);
        // An answer that comes at once, again and again, is no feed.
        if known && now.duration_since(asked_at) < LOOK_INTERVAL {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}

fn source(gateway: &Gateway, role: &Role) -> Option<(Arc<str>, SocketAddr)> {
    let Role::Follower { sources, .. } = role else { return None };
    let now = gateway.board.now();
    let feeds = gateway.board.feeds.borrow();
    let source = feeds.choose_source(now, sources)?;
    let peers = gateway.board.peers.borrow();
    let address = peers.address_of(now, source)?;
    Some((Arc::clone(source), address))
}

/// Asks peers while the store does not answer, for as long as the process
/// runs.
pub async fn follow_peers(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(PEER_INTERVAL).await;
        let board = &gateway.board;
        let lost = board.store_lost_for();
        let fed = board.feeds.borrow().is_fresh(board.now());
        if !fed && lost.is_some_and(|lost| lost > PEERS_AFTER) {
            ask_any_peer(&gateway).await;
        }
    }
}

async fn ask_any_peer(gateway: &Gateway) {
    let now = gateway.board.now();
    let peer = {
        let peers = gateway.board.peers.borrow();
        let live: Vec<_> = peers.live_peers(now).collect();
        live.choose(&mut rand::rng()).map(|member| member.address)
    };
    let Some(address) = peer else { return };
    if let Err(error) = ask(gateway, address, Duration::ZERO).await {
        log::debug!("store: {error}");
    }
}

/// Asks a peer for changes, applies them, and returns whether that peer
/// learns of changes.
async fn ask(
    gateway: &Gateway,
    address: SocketAddr,
    wait: Duration,
) -> Result<bool, PeerError> {
    let after = gateway.board.mirror.borrow().revision();
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let message = ChangesRequest { after, wait_ms };
    let timeout = if after == 0 { FIRST_TIMEOUT } else { wait + PEER_TIMEOUT };
    let reply: ChangesReply =
        gateway.peers.call(address, CHANGES_PATH, &message, timeout).await?;
    let in_contact = reply.in_contact;
    take(gateway, address, after, reply);
    Ok(in_contact)
}

fn take(
    gateway: &Gateway,
    address: SocketAddr,
    after: u64,
    reply: ChangesReply,
) {
    let revision = reply.revision;
    if revision <= after {
        return;
    }
    if reply.count() > 0 {
        log::info!(
            "store: source=peer peer={address} items={} revision={revision}",
            reply.count(),
        );
    }
    let complete = reply.complete;
    let items = reply.items();
    if complete {
        apply_list(gateway, &items, revision);
    } else {
        for item in items {
            apply(gateway, &item);
        }
        advance(gateway, revision);
    }
}
