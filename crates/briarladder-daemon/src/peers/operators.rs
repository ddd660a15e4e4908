//! The server for operators: the status of the daemon and its timeline.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    membership::Member,
    objects::{Role, snapshot::Snapshot},
    routing::ObservedServer,
    timeline::EventPage,
};
use briarladder_wire::operators::{
    DaemonPhase, DaemonReadiness, DaemonStatus, ErrorStatus, EventsQuery,
    MAX_PAGE_EVENTS, MemberStatus, OperatorsServer, PoolStatus, ProblemStatus,
    ReportStatus, ServerStatus, ZoneStatus,
};
use jsonrpsee::{
    RpcModule,
    core::{RpcResult, async_trait},
};

use crate::{blackboard::Phase, daemon::Daemon};

/// Returns the RPC methods for operators.
pub(super) fn methods(daemon: &Arc<Daemon>) -> RpcModule<impl Sized + use<>> {
    OperatorsService(Arc::clone(daemon)).into_rpc()
}

struct OperatorsService(Arc<Daemon>);

#[async_trait]
impl OperatorsServer for OperatorsService {
    async fn status(&self) -> RpcResult<DaemonStatus> {
        Ok(status(&self.0))
    }

    async fn events(&self, query: EventsQuery) -> RpcResult<EventPage> {
        let limit = query.limit_events.unwrap_or(MAX_PAGE_EVENTS);
        let limit = limit.clamp(1, MAX_PAGE_EVENTS);
        Ok(self.0.events.page(query.from_sequence, limit, &query.filter))
    }
}

fn status(daemon: &Daemon) -> DaemonStatus {
    let now = daemon.clock.now();
    let configuration = daemon.blackboard.configuration();
    let snapshot = configuration.snapshot.as_deref();
    let phase = match daemon.blackboard.phase() {
        Phase::Running => DaemonPhase::Running,
        Phase::Announced => DaemonPhase::Announced,
        Phase::Draining => DaemonPhase::Draining,
    };
    let readiness = if phase == DaemonPhase::Running && snapshot.is_some() {
        DaemonReadiness::Ready
    } else {
        DaemonReadiness::NotReady
    };
    let problem = configuration.problem.clone().map(|reason| {
        let since = configuration.problem_since;
        let since = since.unwrap_or(daemon.started_at.unix);
        ProblemStatus { reason, since_unix_ms: to_ms(since) }
    });
    let (behind_since, announcement) =
        daemon.config.with(|s| (s.behind_since(), s.announcement()));
    DaemonStatus {
        vm: daemon.settings.vm.clone(),
        zone: daemon.settings.zone.clone(),
        address: daemon.peer_address,
        incarnation: daemon.incarnation,
        phase,
        uptime_ms: age_ms(now, daemon.started_at.monotonic),
        epoch: snapshot.map(|s| s.epoch),
        known_epoch: announcement.known,
        floor_epoch: configuration.floor_epoch,
        behind_for_ms: behind_since.map(|at| age_ms(now, at)),
        readiness,
        problem,
        members: members(daemon, now),
        zones: snapshot.map(zones).unwrap_or_default(),
        pools: snapshot.map(|s| pools(daemon, s)).unwrap_or_default(),
        servers: servers(daemon, now, snapshot),
        open_requests: daemon.open_requests_len() as u64,
        open_tickets: daemon.calls.open_tickets(now) as u64,
        suspect_requests: Some(daemon.suspects.lock().len() as u64),
    }
}

fn members(daemon: &Daemon, now: Instant) -> Vec<MemberStatus> {
    let status = |member: &Member| MemberStatus {
        vm: member.name.clone(),
        zone: member.zone.clone(),
        address: member.address,
        incarnation: member.incarnation,
        state: member.state,
        state_for_ms: age_ms(now, member.since()),
        epoch: member.epoch,
    };
    daemon.members.with(|members| members.iter().map(status).collect())
}

fn zones(snapshot: &Snapshot) -> Vec<ZoneStatus> {
    let regions = snapshot.regions.values();
    regions
        .flat_map(|region| {
            region.zones.iter().map(|zone| ZoneStatus {
                zone: zone.name.clone(),
                region: region.name.clone(),
                declared_servers: u32::try_from(zone.servers.len())
                    .unwrap_or(u32::MAX),
            })
        })
        .collect()
}

fn pools(daemon: &Daemon, snapshot: &Snapshot) -> Vec<PoolStatus> {
    let pools = snapshot.pools.values();
    pools
        .map(|pool| {
            let load = daemon.slots.pool_load(&pool.name);
            PoolStatus {
                pool: pool.name.clone(),
                role: pool.role,
                slots_requests: load.slots_requests,
                queue_len_requests: load.queue_len_requests as u64,
                running_requests: load.running_requests,
            }
        })
        .collect()
}

fn servers(
    daemon: &Daemon,
    now: Instant,
    snapshot: Option<&Snapshot>,
) -> Vec<ServerStatus> {
    let Some(snapshot) = snapshot else { return Vec::new() };
    let observed = daemon.router.lock().observed_servers();
    let role = |observed: &ObservedServer| {
        let pool = snapshot.pools.get(&observed.server.pool);
        pool.map(|pool| pool.role)
    };
    // For a moment, the router may have servers of another epoch, whose pool
    // is not in this snapshot.
    let in_snapshot =
        observed.into_iter().filter_map(|s| Some((role(&s)?, s)));
    in_snapshot.map(|(role, observed)| server(now, role, observed)).collect()
}

fn server(now: Instant, role: Role, observed: ObservedServer) -> ServerStatus {
    let ObservedServer { server, report, last_error, .. } = observed;
    ServerStatus {
        server: server.name.clone(),
        pool: server.pool.clone(),
        role,
        address: server.address,
        zone: server.zone.clone(),
        distance: observed.distance,
        state: observed.state,
        out_for_ms: observed.unusable_since.map(|at| age_ms(now, at)),
        declared_versions: server.model_versions.clone(),
        versions_differ_for_ms: observed
            .versions_differ_since
            .map(|at| age_ms(now, at)),
        in_flight_requests: observed.in_flight_requests,
        report: report.map(|report| ReportStatus {
            age_ms: age_ms(now, report.at),
            load_requests: report.load_requests,
            slots_requests: report.slots_requests,
            loaded_versions: report.model_versions,
        }),
        last_error: last_error.map(|error| ErrorStatus {
            reason: Arc::from(error.failure.to_string()),
            age_ms: age_ms(now, error.at),
        }),
    }
}

fn age_ms(now: Instant, at: Instant) -> u64 {
    to_ms(now.saturating_duration_since(at))
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
