//! Replicates which version began which stream, and asks the replicas.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::{
        store_version::StoreVersion,
        stream_versions::{
            MAX_ATTEMPT_BYTES, OriginNotice, REPLICA_COUNT, Software,
            VersionSummary, replicas,
        },
    },
    sorted::SortedMap,
};
use futures_util::{StreamExt, future::join_all, stream::FuturesUnordered};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use crate::context::Gateway;

use super::{client::PeerError, messages::Ack};

/// The path for sending records of streams.
pub const ORIGINS_PATH: &str = "/peers/stream-origins";

/// The path of a question which version began a stream.
pub const FIND_ORIGIN_PATH: &str = "/peers/find-stream-origin";

/// The path of a question which versions were listed recently.
pub const VERSIONS_PATH: &str = "/peers/listed-versions";

/// How long records are collected before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Timeout of a message with records.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(500);

/// How long other daemons are asked; a caller may wait meanwhile.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);

/// Daemons that are asked which version began a stream. One more than there
/// are replicas: one that has started since may have taken a place.
const ASKED_COUNT: usize = REPLICA_COUNT + 1;

/// Daemons that are asked at once for the versions of the past. One of them
/// may have started a short while ago as well.
const ASKED_FOR_VERSIONS: usize = 3;

/// Records in one message, which is far smaller than the longest one that a
/// daemon takes.
const MAX_LIST_LEN: usize = 1000;

/// How often the versions are checked, and other daemons asked for those that
/// this one doesn't know.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How often another daemon is asked for the versions of the past.
const CHECKS_PER_QUESTION: u32 = 4;

/// Records of streams.
#[derive(Debug, Deserialize, Serialize)]
pub struct OriginList {
    /// The records.
    pub origins: Vec<OriginNotice>,
}

/// Asks which version began a stream.
#[derive(Debug, Deserialize, Serialize)]
pub struct FindOrigin {
    /// The caller's attempt that brought the first event.
    pub attempt: Arc<str>,
}

/// The answer to [`FindOrigin`].
#[derive(Debug, Deserialize, Serialize)]
pub struct FoundOrigin {
    /// The version; `None` if it isn't known.
    pub software: Option<Software>,
}

/// Asks which versions were listed recently.
#[derive(Debug, Deserialize, Serialize)]
pub struct VersionsRequest {}

/// The answer to [`VersionsRequest`].
#[derive(Debug, Deserialize, Serialize)]
pub struct VersionsAnswer {
    /// The version of the store up to which the daemon knows all changes.
    pub known: StoreVersion,
    /// The versions of software.
    pub summary: VersionSummary,
}

/// Sends queued records to their replicas. Never returns.
pub async fn run_replication(gateway: Rc<Gateway>) {
    let versions = &gateway.blackboard.stream_versions;
    loop {
        versions.wait_queued().await;
        tokio::time::sleep(BATCH_DELAY).await;
        for (&address, origins) in by_replica(&gateway).iter() {
            for origins in origins.chunks(MAX_LIST_LEN) {
                let message = OriginList { origins: origins.to_vec() };
                let gateway = Rc::clone(&gateway);
                tokio::task::spawn_local(send_origins(
                    gateway, address, message,
                ));
            }
        }
    }
}

async fn send_origins(
    gateway: Rc<Gateway>,
    address: SocketAddr,
    message: OriginList,
) {
    let peers = &gateway.peers;
    let sent: Result<Ack, PeerError> =
        peers.call(address, ORIGINS_PATH, &message, REPLICATION_TIMEOUT).await;
    if let Err(error) = sent {
        // The other replicas have the records.
        log::debug!("streams: {error}");
    }
}

/// Returns the queued records by the address of each replica.
fn by_replica(gateway: &Gateway) -> SortedMap<SocketAddr, Vec<OriginNotice>> {
    let mut lists = SortedMap::new();
    for notice in gateway.blackboard.stream_versions.take_queue() {
        for address in
            replica_addresses(gateway, &notice.attempt, REPLICA_COUNT)
        {
            lists.get_or_insert_with(address, Vec::new).push(notice.clone());
        }
    }
    lists
}

/// Returns the addresses of the first replicas of a stream among the other
/// live daemons.
fn replica_addresses(
    gateway: &Gateway,
    attempt: &str,
    count: usize,
) -> Vec<SocketAddr> {
    let blackboard = &gateway.blackboard;
    let now = blackboard.now();
    let peers = blackboard.peers.borrow();
    let names: Vec<&Arc<str>> =
        peers.live_peers(now).map(|member| &member.name).collect();
    replicas(attempt, &names, count)
        .into_iter()
        .filter_map(|name| peers.address_of(now, name))
        .collect()
}

/// Asks other daemons which version began a stream.
pub async fn find_origin(
    gateway: &Gateway,
    attempt: &Arc<str>,
) -> Option<Software> {
    if attempt.len() > MAX_ATTEMPT_BYTES {
        // No daemon records it.
        return None;
    }
    let message = FindOrigin { attempt: Arc::clone(attempt) };
    let addresses = replica_addresses(gateway, attempt, ASKED_COUNT);
    let mut answers: FuturesUnordered<_> = addresses
        .into_iter()
        .map(|address| {
            let peers = &gateway.peers;
            peers.call(address, FIND_ORIGIN_PATH, &message, QUESTION_TIMEOUT)
        })
        .collect();
    while let Some(answer) = answers.next().await {
        let answer: Result<FoundOrigin, PeerError> = answer;
        match answer {
            Ok(FoundOrigin { software: Some(software) }) => {
                return Some(software);
            }
            Ok(FoundOrigin { software: None }) => {}
            Err(error) => log::debug!("streams: {error}"),
        }
    }
    None
}

/// Follows which versions are listed, and learns from other daemons which
/// ones were before. Never returns.
pub async fn run_version_checks(gateway: Rc<Gateway>) {
    let mut checks: u32 = 0;
    loop {
        let blackboard = &gateway.blackboard;
        blackboard.update_stream_versions();
        let is_due = checks.is_multiple_of(CHECKS_PER_QUESTION);
        if is_due && blackboard.is_ready() && !blackboard.knows_versions() {
            ask_for_versions(&gateway).await;
        }
        checks = checks.wrapping_add(1);
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Asks some daemons which versions were listed recently.
pub async fn ask_for_versions(gateway: &Gateway) {
    let blackboard = &gateway.blackboard;
    let addresses: Vec<SocketAddr> = {
        let peers = blackboard.peers.borrow();
        let live = peers.live_peers(blackboard.now());
        let live = live.map(|member| member.address);
        live.sample(&mut rand::rng(), ASKED_FOR_VERSIONS)
    };
    let message = VersionsRequest {};
    let calls = addresses.into_iter().map(|address| {
        let peers = &gateway.peers;
        peers.call(address, VERSIONS_PATH, &message, QUESTION_TIMEOUT)
    });
    let answers: Vec<Result<VersionsAnswer, PeerError>> =
        join_all(calls).await;
    for answer in answers {
        match answer {
            Ok(answer) => merge_versions(gateway, answer),
            Err(error) => log::debug!("streams: {error}"),
        }
    }
    if blackboard.knows_versions() {
        let elapsed = blackboard.now().duration_since(blackboard.started_at);
        log::info!(
            "streams: event=versions_known source=peer ms={}",
            elapsed.as_millis()
        );
    }
}

fn merge_versions(gateway: &Gateway, answer: VersionsAnswer) {
    let blackboard = &gateway.blackboard;
    let VersionsAnswer { known, mut summary } = answer;
    if known < blackboard.mirror.borrow().version() {
        // Versions may have come and gone between what the other daemon knows
        // and the first listing of this one.
        summary.covered_ms = 0;
    }
    blackboard.merge_versions(&summary);
}
