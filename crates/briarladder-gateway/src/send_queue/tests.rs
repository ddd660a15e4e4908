use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
};

use super::*;

/// A request that the window of the peer doesn't hold, but the send queue.
const REQUEST_BYTES: usize = 100_000;

/// The receive buffer of the peer.
const WINDOW_BYTES: u32 = 16 * 1024;

/// A connection with the end at its peer, which reads nothing by itself.
struct Pair {
    local: TcpStream,
    peer: TcpStream,
}

impl Pair {
    async fn open(address: &str) -> Pair {
        let address: SocketAddr = address.parse().unwrap();
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4().unwrap(),
            SocketAddr::V6(_) => TcpSocket::new_v6().unwrap(),
        };
        socket.set_recv_buffer_size(WINDOW_BYTES).unwrap();
        socket.bind(address).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let local = TcpStream::connect(address).await.unwrap();
        let (peer, _) = listener.accept().await.unwrap();
        Pair { local, peer }
    }

    /// Sends a request of which the peer reads a part, answers and ends its
    /// direction, and returns what is unacknowledged once the end is seen.
    async fn unacknowledged_at_end(
        &mut self,
        queues: &SendQueues,
        read_bytes: usize,
    ) -> Option<u32> {
        self.local.write_all(&vec![7; REQUEST_BYTES]).await.unwrap();
        let mut read = vec![0; read_bytes];
        self.peer.read_exact(&mut read).await.unwrap();
        self.peer.write_all(b"answer").await.unwrap();
        self.peer.shutdown().await.unwrap();
        let mut answer = Vec::new();
        self.local.read_to_end(&mut answer).await.unwrap();
        assert_eq!(answer, b"answer");
        queues.unacknowledged_bytes(&self.local)
    }
}

/// Guards against a request that counts as received although the peer has
/// ended the connection while a part of it was in the send queue.
#[tokio::test]
async fn unacknowledged_bytes_unread_request() {
    let queues = SendQueues::default();
    for address in ["127.0.0.1:0", "[::1]:0"] {
        let mut pair = Pair::open(address).await;
        let bytes = pair.unacknowledged_at_end(&queues, 20_000).await;
        let bytes = bytes.expect("the kernel tells the queue");
        let bytes = usize::try_from(bytes).unwrap();
        assert!(bytes > 0, "{address}");
        assert!(bytes <= REQUEST_BYTES - 20_000, "{address}: {bytes}");
    }
}

/// Guards against a whole answer that counts as cut off although its request
/// was read, and against the queue of another connection.
#[tokio::test]
async fn unacknowledged_bytes_read_request() {
    let queues = SendQueues::default();
    for address in ["127.0.0.1:0", "[::1]:0"] {
        let mut unread = Pair::open(address).await;
        unread.unacknowledged_at_end(&queues, 0).await;
        for _ in 0..20 {
            let mut pair = Pair::open(address).await;
            let bytes = pair.unacknowledged_at_end(&queues, REQUEST_BYTES);
            assert_eq!(bytes.await, Some(0), "{address}");
        }
    }
}

/// Guards against a system without such sockets on which each end of a
/// connection asks for one again, or counts as cut off.
#[tokio::test]
async fn unacknowledged_bytes_without_socket() {
    let queues = SendQueues::default();
    queues.socket.set(None).unwrap();
    let mut pair = Pair::open("127.0.0.1:0").await;
    assert_eq!(pair.unacknowledged_at_end(&queues, 20_000).await, None);
}
