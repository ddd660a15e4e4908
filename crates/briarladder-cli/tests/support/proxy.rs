//! A TCP proxy that can block traffic to simulate a network partition.
//!
//! Data sent while the link is blocked is delivered when it reopens, as after
//! a partition shorter than the TCP timeout.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinSet,
};

/// The size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Whether a link forwards traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Data and connection closures are forwarded.
    Open,
    /// Data and connection closures are delayed until the link reopens.
    Blocked,
}

/// A listener that forwards connections to a target. Dropping it closes all
/// connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    link: Arc<watch::Sender<LinkState>>,
    _task: JoinSet<()>,
}

impl Proxy {
    /// Starts a proxy whose target is set later; connections wait until then.
    pub async fn start() -> io::Result<Proxy> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let target = watch::Sender::new(None);
        let link = Arc::new(watch::Sender::new(LinkState::Open));
        let mut task = JoinSet::new();
        task.spawn(accept(listener, target.subscribe(), Arc::clone(&link)));
        Ok(Proxy { address, target, link, _task: task })
    }

    /// Starts a proxy for a target.
    pub async fn start_to(target: SocketAddr) -> io::Result<Proxy> {
        let proxy = Proxy::start().await?;
        proxy.set_target(target);
        Ok(proxy)
    }

    /// Returns the proxy's listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Opens or blocks the link, including for established connections.
    pub fn set_state(&self, link: LinkState) {
        self.link.send_replace(link);
    }
}

async fn accept(
    listener: TcpListener,
    target: watch::Receiver<Option<SocketAddr>>,
    link: Arc<watch::Sender<LinkState>>,
) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let mut target = target.clone();
        let link = link.subscribe();
        connections.spawn(async move {
            let target = target.wait_for(Option::is_some).await;
            let target = target.ok().and_then(|target| *target);
            if let Some(target) = target {
                connect(stream, target, link).await;
            }
        });
    }
}

async fn connect(
    downstream: TcpStream,
    target: SocketAddr,
    mut link: watch::Receiver<LinkState>,
) {
    if link.wait_for(|link| *link == LinkState::Open).await.is_err() {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    // With Nagle's algorithm, each token would wait for the acknowledgement
    // of the previous one.
    if downstream.set_nodelay(true).and(upstream.set_nodelay(true)).is_err() {
        return;
    }
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    tokio::join!(
        relay(downstream_read, upstream_write, link.clone()),
        relay(upstream_read, downstream_write, link),
    );
}

async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        if link.wait_for(|link| *link == LinkState::Open).await.is_err() {
            return;
        }
        match read {
            Ok(0) | Err(_) => return,
            Ok(len) if to.write_all(&buffer[..len]).await.is_err() => return,
            Ok(_) => {}
        }
    }
}
