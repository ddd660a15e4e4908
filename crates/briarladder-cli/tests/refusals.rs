//! Tests requests that a daemon refuses, with stand-ins for the platform and
//! the backend servers.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::time::{Duration, Instant};

use briarladder_wire::callers::{
    DEADLINE_HEADER, Outcome, Problem, RANK_HEADER, TICKET_HEADER,
    WORKSPACE_HEADER,
};
use reqwest::RequestBuilder;
use support::{
    caller::{Call, Caller},
    fleet::{Endpoint, TestFleet, TestFleetSettings},
    history::CallKind,
    invariants::assert_invariants,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// A request that must be refused, with the expected status and problem kind.
struct InvalidRequest {
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
    kind: &'static str,
}

const COOP: (&str, &str) = (WORKSPACE_HEADER, "coop");

const INVALID_REQUESTS: &[InvalidRequest] = &[
    InvalidRequest {
        path: "/v1/pipelines/find",
        headers: &[],
        body: "{}",
        status: 400,
        kind: "invalid-request",
    },
    InvalidRequest {
        path: "/v1/pipelines/find",
        headers: &[COOP],
        body: "{",
        status: 400,
        kind: "invalid-request",
    },
    InvalidRequest {
        path: "/v1/pipelines/find",
        headers: &[COOP, (DEADLINE_HEADER, "soon")],
        body: "{}",
        status: 400,
        kind: "invalid-request",
    },
    InvalidRequest {
        path: "/v1/pipelines/find",
        headers: &[COOP, (DEADLINE_HEADER, "2001")],
        body: "{}",
        status: 400,
        kind: "invalid-request",
    },
    InvalidRequest {
        path: "/v1/pipelines/gone",
        headers: &[COOP],
        body: "{}",
        status: 404,
        kind: "not-found",
    },
    InvalidRequest {
        path: "/v1/pipelines/find",
        headers: &[(WORKSPACE_HEADER, "gone")],
        body: "{}",
        status: 404,
        kind: "not-found",
    },
    InvalidRequest {
        path: "/v1/pipelines/find",
        headers: &[COOP, (RANK_HEADER, "gone")],
        body: "{}",
        status: 404,
        kind: "not-found",
    },
    InvalidRequest {
        path: "/v1/pipelines/plan",
        headers: &[(WORKSPACE_HEADER, "school")],
        body: "{}",
        status: 403,
        kind: "not-allowed",
    },
    InvalidRequest {
        path: "/v1/pipelines/buy",
        headers: &[COOP],
        body: "{}",
        status: 428,
        kind: "ticket-required",
    },
    InvalidRequest {
        path: "/v1/pipelines/buy",
        headers: &[COOP, (TICKET_HEADER, "x")],
        body: "{}",
        status: 401,
        kind: "ticket-rejected",
    },
];

async fn send_for_problem(request: RequestBuilder) -> (u16, Problem) {
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    (status, response.json().await.unwrap())
}

/// Guards against invalid requests that run, or that are refused with the
/// wrong problem kind or without the outcome "not run".
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_and_do_not_run() {
    let fleet = TestFleet::start(TestFleetSettings::default()).await.unwrap();
    let caller = Caller::new();
    let endpoint = fleet.endpoint(0);
    for case in INVALID_REQUESTS {
        let mut request = caller.post(&endpoint, case.path).body(case.body);
        for (name, value) in case.headers {
            request = request.header(*name, *value);
        }
        let (status, problem) = send_for_problem(request).await;
        let kind = format!("/problems/{}", case.kind);
        let expected = (case.status, kind, Outcome::NotRun);
        let actual = (status, problem.kind.to_string(), problem.outcome);
        assert_eq!(actual, expected, "{}", problem.detail);
    }
    let ticket = caller.ticket(&endpoint).await.unwrap();
    let other_workspace = caller
        .post(&endpoint, "/v1/pipelines/find")
        .header(WORKSPACE_HEADER, "school")
        .header(TICKET_HEADER, ticket)
        .body("{}");
    let (status, problem) = send_for_problem(other_workspace).await;
    assert_eq!((status, problem.outcome), (401, Outcome::Unknown));
    assert_eq!(fleet.cluster().journal().entries().len(), 0);
}

/// Guards against the HTTP library's error pages where callers expect problem
/// details.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_routes_get_problem_details() {
    let fleet = TestFleet::start(TestFleetSettings::default()).await.unwrap();
    let endpoint = fleet.endpoint(0);
    let post = Caller::new().post(&endpoint, "/v2/pipelines/find");
    let (status, problem) = send_for_problem(post).await;
    assert_eq!((status, problem.status), (404, 404));
    assert_eq!(problem.kind, "/problems/unknown-call");
    let post = Caller::new().post(&endpoint, "/healthz");
    let (status, problem) = send_for_problem(post).await;
    assert_eq!((status, problem.status), (405, 405));
}

/// Guards against an oversized or incomplete body or head that occupies a
/// connection, or that is refused without a reason.
#[tokio::test(flavor = "multi_thread")]
async fn oversized_and_slow_requests_are_refused() {
    let settings = TestFleetSettings {
        zones: vec!["east-a"],
        flags: vec!["--max-body-bytes=4096", "--receive-timeout-ms=200"],
        ..TestFleetSettings::default()
    };
    let fleet = TestFleet::start(settings).await.unwrap();
    let endpoint = fleet.endpoint(0);
    let large = Caller::new()
        .post(&endpoint, "/v1/pipelines/find")
        .header(WORKSPACE_HEADER, "coop")
        .body(format!("\"{}\"", "x".repeat(5000)));
    let (status, problem) = send_for_problem(large).await;
    assert_eq!((status, problem.outcome), (413, Outcome::NotRun));
    let head = "POST /v1/pipelines/find HTTP/1.1\r\nhost: x\r\n\
                briarladder-workspace: coop\r\ncontent-length: 9\r\n";
    let body_missing = format!("{head}\r\n\"half");
    let response = send_raw(&endpoint, &body_missing).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("\"not_run\""), "{response}");
    let long_head = format!("{head}x-long: {}\r\n\r\n", "x".repeat(20_000));
    let response = send_raw(&endpoint, &long_head).await;
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    // An incomplete head must not keep the connection open.
    send_raw(&endpoint, head).await;
    assert_eq!(fleet.cluster().journal().entries().len(), 0);
    assert_eq!(fleet.daemons()[0].daemon().open_requests_len(), 0);
}

/// Sends text and returns everything received until the connection closes.
async fn send_raw(endpoint: &Endpoint, text: &str) -> String {
    let mut stream = TcpStream::connect(endpoint.address).await.unwrap();
    // The daemon may close the connection before it has read everything.
    let _ = stream.write_all(text.as_bytes()).await;
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let read = tokio::time::timeout(Duration::from_secs(5), read).await;
    // After a connection reset, the response received before it is kept.
    let _ = read.expect("the daemon closes the connection");
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against running requests whose deadline can't be met, and against
/// refusing them near the deadline instead of immediately.
#[tokio::test(flavor = "multi_thread")]
async fn unmeetable_deadline_is_refused_immediately() {
    let fleet = TestFleet::start(TestFleetSettings::default()).await.unwrap();
    let caller = Caller::new();
    // The estimated duration of the stages is 62 ms.
    let call = Call {
        deadline_ms: Some(50),
        ..Call::new(CallKind::Streamed, "hurry")
    };
    let started_at = Instant::now();
    let record = caller.send(&fleet.endpoint(0), &call).await;
    let elapsed = started_at.elapsed();
    record.assert_refused("overloaded", Outcome::NotRun);
    assert!(elapsed < Duration::from_millis(50), "{elapsed:?}");
    assert_eq!(fleet.cluster().journal().entries().len(), 0);
    assert_invariants(&fleet, vec![record]);
}
