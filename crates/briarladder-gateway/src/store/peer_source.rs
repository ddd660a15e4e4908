//! Receives changes of the store from other daemons.
//!
//! A follower long-polls its parent in the tree of its zone. A daemon that
//! cannot reach the store polls a random peer.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::fleet::{
    store_roles::{Role, SOURCE_BACKOFF},
    store_version::StoreVersion,
};
use futures_util::future::join_all;
use rand::seq::IndexedRandom;

use crate::{
    blackboard::StoreRole,
    context::Gateway,
    peers::{
        changes::{CHANGES_PATH, ChangesRequest, ChangesResponse},
        client::PeerError,
        earlier_changes::{
            EVACUATIONLESS_CHANGES_PATH, EvacuationlessResponse,
            SLOTLESS_CHANGES_PATH, SlotlessResponse, VERSIONLESS_CHANGES_PATH,
            VersionlessResponse,
        },
        eraless_changes::{
            ERALESS_CHANGES_PATH, EralessRequest, EralessResponse,
        },
    },
};

use super::apply::{
    DecodedConfig, DecodedItems, apply_changes, apply_config,
    apply_evacuation_listing, apply_listing,
};

/// How often a daemon without a source looks for one.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between polls of peers while the store is unreachable.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// How long the store must be unreachable before peers are polled.
const PEER_FALLBACK_DELAY: Duration = Duration::from_millis(300);

/// Timeout of a call to a peer beyond its long-poll timeout.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a source is skipped that has not heard of a restore yet. It lists
/// the store, or receives the items, within a few hundred milliseconds.
const EARLIER_ERA_BACKOFF: Duration = Duration::from_millis(200);

/// Peers that a daemon asks before it reads the store for the first time.
const START_PEERS: usize = 3;

/// The longest time for that. A peer that has just ended doesn't answer.
const START_POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// How long after a start or a restore a random peer is polled as well. Its
/// configuration may be newer than that of the store.
const SETTLE_TIME: Duration = Duration::from_secs(3);

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
            Ok(SourceState::Current) => None,
            Ok(SourceState::OutOfContact) => {
                let cause = "it no longer receives changes".to_owned();
                Some((SOURCE_BACKOFF, cause))
            }
            Ok(SourceState::EarlierEra) => {
                let cause = "it doesn't know the restore of the store";
                Some((EARLIER_ERA_BACKOFF, cause.to_owned()))
            }
            Err(error) => Some((SOURCE_BACKOFF, error.to_string())),
        };
        if let Some((backoff, cause)) = failure {
            log::info!("store: source={source} outcome=lost cause={cause}");
            gateway
                .blackboard
                .source_tracker
                .borrow_mut()
                .record_failure(now, &source, backoff);
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

/// What the answer of another daemon says of it as a source.
enum SourceState {
    /// It receives changes.
    Current,
    /// It receives no changes itself.
    OutOfContact,
    /// It has not received the items of the store since a restore that this
    /// daemon knows.
    EarlierEra,
}

/// Polls peers while the store is unreachable, and for a while after a start
/// or a restore. Never returns.
pub async fn run_peer_fallback(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(PEER_POLL_INTERVAL).await;
        let blackboard = &gateway.blackboard;
        let unreachable_for = blackboard.store_unreachable_for();
        let has_source =
            blackboard.source_tracker.borrow().is_fresh(blackboard.now());
        let needs_source = !has_source
            && unreachable_for.is_some_and(|time| time > PEER_FALLBACK_DELAY);
        if needs_source || is_settling(&gateway) {
            poll_peers(&gateway, 1).await;
        }
    }
}

/// Returns whether the process has just started or the store was just
/// restored, so that the store may have lost a newer configuration.
fn is_settling(gateway: &Gateway) -> bool {
    let blackboard = &gateway.blackboard;
    let since = blackboard.restored_at.get().unwrap_or(blackboard.started_at);
    blackboard.now().duration_since(since) < SETTLE_TIME
}

/// Polls some peers before the first call to the store, which may have been
/// restored from a copy with an older configuration.
pub async fn poll_peers_at_start(gateway: &Gateway) {
    let polls = async {
        // The first answer may hold all items, the others what it lacks.
        poll_peers(gateway, 1).await;
        poll_peers(gateway, START_PEERS - 1).await;
    };
    if tokio::time::timeout(START_POLL_TIMEOUT, polls).await.is_err() {
        log::info!("store: source=peer outcome=timed_out at=start");
    }
}

async fn poll_peers(gateway: &Gateway, count: usize) {
    let now = gateway.blackboard.now();
    let addresses: Vec<SocketAddr> = {
        let peers = gateway.blackboard.peers.borrow();
        let live: Vec<_> = peers.live_peers(now).collect();
        let chosen = live.sample(&mut rand::rng(), count);
        chosen.map(|member| member.address).collect()
    };
    let polls = addresses.into_iter().map(|address| async move {
        if let Err(error) = poll_peer(gateway, address, Duration::ZERO).await {
            log::debug!("store: {error}");
        }
    });
    join_all(polls).await;
}

/// Requests changes from a peer and applies them.
async fn poll_peer(
    gateway: &Gateway,
    address: SocketAddr,
    wait: Duration,
) -> Result<SourceState, PeerError> {
    let asked_at = gateway.blackboard.now();
    let request = {
        let mirror = gateway.blackboard.mirror.borrow();
        ChangesRequest {
            after: mirror.version(),
            config: mirror.config().map(|config| config.stamp),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        }
    };
    let is_first = request.after == StoreVersion::default();
    let timeout =
        if is_first { FULL_LIST_TIMEOUT } else { wait + PEER_TIMEOUT };
    let sent =
        gateway.peers.call(address, CHANGES_PATH, &request, timeout).await;
    let response = match sent {
        // What an earlier version of the daemon knows is of use only to one
        // that knows nothing.
        Err(error) if error.is_unknown_path() && is_first => {
            list_earlier_version(gateway, address, &request).await?
        }
        sent => sent?,
    };
    Ok(apply_response(gateway, address, asked_at, &request, response))
}

/// Requests all items from a peer of an earlier version of the daemon.
async fn list_earlier_version(
    gateway: &Gateway,
    address: SocketAddr,
    request: &ChangesRequest,
) -> Result<ChangesResponse, PeerError> {
    let peers = &gateway.peers;
    let path = SLOTLESS_CHANGES_PATH;
    let sent: Result<SlotlessResponse, PeerError> =
        peers.call(address, path, request, FULL_LIST_TIMEOUT).await;
    match sent {
        Err(error) if error.is_unknown_path() => {}
        sent => return Ok(sent?.into()),
    }
    let path = VERSIONLESS_CHANGES_PATH;
    let sent: Result<VersionlessResponse, PeerError> =
        peers.call(address, path, request, FULL_LIST_TIMEOUT).await;
    match sent {
        Err(error) if error.is_unknown_path() => {}
        sent => return Ok(sent?.into()),
    }
    let path = EVACUATIONLESS_CHANGES_PATH;
    let sent: Result<EvacuationlessResponse, PeerError> =
        peers.call(address, path, request, FULL_LIST_TIMEOUT).await;
    match sent {
        Err(error) if error.is_unknown_path() => {
            let path = ERALESS_CHANGES_PATH;
            let request =
                EralessRequest { after: 0, wait_ms: request.wait_ms };
            let response: EralessResponse =
                peers.call(address, path, &request, FULL_LIST_TIMEOUT).await?;
            Ok(response.into())
        }
        sent => Ok(sent?.into()),
    }
}

fn apply_response(
    gateway: &Gateway,
    address: SocketAddr,
    asked_at: Instant,
    request: &ChangesRequest,
    mut response: ChangesResponse,
) -> SourceState {
    let ChangesResponse { complete, version, in_contact, .. } = response;
    let item_count = response.item_count();
    if item_count > 0 {
        log::info!(
            "store: source=peer peer={address} items={item_count} {version}"
        );
    }
    let config = response.config.take().and_then(|config| {
        DecodedConfig::from_peer(gateway, config.written_at, config.bytes)
    });
    let known = gateway.blackboard.mirror.borrow().version();
    let state = if in_contact {
        SourceState::Current
    } else {
        SourceState::OutOfContact
    };
    if version.era < known.era {
        apply_config(gateway, config);
        return SourceState::EarlierEra;
    }
    if !complete && item_count == 0 && version <= known {
        if in_contact {
            gateway.blackboard.record_heard_of_store();
        }
        return state;
    }
    if let Some(listed) = response.take_evacuations() {
        apply_evacuation_listing(gateway, &listed, version);
    }
    let servers = response.into_servers();
    let items = DecodedItems { config, servers, ..DecodedItems::default() };
    if complete {
        apply_listing(gateway, asked_at, items, version);
    } else if version.era == request.after.era {
        apply_changes(gateway, items, version);
        gateway.blackboard.record_versions_listed(asked_at, false);
    }
    if in_contact {
        gateway.blackboard.record_heard_of_store();
    }
    state
}
