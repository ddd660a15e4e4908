//! A stand-in for a model engine: generation with continuous batching, a
//! prefix cache, and orders to load model versions.
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
    output, reply,
    server::{Check, Core, Job, Link, Server, ServerSettings, Work, lock},
};

mod cache;
mod generation;

/// The share of the time to the first token that a fully cached prompt
/// saves, in percent.
const CACHE_SAVING_PERCENT: u32 = 80;

/// The pause before a failed download is tried again.
const DOWNLOAD_RETRY: Duration = Duration::from_millis(200);

/// Settings of an [`Engine`].
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The shared settings.
    pub server: ServerSettings,
    /// The time to the first token without cached prefix.
    pub time_to_first_token: Duration,
    /// The time between tokens of a generation that runs alone.
    pub inter_token_latency: Duration,
    /// By how much a full batch is slower per token, in percent.
    pub batch_slowdown_percent: u32,
    /// The tokens of an answer; a request may limit them further.
    pub output_tokens: u32,
    /// The prefixes the cache holds.
    pub prefix_cache_capacity: usize,
    /// How late cache events are published.
    pub cache_event_lag: Duration,
    /// Every how many cache events one is lost; `None` for no losses.
    pub lose_cache_event_every: Option<u64>,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// The versions that are loaded at the start.
    pub model_versions: Vec<ModelVersionName>,
    /// The weight store; without one, versions load at once.
    pub weight_store: Option<SocketAddr>,
}

impl EngineSettings {
    /// Creates settings for an engine that generates 16 tokens at once,
    /// with fencing and without loaded versions.
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

/// A running engine. Its shared methods are those of [`Server`].
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
        let work = EngineWork {
            core: Arc::new(core),
            timing: Timing {
                first_token: settings.time_to_first_token,
                between_tokens: settings.inter_token_latency,
                batch_slowdown_percent: settings.batch_slowdown_percent,
            },
            answer_tokens: settings.output_tokens,
            cache: Mutex::new(cache),
            checks_fencing: settings.checks_fencing,
            initial: settings.model_versions,
            desired: Arc::default(),
            store: settings.weight_store,
            client: reqwest::Client::new(),
        };
        work.restarted();
        Server::start(Arc::new(work)).await.map(Engine)
    }
}

impl Deref for Engine {
    type Target = Server;

    fn deref(&self) -> &Server {
        &self.0
    }
}

struct EngineWork {
    core: Arc<Core>,
    timing: Timing,
    answer_tokens: u32,
    cache: Mutex<PrefixCache>,
    checks_fencing: bool,
    initial: Vec<ModelVersionName>,
    desired: Arc<Mutex<Desired>>,
    store: Option<SocketAddr>,
    client: reqwest::Client,
}

/// The versions the engine was ordered to have.
#[derive(Debug, Default)]
struct Desired {
    versions: Vec<ModelVersionName>,
    loading: Vec<ModelVersionName>,
}

#[async_trait]
impl Work for EngineWork {
    fn core(&self) -> &Arc<Core> {
        &self.core
    }

    fn check(&self, run: &RunRequest, _key: Option<&str>) -> Check {
        if let Some(version) = &run.model_version
            && !lock(&self.core.model_versions).contains(version)
        {
            return Check::NotRun(format!("{version} is not loaded"));
        }
        let input = run.input.get();
        let foreign =
            run.resume_tokens.iter().zip(0..).any(|(token, index)| {
                **token != *output::token_text(input, index)
            });
        if foreign {
            let cause = "the tokens to resume from are not of this input";
            return Check::Conflict(cause.to_owned());
        }
        Check::Run
    }

    async fn execute(&self, job: Job, link: Link, res: &mut Response) {
        if link.plan.has(Fault::DropBeforeFirstByte { runs: true }) {
            link.cut().await;
        }
        let late = link.plan.late();
        if !late.is_zero() {
            tokio::time::sleep(late).await;
        }
        let hashes = output::prefix_hashes(job.run.input.get());
        let cached = lock(&self.cache).use_prefixes(&hashes, Instant::now());
        let mut timing = self.timing;
        timing.first_token = shortened(timing.first_token, cached, &hashes);
        let total = job.run.max_tokens.unwrap_or(u32::MAX);
        let total = total.min(self.answer_tokens);
        let core = self.core.clone();
        let generation = Generation::new(core, job, link, timing, total);
        res.headers_mut().insert(
            CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        res.body(ResBody::stream(generation.into_stream()));
    }

    async fn call(&self, req: &mut Request, res: &mut Response) {
        let path = req.uri().path();
        if path == "/v1/cache-events" {
            let after = reply::query_number(req, "after").unwrap_or(0);
            let now = Instant::now();
            let events = lock(&self.cache).events_after(after, now);
            return reply::json(res, &events);
        }
        if path != "/v1/orders" || req.method() != Method::POST {
            let cause = "no such call";
            return reply::status(res, StatusCode::NOT_FOUND, cause);
        }
        let body = reply::body(req).await.unwrap_or_default();
        match serde_json::from_slice::<Order>(&body) {
            Ok(order) => reply::json(res, &self.order(order)),
            Err(error) => {
                let cause = error.to_string();
                reply::status(res, StatusCode::BAD_REQUEST, &cause);
            }
        }
    }

    fn restarted(&self) {
        lock(&self.cache).clear();
        let mut desired = lock(&self.desired);
        desired.versions.clone_from(&self.initial);
        desired.loading.clear();
        lock(&self.core.model_versions).clone_from(&self.initial);
    }
}

impl EngineWork {
    fn order(&self, order: Order) -> OrderResponse {
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

    /// Unloads what is no longer wanted and starts to load what is missing.
    fn set_versions(&self, versions: Vec<ModelVersionName>) {
        let mut desired = lock(&self.desired);
        let mut loaded = lock(&self.core.model_versions);
        loaded.retain(|version| versions.contains(version));
        for version in &versions {
            if loaded.contains(version) || desired.loading.contains(version) {
                continue;
            }
            let Some(store) = self.store else {
                loaded.push(version.clone());
                continue;
            };
            desired.loading.push(version.clone());
            self.core.spawn(load(
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

/// Loads one version, unless it is no longer wanted at the end.
async fn load(
    core: Arc<Core>,
    desired: Arc<Mutex<Desired>>,
    client: reqwest::Client,
    url: String,
    version: ModelVersionName,
) {
    loop {
        let complete = download(&client, &url).await;
        {
            let mut desired = lock(&desired);
            let wanted = desired.versions.contains(&version);
            if complete || !wanted {
                desired.loading.retain(|loading| *loading != version);
                if wanted {
                    lock(&core.model_versions).push(version);
                }
                return;
            }
        }
        log::warn!("standins: {} can't load {version}", core.name);
        tokio::time::sleep(DOWNLOAD_RETRY).await;
    }
}

/// Returns whether the download is complete.
async fn download(client: &reqwest::Client, url: &str) -> bool {
    let response = client.get(url).send().await;
    match response.and_then(reqwest::Response::error_for_status) {
        Ok(response) => response.bytes().await.is_ok(),
        Err(_) => false,
    }
}

/// Shortens the time to the first token by the cached part of the prompt.
fn shortened(time: Duration, cached: usize, hashes: &[u64]) -> Duration {
    // An input has a few dozen prefixes at most.
    let part = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    let saved = time * CACHE_SAVING_PERCENT / 100;
    let saved = saved * part(cached) / part(hashes.len()).max(1);
    time.saturating_sub(saved)
}
