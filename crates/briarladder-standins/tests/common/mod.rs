//! Requests and a client for the tests of the stand-ins.

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

/// Longer than any call in the tests takes.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A short time in which a hanging call is taken to hang.
pub const SHORT: Duration = Duration::from_millis(150);

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

/// An engine with short times: 3 tokens take about 30 ms.
pub async fn engine(slots_requests: u32) -> Engine {
    let mut settings = EngineSettings::new(server(slots_requests));
    settings.time_to_first_token = Duration::from_millis(10);
    settings.inter_token_latency = Duration::from_millis(10);
    Engine::start(settings).await.unwrap()
}

/// What arrived of a stream of events.
#[derive(Debug, Default)]
pub struct Events {
    pub started: Option<RequestId>,
    pub tokens: Vec<(u32, String)>,
    pub total: Option<u32>,
    pub broken: bool,
}

impl Events {
    pub fn texts(&self) -> Vec<String> {
        self.tokens.iter().map(|(_, text)| text.clone()).collect()
    }
}

/// Reads a stream of events to its end.
pub async fn events(response: Response) -> Events {
    assert_eq!(response.status(), 200);
    let mut events = Events::default();
    let mut text = Vec::new();
    let mut parts = response.bytes_stream();
    while let Some(part) = parts.next().await {
        match part {
            Ok(part) => text.extend_from_slice(&part),
            Err(_) => events.broken = true,
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

/// Generates and returns what arrived.
pub async fn generate(address: SocketAddr, request: &RunRequest) -> Events {
    events(run(address, request).await.unwrap()).await
}

/// The expected tokens of a request.
pub fn expected(request: &RunRequest, total_tokens: u32) -> Vec<String> {
    output::tokens(request.input.get(), total_tokens)
}
