//! The timeline of this process: a buffer of recent events with timestamps
//! of a hybrid logical clock, shared by all tasks.

use briarladder_core::{
    clock::SharedClock,
    timeline::{
        EventBuffer, EventFilter, EventKind, EventPage, EventSubject, Hlc,
        HlcTimestamp, ProcessId,
    },
};
use parking_lot::Mutex;

/// The recent events of this process and its hybrid logical clock.
#[derive(Debug)]
pub struct Events {
    clock: SharedClock,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    hlc: Hlc,
    buffer: EventBuffer,
}

impl Events {
    /// Creates an empty timeline that keeps the last `events_kept` events.
    #[must_use]
    pub fn new(
        clock: SharedClock,
        process: ProcessId,
        events_kept: usize,
    ) -> Events {
        let buffer = EventBuffer::new(process, events_kept);
        let inner = Inner { hlc: Hlc::new(), buffer };
        Events { clock, inner: Mutex::new(inner) }
    }

    /// Records an event with the current time.
    pub fn record(&self, subject: EventSubject, kind: EventKind) {
        let unix = self.clock.unix_time();
        self.with(|inner| {
            let stamp = inner.hlc.tick(unix);
            inner.buffer.record(stamp, subject, kind);
        });
    }

    /// Advances the clock and returns the timestamp for an outgoing message.
    #[must_use]
    pub fn stamp(&self) -> HlcTimestamp {
        let unix = self.clock.unix_time();
        self.with(|inner| inner.hlc.tick(unix))
    }

    /// Advances the clock past the timestamp of a received message.
    pub fn observe(&self, remote: HlcTimestamp) {
        let unix = self.clock.unix_time();
        let observed = self.with(|inner| inner.hlc.observe(remote, unix));
        if let Err(error) = observed {
            log::warn!("timeline: {error}");
        }
    }

    /// Returns up to `limit_events` events that match a filter, beginning at
    /// a sequence number.
    #[must_use]
    pub fn page(
        &self,
        from_sequence: u64,
        limit_events: usize,
        filter: &EventFilter,
    ) -> EventPage {
        self.with(|inner| {
            inner.buffer.page(from_sequence, limit_events, filter)
        })
    }

    fn with<T>(&self, run: impl FnOnce(&mut Inner) -> T) -> T {
        run(&mut self.inner.lock())
    }
}
