//! Tests with a plain service that writes its answer to a query once more
//! where the answer to the next one is due.

use std::net::SocketAddr;

use briarladder_daemon::backend::BackendClient;
use briarladder_wire::backend::CallRecord;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The end of a request without a body.
const HEAD_END: &[u8] = b"\r\n\r\n";

fn response(body: &str) -> String {
    let len = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n{body}")
}

/// Answers queries for the call `k1`, which is done, and for others, which
/// were never seen. The second query on a connection gets the first answer
/// again.
async fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let done = response(r#"{"state":"done","output":"output of k1"}"#);
    let never_seen = response(r#"{"state":"never_seen"}"#);
    let mut request = Vec::new();
    let mut copy = String::new();
    while stream.read_buf(&mut request).await? > 0 {
        if !request.ends_with(HEAD_END) {
            continue;
        }
        let head = String::from_utf8_lossy(&request);
        let is_done = head.starts_with("GET /v1/calls/k1 ");
        let answer = if is_done { &done } else { &never_seen };
        stream.write_all((copy + answer).as_bytes()).await?;
        copy = answer.clone();
        request.clear();
    }
    Ok(())
}

async fn start_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Guards against a caller that gets the output of another call, because a
/// copy of that call's record counts as the record of its own.
#[tokio::test]
async fn call_record_copied() {
    let address = start_service().await;
    let client = BackendClient::new(1024).unwrap();
    let first = client.call_record(address, "k1").await.unwrap();
    assert!(matches!(first, CallRecord::Done { .. }));
    let second = client.call_record(address, "k2").await.unwrap();
    assert!(matches!(second, CallRecord::NeverSeen), "{second:?}");
}
