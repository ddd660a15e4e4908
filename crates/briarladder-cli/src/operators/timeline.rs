//! The command `briarladder timeline`: shows the events of all daemons in
//! causal order.

use std::{
    fmt::{self, Write as _},
    io::Write as _,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    time::Duration,
};

use anyhow::{Context, ensure};
use briarladder_core::{
    clock::{Clock, SystemClock},
    ids::RequestId,
    names::ServerName,
    timeline::{EventFilter, EventPage, TimeSpan, TimelineRow, merge},
};
use briarladder_wire::operators::{
    EventsQuery, MAX_PAGE_EVENTS, OperatorsClient,
};
use derive_more::Display;
use futures_util::{StreamExt, stream};
use serde::Serialize;

use super::{
    EXIT_UNHEALTHY,
    client::{ConnectArgs, DiscoveredDaemon, FleetClient, StatusResult},
    layout, replace_control_chars,
};

const EXAMPLES: &str = "\
Examples:
  export BRIARLADDER_PEER_KEY=...
  briarladder timeline --daemon 10.0.1.4:7001 --from 15m
  briarladder timeline --daemon 10.0.1.4:7001 \\
      --request 00000000000000000000000000c0ffee
  briarladder timeline --daemon 10.0.1.4:7001 --epoch 7 --json
  briarladder timeline --daemon 10.0.1.4:7001 --from 1789000000 \\
      --until 1789000060.5 --html page.html

Exit codes: 0 if the events of all daemons were read, 1 if those of a daemon
are missing, 2 for wrong usage, a refused key or a file that can't be
written.";

/// Shows the events of all daemons in causal order.
#[derive(Clone, Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(flatten)]
    connect: ConnectArgs,

    /// Show only events of this request.
    #[arg(long, value_name = "ID")]
    request: Option<RequestId>,

    /// Show only events under this epoch, including its adoption or rejection.
    #[arg(long, value_name = "N")]
    epoch: Option<u64>,

    /// Show only events of this backend server.
    #[arg(long, value_name = "NAME")]
    server: Option<ServerName>,

    /// Show only events from this time on: seconds since the Unix epoch, as in
    /// the text output, or a duration before now such as 90s, 15m or 2h.
    #[arg(long, value_name = "T")]
    from: Option<TimeArg>,

    /// Show only events before this time.
    #[arg(long, value_name = "T")]
    until: Option<TimeArg>,

    /// Write one JSON object per line instead of text.
    #[arg(long, conflicts_with = "html")]
    json: bool,

    /// Write a self-contained HTML page to this file instead of text.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// A point in time on the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TimeArg {
    /// The time since the Unix epoch.
    Unix(Duration),
    /// The time before now.
    Ago(Duration),
}

impl std::str::FromStr for TimeArg {
    type Err = String;

    fn from_str(text: &str) -> Result<TimeArg, String> {
        let units = [("s", 1.0), ("m", 60.0), ("h", 3_600.0)];
        let ago = units.iter().find_map(|(unit, seconds)| {
            Some((text.strip_suffix(unit)?, *seconds))
        });
        let (number, seconds) = ago.unwrap_or((text, 1.0));
        let duration = number
            .parse()
            .ok()
            .and_then(|n: f64| Duration::try_from_secs_f64(n * seconds).ok());
        let duration = duration.ok_or(
            "pass seconds since the Unix epoch, or a duration before now such \
             as 90s, 15m or 2h",
        )?;
        Ok(match ago {
            Some(_) => TimeArg::Ago(duration),
            None => TimeArg::Unix(duration),
        })
    }
}

impl TimeArg {
    /// Returns the time in milliseconds since the Unix epoch.
    fn unix_ms(self, now: Duration) -> u64 {
        let unix = match self {
            TimeArg::Unix(unix) => unix,
            TimeArg::Ago(ago) => now.saturating_sub(ago),
        };
        u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
    }
}

/// A daemon whose events are missing, all of them or those from some sequence
/// number on.
#[derive(Clone, Debug, Display, Serialize)]
#[display(
    "unreachable {daemon} at {address}: {reason}; its events are missing"
)]
pub struct MissingDaemon {
    /// The VM, or the address if the VM is unknown.
    pub daemon: String,
    /// The address at which it was queried.
    pub address: SocketAddr,
    /// Why its events could not be read.
    pub reason: String,
}

/// The merged events of a deployment.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Events and gaps in causal order.
    pub rows: Vec<TimelineRow>,
    /// The daemons whose events are missing.
    pub missing: Vec<MissingDaemon>,
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for missing in &self.missing {
            writeln!(f, "{}", replace_control_chars(&missing.to_string()))?;
        }
        for row in &self.rows {
            writeln!(f, "{}", replace_control_chars(&row.to_string()))?;
        }
        Ok(())
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when no daemon accepts the key, `--from` is not before
/// `--until`, or the output can't be written.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let filter = build_filter(args)?;
    let client = FleetClient::new(&args.connect)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let timeline = runtime.block_on(collect_events(&client, &filter))?;
    if let Some(file) = &args.html {
        let page = layout::render_page(&timeline)?;
        std::fs::write(file, page).with_context(|| {
            format!(
                "can't write {}; pass another file with --html",
                file.display()
            )
        })?;
        eprintln!("wrote {} rows to {}", timeline.rows.len(), file.display());
    } else {
        let text = if args.json {
            to_json_lines(&timeline)?
        } else {
            timeline.to_string()
        };
        std::io::stdout().write_all(text.as_bytes())?;
    }
    if timeline.missing.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_UNHEALTHY))
}

/// Returns the filter that the flags specify.
fn build_filter(args: &Args) -> anyhow::Result<EventFilter> {
    let now = SystemClock.unix_time();
    let span = TimeSpan {
        from_unix_ms: args.from.map_or(0, |from| from.unix_ms(now)),
        until_unix_ms: args.until.map_or(u64::MAX, |at| at.unix_ms(now)),
    };
    ensure!(
        span.from_unix_ms < span.until_unix_ms,
        "--from is not before --until; pass an earlier --from"
    );
    let has_span = args.from.is_some() || args.until.is_some();
    Ok(EventFilter {
        request_id: args.request,
        epoch: args.epoch,
        server: args.server.clone(),
        span: has_span.then_some(span),
    })
}

/// Reads and merges the events of all daemons.
///
/// # Errors
///
/// Returns an error when no daemon accepts the key.
pub async fn collect_events(
    client: &FleetClient,
    filter: &EventFilter,
) -> anyhow::Result<Timeline> {
    let daemons = client.discover().await?;
    let reads =
        daemons.iter().map(|daemon| read_events(client, daemon, filter));
    let results: Vec<ReadResult> =
        stream::iter(reads).buffered(client.concurrency()).collect().await;
    let mut pages = Vec::new();
    let mut missing = Vec::new();
    for result in results {
        pages.extend(result.pages);
        missing.extend(result.missing);
    }
    Ok(Timeline { rows: merge(&pages), missing })
}

/// The result of reading the events of one daemon.
struct ReadResult {
    /// The pages that were read.
    pages: Vec<EventPage>,
    /// Why later events are missing; absent if the read is complete.
    missing: Option<MissingDaemon>,
}

/// Reads the events that a daemon has recorded at the time of the first
/// response. Following newer ones might never end at a busy daemon.
async fn read_events(
    fleet: &FleetClient,
    daemon: &DiscoveredDaemon,
    filter: &EventFilter,
) -> ReadResult {
    let missing = |reason: String| {
        let address = daemon.address;
        Some(MissingDaemon { daemon: daemon.label(), address, reason })
    };
    let mut pages: Vec<EventPage> = Vec::new();
    if let StatusResult::Unreachable(cause) = &daemon.result {
        return ReadResult { pages, missing: missing(cause.to_string()) };
    }
    let client = match fleet.client(daemon.address) {
        Ok(client) => client,
        Err(cause) => {
            return ReadResult { pages, missing: missing(cause.to_string()) };
        }
    };
    let mut from_sequence = 0;
    loop {
        let query = EventsQuery {
            from_sequence,
            limit_events: Some(MAX_PAGE_EVENTS),
            filter: filter.clone(),
        };
        let page = match client.events(query).await {
            Ok(page) => page,
            Err(error) => {
                let cause = fleet.classify_error(&error).to_string();
                return ReadResult { pages, missing: missing(cause) };
            }
        };
        let first = pages.first().unwrap_or(&page);
        if first.process != page.process {
            let reason = "it restarted during the query; try again";
            return ReadResult { pages, missing: missing(reason.into()) };
        }
        let end_sequence = first.end_sequence;
        // Without progress, the same page would be requested forever.
        let no_progress =
            !pages.is_empty() && page.next_sequence <= from_sequence;
        from_sequence = page.next_sequence;
        pages.push(page);
        if from_sequence >= end_sequence || no_progress {
            return ReadResult { pages, missing: None };
        }
    }
}

/// Returns one JSON object per line: first the missing daemons, then the rows.
fn to_json_lines(timeline: &Timeline) -> anyhow::Result<String> {
    #[derive(Serialize)]
    #[serde(tag = "row", rename = "unreachable")]
    struct UnreachableRow<'a> {
        #[serde(flatten)]
        missing: &'a MissingDaemon,
    }
    let mut text = String::new();
    for missing in &timeline.missing {
        let row = UnreachableRow { missing };
        writeln!(text, "{}", serde_json::to_string(&row)?)?;
    }
    for row in &timeline.rows {
        writeln!(text, "{}", serde_json::to_string(row)?)?;
    }
    Ok(text)
}
