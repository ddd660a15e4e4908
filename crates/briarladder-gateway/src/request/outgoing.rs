//! Sends a request to a backend server and classifies the response.

use std::{cell::Cell, pin::pin, rc::Rc, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::{
        crash_tracker::{ContentHash, ServerIncarnation},
        placement::{PlacementRequest, prefill_time},
        server::ListedServer,
    },
    retry::AttemptFailure,
};
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header, request, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{timeout, timeout_at};

use crate::{
    board::ReadingGuard,
    context::Gateway,
    dialect::{AnswerHead, Dispatch, Prompt},
    metrics::Metrics,
    pool::{Freshness, Lease, SendError},
    refusal::Refusal,
    stages::{preparation, prepared::Prepared},
};

use super::{
    Ended, accept::Accepted, headers::is_connection_header, record::Record,
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
pub struct Outgoing {
    /// The components of the gateway.
    pub gateway: Rc<Gateway>,
    /// The accepted request.
    pub accepted: Rc<Accepted>,
    /// The head as sent by the caller.
    pub head: Rc<request::Parts>,
    /// The whole body.
    pub body: Bytes,
    /// The results of its stages, which are its inputs.
    pub prepared: Rc<Prepared>,
    /// Whether it was sent to a server, which may have run it.
    pub sent: Rc<Cell<bool>>,
}

/// A server's response whose head has arrived.
pub struct Answer {
    /// The head.
    pub head: response::Parts,
    /// The decoded head.
    pub facts: AnswerHead,
    /// Chunks of the body that were read already.
    pub begun: Vec<Bytes>,
    /// The rest of the body.
    pub body: Incoming,
    /// The connection.
    pub lease: Lease,
}

/// A response that can be forwarded.
pub enum Usable {
    /// It was read to its end.
    Whole(Box<WholeAnswer>),
    /// Its body is forwarded as it arrives.
    Flowing(Box<Answer>),
}

/// An attempt without a usable response.
pub struct Failed {
    /// The kind of failure, which tells whether the request may have run.
    pub failure: AttemptFailure,
    /// The cause, for logs.
    pub cause: String,
    /// The server's error response, if it may be forwarded to the caller.
    pub own_failure: Option<Box<WholeAnswer>>,
    /// The server did not find the inputs; the stages must run again.
    pub inputs_gone: bool,
}

/// A response that was read to its end.
pub struct WholeAnswer {
    /// The head.
    pub head: response::Parts,
    /// The body.
    pub body: Bytes,
}

impl From<SendError> for Failed {
    fn from(error: SendError) -> Failed {
        Failed {
            failure: error.failure,
            cause: error.cause,
            own_failure: None,
            inputs_gone: false,
        }
    }
}

impl Failed {
    /// Creates a failure without a response.
    #[must_use]
    pub fn new(failure: AttemptFailure, cause: impl Into<String>) -> Failed {
        Failed {
            failure,
            cause: cause.into(),
            own_failure: None,
            inputs_gone: false,
        }
    }
}

/// Chooses a server for a request, preferably near a zone. `None` if all
/// suitable servers were tried or are unavailable.
#[must_use]
pub fn choose_server(
    gateway: &Gateway,
    accepted: &Accepted,
    zone: &str,
    tried: &[Arc<str>],
) -> Option<Arc<ListedServer>> {
    let board = &gateway.board;
    let servers = board.servers.borrow();
    let prompt = accepted.caller.prompt.as_ref();
    let wish = PlacementRequest {
        zone,
        affinity: prompt.and_then(Prompt::shared_prefix),
        tried,
        random: rand::random(),
    };
    let ready = servers
        .ready_in_service(&accepted.service)
        .map(|server| &**server)
        .filter(|server| board.takes_work(server));
    let chosen = board.placement.borrow().choose(
        board.now(),
        &wish,
        ready,
        |name| board.running(name),
    )?;
    servers.get(&chosen.name).cloned()
}

/// Logs and counts a failed attempt, and updates the state of the server.
pub fn note_failure(
    outgoing: &Outgoing,
    server: &ListedServer,
    failed: &Failed,
) {
    let gateway = &outgoing.gateway;
    let label = match failed.failure {
        AttemptFailure::ConnectFailed => "connect_failed",
        AttemptFailure::RefusedNotRun | AttemptFailure::Leaving => "refused",
        AttemptFailure::ConnectionLost => "broken",
        AttemptFailure::TimedOut => "time_out",
        AttemptFailure::ErrorStatus => "error_status",
        AttemptFailure::ResponseMismatch => "other_attempt",
    };
    count(gateway, &outgoing.accepted, label);
    log::info!(
        "dispatch: id={} server={} failure={label} cause={:?}",
        outgoing.accepted.caller.attempt,
        server.name,
        failed.cause
    );
    if failed.failure == AttemptFailure::ConnectionLost {
        outgoing.crashed(server);
    }
    // An error response says little about the server's other requests, and
    // missing inputs are not the server's fault.
    let blamed =
        failed.failure != AttemptFailure::ErrorStatus && !failed.inputs_gone;
    if blamed {
        let now = gateway.board.now();
        gateway.board.placement.borrow_mut().record_failure(now, &server.name);
    }
}

/// Counts an attempt by its outcome.
pub fn count(gateway: &Gateway, accepted: &Accepted, outcome: &'static str) {
    Metrics::count(&gateway.metrics.sends, &accepted.service, outcome);
}

impl Outgoing {
    /// Returns a fingerprint of the request that does not depend on its id.
    fn content(&self) -> ContentHash {
        let target =
            self.head.uri.path_and_query().map_or("/", |p| p.as_str());
        let workspace = self.accepted.workspace.as_ref();
        ContentHash::of(target, workspace.map(|w| &*w.name), &self.body)
    }

    /// Returns for how long the request is still refused because servers
    /// crashed while they ran it.
    #[must_use]
    pub fn refused_for(&self) -> Option<Duration> {
        let board = &self.gateway.board;
        let crashers = board.crashers.borrow();
        if crashers.is_empty() {
            return None;
        }
        crashers.refused_for(board.now(), self.content())
    }

    /// Records that a server exited, or closed its connection, while it
    /// processed the request.
    pub fn crashed(&self, server: &ListedServer) {
        let board = &self.gateway.board;
        let run = ServerIncarnation::of(&server.name, server.born_ms);
        let refused = board.crashers.borrow_mut().record_crash(
            board.now(),
            self.content(),
            run,
        );
        if refused {
            log::warn!(
                "crashers: id={} server={} outcome=refused_from_now",
                self.accepted.caller.attempt,
                server.name
            );
        }
    }

    /// Records a complete response.
    pub fn succeeded(&self) {
        let mut crashers = self.gateway.board.crashers.borrow_mut();
        if !crashers.is_empty() {
            crashers.record_success(self.content());
        }
    }

    /// Runs the stages again after their results were released or lost.
    ///
    /// # Errors
    ///
    /// If a stage cannot be completed in time or fails.
    pub async fn prepare_again(
        &mut self,
        record: &mut Record,
    ) -> Result<(), Ended> {
        log::info!(
            "stages: id={} running again",
            self.accepted.caller.attempt
        );
        let accepted = Rc::clone(&self.accepted);
        let stages = preparation::run(&self.gateway, &accepted, record);
        let done = timeout_at(accepted.head_by.into(), stages).await;
        let done = done.unwrap_or_else(|_| Err(Refusal::TimeOutUnsent.into()));
        self.prepared = Rc::new(done?);
        Ok(())
    }

    /// Sends the request to one server and records how long it takes to
    /// respond beyond the expected prefill of the prompt.
    ///
    /// # Errors
    ///
    /// If there is no response that can be forwarded.
    pub async fn send_and_learn(
        &self,
        server: &ListedServer,
        resume: Option<&str>,
    ) -> Result<Usable, Failed> {
        let Some(prompt) = &self.accepted.caller.prompt else {
            return self.send_and_release(server, resume).await;
        };
        let board = &self.gateway.board;
        let reading = prefill_time(prompt.own_tokens());
        let unread = ReadingGuard::new(board, &server.name, reading);
        let sent_at = board.now();
        let answer = self.send_and_release(server, resume).await;
        drop(unread);
        if answer.is_ok() {
            let now = board.now();
            let took = now.duration_since(sent_at);
            let delay = took.saturating_sub(reading);
            board.placement.borrow_mut().record_delay(
                now,
                &server.name,
                delay,
            );
        }
        answer
    }

    /// Sends the request to one server, and releases its inputs once the
    /// server has had enough time to fetch them.
    async fn send_and_release(
        &self,
        server: &ListedServer,
        resume: Option<&str>,
    ) -> Result<Usable, Failed> {
        let Some(fetch) = self.prepared.fetch(&server.zone) else {
            return self.send_once(server, resume).await;
        };
        let times = &self.gateway.board.fetch_times;
        let fetch_time = times.borrow().estimate(&fetch);
        let mut sending = pin!(self.send_once(server, resume));
        let early = timeout(fetch_time, &mut sending).await;
        let answer = if let Ok(answer) = early {
            answer
        } else {
            self.prepared.release();
            sending.await
        };
        match &answer {
            Ok(_) => times.borrow_mut().record_fetched(),
            Err(failed) if failed.inputs_gone => {
                times.borrow_mut().record_missing_input()
            }
            Err(_) => {}
        }
        answer
    }

    /// Sends the request to one server, and reads the response as far as
    /// needed to decide whether it can be forwarded.
    async fn send_once(
        &self,
        server: &ListedServer,
        resume: Option<&str>,
    ) -> Result<Usable, Failed> {
        let request = self.request_for(server, resume)?;
        let freshness = if self.accepted.route.kind.is_repeatable() {
            Freshness::Any
        } else {
            Freshness::UsedWithin(NON_IDEMPOTENT_FRESHNESS)
        };
        let pool = &self.gateway.pool;
        self.sent.set(true);
        let (response, lease) =
            pool.send(server.address, request, freshness).await?;
        if let Some(took) = lease.connect_time() {
            let mut times = self.gateway.board.fetch_times.borrow_mut();
            times.record_connect_time(&server.zone, took);
        }
        let (head, body) = response.into_parts();
        let attempt = &self.accepted.caller.attempt;
        let facts = self.gateway.dialect.answer_head(&head, attempt);
        self.gateway.board.heed(server, &facts);
        self.judge(Answer { head, facts, begun: Vec::new(), body, lease })
            .await
    }

    fn request_for(
        &self,
        server: &ListedServer,
        resume: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, Failed> {
        let dialect = &self.gateway.dialect;
        let mut headers = HeaderMap::with_capacity(self.head.headers.len());
        for (name, value) in &self.head.headers {
            let passes = !is_connection_header(name)
                && name != header::CONTENT_LENGTH
                && dialect.passes_to_server(name);
            if passes {
                headers.append(name, value.clone());
            }
        }
        let now = self.gateway.board.now();
        let workspace = self.accepted.workspace.as_ref();
        let dispatch = Dispatch {
            server: &server.name,
            time_left: self.accepted.time_left(now),
            workspace: workspace.map(|workspace| &*workspace.name),
            inputs: self.prepared.results(),
            resume,
            rank: self.accepted.rank,
        };
        dialect.add_dispatch(&mut headers, &dispatch);
        let target =
            self.head.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut request = Request::builder()
            .method(self.head.method.clone())
            .uri(target)
            .body(Full::new(self.body.clone()))
            .map_err(|error| {
                let failure = AttemptFailure::ConnectFailed;
                Failed::new(failure, error.to_string())
            })?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Decides whether a response can be forwarded.
    async fn judge(&self, answer: Answer) -> Result<Usable, Failed> {
        let facts = answer.facts;
        let status = answer.head.status;
        if facts.echoes_other {
            let failure = AttemptFailure::ResponseMismatch;
            return Err(Failed::new(
                failure,
                "the response belongs to another attempt",
            ));
        }
        if facts.not_run || facts.other_server {
            let cause =
                format!("the server rejected the request with {status}");
            if read_out(answer.body).await {
                answer.lease.give_back(facts.idle_timeout);
            }
            let failure = AttemptFailure::RefusedNotRun;
            let mut failed = Failed::new(failure, cause);
            failed.inputs_gone = facts.inputs_gone;
            return Err(failed);
        }
        if status.is_success() {
            if !facts.signed || !facts.echoes_attempt {
                let failure = AttemptFailure::ErrorStatus;
                return Err(Failed::new(
                    failure,
                    "a success response lacks the server's signature or the attempt id",
                ));
            }
            if self.flows(&answer) {
                return Ok(Usable::Flowing(Box::new(answer)));
            }
        }
        self.judge_whole(answer).await
    }

    /// Buffers a response and decides whether it can be forwarded.
    async fn judge_whole(&self, answer: Answer) -> Result<Usable, Failed> {
        let Answer { head, facts, mut body, lease, .. } = answer;
        let status = head.status;
        let broken =
            |cause| Failed::new(AttemptFailure::ConnectionLost, cause);
        let read = read_up_to(&mut body, MAX_BUFFERED_BYTES).await;
        let body = match read.map_err(broken)? {
            Read::Whole(body) => body,
            Read::Part(begun) if status.is_success() => {
                let answer = Answer { head, facts, begun, body, lease };
                return Ok(Usable::Flowing(Box::new(answer)));
            }
            Read::Part(_) => {
                return Err(broken(
                    "the error response exceeds the buffer limit".to_owned(),
                ));
            }
        };
        lease.give_back(facts.idle_timeout);
        let failed = status.is_server_error()
            || is_promise(status)
            || (status.is_success() && !facts.signed);
        if !failed {
            return Ok(Usable::Whole(Box::new(WholeAnswer { head, body })));
        }
        // A status that states "not run" is only forwarded with proof.
        let own_failure = (!is_promise(status))
            .then(|| Box::new(WholeAnswer { head, body }));
        Err(Failed {
            failure: AttemptFailure::ErrorStatus,
            cause: format!("the server responded with {status}"),
            own_failure,
            inputs_gone: false,
        })
    }

    fn flows(&self, answer: &Answer) -> bool {
        use http_body::Body as _;
        let longest = u64::try_from(MAX_BUFFERED_BYTES).unwrap_or(u64::MAX);
        self.accepted.route.kind.is_stream()
            || answer.body.size_hint().lower() > longest
    }
}

/// Returns whether a status states that the request has not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// The result of reading a body up to a limit.
enum Read {
    /// The whole body.
    Whole(Bytes),
    /// The chunks read so far; more follow.
    Part(Vec<Bytes>),
}

/// Reads a body until it ends or exceeds a limit.
async fn read_up_to(
    body: &mut Incoming,
    limit: usize,
) -> Result<Read, String> {
    let mut begun = Vec::new();
    let mut len = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|error| format!("the response ended early: {error}"))?;
        if let Ok(data) = frame.into_data() {
            len += data.len();
            begun.push(data);
        }
        if len > limit {
            return Ok(Read::Part(begun));
        }
    }
    Ok(Read::Whole(Bytes::from(begun.concat())))
}

/// Reads the body of a rejection to its end, so that the connection can be
/// reused.
async fn read_out(body: Incoming) -> bool {
    Limited::new(body, MAX_BUFFERED_BYTES).collect().await.is_ok()
}
