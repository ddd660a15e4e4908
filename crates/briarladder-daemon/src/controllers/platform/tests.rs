//! Tests of the client to the platform.

use tokio::{io::AsyncWriteExt, net::TcpListener};

use super::*;

/// Guards against a daemon that runs out of memory because the platform, or
/// another process at its address, sends a body without a length or an end.
#[tokio::test]
async fn manifest_endless_body() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
        let mut sent_bytes = 0;
        while stream.write_all(&[b' '; 16 * 1024]).await.is_ok() {
            sent_bytes += 16 * 1024;
        }
        sent_bytes
    });
    let client = PlatformClient::new(address).unwrap();
    let error = client.manifest(ReadMode::Current).await.unwrap_err();
    assert!(error.to_string().contains("exceeds"), "{error}");
    // The limit allows for the socket buffers.
    assert!(sent.await.unwrap() < 32 << 20);
}
