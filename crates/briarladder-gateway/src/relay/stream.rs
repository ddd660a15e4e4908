//! The end of a relayed connection at the daemon that asked for it.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Buf, Bytes};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::frames::FrameDecoder;

/// A connection to a server over another daemon. It reads as ended only if
/// the server has ended its connection; any other end is an error.
#[derive(Debug)]
pub struct RelayedStream {
    peer: PeerStream,
    decoder: FrameDecoder,
    written_bytes: u64,
    relayed_connections: Option<usize>,
}

impl RelayedStream {
    /// Creates the stream from the connection to the other daemon, the bytes
    /// that were read from it already, and how many connections it relays.
    pub(super) fn new(
        inner: TcpStream,
        read_ahead: Bytes,
        relayed_connections: Option<usize>,
    ) -> RelayedStream {
        RelayedStream {
            peer: PeerStream { inner, read_ahead },
            decoder: FrameDecoder::default(),
            written_bytes: 0,
            relayed_connections,
        }
    }

    /// Returns how many connections the other daemon relayed when it opened
    /// this one, which counts too, or `None` if it didn't tell.
    #[must_use]
    pub fn relayed_connections(&self) -> Option<usize> {
        self.relayed_connections
    }

    /// Returns how many of the bytes that were written the server's kernel had
    /// not received when the server ended the connection, or `None` if that
    /// isn't known. The bytes that were on their way to the other daemon, or
    /// held there, are among them.
    #[must_use]
    pub fn unreceived_bytes(&self) -> Option<u64> {
        let received_bytes = self.decoder.received_bytes()?;
        Some(self.written_bytes.saturating_sub(received_bytes))
    }

    /// Takes the error of the connection, such as a reset after its end.
    ///
    /// # Errors
    ///
    /// If the kernel does not tell.
    pub fn take_error(&self) -> io::Result<Option<io::Error>> {
        self.peer.inner.take_error()
    }

    fn count_written(
        &mut self,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = written {
            self.written_bytes += bytes as u64;
        }
        written
    }
}

impl AsyncRead for RelayedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let RelayedStream { peer, decoder, .. } = self.get_mut();
        decoder.poll_read(peer, context, buffer)
    }
}

impl AsyncWrite for RelayedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let inner = Pin::new(&mut self.peer.inner);
        let written = inner.poll_write(context, buffer);
        self.count_written(written)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.peer.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.peer.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let inner = Pin::new(&mut self.peer.inner);
        let written = inner.poll_write_vectored(context, buffers);
        self.count_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.peer.inner.is_write_vectored()
    }
}

/// A connection to another daemon whose first bytes were read already.
#[derive(Debug)]
struct PeerStream {
    inner: TcpStream,
    read_ahead: Bytes,
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_ahead.is_empty() {
            return Pin::new(&mut self.inner).poll_read(context, buffer);
        }
        let len = buffer.remaining().min(self.read_ahead.len());
        buffer.put_slice(&self.read_ahead[..len]);
        self.read_ahead.advance(len);
        Poll::Ready(Ok(()))
    }
}
