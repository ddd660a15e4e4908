//! Calls to servers that produce pieces.

use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    fleet::{
        batching::Call, fetch_time::InputFetch, server::ListedServer,
        server_limits::NamedLimit, server_speed::ServerLoad,
    },
    retry::AttemptFailure,
};
use bytes::Bytes;
use derive_more::Display;
use http::{HeaderValue, Request, header};
use http_body_util::Full;

use crate::{
    bounded_body,
    dialect::{PieceCall, PieceOutcome},
    pool::{PooledConnection, SendError},
    server_client::RelayScope,
};

use super::{super::piece_group::Piece, Batcher, QueueKey};

/// A call times out after this many times its expected duration.
const CALL_TIMEOUT_FACTOR: u32 = 4;

/// The shortest timeout of a call.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// The longest response to a call. The references of the largest batch take a
/// few kilobytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Why a call failed.
#[derive(Clone, Debug, Display)]
pub(super) enum CallFailure {
    /// The server's process has exited, and its results are lost.
    ServerExited(String),
    /// The call was not sent.
    NotSent(String),
    /// The call was sent, and the server may have started it.
    Sent(String),
}

impl From<SendError> for CallFailure {
    fn from(error: SendError) -> CallFailure {
        let cause = error.to_string();
        match error.failure {
            _ if error.connection_refused => CallFailure::ServerExited(cause),
            AttemptFailure::ConnectFailed => CallFailure::NotSent(cause),
            _ => CallFailure::Sent(cause),
        }
    }
}

/// The response to a call, which was read to its end.
pub(super) struct CallResponse {
    body: Bytes,
    connection: PooledConnection,
    idle_timeout: Option<Duration>,
    sent_at: Instant,
    limit: NamedLimit,
    load: Option<ServerLoad>,
}

/// What a call has given.
pub(super) struct CallResults {
    /// The outcome of each piece.
    pub(super) outcomes: Vec<PieceOutcome>,
    /// The load that the server has told, if the response is certainly the
    /// one to this call.
    pub(super) load: Option<ServerLoad>,
}

impl CallResponse {
    /// Keeps the connection for the next call. Without this it is closed.
    pub(super) fn keep_connection(self) {
        self.connection.return_to_pool(self.idle_timeout);
    }
}

impl Batcher {
    pub(super) async fn call(
        &self,
        key: &QueueKey,
        server: &ListedServer,
        call: &Call,
        pieces: &[(u64, Piece)],
    ) -> Result<CallResults, CallFailure> {
        let called = self.call_once(server, call, pieces).await;
        // A call that was not sent does not count as a first attempt, so
        // sending it again is not a retry.
        if !matches!(
            called,
            Err(CallFailure::ServerExited(_) | CallFailure::NotSent(_))
        ) {
            let first = pieces.iter().filter(|(_, piece)| piece.attempts == 0);
            first
                .for_each(|_| self.blackboard.record_first_send(&key.service));
        }
        called
    }

    async fn call_once(
        &self,
        server: &ListedServer,
        call: &Call,
        pieces: &[(u64, Piece)],
    ) -> Result<CallResults, CallFailure> {
        let now = self.blackboard.now();
        let piece_calls: Vec<PieceCall<'_>> =
            pieces.iter().map(|(_, piece)| piece.piece_call(now)).collect();
        let body = self.dialect.encode_pieces(&piece_calls);
        let path = self.dialect.pieces_path();
        let timeout =
            (call.expected * CALL_TIMEOUT_FACTOR).max(MIN_CALL_TIMEOUT);
        let exchange = self.exchange(server, path, body);
        let exchange = async {
            if call.starts_immediately {
                self.report_fetching(server, pieces, exchange).await
            } else {
                exchange.await
            }
        };
        let response = tokio::time::timeout(timeout, exchange).await;
        let late = CallFailure::Sent("timed out".to_owned());
        let response = response.unwrap_or(Err(late))?;
        let outcomes = self
            .dialect
            .decode_pieces(&response.body)
            .map_err(|error| CallFailure::Sent(error.to_string()))?;
        if outcomes.len() != pieces.len() {
            return Err(CallFailure::Sent(format!(
                "the response has {} outcomes for {} pieces",
                outcomes.len(),
                pieces.len()
            )));
        }
        // The response names no call, but references to results are unique.
        let has_results = outcomes
            .iter()
            .any(|outcome| matches!(outcome, PieceOutcome::Completed(_)));
        if !has_results {
            // It may be a late copy of an earlier response. The one to this
            // call would then be taken for that to the next one.
            return Ok(CallResults { outcomes, load: None });
        }
        let mut recent = self.recent_responses.borrow_mut();
        if !recent.record(server.address, &response.body) {
            let cause = "the response is that of an earlier call".to_owned();
            return Err(CallFailure::Sent(cause));
        }
        drop(recent);
        // The results show that the response belongs to this call.
        let CallResponse { sent_at, limit, load, .. } = response;
        self.blackboard.record_limit(server, sent_at, limit, true);
        response.keep_connection();
        Ok(CallResults { outcomes, load })
    }

    /// Waits for the response to a call. Reports the inputs of its pieces as
    /// fetched once the server has had enough time to fetch them.
    async fn report_fetching(
        &self,
        server: &ListedServer,
        pieces: &[(u64, Piece)],
        exchange: impl Future<Output = Result<CallResponse, CallFailure>>,
    ) -> Result<CallResponse, CallFailure> {
        let mut exchange = pin!(exchange);
        let fetch_time = self.fetch_time(server, pieces);
        let early = tokio::time::timeout(fetch_time, &mut exchange).await;
        // A call that fails earlier may not have fetched its inputs.
        if let Ok(response) = early {
            return response;
        }
        for (_, piece) in pieces {
            piece.record_inputs_fetched();
        }
        exchange.await
    }

    /// Estimates how long a server takes to fetch the inputs of a call. The
    /// pieces of a group share their inputs.
    fn fetch_time(
        &self,
        server: &ListedServer,
        pieces: &[(u64, Piece)],
    ) -> Duration {
        let mut transfer_time = Duration::ZERO;
        let mut zones: Vec<Arc<str>> = Vec::new();
        let mut last_group = None;
        for (_, piece) in pieces {
            if last_group.replace(piece.group_id()) != Some(piece.group_id()) {
                transfer_time += piece.task().input_transfer_time;
                zones.extend_from_slice(&piece.task().input_zones);
            }
        }
        self.fetch_estimator.borrow().estimate(&InputFetch {
            server_zone: &server.zone,
            producer_zones: &zones,
            transfer_time,
        })
    }

    pub(super) async fn exchange(
        &self,
        server: &ListedServer,
        path: &'static str,
        body: Bytes,
    ) -> Result<CallResponse, CallFailure> {
        let host = HeaderValue::from_str(&server.address.to_string())
            .map_err(|error| CallFailure::NotSent(error.to_string()))?;
        let mut request = Request::post(path)
            .header(header::HOST, host)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| CallFailure::NotSent(error.to_string()))?;
        self.dialect.add_expected_server(request.headers_mut(), &server.name);
        let sent_at = self.blackboard.now();
        let (response, connection) =
            self.servers.send(server, RelayScope::AnyRequest, request).await?;
        if let Some(elapsed) = connection.direct_connect_time() {
            let mut fetch_estimator = self.fetch_estimator.borrow_mut();
            fetch_estimator.record_connect_time(&server.zone, elapsed);
        }
        let (head, body) = response.into_parts();
        let info = self.dialect.decode_response_head(&head, "");
        self.blackboard.record_availability(server, &info);
        let is_first = connection.connect_time().is_some();
        let limit = info.limit;
        self.blackboard.record_limit(server, sent_at, limit, is_first);
        self.blackboard.record_brittle(server, sent_at, &info, is_first);
        let body = bounded_body::read_body(body, MAX_RESPONSE_BYTES).await;
        let body =
            body.map_err(|error| CallFailure::Sent(error.to_string()))?;
        let idle_timeout = info.idle_timeout;
        if !head.status.is_success() {
            // The connection is closed, as after a response without results.
            let cause =
                format!("the server rejected the call with {}", head.status);
            return Err(CallFailure::Sent(cause));
        }
        let load = info.load;
        Ok(CallResponse {
            body,
            connection,
            idle_timeout,
            sent_at,
            limit,
            load,
        })
    }
}
