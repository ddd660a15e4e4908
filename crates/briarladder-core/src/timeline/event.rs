//! Events, their subjects, and filters that select events.

use std::{fmt, net::SocketAddr, sync::Arc};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{Incarnation, RequestId},
    load::ServerState,
    membership::MemberState,
    names::{PipelineName, ServerName, StageName, VmName},
    timeline::HlcTimestamp,
};

/// The maximum length of a text in an event, in bytes. It limits the memory
/// that a buffer uses.
const MAX_DETAIL_BYTES: usize = 120;

/// A short text for operators, truncated to 120 bytes.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(from = "Arc<str>")]
pub struct Detail(Arc<str>);

impl From<&str> for Detail {
    fn from(text: &str) -> Detail {
        Detail(Arc::from(truncate(text)))
    }
}

impl From<Arc<str>> for Detail {
    fn from(text: Arc<str>) -> Detail {
        if text.len() <= MAX_DETAIL_BYTES {
            return Detail(text);
        }
        Detail::from(&*text)
    }
}

fn truncate(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_DETAIL_BYTES)]
}

/// Identifies one run of a process. A restarted process numbers its events
/// from 0 again.
#[derive(
    Clone,
    Debug,
    Deserialize,
    Display,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{vm}/{incarnation}")]
pub struct ProcessId {
    /// The VM on which the daemon runs.
    pub vm: VmName,
    /// The run of the daemon.
    pub incarnation: Incarnation,
}

/// The subject of an event: what it is about. Fields that don't apply are
/// absent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventSubject {
    /// The request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
    /// The epoch of the configuration under which the event happened.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<u64>,
    /// The stage.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stage: Option<StageName>,
    /// The backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<ServerName>,
}

impl EventSubject {
    /// Sets the request.
    #[must_use]
    pub fn with_request(self, id: RequestId) -> EventSubject {
        EventSubject { request_id: Some(id), ..self }
    }

    /// Sets the epoch.
    #[must_use]
    pub fn with_epoch(self, epoch: u64) -> EventSubject {
        EventSubject { epoch: Some(epoch), ..self }
    }

    /// Sets the stage.
    #[must_use]
    pub fn with_stage(self, stage: StageName) -> EventSubject {
        EventSubject { stage: Some(stage), ..self }
    }

    /// Sets the backend server.
    #[must_use]
    pub fn with_server(self, server: ServerName) -> EventSubject {
        EventSubject { server: Some(server), ..self }
    }
}

impl fmt::Display for EventSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(id) = self.request_id {
            write!(f, " request={id}")?;
        }
        if let Some(epoch) = self.epoch {
            write!(f, " epoch={epoch}")?;
        }
        if let Some(stage) = &self.stage {
            write!(f, " stage={stage}")?;
        }
        if let Some(server) = &self.server {
            write!(f, " server={server}")?;
        }
        Ok(())
    }
}

/// The result of forwarding a call to the daemon that issued its ticket.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ForwardResult {
    /// The issuer ran the call and responded.
    #[display("answered")]
    Answered,
    /// The issuer refused the call.
    #[display("refused")]
    Refused,
    /// The issuer did not respond.
    #[display("no_answer")]
    NoAnswer,
}

/// The kind of an event, with its details.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
#[allow(missing_docs, reason = "the fields carry their unit in the name")]
pub enum EventKind {
    /// A request was received completely.
    #[display("accepted pipeline={pipeline}")]
    Accepted { pipeline: PipelineName },
    /// A request passed admission.
    #[display("admitted wait_estimate_ms={wait_estimate_ms}")]
    Admitted { wait_estimate_ms: u32 },
    /// A stage is queued until a backend server has a free slot.
    #[display("queued queue_len_requests={queue_len_requests}")]
    Queued { queue_len_requests: u32 },
    /// A request was refused.
    #[display("refused retry_after_ms={retry_after_ms}: {reason}")]
    Refused { retry_after_ms: u32, reason: Detail },
    /// A ticket was issued.
    #[display("ticket issued lifetime_ms={lifetime_ms}")]
    TicketIssued { lifetime_ms: u64 },
    /// An attempt is about to be sent to a backend server.
    #[display("dispatched attempt={attempt}")]
    Dispatched { attempt: u32 },
    /// An attempt failed.
    #[display("attempt failed attempt={attempt}: {reason}")]
    AttemptFailed { attempt: u32, reason: Detail },
    /// A stage is attempted again.
    #[display("retried attempt={attempt}")]
    Retried { attempt: u32 },
    /// A generation is continued on another engine.
    #[display("resumed attempt={attempt} token_index={token_index}")]
    Resumed { attempt: u32, token_index: u32 },
    /// A stage was completed.
    #[display("stage done attempt={attempt} service_ms={service_ms}")]
    StageDone { attempt: u32, service_ms: u32 },
    /// A call was forwarded to the daemon that issued its ticket.
    #[display("forwarded issuer={issuer_address}")]
    Forwarded { issuer_address: SocketAddr },
    /// The issuer responded to a forwarded call, or failed to.
    #[display("forward ended result={result} total_ms={total_ms}")]
    ForwardEnded { result: ForwardResult, total_ms: u32 },
    /// The final response was sent to the caller.
    #[display("answered status={status} total_ms={total_ms}")]
    Answered { status: u16, total_ms: u32 },
    /// A request was cancelled.
    #[display("cancelled: {reason}")]
    Cancelled { reason: Detail },
    /// The configuration of an epoch was put in force.
    #[display("config adopted epoch={adopted_epoch}")]
    ConfigAdopted { adopted_epoch: u64 },
    /// The configuration of an epoch was rejected as invalid.
    #[display("config rejected epoch={rejected_epoch}: {reason}")]
    ConfigRejected { rejected_epoch: u64, reason: Detail },
    /// This daemon's view of another daemon changed.
    #[display("member changed member={member} state={state}")]
    MemberChanged { member: VmName, state: MemberState },
    /// A backend server changed its state.
    #[display("server state changed state={state:?}")]
    ServerStateChanged { state: ServerState },
    /// An order was sent to an engine.
    #[display("order sent fencing_token={fencing_token}")]
    OrderSent { fencing_token: u64 },
    /// The process was paused, for example with its VM.
    #[display("pause detected paused_ms={paused_ms}")]
    PauseDetected { paused_ms: u64 },
    /// A graceful shutdown began.
    #[display("stop begun")]
    StopBegun,
    /// A graceful shutdown ended.
    #[display("stop ended open_requests={open_requests}")]
    StopEnded { open_requests: u32 },
}

/// An event of one process.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{timestamp} {process} #{sequence}{subject} {kind}")]
pub struct Event {
    /// The process in which it happened.
    pub process: ProcessId,
    /// The sequence number within the process, from 0.
    pub sequence: u64,
    /// When it happened.
    pub timestamp: HlcTimestamp,
    /// What it is about.
    #[serde(default)]
    pub subject: EventSubject,
    /// What happened.
    pub kind: EventKind,
}

/// A half-open interval of wall-clock time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimeSpan {
    /// The start in milliseconds since the Unix epoch, inclusive.
    pub from_unix_ms: u64,
    /// The end in milliseconds since the Unix epoch, exclusive.
    pub until_unix_ms: u64,
}

/// A filter for events. An event is selected if it matches every field that
/// is set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EventFilter {
    /// Selects events of this request.
    pub request_id: Option<RequestId>,
    /// Selects events under this epoch, and its adoption or rejection.
    pub epoch: Option<u64>,
    /// Selects events of this backend server.
    pub server: Option<ServerName>,
    /// Selects events whose timestamp is in this interval.
    pub span: Option<TimeSpan>,
}

impl EventFilter {
    /// Returns whether the filter selects the event.
    #[must_use]
    pub fn matches(&self, event: &Event) -> bool {
        let subject = &event.subject;
        let epoch = match event.kind {
            EventKind::ConfigAdopted { adopted_epoch } => Some(adopted_epoch),
            EventKind::ConfigRejected { rejected_epoch, .. } => {
                Some(rejected_epoch)
            }
            _ => subject.epoch,
        };
        let unix_ms = event.timestamp.unix_ms;
        let inside = |span: TimeSpan| {
            (span.from_unix_ms..span.until_unix_ms).contains(&unix_ms)
        };
        (self.request_id.is_none() || self.request_id == subject.request_id)
            && (self.epoch.is_none() || self.epoch == epoch)
            && (self.server.is_none() || self.server == subject.server)
            && self.span.is_none_or(inside)
    }
}
