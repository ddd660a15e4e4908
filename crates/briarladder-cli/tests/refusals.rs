//! Requests that a daemon refuses, over stand-ins of the platform and the
//! backend servers.

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
    fleet::{Place, TestFleet, TestFleetSettings},
    history::CallKind,
    invariants::assert_invariants,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// A request that must be refused.
struct Bad {
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
    kind: &'static str,
}

const COOP: (&str, &str) = (WORKSPACE_HEADER, "coop");

const BAD: &[Bad] = &[
    Bad {
        path: "/v1/pipelines/find",
        headers: &[],
        body: "{}",
        status: 400,
        kind: "invalid-request",
    },
    Bad {
        path: "/v1/pipelines/find",
        headers: &[COOP],
        body: "{",
        status: 400,
        kind: "invalid-request",
    },
    Bad {
        path: "/v1/pipelines/find",
        headers: &[COOP, (DEADLINE_HEADER, "soon")],
        body: "{}",
        status: 400,
        kind: "invalid-request",
    },
    Bad {
        path: "/v1/pipelines/find",
        headers: &[COOP, (DEADLINE_HEADER, "2001")],
        body: "{}",
        status: 400,
        kind: "invalid-request",
    },
    Bad {
        path: "/v1/pipelines/gone",
        headers: &[COOP],
        body: "{}",
        status: 404,
        kind: "not-found",
    },
    Bad {
        path: "/v1/pipelines/find",
        headers: &[(WORKSPACE_HEADER, "gone")],
        body: "{}",
        status: 404,
        kind: "not-found",
    },
    Bad {
        path: "/v1/pipelines/find",
        headers: &[COOP, (RANK_HEADER, "gone")],
        body: "{}",
        status: 404,
        kind: "not-found",
    },
    Bad {
        path: "/v1/pipelines/plan",
        headers: &[(WORKSPACE_HEADER, "school")],
        body: "{}",
        status: 403,
        kind: "not-allowed",
    },
    Bad {
        path: "/v1/pipelines/buy",
        headers: &[COOP],
        body: "{}",
        status: 428,
        kind: "ticket-required",
    },
    Bad {
        path: "/v1/pipelines/buy",
        headers: &[COOP, (TICKET_HEADER, "x")],
        body: "{}",
        status: 401,
        kind: "ticket-rejected",
    },
];

async fn problem_of(request: RequestBuilder) -> (u16, Problem) {
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    (status, response.json().await.unwrap())
}

/// Guards against bad input that runs, or is refused with the wrong cause
/// or without the statement that nothing ran.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_and_does_not_run() {
    let fleet = TestFleet::start(TestFleetSettings::default()).await.unwrap();
    let caller = Caller::new();
    let place = fleet.place(0);
    for bad in BAD {
        let mut request = caller.post(&place, bad.path).body(bad.body);
        for (name, value) in bad.headers {
            request = request.header(*name, *value);
        }
        let (status, problem) = problem_of(request).await;
        let kind = format!("/problems/{}", bad.kind);
        let expected = (bad.status, kind, Outcome::NotRun);
        let told = (status, problem.kind.to_string(), problem.outcome);
        assert_eq!(told, expected, "{}", problem.detail);
    }
    let ticket = caller.ticket(&place).await.unwrap();
    let foreign = caller
        .post(&place, "/v1/pipelines/find")
        .header(WORKSPACE_HEADER, "school")
        .header(TICKET_HEADER, ticket)
        .body("{}");
    let (status, problem) = problem_of(foreign).await;
    assert_eq!((status, problem.outcome), (401, Outcome::Unknown));
    assert_eq!(fleet.cluster().journal().entries().len(), 0);
}

/// Guards against an error page of the HTTP library where callers expect
/// problem details.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_calls_get_problem_details() {
    let fleet = TestFleet::start(TestFleetSettings::default()).await.unwrap();
    let place = fleet.place(0);
    let post = Caller::new().post(&place, "/v2/pipelines/find");
    let (status, problem) = problem_of(post).await;
    assert_eq!((status, problem.status), (404, 404));
    assert_eq!(problem.kind, "/problems/unknown-call");
    let post = Caller::new().post(&place, "/healthz");
    let (status, problem) = problem_of(post).await;
    assert_eq!((status, problem.status), (405, 405));
}

/// Guards against a body or head above its limit, or one that never comes,
/// that holds a place or ends without a reason.
#[tokio::test(flavor = "multi_thread")]
async fn too_large_and_too_slow_are_refused() {
    let settings = TestFleetSettings {
        zones: vec!["east-a"],
        flags: vec!["--max-body-bytes=4096", "--receive-timeout-ms=200"],
        ..TestFleetSettings::default()
    };
    let fleet = TestFleet::start(settings).await.unwrap();
    let place = fleet.place(0);
    let large = Caller::new()
        .post(&place, "/v1/pipelines/find")
        .header(WORKSPACE_HEADER, "coop")
        .body(format!("\"{}\"", "x".repeat(5000)));
    let (status, problem) = problem_of(large).await;
    assert_eq!((status, problem.outcome), (413, Outcome::NotRun));
    let head = "POST /v1/pipelines/find HTTP/1.1\r\nhost: x\r\n\
                briarladder-workspace: coop\r\ncontent-length: 9\r\n";
    let body_missing = format!("{head}\r\n\"half");
    let answer = send_raw(&place, &body_missing).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("\"not_run\""), "{answer}");
    let long_head = format!("{head}x-long: {}\r\n\r\n", "x".repeat(20_000));
    let answer = send_raw(&place, &long_head).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    // The head that never ends must not hold the connection.
    send_raw(&place, head).await;
    assert_eq!(fleet.cluster().journal().entries().len(), 0);
    assert_eq!(fleet.daemons()[0].daemon().open_requests_len(), 0);
}

/// Sends bytes and returns all that comes until the connection closes.
async fn send_raw(place: &Place, text: &str) -> String {
    let mut stream = TcpStream::connect(place.address).await.unwrap();
    // The daemon may close before it has read everything.
    let _ = stream.write_all(text.as_bytes()).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let read = tokio::time::timeout(Duration::from_secs(5), read).await;
    // A reset after the answer leaves what came before in place.
    let _ = read.expect("the daemon closes the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against work for a deadline that can't be met, and against a
/// refusal that comes near the deadline instead of at once.
#[tokio::test(flavor = "multi_thread")]
async fn hopeless_deadline_is_refused_at_once() {
    let fleet = TestFleet::start(TestFleetSettings::default()).await.unwrap();
    let caller = Caller::new();
    // The stages are estimated at 62 ms.
    let call = Call {
        deadline_ms: Some(50),
        ..Call::new(CallKind::Streamed, "hurry")
    };
    let began = Instant::now();
    let record = caller.send(&fleet.place(0), &call).await;
    let elapsed = began.elapsed();
    record.assert_refused("overloaded", Outcome::NotRun);
    assert!(elapsed < Duration::from_millis(50), "{elapsed:?}");
    assert_eq!(fleet.cluster().journal().entries().len(), 0);
    assert_invariants(&fleet, vec![record]);
}
