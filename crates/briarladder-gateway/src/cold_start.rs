//! Backend servers that have started a short while ago.
//!
//! The rules are in [`briarladder_core::fleet::cold_start`]. What says that a
//! server is cold is recorded here: its entry in the store, its responses, and
//! the end of an evacuation. Requests take their places through
//! [`PlaceFinder`](crate::server_limits::PlaceFinder).

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Instant};

use briarladder_core::fleet::{
    cold_start::{
        BecameCold, BecameWarm, Caller, ColdCallers, ColdLimit, ColdServers,
        ColdStartBound,
    },
    mirror::ServerEntry,
    placement::Regions,
    server::ListedServer,
};

use crate::{
    blackboard::Blackboard, dialect::ResponseHead, metrics::Metrics,
    settings::GatewaySettings,
};

/// The cold servers, and what this daemon uses of them.
#[derive(Debug)]
pub(crate) struct ColdStartState {
    servers: RefCell<ColdServers>,
    /// `None` if the platform sets no bound, so that no server is cold.
    bound: Option<ColdStartBound>,
    regions: Regions,
    /// The daemons that share the places, copied when they have changed.
    callers: RefCell<Option<Rc<ColdCallers>>>,
}

impl ColdStartState {
    /// Creates the state of a process that has just started.
    pub(crate) fn new(
        settings: &GatewaySettings,
        started_at: Instant,
    ) -> ColdStartState {
        ColdStartState {
            servers: RefCell::new(ColdServers::new(started_at)),
            bound: settings.cold_start_bound,
            regions: settings.region_map(),
            callers: RefCell::default(),
        }
    }
}

impl Blackboard {
    /// Records what the entry of a server says of its start, or that it was
    /// removed.
    pub fn observe_cold_start(&self, entry: &ServerEntry) {
        let now = self.now();
        let mut servers = self.cold_start.servers.borrow_mut();
        let Some(server) = &entry.server else {
            return servers.record_removal(now, &entry.name);
        };
        let limit = self.cold_limit(&server.service);
        let change =
            servers.observe_entry(now, server, entry.cold_left, limit);
        log_cold(change);
    }

    /// Records that all listed servers were observed.
    pub fn record_listing(&self) {
        self.cold_start.servers.borrow_mut().end_first_listing();
    }

    /// Records that the servers of a zone get requests again after its
    /// evacuation.
    pub fn record_zone_return(&self, zone: &str) {
        let now = self.now();
        let listed = self.servers.borrow();
        for server in listed.iter().filter(|server| *server.zone == *zone) {
            let Some(limit) = self.cold_limit(&server.service) else {
                continue;
            };
            let mut servers = self.cold_start.servers.borrow_mut();
            log_cold(servers.record_return(now, server, limit));
        }
    }

    /// Records what a response says of the start of its server.
    pub(crate) fn record_cold_response(
        &self,
        server: &ListedServer,
        info: &ResponseHead,
    ) {
        let Some(cold_left) = info.cold_left else { return };
        let Some(limit) = self.cold_limit(&server.service) else { return };
        if info.wrong_server {
            return;
        }
        let mut servers = self.cold_start.servers.borrow_mut();
        let now = self.now();
        log_cold(servers.observe_response(now, server, cold_left, limit));
    }

    /// Returns whether a server is cold.
    #[must_use]
    pub fn is_cold(&self, server: &ListedServer) -> bool {
        self.cold_start.servers.borrow().is_cold(self.now(), server)
    }

    /// Returns when this daemon has its next place at a cold server; `None` if
    /// the server isn't cold.
    pub(crate) fn next_cold_place_at(
        &self,
        now: Instant,
        server: &ListedServer,
    ) -> Option<Instant> {
        let mut servers = self.cold_start.servers.borrow_mut();
        if !servers.is_cold(now, server) {
            return None;
        }
        let callers = self.cold_callers();
        let sharing = self.sharing_of(server);
        servers.next_place_at(now, server, sharing, &callers)
    }

    /// Takes a place at a cold server, and returns whether there was one.
    /// There always is one at a server that isn't cold.
    #[must_use = "a request may only be sent if it got a place"]
    pub(crate) fn take_cold_place(
        &self,
        now: Instant,
        server: &ListedServer,
    ) -> bool {
        let mut servers = self.cold_start.servers.borrow_mut();
        if !servers.is_cold(now, server) {
            return true;
        }
        let callers = self.cold_callers();
        let sharing = self.sharing_of(server);
        servers.take_place(now, server, sharing, &callers)
    }

    /// Counts that a request passed over a cold server without a place.
    pub(crate) fn record_cold_skip(&self, server: &ListedServer) {
        self.cold_start.servers.borrow_mut().record_skipped(server);
    }

    /// Returns the daemons that send to a cold server.
    pub(crate) fn cold_holders(
        &self,
        now: Instant,
        server: &ListedServer,
    ) -> Vec<Arc<str>> {
        let callers = self.cold_callers();
        let servers = self.cold_start.servers.borrow();
        servers.holders(now, server, &callers).into_iter().cloned().collect()
    }

    /// Logs and counts the servers that are no longer cold, and updates the
    /// number of those that are.
    pub fn update_cold_servers(&self, metrics: &Metrics) {
        let mut servers = self.cold_start.servers.borrow_mut();
        for warm in servers.expire(self.now()) {
            metrics.cold_sends.inc_by(warm.used_requests);
            metrics.cold_skips.inc_by(warm.skipped);
            log_warm(&warm);
        }
        let count = i64::try_from(servers.len()).unwrap_or(i64::MAX);
        metrics.cold_servers.set(count);
    }

    /// Returns the limit of the cold servers of a service; `None` if they are
    /// never cold.
    fn cold_limit(&self, service: &str) -> Option<ColdLimit> {
        let bound = self.cold_start.bound?;
        let spec = self.config()?.services.get(service)?.cold_start?;
        ColdLimit::new(spec, bound)
    }

    fn cold_callers(&self) -> Rc<ColdCallers> {
        let peers = self.peers.borrow();
        let version = peers.present_version();
        let is_complete = self.knows_members();
        let mut copied = self.cold_start.callers.borrow_mut();
        if let Some(callers) = &*copied
            && callers.version == version
            && callers.is_complete == is_complete
        {
            return Rc::clone(callers);
        }
        let members = peers.present().map(|member| Caller {
            name: Arc::clone(&member.name),
            zone: Arc::clone(&member.zone),
        });
        let callers = ColdCallers {
            local: Arc::clone(&peers.local_member().name),
            members: members.collect(),
            version,
            regions: self.cold_start.regions.clone(),
            is_complete,
        };
        Rc::clone(copied.insert(Rc::new(callers)))
    }

    /// Returns whether this daemon has heard from another one, or is the only
    /// one of the fleet.
    pub(crate) fn knows_members(&self) -> bool {
        let is_alone = || {
            let local = self.peers.borrow().local_member().address;
            self.seeds.borrow().iter().all(|seed| *seed == local)
        };
        self.joined_at.get().is_some() || is_alone()
    }
}

fn log_cold(change: Option<BecameCold>) {
    let Some(BecameCold { server, cold_left, reason }) = change else {
        return;
    };
    log::info!(
        "cold_start: server={server} state=cold for_ms={} reason={reason:?}",
        cold_left.as_millis()
    );
}

fn log_warm(warm: &BecameWarm) {
    let BecameWarm { server, cold_time, used_requests, skipped } = warm;
    log::info!(
        "cold_start: server={server} state=warm after_ms={} \
         used={used_requests} skipped={skipped}",
        cold_time.as_millis()
    );
}
