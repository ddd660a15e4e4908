//! Tests that the check of each invariant detects violations.
//!
//! The baseline is the history of a fleet without faults. Each test changes
//! the history in one way, or sends a request that a correct daemon would not.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::time::Duration;

use briarladder_core::{
    ids::RequestId,
    timeline::{Event, EventKind},
};
use briarladder_wire::{
    backend::{IDEMPOTENCY_KEY_HEADER, RunRequest},
    callers::{Outcome, Problem, TicketState},
};
use support::{
    caller::{Call, Caller},
    fleet::{TestFleet, TestFleetSettings},
    history::{
        CallKind, CallRecord, CallResult, DaemonExit, DaemonExitKind, History,
    },
    invariants::{Invariant, check},
};

/// The indices of the records in the baseline.
const REPEATABLE: usize = 0;
const STREAMED: usize = 1;
const TICKETED: usize = 2;

async fn fleet() -> TestFleet {
    let settings = TestFleetSettings {
        zones: vec!["east-a"],
        ..TestFleetSettings::default()
    };
    TestFleet::start(settings).await.unwrap()
}

/// Returns a history without violations of one request of each kind.
async fn baseline(fleet: &TestFleet) -> History {
    let caller = Caller::new();
    let endpoint = fleet.endpoint(0);
    let ticket = caller.ticket(&endpoint).await.unwrap();
    let ticketed = Call::new(CallKind::Ticketed, "third").with_ticket(ticket);
    let calls = [
        Call::new(CallKind::Repeatable, "first"),
        Call::new(CallKind::Streamed, "second"),
        ticketed,
    ];
    let mut records = Vec::new();
    for call in &calls {
        records.push(caller.send(&endpoint, call).await);
    }
    let history = History::collect(fleet, records);
    assert_eq!(check(&history), []);
    history
}

/// Panics unless this invariant, and no other, is violated.
fn assert_violates(history: &History, invariant: Invariant) {
    let violating = check(history);
    assert!(
        !violating.is_empty(),
        "the check of {invariant:?} found no violation"
    );
    for violation in violating {
        assert_eq!(violation.invariant, invariant, "{violation}");
    }
}

/// Returns a copy of the baseline with one record changed.
fn with_changed_record(
    baseline: &History,
    index: usize,
    change: impl FnOnce(&mut CallRecord),
) -> History {
    let mut history = baseline.clone();
    change(&mut history.records[index]);
    history
}

fn refusal(outcome: Outcome) -> CallResult {
    CallResult::Refused(Box::new(Problem {
        kind: "/problems/overloaded".into(),
        title: "refused".into(),
        status: 503,
        detail: String::new(),
        outcome,
        request_id: None,
        retry_after_ms: None,
    }))
}

/// Guards against a check that misses lost, duplicated or mixed-up results.
#[tokio::test(flavor = "multi_thread")]
async fn detects_incorrect_results() {
    let fleet = fleet().await;
    let baseline = baseline(&fleet).await;
    let other_results = baseline.records[REPEATABLE].results.clone();
    let violating = [
        with_changed_record(&baseline, REPEATABLE, |r| r.results.clear()),
        with_changed_record(&baseline, REPEATABLE, |r| {
            r.results = vec![CallResult::TimedOut];
        }),
        with_changed_record(&baseline, REPEATABLE, |r| {
            r.results = vec![CallResult::Dropped];
        }),
        with_changed_record(&baseline, REPEATABLE, |r| {
            r.results.push(r.results[0].clone());
        }),
        with_changed_record(&baseline, REPEATABLE, |r| {
            r.input = r.input.replace("fi", "wo");
        }),
        with_changed_record(&baseline, TICKETED, |r| {
            r.results = other_results;
        }),
        with_changed_record(&baseline, REPEATABLE, |r| {
            let CallResult::Answered(response) = &mut r.results[0] else {
                panic!()
            };
            response.request_id = RequestId::random();
        }),
        with_changed_record(&baseline, STREAMED, |r| drop(r.tokens.remove(5))),
        with_changed_record(&baseline, STREAMED, |r| drop(r.tokens.pop())),
        with_changed_record(&baseline, STREAMED, |r| r.tokens.swap(5, 6)),
        with_changed_record(&baseline, STREAMED, |r| {
            r.tokens.push(r.tokens[15].clone());
        }),
        with_changed_record(&baseline, STREAMED, |r| {
            r.tokens[3].text.push('x');
        }),
    ];
    for history in &violating {
        assert_violates(history, Invariant::SingleCorrectResult);
    }
}

/// Guards against a check that accepts "not run" for a request that ran, and
/// one that confuses the repeatable stages before `charge` with `charge`.
#[tokio::test(flavor = "multi_thread")]
async fn detects_false_not_run() {
    let fleet = fleet().await;
    let baseline = baseline(&fleet).await;
    let refuse =
        |r: &mut CallRecord| r.results = vec![refusal(Outcome::NotRun)];
    let violating = [
        with_changed_record(&baseline, REPEATABLE, refuse),
        with_changed_record(&baseline, TICKETED, refuse),
        with_changed_record(&baseline, TICKETED, |r| {
            r.ticket_states = vec![TicketState::NotRun];
        }),
    ];
    for history in &violating {
        assert_violates(history, Invariant::NotRunIsAccurate);
    }
    let unknown = with_changed_record(&baseline, TICKETED, |r| {
        r.results = vec![refusal(Outcome::Unknown)];
    });
    assert_eq!(check(&unknown), []);
    let mut only_lookup = with_changed_record(&baseline, TICKETED, refuse);
    only_lookup.executions.retain(|e| e.stage.as_str() != "charge");
    assert_eq!(check(&only_lookup), []);
}

/// Guards against a check that accepts "answered" from a status query for a
/// call that no backend server ran.
#[tokio::test(flavor = "multi_thread")]
async fn detects_false_answered() {
    let fleet = fleet().await;
    let baseline = baseline(&fleet).await;
    let answered =
        |r: &mut CallRecord| r.ticket_states = vec![TicketState::Answered];
    let mut violating = with_changed_record(&baseline, TICKETED, answered);
    assert_eq!(check(&violating), []);
    violating.executions.retain(|e| e.stage.as_str() != "charge");
    assert_violates(&violating, Invariant::AnsweredIsAccurate);
}

/// Guards against a check that misses a second execution of `charge` with the
/// same idempotency key or for the same request.
#[tokio::test(flavor = "multi_thread")]
async fn detects_repeated_execution() {
    let fleet = fleet().await;
    let baseline = baseline(&fleet).await;
    let charge = baseline
        .executions
        .iter()
        .find(|e| e.stage.as_str() == "charge")
        .unwrap();
    let mut repeated = baseline.clone();
    let mut copy = charge.clone();
    copy.request_id = RequestId::random();
    repeated.executions.push(copy);
    assert_violates(&repeated, Invariant::AtMostOnce);
    let mut repeated = baseline.clone();
    let mut copy = charge.clone();
    copy.idempotency_key = None;
    repeated.executions.push(copy);
    assert_violates(&repeated, Invariant::AtMostOnce);
    // Simulates a daemon that sends the call to the stand-in again.
    let input =
        serde_json::from_str(&baseline.records[TICKETED].input).unwrap();
    let run = RunRequest {
        request_id: charge.request_id,
        stage: charge.stage.clone(),
        attempt: 1,
        epoch: charge.epoch,
        priority: 0,
        deadline_ms: 1_000,
        model_version: None,
        max_tokens: None,
        resume_tokens: Vec::new(),
        operation: Some("charge".into()),
        input,
        previous: None,
    };
    let address = fleet.backend(charge.server.as_str()).address();
    let key = charge.idempotency_key.clone().unwrap();
    let sent = reqwest::Client::new()
        .post(format!("http://{address}/v1/run"))
        .header(IDEMPOTENCY_KEY_HEADER, &*key)
        .json(&run)
        .send();
    assert!(sent.await.unwrap().status().is_success());
    let repeated = History::collect(&fleet, baseline.records.clone());
    assert_violates(&repeated, Invariant::AtMostOnce);
}

/// Guards against a check that misses new work on a leaving server, or that
/// reports work within the grace period.
#[tokio::test(flavor = "multi_thread")]
async fn detects_work_on_leaving_server() {
    let fleet = fleet().await;
    let baseline = baseline(&fleet).await;
    let with = |leaving_for| {
        let mut history = baseline.clone();
        history.executions[0].leaving_for = Some(leaving_for);
        history
    };
    let after_grace = with(Duration::from_millis(3_001));
    assert_violates(&after_grace, Invariant::NoWorkOnLeavingServer);
    assert_eq!(check(&with(Duration::from_secs(3))), []);
}

/// Guards against a check that misses an epoch that does not increase, or a
/// request that runs in two epochs.
#[tokio::test(flavor = "multi_thread")]
async fn detects_epoch_regression() {
    let fleet = fleet().await;
    let baseline = baseline(&fleet).await;
    let mut mixed = baseline.clone();
    mixed.executions[1].epoch += 1;
    assert_violates(&mixed, Invariant::MonotonicEpochs);
    let mut other = baseline.clone();
    for entry in &mut other.executions {
        entry.epoch += 1;
    }
    assert_violates(&other, Invariant::MonotonicEpochs);
    for epoch in [0, 1] {
        let mut regressed = baseline.clone();
        let events = &mut regressed.timelines[0].events;
        let kind = EventKind::ConfigAdopted { adopted_epoch: epoch };
        let event = Event { kind, ..events[0].clone() };
        events.push(event);
        assert_violates(&regressed, Invariant::MonotonicEpochs);
    }
}

/// Guards against a check that misses a request interrupted by a graceful
/// shutdown, and one that reports requests to a killed daemon or requests
/// sent after the shutdown began.
#[tokio::test(flavor = "multi_thread")]
async fn detects_requests_cut_by_shutdown() {
    let fleet = fleet().await;
    let baseline = baseline(&fleet).await;
    let connection_lost = with_changed_record(&baseline, STREAMED, |r| {
        r.results = vec![CallResult::Dropped];
    });
    let record = &connection_lost.records[STREAMED];
    let exit = DaemonExit {
        vm: record.vm.clone(),
        kind: DaemonExitKind::ShutDown,
        exit_started_at: record.sent_at + Duration::from_millis(1),
    };
    let mut interrupted = connection_lost.clone();
    interrupted.daemon_exits = vec![exit.clone()];
    assert_violates(&interrupted, Invariant::ShutdownCompletesRequests);
    let mut killed = connection_lost.clone();
    let kill_exit =
        DaemonExit { kind: DaemonExitKind::Killed, ..exit.clone() };
    killed.daemon_exits = vec![exit.clone(), kill_exit];
    assert_eq!(check(&killed), []);
    let mut sent_after_shutdown = connection_lost.clone();
    sent_after_shutdown.daemon_exits =
        vec![DaemonExit { exit_started_at: record.sent_at, ..exit }];
    assert_eq!(check(&sent_after_shutdown), []);
}
