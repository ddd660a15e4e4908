//! TCP sockets that detect an unresponsive peer.
//!
//! No reset arrives after a network partition, a power loss or a middlebox
//! that lost its connection state. Each socket therefore enables keepalive
//! probes and limits how long sent bytes may stay unacknowledged.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// A connection is closed when sent bytes stay unacknowledged for this long.
/// A peer that falls silent for a second or two and goes on is sent them again
/// within this time.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3500);

/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);

/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection is closed. Linux closes it
/// after the first one that is sent later than [`UNACKNOWLEDGED_TIMEOUT`]
/// allows, whatever their number, so the two have to agree.
const KEEPALIVE_PROBES: u32 = 3;

/// Connections that wait to be accepted. A full queue drops the SYN, and the
/// client retransmits it only after a second.
const ACCEPT_BACKLOG: i32 = 1024;

/// Timeout for opening a connection. A lost SYN is retransmitted only after a
/// second, so another server is tried before that.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Binds a listening socket to an address.
///
/// # Errors
///
/// If the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    // Allows a restarted process to bind while old connections are in
    // TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets the socket options of an accepted or opened connection.
///
/// # Errors
///
/// If the kernel rejects an option.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Opens a connection.
///
/// # Errors
///
/// If it is refused, or not established within [`CONNECT_TIMEOUT`].
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

#[cfg(test)]
mod tests;
