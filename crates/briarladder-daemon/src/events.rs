//! The timeline of this process.
//!
//! `briarladder_core::timeline` holds the clock and the buffer; this module
//! shares them between the tasks of the process.

use briarladder_core::{
    clock::SharedClock,
    timeline::{
        EventBuffer, EventKind, Filter, Hlc, HlcTimestamp, Page, Process,
        Subject,
    },
};
use parking_lot::Mutex;

/// The events of this process and its hybrid logical clock.
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
    /// Creates an empty timeline that keeps a number of events.
    #[must_use]
    pub fn new(
        clock: SharedClock,
        process: Process,
        events_kept: usize,
    ) -> Events {
        let buffer = EventBuffer::new(process, events_kept);
        let inner = Inner { hlc: Hlc::new(), buffer };
        Events { clock, inner: Mutex::new(inner) }
    }

    /// Records what happened.
    pub fn record(&self, subject: Subject, kind: EventKind) {
        let unix = self.clock.unix();
        self.with(|inner| {
            let stamp = inner.hlc.tick(unix);
            inner.buffer.record(stamp, subject, kind);
        });
    }

    /// Returns the timestamp of a message that is about to be sent.
    #[must_use]
    pub fn stamp(&self) -> HlcTimestamp {
        let unix = self.clock.unix();
        self.with(|inner| inner.hlc.tick(unix))
    }

    /// Takes the timestamp of a received message.
    pub fn observe(&self, remote: HlcTimestamp) {
        let unix = self.clock.unix();
        let observed = self.with(|inner| inner.hlc.observe(remote, unix));
        if let Err(error) = observed {
            log::warn!("timeline: {error}");
        }
    }

    /// Returns selected events from a sequence on.
    #[must_use]
    pub fn page(
        &self,
        from_sequence: u64,
        limit_events: usize,
        filter: &Filter,
    ) -> Page {
        self.with(|inner| {
            inner.buffer.page(from_sequence, limit_events, filter)
        })
    }

    fn with<T>(&self, run: impl FnOnce(&mut Inner) -> T) -> T {
        run(&mut self.inner.lock())
    }
}
