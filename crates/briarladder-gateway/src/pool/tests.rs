//! Tests of connections whose peer sends without pause.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::ReadBuf,
    task::{LocalSet, spawn_local, yield_now},
};

use super::*;

/// What is read of an endless answer before a read fails, so that a connection
/// that never lets other tasks run fails the test.
const MAX_READ_BYTES: usize = 8 * 1024 * 1024;

/// What a connection may read before another task runs, which is a few times
/// the buffer of a head.
const MAX_TURN_BYTES: usize = 128 * 1024;

/// A peer that answers with the same bytes without end or pause.
struct EndlessStream {
    repeated: &'static [u8],
    is_requested: bool,
    read_bytes: Rc<Cell<usize>>,
}

impl AsyncRead for EndlessStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.is_requested {
            return Poll::Pending;
        }
        if self.read_bytes.get() > MAX_READ_BYTES {
            return Poll::Ready(Err(io::ErrorKind::Other.into()));
        }
        let offset = self.read_bytes.get() % self.repeated.len();
        let unread = self.repeated.iter().cycle().skip(offset);
        let read: Vec<u8> = unread.take(buffer.remaining()).copied().collect();
        buffer.put_slice(&read);
        self.read_bytes.set(self.read_bytes.get() + read.len());
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EndlessStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_requested = true;
        context.waker().wake_by_ref();
        Poll::Ready(Ok(buffer.len()))
    }

    fn poll_flush(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against a server that keeps all other tasks waiting by sending
/// informational heads without end.
#[tokio::test]
async fn handshake_endless_informational() {
    let read_bytes = Rc::new(Cell::new(0));
    let stream = EndlessStream {
        repeated: b"HTTP/1.1 100 Continue\r\n\r\n",
        is_requested: false,
        read_bytes: Rc::clone(&read_bytes),
    };
    let connection_tasks = LocalSet::new();
    let test = connection_tasks.run_until(async move {
        let (mut sender, connection) = handshake(stream).await.unwrap();
        let reading = spawn_local(connection);
        let request = Request::new(Full::default());
        let _response = spawn_local(sender.send_request(request));
        while !reading.is_finished() {
            let before = read_bytes.get();
            yield_now().await;
            let turn_bytes = read_bytes.get() - before;
            assert!(turn_bytes <= MAX_TURN_BYTES, "{turn_bytes} bytes");
        }
        let result = reading.await;
        let read_bytes = read_bytes.get();
        assert!(read_bytes > MAX_READ_BYTES, "{read_bytes}: {result:?}");
    });
    test.await;
}
