//! Tests status queries for tickets whose issuing daemon has exited.

use std::time::Duration;

use briarladder_cli::{
    fleet::{Fleet, FleetSettings},
    samples::Sample,
};
use briarladder_standins::cluster::ClusterSettings;
use briarladder_wire::callers::{
    TICKET_HEADER, TicketIssued, TicketState, TicketStatus, WORKSPACE_HEADER,
};
use reqwest::{Client, RequestBuilder};
use serde_json::json;

async fn fleet() -> Fleet {
    let cluster =
        ClusterSettings { time_scale: 0.01, ..ClusterSettings::default() };
    let settings = FleetSettings { cluster, ..FleetSettings::default() };
    let objects = Sample::Dobradura.objects().unwrap();
    let fleet = Fleet::start(objects, settings).await.unwrap();
    // The daemons discover each other within this time.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet
}

fn with_identity(request: RequestBuilder) -> RequestBuilder {
    request.header(WORKSPACE_HEADER, "tour-operators")
}

async fn issue_ticket(
    client: &Client,
    fleet: &Fleet,
    daemon: usize,
) -> String {
    let url =
        format!("http://{}/v1/tickets", fleet.callers_addresses()[daemon]);
    let response = with_identity(client.post(url)).send().await.unwrap();
    response.json::<TicketIssued>().await.unwrap().ticket
}

async fn send_with_ticket(
    client: &Client,
    fleet: &Fleet,
    daemon: usize,
    ticket: &str,
) {
    let address = fleet.callers_addresses()[daemon];
    let url = format!("http://{address}/v1/pipelines/print-map");
    let request = client.post(url).header(TICKET_HEADER, ticket);
    let request = with_identity(request).json(&json!({ "map": 1 }));
    let response = request.send().await.unwrap();
    assert!(response.status().is_success(), "{response:?}");
}

async fn status(
    client: &Client,
    fleet: &Fleet,
    daemon: usize,
    ticket: &str,
) -> TicketStatus {
    let address = fleet.callers_addresses()[daemon];
    let url = format!("http://{address}/v1/tickets/{ticket}");
    let response = with_identity(client.get(url)).send().await.unwrap();
    response.json().await.unwrap()
}

/// Guards against losing outcomes when a daemon shuts down gracefully, and
/// against "unknown" for a ticket that was certainly not used.
#[tokio::test(flavor = "multi_thread")]
async fn status_survives_graceful_shutdown() {
    let mut fleet = fleet().await;
    let client = Client::builder().no_proxy().build().unwrap();
    let used = issue_ticket(&client, &fleet, 0).await;
    let unused = issue_ticket(&client, &fleet, 0).await;
    send_with_ticket(&client, &fleet, 3, &used).await;
    fleet.remove_daemon(0).stop().await;
    let status_of_used = status(&client, &fleet, 2, &used).await;
    assert_eq!(status_of_used.state, TicketState::Answered);
    assert!(status_of_used.answer.is_some());
    let status_of_unused = status(&client, &fleet, 2, &unused).await;
    assert_eq!(status_of_unused.state, TicketState::NotRun);
    fleet.stop().await;
}

/// Guards against an executed call that can't be found after its daemon was
/// killed, and against "not run" when this can't be known.
#[tokio::test(flavor = "multi_thread")]
async fn status_queries_services_after_daemon_death() {
    let mut fleet = fleet().await;
    let client = Client::builder().no_proxy().build().unwrap();
    let used = issue_ticket(&client, &fleet, 0).await;
    let unused = issue_ticket(&client, &fleet, 0).await;
    send_with_ticket(&client, &fleet, 0, &used).await;
    fleet.remove_daemon(0).kill();
    let status_of_used = status(&client, &fleet, 1, &used).await;
    assert_eq!(status_of_used.state, TicketState::Answered);
    assert!(status_of_used.output.is_some());
    let status_of_unused = status(&client, &fleet, 1, &unused).await;
    assert_eq!(status_of_unused.state, TicketState::Unknown);
    fleet.stop().await;
}
