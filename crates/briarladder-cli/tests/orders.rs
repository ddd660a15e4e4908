//! Tests orders to engines in a whole deployment.

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

/// The timeout until all engines have the expected versions: a new daemon
/// sends no orders for 22 s, and orders and loading take a few seconds more.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_mins(1);

fn version(name: &str) -> ModelVersionName {
    ModelVersionName::new(name).unwrap()
}

/// Returns objects whose stages use fold-3 instead of fold-2, and from which
/// fold-2 is removed.
fn with_upgrade(objects: &[Object]) -> Vec<Object> {
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

/// Returns the sample set with weights small enough to load immediately.
fn objects() -> Vec<Object> {
    let mut objects = Sample::Dobradura.objects().unwrap();
    for object in &mut objects {
        if let Object::ModelVersion(version) = object {
            version.weights_bytes = 1;
        }
    }
    objects
}

/// Returns the engines of a set and whether each must have fold-2 loaded.
fn expected_engines(objects: &[Object]) -> Vec<ExpectedEngine> {
    let mut expected_engines = Vec::new();
    for object in objects {
        let Object::Region(region) = object else { continue };
        let pools = region.pools.iter();
        for pool in pools.filter(|pool| pool.role == Role::Engine) {
            let servers = region.zones.iter().flat_map(|zone| &zone.servers);
            for server in servers.filter(|s| s.pool == pool.name) {
                expected_engines.push(ExpectedEngine {
                    address: server.address,
                    has_fold_2: pool
                        .model_versions
                        .contains(&version("fold-2")),
                });
            }
        }
    }
    expected_engines
}

struct ExpectedEngine {
    address: SocketAddr,
    has_fold_2: bool,
}

async fn has_converged(
    client: &Client,
    expected_engines: &[ExpectedEngine],
    epoch: u64,
) -> bool {
    for engine in expected_engines {
        let url = format!("http://{}/v1/load", engine.address);
        let report = client.get(url).send().await.unwrap();
        let report: LoadReport = report.json().await.unwrap();
        let has_fold_2 = report.model_versions.contains(&version("fold-2"));
        if report.epoch_seen < epoch || has_fold_2 != engine.has_fold_2 {
            return false;
        }
    }
    true
}

/// Publishes a set and waits until the engines have its versions, while
/// sending requests that must all succeed.
async fn publish_and_converge(fleet: &Fleet, epoch: u64, objects: &[Object]) {
    let client = Client::builder().no_proxy().build().unwrap();
    let expected_engines = expected_engines(objects);
    fleet.publish(epoch, objects).unwrap();
    fleet.wait_for_epoch(epoch).await.unwrap();
    let started_at = Instant::now();
    let mut sent = 0;
    let mut failed = 0;
    while !has_converged(&client, &expected_engines, epoch).await {
        assert!(started_at.elapsed() < CONVERGENCE_TIMEOUT, "epoch {epoch}");
        let daemon = fleet.callers_addresses()[sent % fleet.daemons().len()];
        // The stages of this pipeline use fold-3, which is in every epoch.
        let url = format!("http://{daemon}/v1/pipelines/fold-plan");
        let request = client.post(url).json(&json!({ "n": sent }));
        let request = request.header(WORKSPACE_HEADER, "tour-operators");
        sent += 1;
        if !request.send().await.unwrap().status().is_success() {
            failed += 1;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(failed, 0, "failed requests of {sent} at epoch {epoch}");
}

/// Guards against an upgrade that stops halfway and can be neither completed
/// nor rolled back, and against requests that fail during it.
#[tokio::test(flavor = "multi_thread")]
async fn upgrade_completes_and_rolls_back() {
    let cluster =
        ClusterSettings { time_scale: 0.01, ..ClusterSettings::default() };
    let settings = FleetSettings { cluster, ..FleetSettings::default() };
    let fleet = Fleet::start(objects(), settings).await.unwrap();
    let original = fleet.cluster().objects().to_vec();
    publish_and_converge(&fleet, 2, &with_upgrade(&original)).await;
    publish_and_converge(&fleet, 3, &original).await;
    fleet.stop().await;
}
