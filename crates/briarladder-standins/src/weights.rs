//! A stand-in for the weight store, with a rate limit over all downloads.
//!
//! `GET /v1/weights/{version}` answers when the download would be complete;
//! the weights themselves are not sent. Downloads share the rate in order
//! of arrival.
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
    listener::{Cutter, Listener},
    reply,
    server::lock,
};

/// Settings of a [`WeightStore`].
#[derive(Clone, Debug)]
pub struct WeightStoreSettings {
    /// The port on 127.0.0.1; 0 for a free one.
    pub port: u16,
    /// The rate over all downloads, in bytes per second, at least 1.
    pub rate_bytes_per_s: u64,
    /// The stored weights.
    pub weights: Vec<Weights>,
}

impl Default for WeightStoreSettings {
    fn default() -> WeightStoreSettings {
        let weights = Vec::new();
        WeightStoreSettings { port: 0, rate_bytes_per_s: 1 << 30, weights }
    }
}

/// The weights of one model version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Weights {
    /// The version.
    pub version: ModelVersionName,
    /// The size in bytes.
    pub size_bytes: u64,
}

/// A running weight store.
#[derive(Debug)]
pub struct WeightStore {
    store: Arc<Store>,
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
        let store = Arc::new(Store {
            rate_bytes_per_s: settings.rate_bytes_per_s.max(1),
            sizes: sorted,
            free_at: Mutex::new(Instant::now()),
            downloads: AtomicU64::new(0),
        });
        let entry = Entry(store.clone());
        let listener =
            Listener::start(settings.port, Cutter::default(), entry).await?;
        Ok(WeightStore { store, listener })
    }

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the started downloads.
    #[must_use]
    pub fn downloads(&self) -> u64 {
        self.store.downloads.load(Ordering::Acquire)
    }

    /// Stops the store and cuts open downloads.
    pub async fn stop(&self) {
        self.listener.stop().await;
    }
}

#[derive(Debug)]
struct Store {
    rate_bytes_per_s: u64,
    sizes: SortedMap<ModelVersionName, u64>,
    free_at: Mutex<Instant>,
    downloads: AtomicU64,
}

impl Store {
    /// Reserves the rate for a download and returns its end.
    fn reserve(&self, size_bytes: u64) -> Instant {
        let time_ns = u128::from(size_bytes) * 1_000_000_000
            / u128::from(self.rate_bytes_per_s);
        let time_ns = u64::try_from(time_ns).unwrap_or(u64::MAX);
        let mut free_at = lock(&self.free_at);
        let start = (*free_at).max(Instant::now());
        *free_at = start + Duration::from_nanos(time_ns);
        *free_at
    }
}

struct Entry(Arc<Store>);

#[async_trait]
impl Handler for Entry {
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
            return reply::status(res, StatusCode::NOT_FOUND, cause);
        };
        self.0.downloads.fetch_add(1, Ordering::AcqRel);
        let end = self.0.reserve(weights.size_bytes);
        tokio::time::sleep_until(end).await;
        reply::json(res, &weights);
    }
}
