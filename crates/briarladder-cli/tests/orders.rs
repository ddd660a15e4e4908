//! Orders to engines, over a whole deployment.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use briarladder_cli::{
    fleet::{Fleet, FleetSettings},
    samples::Sample,
};
use briarladder_core::{
    load::LoadReport,
    names::ModelVersionName,
    objects::{Object, Role, Work},
};
use briarladder_standins::cluster::ClusterSettings;
use briarladder_wire::callers::WORKSPACE_HEADER;
use reqwest::Client;
use serde_json::json;

/// The longest time until all engines are in line: a fresh daemon orders
/// nothing for 22 s, and the loads and orders take a few more.
const IN_LINE_TIMEOUT: Duration = Duration::from_mins(1);

fn version(name: &str) -> ModelVersionName {
    ModelVersionName::new(name).unwrap()
}

/// Moves the stages of fold-2 to fold-3 and drops fold-2 everywhere.
fn upgraded(objects: &[Object]) -> Vec<Object> {
    let mut objects = objects.to_vec();
    for object in &mut objects {
        match object {
            Object::Stage(stage) => {
                if let Work::Generate { model_version, .. } = &mut stage.work
                    && model_version.as_str() == "fold-2"
                {
                    *model_version = version("fold-3");
                }
            }
            Object::Region(region) => {
                for pool in &mut region.pools {
                    pool.model_versions.retain(|v| v.as_str() != "fold-2");
                }
            }
            _ => {}
        }
    }
    objects.retain(|object| object.name() != "fold-2");
    objects
}

/// Returns the sample set with weights that load at once.
fn objects() -> Vec<Object> {
    let mut objects = Sample::Dobradura.objects().unwrap();
    for object in &mut objects {
        if let Object::ModelVersion(version) = object {
            version.weights_bytes = 1;
        }
    }
    objects
}

/// Returns the engines of a set and whether each is to have fold-2.
fn expected(objects: &[Object]) -> Vec<Expected> {
    let mut expected = Vec::new();
    for object in objects {
        let Object::Region(region) = object else { continue };
        let pools = region.pools.iter();
        for pool in pools.filter(|pool| pool.role == Role::Engine) {
            let servers = region.zones.iter().flat_map(|zone| &zone.servers);
            for server in servers.filter(|s| s.pool == pool.name) {
                expected.push(Expected {
                    address: server.address,
                    has_fold_2: pool
                        .model_versions
                        .contains(&version("fold-2")),
                });
            }
        }
    }
    expected
}

struct Expected {
    address: SocketAddr,
    has_fold_2: bool,
}

async fn in_line(client: &Client, expected: &[Expected], epoch: u64) -> bool {
    for engine in expected {
        let url = format!("http://{}/v1/load", engine.address);
        let report = client.get(url).send().await.unwrap();
        let report: LoadReport = report.json().await.unwrap();
        let has = report.model_versions.contains(&version("fold-2"));
        if report.epoch_seen < epoch || has != engine.has_fold_2 {
            return false;
        }
    }
    true
}

/// Publishes a set and waits until the engines have its versions, while
/// requests go on.
async fn come_into_line(fleet: &Fleet, epoch: u64, objects: &[Object]) {
    let client = Client::builder().no_proxy().build().unwrap();
    let expected = expected(objects);
    fleet.publish(epoch, objects).unwrap();
    fleet.wait_for_epoch(epoch).await.unwrap();
    let started_at = Instant::now();
    let mut sent = 0;
    let mut unanswered = 0;
    while !in_line(&client, &expected, epoch).await {
        assert!(started_at.elapsed() < IN_LINE_TIMEOUT, "epoch {epoch}");
        let daemon = fleet.callers_addresses()[sent % fleet.daemons().len()];
        // Its stages use fold-3, which every epoch has.
        let url = format!("http://{daemon}/v1/pipelines/fold-plan");
        let request = client.post(url).json(&json!({ "n": sent }));
        let request = request.header(WORKSPACE_HEADER, "tour-operators");
        sent += 1;
        if !request.send().await.unwrap().status().is_success() {
            unanswered += 1;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(unanswered, 0, "of {sent} under epoch {epoch}");
}

/// Guards against an upgrade that stops halfway and can be neither finished
/// nor taken back, and against requests that fail meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn upgrade_is_finished_and_taken_back() {
    let cluster =
        ClusterSettings { time_scale: 0.01, ..ClusterSettings::default() };
    let settings = FleetSettings { cluster, ..FleetSettings::default() };
    let fleet = Fleet::start(objects(), settings).await.unwrap();
    let first = fleet.cluster().objects().to_vec();
    come_into_line(&fleet, 2, &upgraded(&first)).await;
    come_into_line(&fleet, 3, &first).await;
    fleet.stop().await;
}
