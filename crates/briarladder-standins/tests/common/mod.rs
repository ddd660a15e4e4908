//! Requests and an HTTP client for the tests of the stand-ins.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use briarladder_core::{
    ids::RequestId,
    names::{ServerName, StageName},
};
use briarladder_standins::{
    engine::{Engine, EngineSettings},
    output,
    server::ServerSettings,
};
use briarladder_wire::backend::{RunRequest, StreamEvent};
use futures_util::StreamExt;
use reqwest::Response;
use serde_json::value::RawValue;

/// A timeout for calls, longer than any call of the tests takes.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The delay that tests inject, and the time after which a call counts as
/// hanging.
pub const SHORT_DELAY: Duration = Duration::from_millis(150);

pub fn client() -> reqwest::Client {
    reqwest::Client::builder().timeout(TIMEOUT).build().unwrap()
}

pub fn server(slots_requests: u32) -> ServerSettings {
    ServerSettings::new(ServerName::new("server-1").unwrap(), slots_requests)
}

pub fn request(input: &str) -> RunRequest {
    RunRequest {
        request_id: RequestId::random(),
        stage: StageName::new("stage-1").unwrap(),
        attempt: 0,
        epoch: 1,
        priority: 0,
        deadline_ms: 1000,
        model_version: None,
        max_tokens: None,
        resume_tokens: Vec::new(),
        operation: None,
        input: Arc::from(RawValue::from_string(input.to_owned()).unwrap()),
        previous: None,
    }
}

pub async fn run(
    address: SocketAddr,
    run: &RunRequest,
) -> reqwest::Result<Response> {
    let url = format!("http://{address}/v1/run");
    client().post(url).json(run).send().await
}

pub async fn run_with_key(
    address: SocketAddr,
    run: &RunRequest,
    key: &str,
) -> reqwest::Result<Response> {
    let url = format!("http://{address}/v1/run");
    let post = client().post(url).header("idempotency-key", key);
    post.json(run).send().await
}

pub async fn get(
    address: SocketAddr,
    path: &str,
) -> reqwest::Result<Response> {
    client().get(format!("http://{address}{path}")).send().await
}

pub async fn cancel(address: SocketAddr, id: RequestId) {
    let url = format!("http://{address}/v1/run/{id}");
    let response = client().delete(url).send().await.unwrap();
    assert_eq!(response.status(), 204);
}

/// Starts an engine with 10 ms per token, so that 3 tokens take about 30 ms.
pub async fn engine(slots_requests: u32) -> Engine {
    let mut settings = EngineSettings::new(server(slots_requests));
    settings.time_to_first_token = Duration::from_millis(10);
    settings.inter_token_latency = Duration::from_millis(10);
    Engine::start(settings).await.unwrap()
}

/// The events that were received from a stream.
#[derive(Debug, Default)]
pub struct Events {
    pub started: Option<RequestId>,
    pub tokens: Vec<(u32, String)>,
    pub total: Option<u32>,
    pub disconnected: bool,
}

impl Events {
    pub fn texts(&self) -> Vec<String> {
        self.tokens.iter().map(|(_, text)| text.clone()).collect()
    }
}

/// Reads a stream of events until it ends or the connection is closed.
pub async fn read_events(response: Response) -> Events {
    assert_eq!(response.status(), 200);
    let mut events = Events::default();
    let mut text = Vec::new();
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        match chunk {
            Ok(chunk) => text.extend_from_slice(&chunk),
            Err(_) => events.disconnected = true,
        }
    }
    let text = String::from_utf8(text).unwrap();
    for data in text.split("\n\n").filter(|data| !data.is_empty()) {
        let data = data.strip_prefix("data: ").unwrap();
        match serde_json::from_str(data).unwrap() {
            StreamEvent::Start { request_id, .. } => {
                events.started = Some(request_id);
            }
            StreamEvent::Token { index, text } => {
                events.tokens.push((index, text.to_string()));
            }
            StreamEvent::Done { total_tokens, .. } => {
                events.total = Some(total_tokens);
            }
        }
    }
    events
}

/// Runs a generation and returns the events received.
pub async fn generate(address: SocketAddr, request: &RunRequest) -> Events {
    read_events(run(address, request).await.unwrap()).await
}

/// Returns the texts of the tokens that a request should generate.
pub fn expected_tokens(
    request: &RunRequest,
    total_tokens: u32,
) -> Vec<String> {
    output::tokens(request.input.get(), total_tokens)
}
