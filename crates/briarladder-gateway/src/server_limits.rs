//! Limits that backend servers name in their responses, and places at limited
//! and at cold servers.
//!
//! The rules are in [`briarladder_core::fleet::server_limits`] and in
//! [`briarladder_core::fleet::cold_start`]. Every response
//! of a server is recorded here, and every request to one takes its place
//! here: first attempts, retries, resumes and calls for pieces. Releases are
//! not sent to a limited server, which drops the results itself.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    fleet::{
        config::ServiceWork,
        residency::AllowedRegions,
        server::ListedServer,
        server_limits::{
            LimitChange, LimitChangeKind, LimitMembers, LimitNotice,
            LimitTime, NamedLimit, Observation, ServerLimits, Sharing,
            UrgentDemand,
        },
    },
    sorted::SortedMap,
};

use rand::seq::{IndexedRandom, IteratorRandom};

use crate::{blackboard::Blackboard, peers::places::PlaceOwner};

/// The time between two requests for a place at one server that were not
/// granted, for each daemon of the fleet. So all daemons together ask in vain
/// about 100 times a second. The first one comes within this time of the
/// moment at which the daemon learns of the limit.
const ASK_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(10);

/// The shortest such time, in a small fleet.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two summaries of the limits in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// The limits of servers, and what this daemon uses of them.
#[derive(Debug)]
pub struct LimitState {
    limits: RefCell<ServerLimits>,
    urgent_demand: RefCell<UrgentDemand>,
    /// The members that share the limits, copied when they have changed.
    members: RefCell<Option<LimitMembers>>,
    /// When another daemon may next be asked for a place, by server.
    next_ask_at: RefCell<SortedMap<Arc<str>, Instant>>,
    next_summary_at: Cell<Instant>,
}

impl LimitState {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new(started_at: Instant) -> LimitState {
        LimitState {
            limits: RefCell::new(ServerLimits::new(started_at)),
            urgent_demand: RefCell::default(),
            members: RefCell::default(),
            next_ask_at: RefCell::default(),
            next_summary_at: Cell::new(started_at),
        }
    }
}

/// Chooses among servers, some of which may have a limit, at one moment.
#[derive(Debug)]
pub struct PlaceFinder<'a> {
    blackboard: &'a Blackboard,
    time: LimitTime,
}

impl PlaceFinder<'_> {
    /// Returns when this daemon may next send to a server; `None` if the
    /// server has no limit and is neither cold nor brittle.
    #[must_use]
    pub fn next_place_at(&self, server: &ListedServer) -> Option<Instant> {
        let PlaceFinder { blackboard, time } = *self;
        let cold = blackboard.next_cold_place_at(time.now, server);
        let room = blackboard.next_room_at(time.now, server);
        self.next_limited_place_at(server).max(cold).max(room)
    }

    fn next_limited_place_at(&self, server: &ListedServer) -> Option<Instant> {
        let PlaceFinder { blackboard, time } = *self;
        let mut limits = blackboard.limits.limits.borrow_mut();
        limits.limit_per_s(time.now, server)?;
        let sharing = blackboard.sharing_of(server);
        let members = blackboard.limit_members();
        limits.next_place_at(time, server, sharing, &members)
    }

    /// Returns until when a server has no place; `None` if it has one now.
    #[must_use]
    pub fn paused_until(&self, server: &ListedServer) -> Option<Instant> {
        self.next_place_at(server).filter(|&at| at > self.time.now)
    }

    /// Returns whether a request of a rank may be sent to a server now.
    #[must_use]
    pub fn has_place(&self, server: &ListedServer, rank: u8) -> bool {
        let PlaceFinder { blackboard, time } = *self;
        let Some(at) = self.next_place_at(server) else { return true };
        let demand = blackboard.limits.urgent_demand.borrow();
        let has_place = at <= time.now
            && demand.may_take(time.now, &server.service, rank.into());
        if !has_place {
            blackboard.record_cold_skip(server);
        }
        has_place
    }

    /// Takes a place at a server, and returns whether there was one.
    #[must_use = "a request may only be sent if it got a place"]
    pub fn take(&self, server: &ListedServer) -> bool {
        let blackboard = self.blackboard;
        let is_limited = blackboard.is_limited(server);
        let taken = !is_limited || self.take_limited(server);
        let is_shared = is_limited
            || blackboard.next_room_at(self.time.now, server).is_some();
        if taken && is_shared {
            let mut demand = blackboard.limits.urgent_demand.borrow_mut();
            demand.record_taken(&server.service);
        }
        taken
    }

    fn take_limited(&self, server: &ListedServer) -> bool {
        let PlaceFinder { blackboard, time } = *self;
        let mut limits = blackboard.limits.limits.borrow_mut();
        let sharing = blackboard.sharing_of(server);
        let members = blackboard.limit_members();
        limits.take_place(time, server, sharing, &members)
            && blackboard.take_cold_place(time.now, server)
    }
}

impl Blackboard {
    /// Returns the places at limited servers as of now.
    #[must_use]
    pub fn places(&self) -> PlaceFinder<'_> {
        let unix_time = self.clock.unix_time();
        let time = LimitTime { now: self.now(), unix_time };
        PlaceFinder { blackboard: self, time }
    }

    /// Returns whether a server has a limit or is cold.
    #[must_use]
    pub fn is_limited(&self, server: &ListedServer) -> bool {
        let limits = self.limits.limits.borrow();
        limits.limit_per_s(self.now(), server).is_some()
            || self.is_cold(server)
    }

    /// Returns the limit of a server in requests a second, as far as this
    /// daemon uses it alone.
    #[must_use]
    pub fn own_rate_per_s(&self, server: &ListedServer) -> Option<f64> {
        let limits = self.limits.limits.borrow();
        limits.own_rate_per_s(self.now(), server)
    }

    /// Records that a request got no server because of limits. Returns the
    /// time until this daemon has a place at one of the servers, or `None` if
    /// the limits were not the reason.
    pub fn record_turned_away(
        &self,
        service: &Arc<str>,
        rank: u8,
        allowed: &AllowedRegions,
        tried: &[Arc<str>],
    ) -> Option<Duration> {
        let places = self.places();
        let now = places.time.now;
        let servers = self.servers.borrow();
        let mut first_at: Option<Instant> = None;
        for server in servers.ready_in_service(service) {
            if !self.may_send(server, allowed) || tried.contains(&server.name)
            {
                continue;
            }
            let Some(at) = places.next_place_at(server) else { continue };
            first_at = Some(first_at.map_or(at, |first| first.min(at)));
            self.limits.limits.borrow_mut().record_turned_away(server);
        }
        let first_at = first_at?;
        let mut demand = self.limits.urgent_demand.borrow_mut();
        demand.record_turned_away(now, service, rank.into());
        Some(first_at.saturating_duration_since(now))
    }

    /// Records what a response to a request that was sent at `sent_at` says
    /// about the limit of its server. `is_own` tells whether the response
    /// certainly belongs to that request.
    pub fn record_limit(
        &self,
        server: &ListedServer,
        sent_at: Instant,
        named: NamedLimit,
        is_own: bool,
    ) {
        if named == NamedLimit::Unreadable {
            log::debug!("limits: server={} value=unreadable", server.name);
        }
        let observation = Observation { sent_at, named, is_own };
        let change = self.limits.limits.borrow_mut().observe(
            self.now(),
            server,
            observation,
        );
        self.announce(change.as_slice());
    }

    /// Returns a daemon to ask for a place at a server that could run a
    /// request, if one may be asked now.
    #[must_use]
    pub fn place_owner(
        &self,
        service: &Arc<str>,
        allowed: &AllowedRegions,
        tried: &[Arc<str>],
        may_run_at: impl Fn(&ListedServer) -> bool,
    ) -> Option<PlaceOwner> {
        let PlaceFinder { time, .. } = self.places();
        let servers = self.servers.borrow();
        let mut limits = self.limits.limits.borrow_mut();
        let mut next_ask_at = self.limits.next_ask_at.borrow_mut();
        let server = servers
            .ready_in_service(service)
            .filter(|server| {
                limits.limit_per_s(time.now, server).is_some()
                    || self.is_cold(server)
                    || self.next_room_at(time.now, server).is_some()
            })
            .filter(|server| self.sharing_of(server) == Sharing::Turns)
            .filter(|server| may_run_at(server))
            .filter(|server| {
                self.may_send(server, allowed) && !tried.contains(&server.name)
            })
            .filter(|server| {
                next_ask_at.get(&server.name).is_none_or(|&at| at <= time.now)
            })
            .choose(&mut rand::rng())?;
        let members = self.limit_members();
        let peers = self.peers.borrow();
        let mut holders: Vec<Arc<str>> = limits
            .holders(time, server, &members)
            .into_iter()
            .cloned()
            .collect();
        if holders.is_empty() {
            holders = self.cold_holders(time.now, server);
        }
        if holders.is_empty() {
            holders = self.room_holders(server);
        }
        let addresses: Vec<SocketAddr> = holders
            .iter()
            .filter_map(|name| peers.address_of(time.now, name))
            .collect();
        let address = *addresses.choose(&mut rand::rng())?;
        let interval = ask_interval(&members);
        next_ask_at.retain(|_, at| *at > time.now);
        next_ask_at.insert(Arc::clone(&server.name), time.now + interval);
        Some(PlaceOwner { server: Arc::clone(server), address })
    }

    /// Records whether another daemon gave a place. The next one may be asked
    /// for at once if it did.
    pub fn record_place_response(&self, server: &ListedServer, granted: bool) {
        if granted {
            self.limits.next_ask_at.borrow_mut().remove(&server.name);
        }
    }

    /// Returns what to tell another daemon about limits and brittle services.
    #[must_use]
    pub fn limit_notices(&self) -> Vec<LimitNotice> {
        let mut notices = self.brittle_notices();
        notices.extend(self.limits.limits.borrow_mut().notices(self.now()));
        notices
    }

    /// Merges what another daemon has told about limits and brittle services.
    pub fn merge_limits(&self, notices: &[LimitNotice]) {
        self.merge_brittle(notices);
        let now = self.now();
        let changes = self.limits.limits.borrow_mut().merge(now, notices);
        self.announce(&changes);
    }

    /// Logs changes and tells them to other daemons soon.
    fn announce(&self, changes: &[LimitChange]) {
        for change in changes {
            log_change(change);
            if matches!(change.kind, LimitChangeKind::Named { .. }) {
                self.delay_first_ask(&change.server);
            }
        }
        if !changes.is_empty() {
            self.hasten_gossip();
        }
    }

    /// Spreads the first requests for a place: all daemons learn of a limit
    /// at about the same time, and few of them have places.
    fn delay_first_ask(&self, server: &Arc<str>) {
        let interval = ask_interval(&self.limit_members());
        let delay = interval.mul_f64(rand::random());
        let mut next_ask_at = self.limits.next_ask_at.borrow_mut();
        next_ask_at.insert(Arc::clone(server), self.now() + delay);
    }

    /// Returns the number of servers that have a limit, and logs at intervals
    /// what this daemon uses of each.
    pub fn summarize_limits(&self) -> usize {
        let now = self.now();
        let limits = self.limits.limits.borrow();
        let is_due = now >= self.limits.next_summary_at.get();
        let mut count = 0;
        for limited in limits.limited(now) {
            count += 1;
            if is_due {
                log::info!(
                    "limits: server={} limit_per_s={} since_ms={} source={:?} \
                     used={} turned_away={}",
                    limited.server,
                    limited.limit_per_s,
                    now.saturating_duration_since(limited.since).as_millis(),
                    limited.source,
                    limited.used_requests,
                    limited.turned_away_requests,
                );
            }
        }
        if is_due {
            self.limits.next_summary_at.set(now + SUMMARY_INTERVAL);
        }
        count
    }

    pub(crate) fn sharing_of(&self, server: &ListedServer) -> Sharing {
        let Some(config) = self.config() else { return Sharing::Turns };
        match config.services.get(&server.service).map(|s| &s.work) {
            Some(ServiceWork::Pieces(_)) => Sharing::Exclusive,
            _ => Sharing::Turns,
        }
    }

    pub(crate) fn limit_members(&self) -> LimitMembers {
        let peers = self.peers.borrow();
        let version = peers.present_version();
        let mut copied = self.limits.members.borrow_mut();
        if let Some(members) = &*copied
            && members.version() == version
        {
            return members.clone();
        }
        let local = Arc::clone(&peers.local_member().name);
        let members = LimitMembers::new(local, peers.present_names(), version);
        copied.insert(members).clone()
    }
}

fn ask_interval(members: &LimitMembers) -> Duration {
    let daemons = u32::try_from(members.len()).unwrap_or(u32::MAX);
    (ASK_INTERVAL_PER_DAEMON * daemons).max(MIN_ASK_INTERVAL)
}

fn log_change(change: &LimitChange) {
    let LimitChange { server, born_ms, kind, source } = change;
    let shown = match kind {
        LimitChangeKind::Named { limit_per_s } => {
            format!("state=named limit_per_s={limit_per_s}")
        }
        LimitChangeKind::Changed { from_per_s, to_per_s } => {
            format!(
                "state=changed from_per_s={from_per_s} limit_per_s={to_per_s}"
            )
        }
        LimitChangeKind::Ended { limit_per_s } => {
            format!("state=ended from_per_s={limit_per_s}")
        }
    };
    log::info!(
        "limits: server={server} born_ms={born_ms} {shown} source={source:?}"
    );
}
