//! What daemons ask of one another, and operators of a daemon: JSON-RPC on a
//! listener apart from the callers'.
//!
//! Every request carries the key of the settings, which is compared in
//! constant time.

use std::sync::Arc;

use briarladder_core::{
    config::{Digest, ManifestResponse},
    limits::{Handover, LeaseRequest, LeaseResponse},
    ticket::TicketId,
    timeline::HlcTimestamp,
};
use briarladder_wire::{
    callers::TicketStatus,
    peers::{
        ChunkResponse, ConfigNotice, FinalOutcomes, ForwardResponse,
        ForwardedCall, IndirectProbe, ManifestQuery, OutcomeResponse,
        PEER_KEY_HEADER, PeersServer, PoisonNotice, Probe,
    },
};
use http::{Request, Response, StatusCode};
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{HttpBody, Server, ServerConfig, ServerHandle},
    types::ErrorObject,
};
use tower_http::validate_request::ValidateRequestHeaderLayer;

use crate::{
    controllers::{config, membership, poison_notices},
    daemon::Daemon,
    pipeline::ticketed_calls,
    settings::Secret,
};

mod client;
mod operators;

pub use client::PeerClient;

/// The largest message of a peer, in bytes: a configuration chunk, which
/// the platform bounds at 1 MB, with room for its escaping as JSON text.
const MAX_MESSAGE_BYTES: u32 = 4 << 20;

/// The most connections of peers and operators at once. 208 daemons of a
/// zone, each with a few connections, stay below it.
const MAX_CONNECTIONS: u32 = 1024;

/// The JSON-RPC error for a peer that did not answer; -32000 to -32099 are
/// left to applications.
const NO_ANSWER_CODE: i32 = -32_001;

/// Serves peers on a bound socket until the handle stops it.
///
/// # Errors
///
/// Returns an error when the socket can't be used.
pub fn serve(
    daemon: &Arc<Daemon>,
    listener: std::net::TcpListener,
) -> anyhow::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .build();
    let key = daemon.settings.peer_key.clone();
    let check_key =
        ValidateRequestHeaderLayer::custom(KeyCheck { key_hash: hash(&key) });
    let middleware = tower::ServiceBuilder::new().layer(check_key);
    let server = Server::builder()
        .set_config(config)
        .set_http_middleware(middleware)
        .build_from_tcp(listener)?;
    let mut methods = PeersService(Arc::clone(daemon)).into_rpc();
    methods.merge(operators::methods(daemon))?;
    Ok(server.start(methods))
}

fn hash(key: &Secret) -> blake3::Hash {
    blake3::hash(key.expose().as_bytes())
}

/// Refuses requests without the key.
#[derive(Clone)]
struct KeyCheck {
    key_hash: blake3::Hash,
}

impl<B> tower_http::validate_request::ValidateRequest<B> for KeyCheck {
    type ResponseBody = HttpBody;

    fn validate(
        &mut self,
        request: &mut Request<B>,
    ) -> Result<(), Response<HttpBody>> {
        let shown = request.headers().get(PEER_KEY_HEADER);
        // Hashes are compared in constant time, and hide the key's length.
        let accepted = shown.is_some_and(|shown| {
            blake3::hash(shown.as_bytes()) == self.key_hash
        });
        if accepted {
            return Ok(());
        }
        log::warn!("peers: refused a request without the peer key");
        let text = format!(
            "header {PEER_KEY_HEADER} is missing or wrong; send the value \
             of --peer-key\n"
        );
        let mut response = Response::new(HttpBody::from(text));
        *response.status_mut() = StatusCode::UNAUTHORIZED;
        Err(response)
    }
}

struct PeersService(Arc<Daemon>);

#[async_trait]
impl PeersServer for PeersService {
    async fn probe(&self, probe: Probe) -> RpcResult<Probe> {
        Ok(membership::answer_probe(&self.0, &probe))
    }

    async fn probe_through(&self, through: IndirectProbe) -> RpcResult<Probe> {
        let IndirectProbe { address, probe } = through;
        let answer = self.0.peers.probe(address, probe).await;
        answer.map_err(|error| {
            ErrorObject::owned(
                NO_ANSWER_CODE,
                format!("the peer at {address} gave no answer: {error}"),
                None::<()>,
            )
        })
    }

    async fn config_manifest(
        &self,
        query: ManifestQuery,
    ) -> RpcResult<ManifestResponse> {
        let ManifestQuery { which, have } = query;
        Ok(self.0.config.with(|store| store.manifest_for(which, have)))
    }

    async fn config_chunk(&self, digest: Digest) -> RpcResult<ChunkResponse> {
        let bytes = self.0.config.with(|store| store.chunk_bytes(&digest));
        let text = bytes.and_then(|b| String::from_utf8(b.to_vec()).ok());
        Ok(ChunkResponse { text })
    }

    async fn config_notify(&self, notice: ConfigNotice) -> RpcResult<()> {
        // The peer that notifies does not wait for the pull.
        let daemon = Arc::clone(&self.0);
        tokio::spawn(async move {
            config::handle_notice(&daemon, notice).await;
        });
        Ok(())
    }

    async fn limits_lease(
        &self,
        request: LeaseRequest,
    ) -> RpcResult<LeaseResponse> {
        Ok(self.0.limits.lease(&request))
    }

    async fn limits_hand_over(&self, handover: Handover) -> RpcResult<()> {
        self.0.limits.accept_handover(&handover);
        Ok(())
    }

    async fn poison_notify(&self, message: PoisonNotice) -> RpcResult<()> {
        poison_notices::receive(&self.0, &message);
        Ok(())
    }

    async fn outcomes_accept(&self, outcomes: FinalOutcomes) -> RpcResult<()> {
        self.0.outcomes.accept(outcomes);
        Ok(())
    }

    async fn outcomes_find(
        &self,
        ticket: TicketId,
    ) -> RpcResult<OutcomeResponse> {
        Ok(OutcomeResponse { status: self.0.outcomes.find(ticket) })
    }

    async fn call_forward(
        &self,
        call: ForwardedCall,
        sent_at: HlcTimestamp,
    ) -> RpcResult<ForwardResponse> {
        self.0.events.observe(sent_at);
        let result = ticketed_calls::run_call(&self.0, call).await;
        Ok(ForwardResponse { sent_at: self.0.events.stamp(), result })
    }

    async fn call_status(&self, ticket: TicketId) -> RpcResult<TicketStatus> {
        Ok(ticketed_calls::call_status(&self.0, ticket))
    }

    async fn call_close(&self, ticket: TicketId) -> RpcResult<TicketStatus> {
        if ticket.incarnation != self.0.incarnation {
            return Ok(ticketed_calls::call_status(&self.0, ticket));
        }
        Ok(self.0.calls.close(self.0.clock.now(), ticket.sequence))
    }
}
