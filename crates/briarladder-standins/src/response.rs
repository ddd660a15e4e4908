//! Helpers that read HTTP requests and write responses.

use std::{io, sync::Arc};

use bytes::Bytes;
use futures_util::stream;
use salvo::{
    Request, Response,
    conn::ConnCtrl,
    http::{
        HeaderValue, ResBody, StatusCode,
        header::{CONTENT_TYPE, HeaderName},
    },
};
use serde::Serialize;

/// The maximum size of a request body.
pub(crate) const MAX_BODY_BYTES: usize = 8 << 20;

/// The delay before a body fails. hyper discards buffered bytes when the body
/// fails immediately.
pub(crate) const FLUSH_DELAY_MS: u64 = 3;

/// Sets the body to a JSON text.
pub(crate) fn json_bytes(res: &mut Response, body: impl Into<Bytes>) {
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res.body(ResBody::Once(body.into()));
}

/// Sets the body to a value in JSON.
pub(crate) fn json(res: &mut Response, value: &impl Serialize) {
    json_bytes(res, to_json(value));
}

/// Serializes a message to JSON.
pub(crate) fn to_json(value: &impl Serialize) -> Vec<u8> {
    // All map keys are strings, so serialization can't fail.
    serde_json::to_vec(value).expect("messages serialize")
}

/// Sets a status and a plain text that names its cause.
pub(crate) fn status(res: &mut Response, code: StatusCode, cause: &str) {
    res.status_code(code);
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    res.body(ResBody::Once(Bytes::copy_from_slice(cause.as_bytes())));
}

/// Refuses a request with the header that proves it did not run.
pub(crate) fn not_run(res: &mut Response, cause: &str) {
    status(res, StatusCode::SERVICE_UNAVAILABLE, cause);
    res.headers_mut().insert(
        HeaderName::from_static(briarladder_wire::backend::NOT_RUN_HEADER),
        HeaderValue::from_static("true"),
    );
}

/// Returns the control handle of the request's connection.
pub(crate) fn connection(req: &Request) -> ConnCtrl {
    // salvo adds the handle to the extensions of each request.
    req.extensions().get::<ConnCtrl>().cloned().unwrap_or_default()
}

/// Sets a body of which only the first half is sent before the connection
/// is closed.
pub(crate) fn truncated_body(res: &mut Response, body: &Bytes) {
    let half = body.slice(..body.len().div_ceil(2));
    let chunks = stream::unfold(Some(half), |chunk| async move {
        if let Some(chunk) = chunk {
            return Some((Ok(chunk), None));
        }
        wait_for_flush().await;
        Some((Err(io::Error::other("fault: connection closed")), None))
    });
    res.body(ResBody::stream(chunks));
}

/// Waits until the bytes written so far have been sent.
pub(crate) async fn wait_for_flush() {
    tokio::time::sleep(std::time::Duration::from_millis(FLUSH_DELAY_MS)).await;
}

/// Parses a number in the query string.
pub(crate) fn query_u64(req: &Request, name: &str) -> Option<u64> {
    let query = req.uri().query()?;
    let pair = query.split('&').find_map(|p| p.strip_prefix(name))?;
    pair.strip_prefix('=')?.parse().ok()
}

/// Reads the body of a request. Returns `None` if reading fails or the body
/// exceeds [`MAX_BODY_BYTES`].
pub(crate) async fn read_body(req: &mut Request) -> Option<Bytes> {
    req.payload_with_max_size(MAX_BODY_BYTES).await.ok().cloned()
}

/// Returns the value of a header if it is text.
pub(crate) fn header(req: &Request, name: &str) -> Option<Arc<str>> {
    req.headers().get(name)?.to_str().ok().map(Arc::from)
}
