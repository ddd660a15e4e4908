//! Connections to backend servers that another daemon opens.
//!
//! A daemon that can't open a connection to a server asks another one to do
//! so ([`client::open`]). That daemon connects to the server directly and
//! passes bytes on in both directions until one side ends
//! ([`server::RelayServer`]). It reads nothing of what it passes on: all
//! decisions about requests stay at the daemon that asked.
//!
//! What the server sends is passed on in [`frames`], so that the end of the
//! server's connection differs from a loss of either connection.

pub mod client;
mod forwarding;
mod frames;
pub mod server;
mod stream;

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

pub use stream::RelayedStream;

/// The path of a request for a relayed connection.
pub const RELAY_PATH: &str = "/relay";

/// The protocol that the connection of such a request changes to.
const RELAY_PROTOCOL: &str = "briarladder-relay";

/// The header of an answer that tells how many connections a daemon relays,
/// with the one that it has opened.
const RELAYED_CONNECTIONS_HEADER: &str = "relayed-connections";

/// Asks for a connection to a server.
#[derive(Debug, Deserialize, Serialize)]
struct RelayRequest {
    /// The name of the server, as the store lists it.
    server: Arc<str>,
}

/// Why a daemon opened no connection to a server for another one. New
/// variants belong at the end, since an older daemon doesn't know them.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize,
)]
pub enum RelayRefusal {
    /// No process listens at the address of the server.
    #[display("server_refused")]
    ServerRefused,
    /// The server did not respond in time, or there was another error.
    #[display("server_silent")]
    ServerSilent,
    /// The daemon relays as many connections as it may.
    #[display("full")]
    Full,
    /// The daemon lists no server of this name.
    #[display("unknown_server")]
    UnknownServer,
    /// The daemon does not reach servers itself.
    #[display("cut_off")]
    CutOff,
    /// The daemon is shutting down.
    #[display("stopping")]
    Stopping,
}

#[cfg(test)]
pub(crate) mod test_support;

#[cfg(test)]
mod tests;
