//! Passes bytes on between the daemon that asked for a connection, here the
//! peer, and a server.
//!
//! Each direction holds at most one buffer, and only while it has bytes to
//! pass on.

use std::{cell::Cell, io, rc::Rc, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use tokio::{
    io::Interest,
    net::TcpStream,
    sync::SetOnce,
    task::yield_now,
    time::{sleep, timeout},
};

use crate::send_queue::SendQueues;

use super::frames::{self, HEADER_BYTES};

/// The most bytes of one direction that are held.
const BUFFER_BYTES: usize = 16 * 1024;

/// How long bytes of a peer that has closed its connection are still written
/// to the server.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a server may reset a connection that it has ended, so that the
/// peer learns of it. The kernel of a server that has closed its socket
/// answers the next bytes of the request within a round trip.
const RESET_TIMEOUT: Duration = Duration::from_secs(1);

/// The same once the peer has closed its side as well, which is more than a
/// round trip between regions.
const LATE_RESET_TIMEOUT: Duration = Duration::from_millis(100);

/// How a relayed connection ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) enum ForwardingEnd {
    /// The peer closed it.
    #[display("peer_closed")]
    PeerClosed,
    /// The server ended it, and the peer was told.
    #[display("server_ended")]
    ServerEnded,
    /// The server's connection failed. The peer's is reset.
    #[display("server_failed")]
    ServerFailed,
}

/// A relayed connection.
#[derive(Debug)]
pub(super) struct Forwarding {
    peer: TcpStream,
    server: TcpStream,
    send_queues: Rc<SendQueues>,
    to_server_bytes: Cell<u64>,
    to_peer_bytes: Cell<u64>,
    server_write_failed: SetOnce<()>,
    has_ended: Cell<bool>,
}

impl Forwarding {
    pub(super) fn new(
        peer: TcpStream,
        server: TcpStream,
        send_queues: &Rc<SendQueues>,
    ) -> Forwarding {
        Forwarding {
            peer,
            server,
            send_queues: Rc::clone(send_queues),
            to_server_bytes: Cell::new(0),
            to_peer_bytes: Cell::new(0),
            server_write_failed: SetOnce::new(),
            has_ended: Cell::new(false),
        }
    }

    /// Returns how many bytes were written to the server.
    pub(super) fn to_server_bytes(&self) -> u64 {
        self.to_server_bytes.get()
    }

    /// Returns how many bytes were written to the peer, with their framing.
    pub(super) fn to_peer_bytes(&self) -> u64 {
        self.to_peer_bytes.get()
    }

    /// Passes bytes on until one side ends. `read_ahead` was read from the
    /// peer already. Dropping the value then closes both connections.
    pub(super) async fn run(&self, read_ahead: Bytes) -> ForwardingEnd {
        let end = tokio::select! {
            end = self.pass_to_server(read_ahead) => end,
            end = self.pass_to_peer() => end,
            () = self.wait_peer_timeout() => ForwardingEnd::PeerClosed,
        };
        match end {
            ForwardingEnd::PeerClosed if self.has_ended.get() => {
                ForwardingEnd::ServerEnded
            }
            ForwardingEnd::ServerFailed => {
                if let Err(error) = self.peer.set_zero_linger() {
                    log::debug!("relay: cannot reset a connection: {error}");
                }
                end
            }
            ForwardingEnd::PeerClosed | ForwardingEnd::ServerEnded => end,
        }
    }

    /// Passes on what the peer sends until it closes the connection.
    async fn pass_to_server(&self, read_ahead: Bytes) -> ForwardingEnd {
        let mut written =
            write_all(&self.server, &read_ahead, &self.to_server_bytes).await;
        while written.is_ok() {
            let Ok(buffer) = read(&self.peer, 0).await else {
                return ForwardingEnd::PeerClosed;
            };
            if buffer.is_empty() {
                if self.has_ended.get() {
                    // The peer ends its side, too, and may still be told of a
                    // reset.
                    sleep(LATE_RESET_TIMEOUT).await;
                }
                return ForwardingEnd::PeerClosed;
            }
            written =
                write_all(&self.server, &buffer, &self.to_server_bytes).await;
        }
        // The server may have sent a part of an answer before, which the other
        // direction still passes on. It then learns of the failure.
        // OK because this is the only call.
        self.server_write_failed.set(()).expect("set once");
        std::future::pending().await
    }

    /// Passes on what the server sends until it ends the connection, and that
    /// end.
    async fn pass_to_peer(&self) -> ForwardingEnd {
        loop {
            let Ok(mut frame) = read(&self.server, HEADER_BYTES).await else {
                return ForwardingEnd::ServerFailed;
            };
            if frame.len() == HEADER_BYTES {
                break;
            }
            frames::write_header(&mut frame);
            let written = write_all(&self.peer, &frame, &self.to_peer_bytes);
            if written.await.is_err() {
                return ForwardingEnd::PeerClosed;
            }
            if frame.len() == HEADER_BYTES + BUFFER_BYTES {
                // More is likely to follow, and other tasks have to run.
                yield_now().await;
            }
        }
        // At once, since later segments may acknowledge more.
        let received_bytes = self.received_bytes();
        if self.server_has_failed() {
            return ForwardingEnd::ServerFailed;
        }
        self.has_ended.set(true);
        let end = frames::end_frame(received_bytes);
        if write_all(&self.peer, &end, &self.to_peer_bytes).await.is_err() {
            return ForwardingEnd::PeerClosed;
        }
        match timeout(RESET_TIMEOUT, self.wait_server_failure()).await {
            Ok(()) => ForwardingEnd::ServerFailed,
            Err(_) => ForwardingEnd::ServerEnded,
        }
    }

    /// Returns how many bytes the server's kernel has acknowledged, or `None`
    /// if this kernel doesn't tell.
    fn received_bytes(&self) -> Option<u64> {
        let unacknowledged =
            self.send_queues.unacknowledged_bytes(&self.server)?;
        let written = self.to_server_bytes.get();
        Some(written.saturating_sub(u64::from(unacknowledged)))
    }

    /// Returns whether the server's connection has failed. After the end of
    /// what the server sent, reads don't tell of a reset.
    fn server_has_failed(&self) -> bool {
        let error = self.server.take_error();
        self.server_write_failed.initialized() || !matches!(error, Ok(None))
    }

    async fn wait_server_failure(&self) {
        tokio::select! {
            _ = self.server.ready(Interest::ERROR) => {}
            () = self.wait_write_failure() => {}
        }
    }

    async fn wait_write_failure(&self) {
        self.server_write_failed.wait().await;
    }

    /// Waits until the peer has closed its connection and the time for its
    /// last bytes has passed. A write to a server that reads nothing would
    /// hide the end of the peer's connection.
    async fn wait_peer_timeout(&self) {
        // This interest covers the end alone: unlike with `READABLE`, bytes
        // that are unread don't count. An error stands for an end, too.
        let _ = self.peer.ready(Interest::PRIORITY).await;
        sleep(FINAL_WRITE_TIMEOUT).await;
    }
}

/// Reads bytes once there are some. They follow `offset_bytes` bytes of zero
/// in the returned buffer, which holds nothing else at the end of the stream.
async fn read(stream: &TcpStream, offset_bytes: usize) -> io::Result<Vec<u8>> {
    loop {
        stream.readable().await?;
        let mut buffer = vec![0; offset_bytes + BUFFER_BYTES];
        match stream.try_read(&mut buffer[offset_bytes..]) {
            Ok(read_bytes) => {
                buffer.truncate(offset_bytes + read_bytes);
                return Ok(buffer);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Writes all bytes and counts those that the kernel has taken.
async fn write_all(
    stream: &TcpStream,
    bytes: &[u8],
    written_bytes: &Cell<u64>,
) -> io::Result<()> {
    let mut unwritten = bytes;
    while !unwritten.is_empty() {
        stream.writable().await?;
        match stream.try_write(unwritten) {
            Ok(len) => {
                unwritten = &unwritten[len..];
                written_bytes.update(|bytes| bytes + len as u64);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
