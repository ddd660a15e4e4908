//! Headers that are not passed on.

use http::{HeaderName, Response, header, response};

use crate::body::ReplyBody;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::EXPECT,
];

/// The non-standard header of one connection.
const KEEP_ALIVE: &str = "keep-alive";

/// Copies the head of a server's answer, but for what concerns its connection.
pub fn copy_head(head: &response::Parts, response: &mut Response<ReplyBody>) {
    *response.status_mut() = head.status;
    for (name, value) in &head.headers {
        if !is_connection_header(name) && name != header::CONTENT_LENGTH {
            response.headers_mut().append(name, value.clone());
        }
    }
}

/// Returns whether a header concerns one connection only.
#[must_use]
pub fn is_connection_header(name: &HeaderName) -> bool {
    CONNECTION_HEADERS.contains(name) || name.as_str() == KEEP_ALIVE
}
