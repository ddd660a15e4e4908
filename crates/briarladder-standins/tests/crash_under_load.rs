//! Crashes while many requests run on several threads.

mod common;

use std::time::Duration;

use briarladder_core::{load::LoadReport, objects::Role};
use briarladder_standins::{
    journal::ExecutionStatus,
    output,
    worker::{Worker, WorkerSettings},
};
use briarladder_wire::backend::RunResponse;
use common::{get, request, run, server};
use tokio::time::sleep;

const CLIENTS: u32 = 16;
const REQUESTS_PER_CLIENT: u32 = 40;
const CRASHES: u32 = 10;

/// Guards against crashes that leak slots or leave executions running in the
/// journal, and against responses that reach another request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crash_under_load_frees_slots() {
    let mut settings = WorkerSettings::new(server(4), Role::Reranker);
    settings.service_time = Duration::from_millis(1);
    let worker = Worker::start(settings).await.unwrap();
    let address = worker.address();
    let clients = (0..CLIENTS).map(|client| {
        tokio::spawn(async move {
            let mut responses = 0;
            for number in 0..REQUESTS_PER_CLIENT {
                let request = request(&format!("[{client},{number}]"));
                let Ok(response) = run(address, &request).await else {
                    sleep(Duration::from_millis(2)).await;
                    continue;
                };
                let Ok(response) = response.json::<RunResponse>().await else {
                    continue;
                };
                assert_eq!(response.request_id, request.request_id);
                let output = output::run_output(Role::Reranker, &request);
                assert_eq!(response.output.get(), output.get());
                responses += 1;
            }
            responses
        })
    });
    let clients = clients.collect::<Vec<_>>();
    for _ in 0..CRASHES {
        sleep(Duration::from_millis(5)).await;
        worker.restart().await.unwrap();
    }
    let mut responses = 0;
    for client in clients {
        responses += client.await.unwrap();
    }
    let load: LoadReport =
        get(address, "/v1/load").await.unwrap().json().await.unwrap();
    assert_eq!((load.running_requests, load.queued_requests), (0, 0));
    let entries = worker.journal().entries();
    assert!(
        entries.iter().all(|entry| entry.status != ExecutionStatus::Running)
    );
    let completed =
        entries.iter().filter(|e| e.status == ExecutionStatus::Completed);
    assert!(responses > 0 && completed.count() >= responses);
}
