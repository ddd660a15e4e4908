//! The state that the controllers of a gateway and the request path share.
//!
//! Each field has one owner that writes it; all other tasks only read it. All
//! tasks run on one thread, so a reader sees a consistent state until it
//! awaits.

mod prefill;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    clock::SharedClock,
    fleet::{
        availability::ServerAvailability,
        budget::{RetryBudget, RetryBudgetConfig},
        cells::Cells,
        config::{CallerLimits, FleetConfig, ServiceWork},
        crash_tracker::CrashTracker,
        evacuation::EvacuatedZones,
        fetch_time::FetchTimeEstimator,
        hedging::Hedging,
        mirror::Mirror,
        peers::{Member, PeerTable},
        placement::{Placement, Regions},
        reconciliation::Reconciliation,
        residency::AllowedRegions,
        server::{ListedServer, ServerState, Servers},
        server_paths::ServerPaths,
        shutdown::Shutdown,
        stage_waits::StageWaitTable,
        store_roles::{self, Role, SourceTracker},
        stream_versions::VersionHistory,
        suspension::SuspensionDetector,
    },
    sorted::SortedMap,
};

use tokio::sync::Notify;

use crate::{
    brittle_servers::BrittleState, cold_start::ColdStartState,
    dialect::ResponseHead, in_flight::InFlightState,
    request::cache_evidence::CacheListings, server_limits::LimitState,
    settings::GatewaySettings, stream_versions::StreamVersions,
};

pub use prefill::PrefillGuard;

/// The phase of a process between start and exit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lifecycle {
    /// The process accepts requests.
    Serving,
    /// A graceful shutdown has started.
    Stopping(Shutdown),
}

/// Whether this daemon can reach the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreStatus {
    /// The store has not responded since the process started.
    NeverReached,
    /// Other daemons read the store for this one.
    ReadByPeers,
    /// The store responds.
    Reachable,
    /// The store has not responded since this time.
    UnreachableSince(Instant),
}

/// How this daemon receives changes of the store.
#[derive(Clone, Debug)]
pub struct StoreRole {
    /// Whether it reads the store or follows another daemon.
    pub role: Role,
    /// The long-poll timeout of a call to the daemon that it follows.
    pub follower_poll_timeout: Duration,
    /// The long-poll timeout of a call to the store.
    pub reader_poll_timeout: Duration,
}

/// The versions of the inputs that the cells are computed from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CellsVersion {
    servers: u64,
    availability: u64,
    config_changes: u64,
    evacuations: u64,
}

/// The shared state of a gateway.
#[derive(Debug)]
pub struct Blackboard {
    /// The clock of the process.
    pub clock: SharedClock,
    /// The availability zone of this daemon.
    pub zone: Arc<str>,
    /// The region of each zone.
    pub regions: Regions,
    /// The address of the store.
    pub store_address: SocketAddr,
    /// Local copy of the store; owner: the store controller.
    pub mirror: RefCell<Mirror>,
    /// Notified when the copy has changed or the store is lost; owner: the
    /// store controller.
    pub mirror_changed: Notify,
    /// The daemons that this one receives changes from; owner: the store
    /// controller.
    pub source_tracker: RefCell<SourceTracker>,
    /// Whether the store is reachable; owner: the store controller.
    pub store_status: Cell<StoreStatus>,
    /// Configuration in force; owner: the store controller.
    config: RefCell<Option<Rc<FleetConfig>>>,
    /// Whether it binds some requests to regions.
    binds_regions: Cell<bool>,
    /// How often a configuration came into force; owner: the store controller.
    config_changes: Cell<u64>,
    /// Listed servers; owner: the store controller.
    pub servers: RefCell<Servers>,
    /// Whether this daemon reaches the servers; owner: the client for servers.
    pub server_paths: RefCell<ServerPaths>,
    /// Zones whose servers get no new work; owner: the store controller.
    pub evacuated_zones: RefCell<EvacuatedZones>,
    /// Servers for which the listing of a restored store does not hold yet;
    /// owner: the store controller.
    pub reconciliation: RefCell<Reconciliation>,
    /// Notified when a listing does not hold for some servers; owner: the
    /// store controller.
    pub reconciliation_changed: Notify,
    /// When this daemon received the listing of the last restored store;
    /// owner: the store controller.
    pub restored_at: Cell<Option<Instant>>,
    /// The software versions that began streams; owners: the request path and
    /// the store controller.
    pub stream_versions: StreamVersions,
    /// The prompt caches of engines that were asked; owner: the request path.
    pub cache_listings: CacheListings,
    /// Requests that crash servers; owner: the request path.
    pub crash_tracker: RefCell<CrashTracker>,
    /// Servers that are leaving or have asked for a pause; owner: the request
    /// path.
    pub availability: RefCell<ServerAvailability>,
    /// Limits that servers have named; owner: the request path.
    pub(crate) limits: LimitState,
    /// Services whose servers are brittle; owner: the request path.
    pub(crate) brittle: BrittleState,
    /// How long new requests wait for each service at each coordinator;
    /// owner: the membership controller.
    pub stage_waits: RefCell<StageWaitTable>,
    /// Servers that are cold, and the places there; owners: the store
    /// controller and the request path.
    pub(crate) cold_start: ColdStartState,
    /// Live daemons; owner: the membership controller.
    pub peers: RefCell<PeerTable>,
    /// Notified when the next gossip message should be sent at once; owner:
    /// this type.
    pub urgent_news: Notify,
    /// When another daemon first responded; owner: the membership controller.
    pub joined_at: Cell<Option<Instant>>,
    /// When the process started.
    pub started_at: Instant,
    /// The longest time until this daemon acts on a change of the store.
    pub max_change_delay: Duration,
    /// Observed failures and delays of servers; owner: the request path.
    pub placement: RefCell<Placement>,
    /// Requests of this daemon in flight at each server; owner: the request
    /// path.
    pub(crate) in_flight: InFlightState,
    /// Retry budgets by service; owner: the request path.
    retry_budgets: RefCell<SortedMap<Arc<str>, RetryBudget>>,
    retry_budget_config: RetryBudgetConfig,
    /// Decides about sends to a second server while a first one is slow;
    /// owner: the request path.
    pub hedging: RefCell<Hedging>,
    /// Estimates how long servers take to fetch inputs; owner: the request
    /// path.
    pub fetch_estimator: RefCell<FetchTimeEstimator>,
    /// The cells of the servers that produce pieces, with the versions of the
    /// inputs that they were computed from; computed on demand.
    cells: RefCell<(CellsVersion, Rc<Cells>)>,
    /// Peer addresses to contact first; owner: the process.
    pub seeds: RefCell<Vec<SocketAddr>>,
    /// Whether the process is shutting down; owner: the process.
    pub lifecycle: Cell<Lifecycle>,
    /// Notified after a suspension of the VM was detected; owner: this type.
    pub suspension_detected: Notify,
    suspension: Cell<SuspensionDetector>,
    /// Notified when a graceful shutdown starts; owner: the process.
    pub shutdown_started: Notify,
    /// Requests of callers in progress; owner: the listener.
    pub open_requests: Cell<usize>,
    /// Requests of which this daemon runs the stages, for itself or for other
    /// daemons; owner: the coordinator.
    pub open_stages: Cell<usize>,
    /// Connections of callers that the process must not cut off although no
    /// request is in progress there; owner: the listener.
    pub awaited_connections: Cell<usize>,
}

impl Blackboard {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new(
        clock: SharedClock,
        settings: &GatewaySettings,
        local_member: Member,
    ) -> Rc<Blackboard> {
        let started_at = clock.now();
        let history = if settings.is_first_start {
            VersionHistory::first_start(started_at)
        } else {
            VersionHistory::default()
        };
        Rc::new(Blackboard {
            clock,
            zone: Arc::clone(&settings.zone),
            regions: settings.region_map(),
            store_address: settings.store_address,
            mirror: RefCell::default(),
            mirror_changed: Notify::new(),
            source_tracker: RefCell::default(),
            store_status: Cell::new(StoreStatus::NeverReached),
            config: RefCell::new(None),
            binds_regions: Cell::new(false),
            config_changes: Cell::new(0),
            servers: RefCell::default(),
            server_paths: RefCell::default(),
            evacuated_zones: RefCell::default(),
            reconciliation: RefCell::default(),
            reconciliation_changed: Notify::new(),
            restored_at: Cell::new(None),
            availability: RefCell::default(),
            stream_versions: StreamVersions::new(history),
            cache_listings: CacheListings::default(),
            crash_tracker: RefCell::default(),
            limits: LimitState::new(started_at),
            brittle: BrittleState::default(),
            cold_start: ColdStartState::new(settings, started_at),
            peers: RefCell::new(PeerTable::new(local_member)),
            stage_waits: RefCell::default(),
            urgent_news: Notify::new(),
            joined_at: Cell::new(None),
            started_at,
            max_change_delay: settings.max_change_delay(),
            placement: RefCell::new(Placement::new(settings.region_map())),
            in_flight: InFlightState::default(),
            retry_budgets: RefCell::default(),
            retry_budget_config: settings.retry_budget,
            hedging: RefCell::new(Hedging::new(settings.extra_send_ratio)),
            fetch_estimator: RefCell::default(),
            cells: RefCell::default(),
            seeds: RefCell::new(settings.seeds.clone()),
            lifecycle: Cell::new(Lifecycle::Serving),
            suspension_detected: Notify::new(),
            suspension: Cell::default(),
            shutdown_started: Notify::new(),
            open_requests: Cell::new(0),
            open_stages: Cell::new(0),
            awaited_connections: Cell::new(0),
        })
    }

    /// Returns the monotonic time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the limits of callers in force.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        self.config().map(|config| config.limits).unwrap_or_default()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Rc<FleetConfig>> {
        self.config.borrow().clone()
    }

    /// Returns whether some requests may be served in some regions only.
    #[must_use]
    pub fn binds_regions(&self) -> bool {
        self.binds_regions.get()
    }

    /// Puts a configuration in force.
    pub fn set_config(&self, config: FleetConfig) {
        self.binds_regions.set(config.binds_regions());
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.config_changes.set(self.config_changes.get() + 1);
    }

    /// Returns the current versions of the inputs of [`Self::cells`].
    #[must_use]
    pub fn cells_version(&self) -> CellsVersion {
        CellsVersion {
            servers: self.servers.borrow().change_count(),
            availability: self.availability.borrow().change_count(),
            config_changes: self.config_changes.get(),
            evacuations: self.evacuated_zones.borrow().change_count(),
        }
    }

    /// Returns the cells of the servers that produce pieces, recomputed if
    /// their inputs have changed.
    #[must_use]
    pub fn cells(&self) -> Rc<Cells> {
        let Some(config) = self.config() else { return Rc::default() };
        let version = self.cells_version();
        let servers = self.servers.borrow();
        let (computed_from, cells) = &mut *self.cells.borrow_mut();
        if *computed_from != version {
            let producers =
                config.services.iter().filter_map(|(name, service)| {
                    let produces_pieces =
                        matches!(service.work, ServiceWork::Pieces(_));
                    produces_pieces.then(|| {
                        servers.ready_in_service(name).map(|server| &**server)
                    })
                });
            let divided = Cells::from_services(producers);
            *cells = Rc::new(divided.with_regions(self.regions.clone()));
            *computed_from = version;
        }
        Rc::clone(cells)
    }

    /// Returns whether a server is in an evacuated zone. Nothing may be sent to
    /// it; what runs there goes on.
    #[must_use]
    pub fn is_evacuated(&self, server: &ListedServer) -> bool {
        self.evacuated_zones.borrow().contains(&server.zone)
    }

    /// Returns whether a server accepts new requests, according to the
    /// operator, to the platform and to its own responses.
    #[must_use]
    pub fn accepts_work(&self, server: &ListedServer) -> bool {
        server.state == ServerState::Ready
            && !self.is_evacuated(server)
            && self.availability.borrow().is_available(self.now(), server)
    }

    /// Returns whether a request that may be served in some regions may be
    /// sent to a server now.
    #[must_use]
    pub fn may_send(
        &self,
        server: &ListedServer,
        allowed: &AllowedRegions,
    ) -> bool {
        self.regions.allow(allowed, &server.zone) && self.accepts_work(server)
    }

    /// Records whether a server is leaving or asks for a pause, according to
    /// the head of one of its responses.
    pub fn record_availability(
        &self,
        server: &ListedServer,
        info: &ResponseHead,
    ) {
        let now = self.now();
        self.record_cold_response(server, info);
        let mut availability = self.availability.borrow_mut();
        if info.leaving && availability.mark_leaving(now, server) {
            log::info!("servers: server={} state=says_leaving", server.name);
        }
        if let Some(pause) = info.retry_after
            && availability.pause_for(now, server, pause)
        {
            log::info!(
                "servers: server={} state=closed for_ms={}",
                server.name,
                pause.as_millis()
            );
        }
    }

    /// Returns whether callers can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.lifecycle.get() == Lifecycle::Serving
            && self.config.borrow().is_some()
            && !self.servers.borrow().is_empty()
    }

    /// Returns whether callers can be served, and requests that crash servers
    /// are known as far as other daemons know them.
    #[must_use]
    pub fn reports_ready(&self) -> bool {
        self.is_ready() && self.crash_tracker.borrow().is_synced()
    }

    /// Returns the graceful shutdown, if one has started.
    #[must_use]
    pub fn shutdown(&self) -> Option<Shutdown> {
        match self.lifecycle.get() {
            Lifecycle::Serving => None,
            Lifecycle::Stopping(shutdown) => Some(shutdown),
        }
    }

    /// Returns whether requests without a response head get a final response
    /// now, because the process is about to exit.
    #[must_use]
    pub fn final_responses_due(&self) -> bool {
        self.shutdown().is_some_and(|shutdown| {
            self.now() >= shutdown.final_responses_at()
        })
    }

    /// Waits until a graceful shutdown no longer leaves time for responses:
    /// requests without a response head must then get a final response.
    pub async fn wait_for_final_responses(&self) {
        let shutdown = loop {
            let started = self.shutdown_started.notified();
            if let Some(shutdown) = self.shutdown() {
                break shutdown;
            }
            started.await;
        };
        tokio::time::sleep_until(shutdown.final_responses_at().into()).await;
    }

    /// Records the first attempt of a request to a service, which adds to its
    /// retry budget.
    pub fn record_first_send(&self, service: &Arc<str>) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_first_send(now));
        self.hedging.borrow_mut().record_first_send(service);
    }

    /// Takes a retry from the budget of a service. Returns whether the budget
    /// allowed it.
    #[must_use = "a retry is allowed only if this returns true"]
    pub fn try_spend_retry(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        let daemons = self.peers.borrow().peak_live_count();
        self.with_budget(service, |budget| budget.try_spend(now, daemons))
    }

    /// Returns whether the retry budget of a service covers a send beside a
    /// running one.
    #[must_use]
    pub fn covers_extra_send(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        let daemons = self.peers.borrow().peak_live_count();
        self.with_budget(service, |budget| {
            budget.covers_extra_send(now, daemons)
        })
    }

    fn with_budget<T>(
        &self,
        service: &Arc<str>,
        use_budget: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let config = self.retry_budget_config;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        use_budget(
            retry_budgets.get_or_insert_with(Arc::clone(service), || {
                RetryBudget::new(config)
            }),
        )
    }

    /// Detects whether the process was suspended since the last check. If so,
    /// it no longer counts as receiving changes, since servers may have left
    /// meanwhile. Retry budgets stay, because retries before the suspension
    /// may fall into the same window. Returns whether pooled connections must
    /// be dropped.
    pub fn check_suspension(&self) -> bool {
        let mut detector = self.suspension.get();
        let suspended = detector.check(self.now(), self.clock.suspended());
        self.suspension.set(detector);
        let Some(suspended) = suspended else { return false };
        log::warn!(
            "process: event=woken did_not_run_ms={}",
            suspended.as_millis()
        );
        *self.source_tracker.borrow_mut() = SourceTracker::default();
        self.store_status.set(StoreStatus::UnreachableSince(self.now()));
        self.suspension_detected.notify_waiters();
        true
    }

    /// Sends the next gossip messages faster, the first one at once, because
    /// of a crash that other daemons need to know.
    pub fn hasten_gossip(&self) {
        self.peers.borrow_mut().set_urgent_news(self.now());
        self.urgent_news.notify_one();
    }

    /// Records that another daemon has responded.
    pub fn mark_joined(&self, now: Instant) {
        if self.joined_at.get().is_none() {
            self.joined_at.set(Some(now));
        }
    }

    /// Returns how this daemon receives changes of the store.
    #[must_use]
    pub fn store_role(&self) -> StoreRole {
        let peers = self.peers.borrow();
        let live = peers.live_in_zone(self.now());
        let role =
            store_roles::role(&peers.local_member().name, &self.zone, &live);
        StoreRole {
            role,
            follower_poll_timeout: store_roles::follower_poll_timeout(
                self.max_change_delay,
            ),
            reader_poll_timeout: store_roles::reader_poll_timeout(
                self.max_change_delay,
                live.len(),
            ),
        }
    }

    /// Returns whether this daemon receives changes, from the store or from
    /// another daemon that does.
    #[must_use]
    pub fn receives_changes(&self) -> bool {
        match self.store_status.get() {
            StoreStatus::Reachable => true,
            StoreStatus::NeverReached
            | StoreStatus::ReadByPeers
            | StoreStatus::UnreachableSince(_) => {
                self.source_tracker.borrow().is_fresh(self.now())
            }
        }
    }

    /// Returns for how long the store has been unreachable; `None` if it is
    /// reachable or other daemons read it for this one.
    #[must_use]
    pub fn store_unreachable_for(&self) -> Option<Duration> {
        match self.store_status.get() {
            StoreStatus::UnreachableSince(since) => {
                Some(self.now().duration_since(since))
            }
            StoreStatus::NeverReached => Some(Duration::MAX),
            StoreStatus::Reachable | StoreStatus::ReadByPeers => None,
        }
    }
}
