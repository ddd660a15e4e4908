//! The effect of each fault on its own, and of rules with patterns.

mod common;

use std::time::Duration;

use briarladder_core::{
    load::{LoadReport, ServerState},
    names::StageName,
    objects::Role,
};
use briarladder_standins::{
    fault::{Fault, Pattern, Rule},
    journal::ExecutionStatus,
    output,
    worker::{Worker, WorkerSettings},
};
use briarladder_wire::backend::{RunRequest, RunResponse};
use common::{
    SHORT_DELAY, engine, expected_tokens, generate, get, request, run, server,
};
use tokio::time::{Instant, sleep, timeout};

async fn worker() -> Worker {
    let settings = WorkerSettings::new(server(4), Role::Encoder);
    Worker::start(settings).await.unwrap()
}

/// Runs a request and returns its response, or `None` if it is missing or
/// incomplete.
async fn send(worker: &Worker, request: &RunRequest) -> Option<RunResponse> {
    run(worker.address(), request).await.ok()?.json().await.ok()
}

fn assert_own_response(response: &RunResponse, request: &RunRequest) {
    assert_eq!(response.request_id, request.request_id);
    let output = output::run_output(Role::Encoder, request);
    assert_eq!(response.output.get(), output.get());
}

async fn load(worker: &Worker) -> LoadReport {
    get(worker.address(), "/v1/load").await.unwrap().json().await.unwrap()
}

/// Guards against a wrong response without any fault.
#[tokio::test]
async fn no_fault_returns_own_response() {
    let worker = worker().await;
    let request = request("{\"sheet\":4}");
    let response = send(&worker, &request).await.unwrap();
    assert_own_response(&response, &request);
    let load = response.load.unwrap();
    assert_eq!(load.incarnation, worker.incarnation());
    assert_eq!((load.epoch_seen, load.slots_requests), (1, 4));
    assert_eq!(
        worker.journal().entries()[0].status,
        ExecutionStatus::Completed
    );
}

/// Guards against a refused request that runs anyway.
#[tokio::test]
async fn refusals_do_not_run() {
    let worker = worker().await;
    worker.faults().add_for_next(1, Fault::Status(500));
    let request = request("1");
    let failed = run(worker.address(), &request).await.unwrap();
    assert_eq!(failed.status(), 500);
    assert!(failed.headers().get("briarladder-not-run").is_none());
    worker
        .faults()
        .add_for_next(1, Fault::DropBeforeFirstByte { runs: false });
    assert!(run(worker.address(), &request).await.is_err());
    worker.faults().add_for_next(1, Fault::NotRun);
    let refused = run(worker.address(), &request).await.unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["briarladder-not-run"], "true");
    assert!(worker.journal().entries().is_empty());
    // All rules have been used up.
    assert!(send(&worker, &request).await.is_some());
}

/// Guards against a connection that is closed at the wrong point of the
/// response.
#[tokio::test]
async fn drops_close_response() {
    let worker = worker().await;
    worker.faults().add_for_next(1, Fault::DropBeforeFirstByte { runs: true });
    assert!(run(worker.address(), &request("1")).await.is_err());
    worker.faults().add_for_next(1, Fault::DropAfterFirstByte);
    let mut response = run(worker.address(), &request("2")).await.unwrap();
    assert_eq!(response.status(), 200);
    assert!(!response.chunk().await.unwrap().unwrap().is_empty());
    assert!(response.chunk().await.is_err());
    assert_eq!(worker.journal().entries().len(), 2);
}

/// Guards against a generation whose connection is closed at the wrong token.
#[tokio::test]
async fn drops_close_generation() {
    let engine = engine(1).await;
    let cases = [
        (Fault::DropAfterFirstByte, 0),
        (Fault::DropAfterTokens(0), 0),
        (Fault::DropAfterTokens(3), 3),
    ];
    for (fault, tokens) in cases {
        engine.faults().add_for_next(1, fault);
        let events = generate(engine.address(), &request("1")).await;
        assert!(events.disconnected && events.total.is_none(), "{fault:?}");
        assert!(events.started.is_some(), "{fault:?}");
        assert_eq!(events.tokens.len(), tokens, "{fault:?}");
    }
    engine.faults().add_for_next(1, Fault::DropBeforeFirstByte { runs: true });
    assert!(run(engine.address(), &request("1")).await.is_err());
    assert_eq!(engine.journal().entries().len(), 4);
}

/// Guards against delays without effect, and against a delayed response that
/// occupies the slot as a slow run does.
#[tokio::test]
async fn delays_hold_response() {
    let worker = worker().await;
    for (fault, running) in
        [(Fault::Slow(SHORT_DELAY), 1), (Fault::DelayResponse(SHORT_DELAY), 0)]
    {
        worker.faults().add_for_next(1, fault);
        let start = Instant::now();
        let request = request("1");
        let report = async {
            sleep(SHORT_DELAY / 2).await;
            load(&worker).await.running_requests
        };
        let (response, reported) =
            tokio::join!(send(&worker, &request), report);
        assert_own_response(&response.unwrap(), &request);
        assert!(start.elapsed() >= SHORT_DELAY, "{fault:?}");
        assert_eq!(reported, running, "{fault:?}");
    }
}

/// Guards against a `DuplicateResponse` fault that sends the response or the
/// tokens only once.
#[tokio::test]
async fn duplicate_response_repeats() {
    let worker = worker().await;
    worker.faults().add_for_next(1, Fault::DuplicateResponse);
    let response = run(worker.address(), &request("1")).await.unwrap();
    let text = response.text().await.unwrap();
    let (first, second) = text.split_at(text.len() / 2);
    assert_eq!(first, second);
    let engine = engine(1).await;
    engine.faults().add_for_next(1, Fault::DuplicateResponse);
    let events = generate(engine.address(), &request("1")).await;
    assert_eq!(events.tokens.len(), 32);
    assert!(events.tokens.chunks(2).all(|pair| pair[0] == pair[1]));
}

/// Guards against a `WrongResponse` fault that returns the response to the
/// request itself.
#[tokio::test]
async fn wrong_response_is_of_other_request() {
    let worker = worker().await;
    let (first, second) = (request("1"), request("2"));
    worker.faults().add_for_next(1, Fault::WrongResponse);
    let random = send(&worker, &first).await.unwrap();
    assert_ne!(random.request_id, first.request_id);
    send(&worker, &first).await.unwrap();
    worker.faults().add_for_next(1, Fault::WrongResponse);
    let wrong = send(&worker, &second).await.unwrap();
    assert_own_response(&wrong, &first);
    let engine = engine(1).await;
    generate(engine.address(), &first).await;
    engine.faults().add_for_next(1, Fault::WrongResponse);
    let events = generate(engine.address(), &second).await;
    assert_eq!(events.started, Some(first.request_id));
    assert_eq!(events.texts(), expected_tokens(&first, 16));
}

/// Guards against a crash that leaves connections or the port open, and
/// against a restart that keeps the incarnation.
#[tokio::test]
async fn crash_closes_connections() {
    let engine = engine(2).await;
    let address = engine.address();
    let before = engine.incarnation();
    let streaming = run(address, &request("1")).await.unwrap();
    engine.crash().await;
    assert!(common::read_events(streaming).await.disconnected);
    let refused = run(address, &request("1")).await.unwrap_err();
    assert!(refused.is_connect());
    engine.restart().await.unwrap();
    assert_eq!(engine.address(), address);
    assert_ne!(engine.incarnation(), before);
    let events = generate(address, &request("1")).await;
    assert_eq!(events.total, Some(16));
    let entries = engine.journal().entries();
    assert_eq!(entries[0].status, ExecutionStatus::Aborted);
    assert_ne!(entries[0].incarnation, entries[1].incarnation);
}

/// Guards against a poison request that doesn't crash the server, or crashes
/// it only before a restart.
#[tokio::test]
async fn crash_on_marker_repeats() {
    let worker = worker().await;
    worker.faults().add(Rule {
        pattern: Pattern {
            body_contains: Some("poison".into()),
            ..Pattern::default()
        },
        fault: Fault::Crash,
        times: None,
    });
    for _ in 0..2 {
        assert!(send(&worker, &request("1")).await.is_some());
        assert!(send(&worker, &request("\"poison\"")).await.is_none());
        assert!(send(&worker, &request("1")).await.is_none());
        worker.restart().await.unwrap();
    }
    assert_eq!(worker.journal().entries().len(), 4);
}

/// Guards against a crash at the wrong token, or one that ends only a single
/// generation.
#[tokio::test]
async fn crash_after_tokens_stops_engine() {
    let engine = engine(2).await;
    let address = engine.address();
    let other = run(address, &request("2")).await.unwrap();
    engine.faults().add_for_next(1, Fault::CrashAfterTokens(2));
    let events = generate(address, &request("1")).await;
    assert!(events.disconnected);
    assert_eq!(events.texts(), expected_tokens(&request("1"), 2));
    assert!(common::read_events(other).await.disconnected);
    assert!(run(address, &request("1")).await.is_err());
    engine.restart().await.unwrap();
    let events = generate(address, &request("1")).await;
    assert_eq!(events.total, Some(16));
}

/// Guards against a hanging generation that ends by itself or can't be
/// cancelled.
#[tokio::test]
async fn hang_after_tokens_stalls() {
    let engine = engine(1).await;
    let address = engine.address();
    engine.faults().add_for_next(1, Fault::HangAfterTokens(2));
    let request = request("1");
    let stalled = generate(address, &request);
    tokio::pin!(stalled);
    assert!(timeout(SHORT_DELAY, &mut stalled).await.is_err());
    common::cancel(address, request.request_id).await;
    let events = stalled.await;
    assert_eq!(events.texts(), expected_tokens(&request, 2));
    assert_eq!((events.total, events.disconnected), (None, false));
    let entry = &engine.journal().entries()[0];
    assert_eq!(
        (entry.sent_tokens, entry.status),
        (2, ExecutionStatus::Cancelled)
    );
}

/// Guards against a hanging request that ends by itself or can't be
/// cancelled.
#[tokio::test]
async fn hang_holds_slot() {
    let worker = worker().await;
    worker.faults().add_for_next(1, Fault::Hang);
    let request = request("1");
    let hanging = run(worker.address(), &request);
    tokio::pin!(hanging);
    assert!(timeout(SHORT_DELAY, &mut hanging).await.is_err());
    assert_eq!(load(&worker).await.running_requests, 1);
    common::cancel(worker.address(), request.request_id).await;
    assert_eq!(hanging.await.unwrap().status(), 409);
    assert_eq!(load(&worker).await.running_requests, 0);
}

/// Guards against load reports that are fresh or present despite a fault.
#[tokio::test]
async fn reports_stale_or_missing() {
    let worker = worker().await;
    let first = load(&worker).await;
    worker.faults().add_always(Fault::StaleReports(SHORT_DELAY));
    send(&worker, &request("1")).await.unwrap();
    let stale = load(&worker).await;
    assert_eq!((stale.sequence, stale.epoch_seen), (first.sequence, 0));
    sleep(SHORT_DELAY).await;
    let fresh = load(&worker).await;
    assert!(fresh.sequence > first.sequence && fresh.epoch_seen == 1);
    worker.faults().clear();
    worker.faults().add_for_next(2, Fault::NoReports);
    let response = send(&worker, &request("1")).await.unwrap();
    assert!(response.load.is_none());
    let missing = get(worker.address(), "/v1/load").await.unwrap();
    assert_eq!(missing.status(), 503);
    assert!(load(&worker).await.sequence > fresh.sequence);
}

/// Guards against executions on a leaving backend server that the journal
/// doesn't mark.
#[tokio::test]
async fn leaving_is_reported_and_recorded() {
    let worker = worker().await;
    send(&worker, &request("1")).await.unwrap();
    worker.set_state(ServerState::Leaving);
    assert_eq!(load(&worker).await.state, ServerState::Leaving);
    sleep(Duration::from_millis(20)).await;
    send(&worker, &request("2")).await.unwrap();
    let grace = Duration::from_millis(10);
    let journal = worker.journal();
    assert_eq!(journal.started_while_leaving(grace).len(), 1);
    assert!(journal.started_while_leaving(10 * SHORT_DELAY).is_empty());
    worker.set_state(ServerState::Ready);
    assert_eq!(load(&worker).await.state, ServerState::Ready);
}

/// Guards against rules that apply outside their pattern or more often than
/// their limit, and against rules that don't combine.
#[tokio::test]
async fn rules_match_pattern_and_times() {
    let worker = worker().await;
    let matching = Pattern {
        stage: Some(StageName::new("stage-1").unwrap()),
        attempt: Some(1),
        body_contains: Some("fold".into()),
    };
    let rule =
        |fault| Rule { pattern: matching.clone(), fault, times: Some(2) };
    worker.faults().add(rule(Fault::Status(418)));
    let mut other_stage = request("\"fold\"");
    other_stage.stage = StageName::new("stage-2").unwrap();
    other_stage.attempt = 1;
    let mut other_body = request("1");
    other_body.attempt = 1;
    for other in [request("\"fold\""), other_stage, other_body] {
        assert!(send(&worker, &other).await.is_some());
    }
    let mut matching_request = request("\"fold\"");
    matching_request.attempt = 1;
    for expected in [418, 418, 200] {
        let response = run(worker.address(), &matching_request).await.unwrap();
        assert_eq!(response.status(), expected);
    }
    assert!(worker.faults().rules().is_empty());
    worker.faults().add(rule(Fault::Slow(SHORT_DELAY)));
    worker.faults().add(rule(Fault::WrongResponse));
    let start = Instant::now();
    let response = send(&worker, &matching_request).await.unwrap();
    assert!(start.elapsed() >= SHORT_DELAY);
    assert_eq!(response.attempt, 1);
}
