//! CPU cost of the stand-ins per request and per token, including the clients
//! in the same process. It must stay small compared with that of the daemon,
//! or benchmarks of the daemon would measure the stand-ins.

#![allow(missing_docs, reason = "the macros of criterion define items")]

use std::{hint::black_box, sync::Arc, time::Duration};

use briarladder_core::{
    ids::RequestId,
    names::{ServerName, StageName},
    objects::Role,
};
use briarladder_standins::{
    engine::{Engine, EngineSettings},
    journal::Journal,
    server::ServerSettings,
    worker::{Worker, WorkerSettings},
};
use briarladder_wire::backend::RunRequest;
use criterion::{
    BenchmarkGroup, Criterion, Throughput, criterion_group, criterion_main,
    measurement::WallTime,
};
use futures_util::{StreamExt, stream};
use serde_json::value::RawValue;
use tokio::runtime::{Builder, Runtime};

const CONCURRENT_REQUESTS: usize = 64;
const BATCH_REQUESTS: u64 = 2000;
const TOKENS: u32 = 256;
const STREAMS: u64 = 64;

fn server() -> ServerSettings {
    let name = ServerName::new("server-1").unwrap();
    let mut settings = ServerSettings::new(name, 128);
    settings.journal = Journal::disabled();
    settings
}

fn request() -> RunRequest {
    let input = format!("\"{}\"", "fold ".repeat(40));
    RunRequest {
        request_id: RequestId::random(),
        stage: StageName::new("stage-1").unwrap(),
        attempt: 0,
        epoch: 1,
        priority: 0,
        deadline_ms: 1000,
        model_version: None,
        max_tokens: Some(TOKENS),
        resume_tokens: Vec::new(),
        operation: None,
        input: Arc::from(RawValue::from_string(input).unwrap()),
        previous: None,
    }
}

/// Sends requests over a connection pool and reads the complete responses.
async fn send(client: &reqwest::Client, url: &str, requests: u64) {
    let calls = stream::iter(0..requests).map(|_| async {
        let response = client.post(url).json(&request()).send().await;
        let response = response.unwrap().error_for_status().unwrap();
        black_box(response.bytes().await.unwrap());
    });
    calls.buffer_unordered(CONCURRENT_REQUESTS).for_each(|()| async {}).await;
}

fn measure(
    group: &mut BenchmarkGroup<'_, WallTime>,
    runtime: &Runtime,
    name: &str,
    url: &str,
    requests: u64,
) {
    let client = reqwest::Client::new();
    group.bench_function(name, |bencher| {
        bencher.iter(|| runtime.block_on(send(&client, url, requests)));
    });
}

fn requests(criterion: &mut Criterion) {
    let mut runtime = Builder::new_multi_thread();
    let runtime = runtime.worker_threads(4).enable_all().build().unwrap();
    let settings = WorkerSettings::new(server(), Role::Encoder);
    let worker = runtime.block_on(Worker::start(settings)).unwrap();
    let mut settings = EngineSettings::new(server());
    settings.output_tokens = TOKENS;
    let engine = runtime.block_on(Engine::start(settings)).unwrap();
    let mut group = criterion.benchmark_group("standins");
    group.sample_size(10).measurement_time(Duration::from_secs(3));
    let url = |address| format!("http://{address}/v1/run");
    group.throughput(Throughput::Elements(BATCH_REQUESTS));
    let worker_url = url(worker.address());
    measure(&mut group, &runtime, "worker", &worker_url, BATCH_REQUESTS);
    group.throughput(Throughput::Elements(STREAMS * u64::from(TOKENS)));
    let engine_url = url(engine.address());
    measure(&mut group, &runtime, "tokens", &engine_url, STREAMS);
    group.finish();
    runtime.block_on(async {
        worker.stop().await;
        engine.stop().await;
    });
}

criterion_group!(benches, requests);
criterion_main!(benches);
