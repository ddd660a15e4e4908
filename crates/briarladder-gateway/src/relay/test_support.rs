//! A daemon that relays connections to one server, for tests.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use briarladder_core::{
    clock::SystemClock,
    fleet::{budget::RetryBudgetConfig, peers::Member, server::ListedServer},
    sorted::SortedMap,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::{LocalSet, spawn_local},
};

use crate::{blackboard::Blackboard, listener, settings::GatewaySettings};

use super::{RelayedStream, client, server::RelayServer};

/// The name of the server that is listed.
pub(crate) const SERVER: &str = "s-1";

/// The receive buffer of the server.
pub(crate) const WINDOW_BYTES: u32 = 16 * 1024;

/// The connections that the daemon relays at once.
pub(crate) const MAX_RELAYED_CONNECTIONS: usize = 256;

/// Time to open a connection.
pub(crate) const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a test with the tasks that it spawns.
pub(crate) async fn run<F: Future>(test: F) -> F::Output {
    LocalSet::new().run_until(test).await
}

/// A daemon that relays connections, and a server that accepts them.
pub(crate) struct RelayingDaemon {
    pub(crate) blackboard: Rc<Blackboard>,
    pub(crate) relay: Rc<RelayServer>,
    pub(crate) address: SocketAddr,
    pub(crate) server: TcpListener,
}

impl RelayingDaemon {
    pub(crate) async fn start() -> RelayingDaemon {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(WINDOW_BYTES).unwrap();
        socket.bind(local_address()).unwrap();
        let server = socket.listen(64).unwrap();
        let blackboard = blackboard();
        let listed = server.local_addr().unwrap();
        let listed = ListedServer::new(SERVER, "plans", listed);
        blackboard.servers.borrow_mut().insert(listed);
        let relay = RelayServer::new(
            &blackboard,
            &Rc::default(),
            MAX_RELAYED_CONNECTIONS,
        );
        let peers = TcpListener::bind(local_address()).await.unwrap();
        let address = peers.local_addr().unwrap();
        spawn_local(accept(peers, Rc::clone(&relay)));
        RelayingDaemon { blackboard, relay, address, server }
    }

    /// Opens a connection and returns both ends of it.
    pub(crate) async fn open(&self) -> (RelayedStream, TcpStream) {
        let relayed = client::open(self.address, SERVER, OPEN_TIMEOUT);
        let relayed = relayed.await.unwrap();
        let (server, _) = self.server.accept().await.unwrap();
        (relayed, server)
    }
}

async fn accept(peers: TcpListener, relay: Rc<RelayServer>) {
    loop {
        let (stream, _) = peers.accept().await.unwrap();
        let relay = Rc::clone(&relay);
        spawn_local(listener::serve_http(stream, move |request| {
            let relay = Rc::clone(&relay);
            async move { Ok(relay.serve(request).await) }
        }));
    }
}

/// Returns a local address with a port that the kernel chooses.
pub(crate) fn local_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn blackboard() -> Rc<Blackboard> {
    let address = local_address();
    let settings = GatewaySettings {
        vm: Arc::from("vm-1"),
        zone: Arc::from("z-1"),
        regions: SortedMap::new(),
        callers_address: address,
        readiness_address: address,
        peers_address: address,
        metrics_address: address,
        is_first_start: true,
        seeds: Vec::new(),
        store_address: address,
        max_drain_delay: None,
        max_config_delay: None,
        max_evacuation_delay: None,
        cold_start_bound: None,
        memory_bytes: None,
        max_descriptors: None,
        shutdown_grace_period: Duration::from_secs(1),
        retry_budget: RetryBudgetConfig {
            ratio: 0.0,
            window: Duration::from_secs(1),
            slack: 0.0,
        },
        extra_send_ratio: 0.0,
    };
    let member = Member::new("vm-1", "z-1", address, 1);
    Blackboard::new(Arc::new(SystemClock), &settings, member)
}
