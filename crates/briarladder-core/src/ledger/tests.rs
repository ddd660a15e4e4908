use super::*;

fn limits() -> LedgerLimits {
    LedgerLimits {
        capacity_slots: 4,
        responses_bytes: 10,
        lifetime: Duration::from_secs(10),
        retention: Duration::from_secs(100),
    }
}

fn detail() -> Arc<str> {
    Arc::from("test")
}

fn not_run() -> Status<u32> {
    Status::Finished(FinishedTicket::NotRun(detail()))
}

/// Guards against a second run when the caller sends the call again, in each
/// state of the first.
#[test]
fn begin_runs_once() {
    let now = Instant::now();
    let mut ledger = Ledger::new(limits());
    let sequence = ledger.issue(now).unwrap();
    assert_eq!(ledger.begin(now, sequence), BeginOutcome::Run);
    assert_eq!(ledger.begin(now, sequence), BeginOutcome::Join);
    ledger.dispatch(now, sequence).unwrap();
    assert_eq!(ledger.begin(now, sequence), BeginOutcome::Join);
    let again = ledger.dispatch(now, sequence);
    assert_eq!(again, Err(DispatchError::Dispatched));
    ledger.finish_completed(sequence, 7, 1);
    let finished = FinishedTicket::Completed(Some(7));
    assert_eq!(ledger.begin(now, sequence), BeginOutcome::Finished(finished));
    let again = ledger.dispatch(now, sequence);
    assert_eq!(again, Err(DispatchError::Closed));
}

/// Guards against the outcome "not run" after bytes were sent, and against
/// "unknown" although it is proven that the call did not run.
#[test]
fn finish_failed_returns_proven_outcome() {
    let now = Instant::now();
    let mut ledger = Ledger::<u32>::new(limits());
    let sent = ledger.issue(now).unwrap();
    ledger.begin(now, sent);
    ledger.dispatch(now, sent).unwrap();
    let finished = ledger.finish_failed(sent, detail());
    assert_eq!(finished, FinishedTicket::Unknown(detail()));

    let withdrawn = ledger.issue(now).unwrap();
    ledger.begin(now, withdrawn);
    ledger.dispatch(now, withdrawn).unwrap();
    ledger.revert_dispatch(withdrawn, NotRunProof::NotConnected);
    let finished = ledger.finish_failed(withdrawn, detail());
    assert_eq!(finished, FinishedTicket::NotRun(detail()));
    // The call can't run after the outcome "not run".
    let late = ledger.dispatch(now, withdrawn);
    assert_eq!(late, Err(DispatchError::Closed));
}

/// Guards against sending a call whose ticket was closed while the process
/// was paused between the arrival of the call and its dispatch.
#[test]
fn dispatch_fails_after_close() {
    let now = Instant::now();
    let mut ledger = Ledger::new(limits());
    let sequence = ledger.issue(now).unwrap();
    assert_eq!(ledger.close(now, sequence, detail()), not_run());
    assert!(matches!(ledger.begin(now, sequence), BeginOutcome::Finished(_)));
    let late = ledger.dispatch(now, sequence);
    assert_eq!(late, Err(DispatchError::Closed));
}

/// Guards against closing a ticket whose call has begun and may still run.
#[test]
fn close_leaves_running_call() {
    let now = Instant::now();
    let mut ledger = Ledger::<u32>::new(limits());
    let sequence = ledger.issue(now).unwrap();
    ledger.begin(now, sequence);
    assert_eq!(ledger.close(now, sequence, detail()), Status::Running);
    assert_eq!(ledger.dispatch(now, sequence), Ok(()));
}

/// Guards against a ticket without a slot, and against slots that are
/// never freed.
#[test]
fn issue_refuses_when_full() {
    let now = Instant::now();
    let mut ledger = Ledger::<u32>::new(limits());
    for _ in 0..4 {
        ledger.issue(now).unwrap();
    }
    let full = ledger.issue(now).unwrap_err();
    assert_eq!(full.retry_after, Duration::from_secs(110));
    let later = now + full.retry_after;
    assert_eq!(ledger.issue(later), Ok(4));
    assert_eq!(ledger.len(), 1);
    assert_eq!(ledger.begin(later, 0), BeginOutcome::Forgotten);
}

/// Guards against freeing a slot while its call is running, which would lose
/// the response.
#[test]
fn issue_keeps_running_slot() {
    let now = Instant::now();
    let mut ledger = Ledger::new(limits());
    let sequence = ledger.issue(now).unwrap();
    ledger.begin(now, sequence);
    let later = now + Duration::from_secs(1000);
    ledger.issue(later).unwrap();
    assert_eq!(ledger.status(later, sequence), Status::Running);
    ledger.finish_completed(sequence, 1, 1);
    let finished = FinishedTicket::Completed(Some(1));
    assert_eq!(
        ledger.final_outcomes()[0],
        FinalOutcome { sequence, finished }
    );
}

/// Guards against running the call of an expired ticket, which may have been
/// reported as "not run".
#[test]
fn begin_refuses_expired_ticket() {
    let now = Instant::now();
    let mut ledger = Ledger::<u32>::new(limits());
    let sequence = ledger.issue(now).unwrap();
    let late = now + Duration::from_secs(10);
    assert!(matches!(
        ledger.begin(late, sequence),
        BeginOutcome::Finished(FinishedTicket::NotRun(_))
    ));
}

/// Guards against unbounded memory for responses, and against losing the fact
/// that a call ran together with its response.
#[test]
fn finish_completed_bounds_bytes() {
    let now = Instant::now();
    let mut ledger = Ledger::new(limits());
    for response in 0..3_u32 {
        let sequence = ledger.issue(now).unwrap();
        ledger.begin(now, sequence);
        ledger.dispatch(now, sequence).unwrap();
        ledger.finish_completed(sequence, response, 4);
    }
    let status =
        |response| Status::Finished(FinishedTicket::Completed(response));
    assert_eq!(ledger.status(now, 0), status(None));
    assert_eq!(ledger.status(now, 1), status(Some(1)));
    assert_eq!(ledger.status(now, 2), status(Some(2)));
}

/// Guards against tickets that stay open after a graceful shutdown.
#[test]
fn close_unused_ends_every_ticket() {
    let now = Instant::now();
    let mut ledger = Ledger::<u32>::new(limits());
    let unused = ledger.issue(now).unwrap();
    let running = ledger.issue(now).unwrap();
    ledger.begin(now, running);
    ledger.stop_issuing();
    assert!(ledger.issue(now).is_err());
    assert_eq!(ledger.open_tickets(now), 2);
    ledger.close_unused(&detail());
    assert_eq!(ledger.open_tickets(now), 1);
    assert_eq!(ledger.status(now, unused), not_run());
    let outcomes = ledger.final_outcomes();
    assert_eq!(outcomes.len(), 2);
    assert!(matches!(outcomes[1].finished, FinishedTicket::Unknown(_)));
}
