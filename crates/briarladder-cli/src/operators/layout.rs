//! Arranging the timeline as an HTML page without external resources.
//!
//! The page has a lane for each process. Attempts at stages and forwarded
//! calls are bars, other events and faults are marks, and lost events are
//! gaps.
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

/// The placeholder in the template that the data replaces.
const DATA_PLACEHOLDER: &str = "/*DATA*/";

/// The lowest HTTP status of a response that is shown as a fault.
const MIN_FAULT_STATUS: u16 = 400;

/// The data that the script of the page reads.
#[derive(Debug, Serialize)]
struct PageData {
    from_ms: u64,
    until_ms: u64,
    lanes: Vec<Lane>,
    rows: Vec<TableRow>,
    /// The descriptions of the daemons whose events are missing.
    missing: Vec<String>,
}

/// The lane of a process.
#[derive(Debug, Serialize)]
struct Lane {
    name: String,
    /// The number of levels that the bars occupy.
    depth: usize,
    bars: Vec<Bar>,
    marks: Vec<Mark>,
    gaps: Vec<LaneGap>,
}

impl Lane {
    fn new(name: String) -> Lane {
        let (bars, marks, gaps) = (Vec::new(), Vec::new(), Vec::new());
        Lane { name, depth: 0, bars, marks, gaps }
    }
}

/// The class that determines the colour of a bar, mark or row.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Class {
    Plain,
    Fault,
    /// A bar whose end is unknown.
    Open,
    /// A bar of a call that was forwarded to another daemon.
    Forward,
}

/// An attempt at a stage, or a forwarded call.
#[derive(Debug, Serialize)]
struct Bar {
    from_ms: u64,
    until_ms: u64,
    /// The vertical position in the lane, from 0.
    level: usize,
    class: Class,
    label: String,
    /// The index in [`PageData::rows`] of the event that starts the bar.
    first: usize,
    /// The index of the event that ends the bar; absent if the end is unknown.
    last: Option<usize>,
    request: Option<RequestId>,
}

/// An event that is drawn at a point in time.
#[derive(Debug, Serialize)]
struct Mark {
    at_ms: u64,
    class: Class,
    /// The index in [`PageData::rows`].
    row: usize,
}

/// A time span in which events of a process are missing.
#[derive(Debug, Serialize)]
struct LaneGap {
    from_ms: u64,
    until_ms: u64,
    text: String,
}

/// A row of the table below the lanes.
#[derive(Debug, Serialize)]
struct TableRow {
    /// The time of the event; absent for a gap.
    at_ms: Option<u64>,
    /// The index in [`PageData::lanes`].
    lane: usize,
    class: Class,
    text: String,
    request: Option<RequestId>,
}

/// The key by which the event that ends a bar is matched to its start.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct BarKey {
    lane: usize,
    request: Option<RequestId>,
    stage: Option<StageName>,
    server: Option<ServerName>,
    attempt: Option<u32>,
}

/// Renders the timeline as an HTML page.
///
/// # Errors
///
/// Returns an error when the events can't be written as JSON.
pub fn render_page(timeline: &Timeline) -> anyhow::Result<String> {
    let data = serde_json::to_string(&build_page_data(timeline))?;
    // Within a script element, `</` and `<!--` could end the data.
    let data = data.replace('<', "\\u003c");
    Ok(TEMPLATE.replacen(DATA_PLACEHOLDER, &data, 1))
}

fn build_page_data(timeline: &Timeline) -> PageData {
    let rows = &timeline.rows;
    let times = || {
        rows.iter().filter_map(|row| match row {
            TimelineRow::Event(event) => Some(event.timestamp.unix_ms),
            TimelineRow::Gap(_) => None,
        })
    };
    let from_ms = times().min().unwrap_or(0);
    // The time axis needs a length above zero even for a single event.
    let until_ms = times().max().unwrap_or(0).max(from_ms + 1);
    let mut builder = LaneBuilder::new(rows, from_ms, until_ms);
    for (index, row) in rows.iter().enumerate() {
        match row {
            TimelineRow::Event(event) => builder.add_event(index, event),
            TimelineRow::Gap(gap) => builder.add_gap(gap),
        }
    }
    let missing = timeline.missing.iter().map(ToString::to_string).collect();
    let (mut lanes, rows) = builder.finish();
    for missing in &timeline.missing {
        let prefix = format!("{}/", missing.daemon);
        // A daemon whose events were read in part has a lane already.
        if lanes.iter().all(|lane| !lane.name.starts_with(&prefix)) {
            let mut lane = Lane::new(missing.daemon.clone());
            let text = "unreachable: its events are missing".into();
            lane.gaps.push(LaneGap { from_ms, until_ms, text });
            lanes.push(lane);
        }
    }
    PageData { from_ms, until_ms, lanes, rows, missing }
}

/// Builds the lanes and the table from the rows in order.
struct LaneBuilder {
    until_ms: u64,
    processes: Vec<ProcessId>,
    lanes: Vec<Lane>,
    /// The time of the last event of each lane; the start of the page before
    /// its first event.
    last_event_ms: Vec<u64>,
    /// The number of events lost in each lane since its last event.
    lost_events: Vec<u64>,
    /// The bars whose end has not been found yet.
    open_bars: SortedMap<BarKey, Bar>,
    table_rows: Vec<TableRow>,
}

impl LaneBuilder {
    fn new(rows: &[TimelineRow], from_ms: u64, until_ms: u64) -> LaneBuilder {
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
        LaneBuilder {
            until_ms,
            lanes: processes.iter().map(lane).collect(),
            last_event_ms: vec![from_ms; processes.len()],
            lost_events: vec![0; processes.len()],
            open_bars: SortedMap::new(),
            table_rows: Vec::with_capacity(rows.len()),
            processes,
        }
    }

    /// Returns the index of the lane of a process.
    fn lane_index(&self, process: &ProcessId) -> usize {
        // OK because `new` collected the processes of all rows.
        self.processes.binary_search(process).unwrap()
    }

    fn add_gap(&mut self, gap: &Gap) {
        let lane = self.lane_index(&gap.process);
        self.lost_events[lane] += gap.lost_events;
        self.table_rows.push(TableRow {
            at_ms: None,
            lane,
            class: Class::Fault,
            text: format!("{} events lost", gap.lost_events),
            request: None,
        });
    }

    /// Adds the gap that ends at the next event of a lane or at the end of the
    /// page, if events were lost.
    fn close_gap(&mut self, lane: usize, until_ms: u64) {
        let lost_events = std::mem::take(&mut self.lost_events[lane]);
        if lost_events > 0 {
            let from_ms = self.last_event_ms[lane];
            let text = format!("{lost_events} events lost");
            let gap = LaneGap { from_ms, until_ms, text };
            self.lanes[lane].gaps.push(gap);
        }
    }

    /// Adds an event. `index` is the index of its row.
    fn add_event(&mut self, index: usize, event: &Event) {
        let lane = self.lane_index(&event.process);
        let at_ms = event.timestamp.unix_ms;
        self.close_gap(lane, at_ms);
        self.last_event_ms[lane] = self.last_event_ms[lane].max(at_ms);
        let class = classify(&event.kind);
        let subject = event.subject.to_string();
        self.table_rows.push(TableRow {
            at_ms: Some(at_ms),
            lane,
            class,
            text: format!("{}{subject}", event.kind),
            request: event.subject.request_id,
        });
        if let Some(key) = start_key(lane, event) {
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
                first: index,
                last: None,
                request: event.subject.request_id,
            };
            // If a bar with this key is open already, its end stays unknown.
            if let Some(unended) = self.open_bars.insert(key, bar) {
                self.lanes[lane].bars.push(unended);
            }
        } else if let Some(mut bar) =
            end_key(lane, event).and_then(|key| self.open_bars.remove(&key))
        {
            let is_forward = event.subject.stage.is_none();
            bar.class = match class {
                Class::Plain if is_forward => Class::Forward,
                class => class,
            };
            bar.until_ms = at_ms;
            bar.last = Some(index);
            self.lanes[lane].bars.push(bar);
            if class != Class::Fault {
                return;
            }
        }
        // The end of a bar whose start event is lost is drawn as a mark.
        self.lanes[lane].marks.push(Mark { at_ms, class, row: index });
    }

    /// Completes the lanes and returns them with the rows of the table.
    fn finish(mut self) -> (Vec<Lane>, Vec<TableRow>) {
        for lane in 0..self.lanes.len() {
            self.close_gap(lane, self.until_ms);
        }
        for (key, bar) in std::mem::take(&mut self.open_bars).iter() {
            let unended = Bar { label: bar.label.clone(), ..*bar };
            self.lanes[key.lane].bars.push(unended);
        }
        for lane in &mut self.lanes {
            lane.depth = assign_levels(&mut lane.bars);
        }
        (self.lanes, self.table_rows)
    }
}

/// Returns the key of the bar that an event starts.
fn start_key(lane: usize, event: &Event) -> Option<BarKey> {
    match event.kind {
        EventKind::Dispatched { attempt } => {
            Some(bar_key(lane, event, Some(attempt)))
        }
        EventKind::Forwarded { .. } => Some(bar_key(lane, event, None)),
        _ => None,
    }
}

/// Returns the key of the bar that an event ends.
fn end_key(lane: usize, event: &Event) -> Option<BarKey> {
    match event.kind {
        EventKind::StageDone { attempt, .. }
        | EventKind::AttemptFailed { attempt, .. } => {
            Some(bar_key(lane, event, Some(attempt)))
        }
        EventKind::ForwardEnded { .. } => Some(bar_key(lane, event, None)),
        _ => None,
    }
}

fn bar_key(lane: usize, event: &Event, attempt: Option<u32>) -> BarKey {
    let subject = &event.subject;
    BarKey {
        lane,
        request: subject.request_id,
        stage: subject.stage.clone(),
        server: subject.server.clone(),
        attempt,
    }
}

/// Returns whether an event is shown as a fault.
fn classify(kind: &EventKind) -> Class {
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
        EventKind::Answered { status, .. } if *status >= MIN_FAULT_STATUS => {
            Class::Fault
        }
        _ => Class::Plain,
    }
}

/// Assigns each bar to the lowest level on which it overlaps no other bar.
/// Returns the number of levels.
fn assign_levels(bars: &mut [Bar]) -> usize {
    bars.sort_by_key(|bar| (bar.from_ms, bar.first));
    let mut ends: Vec<u64> = Vec::new();
    for bar in bars {
        let free = ends.iter().position(|end| *end <= bar.from_ms);
        bar.level = free.unwrap_or(ends.len());
        if free.is_none() {
            ends.push(0);
        }
        ends[bar.level] = match bar.class {
            // The end is unknown, so no bar may follow on this level.
            Class::Open => u64::MAX,
            // Bars without duration are drawn with a minimum width.
            _ => bar.until_ms.max(bar.from_ms + 1),
        };
    }
    ends.len()
}
