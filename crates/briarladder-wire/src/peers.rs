//! Messages between daemons, and from operators to a daemon, as JSON-RPC
//! over HTTP.
//!
//! Every call must contain the peer key from the daemons' settings in the
//! header [`PEER_KEY_HEADER`]; otherwise it is refused.
//!
//! # Example
//!
//! ```
//! use briarladder_wire::peers::PEER_KEY_HEADER;
//!
//! assert_eq!(PEER_KEY_HEADER, "briarladder-peer-key");
//! ```

use std::{net::SocketAddr, sync::Arc};

use briarladder_core::{
    config::{
        Announcement, Digest, ManifestId, ManifestResponse, ManifestSelector,
    },
    ids::Incarnation,
    limits::{Handover, LeaseRequest, LeaseResponse},
    membership::Heartbeat,
    poison::Notice,
    ticket::TicketId,
    timeline::HlcTimestamp,
};
use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::callers::{PipelineResponse, Problem, RequestHead, TicketStatus};

/// The header with the secret key that authenticates peers and operators.
pub const PEER_KEY_HEADER: &str = "briarladder-peer-key";

/// A ticketed call that is forwarded to the daemon that issued the ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedCall {
    /// The ticket, verified by the forwarding daemon.
    pub ticket: TicketId,
    /// The head of the request.
    pub head: RequestHead,
    /// The body of the caller's request.
    pub body: Arc<RawValue>,
}

/// The result of a forwarded call.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallResult {
    /// The call ran, with this response.
    Answered(Arc<PipelineResponse>),
    /// The call was refused or failed.
    Refused(Problem),
}

/// The response to a forwarded call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardResponse {
    /// The hybrid logical clock of the issuing daemon after the call.
    pub sent_at: HlcTimestamp,
    /// The result of the call.
    pub result: CallResult,
}

/// A probe, or the response to one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Probe {
    /// The sender's updates about itself and other members.
    pub heartbeat: Heartbeat,
    /// The epochs that the sender has.
    pub announcement: Announcement,
}

/// A request to a peer to probe another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IndirectProbe {
    /// The address of the other peer.
    pub address: SocketAddr,
    /// The probe to send to it.
    pub probe: Probe,
}

/// A request for a manifest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ManifestQuery {
    /// The requested manifest.
    pub which: ManifestSelector,
    /// The newest complete manifest that the sender has; absent if it has
    /// none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub have: Option<ManifestId>,
}

/// The response to a request for a configuration chunk.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkResponse {
    /// The chunk; absent if the peer does not have it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

/// Notifies a peer of a newer configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigNotice {
    /// The address at which the sender serves peers.
    pub address: SocketAddr,
    /// The epochs that the sender has.
    pub announcement: Announcement,
}

/// Notifies a peer of a request that may crash backend servers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoisonNotice {
    /// The identity of the request and what is known of it.
    pub notice: Notice,
    /// Whether the receiver passes the notice on.
    pub reach: NoticeScope,
}

/// The daemons for which a notice is intended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NoticeScope {
    /// The receiver only.
    Receiver,
    /// The receiver and the peers in its zone.
    Zone,
}

/// The final ticket outcomes of a daemon that shuts down.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FinalOutcomes {
    /// The incarnation of the daemon that issued the tickets.
    pub incarnation: Incarnation,
    /// Some of the outcomes; the others are in further messages.
    pub outcomes: Vec<TicketOutcome>,
}

/// The final outcome of one ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TicketOutcome {
    /// The sequence number of the ticket within the incarnation, from 0.
    pub sequence: u64,
    /// The final status of its call.
    pub status: TicketStatus,
}

/// The response to a query for the outcome of another daemon's ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OutcomeResponse {
    /// The final status of the ticket's call; absent if the peer does not have
    /// it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<TicketStatus>,
}

/// The RPC interface of a daemon for peers.
#[rpc(client, server)]
pub trait Peers {
    /// Responds to a probe.
    #[method(name = "probe")]
    async fn probe(&self, probe: Probe) -> RpcResult<Probe>;

    /// Sends an indirect probe and returns the response.
    #[method(name = "probe_through")]
    async fn probe_through(&self, through: IndirectProbe) -> RpcResult<Probe>;

    /// Returns a manifest, or the delta from the one that the sender has.
    #[method(name = "config_manifest")]
    async fn config_manifest(
        &self,
        query: ManifestQuery,
    ) -> RpcResult<ManifestResponse>;

    /// Returns a configuration chunk.
    #[method(name = "config_chunk")]
    async fn config_chunk(&self, digest: Digest) -> RpcResult<ChunkResponse>;

    /// Notifies the daemon of a newer configuration.
    #[method(name = "config_notify")]
    async fn config_notify(&self, notice: ConfigNotice) -> RpcResult<()>;

    /// Leases units of a limit of open requests to the calling daemon. This
    /// daemon must be a lease home of the limit: one of those that divide its
    /// units among them.
    #[method(name = "limits_lease")]
    async fn limits_lease(
        &self,
        request: LeaseRequest,
    ) -> RpcResult<LeaseResponse>;

    /// Hands over the leases of a lease home that this daemon replaces.
    #[method(name = "limits_hand_over")]
    async fn limits_hand_over(&self, handover: Handover) -> RpcResult<()>;

    /// Notifies the daemon of a request that may crash backend servers.
    #[method(name = "poison_notify")]
    async fn poison_notify(&self, message: PoisonNotice) -> RpcResult<()>;

    /// Accepts the final ticket outcomes of a daemon that shuts down.
    #[method(name = "outcomes_accept")]
    async fn outcomes_accept(&self, outcomes: FinalOutcomes) -> RpcResult<()>;

    /// Returns the outcome of a ticket whose daemon has shut down.
    #[method(name = "outcomes_find")]
    async fn outcomes_find(
        &self,
        ticket: TicketId,
    ) -> RpcResult<OutcomeResponse>;

    /// Runs a call whose ticket this daemon issued.
    #[method(name = "call_forward")]
    async fn call_forward(
        &self,
        call: ForwardedCall,
        sent_at: HlcTimestamp,
    ) -> RpcResult<ForwardResponse>;

    /// Returns the status of the call of a ticket.
    #[method(name = "call_status")]
    async fn call_status(&self, ticket: TicketId) -> RpcResult<TicketStatus>;

    /// Closes a ticket whose call has not started, so that it can't be used
    /// any more.
    #[method(name = "call_close")]
    async fn call_close(&self, ticket: TicketId) -> RpcResult<TicketStatus>;
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a message that serde can serialise but not deserialise,
    /// as with raw JSON inside an enum that serde buffers.
    #[test]
    fn call_result_survives_round_trip() {
        let json = r#"{"answered":{"request_id":"00000000000000000000000000000001","pipeline":"p","epoch":1,"outcome":"answered","output":{"a":[1]},"stages":[]}}"#;
        let result: CallResult = serde_json::from_str(json).unwrap();
        assert_eq!(serde_json::to_string(&result).unwrap(), json);
    }
}
