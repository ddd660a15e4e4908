//! One daemon: its view of the store and its decisions.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::fleet::{
    server::{ListedServer, Servers},
    stream_versions::{
        Software, StreamOrigins, VersionHistory, VersionSummary, lone_versions,
    },
};

use super::store::{Change, SERVICES, Store};

/// After this time without the store, a daemon knows that it is cut off.
const CUT_NOTICED_AFTER: Duration = Duration::from_secs(1);

/// A machine.
pub(super) struct Daemon {
    pub(super) name: Arc<str>,
    /// How long after a change it learns of it.
    pub(super) lag: Duration,
    /// From when until when it is cut off from the store and other daemons.
    pub(super) cut: Option<(Instant, Instant)>,
    /// `None` while it does not run.
    pub(super) process: Option<Process>,
}

/// What the process of a daemon knows.
pub(super) struct Process {
    pub(super) started_at: Instant,
    /// The revision of the store that it has seen.
    pub(super) revision: usize,
    /// The revision of its last full listing, if it had one.
    pub(super) listed: Option<usize>,
    /// Whether the next thing that it learns is a full listing.
    pub(super) misses_changes: bool,
    pub(super) servers: Servers,
    pub(super) history: VersionHistory,
    pub(super) origins: StreamOrigins,
    /// By service, whether it had a sole version.
    had_sole: [bool; SERVICES.len()],
    pub(super) next_exchange_at: Instant,
}

impl Process {
    pub(super) fn new(now: Instant, history: VersionHistory) -> Process {
        Process {
            started_at: now,
            revision: 0,
            listed: None,
            misses_changes: false,
            servers: Servers::default(),
            history,
            origins: StreamOrigins::default(),
            had_sole: [false; SERVICES.len()],
            next_exchange_at: now,
        }
    }

    /// Reads the whole list of servers.
    pub(super) fn list(&mut self, now: Instant, store: &Store, to: usize) {
        let to = to.max(self.revision);
        let servers = store.list(to);
        for before in self.servers.iter() {
            let is_kept = servers.get(&before.name).is_some_and(|after| {
                Software::of(after) == Software::of(before)
            });
            if !is_kept {
                self.history.record_departure(now, Software::of(before));
            }
        }
        let missed_changes = self.listed.is_some();
        self.history.record_listing(now, missed_changes);
        self.servers = servers;
        self.revision = to;
        self.listed = Some(to);
        self.misses_changes = false;
    }

    /// Applies the changes up to a revision.
    pub(super) fn follow(&mut self, now: Instant, store: &Store, to: usize) {
        for change in store.changes(self.revision, to) {
            self.apply(now, change);
        }
        self.revision = self.revision.max(to);
    }

    fn apply(&mut self, now: Instant, change: &Change) {
        let before = self.servers.get(&change.name).map(Arc::clone);
        if let Some(before) = before {
            let after = change.entry.as_ref();
            let is_same = after.is_some_and(|entry| {
                Software::of(entry) == Software::of(&before)
            });
            if !is_same {
                self.history.record_departure(now, Software::of(&before));
            }
        }
        match &change.entry {
            Some(entry) => self.servers.insert(entry.clone()),
            None => {
                self.servers.remove(&change.name);
            }
        }
    }

    pub(super) fn sole(
        &self,
        now: Instant,
        service: &str,
    ) -> Option<Arc<str>> {
        self.listed?;
        self.history.sole_version(now, service, &self.servers)
    }

    /// Returns the services that no longer have a sole version.
    pub(super) fn services_mixed(
        &mut self,
        now: Instant,
    ) -> impl Iterator<Item = &'static str> + use<> {
        let sole_now = SERVICES.map(|name| self.sole(now, name).is_some());
        let sole_before = std::mem::replace(&mut self.had_sole, sole_now);
        let change = move |at: &usize| sole_before[*at] && !sole_now[*at];
        (0..SERVICES.len()).filter(change).map(|at| SERVICES[at])
    }

    /// Returns the servers at which a new stream may begin.
    pub(super) fn candidates(&self, service: &str) -> Vec<ListedServer> {
        let ready: Vec<&ListedServer> =
            self.servers.ready_in_service(service).map(|s| &**s).collect();
        let lone = lone_versions(ready.iter().copied());
        let kept = ready
            .into_iter()
            .filter(|server| !lone.contains(&server.software_version));
        kept.cloned().collect()
    }

    /// Returns the ready servers of a version.
    pub(super) fn ready_of(&self, software: &Software) -> Vec<ListedServer> {
        let ready = self.servers.ready_in_service(&software.service);
        let ready = ready.map(|server| &**server);
        ready.filter(|server| software.runs_at(server)).cloned().collect()
    }

    pub(super) fn summary(
        &self,
        now: Instant,
        receives_changes: bool,
    ) -> VersionSummary {
        let mut summary = self.history.summarize(now, self.servers.iter());
        if !receives_changes || self.listed.is_none() {
            summary.covered_ms = 0;
        }
        summary
    }
}

impl Daemon {
    pub(super) fn is_cut(&self, now: Instant) -> bool {
        self.cut.is_some_and(|(from, to)| from <= now && now < to)
    }

    /// Returns whether the daemon assumes that it receives changes.
    pub(super) fn receives_changes(&self, now: Instant) -> bool {
        !self.is_cut(now)
            || self.cut.is_some_and(|(from, _)| now < from + CUT_NOTICED_AFTER)
    }
}
