//! A stand-in for the weight store, whose downloads share a rate limit.
//!
//! `GET /v1/weights/{version}` responds at the time at which the download
//! would be complete, without sending weights. Downloads run one after the
//! other in order of arrival.
//!
//! # Example
//!
//! ```
//! use briarladder_standins::weights::{WeightStore, WeightStoreSettings};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! let store = WeightStore::start(WeightStoreSettings::default()).await?;
//! assert_eq!(store.downloads(), 0);
//! store.stop().await;
//! # Ok(())
//! # }
//! ```

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use briarladder_core::{names::ModelVersionName, sorted::SortedMap};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    listener::{Listener, ListenerAborter},
    response,
    server::lock,
};

/// Settings for [`WeightStore::start`].
#[derive(Clone, Debug)]
pub struct WeightStoreSettings {
    /// The port on 127.0.0.1; 0 for a free one.
    pub port: u16,
    /// The total rate of all downloads, in bytes per second; by default
    /// 1 GiB/s. 0 counts as 1.
    pub rate_bytes_per_s: u64,
    /// The weights that can be downloaded.
    pub weights: Vec<Weights>,
}

impl Default for WeightStoreSettings {
    fn default() -> WeightStoreSettings {
        let weights = Vec::new();
        WeightStoreSettings { port: 0, rate_bytes_per_s: 1 << 30, weights }
    }
}

/// The weights of a model version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Weights {
    /// The model version.
    pub version: ModelVersionName,
    /// The size in bytes.
    pub size_bytes: u64,
}

/// A running weight store.
#[derive(Debug)]
pub struct WeightStore {
    inner: Arc<Inner>,
    listener: Listener,
}

impl WeightStore {
    /// Starts a weight store.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub async fn start(
        settings: WeightStoreSettings,
    ) -> io::Result<WeightStore> {
        let sizes = settings
            .weights
            .into_iter()
            .map(|weights| (weights.version, weights.size_bytes));
        let mut sorted = SortedMap::new();
        for (version, size_bytes) in sizes {
            sorted.insert(version, size_bytes);
        }
        let inner = Arc::new(Inner {
            rate_bytes_per_s: settings.rate_bytes_per_s.max(1),
            sizes: sorted,
            available_at: Mutex::new(Instant::now()),
            downloads: AtomicU64::new(0),
        });
        let handler = RequestHandler(inner.clone());
        let listener = Listener::start(
            settings.port,
            ListenerAborter::default(),
            handler,
        )
        .await?;
        Ok(WeightStore { inner, listener })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the number of started downloads.
    #[must_use]
    pub fn downloads(&self) -> u64 {
        self.inner.downloads.load(Ordering::Acquire)
    }

    /// Stops the store and aborts open downloads.
    pub async fn stop(&self) {
        self.listener.stop().await;
    }
}

#[derive(Debug)]
struct Inner {
    rate_bytes_per_s: u64,
    sizes: SortedMap<ModelVersionName, u64>,
    /// The end of the last scheduled download, at which the next can start.
    available_at: Mutex<Instant>,
    downloads: AtomicU64,
}

impl Inner {
    /// Schedules a download after the earlier ones and returns its end.
    fn reserve(&self, size_bytes: u64) -> Instant {
        let time_ns = u128::from(size_bytes) * 1_000_000_000
            / u128::from(self.rate_bytes_per_s);
        let time_ns = u64::try_from(time_ns).unwrap_or(u64::MAX);
        let mut available_at = lock(&self.available_at);
        let start = (*available_at).max(Instant::now());
        *available_at = start + Duration::from_nanos(time_ns);
        *available_at
    }
}

struct RequestHandler(Arc<Inner>);

#[async_trait]
impl Handler for RequestHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let version = req
            .uri()
            .path()
            .strip_prefix("/v1/weights/")
            .and_then(|name| ModelVersionName::new(name).ok());
        let stored = version.and_then(|version| {
            let size_bytes = *self.0.sizes.get(&version)?;
            Some(Weights { version, size_bytes })
        });
        let Some(weights) = stored else {
            let cause = "no such version";
            return response::status(res, StatusCode::NOT_FOUND, cause);
        };
        self.0.downloads.fetch_add(1, Ordering::AcqRel);
        let end = self.0.reserve(weights.size_bytes);
        tokio::time::sleep_until(end).await;
        response::json(res, &weights);
    }
}
