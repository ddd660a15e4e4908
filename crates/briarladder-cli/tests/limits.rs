//! Tests limits on open requests in a whole deployment.

use std::time::Duration;

use briarladder_cli::{
    fleet::{Fleet, FleetSettings},
    samples::Sample,
};
use briarladder_core::objects::Object;
use briarladder_standins::cluster::ClusterSettings;
use briarladder_wire::callers::WORKSPACE_HEADER;
use reqwest::Client;
use serde_json::json;

/// The limit of open requests for the workspace and for each caller.
const OPEN_REQUEST_LIMIT: u32 = 6;
/// The number of requests that are sent concurrently.
const REQUEST_COUNT: usize = 48;

async fn fleet() -> Fleet {
    let mut objects = Sample::Dobradura.objects().unwrap();
    for object in &mut objects {
        if let Object::Workspace(workspace) = object {
            workspace.max_open_requests = OPEN_REQUEST_LIMIT;
            workspace.caller_max_open_requests = OPEN_REQUEST_LIMIT;
        }
    }
    let cluster =
        ClusterSettings { time_scale: 0.5, ..ClusterSettings::default() };
    let settings = FleetSettings { cluster, ..FleetSettings::default() };
    Fleet::start(objects, settings).await.unwrap()
}

async fn send(client: Client, url: String) -> u16 {
    let request = client
        .post(url)
        .header(WORKSPACE_HEADER, "tour-operators")
        .json(&json!({}));
    request.send().await.unwrap().status().as_u16()
}

/// Guards against a limit that each daemon applies separately, so that the
/// fleet admits a multiple of it, and against one that is split evenly among
/// the daemons and refuses requests below the limit.
#[tokio::test(flavor = "multi_thread")]
async fn open_request_limit_is_fleet_wide() {
    let fleet = fleet().await;
    // Daemons obtain their first leases after their first membership views.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let client = Client::builder().no_proxy().build().unwrap();
    let addresses = fleet.callers_addresses();
    let calls = (0..REQUEST_COUNT).map(|number| {
        let address = addresses[number % addresses.len()];
        let url = format!("http://{address}/v1/pipelines/fold-plan-stable");
        tokio::spawn(send(client.clone(), url))
    });
    let calls: Vec<_> = calls.collect();
    let mut succeeded = 0;
    let mut refused = 0;
    for call in calls {
        match call.await.unwrap() {
            200 => succeeded += 1,
            429 => refused += 1,
            other => panic!("unexpected status {other}"),
        }
    }
    assert_eq!(succeeded + refused, REQUEST_COUNT);
    assert_eq!(
        succeeded, OPEN_REQUEST_LIMIT as usize,
        "{refused} were refused"
    );
    fleet.stop().await;
}
