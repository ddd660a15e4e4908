//! Callers of the product, behind a balancer that knows which daemons live.

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

/// How often a caller whose connection failed sends its request again. A
/// refusal is not sent again.
const MAX_SENDS: usize = 3;

/// How much longer than its deadline a caller waits, so that late answers
/// are told from absent ones.
const GRACE: Duration = Duration::from_millis(250);

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Ending {
    /// With the right answer.
    Answered,
    /// With an answer that is not the one to this request.
    WrongAnswer,
    /// With a refusal.
    Refused { kind: String, outcome: Outcome },
    /// Without a response.
    Failed,
    /// The caller stopped waiting.
    TimedOut,
}

/// One request after its end.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) arrival: Arc<Arrival>,
    /// From the time the request was due to be sent.
    pub(super) latency: Duration,
    /// How late it was sent.
    pub(super) lag: Duration,
    pub(super) ending: Ending,
}

/// The system that takes the requests.
#[derive(Debug)]
pub(super) enum Target {
    Product(Product),
    Baseline { baseline: Baseline, regions: Vec<RegionName> },
}

impl Target {
    /// Sends one request and waits for its end.
    pub(super) async fn send(
        &self,
        arrival: Arc<Arrival>,
        due: Instant,
    ) -> Sample {
        let lag = due.elapsed();
        let limit = (arrival.plan.deadline + GRACE).saturating_sub(lag);
        let ending = tokio::time::timeout(limit, async {
            match self {
                Target::Product(product) => product.send(&arrival).await,
                Target::Baseline { baseline, regions } => {
                    let region = &regions[arrival.entry % regions.len()];
                    send_baseline(baseline, region, &arrival).await
                }
            }
        })
        .await
        .unwrap_or(Ending::TimedOut);
        log::debug!(
            "bench: {} of {}/{} request={} ended as {ending:?}",
            arrival.plan.name,
            arrival.workspace,
            arrival.caller,
            arrival.id
        );
        Sample { arrival, latency: due.elapsed(), lag, ending }
    }
}

async fn send_baseline(
    baseline: &Baseline,
    region: &RegionName,
    arrival: &Arrival,
) -> Ending {
    let request = baseline::Request {
        id: arrival.id,
        plan: &arrival.plan,
        region,
        input: &arrival.input,
    };
    // The dispatcher gives up at the deadline, as the product does.
    let run = baseline.run(&request);
    match tokio::time::timeout(arrival.plan.deadline, run).await {
        Ok(Ok(output)) => checked(arrival, &output),
        Ok(Err(_)) => Ending::Failed,
        Err(_) => Ending::TimedOut,
    }
}

fn checked(arrival: &Arrival, got: &RawValue) -> Ending {
    let expected = output::expected(&arrival.plan, &arrival.input);
    if expected.get() == got.get() {
        Ending::Answered
    } else {
        Ending::WrongAnswer
    }
}

/// The product's daemons behind a balancer.
#[derive(Debug)]
pub(super) struct Product {
    client: Client,
    addresses: RwLock<Vec<SocketAddr>>,
}

impl Product {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> anyhow::Result<Product> {
        let client = Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .retry(reqwest::retry::never())
            .build()?;
        Ok(Product { client, addresses: RwLock::new(addresses) })
    }

    /// Tells the balancer which daemons live.
    pub(super) fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        *self.addresses.write() = addresses;
    }

    async fn send(&self, arrival: &Arrival) -> Ending {
        let mut ticket = None;
        for number in 0..MAX_SENDS {
            let address = {
                let addresses = self.addresses.read();
                addresses[arrival.entry.wrapping_add(number) % addresses.len()]
            };
            if ticket.is_none() && arrival.plan.once().is_some() {
                match self.ticket(address, arrival).await {
                    Ok(Ok(issued)) => ticket = Some(issued),
                    Ok(Err(refused)) => return refused,
                    Err(_) => continue,
                }
            }
            let url =
                format!("http://{address}/v1/pipelines/{}", arrival.plan.name);
            let mut request = self.client.post(url);
            if let Some(ticket) = &ticket {
                request = request.header(TICKET_HEADER, ticket);
            }
            let request = identified(request, arrival)
                .header("content-type", "application/json")
                .body(arrival.input.get().to_owned());
            let Ok(response) = request.send().await else { continue };
            if let Ok(ending) = read_ending(arrival, response).await {
                return ending;
            }
        }
        Ending::Failed
    }

    async fn ticket(
        &self,
        address: SocketAddr,
        arrival: &Arrival,
    ) -> reqwest::Result<Result<String, Ending>> {
        let request = self.client.post(format!("http://{address}/v1/tickets"));
        let response = identified(request, arrival).send().await?;
        if response.status().is_success() {
            let issued: TicketIssued = response.json().await?;
            return Ok(Ok(issued.ticket));
        }
        Ok(Err(refused(&response.json().await?)))
    }
}

fn identified(request: RequestBuilder, arrival: &Arrival) -> RequestBuilder {
    request
        .header(WORKSPACE_HEADER, &*arrival.workspace)
        .header(CALLER_HEADER, &*arrival.caller)
        .header(REQUEST_ID_HEADER, arrival.id.to_string())
}

async fn read_ending(
    arrival: &Arrival,
    response: Response,
) -> reqwest::Result<Ending> {
    if response.status().is_success() {
        let answer: PipelineResponse = response.json().await?;
        if answer.request_id != arrival.id {
            return Ok(Ending::WrongAnswer);
        }
        return Ok(checked(arrival, &answer.output));
    }
    Ok(refused(&response.json().await?))
}

fn refused(problem: &Problem) -> Ending {
    let kind = problem.kind.trim_start_matches("/problems/").to_owned();
    Ending::Refused { kind, outcome: problem.outcome }
}
