//! Detects the loss of a daemon that requests wait for.
//!
//! A VM that lost power or is partitioned sends no reset, and TCP keepalive
//! takes seconds to notice. While requests wait for a daemon, it is therefore
//! pinged several times a second.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use briarladder_core::sorted::SortedMap;
use tokio::sync::Notify;

use super::{
    client::PeerClient,
    messages::{Ack, PING_PATH, Ping},
};

/// Interval between pings.
const PING_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a ping, many round trips between regions.
const PING_TIMEOUT: Duration = Duration::from_millis(350);

/// Consecutive missed pings after which a daemon counts as lost.
const MAX_MISSED_PINGS: u32 = 2;

/// Pings the daemons that requests wait for.
#[derive(Debug, Default)]
pub struct Watchdog {
    watched: RefCell<SortedMap<SocketAddr, Rc<WatchedPeer>>>,
}

#[derive(Debug, Default)]
struct WatchedPeer {
    waiters: Cell<usize>,
    lost: Notify,
}

/// Counts a request that waits for a daemon.
struct WaitGuard {
    watched: Rc<WatchedPeer>,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.watched.waiters.set(self.watched.waiters.get() - 1);
    }
}

impl Watchdog {
    /// Waits until a daemon is lost. The daemon is pinged until the future is
    /// dropped.
    pub async fn wait_until_lost(
        &self,
        peers: &PeerClient,
        address: SocketAddr,
    ) {
        let watched = Rc::clone(
            self.watched.borrow_mut().get_or_insert_with(address, Rc::default),
        );
        let idle = watched.waiters.get() == 0;
        watched.waiters.set(watched.waiters.get() + 1);
        let guard = WaitGuard { watched: Rc::clone(&watched) };
        if idle {
            let watch = watch(peers.clone(), address, watched);
            tokio::task::spawn_local(watch);
        }
        guard.watched.lost.notified().await;
    }
}

/// Pings a daemon while requests wait for it.
async fn watch(
    peers: PeerClient,
    address: SocketAddr,
    watched: Rc<WatchedPeer>,
) {
    let mut misses = 0;
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        if watched.waiters.get() == 0 {
            return;
        }
        let response: Result<Ack, _> =
            peers.call(address, PING_PATH, &Ping {}, PING_TIMEOUT).await;
        match response {
            Ok(_) => misses = 0,
            Err(error) => {
                misses += 1;
                log::debug!("watchdog: misses={misses} {error}");
            }
        }
        if misses >= MAX_MISSED_PINGS {
            log::info!("watchdog: peer={address} outcome=lost");
            misses = 0;
            watched.lost.notify_waiters();
        }
    }
}
