//! Reconciles what is known of servers with a restored store.
//!
//! A store that was restored from a copy has lost its newest changes. Servers
//! write their entries again, within about two seconds, but how much was lost
//! isn't told. Until then the entries of the copy are older than what this
//! daemon knows:
//!
//! - A server without an entry may be running; its entry was lost. It stays
//!   for [`RETURN_TIME`].
//! - A server that leaves, or whose entry was removed, may be listed as ready.
//!   Its departure holds for [`DEPARTURE_TIME`] or, if it was removed without
//!   announcing it, for [`REMOVAL_TIME`]: silence also removes an entry, and
//!   such a server may be back.
//! - An entry may be that of an earlier process of the server. The later one
//!   stays for [`RETURN_TIME`].
//!
//! An entry that is written after the listing always holds, and so does the
//! listing once these times are over.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::SortedMap;

use super::{
    mirror::ServerEntry,
    server::{ListedServer, ServerState, Servers},
};

/// How long a restored store may lack the entry of a running server. The
/// platform's pages say about two seconds.
pub const RETURN_TIME: Duration = Duration::from_millis(2500);

/// How long a departure holds against an older entry of the server. Entries of
/// processes that have ended expire within this time.
pub const DEPARTURE_TIME: Duration = Duration::from_secs(10);

/// How long a removal that was not announced holds against an older entry of
/// the server: longer than three of its heartbeats, after which the entry of a
/// server that has left expires.
pub const REMOVAL_TIME: Duration = Duration::from_secs(5);

/// How long departures are remembered, longer than a copy is old.
const DEPARTURE_MEMORY: Duration = Duration::from_mins(1);

/// The most departures that are remembered.
const MAX_DEPARTURES: usize = 4096;

/// A server whose entry was removed.
#[derive(Clone, Debug)]
struct Departure {
    name: Arc<str>,
    born_ms: u64,
    /// Whether the server had announced that it leaves.
    announced: bool,
    at: Instant,
}

/// A server for which the listing does not hold yet.
#[derive(Clone, Debug)]
struct Held {
    until: Instant,
    /// What the store lists.
    listed: Option<ListedServer>,
}

/// A change of what holds for one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerChange {
    /// The name of the server.
    pub name: Arc<str>,
    /// The server, or `None` if there is none any more.
    pub server: Option<ListedServer>,
}

/// The servers for which the listing of a restored store does not hold yet.
#[derive(Clone, Debug, Default)]
pub struct Reconciliation {
    held: SortedMap<Arc<str>, Held>,
    departures: VecDeque<Departure>,
}

impl Reconciliation {
    /// Records that a server was removed.
    pub fn record_departure(&mut self, now: Instant, server: &ListedServer) {
        self.departures.retain(|departure| {
            now.duration_since(departure.at) < DEPARTURE_MEMORY
        });
        if self.departures.len() >= MAX_DEPARTURES {
            self.departures.pop_front();
        }
        self.departures.push_back(Departure {
            name: Arc::clone(&server.name),
            born_ms: server.born_ms,
            announced: server.state == ServerState::Draining,
            at: now,
        });
    }

    /// Compares the listing of a restored store with the servers that held
    /// until now, and returns the changes that hold at once.
    pub fn begin(
        &mut self,
        now: Instant,
        known: &Servers,
        listing: &[ServerEntry],
    ) -> Vec<ServerChange> {
        let mut listed: SortedMap<Arc<str>, &ListedServer> = SortedMap::new();
        for entry in listing {
            if let Some(server) = &entry.server {
                listed.insert(Arc::clone(&entry.name), server);
            }
        }
        self.held = SortedMap::new();
        let mut changes = Vec::new();
        for server in known.iter() {
            let listed = listed.get(&server.name).copied();
            if let Some(time) = time_held(server, listed) {
                self.hold(&server.name, now + time, listed);
            } else if listed != Some(&**server) {
                changes.push(change(&server.name, listed));
            }
        }
        for (name, server) in listed.iter() {
            if known.get(name).is_some() {
                continue;
            }
            match self.departure_time(now, server) {
                Some(time) => self.hold(name, now + time, Some(server)),
                None => changes.push(change(name, Some(server))),
            }
        }
        changes
    }

    /// Records that the entry of a server was written after the listing, and
    /// returns whether the listing did not hold for the server until then.
    pub fn release(&mut self, name: &str) -> bool {
        self.held.remove(name).is_some()
    }

    /// Returns the changes that the listing makes now, for servers whose
    /// entries were not written again in time.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerChange> {
        let mut changes = Vec::new();
        self.held.retain(|name, held| {
            let is_held = now < held.until;
            if !is_held {
                changes.push(change(name, held.listed.as_ref()));
            }
            is_held
        });
        changes
    }

    /// Returns when [`Self::expire`] will have changes.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.held.values().map(|held| held.until).min()
    }

    /// Returns the number of servers for which the listing does not hold yet.
    #[must_use]
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    fn hold(
        &mut self,
        name: &Arc<str>,
        until: Instant,
        listed: Option<&ListedServer>,
    ) {
        let held = Held { until, listed: listed.cloned() };
        self.held.insert(Arc::clone(name), held);
    }

    /// Returns how long the departure of a listed server's process holds, if
    /// it has left.
    fn departure_time(
        &self,
        now: Instant,
        listed: &ListedServer,
    ) -> Option<Duration> {
        let departure = self.departures.iter().rfind(|departure| {
            departure.name == listed.name
                && departure.born_ms >= listed.born_ms
                && now.duration_since(departure.at) < DEPARTURE_MEMORY
        })?;
        Some(if departure.announced { DEPARTURE_TIME } else { REMOVAL_TIME })
    }
}

/// Returns for how long a known server holds against what a restored store
/// lists, or `None` if the listing holds at once.
fn time_held(
    known: &ListedServer,
    listed: Option<&ListedServer>,
) -> Option<Duration> {
    let Some(listed) = listed else { return Some(RETURN_TIME) };
    if listed.born_ms < known.born_ms {
        return Some(RETURN_TIME);
    }
    let has_announced = known.state == ServerState::Draining
        && listed.state == ServerState::Ready
        && listed.born_ms == known.born_ms;
    has_announced.then_some(DEPARTURE_TIME)
}

fn change(name: &Arc<str>, server: Option<&ListedServer>) -> ServerChange {
    ServerChange { name: Arc::clone(name), server: server.cloned() }
}

#[cfg(test)]
mod tests;
