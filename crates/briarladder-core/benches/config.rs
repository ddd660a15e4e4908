//! Measures the cost of one configuration change at the target scale: 7,000
//! workspaces and 10,000 workers in 12 availability zones.

use std::{hint::black_box, time::Instant};

use briarladder_core::{
    config::{Bundle, ConfigStore, OfferOutcome},
    objects::{
        Object,
        check::check,
        parse::{FileName, LocatedObject},
    },
};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use serde_json::{Value, json};

const WORKSPACES: usize = 7_000;
const REGIONS: usize = 6;
const WORKERS_PER_ZONE: usize = 833;

/// Returns a region of two availability zones.
fn region(index: usize) -> Value {
    let zones: Vec<Value> = (0..2)
        .map(|zone| {
            let server = |i: usize| {
                let address = format!("10.{index}.{}.{}:80", i / 250, i % 250);
                json!({"name": format!("engine-{index}-{zone}-{i}"),
                    "pool": "engine",
                    "address": address.replace("10.", &format!("1{zone}."))})
            };
            json!({"name": format!("zone-{index}-{zone}"),
                "servers": (0..WORKERS_PER_ZONE).map(server)
                    .collect::<Vec<_>>()})
        })
        .collect();
    json!({"kind": "region", "name": format!("region-{index}"),
        "pools": [{"name": "engine", "role": "engine", "slots_requests": 8,
            "model_versions": ["fold-1"]}],
        "zones": zones})
}

/// Returns the configuration, in which the first workspace has this weight.
fn objects(weight: u32) -> Vec<Object> {
    let mut values = vec![
        json!({"kind": "fleet", "ticket_lifetime_ms": 60_000,
            "outcome_retention_ms": 600_000, "weight_store_bytes_per_s": 1,
            "ticket_keys": [{"id": 1, "secret_hex": "0".repeat(64)}]}),
        json!({"kind": "rank", "name": "urgent", "order": 0,
            "guaranteed_percent": 50}),
        json!({"kind": "model_version", "name": "fold-1", "model": "fold",
            "weights_bytes": 1}),
        json!({"kind": "stage", "name": "draft", "pool": "engine",
            "work": {"generate": {"model_version": "fold-1",
                "max_tokens": 64}},
            "estimate_ms": 500, "timeout_ms": 2_000}),
    ];
    let pipelines: Vec<String> =
        (0..8).map(|i| format!("pipeline-{i}")).collect();
    values.extend(pipelines.iter().map(|name| {
        json!({"kind": "pipeline", "name": name, "stages": ["draft"],
            "deadline_ms": 5_000, "default_rank": "urgent"})
    }));
    values.extend((0..REGIONS).map(region));
    values.extend((0..WORKSPACES).map(|i| {
        json!({"kind": "workspace", "name": format!("workspace-{i}"),
            "home_region": format!("region-{}", i % REGIONS),
            "pipelines": &pipelines[..3],
            "weight": if i == 0 { weight } else { 1 },
            "max_open_requests": 40, "caller_max_open_requests": 10})
    }));
    values
        .into_iter()
        .map(|value| serde_json::from_value(value).expect("a valid object"))
        .collect()
}

/// Offers a manifest and the chunks that the store lacks, until the store
/// adopts the configuration.
fn offer_bundle(store: &mut ConfigStore, bundle: &Bundle, now: Instant) {
    let outcome = store.offer_manifest(bundle.manifest.clone(), now);
    let OfferOutcome::Missing(missing) = outcome else {
        panic!("{outcome:?}")
    };
    let mut last_outcome = None;
    for chunk in missing {
        let chunk_in_bundle =
            bundle.chunks.iter().find(|c| c.digest == chunk.digest);
        let bytes = &chunk_in_bundle.expect("in the bundle").bytes;
        last_outcome = Some(store.offer_chunk(&chunk.digest, bytes, now));
    }
    assert!(matches!(last_outcome, Some(OfferOutcome::Adopted(_))));
}

fn config_change(c: &mut Criterion) {
    let now = Instant::now();
    let (old_objects, new_objects) = (objects(1), objects(2));
    let old_bundle = Bundle::new(1, &old_objects).expect("a valid bundle");
    let new_bundle = Bundle::new(2, &new_objects).expect("a valid bundle");
    let json_len =
        |value| serde_json::to_vec(value).expect("serialisable").len();
    let delta = new_bundle.manifest.delta_since(&old_bundle.manifest);
    let delta_bytes = serde_json::to_vec(&delta).expect("serialisable").len();
    let chunk_bytes: u64 = delta.changed.iter().map(|c| c.len_bytes).sum();
    let total_bytes: usize =
        new_bundle.chunks.iter().map(|c| c.bytes.len()).sum();
    println!(
        "set {total_bytes} bytes in {} chunks, manifest {} bytes; one change: \
         difference {delta_bytes} bytes, chunks {chunk_bytes} bytes",
        new_bundle.chunks.len(),
        json_len(&new_bundle.manifest),
    );
    let file = FileName::new("set");
    let located_objects: Vec<LocatedObject> = new_objects
        .iter()
        .map(|o| LocatedObject { file: file.clone(), object: o.clone() })
        .collect();
    c.bench_function("bundle", |b| {
        b.iter(|| Bundle::new(2, black_box(&new_objects)));
    });
    c.bench_function("check", |b| {
        b.iter(|| {
            let faults = check(black_box(&located_objects));
            assert!(faults.is_empty(), "{faults:?}");
        });
    });
    c.bench_function("adopt_one_change", |b| {
        let setup = || {
            let mut store = ConfigStore::new();
            store.confirm_floor(now);
            offer_bundle(&mut store, &old_bundle, now);
            store
        };
        let adopt = |mut store: ConfigStore| {
            offer_bundle(&mut store, &new_bundle, now);
            store
        };
        b.iter_batched(setup, adopt, BatchSize::PerIteration);
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20);
    targets = config_change
}
criterion_main!(benches);
