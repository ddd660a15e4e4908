//! Counters and latency histograms in Prometheus text format.

use std::{cell::RefCell, fmt, sync::atomic::AtomicU64, time::Duration};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter, family::Family, gauge::Gauge, histogram::Histogram,
    },
    registry::{Metric, Registry},
};

use crate::{
    caller_memory::CallerMemoryStatus, connection_end::UnansweredLabels,
};

/// Upper bounds of the latency buckets in seconds. They cover the range from a
/// fast response of a plain service to the longest deadline.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0, 12.0];

/// Labels of the counter of requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// The route.
    pub route: String,
    /// The outcome, as in the request's log line.
    pub outcome: &'static str,
}

/// Labels of a counter of one service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceLabels {
    /// The service.
    pub service: String,
    /// The outcome of an attempt or call.
    pub outcome: &'static str,
}

/// Labels of the counter of relayed connections.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RelayLabels {
    /// What came of the connection, as in its log line.
    pub outcome: String,
}

/// Labels of a histogram of one route.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RouteLabels {
    /// The route.
    pub route: String,
}

/// Metrics of the connections that daemons open to servers for each other.
pub struct RelayMetrics {
    /// Connections that other daemons asked this one for, by outcome.
    pub served: Family<RelayLabels, Counter>,
    /// Connections that are open for other daemons.
    pub open: Gauge,
    /// Connections that this daemon asked others for, by outcome.
    pub requested: Family<RelayLabels, Counter>,
    /// 1 while this daemon reaches no server itself, else 0.
    pub cut_off: Gauge,
}

impl RelayMetrics {
    fn register(registry: &mut Registry) -> RelayMetrics {
        RelayMetrics {
            served: register(
                registry,
                "relays",
                "Connections to servers that other daemons asked for",
            ),
            open: register(
                registry,
                "relayed_connections",
                "Connections to servers that are open for other daemons",
            ),
            requested: register(
                registry,
                "relay_requests",
                "Connections to servers that other daemons were asked for",
            ),
            cut_off: register(
                registry,
                "cut_off",
                "Whether this daemon reaches no server itself",
            ),
        }
    }
}

/// The metrics of a process.
pub struct Metrics {
    registry: RefCell<Registry>,
    /// Requests of callers by route and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Seconds from the arrival of a request to the response head.
    pub first_byte: Family<RouteLabels, Histogram>,
    /// Attempts to send a request to a backend server, by service and outcome.
    pub sends: Family<ServiceLabels, Counter>,
    /// Sends to a second server while the first one was slow, by service and
    /// by what came of them: `sent` and `won`, or the reason against one.
    pub extra_sends: Family<ServiceLabels, Counter>,
    /// Streams that callers took up by service, and whether the version that
    /// began them was found.
    pub take_ups: Family<ServiceLabels, Counter>,
    /// Pieces of stages by service and outcome.
    pub pieces: Family<ServiceLabels, Counter>,
    /// Calls to the store by outcome.
    pub store_calls: Family<ServiceLabels, Counter>,
    /// Restores of the store from a copy that this daemon has seen.
    pub store_restores: Counter,
    /// Connections of callers that ended with received bytes unanswered or an
    /// answer unwritten, by cause.
    pub unanswered: Family<UnansweredLabels, Counter>,
    /// Requests in progress.
    pub open_requests: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Daemons that this one considers live.
    pub live_daemons: Gauge,
    /// Requests and prompt parts that are refused because servers crash.
    pub refused_features: Gauge,
    /// Servers that limit their requests.
    pub limited_servers: Gauge,
    /// Routes, workspaces and pairs of them that no region may serve.
    pub unservable: Gauge,
    /// Zones whose servers get no new work.
    pub evacuated_zones: Gauge,
    /// Servers that have started a short while ago and tolerate few requests.
    pub cold_servers: Gauge,
    /// Requests that got a place at a server that was cold.
    pub cold_sends: Counter,
    /// How often another server was chosen for lack of such a place.
    pub cold_skips: Counter,
    /// Connections that daemons open to servers for each other.
    pub relay: RelayMetrics,
    /// Bytes that are held for callers.
    pub caller_bytes: Gauge,
    /// Open connections of callers.
    pub caller_connections: Gauge,
    /// Callers that were turned away since the memory for them was used up.
    pub turned_away_for_memory: Gauge<u64, AtomicU64>,
    /// Connections that were closed to make room for others.
    pub turned_away_for_connections: Gauge<u64, AtomicU64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let mut whole = Registry::with_prefix("briarladder");
        let registry = &mut whole;
        let first_byte = register_first_byte(registry);
        Metrics {
            requests: register(registry, "requests", "Requests by outcome"),
            sends: register(registry, "sends", "Sends to servers"),
            extra_sends: register(
                registry,
                "extra_sends",
                "Sends to a second server beside a slow one",
            ),
            take_ups: register(registry, "take_ups", "Streams taken up"),
            pieces: register(registry, "pieces", "Pieces of stages"),
            store_calls: register(
                registry,
                "store_calls",
                "Calls to the store",
            ),
            store_restores: register(
                registry,
                "store_restores",
                "Restores of the store from a copy",
            ),
            unanswered: register(
                registry,
                "unanswered",
                "Connections that ended with a request unanswered or an answer \
                 unwritten",
            ),
            open_requests: register(
                registry,
                "open_requests",
                "Requests in progress",
            ),
            config_version: register(
                registry,
                "config_version",
                "Version in force",
            ),
            live_daemons: register(registry, "live_daemons", "Live daemons"),
            refused_features: register(
                registry,
                "refused_features",
                "Requests and prompt parts refused because servers crash",
            ),
            limited_servers: register(
                registry,
                "limited_servers",
                "Servers that limit their requests",
            ),
            unservable: register(
                registry,
                "unservable",
                "Routes, workspaces and pairs of them that no region may serve",
            ),
            evacuated_zones: register(
                registry,
                "evacuated_zones",
                "Zones whose servers get no new work",
            ),
            cold_servers: register(
                registry,
                "cold_servers",
                "Servers that tolerate few requests after their start",
            ),
            cold_sends: register(
                registry,
                "cold_sends",
                "Requests to servers that were cold",
            ),
            cold_skips: register(
                registry,
                "cold_skips",
                "Cold servers passed over for lack of a place",
            ),
            relay: RelayMetrics::register(registry),
            caller_bytes: register(
                registry,
                "caller_bytes",
                "Bytes held for callers",
            ),
            caller_connections: register(
                registry,
                "caller_connections",
                "Open connections of callers",
            ),
            turned_away_for_memory: register(
                registry,
                "turned_away_for_memory",
                "Callers turned away because their memory is used up",
            ),
            turned_away_for_connections: register(
                registry,
                "turned_away_for_connections",
                "Connections closed to make room for others",
            ),
            first_byte,
            registry: RefCell::new(whole),
        }
    }
}

fn register_first_byte(
    registry: &mut Registry,
) -> Family<RouteLabels, Histogram> {
    let first_byte = Family::new_with_constructor(
        (|| Histogram::new(LATENCY_BUCKETS_S)) as fn() -> Histogram,
    );
    registry.register(
        "first_byte_seconds",
        "Time to the head of the answer",
        first_byte.clone(),
    );
    first_byte
}

/// Creates a metric and registers it.
fn register<M: Metric + Clone + Default>(
    registry: &mut Registry,
    name: &str,
    help: &str,
) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

impl Metrics {
    /// Counts a finished request. `first_byte` is the time to its response
    /// head, if there was one.
    pub fn request_ended(
        &self,
        route: &str,
        outcome: &'static str,
        first_byte: Option<Duration>,
    ) {
        let labels = RequestLabels { route: route.to_owned(), outcome };
        self.requests.get_or_create(&labels).inc();
        if let Some(time) = first_byte {
            let labels = RouteLabels { route: route.to_owned() };
            self.first_byte.get_or_create(&labels).observe(time.as_secs_f64());
        }
    }

    /// Increments a counter of a service and outcome.
    pub fn count(
        family: &Family<ServiceLabels, Counter>,
        service: &str,
        outcome: &'static str,
    ) {
        let labels = ServiceLabels { service: service.to_owned(), outcome };
        family.get_or_create(&labels).inc();
    }

    /// Sets what callers make the process hold.
    pub fn set_callers(&self, status: CallerMemoryStatus) {
        let count = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.caller_bytes.set(count(status.held_bytes));
        self.caller_connections.set(count(status.connections));
        self.turned_away_for_memory.set(status.turned_away_for_memory);
        let for_connections = status.turned_away_for_connections;
        self.turned_away_for_connections.set(for_connections);
    }

    /// Returns all metrics in Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry.borrow()) {
            log::error!("metrics: encoding failed: {error}");
        }
        text
    }
}
