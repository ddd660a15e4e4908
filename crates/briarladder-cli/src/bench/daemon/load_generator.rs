//! Closed-loop and open-loop load generators.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use briarladder_core::{
    ids::RequestId,
    names::{ModelVersionName, StageName},
};
use briarladder_wire::{backend::RunRequest, callers::WORKSPACE_HEADER};
use hdrhistogram::Histogram;
use reqwest::Client;
use serde_json::value::RawValue;
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};

use super::deployment::{Deployment, STAGES, TOKENS};

/// Body of every request, the size of a short prompt.
const BODY: &str = r#"{"sheet_mm":[420,594],"prompt":"Fold the map of the
 old town so that the harbour and the market are on the cover, and keep the
 legend readable when half of the sheet is open."}"#;

/// Maximum calls of the open loop in flight; more are an error.
const MAX_OPEN_CALLS: usize = 1_000;

/// First line of each token event of a stream, as server-sent events.
const TOKEN_EVENT: &[u8] = b"event: token\n";

/// The type of call that is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    /// A request of four stages.
    Request,
    /// A request of one generation whose tokens are streamed.
    Stream,
}

/// Sends requests to a daemon, or directly to its backend servers.
#[derive(Clone)]
pub(super) struct Caller(Arc<Inner>);

struct Inner {
    client: Client,
    daemon: SocketAddr,
    stages: Vec<(StageName, SocketAddr)>,
    engine: SocketAddr,
    input: Arc<RawValue>,
}

impl Caller {
    pub(super) fn new(deployment: &Deployment) -> anyhow::Result<Caller> {
        let mut stages = Vec::new();
        for stage in STAGES {
            stages.push((StageName::new(stage)?, deployment.server(stage)?));
        }
        let client = Client::builder().no_proxy().tcp_nodelay(true).build()?;
        let input = RawValue::from_string(BODY.replace('\n', ""))?;
        Ok(Caller(Arc::new(Inner {
            client,
            daemon: deployment.callers_address(),
            stages,
            engine: deployment.server("engine")?,
            input: Arc::from(input),
        })))
    }

    /// Sends one call to the daemon and reads the whole response. Increments
    /// `units` for the request, or for each token of the stream on arrival.
    async fn send(
        &self,
        kind: CallKind,
        units: &AtomicU64,
    ) -> anyhow::Result<()> {
        let inner = &self.0;
        let pipeline = match kind {
            CallKind::Request => "request",
            CallKind::Stream => "stream",
        };
        let url = format!("http://{}/v1/pipelines/{pipeline}", inner.daemon);
        let mut request = inner
            .client
            .post(url)
            .header(WORKSPACE_HEADER, "workspace-1")
            .header("content-type", "application/json")
            .body(inner.input.get().to_owned());
        if kind == CallKind::Stream {
            request = request.header("accept", "text/event-stream");
        }
        let mut response = request.send().await?;
        let status = response.status();
        let (mut body, mut scanned, mut tokens) = (Vec::new(), 0, 0);
        while let Some(chunk) = response.chunk().await? {
            body.extend_from_slice(&chunk);
            // A chunk may end within an event.
            while let Some(offset) = find(&body[scanned..], TOKEN_EVENT) {
                scanned += offset + TOKEN_EVENT.len();
                tokens += 1;
                units.fetch_add(1, Ordering::Relaxed);
            }
            scanned =
                scanned.max(body.len().saturating_sub(TOKEN_EVENT.len()));
        }
        ensure!(
            status.is_success(),
            "status {status}: {}",
            String::from_utf8_lossy(&body)
        );
        match kind {
            CallKind::Request => {
                units.fetch_add(1, Ordering::Relaxed);
            }
            CallKind::Stream => ensure!(
                tokens == TOKENS && find(&body, b"event: answer\n").is_some(),
                "a stream ended after {tokens} tokens: {}",
                String::from_utf8_lossy(&body)
            ),
        }
        Ok(())
    }

    /// Sends the requests that the daemon would send to backend servers.
    async fn send_direct(&self, kind: CallKind) -> anyhow::Result<()> {
        let inner = &self.0;
        if kind == CallKind::Stream {
            let stage = StageName::new("engine")?;
            return self.call(&stage, inner.engine, kind).await;
        }
        for (stage, address) in &inner.stages {
            self.call(stage, *address, kind).await?;
        }
        Ok(())
    }

    async fn call(
        &self,
        stage: &StageName,
        address: SocketAddr,
        kind: CallKind,
    ) -> anyhow::Result<()> {
        let streamed = kind == CallKind::Stream;
        let run = RunRequest {
            request_id: RequestId::random(),
            stage: stage.clone(),
            attempt: 0,
            epoch: 1,
            priority: 0,
            deadline_ms: 10_000,
            model_version: match kind {
                CallKind::Request => None,
                CallKind::Stream => Some(ModelVersionName::new("version-1")?),
            },
            max_tokens: streamed.then_some(TOKENS),
            resume_tokens: Vec::new(),
            operation: (stage.as_str() == "service").then(|| "lookup".into()),
            input: Arc::clone(&self.0.input),
            previous: None,
        };
        let url = format!("http://{address}/v1/run");
        let response = self.0.client.post(url).json(&run).send().await?;
        response.error_for_status()?.bytes().await?;
        Ok(())
    }
}

fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes.windows(needle.len()).position(|window| window == needle)
}

/// A running closed loop: each task sends its next call when the previous one
/// has completed.
pub(super) struct ClosedLoop {
    units: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
    tasks: JoinSet<anyhow::Result<()>>,
}

impl ClosedLoop {
    pub(super) fn start(
        caller: &Caller,
        kind: CallKind,
        concurrency: usize,
    ) -> ClosedLoop {
        let units = Arc::new(AtomicU64::new(0));
        let stopping = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for _ in 0..concurrency {
            let (caller, units, stopping) =
                (caller.clone(), Arc::clone(&units), Arc::clone(&stopping));
            tasks.spawn(async move {
                while !stopping.load(Ordering::Relaxed) {
                    caller.send(kind, &units).await?;
                }
                Ok(())
            });
        }
        ClosedLoop { units, stopping, tasks }
    }

    /// Returns the requests or tokens completed so far.
    pub(super) fn units(&self) -> u64 {
        self.units.load(Ordering::Relaxed)
    }

    /// Waits for the calls in flight and returns the first error.
    pub(super) async fn stop(self) -> anyhow::Result<()> {
        self.stopping.store(true, Ordering::Relaxed);
        join_all(self.tasks).await
    }
}

async fn join_all(
    mut tasks: JoinSet<anyhow::Result<()>>,
) -> anyhow::Result<()> {
    while let Some(finished) = tasks.join_next().await {
        finished??;
    }
    Ok(())
}

/// Latencies of an open loop in microseconds: of calls through the daemon, and
/// of the same stages sent directly to the stand-ins.
pub(super) struct LatencyHistograms {
    pub(super) caller: Histogram<u64>,
    pub(super) direct: Histogram<u64>,
}

/// Sends calls at a fixed rate for a time and returns their latencies.
pub(super) async fn run_open_loop(
    caller: &Caller,
    kind: CallKind,
    rate_per_s: u32,
    time: Duration,
) -> anyhow::Result<LatencyHistograms> {
    let mut ticker = interval(Duration::from_secs(1) / rate_per_s);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut tasks = JoinSet::new();
    let mut latencies =
        LatencyHistograms { caller: histogram()?, direct: histogram()? };
    let started_at = Instant::now();
    while started_at.elapsed() < time {
        ticker.tick().await;
        ensure!(
            tasks.len() < MAX_OPEN_CALLS,
            "{MAX_OPEN_CALLS} calls are in flight; the machine is overloaded"
        );
        let caller = caller.clone();
        tasks.spawn(async move {
            let sent_at = Instant::now();
            caller.send(kind, &AtomicU64::new(0)).await?;
            let responded_at = Instant::now();
            caller.send_direct(kind).await?;
            let direct = responded_at.elapsed();
            anyhow::Ok((responded_at - sent_at, direct))
        });
        while let Some(finished) = tasks.try_join_next() {
            latencies.add(finished??)?;
        }
    }
    while let Some(finished) = tasks.join_next().await {
        latencies.add(finished??)?;
    }
    Ok(latencies)
}

impl LatencyHistograms {
    fn add(&mut self, latency: (Duration, Duration)) -> anyhow::Result<()> {
        let us = |time: Duration| u64::try_from(time.as_micros());
        self.caller.record(us(latency.0)?).context("a call took too long")?;
        self.direct.record(us(latency.1)?).context("a call took too long")?;
        Ok(())
    }
}

/// Creates a histogram of up to one minute in microseconds.
fn histogram() -> anyhow::Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, 60_000_000, 3)?)
}
