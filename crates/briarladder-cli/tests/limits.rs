//! Limits of open requests, over a whole deployment.

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

const LIMIT: u32 = 6;
const SENT: usize = 48;

async fn fleet() -> Fleet {
    let mut objects = Sample::Dobradura.objects().unwrap();
    for object in &mut objects {
        if let Object::Workspace(workspace) = object {
            workspace.max_open_requests = LIMIT;
            workspace.caller_max_open_requests = LIMIT;
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

/// Guards against a limit that each daemon applies alone, so that the fleet
/// admits it as many times as there are daemons, and against one that is
/// divided by the daemons and refuses requests that it would allow.
#[tokio::test(flavor = "multi_thread")]
async fn open_requests_hold_over_all_daemons() {
    let fleet = fleet().await;
    // The first leases follow the first views of the members.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let client = Client::builder().no_proxy().build().unwrap();
    let addresses = fleet.callers_addresses();
    let calls = (0..SENT).map(|number| {
        let address = addresses[number % addresses.len()];
        let url = format!("http://{address}/v1/pipelines/fold-plan-stable");
        tokio::spawn(send(client.clone(), url))
    });
    let calls: Vec<_> = calls.collect();
    let mut answered = 0;
    let mut limited = 0;
    for call in calls {
        match call.await.unwrap() {
            200 => answered += 1,
            429 => limited += 1,
            other => panic!("unexpected status {other}"),
        }
    }
    assert_eq!(answered + limited, SENT);
    assert_eq!(answered, LIMIT as usize, "{limited} were refused");
    fleet.stop().await;
}
