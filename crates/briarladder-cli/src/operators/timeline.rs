//! `briarladder timeline`: the events of all daemons in causal order.

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
    layout, printable,
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

Exit codes: 0 all daemons answered, 1 some did not, 2 wrong usage, a refused
key or a file that can't be written.";

/// Shows the events of all daemons in causal order.
#[derive(Clone, Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(flatten)]
    connect: ConnectArgs,

    /// Only events of this request.
    #[arg(long, value_name = "ID")]
    request: Option<RequestId>,

    /// Only events under this epoch, its adoption and its rejection.
    #[arg(long, value_name = "N")]
    epoch: Option<u64>,

    /// Only events of this backend server.
    #[arg(long, value_name = "NAME")]
    server: Option<ServerName>,

    /// Only events from this time on: seconds since the Unix epoch as the
    /// text output shows them, or a time ago such as 90s, 15m or 2h.
    #[arg(long, value_name = "T")]
    from: Option<Moment>,

    /// Only events before this time.
    #[arg(long, value_name = "T")]
    until: Option<Moment>,

    /// Write one JSON object a line instead of text.
    #[arg(long, conflicts_with = "html")]
    json: bool,

    /// Write one self-contained HTML page to this file.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// A moment as operators write it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Moment {
    Unix(Duration),
    Ago(Duration),
}

impl std::str::FromStr for Moment {
    type Err = String;

    fn from_str(text: &str) -> Result<Moment, String> {
        let units = [("s", 1.0), ("m", 60.0), ("h", 3_600.0)];
        let ago = units.iter().find_map(|(unit, seconds)| {
            Some((text.strip_suffix(unit)?, *seconds))
        });
        let (number, seconds) = ago.unwrap_or((text, 1.0));
        let length = number
            .parse()
            .ok()
            .and_then(|n: f64| Duration::try_from_secs_f64(n * seconds).ok());
        let length = length.ok_or(
            "write seconds since the Unix epoch, or a time ago such as 90s, \
             15m or 2h",
        )?;
        Ok(match ago {
            Some(_) => Moment::Ago(length),
            None => Moment::Unix(length),
        })
    }
}

impl Moment {
    fn unix_ms(self, now: Duration) -> u64 {
        let unix = match self {
            Moment::Unix(unix) => unix,
            Moment::Ago(ago) => now.saturating_sub(ago),
        };
        u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
    }
}

/// A daemon whose events are missing, wholly or from some sequence on.
#[derive(Clone, Debug, Display, Serialize)]
#[display(
    "unreachable {daemon} at {address}: {reason}; its events are missing"
)]
pub struct MissingDaemon {
    /// The VM, or the address if the VM is unknown.
    pub daemon: String,
    /// Where it was asked.
    pub address: SocketAddr,
    /// Why there is no answer.
    pub reason: String,
}

/// The merged events of a deployment.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Events and gaps in causal order.
    pub rows: Vec<TimelineRow>,
    /// The daemons that did not answer.
    pub missing: Vec<MissingDaemon>,
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for missing in &self.missing {
            writeln!(f, "{}", printable(&missing.to_string()))?;
        }
        for row in &self.rows {
            writeln!(f, "{}", printable(&row.to_string()))?;
        }
        Ok(())
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when no daemon takes the key, the times are crossed, or
/// the file can't be written.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let filter = filter(args)?;
    let operator = FleetClient::new(&args.connect)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let timeline = runtime.block_on(collect_events(&operator, &filter))?;
    if let Some(file) = &args.html {
        let page = layout::render_page(&timeline)?;
        std::fs::write(file, page).with_context(|| {
            format!("--html {} can't be written", file.display())
        })?;
        eprintln!("{} rows in {}", timeline.rows.len(), file.display());
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

fn filter(args: &Args) -> anyhow::Result<EventFilter> {
    let now = SystemClock.unix_time();
    let span = TimeSpan {
        from_unix_ms: args.from.map_or(0, |from| from.unix_ms(now)),
        until_unix_ms: args.until.map_or(u64::MAX, |at| at.unix_ms(now)),
    };
    ensure!(
        span.from_unix_ms < span.until_unix_ms,
        "--from is not before --until; set an earlier --from"
    );
    let bounded = args.from.is_some() || args.until.is_some();
    Ok(EventFilter {
        request_id: args.request,
        epoch: args.epoch,
        server: args.server.clone(),
        span: bounded.then_some(span),
    })
}

/// Reads and merges the events of all daemons.
///
/// # Errors
///
/// Returns an error when no daemon takes the key.
pub async fn collect_events(
    operator: &FleetClient,
    filter: &EventFilter,
) -> anyhow::Result<Timeline> {
    let places = operator.discover().await?;
    let reads = places.iter().map(|place| read(operator, place, filter));
    let reads: Vec<Read> =
        stream::iter(reads).buffered(operator.concurrency()).collect().await;
    let mut pages = Vec::new();
    let mut missing = Vec::new();
    for read in reads {
        pages.extend(read.pages);
        missing.extend(read.missing);
    }
    Ok(Timeline { rows: merge(&pages), missing })
}

struct Read {
    pages: Vec<EventPage>,
    missing: Option<MissingDaemon>,
}

/// Reads the events that a daemon has at the first answer. Later ones would
/// keep a busy daemon from ever being read to its end.
async fn read(
    operator: &FleetClient,
    place: &DiscoveredDaemon,
    filter: &EventFilter,
) -> Read {
    let missing = |reason: String| {
        let address = place.address;
        Some(MissingDaemon { daemon: place.label(), address, reason })
    };
    let mut pages: Vec<EventPage> = Vec::new();
    if let StatusResult::Unreachable(cause) = &place.result {
        return Read { pages, missing: missing(cause.to_string()) };
    }
    let client = match operator.client(place.address) {
        Ok(client) => client,
        Err(cause) => {
            return Read { pages, missing: missing(cause.to_string()) };
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
                let cause = operator.classify_error(&error).to_string();
                return Read { pages, missing: missing(cause) };
            }
        };
        let first = pages.first().unwrap_or(&page);
        if first.process != page.process {
            let reason = "it restarted while it was read; ask again";
            return Read { pages, missing: missing(reason.into()) };
        }
        let end_sequence = first.end_sequence;
        // A page that does not advance would be asked for without end.
        let stuck = !pages.is_empty() && page.next_sequence <= from_sequence;
        from_sequence = page.next_sequence;
        pages.push(page);
        if from_sequence >= end_sequence || stuck {
            return Read { pages, missing: None };
        }
    }
}

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
