//! Asks another daemon to open a connection to a server.

use std::{io, net::SocketAddr, pin::pin, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::{Either, select};
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    upgrade,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use crate::{bounded_body::read_body, fair_stream::FairStream, net};

use super::{
    RELAY_PATH, RELAY_PROTOCOL, RELAYED_CONNECTIONS_HEADER, RelayRefusal,
    RelayRequest, RelayedStream,
};

/// The longest head of an answer. The smallest limit that hyper accepts.
const MAX_HEAD_BYTES: usize = 8192;

/// The longest refusal.
const MAX_REFUSAL_BYTES: usize = 256;

/// Why there is no relayed connection. The server was sent nothing.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RelayError {
    /// The other daemon answered that it opened none.
    #[display("the daemon opened no connection: {_0}")]
    Refused(#[error(not(source))] RelayRefusal),
    /// The other daemon did not answer in time, or not in the protocol.
    #[display("the daemon gave no answer: {_0}")]
    PeerUnreachable(#[error(not(source))] String),
    /// The other daemon runs an earlier version that relays no connections.
    #[display("the daemon relays no connections")]
    NotSupported,
}

impl From<io::Error> for RelayError {
    fn from(error: io::Error) -> RelayError {
        RelayError::PeerUnreachable(error.to_string())
    }
}

impl From<hyper::Error> for RelayError {
    fn from(error: hyper::Error) -> RelayError {
        RelayError::PeerUnreachable(error.to_string())
    }
}

/// Opens a connection to a server by its name over another daemon, on a new
/// connection to that daemon. The server has accepted the connection when this
/// returns.
///
/// # Errors
///
/// If the other daemon opens no connection, or none within `limit`.
pub async fn open(
    peer: SocketAddr,
    server: &str,
    limit: Duration,
) -> Result<RelayedStream, RelayError> {
    let opened = timeout(limit, open_unlimited(peer, server)).await;
    opened.unwrap_or_else(|_| {
        Err(RelayError::PeerUnreachable("timed out".to_owned()))
    })
}

async fn open_unlimited(
    peer: SocketAddr,
    server: &str,
) -> Result<RelayedStream, RelayError> {
    let stream = FairStream::new(net::connect(peer).await?);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    let exchange = pin!(exchange(sender, request(peer, server)?));
    let connection = pin!(connection.with_upgrades());
    match select(exchange, connection).await {
        Either::Left((result, _)) => result,
        // The connection has been handed over, or has failed. The exchange
        // learns which.
        Either::Right((_, exchange)) => exchange.await,
    }
}

fn request(
    peer: SocketAddr,
    server: &str,
) -> Result<Request<Full<Bytes>>, RelayError> {
    let invalid = |cause: String| RelayError::PeerUnreachable(cause);
    let message = RelayRequest { server: server.into() };
    let body = postcard::to_stdvec(&message)
        .map_err(|error| invalid(error.to_string()))?;
    Request::post(RELAY_PATH)
        .header(header::HOST, peer.to_string())
        .header(header::CONNECTION, "upgrade")
        .header(header::UPGRADE, RELAY_PROTOCOL)
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| invalid(error.to_string()))
}

async fn exchange(
    mut sender: SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<RelayedStream, RelayError> {
    let response = sender.send_request(request).await?;
    match response.status() {
        StatusCode::SWITCHING_PROTOCOLS => take_over(response).await,
        StatusCode::NOT_FOUND => Err(RelayError::NotSupported),
        StatusCode::SERVICE_UNAVAILABLE => Err(read_refusal(response).await),
        status => Err(RelayError::PeerUnreachable(format!("status {status}"))),
    }
}

/// Takes the connection over from hyper, which has read the head of an answer.
async fn take_over(
    response: Response<Incoming>,
) -> Result<RelayedStream, RelayError> {
    let relayed_connections = response
        .headers()
        .get(RELAYED_CONNECTIONS_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let upgraded = upgrade::on(response).await?;
    let parts = upgraded.downcast::<TokioIo<FairStream<TcpStream>>>();
    // OK because the handshake was made with this type.
    let parts = parts.expect("the connection is a socket");
    let stream = parts.io.into_inner().into_inner();
    Ok(RelayedStream::new(stream, parts.read_buf, relayed_connections))
}

async fn read_refusal(response: Response<Incoming>) -> RelayError {
    match read_body(response.into_body(), MAX_REFUSAL_BYTES).await {
        Ok(body) => match postcard::from_bytes(&body) {
            Ok(refusal) => RelayError::Refused(refusal),
            Err(error) => RelayError::PeerUnreachable(error.to_string()),
        },
        Err(error) => RelayError::PeerUnreachable(error.to_string()),
    }
}
