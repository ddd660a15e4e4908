//! The stream of a connection, opened by this daemon or by another one.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{relay::RelayedStream, send_queue::SendQueues};

/// The stream of a connection to a server.
#[derive(Debug)]
pub enum ServerStream {
    /// A socket that is connected to the server.
    Direct(TcpStream),
    /// A connection over another daemon.
    Relayed(RelayedStream),
}

impl ServerStream {
    /// Returns how many of the bytes that were written the server's kernel has
    /// not received, or `None` if that isn't known. Call it at once when the
    /// server has ended the connection.
    pub(super) fn unreceived_bytes(
        &self,
        send_queues: &SendQueues,
    ) -> Option<u32> {
        match self {
            ServerStream::Direct(stream) => {
                send_queues.unacknowledged_bytes(stream)
            }
            ServerStream::Relayed(stream) => stream
                .unreceived_bytes()
                .map(|bytes| u32::try_from(bytes).unwrap_or(u32::MAX)),
        }
    }

    /// Returns whether the connection has failed. Takes its error.
    pub(super) fn has_failed(&self) -> bool {
        let error = match self {
            ServerStream::Direct(stream) => stream.take_error(),
            ServerStream::Relayed(stream) => stream.take_error(),
        };
        error.is_ok_and(|error| error.is_some())
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            ServerStream::Direct(stream) => {
                Pin::new(stream).poll_read(context, buffer)
            }
            ServerStream::Relayed(stream) => {
                Pin::new(stream).poll_read(context, buffer)
            }
        }
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            ServerStream::Direct(stream) => {
                Pin::new(stream).poll_write(context, buffer)
            }
            ServerStream::Relayed(stream) => {
                Pin::new(stream).poll_write(context, buffer)
            }
        }
    }

    fn poll_flush(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            ServerStream::Direct(stream) => {
                Pin::new(stream).poll_flush(context)
            }
            ServerStream::Relayed(stream) => {
                Pin::new(stream).poll_flush(context)
            }
        }
    }

    fn poll_shutdown(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            ServerStream::Direct(stream) => {
                Pin::new(stream).poll_shutdown(context)
            }
            ServerStream::Relayed(stream) => {
                Pin::new(stream).poll_shutdown(context)
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            ServerStream::Direct(stream) => {
                Pin::new(stream).poll_write_vectored(context, buffers)
            }
            ServerStream::Relayed(stream) => {
                Pin::new(stream).poll_write_vectored(context, buffers)
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            ServerStream::Direct(stream) => stream.is_write_vectored(),
            ServerStream::Relayed(stream) => stream.is_write_vectored(),
        }
    }
}
