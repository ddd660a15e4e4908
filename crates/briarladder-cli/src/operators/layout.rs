//! The timeline as one HTML page without external resources: a lane for each
//! process, stages as bars, faults as marks and gaps as gaps.
//!
//! # Example
//!
//! ```
//! use briarladder_cli::operators::{layout, timeline::Timeline};
//!
//! let page = layout::render_page(&Timeline::default()).unwrap();
//! assert!(page.starts_with("<!DOCTYPE html>"));
//! ```

use briarladder_core::{
    ids::RequestId,
    membership::MemberState,
    names::{ServerName, StageName},
    sorted::SortedMap,
    timeline::{Event, EventKind, ForwardResult, Gap, ProcessId, TimelineRow},
};
use serde::Serialize;

use super::timeline::Timeline;

const TEMPLATE: &str = include_str!("timeline.html");

/// Where the template takes the data.
const DATA: &str = "/*DATA*/";

/// From this status on, an answer is a fault.
const FIRST_FAULT_STATUS: u16 = 400;

#[derive(Debug, Serialize)]
struct View {
    from_ms: u64,
    until_ms: u64,
    lanes: Vec<Lane>,
    rows: Vec<Line>,
    missing: Vec<String>,
}

#[derive(Debug, Serialize)]
struct Lane {
    name: String,
    depth: usize,
    bars: Vec<Bar>,
    marks: Vec<Mark>,
    gaps: Vec<Blank>,
}

impl Lane {
    fn new(name: String) -> Lane {
        let (bars, marks, gaps) = (Vec::new(), Vec::new(), Vec::new());
        Lane { name, depth: 0, bars, marks, gaps }
    }
}

/// How a bar or event is coloured.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Class {
    Plain,
    Fault,
    /// No end is known.
    Open,
    Forward,
}

#[derive(Debug, Serialize)]
struct Bar {
    from_ms: u64,
    until_ms: u64,
    level: usize,
    class: Class,
    label: String,
    /// Positions in [`View::rows`].
    first: usize,
    last: Option<usize>,
    request: Option<RequestId>,
}

#[derive(Debug, Serialize)]
struct Mark {
    at_ms: u64,
    class: Class,
    row: usize,
}

#[derive(Debug, Serialize)]
struct Blank {
    from_ms: u64,
    until_ms: u64,
    text: String,
}

/// One line of the table below the lanes.
#[derive(Debug, Serialize)]
struct Line {
    at_ms: Option<u64>,
    lane: usize,
    class: Class,
    text: String,
    request: Option<RequestId>,
}

/// What ties the end of a bar to its start.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct BarKey {
    lane: usize,
    request: Option<RequestId>,
    stage: Option<StageName>,
    server: Option<ServerName>,
    attempt: Option<u32>,
}

/// Returns the page.
///
/// # Errors
///
/// Returns an error when the events can't be written as JSON.
pub fn render_page(timeline: &Timeline) -> anyhow::Result<String> {
    let data = serde_json::to_string(&view(timeline))?;
    // Inside a script element, `</` and `<!--` would end the data.
    let data = data.replace('<', "\\u003c");
    Ok(TEMPLATE.replacen(DATA, &data, 1))
}

fn view(timeline: &Timeline) -> View {
    let rows = &timeline.rows;
    let times = || {
        rows.iter().filter_map(|row| match row {
            TimelineRow::Event(event) => Some(event.timestamp.unix_ms),
            TimelineRow::Gap(_) => None,
        })
    };
    let from_ms = times().min().unwrap_or(0);
    // A page of one moment still needs a width.
    let until_ms = times().max().unwrap_or(0).max(from_ms + 1);
    let mut builder = Builder::new(rows, from_ms, until_ms);
    for (at, row) in rows.iter().enumerate() {
        match row {
            TimelineRow::Event(event) => builder.add_event(at, event),
            TimelineRow::Gap(gap) => builder.add_gap(gap),
        }
    }
    let missing = timeline.missing.iter().map(ToString::to_string).collect();
    let (mut lanes, rows) = builder.finish();
    for missing in &timeline.missing {
        let prefix = format!("{}/", missing.daemon);
        // One that was read in part has a lane.
        if lanes.iter().all(|lane| !lane.name.starts_with(&prefix)) {
            let mut lane = Lane::new(missing.daemon.clone());
            let text = "unreachable: its events are missing".into();
            lane.gaps.push(Blank { from_ms, until_ms, text });
            lanes.push(lane);
        }
    }
    View { from_ms, until_ms, lanes, rows, missing }
}

struct Builder {
    until_ms: u64,
    processes: Vec<ProcessId>,
    lanes: Vec<Lane>,
    /// The last event of each lane; the start of the page before the first.
    last_ms: Vec<u64>,
    open_gaps: Vec<u64>,
    open_bars: SortedMap<BarKey, Bar>,
    lines: Vec<Line>,
}

impl Builder {
    fn new(rows: &[TimelineRow], from_ms: u64, until_ms: u64) -> Builder {
        let mut processes: Vec<ProcessId> = rows
            .iter()
            .map(|row| match row {
                TimelineRow::Event(event) => event.process.clone(),
                TimelineRow::Gap(gap) => gap.process.clone(),
            })
            .collect();
        processes.sort();
        processes.dedup();
        let lane = |process: &ProcessId| Lane::new(process.to_string());
        Builder {
            until_ms,
            lanes: processes.iter().map(lane).collect(),
            last_ms: vec![from_ms; processes.len()],
            open_gaps: vec![0; processes.len()],
            open_bars: SortedMap::new(),
            lines: Vec::with_capacity(rows.len()),
            processes,
        }
    }

    fn lane(&self, process: &ProcessId) -> usize {
        // OK because every row's process was collected.
        self.processes.binary_search(process).unwrap()
    }

    fn add_gap(&mut self, gap: &Gap) {
        let lane = self.lane(&gap.process);
        self.open_gaps[lane] += gap.lost_events;
        self.lines.push(Line {
            at_ms: None,
            lane,
            class: Class::Fault,
            text: format!("{} events lost", gap.lost_events),
            request: None,
        });
    }

    fn close_gap(&mut self, lane: usize, until_ms: u64) {
        let lost_events = std::mem::take(&mut self.open_gaps[lane]);
        if lost_events > 0 {
            let from_ms = self.last_ms[lane];
            let text = format!("{lost_events} events lost");
            let blank = Blank { from_ms, until_ms, text };
            self.lanes[lane].gaps.push(blank);
        }
    }

    fn add_event(&mut self, at: usize, event: &Event) {
        let lane = self.lane(&event.process);
        let at_ms = event.timestamp.unix_ms;
        self.close_gap(lane, at_ms);
        self.last_ms[lane] = self.last_ms[lane].max(at_ms);
        let class = class(&event.kind);
        let subject = event.subject.to_string();
        self.lines.push(Line {
            at_ms: Some(at_ms),
            lane,
            class,
            text: format!("{}{subject}", event.kind),
            request: event.subject.request_id,
        });
        if let Some(key) = bar_start(lane, event) {
            let label = match &event.subject.stage {
                Some(stage) => stage.to_string(),
                None => "forward".into(),
            };
            let bar = Bar {
                from_ms: at_ms,
                until_ms: self.until_ms,
                level: 0,
                class: Class::Open,
                label,
                first: at,
                last: None,
                request: event.subject.request_id,
            };
            // A second start without an end leaves the first one open.
            if let Some(open) = self.open_bars.insert(key, bar) {
                self.lanes[lane].bars.push(open);
            }
        } else if let Some(mut bar) =
            bar_end(lane, event).and_then(|key| self.open_bars.remove(&key))
        {
            let forward = event.subject.stage.is_none();
            bar.class = match class {
                Class::Plain if forward => Class::Forward,
                class => class,
            };
            bar.until_ms = at_ms;
            bar.last = Some(at);
            self.lanes[lane].bars.push(bar);
            if class != Class::Fault {
                return;
            }
        }
        // The end of a bar whose start is lost is a mark.
        self.lanes[lane].marks.push(Mark { at_ms, class, row: at });
    }

    fn finish(mut self) -> (Vec<Lane>, Vec<Line>) {
        for lane in 0..self.lanes.len() {
            self.close_gap(lane, self.until_ms);
        }
        for (key, bar) in std::mem::take(&mut self.open_bars).iter() {
            let open = Bar { label: bar.label.clone(), ..*bar };
            self.lanes[key.lane].bars.push(open);
        }
        for lane in &mut self.lanes {
            lane.depth = pack(&mut lane.bars);
        }
        (self.lanes, self.lines)
    }
}

fn bar_start(lane: usize, event: &Event) -> Option<BarKey> {
    match event.kind {
        EventKind::Dispatched { attempt } => {
            Some(key(lane, event, Some(attempt)))
        }
        EventKind::Forwarded { .. } => Some(key(lane, event, None)),
        _ => None,
    }
}

fn bar_end(lane: usize, event: &Event) -> Option<BarKey> {
    match event.kind {
        EventKind::StageDone { attempt, .. }
        | EventKind::AttemptFailed { attempt, .. } => {
            Some(key(lane, event, Some(attempt)))
        }
        EventKind::ForwardEnded { .. } => Some(key(lane, event, None)),
        _ => None,
    }
}

fn key(lane: usize, event: &Event, attempt: Option<u32>) -> BarKey {
    let subject = &event.subject;
    BarKey {
        lane,
        request: subject.request_id,
        stage: subject.stage.clone(),
        server: subject.server.clone(),
        attempt,
    }
}

fn class(kind: &EventKind) -> Class {
    match kind {
        EventKind::Refused { .. }
        | EventKind::AttemptFailed { .. }
        | EventKind::Cancelled { .. }
        | EventKind::ConfigRejected { .. }
        | EventKind::PauseDetected { .. }
        | EventKind::ForwardEnded {
            result: ForwardResult::NoAnswer, ..
        }
        | EventKind::MemberChanged {
            state: MemberState::Suspect | MemberState::Dead,
            ..
        } => Class::Fault,
        EventKind::Answered { status, .. }
            if *status >= FIRST_FAULT_STATUS =>
        {
            Class::Fault
        }
        _ => Class::Plain,
    }
}

/// Gives each bar the first row in which it overlaps no other, and returns
/// the number of rows.
fn pack(bars: &mut [Bar]) -> usize {
    bars.sort_by_key(|bar| (bar.from_ms, bar.first));
    let mut ends: Vec<u64> = Vec::new();
    for bar in bars {
        let free = ends.iter().position(|end| *end <= bar.from_ms);
        bar.level = free.unwrap_or(ends.len());
        if free.is_none() {
            ends.push(0);
        }
        ends[bar.level] = match bar.class {
            // It may still run, so nothing is drawn after it.
            Class::Open => u64::MAX,
            // Bars of no length are drawn with one.
            _ => bar.until_ms.max(bar.from_ms + 1),
        };
    }
    ends.len()
}
