//! Callers that send requests to one of the systems under test. They reach
//! the daemons through a balancer that lists the live ones.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::names::RegionName;
use briarladder_wire::callers::{
    CALLER_HEADER, Outcome, PipelineResponse, Problem, REQUEST_ID_HEADER,
    TICKET_HEADER, TicketIssued, WORKSPACE_HEADER,
};
use parking_lot::RwLock;
use reqwest::{Client, RequestBuilder, Response};
use serde_json::value::RawValue;

use super::{
    baseline::{self, Baseline},
    output,
    workload::Arrival,
};

/// Maximum attempts at a request whose connections fail. Refused requests are
/// not retried.
const MAX_ATTEMPTS: usize = 3;

/// How long a caller waits after its deadline, to distinguish late responses
/// from missing ones.
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(250);

/// The result of a request, as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RequestResult {
    /// A response with the expected output, perhaps after the deadline.
    Correct,
    /// A response with another request's ID or an unexpected output.
    WrongResponse,
    /// A problem response. `kind` is its type without `/problems/`.
    Refused { kind: String, outcome: Outcome },
    /// No response: every attempt failed.
    Failed,
    /// No response before the caller's timeout.
    TimedOut,
}

/// A finished request.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    pub(super) arrival: Arc<Arrival>,
    /// Time from when the request was due until its result was known.
    pub(super) latency: Duration,
    /// Time from when the request was due until the load generator sent it.
    pub(super) lag: Duration,
    pub(super) result: RequestResult,
}

/// The system under test.
#[derive(Debug)]
pub(super) enum Target {
    Product(DaemonClient),
    Baseline { baseline: Baseline, regions: Vec<RegionName> },
}

impl Target {
    /// Sends one request and waits for its result.
    pub(super) async fn send(
        &self,
        arrival: Arc<Arrival>,
        due_at: Instant,
    ) -> RequestRecord {
        let lag = due_at.elapsed();
        let wait = (arrival.pipeline.deadline + LATE_RESPONSE_GRACE)
            .saturating_sub(lag);
        let result = tokio::time::timeout(wait, async {
            match self {
                Target::Product(daemon_client) => {
                    daemon_client.send(&arrival).await
                }
                Target::Baseline { baseline, regions } => {
                    let region = &regions[arrival.entry_index % regions.len()];
                    send_baseline(baseline, region, &arrival).await
                }
            }
        })
        .await
        .unwrap_or(RequestResult::TimedOut);
        log::debug!(
            "bench: {} of {}/{} request={} result {result:?}",
            arrival.pipeline.name,
            arrival.workspace,
            arrival.caller,
            arrival.id
        );
        RequestRecord { arrival, latency: due_at.elapsed(), lag, result }
    }
}

async fn send_baseline(
    baseline: &Baseline,
    region: &RegionName,
    arrival: &Arrival,
) -> RequestResult {
    let request = baseline::Request {
        id: arrival.id,
        pipeline: &arrival.pipeline,
        region,
        input: &arrival.input,
    };
    // The baseline stops at the deadline, as the daemons do.
    let run = baseline.run(&request);
    match tokio::time::timeout(arrival.pipeline.deadline, run).await {
        Ok(Ok(output)) => check_output(arrival, &output),
        Ok(Err(_)) => RequestResult::Failed,
        Err(_) => RequestResult::TimedOut,
    }
}

fn check_output(arrival: &Arrival, output: &RawValue) -> RequestResult {
    let expected = output::expected_output(&arrival.pipeline, &arrival.input);
    if expected.get() == output.get() {
        RequestResult::Correct
    } else {
        RequestResult::WrongResponse
    }
}

/// An HTTP client of the daemons that the balancer lists.
#[derive(Debug)]
pub(super) struct DaemonClient {
    client: Client,
    addresses: RwLock<Vec<SocketAddr>>,
}

impl DaemonClient {
    pub(super) fn new(
        addresses: Vec<SocketAddr>,
    ) -> anyhow::Result<DaemonClient> {
        let client = Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .retry(reqwest::retry::never())
            .build()?;
        Ok(DaemonClient { client, addresses: RwLock::new(addresses) })
    }

    /// Sets the addresses of the live daemons.
    pub(super) fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        *self.addresses.write() = addresses;
    }

    async fn send(&self, arrival: &Arrival) -> RequestResult {
        let mut ticket = None;
        for attempt in 0..MAX_ATTEMPTS {
            let address = {
                let addresses = self.addresses.read();
                addresses[arrival.entry_index.wrapping_add(attempt)
                    % addresses.len()]
            };
            if ticket.is_none()
                && arrival.pipeline.non_idempotent_stage().is_some()
            {
                match self.request_ticket(address, arrival).await {
                    Ok(Ok(issued)) => ticket = Some(issued),
                    Ok(Err(refusal_result)) => return refusal_result,
                    Err(_) => continue,
                }
            }
            let url = format!(
                "http://{address}/v1/pipelines/{}",
                arrival.pipeline.name
            );
            let mut request = self.client.post(url);
            if let Some(ticket) = &ticket {
                request = request.header(TICKET_HEADER, ticket);
            }
            let request = with_identity_headers(request, arrival)
                .header("content-type", "application/json")
                .body(arrival.input.get().to_owned());
            let Ok(response) = request.send().await else { continue };
            if let Ok(result) = read_result(arrival, response).await {
                return result;
            }
        }
        RequestResult::Failed
    }

    async fn request_ticket(
        &self,
        address: SocketAddr,
        arrival: &Arrival,
    ) -> reqwest::Result<Result<String, RequestResult>> {
        let request = self.client.post(format!("http://{address}/v1/tickets"));
        let response = with_identity_headers(request, arrival).send().await?;
        if response.status().is_success() {
            let issued: TicketIssued = response.json().await?;
            return Ok(Ok(issued.ticket));
        }
        Ok(Err(refusal_result(&response.json().await?)))
    }
}

fn with_identity_headers(
    request: RequestBuilder,
    arrival: &Arrival,
) -> RequestBuilder {
    request
        .header(WORKSPACE_HEADER, &*arrival.workspace)
        .header(CALLER_HEADER, &*arrival.caller)
        .header(REQUEST_ID_HEADER, arrival.id.to_string())
}

async fn read_result(
    arrival: &Arrival,
    response: Response,
) -> reqwest::Result<RequestResult> {
    if response.status().is_success() {
        let body: PipelineResponse = response.json().await?;
        if body.request_id != arrival.id {
            return Ok(RequestResult::WrongResponse);
        }
        return Ok(check_output(arrival, &body.output));
    }
    Ok(refusal_result(&response.json().await?))
}

fn refusal_result(problem: &Problem) -> RequestResult {
    let kind = problem.kind.trim_start_matches("/problems/").to_owned();
    RequestResult::Refused { kind, outcome: problem.outcome }
}
