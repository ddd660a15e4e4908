//! The record of one request for its log line and the metrics.
//!
//! The line is written when the record is dropped, so that a request whose
//! caller has disconnected is logged too.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::fleet::server::ListedServer;
use derive_more::Display;

use crate::{
    blackboard::Blackboard, dialect::TakenUpStream, metrics::Metrics,
};

use super::framing::Framing;

/// The phase that a request has reached.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Phase {
    /// Its head is being checked.
    #[display("head")]
    Head,
    /// Its body is being read.
    #[display("body")]
    Body,
    /// Its stages are running.
    #[display("stages")]
    Stages,
    /// It was sent to a server that has not responded yet.
    #[display("server")]
    Server,
    /// Its response is being forwarded.
    #[display("answer")]
    Response,
}

/// The data of a request's log line. While it exists, the request counts as
/// open.
#[derive(Debug)]
pub struct RequestRecord {
    blackboard: Rc<Blackboard>,
    metrics: Rc<Metrics>,
    arrived_at: Instant,
    /// The caller's attempt id; `-` until it is known.
    pub attempt: Arc<str>,
    /// The route, once it is known.
    pub route: Option<Arc<str>>,
    /// The workspace, once it is known.
    pub workspace: Option<Arc<str>>,
    /// The version of the configuration that the request uses.
    pub config_version: u64,
    /// The prompt tokens: those of the shared prefix, and the others.
    pub prompt: Option<(u64, u64)>,
    /// The server of the last attempt.
    pub server: Option<Arc<str>>,
    /// The software version of that server.
    pub software_version: Option<Arc<str>>,
    /// The stream that it takes up, if it does.
    pub take_up: Option<TakenUpStream>,
    /// The number of attempts to send it to a server.
    pub attempts: u32,
    /// What came of a send to a second server while the first one was slow.
    pub extra_send: Option<&'static str>,
    /// How long the stages took.
    pub stages_time: Option<Duration>,
    /// The time from the arrival to the response head.
    first_byte: Option<Duration>,
    /// The phase that the request has reached.
    pub phase: Phase,
    /// The request's timeout, from its arrival.
    pub timeout: Option<Duration>,
    /// The HTTP status of the response; 0 if there is none.
    pub status: u16,
    /// The `retry-after` of a refusal.
    pub retry_after: Option<Duration>,
    /// The cause of the outcome, or what the request is waiting for.
    pub cause: Option<String>,
    /// How the end of the server's response is marked.
    pub framing: Option<Framing>,
    relayed_bytes: usize,
    outcome: Option<&'static str>,
}

impl RequestRecord {
    /// Creates the record of a request that has just arrived.
    #[must_use]
    pub fn new(
        blackboard: &Rc<Blackboard>,
        metrics: &Rc<Metrics>,
    ) -> RequestRecord {
        blackboard.open_requests.set(blackboard.open_requests.get() + 1);
        metrics.open_requests.inc();
        RequestRecord {
            blackboard: Rc::clone(blackboard),
            metrics: Rc::clone(metrics),
            arrived_at: blackboard.now(),
            attempt: Arc::from("-"),
            route: None,
            workspace: None,
            config_version: 0,
            prompt: None,
            server: None,
            software_version: None,
            take_up: None,
            attempts: 0,
            extra_send: None,
            stages_time: None,
            first_byte: None,
            phase: Phase::Head,
            timeout: None,
            status: 0,
            retry_after: None,
            cause: None,
            framing: None,
            relayed_bytes: 0,
            outcome: None,
        }
    }

    /// Records the server of the next attempt.
    pub fn record_attempt(&mut self, server: &ListedServer) {
        self.set_server(server);
        self.attempts += 1;
    }

    /// Sets the server of the last attempt.
    pub fn set_server(&mut self, server: &ListedServer) {
        self.server = Some(Arc::clone(&server.name));
        self.software_version = Some(Arc::clone(&server.software_version));
    }

    /// Returns when the request arrived.
    #[must_use]
    pub fn arrived_at(&self) -> Instant {
        self.arrived_at
    }

    /// Records the arrival of the response head.
    pub fn record_head(&mut self) {
        self.first_byte = Some(self.elapsed());
        self.phase = Phase::Response;
    }

    /// Counts forwarded bytes of the response.
    pub fn add_relayed_bytes(&mut self, bytes: usize) {
        self.relayed_bytes += bytes;
    }

    /// Sets the outcome label.
    pub fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = Some(outcome);
    }

    /// Records that the response body ended early.
    pub fn record_truncated(&mut self, cause: &str) {
        self.cause = Some(cause.to_owned());
        self.set_outcome("broken_off");
    }

    /// Returns the outcome of a request that was dropped before its outcome
    /// was set: the caller has disconnected, or a graceful shutdown cut it
    /// off.
    fn dropped_outcome(&self) -> &'static str {
        let now = self.blackboard.now();
        let cut_by_shutdown = self
            .blackboard
            .shutdown()
            .is_some_and(|shutdown| shutdown.final_responses_at() <= now);
        if cut_by_shutdown { "cut_by_stop" } else { "caller_left" }
    }

    fn elapsed(&self) -> Duration {
        self.blackboard.now().duration_since(self.arrived_at)
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.blackboard
            .open_requests
            .set(self.blackboard.open_requests.get() - 1);
        self.metrics.open_requests.dec();
        let outcome = self.outcome.unwrap_or_else(|| self.dropped_outcome());
        let route = self.route.as_deref().unwrap_or("-");
        self.metrics.request_ended(route, outcome, self.first_byte);
        log::info!(
            "request: id={} route={route} workspace={} outcome={outcome} \
             status={} at={} ms={} limit_ms={} first_ms={} stages_ms={} \
             prompt={}+{} server={} software={} sends={} extra={} framing={} \
             bytes={} config={} retry_after_ms={} takes_up={} after={} \
             cause={:?}",
            self.attempt,
            self.workspace.as_deref().unwrap_or("-"),
            self.status,
            self.phase,
            self.elapsed().as_millis(),
            millis(self.timeout),
            millis(self.first_byte),
            millis(self.stages_time),
            self.prompt.map_or(0, |(shared, _)| shared),
            self.prompt.map_or(0, |(_, own)| own),
            self.server.as_deref().unwrap_or("-"),
            self.software_version.as_deref().unwrap_or("-"),
            self.attempts,
            self.extra_send.unwrap_or("-"),
            self.framing.map_or_else(|| "-".to_owned(), |f| f.to_string()),
            self.relayed_bytes,
            self.config_version,
            millis(self.retry_after),
            self.take_up.as_ref().map_or("-", |stream| {
                stream.first_attempt.as_deref().unwrap_or("unnamed")
            }),
            self.take_up.as_ref().map_or("-", |s| &*s.last_event_id),
            self.cause.as_deref().unwrap_or("-"),
        );
    }
}

fn millis(time: Option<Duration>) -> i128 {
    // Minus one means that the request did not get that far.
    time.and_then(|time| i128::try_from(time.as_millis()).ok()).unwrap_or(-1)
}
