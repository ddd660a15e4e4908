//! Messages between callers and a daemon, as JSON over HTTP.
//!
//! `docs/callers.md` describes this interface for callers.
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

/// The header with the name of the workspace.
pub const WORKSPACE_HEADER: &str = "briarladder-workspace";
/// The header with the name of the caller inside the workspace.
pub const CALLER_HEADER: &str = "briarladder-caller";
/// The header with the name of the request's rank.
pub const RANK_HEADER: &str = "briarladder-rank";
/// The header with the time until the request's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "briarladder-deadline-ms";
/// The header with the request ID. If it is absent, the daemon generates one.
pub const REQUEST_ID_HEADER: &str = "briarladder-request-id";
/// The header with the ticket of a non-idempotent call. A daemon issues the
/// ticket beforehand; the caller uses it to ask whether the call ran.
pub const TICKET_HEADER: &str = "briarladder-ticket";

/// The outcome of a request.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran, and this is its response.
    #[display("answered")]
    Answered,
    /// The request did not run, and will not run any more under this request
    /// ID or ticket.
    #[display("not run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// The complete response to a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PipelineResponse {
    /// The request ID.
    pub request_id: RequestId,
    /// The pipeline that ran.
    pub pipeline: PipelineName,
    /// The epoch of the configuration under which all stages ran.
    pub epoch: u64,
    /// Always [`Outcome::Answered`].
    pub outcome: Outcome,
    /// The output of the last stage.
    pub output: Arc<RawValue>,
    /// The stages, in the order in which they ran.
    pub stages: Vec<StageRecord>,
}

/// The execution of one stage of a completed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StageRecord {
    /// The stage.
    pub stage: StageName,
    /// The backend server that completed the stage.
    pub server: ServerName,
    /// The number of attempts at the stage, including the completed one.
    pub attempts: u32,
    /// The time from the end of the previous stage to the end of this one, in
    /// microseconds.
    pub elapsed_us: u64,
}

/// A refusal or failure, as problem details (RFC 9457).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The kind of problem, as a path that `docs/callers.md` lists.
    #[serde(rename = "type")]
    pub kind: Cow<'static, str>,
    /// A summary of the kind of problem.
    pub title: Cow<'static, str>,
    /// The HTTP status.
    pub status: u16,
    /// The problem with this request, and how to correct it.
    pub detail: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The request ID; absent if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
    /// The time after which to retry, in milliseconds; absent if a retry is
    /// not advised.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The response to a request for a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketIssued {
    /// The ticket, to send in [`TICKET_HEADER`].
    pub ticket: String,
    /// The time for which the ticket can be used, in milliseconds from this
    /// response.
    pub expires_in_ms: u64,
}

/// The status of the call of a ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TicketStatus {
    /// The state of the call.
    pub state: TicketState,
    /// Why the call did not run, or why it is unknown whether it ran.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<Arc<str>>,
    /// The response to a completed call; absent if it was evicted to limit
    /// memory.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Arc<PipelineResponse>>,
    /// The output of the last stage as the plain service that ran it recorded
    /// it; present if the response itself is lost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub output: Option<Arc<RawValue>>,
}

/// The state of the call of a ticket.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketState {
    /// The ticket was not used yet and still can be.
    Unused,
    /// The call is running.
    Running,
    /// The call was completed.
    Answered,
    /// The call did not run and will not run any more.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// The head of a request: everything except its body.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RequestHead {
    /// The request ID.
    pub request_id: RequestId,
    /// The pipeline to run.
    pub pipeline: PipelineName,
    /// The workspace of the caller.
    pub workspace: WorkspaceName,
    /// The caller inside the workspace.
    pub caller: CallerName,
    /// The rank; absent for the default rank of the pipeline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<RankName>,
    /// The time until the deadline, in milliseconds; absent for the deadline
    /// of the pipeline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The caller's idempotency key, which is passed on to the backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<Arc<str>>,
}
