//! Callers that record the results of their requests.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use briarladder_core::ids::RequestId;
use briarladder_wire::callers::{
    CALLER_HEADER, DEADLINE_HEADER, PipelineResponse, Problem,
    REQUEST_ID_HEADER, TICKET_HEADER, TicketIssued, TicketStatus,
    WORKSPACE_HEADER,
};
use reqwest::{Client, RequestBuilder, Response};
use serde::Deserialize;

use super::{
    fleet::Endpoint,
    history::{CallKind, CallRecord, CallResult, Token},
};

/// The time after which a caller gives up. It exceeds the pipelines' deadline
/// of 2 s to allow for a paused daemon.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_500);

/// The timeout of a status query. It exceeds the 1 s that a daemon waits for
/// its peer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// The pipeline and mode of the request.
    pub kind: CallKind,
    /// The request ID.
    pub request_id: RequestId,
    /// The body.
    pub input: String,
    /// The ticket, present only for a ticketed call.
    pub ticket: Option<String>,
    /// The deadline, or `None` to use the pipeline's deadline.
    pub deadline_ms: Option<u64>,
    /// The number of tokens received so far.
    pub tokens_received: Arc<AtomicUsize>,
}

impl Call {
    /// Creates a call with the given text in its body.
    pub fn new(kind: CallKind, text: &str) -> Call {
        Call {
            kind,
            request_id: RequestId::random(),
            input: format!("{{\"text\": \"{text}\"}}"),
            ticket: None,
            deadline_ms: None,
            tokens_received: Arc::default(),
        }
    }

    /// Sets the ticket.
    pub fn with_ticket(self, ticket: String) -> Call {
        Call { ticket: Some(ticket), ..self }
    }
}

/// A client that never retries a request automatically.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Creates a caller.
    pub fn new() -> Caller {
        let client = Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .pool_max_idle_per_host(0)
            .tcp_nodelay(true)
            .build()
            // None of these settings depend on the machine.
            .unwrap();
        Caller { client }
    }

    /// Requests a new ticket.
    pub async fn ticket(&self, endpoint: &Endpoint) -> anyhow::Result<String> {
        let url = format!("http://{}/v1/tickets", endpoint.address);
        let request = with_identity(self.client.post(url));
        let response = request.timeout(QUERY_TIMEOUT).send().await?;
        let response = response.error_for_status()?;
        Ok(response.json::<TicketIssued>().await?.ticket)
    }

    /// Queries the status of a ticket.
    pub async fn status(
        &self,
        endpoint: &Endpoint,
        ticket: &str,
    ) -> anyhow::Result<TicketStatus> {
        let url = format!("http://{}/v1/tickets/{ticket}", endpoint.address);
        let request = with_identity(self.client.get(url));
        let response = request.timeout(QUERY_TIMEOUT).send().await?;
        Ok(response.error_for_status()?.json().await?)
    }

    /// Closes a ticket and returns its status.
    pub async fn close(
        &self,
        endpoint: &Endpoint,
        ticket: &str,
    ) -> anyhow::Result<TicketStatus> {
        let url = format!("http://{}/v1/tickets/{ticket}", endpoint.address);
        let request = with_identity(self.client.delete(url));
        let response = request.timeout(QUERY_TIMEOUT).send().await?;
        Ok(response.error_for_status()?.json().await?)
    }

    /// Builds a request without workspace and caller headers.
    pub fn post(&self, endpoint: &Endpoint, path: &str) -> RequestBuilder {
        self.client.post(format!("http://{}{path}", endpoint.address))
    }

    /// Queries the readiness endpoint of a daemon.
    pub async fn readyz(
        &self,
        endpoint: &Endpoint,
    ) -> anyhow::Result<Response> {
        let url = format!("http://{}/readyz", endpoint.address);
        Ok(self.client.get(url).timeout(QUERY_TIMEOUT).send().await?)
    }

    /// Sends a request and records its tokens and result.
    pub async fn send(&self, endpoint: &Endpoint, call: &Call) -> CallRecord {
        let mut record = CallRecord {
            kind: call.kind,
            request_id: call.request_id,
            input: call.input.clone(),
            vm: endpoint.vm.clone(),
            sent_at: Instant::now(),
            tokens: Vec::new(),
            results: Vec::new(),
            ticket_states: Vec::new(),
        };
        let receiving = self.receive(endpoint, call, &mut record);
        let receiving =
            tokio::time::timeout(RESPONSE_TIMEOUT, receiving).await;
        if receiving.is_err() {
            record.results.push(CallResult::TimedOut);
        }
        record
    }

    async fn receive(
        &self,
        endpoint: &Endpoint,
        call: &Call,
        record: &mut CallRecord,
    ) {
        let path = format!("/v1/pipelines/{}", call.kind.pipeline());
        let mut request = with_identity(self.post(endpoint, &path))
            .header(REQUEST_ID_HEADER, call.request_id.to_string())
            .body(call.input.clone());
        if let Some(ticket) = &call.ticket {
            request = request.header(TICKET_HEADER, ticket);
        }
        if let Some(deadline_ms) = call.deadline_ms {
            request = request.header(DEADLINE_HEADER, deadline_ms);
        }
        if call.kind == CallKind::Streamed {
            request = request.header("accept", "text/event-stream");
        }
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return record.results.push(CallResult::NotConnected);
            }
            Err(_) => return record.results.push(CallResult::Dropped),
        };
        if call.kind == CallKind::Streamed && response.status().is_success() {
            read_stream(response, call, record).await;
            if record.results.is_empty() {
                record.results.push(CallResult::Dropped);
            }
        } else {
            let result = read_response(response).await;
            record.results.push(result.unwrap_or(CallResult::Dropped));
        }
    }
}

fn with_identity(request: RequestBuilder) -> RequestBuilder {
    request.header(WORKSPACE_HEADER, "coop").header(CALLER_HEADER, "desk")
}

async fn read_response(response: Response) -> anyhow::Result<CallResult> {
    if response.status().is_success() {
        let pipeline_response: PipelineResponse = response.json().await?;
        return Ok(CallResult::Answered(Box::new(pipeline_response)));
    }
    let problem: Problem = response.json().await?;
    Ok(CallResult::Refused(Box::new(problem)))
}

async fn read_stream(
    mut response: Response,
    call: &Call,
    record: &mut CallRecord,
) {
    let mut text = String::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(event_end) = text.find("\n\n") {
            let event: String = text.drain(..event_end + 2).collect();
            // An invalid event is recorded as a dropped connection.
            if read_event(&event, record).is_err() {
                return;
            }
            call.tokens_received.store(record.tokens.len(), Ordering::Release);
        }
    }
}

#[derive(Deserialize)]
struct TokenData {
    index: u32,
    text: String,
}

fn read_event(event: &str, record: &mut CallRecord) -> anyhow::Result<()> {
    let mut name = "";
    let mut data = "";
    for line in event.lines() {
        if let Some(value) = line.strip_prefix("event: ") {
            name = value;
        } else if let Some(value) = line.strip_prefix("data: ") {
            data = value;
        }
    }
    match name {
        "token" => {
            let TokenData { index, text } = serde_json::from_str(data)?;
            record.tokens.push(Token { index, text });
        }
        "answer" => {
            let pipeline_response =
                serde_json::from_str(data).context("answer")?;
            record
                .results
                .push(CallResult::Answered(Box::new(pipeline_response)));
        }
        "problem" => {
            let problem = serde_json::from_str(data).context("problem")?;
            record.results.push(CallResult::Refused(Box::new(problem)));
        }
        _ => {}
    }
    Ok(())
}
