//! The servers and the store that lists them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, rngs::SmallRng};

use crate::fleet::server::{ListedServer, ServerState, Servers};

/// The services. Their versions are named alike.
pub(super) const SERVICES: [&str; 2] = ["plans", "texts"];

/// Versions of the software of each service.
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

/// How long the entry of a crashed server stays listed.
const EXPIRY: Duration = Duration::from_millis(1500);

/// The longest time for which a server serves after its entry is gone, and
/// for which a crashed one is down.
const MAX_AFTERLIFE_MS: u64 = 4000;

/// A change of the list of servers.
pub(super) struct Change {
    at: Instant,
    pub(super) name: Arc<str>,
    /// `None` if the entry is gone.
    pub(super) entry: Option<ListedServer>,
}

/// A running or crashed server.
struct Server {
    entry: ListedServer,
    is_listed: bool,
    /// When its entry goes, if it is about to.
    unlisted_at: Option<Instant>,
    /// When it stops to serve, if it is about to.
    stops_at: Option<Instant>,
    /// When it serves again after a crash.
    returns_at: Option<Instant>,
}

impl Server {
    fn is_serving(&self, now: Instant) -> bool {
        self.stops_at.is_none_or(|at| at > now)
    }

    /// Returns whether it serves and isn't about to leave.
    fn stays(&self) -> bool {
        self.stops_at.is_none() && self.unlisted_at.is_none()
    }
}

/// The store and the servers that write there.
pub(super) struct Store {
    log: Vec<Change>,
    servers: Vec<Server>,
    versions: usize,
    starts: u64,
}

impl Store {
    /// Lists three servers of the first version of each service.
    pub(super) fn new(now: Instant, versions: usize) -> Store {
        let mut store =
            Store { log: vec![], servers: vec![], versions, starts: 0 };
        for service in 0..SERVICES.len() {
            for _ in 0..3 {
                store.start(now, service, 0);
            }
        }
        store
    }

    fn start(&mut self, now: Instant, service: usize, version: usize) {
        self.starts += 1;
        let name = format!("s-{}", self.starts);
        let address = "10.0.0.1:80".parse().unwrap();
        let mut entry = ListedServer::new(&name, SERVICES[service], address);
        entry.software_version = VERSIONS[version].into();
        entry.born_ms = self.starts;
        self.servers.push(Server {
            entry,
            is_listed: false,
            unlisted_at: None,
            stops_at: None,
            returns_at: None,
        });
        self.write(now, self.servers.len() - 1, true);
    }

    fn write(&mut self, now: Instant, at: usize, is_listed: bool) {
        let server = &mut self.servers[at];
        if !is_listed && !server.is_listed {
            return;
        }
        server.is_listed = is_listed;
        let entry = is_listed.then(|| server.entry.clone());
        let name = Arc::clone(&server.entry.name);
        self.log.push(Change { at: now, name, entry });
    }

    /// Rolls a random version out to some new servers, which may leave at
    /// once.
    pub(super) fn roll_out(&mut self, now: Instant, rng: &mut SmallRng) {
        let service = rng.random_range(0..SERVICES.len());
        let version = rng.random_range(0..self.versions);
        let first = self.servers.len();
        for _ in 0..rng.random_range(1..=3) {
            self.start(now, service, version);
        }
        if rng.random_bool(0.3) {
            let gone_at = now + millis(rng, 2000);
            for server in &mut self.servers[first..] {
                server.unlisted_at = Some(gone_at);
                server.stops_at = Some(gone_at + millis(rng, 2000));
            }
        }
    }

    /// Lets the servers of a random version leave, if others stay.
    pub(super) fn retire(&mut self, now: Instant, rng: &mut SmallRng) {
        let Some(at) = self.pick(rng) else { return };
        let retired = self.servers[at].entry.clone();
        let is_retired = |server: &Server| {
            let entry = &server.entry;
            entry.service == retired.service
                && entry.software_version == retired.software_version
        };
        let stays = |server: &Server| {
            server.entry.service == retired.service
                && server.stays()
                && !is_retired(server)
        };
        if !self.servers.iter().any(stays) {
            return;
        }
        for server in self.servers.iter_mut().filter(|s| is_retired(s)) {
            if server.stays() {
                let gone_at = now + millis(rng, 1000);
                server.unlisted_at = Some(gone_at);
                let afterlife = millis(rng, MAX_AFTERLIFE_MS);
                server.stops_at = Some(gone_at + afterlife);
            }
        }
    }

    /// Returns a random server that serves and isn't about to leave, if its
    /// service has another one.
    fn pick(&self, rng: &mut SmallRng) -> Option<usize> {
        let at = rng.random_range(0..self.servers.len());
        let server =
            Some(&self.servers[at]).filter(|server| server.stays())?;
        let service = &server.entry.service;
        let mates = self.servers.iter().filter(|server| server.stays());
        let mates = mates.filter(|mate| mate.entry.service == *service);
        (mates.count() > 1).then_some(at)
    }

    /// Lets a server leave, most often announced.
    pub(super) fn leave_any(&mut self, now: Instant, rng: &mut SmallRng) {
        let Some(at) = self.pick(rng) else { return };
        let mut gone_at = now;
        if rng.random_bool(0.7) {
            self.servers[at].entry.state = ServerState::Draining;
            self.write(now, at, true);
            gone_at += millis(rng, 2000);
        }
        let server = &mut self.servers[at];
        server.unlisted_at = Some(gone_at);
        server.stops_at = Some(gone_at + millis(rng, MAX_AFTERLIFE_MS));
    }

    /// Lets a server crash. It may be back with its name, and then run another
    /// version.
    pub(super) fn crash_any(&mut self, now: Instant, rng: &mut SmallRng) {
        let Some(at) = self.pick(rng) else { return };
        let server = &mut self.servers[at];
        server.stops_at = Some(now);
        server.unlisted_at = Some(now + EXPIRY);
        if rng.random_bool(0.7) {
            server.returns_at = Some(now + millis(rng, MAX_AFTERLIFE_MS));
        }
    }

    /// Does what is due.
    pub(super) fn advance(&mut self, now: Instant, rng: &mut SmallRng) {
        for at in 0..self.servers.len() {
            if self.servers[at].unlisted_at.is_some_and(|at| at <= now) {
                self.servers[at].unlisted_at = None;
                self.write(now, at, false);
            }
            if self.servers[at].returns_at.is_some_and(|at| at <= now) {
                self.restart(now, at, rng);
            }
        }
        let forgotten = |server: &Server| {
            !server.is_listed
                && server.returns_at.is_none()
                && !server.is_serving(now)
        };
        self.servers.retain(|server| !forgotten(server));
    }

    fn restart(&mut self, now: Instant, at: usize, rng: &mut SmallRng) {
        self.starts += 1;
        let server = &mut self.servers[at];
        server.returns_at = None;
        server.stops_at = None;
        server.unlisted_at = None;
        server.entry.born_ms = self.starts;
        if rng.random_bool(0.3) {
            let version = rng.random_range(0..self.versions);
            server.entry.software_version = VERSIONS[version].into();
        }
        self.write(now, at, true);
    }

    /// Returns the process that serves under a name.
    pub(super) fn serving(
        &self,
        now: Instant,
        name: &str,
    ) -> Option<&ListedServer> {
        let server = self.servers.iter().find(|s| *s.entry.name == *name)?;
        server.is_serving(now).then_some(&server.entry)
    }

    /// Returns whether two servers of a version serve and stay.
    pub(super) fn has_two(&self, service: &str, version: &str) -> bool {
        let of_version = self.servers.iter().filter(|server| {
            *server.entry.service == *service
                && *server.entry.software_version == *version
                && server.is_listed
                && server.stops_at.is_none()
        });
        of_version.count() >= 2
    }

    /// Returns the revision that a daemon has seen which learns of changes
    /// after a lag.
    pub(super) fn revision(&self, now: Instant, lag: Duration) -> usize {
        self.log.partition_point(|change| change.at + lag <= now)
    }

    pub(super) fn changes(&self, from: usize, to: usize) -> &[Change] {
        &self.log[from.min(to)..to]
    }

    /// Returns the servers that are listed at a revision.
    pub(super) fn list(&self, revision: usize) -> Servers {
        let mut servers = Servers::default();
        for change in self.changes(0, revision) {
            match &change.entry {
                Some(entry) => servers.insert(entry.clone()),
                None => {
                    servers.remove(&change.name);
                }
            }
        }
        servers
    }
}

/// Returns a random time.
pub(super) fn millis(rng: &mut SmallRng, max_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(0..=max_ms))
}
