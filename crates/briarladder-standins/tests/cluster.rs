//! Starting backend servers from an object set.

mod common;

use std::time::Duration;

use briarladder_core::objects::Object;
use briarladder_standins::cluster::{Backend, Cluster, ClusterSettings};
use common::{get, request, run};
use tokio::time::Instant;

const OBJECTS: &str = r#"[
    {"kind": "fleet", "ticket_keys": [], "ticket_lifetime_ms": 1,
     "outcome_retention_ms": 1, "weight_store_bytes_per_s": 1000},
    {"kind": "model_version", "name": "v1", "model": "m",
     "weights_bytes": 500},
    {"kind": "stage", "name": "encode", "pool": "encoders",
     "work": "encode", "estimate_ms": 1000, "timeout_ms": 5000},
    {"kind": "stage", "name": "draft", "pool": "engines",
     "work": {"generate": {"model_version": "v1", "max_tokens": 4}},
     "estimate_ms": 1000, "timeout_ms": 5000},
    {"kind": "stage", "name": "book", "pool": "bookings",
     "work": {"call": {"operation": "book"}},
     "estimate_ms": 0, "timeout_ms": 5000, "idempotent": false},
    {"kind": "region", "name": "recife", "pools": [
        {"name": "encoders", "role": "encoder", "slots_requests": 2},
        {"name": "engines", "role": "engine", "slots_requests": 3,
         "model_versions": ["v1"]},
        {"name": "bookings", "role": "service", "slots_requests": 4}
     ], "zones": [{"name": "recife-a", "servers": [
        {"name": "encoder-1", "pool": "encoders", "address": "127.0.0.1:1"},
        {"name": "engine-1", "pool": "engines", "address": "127.0.0.1:1"},
        {"name": "booking-1", "pool": "bookings", "address": "127.0.0.1:1"},
        {"name": "lost-1", "pool": "lost", "address": "127.0.0.1:1"}
     ]}]}
]"#;

/// Guards against wrong addresses in the returned objects, and against
/// roles, slots and service times that differ from the objects.
#[tokio::test]
async fn cluster_follows_objects() {
    let objects: Vec<Object> = serde_json::from_str(OBJECTS).unwrap();
    let settings =
        ClusterSettings { time_scale: 0.1, ..ClusterSettings::default() };
    let cluster = Cluster::start(&objects, settings).await.unwrap();
    let Some(Object::Region(region)) = cluster.objects().last() else {
        panic!("the region is last");
    };
    let servers = &region.zones[0].servers;
    assert_eq!(cluster.backends().len(), 3);
    for (server, backend) in servers.iter().zip(cluster.backends()) {
        assert_eq!(server.address, backend.address());
        assert_eq!(server.name, *backend.name());
    }
    assert_eq!(servers[3].address.port(), 1);
    assert!(matches!(cluster.backends()[1], Backend::Engine(_)));
    let vms = cluster.vms();
    assert_eq!(vms.len(), 3);
    assert_eq!(vms[1].address, servers[1].address);
    assert_eq!(vms[1].zone, region.zones[0].name);
    let load = get(servers[2].address, "/v1/load").await.unwrap();
    let load: serde_json::Value = load.json().await.unwrap();
    assert_eq!(load["slots_requests"], 4);
    let start = Instant::now();
    let mut encode = request("1");
    encode.operation = None;
    let response = run(servers[0].address, &encode).await.unwrap();
    assert_eq!(response.status(), 200);
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(100), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(900), "{elapsed:?}");
    let events = common::generate(servers[1].address, &request("1")).await;
    assert_eq!(events.total, Some(4));
    assert_eq!(cluster.journal().entries().len(), 2);
    let store = cluster.weight_store().unwrap().address();
    let start = Instant::now();
    let weights = get(store, "/v1/weights/v1").await.unwrap();
    assert_eq!(weights.status(), 200);
    // 500 bytes at 1000 bytes per second take 50 ms at a time scale of 0.1.
    assert!(start.elapsed() >= Duration::from_millis(45));
    let booking = cluster.backend("booking-1").unwrap().address();
    cluster.stop().await;
    assert!(get(booking, "/v1/load").await.unwrap_err().is_connect());
}
