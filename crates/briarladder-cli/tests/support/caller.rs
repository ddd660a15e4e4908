//! Callers that record what they saw.

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
    fleet::Place,
    history::{CallEnd, CallKind, Record, Token},
};

/// The time after which a caller gives up: the deadline of the pipelines
/// (2 s) and a grace for a daemon that was paused.
const GIVE_UP_AFTER: Duration = Duration::from_millis(4_500);

/// The longest time for a status query: the daemon gives its peer 1 s.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// How to send it.
    pub kind: CallKind,
    /// The identifier.
    pub request_id: RequestId,
    /// The body.
    pub input: String,
    /// The ticket of a ticketed call.
    pub ticket: Option<String>,
    /// The deadline, unless the pipeline's own is meant.
    pub deadline_ms: Option<u64>,
    /// The number of tokens received so far.
    pub tokens_seen: Arc<AtomicUsize>,
}

impl Call {
    /// Creates a call whose body holds a text.
    pub fn new(kind: CallKind, text: &str) -> Call {
        Call {
            kind,
            request_id: RequestId::random(),
            input: format!("{{\"text\": \"{text}\"}}"),
            ticket: None,
            deadline_ms: None,
            tokens_seen: Arc::default(),
        }
    }

    /// Adds a ticket.
    pub fn with_ticket(self, ticket: String) -> Call {
        Call { ticket: Some(ticket), ..self }
    }
}

/// A client that never repeats a request on its own.
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
            // OK because no setting depends on the machine.
            .unwrap();
        Caller { client }
    }

    /// Takes a ticket.
    pub async fn ticket(&self, at: &Place) -> anyhow::Result<String> {
        let url = format!("http://{}/v1/tickets", at.address);
        let request = identified(self.client.post(url));
        let response = request.timeout(QUERY_TIMEOUT).send().await?;
        let response = response.error_for_status()?;
        Ok(response.json::<TicketIssued>().await?.ticket)
    }

    /// Asks for the status of a ticket.
    pub async fn status(
        &self,
        at: &Place,
        ticket: &str,
    ) -> anyhow::Result<TicketStatus> {
        let url = format!("http://{}/v1/tickets/{ticket}", at.address);
        let request = identified(self.client.get(url));
        let response = request.timeout(QUERY_TIMEOUT).send().await?;
        Ok(response.error_for_status()?.json().await?)
    }

    /// Closes a ticket.
    pub async fn close(
        &self,
        at: &Place,
        ticket: &str,
    ) -> anyhow::Result<TicketStatus> {
        let url = format!("http://{}/v1/tickets/{ticket}", at.address);
        let request = identified(self.client.delete(url));
        let response = request.timeout(QUERY_TIMEOUT).send().await?;
        Ok(response.error_for_status()?.json().await?)
    }

    /// Starts a request without identification, for refused ones.
    pub fn post(&self, at: &Place, path: &str) -> RequestBuilder {
        self.client.post(format!("http://{}{path}", at.address))
    }

    /// Asks whether a daemon is ready.
    pub async fn readyz(&self, at: &Place) -> anyhow::Result<Response> {
        let url = format!("http://{}/readyz", at.address);
        Ok(self.client.get(url).timeout(QUERY_TIMEOUT).send().await?)
    }

    /// Sends a request and records what comes.
    pub async fn send(&self, at: &Place, call: &Call) -> Record {
        let mut record = Record {
            kind: call.kind,
            request_id: call.request_id,
            input: call.input.clone(),
            vm: at.vm.clone(),
            sent_at: Instant::now(),
            tokens: Vec::new(),
            ends: Vec::new(),
            states: Vec::new(),
        };
        let received = self.receive(at, call, &mut record);
        let received = tokio::time::timeout(GIVE_UP_AFTER, received).await;
        if received.is_err() {
            record.ends.push(CallEnd::NoEnd);
        }
        record
    }

    async fn receive(&self, at: &Place, call: &Call, record: &mut Record) {
        let path = format!("/v1/pipelines/{}", call.kind.pipeline());
        let mut request = identified(self.post(at, &path))
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
                return record.ends.push(CallEnd::NotConnected);
            }
            Err(_) => return record.ends.push(CallEnd::Dropped),
        };
        if call.kind == CallKind::Streamed && response.status().is_success() {
            read_stream(response, call, record).await;
            if record.ends.is_empty() {
                record.ends.push(CallEnd::Dropped);
            }
        } else {
            let end = read_whole(response).await;
            record.ends.push(end.unwrap_or(CallEnd::Dropped));
        }
    }
}

fn identified(request: RequestBuilder) -> RequestBuilder {
    request.header(WORKSPACE_HEADER, "coop").header(CALLER_HEADER, "desk")
}

async fn read_whole(response: Response) -> anyhow::Result<CallEnd> {
    if response.status().is_success() {
        let answer: PipelineResponse = response.json().await?;
        return Ok(CallEnd::Answered(Box::new(answer)));
    }
    let problem: Problem = response.json().await?;
    Ok(CallEnd::Refused(Box::new(problem)))
}

async fn read_stream(
    mut response: Response,
    call: &Call,
    record: &mut Record,
) {
    let mut text = String::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            // An event that can't be read ends the record as dropped.
            if read_event(&event, record).is_err() {
                return;
            }
            call.tokens_seen.store(record.tokens.len(), Ordering::Release);
        }
    }
}

#[derive(Deserialize)]
struct TokenData {
    index: u32,
    text: String,
}

fn read_event(event: &str, record: &mut Record) -> anyhow::Result<()> {
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
            let answer = serde_json::from_str(data).context("answer")?;
            record.ends.push(CallEnd::Answered(Box::new(answer)));
        }
        "problem" => {
            let problem = serde_json::from_str(data).context("problem")?;
            record.ends.push(CallEnd::Refused(Box::new(problem)));
        }
        _ => {}
    }
    Ok(())
}
