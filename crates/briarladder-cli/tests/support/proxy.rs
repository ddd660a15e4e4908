//! A TCP link that can be held, as in a partition.
//!
//! What was sent while the link was held arrives when it is open again, as
//! after a partition that TCP outlives.

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

/// The bytes that are passed on at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Whether bytes pass a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    /// Bytes pass.
    Open,
    /// Bytes and the ends of connections wait.
    Held,
}

/// A listener that passes connections on to a target. Dropping it closes
/// them.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    link: Arc<watch::Sender<Link>>,
    _task: JoinSet<()>,
}

impl Proxy {
    /// Starts a link whose target is not known yet.
    pub async fn start() -> io::Result<Proxy> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let target = watch::Sender::new(None);
        let link = Arc::new(watch::Sender::new(Link::Open));
        let mut task = JoinSet::new();
        task.spawn(accept(listener, target.subscribe(), Arc::clone(&link)));
        Ok(Proxy { address, target, link, _task: task })
    }

    /// Starts a link to a target.
    pub async fn start_to(target: SocketAddr) -> io::Result<Proxy> {
        let proxy = Proxy::start().await?;
        proxy.set_target(target);
        Ok(proxy)
    }

    /// Returns where to connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where new connections lead.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Opens or holds the link, also for connections that are open.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn accept(
    listener: TcpListener,
    target: watch::Receiver<Option<SocketAddr>>,
    link: Arc<watch::Sender<Link>>,
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
    near: TcpStream,
    target: SocketAddr,
    mut link: watch::Receiver<Link>,
) {
    if link.wait_for(|link| *link == Link::Open).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return };
    // Without this a token waits for the acknowledgement of the one before.
    if near.set_nodelay(true).and(far.set_nodelay(true)).is_err() {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        pass(near_read, far_write, link.clone()),
        pass(far_read, near_write, link),
    );
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        if link.wait_for(|link| *link == Link::Open).await.is_err() {
            return;
        }
        match read {
            Ok(0) | Err(_) => return,
            Ok(len) if to.write_all(&buffer[..len]).await.is_err() => return,
            Ok(_) => {}
        }
    }
}
