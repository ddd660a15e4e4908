//! Messages between a daemon and a backend server, as JSON over HTTP.
//!
//! | call | request | response |
//! | --- | --- | --- |
//! | `POST /v1/run` | [`RunRequest`] | [`RunResponse`], or for generation server-sent events of [`StreamEvent`] |
//! | `DELETE /v1/run/{request_id}` | | 204; cancels the request |
//! | `GET /v1/load` | | `LoadReport` |
//! | `GET /v1/cache-events?after=N` | | [`CacheEvents`] |
//! | `POST /v1/orders` | [`Order`] | [`OrderResponse`] |
//! | `GET /v1/calls/{key}` | | [`CallRecord`]; plain services only |
//!
//! A plain service is a backend server that runs operations without a model;
//! an engine is one that generates tokens.
//!
//! A refusal with the header [`NOT_RUN_HEADER`] and the value `true`
//! guarantees that the backend server did not run the request.
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

/// The header of a refusal which guarantees that the request did not run.
pub const NOT_RUN_HEADER: &str = "briarladder-not-run";

/// The header with the idempotency key of a non-idempotent call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// One attempt at one stage of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunRequest {
    /// The request ID, which is the same for all stages and attempts.
    pub request_id: RequestId,
    /// The stage.
    pub stage: StageName,
    /// The number of the attempt at this stage, from 0.
    pub attempt: u32,
    /// The epoch of the configuration under which all stages of the request
    /// run. It is also the fencing token.
    pub epoch: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The time left until the deadline of the request, in milliseconds.
    pub deadline_ms: u64,
    /// The model version to use; present for generation only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model_version: Option<ModelVersionName>,
    /// The maximum number of tokens over all attempts; present for generation
    /// only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// The tokens that earlier attempts of a generation delivered. The backend
    /// server continues after the last of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume_tokens: Vec<Arc<str>>,
    /// The operation; present for plain services only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<Arc<str>>,
    /// The body of the caller's request.
    pub input: Arc<RawValue>,
    /// The output of the previous stage; absent for the first stage.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<Arc<RawValue>>,
}

/// The response to one attempt. It repeats the identifiers of the attempt, so
/// that a response to another attempt is detected.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunResponse {
    /// The request ID of the attempt.
    pub request_id: RequestId,
    /// The stage of the attempt.
    pub stage: StageName,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The output of the stage.
    pub output: Box<RawValue>,
    /// The load of the backend server after the attempt, if it reports it.
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
        /// The request ID of the attempt.
        request_id: RequestId,
        /// The stage of the attempt.
        stage: StageName,
        /// The number of the attempt.
        attempt: u32,
    },
    /// One token.
    Token {
        /// The index of the token over all attempts, from 0.
        index: u32,
        /// The text of the token.
        text: Arc<str>,
    },
    /// The last event of a complete generation.
    Done {
        /// The number of tokens over all attempts.
        total_tokens: u32,
        /// The load of the backend server after the attempt, if it reports it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<LoadReport>,
    },
}

/// The fields of [`StreamEvent`]. An event is deserialised as a struct,
/// because serde buffers every field of an internally tagged enum, which
/// allocates memory for each token.
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

/// The record that a plain service has of the call with an idempotency key.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(
    tag = "state",
    rename_all = "snake_case",
    try_from = "CallRecordFields"
)]
pub enum CallRecord {
    /// No call with this key has reached the backend server.
    NeverSeen,
    /// The call is running.
    Running,
    /// The call is complete.
    Done {
        /// The output of the call.
        output: Box<RawValue>,
    },
}

/// The fields of [`CallRecord`]. A record is deserialised as a struct, because
/// serde buffers internally tagged enums and a raw value can't be read from
/// the buffer.
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
            (CallState::Done, None) => Err("missing output of a done call"),
        }
    }
}

/// Changes to an engine's prefix cache. They can arrive late, and some can be
/// missing.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CacheEvents {
    /// The sequence number of the first event in `events`. A reader that
    /// expected a lower one has missed events.
    pub first_sequence: u64,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// One change to an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum CacheEvent {
    /// A prefix was cached.
    Stored {
        /// The hash of the prefix.
        prefix_hash: u64,
    },
    /// A prefix was evicted.
    Evicted {
        /// The hash of the prefix.
        prefix_hash: u64,
    },
}

/// An order to an engine, which contains its complete desired state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The epoch of the configuration that determines the desired state.
    pub fencing_token: u64,
    /// The model versions to load; all others are unloaded.
    pub model_versions: Vec<ModelVersionName>,
}

/// The response to an order, with the state of the engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderResponse {
    /// Whether the engine accepted the order.
    pub accepted: bool,
    /// The highest fencing token that the engine has received.
    pub epoch_seen: u64,
    /// The model versions that it has loaded.
    pub model_versions: Vec<ModelVersionName>,
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against events that can't be deserialised after serialisation,
    /// and against accepting incomplete events.
    #[test]
    fn stream_event_round_trip() {
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
            // The fields can be in any order, among unknown ones.
            let fields = text.trim_matches(['{', '}']);
            let (kind, rest) = fields.split_once(',').unwrap();
            let other = format!(r#"{{"new":[1],{rest},{kind}}}"#);
            let event: StreamEvent = serde_json::from_str(&other).unwrap();
            assert_eq!(serde_json::to_string(&event).unwrap(), text);
            // All fields of an event are required.
            for field in rest.split(',') {
                let cut = text.replace(&format!(",{field}"), "");
                assert!(serde_json::from_str::<StreamEvent>(&cut).is_err());
            }
        }
        let untyped = r#"{"index":7,"text":"a"}"#;
        assert!(serde_json::from_str::<StreamEvent>(untyped).is_err());
    }

    /// Guards against records that can't be deserialised after serialisation,
    /// as with a raw value inside an internally tagged enum.
    #[test]
    fn call_record_round_trip() {
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
