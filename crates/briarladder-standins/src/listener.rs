//! The HTTP listener of a stand-in, which can be cut and opened again.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use salvo::{Handler, Router, Server, conn::tcp::TcpAcceptor};
use tokio::{
    net::TcpSocket,
    task::{AbortHandle, JoinHandle},
};

/// Connections that may wait to be accepted. A benchmark opens a thousand
/// at once.
const BACKLOG_CONNECTIONS: u32 = 4096;

/// How often, and at which interval, a used port is tried again. The kernel
/// releases the port of a cut listener shortly after the task has ended.
const BIND_ATTEMPTS: u32 = 50;
const BIND_INTERVAL: Duration = Duration::from_millis(10);

/// Closes a listener and all its connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cutter(Arc<Mutex<Option<AbortHandle>>>);

impl Cutter {
    /// Cuts the listener. Takes effect when the tasks are next scheduled.
    pub(crate) fn cut(&self) {
        let handle =
            self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(handle) = handle {
            handle.abort();
        }
    }

    fn set(&self, handle: AbortHandle) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(handle);
    }
}

/// A listener on 127.0.0.1 with its accept task.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    router: Arc<Router>,
    cutter: Cutter,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Listener {
    /// Binds the port (0 for a free one) and serves every path with the
    /// handler.
    pub(crate) async fn start(
        port: u16,
        cutter: Cutter,
        handler: impl Handler,
    ) -> io::Result<Listener> {
        let router = Router::with_path("{**path}").goal(handler);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let mut listener = Listener {
            address,
            router: Arc::new(router),
            cutter,
            task: Mutex::new(None),
        };
        listener.address = listener.serve().await?;
        Ok(listener)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the listener and waits until its port is closed.
    pub(crate) async fn stop(&self) {
        self.cutter.cut();
        let task =
            self.task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            // The only outcome of an aborted task is its cancellation.
            let _ = task.await;
        }
    }

    /// Cuts the listener and opens it again at the same address.
    pub(crate) async fn restart(&self) -> io::Result<()> {
        self.stop().await;
        self.serve().await.map(drop)
    }

    async fn serve(&self) -> io::Result<SocketAddr> {
        let listener = bind(self.address).await?;
        let address = listener.local_addr()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        // The fuse would close idle connections of a client's pool.
        let server = Server::new(acceptor).disable_fuse();
        let router = self.router.clone();
        // Dropping the future drops the connections, so that aborting the
        // task cuts them.
        let task = tokio::spawn(async move {
            if let Err(error) = server.try_serve(router).await {
                log::warn!("standins: listener {address} failed: {error}");
            }
        });
        self.cutter.set(task.abort_handle());
        *self.task.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
        Ok(address)
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.cutter.cut();
    }
}

async fn bind(address: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let mut attempt = 0;
    loop {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        // Accepted sockets inherit the option. Without it, a token waits
        // for the acknowledgement of the token before.
        socket.set_nodelay(true)?;
        match socket.bind(address) {
            Ok(()) => return socket.listen(BACKLOG_CONNECTIONS),
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse
                    && attempt < BIND_ATTEMPTS =>
            {
                attempt += 1;
                tokio::time::sleep(BIND_INTERVAL).await;
            }
            Err(error) => return Err(error),
        }
    }
}
