//! Tells how much of its request a connection has passed on.
//!
//! hyper takes a whole request into its buffer and then considers it written,
//! and the kernel considers it written once it is in the send queue. A server
//! may answer before it has read the request, so a whole answer doesn't show
//! that the request was received. What was known of it when the server ended
//! the connection is therefore recorded at that moment.

use std::{
    cell::{Cell, RefCell},
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use derive_more::Display;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
};

use crate::send_queue::SendQueues;

use super::server_stream::ServerStream;

/// How much of a request was passed on when the server ended the connection.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RequestProgress {
    /// A part of it had yet to be written.
    #[display("unwritten")]
    Unwritten,
    /// It was written, but the server's kernel had not received so many bytes
    /// of it.
    #[display("unreceived:{_0}")]
    Unreceived(u32),
    /// The server's kernel had received all of it. The server may not have
    /// read it.
    #[display("received")]
    Received,
    /// It was written, and this kernel doesn't tell what the other one has
    /// received; or the connection hasn't ended.
    #[display("unknown")]
    Unknown,
}

/// What is known of the request that was written last on a connection.
#[derive(Debug)]
pub struct Upload {
    is_pending: Cell<bool>,
    progress_at_end: Cell<RequestProgress>,
    written: Notify,
    /// The stream once the server has ended the connection and it was dropped.
    /// A reset that follows the end is only seen here.
    ended_stream: RefCell<Option<ServerStream>>,
}

impl Upload {
    /// Returns whether a part of the request has yet to be written.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        self.is_pending.get()
    }

    /// Returns how much of the request was passed on when the server ended the
    /// connection.
    #[must_use]
    pub fn progress_at_end(&self) -> RequestProgress {
        self.progress_at_end.get()
    }

    /// Waits until the request is written.
    pub async fn written(&self) {
        while self.is_pending() {
            self.written.notified().await;
        }
    }

    /// Returns whether the server has reset the connection after its end: it
    /// closed it before it had received the whole request.
    #[must_use]
    pub fn was_reset(&self) -> bool {
        let stream = self.ended_stream.borrow();
        stream.as_ref().is_some_and(ServerStream::has_failed)
    }

    fn set_pending(&self, is_pending: bool) {
        self.is_pending.set(is_pending);
        if !is_pending {
            self.written.notify_waiters();
        }
    }
}

/// A stream that records in an [`Upload`] what was written.
#[derive(Debug)]
pub(super) struct UploadStream {
    /// `None` while it is dropped.
    inner: Option<ServerStream>,
    upload: Rc<Upload>,
    send_queues: Rc<SendQueues>,
    has_ended: bool,
}

impl UploadStream {
    pub(super) fn new(
        inner: ServerStream,
        send_queues: &Rc<SendQueues>,
    ) -> UploadStream {
        let upload = Rc::new(Upload {
            is_pending: Cell::new(false),
            progress_at_end: Cell::new(RequestProgress::Unknown),
            written: Notify::new(),
            ended_stream: RefCell::new(None),
        });
        UploadStream {
            inner: Some(inner),
            upload,
            send_queues: Rc::clone(send_queues),
            has_ended: false,
        }
    }

    pub(super) fn upload(&self) -> Rc<Upload> {
        Rc::clone(&self.upload)
    }

    fn inner(&mut self) -> io::Result<Pin<&mut ServerStream>> {
        let inner = self.inner.as_mut();
        inner.map(Pin::new).ok_or(io::ErrorKind::NotConnected.into())
    }

    /// Records the end of the connection. The segment that ends it
    /// acknowledges all that the server's kernel has received, and later ones
    /// may acknowledge more, so the kernel is asked at once.
    fn record_end(&mut self) {
        self.has_ended = true;
        let unreceived = || {
            let stream = self.inner.as_ref()?;
            stream.unreceived_bytes(&self.send_queues)
        };
        let progress = if self.upload.is_pending() {
            RequestProgress::Unwritten
        } else {
            match unreceived() {
                None => RequestProgress::Unknown,
                Some(0) => RequestProgress::Received,
                Some(bytes) => RequestProgress::Unreceived(bytes),
            }
        };
        self.upload.progress_at_end.set(progress);
    }
}

impl Drop for UploadStream {
    fn drop(&mut self) {
        if self.has_ended {
            self.upload.ended_stream.replace(self.inner.take());
        }
    }
}

impl AsyncRead for UploadStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let remaining_before = buffer.remaining();
        let read = self.inner()?.poll_read(context, buffer);
        let is_end = matches!(read, Poll::Ready(Ok(())))
            && remaining_before > 0
            && buffer.remaining() == remaining_before;
        if is_end && !self.has_ended {
            self.record_end();
        }
        read
    }
}

impl AsyncWrite for UploadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.upload.set_pending(true);
        self.inner()?.poll_write(context, buffer)
    }

    /// hyper flushes the stream once its buffer is empty, and not before.
    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let flushed = self.inner()?.poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.upload.set_pending(false);
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        self.inner()?.poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.upload.set_pending(true);
        self.inner()?.poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.as_ref().is_some_and(AsyncWrite::is_write_vectored)
    }
}
