//! The client to backend servers, which runs single attempts at stages.
//!
//! An attempt returns the stage's output, or a typed failure from which
//! `briarladder_core::retry` concludes whether the backend server may have
//! run it and whether to retry.
//!
//! # Example
//!
//! ```
//! use briarladder_daemon::backend::BackendClient;
//!
//! let client = BackendClient::new(1 << 20).unwrap();
//! # let _ = client;
//! ```

use std::{
    net::SocketAddr,
    ops::ControlFlow,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use briarladder_core::{
    ids::RequestId, load::LoadReport, retry::AttemptFailure,
};
use briarladder_wire::backend::{
    CallRecord, IDEMPOTENCY_KEY_HEADER, NOT_RUN_HEADER, Order, OrderResponse,
    RunRequest, RunResponse, StreamEvent,
};
use bytes::{Bytes, BytesMut};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use reqwest::{Client, Response};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use tokio::time::Instant;

mod cancel;

pub use cancel::CancelOnDrop;

/// The timeout for a new connection. The latency between zones is about 1 ms
/// and between regions 20 ms, so a connection that takes longer will fail.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The timeout between two events of a generation. The target for the first
/// token is 0.77 s, so a longer silence means that the engine hangs.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The timeout for a load report, a status query or an order.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum size of the response to a control request, in bytes.
const MAX_CONTROL_BYTES: usize = 1 << 20;

/// The result of a successful attempt at a stage other than a generation.
#[derive(Debug)]
pub struct StageOutput {
    /// The output as the backend server sent it.
    pub output: Arc<RawValue>,
    /// The load after the attempt, if the backend server reported it.
    pub load: Option<LoadReport>,
}

/// The last event of a complete generation.
#[derive(Debug)]
pub struct GenerationEnd {
    /// The number of tokens of the whole output, over all attempts.
    pub total_tokens: u32,
    /// The load after the attempt, if the engine reported it.
    pub load: Option<LoadReport>,
}

/// Whether an attempt may share a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Connection {
    /// Use a pooled connection. If it breaks, the HTTP client may silently
    /// retry on another one.
    Pooled,
    /// Open a connection for this attempt only. A failure to connect then
    /// proves that no byte was sent.
    New,
}

/// An attempt at a stage that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The message to the backend server.
    pub request: &'a RunRequest,
    /// Lets a backend server recognize copies of the same call. Absent if
    /// the caller sent none and the call is idempotent.
    pub idempotency_key: Option<&'a str>,
    /// Whether to share a connection.
    pub connection: Connection,
    /// The timeout for the whole attempt.
    pub timeout: Duration,
}

/// An HTTP client to all backend servers.
#[derive(Clone, Debug)]
pub struct BackendClient {
    pooled: Client,
    single: Client,
    max_output_bytes: usize,
}

impl BackendClient {
    /// Creates a client that accepts outputs of up to `max_output_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client can't be set up.
    pub fn new(max_output_bytes: usize) -> reqwest::Result<BackendClient> {
        let builder = || {
            Client::builder()
                .connect_timeout(CONNECT_TIMEOUT)
                .retry(reqwest::retry::never())
                .redirect(reqwest::redirect::Policy::none())
                .no_proxy()
                .tcp_nodelay(true)
        };
        Ok(BackendClient {
            pooled: builder().pool_max_idle_per_host(64).build()?,
            single: builder().pool_max_idle_per_host(0).build()?,
            max_output_bytes,
        })
    }

    /// Runs one attempt at a stage that returns its output as a whole.
    ///
    /// # Errors
    ///
    /// Returns the kind of the failure.
    pub async fn run(
        &self,
        address: SocketAddr,
        attempt: Attempt<'_>,
    ) -> Result<StageOutput, AttemptFailure> {
        let run = self.run_untimed(address, attempt);
        tokio::time::timeout(attempt.timeout, run)
            .await
            .unwrap_or(Err(AttemptFailure::TimedOut))
    }

    async fn run_untimed(
        &self,
        address: SocketAddr,
        attempt: Attempt<'_>,
    ) -> Result<StageOutput, AttemptFailure> {
        let response = self.send(address, attempt).await?;
        let body = read_body(response, self.max_output_bytes).await?;
        let response: RunResponse = serde_json::from_slice(&body)
            .map_err(|_| AttemptFailure::ConnectionLost)?;
        let sent = attempt.request;
        let matches = response.request_id == sent.request_id
            && response.stage == sent.stage
            && response.attempt == sent.attempt;
        if !matches {
            return Err(AttemptFailure::ResponseMismatch);
        }
        Ok(StageOutput {
            output: Arc::from(response.output),
            load: response.load,
        })
    }

    /// Runs one attempt at a generation and passes each token to `on_token`,
    /// until the generation is complete or `on_token` breaks.
    ///
    /// # Errors
    ///
    /// Returns the kind of the failure. Tokens that were passed on before it
    /// stay valid.
    pub async fn generate(
        &self,
        address: SocketAddr,
        attempt: Attempt<'_>,
        mut on_token: impl FnMut(u32, Arc<str>) -> ControlFlow<()>,
    ) -> Result<GenerationEnd, AttemptFailure> {
        let run = self.generate_untimed(address, attempt, &mut on_token);
        tokio::time::timeout(attempt.timeout, run)
            .await
            .unwrap_or(Err(AttemptFailure::TimedOut))
    }

    async fn generate_untimed(
        &self,
        address: SocketAddr,
        attempt: Attempt<'_>,
        on_token: &mut impl FnMut(u32, Arc<str>) -> ControlFlow<()>,
    ) -> Result<GenerationEnd, AttemptFailure> {
        let response = self.send(address, attempt).await?;
        // The decoder buffers an event until it is complete, so this limits
        // the bytes since the last event.
        let pending_bytes = AtomicUsize::new(0);
        let chunks = response.bytes_stream().map(|chunk| {
            let chunk = chunk.map_err(|_| AttemptFailure::ConnectionLost)?;
            let before =
                pending_bytes.fetch_add(chunk.len(), Ordering::Relaxed);
            if before > self.max_output_bytes {
                return Err(AttemptFailure::ConnectionLost);
            }
            Ok(chunk)
        });
        let mut events = pin!(chunks.eventsource());
        let mut started = false;
        // One timer is reset for each event, which takes no lock. A new timer
        // per event would be added to and removed from the timer wheel.
        let mut stall_timer = pin!(tokio::time::sleep(STALL_TIMEOUT));
        loop {
            let event = tokio::select! {
                biased;
                event = events.next() => event,
                () = &mut stall_timer =>
                    return Err(AttemptFailure::TimedOut),
            };
            let event = event
                .ok_or(AttemptFailure::ConnectionLost)?
                .map_err(|_| AttemptFailure::ConnectionLost)?;
            pending_bytes.store(0, Ordering::Relaxed);
            let event: StreamEvent = serde_json::from_str(&event.data)
                .map_err(|_| AttemptFailure::ConnectionLost)?;
            stall_timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
            match event {
                StreamEvent::Start { request_id, stage, attempt: number } => {
                    let sent = attempt.request;
                    started = request_id == sent.request_id
                        && stage == sent.stage
                        && number == sent.attempt;
                    if !started {
                        return Err(AttemptFailure::ResponseMismatch);
                    }
                }
                // Without a start event, tokens can't be matched to the
                // request.
                _ if !started => return Err(AttemptFailure::ResponseMismatch),
                StreamEvent::Token { index, text } => {
                    if on_token(index, text).is_break() {
                        return Err(AttemptFailure::ConnectionLost);
                    }
                }
                StreamEvent::Done { total_tokens, load } => {
                    return Ok(GenerationEnd { total_tokens, load });
                }
            }
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        attempt: Attempt<'_>,
    ) -> Result<Response, AttemptFailure> {
        let client = match attempt.connection {
            Connection::Pooled => &self.pooled,
            Connection::New => &self.single,
        };
        // OK because the message has no map with keys that are not strings.
        let body = serde_json::to_vec(attempt.request).unwrap();
        let mut request = client
            .post(format!("http://{address}/v1/run"))
            .header("content-type", "application/json")
            .body(body);
        if let Some(key) = attempt.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        let response =
            request.send().await.map_err(|error| failure_of(&error))?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let not_run = response
            .headers()
            .get(NOT_RUN_HEADER)
            .is_some_and(|value| value.as_bytes() == b"true");
        Err(if status.as_u16() == 503 && not_run {
            AttemptFailure::RefusedNotRun
        } else {
            AttemptFailure::ErrorStatus
        })
    }

    /// Cancels a request at a backend server. Failures are only logged.
    pub async fn cancel(&self, address: SocketAddr, request_id: RequestId) {
        let url = format!("http://{address}/v1/run/{request_id}");
        let cancel =
            self.pooled.delete(url).timeout(CONTROL_TIMEOUT).send().await;
        if let Err(error) = cancel {
            log::debug!("backend: cancelling {request_id} failed: {error}");
        }
    }

    /// Reads the load report of a backend server.
    ///
    /// # Errors
    ///
    /// Returns the kind of the failure.
    pub async fn load(
        &self,
        address: SocketAddr,
    ) -> Result<LoadReport, AttemptFailure> {
        Self::get(&self.pooled, format!("http://{address}/v1/load")).await
    }

    /// Queries a plain service for its record of a call, by the call's
    /// idempotency key.
    ///
    /// # Errors
    ///
    /// Returns the kind of the failure.
    pub async fn call_record(
        &self,
        address: SocketAddr,
        key: &str,
    ) -> Result<CallRecord, AttemptFailure> {
        // The record names no call, so that on a connection in use before it
        // could be a copy of the record of another one.
        let url = format!("http://{address}/v1/calls/{key}");
        Self::get(&self.single, url).await
    }

    /// Sends an order to load model versions to an engine.
    ///
    /// # Errors
    ///
    /// Returns the kind of the failure. The engine may still have applied
    /// the order.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> Result<OrderResponse, AttemptFailure> {
        let url = format!("http://{address}/v1/orders");
        let request = self.pooled.post(url).json(order);
        let response = request
            .timeout(CONTROL_TIMEOUT)
            .send()
            .await
            .map_err(|error| failure_of(&error))?;
        read_json(response).await
    }

    async fn get<T: DeserializeOwned>(
        client: &Client,
        url: String,
    ) -> Result<T, AttemptFailure> {
        let request = client.get(url).timeout(CONTROL_TIMEOUT);
        let response =
            request.send().await.map_err(|error| failure_of(&error))?;
        read_json(response).await
    }
}

async fn read_json<T: DeserializeOwned>(
    response: Response,
) -> Result<T, AttemptFailure> {
    if !response.status().is_success() {
        return Err(AttemptFailure::ErrorStatus);
    }
    let body = read_body(response, MAX_CONTROL_BYTES).await?;
    serde_json::from_slice(&body).map_err(|_| AttemptFailure::ConnectionLost)
}

/// Reads a body of at most `max_bytes`. A longer one is an error.
async fn read_body(
    mut response: Response,
    max_bytes: usize,
) -> Result<Bytes, AttemptFailure> {
    let broken = |_| AttemptFailure::ConnectionLost;
    let Some(first) = response.chunk().await.map_err(broken)? else {
        return Ok(Bytes::new());
    };
    let Some(second) = response.chunk().await.map_err(broken)? else {
        return Ok(first);
    };
    let mut body = BytesMut::from(first);
    let mut next = Some(second);
    while let Some(chunk) = next {
        if body.len() + chunk.len() > max_bytes {
            return Err(AttemptFailure::ConnectionLost);
        }
        body.extend_from_slice(&chunk);
        next = response.chunk().await.map_err(broken)?;
    }
    Ok(body.freeze())
}

fn failure_of(error: &reqwest::Error) -> AttemptFailure {
    if error.is_connect() {
        AttemptFailure::ConnectFailed
    } else if error.is_timeout() {
        AttemptFailure::TimedOut
    } else {
        AttemptFailure::ConnectionLost
    }
}

#[cfg(test)]
mod tests {
    use briarladder_core::names::{ServerName, StageName};
    use briarladder_standins::{
        engine::{Engine, EngineSettings},
        fault::Fault,
        server::ServerSettings,
    };

    use tokio::{io::AsyncWriteExt, net::TcpListener};

    use super::*;

    fn request() -> RunRequest {
        RunRequest {
            request_id: RequestId(1),
            stage: StageName::new("stage-1").unwrap(),
            attempt: 0,
            epoch: 1,
            priority: 0,
            deadline_ms: 60_000,
            model_version: None,
            max_tokens: Some(8),
            resume_tokens: Vec::new(),
            operation: None,
            input: Arc::from(RawValue::from_string("1".into()).unwrap()),
            previous: None,
        }
    }

    /// Guards against an engine that exhausts the daemon's memory with an
    /// endless event.
    #[tokio::test]
    async fn generate_bounds_one_event() {
        let engine = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = engine.local_addr().unwrap();
        let sent = tokio::spawn(async move {
            let (mut stream, _) = engine.accept().await.unwrap();
            let head = b"HTTP/1.1 200 OK\r\n\r\ndata: ";
            stream.write_all(head).await.unwrap();
            let mut sent_bytes = 0;
            while stream.write_all(&[b'x'; 1024]).await.is_ok() {
                sent_bytes += 1024;
            }
            sent_bytes
        });
        let client = BackendClient::new(64 * 1024).unwrap();
        let request = request();
        let attempt = Attempt {
            request: &request,
            idempotency_key: None,
            connection: Connection::New,
            timeout: Duration::from_secs(30),
        };
        let accept = |_, _| ControlFlow::Continue(());
        let ended = client.generate(address, attempt, accept).await;
        assert_eq!(ended.unwrap_err(), AttemptFailure::ConnectionLost);
        // The limit allows for the socket buffers.
        assert!(sent.await.unwrap() < 32 << 20);
    }

    /// Guards against a generation that waits for the timeout of the whole
    /// attempt when its engine hangs, and against one that is cut off while
    /// tokens still arrive. It runs in real time because it uses a socket.
    #[tokio::test]
    async fn generate_times_out_after_silence() {
        let name = ServerName::new("engine-1").unwrap();
        let mut settings = EngineSettings::new(ServerSettings::new(name, 4));
        settings.output_tokens = 8;
        // All tokens together take longer than the stall timeout.
        settings.inter_token_latency = STALL_TIMEOUT / 4;
        let engine = Engine::start(settings).await.unwrap();
        let request = request();
        let attempt = Attempt {
            request: &request,
            idempotency_key: None,
            connection: Connection::Pooled,
            timeout: Duration::from_mins(1),
        };
        let client = BackendClient::new(1 << 20).unwrap();
        let generate = async || {
            let mut tokens = 0;
            let end = client
                .generate(engine.address(), attempt, |_, _| {
                    tokens += 1;
                    ControlFlow::Continue(())
                })
                .await;
            (tokens, end.map(|end| end.total_tokens))
        };
        assert_eq!(generate().await, (8, Ok(8)));
        engine.faults().add_always(Fault::HangAfterTokens(2));
        let hung = tokio::time::timeout(STALL_TIMEOUT * 4, generate()).await;
        assert_eq!(hung, Ok((2, Err(AttemptFailure::TimedOut))));
        engine.stop().await;
    }
}
