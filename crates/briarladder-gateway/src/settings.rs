//! The settings of a gateway, independent of the platform.
//!
//! The platform's adapter reads them from the platform's settings file.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::{
        budget::RetryBudgetConfig, cold_start::ColdStartBound,
        placement::Regions,
    },
    sorted::SortedMap,
};

/// The settings that a gateway starts with.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The name of the VM.
    pub vm: Arc<str>,
    /// The availability zone of the VM.
    pub zone: Arc<str>,
    /// The region of each availability zone.
    pub regions: SortedMap<Arc<str>, Arc<str>>,
    /// The address that callers connect to.
    pub callers_address: SocketAddr,
    /// The address of the readiness endpoint.
    pub readiness_address: SocketAddr,
    /// The address that other daemons connect to.
    pub peers_address: SocketAddr,
    /// The address of the metrics endpoint.
    pub metrics_address: SocketAddr,
    /// Whether the whole fleet starts for the first time, so that it has served
    /// nothing before.
    pub is_first_start: bool,
    /// Peer addresses of some daemons to contact first; they may be out of
    /// date.
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The longest time until a leaving server gets no new requests. `None` if
    /// the platform sets no such bound.
    pub max_drain_delay: Option<Duration>,
    /// The longest time until a configuration is in force. `None` if the
    /// platform sets no such bound.
    pub max_config_delay: Option<Duration>,
    /// The longest time until an evacuated zone gets no new requests. `None`
    /// if the platform sets no such bound.
    pub max_evacuation_delay: Option<Duration>,
    /// How far the requests to a cold server may exceed what it tolerates.
    /// `None` if the platform sets no such bound.
    pub cold_start_bound: Option<ColdStartBound>,
    /// The memory of the process in bytes; exceeding it ends the process.
    /// `None` if the platform names none.
    pub memory_bytes: Option<u64>,
    /// The file descriptors of the process. `None` if the platform names no
    /// limit.
    pub max_descriptors: Option<u64>,
    /// The longest duration of a graceful shutdown.
    pub shutdown_grace_period: Duration,
    /// The retry budget of each service, shared by the whole fleet.
    pub retry_budget: RetryBudgetConfig,
    /// Sends to a second server while a first one is slow, for each request;
    /// 0 if operators allow none.
    pub extra_send_ratio: f64,
}

/// The change bound if the platform sets none.
const DEFAULT_CHANGE_BOUND: Duration = Duration::from_millis(2500);

impl GatewaySettings {
    /// Returns the longest time until this daemon acts on a change that the
    /// store has acknowledged. All kinds of changes take the same path, so the
    /// strictest bound applies to all of them.
    #[must_use]
    pub fn max_change_delay(&self) -> Duration {
        let bounds = [
            self.max_drain_delay,
            self.max_config_delay,
            self.max_evacuation_delay,
        ];
        bounds.into_iter().flatten().min().unwrap_or(DEFAULT_CHANGE_BOUND)
    }

    /// Returns the regions in the form that placement uses.
    #[must_use]
    pub fn region_map(&self) -> Regions {
        Regions::new(self.regions.clone())
    }
}
