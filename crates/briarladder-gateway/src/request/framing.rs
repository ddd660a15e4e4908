//! What the head of a response says of its body.

use derive_more::Display;
use http::{HeaderValue, StatusCode, header, response};

/// The transfer coding that marks the end of a body.
const CHUNKED: &str = "chunked";

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Framing {
    /// By the head: a length, or a status without a body.
    #[display("length")]
    Length,
    /// By the last chunk.
    #[display("chunked")]
    Chunked,
    /// By the end of the connection, which looks the same whether the server
    /// has finished or has exited.
    #[display("connection_close")]
    ConnectionClose,
}

impl Framing {
    /// Returns the framing of the response with this head.
    #[must_use]
    pub fn of(head: &response::Parts) -> Framing {
        let without_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
        if without_body.contains(&head.status) {
            return Framing::Length;
        }
        // A transfer coding overrides a length, and delimits the body only if
        // the last one is `chunked` (RFC 9112, section 6.3).
        let codings = head.headers.get_all(header::TRANSFER_ENCODING);
        match codings.iter().next_back() {
            Some(codings) if ends_with_chunked(codings) => Framing::Chunked,
            None if head.headers.contains_key(header::CONTENT_LENGTH) => {
                Framing::Length
            }
            Some(_) | None => Framing::ConnectionClose,
        }
    }
}

/// What a caller was told about a stream by the head of its first response.
/// The response of another server can continue it only if it says the same.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamFormat {
    status: StatusCode,
    /// The media type in lowercase, without parameters.
    media_type: Option<String>,
    encoding: Option<HeaderValue>,
}

impl StreamFormat {
    /// Returns the format of the stream with this head.
    #[must_use]
    pub fn of(head: &response::Parts) -> StreamFormat {
        let media_type = head
            .headers
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok()?.split(';').next())
            .map(|media_type| media_type.trim().to_ascii_lowercase());
        let encoding = head.headers.get(header::CONTENT_ENCODING).cloned();
        StreamFormat { status: head.status, media_type, encoding }
    }
}

fn ends_with_chunked(codings: &HeaderValue) -> bool {
    codings
        .to_str()
        .ok()
        .and_then(|codings| codings.rsplit(',').next())
        .is_some_and(|last| last.trim().eq_ignore_ascii_case(CHUNKED))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn head(
        status: u16,
        headers: &[(&'static str, &'static str)],
    ) -> response::Parts {
        let mut response = http::Response::builder().status(status);
        for (name, value) in headers {
            response = response.header(*name, *value);
        }
        response.body(()).unwrap().into_parts().0
    }

    fn framing(headers: &[(&'static str, &'static str)]) -> Framing {
        Framing::of(&head(200, headers))
    }

    fn format(status: u16, media_type: &'static str) -> StreamFormat {
        StreamFormat::of(&head(status, &[("content-type", media_type)]))
    }

    /// Guards against a sound continuation that is refused because its media
    /// type is written in another way.
    #[test]
    fn stream_format_of_parameters() {
        let first = format(200, "text/event-stream");
        let same = "Text/Event-Stream ; charset=utf-8";
        assert_eq!(first, format(200, same));
        assert_ne!(first, format(202, same));
        assert_ne!(first, format(200, "text/plain"));
    }

    /// Guards against a body that ends with its connection and counts as one
    /// whose end is marked.
    #[test]
    fn of_each_framing() {
        let coding = "transfer-encoding";
        let length = ("content-length", "7");
        assert_eq!(framing(&[length]), Framing::Length);
        assert_eq!(framing(&[(coding, "Chunked")]), Framing::Chunked);
        assert_eq!(framing(&[(coding, "gzip, chunked")]), Framing::Chunked);
        assert_eq!(framing(&[(coding, "chunked"), length]), Framing::Chunked);
        let gzip = (coding, "gzip");
        assert_eq!(framing(&[(coding, "chunked"), gzip]), framing(&[]));
        assert_eq!(framing(&[gzip, length]), Framing::ConnectionClose);
        assert_eq!(framing(&[gzip]), Framing::ConnectionClose);
        assert_eq!(framing(&[]), Framing::ConnectionClose);
        assert_eq!(Framing::of(&head(204, &[])), Framing::Length);
    }
}
