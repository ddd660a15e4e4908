//! Tells the end of an answer from the end of its server.
//!
//! An answer without a length or chunks ends with its connection. When the
//! process of its server exits, the kernel closes the connection in the same
//! way, so the end of the connection alone proves nothing. A server takes
//! connections until it exits, also while it drains. One that accepts another
//! connection after the end of its answer was still running at that end;
//! otherwise the answer may be cut off.
//!
//! A server may answer while the request is still on its way. One that ends the
//! connection before it has received the whole request has given up, so what
//! it has sent until then does not prove success. It may still be the whole
//! text of a failure, since a server need not read what it rejects.
//!
//! A request that the server's kernel has received is not known to be read by
//! the server. If the server closes its socket without reading it, the kernel
//! sends a reset, which is noticed if it follows within a round trip; opening
//! the other connection takes as long.

use briarladder_core::fleet::server::{ListedServer, ServerState};
use derive_more::Display;
use http::StatusCode;
use tokio::time::timeout_at;

use crate::{
    pool::{ProbeResult, RequestProgress, Upload},
    server_client::RelayScope,
};

use super::{framing::Framing, outgoing::OutgoingRequest};

/// How often a server that does not respond is asked for a connection. A lost
/// packet must not make its answer look cut off.
const MAX_PROBES: u32 = 3;

/// Why an answer that has ended with its connection may be cut off.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum DoubtfulEnd {
    /// No process listens at the address of the server any more, or another
    /// one does.
    #[display("the connection ended with the server's process")]
    ServerExited,
    /// The server does not respond.
    #[display("the server does not respond after the end of the connection")]
    NoResponse,
    /// The server had not received the whole request.
    #[display("the connection ended before the request was received")]
    RequestUnfinished,
}

impl OutgoingRequest {
    /// Returns why an answer that has just ended may be cut off, or `None` if
    /// it is whole. A connection that is opened to find out stays in the pool
    /// in place of the closed one.
    pub async fn doubtful_end(
        &self,
        server: &ListedServer,
        framing: Framing,
        status: StatusCode,
        upload: &Upload,
    ) -> Option<DoubtfulEnd> {
        if framing != Framing::ConnectionClose {
            return None;
        }
        let deadline = self.accepted.deadline.into();
        let doubt =
            timeout_at(deadline, self.find_doubt(server, status, upload));
        let doubt = doubt.await;
        let doubt = doubt.unwrap_or(Some(DoubtfulEnd::NoResponse));
        if let Some(doubt) = doubt {
            log::info!(
                "dispatch: id={} server={} outcome=doubtful_end \
                 cause={doubt:?} status={} request={}",
                self.accepted.caller.attempt,
                server.name,
                status.as_u16(),
                upload.progress_at_end()
            );
        }
        doubt
    }

    async fn find_doubt(
        &self,
        server: &ListedServer,
        status: StatusCode,
        upload: &Upload,
    ) -> Option<DoubtfulEnd> {
        let is_unfinished = match upload.progress_at_end() {
            RequestProgress::Unwritten => true,
            RequestProgress::Unreceived(_) => status.is_success(),
            RequestProgress::Received | RequestProgress::Unknown => false,
        };
        if is_unfinished {
            return Some(DoubtfulEnd::RequestUnfinished);
        }
        let scope = RelayScope::Allowed(&self.accepted.allowed_regions);
        for _ in 0..MAX_PROBES {
            let servers = &self.gateway.servers;
            match servers.probe(server, scope).await {
                ProbeResult::Accepted if self.was_replaced(server) => {
                    return Some(DoubtfulEnd::ServerExited);
                }
                ProbeResult::Accepted => {
                    let is_reset = upload.was_reset();
                    return is_reset.then_some(DoubtfulEnd::RequestUnfinished);
                }
                ProbeResult::Refused => {
                    return Some(DoubtfulEnd::ServerExited);
                }
                ProbeResult::NoResponse => {}
            }
        }
        Some(DoubtfulEnd::NoResponse)
    }

    /// Returns whether another process is listed under the name of a server,
    /// or a later one at its address. Start times of zero are not known.
    fn was_replaced(&self, server: &ListedServer) -> bool {
        let servers = self.gateway.blackboard.servers.borrow();
        server.born_ms > 0
            && servers.iter().any(|listed| {
                if listed.name == server.name {
                    listed.born_ms > 0 && listed.born_ms != server.born_ms
                } else {
                    listed.address == server.address
                        && listed.born_ms > server.born_ms
                }
            })
    }

    /// Returns whether a server drains or is no longer listed. It then exits
    /// whatever it runs.
    #[must_use]
    pub fn is_leaving(&self, server: &ListedServer) -> bool {
        let servers = self.gateway.blackboard.servers.borrow();
        servers
            .get(&server.name)
            .is_none_or(|listed| listed.state == ServerState::Draining)
    }
}
