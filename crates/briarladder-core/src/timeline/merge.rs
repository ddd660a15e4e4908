//! Merging the events of several processes into one timeline.

use std::fmt::Write;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::timeline::{Event, EventPage, Gap, HlcTimestamp, ProcessId};

/// One line of a merged timeline.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(tag = "row", rename_all = "snake_case")]
pub enum TimelineRow {
    /// An event.
    #[display("{_0}")]
    Event(Event),
    /// Missing events before the next event of their process.
    #[display("{_0}")]
    Gap(Gap),
}

impl TimelineRow {
    fn process(&self) -> &ProcessId {
        match self {
            TimelineRow::Event(event) => &event.process,
            TimelineRow::Gap(gap) => &gap.process,
        }
    }

    fn sequence(&self) -> u64 {
        match self {
            TimelineRow::Event(event) => event.sequence,
            TimelineRow::Gap(gap) => gap.first_sequence,
        }
    }
}

/// Merges pages into one timeline in causal order. Events of one process stay
/// ordered by sequence number, and an event that several pages contain appears
/// once.
#[must_use]
pub fn merge(pages: &[EventPage]) -> Vec<TimelineRow> {
    let mut rows: Vec<TimelineRow> = Vec::new();
    for page in pages {
        rows.extend(page.gap.iter().cloned().map(TimelineRow::Gap));
        rows.extend(page.events.iter().cloned().map(TimelineRow::Event));
    }
    // A gap and an event can have the same sequence number if the event was
    // read before it was overwritten. Both are kept.
    rows.sort_by(|a, b| {
        (a.process(), a.sequence()).cmp(&(b.process(), b.sequence()))
    });
    rows.dedup_by(|b, a| {
        matches!((&*a, &*b), (TimelineRow::Event(a), TimelineRow::Event(b))
            if a.process == b.process && a.sequence == b.sequence)
            || a == b
    });
    let mut keyed = with_timestamps(rows);
    // The sort is stable, so it keeps the order within a process.
    keyed.sort_by(|(a_time, a), (b_time, b)| {
        (a_time, a.process()).cmp(&(b_time, b.process()))
    });
    keyed.into_iter().map(|(_, row)| row).collect()
}

/// Assigns each row a timestamp that never decreases within its process. A gap
/// gets the timestamp of the next event, or the maximum if there is none.
fn with_timestamps(
    rows: Vec<TimelineRow>,
) -> Vec<(HlcTimestamp, TimelineRow)> {
    const LAST: HlcTimestamp =
        HlcTimestamp { unix_ms: u64::MAX, counter: u32::MAX };
    let mut keyed: Vec<(HlcTimestamp, TimelineRow)> =
        Vec::with_capacity(rows.len());
    let mut latest = HlcTimestamp::default();
    for row in rows {
        let same_process =
            keyed.last().is_some_and(|(_, r)| r.process() == row.process());
        if !same_process {
            latest = HlcTimestamp::default();
        }
        if let TimelineRow::Event(event) = &row {
            latest = latest.max(event.timestamp);
        }
        keyed.push((latest, row));
    }
    let mut next: Option<(HlcTimestamp, ProcessId)> = None;
    for (at, row) in keyed.iter_mut().rev() {
        match row {
            TimelineRow::Event(event) => {
                next = Some((*at, event.process.clone()));
            }
            TimelineRow::Gap(gap) => {
                *at = match &next {
                    Some((at, process)) if *process == gap.process => *at,
                    _ => LAST,
                };
            }
        }
    }
    keyed
}

/// Renders a timeline as text with one line per row.
#[must_use]
pub fn render(rows: &[TimelineRow]) -> String {
    let mut text = String::new();
    for row in rows {
        // Writing to a string never fails.
        let _ = writeln!(text, "{row}");
    }
    text
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;
    use crate::{
        ids::{Incarnation, RequestId},
        names::{ServerName, VmName},
        timeline::{
            Detail, EventBuffer, EventFilter, EventKind, EventSubject, Hlc,
            TimeSpan,
        },
    };

    fn buffer(vm: &str, capacity_events: usize) -> EventBuffer {
        let vm = VmName::new(vm).unwrap();
        let process = ProcessId { vm, incarnation: Incarnation(1) };
        EventBuffer::new(process, capacity_events)
    }

    fn all(buffer: &EventBuffer) -> EventPage {
        buffer.page(0, usize::MAX, &EventFilter::default())
    }

    /// Guards against overwritten events that are not reported as a gap, and
    /// against pages that repeat or skip events.
    #[test]
    fn page_marks_gap_and_continues() {
        let mut buffer = buffer("vm-1", 3);
        let mut clock = Hlc::new();
        for attempt in 0..5 {
            let stamp = clock.tick(Duration::from_secs(1));
            let kind = EventKind::Dispatched { attempt };
            buffer.record(stamp, EventSubject::default(), kind);
        }
        let first = buffer.page(1, 2, &EventFilter::default());
        let gap = first.gap.clone().unwrap();
        assert_eq!((gap.first_sequence, gap.lost_events), (1, 1));
        assert_eq!(first.events.len(), 2);
        let second =
            buffer.page(first.next_sequence, 2, &EventFilter::default());
        assert_eq!(second.gap, None);
        assert_eq!(second.events[0].sequence, 4);
        assert_eq!(second.next_sequence, second.end_sequence);
        let rows = merge(&[second, first.clone(), first]);
        assert_eq!(rows.len(), 4);
        assert!(matches!(rows[0], TimelineRow::Gap(_)));
        assert!(render(&rows).starts_with("gap vm-1/"));
    }

    /// Guards against an effect that is ordered before its cause because the
    /// wall clock of the receiver is behind that of the sender.
    #[test]
    fn merge_orders_cause_before_effect() {
        let (mut ahead, mut behind) = (buffer("vm-2", 9), buffer("vm-1", 9));
        let (mut ahead_clock, mut behind_clock) = (Hlc::new(), Hlc::new());
        let early = behind_clock.tick(Duration::from_secs(1));
        let sent = ahead_clock.tick(Duration::from_secs(8));
        let received = behind_clock.observe(sent, Duration::from_secs(2));
        let kind = EventKind::Dispatched { attempt: 0 };
        ahead.record(sent, EventSubject::default(), kind.clone());
        behind.record(early, EventSubject::default(), EventKind::StopBegun);
        behind.record(received.unwrap(), EventSubject::default(), kind);
        let rows = merge(&[all(&behind), all(&ahead)]);
        let vms: Vec<_> =
            rows.iter().map(|r| r.process().vm.as_str()).collect();
        assert_eq!(vms, ["vm-1", "vm-2", "vm-1"]);
    }

    /// Guards against reordering the events of one process if it recorded them
    /// in another order than that of their timestamps.
    #[test]
    fn merge_keeps_sequence() {
        let mut buffer = buffer("vm-1", 9);
        for unix_ms in [7, 5, 6] {
            let stamp = HlcTimestamp { unix_ms, counter: 0 };
            buffer.record(
                stamp,
                EventSubject::default(),
                EventKind::StopBegun,
            );
        }
        let rows = merge(&[all(&buffer)]);
        let sequences: Vec<u64> =
            rows.iter().map(TimelineRow::sequence).collect();
        assert_eq!(sequences, [0, 1, 2]);
    }

    /// Guards against a filter that ignores one of its fields.
    #[test]
    fn filter_checks_each_field() {
        let mut buffer = buffer("vm-1", 9);
        let server = ServerName::new("engine-1").unwrap();
        let subject = EventSubject::default()
            .with_request(RequestId(7))
            .with_epoch(3)
            .with_server(server.clone());
        let stamp = HlcTimestamp { unix_ms: 50, counter: 0 };
        let kind = EventKind::Dispatched { attempt: 0 };
        buffer.record(stamp, subject, kind);
        let span = |from_unix_ms| {
            let until_unix_ms = from_unix_ms + 10;
            Some(TimeSpan { from_unix_ms, until_unix_ms })
        };
        let none = EventFilter::default();
        let other = ServerName::new("engine-2").unwrap();
        let cases = [
            (
                EventFilter { request_id: Some(RequestId(7)), ..none.clone() },
                1,
            ),
            (
                EventFilter { request_id: Some(RequestId(8)), ..none.clone() },
                0,
            ),
            (EventFilter { epoch: Some(3), ..none.clone() }, 1),
            (EventFilter { epoch: Some(4), ..none.clone() }, 0),
            (EventFilter { server: Some(server), ..none.clone() }, 1),
            (EventFilter { server: Some(other), ..none.clone() }, 0),
            (EventFilter { span: span(50), ..none.clone() }, 1),
            (EventFilter { span: span(40), ..none }, 0),
        ];
        for (filter, events) in cases {
            let page = buffer.page(0, 9, &filter);
            assert_eq!(page.events.len(), events, "{filter:?}");
        }
    }

    /// Guards against rows that can't be read back from JSON, and against
    /// unbounded texts in a buffer.
    #[test]
    fn row_survives_json() {
        let mut buffer = buffer("vm-1", 9);
        let reason = Detail::from("é".repeat(500).as_str());
        assert!(reason.to_string().len() <= 120);
        let kind = EventKind::AttemptFailed { attempt: 1, reason };
        let subject = EventSubject::default().with_request(RequestId(7));
        buffer.record(HlcTimestamp::default(), subject, kind);
        let rows = merge(&[all(&buffer)]);
        let json = serde_json::to_string(&rows).unwrap();
        assert_eq!(
            serde_json::from_str::<Vec<TimelineRow>>(&json).unwrap(),
            rows
        );
    }
}
