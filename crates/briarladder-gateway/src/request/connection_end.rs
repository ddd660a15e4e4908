//! Tells the end of an answer from the end of its server.
//!
//! An answer without a length or chunks ends with its connection. When the
//! process of its server exits, the kernel closes the connection in the same
//! way. The listening socket is closed with it, so a new connection to the
//! same address is refused.

use briarladder_core::fleet::server::{ListedServer, ServerState};
use tokio::time::timeout_at;

use super::{framing::Framing, outgoing::OutgoingRequest};

/// The cause in the log of an answer whose server has exited.
pub const SERVER_EXITED_CAUSE: &str =
    "the connection ended with the server's process";

/// What the list of servers says of the process that has sent an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Listing {
    /// It takes new work.
    Ready,
    /// Another process has started under its name.
    Restarted,
    /// It drains or is no longer listed. It may finish its last answers after
    /// it has closed its listening socket.
    Leaving,
}

impl OutgoingRequest {
    /// Returns whether an answer that has just ended may be cut off because its
    /// server has exited. A connection that is opened to find out stays in the
    /// pool in place of the closed one.
    pub async fn ended_by_exit(
        &self,
        server: &ListedServer,
        framing: Framing,
    ) -> bool {
        framing == Framing::ConnectionClose && self.has_exited(server).await
    }

    async fn has_exited(&self, server: &ListedServer) -> bool {
        let deadline = self.accepted.deadline.into();
        let has_exited = match self.listing(server) {
            Listing::Leaving => false,
            Listing::Restarted => true,
            Listing::Ready => {
                let probe = self.gateway.pool.is_refused(server.address);
                let is_refused = timeout_at(deadline, probe).await;
                // Its entry may have changed meanwhile.
                is_refused.unwrap_or(false)
                    && self.listing(server) != Listing::Leaving
            }
        };
        if has_exited {
            log::info!(
                "dispatch: id={} server={} outcome=exited_at_end_of_answer",
                self.accepted.caller.attempt,
                server.name
            );
        }
        has_exited
    }

    fn listing(&self, server: &ListedServer) -> Listing {
        let servers = self.gateway.blackboard.servers.borrow();
        match servers.get(&server.name) {
            Some(listed) if listed.state == ServerState::Draining => {
                Listing::Leaving
            }
            Some(listed) => {
                // Zero means that the start time is not known.
                let is_known = listed.born_ms > 0 && server.born_ms > 0;
                if is_known && listed.born_ms != server.born_ms {
                    Listing::Restarted
                } else {
                    Listing::Ready
                }
            }
            None => Listing::Leaving,
        }
    }
}
