//! Calling servers for pieces.

use std::{pin::pin, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::{batching::Call, fetch_time::InputFetch, server::ListedServer},
    retry::AttemptFailure,
};
use bytes::Bytes;
use derive_more::Display;
use http::{HeaderValue, Request, header};
use http_body_util::{BodyExt, Full, Limited};

use crate::{
    dialect::{PieceCall, PieceOutcome},
    pool::{Freshness, SendError},
};

use super::{super::batch::Job, Collector, QueueKey};

/// A call that takes this many times what is expected is given up.
const CALL_PATIENCE: u32 = 4;

/// A call is never given up sooner than this.
const MIN_CALL_PATIENCE: Duration = Duration::from_millis(900);

/// The longest answer to a call. The references of the largest batch take a
/// few kilobytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// Why a call brought no outcomes.
#[derive(Clone, Debug, Display)]
pub(super) enum CallFailure {
    /// The process of the server has ended, and with it its results.
    Ended(String),
    /// It did not reach the server.
    Unsent(String),
    /// The server may have begun to work on it.
    Sent(String),
}

impl From<SendError> for CallFailure {
    fn from(error: SendError) -> CallFailure {
        let cause = error.to_string();
        match error.failure {
            _ if error.refused => CallFailure::Ended(cause),
            AttemptFailure::ConnectFailed => CallFailure::Unsent(cause),
            _ => CallFailure::Sent(cause),
        }
    }
}

impl Collector {
    pub(super) async fn call(
        &self,
        key: &QueueKey,
        server: &ListedServer,
        call: &Call,
        jobs: &[(u64, Job)],
    ) -> Result<Vec<PieceOutcome>, CallFailure> {
        let called = self.call_once(server, call, jobs).await;
        // A call that has not left is not counted: it is no repetition later.
        if !matches!(
            called,
            Err(CallFailure::Ended(_) | CallFailure::Unsent(_))
        ) {
            let first = jobs.iter().filter(|(_, job)| job.tries == 0);
            first.for_each(|_| self.board.first_sent(&key.service));
        }
        called
    }

    async fn call_once(
        &self,
        server: &ListedServer,
        call: &Call,
        jobs: &[(u64, Job)],
    ) -> Result<Vec<PieceOutcome>, CallFailure> {
        let now = self.board.now();
        let pieces: Vec<PieceCall<'_>> =
            jobs.iter().map(|(_, job)| job.piece_call(now)).collect();
        let body = self.dialect.encode_pieces(&pieces);
        let path = self.dialect.pieces_path();
        let patience = (call.expected * CALL_PATIENCE).max(MIN_CALL_PATIENCE);
        let exchange = self.exchange(server, path, body);
        let exchange = async {
            if call.starts_immediately {
                self.watch_fetching(server, jobs, exchange).await
            } else {
                exchange.await
            }
        };
        let answer = tokio::time::timeout(patience, exchange).await;
        let late = CallFailure::Sent("no answer in time".to_owned());
        let answer = answer.unwrap_or(Err(late))?;
        let outcomes = self
            .dialect
            .decode_pieces(&answer)
            .map_err(|error| CallFailure::Sent(error.to_string()))?;
        if outcomes.len() != jobs.len() {
            return Err(CallFailure::Sent(format!(
                "{} outcomes for {} pieces",
                outcomes.len(),
                jobs.len()
            )));
        }
        Ok(outcomes)
    }

    /// Waits for the answer to a call, and meanwhile tells its pieces when
    /// the server has had the time to fetch their inputs.
    async fn watch_fetching(
        &self,
        server: &ListedServer,
        jobs: &[(u64, Job)],
        exchange: impl Future<Output = Result<Bytes, CallFailure>>,
    ) -> Result<Bytes, CallFailure> {
        let mut exchange = pin!(exchange);
        let fetch_time = self.fetch_time(server, jobs);
        let early = tokio::time::timeout(fetch_time, &mut exchange).await;
        // A call that failed before may not have fetched anything.
        if let Ok(answer) = early {
            return answer;
        }
        for (_, job) in jobs {
            job.inputs_fetched();
        }
        exchange.await
    }

    /// Estimates how long a server takes to fetch the inputs of a call. Each
    /// group has inputs of its own.
    fn fetch_time(
        &self,
        server: &ListedServer,
        jobs: &[(u64, Job)],
    ) -> Duration {
        let mut transfer = Duration::ZERO;
        let mut zones: Vec<Arc<str>> = Vec::new();
        let mut last_group = None;
        for (_, job) in jobs {
            if last_group.replace(job.group()) != Some(job.group()) {
                transfer += job.stage().input_transfer;
                zones.extend_from_slice(&job.stage().input_zones);
            }
        }
        self.fetch_times.borrow().estimate(&InputFetch {
            server_zone: &server.zone,
            producer_zones: &zones,
            transfer_time: transfer,
        })
    }

    pub(super) async fn exchange(
        &self,
        server: &ListedServer,
        path: &'static str,
        body: Bytes,
    ) -> Result<Bytes, CallFailure> {
        let host = HeaderValue::from_str(&server.address.to_string())
            .map_err(|error| CallFailure::Unsent(error.to_string()))?;
        let mut request = Request::post(path)
            .header(header::HOST, host)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| CallFailure::Unsent(error.to_string()))?;
        self.dialect.expect_server(request.headers_mut(), &server.name);
        let (response, lease) =
            self.pool.send(server.address, request, Freshness::Any).await?;
        if let Some(took) = lease.connect_time() {
            let mut times = self.fetch_times.borrow_mut();
            times.record_connect_time(&server.zone, took);
        }
        let (head, body) = response.into_parts();
        let facts = self.dialect.answer_head(&head, "");
        self.board.heed(server, &facts);
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body =
            body.map_err(|error| CallFailure::Sent(error.to_string()))?;
        lease.give_back(facts.idle_timeout);
        if !head.status.is_success() {
            let cause = format!("refused with {}", head.status);
            return Err(CallFailure::Sent(cause));
        }
        Ok(body.to_bytes())
    }
}
