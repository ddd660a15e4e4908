//! Errors that end a request without a response, as callers see them.
//!
//! # Example
//!
//! ```
//! use briarladder_daemon::refusal::{Refusal, RefusalKind};
//! use briarladder_wire::callers::Outcome;
//!
//! let refusal = Refusal::new(RefusalKind::Overloaded, "queue is full");
//! assert_eq!(refusal.problem(None).outcome, Outcome::NotRun);
//! ```

use std::{borrow::Cow, time::Duration};

use briarladder_core::ids::RequestId;
use briarladder_wire::callers::{Outcome, Problem};
use derive_more::{Display, Error};

/// The kind of a refusal. docs/callers.md describes each one.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RefusalKind {
    /// A header or the body breaks a rule.
    #[display("invalid-request")]
    InvalidRequest,
    /// The pipeline, workspace or rank is not in the configuration.
    #[display("not-found")]
    NotFound,
    /// The workspace may not use the pipeline.
    #[display("not-allowed")]
    NotAllowed,
    /// The head or body exceeds its size limit.
    #[display("too-large")]
    TooLarge,
    /// The caller took too long to send the request.
    #[display("too-slow")]
    TooSlow,
    /// The call is not idempotent and has no ticket.
    #[display("ticket-required")]
    TicketRequired,
    /// The ticket is malformed, not authentic or for another workspace.
    #[display("ticket-rejected")]
    TicketRejected,
    /// The ticket's call has ended, or its record was evicted.
    #[display("ticket-closed")]
    TicketClosed,
    /// The workspace or caller has too many open requests.
    #[display("limit-reached")]
    LimitReached,
    /// The backlog is too long to finish this request in time.
    #[display("overloaded")]
    Overloaded,
    /// The daemon has no usable configuration, or is shutting down.
    #[display("not-ready")]
    NotReady,
    /// The request crashed backend servers.
    #[display("poison")]
    Poison,
    /// No backend server can run a stage.
    #[display("no-server")]
    NoServer,
    /// A backend server failed and the stage could not be retried.
    #[display("backend-failed")]
    BackendFailed,
    /// The deadline passed before the response was complete.
    #[display("deadline-exceeded")]
    DeadlineExceeded,
    /// The daemon that issued the ticket can't be reached or has restarted.
    #[display("issuer-unreachable")]
    IssuerUnreachable,
}

impl RefusalKind {
    fn status(self) -> u16 {
        match self {
            RefusalKind::InvalidRequest => 400,
            RefusalKind::TicketRejected => 401,
            RefusalKind::NotAllowed => 403,
            RefusalKind::NotFound => 404,
            RefusalKind::TooSlow => 408,
            RefusalKind::TicketClosed => 409,
            RefusalKind::TooLarge => 413,
            RefusalKind::Poison => 422,
            RefusalKind::TicketRequired => 428,
            RefusalKind::LimitReached => 429,
            RefusalKind::BackendFailed => 502,
            RefusalKind::Overloaded
            | RefusalKind::NotReady
            | RefusalKind::NoServer => 503,
            RefusalKind::DeadlineExceeded | RefusalKind::IssuerUnreachable => {
                504
            }
        }
    }

    fn title(self) -> &'static str {
        match self {
            RefusalKind::InvalidRequest => "The request is not valid",
            RefusalKind::NotFound => "A name is not in the configuration",
            RefusalKind::NotAllowed => "The workspace may not do this",
            RefusalKind::TooLarge => "The request is too large",
            RefusalKind::TooSlow => "The request was sent too slowly",
            RefusalKind::TicketRequired => "The call needs a ticket",
            RefusalKind::TicketRejected => "The ticket is not accepted",
            RefusalKind::TicketClosed => "The ticket is closed",
            RefusalKind::LimitReached => "A limit is reached",
            RefusalKind::Overloaded => "The request can't finish in time",
            RefusalKind::NotReady => "This daemon can't take requests",
            RefusalKind::Poison => "The request crashed backend servers",
            RefusalKind::NoServer => "No backend server is available",
            RefusalKind::BackendFailed => "A backend server failed",
            RefusalKind::DeadlineExceeded => "The deadline passed",
            RefusalKind::IssuerUnreachable => {
                "The daemon that holds the ticket can't be reached"
            }
        }
    }

    /// Returns the outcome that the kind implies when nothing else is known.
    fn outcome(self) -> Outcome {
        match self {
            RefusalKind::BackendFailed
            | RefusalKind::DeadlineExceeded
            | RefusalKind::IssuerUnreachable
            | RefusalKind::TicketClosed
            | RefusalKind::TicketRejected => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }
}

/// An error that ends a request without a response.
#[derive(Clone, Debug, Display, Error)]
#[display("{kind}: {detail}")]
pub struct Refusal {
    /// Determines the HTTP status and the problem type.
    pub kind: RefusalKind,
    /// What is wrong and how the caller can correct it.
    pub detail: Cow<'static, str>,
    /// Whether the request ran, as far as the daemon knows.
    pub outcome: Outcome,
    /// How long the caller should wait before a retry, if that is known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal with the outcome that its kind implies.
    pub fn new(
        kind: RefusalKind,
        detail: impl Into<Cow<'static, str>>,
    ) -> Refusal {
        Refusal {
            kind,
            detail: detail.into(),
            outcome: kind.outcome(),
            retry_after: None,
        }
    }

    /// Sets how long the caller should wait before a retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Refusal {
        self.retry_after = Some(retry_after);
        self
    }

    /// Replaces the outcome that the kind implies.
    #[must_use]
    pub fn with_outcome(mut self, outcome: Outcome) -> Refusal {
        self.outcome = outcome;
        self
    }

    /// Returns the refusal as problem details (RFC 9457).
    #[must_use]
    pub fn problem(&self, request_id: Option<RequestId>) -> Problem {
        let retry_after_ms = self
            .retry_after
            .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        Problem {
            kind: format!("/problems/{}", self.kind).into(),
            title: self.kind.title().into(),
            status: self.kind.status(),
            detail: self.detail.to_string(),
            outcome: self.outcome,
            request_id,
            retry_after_ms,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against reporting "not run" for kinds where a stage may have
    /// run, because callers would then repeat a non-idempotent call.
    #[test]
    fn problem_outcome_by_kind() {
        let unknown = [
            RefusalKind::BackendFailed,
            RefusalKind::DeadlineExceeded,
            RefusalKind::IssuerUnreachable,
            RefusalKind::TicketRejected,
            RefusalKind::TicketClosed,
        ];
        for kind in unknown {
            let problem = Refusal::new(kind, "x").problem(None);
            assert_eq!(problem.outcome, Outcome::Unknown, "{kind}");
        }
    }
}
