//! Status queries for tickets whose daemon is gone.

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
    // The daemons hear of one another within this time.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet
}

fn identified(request: RequestBuilder) -> RequestBuilder {
    request.header(WORKSPACE_HEADER, "tour-operators")
}

async fn issue(client: &Client, fleet: &Fleet, daemon: usize) -> String {
    let url =
        format!("http://{}/v1/tickets", fleet.callers_addresses()[daemon]);
    let response = identified(client.post(url)).send().await.unwrap();
    response.json::<TicketIssued>().await.unwrap().ticket
}

async fn use_ticket(client: &Client, fleet: &Fleet, at: usize, ticket: &str) {
    let address = fleet.callers_addresses()[at];
    let url = format!("http://{address}/v1/pipelines/print-map");
    let request = client.post(url).header(TICKET_HEADER, ticket);
    let request = identified(request).json(&json!({ "map": 1 }));
    let response = request.send().await.unwrap();
    assert!(response.status().is_success(), "{response:?}");
}

async fn status(
    client: &Client,
    fleet: &Fleet,
    at: usize,
    ticket: &str,
) -> TicketStatus {
    let address = fleet.callers_addresses()[at];
    let url = format!("http://{address}/v1/tickets/{ticket}");
    let response = identified(client.get(url)).send().await.unwrap();
    response.json().await.unwrap()
}

/// Guards against outcomes that are lost with a daemon that stops as
/// planned, and against "unknown" for a ticket that provably was not used.
#[tokio::test(flavor = "multi_thread")]
async fn status_survives_planned_stop() {
    let mut fleet = fleet().await;
    let client = Client::builder().no_proxy().build().unwrap();
    let used = issue(&client, &fleet, 0).await;
    let unused = issue(&client, &fleet, 0).await;
    use_ticket(&client, &fleet, 3, &used).await;
    fleet.remove_daemon(0).stop().await;
    let status_of_used = status(&client, &fleet, 2, &used).await;
    assert_eq!(status_of_used.state, TicketState::Answered);
    assert!(status_of_used.answer.is_some());
    let status_of_unused = status(&client, &fleet, 2, &unused).await;
    assert_eq!(status_of_unused.state, TicketState::NotRun);
    fleet.stop().await;
}

/// Guards against a call that ran and can't be found after its daemon died,
/// and against a "not run" that nobody can know.
#[tokio::test(flavor = "multi_thread")]
async fn status_asks_plain_services_after_death() {
    let mut fleet = fleet().await;
    let client = Client::builder().no_proxy().build().unwrap();
    let used = issue(&client, &fleet, 0).await;
    let unused = issue(&client, &fleet, 0).await;
    use_ticket(&client, &fleet, 0, &used).await;
    fleet.remove_daemon(0).kill();
    let status_of_used = status(&client, &fleet, 1, &used).await;
    assert_eq!(status_of_used.state, TicketState::Answered);
    assert!(status_of_used.output.is_some());
    let status_of_unused = status(&client, &fleet, 1, &unused).await;
    assert_eq!(status_of_unused.state, TicketState::Unknown);
    fleet.stop().await;
}
