//! Assessing a deployment: compares the status of its daemons with the
//! configuration in force.
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

/// The age from which a load report is stale. Daemons poll each server of
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

/// How long a finding has applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Since {
    /// The duration in milliseconds, by the monotonic clock of a daemon.
    ForMs(u64),
    /// The wall-clock time of its start, in milliseconds since the Unix epoch.
    UnixMs(u64),
    /// No daemon that responded knows.
    Unknown,
}

impl From<Option<u64>> for Since {
    fn from(for_ms: Option<u64>) -> Since {
        for_ms.map_or(Since::Unknown, Since::ForMs)
    }
}

/// A daemon, zone or backend server that is unreachable or not as configured.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// What the finding is about.
    pub subject: Subject,
    /// How long it has applied.
    pub since: Since,
    /// What is wrong, as text.
    pub reason: String,
}

/// The state of an availability zone.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ZoneRow {
    /// The zone.
    pub zone: ZoneName,
    /// Its region; absent if the zone is not declared.
    pub region: Option<RegionName>,
    /// The number of its daemons that responded.
    pub daemons_answered: usize,
    /// The number of its daemons.
    pub daemons: usize,
    /// The number of its backend servers that get new work and whose load
    /// report is not stale.
    pub servers_ready: usize,
    /// The number of backend servers declared in it.
    pub servers_declared: usize,
}

/// The state of a backend server, from the view with the newest epoch and,
/// among those, the newest load report.
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
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Whether it gets new work from the daemon with this view.
    pub state: ObservedState,
    /// The daemon whose view it is.
    pub seen_by: VmName,
    /// The number of daemons that have it in view.
    pub daemons_in_view: usize,
    /// The model versions that are declared and not loaded.
    pub missing_versions: Vec<ModelVersionName>,
    /// The model versions that are loaded and not declared.
    pub extra_versions: Vec<ModelVersionName>,
    /// The newest load report of all views; absent if there is none.
    pub report: Option<ReportStatus>,
    /// The last failure in this view; absent if there was none.
    pub last_error: Option<ErrorStatus>,
}

/// The state of a whole deployment.
#[derive(Clone, Debug, Serialize)]
pub struct FleetStatus {
    /// The highest epoch that any daemon has in force; absent if none has one.
    pub epoch: Option<u64>,
    /// The findings; empty if the deployment is healthy.
    pub findings: Vec<Finding>,
    /// The daemons, reachable or not.
    pub daemons: Vec<DiscoveredDaemon>,
    /// The zones.
    pub zones: Vec<ZoneRow>,
    /// The backend servers.
    pub servers: Vec<ServerRow>,
}

/// Assesses a deployment from the query results of all its daemons.
#[must_use]
pub fn assess(daemons: &[DiscoveredDaemon]) -> FleetStatus {
    let statuses: Vec<&DaemonStatus> =
        daemons.iter().filter_map(DiscoveredDaemon::status).collect();
    let epoch = statuses.iter().filter_map(|s| s.epoch).max();
    let mut findings = Vec::new();
    for daemon in daemons {
        assess_daemon(daemon, epoch, &statuses, &mut findings);
    }
    let (servers, server_findings) = assess_servers(&statuses);
    let zones = assess_zones(daemons, &servers, &mut findings);
    findings.extend(server_findings);
    FleetStatus { epoch, findings, daemons: daemons.to_vec(), zones, servers }
}

fn assess_daemon(
    daemon: &DiscoveredDaemon,
    newest_epoch: Option<u64>,
    statuses: &[&DaemonStatus],
    findings: &mut Vec<Finding>,
) {
    let mut add_finding = |since, reason| {
        let subject = Subject::Daemon(daemon.label());
        findings.push(Finding { subject, since, reason });
    };
    let suspicions = collect_suspicions(daemon, statuses);
    let status = match &daemon.result {
        StatusResult::Received(status) => status,
        StatusResult::Unreachable(cause) => {
            let for_ms =
                suspicions.iter().map(|s| s.member.state_for_ms).max();
            return add_finding(
                for_ms.into(),
                format!("unreachable: {cause}"),
            );
        }
    };
    if status.phase != DaemonPhase::Running {
        let reason = format!("in a planned stop: {}", status.phase);
        add_finding(Since::Unknown, reason);
    }
    if let Some(problem) = &status.problem {
        let since = Since::UnixMs(problem.since_unix_ms);
        add_finding(since, problem.reason.to_string());
    } else if status.phase == DaemonPhase::Running
        && status.readiness == DaemonReadiness::NotReady
    {
        add_finding(Since::Unknown, "not ready".into());
    }
    if let Some(newest) = newest_epoch
        && status.epoch.is_none_or(|own| own < newest)
    {
        let own = status.epoch.map_or("no epoch".into(), |e| format!("{e}"));
        let reason = format!("behind: {own} in force, and {newest} elsewhere");
        add_finding(status.behind_for_ms.into(), reason);
    }
    for Suspicion { by, member } in suspicions {
        let since = Since::ForMs(member.state_for_ms);
        let state = member.state;
        add_finding(since, format!("answers, but {by} holds it {state}"));
    }
}

/// A member that another daemon believes to be suspect or dead.
struct Suspicion<'a> {
    /// The daemon that believes so.
    by: &'a VmName,
    /// Its view of the member.
    member: &'a MemberStatus,
}

/// Returns the daemons that believe a daemon to be suspect or dead.
fn collect_suspicions<'a>(
    daemon: &DiscoveredDaemon,
    statuses: &[&'a DaemonStatus],
) -> Vec<Suspicion<'a>> {
    let mut suspicions = Vec::new();
    for status in statuses {
        let members = status.members.iter().filter(|m| {
            matches!(m.state, MemberState::Suspect | MemberState::Dead)
                && Some(&m.vm) == daemon.vm.as_ref()
        });
        suspicions.extend(
            members.map(|member| Suspicion { by: &status.vm, member }),
        );
    }
    suspicions
}

/// One daemon's view of one server.
#[derive(Clone, Copy)]
struct ServerView<'a> {
    by: &'a DaemonStatus,
    server: &'a ServerStatus,
}

impl ServerView<'_> {
    /// Returns the key by which views are sorted: the newest epoch first, then
    /// the newest load report.
    fn sort_key(&self) -> (std::cmp::Reverse<Option<u64>>, u64) {
        let age_ms =
            self.server.report.as_ref().map_or(u64::MAX, |r| r.age_ms);
        (std::cmp::Reverse(self.by.epoch), age_ms)
    }
}

fn assess_servers(
    statuses: &[&DaemonStatus],
) -> (Vec<ServerRow>, Vec<Finding>) {
    let mut views: SortedMap<ServerName, Vec<ServerView<'_>>> =
        SortedMap::new();
    for &by in statuses {
        for server in &by.servers {
            views
                .get_or_insert_with(server.server.clone(), Vec::new)
                .push(ServerView { by, server });
        }
    }
    let newest_epoch = statuses.iter().filter_map(|s| s.epoch).max();
    let mut rows = Vec::new();
    let mut findings = Vec::new();
    for (_, server_views) in views.iter_mut() {
        server_views.sort_by_key(ServerView::sort_key);
        // A server that only older epochs declare has been removed.
        if server_views[0].by.epoch == newest_epoch {
            rows.push(assess_server(server_views, &mut findings));
        }
    }
    rows.sort_by(|a, b| (&a.zone, &a.server).cmp(&(&b.zone, &b.server)));
    (rows, findings)
}

/// Assesses one server from the sorted views of it.
fn assess_server(
    views: &[ServerView<'_>],
    findings: &mut Vec<Finding>,
) -> ServerRow {
    let best = views[0].server;
    let mut add_finding = |since, reason| {
        let subject = Subject::Server(best.server.clone());
        findings.push(Finding { subject, since, reason });
    };
    let unavailable = views.iter().filter(|s| {
        !matches!(
            s.server.state,
            ObservedState::Ready | ObservedState::Unreported
        )
    });
    let unavailable: Vec<&ServerView<'_>> = unavailable.collect();
    if let Some(first) = unavailable.iter().max_by_key(|s| s.server.out_for_ms)
    {
        let error = first.server.last_error.as_ref();
        let error = error.map_or(String::new(), |e| format!(": {}", e.reason));
        let reason = format!(
            "{} for {} of {} daemons that have it in view, first {}{error}",
            first.server.state,
            unavailable.len(),
            views.len(),
            first.by.vm
        );
        add_finding(first.server.out_for_ms.into(), reason);
    }
    let mut missing_versions = Vec::new();
    let mut extra_versions = Vec::new();
    // A daemon whose epoch is behind may be the only one that has polled the
    // server.
    let reports = views.iter().filter_map(|s| s.server.report.as_ref());
    let newest_report = reports.min_by_key(|report| report.age_ms);
    match newest_report {
        None if unavailable.is_empty() => {
            add_finding(
                Since::Unknown,
                "no daemon has a load report of it".into(),
            );
        }
        None => {}
        Some(report) => {
            if report.age_ms >= REPORT_STALE_MS {
                let since = Since::ForMs(report.age_ms);
                add_finding(since, "the last load report is stale".into());
            }
            let difference =
                |a: &[ModelVersionName], b: &[ModelVersionName]| {
                    a.iter().filter(|v| !b.contains(v)).cloned().collect()
                };
            missing_versions =
                difference(&best.declared_versions, &report.loaded_versions);
            extra_versions =
                difference(&report.loaded_versions, &best.declared_versions);
        }
    }
    if !missing_versions.is_empty() || !extra_versions.is_empty() {
        let reason = describe_versions(&missing_versions, &extra_versions);
        add_finding(best.versions_differ_for_ms.into(), reason);
    }
    ServerRow {
        server: best.server.clone(),
        pool: best.pool.clone(),
        role: best.role,
        zone: best.zone.clone(),
        address: best.address,
        state: best.state,
        seen_by: views[0].by.vm.clone(),
        daemons_in_view: views.len(),
        missing_versions,
        extra_versions,
        report: newest_report.cloned(),
        last_error: best.last_error.clone(),
    }
}

/// Returns the reason of a finding about model versions.
fn describe_versions(
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
    daemons: &[DiscoveredDaemon],
    servers: &[ServerRow],
    findings: &mut Vec<Finding>,
) -> Vec<ZoneRow> {
    let newest = daemons
        .iter()
        .filter_map(DiscoveredDaemon::status)
        .max_by_key(|s| s.epoch);
    let declared = newest.map(|s| &s.zones[..]).unwrap_or_default();
    let names: SortedSet<ZoneName> = declared
        .iter()
        .map(|zone| zone.zone.clone())
        .chain(daemons.iter().filter_map(|daemon| daemon.zone.clone()))
        .collect();
    let mut rows = Vec::new();
    for zone in &names {
        let declared = declared.iter().find(|d| d.zone == *zone);
        let in_zone =
            || daemons.iter().filter(|d| d.zone.as_ref() == Some(zone));
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
                .filter(|daemon| daemon.status().is_some())
                .count(),
            daemons: in_zone().count(),
            servers_ready: ready.count(),
            servers_declared: declared
                .map_or(0, |d| d.declared_servers as usize),
        };
        let mut add_finding = |reason| {
            let subject = Subject::Zone(zone.clone());
            let since = Since::Unknown;
            findings.push(Finding { subject, since, reason });
        };
        if row.daemons_answered == 0 {
            add_finding(format!(
                "none of its {} daemons responded",
                row.daemons
            ));
        }
        let in_view = in_view().count();
        if in_view < row.servers_declared {
            let unseen = row.servers_declared - in_view;
            add_finding(format!(
                "{unseen} of its {} declared servers are in no daemon's view",
                row.servers_declared
            ));
        }
        if declared.is_none() {
            add_finding(
                "the configuration in force does not declare it".into(),
            );
        }
        rows.push(row);
    }
    rows
}
