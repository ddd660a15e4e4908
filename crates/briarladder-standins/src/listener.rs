//! The HTTP listener of a stand-in, which can be aborted and reopened.

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

/// The listen backlog. A benchmark opens a thousand connections at once.
const LISTEN_BACKLOG_CONNECTIONS: u32 = 4096;

/// Retries for a port that is in use. The kernel releases the port of an
/// aborted listener shortly after its task has ended.
const MAX_BIND_RETRIES: u32 = 50;
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Closes a listener and all of its connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListenerAborter(Arc<Mutex<Option<AbortHandle>>>);

impl ListenerAborter {
    /// Aborts the listener task. It takes effect when the task is next
    /// scheduled.
    pub(crate) fn abort(&self) {
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

/// A listener on 127.0.0.1 and the task that accepts its connections.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    router: Arc<Router>,
    aborter: ListenerAborter,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Listener {
    /// Binds a port (0 for a free one) and serves every path with a handler.
    pub(crate) async fn start(
        port: u16,
        aborter: ListenerAborter,
        handler: impl Handler,
    ) -> io::Result<Listener> {
        let router = Router::with_path("{**path}").goal(handler);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let mut listener = Listener {
            address,
            router: Arc::new(router),
            aborter,
            task: Mutex::new(None),
        };
        listener.address = listener.serve().await?;
        Ok(listener)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Aborts the listener and waits until its port is closed.
    pub(crate) async fn stop(&self) {
        self.aborter.abort();
        let task =
            self.task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            // An aborted task returns a cancellation error.
            let _ = task.await;
        }
    }

    /// Stops the listener and reopens it at the same address.
    pub(crate) async fn restart(&self) -> io::Result<()> {
        self.stop().await;
        self.serve().await.map(drop)
    }

    async fn serve(&self) -> io::Result<SocketAddr> {
        let listener = bind(self.address).await?;
        let address = listener.local_addr()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        // salvo's fuse closes idle connections, which clients keep in their
        // connection pools.
        let server = Server::new(acceptor).disable_fuse();
        let router = self.router.clone();
        // Aborting the task drops this future and with it all connections.
        let task = tokio::spawn(async move {
            if let Err(error) = server.try_serve(router).await {
                log::warn!("standins: listener {address} failed: {error}");
            }
        });
        self.aborter.set(task.abort_handle());
        *self.task.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
        Ok(address)
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.aborter.abort();
    }
}

async fn bind(address: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let mut retries = 0;
    loop {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        // Accepted sockets inherit the option. Without it, each token waits
        // for the acknowledgement of the previous one.
        socket.set_nodelay(true)?;
        match socket.bind(address) {
            Ok(()) => return socket.listen(LISTEN_BACKLOG_CONNECTIONS),
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse
                    && retries < MAX_BIND_RETRIES =>
            {
                retries += 1;
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            Err(error) => return Err(error),
        }
    }
}
