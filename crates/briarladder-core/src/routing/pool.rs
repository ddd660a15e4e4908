//! The backend servers of one pool, the subsets that this daemon uses, and
//! the choice among their members.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};

use crate::{
    names::{ModelVersionName, PoolName, ServerName, VmName},
    objects::snapshot::{ResolvedPool, ResolvedServer},
    rendezvous,
    routing::{
        AttemptResult, Distance, LinkUse, NoServer, PickKind, Query, Settings,
        Sharing, cache::PrefixIndex, pool_means::PoolMeans,
        server::ServerView,
    },
    sorted::{SortedMap, SortedSet},
};

/// The fill of the candidate in this zone from which other zones of the
/// region compete with it. Under usual load work stays in the zone; it
/// spreads before queues form.
const SPILL_FILL: f64 = 0.75;

/// The highest fill at which a server is preferred for a cached prefix.
const AFFINITY_MAX_FILL: f64 = 0.75;

/// The load by which a server with the cached prefix may exceed that of the
/// server picked by load, as a share of its slots.
const AFFINITY_SLACK: f64 = 0.25;

/// The most ejected servers considered for each distance when no server is
/// usable.
const FALLBACK_CANDIDATES: usize = 64;

/// Positions in [`PoolView::servers`], by [`Distance`].
#[derive(Clone, Debug, Default)]
struct ByDistance([Vec<usize>; 3]);

impl ByDistance {
    fn at(&self, distance: Distance) -> &[usize] {
        &self.0[distance as usize]
    }

    fn iter(&self) -> impl Iterator<Item = usize> {
        self.0.iter().flatten().copied()
    }
}

/// The position of the picked server, and why it was picked.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) at: usize,
    pub(super) kind: PickKind,
}

/// Which subset members a search considers.
#[derive(Clone, Copy, Eq, PartialEq)]
enum MemberFilter {
    /// Those whose last report is recent enough to exclude that they are
    /// leaving.
    StateKnown,
    Any,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    at: usize,
    load_requests: f64,
    /// The load as a share of the slots.
    fill: f64,
    /// Lower is better.
    score: f64,
}

#[derive(Debug)]
pub(super) struct PoolView {
    pub(super) name: PoolName,
    pub(super) servers: Vec<ServerView>,
    pub(super) prefixes: PrefixIndex,
    /// All servers in rendezvous order.
    order: ByDistance,
    /// The subset for requests that need no model version.
    any_version: ByDistance,
    /// The subset for each version that at least one server has.
    versions: SortedMap<ModelVersionName, ByDistance>,
    pub(super) means: PoolMeans,
    /// When a suspect request last found no idle server.
    exclusive_wait_at: Option<Instant>,
}

impl PoolView {
    pub(super) fn new(
        name: PoolName,
        vm: &VmName,
        servers: Vec<ServerView>,
    ) -> PoolView {
        let mut scored: Vec<(u64, usize)> = servers
            .iter()
            .enumerate()
            .map(|(at, server)| {
                let name = server.resolved.name.as_str();
                (rendezvous::score(vm.as_str(), name), at)
            })
            .collect();
        // Equal scores are ordered by position, which is the order of names.
        scored.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut order = ByDistance::default();
        for (_, at) in scored {
            order.0[servers[at].distance as usize].push(at);
        }
        PoolView {
            name,
            servers,
            prefixes: PrefixIndex::default(),
            order,
            any_version: ByDistance::default(),
            versions: SortedMap::new(),
            means: PoolMeans::new(),
            exclusive_wait_at: None,
        }
    }

    pub(super) fn record_exclusive_wait(&mut self, now: Instant) {
        self.exclusive_wait_at = Some(now);
    }

    /// Returns when the next poll of a subset member is due; `None` means at
    /// once.
    pub(super) fn poll_due_at(
        &self,
        now: Instant,
        at: usize,
        settings: &Settings,
    ) -> Option<Instant> {
        let server = &self.servers[at];
        let exclusive_waits = self.exclusive_wait_at.is_some_and(|last| {
            now.saturating_duration_since(last) < settings.busy_poll_interval
        });
        // Polls show sooner that a server without free slots has one again,
        // and for a suspect request, that a server has become idle.
        let is_busy = server.free_slots(now, &self.means) == 0
            || (exclusive_waits && !server.is_idle(now, &self.means));
        server.poll_due_at(if is_busy {
            settings.busy_poll_interval
        } else {
            settings.poll_interval
        })
    }

    /// Returns whether names, addresses, zones and regions of the servers are
    /// those of a resolved pool.
    pub(super) fn has_servers_of(&self, pool: &ResolvedPool) -> bool {
        let same_place = |a: &ResolvedServer, b: &ResolvedServer| {
            (&a.name, a.address, &a.zone, &a.region)
                == (&b.name, b.address, &b.zone, &b.region)
        };
        self.name == pool.name
            && self.servers.len() == pool.servers.len()
            && self
                .servers
                .iter()
                .zip(&pool.servers)
                .all(|(a, b)| same_place(&a.resolved, b))
    }

    /// Takes over the prefixes of servers that are still in the pool.
    /// `names` has the servers of the old pool in their positions.
    pub(super) fn transfer_prefixes(
        &mut self,
        names: &[ServerName],
        old: &PrefixIndex,
    ) {
        let moved: Vec<Option<usize>> = names
            .iter()
            .map(|name| {
                self.servers
                    .binary_search_by(|s| s.resolved.name.cmp(name))
                    .ok()
                    // At a new address, the server is another process with an
                    // empty cache.
                    .filter(|at| self.servers[*at].cursor.is_started())
            })
            .collect();
        self.prefixes = old.remap_servers(&moved);
    }

    /// Collects the versions that servers have, and recomputes the subsets.
    pub(super) fn refresh_versions(&mut self, settings: &Settings) {
        let servers = self.servers.iter();
        let versions: SortedSet<ModelVersionName> = servers
            .flat_map(|server| server.model_versions().iter().cloned())
            .collect();
        self.versions = versions
            .iter()
            .map(|version| (version.clone(), ByDistance::default()))
            .collect();
        self.refresh(settings);
    }

    /// Recomputes the subsets: the first usable servers of each distance in
    /// rendezvous order.
    pub(super) fn refresh(&mut self, settings: &Settings) {
        self.any_version = self.subset(settings, None);
        let mut versions = std::mem::take(&mut self.versions);
        for (version, subset) in versions.iter_mut() {
            *subset = self.subset(settings, Some(version));
        }
        self.versions = versions;
    }

    fn subset(
        &self,
        settings: &Settings,
        version: Option<&ModelVersionName>,
    ) -> ByDistance {
        let sizes = [
            settings.zone_subset_servers,
            settings.region_subset_servers,
            settings.remote_subset_servers,
        ];
        let mut subset = ByDistance::default();
        for (distance, size) in sizes.into_iter().enumerate() {
            let usable = self.order.0[distance].iter().copied().filter(|at| {
                self.servers[*at].is_usable() && self.has(*at, version)
            });
            subset.0[distance] = usable.take(size).collect();
        }
        subset
    }

    fn has(&self, at: usize, version: Option<&ModelVersionName>) -> bool {
        version.is_none_or(|v| self.servers[at].model_versions().contains(v))
    }

    /// Returns the members of all subsets.
    pub(super) fn members(&self) -> SortedSet<usize> {
        let versions = self.versions.values().flat_map(ByDistance::iter);
        self.any_version.iter().chain(versions).collect()
    }

    /// Returns the members of the subset for any version in this region.
    pub(super) fn near_members(&self) -> impl Iterator<Item = &ServerView> {
        let zone = self.any_version.at(Distance::Zone);
        let region = self.any_version.at(Distance::Region);
        zone.iter().chain(region).map(|at| &self.servers[*at])
    }

    /// Returns the number of servers in this region, including unusable ones.
    pub(super) fn near_pool_servers(&self) -> u32 {
        let near = [Distance::Zone, Distance::Region];
        let servers: usize =
            near.iter().map(|d| self.order.at(*d).len()).sum();
        u32::try_from(servers).unwrap_or(u32::MAX)
    }

    pub(super) fn remote_members(&self) -> impl Iterator<Item = &ServerView> {
        let remote = self.any_version.at(Distance::OtherRegion);
        remote.iter().map(|at| &self.servers[*at])
    }

    pub(super) fn record_finished(
        &mut self,
        now: Instant,
        at: usize,
        result: AttemptResult,
        elapsed: Duration,
    ) {
        if result == AttemptResult::Completed {
            self.means.add_service_time(elapsed);
        }
        self.servers[at].record_finished(now, result, elapsed);
    }

    pub(super) fn pick<R: Rng + ?Sized>(
        &self,
        now: Instant,
        query: &Query<'_>,
        rng: &mut R,
    ) -> Result<Choice, NoServer> {
        let subset = match query.model_version {
            None => &self.any_version,
            Some(version) => self
                .versions
                .get(version)
                .ok_or(NoServer::ModelVersionMissing)?,
        };
        if let Some(near) = self.pick_near(now, query, subset, rng) {
            let cached = self.prefix_holder(now, query, subset, near);
            return Ok(match cached {
                Some(at) => Choice { at, kind: PickKind::CachedPrefix },
                None => Choice { at: near.at, kind: PickKind::Load },
            });
        }
        let near_left = [Distance::Zone, Distance::Region]
            .into_iter()
            .flat_map(|distance| subset.at(distance))
            .any(|at| !self.is_excluded(*at, query));
        let remote = self.choose_member(
            now,
            query,
            subset.at(Distance::OtherRegion),
            |server| link_allowed(server, query, near_left),
            rng,
        );
        if let Some(remote) = remote {
            return Ok(Choice { at: remote.at, kind: PickKind::Load });
        }
        if subset.iter().next().is_none() {
            return self.pick_ejected(query);
        }
        Err(self.no_server_reason(query, subset, near_left))
    }

    fn pick_near<R: Rng + ?Sized>(
        &self,
        now: Instant,
        query: &Query<'_>,
        subset: &ByDistance,
        rng: &mut R,
    ) -> Option<Candidate> {
        let zone = subset.at(Distance::Zone);
        let zone = self.choose_member(now, query, zone, |_| true, rng);
        if zone.is_some_and(|candidate| candidate.fill < SPILL_FILL) {
            return zone;
        }
        let region = subset.at(Distance::Region);
        let region = self.choose_member(now, query, region, |_| true, rng);
        match (zone, region) {
            (Some(zone), Some(region)) if region.fill < zone.fill => {
                Some(region)
            }
            (None, region) => region,
            (zone, _) => zone,
        }
    }

    /// Power of two choices: searches two eligible members from two random
    /// starting points and returns the better one. Each search visits a
    /// member at most once, so the cost is bounded even if most are busy.
    /// Members with a recent report are preferred, because others may be
    /// leaving.
    fn choose_member<R: Rng + ?Sized>(
        &self,
        now: Instant,
        query: &Query<'_>,
        members: &[usize],
        allowed: impl Fn(&ServerView) -> bool,
        rng: &mut R,
    ) -> Option<Candidate> {
        if members.is_empty() {
            return None;
        }
        let skipped = Cell::new(false);
        let is_known = |server: &ServerView| {
            let known = server.is_state_known(now);
            skipped.set(skipped.get() || !known);
            known
        };
        let mut search = |except: Option<usize>, filter: MemberFilter| {
            let (before, after) =
                members.split_at(rng.random_range(0..members.len()));
            after.iter().chain(before).copied().find(|at| {
                let server = &self.servers[*at];
                except != Some(*at)
                    && (filter == MemberFilter::Any || is_known(server))
                    && allowed(server)
                    && self.is_eligible(now, *at, query)
            })
        };
        let (first, filter) = match search(None, MemberFilter::StateKnown) {
            Some(first) => (first, MemberFilter::StateKnown),
            // No member was skipped for its state, so none is eligible.
            None if !skipped.get() => return None,
            None => (search(None, MemberFilter::Any)?, MemberFilter::Any),
        };
        let second = search(Some(first), filter);
        let first = self.candidate(now, first);
        let Some(second) = second else { return Some(first) };
        let second = self.candidate(now, second);
        Some(if second.score < first.score { second } else { first })
    }

    fn candidate(&self, now: Instant, at: usize) -> Candidate {
        let server = &self.servers[at];
        let load_requests = server.effective_load(now, &self.means);
        let slots = f64::from(server.slots().max(1));
        let slowness = server.slowness(now, &self.means);
        Candidate {
            at,
            load_requests,
            fill: load_requests / slots,
            // Counts the new request, so that slowness and slots also
            // matter between idle servers.
            score: (load_requests + 1.0) / slots * slowness,
        }
    }

    fn is_excluded(&self, at: usize, query: &Query<'_>) -> bool {
        query.exclude.contains(&self.servers[at].resolved.name)
    }

    fn is_eligible(&self, now: Instant, at: usize, query: &Query<'_>) -> bool {
        let server = &self.servers[at];
        let has_room = match query.sharing {
            Sharing::Shared => server.free_slots(now, &self.means) > 0,
            Sharing::Exclusive => server.is_idle(now, &self.means),
        };
        has_room && server.is_usable() && !self.is_excluded(at, query)
    }

    /// Returns a member with the prefix in its cache, unless its load is much
    /// higher than that of the member picked by load.
    fn prefix_holder(
        &self,
        now: Instant,
        query: &Query<'_>,
        subset: &ByDistance,
        near: Candidate,
    ) -> Option<usize> {
        let prefix_hash = query.prefix_hash?;
        self.prefixes
            .holders(prefix_hash)
            .filter(|at| {
                let distance = self.servers[*at].distance;
                distance != Distance::OtherRegion
                    && subset.at(distance).contains(at)
                    && self.is_eligible(now, *at, query)
            })
            .map(|at| self.candidate(now, at))
            .filter(|cached| {
                let slots = f64::from(self.servers[cached.at].slots());
                let slack = (slots * AFFINITY_SLACK).max(1.0);
                cached.fill <= AFFINITY_MAX_FILL
                    && cached.load_requests <= near.load_requests + slack
            })
            .min_by(|a, b| a.score.total_cmp(&b.score))
            .map(|cached| cached.at)
    }

    /// Picks the ejected server that is due for a probe first. Refusing all
    /// requests would be worse, because the fault may be in the network of
    /// this daemon.
    fn pick_ejected(&self, query: &Query<'_>) -> Result<Choice, NoServer> {
        let mut reason = NoServer::AllLeaving;
        for distance in
            [Distance::Zone, Distance::Region, Distance::OtherRegion]
        {
            let candidates = self
                .order
                .at(distance)
                .iter()
                .copied()
                .filter(|at| {
                    let server = &self.servers[*at];
                    !server.is_leaving()
                        && self.has(*at, query.model_version)
                        && link_allowed(server, query, false)
                })
                .take(FALLBACK_CANDIDATES);
            let mut best = None;
            for at in candidates {
                if self.is_excluded(at, query) {
                    reason = NoServer::AllExcluded;
                } else {
                    let until = self.servers[at].probe_at();
                    best = best.min(Some((until, at))).or(Some((until, at)));
                }
            }
            if let Some((_, at)) = best {
                return Ok(Choice { at, kind: PickKind::Fallback });
            }
        }
        Err(reason)
    }

    /// Returns why no member of a subset was picked.
    fn no_server_reason(
        &self,
        query: &Query<'_>,
        subset: &ByDistance,
        near_left: bool,
    ) -> NoServer {
        if near_left {
            return NoServer::AllBusy;
        }
        let mut remote = subset
            .at(Distance::OtherRegion)
            .iter()
            .filter(|at| !self.is_excluded(**at, query))
            .peekable();
        if remote.peek().is_none() {
            return NoServer::AllExcluded;
        }
        if remote.any(|at| link_allowed(&self.servers[*at], query, false)) {
            NoServer::AllBusy
        } else {
            NoServer::TooFar
        }
    }
}

/// Returns whether the link to a server may be used. Always true for servers
/// of this region.
fn link_allowed(
    server: &ServerView,
    query: &Query<'_>,
    near_left: bool,
) -> bool {
    if server.distance != Distance::OtherRegion {
        return true;
    }
    let slack = query.time_left.saturating_sub(query.estimate);
    let arrives = slack >= server.round_trip && !slack.is_zero();
    // If the slack is too short to wait for one more request to finish in
    // this region, using the link later would miss the deadline.
    let deadline_needs = slack < query.estimate + server.round_trip;
    let wanted = match query.link_use {
        LinkUse::Never => false,
        LinkUse::IfNeeded => !near_left || deadline_needs || !server.billed,
    };
    arrives && wanted
}
