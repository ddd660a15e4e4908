//! Sockets that notice a peer which has gone silent.
//!
//! A cut link, a VM without power or a connection that lost its state sends no
//! reset. Each socket therefore probes an idle peer and bounds the time that
//! sent bytes stay unacknowledged.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// Sent bytes that stay unacknowledged for this long end the connection.
/// Three round trips between regions fit many times.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// An idle connection is probed after this time.
const PROBE_AFTER: Duration = Duration::from_secs(2);

/// The time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The probes that go unanswered before the connection ends.
const PROBES: u32 = 2;

/// Connections that wait to be accepted. A full queue drops the opening
/// packet, which costs its sender a second.
const BACKLOG: i32 = 1024;

/// The longest time to open a connection: a lost packet is sent again only
/// after a second, and another server is tried before that.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Listens on an address.
///
/// # Errors
///
/// If the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    // A restarted process binds while old connections still linger.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets the options of an accepted or opened connection.
///
/// # Errors
///
/// If an option is refused.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Opens a connection.
///
/// # Errors
///
/// If it is refused or takes longer than [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let opened =
        tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await;
    let stream = opened.map_err(|_| {
        io::Error::new(io::ErrorKind::TimedOut, "the connection timed out")
    })??;
    configure(&stream)?;
    Ok(stream)
}
