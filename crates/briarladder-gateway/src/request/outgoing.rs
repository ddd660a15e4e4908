//! Sends a request to a backend server and classifies the response.

use std::{cell::Cell, pin::pin, rc::Rc, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::{
        answer_progress::AnswerPhase,
        placement::{PlacementRequest, prefill_time},
        server::ListedServer,
        stream_versions::lone_versions,
    },
    retry::AttemptFailure,
};
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header, request, response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{timeout, timeout_at};

use crate::{
    blackboard::PrefillGuard,
    bounded_body::{self, BodyPrefix, read_reply_prefix},
    caller_memory::RunCharge,
    context::Gateway,
    dialect::{Dispatch, Prompt, ResponseHead},
    metrics::Metrics,
    pool::{Freshness, PooledConnection, SendError},
    refusal::Refusal,
    server_client::RelayScope,
    stages::{preparation, prepared::PreparedInputs},
};

use super::{
    RequestRefusal, accept::AcceptedRequest, framing::Framing,
    headers::is_hop_by_hop, record::RequestRecord,
};

/// A request that must not run twice only reuses a connection that was active
/// within this time. Backend servers close idle connections, and a request
/// that crosses with the close has an unknown outcome.
const NON_IDEMPOTENT_FRESHNESS: Duration = Duration::from_millis(700);

/// Responses up to this size are buffered before they are forwarded, so that
/// one that breaks off can be retried.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

/// A request with everything needed to send it again.
#[derive(Clone)]
pub struct OutgoingRequest {
    /// The components of the gateway.
    pub gateway: Rc<Gateway>,
    /// The accepted request.
    pub accepted: Rc<AcceptedRequest>,
    /// The head as sent by the caller.
    pub head: Rc<request::Parts>,
    /// The whole body.
    pub body: Bytes,
    /// The results of its stages, which are its inputs.
    pub prepared_inputs: Rc<PreparedInputs>,
    /// Whether it was sent on a connection to a server, which may have run it.
    pub sent: Rc<Cell<bool>>,
    /// The memory that it takes to run.
    pub run_charge: Rc<RunCharge>,
}

/// A server's response whose head has arrived.
pub struct ServerResponse {
    /// The head.
    pub head: response::Parts,
    /// The decoded head.
    pub info: ResponseHead,
    /// The part of the body that was read already.
    pub buffered: Bytes,
    /// The rest of the body.
    pub body: Incoming,
    /// The connection.
    pub connection: PooledConnection,
}

impl ServerResponse {
    /// Returns how the end of the body is marked.
    #[must_use]
    pub fn framing(&self) -> Framing {
        Framing::of(&self.head)
    }

    /// Returns whether the response is certainly not that of an earlier
    /// request, which a faulty server has sent again: it names the attempt, or
    /// it names none and is the first one on its connection.
    fn belongs_to_send(&self) -> bool {
        let is_first = self.connection.connect_time().is_some();
        self.info.echoes_attempt
            || (is_first && !self.info.echoes_other_attempt)
    }
}

/// A response that can be forwarded.
pub enum UsableResponse {
    /// It was read to its end.
    Buffered(Box<BufferedResponse>),
    /// Its body is forwarded as it arrives.
    Streaming(Box<ServerResponse>),
}

impl UsableResponse {
    /// Returns how the end of the body is marked.
    #[must_use]
    pub fn framing(&self) -> Framing {
        match self {
            UsableResponse::Buffered(response) => Framing::of(&response.head),
            UsableResponse::Streaming(response) => response.framing(),
        }
    }
}

/// An attempt without a usable response.
pub struct AttemptError {
    /// The kind of failure, which tells whether the request may have run.
    pub failure: AttemptFailure,
    /// The cause, for logs.
    pub cause: String,
    /// The server's error response, if it may be forwarded to the caller.
    pub error_response: Option<Box<BufferedResponse>>,
    /// The server did not find the inputs; the stages must run again.
    pub inputs_gone: bool,
    /// How far the server had come with its answer.
    pub answer: AnswerPhase,
}

/// A response that was read to its end.
pub struct BufferedResponse {
    /// The head.
    pub head: response::Parts,
    /// The body.
    pub body: Bytes,
}

impl From<SendError> for AttemptError {
    fn from(error: SendError) -> AttemptError {
        AttemptError {
            failure: error.failure,
            cause: error.cause,
            error_response: None,
            inputs_gone: false,
            answer: AnswerPhase::NotBegun,
        }
    }
}

impl AttemptError {
    /// Creates a failure without a response.
    #[must_use]
    pub fn new(
        failure: AttemptFailure,
        cause: impl Into<String>,
    ) -> AttemptError {
        AttemptError {
            failure,
            cause: cause.into(),
            error_response: None,
            inputs_gone: false,
            answer: AnswerPhase::NotBegun,
        }
    }
}

/// Chooses a server for a request, preferably near a zone, and takes a place
/// there if it has a limit. `None` if all suitable servers were tried, are
/// unavailable or have no place.
#[must_use = "a place is taken"]
pub fn choose_server(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
    zone: &str,
    tried: &[Arc<str>],
) -> Option<Arc<ListedServer>> {
    let blackboard = &gateway.blackboard;
    let servers = blackboard.servers.borrow();
    let prompt = accepted.caller.prompt.as_ref();
    let request = PlacementRequest {
        zone,
        affinity: prompt.and_then(Prompt::shared_prefix),
        tried,
        random: rand::random(),
    };
    let places = blackboard.places();
    let usable = servers
        .ready_in_service(&accepted.service)
        .map(|server| &**server)
        .filter(|server| accepted.may_run_at(server))
        .filter(|server| {
            blackboard.may_send(server, &accepted.allowed_regions)
        });
    let lone = versions_to_avoid(accepted, usable.clone());
    let with_place =
        usable.filter(|server| places.has_place(server, accepted.rank));
    let resumable = with_place
        .clone()
        .filter(|server| !lone.contains(&server.software_version));
    let placement = blackboard.placement.borrow();
    let now = blackboard.now();
    let in_flight = |name: &str| blackboard.in_flight(name);
    let chosen = placement
        .choose(now, &request, resumable, in_flight)
        .or_else(|| placement.choose(now, &request, with_place, in_flight))?;
    let taken = places.take(chosen);
    servers.get(&chosen.name).filter(|_| taken).cloned()
}

/// Returns the software versions at which a stream should not begin, since no
/// other server could go on with it.
fn versions_to_avoid<'a>(
    accepted: &AcceptedRequest,
    ready: impl IntoIterator<Item = &'a ListedServer>,
) -> Vec<Arc<str>> {
    if accepted.software.is_some() || !accepted.route.kind.is_resumable() {
        return Vec::new();
    }
    lone_versions(ready)
}

/// Logs and counts a failed attempt, and updates the state of the server.
pub fn record_failure(
    outgoing: &OutgoingRequest,
    server: &ListedServer,
    error: &AttemptError,
) {
    let gateway = &outgoing.gateway;
    let label = match error.failure {
        AttemptFailure::ConnectFailed => "connect_failed",
        AttemptFailure::RefusedNotRun | AttemptFailure::Leaving => "refused",
        AttemptFailure::ConnectionLost => "broken",
        AttemptFailure::TimedOut => "time_out",
        AttemptFailure::ErrorStatus => "error_status",
        AttemptFailure::ResponseMismatch => "other_attempt",
    };
    count_attempt(gateway, &outgoing.accepted, label);
    log::info!(
        "dispatch: id={} server={} failure={label} cause={:?}",
        outgoing.accepted.caller.attempt,
        server.name,
        error.cause
    );
    if error.failure == AttemptFailure::RefusedNotRun && !error.inputs_gone {
        let blackboard = &gateway.blackboard;
        let service = &outgoing.accepted.service;
        blackboard.hedging.borrow_mut().record_full(blackboard.now(), service);
    }
    if error.failure == AttemptFailure::ConnectionLost {
        outgoing.record_crash(server, error.answer);
    }
    // An error response says little about the server's other requests, and
    // missing inputs are not the server's fault.
    let blamed =
        error.failure != AttemptFailure::ErrorStatus && !error.inputs_gone;
    if blamed {
        let now = gateway.blackboard.now();
        gateway
            .blackboard
            .placement
            .borrow_mut()
            .record_failure(now, &server.name);
    }
}

/// Counts an attempt by its outcome.
pub fn count_attempt(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
    outcome: &'static str,
) {
    Metrics::count(&gateway.metrics.sends, &accepted.service, outcome);
}

impl OutgoingRequest {
    /// Runs the stages again after their results were released or lost.
    ///
    /// # Errors
    ///
    /// If a stage cannot be completed in time or fails.
    pub async fn rerun_stages(
        &mut self,
        record: &mut RequestRecord,
    ) -> Result<(), RequestRefusal> {
        log::info!(
            "stages: id={} running again",
            self.accepted.caller.attempt
        );
        let accepted = Rc::clone(&self.accepted);
        let stages = preparation::run(&self.gateway, &accepted, record);
        let done = timeout_at(accepted.head_deadline.into(), stages).await;
        let done =
            done.unwrap_or_else(|_| Err(Refusal::TimeoutBeforeSend.into()));
        self.prepared_inputs = Rc::new(done?);
        Ok(())
    }

    /// Sends the request to one server and records how long it takes to
    /// respond beyond the expected prefill of the prompt.
    ///
    /// # Errors
    ///
    /// If there is no response that can be forwarded.
    pub async fn send_and_record_delay(
        &self,
        server: &ListedServer,
        last_event_id: Option<&str>,
    ) -> Result<UsableResponse, AttemptError> {
        let Some(prompt) = &self.accepted.caller.prompt else {
            return self.send_and_release(server, last_event_id).await;
        };
        let blackboard = &self.gateway.blackboard;
        let prefill_time = prefill_time(prompt.suffix_tokens());
        let prefill =
            PrefillGuard::new(blackboard, &server.name, prefill_time);
        let sent_at = blackboard.now();
        let response = self.send_and_release(server, last_event_id).await;
        drop(prefill);
        if response.is_ok() {
            let now = blackboard.now();
            let elapsed = now.duration_since(sent_at);
            let delay = elapsed.saturating_sub(prefill_time);
            blackboard.placement.borrow_mut().record_delay(
                now,
                &server.name,
                delay,
            );
        }
        response
    }

    /// Sends the request to one server, and releases its inputs once the
    /// server has had enough time to fetch them.
    async fn send_and_release(
        &self,
        server: &ListedServer,
        last_event_id: Option<&str>,
    ) -> Result<UsableResponse, AttemptError> {
        let Some(fetch) = self.prepared_inputs.required_fetch(&server.zone)
        else {
            return self.send_once(server, last_event_id).await;
        };
        let fetch_estimator = &self.gateway.blackboard.fetch_estimator;
        let fetch_time = fetch_estimator.borrow().estimate(&fetch);
        let mut sending = pin!(self.send_once(server, last_event_id));
        let early = timeout(fetch_time, &mut sending).await;
        let response = if let Ok(response) = early {
            response
        } else {
            self.prepared_inputs.release();
            sending.await
        };
        match &response {
            Ok(_) => fetch_estimator.borrow_mut().record_fetched(),
            Err(error) if error.inputs_gone => {
                fetch_estimator.borrow_mut().record_missing_input();
            }
            Err(_) => {}
        }
        response
    }

    /// Sends the request to one server, and reads the response as far as
    /// needed to decide whether it can be forwarded.
    async fn send_once(
        &self,
        server: &ListedServer,
        last_event_id: Option<&str>,
    ) -> Result<UsableResponse, AttemptError> {
        let allowed = &self.accepted.allowed_regions;
        if !self.gateway.blackboard.regions.allow(allowed, &server.zone) {
            let failure = AttemptFailure::ConnectFailed;
            let cause = "the server is outside the allowed regions";
            return Err(AttemptError::new(failure, cause));
        }
        let request = self.build_request(server, last_event_id)?;
        let freshness = if self.accepted.route.kind.is_repeatable() {
            Freshness::Any
        } else {
            Freshness::UsedWithin(NON_IDEMPOTENT_FRESHNESS)
        };
        let scope = RelayScope::Allowed(allowed);
        let attempt = &self.accepted.caller.attempt;
        let on_connected = || self.sent.set(true);
        let sent_at = self.gateway.blackboard.now();
        let (response, connection) = self
            .gateway
            .servers
            .send_attempt(
                server,
                scope,
                request,
                freshness,
                attempt,
                on_connected,
            )
            .await?;
        if let Some(elapsed) = connection.direct_connect_time() {
            let mut fetch_estimator =
                self.gateway.blackboard.fetch_estimator.borrow_mut();
            fetch_estimator.record_connect_time(&server.zone, elapsed);
        }
        let (head, body) = response.into_parts();
        let info = self.gateway.dialect.decode_response_head(&head, attempt);
        let response = ServerResponse {
            head,
            info,
            buffered: Bytes::new(),
            body,
            connection,
        };
        let blackboard = &self.gateway.blackboard;
        let is_own = response.belongs_to_send();
        if is_own {
            blackboard.record_availability(server, &info);
        }
        blackboard.record_limit(server, sent_at, info.limit, is_own);
        blackboard.record_brittle(server, sent_at, &info, is_own);
        self.classify(server, response).await
    }

    fn build_request(
        &self,
        server: &ListedServer,
        last_event_id: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, AttemptError> {
        let dialect = &self.gateway.dialect;
        let mut headers = HeaderMap::with_capacity(self.head.headers.len());
        for (name, value) in &self.head.headers {
            let passes = !is_hop_by_hop(name)
                && name != header::CONTENT_LENGTH
                && dialect.passes_to_server(name);
            if passes {
                headers.append(name, value.clone());
            }
        }
        let now = self.gateway.blackboard.now();
        let workspace = self.accepted.workspace.as_ref();
        let dispatch = Dispatch {
            server: &server.name,
            time_left: self.accepted.time_left(now),
            workspace: workspace.map(|workspace| &*workspace.name),
            inputs: self.prepared_inputs.results(),
            last_event_id,
            rank: self.accepted.rank,
        };
        dialect.add_dispatch_headers(&mut headers, &dispatch);
        let target =
            self.head.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut request = Request::builder()
            .method(self.head.method.clone())
            .uri(target)
            .body(Full::new(self.body.clone()))
            .map_err(|error| {
                let failure = AttemptFailure::ConnectFailed;
                AttemptError::new(failure, error.to_string())
            })?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Decides whether a response can be forwarded.
    async fn classify(
        &self,
        server: &ListedServer,
        response: ServerResponse,
    ) -> Result<UsableResponse, AttemptError> {
        let info = response.info;
        let status = response.head.status;
        if info.echoes_other_attempt {
            let failure = AttemptFailure::ResponseMismatch;
            return Err(AttemptError::new(
                failure,
                "the response belongs to another attempt",
            ));
        }
        if !response.belongs_to_send() {
            let label = response.connection.label();
            let failure = AttemptFailure::ResponseMismatch;
            let cause = format!(
                "a response with {status} names no attempt, on {label}"
            );
            return Err(AttemptError::new(failure, cause));
        }
        if info.not_run || info.wrong_server {
            return Err(self.judge_rejection(response).await);
        }
        if status.is_success() {
            if !info.signed || !info.echoes_attempt {
                let failure = AttemptFailure::ErrorStatus;
                return Err(AttemptError::new(
                    failure,
                    "a success response without signature or attempt id",
                ));
            }
            if self.should_stream(&response) {
                return Ok(UsableResponse::Streaming(Box::new(response)));
            }
        }
        self.buffer_and_classify(server, response).await
    }

    /// Buffers a response and decides whether it can be forwarded.
    async fn buffer_and_classify(
        &self,
        server: &ListedServer,
        response: ServerResponse,
    ) -> Result<UsableResponse, AttemptError> {
        let framing = response.framing();
        let ServerResponse { head, info, mut body, mut connection, .. } =
            response;
        let status = head.status;
        let broken =
            |cause| AttemptError::new(AttemptFailure::ConnectionLost, cause);
        let caller = &self.accepted.connection;
        let read =
            read_reply_prefix(&mut body, MAX_BUFFERED_BYTES, caller).await;
        let read = read.map_err(|error| {
            broken(format!("the response ended early: {error}"))
        });
        let body = match read? {
            BodyPrefix::Whole(body) => body,
            BodyPrefix::Exceeding(buffered) if status.is_success() => {
                let response =
                    ServerResponse { head, info, buffered, body, connection };
                return Ok(UsableResponse::Streaming(Box::new(response)));
            }
            BodyPrefix::Exceeding(_) => {
                return Err(broken(
                    "the error response exceeds the buffer limit".to_owned(),
                ));
            }
        };
        let upload = connection.upload();
        let doubt = self.doubtful_end(server, framing, status, &upload);
        if let Some(doubt) = doubt.await {
            return Err(broken(doubt.to_string()));
        }
        let is_failure = status.is_server_error()
            || states_not_run(status)
            || (status.is_success() && !info.signed);
        if !status.is_success() || is_failure {
            connection.exclude_attempt(&self.accepted.caller.attempt);
        }
        connection.return_to_pool(info.idle_timeout);
        if !is_failure {
            return Ok(UsableResponse::Buffered(Box::new(BufferedResponse {
                head,
                body,
            })));
        }
        // A status that states "not run" is only forwarded with proof.
        let error_response = (!states_not_run(status))
            .then(|| Box::new(BufferedResponse { head, body }));
        Err(AttemptError {
            failure: AttemptFailure::ErrorStatus,
            cause: format!("the server responded with {status}"),
            error_response,
            inputs_gone: false,
            answer: AnswerPhase::Underway,
        })
    }

    fn should_stream(&self, response: &ServerResponse) -> bool {
        use http_body::Body as _;
        let max_buffered =
            u64::try_from(MAX_BUFFERED_BYTES).unwrap_or(u64::MAX);
        self.accepted.route.kind.is_stream()
            || response.body.size_hint().lower() > max_buffered
    }

    /// Returns the failure of an attempt that the server has rejected. It
    /// proves that the request did not run: the response is the first on its
    /// connection, or names the attempt, which has not been rejected on this
    /// connection before.
    async fn judge_rejection(&self, response: ServerResponse) -> AttemptError {
        let ServerResponse { head, info, body, mut connection, .. } = response;
        let status = head.status;
        let label = connection.label();
        if drain_body(body).await {
            connection.exclude_attempt(&self.accepted.caller.attempt);
            connection.return_to_pool(info.idle_timeout);
        }
        let cause = format!(
            "the server rejected the request with {status} on {label}"
        );
        let failure = AttemptFailure::RefusedNotRun;
        let mut error = AttemptError::new(failure, cause);
        error.inputs_gone = info.inputs_gone;
        error
    }
}

/// Returns whether a status states that the request has not run.
fn states_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Reads the body of a rejection to its end, so that the connection can be
/// reused.
async fn drain_body(body: Incoming) -> bool {
    bounded_body::read_body(body, MAX_BUFFERED_BYTES).await.is_ok()
}
