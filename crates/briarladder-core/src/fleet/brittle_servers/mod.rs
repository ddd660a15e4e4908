//! Keeps how many requests brittle backend servers hold at a time.
//!
//! The servers of a service may be brittle for a while, and say so in all
//! their responses: one that rejects more than `N` requests a second for want
//! of room ends, and is back some seconds later. It may let no request wait.
//! So all daemons together send a brittle server no more requests at a time
//! than it has slots, and requests wait at their daemon instead.
//!
//! # Sharing without messages
//!
//! The slots of a server are shared among the daemons in equal whole parts.
//! What is left of all servers of a service is dealt out to the daemons in
//! rendezvous order of the service, one slot each, so that none has two more
//! than another. All daemons compute the same parts from the lists of members
//! and servers.
//!
//! # Rejections
//!
//! A server may reject a request all the same: members may be listed
//! differently, a request that a daemon has given up may still run, and the
//! server may lack something other than slots. A daemon then pauses for
//! `2 * K / N` seconds, where `K` is the number of daemons that have a part of
//! the server. So a server that rejects everything rejects about `N / 2`
//! requests a second after the first ones.
//!
//! # Example
//!
//! ```
//! use std::{sync::Arc, time::{Duration, Instant}};
//!
//! use briarladder_core::fleet::{
//!     brittle_servers::{BrittleServices, Observation, Room, Sharers},
//!     server::ListedServer,
//!     server_limits::LimitMembers,
//! };
//!
//! let now = Instant::now();
//! let mut server = ListedServer::new("s-1", "orders", "10.0.0.1:80".parse()?);
//! server.slots = 3;
//! let servers = [Arc::new(server.clone())];
//! let name: Arc<str> = Arc::from("vm-1");
//! let members = LimitMembers::new(Arc::clone(&name), vec![name], 1);
//! let sharers =
//!     Sharers { members: &members, servers: &servers, servers_version: 1 };
//!
//! let mut services = BrittleServices::default();
//! let told = Observation {
//!     sent_at: now,
//!     max_rejections_per_s: Some(4),
//!     is_own: true,
//! };
//! services.observe(now, &server.service, told);
//! assert_eq!(services.room(now, &server, &sharers), Some(Room::Slots(3)));
//! services.record_rejection(now, &server, &members);
//! let until = now + Duration::from_millis(500);
//! let paused = Some(Room::PausedUntil(until));
//! assert_eq!(services.room(now, &server, &sharers), paused);
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod notices;
#[cfg(test)]
mod tests;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::SortedMap;

use super::{server::ListedServer, server_limits::LimitMembers};

pub use self::notices::is_brittle_notice;

/// A service of which no response has said for this long that its servers are
/// brittle counts as sound. A daemon without a part of any server hears of the
/// end in no other way.
const RETENTION: Duration = Duration::from_secs(15);

/// The shortest pause after a rejection.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// The longest pause after a rejection.
const MAX_PAUSE: Duration = Duration::from_secs(15);

/// Weight of the newest request in the smoothed time for which servers hold
/// one.
const HOLD_SMOOTHING: f64 = 0.2;

/// How long servers hold a request as long as none was observed.
const DEFAULT_HOLD: Duration = Duration::from_millis(300);

/// What a response says of the servers of its service.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// When its request was sent.
    pub sent_at: Instant,
    /// The rejections a second that a server withstands; `None` if they aren't
    /// brittle.
    pub max_rejections_per_s: Option<u32>,
    /// Whether the response certainly belongs to the request, and isn't a copy
    /// of an earlier response.
    pub is_own: bool,
}

/// A change of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrittleChange {
    /// Its servers have become brittle.
    Began,
    /// Its servers are no longer brittle.
    Ended,
}

/// This daemon's part of a brittle server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Room {
    /// It may have this many requests there at a time.
    Slots(usize),
    /// It may send none until then, after a rejection.
    PausedUntil(Instant),
}

/// The daemons and servers among which slots are shared.
#[derive(Clone, Copy, Debug)]
pub struct Sharers<'a> {
    /// The daemons.
    pub members: &'a LimitMembers,
    /// All servers of the service.
    pub servers: &'a [Arc<ListedServer>],
    /// Differs whenever `servers` does.
    pub servers_version: u64,
}

impl<'a> Sharers<'a> {
    /// Returns the other daemons that have a part of a server.
    #[must_use]
    pub fn other_holders(&self, server: &ListedServer) -> Vec<Arc<str>> {
        let deals = self.deals();
        let deal = deals.iter().find(|deal| deal.server.name == server.name);
        let Some(deal) = deal else { return Vec::new() };
        let order = self.members.order(self.key());
        (0..)
            .zip(order)
            .filter(|&(position, _)| deal.slots_at(position) > 0)
            .filter(|(_, name)| ***name != *self.members.local())
            .map(|(_, name)| Arc::clone(name))
            .collect()
    }

    /// Returns how the slots of each server are shared.
    fn deals(&self) -> Vec<Deal<'a>> {
        let mut servers: Vec<&ListedServer> =
            self.servers.iter().map(|server| &**server).collect();
        servers.sort_by(|a, b| a.name.cmp(&b.name));
        let members = self.members.len().max(1);
        let mut first = 0;
        let deal = |server: &'a ListedServer| {
            let slots = usize::try_from(server.slots).unwrap_or(usize::MAX);
            let deal = Deal { server, slots, first, members };
            first = (first + slots % members) % members;
            deal
        };
        servers.into_iter().map(deal).collect()
    }

    fn key(&self) -> &str {
        self.servers.first().map_or("", |server| &server.service)
    }
}

/// How the slots of one server are shared among the members, which are in
/// rendezvous order.
#[derive(Clone, Copy, Debug)]
struct Deal<'a> {
    server: &'a ListedServer,
    slots: usize,
    /// The position of the first member that gets one of the slots left.
    first: usize,
    members: usize,
}

impl Deal<'_> {
    fn slots_at(&self, position: usize) -> usize {
        let left = self.slots % self.members;
        let turn = (position + self.members - self.first) % self.members;
        self.slots / self.members + usize::from(turn < left)
    }
}

/// The services whose servers are brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleServices {
    by_service: SortedMap<Arc<str>, BrittleService>,
}

#[derive(Clone, Debug)]
struct BrittleService {
    /// `None` once its servers are no longer brittle. It is kept for a while,
    /// so that older notices don't count.
    max_rejections_per_s: Option<u32>,
    /// The receipt of the last response that said that they are brittle, or
    /// the sending of the request whose response no longer did.
    evidence_at: Instant,
    /// The end of the pauses, by server.
    paused_until: SortedMap<Arc<str>, Instant>,
    /// The smoothed time for which servers hold a request.
    mean_hold: Option<Duration>,
    /// This daemon's parts, as computed last.
    parts: Option<Parts>,
}

/// The slots of one daemon at the servers of a service, and the versions of
/// the lists that they were computed from.
#[derive(Clone, Debug)]
struct Parts {
    members_version: u64,
    servers_version: u64,
    slots: SortedMap<Arc<str>, usize>,
}

impl BrittleServices {
    /// Records what a response says of the servers of its service.
    pub fn observe(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        observation: Observation,
    ) -> Option<BrittleChange> {
        let was_brittle = self.is_brittle(now, service);
        let max_rejections_per_s = observation.max_rejections_per_s;
        if max_rejections_per_s.is_some() {
            self.expire(now);
            self.set(service, max_rejections_per_s, now);
            return (!was_brittle).then_some(BrittleChange::Began);
        }
        let known = self.by_service.get(&**service)?;
        // A response to a request that was sent before the last evidence may
        // have been given before it, too.
        let is_newer = observation.sent_at >= known.evidence_at;
        if !was_brittle || !observation.is_own || !is_newer {
            return None;
        }
        self.set(service, None, observation.sent_at);
        Some(BrittleChange::Ended)
    }

    fn expire(&mut self, now: Instant) {
        self.by_service.retain(|_, known| known.age(now) < RETENTION);
    }

    /// Sets the state of a service on newer evidence.
    fn set(
        &mut self,
        service: &Arc<str>,
        max_rejections_per_s: Option<u32>,
        evidence_at: Instant,
    ) {
        let new = || BrittleService::new(evidence_at);
        let known =
            self.by_service.get_or_insert_with(Arc::clone(service), new);
        known.max_rejections_per_s = max_rejections_per_s;
        known.evidence_at = evidence_at;
    }

    /// Returns whether the servers of a service are brittle.
    #[must_use]
    pub fn is_brittle(&self, now: Instant, service: &str) -> bool {
        self.current(now, service).is_some()
    }

    /// Records that a server has rejected a request for want of room.
    pub fn record_rejection(
        &mut self,
        now: Instant,
        server: &ListedServer,
        members: &LimitMembers,
    ) {
        let Some(known) = self.by_service.get_mut(&*server.service) else {
            return;
        };
        let Some(max_rejections_per_s) = known.max_rejections_per_s else {
            return;
        };
        let slots = usize::try_from(server.slots).unwrap_or(usize::MAX);
        let callers = slots.min(members.len()).max(1);
        let pause = pause_after_rejection(callers, max_rejections_per_s);
        known.paused_until.retain(|_, until| now < *until);
        known.paused_until.insert(Arc::clone(&server.name), now + pause);
    }

    /// Records how long a server of a service has held a request.
    pub fn record_hold(
        &mut self,
        now: Instant,
        service: &str,
        elapsed: Duration,
    ) {
        let Some(known) = self.by_service.get_mut(service) else { return };
        if known.is_brittle(now) {
            let previous = known.mean_hold.unwrap_or(elapsed);
            let smoothed = previous.mul_f64(1.0 - HOLD_SMOOTHING)
                + elapsed.mul_f64(HOLD_SMOOTHING);
            known.mean_hold = Some(smoothed);
        }
    }

    /// Returns how long a server of a service is likely to hold a request;
    /// `None` if the servers aren't brittle.
    #[must_use]
    pub fn mean_hold(&self, now: Instant, service: &str) -> Option<Duration> {
        let known = self.current(now, service)?;
        Some(known.mean_hold.unwrap_or(DEFAULT_HOLD))
    }

    /// Returns this daemon's part of a server; `None` if the server isn't
    /// brittle or its slots are unknown.
    #[must_use]
    pub fn room(
        &mut self,
        now: Instant,
        server: &ListedServer,
        sharers: &Sharers<'_>,
    ) -> Option<Room> {
        if self.by_service.is_empty() || server.slots == 0 {
            return None;
        }
        if let Some(until) = self.paused_until(now, server) {
            return Some(Room::PausedUntil(until));
        }
        let known = self.by_service.get_mut(&*server.service)?;
        known
            .is_brittle(now)
            .then(|| Room::Slots(known.slots_at(server, sharers)))
    }

    /// Returns until when this daemon pauses at a brittle server after a
    /// rejection; `None` if it doesn't.
    #[must_use]
    pub fn paused_until(
        &self,
        now: Instant,
        server: &ListedServer,
    ) -> Option<Instant> {
        let known = self.current(now, &server.service)?;
        let until = known.paused_until.get(&server.name).copied();
        until.filter(|&until| now < until)
    }

    fn current(&self, now: Instant, service: &str) -> Option<&BrittleService> {
        let known = self.by_service.get(service)?;
        known.is_brittle(now).then_some(known)
    }
}

impl BrittleService {
    fn new(evidence_at: Instant) -> BrittleService {
        BrittleService {
            max_rejections_per_s: None,
            evidence_at,
            paused_until: SortedMap::new(),
            mean_hold: None,
            parts: None,
        }
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.evidence_at)
    }

    fn is_brittle(&self, now: Instant) -> bool {
        self.max_rejections_per_s.is_some() && self.age(now) < RETENTION
    }

    fn slots_at(
        &mut self,
        server: &ListedServer,
        sharers: &Sharers<'_>,
    ) -> usize {
        if self.parts.as_ref().is_none_or(|parts| !parts.is_of(sharers)) {
            self.parts = Some(Parts::of_local(sharers));
        }
        let own = self.parts.as_ref();
        own.and_then(|parts| parts.slots.get(&server.name).copied())
            .unwrap_or(0)
    }
}

impl Parts {
    /// Computes the parts of the local daemon. One that isn't among the
    /// members, because it shuts down, has none.
    fn of_local(sharers: &Sharers<'_>) -> Parts {
        let members = sharers.members;
        let order = members.order(sharers.key());
        let position =
            order.iter().position(|name| ***name == *members.local());
        let mut parts = Parts {
            members_version: members.version(),
            servers_version: sharers.servers_version,
            slots: SortedMap::new(),
        };
        let Some(position) = position else { return parts };
        for deal in sharers.deals() {
            let name = Arc::clone(&deal.server.name);
            parts.slots.insert(name, deal.slots_at(position));
        }
        parts
    }

    fn is_of(&self, sharers: &Sharers<'_>) -> bool {
        self.members_version == sharers.members.version()
            && self.servers_version == sharers.servers_version
    }
}

/// Returns how long a daemon pauses after a rejection by a server to which so
/// many daemons send.
fn pause_after_rejection(
    callers: usize,
    max_rejections_per_s: u32,
) -> Duration {
    let callers = u32::try_from(callers).unwrap_or(u32::MAX);
    let pause = f64::from(callers) * 2.0 / f64::from(max_rejections_per_s);
    let pause = Duration::try_from_secs_f64(pause).unwrap_or(MAX_PAUSE);
    pause.clamp(MIN_PAUSE, MAX_PAUSE)
}
