//! Tests of the client to the platform.

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

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

/// Watches the list of VMs on a platform that responds with an era. Returns
/// the target of the request and what the client made of the response.
async fn watch_in_era(
    after: PlatformVersion,
    era_header: &str,
) -> (String, anyhow::Result<PlatformRead<VmList>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let response = format!("HTTP/1.1 204 No Content\r\n{era_header}\r\n");
    let served = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            stream.read_buf(&mut request).await.unwrap();
        }
        stream.write_all(response.as_bytes()).await.unwrap();
        let request = String::from_utf8(request).unwrap();
        request.split(' ').nth(1).unwrap().to_owned()
    });
    let client = PlatformClient::new(address).unwrap();
    let read = client.vms(ReadMode::NewerThan(after)).await;
    (served.await.unwrap(), read)
}

/// Guards against a response from before a restore that counts as one from
/// after it, and against an era that can't be read and counts as none.
#[tokio::test]
async fn watch_checks_era() {
    let after = PlatformVersion { era: 2, number: 7 };
    let header = |era| format!("{ERA_HEADER}: {era}\r\n");
    let (target, read) = watch_in_era(after, &header("3")).await;
    assert_eq!(target, "/v1/vms?after=7&era=2");
    assert_eq!(read.unwrap(), PlatformRead { era: 3, value: None });
    let (_, read) = watch_in_era(after, &header("1")).await;
    assert!(read.unwrap_err().to_string().contains("is of era 1"));
    let (_, read) = watch_in_era(after, &header("new")).await;
    assert!(read.unwrap_err().to_string().contains("not a number"));
}

/// Guards against a watch that names an era to a platform which knows none,
/// and against losing the known era when a response names none.
#[tokio::test]
async fn watch_without_era() {
    let after = PlatformVersion { era: UNKNOWN_ERA, number: 7 };
    let (target, read) = watch_in_era(after, "").await;
    assert_eq!(target, "/v1/vms?after=7");
    assert_eq!(read.unwrap().era, UNKNOWN_ERA);
    let known = PlatformVersion { era: 2, number: 7 };
    let (_, read) = watch_in_era(known, "").await;
    assert_eq!(read.unwrap().era, 2);
}
