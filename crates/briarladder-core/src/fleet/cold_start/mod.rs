//! Keeps the request rate of backend servers that have just started.
//!
//! A server may be cold for some seconds: it then tolerates few requests a
//! second from all daemons together, and ends at a rate well above. Its entry
//! in the platform's store says how long it stays cold. That may be later than
//! its start, so a process that appears while this daemon runs counts as cold
//! from its first sight on.
//!
//! # Sharing without messages
//!
//! Only the holders of a cold server send to it: the first daemons in
//! rendezvous order of its process, among those of its zone first, then of its
//! region. All daemons know the order, and the wall clock has no part in it.
//! Each holder has a token bucket with room for one token.
//!
//! With `W` requests allowed in a window of one second and `K` holders, a
//! holder sends at most `m = floor(W / 2K)` requests in any window: its rate
//! is `0.9 * m` or less, and a bucket with room for one token and a rate below
//! `m` gives at most `m` tokens in a second. So one set of holders sends at
//! most `W / 2`, whatever `K` is, and two disjoint sets, which exist while
//! daemons know different members, at most `W`. `K` is up to 4, as many as
//! still use 0.6 of what the server tolerates. With 8 a second tolerated and
//! 17 allowed, that is 4 holders with 1.8 a second each.
//!
//! A daemon that becomes a holder because another one has left waits for a
//! window first. A daemon that has just started sends nothing to cold servers
//! until it knows the members.
//!
//! A daemon without a place sends its requests to other servers. If there are
//! none, it may ask a holder for a place ([`ColdServers::holders`]).
//!
//! # Example
//!
//! ```
//! use std::{
//!     sync::Arc,
//!     time::{Duration, Instant},
//! };
//!
//! use briarladder_core::fleet::{
//!     cold_start::{
//!         Caller, ColdCallers, ColdLimit, ColdServers, ColdStartBound,
//!     },
//!     config::ColdStartSpec,
//!     placement::Regions,
//!     server::ListedServer,
//!     server_limits::Sharing,
//! };
//!
//! let start = Instant::now();
//! let duration = Duration::from_secs(3);
//! let spec = ColdStartSpec { duration, requests_per_s: 8.0 };
//! let bound = ColdStartBound { overage: 1.5, slack: 5.0 };
//! let limit = ColdLimit::new(spec, bound);
//! let caller = Caller { name: Arc::from("vm-1"), zone: Arc::from("a") };
//! let callers = ColdCallers {
//!     local: Arc::clone(&caller.name),
//!     members: Arc::from([caller]),
//!     version: 1,
//!     regions: Regions::default(),
//!     is_complete: true,
//! };
//! let server = ListedServer::new("s-1", "plans", "10.0.0.1:80".parse()?);
//!
//! let mut cold = ColdServers::new(start);
//! cold.end_first_listing();
//! let now = start + Duration::from_secs(60);
//! cold.observe_entry(now, &server, Duration::ZERO, limit);
//! assert!(cold.take_place(now, &server, Sharing::Turns, &callers));
//! assert!(!cold.take_place(now, &server, Sharing::Turns, &callers));
//! assert!(!cold.is_cold(now + duration, &server));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod share;
#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::SortedMap;

use super::{
    placement::Regions, server::ListedServer, server_limits::Sharing,
};

use self::share::{ColdTarget, Share};

pub use self::share::{ColdLimit, WINDOW};

/// A daemon sends nothing to cold servers for this long after its start,
/// because its list of members may be incomplete. It takes a few exchanges of
/// members with other daemons.
const START_DELAY: Duration = Duration::from_secs(4);

/// How long a process that is no longer listed is remembered. Its entry may
/// return after the store was unavailable, and doesn't make it a new process.
const REMOVED_RETENTION: Duration = Duration::from_mins(10);

/// The longest time for which a server counts as cold by what it says.
const MAX_COLD_TIME: Duration = Duration::from_mins(1);

/// How far the requests of the whole fleet to a cold server may exceed what it
/// tolerates, in any second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartBound {
    /// The factor on what the server tolerates.
    pub overage: f64,
    /// Requests in addition.
    pub slack: f64,
}

/// A daemon that may send to cold servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Its name.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
}

/// The daemons that share what cold servers tolerate.
#[derive(Clone, Debug)]
pub struct ColdCallers {
    /// The name of this daemon. If it isn't among the members, because it
    /// shuts down, it gets no places.
    pub local: Arc<str>,
    /// The daemons, each of them once.
    pub members: Arc<[Caller]>,
    /// Differs whenever `members` does.
    pub version: u64,
    /// The region of each zone.
    pub regions: Regions,
    /// Whether the list is that of the fleet, and not of a daemon that has not
    /// heard from any other.
    pub is_complete: bool,
}

/// Why a server counts as cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdReason {
    /// Its entry in the store says so.
    Entry,
    /// It has appeared while this daemon runs.
    FirstSight,
    /// One of its responses says so.
    Response,
    /// Its zone was evacuated until now.
    Evacuation,
}

/// A server that has become cold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BecameCold {
    /// The name of the server.
    pub server: Arc<str>,
    /// How long it stays cold.
    pub cold_left: Duration,
    /// Why it counts as cold.
    pub reason: ColdReason,
}

/// A server that is no longer cold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BecameWarm {
    /// The name of the server.
    pub server: Arc<str>,
    /// How long it was cold.
    pub cold_time: Duration,
    /// Requests of this daemon that got a place.
    pub used_requests: u64,
    /// How often this daemon chose another server because it had no place.
    pub skipped: u64,
}

/// A process of a server that was listed.
#[derive(Clone, Copy, Debug)]
struct Known {
    born_ms: u64,
    removed_at: Option<Instant>,
}

/// A process that is cold.
#[derive(Clone, Debug)]
struct ColdServer {
    born_ms: u64,
    limit: ColdLimit,
    since: Instant,
    until: Instant,
    /// Until when it is cold whatever its entry says, since the entry may be
    /// older than the reason.
    at_least_until: Instant,
    share: Share,
    used_requests: u64,
    skipped: u64,
}

impl ColdServer {
    fn target<'a>(&self, server: &'a ListedServer) -> ColdTarget<'a> {
        ColdTarget {
            name: &server.name,
            zone: &server.zone,
            born_ms: self.born_ms,
            limit: self.limit,
        }
    }
}

/// The cold servers, and this daemon's part of what they tolerate.
#[derive(Clone, Debug)]
pub struct ColdServers {
    started_at: Instant,
    has_listing: bool,
    known: SortedMap<Arc<str>, Known>,
    cold: SortedMap<Arc<str>, ColdServer>,
}

impl ColdServers {
    /// Creates the state of a daemon that knows no servers. `started_at` is
    /// the start of its process.
    #[must_use]
    pub fn new(started_at: Instant) -> ColdServers {
        ColdServers {
            started_at,
            has_listing: false,
            known: SortedMap::new(),
            cold: SortedMap::new(),
        }
    }

    /// Records that the first full listing was observed. Processes that are
    /// observed later have started meanwhile.
    pub fn end_first_listing(&mut self) {
        self.has_listing = true;
    }

    /// Records the entry of a server, as heard at `now`. `limit` is `None` if
    /// the servers of its service are never cold.
    pub fn observe_entry(
        &mut self,
        now: Instant,
        server: &ListedServer,
        cold_left: Duration,
        limit: Option<ColdLimit>,
    ) -> Option<BecameCold> {
        let is_new = self.record_known(server) && self.has_listing;
        let limit = limit?;
        if is_new {
            let at_least = limit.duration;
            let cold_left = cold_left.max(at_least);
            let reason = ColdReason::FirstSight;
            return self
                .extend(now, server, limit, cold_left, at_least, reason);
        }
        if cold_left.is_zero() {
            self.end_by_entry(server);
            return None;
        }
        let (none, reason) = (Duration::ZERO, ColdReason::Entry);
        self.extend(now, server, limit, cold_left, none, reason)
    }

    /// Records that a response of a server says that it is cold.
    pub fn observe_response(
        &mut self,
        now: Instant,
        server: &ListedServer,
        cold_left: Duration,
        limit: ColdLimit,
    ) -> Option<BecameCold> {
        if cold_left.is_zero() {
            return None;
        }
        let reason = ColdReason::Response;
        self.extend(now, server, limit, cold_left, cold_left, reason)
    }

    /// Records that a server gets requests again after the evacuation of its
    /// zone. It may have become cold meanwhile, and its entry may say so
    /// later.
    pub fn record_return(
        &mut self,
        now: Instant,
        server: &ListedServer,
        limit: ColdLimit,
    ) -> Option<BecameCold> {
        let duration = limit.duration;
        let reason = ColdReason::Evacuation;
        self.extend(now, server, limit, duration, duration, reason)
    }

    /// Records that a server is no longer listed.
    pub fn record_removal(&mut self, now: Instant, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.removed_at = Some(now);
        }
        self.known.retain(|_, known| {
            known.removed_at.is_none_or(|at| {
                now.saturating_duration_since(at) < REMOVED_RETENTION
            })
        });
    }

    /// Returns whether a server is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant, server: &ListedServer) -> bool {
        self.get(now, server).is_some()
    }

    /// Returns when this daemon may send the next request to a server: `None`
    /// if the server isn't cold, a time up to `now` if it may send now, and
    /// otherwise the time at which it has a place or the server is warm.
    pub fn next_place_at(
        &mut self,
        now: Instant,
        server: &ListedServer,
        sharing: Sharing,
        callers: &ColdCallers,
    ) -> Option<Instant> {
        let trusted_at = self.started_at + START_DELAY;
        let cold = self.get_mut(now, server)?;
        if !callers.is_complete {
            return Some(cold.until);
        }
        let target = cold.target(server);
        let at = now.max(trusted_at);
        let at = match sharing {
            Sharing::Turns => cold.share.next_place_at(at, &target, callers),
            Sharing::Exclusive => {
                let alone = callers.only_local();
                cold.share.next_place_at(at, &target, &alone)
            }
        };
        Some(at.map_or(cold.until, |at| at.min(cold.until)))
    }

    /// Takes a place for one request and returns whether there was one. There
    /// always is one at a server that isn't cold.
    #[must_use = "a request may only be sent if it got a place"]
    pub fn take_place(
        &mut self,
        now: Instant,
        server: &ListedServer,
        sharing: Sharing,
        callers: &ColdCallers,
    ) -> bool {
        let is_trusted =
            callers.is_complete && now >= self.started_at + START_DELAY;
        let Some(cold) = self.get_mut(now, server) else { return true };
        let target = cold.target(server);
        let taken = is_trusted
            && match sharing {
                Sharing::Turns => cold.share.take(now, &target, callers),
                Sharing::Exclusive => {
                    cold.share.take(now, &target, &callers.only_local())
                }
            };
        cold.used_requests += u64::from(taken);
        taken
    }

    /// Counts that another server was chosen because of a missing place.
    pub fn record_skipped(&mut self, server: &ListedServer) {
        if let Some(cold) = self.cold.get_mut(&*server.name) {
            cold.skipped += 1;
        }
    }

    /// Returns the daemons that send to a cold server; none if it isn't cold.
    #[must_use]
    pub fn holders<'a>(
        &self,
        now: Instant,
        server: &ListedServer,
        callers: &'a ColdCallers,
    ) -> Vec<&'a Arc<str>> {
        self.get(now, server).map_or(Vec::new(), |cold| {
            share::holders(&cold.target(server), callers)
        })
    }

    /// Returns the number of cold servers, including those that
    /// [`expire`](Self::expire) would return.
    #[must_use]
    pub fn len(&self) -> usize {
        self.cold.len()
    }

    /// Returns whether no server is cold.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cold.is_empty()
    }

    /// Removes and returns the servers that are no longer cold.
    pub fn expire(&mut self, now: Instant) -> Vec<BecameWarm> {
        let mut warm = Vec::new();
        self.cold.retain(|name, cold| {
            let is_cold = now < cold.until;
            if !is_cold {
                warm.push(BecameWarm {
                    server: Arc::clone(name),
                    cold_time: cold
                        .until
                        .saturating_duration_since(cold.since),
                    used_requests: cold.used_requests,
                    skipped: cold.skipped,
                });
            }
            is_cold
        });
        warm
    }

    /// Records a process, and returns whether it was unknown.
    fn record_known(&mut self, server: &ListedServer) -> bool {
        let name = Arc::clone(&server.name);
        let born_ms = server.born_ms;
        let known = Known { born_ms, removed_at: None };
        let before = self.known.insert(name, known);
        before.is_none_or(|before| before.born_ms != born_ms)
    }

    fn extend(
        &mut self,
        now: Instant,
        server: &ListedServer,
        limit: ColdLimit,
        cold_left: Duration,
        at_least: Duration,
        reason: ColdReason,
    ) -> Option<BecameCold> {
        let until = now + cold_left.min(MAX_COLD_TIME);
        let at_least_until = now + at_least.min(MAX_COLD_TIME);
        if let Some(cold) = self.get_mut(now, server) {
            cold.until = cold.until.max(until);
            cold.at_least_until = cold.at_least_until.max(at_least_until);
            return None;
        }
        let cold = ColdServer {
            born_ms: server.born_ms,
            limit,
            since: now,
            until,
            at_least_until,
            share: Share::default(),
            used_requests: 0,
            skipped: 0,
        };
        let name = Arc::clone(&server.name);
        self.cold.insert(Arc::clone(&name), cold);
        let cold_left = until - now;
        Some(BecameCold { server: name, cold_left, reason })
    }

    /// Applies an entry that says that its server is warm.
    fn end_by_entry(&mut self, server: &ListedServer) {
        if let Some(cold) = self.cold.get_mut(&*server.name)
            && cold.born_ms == server.born_ms
        {
            cold.until = cold.until.min(cold.at_least_until);
        }
    }

    fn get(&self, now: Instant, server: &ListedServer) -> Option<&ColdServer> {
        if self.cold.is_empty() {
            return None;
        }
        let cold = self.cold.get(&*server.name)?;
        cold.applies_to(now, server).then_some(cold)
    }

    fn get_mut(
        &mut self,
        now: Instant,
        server: &ListedServer,
    ) -> Option<&mut ColdServer> {
        if self.cold.is_empty() {
            return None;
        }
        let cold = self.cold.get_mut(&*server.name)?;
        cold.applies_to(now, server).then_some(cold)
    }
}

impl ColdServer {
    fn applies_to(&self, now: Instant, server: &ListedServer) -> bool {
        self.born_ms == server.born_ms && now < self.until
    }
}

impl ColdCallers {
    /// Returns the callers of a server that only this daemon calls.
    fn only_local(&self) -> ColdCallers {
        let members: Vec<Caller> = self
            .members
            .iter()
            .filter(|member| member.name == self.local)
            .cloned()
            .collect();
        ColdCallers { members: Arc::from(members), ..self.clone() }
    }
}
