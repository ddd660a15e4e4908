//! Tests of connections whose peer sends without pause, and of connections
//! over other daemons.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use briarladder_core::clock::SystemClock;
use http_body_util::BodyExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, ReadBuf},
    task::{LocalSet, spawn_local, yield_now},
    time::{sleep, timeout},
};

use crate::relay::test_support::{self, RelayingDaemon};

use super::*;

/// What is read of an endless answer before a read fails, so that a connection
/// that never lets other tasks run fails the test.
const MAX_READ_BYTES: usize = 8 * 1024 * 1024;

/// What a connection may read before another task runs, which is a few times
/// the buffer of a head.
const MAX_TURN_BYTES: usize = 128 * 1024;

/// What is held of an answer that is read piece by piece.
const MAX_FRAME_BYTES: usize = 16 * 1024;

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

/// Guards against read buffers that grow with the length of an answer, so that
/// many long answers at once take far more memory than is counted.
#[tokio::test]
async fn handshake_long_answer_small_buffers() {
    let stream = EndlessStream {
        repeated: b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n",
        is_requested: false,
        read_bytes: Rc::default(),
    };
    let connection_tasks = LocalSet::new();
    let test = connection_tasks.run_until(async move {
        let (mut sender, connection) = handshake(stream).await.unwrap();
        let _reading = spawn_local(connection);
        let request = Request::new(Full::default());
        let response = sender.send_request(request).await.unwrap();
        let mut body = response.into_body();
        let mut body_bytes = 0;
        while let Some(frame) = body.frame().await {
            let data = frame.unwrap().into_data().unwrap();
            assert!(data.len() < MAX_FRAME_BYTES, "{} bytes", data.len());
            body_bytes += data.len();
        }
        assert_eq!(body_bytes, 1_000_000);
    });
    test.await;
}

/// Guards against an answer over another daemon that counts as whole although
/// its server had not received the request, or had not read it.
#[tokio::test]
async fn start_relayed_ends_before_request() {
    test_support::run(async {
        let daemon = RelayingDaemon::start().await;
        let (relayed, mut server) = daemon.open().await;
        let pool = ConnectionPool::new(Arc::new(SystemClock));
        let address = daemon.server.local_addr().unwrap();
        let stream = ServerStream::Relayed(relayed);
        let pooled = pool.start(address, stream, Duration::ZERO, None);
        let pooled = pooled.await.unwrap();
        let upload = pooled.upload();
        let answering = spawn_local(async move {
            server.read_exact(&mut [0; 1000]).await.unwrap();
            upload.written().await;
            let answer = b"HTTP/1.1 200 OK\r\n\r\nanswer";
            server.write_all(answer).await.unwrap();
            server.shutdown().await.unwrap();
            server
        });
        let request = Request::post("/").body(Full::from(vec![7; 200_000]));
        let sent = pool.send_on(pooled, request.unwrap(), no_reopen).await;
        let (response, pooled) = sent.unwrap();
        let answer = response.into_body().collect().await.unwrap();
        assert_eq!(answer.to_bytes(), "answer");
        let upload = pooled.upload();
        let progress = upload.progress_at_end();
        let RequestProgress::Unreceived(bytes) = progress else {
            panic!("{progress}");
        };
        assert!((1..200_000).contains(&bytes), "{bytes}");
        assert!(!upload.was_reset());
        drop(answering.await.unwrap());
        let reset = async {
            while !upload.was_reset() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_millis(500), reset).await.unwrap();
    })
    .await;
}

/// Guards against a connection over another daemon that can't be used again,
/// or is used after the server has ended it.
#[tokio::test]
async fn start_relayed_reused() {
    test_support::run(async {
        let daemon = RelayingDaemon::start().await;
        let (relayed, mut server) = daemon.open().await;
        let pool = ConnectionPool::new(Arc::new(SystemClock));
        let address = daemon.server.local_addr().unwrap();
        let stream = ServerStream::Relayed(relayed);
        let pooled = pool.start(address, stream, Duration::ZERO, None);
        let mut pooled = pooled.await.unwrap();
        for _ in 0..2 {
            let request = Request::get("/").body(Full::default()).unwrap();
            let answering = async {
                while server.read_u8().await.unwrap() != b'\n' {}
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                server.write_all(answer).await.unwrap();
                while server.read_u8().await.unwrap() != b'\n' {}
            };
            let sent = pool.send_on(pooled, request, no_reopen);
            let (sent, ()) = tokio::join!(sent, answering);
            let (response, connection) = sent.unwrap();
            let body = response.into_body().collect().await.unwrap();
            assert_eq!(body.to_bytes(), "ok");
            connection.return_to_pool(None);
            let idle = pool.take_idle(address, |_| true);
            pooled = idle.expect("the connection is idle");
        }
        pooled.return_to_pool(None);
        drop(server);
        sleep(Duration::from_millis(100)).await;
        assert!(pool.take_idle(address, |_| true).is_none());
    })
    .await;
}

/// Fails a test whose request is sent on another connection than the one that
/// it was given.
async fn no_reopen() -> Result<PooledConnection, SendError> {
    panic!("the connection was closed before the request was sent")
}
