//! A stand-in for a model engine: generation with continuous batching, a
//! prefix cache, and orders to load and unload model versions.
//!
//! # Example
//!
//! ```
//! use briarladder_core::names::ServerName;
//! use briarladder_standins::{
//!     engine::{Engine, EngineSettings},
//!     server::ServerSettings,
//! };
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! let name = ServerName::new("engine-1").unwrap();
//! let settings = EngineSettings::new(ServerSettings::new(name, 8));
//! let engine = Engine::start(settings).await?;
//! engine.stop().await;
//! # Ok(())
//! # }
//! ```

use std::{
    io,
    net::SocketAddr,
    ops::Deref,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use briarladder_core::{names::ModelVersionName, objects::Role};
use briarladder_wire::backend::{Order, OrderResponse, RunRequest};
use salvo::{
    Request, Response, async_trait,
    http::{HeaderValue, Method, ResBody, StatusCode, header::CONTENT_TYPE},
};
use tokio::time::Instant;

use self::{
    cache::PrefixCache,
    generation::{Generation, Timing},
};
use crate::{
    fault::Fault,
    output, response,
    server::{
        Core, Job, RequestContext, RoleHandler, RunDecision, Server,
        ServerSettings, lock,
    },
};

mod cache;
mod generation;

/// The part of the time to first token that a fully cached prompt saves, in
/// percent.
const CACHE_SAVING_PERCENT: u32 = 80;

/// The delay before a failed download is retried.
const DOWNLOAD_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Settings for [`Engine::start`].
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The settings common to all backend servers.
    pub server: ServerSettings,
    /// The time to first token when no prefix is cached.
    pub time_to_first_token: Duration,
    /// The time between tokens when no other generation runs.
    pub inter_token_latency: Duration,
    /// The increase of the time between tokens in a full batch, in percent.
    pub batch_slowdown_percent: u32,
    /// The number of tokens of a generation over all of its attempts. A
    /// request may lower it with `max_tokens`.
    pub output_tokens: u32,
    /// The capacity of the prefix cache in prefixes; 0 disables the cache.
    pub prefix_cache_capacity: usize,
    /// The time until a cache event becomes visible.
    pub cache_event_lag: Duration,
    /// Loses every n-th cache event; `None` for no losses.
    pub lose_cache_event_every: Option<u64>,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fencing: bool,
    /// The model versions that are loaded after every start.
    pub model_versions: Vec<ModelVersionName>,
    /// The address of the weight store; without one, versions load
    /// immediately.
    pub weight_store: Option<SocketAddr>,
}

impl EngineSettings {
    /// Creates settings for an engine that generates 16 tokens without
    /// delay, checks fencing tokens and has no version loaded.
    #[must_use]
    pub fn new(server: ServerSettings) -> EngineSettings {
        EngineSettings {
            server,
            time_to_first_token: Duration::ZERO,
            inter_token_latency: Duration::ZERO,
            batch_slowdown_percent: 0,
            output_tokens: 16,
            prefix_cache_capacity: 64,
            cache_event_lag: Duration::ZERO,
            lose_cache_event_every: None,
            checks_fencing: true,
            model_versions: Vec::new(),
            weight_store: None,
        }
    }
}

/// A running engine. It dereferences to [`Server`].
#[derive(Debug)]
pub struct Engine(Server);

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub async fn start(settings: EngineSettings) -> io::Result<Engine> {
        let core = Core::new(settings.server, Role::Engine);
        let cache = PrefixCache::new(
            settings.prefix_cache_capacity,
            settings.cache_event_lag,
            settings.lose_cache_event_every,
        );
        let handler = EngineHandler {
            core: Arc::new(core),
            timing: Timing {
                time_to_first_token: settings.time_to_first_token,
                inter_token_latency: settings.inter_token_latency,
                batch_slowdown_percent: settings.batch_slowdown_percent,
            },
            output_tokens: settings.output_tokens,
            cache: Mutex::new(cache),
            checks_fencing: settings.checks_fencing,
            initial_versions: settings.model_versions,
            desired: Arc::default(),
            weight_store: settings.weight_store,
            client: reqwest::Client::new(),
        };
        handler.reset();
        Server::start(Arc::new(handler)).await.map(Engine)
    }
}

impl Deref for Engine {
    type Target = Server;

    fn deref(&self) -> &Server {
        &self.0
    }
}

struct EngineHandler {
    core: Arc<Core>,
    timing: Timing,
    output_tokens: u32,
    cache: Mutex<PrefixCache>,
    checks_fencing: bool,
    initial_versions: Vec<ModelVersionName>,
    desired: Arc<Mutex<DesiredVersions>>,
    weight_store: Option<SocketAddr>,
    client: reqwest::Client,
}

/// The model versions of the last accepted order, at first those of the
/// settings, and the versions that are being downloaded.
#[derive(Debug, Default)]
struct DesiredVersions {
    versions: Vec<ModelVersionName>,
    loading: Vec<ModelVersionName>,
}

#[async_trait]
impl RoleHandler for EngineHandler {
    fn core(&self) -> &Arc<Core> {
        &self.core
    }

    fn decide(&self, run: &RunRequest, _key: Option<&str>) -> RunDecision {
        if let Some(version) = &run.model_version
            && !lock(&self.core.model_versions).contains(version)
        {
            return RunDecision::NotRun(format!("{version} is not loaded"));
        }
        let input = run.input.get();
        let mismatched =
            run.resume_tokens.iter().zip(0..).any(|(token, index)| {
                **token != *output::token_text(input, index)
            });
        if mismatched {
            let cause = "the tokens to resume from don't match the input";
            return RunDecision::Conflict(cause.to_owned());
        }
        RunDecision::Run
    }

    async fn execute(
        &self,
        job: Job,
        context: RequestContext,
        res: &mut Response,
    ) {
        if context.faults.contains(Fault::DropBeforeFirstByte { runs: true }) {
            context.disconnect().await;
        }
        let delay = context.faults.response_delay();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let hashes = output::prefix_hashes(job.run.input.get());
        let cached =
            lock(&self.cache).lookup_and_insert(&hashes, Instant::now());
        let mut timing = self.timing;
        timing.time_to_first_token =
            reduced_by_cache(timing.time_to_first_token, cached, &hashes);
        let total = job.run.max_tokens.unwrap_or(u32::MAX);
        let total = total.min(self.output_tokens);
        let core = self.core.clone();
        let generation = Generation::new(core, job, context, timing, total);
        res.headers_mut().insert(
            CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        res.body(ResBody::stream(generation.into_stream()));
    }

    async fn handle_other(&self, req: &mut Request, res: &mut Response) {
        let path = req.uri().path();
        if path == "/v1/cache-events" {
            let after = response::query_u64(req, "after").unwrap_or(0);
            let now = Instant::now();
            let events = lock(&self.cache).events_after(after, now);
            return response::json(res, &events);
        }
        if path != "/v1/orders" || req.method() != Method::POST {
            let cause = "no such call";
            return response::status(res, StatusCode::NOT_FOUND, cause);
        }
        let body = response::read_body(req).await.unwrap_or_default();
        match serde_json::from_slice::<Order>(&body) {
            Ok(order) => response::json(res, &self.apply_order(order)),
            Err(error) => {
                let cause = error.to_string();
                response::status(res, StatusCode::BAD_REQUEST, &cause);
            }
        }
    }

    fn reset(&self) {
        lock(&self.cache).clear();
        let mut desired = lock(&self.desired);
        desired.versions.clone_from(&self.initial_versions);
        desired.loading.clear();
        lock(&self.core.model_versions).clone_from(&self.initial_versions);
    }
}

impl EngineHandler {
    fn apply_order(&self, order: Order) -> OrderResponse {
        let seen = self
            .core
            .epoch_seen
            .fetch_max(order.fencing_token, Ordering::AcqRel);
        let old = order.fencing_token < seen;
        let accepted = !old
            || !self.checks_fencing
            || self.core.faults().take_ignore_fencing();
        if accepted {
            self.set_versions(order.model_versions);
        }
        OrderResponse {
            accepted,
            epoch_seen: seen.max(order.fencing_token),
            model_versions: lock(&self.core.model_versions).clone(),
        }
    }

    /// Unloads versions that are no longer desired and starts to load
    /// missing ones.
    fn set_versions(&self, versions: Vec<ModelVersionName>) {
        let mut desired = lock(&self.desired);
        let mut loaded = lock(&self.core.model_versions);
        loaded.retain(|version| versions.contains(version));
        for version in &versions {
            if loaded.contains(version) || desired.loading.contains(version) {
                continue;
            }
            let Some(store) = self.weight_store else {
                loaded.push(version.clone());
                continue;
            };
            desired.loading.push(version.clone());
            self.core.spawn(load_version(
                self.core.clone(),
                self.desired.clone(),
                self.client.clone(),
                format!("http://{store}/v1/weights/{version}"),
                version.clone(),
            ));
        }
        desired.versions = versions;
    }
}

/// Downloads a version, with retries, and marks it loaded if it is still
/// desired by then.
async fn load_version(
    core: Arc<Core>,
    desired: Arc<Mutex<DesiredVersions>>,
    client: reqwest::Client,
    url: String,
    version: ModelVersionName,
) {
    loop {
        let complete = download(&client, &url).await;
        {
            let mut desired = lock(&desired);
            let still_desired = desired.versions.contains(&version);
            if complete || !still_desired {
                desired.loading.retain(|loading| *loading != version);
                if still_desired {
                    lock(&core.model_versions).push(version);
                }
                return;
            }
        }
        log::warn!("standins: {} failed to load {version}", core.name);
        tokio::time::sleep(DOWNLOAD_RETRY_DELAY).await;
    }
}

/// Returns whether the download succeeded.
async fn download(client: &reqwest::Client, url: &str) -> bool {
    let response = client.get(url).send().await;
    match response.and_then(reqwest::Response::error_for_status) {
        Ok(response) => response.bytes().await.is_ok(),
        Err(_) => false,
    }
}

/// Reduces the time to first token in proportion to the cached part of the
/// prompt.
fn reduced_by_cache(
    time: Duration,
    cached: usize,
    hashes: &[u64],
) -> Duration {
    // An input has at most a few dozen prefixes.
    let part = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    let saved = time * CACHE_SAVING_PERCENT / 100;
    let saved = saved * part(cached) / part(hashes.len()).max(1);
    time.saturating_sub(saved)
}
