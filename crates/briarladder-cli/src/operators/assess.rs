//! Compares what daemons say with what was declared.
//!
//! # Example
//!
//! ```
//! use briarladder_cli::operators::assess::assess;
//!
//! assert_eq!(assess(&[]).epoch, None);
//! ```

use std::net::SocketAddr;

use briarladder_core::{
    membership::MemberState,
    names::{
        ModelVersionName, PoolName, RegionName, ServerName, VmName, ZoneName,
    },
    objects::Role,
    routing::ObservedState,
    sorted::{SortedMap, SortedSet},
};
use briarladder_wire::operators::{
    DaemonPhase, DaemonReadiness, DaemonStatus, ErrorStatus, MemberStatus,
    ReportStatus, ServerStatus,
};
use derive_more::Display;
use serde::Serialize;

use super::client::{DiscoveredDaemon, StatusResult};

/// From this age on, a load report is a finding. Daemons ask each server of
/// their subsets every second.
const REPORT_STALE_MS: u64 = 10_000;

/// What a finding is about.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", content = "name", rename_all = "snake_case")]
pub enum Subject {
    /// A daemon, by VM or address.
    #[display("daemon {_0}")]
    Daemon(String),
    /// An availability zone.
    #[display("zone {_0}")]
    Zone(ZoneName),
    /// A backend server.
    #[display("server {_0}")]
    Server(ServerName),
}

/// Since when something is not in line.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Since {
    /// For a time, by the clock of a daemon.
    ForMs(u64),
    /// A wall-clock time in milliseconds since the Unix epoch.
    UnixMs(u64),
    /// No daemon that answered knows.
    Unknown,
}

impl From<Option<u64>> for Since {
    fn from(for_ms: Option<u64>) -> Since {
        for_ms.map_or(Since::Unknown, Since::ForMs)
    }
}

/// Something that is not as declared, or can't be asked.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// What it is about.
    pub subject: Subject,
    /// Since when.
    pub since: Since,
    /// Why.
    pub reason: String,
}

/// An availability zone.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ZoneRow {
    /// The zone.
    pub zone: ZoneName,
    /// Its region; absent if the zone is not declared.
    pub region: Option<RegionName>,
    /// Its daemons that answered.
    pub daemons_answered: usize,
    /// Its daemons.
    pub daemons: usize,
    /// Its backend servers with a recent report that get new work.
    pub servers_ready: usize,
    /// The backend servers declared in it.
    pub servers_declared: usize,
}

/// A backend server, from the best view of it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ServerRow {
    /// The server.
    pub server: ServerName,
    /// Its pool.
    pub pool: PoolName,
    /// Its role.
    pub role: Role,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Whether it gets new work from the daemon with this view.
    pub state: ObservedState,
    /// The daemon with this view.
    pub seen_by: VmName,
    /// The daemons that have it in view.
    pub daemons_in_view: usize,
    /// Declared and not loaded.
    pub missing_versions: Vec<ModelVersionName>,
    /// Loaded and not declared.
    pub extra_versions: Vec<ModelVersionName>,
    /// The newest report.
    pub report: Option<ReportStatus>,
    /// The last failure in this view.
    pub last_error: Option<ErrorStatus>,
}

/// The state of a whole deployment.
#[derive(Clone, Debug, Serialize)]
pub struct FleetStatus {
    /// The highest epoch in force anywhere.
    pub epoch: Option<u64>,
    /// What is not in line; empty if all is.
    pub findings: Vec<Finding>,
    /// The daemons, reachable or not.
    pub daemons: Vec<DiscoveredDaemon>,
    /// The zones.
    pub zones: Vec<ZoneRow>,
    /// The backend servers.
    pub servers: Vec<ServerRow>,
}

/// Assesses the replies of all daemons.
#[must_use]
pub fn assess(places: &[DiscoveredDaemon]) -> FleetStatus {
    let statuses: Vec<&DaemonStatus> =
        places.iter().filter_map(DiscoveredDaemon::status).collect();
    let epoch = statuses.iter().filter_map(|s| s.epoch).max();
    let mut findings = Vec::new();
    for place in places {
        assess_daemon(place, epoch, &statuses, &mut findings);
    }
    let (servers, server_findings) = assess_servers(&statuses);
    let zones = assess_zones(places, &servers, &mut findings);
    findings.extend(server_findings);
    FleetStatus { epoch, findings, daemons: places.to_vec(), zones, servers }
}

fn assess_daemon(
    place: &DiscoveredDaemon,
    epoch: Option<u64>,
    statuses: &[&DaemonStatus],
    findings: &mut Vec<Finding>,
) {
    let mut find = |since, reason| {
        let subject = Subject::Daemon(place.label());
        findings.push(Finding { subject, since, reason });
    };
    let doubts = doubts(place, statuses);
    let status = match &place.result {
        StatusResult::Received(status) => status,
        StatusResult::Unreachable(cause) => {
            let for_ms = doubts.iter().map(|d| d.member.state_for_ms).max();
            return find(for_ms.into(), format!("unreachable: {cause}"));
        }
    };
    if status.phase != DaemonPhase::Running {
        let reason = format!("in a planned stop: {}", status.phase);
        find(Since::Unknown, reason);
    }
    if let Some(problem) = &status.problem {
        let since = Since::UnixMs(problem.since_unix_ms);
        find(since, problem.reason.to_string());
    } else if status.phase == DaemonPhase::Running
        && status.readiness == DaemonReadiness::NotReady
    {
        find(Since::Unknown, "not ready".into());
    }
    if let Some(highest) = epoch
        && status.epoch.is_none_or(|own| own < highest)
    {
        let own = status.epoch.map_or("no epoch".into(), |e| format!("{e}"));
        let reason =
            format!("behind: {own} in force, and {highest} elsewhere");
        find(status.behind_for_ms.into(), reason);
    }
    for Doubt { by, member } in doubts {
        let since = Since::ForMs(member.state_for_ms);
        let state = member.state;
        find(since, format!("answers, but {by} holds it {state}"));
    }
}

/// A daemon that another one holds to be suspect or dead.
struct Doubt<'a> {
    by: &'a VmName,
    member: &'a MemberStatus,
}

fn doubts<'a>(
    place: &DiscoveredDaemon,
    statuses: &[&'a DaemonStatus],
) -> Vec<Doubt<'a>> {
    let mut doubts = Vec::new();
    for status in statuses {
        let members = status.members.iter().filter(|m| {
            matches!(m.state, MemberState::Suspect | MemberState::Dead)
                && Some(&m.vm) == place.vm.as_ref()
        });
        doubts.extend(members.map(|member| Doubt { by: &status.vm, member }));
    }
    doubts
}

/// One daemon's view of one server.
#[derive(Clone, Copy)]
struct Sight<'a> {
    by: &'a DaemonStatus,
    server: &'a ServerStatus,
}

impl Sight<'_> {
    /// Orders views: the newest epoch declares, the newest report counts.
    fn rank(&self) -> (std::cmp::Reverse<Option<u64>>, u64) {
        let age_ms =
            self.server.report.as_ref().map_or(u64::MAX, |r| r.age_ms);
        (std::cmp::Reverse(self.by.epoch), age_ms)
    }
}

fn assess_servers(
    statuses: &[&DaemonStatus],
) -> (Vec<ServerRow>, Vec<Finding>) {
    let mut views: SortedMap<ServerName, Vec<Sight<'_>>> = SortedMap::new();
    for &by in statuses {
        for server in &by.servers {
            views
                .get_or_insert_with(server.server.clone(), Vec::new)
                .push(Sight { by, server });
        }
    }
    let newest = statuses.iter().filter_map(|s| s.epoch).max();
    let mut rows = Vec::new();
    let mut findings = Vec::new();
    for (_, sights) in views.iter_mut() {
        sights.sort_by_key(Sight::rank);
        // A server that only older epochs declare is no longer declared.
        if sights[0].by.epoch == newest {
            rows.push(assess_server(sights, &mut findings));
        }
    }
    rows.sort_by(|a, b| (&a.zone, &a.server).cmp(&(&b.zone, &b.server)));
    (rows, findings)
}

fn assess_server(
    sights: &[Sight<'_>],
    findings: &mut Vec<Finding>,
) -> ServerRow {
    let best = sights[0].server;
    let mut find = |since, reason| {
        let subject = Subject::Server(best.server.clone());
        findings.push(Finding { subject, since, reason });
    };
    let out = sights.iter().filter(|s| {
        !matches!(
            s.server.state,
            ObservedState::Ready | ObservedState::Unreported
        )
    });
    let out: Vec<&Sight<'_>> = out.collect();
    if let Some(first) = out.iter().max_by_key(|s| s.server.out_for_ms) {
        let error = first.server.last_error.as_ref();
        let error = error.map_or(String::new(), |e| format!(": {}", e.reason));
        let reason = format!(
            "{} for {} of {} daemons in whose view it is, first {}{error}",
            first.server.state,
            out.len(),
            sights.len(),
            first.by.vm
        );
        find(first.server.out_for_ms.into(), reason);
    }
    let mut missing_versions = Vec::new();
    let mut extra_versions = Vec::new();
    // A daemon that is behind in its epoch may be the only one that has asked
    // the server.
    let reports = sights.iter().filter_map(|s| s.server.report.as_ref());
    let newest_report = reports.min_by_key(|report| report.age_ms);
    match newest_report {
        None if out.is_empty() => {
            find(Since::Unknown, "no daemon has a load report of it".into());
        }
        None => {}
        Some(report) => {
            if report.age_ms >= REPORT_STALE_MS {
                let since = Since::ForMs(report.age_ms);
                find(since, "no newer load report".into());
            }
            let less = |of: &[ModelVersionName], by: &[ModelVersionName]| {
                of.iter().filter(|v| !by.contains(v)).cloned().collect()
            };
            missing_versions =
                less(&best.declared_versions, &report.loaded_versions);
            extra_versions =
                less(&report.loaded_versions, &best.declared_versions);
        }
    }
    if !missing_versions.is_empty() || !extra_versions.is_empty() {
        let reason = versions_reason(&missing_versions, &extra_versions);
        find(best.versions_differ_for_ms.into(), reason);
    }
    ServerRow {
        server: best.server.clone(),
        pool: best.pool.clone(),
        role: best.role,
        zone: best.zone.clone(),
        address: best.address,
        state: best.state,
        seen_by: sights[0].by.vm.clone(),
        daemons_in_view: sights.len(),
        missing_versions,
        extra_versions,
        report: newest_report.cloned(),
        last_error: best.last_error.clone(),
    }
}

fn versions_reason(
    missing: &[ModelVersionName],
    extra: &[ModelVersionName],
) -> String {
    let names = |versions: &[ModelVersionName]| {
        let names = versions.iter().map(ToString::to_string);
        names.collect::<Vec<_>>().join(", ")
    };
    let mut parts = Vec::new();
    if !missing.is_empty() {
        parts.push(format!("declared and not loaded: {}", names(missing)));
    }
    if !extra.is_empty() {
        parts.push(format!("loaded and not declared: {}", names(extra)));
    }
    parts.join("; ")
}

fn assess_zones(
    places: &[DiscoveredDaemon],
    servers: &[ServerRow],
    findings: &mut Vec<Finding>,
) -> Vec<ZoneRow> {
    let newest = places
        .iter()
        .filter_map(DiscoveredDaemon::status)
        .max_by_key(|s| s.epoch);
    let declared = newest.map(|s| &s.zones[..]).unwrap_or_default();
    let names: SortedSet<ZoneName> = declared
        .iter()
        .map(|zone| zone.zone.clone())
        .chain(places.iter().filter_map(|place| place.zone.clone()))
        .collect();
    let mut rows = Vec::new();
    for zone in &names {
        let declared = declared.iter().find(|d| d.zone == *zone);
        let in_zone =
            || places.iter().filter(|p| p.zone.as_ref() == Some(zone));
        let in_view = || servers.iter().filter(|s| s.zone == *zone);
        let ready = in_view().filter(|server| {
            let report = server.report.as_ref();
            server.state == ObservedState::Ready
                && report.is_some_and(|r| r.age_ms < REPORT_STALE_MS)
        });
        let row = ZoneRow {
            zone: zone.clone(),
            region: declared.map(|d| d.region.clone()),
            daemons_answered: in_zone()
                .filter(|place| place.status().is_some())
                .count(),
            daemons: in_zone().count(),
            servers_ready: ready.count(),
            servers_declared: declared
                .map_or(0, |d| d.declared_servers as usize),
        };
        let mut find = |reason| {
            let subject = Subject::Zone(zone.clone());
            let since = Since::Unknown;
            findings.push(Finding { subject, since, reason });
        };
        if row.daemons_answered == 0 {
            find(format!("none of its {} daemons answers", row.daemons));
        }
        let in_view = in_view().count();
        if in_view < row.servers_declared {
            let unseen = row.servers_declared - in_view;
            find(format!(
                "{unseen} of its {} declared servers are in no daemon's view",
                row.servers_declared
            ));
        }
        if declared.is_none() {
            find("the configuration in force does not declare it".into());
        }
        rows.push(row);
    }
    rows
}
