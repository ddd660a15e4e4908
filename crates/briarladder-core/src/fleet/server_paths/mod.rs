//! Decides whether a daemon opens connections to servers itself or through
//! another daemon.
//!
//! A daemon may lose its paths to some or all backend servers while callers,
//! the store and other daemons still reach it. A connection that can't be
//! opened doesn't tell whether the server or the path is at fault. If another
//! daemon reaches the server, it is the path, and connections to the server
//! are opened through other daemons until a probe succeeds. A daemon that
//! fails to reach servers of several services, and hears of no server
//! meanwhile, is cut off: it asks other daemons at once, also for servers that
//! it has not tried, and opens no connections for others.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::fleet::{
//!     server::ListedServer,
//!     server_paths::{ConnectFailure, ServerPaths, ServerRoute},
//! };
//!
//! let now = Instant::now();
//! let server = ListedServer::new("s-1", "plans", "10.0.0.1:80".parse()?);
//! let mut paths = ServerPaths::default();
//! assert_eq!(paths.route(now, &server), ServerRoute::Direct);
//! paths.record_failed(now, now, &server, ConnectFailure::Silent);
//! paths.record_relayed(now, &server);
//! assert_eq!(paths.route(now, &server), ServerRoute::Relay);
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod relay_limit;
mod relays;

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::SortedMap;

use super::server::{ListedServer, ServerState, Servers};

pub use {
    relay_limit::max_relayed_connections,
    relays::{RelayDecline, RelayTable},
};

/// Servers that can't be reached before a daemon may count as cut off.
const MIN_FAILED_SERVERS: usize = 3;

/// Servers that can't be reached before others are probed to find out whether
/// the daemon is cut off.
const MIN_SUSPECT_SERVERS: usize = 2;

/// How long a failure counts. Failed probes renew it.
const FAILURE_RETENTION: Duration = Duration::from_secs(5);

/// How often a server that can't be reached is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A server that another daemon has not reached either is down. Other daemons
/// are not asked again for it within this time.
const DOWN_RETENTION: Duration = Duration::from_secs(1);

/// Connections to so many servers that break within [`BREAK_WINDOW`] have lost
/// their path: the processes of servers do not end at the same moment.
const MIN_BROKEN_SERVERS: usize = 3;

/// Less than it takes a request that crashes servers to reach the next one.
const BREAK_WINDOW: Duration = Duration::from_millis(25);

/// Why a connection to a server could not be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectFailure {
    /// It was refused or reset: something answers at the address, and open
    /// connections may live on.
    Refused,
    /// There was no answer in time, so that open connections to the server
    /// that were last used before are not trusted.
    Silent,
}

impl ConnectFailure {
    /// Returns the kind of failure that an error stands for.
    #[must_use]
    pub fn of(error: &io::Error) -> ConnectFailure {
        match error.kind() {
            io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset => ConnectFailure::Refused,
            _ => ConnectFailure::Silent,
        }
    }
}

/// How to open a connection to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerRoute {
    /// From this daemon, and through another one if that fails.
    Direct,
    /// From this daemon only, since other daemons don't reach the server.
    DirectOnly,
    /// Through another daemon.
    Relay,
}

/// A server to which the last connection from this daemon failed.
#[derive(Clone, Debug)]
struct LostPath {
    service: Arc<str>,
    /// When the first attempt began that got no answer at all.
    silent_since: Option<Instant>,
    failed_at: Instant,
    /// When another daemon last reached the server.
    relayed_at: Option<Instant>,
    /// When another daemon didn't reach the server either.
    down_at: Option<Instant>,
    probed_at: Instant,
}

/// The paths of this daemon to the servers.
#[derive(Clone, Debug, Default)]
pub struct ServerPaths {
    lost: SortedMap<Arc<str>, LostPath>,
    /// When a server last answered on a connection from this daemon.
    answered_at: Option<Instant>,
    /// The number of services with a listed server.
    service_count: usize,
    /// The version of the listing that they were counted in.
    servers_version: Option<u64>,
    probed_unknown_at: Option<Instant>,
    /// Servers whose connections have just broken.
    broken: Vec<(Arc<str>, Instant)>,
}

impl ServerPaths {
    /// Returns how to open a connection to a server.
    #[must_use]
    pub fn route(&self, now: Instant, server: &ListedServer) -> ServerRoute {
        let lost = self.lost.get(&*server.name);
        let is_recent = |at: Instant, limit| now.duration_since(at) < limit;
        match lost {
            Some(LostPath { relayed_at: Some(at), .. })
                if is_recent(*at, FAILURE_RETENTION) =>
            {
                ServerRoute::Relay
            }
            _ if self.is_cut_off(now) => ServerRoute::Relay,
            Some(LostPath { down_at: Some(at), .. })
                if is_recent(*at, DOWN_RETENTION) =>
            {
                ServerRoute::DirectOnly
            }
            _ => ServerRoute::Direct,
        }
    }

    /// Returns whether this daemon has lost its paths to the servers: it has
    /// failed to reach several, of more than one service if there are more,
    /// and no server has answered it since.
    #[must_use]
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let mut services: Vec<&str> =
            self.failed_since_answer(now).map(|path| &*path.service).collect();
        let failed = services.len();
        services.sort_unstable();
        services.dedup();
        failed >= MIN_FAILED_SERVERS
            && services.len() >= self.service_count.clamp(1, 2)
    }

    /// Returns whether this daemon may be cut off, so that a refused
    /// connection doesn't show that the process of its server has ended.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.failed_since_answer(now).count() >= MIN_SUSPECT_SERVERS
    }

    /// Returns whether a server can't be reached although it may be running.
    #[must_use]
    pub fn is_lost(&self, now: Instant, server: &ListedServer) -> bool {
        self.route(now, server) == ServerRoute::Relay
    }

    /// Returns whether a server could not be reached a short while ago.
    #[must_use]
    pub fn has_failed(&self, now: Instant, server: &ListedServer) -> bool {
        self.lost.get(&*server.name).is_some_and(|path| {
            now.duration_since(path.failed_at) < PROBE_INTERVAL * 2
        })
    }

    fn failed_since_answer(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = &LostPath> {
        self.lost.values().filter(move |path| {
            now.duration_since(path.failed_at) < FAILURE_RETENTION
                && self.answered_at.is_none_or(|at| path.failed_at > at)
        })
    }

    /// Returns whether an open connection from this daemon to a server that
    /// was last used at `used_at` may be used. One that was used before a
    /// connection got no answer may be as silent.
    #[must_use]
    pub fn trusts_open(
        &self,
        now: Instant,
        server: &ListedServer,
        used_at: Instant,
    ) -> bool {
        let is_older =
            |path: &LostPath| path.silent_since.is_some_and(|at| used_at < at);
        if self.is_cut_off(now) {
            return !self.failed_since_answer(now).any(is_older);
        }
        !self.lost.get(&*server.name).is_some_and(is_older)
    }

    /// Records that an attempt to open a connection from this daemon, begun at
    /// `begun_at`, has failed.
    pub fn record_failed(
        &mut self,
        now: Instant,
        begun_at: Instant,
        server: &ListedServer,
        failure: ConnectFailure,
    ) {
        let silent_since =
            (failure == ConnectFailure::Silent).then_some(begun_at);
        let path =
            self.lost.get_or_insert_with(Arc::clone(&server.name), || {
                LostPath {
                    service: Arc::clone(&server.service),
                    silent_since,
                    failed_at: now,
                    relayed_at: None,
                    down_at: None,
                    probed_at: now,
                }
            });
        path.silent_since = path.silent_since.or(silent_since);
        path.failed_at = now;
        path.probed_at = now;
    }

    /// Records that a connection from this daemon was opened.
    pub fn record_opened(&mut self, now: Instant, server: &ListedServer) {
        self.lost.remove(&*server.name);
        self.record_answer(now);
    }

    /// Records that a server has answered on a connection from this daemon.
    pub fn record_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
    }

    /// Records that another daemon has opened a connection to a server for
    /// this one.
    pub fn record_relayed(&mut self, now: Instant, server: &ListedServer) {
        if let Some(path) = self.lost.get_mut(&*server.name) {
            path.relayed_at = Some(now);
            path.down_at = None;
        }
    }

    /// Records that another daemon doesn't reach a server either.
    pub fn record_down(&mut self, now: Instant, server: &ListedServer) {
        if let Some(path) = self.lost.get_mut(&*server.name) {
            path.relayed_at = None;
            path.down_at = Some(now);
        }
    }

    /// Records that a connection to a server broke while it ran a request.
    /// Returns whether the path is at fault, so that the end of the connection
    /// is no evidence against the request.
    pub fn record_broken(
        &mut self,
        now: Instant,
        server: &ListedServer,
    ) -> bool {
        let broken = &mut self.broken;
        broken.retain(|(name, at)| {
            now.duration_since(*at) < BREAK_WINDOW && *name != server.name
        });
        broken.push((Arc::clone(&server.name), now));
        broken.len() >= MIN_BROKEN_SERVERS || self.is_lost(now, server)
    }

    /// Forgets servers that are not listed any more, and those that have not
    /// been used for a while.
    pub fn update(&mut self, now: Instant, servers: &Servers) {
        if self.servers_version != Some(servers.change_count()) {
            self.servers_version = Some(servers.change_count());
            let mut services: Vec<&str> =
                servers.iter().map(|server| &*server.service).collect();
            services.sort_unstable();
            services.dedup();
            self.service_count = services.len();
        }
        self.lost.retain(|name, path| {
            let used_at = path.relayed_at.unwrap_or(path.failed_at);
            let used_at = used_at.max(path.failed_at);
            servers.get(name).is_some()
                && now.duration_since(used_at) < FAILURE_RETENTION
        });
    }

    /// Returns a server to which a connection should be opened to find out
    /// whether the path is back. While the daemon may be cut off, servers that
    /// have not failed are probed, too, those of other services first.
    #[must_use]
    pub fn next_probe(
        &mut self,
        now: Instant,
        servers: &Servers,
    ) -> Option<Arc<ListedServer>> {
        let is_suspect = self.is_suspect(now);
        if is_suspect && let Some(server) = self.unknown_server(now, servers) {
            self.probed_unknown_at = Some(now);
            return Some(server);
        }
        let due = self.lost.iter_mut().filter(|(_, path)| {
            let is_used = path
                .relayed_at
                .is_some_and(|at| now.duration_since(at) < FAILURE_RETENTION);
            (is_suspect || is_used)
                && now.duration_since(path.probed_at) >= PROBE_INTERVAL
        });
        let (name, path) = due.min_by_key(|(_, path)| path.probed_at)?;
        path.probed_at = now;
        servers.get(name).cloned()
    }

    /// Returns a server that has not failed, while it isn't known whether the
    /// daemon is cut off, and once in a while when it is.
    fn unknown_server(
        &self,
        now: Instant,
        servers: &Servers,
    ) -> Option<Arc<ListedServer>> {
        let is_due = self
            .probed_unknown_at
            .is_none_or(|at| now.duration_since(at) >= PROBE_INTERVAL);
        if self.is_cut_off(now) && !is_due {
            return None;
        }
        let has_failed = |service: &str| {
            self.lost.values().any(|path| &*path.service == service)
        };
        servers
            .iter()
            .filter(|server| server.state == ServerState::Ready)
            .filter(|server| !self.lost.contains_key(&*server.name))
            .min_by_key(|server| has_failed(&server.service))
            .cloned()
    }
}

#[cfg(test)]
mod tests;
