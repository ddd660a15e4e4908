//! How far the request on a caller's connection has come, and what was
//! received of it.

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::fleet::{config::CallerLimits, shutdown::Shutdown};
use derive_more::Display;

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Stage {
    /// Nothing of the next request has arrived.
    #[display("idle")]
    Idle,
    /// The head of a request is being received.
    #[display("head")]
    Head,
    /// A request is being served.
    #[display("request")]
    Request,
}

/// The progress of a caller's connection. All its changes come from the task
/// that serves the connection.
#[derive(Debug)]
pub struct ConnectionProgress {
    stage: Cell<Stage>,
    since: Cell<Instant>,
    received_bytes: Cell<usize>,
    /// The caller leaves unread what is being written.
    is_blocked: Cell<bool>,
    /// The idle timeout when the last response was begun, by which the caller
    /// goes.
    promised_idle_timeout: Cell<Duration>,
    /// The attempt ID of the last request; `None` before its head was checked.
    attempt: RefCell<Option<Arc<str>>>,
    /// All of the last response was handed over to the HTTP server.
    is_handed_over: Cell<bool>,
    has_write_failed: Cell<bool>,
}

/// When a connection ends unless more of a request arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReceiveDeadline {
    /// The moment.
    pub at: Instant,
    /// What it follows from.
    pub limit: ReceiveLimit,
}

/// What bounds the time for a request to arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReceiveLimit {
    /// A limit of the configuration.
    Configured(Duration),
    /// A graceful shutdown.
    Shutdown,
}

impl ConnectionProgress {
    /// Creates the progress of a connection that was just accepted.
    #[must_use]
    pub fn new(now: Instant, limits: &CallerLimits) -> ConnectionProgress {
        ConnectionProgress {
            stage: Cell::new(Stage::Idle),
            since: Cell::new(now),
            received_bytes: Cell::new(0),
            is_blocked: Cell::new(false),
            promised_idle_timeout: Cell::new(limits.idle_timeout),
            attempt: RefCell::new(None),
            is_handed_over: Cell::new(false),
            has_write_failed: Cell::new(false),
        }
    }

    fn enter(&self, stage: Stage, now: Instant) {
        self.stage.set(stage);
        self.since.set(now);
    }

    /// Records bytes from the caller.
    pub fn record_received(&self, now: Instant, bytes: usize) {
        self.received_bytes.set(self.received_bytes.get() + bytes);
        if bytes > 0 && self.stage.get() == Stage::Idle {
            self.enter(Stage::Head, now);
        }
    }

    /// Records that a whole head has arrived.
    pub fn record_request(&self, now: Instant) {
        self.enter(Stage::Request, now);
        self.is_handed_over.set(false);
        self.attempt.replace(None);
    }

    /// Records the attempt ID of the request; `-` if it has none.
    pub fn record_attempt(&self, attempt: &Arc<str>) {
        self.attempt.replace(Some(Arc::clone(attempt)));
    }

    /// Records that a response is begun while these limits are in force.
    pub fn record_response(&self, limits: &CallerLimits) {
        self.promised_idle_timeout.set(limits.idle_timeout);
    }

    /// Records that the caller takes what is written to it. The connection is
    /// not idle before the last response has been written.
    pub fn record_written(&self, now: Instant) {
        if self.stage.get() == Stage::Idle {
            self.since.set(now);
        }
    }

    /// Records whether the caller leaves unread what is being written.
    pub fn record_blocked(&self, is_blocked: bool) {
        self.is_blocked.set(is_blocked);
    }

    /// Records that no more can be written.
    pub fn record_write_failed(&self) {
        self.has_write_failed.set(true);
    }

    /// Records that all of the response was handed over to the HTTP server.
    pub fn record_handed_over(&self) {
        self.is_handed_over.set(true);
    }

    /// Records the end of the response.
    pub fn record_answered(&self, now: Instant) {
        self.received_bytes.set(0);
        self.enter(Stage::Idle, now);
    }

    /// Returns when the connection ends by the limits in force, unless more
    /// of a request arrives; `None` while a request is being served or its
    /// response is being written, which the kernel bounds. An idle connection
    /// is kept for as long as its caller was told, unless the process stops.
    #[must_use]
    pub fn deadline(
        &self,
        limits: &CallerLimits,
        shutdown: Option<Shutdown>,
    ) -> Option<ReceiveDeadline> {
        if self.is_blocked.get() {
            return None;
        }
        let limit = match self.stage.get() {
            Stage::Idle => {
                limits.idle_timeout.max(self.promised_idle_timeout.get())
            }
            Stage::Head => limits.header_timeout,
            Stage::Request => return None,
        };
        let since = self.since.get();
        let at = since + limit;
        let stop_at = shutdown.map(|stop| stop.connection_deadline(since));
        match stop_at {
            Some(stop_at) if stop_at < at => {
                let limit = ReceiveLimit::Shutdown;
                Some(ReceiveDeadline { at: stop_at, limit })
            }
            _ => {
                let limit = ReceiveLimit::Configured(limit);
                Some(ReceiveDeadline { at, limit })
            }
        }
    }

    /// Returns whether the last response was written, and no byte of the next
    /// request was read since.
    #[must_use]
    pub fn is_between_requests(&self) -> bool {
        self.stage.get() == Stage::Idle
            && self.received_bytes.get() == 0
            && !self.is_blocked.get()
    }

    /// Returns whether all of the last response was handed over to the HTTP
    /// server, and the kernel has not taken all of it.
    #[must_use]
    pub fn has_unwritten_answer(&self) -> bool {
        self.is_handed_over.get()
            && (self.is_blocked.get() || self.has_write_failed.get())
    }

    /// Returns the attempt ID of the last request, once its head was checked.
    #[must_use]
    pub fn attempt(&self) -> Option<Arc<str>> {
        self.attempt.borrow().clone()
    }

    /// Returns what the connection is doing.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Returns for how long it has been doing that.
    #[must_use]
    pub fn time_in_stage(&self, now: Instant) -> Duration {
        now.duration_since(self.since.get())
    }

    /// Returns the number of bytes of a request that was not answered yet.
    #[must_use]
    pub fn received_bytes(&self) -> usize {
        self.received_bytes.get()
    }
}
