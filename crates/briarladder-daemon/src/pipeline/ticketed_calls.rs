//! Non-idempotent calls, at the daemon that issued their ticket.
//!
//! The ledger in `briarladder_core::ledger` makes sure that each call is
//! dispatched at most once. A call runs in its own task, so that it continues
//! after its caller disconnects, and all copies of it wait for the same
//! outcome.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    ids::Incarnation,
    ledger::{
        BeginOutcome, FinalOutcome, FinishedTicket, Ledger, LedgerFull,
        LedgerLimits, NotRunProof, Status,
    },
    objects::Fleet,
    sorted::SortedMap,
    ticket::TicketId,
};
use briarladder_wire::{
    callers::{Outcome, PipelineResponse, TicketState, TicketStatus},
    peers::{CallResult, ForwardedCall, TicketOutcome},
};
use parking_lot::Mutex;
use tokio::sync::watch;

use super::{Delivery, Execution, Request, run};
use crate::{
    blackboard::Phase,
    daemon::Daemon,
    refusal::{Refusal, RefusalKind},
};

/// The tickets of this incarnation and their calls.
#[derive(Debug)]
pub struct TicketedCalls {
    incarnation: Incarnation,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    ledger: Ledger<Arc<PipelineResponse>>,
    /// Receivers for the results of the running calls, by sequence number.
    running: SortedMap<u64, watch::Receiver<Option<CallResult>>>,
}

impl TicketedCalls {
    /// Creates an empty ledger for an incarnation.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> TicketedCalls {
        let ledger = Ledger::new(LedgerLimits::default());
        let inner = Inner { ledger, running: SortedMap::new() };
        TicketedCalls { incarnation, inner: Mutex::new(inner) }
    }

    /// Applies the ticket lifetime and the outcome retention of a
    /// configuration.
    pub fn apply_fleet(&self, fleet: &Fleet) {
        self.with(|inner| {
            inner.ledger.set_limits(LedgerLimits {
                lifetime: Duration::from_millis(fleet.ticket_lifetime_ms),
                retention: Duration::from_millis(fleet.outcome_retention_ms),
                ..LedgerLimits::default()
            });
        });
    }

    /// Reserves an entry in the ledger and returns its ticket.
    ///
    /// # Errors
    ///
    /// Returns an error when the ledger is full or the daemon shuts down.
    pub fn issue(&self, now: Instant) -> Result<TicketId, LedgerFull> {
        let sequence = self.with(|inner| inner.ledger.issue(now))?;
        Ok(TicketId { incarnation: self.incarnation, sequence })
    }

    /// Returns the idempotency key of a call, unique over all daemons.
    #[must_use]
    pub fn idempotency_key(&self, sequence: u64) -> String {
        TicketId { incarnation: self.incarnation, sequence }.to_string()
    }

    /// Records that a call is about to be sent. Succeeds at most once per
    /// ticket, unless the dispatch is reverted.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the deadline has passed or the ledger does not
    /// permit the call any more.
    pub fn dispatch(
        &self,
        now: Instant,
        sequence: u64,
        time_left: Duration,
    ) -> Result<(), Refusal> {
        if time_left.is_zero() {
            return Err(Refusal::new(
                RefusalKind::DeadlineExceeded,
                "the deadline passed before the call was sent",
            )
            .with_outcome(Outcome::NotRun));
        }
        self.with(|inner| inner.ledger.dispatch(now, sequence)).map_err(
            |error| Refusal::new(RefusalKind::TicketClosed, error.to_string()),
        )
    }

    /// Reverts a dispatch after proof that the call did not run.
    pub fn revert_dispatch(&self, sequence: u64, proof: NotRunProof) {
        self.with(|inner| inner.ledger.revert_dispatch(sequence, proof));
    }

    /// Returns the status of a call.
    #[must_use]
    pub fn status(&self, now: Instant, sequence: u64) -> TicketStatus {
        self.with(|inner| to_status(inner.ledger.status(now, sequence)))
    }

    /// Closes a ticket, unless its call has started, and returns its status.
    #[must_use]
    pub fn close(&self, now: Instant, sequence: u64) -> TicketStatus {
        let detail = Arc::from("the caller closed the ticket");
        self.with(|inner| to_status(inner.ledger.close(now, sequence, detail)))
    }

    /// Makes later calls of [`issue`](TicketedCalls::issue) fail.
    pub fn stop_issuing(&self) {
        self.with(|inner| inner.ledger.stop_issuing());
    }

    /// Returns the number of tickets that can still be used or whose call is
    /// running.
    #[must_use]
    pub fn open_tickets(&self, now: Instant) -> usize {
        self.with(|inner| inner.ledger.open_tickets(now))
    }

    /// Returns the final outcome of every ticket.
    #[must_use]
    pub fn final_outcomes(&self) -> Vec<TicketOutcome> {
        let outcomes = self.with(|inner| inner.ledger.final_outcomes());
        let to_wire =
            |outcome: FinalOutcome<Arc<PipelineResponse>>| TicketOutcome {
                sequence: outcome.sequence,
                status: to_status(Status::Finished(outcome.finished)),
            };
        outcomes.into_iter().map(to_wire).collect()
    }

    /// Closes every unused ticket.
    pub fn close_unused(&self) {
        let detail = Arc::from("the daemon shut down before the call started");
        self.with(|inner| inner.ledger.close_unused(&detail));
    }

    fn with<T>(&self, run: impl FnOnce(&mut Inner) -> T) -> T {
        run(&mut self.inner.lock())
    }
}

/// Runs a call whose ticket this daemon issued, or waits for the copy that is
/// running, and returns its outcome.
pub async fn run_call(
    daemon: &Arc<Daemon>,
    call: ForwardedCall,
) -> CallResult {
    if call.ticket.incarnation != daemon.incarnation {
        let refusal = Refusal::new(
            RefusalKind::IssuerUnreachable,
            "the daemon that issued the ticket has restarted; query the \
             status of the ticket",
        );
        return refused(&refusal, &call);
    }
    let now = daemon.clock.now();
    let sequence = call.ticket.sequence;
    let max_wait = max_wait(daemon, &call);
    let receiver = match begin(daemon, now, sequence) {
        CallStart::Run(sender, receiver) => {
            let call = call.clone();
            let daemon = Arc::clone(daemon);
            tokio::spawn(async move {
                let result = run_once(&daemon, &call, now).await;
                daemon.calls.with(|inner| inner.running.remove(&sequence));
                // Fails if the callers of all copies have disconnected.
                let _ = sender.send(Some(result));
            });
            receiver
        }
        CallStart::Join(receiver) => receiver,
        CallStart::Finished(finished) => {
            return to_result(finished, &call);
        }
        CallStart::Forgotten => {
            let refusal = Refusal::new(
                RefusalKind::TicketClosed,
                "this daemon no longer has a record of the ticket, so the \
                 outcome of its call is unknown",
            );
            return refused(&refusal, &call);
        }
    };
    wait(receiver, max_wait, &call).await
}

/// Returns the status of the call of a ticket, which is unknown if another
/// incarnation issued the ticket.
#[must_use]
pub fn call_status(daemon: &Daemon, ticket: TicketId) -> TicketStatus {
    if ticket.incarnation != daemon.incarnation {
        return unknown_status(
            "the daemon that issued the ticket has restarted",
        );
    }
    daemon.calls.status(daemon.clock.now(), ticket.sequence)
}

/// Returns the status of a call with an unknown outcome and the reason.
#[must_use]
pub fn unknown_status(detail: &str) -> TicketStatus {
    TicketStatus {
        state: TicketState::Unknown,
        detail: Some(Arc::from(detail)),
        answer: None,
        output: None,
    }
}

/// What to do when a copy of a call arrives.
enum CallStart {
    /// Run the call and send its result to all copies.
    Run(
        watch::Sender<Option<CallResult>>,
        watch::Receiver<Option<CallResult>>,
    ),
    /// Wait for the result of the copy that is running.
    Join(watch::Receiver<Option<CallResult>>),
    /// Return the recorded outcome.
    Finished(FinishedTicket<Arc<PipelineResponse>>),
    /// The ledger has no record of the ticket.
    Forgotten,
}

/// Asks the ledger what to do with a call that has arrived.
fn begin(daemon: &Daemon, now: Instant, sequence: u64) -> CallStart {
    daemon.calls.with(|inner| match inner.ledger.begin(now, sequence) {
        BeginOutcome::Run => {
            let (sender, receiver) = watch::channel(None);
            inner.running.insert(sequence, receiver.clone());
            CallStart::Run(sender, receiver)
        }
        BeginOutcome::Join => inner
            .running
            .get(&sequence)
            .map_or(CallStart::Forgotten, |r| CallStart::Join(r.clone())),
        BeginOutcome::Finished(finished) => CallStart::Finished(finished),
        BeginOutcome::Forgotten => CallStart::Forgotten,
    })
}

/// Runs a call and records its outcome in the ledger. Only one copy of a call
/// gets here.
async fn run_once(
    daemon: &Arc<Daemon>,
    call: &ForwardedCall,
    received_at: Instant,
) -> CallResult {
    let sequence = call.ticket.sequence;
    let result = check_and_run(daemon, call, received_at).await;
    match result {
        Ok(answer) => {
            let answer = Arc::new(answer);
            let bytes = answer.output.get().len();
            daemon.calls.with(|inner| {
                let answer = Arc::clone(&answer);
                inner.ledger.finish_completed(sequence, answer, bytes);
            });
            CallResult::Answered(answer)
        }
        Err(refusal) => {
            let detail: Arc<str> = Arc::from(refusal.detail.as_ref());
            let finished = daemon
                .calls
                .with(|inner| inner.ledger.finish_failed(sequence, detail));
            // Only the ledger knows whether the call was dispatched, so its
            // outcome replaces that of the refusal.
            let outcome = match finished {
                FinishedTicket::NotRun(_) => Outcome::NotRun,
                FinishedTicket::Completed(_) | FinishedTicket::Unknown(_) => {
                    Outcome::Unknown
                }
            };
            refused(&refusal.with_outcome(outcome), call)
        }
    }
}

/// Checks a call against the configuration in force, then runs it.
async fn check_and_run(
    daemon: &Arc<Daemon>,
    call: &ForwardedCall,
    received_at: Instant,
) -> Result<PipelineResponse, Refusal> {
    if daemon.blackboard.phase() == Phase::Draining
        && daemon.calls.open_tickets(received_at) == 0
    {
        return Err(Refusal::new(
            RefusalKind::NotReady,
            "the daemon is shutting down; get a new ticket from another one",
        ));
    }
    let snapshot = daemon.snapshot()?;
    let body = Arc::clone(&call.body);
    let request = Request::new(snapshot, &call.head, body, received_at)?;
    let once = Execution::AtMostOnce(call.ticket.sequence);
    run(daemon, &request, &Delivery::Whole, once).await
}

/// Waits for the outcome of a running call, up to the caller's deadline.
async fn wait(
    mut receiver: watch::Receiver<Option<CallResult>>,
    max_wait: Duration,
    call: &ForwardedCall,
) -> CallResult {
    let outcome = receiver.wait_for(Option::is_some);
    let result = match tokio::time::timeout(max_wait, outcome).await {
        Ok(Ok(result)) => result.clone(),
        // The task panicked.
        Ok(Err(_)) => None,
        Err(_) => {
            let refusal = Refusal::new(
                RefusalKind::DeadlineExceeded,
                "the deadline passed while the call was running; query the \
                 status of the ticket",
            );
            return refused(&refusal, call);
        }
    };
    result.unwrap_or_else(|| {
        let refusal = Refusal::new(
            RefusalKind::BackendFailed,
            "the call ended without an outcome",
        );
        refused(&refusal, call)
    })
}

/// Returns how long to wait for the outcome of a call: its deadline, limited
/// by that of the pipeline. 5 s if this daemon doesn't know the pipeline.
#[must_use]
pub fn max_wait(daemon: &Daemon, call: &ForwardedCall) -> Duration {
    let requested = call.head.deadline_ms.map(Duration::from_millis);
    let limit = daemon.snapshot().ok().and_then(|snapshot| {
        let pipeline = snapshot.pipelines.get(&call.head.pipeline)?;
        Some(pipeline.deadline)
    });
    let limit = limit.unwrap_or(Duration::from_secs(5));
    requested.unwrap_or(limit).min(limit)
}

fn refused(refusal: &Refusal, call: &ForwardedCall) -> CallResult {
    CallResult::Refused(refusal.problem(Some(call.head.request_id)))
}

fn to_result(
    finished: FinishedTicket<Arc<PipelineResponse>>,
    call: &ForwardedCall,
) -> CallResult {
    let refusal = match finished {
        FinishedTicket::Completed(Some(answer)) => {
            return CallResult::Answered(answer);
        }
        FinishedTicket::Completed(None) => Refusal::new(
            RefusalKind::TicketClosed,
            "the call ran, but its response was evicted to make room for \
             later ones",
        ),
        FinishedTicket::NotRun(detail) => {
            let detail = format!(
                "the ticket is closed and its call did not run: {detail}; \
                 get a new ticket"
            );
            Refusal::new(RefusalKind::TicketClosed, detail)
                .with_outcome(Outcome::NotRun)
        }
        FinishedTicket::Unknown(detail) => {
            let detail = format!("the call may have run: {detail}");
            Refusal::new(RefusalKind::TicketClosed, detail)
        }
    };
    refused(&refusal, call)
}

fn to_status(status: Status<Arc<PipelineResponse>>) -> TicketStatus {
    let of = |state, detail| TicketStatus {
        state,
        detail,
        answer: None,
        output: None,
    };
    match status {
        Status::Unused => of(TicketState::Unused, None),
        Status::Running => of(TicketState::Running, None),
        Status::Finished(FinishedTicket::Completed(answer)) => TicketStatus {
            state: TicketState::Answered,
            detail: None,
            answer,
            output: None,
        },
        Status::Finished(FinishedTicket::NotRun(detail)) => {
            of(TicketState::NotRun, Some(detail))
        }
        Status::Finished(FinishedTicket::Unknown(detail)) => {
            of(TicketState::Unknown, Some(detail))
        }
        Status::Forgotten => {
            unknown_status("this daemon no longer has a record of the ticket")
        }
    }
}
