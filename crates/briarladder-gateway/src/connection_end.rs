//! Reports connections of callers that end with a part of a request, or a
//! whole one, that was received and not answered, or with an answer that the
//! kernel has not taken to its end.

use std::time::Duration;

use derive_more::Display;
use prometheus_client::encoding::EncodeLabelSet;

use crate::{
    caller_progress::{ConnectionProgress, Stage},
    caller_stream::Discarded,
    context::Gateway,
};

/// Why a connection of a caller ended.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ConnectionEnd {
    /// The caller closed it, or a response announced its end.
    #[display("finished")]
    Finished,
    /// It was idle, or the head of a request incomplete, for too long.
    #[display("timeout")]
    Timeout {
        /// The limit in force.
        limit: Duration,
    },
    /// It made room for another connection, or for bytes of another caller.
    #[display("no_room")]
    NoRoom,
    /// The process stops.
    #[display("stop")]
    Stop,
    /// It failed, or the caller sent what is no request.
    #[display("error")]
    Error(String),
}

/// Labels of the counter of such connections.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct UnansweredLabels {
    /// The cause, as in the log line.
    pub cause: String,
    /// An answer was not written to its end.
    pub unwritten: bool,
}

fn count(gateway: &Gateway, cause: String, unwritten: bool) {
    let labels = UnansweredLabels { cause, unwritten };
    gateway.metrics.unanswered.get_or_create(&labels).inc();
}

/// Reports the end of a connection, if it leaves received bytes unanswered or
/// an answer unwritten that was handed over to the HTTP server. A request that
/// its caller gave up has a log line of its own.
pub fn report(
    gateway: &Gateway,
    progress: &ConnectionProgress,
    end: &ConnectionEnd,
) {
    let stage = progress.stage();
    let waited = progress.time_in_stage(gateway.blackboard.now());
    let waited_ms = waited.as_millis();
    let (limit_ms, error) = match end {
        ConnectionEnd::Timeout { limit } => (limit.as_millis(), ""),
        ConnectionEnd::Error(error) => (0, error.as_str()),
        _ => (0, ""),
    };
    let given_up = stage == Stage::Request
        && matches!(end, ConnectionEnd::Finished | ConnectionEnd::Error(_));
    let unwritten = progress.has_unwritten_answer();
    let answered = progress.received_bytes() == 0 || given_up;
    if answered && !unwritten {
        log::debug!(
            "listener: event=closed cause={end} stage={stage} \
             waited_ms={waited_ms} limit_ms={limit_ms} error=\"{error}\""
        );
        return;
    }
    count(gateway, end.to_string(), unwritten);
    let attempt = match stage {
        Stage::Request => progress.attempt(),
        Stage::Idle | Stage::Head => progress.attempt().filter(|_| unwritten),
    };
    log::info!(
        "listener: event=unanswered cause={end} stage={stage} \
         received_bytes={} unwritten={unwritten} id={} \
         waited_ms={waited_ms} limit_ms={limit_ms} error=\"{error}\"",
        progress.received_bytes(),
        attempt.as_deref().unwrap_or("-"),
    );
}

/// Reports what was discarded after the last response of a connection.
pub fn report_discarded(gateway: &Gateway, discarded: Discarded) {
    if discarded.bytes == 0 {
        return;
    }
    count(gateway, "discarded".to_owned(), false);
    log::info!(
        "listener: event=unanswered cause=discarded received_bytes={} \
         whole_head={}",
        discarded.bytes,
        discarded.has_head
    );
}
