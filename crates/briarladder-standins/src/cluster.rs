//! One stand-in for each backend server of an object set (the configuration as
//! JSON files).
//!
//! # Example
//!
//! ```
//! use briarladder_standins::cluster::{Cluster, ClusterSettings};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! let cluster = Cluster::start(&[], ClusterSettings::default()).await?;
//! assert!(cluster.objects().is_empty());
//! cluster.stop().await;
//! # Ok(())
//! # }
//! ```

use std::{io, net::SocketAddr, ops::Deref, time::Duration};

use briarladder_core::{
    names::VmName,
    objects::{Object, Pool, Role, Stage, Work},
};
use briarladder_wire::platform::{Vm, VmKind, VmState};

use crate::{
    engine::{Engine, EngineSettings},
    fault::Faults,
    journal::Journal,
    server::{Server, ServerSettings},
    service::{Service, ServiceSettings},
    weights::{WeightStore, WeightStoreSettings, Weights},
    worker::{Worker, WorkerSettings},
};

/// The part of a generation's estimated time that passes before the first
/// token, in percent.
const FIRST_TOKEN_PERCENT: u32 = 25;

/// Settings for [`Cluster::start`].
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// The factor by which all service times and weight sizes are
    /// multiplied, 1 by default. With 0 or less, responses take no time.
    pub time_scale: f64,
    /// The maximum age of load reports. It is not scaled.
    pub report_lag: Duration,
    /// The journal that all backend servers share.
    pub journal: Journal,
}

impl Default for ClusterSettings {
    fn default() -> ClusterSettings {
        ClusterSettings {
            time_scale: 1.0,
            report_lag: Duration::ZERO,
            journal: Journal::new(),
        }
    }
}

/// The stand-in for a backend server of any role.
#[derive(Debug)]
pub enum Backend {
    /// A model engine.
    Engine(Engine),
    /// An encoder, retriever or reranker.
    Worker(Worker),
    /// A plain service.
    Service(Service),
}

impl Deref for Backend {
    type Target = Server;

    fn deref(&self) -> &Server {
        match self {
            Backend::Engine(engine) => engine,
            Backend::Worker(worker) => worker,
            Backend::Service(service) => service,
        }
    }
}

/// The running backend servers of an object set.
#[derive(Debug)]
pub struct Cluster {
    objects: Vec<Object>,
    backends: Vec<Backend>,
    weight_store: Option<WeightStore>,
    journal: Journal,
}

impl Cluster {
    /// Starts one stand-in for each backend server, on a free port. Servers
    /// whose pool is not declared in their region are skipped. The service
    /// time is the estimate of the first stage that uses the pool, or zero if
    /// no stage does.
    ///
    /// # Errors
    ///
    /// Returns an error if a port can't be bound.
    pub async fn start(
        objects: &[Object],
        settings: ClusterSettings,
    ) -> io::Result<Cluster> {
        let weight_store = start_weight_store(objects, &settings).await?;
        let store = weight_store.as_ref().map(WeightStore::address);
        let mut cluster = Cluster {
            objects: objects.to_vec(),
            backends: Vec::new(),
            weight_store,
            journal: settings.journal.clone(),
        };
        for object in &mut cluster.objects {
            let Object::Region(region) = object else { continue };
            for server in region.zones.iter_mut().flat_map(|z| &mut z.servers)
            {
                let pool = region.pools.iter().find(|p| p.name == server.pool);
                let Some(pool) = pool else { continue };
                let shared = ServerSettings {
                    name: server.name.clone(),
                    port: 0,
                    slots_requests: pool.slots_requests,
                    report_lag: settings.report_lag,
                    faults: Faults::default(),
                    journal: settings.journal.clone(),
                };
                let stage = first_stage_of(objects, pool);
                let scale = settings.time_scale;
                let backend =
                    start_backend(pool, stage, shared, scale, store).await?;
                server.address = backend.address();
                cluster.backends.push(backend);
            }
        }
        Ok(cluster)
    }

    /// Returns the object set, in which each server has the address of its
    /// stand-in.
    #[must_use]
    pub fn objects(&self) -> &[Object] {
        &self.objects
    }

    /// Returns the backend servers in the order of the object set.
    #[must_use]
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// Returns the backend servers as live VMs, for
    /// [`Platform::set_vms`](crate::platform::Platform::set_vms).
    #[must_use]
    pub fn vms(&self) -> Vec<Vm> {
        let regions = self.objects.iter().filter_map(|object| match object {
            Object::Region(region) => Some(region),
            _ => None,
        });
        let zones = regions.flat_map(|region| &region.zones);
        let servers = zones.flat_map(|zone| {
            zone.servers.iter().map(|server| (zone.name.clone(), server))
        });
        let vms = servers.filter_map(|(zone, server)| {
            let name = server.name.as_str();
            let address = self.backend(name)?.address();
            let name = VmName::new(name).ok()?;
            let (kind, state) = (VmKind::Backend, VmState::Live);
            Some(Vm { name, zone, kind, address, state })
        });
        vms.collect()
    }

    /// Returns the backend server with this name, if it was started.
    #[must_use]
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        self.backends.iter().find(|b| b.name().as_str() == name)
    }

    /// Returns the weight store, which runs only if the object set has model
    /// versions.
    #[must_use]
    pub fn weight_store(&self) -> Option<&WeightStore> {
        self.weight_store.as_ref()
    }

    /// Returns the journal that all backend servers share.
    #[must_use]
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Stops all backend servers and the weight store.
    pub async fn stop(&self) {
        for backend in &self.backends {
            backend.stop().await;
        }
        if let Some(store) = &self.weight_store {
            store.stop().await;
        }
    }
}

/// Returns the first stage that runs on a pool.
fn first_stage_of<'a>(
    objects: &'a [Object],
    pool: &Pool,
) -> Option<&'a Stage> {
    objects.iter().find_map(|object| match object {
        Object::Stage(stage) if stage.pool == pool.name => Some(stage),
        _ => None,
    })
}

async fn start_weight_store(
    objects: &[Object],
    settings: &ClusterSettings,
) -> io::Result<Option<WeightStore>> {
    let mut rate_bytes_per_s = u64::MAX;
    let mut weights = Vec::new();
    for object in objects {
        match object {
            Object::Fleet(fleet) => {
                rate_bytes_per_s = fleet.weight_store_bytes_per_s;
            }
            Object::ModelVersion(version) => weights.push(Weights {
                version: version.name.clone(),
                // Scaling the size scales the download time at the same
                // rate.
                size_bytes: scaled_bytes(
                    version.weights_bytes,
                    settings.time_scale,
                ),
            }),
            _ => {}
        }
    }
    if weights.is_empty() {
        return Ok(None);
    }
    let settings = WeightStoreSettings { port: 0, rate_bytes_per_s, weights };
    WeightStore::start(settings).await.map(Some)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a simulated size may be inexact, and casts saturate"
)]
fn scaled_bytes(size_bytes: u64, scale: f64) -> u64 {
    (size_bytes as f64 * scale) as u64
}

async fn start_backend(
    pool: &Pool,
    stage: Option<&Stage>,
    server: ServerSettings,
    scale: f64,
    weight_store: Option<SocketAddr>,
) -> io::Result<Backend> {
    let estimate = stage.map_or(0, |stage| stage.estimate_ms);
    let time = Duration::from_millis(estimate).mul_f64(scale.max(0.0));
    match pool.role {
        Role::Engine => {
            let mut settings = EngineSettings::new(server);
            if let Some(Work::Generate { max_tokens, .. }) =
                stage.map(|stage| &stage.work)
            {
                settings.output_tokens = *max_tokens;
            }
            settings.time_to_first_token = time * FIRST_TOKEN_PERCENT / 100;
            settings.inter_token_latency = time * (100 - FIRST_TOKEN_PERCENT)
                / 100
                / settings.output_tokens.max(1);
            settings.checks_fencing = pool.checks_fencing;
            settings.model_versions.clone_from(&pool.model_versions);
            settings.weight_store = weight_store;
            Engine::start(settings).await.map(Backend::Engine)
        }
        Role::Service => {
            let mut settings = ServiceSettings::new(server);
            settings.service_time = time;
            Service::start(settings).await.map(Backend::Service)
        }
        Role::Encoder | Role::Retriever | Role::Reranker => {
            let mut settings = WorkerSettings::new(server, pool.role);
            settings.service_time = time;
            Worker::start(settings).await.map(Backend::Worker)
        }
    }
}
