//! The JSON-RPC server and client between daemons, and the server for
//! operators, on a listener of their own.
//!
//! Every request must carry the key of the settings, which is compared in
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

/// The maximum size of a message, in bytes. The largest is a configuration
/// chunk, which the platform limits to 1 MB and which grows when it is
/// escaped as a JSON string.
const MAX_MESSAGE_BYTES: u32 = 4 << 20;

/// The maximum number of connections from peers and operators. A zone of 208
/// daemons with a few connections each stays below it.
const MAX_CONNECTIONS: u32 = 1024;

/// The JSON-RPC error code for a peer that did not respond. JSON-RPC leaves
/// -32000 to -32099 to applications.
const NO_RESPONSE_CODE: i32 = -32_001;

/// Serves peers and operators on a bound socket until the returned handle
/// stops the server.
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
    let check_key = ValidateRequestHeaderLayer::custom(KeyCheck {
        key_hash: hash_key(&key),
    });
    let middleware = tower::ServiceBuilder::new().layer(check_key);
    let server = Server::builder()
        .set_config(config)
        .set_http_middleware(middleware)
        .build_from_tcp(listener)?;
    let mut methods = PeersService(Arc::clone(daemon)).into_rpc();
    methods.merge(operators::methods(daemon))?;
    Ok(server.start(methods))
}

fn hash_key(key: &Secret) -> blake3::Hash {
    blake3::hash(key.expose().as_bytes())
}

/// Rejects requests without the key.
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
        let key = request.headers().get(PEER_KEY_HEADER);
        // Hashes are compared in constant time and hide the key's length.
        let accepted = key
            .is_some_and(|key| blake3::hash(key.as_bytes()) == self.key_hash);
        if accepted {
            return Ok(());
        }
        log::warn!("peers: rejected a request without a valid peer key");
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
        Ok(membership::handle_probe(&self.0, &probe))
    }

    async fn probe_through(&self, through: IndirectProbe) -> RpcResult<Probe> {
        let IndirectProbe { address, probe } = through;
        let response = self.0.peers.probe(address, probe).await;
        response.map_err(|error| {
            ErrorObject::owned(
                NO_RESPONSE_CODE,
                format!("the peer at {address} did not respond: {error}"),
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
        // The pull runs in its own task, so that the notifying peer does not
        // wait for it.
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
