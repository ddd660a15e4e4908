use std::future::poll_fn;

use super::*;

/// Reads through a buffer of 7 bytes until the end or an error.
async fn decode(mut stream: &[u8]) -> (Vec<u8>, io::Result<Option<u64>>) {
    let mut decoder = FrameDecoder::default();
    let mut content = Vec::new();
    loop {
        let mut bytes = [0; 7];
        let mut buffer = ReadBuf::new(&mut bytes);
        let read = poll_fn(|context| {
            decoder.poll_read(&mut stream, context, &mut buffer)
        });
        match read.await {
            Err(error) => return (content, Err(error)),
            Ok(()) if buffer.filled().is_empty() => {
                return (content, Ok(decoder.received_bytes()));
            }
            Ok(()) => content.extend_from_slice(buffer.filled()),
        }
    }
}

fn frame(content: &[u8]) -> Vec<u8> {
    let mut frame = vec![0; HEADER_BYTES];
    frame.extend_from_slice(content);
    write_header(&mut frame);
    frame
}

/// Guards against a part of an answer that looks whole: a stream that ends
/// anywhere before the end of its last frame.
#[tokio::test]
async fn poll_read_truncated() {
    let content: Vec<u8> = (0..30).collect();
    let stream = [
        frame(&content[..1]),
        frame(&content[1..]),
        end_frame(Some(300)).to_vec(),
    ]
    .concat();
    for len in 0..stream.len() {
        let (read, end) = decode(&stream[..len]).await;
        assert!(content.starts_with(&read), "{len}");
        let kind = end.map_err(|error| error.kind());
        assert_eq!(kind, Err(io::ErrorKind::ConnectionReset), "{len}");
    }
    let (read, end) = decode(&stream).await;
    assert_eq!(read, content);
    assert_eq!(end.unwrap(), Some(300));
}

/// Guards against an unknown number of received bytes that counts as one.
#[tokio::test]
async fn poll_read_received_unknown() {
    let (read, end) = decode(&end_frame(None)).await;
    assert!(read.is_empty());
    assert_eq!(end.unwrap(), None);
}
