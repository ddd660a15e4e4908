//! A stream that bounds what its reader takes at once: other tasks run while
//! its peer sends without pause, and the buffer of the reader stays small.
//!
//! hyper reads for as long as bytes are there until it has a head, and it
//! skips informational heads. All tasks share one thread, so a server that
//! sends such heads without end would keep the others waiting.

use std::{
    io::{self, IoSlice},
    pin::{Pin, pin},
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
    task::yield_now,
};

/// Bytes after which other tasks run. Most answers are shorter.
const MAX_TURN_BYTES: usize = 32 * 1024;

/// The most bytes of one read. hyper doubles its buffer, from 8 KiB on, when a
/// read fills it, and reserves as much again behind a part that is in use. The
/// buffers of many answers then took 48 KiB each, which no account counts.
pub(crate) const MAX_READ_BYTES: u64 = 16 * 1024 - 1;

/// A stream that is read in turns of [`MAX_TURN_BYTES`] and one read.
#[derive(Debug)]
pub(crate) struct FairStream<S> {
    inner: S,
    turn_bytes: usize,
}

impl<S> FairStream<S> {
    pub(crate) fn new(inner: S) -> FairStream<S> {
        FairStream { inner, turn_bytes: 0 }
    }

    /// Returns the stream that is read in turns.
    pub(crate) fn into_inner(self) -> S {
        self.inner
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FairStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            // The runtime polls the sockets before it wakes the task. A task
            // that wakes itself may be polled many times before that.
            return pin!(yield_now()).poll(context).map(Ok);
        }
        let filled_before = buffer.filled().len();
        let mut limited = (&mut self.inner).take(MAX_READ_BYTES);
        let read = Pin::new(&mut limited).poll_read(context, buffer);
        if read.is_pending() {
            self.turn_bytes = 0;
        }
        self.turn_bytes += buffer.filled().len() - filled_before;
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FairStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, buffer)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
