//! Learning of changes from other daemons.
//!
//! A follower waits for changes at readers of its zone; a daemon that the
//! store does not answer asks any peer.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use briarladder_core::fleet::{mirror::Item, readers::Role};
use rand::seq::IndexedRandom;

use crate::{
    board::StoreRole,
    context::Gateway,
    peers::{
        client::PeerError,
        messages::{CHANGES_PATH, ChangesReply, ChangesRequest},
    },
};

use super::apply::{advance, apply, apply_list};

/// The feeds of a follower.
pub const FEEDS: usize = 2;

/// How often a daemon that has no reader to ask looks for one.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// The time between two questions to peers while the store does not answer.
const PEER_INTERVAL: Duration = Duration::from_millis(400);

/// The store may be silent for this long before peers are asked.
const PEERS_AFTER: Duration = Duration::from_millis(300);

/// The longest time for an answer of a peer beyond its wait.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// Follows one of the readers for as long as the process runs and is a
/// follower.
pub async fn follow_reader(gateway: Rc<Gateway>, feed: usize) {
    loop {
        let StoreRole { role, feed_wait } = gateway.board.store_role();
        let Some((reader, address)) = reader(&gateway, &role, feed) else {
            tokio::time::sleep(LOOK_INTERVAL).await;
            continue;
        };
        let answer = ask(&gateway, address, feed_wait).await;
        let now = gateway.board.now();
        let mut feeds = gateway.board.feeds.borrow_mut();
        match answer {
            Ok(true) => feeds.heard(now, &reader, feed_wait),
            Ok(false) => feeds.failed(now, &reader),
            Err(error) => {
                log::info!(
                    "store: reader={reader} outcome=lost cause={error}"
                );
                feeds.failed(now, &reader);
            }
        }
    }
}

fn reader(
    gateway: &Gateway,
    role: &Role,
    feed: usize,
) -> Option<(Arc<str>, SocketAddr)> {
    let Role::Follower(readers) = role else { return None };
    let now = gateway.board.now();
    let feeds = gateway.board.feeds.borrow();
    let reader = feeds.reader(now, readers, feed)?;
    let peers = gateway.board.peers.borrow();
    let beat = peers.live_peers(now).find(|beat| beat.name == *reader)?;
    Some((Arc::clone(reader), beat.address))
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
        live.choose(&mut rand::rng()).map(|beat| beat.address)
    };
    let Some(address) = peer else { return };
    if let Err(error) = ask(gateway, address, Duration::ZERO).await {
        log::debug!("store: {error}");
    }
}

/// Asks a peer for changes, applies them, and returns whether the store
/// answers that peer.
async fn ask(
    gateway: &Gateway,
    address: SocketAddr,
    wait: Duration,
) -> Result<bool, PeerError> {
    let after = gateway.board.mirror.borrow().revision();
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let message = ChangesRequest { after, wait_ms };
    let timeout = wait + PEER_TIMEOUT;
    let reply: ChangesReply =
        gateway.peers.call(address, CHANGES_PATH, &message, timeout).await?;
    let in_contact = reply.in_contact;
    take(gateway, address, after, &reply);
    Ok(in_contact)
}

fn take(
    gateway: &Gateway,
    address: SocketAddr,
    after: u64,
    reply: &ChangesReply,
) {
    if reply.revision <= after {
        return;
    }
    log::info!(
        "store: source=peer peer={address} items={} revision={}",
        reply.items.len(),
        reply.revision
    );
    let items: Vec<Item> = reply
        .items
        .iter()
        .filter_map(|message| match Item::try_from(message) {
            Ok(item) => Some(item),
            Err(error) => {
                log::warn!("store: key={} from a peer: {error}", message.key);
                None
            }
        })
        .collect();
    if reply.complete {
        apply_list(gateway, &items, reply.revision);
    } else {
        for item in items {
            apply(gateway, &item);
        }
        advance(gateway, reply.revision);
    }
}
