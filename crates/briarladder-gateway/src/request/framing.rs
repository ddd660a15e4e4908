//! How the end of a response body is marked.

use derive_more::Display;
use http::{HeaderMap, HeaderValue, header};

/// The transfer coding that marks the end of a body.
const CHUNKED: &str = "chunked";

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Framing {
    /// By a length in the head.
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
    /// Returns the framing of a response with these headers.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Framing {
        // A transfer coding overrides a length, and delimits the body only if
        // the last one is `chunked` (RFC 9112, section 6.3).
        let codings = headers.get_all(header::TRANSFER_ENCODING);
        match codings.iter().next_back() {
            Some(codings) if ends_with_chunked(codings) => Framing::Chunked,
            None if headers.contains_key(header::CONTENT_LENGTH) => {
                Framing::Length
            }
            Some(_) | None => Framing::ConnectionClose,
        }
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

    fn framing(headers: &[(&'static str, &'static str)]) -> Framing {
        let headers = headers.iter().map(|(name, value)| {
            (name.parse().unwrap(), HeaderValue::from_static(value))
        });
        Framing::of(&headers.collect())
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
    }
}
