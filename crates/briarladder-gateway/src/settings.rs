//! The settings of a gateway, in the product's own words.
//!
//! The adapter of a platform fills them from the platform's settings file.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::{budget::RetryBudgetConfig, placement::Regions},
    sorted::SortedMap,
};

/// What a gateway knows at its start.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The name of the VM.
    pub vm: Arc<str>,
    /// The availability zone of the VM.
    pub zone: Arc<str>,
    /// The regions of all zones.
    pub regions: SortedMap<Arc<str>, Arc<str>>,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where readiness is told.
    pub readiness: SocketAddr,
    /// Where peers are served.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Peer addresses of some daemons; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The longest time until a server that leaves gets no new work, if the
    /// platform names one.
    pub leaving_bound: Option<Duration>,
    /// The longest time until a configuration is in force, if the platform
    /// names one.
    pub config_bound: Option<Duration>,
    /// The longest time of a planned stop.
    pub stop_grace: Duration,
    /// The retry budget of each service over the whole fleet.
    pub retry_budget: RetryBudgetConfig,
}

/// The bound for changes of a platform that names none.
const DEFAULT_CHANGE_BOUND: Duration = Duration::from_millis(2500);

impl GatewaySettings {
    /// Returns the longest time until this daemon acts on a change that the
    /// store has acknowledged. All changes come the same way.
    #[must_use]
    pub fn change_bound(&self) -> Duration {
        let bounds = [self.leaving_bound, self.config_bound];
        bounds.into_iter().flatten().min().unwrap_or(DEFAULT_CHANGE_BOUND)
    }

    /// Returns the regions as placement reads them.
    #[must_use]
    pub fn region_map(&self) -> Regions {
        Regions::new(self.regions.clone())
    }
}
