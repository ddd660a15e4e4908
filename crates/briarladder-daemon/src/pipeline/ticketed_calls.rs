//! Calls that may not repeat, at the daemon that issued their ticket.
//!
//! The decisions are in `briarladder_core::ledger`. A call runs in a task of
//! its own, so that it goes on when its caller leaves, and every copy of it
//! waits for the same outcome.

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

/// The calls of this incarnation.
#[derive(Debug)]
pub struct TicketedCalls {
    incarnation: Incarnation,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    ledger: Ledger<Arc<PipelineResponse>>,
    /// The refusal of each running call, sent when it ends.
    running: SortedMap<u64, watch::Receiver<Option<CallResult>>>,
}

impl TicketedCalls {
    /// Creates the calls of an incarnation.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> TicketedCalls {
        let ledger = Ledger::new(LedgerLimits::default());
        let inner = Inner { ledger, running: SortedMap::new() };
        TicketedCalls { incarnation, inner: Mutex::new(inner) }
    }

    /// Puts the times of a configuration in force.
    pub fn apply_fleet(&self, fleet: &Fleet) {
        self.with(|inner| {
            inner.ledger.set_limits(LedgerLimits {
                lifetime: Duration::from_millis(fleet.ticket_lifetime_ms),
                retention: Duration::from_millis(fleet.outcome_retention_ms),
                ..LedgerLimits::default()
            });
        });
    }

    /// Reserves a slot and returns its ticket.
    ///
    /// # Errors
    ///
    /// Returns an error when the ledger is full or the daemon stops.
    pub fn issue(&self, now: Instant) -> Result<TicketId, LedgerFull> {
        let sequence = self.with(|inner| inner.ledger.issue(now))?;
        Ok(TicketId { incarnation: self.incarnation, sequence })
    }

    /// Returns the idempotency key of a call, unique over all daemons.
    #[must_use]
    pub fn idempotency_key(&self, sequence: u64) -> String {
        TicketId { incarnation: self.incarnation, sequence }.to_string()
    }

    /// Permits the sending of a call, once.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the call may not be sent any more.
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

    /// Takes a dispatch back after proof that nothing ran.
    pub fn withdraw(&self, sequence: u64, proof: NotRunProof) {
        self.with(|inner| inner.ledger.revert_dispatch(sequence, proof));
    }

    /// Returns what is known of a call.
    #[must_use]
    pub fn status(&self, now: Instant, sequence: u64) -> TicketStatus {
        self.with(|inner| to_status(inner.ledger.status(now, sequence)))
    }

    /// Closes a ticket whose call has not begun.
    #[must_use]
    pub fn close(&self, now: Instant, sequence: u64) -> TicketStatus {
        let detail = Arc::from("the caller closed the ticket");
        self.with(|inner| to_status(inner.ledger.close(now, sequence, detail)))
    }

    /// Issues no more tickets.
    pub fn stop_issuing(&self) {
        self.with(|inner| inner.ledger.stop_issuing());
    }

    /// Returns the number of tickets that can still be used or whose call
    /// runs.
    #[must_use]
    pub fn open_len(&self, now: Instant) -> usize {
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
        let detail = Arc::from("the daemon stopped before the call began");
        self.with(|inner| inner.ledger.close_unused(&detail));
    }

    fn with<T>(&self, run: impl FnOnce(&mut Inner) -> T) -> T {
        run(&mut self.inner.lock())
    }
}

/// Runs a call at the daemon that issued its ticket, or joins the copy that
/// runs, and returns its outcome.
pub async fn run_call(
    daemon: &Arc<Daemon>,
    call: ForwardedCall,
) -> CallResult {
    if call.ticket.incarnation != daemon.incarnation {
        let refusal = Refusal::new(
            RefusalKind::IssuerUnreachable,
            "the daemon that issued the ticket has restarted; ask for the \
             status of the ticket",
        );
        return refused(&refusal, &call);
    }
    let now = daemon.clock.now();
    let sequence = call.ticket.sequence;
    let longest_wait = max_wait(daemon, &call);
    let receiver = match begin(daemon, now, sequence) {
        Begun::Run(sender, receiver) => {
            let call = call.clone();
            let daemon = Arc::clone(daemon);
            tokio::spawn(async move {
                let result = run_once(&daemon, &call, now).await;
                daemon.calls.with(|inner| inner.running.remove(&sequence));
                // Without a receiver every copy's caller has left.
                let _ = sender.send(Some(result));
            });
            receiver
        }
        Begun::Join(receiver) => receiver,
        Begun::Finished(finished) => {
            return to_result(finished, &call);
        }
        Begun::Forgotten => {
            let refusal = Refusal::new(
                RefusalKind::TicketClosed,
                "the ticket is no longer known; its outcome can't be told",
            );
            return refused(&refusal, &call);
        }
    };
    wait(receiver, longest_wait, &call).await
}

/// Returns what this daemon knows of the call of a ticket.
#[must_use]
pub fn call_status(daemon: &Daemon, ticket: TicketId) -> TicketStatus {
    if ticket.incarnation != daemon.incarnation {
        return unknown_status(
            "the daemon that issued the ticket has restarted",
        );
    }
    daemon.calls.status(daemon.clock.now(), ticket.sequence)
}

/// Returns a status that tells why the outcome is not known.
#[must_use]
pub fn unknown_status(detail: &str) -> TicketStatus {
    TicketStatus {
        state: TicketState::Unknown,
        detail: Some(Arc::from(detail)),
        answer: None,
        output: None,
    }
}

enum Begun {
    Run(
        watch::Sender<Option<CallResult>>,
        watch::Receiver<Option<CallResult>>,
    ),
    Join(watch::Receiver<Option<CallResult>>),
    Finished(FinishedTicket<Arc<PipelineResponse>>),
    Forgotten,
}

fn begin(daemon: &Daemon, now: Instant, sequence: u64) -> Begun {
    daemon.calls.with(|inner| match inner.ledger.begin(now, sequence) {
        BeginOutcome::Run => {
            let (sender, receiver) = watch::channel(None);
            inner.running.insert(sequence, receiver.clone());
            Begun::Run(sender, receiver)
        }
        BeginOutcome::Join => inner
            .running
            .get(&sequence)
            .map_or(Begun::Forgotten, |r| Begun::Join(r.clone())),
        BeginOutcome::Finished(finished) => Begun::Finished(finished),
        BeginOutcome::Forgotten => Begun::Forgotten,
    })
}

/// Runs the one copy of a call that may run.
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
            // The ledger knows what is proven; the refusal follows it.
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

async fn check_and_run(
    daemon: &Arc<Daemon>,
    call: &ForwardedCall,
    received_at: Instant,
) -> Result<PipelineResponse, Refusal> {
    if daemon.blackboard.phase() == Phase::Draining
        && daemon.calls.open_len(received_at) == 0
    {
        return Err(Refusal::new(
            RefusalKind::NotReady,
            "the daemon is stopping; take a new ticket elsewhere",
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
    longest_wait: Duration,
    call: &ForwardedCall,
) -> CallResult {
    let outcome = receiver.wait_for(Option::is_some);
    let ended = match tokio::time::timeout(longest_wait, outcome).await {
        Ok(Ok(result)) => result.clone(),
        // The task ended without a result, which only a panic does.
        Ok(Err(_)) => None,
        Err(_) => {
            let refusal = Refusal::new(
                RefusalKind::DeadlineExceeded,
                "the deadline passed while the call was running; ask for \
                 the status of the ticket",
            );
            return refused(&refusal, call);
        }
    };
    ended.unwrap_or_else(|| {
        let refusal = Refusal::new(
            RefusalKind::BackendFailed,
            "the call ended without an outcome",
        );
        refused(&refusal, call)
    })
}

/// Returns how long the caller of a call waits for its outcome.
#[must_use]
pub fn max_wait(daemon: &Daemon, call: &ForwardedCall) -> Duration {
    let asked = call.head.deadline_ms.map(Duration::from_millis);
    let longest = daemon.snapshot().ok().and_then(|snapshot| {
        let pipeline = snapshot.pipelines.get(&call.head.pipeline)?;
        Some(pipeline.deadline)
    });
    let longest = longest.unwrap_or(Duration::from_secs(5));
    asked.unwrap_or(longest).min(longest)
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
            "the call ran, but its answer had to make room for later ones",
        ),
        FinishedTicket::NotRun(detail) => {
            let detail = format!(
                "the ticket is closed and its call did not run: {detail}; \
                 take a new ticket"
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
        Status::Forgotten => unknown_status("the ticket is no longer known"),
    }
}
