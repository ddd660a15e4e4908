//! Generation, resumption, cancellation, priorities, prefix cache and orders.

mod common;

use std::{sync::Arc, time::Duration};

use briarladder_core::{
    load::LoadReport,
    names::{ModelVersionName, ServerName},
};
use briarladder_standins::{
    engine::{Engine, EngineSettings},
    fault::Fault,
    journal::ExecutionStatus,
    server::ServerSettings,
    weights::{WeightStore, WeightStoreSettings, Weights},
};
use briarladder_wire::backend::{
    CacheEvent, CacheEvents, Order, OrderResponse,
};
use common::{
    cancel, engine, expected_tokens, generate, get, read_events, request, run,
    server,
};
use tokio::time::{Instant, sleep};

async fn load(engine: &Engine) -> LoadReport {
    let response = get(engine.address(), "/v1/load").await.unwrap();
    response.json().await.unwrap()
}

/// Guards against tokens that the stand-in itself loses, duplicates or
/// reorders, which would hide the same faults of the daemon.
#[tokio::test]
async fn generate_sends_every_token_once() {
    let engine = engine(1).await;
    let mut request = request("\"fold\"");
    request.max_tokens = Some(5);
    let events = generate(engine.address(), &request).await;
    assert_eq!(events.started, Some(request.request_id));
    let indexes = events.tokens.iter().map(|(index, _)| *index);
    assert!(indexes.eq(0..5));
    assert_eq!(events.texts(), expected_tokens(&request, 5));
    assert_eq!((events.total, events.disconnected), (Some(5), false));
    let entry = &engine.journal().entries()[0];
    assert_eq!(
        (entry.sent_tokens, entry.status),
        (5, ExecutionStatus::Completed)
    );
}

/// Guards against a resumption that starts from the first token or skips
/// one.
#[tokio::test]
async fn generate_resumes_after_disconnect() {
    let engine = engine(1).await;
    engine.faults().add_for_next(1, Fault::DropAfterTokens(2));
    let mut request = request("\"fold\"");
    request.max_tokens = Some(5);
    let first = generate(engine.address(), &request).await;
    assert!(first.disconnected && first.total.is_none());
    assert_eq!(first.texts(), expected_tokens(&request, 2));
    request.attempt = 1;
    request.resume_tokens = first.texts().into_iter().map(Arc::from).collect();
    let second = generate(engine.address(), &request).await;
    assert_eq!(second.tokens[0].0, 2);
    assert_eq!(second.texts(), expected_tokens(&request, 5)[2..]);
    assert_eq!(second.total, Some(5));
}

/// Guards against a resumption from tokens of another request.
#[tokio::test]
async fn generate_rejects_foreign_resume_tokens() {
    let engine = engine(1).await;
    let mut request = request("\"fold\"");
    request.resume_tokens = vec!["00000000-0".into()];
    let response = run(engine.address(), &request).await.unwrap();
    assert_eq!(response.status(), 409);
    assert!(engine.journal().entries().is_empty());
}

/// Guards against a slot that is not released when its generation is
/// cancelled.
#[tokio::test]
async fn cancel_releases_slot() {
    let mut settings = EngineSettings::new(server(1));
    settings.time_to_first_token = Duration::from_mins(1);
    let engine = Engine::start(settings).await.unwrap();
    let running = request("1");
    let queued = request("2");
    let response = run(engine.address(), &running).await.unwrap();
    let address = engine.address();
    let waiting = tokio::spawn({
        let queued = queued.clone();
        async move { run(address, &queued).await }
    });
    while load(&engine).await.queued_requests == 0 {
        sleep(Duration::from_millis(2)).await;
    }
    // The response to a queued request that is cancelled proves that it did
    // not run.
    cancel(address, queued.request_id).await;
    let refused = waiting.await.unwrap().unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["briarladder-not-run"], "true");
    cancel(address, running.request_id).await;
    assert_eq!(read_events(response).await.total, None);
    let report = load(&engine).await;
    assert_eq!((report.running_requests, report.queued_requests), (0, 0));
    let entries = engine.journal().entries();
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].status, ExecutionStatus::Cancelled);
}

/// Guards against a generation that continues after its caller has
/// disconnected.
#[tokio::test]
async fn disconnect_releases_slot() {
    let mut settings = EngineSettings::new(server(1));
    settings.time_to_first_token = Duration::from_mins(1);
    let engine = Engine::start(settings).await.unwrap();
    drop(run(engine.address(), &request("1")).await.unwrap());
    while load(&engine).await.running_requests > 0 {
        sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(engine.journal().entries()[0].status, ExecutionStatus::Aborted);
}

/// Guards against a slot queue that ignores priorities.
#[tokio::test]
async fn queue_prefers_urgent() {
    let engine = engine(1).await;
    let address = engine.address();
    let mut tasks = Vec::new();
    let mut ids = Vec::new();
    for (priority, queued) in [(1, 0), (2, 1), (0, 2)] {
        let mut request = request(&priority.to_string());
        request.priority = priority;
        ids.push(request.request_id);
        tasks.push(tokio::spawn(
            async move { generate(address, &request).await },
        ));
        while load(&engine).await.queued_requests < queued
            || load(&engine).await.running_requests == 0
        {
            sleep(Duration::from_millis(2)).await;
        }
    }
    for task in tasks {
        task.await.unwrap();
    }
    let entries = engine.journal().entries();
    let order = entries.iter().map(|entry| entry.request_id);
    assert!(order.eq([ids[0], ids[2], ids[1]]));
}

/// Guards against a batch whose requests run sequentially.
#[tokio::test]
async fn batch_runs_together() {
    let engine = engine(8).await;
    let start = Instant::now();
    let requests: Vec<_> = (0..8).map(|i| request(&i.to_string())).collect();
    let all = requests.iter().map(|r| generate(engine.address(), r));
    let all = futures_util::future::join_all(all).await;
    for (events, request) in all.iter().zip(&requests) {
        assert_eq!(events.texts(), expected_tokens(request, 16));
    }
    // Sequentially they would take at least 8 * 160 ms.
    assert!(start.elapsed() < Duration::from_secs(1));
}

/// Guards against cache events whose hashes don't match the prompts, and
/// against lost events that leave no gap in the sequence.
#[tokio::test]
async fn cache_publishes_late_and_with_gaps() {
    let mut settings = EngineSettings::new(server(1));
    settings.prefix_cache_capacity = 2;
    settings.cache_event_lag = Duration::from_millis(100);
    settings.lose_cache_event_every = Some(2);
    let engine = Engine::start(settings).await.unwrap();
    let read = async |after: u64| -> CacheEvents {
        let path = format!("/v1/cache-events?after={after}");
        get(engine.address(), &path).await.unwrap().json().await.unwrap()
    };
    for input in ["1", "2", "3"] {
        generate(engine.address(), &request(input)).await;
    }
    assert!(read(0).await.events.is_empty());
    sleep(Duration::from_millis(120)).await;
    // The events are stored 1, stored 2 (lost), stored 3 and evicted 1
    // (lost).
    let hash = |input| briarladder_standins::output::prefix_hashes(input)[0];
    let first = read(0).await;
    assert_eq!(first.first_sequence, 1);
    let stored = |input| CacheEvent::Stored { prefix_hash: hash(input) };
    assert_eq!(first.events, [stored("1")]);
    let second = read(1).await;
    assert_eq!(second.first_sequence, 3);
    assert_eq!(second.events, [stored("3")]);
}

/// Guards against a cached prefix that doesn't reduce the time to first
/// token.
#[tokio::test]
async fn cache_shortens_first_token() {
    let mut settings = EngineSettings::new(server(1));
    settings.time_to_first_token = Duration::from_millis(200);
    settings.output_tokens = 1;
    let engine = Engine::start(settings).await.unwrap();
    let mut elapsed = Vec::new();
    for _ in 0..2 {
        let start = Instant::now();
        generate(engine.address(), &request("\"fold\"")).await;
        elapsed.push(start.elapsed());
    }
    assert!(elapsed[1] * 2 < elapsed[0], "{elapsed:?}");
}

fn version(name: &str) -> ModelVersionName {
    ModelVersionName::new(name).unwrap()
}

async fn order(engine: &Engine, token: u64, names: &[&str]) -> OrderResponse {
    let model_versions = names.iter().map(|name| version(name)).collect();
    let order = Order { fencing_token: token, model_versions };
    let url = format!("http://{}/v1/orders", engine.address());
    let post = common::client().post(url).json(&order);
    post.send().await.unwrap().json().await.unwrap()
}

/// Guards against an engine that accepts an outdated fencing token, and
/// against an `IgnoreFencing` fault that has no effect.
#[tokio::test]
async fn order_checks_fencing() {
    let engine = engine(1).await;
    assert!(order(&engine, 5, &["v2"]).await.accepted);
    let response = order(&engine, 4, &["v1"]).await;
    assert!(!response.accepted);
    assert_eq!(response.epoch_seen, 5);
    assert_eq!(response.model_versions, [version("v2")]);
    engine.faults().add_for_next(1, Fault::IgnoreFencing);
    let response = order(&engine, 4, &["v1"]).await;
    assert!(response.accepted);
    assert_eq!(response.model_versions, [version("v1")]);
    assert!(!order(&engine, 3, &["v3"]).await.accepted);
}

/// Guards against model versions that load faster than the rate of the weight
/// store, and against generations with a version that is not loaded.
#[tokio::test]
async fn order_loads_at_store_rate() {
    let weights = ["v1", "v2"]
        .map(|name| Weights { version: version(name), size_bytes: 100 });
    let store = WeightStore::start(WeightStoreSettings {
        port: 0,
        rate_bytes_per_s: 1000,
        weights: weights.to_vec(),
    })
    .await
    .unwrap();
    let name = ServerName::new("engine-1").unwrap();
    let mut settings = EngineSettings::new(ServerSettings::new(name, 1));
    settings.weight_store = Some(store.address());
    let engine = Engine::start(settings).await.unwrap();
    let start = Instant::now();
    let response = order(&engine, 1, &["v1", "v2"]).await;
    assert!(response.accepted && response.model_versions.is_empty());
    let mut early = request("1");
    early.model_version = Some(version("v1"));
    let refused = run(engine.address(), &early).await.unwrap();
    assert_eq!(refused.headers()["briarladder-not-run"], "true");
    while load(&engine).await.model_versions.len() < 2 {
        sleep(Duration::from_millis(5)).await;
    }
    assert!(start.elapsed() >= Duration::from_millis(190));
    assert_eq!(store.downloads(), 2);
    assert_eq!(generate(engine.address(), &early).await.total, Some(16));
}
