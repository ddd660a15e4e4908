//! Helpers to read requests and write responses.

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

/// The largest request body that is read, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 8 << 20;

/// Time for the first bytes to leave before the connection is cut. hyper
/// discards what it has buffered when the body fails at once.
pub(crate) const FLUSH_MS: u64 = 3;

/// Sets a JSON body.
pub(crate) fn json_bytes(res: &mut Response, body: impl Into<Bytes>) {
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res.body(ResBody::Once(body.into()));
}

/// Sets a value as JSON body.
pub(crate) fn json(res: &mut Response, value: &impl Serialize) {
    json_bytes(res, to_json(value));
}

/// Serializes a message.
pub(crate) fn to_json(value: &impl Serialize) -> Vec<u8> {
    // The messages have string keys only, so serialization can't fail.
    serde_json::to_vec(value).expect("messages serialize")
}

/// Sets a status with a text that names the cause.
pub(crate) fn status(res: &mut Response, code: StatusCode, cause: &str) {
    res.status_code(code);
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    res.body(ResBody::Once(Bytes::copy_from_slice(cause.as_bytes())));
}

/// Refuses a request with the proof that it did not run.
pub(crate) fn not_run(res: &mut Response, cause: &str) {
    status(res, StatusCode::SERVICE_UNAVAILABLE, cause);
    res.headers_mut().insert(
        HeaderName::from_static(briarladder_wire::backend::NOT_RUN_HEADER),
        HeaderValue::from_static("true"),
    );
}

/// Returns the control of the request's connection.
pub(crate) fn connection(req: &Request) -> ConnCtrl {
    // salvo puts the control into the extensions of each request.
    req.extensions().get::<ConnCtrl>().cloned().unwrap_or_default()
}

/// Sets a body whose second half is never sent: the connection is cut
/// after the first.
pub(crate) fn cut_halfway(res: &mut Response, body: &Bytes) {
    let half = body.slice(..body.len().div_ceil(2));
    let parts = stream::unfold(Some(half), |part| async move {
        if let Some(part) = part {
            return Some((Ok(part), None));
        }
        flush_pause().await;
        Some((Err(io::Error::other("fault: cut")), None))
    });
    res.body(ResBody::stream(parts));
}

/// Waits until the bytes written so far have left.
pub(crate) async fn flush_pause() {
    tokio::time::sleep(std::time::Duration::from_millis(FLUSH_MS)).await;
}

/// Reads a number from the query string.
pub(crate) fn query_number(req: &Request, name: &str) -> Option<u64> {
    let query = req.uri().query()?;
    let pair = query.split('&').find_map(|p| p.strip_prefix(name))?;
    pair.strip_prefix('=')?.parse().ok()
}

/// Reads the body of a request.
pub(crate) async fn body(req: &mut Request) -> Option<Bytes> {
    req.payload_with_max_size(MAX_BODY_BYTES).await.ok().cloned()
}

/// Shared text from a header.
pub(crate) fn header(req: &Request, name: &str) -> Option<Arc<str>> {
    req.headers().get(name)?.to_str().ok().map(Arc::from)
}
