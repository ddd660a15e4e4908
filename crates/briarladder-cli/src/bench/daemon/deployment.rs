//! One daemon in its own process, and stand-ins in this process.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::Path,
    time::Duration,
};

use anyhow::{Context, bail};
use briarladder_core::{
    config::Bundle,
    names::{VmName, ZoneName},
    objects::{
        Object,
        parse::{FileName, parse},
    },
};
use briarladder_standins::{
    cluster::{Cluster, ClusterSettings},
    journal::Journal,
    platform::{Chunk, Platform, PlatformSettings},
};
use briarladder_wire::platform::{Vm, VmKind, VmState};
use serde_json::json;
use tokio::process::{Child, Command};

use super::usage::{self, Usage};

/// Tokens of one stream.
pub(super) const TOKENS: u32 = 100;

/// Estimated service time of the engine stage. With [`Pace::OneByOne`], it results in 500 ms
/// to the first token and 15 ms between tokens.
const ENGINE_ESTIMATE_MS: u32 = 2_000;

/// Slots of each pool, enough that no request of the benchmark waits.
const SLOTS: u32 = 4_096;

/// Maximum time for the daemon to become ready, which takes seconds under a
/// profiler.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Key that authenticates requests between daemons.
const PEER_KEY: &str = "loopback-bench-peer-key";

/// Stages of the request in order, each with a pool of the same name.
pub(super) const STAGES: [&str; 4] =
    ["encoder", "retriever", "reranker", "service"];

/// The speed at which stand-ins respond.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Pace {
    /// At once: engines send all tokens without pauses.
    AtOnce,
    /// At their estimate: engines pause before each token.
    OneByOne,
}

/// A running daemon with its platform and backend servers.
pub(super) struct Deployment {
    cluster: Cluster,
    platform: Platform,
    child: Child,
    process_id: u32,
    callers_address: SocketAddr,
}

impl Deployment {
    /// Starts the stand-ins and the daemon, and waits until it is ready.
    pub(super) async fn start(
        binary: &Path,
        pace: Pace,
    ) -> anyhow::Result<Deployment> {
        let settings = ClusterSettings {
            time_scale: match pace {
                Pace::AtOnce => 0.0,
                Pace::OneByOne => 1.0,
            },
            journal: Journal::disabled(),
            ..ClusterSettings::default()
        };
        let cluster = Cluster::start(&objects()?, settings).await?;
        let platform = Platform::start(PlatformSettings::default()).await?;
        publish(&platform, cluster.objects())?;
        let (callers_address, peers_address) =
            (free_address()?, free_address()?);
        platform.set_vms(vec![Vm {
            name: VmName::new("entry-1")?,
            zone: ZoneName::new("zone-1")?,
            kind: VmKind::Entry,
            address: peers_address,
            state: VmState::Live,
        }]);
        let child = Command::new(binary)
            .args(["--vm=entry-1", "--zone=zone-1", "--threads=1"])
            .arg(format!("--platform={}", platform.address()))
            .arg(format!("--peer-key={PEER_KEY}"))
            .arg(format!("--callers-listen={callers_address}"))
            .arg(format!("--peers-listen={peers_address}"))
            .kill_on_drop(true)
            .spawn()
            .with_context(|| {
                format!(
                    "can't start {}; build briarladderd or pass its path \
                     with --daemon",
                    binary.display()
                )
            })?;
        let process_id = child.id().context("the daemon exited at once")?;
        let mut deployment = Deployment {
            cluster,
            platform,
            child,
            process_id,
            callers_address,
        };
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    async fn wait_until_ready(&mut self) -> anyhow::Result<()> {
        let client = reqwest::Client::builder().no_proxy().build()?;
        let url = format!("http://{}/readyz", self.callers_address);
        let started_at = tokio::time::Instant::now();
        while started_at.elapsed() < READY_TIMEOUT {
            if let Some(status) = self.child.try_wait()? {
                bail!("the daemon exited: {status}");
            }
            let response = client.get(&url).send().await;
            if response.is_ok_and(|r| r.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        bail!("the daemon was not ready within {READY_TIMEOUT:?}")
    }

    /// Returns the address at which the daemon accepts callers.
    pub(super) fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Returns the address of the only server of a pool.
    pub(super) fn server(&self, pool: &str) -> anyhow::Result<SocketAddr> {
        let backend = self.cluster.backend(&format!("{pool}-1"));
        Ok(backend.context("the pool has no server")?.address())
    }

    /// Returns the CPU time and memory of the daemon's process.
    pub(super) fn usage(&self) -> anyhow::Result<Usage> {
        usage::read(self.process_id)
    }

    /// Kills the daemon, then stops the stand-ins.
    pub(super) async fn stop(mut self) {
        // An error means that the process has already exited.
        let _ = self.child.kill().await;
        self.cluster.stop().await;
        self.platform.stop().await;
    }
}

/// Returns a loopback address with a port that was free when checked.
fn free_address() -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(listener.local_addr()?)
}

fn publish(platform: &Platform, objects: &[Object]) -> anyhow::Result<()> {
    let bundle = Bundle::new(1, objects)?;
    let manifest = serde_json::to_string(&bundle.manifest)?;
    let mut chunks = Vec::new();
    for chunk in &bundle.chunks {
        let text = String::from_utf8(chunk.bytes.to_vec())?;
        chunks.push(Chunk { digest: chunk.digest.to_string(), text });
    }
    platform.publish(1, &manifest, &chunks);
    Ok(())
}

/// Returns an object set of one region with one server in each pool, a pipeline
/// of four stages, and a pipeline of one generation.
fn objects() -> anyhow::Result<Vec<Object>> {
    let stage = |pool: &str, work: serde_json::Value, estimate_ms: u32| {
        json!({"kind": "stage", "name": pool, "pool": pool, "work": work,
            "estimate_ms": estimate_ms, "timeout_ms": 10_000})
    };
    let pool = |name: &str| {
        let slots_requests = SLOTS;
        json!({"name": name, "role": name, "slots_requests": slots_requests})
    };
    // The stand-ins replace the addresses, which must be distinct.
    let server = |(index, pool): (usize, &&str)| {
        json!({"name": format!("{pool}-1"), "pool": pool,
            "address": format!("127.0.0.1:{}", index + 1)})
    };
    let mut pools: Vec<_> = STAGES.iter().map(|name| pool(name)).collect();
    pools.push(json!({"name": "engine", "role": "engine",
        "slots_requests": SLOTS, "model_versions": ["version-1"],
        "checks_fencing": true}));
    let all = STAGES.iter().chain(&["engine"]).enumerate();
    let servers: Vec<_> = all.map(server).collect();
    let generate = json!({"generate":
        {"model_version": "version-1", "max_tokens": TOKENS}});
    let pipeline = |name: &str, stages: &[&str]| {
        json!({"kind": "pipeline", "name": name, "stages": stages,
            "deadline_ms": 20_000, "default_rank": "urgent"})
    };
    let objects = json!([
        {"kind": "fleet", "ticket_keys": [{"id": 1,
            "secret_hex": "5f0ed0b7a1c39ed0".repeat(4)}],
            "ticket_lifetime_ms": 60_000, "outcome_retention_ms": 600_000,
            "weight_store_bytes_per_s": 2_000_000_000},
        {"kind": "rank", "name": "urgent", "order": 0,
            "guaranteed_percent": 90},
        {"kind": "model_version", "name": "version-1", "model": "model-1",
            "weights_bytes": 1},
        stage("encoder", json!("encode"), 1),
        stage("retriever", json!("retrieve"), 1),
        stage("reranker", json!("rerank"), 1),
        stage("service", json!({"call": {"operation": "lookup"}}), 1),
        stage("engine", generate, ENGINE_ESTIMATE_MS),
        pipeline("request", &STAGES),
        pipeline("stream", &["engine"]),
        {"kind": "workspace", "name": "workspace-1",
            "home_region": "region-1", "pipelines": ["request", "stream"],
            "weight": 1, "max_open_requests": SLOTS,
            "caller_max_open_requests": SLOTS},
        {"kind": "region", "name": "region-1", "pools": pools,
            "zones": [{"name": "zone-1", "servers": servers}], "links": []},
    ]);
    let loaded = parse(&FileName::new("bench"), &objects.to_string())
        .map_err(|errors| anyhow::anyhow!("{}", errors[0]))?;
    Ok(loaded.into_iter().map(|located| located.object).collect())
}

#[cfg(test)]
mod tests {
    use briarladder_core::objects::check;

    use super::*;

    /// Guards against an object set that the daemon rejects, so that the
    /// benchmark waits for it to become ready until the timeout.
    #[test]
    fn objects_pass_check() {
        let objects = objects().unwrap();
        let located = objects.into_iter().map(|object| {
            let file = FileName::new("bench");
            briarladder_core::objects::parse::LocatedObject { file, object }
        });
        let located: Vec<_> = located.collect();
        let errors = check::check(&located);
        assert!(errors.is_empty(), "{errors:?}");
    }
}
