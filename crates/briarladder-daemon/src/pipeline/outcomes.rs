//! Outcomes of tickets whose daemon is gone.
//!
//! A daemon that stops as planned tells two peers the final outcome of every
//! ticket. They are facts that no longer change, so copies can't disagree.
//! For a daemon that died, the plain services are asked what they ran; that
//! can show that a call ran, and never that it did not.

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

/// The peers that receive the outcomes of a daemon that stops.
const HOLDERS: usize = 2;

/// The peers that are asked for outcomes. The members change between the
/// stop and the question, so more are asked than were told.
const ASKED: usize = 4;

/// The outcomes in one message. With answers of 4 KB they stay below 1 MB.
const OUTCOMES_A_MESSAGE: usize = 256;

/// The most bytes of answers in one message. Answers beyond them are left
/// out, and the fact that the call ran stays.
const ANSWERS_BYTES_A_MESSAGE: usize = 1 << 20;

/// The stopped daemons whose outcomes are kept. A daemon receives about one
/// a day when 1,100 of 2,500 VMs are replaced.
const KEPT_INCARNATIONS: usize = 32;

/// The most backend servers that are asked for one call.
const ASKED_SERVERS: usize = 64;

/// The questions that are on their way at once.
const CONCURRENT_QUESTIONS: usize = 16;

/// How long peers may take to receive outcomes before the process ends.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// The outcomes that other daemons left.
#[derive(Debug, Default)]
pub struct OutcomeStore {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    by_incarnation: SortedMap<Incarnation, SortedMap<u64, TicketStatus>>,
    /// The incarnations in order of arrival.
    arrived: VecDeque<Incarnation>,
}

impl OutcomeStore {
    /// Takes the outcomes of a daemon that stops.
    pub fn accept(&self, outcomes: FinalOutcomes) {
        let mut inner = self.inner.lock();
        let incarnation = outcomes.incarnation;
        if !inner.by_incarnation.contains_key(&incarnation) {
            inner.arrived.push_back(incarnation);
        }
        let known = inner
            .by_incarnation
            .get_or_insert_with(incarnation, SortedMap::new);
        for TicketOutcome { sequence, status } in outcomes.outcomes {
            known.insert(sequence, status);
        }
        while inner.arrived.len() > KEPT_INCARNATIONS {
            if let Some(oldest) = inner.arrived.pop_front() {
                inner.by_incarnation.remove(&oldest);
            }
        }
    }

    /// Returns the outcome of a ticket, if its daemon left it here.
    #[must_use]
    pub fn find(&self, ticket: TicketId) -> Option<TicketStatus> {
        let inner = self.inner.lock();
        let known = inner.by_incarnation.get(&ticket.incarnation)?;
        known.get(&ticket.sequence).cloned()
    }
}

/// Tells two peers the final outcomes of this daemon's tickets.
pub async fn hand_over(daemon: &Arc<Daemon>) {
    let outcomes = daemon.calls.final_outcomes();
    if outcomes.is_empty() {
        return;
    }
    let messages = to_messages(daemon.incarnation, outcomes);
    let peers = holders(daemon, daemon.incarnation, HOLDERS);
    let send_all = futures_util::stream::iter(&peers)
        .for_each_concurrent(HOLDERS, |peer| send(daemon, peer, &messages));
    if tokio::time::timeout(HAND_OVER_TIMEOUT, send_all).await.is_err() {
        log::warn!("outcomes: peers did not take all outcomes in time");
    }
}

async fn send(daemon: &Daemon, peer: &Peer, messages: &[FinalOutcomes]) {
    for message in messages {
        let sent = daemon.peers.outcomes_accept(peer.address, message.clone());
        if let Err(error) = sent.await {
            log::warn!("outcomes: {} did not take them: {error}", peer.name);
            return;
        }
    }
}

fn to_messages(
    incarnation: Incarnation,
    outcomes: Vec<TicketOutcome>,
) -> Vec<FinalOutcomes> {
    let mut messages = Vec::new();
    let mut outcomes = outcomes.into_iter().peekable();
    while outcomes.peek().is_some() {
        let mut answers_bytes = 0;
        let outcomes = outcomes.by_ref().take(OUTCOMES_A_MESSAGE);
        let outcomes = outcomes
            .map(|mut outcome| {
                let answer = outcome.status.answer.as_ref();
                answers_bytes += answer.map_or(0, |a| a.output.get().len());
                if answers_bytes > ANSWERS_BYTES_A_MESSAGE {
                    outcome.status.answer = None;
                }
                outcome
            })
            .collect();
        messages.push(FinalOutcomes { incarnation, outcomes });
    }
    messages
}

/// Returns the live peers that hold, or should hold, the outcomes of an
/// incarnation.
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

/// Looks for the outcome of a ticket whose daemon does not know it.
pub async fn search(
    daemon: &Daemon,
    ticket: TicketId,
    workspace: &WorkspaceName,
) -> Option<TicketStatus> {
    if let Some(status) = daemon.outcomes.find(ticket) {
        return Some(status);
    }
    let issuer = ticket.incarnation;
    // A daemon that runs has left its outcomes with nobody.
    let asked = if issuer == daemon.incarnation { 0 } else { ASKED };
    for peer in holders(daemon, issuer, asked) {
        let reply = daemon.peers.outcomes_find(peer.address, ticket).await;
        if let Ok(OutcomeResponse { status: Some(status) }) = reply {
            return Some(status);
        }
    }
    let snapshot = daemon.snapshot().ok()?;
    ask_services(daemon, &snapshot, ticket, workspace).await
}

/// Asks the plain services whether they ran a call.
async fn ask_services(
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
            .buffer_unordered(CONCURRENT_QUESTIONS)
    );
    let mut running = None;
    while let Some(record) = records.next().await {
        match record {
            Some(CallRecord::Done { output }) => {
                return Some(TicketStatus {
                    state: TicketState::Answered,
                    detail: Some(Arc::from(
                        "the answer is lost; a plain service reports that it \
                         ran the call",
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
    servers.take(ASKED_SERVERS).cloned().collect()
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

    /// Guards against outcomes lost at the edges between messages.
    #[test]
    fn to_messages_keeps_every_outcome() {
        for count in [1, 256, 257, 1000_u64] {
            let outcomes = (0..count).map(outcome).collect();
            let messages = to_messages(Incarnation(1), outcomes);
            let kept = OutcomeStore::default();
            for message in messages {
                kept.accept(message);
            }
            let found = |sequence| {
                let incarnation = Incarnation(1);
                kept.find(TicketId { incarnation, sequence }).is_some()
            };
            assert!((0..count).all(found));
            assert!(!found(count));
        }
    }

    /// Guards against unbounded memory when many daemons stop.
    #[test]
    fn accept_forgets_oldest_daemon() {
        let kept = OutcomeStore::default();
        for incarnation in 0..=KEPT_INCARNATIONS as u64 {
            let incarnation = Incarnation(incarnation);
            let outcomes = vec![outcome(0)];
            kept.accept(FinalOutcomes { incarnation, outcomes });
        }
        let found = |incarnation| {
            let incarnation = Incarnation(incarnation);
            kept.find(TicketId { incarnation, sequence: 0 }).is_some()
        };
        assert!(!found(0) && found(1));
    }
}
