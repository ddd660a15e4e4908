//! Outcomes of tickets whose issuer is gone.
//!
//! A daemon that shuts down gracefully hands the final outcome of every
//! ticket over to two peers. Final outcomes never change, so the copies
//! can't conflict. After a crash, the plain services are queried for the
//! calls that they ran; this can prove that a call ran, but never that it
//! did not.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use briarladder_core::{
    ids::Incarnation,
    names::{VmName, WorkspaceName},
    objects::{
        Role,
        snapshot::{ResolvedServer, Snapshot},
    },
    rendezvous,
    sorted::SortedMap,
    ticket::TicketId,
};
use briarladder_wire::{
    backend::CallRecord,
    callers::{TicketState, TicketStatus},
    peers::{FinalOutcomes, OutcomeResponse, TicketOutcome},
};
use futures_util::StreamExt;
use parking_lot::Mutex;

use crate::{
    controllers::live_peers::{Peer, Scope, live_peers},
    daemon::Daemon,
};

/// The number of peers that receive the outcomes of a daemon that shuts down.
const HOLDERS: usize = 2;

/// The number of peers that are queried for an outcome. It is larger than
/// [`HOLDERS`], because the members change between shutdown and query.
const QUERIED_PEERS: usize = 4;

/// The maximum number of outcomes in one message. With responses of 4 KB, a
/// message stays below about 1 MB.
const MAX_MESSAGE_OUTCOMES: usize = 256;

/// The maximum size of the responses in one message, in bytes. Those beyond
/// it are left out; their outcomes still say that the call ran.
const MAX_MESSAGE_RESPONSE_BYTES: usize = 1 << 20;

/// The maximum number of stopped daemons whose outcomes are kept. A daemon
/// receives those of about one a day when 1,100 of 2,500 VMs are replaced.
const MAX_KEPT_INCARNATIONS: usize = 32;

/// The maximum number of backend servers that are queried for one call.
const MAX_QUERIED_SERVERS: usize = 64;

/// The maximum number of concurrent queries.
const CONCURRENT_QUERIES: usize = 16;

/// The timeout for handing outcomes over before the process exits.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// The final outcomes that stopped daemons handed over to this one.
#[derive(Debug, Default)]
pub struct OutcomeStore {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    by_incarnation: SortedMap<Incarnation, SortedMap<u64, TicketStatus>>,
    /// The incarnations, oldest arrival first, for eviction.
    arrivals: VecDeque<Incarnation>,
}

impl OutcomeStore {
    /// Stores outcomes of a daemon that shuts down.
    pub fn accept(&self, outcomes: FinalOutcomes) {
        let mut inner = self.inner.lock();
        let incarnation = outcomes.incarnation;
        if !inner.by_incarnation.contains_key(&incarnation) {
            inner.arrivals.push_back(incarnation);
        }
        let by_sequence = inner
            .by_incarnation
            .get_or_insert_with(incarnation, SortedMap::new);
        for TicketOutcome { sequence, status } in outcomes.outcomes {
            by_sequence.insert(sequence, status);
        }
        while inner.arrivals.len() > MAX_KEPT_INCARNATIONS {
            if let Some(oldest) = inner.arrivals.pop_front() {
                inner.by_incarnation.remove(&oldest);
            }
        }
    }

    /// Returns the outcome of a ticket, if its issuer handed it over.
    #[must_use]
    pub fn find(&self, ticket: TicketId) -> Option<TicketStatus> {
        let inner = self.inner.lock();
        let by_sequence = inner.by_incarnation.get(&ticket.incarnation)?;
        by_sequence.get(&ticket.sequence).cloned()
    }
}

/// Hands the final outcomes of this daemon's tickets over to peers.
pub async fn hand_over(daemon: &Arc<Daemon>) {
    let outcomes = daemon.calls.final_outcomes();
    if outcomes.is_empty() {
        return;
    }
    let messages = to_messages(daemon.incarnation, outcomes);
    let peers = holders(daemon, daemon.incarnation, HOLDERS);
    let send_all = futures_util::stream::iter(&peers)
        .for_each_concurrent(HOLDERS, |peer| send(daemon, peer, &messages));
    if tokio::time::timeout(HANDOVER_TIMEOUT, send_all).await.is_err() {
        log::warn!("outcomes: peers did not take all outcomes in time");
    }
}

async fn send(daemon: &Daemon, peer: &Peer, messages: &[FinalOutcomes]) {
    for message in messages {
        let sent = daemon.peers.outcomes_accept(peer.address, message.clone());
        if let Err(error) = sent.await {
            log::warn!(
                "outcomes: handing outcomes over to {} failed: {error}",
                peer.name
            );
            return;
        }
    }
}

/// Splits outcomes into messages, and leaves out responses that would make a
/// message too large.
fn to_messages(
    incarnation: Incarnation,
    outcomes: Vec<TicketOutcome>,
) -> Vec<FinalOutcomes> {
    let mut messages = Vec::new();
    let mut outcomes = outcomes.into_iter().peekable();
    while outcomes.peek().is_some() {
        let mut response_bytes = 0;
        let outcomes = outcomes.by_ref().take(MAX_MESSAGE_OUTCOMES);
        let outcomes = outcomes
            .map(|mut outcome| {
                let answer = outcome.status.answer.as_ref();
                response_bytes += answer.map_or(0, |a| a.output.get().len());
                if response_bytes > MAX_MESSAGE_RESPONSE_BYTES {
                    outcome.status.answer = None;
                }
                outcome
            })
            .collect();
        messages.push(FinalOutcomes { incarnation, outcomes });
    }
    messages
}

/// Returns the first live peers in rendezvous order for an incarnation, which
/// hold its outcomes unless the members have changed.
fn holders(
    daemon: &Daemon,
    incarnation: Incarnation,
    count: usize,
) -> Vec<Peer> {
    let peers = live_peers(daemon, Scope::Fleet);
    let names: Vec<VmName> =
        peers.iter().map(|peer| peer.name.clone()).collect();
    let key = incarnation.to_string();
    let mut order = rendezvous::order(&key, &names);
    order.truncate(count);
    let peer_of =
        |name: &VmName| peers.iter().find(|peer| peer.name == *name).cloned();
    order.into_iter().filter_map(peer_of).collect()
}

/// Searches peers, then plain services for the outcome of a ticket whose
/// issuer does not know it.
pub async fn search(
    daemon: &Daemon,
    ticket: TicketId,
    workspace: &WorkspaceName,
) -> Option<TicketStatus> {
    if let Some(status) = daemon.outcomes.find(ticket) {
        return Some(status);
    }
    let issuer = ticket.incarnation;
    // This daemon still runs, so it has not handed its outcomes over.
    let count = if issuer == daemon.incarnation { 0 } else { QUERIED_PEERS };
    for peer in holders(daemon, issuer, count) {
        let response = daemon.peers.outcomes_find(peer.address, ticket).await;
        if let Ok(OutcomeResponse { status: Some(status) }) = response {
            return Some(status);
        }
    }
    let snapshot = daemon.snapshot().ok()?;
    query_services(daemon, &snapshot, ticket, workspace).await
}

/// Queries the plain services for a call. A service that ran it takes
/// precedence over one where it is still running.
async fn query_services(
    daemon: &Daemon,
    snapshot: &Snapshot,
    ticket: TicketId,
    workspace: &WorkspaceName,
) -> Option<TicketStatus> {
    let key = ticket.to_string();
    let servers = services(snapshot, workspace);
    let key = key.as_str();
    let mut records = std::pin::pin!(
        futures_util::stream::iter(servers)
            .map(|server| async move {
                let call = daemon.backend.call_record(server.address, key);
                call.await.ok()
            })
            .buffer_unordered(CONCURRENT_QUERIES)
    );
    let mut running = None;
    while let Some(record) = records.next().await {
        match record {
            Some(CallRecord::Done { output }) => {
                return Some(TicketStatus {
                    state: TicketState::Answered,
                    detail: Some(Arc::from(
                        "the response is lost; a plain service reports that \
                         it ran the call",
                    )),
                    answer: None,
                    output: Some(Arc::from(output)),
                });
            }
            Some(CallRecord::Running) => {
                running = Some(TicketStatus {
                    state: TicketState::Running,
                    detail: None,
                    answer: None,
                    output: None,
                });
            }
            Some(CallRecord::NeverSeen) | None => {}
        }
    }
    running
}

/// Returns the plain services that may have run a call of a workspace.
fn services(
    snapshot: &Snapshot,
    workspace: &WorkspaceName,
) -> Vec<Arc<ResolvedServer>> {
    let Some(workspace) = snapshot.workspaces.get(workspace) else {
        return Vec::new();
    };
    let pipelines = workspace.pipelines.iter();
    let mut pools: Vec<_> = pipelines
        .filter_map(|name| snapshot.pipelines.get(name))
        .filter(|pipeline| !pipeline.idempotent)
        .filter_map(|pipeline| pipeline.stages.last())
        .map(|stage| &stage.pool)
        .filter(|pool| pool.role == Role::Service)
        .collect();
    pools.sort_by(|a, b| a.name.cmp(&b.name));
    pools.dedup_by(|a, b| a.name == b.name);
    let servers = pools.into_iter().flat_map(|pool| &pool.servers);
    servers.take(MAX_QUERIED_SERVERS).cloned().collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn outcome(sequence: u64) -> TicketOutcome {
        let status = TicketStatus {
            state: TicketState::NotRun,
            detail: None,
            answer: None,
            output: None,
        };
        TicketOutcome { sequence, status }
    }

    /// Guards against losing outcomes at the boundaries between messages.
    #[test]
    fn to_messages_keeps_every_outcome() {
        for count in [1, 256, 257, 1000_u64] {
            let outcomes = (0..count).map(outcome).collect();
            let messages = to_messages(Incarnation(1), outcomes);
            let store = OutcomeStore::default();
            for message in messages {
                store.accept(message);
            }
            let found = |sequence| {
                let incarnation = Incarnation(1);
                store.find(TicketId { incarnation, sequence }).is_some()
            };
            assert!((0..count).all(found));
            assert!(!found(count));
        }
    }

    /// Guards against unbounded memory use when many daemons shut down.
    #[test]
    fn accept_evicts_oldest_daemon() {
        let store = OutcomeStore::default();
        for incarnation in 0..=MAX_KEPT_INCARNATIONS as u64 {
            let incarnation = Incarnation(incarnation);
            let outcomes = vec![outcome(0)];
            store.accept(FinalOutcomes { incarnation, outcomes });
        }
        let found = |incarnation| {
            let incarnation = Incarnation(incarnation);
            store.find(TicketId { incarnation, sequence: 0 }).is_some()
        };
        assert!(!found(0) && found(1));
    }
}
