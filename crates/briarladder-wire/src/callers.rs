//! Messages between callers and a daemon, as JSON over HTTP.
//!
//! docs/callers.md describes the interface for callers.
//!
//! # Example
//!
//! ```
//! use briarladder_wire::callers::Outcome;
//!
//! assert_eq!(serde_json::to_string(&Outcome::NotRun).unwrap(), "\"not_run\"");
//! ```

use std::{borrow::Cow, sync::Arc};

use briarladder_core::{
    ids::RequestId,
    names::{
        CallerName, PipelineName, RankName, ServerName, StageName,
        WorkspaceName,
    },
};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Names the workspace of a request.
pub const WORKSPACE_HEADER: &str = "briarladder-workspace";
/// Names the caller inside the workspace.
pub const CALLER_HEADER: &str = "briarladder-caller";
/// Names the rank of a request.
pub const RANK_HEADER: &str = "briarladder-rank";
/// The time the caller gives a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "briarladder-deadline-ms";
/// Identifies a request; the daemon draws one if it is absent.
pub const REQUEST_ID_HEADER: &str = "briarladder-request-id";
/// Carries the ticket of a call that may not repeat.
pub const TICKET_HEADER: &str = "briarladder-ticket";

/// What became of a request.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran, and this is its answer.
    #[display("answered")]
    Answered,
    /// It did not run, and this request or ticket can't run any more.
    #[display("not run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}

/// The complete answer to a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PipelineResponse {
    /// The request.
    pub request_id: RequestId,
    /// The pipeline.
    pub pipeline: PipelineName,
    /// The configuration under which every stage ran.
    pub epoch: u64,
    /// Always [`Outcome::Answered`].
    pub outcome: Outcome,
    /// The output of the last stage.
    pub output: Arc<RawValue>,
    /// The stages in order.
    pub stages: Vec<StageRecord>,
}

/// How one stage of an answered request went.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StageRecord {
    /// The stage.
    pub stage: StageName,
    /// The backend server that gave the answer.
    pub server: ServerName,
    /// The attempts it took.
    pub attempts: u32,
    /// The time from the end of the stage before, in microseconds.
    pub elapsed_us: u64,
}

/// A refusal or failure, as problem details (RFC 9457).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Identifies the kind of problem: a path in docs/callers.md.
    #[serde(rename = "type")]
    pub kind: Cow<'static, str>,
    /// What is wrong, in general.
    pub title: Cow<'static, str>,
    /// The HTTP status.
    pub status: u16,
    /// What is wrong with this request, and the remedy.
    pub detail: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The request, if it was known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// An issued ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketIssued {
    /// The ticket, to be sent in [`TICKET_HEADER`].
    pub ticket: String,
    /// How long the ticket can be used, in milliseconds.
    pub expires_in_ms: u64,
}

/// What is known of the call of a ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TicketStatus {
    /// The state of the call.
    pub state: TicketState,
    /// Why the call did not run, or why that is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<Arc<str>>,
    /// The answer, unless it had to make room for later ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Arc<PipelineResponse>>,
    /// The output of the last stage as its plain service recorded it, if
    /// the answer itself is lost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub output: Option<Arc<RawValue>>,
}

/// The state of the call of a ticket.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketState {
    /// The ticket is not used yet and can still be.
    Unused,
    /// The call is running.
    Running,
    /// The call ran.
    Answered,
    /// The call did not run and can't run any more.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// What identifies and describes a request, apart from its body.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RequestHead {
    /// The request.
    pub request_id: RequestId,
    /// The pipeline to run.
    pub pipeline: PipelineName,
    /// The workspace that asks.
    pub workspace: WorkspaceName,
    /// The caller inside the workspace.
    pub caller: CallerName,
    /// The rank, unless the pipeline's own is meant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<RankName>,
    /// The time the caller gives, unless the pipeline's own is meant, in
    /// milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The caller's own key, passed on to the backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<Arc<str>>,
}
