//! Opens connections to servers for other daemons.

use std::{cell::Cell, fmt, io, rc::Rc, sync::Arc};

use briarladder_core::fleet::server_paths::ConnectFailure;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    upgrade::{self, OnUpgrade},
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{
    blackboard::Blackboard,
    bounded_body::read_body,
    metrics::{Metrics, RelayLabels},
    net,
    send_queue::SendQueues,
};

use super::{
    RELAY_PROTOCOL, RELAYED_CONNECTIONS_HEADER, RelayRefusal, RelayRequest,
    forwarding::Forwarding,
};

/// The longest request for a connection, which names a server.
const MAX_REQUEST_BYTES: usize = 4096;

/// The connections that this daemon relays for others.
pub struct RelayServer {
    blackboard: Rc<Blackboard>,
    metrics: Rc<Metrics>,
    send_queues: Rc<SendQueues>,
    open_connections: Cell<usize>,
    max_connections: usize,
    reaches_servers: Cell<bool>,
}

impl fmt::Debug for RelayServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayServer")
            .field("open_connections", &self.open_connections)
            .finish_non_exhaustive()
    }
}

/// A place among the connections that are relayed at once.
pub(super) struct Place(Rc<RelayServer>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.count_open(|open| open - 1);
    }
}

/// A connection to a server that no bytes were passed on yet.
struct ServerConnection {
    server: Arc<str>,
    stream: TcpStream,
    place: Place,
}

impl RelayServer {
    /// Creates the state of a daemon that relays no connections yet, and at
    /// most `max_connections` at once.
    #[must_use]
    pub fn new(
        blackboard: &Rc<Blackboard>,
        metrics: &Rc<Metrics>,
        max_connections: usize,
    ) -> Rc<RelayServer> {
        Rc::new(RelayServer {
            blackboard: Rc::clone(blackboard),
            metrics: Rc::clone(metrics),
            send_queues: Rc::default(),
            open_connections: Cell::new(0),
            max_connections,
            reaches_servers: Cell::new(true),
        })
    }

    /// Returns how many connections are relayed now.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Sets whether this daemon reaches servers itself. While it doesn't, it
    /// relays no further connections.
    pub fn set_reaches_servers(&self, reaches_servers: bool) {
        self.reaches_servers.set(reaches_servers);
    }

    /// Serves a request for a connection.
    pub(crate) async fn serve(
        self: &Rc<Self>,
        mut request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let protocol = request.headers().get(header::UPGRADE);
        if protocol.is_none_or(|protocol| protocol != RELAY_PROTOCOL) {
            return empty(StatusCode::BAD_REQUEST);
        }
        let upgrade = upgrade::on(&mut request);
        let body = read_body(request.into_body(), MAX_REQUEST_BYTES).await;
        let message = body.ok().and_then(|b| postcard::from_bytes(&b).ok());
        let Some(RelayRequest { server }) = message else {
            return empty(StatusCode::BAD_REQUEST);
        };
        match self.connect(&server).await {
            Ok(connection) => {
                let forwarding = Rc::clone(self).forward(upgrade, connection);
                tokio::task::spawn_local(forwarding);
                switching_protocols(self.open_connections())
            }
            Err(refusal) => {
                self.count(refusal.to_string());
                log::info!("relay: server={server} outcome={refusal}");
                refused(refusal)
            }
        }
    }

    /// Connects to a server, always directly, so that daemons don't ask each
    /// other in turn.
    async fn connect(
        self: &Rc<Self>,
        server: &Arc<str>,
    ) -> Result<ServerConnection, RelayRefusal> {
        if self.blackboard.shutdown().is_some() {
            return Err(RelayRefusal::Stopping);
        }
        if !self.reaches_servers.get() {
            return Err(RelayRefusal::CutOff);
        }
        let listed = self.blackboard.servers.borrow().get(server).cloned();
        let listed = listed.ok_or(RelayRefusal::UnknownServer)?;
        let begun_at = self.blackboard.now();
        let paths = &self.blackboard.server_paths;
        if paths.borrow().is_lost(begun_at, &listed) {
            return Err(RelayRefusal::CutOff);
        }
        let place = self.take_place().ok_or(RelayRefusal::Full)?;
        let connected = net::connect(listed.address).await;
        let now = self.blackboard.now();
        let mut paths = paths.borrow_mut();
        let stream = match connected {
            Ok(stream) => stream,
            Err(error) => {
                let failure = ConnectFailure::of(&error);
                paths.record_failed(now, begun_at, &listed, failure);
                return Err(match error.kind() {
                    io::ErrorKind::ConnectionRefused
                        if !paths.is_suspect(now) =>
                    {
                        RelayRefusal::ServerRefused
                    }
                    _ => RelayRefusal::ServerSilent,
                });
            }
        };
        paths.record_opened(now, &listed);
        Ok(ServerConnection { server: Arc::clone(server), stream, place })
    }

    pub(super) fn take_place(self: &Rc<Self>) -> Option<Place> {
        if self.open_connections.get() >= self.max_connections {
            return None;
        }
        self.count_open(|open| open + 1);
        Some(Place(Rc::clone(self)))
    }

    fn count_open(&self, update: impl FnOnce(usize) -> usize) {
        self.open_connections.update(update);
        let open = self.open_connections.get();
        let gauge = &self.metrics.relay.open;
        gauge.set(i64::try_from(open).unwrap_or(i64::MAX));
    }

    fn count(&self, outcome: String) {
        let labels = RelayLabels { outcome };
        self.metrics.relay.served.get_or_create(&labels).inc();
    }

    /// Passes bytes on between the daemon that asked and the server.
    async fn forward(
        self: Rc<Self>,
        upgrade: OnUpgrade,
        connection: ServerConnection,
    ) {
        let ServerConnection { server, stream, place: _place } = connection;
        let started_at = self.blackboard.now();
        let upgraded = match upgrade.await {
            Ok(upgraded) => upgraded,
            Err(error) => {
                log::info!(
                    "relay: server={server} outcome=not_taken cause={error}"
                );
                return self.count("not_taken".to_owned());
            }
        };
        let parts = upgraded.downcast::<TokioIo<TcpStream>>();
        // OK because the listener serves sockets of this type.
        let parts = parts.expect("the connection is a socket");
        let peer = parts.io.into_inner();
        let forwarding = Forwarding::new(peer, stream, &self.send_queues);
        let end = forwarding.run(parts.read_buf).await;
        self.count(end.to_string());
        let time = self.blackboard.now().duration_since(started_at);
        log::info!(
            "relay: server={server} outcome={end} to_server_bytes={} \
             to_peer_bytes={} ms={}",
            forwarding.to_server_bytes(),
            forwarding.to_peer_bytes(),
            time.as_millis()
        );
    }
}

fn switching_protocols(relayed_connections: usize) -> Response<Full<Bytes>> {
    let mut response = empty(StatusCode::SWITCHING_PROTOCOLS);
    let headers = response.headers_mut();
    let upgrade = header::HeaderValue::from_static("upgrade");
    headers.insert(header::CONNECTION, upgrade);
    let protocol = header::HeaderValue::from_static(RELAY_PROTOCOL);
    headers.insert(header::UPGRADE, protocol);
    let relayed_connections = header::HeaderValue::from(relayed_connections);
    headers.insert(RELAYED_CONNECTIONS_HEADER, relayed_connections);
    response
}

fn refused(refusal: RelayRefusal) -> Response<Full<Bytes>> {
    match postcard::to_stdvec(&refusal) {
        Ok(body) => {
            let mut response = Response::new(Full::new(Bytes::from(body)));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response
        }
        Err(error) => {
            log::error!("relay: cannot encode a refusal: {error}");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
