//! Tells the end of an answer from the end of its server.
//!
//! An answer without a length or chunks ends with its connection. When the
//! process of its server exits, the kernel closes the connection in the same
//! way. The listening socket is closed with it, so a new connection to the
//! same address is refused.

use briarladder_core::fleet::server::{ListedServer, ServerState};
use tokio::time::timeout_at;

use super::outgoing::OutgoingRequest;

/// The cause in the log of an answer whose server has exited.
pub const SERVER_EXITED_CAUSE: &str =
    "the connection ended with the server's process";

impl OutgoingRequest {
    /// Returns whether a server that has just ended an answer by closing the
    /// connection has exited. A connection that is opened to find out stays in
    /// the pool in place of the closed one.
    ///
    /// A server that drains or is no longer listed may finish its last answers
    /// after it has closed its listening socket, so nothing can be concluded.
    pub async fn server_has_exited(&self, server: &ListedServer) -> bool {
        let deadline = self.accepted.deadline.into();
        if !self.is_listed(server) {
            return false;
        }
        let probe = self.gateway.pool.is_refused(server.address);
        let is_refused = timeout_at(deadline, probe).await.unwrap_or(false);
        // Its entry may have changed meanwhile.
        let has_exited = is_refused && self.is_listed(server);
        if has_exited {
            log::info!(
                "dispatch: id={} server={} outcome=exited_at_end_of_answer",
                self.accepted.caller.attempt,
                server.name
            );
        }
        has_exited
    }

    /// Returns whether a server is still listed as ready.
    fn is_listed(&self, server: &ListedServer) -> bool {
        let servers = self.gateway.blackboard.servers.borrow();
        servers.get(&server.name).is_some_and(|listed| {
            listed.state == ServerState::Ready
                && listed.address == server.address
        })
    }
}
