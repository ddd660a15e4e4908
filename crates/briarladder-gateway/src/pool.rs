//! A pool of HTTP connections to backend servers, peers and the store.
//!
//! Whether a request may be retried depends on one connection: whether it was
//! used before, whether a byte was sent, and whether the response ended. A
//! [`PooledConnection`] is one connection in use; dropping it closes the
//! connection, which cancels the request.
//!
//! An attempt doesn't return to a connection on which it has failed, since
//! the next answer there may be a copy of the one before
//! ([`excluded_attempts`]). A connection whose request isn't written to its
//! end is not used again, and the end of such a connection isn't the end of an
//! answer; nor is an end before the server's kernel has received the request
//! ([`upload`], [`crate::send_queue`]).

mod excluded_attempts;
mod server_stream;
mod status;
mod upload;

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use briarladder_core::{
    clock::SharedClock, retry::AttemptFailure, sorted::SortedMap,
};
use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    task::AbortHandle,
};

use crate::{
    fair_stream::FairStream, net, send_queue::SendQueues,
    server_client::RelayGuard,
};

use self::{
    excluded_attempts::{AttemptHash, ExcludedAttempts},
    upload::UploadStream,
};

pub use server_stream::ServerStream;
pub use upload::{RequestProgress, Upload};

/// Idle timeout of a connection whose peer announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The percentage of a peer's announced idle timeout for which a connection is
/// reused. A request that arrives while the peer closes the connection may
/// have been read.
const IDLE_TIMEOUT_PERCENT: u32 = 60;

/// The longest response head. A faulty server may send an endless head.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Idle connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// How recently a reused connection must have been active.
#[derive(Clone, Copy, Debug)]
pub enum Freshness {
    /// Any idle connection, for requests that may be retried.
    Any,
    /// Only a connection that was used within this time, or a new one.
    UsedWithin(Duration),
}

impl Freshness {
    /// Returns whether a connection may be used that has been idle for a time.
    pub(crate) fn allows(self, idle_time: Duration) -> bool {
        match self {
            Freshness::Any => true,
            Freshness::UsedWithin(limit) => idle_time <= limit,
        }
    }
}

/// The result of [`ConnectionPool::probe`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// A connection was opened.
    Accepted,
    /// No process listens at the address.
    Refused,
    /// There was no answer in time, or another error.
    NoResponse,
}

/// A request that got no response.
#[derive(Debug, Display, Error)]
#[display("{failure}: {cause}")]
pub struct SendError {
    /// The kind of failure, which tells whether the request may have run.
    pub failure: AttemptFailure,
    /// The error of the connection as text.
    pub cause: String,
    /// Whether the connection was refused: no process listens at the address.
    pub connection_refused: bool,
}

impl SendError {
    /// Creates the error of a connection that could not be opened.
    pub(crate) fn connect_failed(
        cause: String,
        connection_refused: bool,
    ) -> SendError {
        let failure = AttemptFailure::ConnectFailed;
        SendError { failure, cause, connection_refused }
    }

    fn new(failure: AttemptFailure, cause: String) -> SendError {
        SendError { failure, cause, connection_refused: false }
    }
}

/// The task that drives a connection; dropping it closes the connection.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Connection {
    /// Its position in the order in which the process opened connections.
    number: u64,
    sender: SendRequest<Full<Bytes>>,
    excluded_attempts: ExcludedAttempts,
    upload: Rc<Upload>,
    /// The daemon that passes the bytes on, if there is one.
    relay: Option<RelayGuard>,
    _task: ConnectionTask,
}

impl Connection {
    /// Keeps the connection open until the rest of its request is written,
    /// since the server may read it after it has answered.
    async fn finish_upload(self, timeout: Duration) {
        // The connection is closed in either case.
        let _ = tokio::time::timeout(timeout, self.upload.written()).await;
    }
}

/// Identifies a connection in logs.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{} connection {number}", if *reused { "reused" } else { "new" })]
pub struct ConnectionLabel {
    number: u64,
    reused: bool,
}

/// A connection without a request.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    connection: Connection,
    since: Instant,
    timeout: Duration,
}

impl IdleConnection {
    /// Returns when the last request on the connection ended.
    pub(crate) fn used_at(&self) -> Instant {
        self.since
    }

    /// Returns the daemon that passes the bytes on, if there is one.
    pub(crate) fn relay(&self) -> Option<&RelayGuard> {
        self.connection.relay.as_ref()
    }

    /// Returns whether an attempt may not use the connection again.
    pub(crate) fn excludes(&self, attempt: &str) -> bool {
        self.connection.excluded_attempts.contains(AttemptHash::of(attempt))
    }
}

/// The idle connections of the process by address.
#[derive(Debug)]
pub struct ConnectionPool {
    clock: SharedClock,
    idle: RefCell<SortedMap<SocketAddr, Vec<IdleConnection>>>,
    opened_count: Cell<u64>,
    send_queues: Rc<SendQueues>,
}

/// A connection in use. Dropping it closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Rc<ConnectionPool>,
    address: SocketAddr,
    connection: Connection,
    connect_time: Option<Duration>,
}

impl PooledConnection {
    /// Returns how long it took to open the connection, or `None` if it was
    /// reused.
    #[must_use]
    pub fn connect_time(&self) -> Option<Duration> {
        self.connect_time
    }

    /// Returns how long it took to open the connection from this daemon, or
    /// `None` if it was reused or is relayed.
    #[must_use]
    pub fn direct_connect_time(&self) -> Option<Duration> {
        self.connect_time.filter(|_| !self.is_relayed())
    }

    /// Returns whether another daemon passes the bytes on.
    #[must_use]
    pub fn is_relayed(&self) -> bool {
        self.connection.relay.is_some()
    }

    /// Returns how logs name the connection.
    #[must_use]
    pub fn label(&self) -> ConnectionLabel {
        ConnectionLabel {
            number: self.connection.number,
            reused: self.connect_time.is_none(),
        }
    }

    /// Excludes an attempt from using the connection again. Call it when the
    /// attempt has failed on this connection and may be sent again.
    pub fn exclude_attempt(&mut self, attempt: &str) {
        self.connection.excluded_attempts.insert(AttemptHash::of(attempt));
    }

    /// Returns what is known of the request on the connection.
    #[must_use]
    pub fn upload(&self) -> Rc<Upload> {
        Rc::clone(&self.connection.upload)
    }

    /// Returns the connection to the pool. Call it only after the response
    /// body was read to its end. `idle_timeout` is the peer's announced
    /// timeout. A connection whose request isn't written yet does not return:
    /// it is closed once the request is written.
    pub fn return_to_pool(self, idle_timeout: Option<Duration>) {
        let PooledConnection { pool, address, connection, .. } = self;
        let is_full = connection.excluded_attempts.is_full();
        if is_full || connection.sender.is_closed() {
            return;
        }
        let since = pool.clock.now();
        let timeout = idle_timeout
            .map_or(DEFAULT_IDLE_TIMEOUT, |t| t * IDLE_TIMEOUT_PERCENT / 100);
        if connection.upload.is_pending() {
            tokio::task::spawn_local(connection.finish_upload(timeout));
            return;
        }
        let mut idle = pool.idle.borrow_mut();
        let list = idle.get_or_insert_with(address, Vec::new);
        list.push(IdleConnection { connection, since, timeout });
        if list.len() > MAX_IDLE_PER_ADDRESS {
            list.remove(0);
        }
    }
}

impl ConnectionPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(clock: SharedClock) -> Rc<ConnectionPool> {
        Rc::new(ConnectionPool {
            clock,
            idle: RefCell::new(SortedMap::new()),
            opened_count: Cell::new(0),
            send_queues: Rc::default(),
        })
    }

    /// Closes all idle connections, for example after a suspension during
    /// which peers may have closed them.
    pub fn clear(&self) {
        *self.idle.borrow_mut() = SortedMap::new();
    }

    /// Closes connections whose idle timeout has passed.
    pub fn evict_expired(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| is_usable(idle, now));
            !list.is_empty()
        });
    }

    /// Sends a call to another daemon or the store, on any idle connection or a
    /// new one.
    ///
    /// # Errors
    ///
    /// If no response arrived. The error tells whether the call may have run.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        let pooled = match self.take_idle(address, |_| true) {
            Some(pooled) => pooled,
            None => self.open(address).await?,
        };
        let reopen = async || self.open(address).await;
        self.send_on(pooled, request, reopen).await
    }

    /// Sends a request on a connection and returns the response head. If a
    /// reused connection turns out to be closed before a byte was sent, the
    /// request is sent once more on a new connection.
    ///
    /// # Errors
    ///
    /// If no response arrived. The error tells whether the request may have
    /// run.
    pub(crate) async fn send_on(
        &self,
        mut pooled: PooledConnection,
        request: Request<Full<Bytes>>,
        reopen: impl AsyncFn() -> Result<PooledConnection, SendError>,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        let mut request = request;
        loop {
            match pooled.connection.sender.try_send_request(request).await {
                Ok(response) => {
                    return match status::check(response.status()) {
                        Ok(()) => Ok((response, pooled)),
                        Err(error) => Err(error.into()),
                    };
                }
                Err(mut error) => {
                    let cause = error.error().to_string();
                    let Some(unsent) = error.take_message() else {
                        let failure = AttemptFailure::ConnectionLost;
                        return Err(SendError::new(failure, cause));
                    };
                    if pooled.connect_time.is_some() {
                        let failure = AttemptFailure::ConnectFailed;
                        return Err(SendError::new(failure, cause));
                    }
                    request = unsent;
                    pooled = reopen().await?;
                }
            }
        }
    }

    /// Takes the idle connection to an address that was used last, of those
    /// that are accepted.
    pub(crate) fn take_idle(
        self: &Rc<Self>,
        address: SocketAddr,
        accepts: impl Fn(&IdleConnection) -> bool,
    ) -> Option<PooledConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        list.retain(|idle| is_usable(idle, now));
        let position = list.iter().rposition(accepts)?;
        Some(PooledConnection {
            pool: Rc::clone(self),
            address,
            connection: list.remove(position).connection,
            connect_time: None,
        })
    }

    /// Closes an idle connection to an address that an attempt is excluded
    /// from, and returns whether there was one.
    pub(crate) fn close_excluded(
        &self,
        address: SocketAddr,
        attempt: &str,
    ) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(list) = idle.get_mut(&address) else { return false };
        let position = list.iter().position(|idle| idle.excludes(attempt));
        position.map(|position| list.remove(position)).is_some()
    }

    async fn open(
        self: &Rc<Self>,
        address: SocketAddr,
    ) -> Result<PooledConnection, SendError> {
        let started_at = self.clock.now();
        let stream = net::connect(address).await.map_err(|error| {
            let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
            SendError::connect_failed(error.to_string(), is_refused)
        })?;
        let connect_time = self.clock.now().duration_since(started_at);
        let stream = ServerStream::Direct(stream);
        self.start(address, stream, connect_time, None).await
    }

    /// Starts HTTP on a stream that was just opened to the server at an
    /// address.
    pub(crate) async fn start(
        self: &Rc<Self>,
        address: SocketAddr,
        stream: ServerStream,
        connect_time: Duration,
        relay: Option<RelayGuard>,
    ) -> Result<PooledConnection, SendError> {
        let stream = UploadStream::new(stream, &self.send_queues);
        let upload = stream.upload();
        let handshake = handshake(stream).await;
        let (sender, connection) = handshake.map_err(|error| {
            let failure = AttemptFailure::ConnectFailed;
            SendError::new(failure, error.to_string())
        })?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("pool: connection to {address} closed: {error}");
            }
        });
        let task = ConnectionTask(task.abort_handle());
        let number = self.opened_count.get() + 1;
        self.opened_count.set(number);
        Ok(PooledConnection {
            pool: Rc::clone(self),
            address,
            connection: Connection {
                number,
                sender,
                excluded_attempts: ExcludedAttempts::default(),
                upload,
                relay,
                _task: task,
            },
            connect_time: Some(connect_time),
        })
    }
}

/// The future that drives a connection over a stream.
type Http1Connection<S> =
    http1::Connection<TokioIo<FairStream<S>>, Full<Bytes>>;

/// Starts HTTP on a stream.
async fn handshake<S>(
    stream: S,
) -> hyper::Result<(SendRequest<Full<Bytes>>, Http1Connection<S>)>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let stream = TokioIo::new(FairStream::new(stream));
    http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream).await
}

fn is_usable(idle: &IdleConnection, now: Instant) -> bool {
    let sender = &idle.connection.sender;
    sender.is_ready()
        && !sender.is_closed()
        && now.duration_since(idle.since) < idle.timeout
}

#[cfg(test)]
mod tests;
