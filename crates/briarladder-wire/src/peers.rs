//! Messages between daemons, and from operators to a daemon, as JSON-RPC
//! over HTTP.
//!
//! Every call carries the key of the settings in the header
//! [`PEER_KEY_HEADER`] and is refused without it.
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

/// Carries the key that peers and operators show.
pub const PEER_KEY_HEADER: &str = "briarladder-peer-key";

/// A ticketed call on its way to the daemon that issued the ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedCall {
    /// The ticket, authenticated by the forwarding daemon.
    pub ticket: TicketId,
    /// The request.
    pub head: RequestHead,
    /// What the caller sent.
    pub body: Arc<RawValue>,
}

/// The end of a forwarded call.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallResult {
    /// The call ran, and this is its answer.
    Answered(Arc<PipelineResponse>),
    /// The call has no answer.
    Refused(Problem),
}

/// The answer to a forwarded call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardResponse {
    /// The clock of the daemon that issued the ticket, after the call.
    pub sent_at: HlcTimestamp,
    /// The end of the call.
    pub result: CallResult,
}

/// A probe, and the answer to one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Probe {
    /// The sender and what it knows of others.
    pub heartbeat: Heartbeat,
    /// The sender's configuration.
    pub announcement: Announcement,
}

/// Asks a peer to probe another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IndirectProbe {
    /// Where the other peer is.
    pub address: SocketAddr,
    /// The probe to pass on.
    pub probe: Probe,
}

/// Asks a peer for a manifest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ManifestQuery {
    /// The manifest that is wanted.
    pub which: ManifestSelector,
    /// The newest one that the sender has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub have: Option<ManifestId>,
}

/// A configuration chunk, if the peer has it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkResponse {
    /// The chunk's text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

/// Tells a peer that there is something newer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigNotice {
    /// Where the sender serves peers.
    pub address: SocketAddr,
    /// The sender's configuration.
    pub announcement: Announcement,
}

/// What a daemon learned of a request that may crash backend servers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoisonNotice {
    /// What it learned.
    pub notice: Notice,
    /// Whether to pass the notice on.
    pub reach: NoticeScope,
}

/// Who a notice is meant for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NoticeScope {
    /// The receiver alone.
    Receiver,
    /// The receiver and the peers of its zone.
    Zone,
}

/// The final outcomes of the tickets of a daemon that stops.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FinalOutcomes {
    /// The daemon.
    pub incarnation: Incarnation,
    /// The outcomes, of which there may be more in other messages.
    pub outcomes: Vec<TicketOutcome>,
}

/// The final outcome of one ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TicketOutcome {
    /// The ticket's number.
    pub sequence: u64,
    /// What became of its call.
    pub status: TicketStatus,
}

/// The outcome of a ticket of another daemon, if the peer holds it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OutcomeResponse {
    /// What became of its call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<TicketStatus>,
}

/// The calls that a daemon answers to peers and operators.
#[rpc(client, server)]
pub trait Peers {
    /// Answers a probe.
    #[method(name = "probe")]
    async fn probe(&self, probe: Probe) -> RpcResult<Probe>;

    /// Passes a probe on and returns the answer.
    #[method(name = "probe_through")]
    async fn probe_through(&self, through: IndirectProbe) -> RpcResult<Probe>;

    /// Returns a manifest, or the difference to the one the sender has.
    #[method(name = "config_manifest")]
    async fn config_manifest(
        &self,
        query: ManifestQuery,
    ) -> RpcResult<ManifestResponse>;

    /// Returns a configuration chunk.
    #[method(name = "config_chunk")]
    async fn config_chunk(&self, digest: Digest) -> RpcResult<ChunkResponse>;

    /// Takes notice of a newer configuration.
    #[method(name = "config_notify")]
    async fn config_notify(&self, notice: ConfigNotice) -> RpcResult<()>;

    /// Leases units of a limit of which this daemon is a home.
    #[method(name = "limits_lease")]
    async fn limits_lease(
        &self,
        request: LeaseRequest,
    ) -> RpcResult<LeaseResponse>;

    /// Takes over the leases of a home that this daemon replaces.
    #[method(name = "limits_hand_over")]
    async fn limits_hand_over(&self, handover: Handover) -> RpcResult<()>;

    /// Takes notice of a request that may crash backend servers.
    #[method(name = "poison_notify")]
    async fn poison_notify(&self, message: PoisonNotice) -> RpcResult<()>;

    /// Takes the final outcomes of a daemon that stops.
    #[method(name = "outcomes_accept")]
    async fn outcomes_accept(&self, outcomes: FinalOutcomes) -> RpcResult<()>;

    /// Returns the outcome of a ticket whose daemon stopped.
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

    /// Returns what is known of the call of a ticket.
    #[method(name = "call_status")]
    async fn call_status(&self, ticket: TicketId) -> RpcResult<TicketStatus>;

    /// Closes a ticket whose call has not begun.
    #[method(name = "call_close")]
    async fn call_close(&self, ticket: TicketId) -> RpcResult<TicketStatus>;
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a message form that serde can write but not read:
    /// raw JSON inside a variant that needs buffering.
    #[test]
    fn call_result_survives_round_trip() {
        let json = r#"{"answered":{"request_id":"00000000000000000000000000000001","pipeline":"p","epoch":1,"outcome":"answered","output":{"a":[1]},"stages":[]}}"#;
        let result: CallResult = serde_json::from_str(json).unwrap();
        assert_eq!(serde_json::to_string(&result).unwrap(), json);
    }
}
