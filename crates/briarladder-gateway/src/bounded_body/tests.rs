//! Tests of reading bodies.

use std::convert::Infallible;

use futures_util::stream;
use http_body::Frame;
use http_body_util::{Full, StreamBody};

use super::*;

fn chunked(
    chunks: &[&'static str],
) -> impl Body<Data = Bytes, Error = Infallible> + Unpin + use<> {
    let frames: Vec<_> = chunks
        .iter()
        .map(|chunk| Ok(Frame::data(Bytes::from_static(chunk.as_bytes()))))
        .collect();
    StreamBody::new(stream::iter(frames))
}

/// Guards against a body of exactly the limit that is refused, a longer one
/// that is accepted, and bytes that are lost or reordered.
#[tokio::test]
async fn read_body_at_limit() {
    for limit in 0..8 {
        let whole = Full::new(Bytes::from_static(b"abcde"));
        let of_chunks =
            read_body(chunked(&["a", "bcd", "", "e"]), limit).await;
        for read in [of_chunks, read_body(whole, limit).await] {
            match read {
                Ok(bytes) => {
                    assert!(limit >= 5, "{limit}");
                    assert_eq!(bytes, "abcde");
                }
                Err(error) => {
                    assert!(limit < 5, "{limit}: {error}");
                    assert!(matches!(error, ReadError::TooLong { .. }));
                }
            }
        }
    }
}

/// Guards against bytes that are lost between the part of a body that was read
/// and the part that is forwarded.
#[tokio::test]
async fn read_prefix_keeps_bytes() {
    let mut body = chunked(&["ab", "cd", "ef"]);
    let prefix = read_prefix(&mut body, 3).await.unwrap();
    assert_eq!(prefix, BodyPrefix::Exceeding(Bytes::from_static(b"abcd")));
    let rest = body.frame().await.unwrap().unwrap().into_data().unwrap();
    assert_eq!(rest, "ef");
}
