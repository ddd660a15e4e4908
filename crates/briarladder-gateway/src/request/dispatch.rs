//! Sending a request to a backend server and passing on its answer.

use std::{rc::Rc, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::{
        attempt::{NextStep, Sends},
        placement::{Wish, reading_time},
        server::ListedServer,
        stages::Handle,
    },
    retry::AttemptFailure,
};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, Request, Response, StatusCode, header, request,
    response,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{sleep_until, timeout_at};

use crate::{
    board::{ReadingGuard, RunningGuard},
    body::{Relay, ReplyBody},
    context::Gateway,
    dialect::{AnswerHead, Dispatch, Prompt},
    metrics::Metrics,
    pool::{Freshness, Lease, SendError},
    refusal::Refusal,
    stages::preparation::Prepared,
};

use super::{Ended, accept::Accepted, record::Record};

/// A request that may not repeat only uses a connection that was used within
/// this time. Backend servers close idle connections, and a request that
/// meets the close has an unknown outcome.
const NON_IDEMPOTENT_FRESHNESS: Duration = Duration::from_millis(700);

/// Answers up to this size are read whole before they are passed on, so that
/// one that breaks off can be asked for again.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

/// Another send needs at least this much time to be of use.
const MIN_RETRY_TIME: Duration = Duration::from_millis(40);

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::EXPECT,
];

/// The non-standard header of one connection.
const KEEP_ALIVE: &str = "keep-alive";

/// A request with what is needed to send it again.
struct Outgoing<'a> {
    gateway: &'a Rc<Gateway>,
    accepted: &'a Accepted,
    head: &'a request::Parts,
    body: Bytes,
    inputs: &'a [Handle],
}

/// An answer whose head has arrived.
struct Answer {
    head: response::Parts,
    facts: AnswerHead,
    body: Incoming,
    lease: Lease,
}

/// An answer that can be passed on.
enum Usable {
    Whole(response::Parts, Bytes),
    Flowing(Box<Answer>),
}

/// A send that brought no usable answer.
struct Failed {
    failure: AttemptFailure,
    cause: String,
    /// The answer of a server that reports a failure of its own.
    own_failure: Option<Box<WholeAnswer>>,
    /// No server can run the request, since its inputs are gone.
    inputs_gone: bool,
}

/// An answer that was read whole.
struct WholeAnswer {
    head: response::Parts,
    body: Bytes,
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
    fn new(failure: AttemptFailure, cause: impl Into<String>) -> Failed {
        Failed {
            failure,
            cause: cause.into(),
            own_failure: None,
            inputs_gone: false,
        }
    }
}

/// Sends a request until a server has answered it or no other send may
/// follow.
///
/// # Errors
///
/// With the refusal for the caller.
pub async fn dispatch(
    gateway: &Rc<Gateway>,
    accepted: &Accepted,
    head: &request::Parts,
    body: Bytes,
    prepared: &Prepared,
    mut record: Record,
) -> Result<Response<ReplyBody>, (Box<Record>, Ended)> {
    let outgoing =
        Outgoing { gateway, accepted, head, body, inputs: prepared.results() };
    let board = &gateway.board;
    let route = &accepted.route;
    let mut sends = Sends::new(route.kind, route.max_attempts);
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut last_failure = None;
    let refusal = loop {
        let Some(server) =
            choose_server(gateway, accepted, prepared.zone(), &tried)
        else {
            record.cause.get_or_insert_with(|| "no server left".to_owned());
            break match sends.may_have_run() {
                0 => Refusal::NoServer,
                _ => Refusal::Unknown,
            };
        };
        record.server = Some(Arc::clone(&server.name));
        record.sends += 1;
        if tried.is_empty() {
            board.first_sent(&accepted.service);
        }
        let running = board.start_running(&server.name);
        let sent = outgoing.send_and_learn(&server);
        let sent = timeout_at(accepted.give_up.into(), sent).await;
        let failed = match sent {
            Ok(Ok(answer)) => {
                count(gateway, accepted, "answered");
                board.placement.borrow_mut().succeeded(&server.name);
                return Ok(pass_on(
                    &outgoing, answer, record, running, prepared,
                ));
            }
            Ok(Err(failed)) => failed,
            Err(_) => {
                count(gateway, accepted, "time_out");
                record.cause = Some("no answer in time".to_owned());
                break Refusal::TimeOutSent;
            }
        };
        drop(running);
        note_failure(&outgoing, &server, &failed);
        tried.push(Arc::clone(&server.name));
        record.cause = Some(failed.cause);
        last_failure = failed.own_failure.or(last_failure);
        let in_time = !failed.inputs_gone
            && accepted.time_to_head(board.now()) > MIN_RETRY_TIME;
        let pay = || board.try_repeat(&accepted.service);
        match sends.failed(failed.failure, in_time, pay) {
            NextStep::Retry => {}
            NextStep::FailNotRun => break Refusal::NoServer,
            NextStep::FailUnknown => break Refusal::Unknown,
        }
    };
    if refusal == Refusal::Unknown
        && let Some(answer) = last_failure
    {
        let WholeAnswer { head, body } = *answer;
        record.status = head.status.as_u16();
        record.end("server_failed");
        return Ok(whole_response(&head, body));
    }
    Err((Box::new(record), refusal.into()))
}

/// Chooses the server that runs a request, near a zone.
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
    let wish = Wish {
        zone,
        affinity: prompt.and_then(Prompt::shared_prefix),
        tried,
        point: rand::random(),
    };
    let ready = servers.ready(&accepted.service).map(|server| &**server);
    let chosen = board.placement.borrow().choose(
        board.now(),
        &wish,
        ready,
        |name| board.running(name),
    )?;
    servers.get(&chosen.name).cloned()
}

fn note_failure(
    outgoing: &Outgoing<'_>,
    server: &ListedServer,
    failed: &Failed,
) {
    let gateway = outgoing.gateway;
    let label = match failed.failure {
        AttemptFailure::ConnectFailed => "connect_failed",
        AttemptFailure::RefusedNotRun | AttemptFailure::Leaving => "refused",
        AttemptFailure::Broken => "broken",
        AttemptFailure::TimedOut => "time_out",
        AttemptFailure::ErrorStatus => "error_status",
        AttemptFailure::MismatchedEcho => "other_attempt",
    };
    count(gateway, outgoing.accepted, label);
    log::info!(
        "dispatch: id={} server={} failure={label} cause={:?}",
        outgoing.accepted.caller.attempt,
        server.name,
        failed.cause
    );
    // A server's own error answers say little about its other requests.
    if failed.failure != AttemptFailure::ErrorStatus {
        let now = gateway.board.now();
        gateway.board.placement.borrow_mut().failed(now, &server.name);
    }
}

fn count(gateway: &Gateway, accepted: &Accepted, outcome: &'static str) {
    Metrics::count(&gateway.metrics.sends, &accepted.service, outcome);
}

impl Outgoing<'_> {
    /// Sends the request to one server and learns from the time that it
    /// takes to begin its answer.
    async fn send_and_learn(
        &self,
        server: &ListedServer,
    ) -> Result<Usable, Failed> {
        let Some(prompt) = &self.accepted.caller.prompt else {
            return self.send_once(server).await;
        };
        let board = &self.gateway.board;
        let reading = reading_time(prompt.own_tokens());
        let unread = ReadingGuard::new(board, &server.name, reading);
        let sent_at = board.now();
        let answer = self.send_once(server).await;
        drop(unread);
        if answer.is_ok() {
            let now = board.now();
            let took = now.duration_since(sent_at);
            let delay = took.saturating_sub(reading);
            board.placement.borrow_mut().delayed(now, &server.name, delay);
        }
        answer
    }

    /// Sends the request to one server and reads its answer as far as
    /// needed to know whether it can be passed on.
    async fn send_once(
        &self,
        server: &ListedServer,
    ) -> Result<Usable, Failed> {
        let request = self.request_for(server)?;
        let freshness = if self.accepted.route.kind.may_repeat() {
            Freshness::Any
        } else {
            Freshness::UsedWithin(NON_IDEMPOTENT_FRESHNESS)
        };
        let pool = &self.gateway.pool;
        let (response, lease) =
            pool.send(server.address, request, freshness).await?;
        let (head, body) = response.into_parts();
        let attempt = &self.accepted.caller.attempt;
        let facts = self.gateway.dialect.answer_head(&head, attempt);
        self.judge(Answer { head, facts, body, lease }).await
    }

    fn request_for(
        &self,
        server: &ListedServer,
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
            inputs: self.inputs,
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

    /// Decides whether an answer can be passed on.
    async fn judge(&self, answer: Answer) -> Result<Usable, Failed> {
        let facts = answer.facts;
        let status = answer.head.status;
        if facts.echoes_other {
            let failure = AttemptFailure::MismatchedEcho;
            return Err(Failed::new(failure, "an answer to another attempt"));
        }
        if facts.not_run || facts.other_server {
            let cause = format!("refused with {status}");
            if collect(answer.body).await.is_ok() {
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
                return Err(Failed::new(failure, "a success without proof"));
            }
            if self.flows(&answer) {
                return Ok(Usable::Flowing(Box::new(answer)));
            }
        }
        self.judge_whole(answer).await
    }

    /// Reads an answer whole and decides whether it can be passed on.
    async fn judge_whole(&self, answer: Answer) -> Result<Usable, Failed> {
        let Answer { head, facts, body, lease } = answer;
        let status = head.status;
        let body = collect(body)
            .await
            .map_err(|cause| Failed::new(AttemptFailure::Broken, cause))?;
        lease.give_back(facts.idle_timeout);
        let failed = status.is_server_error()
            || is_promise(status)
            || (status.is_success() && !facts.signed);
        if !failed {
            return Ok(Usable::Whole(head, body));
        }
        // A status that promises "not run" is only passed on with proof.
        let own_failure = (!is_promise(status))
            .then(|| Box::new(WholeAnswer { head, body }));
        Err(Failed {
            failure: AttemptFailure::ErrorStatus,
            cause: format!("the server answered {status}"),
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

/// Returns whether a status promises that the request has not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

async fn collect(body: Incoming) -> Result<Bytes, String> {
    let read = Limited::new(body, MAX_BUFFERED_BYTES).collect().await;
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(format!("the answer broke off: {error}")),
    }
}

fn pass_on(
    outgoing: &Outgoing<'_>,
    answer: Usable,
    mut record: Record,
    running: RunningGuard,
    prepared: &Prepared,
) -> Response<ReplyBody> {
    record.head_arrived();
    prepared.release();
    match answer {
        Usable::Whole(head, body) => {
            record.status = head.status.as_u16();
            record.relayed(body.len());
            record.end("answered");
            whole_response(&head, body)
        }
        Usable::Flowing(answer) => {
            let Answer { head, facts, body, lease } = *answer;
            record.status = head.status.as_u16();
            let give_up = sleep_until(outgoing.accepted.give_up.into());
            let relay = Relay::new(
                body,
                give_up,
                lease,
                facts.idle_timeout,
                record,
                running,
            );
            let mut response =
                Response::new(ReplyBody::Relay(Box::new(relay)));
            copy_head(&head, &mut response);
            response
        }
    }
}

fn whole_response(head: &response::Parts, body: Bytes) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::full(body));
    copy_head(head, &mut response);
    response
}

fn copy_head(head: &response::Parts, response: &mut Response<ReplyBody>) {
    *response.status_mut() = head.status;
    for (name, value) in &head.headers {
        if !is_connection_header(name) && name != header::CONTENT_LENGTH {
            response.headers_mut().append(name, value.clone());
        }
    }
}

fn is_connection_header(name: &HeaderName) -> bool {
    CONNECTION_HEADERS.contains(name) || name.as_str() == KEEP_ALIVE
}
