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

/// One published configuration, indexed for requests.
#[derive(Clone, Debug, Default)]
pub struct FleetConfig {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// The routes, indexed by host and prefix.
    pub routes: RouteTable,
    /// The services by name.
    pub services: SortedMap<Arc<str>, Service>,
    /// Limits on what a caller may send.
    pub limits: CallerLimits,
    /// The workspaces by key; `None` if callers need no key.
    pub keys: Option<SortedMap<Arc<str>, Workspace>>,
}

/// A workspace, as one of its keys names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// The name that backend servers are told.
    pub name: Arc<str>,
    /// Its rank, which replaces that of the route.
    pub rank: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The longest request head in bytes.
    pub max_header_bytes: usize,
    /// The longest request body in bytes.
    pub max_body_bytes: usize,
    /// The longest time between two requests of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// A stream of events; runs at most once unless it may be resumed.
    Stream {
        /// Whether another server may continue the stream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        match self {
            RouteKind::Idempotent | RouteKind::Stream { resumable: true } => {
                true
            }
            RouteKind::NonIdempotent
            | RouteKind::Stream { resumable: false } => false,
        }
    }

    /// Returns whether another server may go on with an answer that broke
    /// off.
    #[must_use]
    pub fn is_resumable(self) -> bool {
        matches!(self, RouteKind::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A share of a route's requests for one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Split {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the splits of the route.
    pub weight: u32,
}

/// Work that is done before a request can run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StageSpec {
    /// The service that does it.
    pub service: Arc<str>,
    /// The positions of the stages whose results it needs.
    pub after: Vec<usize>,
    /// The expected size of one result.
    pub result_bytes: u64,
}

/// Where the requests of a host and path go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: Arc<str>,
    /// The host.
    pub host: Arc<str>,
    /// The prefix of the path; it ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request is kept.
    pub timeout: Duration,
    /// The time within which an answer has its full value.
    pub target: Duration,
    /// The longest pause between events of a stream with full value.
    pub target_gap: Duration,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The services, with weights.
    pub splits: Vec<Split>,
    /// The most servers that may run one attempt of a caller.
    pub max_attempts: u32,
    /// The stages before the request itself.
    pub stages: Vec<StageSpec>,
    /// Whether callers need no key.
    pub anonymous: bool,
}

impl Route {
    /// Creates an idempotent route to a service of the route's name.
    #[must_use]
    pub fn new(name: &str, host: &str, prefix: &str) -> Route {
        Route {
            name: Arc::from(name),
            host: Arc::from(host),
            prefix: Arc::from(prefix),
            kind: RouteKind::Idempotent,
            timeout: Duration::from_secs(5),
            target: Duration::from_secs(1),
            target_gap: Duration::ZERO,
            rank: 0,
            splits: vec![Split { service: Arc::from(name), weight: 1 }],
            max_attempts: 1,
            stages: Vec::new(),
            anonymous: false,
        }
    }

    /// Returns how long callers wait for the head of an answer: those of a
    /// stream leave when nothing comes for a while.
    #[must_use]
    pub fn head_patience(&self) -> Duration {
        if !self.kind.is_stream() {
            return self.timeout;
        }
        let by_target = self.target * LEAVE_AFTER_TARGETS;
        let by_gap = self.target_gap * LEAVE_AFTER_GAPS;
        LEAVE_AFTER.max(by_target).max(by_gap).min(self.timeout)
    }

    /// Returns the service for a point of the weights. A request uses one
    /// point for its whole life, so that repetitions stay with the service.
    #[must_use]
    pub fn service_at(&self, point: u64) -> Option<&Arc<str>> {
        let total: u64 =
            self.splits.iter().map(|split| u64::from(split.weight)).sum();
        if total == 0 {
            return self.splits.first().map(|split| &split.service);
        }
        let mut rest = point % total;
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if rest < weight {
                return Some(&split.service);
            }
            rest -= weight;
        }
        None
    }
}

/// Routes by host and longest prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: SortedMap<Arc<str>, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Indexes routes.
    #[must_use]
    pub fn new(routes: Vec<Route>) -> RouteTable {
        let mut hosts: SortedMap<Arc<str>, Vec<Arc<Route>>> = SortedMap::new();
        for route in routes {
            hosts
                .entry_or_insert_with(Arc::clone(&route.host), Vec::new)
                .push(Arc::new(route));
        }
        for (_, routes) in hosts.iter_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        RouteTable { hosts }
    }

    /// Returns the route of a host with the longest prefix of the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&*route.prefix))
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

/// Callers of a stream leave when nothing comes for the longest of this time,
/// this many targets and this many of the longest pauses.
const LEAVE_AFTER: Duration = Duration::from_secs(2);
const LEAVE_AFTER_TARGETS: u32 = 4;
const LEAVE_AFTER_GAPS: u32 = 8;

/// A group of backend servers that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// What kind of server it is.
    pub work: ServiceWork,
}

/// What the servers of a service do.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceWork {
    /// Answers requests, as model engines and plain services do.
    Requests,
    /// Makes pieces of a stage, several in one call.
    Pieces(PieceSpec),
}

/// The capacity and cost of one server that makes pieces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PieceSpec {
    /// Calls that it works on at once.
    pub slots: u32,
    /// The most pieces of one call.
    pub batch: usize,
    /// The time of a call without its pieces.
    pub call: Duration,
    /// The additional time of a piece.
    pub item: Duration,
    /// The room for results.
    pub room_bytes: u64,
    /// How long a result lasts after its call.
    pub result_lifetime: Duration,
    /// What the link of the server carries.
    pub link_bytes_per_ms: u64,
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a shorter prefix that hides a longer one.
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

    /// Guards against work for callers of a stream that have left.
    #[test]
    fn head_patience_by_kind() {
        let mut route = Route::new("r", "a", "/");
        route.timeout = Duration::from_secs(8);
        route.target = Duration::from_millis(1200);
        assert_eq!(route.head_patience(), route.timeout);
        route.kind = RouteKind::Stream { resumable: false };
        assert_eq!(route.head_patience(), Duration::from_millis(4800));
        route.target = Duration::from_millis(100);
        route.target_gap = Duration::from_millis(300);
        assert_eq!(route.head_patience(), Duration::from_millis(2400));
    }

    /// Guards against splits that don't follow the weights.
    #[test]
    fn service_at_weights() {
        let mut route = Route::new("r", "a", "/");
        route.splits = vec![
            Split { service: Arc::from("a"), weight: 3 },
            Split { service: Arc::from("b"), weight: 1 },
        ];
        let of_a = (0..400)
            .filter(|&point| &**route.service_at(point).unwrap() == "a")
            .count();
        assert_eq!(of_a, 300);
    }
}
