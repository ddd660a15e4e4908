//! Writes answers, refusals and event streams.

use std::sync::Arc;

use briarladder_core::ids::RequestId;
use briarladder_wire::callers::Answer;
use bytes::Bytes;
use futures_util::StreamExt;
use salvo::{
    Response,
    http::{HeaderValue, StatusCode, header},
};
use serde::Serialize;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::{pipeline::Progress, refusal::Refusal};

/// The most events that are written at once.
const EVENTS_A_CHUNK: usize = 64;

/// Writes a value as JSON.
pub(super) fn json(
    response: &mut Response,
    status: StatusCode,
    content_type: &'static str,
    value: &impl Serialize,
) {
    response.status_code(status);
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    // OK because no message has a map with keys that are not strings.
    let body = serde_json::to_vec(value).unwrap();
    response.replace_body(body.into());
}

/// Writes a complete answer.
pub(super) fn answer(response: &mut Response, answer: &Answer) {
    json(response, StatusCode::OK, "application/json", answer);
}

/// Writes a refusal as problem details.
pub(super) fn refusal(
    response: &mut Response,
    refusal: &Refusal,
    request_id: Option<RequestId>,
) {
    problem(response, &refusal.problem(request_id));
}

/// Writes problem details.
pub(super) fn problem(
    response: &mut Response,
    problem: &briarladder_wire::callers::Problem,
) {
    let status = StatusCode::from_u16(problem.status)
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    json(response, status, "application/problem+json", problem);
    if let Some(after_ms) = problem.retry_after_ms {
        // The header counts whole seconds; rounding up never asks a caller
        // to come back too early.
        let value = HeaderValue::from(after_ms.div_ceil(1000));
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// Writes the progress of a request as server-sent events.
pub(super) fn events(
    response: &mut Response,
    request_id: RequestId,
    progress: UnboundedReceiver<Progress>,
) {
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers
        .insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    let chunks = UnboundedReceiverStream::new(progress)
        .ready_chunks(EVENTS_A_CHUNK)
        .map(move |events| {
            let mut out = Vec::with_capacity(64 * events.len());
            for event in &events {
                write_event(&mut out, request_id, event);
            }
            Ok::<_, std::convert::Infallible>(Bytes::from(out))
        });
    response.stream(chunks);
}

#[derive(Serialize)]
struct Accepted {
    request_id: RequestId,
    epoch: u64,
}

#[derive(Serialize)]
struct Token<'a> {
    index: u32,
    text: &'a Arc<str>,
}

fn write_event(out: &mut Vec<u8>, request_id: RequestId, event: &Progress) {
    match event {
        Progress::Accepted { request_id, epoch } => {
            let (request_id, epoch) = (*request_id, *epoch);
            write(out, "accepted", &Accepted { request_id, epoch });
        }
        Progress::Token { index, text } => {
            write(out, "token", &Token { index: *index, text });
        }
        Progress::Answer(answer) => write(out, "answer", answer),
        Progress::Refusal(refusal) => {
            write(out, "problem", &refusal.problem(Some(request_id)));
        }
    }
}

/// Appends one event without a copy of its data, because streams have one
/// for each token.
fn write(out: &mut Vec<u8>, name: &str, data: &impl Serialize) {
    out.extend_from_slice(b"event: ");
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b"\ndata: ");
    // OK because no message has a map with keys that are not strings, and
    // writing to a Vec can't fail.
    serde_json::to_writer(&mut *out, data).unwrap();
    out.extend_from_slice(b"\n\n");
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against events that a client can't split, such as a token with
    /// a line break that ends its event early.
    #[test]
    fn write_event_keeps_one_line_of_data() {
        let mut out = Vec::new();
        let id = RequestId(1);
        for index in 0..2 {
            let text = "a\n\nb".into();
            write_event(&mut out, id, &Progress::Token { index, text });
        }
        let event = |index: u32| {
            format!(
                "event: token\ndata: {{\"index\":{index},\
                 \"text\":\"a\\n\\nb\"}}\n\n"
            )
        };
        let expected = event(0) + &event(1);
        assert_eq!(String::from_utf8(out).unwrap(), expected);
    }
}
