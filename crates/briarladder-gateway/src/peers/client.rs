//! A client for calls to other daemons.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};

use crate::{bounded_body::read_body, pool::ConnectionPool};

use super::{
    changes::CHANGES_PATH,
    earlier_changes::{
        EVACUATIONLESS_CHANGES_PATH, SLOTLESS_CHANGES_PATH,
        VERSIONLESS_CHANGES_PATH,
    },
    eraless_changes::ERALESS_CHANGES_PATH,
};

/// A call to a peer that failed.
#[derive(Debug, Display, Error)]
#[display("call to peer {address} failed: {cause}")]
pub struct PeerError {
    /// The address of the peer.
    address: SocketAddr,
    /// The cause.
    cause: String,
    /// Whether the connection was refused: no process listens at the address.
    connection_refused: bool,
    /// Whether the peer does not know the path.
    unknown_path: bool,
}

impl PeerError {
    /// Returns whether no process listens at the address.
    #[must_use]
    pub fn is_connection_refused(&self) -> bool {
        self.connection_refused
    }

    /// Returns whether the peer does not know the path, because it runs an
    /// earlier version.
    #[must_use]
    pub fn is_unknown_path(&self) -> bool {
        self.unknown_path
    }
}

/// Why an HTTP exchange failed.
#[derive(Default)]
struct ExchangeError {
    cause: String,
    connection_refused: bool,
    unknown_path: bool,
}

impl From<String> for ExchangeError {
    fn from(cause: String) -> ExchangeError {
        ExchangeError { cause, ..ExchangeError::default() }
    }
}

/// The longest response that holds items of the store: a configuration of
/// 1 MB, and 10,000 servers in half a megabyte.
const MAX_CHANGES_BYTES: usize = 4 * 1024 * 1024;

/// The longest other response. It fits the references of the largest allowed
/// stages.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Returns the longest response to a call. Whatever listens at the address of
/// another daemon may send more.
fn max_response_bytes(path: &str) -> usize {
    match path {
        CHANGES_PATH
        | SLOTLESS_CHANGES_PATH
        | VERSIONLESS_CHANGES_PATH
        | EVACUATIONLESS_CHANGES_PATH
        | ERALESS_CHANGES_PATH => MAX_CHANGES_BYTES,
        _ => MAX_RESPONSE_BYTES,
    }
}

/// Calls other daemons on pooled connections.
#[derive(Clone, Debug)]
pub struct PeerClient {
    pool: Rc<ConnectionPool>,
}

impl PeerClient {
    /// Creates a client that uses a pool.
    #[must_use]
    pub fn new(pool: &Rc<ConnectionPool>) -> PeerClient {
        PeerClient { pool: Rc::clone(pool) }
    }

    /// Sends a message and returns the response. Dropping the future closes
    /// the connection, which cancels the call at the peer.
    ///
    /// # Errors
    ///
    /// If there was no valid response within `timeout`.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &'static str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, PeerError> {
        let fail = |error: ExchangeError| PeerError {
            address,
            cause: error.cause,
            connection_refused: error.connection_refused,
            unknown_path: error.unknown_path,
        };
        let body = postcard::to_stdvec(message)
            .map_err(|error| fail(error.to_string().into()))?;
        let response = tokio::time::timeout(
            timeout,
            self.exchange(address, path, Bytes::from(body)),
        )
        .await;
        let timed_out = || ExchangeError::from("timed out".to_owned());
        let response = response.unwrap_or_else(|_| Err(timed_out()));
        let response = response.map_err(fail)?;
        postcard::from_bytes(&response)
            .map_err(|error| fail(error.to_string().into()))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        path: &'static str,
        body: Bytes,
    ) -> Result<Bytes, ExchangeError> {
        let host = HeaderValue::from_str(&address.to_string())
            .map_err(|error| error.to_string())?;
        let request = Request::post(path)
            .header(header::HOST, host)
            .header(header::CONTENT_TYPE, "application/octet-stream")
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let sent = self.pool.send(address, request).await;
        let (response, connection) = sent.map_err(|error| ExchangeError {
            connection_refused: error.connection_refused,
            cause: error.to_string(),
            unknown_path: false,
        })?;
        let status = response.status();
        let limit = max_response_bytes(path);
        let body = read_body(response.into_body(), limit).await;
        let body = body.map_err(|error| error.to_string())?;
        connection.return_to_pool(None);
        if !status.is_success() {
            return Err(ExchangeError {
                cause: format!("status {status}"),
                connection_refused: false,
                unknown_path: status == StatusCode::NOT_FOUND,
            });
        }
        Ok(body)
    }
}
