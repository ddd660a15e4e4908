//! The client to other daemons.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use briarladder_core::{
    config::{Digest, ManifestResponse},
    limits::{Handover, LeaseRequest, LeaseResponse},
    sorted::SortedMap,
    ticket::TicketId,
    timeline::HlcTimestamp,
};
use briarladder_wire::{
    callers::TicketStatus,
    peers::{
        ChunkResponse, ConfigNotice, FinalOutcomes, ForwardResponse,
        ForwardedCall, IndirectProbe, ManifestQuery, OutcomeResponse,
        PEER_KEY_HEADER, PeersClient, PoisonNotice, Probe,
    },
};
use http::{HeaderMap, HeaderValue};
use jsonrpsee::{
    core::client::Error,
    http_client::{HttpClient, HttpClientBuilder},
};
use parking_lot::Mutex;

use crate::settings::Secret;

/// The timeout for a control request between daemons.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout for a probe. With 1 s, detecting a dead daemon took up to 14 s
/// in a zone of 200 daemons, and standby senders of orders assume 12 s.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The timeout for a forwarded call: the longest deadline of a request plus
/// the round trip.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout for a new connection. The latency between regions is 20 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum number of cached clients. A daemon talks to a few peers at a
/// time, and an evicted client is created again when needed.
const MAX_CACHED_CLIENTS: usize = 256;

/// A client to all other daemons, with a cache of clients by address.
#[derive(Debug)]
pub struct PeerClient {
    headers: HeaderMap,
    clients: Mutex<SortedMap<SocketAddr, Clients>>,
    calls_sent: AtomicU64,
}

#[derive(Clone, Debug)]
struct Clients {
    control: HttpClient,
    forward: HttpClient,
}

impl PeerClient {
    /// Creates a client that authenticates with a key.
    ///
    /// # Errors
    ///
    /// Returns an error when the key can't be sent in a header.
    pub fn new(key: &Secret) -> anyhow::Result<PeerClient> {
        let mut value = HeaderValue::from_str(key.expose())?;
        value.set_sensitive(true);
        let mut headers = HeaderMap::new();
        headers.insert(PEER_KEY_HEADER, value);
        Ok(PeerClient {
            headers,
            clients: Mutex::default(),
            calls_sent: AtomicU64::new(0),
        })
    }

    /// Returns the number of requests that were started, of any kind.
    #[must_use]
    pub fn calls_sent(&self) -> u64 {
        self.calls_sent.load(Ordering::Relaxed)
    }

    /// Probes a peer.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not respond in time.
    pub async fn probe(
        &self,
        address: SocketAddr,
        probe: Probe,
    ) -> Result<Probe, Error> {
        let clients = self.clients(address)?;
        let response = clients.control.probe(probe);
        tokio::time::timeout(PROBE_TIMEOUT, response)
            .await
            .unwrap_or(Err(Error::RequestTimeout))
    }

    /// Asks a peer to probe another one.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not respond.
    pub async fn probe_through(
        &self,
        address: SocketAddr,
        through: IndirectProbe,
    ) -> Result<Probe, Error> {
        self.clients(address)?.control.probe_through(through).await
    }

    /// Requests a manifest from a peer.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not respond.
    pub async fn config_manifest(
        &self,
        address: SocketAddr,
        query: ManifestQuery,
    ) -> Result<ManifestResponse, Error> {
        self.clients(address)?.control.config_manifest(query).await
    }

    /// Requests a chunk of a configuration from a peer.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not respond.
    pub async fn config_chunk(
        &self,
        address: SocketAddr,
        digest: Digest,
    ) -> Result<ChunkResponse, Error> {
        self.clients(address)?.control.config_chunk(digest).await
    }

    /// Notifies a peer of a newer configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not respond.
    pub async fn config_notify(
        &self,
        address: SocketAddr,
        notice: ConfigNotice,
    ) -> Result<(), Error> {
        self.clients(address)?.control.config_notify(notice).await
    }

    /// Requests a lease on units of a limit from one of its homes.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not respond.
    pub async fn limits_lease(
        &self,
        address: SocketAddr,
        request: LeaseRequest,
    ) -> Result<LeaseResponse, Error> {
        self.clients(address)?.control.limits_lease(request).await
    }

    /// Hands the leases of a limit over to its new home.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not respond.
    pub async fn limits_hand_over(
        &self,
        address: SocketAddr,
        handover: Handover,
    ) -> Result<(), Error> {
        self.clients(address)?.control.limits_hand_over(handover).await
    }

    /// Notifies a peer of a request that may crash backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not respond.
    pub async fn poison_notify(
        &self,
        address: SocketAddr,
        message: PoisonNotice,
    ) -> Result<(), Error> {
        self.clients(address)?.control.poison_notify(message).await
    }

    /// Hands final outcomes of this daemon's tickets over to a peer.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not respond.
    pub async fn outcomes_accept(
        &self,
        address: SocketAddr,
        outcomes: FinalOutcomes,
    ) -> Result<(), Error> {
        self.clients(address)?.control.outcomes_accept(outcomes).await
    }

    /// Queries a peer for the outcome of a ticket whose issuer is gone.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not respond.
    pub async fn outcomes_find(
        &self,
        address: SocketAddr,
        ticket: TicketId,
    ) -> Result<OutcomeResponse, Error> {
        self.clients(address)?.control.outcomes_find(ticket).await
    }

    /// Runs a call at the daemon that issued its ticket.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not respond. The call may have
    /// run.
    pub async fn call_forward(
        &self,
        address: SocketAddr,
        call: ForwardedCall,
        sent_at: HlcTimestamp,
    ) -> Result<ForwardResponse, Error> {
        self.clients(address)?.forward.call_forward(call, sent_at).await
    }

    /// Queries the daemon that issued a ticket for the status of its call.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not respond.
    pub async fn call_status(
        &self,
        address: SocketAddr,
        ticket: TicketId,
    ) -> Result<TicketStatus, Error> {
        self.clients(address)?.control.call_status(ticket).await
    }

    /// Closes a ticket at the daemon that issued it.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not respond. The ticket may be
    /// closed.
    pub async fn call_close(
        &self,
        address: SocketAddr,
        ticket: TicketId,
    ) -> Result<TicketStatus, Error> {
        self.clients(address)?.control.call_close(ticket).await
    }

    fn clients(&self, address: SocketAddr) -> Result<Clients, Error> {
        self.calls_sent.fetch_add(1, Ordering::Relaxed);
        let mut clients = self.clients.lock();
        if let Some(cached) = clients.get(&address) {
            return Ok(cached.clone());
        }
        if clients.len() >= MAX_CACHED_CLIENTS {
            *clients = SortedMap::new();
        }
        let build = |timeout| {
            HttpClientBuilder::default()
                .request_timeout(timeout)
                .connect_timeout(CONNECT_TIMEOUT)
                .set_headers(self.headers.clone())
                .build(format!("http://{address}"))
        };
        let created = Clients {
            control: build(CONTROL_TIMEOUT)?,
            forward: build(FORWARD_TIMEOUT)?,
        };
        clients.insert(address, created.clone());
        Ok(created)
    }
}
