//! Formatting the status of a deployment as text.

use std::fmt::{self, Write};

use briarladder_core::{names::PoolName, sorted::SortedMap};
use briarladder_wire::operators::DaemonStatus;

use super::{
    assess::{Finding, FleetStatus, ServerRow, Since, ZoneRow},
    client::{DiscoveredDaemon, StatusResult},
    replace_control_chars,
};

/// A text table whose columns are aligned.
struct Table {
    /// The rows; the first one is the header.
    rows: Vec<Vec<String>>,
}

impl Table {
    fn new(header: &[&str]) -> Table {
        Table { rows: vec![header.iter().map(ToString::to_string).collect()] }
    }

    fn add_row(&mut self, row: &[String]) {
        self.rows.push(
            row.iter().map(|cell| replace_control_chars(cell)).collect(),
        );
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            let cells = self.rows.iter().map(|row| row[column].chars());
            cells.map(Iterator::count).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                write!(line, "{cell:width$}  ")?;
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Formats a status. The ages of findings are relative to `now_unix_ms`.
pub fn render(fleet: &FleetStatus, now_unix_ms: u64) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = write_status(&mut text, fleet, now_unix_ms);
    text
}

fn write_status(
    text: &mut String,
    fleet: &FleetStatus,
    now_unix_ms: u64,
) -> fmt::Result {
    let at_epoch = |daemon: &&DiscoveredDaemon| {
        daemon.status().is_some_and(|s| s.epoch == fleet.epoch)
    };
    let daemons = &fleet.daemons;
    match fleet.epoch {
        None => writeln!(text, "no daemon has an epoch in force")?,
        Some(epoch) => writeln!(
            text,
            "epoch {epoch} is in force at {} of {} daemons",
            daemons.iter().filter(at_epoch).count(),
            daemons.len()
        )?,
    }
    writeln!(text, "\n{}", daemon_table(daemons))?;
    writeln!(text, "{}", zone_table(&fleet.zones))?;
    writeln!(text, "{}", pool_table(daemons))?;
    writeln!(text, "{}", server_table(&fleet.servers))?;
    if fleet.findings.is_empty() {
        return writeln!(text, "all in line");
    }
    writeln!(text, "not in line:")?;
    for finding in &fleet.findings {
        writeln!(text, "  {}", format_finding(finding, now_unix_ms))?;
    }
    Ok(())
}

fn format_finding(finding: &Finding, now_unix_ms: u64) -> String {
    let since = match finding.since {
        Since::Unknown => String::new(),
        Since::ForMs(ms) => format!(" (for {})", format_duration(ms)),
        Since::UnixMs(at) => {
            let ago = format_duration(now_unix_ms.saturating_sub(at));
            format!(" (since {}, {ago} ago)", format_utc_time(at))
        }
    };
    replace_control_chars(&format!(
        "{}: {}{since}",
        finding.subject, finding.reason
    ))
}

fn daemon_table(daemons: &[DiscoveredDaemon]) -> Table {
    let mut table = Table::new(&[
        "DAEMON",
        "ZONE",
        "ADDRESS",
        "STATE",
        "EPOCH",
        "KNOWN",
        "FLOOR",
        "UPTIME",
        "REQUESTS",
        "TICKETS",
        "SUSPECTS",
        "INCARNATION",
    ]);
    for daemon in daemons {
        let zone = daemon.zone.as_ref();
        let zone = zone.map_or("?".into(), ToString::to_string);
        let (label, address) = (daemon.label(), daemon.address.to_string());
        match &daemon.result {
            StatusResult::Received(s) => table.add_row(&[
                label,
                zone,
                address,
                format_state(s),
                s.epoch.map_or("none".into(), |epoch| epoch.to_string()),
                s.known_epoch.to_string(),
                s.floor_epoch.to_string(),
                format_duration(s.uptime_ms),
                s.open_requests.to_string(),
                s.open_tickets.to_string(),
                s.suspect_requests.map_or("-".into(), |n| n.to_string()),
                s.incarnation.to_string(),
            ]),
            StatusResult::Unreachable(_) => {
                let mut row = ["?"; 12].map(String::from);
                row[..4].clone_from_slice(&[
                    label,
                    zone,
                    address,
                    "unreachable".into(),
                ]);
                table.add_row(&row);
            }
        }
    }
    table
}

/// Returns the readiness of a running daemon, or the phase of its shutdown.
fn format_state(status: &DaemonStatus) -> String {
    use briarladder_wire::operators::DaemonPhase::Running;
    match status.phase {
        Running => status.readiness.to_string(),
        other => other.to_string(),
    }
}

fn zone_table(zones: &[ZoneRow]) -> Table {
    let mut table = Table::new(&["ZONE", "REGION", "DAEMONS", "SERVERS"]);
    for zone in zones {
        let region = zone.region.as_ref();
        table.add_row(&[
            zone.zone.to_string(),
            region.map_or("?".into(), ToString::to_string),
            format!("{}/{}", zone.daemons_answered, zone.daemons),
            format!("{}/{}", zone.servers_ready, zone.servers_declared),
        ]);
    }
    table
}

/// Returns the totals of each pool over all daemons. The JSON output has them
/// for each daemon.
fn pool_table(daemons: &[DiscoveredDaemon]) -> Table {
    let mut table =
        Table::new(&["POOL", "ROLE", "RUNNING", "QUEUED", "LONGEST QUEUE"]);
    let statuses = daemons.iter().filter_map(DiscoveredDaemon::status);
    let pools = statuses.flat_map(|s| s.pools.iter().map(move |p| (s, p)));
    let mut by_pool: SortedMap<&PoolName, Vec<_>> = SortedMap::new();
    for (status, pool) in pools {
        by_pool.get_or_insert_with(&pool.pool, Vec::new).push((status, pool));
    }
    for (name, entries) in by_pool.iter() {
        let running: u64 =
            entries.iter().map(|(_, p)| u64::from(p.running_requests)).sum();
        let queued: u64 =
            entries.iter().map(|(_, p)| p.queue_len_requests).sum();
        let longest = entries.iter().max_by_key(|(_, p)| p.queue_len_requests);
        let longest = longest.filter(|_| queued > 0).map(|(status, pool)| {
            format!(
                "{} for {} slots at {}",
                pool.queue_len_requests, pool.slots_requests, status.vm
            )
        });
        table.add_row(&[
            name.to_string(),
            entries[0].1.role.to_string(),
            running.to_string(),
            queued.to_string(),
            longest.unwrap_or_else(|| "-".into()),
        ]);
    }
    table
}

fn server_table(servers: &[ServerRow]) -> Table {
    let mut table = Table::new(&[
        "SERVER",
        "ZONE",
        "POOL",
        "ROLE",
        "ADDRESS",
        "STATE",
        "LOAD",
        "REPORT",
        "VERSIONS",
        "LAST ERROR",
    ]);
    for server in servers {
        let report = server.report.as_ref();
        let error = server.last_error.as_ref();
        table.add_row(&[
            server.server.to_string(),
            server.zone.to_string(),
            server.pool.to_string(),
            server.role.to_string(),
            server.address.to_string(),
            server.state.to_string(),
            report.map_or("?".into(), |r| {
                format!("{}/{}", r.load_requests, r.slots_requests)
            }),
            report.map_or("none".into(), |r| {
                format!("{} ago", format_duration(r.age_ms))
            }),
            format_versions(server),
            error.map_or("-".into(), |e| {
                format!("{}, {} ago", e.reason, format_duration(e.age_ms))
            }),
        ]);
    }
    table
}

/// Lists the model versions of a server. `-` marks those that are declared and
/// not loaded, `+` those that are loaded and not declared.
fn format_versions(server: &ServerRow) -> String {
    let Some(report) = &server.report else { return "?".into() };
    let extra = &server.extra_versions;
    let loaded = report.loaded_versions.iter().map(|version| {
        let mark = if extra.contains(version) { "+" } else { "" };
        format!("{mark}{version}")
    });
    let missing = server.missing_versions.iter().map(|v| format!("-{v}"));
    let all: Vec<String> = loaded.chain(missing).collect();
    if all.is_empty() { "-".into() } else { all.join(" ") }
}

/// Formats a duration in its two largest units.
fn format_duration(ms: u64) -> String {
    let s = ms / 1_000;
    match s {
        0 => format!("{ms}ms"),
        1..60 => format!("{s}.{}s", ms % 1_000 / 100),
        60..3_600 => format!("{}m{:02}s", s / 60, s % 60),
        3_600..86_400 => format!("{}h{:02}m", s / 3_600, s % 3_600 / 60),
        _ => format!("{}d{:02}h", s / 86_400, s % 86_400 / 3_600),
    }
}

/// Formats a time as the time of day. The age beside it identifies the day.
fn format_utc_time(unix_ms: u64) -> String {
    let s = unix_ms / 1_000 % 86_400;
    format!("{:02}:{:02}:{:02} UTC", s / 3_600, s % 3_600 / 60, s % 60)
}
