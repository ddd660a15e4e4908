//! Chooses the backend server for an attempt.
//!
//! A [`Router`] holds what one daemon knows of the load of servers. Load
//! reports lag, and all daemons see the same ones; if each chose the least
//! loaded server, they would all choose the same. So each daemon adds the
//! attempts that it has sent since the last report, and picks the better of
//! two random members of its own subset.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::{
//!     names::{PoolName, VmName, ZoneName},
//!     routing::{NoServer, Query, Router, Settings},
//! };
//!
//! let vm = VmName::new("vm-1").unwrap();
//! let zone = ZoneName::new("recife-a").unwrap();
//! let router = Router::new(Settings::new(vm, zone));
//! let pool = PoolName::new("engines").unwrap();
//! let second = Duration::from_secs(1);
//! let query = Query::new(&pool, second, second / 10);
//! let picked = router.pick(Instant::now(), &query, &mut rand::rng());
//! assert_eq!(picked.unwrap_err(), NoServer::UnknownPool);
//! ```

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::Rng;

use crate::{
    ids::Incarnation,
    load::LoadReport,
    names::{PoolName, RegionName, ServerName, StageName},
    objects::snapshot::{ResolvedServer, Snapshot},
    sorted::SortedMap,
};

mod cache;
mod cross_region;
mod observed;
mod pool;
mod pool_means;
mod server;
mod types;

pub use cache::CacheEvent;
pub use cross_region::{CrossRegionBytes, StageBytes};
pub use observed::{
    LastError, ObservedReport, ObservedServer, ObservedState, ServerFailure,
};
pub use types::{
    AttemptResult, Distance, LinkUse, ListedState, NoServer, Pick, PickKind,
    Poll, PollReason, PoolSlots, Query, Settings, Sharing,
};

use pool::PoolView;
use server::{ReportEffect, ServerView};

#[derive(Clone, Copy, Debug)]
struct Location {
    pool: usize,
    at: usize,
}

/// The state and load of backend servers, as one daemon knows them.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    region: Option<RegionName>,
    /// Sorted by name, as in the snapshot.
    pools: Vec<PoolView>,
    index: SortedMap<ServerName, Location>,
    cross_region: CrossRegionBytes,
}

impl Router {
    /// Creates a router that knows no servers.
    #[must_use]
    pub fn new(settings: Settings) -> Router {
        Router {
            settings,
            region: None,
            pools: Vec::new(),
            index: SortedMap::new(),
            cross_region: CrossRegionBytes::default(),
        }
    }

    /// Replaces the servers by those of a snapshot. State and load are kept
    /// for servers that stay in their pool at the same address.
    pub fn apply_snapshot(&mut self, now: Instant, snapshot: &Snapshot) {
        let region = snapshot.region_of(&self.settings.zone).cloned();
        let pools = snapshot.pools.values();
        let same = region == self.region
            && self.pools.len() == pools.len()
            && self.pools.iter().zip(pools).all(|(a, b)| a.has_servers_of(b));
        self.region = region;
        if same {
            self.update_servers(now, snapshot);
        } else {
            self.rebuild(now, snapshot);
        }
    }

    /// Updates the properties of servers from a snapshot with the same
    /// servers, which is the usual case.
    fn update_servers(&mut self, now: Instant, snapshot: &Snapshot) {
        for (view, pool) in self.pools.iter_mut().zip(snapshot.pools.values())
        {
            let mut same_versions = true;
            for (server, new) in view.servers.iter_mut().zip(&pool.servers) {
                let old = &server.resolved.model_versions;
                same_versions &= *old == new.model_versions;
                server.resolved = Arc::clone(new);
                server.record_versions(now);
                if let Some(region) = &self.region {
                    let cost = snapshot.link_cost(region, &new.region);
                    server.set_link(cost.one_way, cost.billed);
                }
            }
            if !same_versions {
                view.refresh_versions(&self.settings);
            }
        }
    }

    fn rebuild(&mut self, now: Instant, snapshot: &Snapshot) {
        let old_pools = std::mem::take(&mut self.pools);
        let mut old_prefixes = Vec::new();
        let mut old_servers = Vec::new();
        for pool in old_pools {
            let names = pool.servers.iter().map(|s| s.resolved.name.clone());
            let names: Vec<ServerName> = names.collect();
            old_prefixes.push((pool.name, names, pool.prefixes, pool.means));
            let servers = pool.servers.into_iter();
            old_servers.extend(servers.map(|s| (s.resolved.name.clone(), s)));
        }
        let mut known: SortedMap<ServerName, ServerView> =
            old_servers.into_iter().collect();
        for pool in snapshot.pools.values() {
            let servers = pool.servers.iter().map(|resolved| {
                let old = known.get_mut(&resolved.name);
                self.resolve_server(now, snapshot, resolved, old)
            });
            let servers = servers.collect();
            let mut view =
                PoolView::new(pool.name.clone(), &self.settings.vm, servers);
            view.refresh_versions(&self.settings);
            let old =
                old_prefixes.iter().find(|(name, ..)| *name == pool.name);
            if let Some((_, names, index, means)) = old {
                view.transfer_prefixes(names, index);
                view.means = *means;
            }
            self.pools.push(view);
        }
        let pools = self.pools.iter().enumerate();
        self.index = pools
            .flat_map(|(pool, view)| {
                view.servers.iter().enumerate().map(move |(at, server)| {
                    (server.resolved.name.clone(), Location { pool, at })
                })
            })
            .collect();
    }

    /// Creates the view of a server. It takes over the state of `old` if
    /// pool and address are the same.
    fn resolve_server(
        &self,
        now: Instant,
        snapshot: &Snapshot,
        resolved: &Arc<ResolvedServer>,
        old: Option<&mut ServerView>,
    ) -> ServerView {
        let mut server = ServerView::new(now, Arc::clone(resolved));
        if let Some(old) = old {
            let (a, b) = (&old.resolved, resolved);
            if a.address == b.address && a.pool == b.pool {
                std::mem::swap(&mut server, old);
                server.resolved = Arc::clone(resolved);
                server.record_versions(now);
            }
        }
        server.distance = if resolved.zone == self.settings.zone {
            Distance::Zone
        } else if Some(&resolved.region) == self.region.as_ref() {
            Distance::Region
        } else {
            Distance::OtherRegion
        };
        if let Some(region) = &self.region {
            let cost = snapshot.link_cost(region, &resolved.region);
            server.set_link(cost.one_way, cost.billed);
        }
        server
    }

    fn pool(&self, name: &PoolName) -> Option<&PoolView> {
        let at = self.pools.binary_search_by(|pool| pool.name.cmp(name));
        at.ok().map(|at| &self.pools[at])
    }

    fn locate(&mut self, name: &ServerName) -> Option<(&mut PoolView, usize)> {
        let location = *self.index.get(name)?;
        Some((&mut self.pools[location.pool], location.at))
    }

    /// Applies a load report. Ignores it if a newer one was applied before
    /// or if it belongs to an old incarnation. If it came with a response,
    /// call [`Router::record_finished`] first.
    pub fn apply_report(
        &mut self,
        now: Instant,
        server: &ServerName,
        report: &LoadReport,
    ) {
        let Some((pool, at)) = self.locate(server) else { return };
        let view = &mut pool.servers[at];
        let usable = view.is_usable();
        let effect = view.apply_report(now, report);
        if let (true, Some(fill)) =
            (effect != ReportEffect::Ignored, view.others_fill())
        {
            pool.means.add_others_fill(fill);
        }
        if effect == ReportEffect::Restarted {
            pool.prefixes.remove_server(at, &mut view.cursor);
        }
        if usable != view.is_usable() {
            let name = &view.resolved.name;
            let state = if usable { "leaves" } else { "joins" };
            log::info!("routing: {name} {state} the usable servers");
        }
        let usable_changed = usable != view.is_usable();
        let Some(location) = self.index.get(server) else { return };
        let pool = &mut self.pools[location.pool];
        match effect {
            ReportEffect::Versions | ReportEffect::Restarted => {
                pool.refresh_versions(&self.settings);
            }
            ReportEffect::Load if usable_changed => {
                pool.refresh(&self.settings);
            }
            ReportEffect::Load | ReportEffect::Ignored => {}
        }
    }

    /// Applies a change to one server, and refreshes the subsets if the
    /// server becomes usable or unusable by it.
    fn update_server(
        &mut self,
        server: &ServerName,
        change: impl FnOnce(&mut PoolView, usize),
    ) {
        let Some((pool, at)) = self.locate(server) else { return };
        let usable = pool.servers[at].is_usable();
        change(pool, at);
        if usable == pool.servers[at].is_usable() {
            return;
        }
        if usable {
            log::warn!("routing: {server} gets no new work");
        }
        if let Some(location) = self.index.get(server) {
            self.pools[location.pool].refresh(&self.settings);
        }
    }

    /// Sets the state of a server in the platform's list.
    pub fn set_listed(
        &mut self,
        now: Instant,
        server: &ServerName,
        state: ListedState,
    ) {
        self.update_server(server, |pool, at| {
            pool.servers[at].set_listed(now, state);
        });
    }

    /// Picks a server for one attempt.
    ///
    /// # Errors
    ///
    /// Returns why there is none. Only [`NoServer::AllBusy`] passes without
    /// a change of servers or query.
    pub fn pick<R: Rng + ?Sized>(
        &self,
        now: Instant,
        query: &Query<'_>,
        rng: &mut R,
    ) -> Result<Pick, NoServer> {
        let pool = self.pool(query.pool).ok_or(NoServer::UnknownPool)?;
        let choice = pool.pick(now, query, rng)?;
        let server = &pool.servers[choice.at];
        Ok(Pick {
            server: Arc::clone(&server.resolved),
            distance: server.distance,
            kind: choice.kind,
            sharing: query.sharing,
        })
    }

    /// Returns the incarnation in the last report of a server.
    #[must_use]
    pub fn incarnation(&self, server: &ServerName) -> Option<Incarnation> {
        let location = self.index.get(server)?;
        self.pools[location.pool].servers[location.at].incarnation()
    }

    /// Records that a suspect request waits for an idle server of a pool.
    /// Servers that run requests by their last report are polled sooner while
    /// it waits; no response to this daemon may show that they became idle.
    pub fn record_exclusive_wait(&mut self, now: Instant, pool: &PoolName) {
        let at = self.pools.binary_search_by(|view| view.name.cmp(pool));
        if let Ok(at) = at {
            self.pools[at].record_exclusive_wait(now);
        }
    }

    /// Counts an attempt as in flight. Call it before the first byte is sent.
    pub fn record_sent(&mut self, now: Instant, pick: &Pick) {
        if let Some((pool, at)) = self.locate(&pick.server.name) {
            pool.servers[at].record_sent(now, pick.sharing);
        }
    }

    /// Records the end of an attempt counted by [`Router::record_sent`].
    pub fn record_finished(
        &mut self,
        now: Instant,
        server: &ServerName,
        result: AttemptResult,
        elapsed: Duration,
    ) {
        self.update_server(server, |pool, at| {
            pool.record_finished(now, at, result, elapsed);
        });
    }

    /// Ejects a server that did not respond to a load poll.
    pub fn record_poll_failure(&mut self, now: Instant, server: &ServerName) {
        self.update_server(server, |pool, at| {
            pool.servers[at].record_poll_failure(now);
        });
    }

    /// Returns the slots of a pool, for admission.
    #[must_use]
    pub fn free_slots(&self, now: Instant, pool: &PoolName) -> PoolSlots {
        let mut slots = PoolSlots::default();
        let Some(pool) = self.pool(pool) else { return slots };
        slots.near_pool_servers = pool.near_pool_servers();
        for server in pool.near_members() {
            slots.near_subset_servers += 1;
            slots.near_slots_requests += server.slots();
            slots.near_free_requests += server.free_slots(now, &pool.means);
        }
        for server in pool.remote_members() {
            slots.remote_free_requests += server.free_slots(now, &pool.means);
        }
        slots.in_flight_requests =
            pool.servers.iter().map(|server| server.in_flight).sum();
        slots
    }

    /// Returns the servers whose load must be polled now, the longest due
    /// first, and marks them as polled.
    pub fn take_due_polls(&mut self, now: Instant) -> Vec<Poll> {
        let mut due = Vec::new();
        for (pool, view) in self.pools.iter().enumerate() {
            for (at, server) in view.servers.iter().enumerate() {
                if server.probe_due(now) {
                    let since = server.probe_at();
                    let location = Location { pool, at };
                    due.push((since, location, PollReason::Probe));
                }
            }
            for at in &view.members() {
                let since = view.poll_due_at(now, *at, &self.settings);
                if since.is_none_or(|since| since <= now) {
                    let location = Location { pool, at: *at };
                    due.push((since, location, PollReason::ReportDue));
                }
            }
        }
        // `None` sorts first: the server was never polled and has sent no
        // report.
        due.sort_by_key(|(since, ..)| *since);
        due.truncate(self.settings.max_polls);
        due.into_iter()
            .map(|(_, Location { pool, at }, reason)| {
                let server = &mut self.pools[pool].servers[at];
                server.record_poll(now);
                Poll { server: Arc::clone(&server.resolved), reason }
            })
            .collect()
    }

    /// Applies numbered events of a server's prefix cache. After a gap in
    /// the numbers, earlier knowledge of this cache is discarded.
    pub fn apply_cache_events(
        &mut self,
        server: &ServerName,
        first_sequence: u64,
        events: &[CacheEvent],
    ) {
        if let Some((pool, at)) = self.locate(server) {
            let cursor = &mut pool.servers[at].cursor;
            pool.prefixes.apply(at, cursor, first_sequence, events);
        }
    }

    /// Adds the bytes of an attempt if the server is in another region.
    pub fn record_bytes(
        &mut self,
        stage: &StageName,
        server: &ServerName,
        bytes: StageBytes,
    ) {
        let Some((pool, at)) = self.locate(server) else { return };
        if pool.servers[at].distance == Distance::OtherRegion {
            let (sent, received) = (bytes.sent_bytes, bytes.received_bytes);
            self.cross_region.add(stage, sent, received);
        }
    }

    /// Returns the servers that this daemon observes: those of its zone,
    /// those of its subsets, and those that were polled or have sent a
    /// report.
    #[must_use]
    pub fn observed_servers(&self) -> Vec<ObservedServer> {
        let mut observed = Vec::new();
        for pool in &self.pools {
            let members = pool.members();
            let servers = pool.servers.iter().enumerate();
            let in_view = servers.filter(|(at, server)| {
                server.distance == Distance::Zone
                    || members.contains(at)
                    || server.was_asked()
            });
            observed.extend(in_view.map(|(_, server)| server.observe()));
        }
        observed
    }

    /// Returns the bytes exchanged with other regions.
    #[must_use]
    pub fn cross_region_bytes(&self) -> &CrossRegionBytes {
        &self.cross_region
    }
}

#[cfg(test)]
mod tests;
