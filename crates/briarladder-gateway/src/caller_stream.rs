//! The socket of a caller's connection.
//!
//! It records whether the caller leaves unread what is being written. Before
//! it is closed, it discards for a while what the caller still sends: closing
//! a socket with unread bytes resets the connection, which can destroy a
//! refusal on its way.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Buf, Bytes};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::timeout,
};

use crate::{
    caller_memory::CallerConnection,
    caller_progress::{ConnectionProgress, Stage},
    fair_stream::MAX_READ_BYTES,
};

/// How long bytes are discarded before a connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// How many bytes are discarded at most.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;

const DISCARD_BUFFER_BYTES: usize = 4096;

/// The socket of a caller's connection, in use by the HTTP server.
#[derive(Debug)]
pub struct CallerStream<'a> {
    stream: &'a mut TcpStream,
    connection: &'a CallerConnection,
    progress: &'a ConnectionProgress,
    /// Bytes that were read from the socket before.
    read_ahead: Bytes,
    is_blocked: bool,
}

impl<'a> CallerStream<'a> {
    /// Wraps the socket of a connection, of which bytes may have been read
    /// before.
    pub fn new(
        stream: &'a mut TcpStream,
        connection: &'a CallerConnection,
        progress: &'a ConnectionProgress,
        read_ahead: Bytes,
    ) -> CallerStream<'a> {
        let is_blocked = false;
        CallerStream { stream, connection, progress, read_ahead, is_blocked }
    }

    /// Returns the bytes that no request has taken: those that were read from
    /// the stream, then those that it holds.
    pub fn into_unread(self, read: Bytes) -> Bytes {
        if self.read_ahead.is_empty() {
            return read;
        }
        Bytes::from([&read[..], &self.read_ahead[..]].concat())
    }

    fn record_write(
        &mut self,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Err(_)) = &written {
            self.progress.record_write_failed();
        }
        if written.is_ready() && self.progress.stage() == Stage::Idle {
            self.progress.record_written(self.connection.now());
        }
        if written.is_pending() != self.is_blocked {
            self.is_blocked = written.is_pending();
            self.connection.set_blocked(self.is_blocked);
            self.progress.record_blocked(self.is_blocked);
        }
        written
    }
}

impl AsyncRead for CallerStream<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_bytes = buffer.filled().len();
        let read = if self.read_ahead.is_empty() {
            let mut limited = (&mut *self.stream).take(MAX_READ_BYTES);
            Pin::new(&mut limited).poll_read(cx, buffer)
        } else {
            let len = buffer.remaining().min(self.read_ahead.len());
            buffer.put_slice(&self.read_ahead[..len]);
            self.read_ahead.advance(len);
            Poll::Ready(Ok(()))
        };
        let received_bytes = buffer.filled().len() - filled_bytes;
        if received_bytes > 0 {
            let now = self.connection.now();
            self.progress.record_received(now, received_bytes);
        }
        read
    }
}

impl AsyncWrite for CallerStream<'_> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream).poll_write(cx, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = Pin::new(&mut *self.stream);
        let written = stream.poll_write_vectored(cx, bytes);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream).poll_shutdown(cx)
    }
}

/// What was discarded of the bytes of a caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Discarded {
    /// The number of bytes.
    pub bytes: usize,
    /// Whether they seem to hold the whole head of a request.
    pub has_head: bool,
}

/// The end of the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";

impl Discarded {
    /// Adds bytes. A head whose end lies in two calls is not noticed.
    fn add(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len();
        self.has_head |=
            bytes.windows(HEAD_END.len()).any(|window| window == HEAD_END);
    }
}

/// Discards what a caller sends until it closes the connection, for a limited
/// time and up to a limit. Nothing more is written to it.
pub async fn discard_rest(stream: &TcpStream) -> Discarded {
    let mut discarded = Discarded::default();
    // The caller gets a reset if it goes on.
    let discarding = discard_until_end(stream, &mut discarded);
    let _ = timeout(DISCARD_TIMEOUT, discarding).await;
    discarded
}

async fn discard_until_end(
    stream: &TcpStream,
    discarded: &mut Discarded,
) -> io::Result<()> {
    while discarded.bytes < MAX_DISCARDED_BYTES {
        stream.readable().await?;
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        match stream.try_read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(len) => discarded.add(&buffer[..len]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
