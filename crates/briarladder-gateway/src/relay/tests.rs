use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use briarladder_core::fleet::shutdown::Shutdown;
use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, split},
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{blackboard::Lifecycle, listener};

use super::{
    client::{self, RelayError},
    test_support::{
        MAX_RELAYED_CONNECTIONS, OPEN_TIMEOUT, RelayingDaemon, SERVER,
        WINDOW_BYTES, local_address, run,
    },
    *,
};

/// The time in which the server learns that the peer has closed a connection.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(200);

/// Sizes of writes around those of frames and buffers.
const WRITE_BYTES: [usize; 8] = [1, 3, 16_383, 16_384, 16_385, 2, 90_000, 700];

/// Returns bytes that repeat after no power of two.
fn pattern(len: usize) -> Vec<u8> {
    let cycle = (0..251_u8).cycle();
    cycle.take(len).collect()
}

async fn write_in_parts(
    mut stream: impl AsyncWriteExt + Unpin,
    bytes: &[u8],
    mut sizes: impl Iterator<Item = usize>,
) {
    let mut unwritten = bytes;
    while !unwritten.is_empty() {
        let len = sizes.next().unwrap_or(1).min(unwritten.len());
        stream.write_all(&unwritten[..len]).await.unwrap();
        unwritten = &unwritten[len..];
    }
}

async fn refusal(daemon: &RelayingDaemon, server: &str) -> RelayError {
    let opened = client::open(daemon.address, server, OPEN_TIMEOUT);
    opened.await.unwrap_err()
}

/// Waits until the daemon relays no connection.
async fn wait_none_open(daemon: &RelayingDaemon, limit: Duration) {
    let closed = async {
        while daemon.relay.open_connections() > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(limit, closed).await.expect("the connection ends in time");
}

/// Guards against bytes that are lost, repeated or reordered in either
/// direction, with both in use.
#[tokio::test]
async fn forwarding_both_directions() {
    run(async {
        let daemon = RelayingDaemon::start().await;
        let (relayed, server) = daemon.open().await;
        let sent = pattern(3_000_000);
        let mut from_peer = vec![0; sent.len()];
        let mut from_server = vec![0; sent.len()];
        let (mut peer_read, peer_write) = split(relayed);
        let (mut server_read, server_write) = split(server);
        let sizes = WRITE_BYTES.into_iter();
        let both = async {
            tokio::join!(
                write_in_parts(peer_write, &sent, sizes.clone().cycle()),
                write_in_parts(server_write, &sent, sizes.rev().cycle()),
                async {
                    peer_read.read_exact(&mut from_server).await.unwrap()
                },
                async {
                    server_read.read_exact(&mut from_peer).await.unwrap()
                },
            )
        };
        timeout(Duration::from_secs(20), both).await.unwrap();
        assert!(from_peer == sent && from_server == sent);
    })
    .await;
}

/// Guards against a part of an answer that looks whole, or is lost, because
/// the server's connection was reset.
#[tokio::test]
async fn forwarding_server_reset() {
    run(async {
        let daemon = RelayingDaemon::start().await;
        let (mut relayed, mut server) = daemon.open().await;
        server.write_all(&pattern(20_000)).await.unwrap();
        let mut read = vec![0; 20_000];
        relayed.read_exact(&mut read).await.unwrap();
        server.set_zero_linger().unwrap();
        drop(server);
        let error = relayed.read(&mut [0; 1]).await.unwrap_err();
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
        wait_none_open(&daemon, CANCEL_TIMEOUT).await;
    })
    .await;
}

/// Guards against a reset that is taken for an end since a write to the server
/// was the first to learn of it.
#[tokio::test]
async fn forwarding_reset_seen_by_write() {
    run(async {
        let daemon = RelayingDaemon::start().await;
        for _ in 0..20 {
            let (relayed, mut server) = daemon.open().await;
            let (mut relayed_read, mut relayed_write) = split(relayed);
            let writing = spawn_local(async move {
                while relayed_write.write_all(&[7; 50]).await.is_ok() {
                    tokio::task::yield_now().await;
                }
            });
            server.write_all(b"answer").await.unwrap();
            server.read_exact(&mut [0; 500]).await.unwrap();
            server.set_zero_linger().unwrap();
            drop(server);
            let read = relayed_read.read_to_end(&mut Vec::new()).await;
            let error = read.unwrap_err();
            assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
            writing.await.unwrap();
        }
    })
    .await;
}

/// Guards against an end of the server that the peer doesn't learn of, and
/// against a request that counts as unreceived though the server has it.
#[tokio::test]
async fn forwarding_clean_end() {
    run(async {
        let daemon = RelayingDaemon::start().await;
        for request_bytes in [0, 100_000] {
            let (mut relayed, mut server) = daemon.open().await;
            let answering = spawn_local(async move {
                let mut request = vec![0; request_bytes];
                server.read_exact(&mut request).await.unwrap();
                server.write_all(b"answer").await.unwrap();
                server.shutdown().await.unwrap();
                server
            });
            relayed.write_all(&vec![7; request_bytes]).await.unwrap();
            let mut answer = Vec::new();
            relayed.read_to_end(&mut answer).await.unwrap();
            assert_eq!(answer, b"answer");
            assert_eq!(relayed.unreceived_bytes(), Some(0));
            drop((relayed, answering.await.unwrap()));
        }
        wait_none_open(&daemon, CANCEL_TIMEOUT).await;
    })
    .await;
}

/// Guards against a request that counts as received because its rest is held
/// by the relaying daemon, and against a later reset that is not passed on.
#[tokio::test]
async fn forwarding_end_before_request_received() {
    const REQUEST_BYTES: usize = 200_000;
    const READ_BYTES: usize = 20_000;
    run(async {
        let daemon = RelayingDaemon::start().await;
        let (mut relayed, mut server) = daemon.open().await;
        relayed.write_all(&vec![7; REQUEST_BYTES]).await.unwrap();
        server.read_exact(&mut vec![0; READ_BYTES]).await.unwrap();
        server.write_all(b"answer").await.unwrap();
        server.shutdown().await.unwrap();
        let mut answer = Vec::new();
        relayed.read_to_end(&mut answer).await.unwrap();
        assert_eq!(answer, b"answer");
        let unreceived = relayed.unreceived_bytes().unwrap();
        let unread = u64::try_from(REQUEST_BYTES - READ_BYTES).unwrap();
        // The kernel holds more than the buffer, with its own data.
        let in_window = u64::from(4 * WINDOW_BYTES);
        assert!(unreceived <= unread, "{unreceived}");
        assert!(unreceived >= unread - in_window, "{unreceived}");
        assert!(relayed.take_error().unwrap().is_none());
        // The kernel resets a connection that is closed with unread bytes.
        drop(server);
        let reset = async {
            while relayed.take_error().unwrap().is_none() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_millis(500), reset).await.unwrap();
    })
    .await;
}

/// Guards against a server that works on for a caller that has gone.
#[tokio::test]
async fn forwarding_peer_closes() {
    run(async {
        let daemon = RelayingDaemon::start().await;
        let (mut relayed, mut server) = daemon.open().await;
        relayed.write_all(b"request").await.unwrap();
        server.read_exact(&mut [0; 3]).await.unwrap();
        let closed_at = Instant::now();
        drop(relayed);
        let mut rest = Vec::new();
        let end = timeout(CANCEL_TIMEOUT, server.read_to_end(&mut rest));
        end.await.expect("the end is passed on in time").unwrap();
        assert_eq!(rest, b"uest");
        assert!(closed_at.elapsed() < CANCEL_TIMEOUT);
        wait_none_open(&daemon, CANCEL_TIMEOUT).await;
    })
    .await;
}

/// Guards against a connection of a peer that has gone, which stays open since
/// its server reads nothing.
#[tokio::test]
async fn forwarding_peer_closes_server_reads_nothing() {
    run(async {
        let daemon = RelayingDaemon::start().await;
        let mut peer = open_by_hand(daemon.address).await;
        let (_server, _) = daemon.server.accept().await.unwrap();
        let filling = async {
            loop {
                peer.write_all(&[7; 16_384]).await.unwrap();
            }
        };
        timeout(Duration::from_millis(300), filling).await.unwrap_err();
        assert_eq!(daemon.relay.open_connections(), 1);
        peer.set_zero_linger().unwrap();
        drop(peer);
        wait_none_open(&daemon, Duration::from_millis(1300)).await;
    })
    .await;
}

/// Opens a relayed connection without a client.
async fn open_by_hand(address: SocketAddr) -> TcpStream {
    let mut peer = TcpStream::connect(address).await.unwrap();
    let message = RelayRequest { server: SERVER.into() };
    let message = postcard::to_stdvec(&message).unwrap();
    let head = format!(
        "POST {RELAY_PATH} HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\n\
         upgrade: {RELAY_PROTOCOL}\r\ncontent-length: {}\r\n\r\n",
        message.len()
    );
    peer.write_all(head.as_bytes()).await.unwrap();
    peer.write_all(&message).await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        answer.push(peer.read_u8().await.unwrap());
    }
    assert!(answer.starts_with(b"HTTP/1.1 101 "));
    peer
}

/// Guards against a daemon that relays without bound or doesn't tell how many
/// connections it relays, and against places that are not free again after a
/// connection.
#[tokio::test]
async fn open_full() {
    run(async {
        let daemon = RelayingDaemon::start().await;
        let others: Vec<_> = (1..MAX_RELAYED_CONNECTIONS)
            .map(|_| daemon.relay.take_place().unwrap())
            .collect();
        let (relayed, server) = daemon.open().await;
        let relayed_connections = relayed.relayed_connections();
        assert_eq!(relayed_connections, Some(MAX_RELAYED_CONNECTIONS));
        let full = RelayError::Refused(RelayRefusal::Full);
        assert_eq!(refusal(&daemon, SERVER).await, full);
        drop((relayed, server));
        let freed = async {
            while daemon.relay.open_connections() > others.len() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(CANCEL_TIMEOUT, freed).await.unwrap();
        daemon.open().await;
    })
    .await;
}

/// Guards against a daemon that connects to whatever it is asked to, and
/// against a failure of the server or the daemon that is taken for another.
#[tokio::test]
async fn open_refused() {
    run(async {
        let mut daemon = RelayingDaemon::start().await;
        let refused = |refusal| RelayError::Refused(refusal);
        let address = daemon.server.local_addr().unwrap().to_string();
        for name in ["s-2", "", &address] {
            let unknown = refused(RelayRefusal::UnknownServer);
            assert_eq!(refusal(&daemon, name).await, unknown, "{name}");
        }
        daemon.relay.set_reaches_servers(false);
        let cut_off = refused(RelayRefusal::CutOff);
        assert_eq!(refusal(&daemon, SERVER).await, cut_off);
        daemon.relay.set_reaches_servers(true);
        daemon.server = TcpListener::bind(local_address()).await.unwrap();
        let server_refused = refused(RelayRefusal::ServerRefused);
        assert_eq!(refusal(&daemon, SERVER).await, server_refused);
        let shutdown = Shutdown::new(Instant::now(), Duration::from_secs(9));
        daemon.blackboard.lifecycle.set(Lifecycle::Stopping(shutdown));
        let stopping = refused(RelayRefusal::Stopping);
        assert_eq!(refusal(&daemon, SERVER).await, stopping);
        assert_eq!(daemon.relay.open_connections(), 0);
    })
    .await;
}

/// Guards against a daemon of an earlier version, or one that does not answer,
/// that is taken for a refusal or delays the request.
#[tokio::test]
async fn open_without_answer() {
    run(async {
        let older = TcpListener::bind(local_address()).await.unwrap();
        let address = older.local_addr().unwrap();
        spawn_local(async move {
            let (stream, _) = older.accept().await.unwrap();
            let not_found = |_| async {
                let mut response = Response::new(Full::<Bytes>::default());
                *response.status_mut() = StatusCode::NOT_FOUND;
                Ok(response)
            };
            listener::serve_http(stream, not_found).await;
        });
        let opened = client::open(address, SERVER, OPEN_TIMEOUT).await;
        assert_eq!(opened.unwrap_err(), RelayError::NotSupported);
        let silent = TcpListener::bind(local_address()).await.unwrap();
        let address = silent.local_addr().unwrap();
        let limit = Duration::from_millis(50);
        for _ in 0..2 {
            let opened = client::open(address, SERVER, limit).await;
            let error = opened.unwrap_err();
            assert!(matches!(error, RelayError::PeerUnreachable(_)));
        }
        drop(silent);
        let opened = client::open(address, SERVER, OPEN_TIMEOUT).await;
        let error = opened.unwrap_err();
        assert!(matches!(error, RelayError::PeerUnreachable(_)));
    })
    .await;
}
