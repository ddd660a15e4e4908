//! What this daemon knows of the software versions that began streams.
//!
//! The decisions are made in [`briarladder_core::fleet::stream_versions`]. The
//! records of streams are replicated by [`crate::peers::stream_origins`].

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::fleet::{
    config::{FleetConfig, Route},
    server::ListedServer,
    stream_versions::{
        MAX_ATTEMPT_BYTES, MAX_STREAM_SPAN, OriginNotice, Software,
        StreamOrigins, VersionHistory, VersionSummary, rerouted_services,
        resumable_services,
    },
};
use tokio::sync::{Mutex, Notify};

use crate::{blackboard::Blackboard, store::CatchUp};

/// The longest time without word of the store after which a listing of the
/// servers leaves no gap. Servers drain for seconds before they leave, so no
/// version comes and goes within it.
const MAX_LISTING_GAP: Duration = Duration::from_secs(3);

/// The versions that began streams; owner of the records: the request path,
/// of the history: the store controller.
#[derive(Debug, Default)]
pub struct StreamVersions {
    origins: RefCell<StreamOrigins>,
    history: RefCell<VersionHistory>,
    /// The last question for all changes of the store.
    pub(crate) last_catch_up: Mutex<Option<CatchUp>>,
    /// When this daemon last heard of the store, directly or from a peer.
    heard_at: Cell<Option<Instant>>,
    /// The services for which this daemon last knew the sole version.
    settled_services: RefCell<Vec<Arc<str>>>,
    /// Records that wait to be replicated.
    queue: RefCell<Vec<OriginNotice>>,
    queued: Notify,
}

impl StreamVersions {
    /// Creates the state of a process whose fleet serves something, or starts
    /// for the first time.
    #[must_use]
    pub fn new(history: VersionHistory) -> StreamVersions {
        StreamVersions {
            history: RefCell::new(history),
            ..StreamVersions::default()
        }
    }

    /// Waits until records are to be replicated.
    pub async fn wait_queued(&self) {
        self.queued.notified().await;
    }

    /// Returns the records that are to be replicated.
    #[must_use]
    pub fn take_queue(&self) -> Vec<OriginNotice> {
        self.queue.take()
    }
}

impl Blackboard {
    /// Records that a version has brought the first event of a stream to its
    /// caller, or goes on with it.
    pub fn record_stream(
        &self,
        attempt: &Arc<str>,
        software: &Software,
        route: &Route,
    ) {
        let versions = &self.stream_versions;
        let now = self.now();
        versions.origins.borrow_mut().record(now, attempt, software);
        let service = &software.service;
        // The records of a settled service are sent when it no longer is.
        let is_settled = route.splits.len() == 1
            && versions
                .settled_services
                .borrow()
                .binary_search(service)
                .is_ok()
            && self.sole_version(service).is_some();
        if is_settled || attempt.len() > MAX_ATTEMPT_BYTES {
            return;
        }
        log::info!("streams: id={attempt} software={software} event=recorded");
        versions.queue.borrow_mut().push(OriginNotice {
            attempt: Arc::clone(attempt),
            software: software.clone(),
            age_ms: 0,
        });
        versions.queued.notify_one();
    }

    /// Adds the records of another daemon.
    pub fn merge_streams(&self, notices: &[OriginNotice]) {
        let now = self.now();
        self.stream_versions.origins.borrow_mut().merge(now, notices);
    }

    /// Returns the version that began a stream, if this daemon knows it.
    #[must_use]
    pub fn stream_software(&self, attempt: &str) -> Option<Software> {
        let origins = self.stream_versions.origins.borrow();
        origins.find(self.now(), attempt).cloned()
    }

    /// Returns the only version of a service that may have begun streams which
    /// callers still take up. A daemon that receives no changes may not know
    /// the others.
    #[must_use]
    pub fn sole_version(&self, service: &str) -> Option<Arc<str>> {
        if !self.receives_changes() {
            return None;
        }
        let history = self.stream_versions.history.borrow();
        history.sole_version(self.now(), service, &self.servers.borrow())
    }

    /// Records that all changes of the store are known by now, one by one.
    pub fn record_heard_of_store(&self) {
        self.stream_versions.heard_at.set(Some(self.now()));
    }

    /// Records a listing of the servers, or what differs from the last one. A
    /// version may have come and gone in between, unless this daemon had heard
    /// of the store a short while before it asked.
    pub fn record_versions_listed(&self, asked_at: Instant, is_new_era: bool) {
        let now = self.now();
        let heard_at = self.stream_versions.heard_at.get();
        let has_gap = heard_at.is_some_and(|heard_at| {
            asked_at.saturating_duration_since(heard_at) > MAX_LISTING_GAP
        });
        let missed_changes = is_new_era || has_gap;
        let mut history = self.stream_versions.history.borrow_mut();
        history.record_listing(now, missed_changes);
    }

    /// Records that a listed server has gone or changed.
    pub fn record_server_changed(
        &self,
        known: &ListedServer,
        server: Option<&ListedServer>,
    ) {
        let software = Software::of(known);
        if server.is_some_and(|server| Software::of(server) == software) {
            return;
        }
        let now = self.now();
        let mut history = self.stream_versions.history.borrow_mut();
        history.record_departure(now, software);
    }

    /// Records a change of the configuration: streams that have begun at
    /// another service may be taken up where their route leads now.
    pub fn record_rerouted(&self, before: &FleetConfig, after: &FleetConfig) {
        let now = self.now();
        let mut history = self.stream_versions.history.borrow_mut();
        for service in rerouted_services(before, after) {
            history.record_unknown(now, &service);
        }
    }

    /// Returns whether the versions of all streams that may be taken up are
    /// known, or need not be asked for.
    #[must_use]
    pub fn knows_versions(&self) -> bool {
        self.stream_versions.history.borrow().is_covered(self.now())
    }

    /// Returns the versions that this daemon knows, for another one.
    #[must_use]
    pub fn summarize_versions(&self) -> VersionSummary {
        let history = self.stream_versions.history.borrow();
        let servers = self.servers.borrow();
        let mut summary = history.summarize(self.now(), servers.iter());
        if !self.receives_changes() {
            // Versions may have come that this daemon has not heard of.
            summary.covered_ms = 0;
        }
        summary
    }

    /// Merges the versions that another daemon knows.
    pub fn merge_versions(&self, summary: &VersionSummary) {
        let now = self.now();
        self.stream_versions.history.borrow_mut().merge(now, summary);
    }

    /// Queues the records of services whose sole version is no longer known:
    /// from now on other daemons need them. Drops old records.
    pub fn update_stream_versions(&self) {
        let Some(config) = self.config() else { return };
        let now = self.now();
        let versions = &self.stream_versions;
        versions.origins.borrow_mut().expire(now);
        let settled: Vec<Arc<str>> = resumable_services(&config)
            .into_iter()
            .filter(|service| self.sole_version(service).is_some())
            .collect();
        let before = versions.settled_services.replace(settled);
        let settled = versions.settled_services.borrow();
        let unsettled = before
            .iter()
            .filter(|service| settled.binary_search(service).is_err());
        for service in unsettled {
            let notices = versions.origins.borrow().notices(now, service);
            log::info!(
                "streams: service={service} event=several_versions \
                 records={} span_s={}",
                notices.len(),
                MAX_STREAM_SPAN.as_secs()
            );
            versions.queue.borrow_mut().extend(notices);
            versions.queued.notify_one();
        }
    }
}
