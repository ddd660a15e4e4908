//! Tests poison requests, which crash the backend servers that run them, in a
//! whole deployment.

use std::{sync::Arc, time::Duration};

use briarladder_cli::{
    fleet::{Fleet, FleetSettings},
    samples::Sample,
};
use briarladder_standins::{
    cluster::ClusterSettings,
    fault::{Fault, Pattern, Rule},
};
use briarladder_wire::callers::{Problem, WORKSPACE_HEADER};
use serde_json::json;

/// The text in a request body that crashes the backend server.
const MARKER: &str = "crash-the-server";

async fn fleet() -> Fleet {
    let cluster =
        ClusterSettings { time_scale: 0.01, ..ClusterSettings::default() };
    let settings = FleetSettings { cluster, ..FleetSettings::default() };
    let objects = Sample::Dobradura.objects().unwrap();
    Fleet::start(objects, settings).await.unwrap()
}

async fn send(fleet: &Fleet, daemon: usize, sheet: &str) -> reqwest::Response {
    let address = fleet.callers_addresses()[daemon];
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    client
        .post(format!("http://{address}/v1/pipelines/fold-plan-stable"))
        .header(WORKSPACE_HEADER, "tour-operators")
        .json(&json!({ "sheet": sheet }))
        .send()
        .await
        .unwrap()
}

/// Guards against a caller that resends a poison request to other daemons and
/// so crashes one backend server after another.
#[tokio::test(flavor = "multi_thread")]
async fn resent_poison_request_is_refused_after_second_crash() {
    let fleet = fleet().await;
    for backend in fleet.cluster().backends() {
        backend.faults().add(Rule {
            pattern: Pattern {
                body_contains: Some(Arc::from(MARKER)),
                ..Pattern::default()
            },
            fault: Fault::Crash,
            times: None,
        });
    }
    for daemon in [0, 1, 2, 3, 4, 5, 0, 3] {
        let response = send(&fleet, daemon, MARKER).await;
        assert!(!response.status().is_success());
        // Poison notices reach the other daemons within this time.
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let refused = send(&fleet, 2, MARKER).await;
    assert_eq!(refused.status().as_u16(), 422);
    let problem: Problem = refused.json().await.unwrap();
    assert_eq!(problem.kind, "/problems/poison");
    assert!(problem.retry_after_ms.is_some());

    let crashes = fleet
        .cluster()
        .journal()
        .entries()
        .iter()
        .filter(|entry| {
            matches!(
                entry.status,
                briarladder_standins::journal::ExecutionStatus::Aborted
            )
        })
        .count();
    assert!(crashes <= 2, "{crashes} crashes");
    let unrelated = send(&fleet, 2, "a-harmless-sheet").await;
    let status = unrelated.status();
    let body = unrelated.text().await.unwrap();
    assert!(status.is_success(), "{status}: {body}");
    fleet.stop().await;
}
