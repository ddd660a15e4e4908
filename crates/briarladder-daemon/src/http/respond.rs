//! Writes responses, refusals and event streams.

use std::{sync::Arc, time::Duration};

use briarladder_core::ids::RequestId;
use briarladder_wire::callers::PipelineResponse;
use bytes::Bytes;
use futures_util::stream;
use salvo::{
    Response,
    http::{HeaderValue, StatusCode, header},
};
use serde::Serialize;
use tokio::{sync::mpsc::UnboundedReceiver, time::Instant};

use crate::{pipeline::Progress, refusal::Refusal};

/// The maximum number of events in one chunk of the body.
const MAX_CHUNK_EVENTS: usize = 64;

/// Chunks closer together than this indicate a burst, whose events are then
/// joined into one chunk. An engine takes several milliseconds per token, so
/// the events of a burst were sent together or had queued up.
const BURST_GAP: Duration = Duration::from_millis(1);

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

/// Writes the complete response to a request.
pub(super) fn success(response: &mut Response, answer: &PipelineResponse) {
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
        // The header has whole seconds. Rounding up makes sure that no caller
        // retries too early.
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
    let encoder = ChunkEncoder {
        request_id,
        progress,
        events: Vec::new(),
        encoded_at: None,
    };
    let chunks = stream::unfold(encoder, |mut encoder| async move {
        let chunk = encoder.next_chunk().await?;
        Some((Ok::<_, std::convert::Infallible>(chunk), encoder))
    });
    response.stream(chunks);
}

/// Encodes the events of one stream into chunks of the body.
struct ChunkEncoder {
    request_id: RequestId,
    progress: UnboundedReceiver<Progress>,
    /// The events of the last chunk. Kept to reuse the allocation.
    events: Vec<Progress>,
    /// When the last chunk was encoded.
    encoded_at: Option<Instant>,
}

impl ChunkEncoder {
    /// Waits for events and encodes them into one chunk. Returns `None` at
    /// the end of the stream.
    async fn next_chunk(&mut self) -> Option<Bytes> {
        self.events.clear();
        let events = &mut self.events;
        if self.progress.recv_many(events, MAX_CHUNK_EVENTS).await == 0 {
            return None;
        }
        let now = Instant::now();
        if self.encoded_at.is_some_and(|at| now - at < BURST_GAP) {
            // Lets the task run that reads the rest of the burst from the
            // engine.
            tokio::task::yield_now().await;
            while events.len() < MAX_CHUNK_EVENTS
                && let Ok(event) = self.progress.try_recv()
            {
                events.push(event);
            }
        }
        self.encoded_at = Some(now);
        let mut out = Vec::with_capacity(64 * events.len());
        for event in events {
            write_event(&mut out, self.request_id, event);
        }
        Some(Bytes::from(out))
    }
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
        Progress::Response(answer) => write(out, "answer", answer),
        Progress::Refusal(refusal) => {
            write(out, "problem", &refusal.problem(Some(request_id)));
        }
    }
}

/// Appends one event. Serializes its data directly into `out` to avoid a
/// copy for each token.
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

    /// Guards against writing each event of a burst in its own chunk, and
    /// against losing, reordering or delaying events.
    #[tokio::test(start_paused = true)]
    async fn next_chunk_joins_bursts_only() {
        let (sender, progress) = tokio::sync::mpsc::unbounded_channel();
        let token = |index| Progress::Token { index, text: "t".into() };
        let mut encoder = ChunkEncoder {
            request_id: RequestId(1),
            progress,
            events: Vec::new(),
            encoded_at: None,
        };
        let send = async |first: u32, gap: Duration| {
            for index in first..first + 100 {
                let _ = sender.send(token(index));
                tokio::task::yield_now().await;
                if !gap.is_zero() {
                    tokio::time::sleep(gap).await;
                }
            }
        };
        let mut indices = Vec::new();
        let mut read = async |events: usize| {
            let mut chunks = 0;
            while indices.len() < events {
                encoder.next_chunk().await.unwrap();
                indices.extend(encoder.events.iter().map(|e| match e {
                    Progress::Token { index, .. } => *index,
                    _ => panic!("{e:?}"),
                }));
                chunks += 1;
            }
            chunks
        };
        let slow = BURST_GAP * 2;
        assert_eq!(tokio::join!(send(0, slow), read(100)).1, 100);
        let chunks = tokio::join!(send(100, Duration::ZERO), read(200)).1;
        assert!(chunks <= 51, "{chunks}");
        drop(sender);
        assert!(encoder.next_chunk().await.is_none());
        assert!(indices.into_iter().eq(0..200));
    }

    /// Guards against events that clients can't parse: an unescaped line
    /// break in a token would end its event early.
    #[test]
    fn write_event_keeps_data_on_one_line() {
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
