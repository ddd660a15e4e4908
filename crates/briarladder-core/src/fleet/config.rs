//! The published configuration: routes, services, limits and workspaces.
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//!
//! use briarladder_core::fleet::config::{Route, RouteTable};
//!
//! let table = RouteTable::new(vec![
//!     Route::new("all", "shop.example", "/"),
//!     Route::new("plans", "shop.example", "/plans/"),
//! ]);
//! let route = table.find("shop.example", "/plans/7").unwrap();
//! assert_eq!(&*route.name, "plans");
//! ```

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::sorted::SortedMap;

use super::residency::AllowedRegions;

/// One published configuration, indexed for requests.
#[derive(Clone, Debug, Default)]
pub struct FleetConfig {
    /// Increases with each change, not necessarily by one.
    pub version: u64,
    /// The routes, indexed by host and prefix.
    pub routes: RouteTable,
    /// The services by name.
    pub services: SortedMap<Arc<str>, Service>,
    /// Limits on what a caller may send.
    pub limits: CallerLimits,
    /// The workspaces by API key; `None` if callers need no key.
    pub workspaces_by_key: Option<SortedMap<Arc<str>, Workspace>>,
}

impl FleetConfig {
    /// Returns whether some requests may be served in some regions only.
    #[must_use]
    pub fn binds_regions(&self) -> bool {
        let keys = self.workspaces_by_key.as_ref();
        self.routes.iter().any(|route| !route.allowed_regions.is_any())
            || keys.is_some_and(|keys| {
                keys.values().any(|w| !w.allowed_regions.is_any())
            })
    }
}

/// The workspace of an API key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// The name that is sent to backend servers.
    pub name: Arc<str>,
    /// Its rank, which overrides the rank of the route.
    pub rank: Option<u8>,
    /// The regions in which its requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a request head to its last one.
    pub header_timeout: Duration,
    /// Maximum idle time between two requests of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Whether requests of a route may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// The response is an event stream. The request runs at most once unless
    /// the stream is resumable.
    Stream {
        /// Whether another server may continue the stream after a failure.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        match self {
            RouteKind::Idempotent | RouteKind::Stream { resumable: true } => {
                true
            }
            RouteKind::NonIdempotent
            | RouteKind::Stream { resumable: false } => false,
        }
    }

    /// Returns whether another server may continue a response that broke off.
    #[must_use]
    pub fn is_resumable(self) -> bool {
        matches!(self, RouteKind::Stream { resumable: true })
    }

    /// Returns whether the response is an event stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A weighted share of a route's requests for one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Split {
    /// The service.
    pub service: Arc<str>,
    /// Its weight relative to the other splits of the route.
    pub weight: u32,
}

/// A stage: work that must be done before the request itself can run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StageSpec {
    /// The service that runs it.
    pub service: Arc<str>,
    /// Positions of the stages whose results it needs.
    pub after: Vec<usize>,
    /// Expected size of one result.
    pub result_bytes: u64,
}

/// A route: which services handle the requests of a host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: Arc<str>,
    /// The host.
    pub host: Arc<str>,
    /// The path prefix; it ends with a slash.
    pub prefix: Arc<str>,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// The time after which a request fails.
    pub timeout: Duration,
    /// Target response time; for a stream, the target time to its first event.
    /// A later response has less value.
    pub target_latency: Duration,
    /// Target gap between two events of a stream. A longer gap lowers its
    /// value.
    pub target_gap: Duration,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The services and their weights.
    pub splits: Vec<Split>,
    /// The maximum number of servers that may run one attempt of a caller.
    pub max_attempts: u32,
    /// The stages that precede the request itself.
    pub stages: Vec<StageSpec>,
    /// Whether callers need no API key.
    pub allow_anonymous: bool,
    /// The regions in which its requests may be served.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// Creates an idempotent route to a service with the name of the route.
    #[must_use]
    pub fn new(name: &str, host: &str, prefix: &str) -> Route {
        Route {
            name: Arc::from(name),
            host: Arc::from(host),
            prefix: Arc::from(prefix),
            kind: RouteKind::Idempotent,
            timeout: Duration::from_secs(5),
            target_latency: Duration::from_secs(1),
            target_gap: Duration::ZERO,
            rank: 0,
            splits: vec![Split { service: Arc::from(name), weight: 1 }],
            max_attempts: 1,
            stages: Vec::new(),
            allow_anonymous: false,
            allowed_regions: AllowedRegions::any(),
        }
    }

    /// Returns how long callers wait for the response head. Callers of a
    /// stream disconnect earlier than the timeout if nothing arrives.
    #[must_use]
    pub fn response_head_timeout(&self) -> Duration {
        if !self.kind.is_stream() {
            return self.timeout;
        }
        let by_target = self.target_latency * DISCONNECT_AFTER_TARGETS;
        let by_gap = self.target_gap * DISCONNECT_AFTER_GAPS;
        DISCONNECT_AFTER.max(by_target).max(by_gap).min(self.timeout)
    }

    /// Selects a service by weight. `random` is a random number that a request
    /// keeps for its whole life, so that its retries stay with the same
    /// service.
    #[must_use]
    pub fn select_service(&self, random: u64) -> Option<&Arc<str>> {
        let total: u64 =
            self.splits.iter().map(|split| u64::from(split.weight)).sum();
        if total == 0 {
            return self.splits.first().map(|split| &split.service);
        }
        let mut remaining = random % total;
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if remaining < weight {
                return Some(&split.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// Routes, looked up by host and longest path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: SortedMap<Arc<str>, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Indexes routes by host and prefix.
    #[must_use]
    pub fn new(routes: Vec<Route>) -> RouteTable {
        let mut hosts: SortedMap<Arc<str>, Vec<Arc<Route>>> = SortedMap::new();
        for route in routes {
            hosts
                .get_or_insert_with(Arc::clone(&route.host), Vec::new)
                .push(Arc::new(route));
        }
        for (_, routes) in hosts.iter_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        RouteTable { hosts }
    }

    /// Returns the route of a host with the longest matching path prefix.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&*route.prefix))
    }

    /// Iterates over the routes, ordered by host.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Callers of a stream disconnect when nothing arrives for the longest of this
/// time, this many target latencies and this many target gaps.
const DISCONNECT_AFTER: Duration = Duration::from_secs(2);
const DISCONNECT_AFTER_TARGETS: u32 = 4;
const DISCONNECT_AFTER_GAPS: u32 = 8;

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// What its servers do.
    pub work: ServiceWork,
    /// What its servers tolerate after their start; `None` if they take all
    /// requests at once.
    pub cold_start: Option<ColdStartSpec>,
}

/// What a server tolerates after its start, while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartSpec {
    /// How long a server is cold after it has started under load.
    pub duration: Duration,
    /// The requests a second that a cold server tolerates.
    pub requests_per_s: f64,
}

/// What the servers of a service do.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceWork {
    /// They answer requests, as model engines and plain services do.
    Requests,
    /// They process pieces of a stage, several in one call.
    Pieces(PieceServerSpec),
}

/// Capacity and cost of one server that processes pieces of a stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PieceServerSpec {
    /// Calls that it runs concurrently.
    pub slots: u32,
    /// Maximum number of pieces in one call.
    pub max_batch: usize,
    /// Time of a call without its pieces.
    pub call_overhead: Duration,
    /// Additional time for each piece.
    pub time_per_piece: Duration,
    /// Memory for results in bytes.
    pub result_capacity_bytes: u64,
    /// How long a result is kept after its call.
    pub result_lifetime: Duration,
    /// Bandwidth of the server's network link.
    pub link_bytes_per_ms: u64,
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a shorter prefix that is matched instead of a longer
    /// one.
    #[test]
    fn find_longest_prefix() {
        let table = RouteTable::new(vec![
            Route::new("short", "a.example", "/x/"),
            Route::new("long", "a.example", "/x/y/"),
            Route::new("other", "b.example", "/x/y/z/"),
        ]);
        let name = |path: &str| {
            table.find("a.example", path).map(|route| route.name.to_string())
        };
        assert_eq!(name("/x/y/z/1").as_deref(), Some("long"));
        assert_eq!(name("/x/q").as_deref(), Some("short"));
        assert_eq!(name("/x"), None);
        assert_eq!(table.len(), 3);
    }

    /// Guards against work for callers that have already disconnected from a
    /// stream.
    #[test]
    fn response_head_timeout_by_kind() {
        let mut route = Route::new("r", "a", "/");
        route.timeout = Duration::from_secs(8);
        route.target_latency = Duration::from_millis(1200);
        assert_eq!(route.response_head_timeout(), route.timeout);
        route.kind = RouteKind::Stream { resumable: false };
        assert_eq!(route.response_head_timeout(), Duration::from_millis(4800));
        route.target_latency = Duration::from_millis(100);
        route.target_gap = Duration::from_millis(300);
        assert_eq!(route.response_head_timeout(), Duration::from_millis(2400));
    }

    /// Guards against traffic splits that don't follow the weights.
    #[test]
    fn select_service_weights() {
        let mut route = Route::new("r", "a", "/");
        route.splits = vec![
            Split { service: Arc::from("a"), weight: 3 },
            Split { service: Arc::from("b"), weight: 1 },
        ];
        let of_a = (0..400)
            .filter(|&random| &**route.select_service(random).unwrap() == "a")
            .count();
        assert_eq!(of_a, 300);
    }
}
