//! Asks the kernel how much of what was sent is not acknowledged.
//!
//! The bytes of a request that the server's kernel has not received stay in
//! the send queue of the connection. Linux tells the length of the queue of one
//! connection over a netlink socket (`sock_diag(7)`), which needs no
//! privileges. Where there is no such socket, nothing is known.

use std::{
    cell::{Cell, OnceCell},
    io,
    net::SocketAddr,
    os::fd::OwnedFd,
};

use netlink_packet_core::{NLM_F_REQUEST, NetlinkMessage, NetlinkPayload};
use netlink_packet_sock_diag::{
    AF_INET, AF_INET6, IPPROTO_TCP, SockDiagMessage,
    inet::{ExtensionFlags, InetRequest, SocketId, StateFlags},
};
use rustix::net::{
    AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType, netlink,
    recv, send, socket_with,
};
use tokio::net::TcpStream;

/// The size of a reply, which has a header of 88 bytes and a few attributes.
const MAX_REPLY_BYTES: usize = 1024;

/// A socket cookie that matches any connection with the given addresses.
const ANY_COOKIE: [u8; 8] = [0xff; 8];

/// The send queues of the connections of this process.
#[derive(Debug, Default)]
pub(crate) struct SendQueues {
    /// The netlink socket, or `None` if there is none on this system.
    socket: OnceCell<Option<OwnedFd>>,
    last_sequence: Cell<u32>,
}

impl SendQueues {
    /// Returns how many of the bytes that were written on a connection its
    /// peer has not acknowledged, or `None` if the kernel doesn't tell.
    pub(crate) fn unacknowledged_bytes(
        &self,
        stream: &TcpStream,
    ) -> Option<u32> {
        let socket = self.socket.get_or_init(open).as_ref()?;
        let sequence = self.last_sequence.get().wrapping_add(1);
        self.last_sequence.set(sequence);
        let queried = query(socket, sequence, stream);
        let queried = queried.inspect_err(|error| {
            log::debug!(
                "pool: the kernel does not tell a send queue: {error}"
            );
        });
        queried.ok()
    }
}

/// Opens a netlink socket for questions on sockets.
fn open() -> Option<OwnedFd> {
    let opened = socket_with(
        AddressFamily::NETLINK,
        SocketType::RAW,
        SocketFlags::CLOEXEC | SocketFlags::NONBLOCK,
        Some(netlink::SOCK_DIAG),
    );
    let opened = opened.inspect_err(|error| {
        log::warn!(
            "pool: send_queues=unknown cause={error}; a part of an answer \
             without a length that ends before its request was received may \
             count as whole"
        );
    });
    opened.ok()
}

fn query(
    socket: &OwnedFd,
    sequence: u32,
    stream: &TcpStream,
) -> io::Result<u32> {
    let request = request(sequence, stream.local_addr()?, stream.peer_addr()?);
    send(socket, &request, SendFlags::empty())?;
    let mut reply = [0; MAX_REPLY_BYTES];
    loop {
        // The kernel replies before the call above returns.
        let (_, len) = recv(socket, &mut reply[..], RecvFlags::empty())?;
        let reply = NetlinkMessage::<SockDiagMessage>::deserialize(
            &reply[..len.min(MAX_REPLY_BYTES)],
        );
        let reply = reply.map_err(io::Error::other)?;
        if reply.header.sequence_number != sequence {
            continue;
        }
        return match reply.payload {
            NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(
                response,
            )) => Ok(response.header.send_queue),
            NetlinkPayload::Error(error) => Err(error.to_io()),
            _ => Err(io::Error::other("an unexpected reply")),
        };
    }
}

/// Returns the question for the connection between two addresses.
fn request(sequence: u32, local: SocketAddr, peer: SocketAddr) -> Vec<u8> {
    let (family, interface_id) = match local {
        SocketAddr::V4(_) => (AF_INET, 0),
        SocketAddr::V6(local) => (AF_INET6, local.scope_id()),
    };
    let message = SockDiagMessage::InetRequest(InetRequest {
        family,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id: SocketId {
            source_port: local.port(),
            destination_port: peer.port(),
            source_address: local.ip(),
            destination_address: peer.ip(),
            interface_id,
            cookie: ANY_COOKIE,
        },
    });
    let mut message = NetlinkMessage::from(message);
    message.header.flags = NLM_F_REQUEST;
    message.header.sequence_number = sequence;
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}

#[cfg(test)]
mod tests;
