//! Connections to backend servers.
//!
//! A server that this daemon can't reach may be reachable for other daemons.
//! One of them then opens the connection and passes the bytes on, while all
//! decisions about the request stay here: a relayed connection is used like
//! any other one. See `docs/design/relayed-connections.md`.

use std::{
    cell::RefCell, fmt, io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use briarladder_core::fleet::{
    peers::Member,
    placement::Distance,
    residency::AllowedRegions,
    server::ListedServer,
    server_paths::{ConnectFailure, RelayDecline, RelayTable, ServerRoute},
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    blackboard::Blackboard,
    context::Gateway,
    metrics::{Metrics, RelayLabels},
    net::{self, CONNECT_TIMEOUT},
    pool::{
        ConnectionPool, Freshness, IdleConnection, PooledConnection,
        ProbeResult, SendError, ServerStream,
    },
    relay::{
        RelayRefusal, RelayedStream,
        client::{self, RelayError},
    },
};

/// How long a connection may take before another daemon is asked to open one,
/// which is more than a round trip between regions.
const RELAY_DELAY: Duration = Duration::from_millis(100);

/// Daemons that are asked, one after the other, to open a connection.
const MAX_ASKED_DAEMONS: usize = 4;

/// Interval at which servers that can't be reached may be probed.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The daemons that may pass on the bytes of a connection.
#[derive(Clone, Copy, Debug)]
pub enum RelayScope<'a> {
    /// Those in the regions in which a request may be served.
    Allowed(&'a AllowedRegions),
    /// Those in the region of the server if some requests are bound to
    /// regions, else all. For calls that may concern such requests.
    AnyRequest,
}

/// Counts a relayed connection as open until it is dropped.
#[derive(Debug)]
pub struct RelayGuard {
    relays: Rc<RefCell<RelayTable>>,
    daemon: Arc<str>,
    zone: Arc<str>,
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        self.relays.borrow_mut().record_closed(&self.daemon);
    }
}

/// Opens connections to servers, and sends requests on them.
pub struct ServerClient {
    pool: Rc<ConnectionPool>,
    blackboard: Rc<Blackboard>,
    metrics: Rc<Metrics>,
    relays: Rc<RefCell<RelayTable>>,
}

/// Why a server could not be reached from this daemon.
#[derive(Debug)]
struct DirectError {
    failure: ConnectFailure,
    cause: String,
    is_refused: bool,
}

impl DirectError {
    fn new(error: &io::Error) -> DirectError {
        DirectError {
            failure: ConnectFailure::of(error),
            cause: error.to_string(),
            is_refused: error.kind() == io::ErrorKind::ConnectionRefused,
        }
    }
}

/// What came of asking other daemons.
enum Relayed {
    Opened(RelayedStream, RelayGuard),
    /// Another daemon doesn't reach the server either.
    Down {
        is_refused: bool,
    },
    /// No other daemon could be asked.
    NoDaemon,
}

impl fmt::Debug for ServerClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServerClient").finish_non_exhaustive()
    }
}

impl ServerClient {
    /// Creates a client that keeps idle connections in a pool.
    #[must_use]
    pub fn new(
        pool: &Rc<ConnectionPool>,
        blackboard: &Rc<Blackboard>,
        metrics: &Rc<Metrics>,
    ) -> Rc<ServerClient> {
        Rc::new(ServerClient {
            pool: Rc::clone(pool),
            blackboard: Rc::clone(blackboard),
            metrics: Rc::clone(metrics),
            relays: Rc::default(),
        })
    }

    /// Sends a call that is no attempt of a caller.
    ///
    /// # Errors
    ///
    /// If no response arrived. The error tells whether the call may have run.
    pub async fn send(
        &self,
        server: &ListedServer,
        scope: RelayScope<'_>,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        let accepts =
            |idle: &IdleConnection| self.may_use(server, scope, idle);
        let idle = self.pool.take_idle(server.address, accepts);
        let pooled = match idle {
            Some(pooled) => pooled,
            None => self.open(server, scope).await?,
        };
        self.send_on(server, scope, pooled, request).await
    }

    /// Sends the request of an attempt and returns the response head. Idle
    /// connections on which the attempt has failed are not used. `on_connected`
    /// is called once there is a connection: before that, the request has not
    /// run.
    ///
    /// # Errors
    ///
    /// If no response arrived. The error tells whether the request may have
    /// run.
    pub async fn send_attempt(
        &self,
        server: &ListedServer,
        scope: RelayScope<'_>,
        request: Request<Full<Bytes>>,
        freshness: Freshness,
        attempt: &str,
        on_connected: impl FnOnce(),
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        let now = self.blackboard.now();
        let accepts = |idle: &IdleConnection| {
            freshness.allows(now.duration_since(idle.used_at()))
                && !idle.excludes(attempt)
                && self.may_use(server, scope, idle)
        };
        let idle = self.pool.take_idle(server.address, accepts);
        let pooled = if let Some(pooled) = idle {
            pooled
        } else {
            // The new connection replaces an excluded one, since a server
            // resets connections beyond its limit.
            if self.pool.close_excluded(server.address, attempt) {
                // Lets the task of the connection close it first.
                tokio::task::yield_now().await;
            }
            self.open(server, scope).await?
        };
        on_connected();
        self.send_on(server, scope, pooled, request).await
    }

    async fn send_on(
        &self,
        server: &ListedServer,
        scope: RelayScope<'_>,
        pooled: PooledConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        let reopen = async || self.open(server, scope).await;
        let sent = self.pool.send_on(pooled, request, reopen).await?;
        if !sent.1.is_relayed() {
            let now = self.blackboard.now();
            self.blackboard.server_paths.borrow_mut().record_answer(now);
        }
        Ok(sent)
    }

    /// Asks whether a process listens at the address of a server. A connection
    /// that is accepted becomes idle.
    pub async fn probe(
        &self,
        server: &ListedServer,
        scope: RelayScope<'_>,
    ) -> ProbeResult {
        match self.open(server, scope).await {
            Ok(connection) => {
                connection.return_to_pool(None);
                ProbeResult::Accepted
            }
            Err(error) if error.connection_refused => ProbeResult::Refused,
            Err(_) => ProbeResult::NoResponse,
        }
    }

    /// Returns whether an idle connection may be used for a request. A relayed
    /// one is used only while the server can't be reached directly.
    fn may_use(
        &self,
        server: &ListedServer,
        scope: RelayScope<'_>,
        idle: &IdleConnection,
    ) -> bool {
        let now = self.blackboard.now();
        let paths = self.blackboard.server_paths.borrow();
        match idle.relay() {
            None => paths.trusts_open(now, server, idle.used_at()),
            Some(guard) => {
                paths.is_lost(now, server)
                    && self.is_in_scope(server, scope, &guard.zone)
            }
        }
    }

    fn is_in_scope(
        &self,
        server: &ListedServer,
        scope: RelayScope<'_>,
        zone: &str,
    ) -> bool {
        let regions = &self.blackboard.regions;
        match scope {
            RelayScope::Allowed(allowed) => {
                allowed.is_any() || regions.allow(allowed, zone)
            }
            RelayScope::AnyRequest => {
                !self.blackboard.binds_regions()
                    || regions.distance(&server.zone, zone)
                        != Distance::OtherRegion
            }
        }
    }

    async fn open(
        &self,
        server: &ListedServer,
        scope: RelayScope<'_>,
    ) -> Result<PooledConnection, SendError> {
        let begun_at = self.blackboard.now();
        let deadline = Instant::from_std(begun_at) + CONNECT_TIMEOUT;
        let route =
            self.blackboard.server_paths.borrow().route(begun_at, server);
        let opened = match route {
            ServerRoute::DirectOnly => self.connect(server).await,
            ServerRoute::Direct => {
                self.connect_or_relay(server, scope, deadline).await
            }
            ServerRoute::Relay => {
                match self.relay(server, scope, deadline).await {
                    Relayed::Opened(stream, guard) => {
                        Ok((ServerStream::Relayed(stream), Some(guard)))
                    }
                    Relayed::Down { is_refused } => {
                        Err(down_error(is_refused))
                    }
                    Relayed::NoDaemon => {
                        self.connect_without_relay(server).await
                    }
                }
            }
        };
        let (stream, relay) = opened.map_err(|error| {
            SendError::connect_failed(error.cause, error.is_refused)
        })?;
        let elapsed = self.blackboard.now().duration_since(begun_at);
        self.pool.start(server.address, stream, elapsed, relay).await
    }

    /// Opens a connection from this daemon.
    async fn connect(
        &self,
        server: &ListedServer,
    ) -> Result<(ServerStream, Option<RelayGuard>), DirectError> {
        let begun_at = self.blackboard.now();
        let connected = net::connect(server.address).await;
        let now = self.blackboard.now();
        let mut paths = self.blackboard.server_paths.borrow_mut();
        match connected {
            Ok(stream) => {
                paths.record_opened(now, server);
                Ok((ServerStream::Direct(stream), None))
            }
            Err(error) => {
                let mut error = DirectError::new(&error);
                paths.record_failed(now, begun_at, server, error.failure);
                // A daemon that is cut off is refused by servers that run.
                error.is_refused &= !paths.is_suspect(now);
                Err(error)
            }
        }
    }

    /// Opens a connection from this daemon or, if that takes long or fails,
    /// through another one.
    async fn connect_or_relay(
        &self,
        server: &ListedServer,
        scope: RelayScope<'_>,
        deadline: Instant,
    ) -> Result<(ServerStream, Option<RelayGuard>), DirectError> {
        let begun_at = self.blackboard.now();
        let direct = self.connect(server);
        tokio::pin!(direct);
        let mut failed = tokio::select! {
            // A connection that was opened while the process was busy counts.
            biased;
            connected = &mut direct => match connected {
                Ok(connection) => return Ok(connection),
                Err(error) => Some(error),
            },
            () = sleep(RELAY_DELAY) => None,
        };
        let relay = self.relay(server, scope, deadline);
        tokio::pin!(relay);
        let first = if failed.is_some() {
            None
        } else {
            tokio::select! {
                biased;
                connected = &mut direct => match connected {
                    Ok(connection) => return Ok(connection),
                    Err(error) => {
                        failed = Some(error);
                        None
                    }
                },
                relayed = &mut relay => Some(relayed),
            }
        };
        let relayed = match first {
            Some(relayed) => relayed,
            None => relay.await,
        };
        let now = self.blackboard.now();
        match (relayed, failed) {
            (Relayed::Opened(stream, guard), failed) => {
                let mut paths = self.blackboard.server_paths.borrow_mut();
                if failed.is_none() {
                    let silent = ConnectFailure::Silent;
                    paths.record_failed(now, begun_at, server, silent);
                }
                paths.record_relayed(now, server);
                Ok((ServerStream::Relayed(stream), Some(guard)))
            }
            (Relayed::Down { is_refused }, Some(mut error)) => {
                // The other daemon is not known to be cut off.
                error.is_refused |= is_refused;
                let mut paths = self.blackboard.server_paths.borrow_mut();
                paths.record_down(now, server);
                Err(error)
            }
            (Relayed::NoDaemon, Some(error)) => Err(error),
            (Relayed::Down { .. } | Relayed::NoDaemon, None) => direct.await,
        }
    }

    /// Opens a connection from this daemon when no other one can. Where all
    /// daemons are cut off, a server is not tried by one request after the
    /// other: the probes find out when it is back.
    async fn connect_without_relay(
        &self,
        server: &ListedServer,
    ) -> Result<(ServerStream, Option<RelayGuard>), DirectError> {
        let now = self.blackboard.now();
        let is_hopeless = {
            let paths = self.blackboard.server_paths.borrow();
            paths.is_cut_off(now) || paths.has_failed(now, server)
        };
        if is_hopeless {
            return Err(DirectError {
                failure: ConnectFailure::Silent,
                cause: "no path to the server, and no daemon has one"
                    .to_owned(),
                is_refused: false,
            });
        }
        self.connect(server).await
    }

    /// Asks other daemons to open a connection, until one has answered for the
    /// server.
    async fn relay(
        &self,
        server: &ListedServer,
        scope: RelayScope<'_>,
        deadline: Instant,
    ) -> Relayed {
        let mut down = None;
        for _ in 0..MAX_ASKED_DAEMONS {
            let Some((daemon, address, zone)) =
                self.choose_relay(server, scope)
            else {
                break;
            };
            let asked = client::open(address, &server.name, CONNECT_TIMEOUT);
            // Boxed since it would make the futures of all requests large.
            let asked = Box::pin(asked);
            let Ok(opened) = timeout_at(deadline, asked).await else {
                self.record_declined(&daemon, RelayDecline::NoPath, "timeout");
                break;
            };
            let (decline, label) = match opened {
                Ok(stream) => {
                    self.count("opened");
                    let now = self.blackboard.now();
                    self.relays.borrow_mut().record_opened(
                        now,
                        &daemon,
                        stream.relayed_connections(),
                    );
                    let relays = Rc::clone(&self.relays);
                    let guard = RelayGuard { relays, daemon, zone };
                    let mut paths = self.blackboard.server_paths.borrow_mut();
                    paths.record_relayed(now, server);
                    return Relayed::Opened(stream, guard);
                }
                Err(RelayError::Refused(refusal)) => match refusal {
                    RelayRefusal::ServerRefused => {
                        self.count("server_refused");
                        return Relayed::Down { is_refused: true };
                    }
                    RelayRefusal::UnknownServer => {
                        self.count("unknown_server");
                        down = Some(false);
                        break;
                    }
                    RelayRefusal::ServerSilent => {
                        down = Some(false);
                        (RelayDecline::NoPath, "server_silent")
                    }
                    RelayRefusal::CutOff => (RelayDecline::NoPath, "cut_off"),
                    RelayRefusal::Full => (RelayDecline::Full, "full"),
                    RelayRefusal::Stopping => {
                        (RelayDecline::Unavailable, "stopping")
                    }
                },
                Err(RelayError::PeerUnreachable(_)) => {
                    (RelayDecline::NoPath, "unreachable")
                }
                Err(RelayError::NotSupported) => {
                    (RelayDecline::Unavailable, "not_supported")
                }
            };
            self.record_declined(&daemon, decline, label);
        }
        down.map_or(Relayed::NoDaemon, |is_refused| Relayed::Down {
            is_refused,
        })
    }

    fn choose_relay(
        &self,
        server: &ListedServer,
        scope: RelayScope<'_>,
    ) -> Option<(Arc<str>, SocketAddr, Arc<str>)> {
        let now = self.blackboard.now();
        let peers = self.blackboard.peers.borrow();
        let members = peers
            .live_peers(now)
            .filter(|member| self.is_in_scope(server, scope, &member.zone));
        let distance = |member: &Member| {
            let own = &self.blackboard.zone;
            self.blackboard.regions.distance(own, &member.zone)
        };
        let relays = self.relays.borrow();
        let chosen = relays.choose(now, members, distance, rand::random())?;
        let daemon = Arc::clone(&chosen.name);
        Some((daemon, chosen.address, Arc::clone(&chosen.zone)))
    }

    fn record_declined(
        &self,
        daemon: &Arc<str>,
        reason: RelayDecline,
        label: &'static str,
    ) {
        self.count(label);
        log::debug!("relay: daemon={daemon} outcome={label}");
        let now = self.blackboard.now();
        self.relays.borrow_mut().record_declined(now, daemon, reason);
    }

    fn count(&self, outcome: &'static str) {
        self.metrics
            .relay
            .requested
            .get_or_create(&RelayLabels { outcome: outcome.to_owned() })
            .inc();
    }
}

fn down_error(is_refused: bool) -> DirectError {
    DirectError {
        failure: ConnectFailure::Silent,
        cause: "another daemon doesn't reach the server either".to_owned(),
        is_refused,
    }
}

/// Probes servers that can't be reached, and logs when this daemon loses its
/// paths to the servers or gets them back. Never returns.
pub async fn run_probes(gateway: Rc<Gateway>) {
    let client = &gateway.servers;
    let blackboard = &gateway.blackboard;
    let mut was_cut_off = false;
    loop {
        sleep(PROBE_CHECK_INTERVAL).await;
        let now = blackboard.now();
        let (probe, is_cut_off) = {
            let mut paths = blackboard.server_paths.borrow_mut();
            let servers = blackboard.servers.borrow();
            paths.update(now, &servers);
            let probe = paths.next_probe(now, &servers);
            (probe, paths.is_cut_off(now))
        };
        if is_cut_off != was_cut_off {
            let event = if is_cut_off { "cut_off" } else { "reached" };
            log::info!("servers: event={event}");
            client.metrics.relay.cut_off.set(i64::from(is_cut_off));
            gateway.relay_server.set_reaches_servers(!is_cut_off);
            was_cut_off = is_cut_off;
        }
        let Some(server) = probe else { continue };
        let client = Rc::clone(client);
        tokio::task::spawn_local(async move {
            if let Ok((stream, relay)) = client.connect(&server).await {
                let pool = &client.pool;
                let elapsed = Duration::ZERO;
                let started =
                    pool.start(server.address, stream, elapsed, relay).await;
                if let Ok(connection) = started {
                    connection.return_to_pool(None);
                }
            }
        });
    }
}
