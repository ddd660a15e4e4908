//! Hop-by-hop headers, which are not forwarded.

use http::{HeaderName, Response, header, response};

use crate::body::ResponseBody;

/// Standard hop-by-hop headers.
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

/// A non-standard hop-by-hop header.
const KEEP_ALIVE: &str = "keep-alive";

/// Copies the head of a server's response without its hop-by-hop headers and
/// its content length.
pub fn copy_head(
    head: &response::Parts,
    response: &mut Response<ResponseBody>,
) {
    *response.status_mut() = head.status;
    for (name, value) in &head.headers {
        if !is_hop_by_hop(name) && name != header::CONTENT_LENGTH {
            response.headers_mut().append(name, value.clone());
        }
    }
}

/// Returns whether a header applies to a single connection only.
#[must_use]
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    CONNECTION_HEADERS.contains(name) || name.as_str() == KEEP_ALIVE
}
