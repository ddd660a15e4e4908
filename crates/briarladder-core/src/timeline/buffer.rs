//! The bounded event buffer of one process.

use std::collections::VecDeque;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::timeline::{
    Event, EventFilter, EventKind, EventSubject, HlcTimestamp, ProcessId,
};

/// A range of events that were overwritten before they were read.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("gap {process} #{first_sequence}: {lost_events} events lost")]
pub struct Gap {
    /// The process whose events are missing.
    pub process: ProcessId,
    /// The sequence number of the first missing event.
    pub first_sequence: u64,
    /// The number of missing events.
    pub lost_events: u64,
}

/// One page of the events of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventPage {
    /// The process that recorded the events.
    pub process: ProcessId,
    /// The events between the requested sequence number and the oldest one
    /// in the buffer, which were overwritten. The filter might have selected
    /// some of them. Absent if none were.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gap: Option<Gap>,
    /// The selected events, sorted by sequence number.
    pub events: Vec<Event>,
    /// The sequence number at which the next page starts.
    pub next_sequence: u64,
    /// The sequence number after the newest event of the process. On the last
    /// page, `next_sequence` equals it.
    pub end_sequence: u64,
}

/// A ring buffer with the newest events of one process.
#[derive(Debug)]
pub struct EventBuffer {
    process: ProcessId,
    capacity_events: usize,
    events: VecDeque<Event>,
    end_sequence: u64,
}

impl EventBuffer {
    /// Creates an empty buffer. Its capacity is at least one event.
    #[must_use]
    pub fn new(process: ProcessId, capacity_events: usize) -> EventBuffer {
        EventBuffer {
            process,
            capacity_events: capacity_events.max(1),
            events: VecDeque::new(),
            end_sequence: 0,
        }
    }

    /// Adds an event and returns its sequence number. A full buffer overwrites
    /// its oldest event.
    pub fn record(
        &mut self,
        timestamp: HlcTimestamp,
        subject: EventSubject,
        kind: EventKind,
    ) -> u64 {
        if self.events.len() == self.capacity_events {
            self.events.pop_front();
        }
        let sequence = self.end_sequence;
        let process = self.process.clone();
        self.events.push_back(Event {
            process,
            sequence,
            timestamp,
            subject,
            kind,
        });
        self.end_sequence += 1;
        sequence
    }

    /// Returns a page of up to `limit_events` selected events, starting at a
    /// sequence number.
    #[must_use]
    pub fn page(
        &self,
        from_sequence: u64,
        limit_events: usize,
        filter: &EventFilter,
    ) -> EventPage {
        let oldest = self.overwritten_events();
        // A reader is ahead of the buffer if the process was restarted.
        let from = from_sequence.min(self.end_sequence);
        let gap = (from < oldest).then(|| Gap {
            process: self.process.clone(),
            first_sequence: from,
            lost_events: oldest - from,
        });
        let mut next_sequence = from.max(oldest);
        let mut events = Vec::new();
        // The difference is at most the number of events, so it fits a usize.
        let skip = usize::try_from(next_sequence - oldest)
            .unwrap_or(self.events.len());
        for event in self.events.iter().skip(skip) {
            if events.len() >= limit_events {
                break;
            }
            next_sequence = event.sequence + 1;
            if filter.matches(event) {
                events.push(event.clone());
            }
        }
        EventPage {
            process: self.process.clone(),
            gap,
            events,
            next_sequence,
            end_sequence: self.end_sequence,
        }
    }

    /// Returns how many events were overwritten, which is also the sequence
    /// number of the oldest event in the buffer.
    #[must_use]
    pub fn overwritten_events(&self) -> u64 {
        self.end_sequence - self.events.len() as u64
    }
}
