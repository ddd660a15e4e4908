//! Messages between a daemon and a backend server, as JSON over HTTP.
//!
//! | call | request | answer |
//! | --- | --- | --- |
//! | `POST /v1/run` | [`RunRequest`] | [`RunResponse`], or for generation server-sent events of [`StreamEvent`] |
//! | `DELETE /v1/run/{request_id}` | | 204; cancels the request |
//! | `GET /v1/load` | | `LoadReport` |
//! | `GET /v1/cache-events?after=N` | | [`CacheEvents`] |
//! | `POST /v1/orders` | [`Order`] | [`OrderResponse`] |
//! | `GET /v1/calls/{key}` | | [`CallRecord`]; plain services only |
//!
//! A refusal that carries the header [`NOT_RUN_HEADER`] with the value
//! `true` proves that the backend server did not run the request.
//!
//! # Example
//!
//! ```
//! use briarladder_wire::backend::CallRecord;
//!
//! let record: CallRecord =
//!     serde_json::from_str(r#"{"state": "never_seen"}"#).unwrap();
//! assert!(matches!(record, CallRecord::NeverSeen));
//! ```

use std::sync::Arc;

use briarladder_core::{
    ids::RequestId,
    load::LoadReport,
    names::{ModelVersionName, StageName},
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The header that marks a refusal as proof that nothing ran.
pub const NOT_RUN_HEADER: &str = "briarladder-not-run";

/// The header that carries the key of a call that may not repeat.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// One attempt at one stage of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunRequest {
    /// The request; the same over all stages and attempts.
    pub request_id: RequestId,
    /// The stage.
    pub stage: StageName,
    /// Counts the attempts at this stage from 0.
    pub attempt: u32,
    /// The epoch the request is pinned to; also the fencing token.
    pub epoch: u64,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The time left until the request's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// For generation, the version that generates.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model_version: Option<ModelVersionName>,
    /// For generation, the most tokens of the whole answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// For generation, the tokens that earlier attempts delivered. The
    /// backend server goes on with the token after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume_tokens: Vec<Arc<str>>,
    /// For plain services, the operation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<Arc<str>>,
    /// What the caller sent.
    pub input: Arc<RawValue>,
    /// The output of the stage before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<Arc<RawValue>>,
}

/// The answer to one attempt. It repeats what identifies the attempt, so
/// that a late or crossed answer is recognised.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunResponse {
    /// The request.
    pub request_id: RequestId,
    /// The stage.
    pub stage: StageName,
    /// The attempt.
    pub attempt: u32,
    /// The output of the stage.
    pub output: Box<RawValue>,
    /// The load after the attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<LoadReport>,
}

/// One server-sent event of a generation.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(
    tag = "type",
    rename_all = "snake_case",
    try_from = "StreamEventFields"
)]
pub enum StreamEvent {
    /// The first event of each attempt.
    Start {
        /// The request.
        request_id: RequestId,
        /// The stage.
        stage: StageName,
        /// The attempt.
        attempt: u32,
    },
    /// One token.
    Token {
        /// Counts the tokens of the whole answer from 0, over all attempts.
        index: u32,
        /// The text of the token.
        text: Arc<str>,
    },
    /// The last event of a complete generation.
    Done {
        /// The tokens of the whole answer, over all attempts.
        total_tokens: u32,
        /// The load after the attempt.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<LoadReport>,
    },
}

/// The fields of [`StreamEvent`]. serde buffers every field of an internally
/// tagged enum, which costs allocations for each token, so the event is read
/// as a struct.
#[derive(Deserialize)]
struct StreamEventFields {
    #[serde(rename = "type")]
    kind: StreamEventKind,
    request_id: Option<RequestId>,
    stage: Option<StageName>,
    attempt: Option<u32>,
    index: Option<u32>,
    text: Option<Arc<str>>,
    total_tokens: Option<u32>,
    load: Option<LoadReport>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum StreamEventKind {
    Start,
    Token,
    Done,
}

impl TryFrom<StreamEventFields> for StreamEvent {
    type Error = &'static str;

    fn try_from(
        fields: StreamEventFields,
    ) -> Result<StreamEvent, Self::Error> {
        match fields.kind {
            StreamEventKind::Start => Ok(StreamEvent::Start {
                request_id: fields.request_id.ok_or("missing request_id")?,
                stage: fields.stage.ok_or("missing stage")?,
                attempt: fields.attempt.ok_or("missing attempt")?,
            }),
            StreamEventKind::Token => Ok(StreamEvent::Token {
                index: fields.index.ok_or("missing index")?,
                text: fields.text.ok_or("missing text")?,
            }),
            StreamEventKind::Done => Ok(StreamEvent::Done {
                total_tokens: fields
                    .total_tokens
                    .ok_or("missing total_tokens")?,
                load: fields.load,
            }),
        }
    }
}

/// What a plain service knows of the call with an idempotency key.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(
    tag = "state",
    rename_all = "snake_case",
    try_from = "CallRecordFields"
)]
pub enum CallRecord {
    /// No call with this key has reached this backend server.
    NeverSeen,
    /// The call is running.
    Running,
    /// The call ran, with this output.
    Done {
        /// The output of the call.
        output: Box<RawValue>,
    },
}

/// The fields of [`CallRecord`]. serde buffers internally tagged enums, and
/// a raw value can't be read from the buffer, so the record is read as a
/// struct.
#[derive(Deserialize)]
struct CallRecordFields {
    state: CallState,
    #[serde(default)]
    output: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum CallState {
    NeverSeen,
    Running,
    Done,
}

impl TryFrom<CallRecordFields> for CallRecord {
    type Error = &'static str;

    fn try_from(fields: CallRecordFields) -> Result<CallRecord, Self::Error> {
        match (fields.state, fields.output) {
            (CallState::NeverSeen, _) => Ok(CallRecord::NeverSeen),
            (CallState::Running, _) => Ok(CallRecord::Running),
            (CallState::Done, Some(output)) => Ok(CallRecord::Done { output }),
            (CallState::Done, None) => Err("a call that is done needs output"),
        }
    }
}

/// Changes of an engine's prefix cache, published late and with gaps.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CacheEvents {
    /// The number of the first event in `events`. A reader that expected a
    /// lower one has missed events.
    pub first_sequence: u64,
    /// The events in order.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum CacheEvent {
    /// The prefix with this hash is now cached.
    Stored {
        /// The hash of the prefix.
        prefix_hash: u64,
    },
    /// The prefix with this hash is no longer cached.
    Evicted {
        /// The hash of the prefix.
        prefix_hash: u64,
    },
}

/// An order to an engine: the whole state it should come to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The epoch from which the desired state follows.
    pub fencing_token: u64,
    /// The versions to have loaded; others are unloaded.
    pub model_versions: Vec<ModelVersionName>,
}

/// The state of an engine after an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderResponse {
    /// Whether the engine took the order.
    pub accepted: bool,
    /// The highest fencing token the engine has seen.
    pub epoch_seen: u64,
    /// The versions it has loaded now.
    pub model_versions: Vec<ModelVersionName>,
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against events that are sent but can't be read, and against
    /// incomplete events that pass as complete.
    #[test]
    fn stream_event_reads_what_it_writes() {
        let id = "0123456789abcdef0123456789abcdef";
        let events = [
            format!(
                r#"{{"type":"start","request_id":"{id}",{}}}"#,
                r#""stage":"s","attempt":1"#
            ),
            r#"{"type":"token","index":7,"text":"a\n\"é\u0001"}"#.into(),
            r#"{"type":"done","total_tokens":8}"#.into(),
        ];
        for text in events {
            let event: StreamEvent = serde_json::from_str(&text).unwrap();
            assert_eq!(serde_json::to_string(&event).unwrap(), text);
            // The fields may come in any order, with unknown ones.
            let fields = text.trim_matches(['{', '}']);
            let (kind, rest) = fields.split_once(',').unwrap();
            let other = format!(r#"{{"new":[1],{rest},{kind}}}"#);
            let event: StreamEvent = serde_json::from_str(&other).unwrap();
            assert_eq!(serde_json::to_string(&event).unwrap(), text);
            // Each event needs all of its fields.
            for field in rest.split(',') {
                let cut = text.replace(&format!(",{field}"), "");
                assert!(serde_json::from_str::<StreamEvent>(&cut).is_err());
            }
        }
        let untyped = r#"{"index":7,"text":"a"}"#;
        assert!(serde_json::from_str::<StreamEvent>(untyped).is_err());
    }

    /// Guards against records that are sent but can't be read, as was the
    /// case with a raw value inside an internally tagged enum.
    #[test]
    fn call_record_reads_what_it_writes() {
        let output = RawValue::from_string("{\"b\":1,\"a\":2}".into());
        let records = [
            CallRecord::NeverSeen,
            CallRecord::Running,
            CallRecord::Done { output: output.unwrap() },
        ];
        for record in records {
            let text = serde_json::to_string(&record).unwrap();
            let read: CallRecord = serde_json::from_str(&text).unwrap();
            assert_eq!(serde_json::to_string(&read).unwrap(), text);
        }
        let incomplete =
            serde_json::from_str::<CallRecord>(r#"{"state": "done"}"#);
        assert!(incomplete.is_err());
    }
}
