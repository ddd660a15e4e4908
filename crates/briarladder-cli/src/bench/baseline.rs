//! The baseline: a dispatcher without admission control.
//!
//! Requests are served first come, first served, without ranks. Each stage is
//! sent round robin to the backend servers of its pool in all regions. Every
//! failed attempt is retried at once, even if the stage is not idempotent.

use std::{
    net::SocketAddr,
    ops::ControlFlow,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use briarladder_core::{
    ids::RequestId,
    names::{PoolName, RegionName, StageName},
    objects::{Object, Stage},
    retry::AttemptFailure,
    sorted::SortedMap,
};
use briarladder_daemon::backend::{Attempt, BackendClient, Connection};
use parking_lot::Mutex;
use serde_json::value::RawValue;

use super::{
    deployment::{ResolvedPipeline, servers_by_region},
    output,
};

/// Maximum attempts at one stage.
const MAX_ATTEMPTS: u32 = 3;

/// Maximum output of one stage, the default of the daemon's settings.
const MAX_OUTPUT_BYTES: usize = 4 * 1024 * 1024;

/// Dispatches the stages of requests to the backend servers of all regions.
#[derive(Debug)]
pub(super) struct Baseline {
    client: BackendClient,
    pools: SortedMap<PoolName, PoolServers>,
    cross_region_bytes: Mutex<SortedMap<StageName, u64>>,
}

#[derive(Debug, Default)]
struct PoolServers {
    servers: Vec<PoolServer>,
    /// Number of attempts so far; modulo the servers, the next one to use.
    next_index: AtomicUsize,
}

#[derive(Clone, Debug)]
struct PoolServer {
    region: RegionName,
    address: SocketAddr,
}

/// A request to run a pipeline.
#[derive(Debug)]
pub(super) struct Request<'a> {
    pub(super) id: RequestId,
    pub(super) pipeline: &'a ResolvedPipeline,
    /// The region in which the request arrives. Bytes to and from other
    /// regions are counted.
    pub(super) region: &'a RegionName,
    pub(super) input: &'a Arc<RawValue>,
}

impl Baseline {
    pub(super) fn new(objects: &[Object]) -> anyhow::Result<Baseline> {
        let mut pools: SortedMap<PoolName, PoolServers> = SortedMap::new();
        for (region, server) in servers_by_region(objects) {
            let pool =
                pools.get_or_insert_with(server.pool, PoolServers::default);
            pool.servers.push(PoolServer { region, address: server.address });
        }
        Ok(Baseline {
            client: BackendClient::new(MAX_OUTPUT_BYTES)?,
            pools,
            cross_region_bytes: Mutex::default(),
        })
    }

    /// Runs all stages in order and returns the output of the last one.
    pub(super) async fn run(
        &self,
        request: &Request<'_>,
    ) -> anyhow::Result<Arc<RawValue>> {
        let mut previous = None;
        for stage in &request.pipeline.stages {
            let output =
                self.run_stage(request, stage, previous.as_ref()).await;
            previous = Some(output?);
        }
        previous.context("the pipeline has no stage")
    }

    /// Returns the bytes sent between regions so far, by stage.
    pub(super) fn cross_region_bytes(&self) -> SortedMap<StageName, u64> {
        self.cross_region_bytes.lock().clone()
    }

    async fn run_stage(
        &self,
        request: &Request<'_>,
        stage: &Stage,
        previous: Option<&Arc<RawValue>>,
    ) -> anyhow::Result<Arc<RawValue>> {
        let pool = self
            .pools
            .get(&stage.pool)
            .with_context(|| format!("pool {} has no server", stage.pool))?;
        let mut last_failure = AttemptFailure::ConnectionLost;
        for attempt in 0..MAX_ATTEMPTS {
            let index = pool.next_index.fetch_add(1, Ordering::Relaxed);
            let server = &pool.servers[index % pool.servers.len()];
            let mut run = output::run_request(
                stage,
                request.id,
                request.input,
                previous,
            );
            run.attempt = attempt;
            let key = request.id.to_string();
            let attempt = Attempt {
                request: &run,
                idempotency_key: Some(&key),
                connection: Connection::Pooled,
                timeout: Duration::from_millis(stage.timeout_ms),
            };
            match self.send_attempt(server.address, stage, attempt).await {
                Ok(output) => {
                    if server.region != *request.region {
                        let sent = request.input.get().len()
                            + previous.map_or(0, |p| p.get().len());
                        self.add_cross_region_bytes(
                            stage,
                            sent + output.get().len(),
                        );
                    }
                    return Ok(output);
                }
                Err(failure) => last_failure = failure,
            }
        }
        anyhow::bail!("stage {} failed: {last_failure}", stage.name)
    }

    async fn send_attempt(
        &self,
        address: SocketAddr,
        stage: &Stage,
        attempt: Attempt<'_>,
    ) -> Result<Arc<RawValue>, AttemptFailure> {
        if !output::is_generation(stage) {
            let done = self.client.run(address, attempt).await?;
            return Ok(done.output);
        }
        let mut tokens: Vec<Arc<str>> = Vec::new();
        self.client
            .generate(address, attempt, |_, text| {
                tokens.push(text);
                ControlFlow::Continue(())
            })
            .await?;
        Ok(output::generation_output(&tokens))
    }

    fn add_cross_region_bytes(&self, stage: &Stage, bytes: usize) {
        let mut counts = self.cross_region_bytes.lock();
        *counts.get_or_insert_with(stage.name.clone(), || 0) += bytes as u64;
    }
}
