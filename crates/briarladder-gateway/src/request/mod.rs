//! The path of one request: accept it, run its stages, send it to a server and
//! forward the response.

pub mod accept;
pub mod cache_evidence;
pub mod connection_end;
mod crash_evidence;
mod dispatch;
mod extra_send;
pub mod framing;
mod headers;
pub mod outgoing;
pub mod record;
pub mod regions;
mod resume;
pub mod take_up;

use std::{rc::Rc, sync::Arc, time::Duration};

use briarladder_core::fleet::caller_memory::{Activity, run_bytes};

use http::{HeaderValue, Request, Response, StatusCode, header, request};
use hyper::body::{Body, Incoming};
use tokio::time::timeout_at;

use crate::{
    blackboard::Blackboard,
    body::{CallerBody, ResponseBody},
    bounded_body::skip_arrived,
    caller_memory::CallerConnection,
    caller_progress::ConnectionProgress,
    context::Gateway,
    refusal::Refusal,
    stages::preparation,
};

use self::{
    accept::{AcceptedRequest, accept, read_body},
    crash_evidence::refused_for,
    dispatch::dispatch,
    outgoing::OutgoingRequest,
    record::RequestRecord,
    regions::refused_for_regions,
    take_up::restrict_to_origin,
};

/// The shortest `retry-after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The `retry-after` of a refusal is at most the request's timeout divided by
/// this, so that the caller's next attempt still has time to be served.
const RETRY_AFTER_DIVISOR: u32 = 2;

/// The `retry-after` of a request for which there is no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The bytes of a header beside its name and its value.
const HEADER_SEPARATORS_BYTES: usize = ": \r\n".len();

/// The cause in the log of a request that is refused because of crashes.
const CRASHES_SERVERS_CAUSE: &str = "servers crash while they run it";

/// How long requests wait for the first configuration after the process has
/// started.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_secs(1);

/// A refusal that a caller gets in place of a server's response.
#[derive(Clone, Copy, Debug)]
pub struct RequestRefusal {
    /// Its cause.
    pub refusal: Refusal,
    /// How long the caller should wait before it tries again.
    pub retry_after: Option<Duration>,
}

impl From<Refusal> for RequestRefusal {
    fn from(refusal: Refusal) -> RequestRefusal {
        let retry_after = match refusal {
            Refusal::MemoryUsedUp => Some(MEMORY_RETRY_AFTER),
            _ => None,
        };
        RequestRefusal { refusal, retry_after }
    }
}

/// Serves a request of a caller.
pub async fn serve(
    gateway: Rc<Gateway>,
    connection: Arc<CallerConnection>,
    progress: Rc<ConnectionProgress>,
    request: Request<Incoming>,
) -> Response<CallerBody> {
    progress.record_request(gateway.blackboard.now());
    connection.set_activity(Activity::Receiving);
    connection.set_unread_body(!request.body().is_end_stream());
    // Prevents request smuggling: bytes after a chunked body may have been
    // framed for a different parsing of the same bytes, so nothing more is
    // read from the connection.
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response =
        respond(&gateway, &connection, &progress, request).await;
    connection.set_activity(Activity::Running);
    progress.record_response(&gateway.blackboard.caller_limits());
    // What follows an unread body is discarded, so that the caller must not
    // send its next request on this connection.
    let ends = chunked || connection.has_unread_body();
    if ends || gateway.blackboard.shutdown().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| CallerBody::new(body, connection, progress))
}

async fn respond(
    gateway: &Rc<Gateway>,
    connection: &Arc<CallerConnection>,
    progress: &ConnectionProgress,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut record = RequestRecord::new(&gateway.blackboard, &gateway.metrics);
    let (head, body) = request.into_parts();
    gateway.check_suspension();
    wait_for_config(gateway).await;
    let checked = check_head(gateway, connection, &head, &mut record);
    progress.record_attempt(&record.attempt);
    let mut accepted = match checked {
        Ok(accepted) => accepted,
        Err(RefusedHead { refused, accepted }) => {
            let is_read = !expects_continue(&head) && skip_arrived(body).await;
            // One that was told to make room meanwhile is closed.
            if is_read && !connection.is_evicted() {
                connection.set_unread_body(false);
            }
            return refuse(record, refused, accepted.as_deref());
        }
    };
    let blackboard = &gateway.blackboard;
    let limits = accepted.config.limits;
    let head_deadline = accepted.head_deadline.into();
    let body_result =
        timeout_at(head_deadline, read_body(body, &limits, connection)).await;
    let body = match body_result.unwrap_or(Err(Refusal::TimeoutBeforeSend)) {
        Ok(body) => body,
        Err(refusal) => {
            return refuse(record, refusal.into(), Some(&accepted));
        }
    };
    connection.set_unread_body(false);
    connection.set_activity(Activity::Running);
    if is_too_late(blackboard, &accepted) {
        return refuse(record, Refusal::Stopping.into(), Some(&accepted));
    }
    if let Some(wait) = refused_for(blackboard, &accepted, &head, &body) {
        record.cause = Some(CRASHES_SERVERS_CAUSE.to_owned());
        let refusal = Refusal::PoisonRequest;
        let refused = RequestRefusal { refusal, retry_after: Some(wait) };
        return refuse(record, refused, Some(&accepted));
    }
    let run_bytes = run_bytes(head_bytes(&head));
    let Ok(run_charge) = connection.charge_run(run_bytes) else {
        let refused = Refusal::MemoryUsedUp.into();
        return refuse(record, refused, Some(&accepted));
    };
    let restricted = restrict_in_time(gateway, &mut accepted).await;
    if let Err(refusal) = restricted {
        return refuse(record, refusal.into(), Some(&accepted));
    }
    let stages = preparation::run(gateway, &accepted, &mut record);
    let prepared = tokio::select! {
        prepared = timeout_at(head_deadline, stages) => prepared
            .unwrap_or_else(|_| Err(Refusal::TimeoutBeforeSend.into())),
        () = blackboard.wait_for_final_responses() => {
            Err(Refusal::Stopping.into())
        }
    };
    let inputs = match prepared {
        Ok(_) if blackboard.final_responses_due() => {
            return refuse(record, Refusal::Stopping.into(), Some(&accepted));
        }
        Ok(inputs) => inputs,
        Err(refused) => return refuse(record, refused, Some(&accepted)),
    };
    let outgoing = OutgoingRequest {
        gateway: Rc::clone(gateway),
        accepted: Rc::new(accepted),
        head: Rc::new(head),
        body,
        prepared_inputs: Rc::new(inputs),
        sent: Rc::default(),
        run_charge: Rc::new(run_charge),
    };
    let accepted = Rc::clone(&outgoing.accepted);
    let sent = Rc::clone(&outgoing.sent);
    // A response that is ready goes out even if final responses are due.
    tokio::select! {
        biased;
        result = dispatch(outgoing, record) => match result {
            Ok(response) => response,
            Err((record, refused)) => {
                refuse(*record, refused, Some(&accepted))
            }
        },
        () = blackboard.wait_for_final_responses() => {
            // Dropping the dispatch writes the request's log line.
            let may_have_run = sent.get();
            log::info!(
                "process: id={} outcome=cut_by_stop may_have_run={may_have_run}",
                accepted.caller.attempt
            );
            if may_have_run {
                Refusal::OutcomeUnknown.into_response(None)
            } else {
                Refusal::Stopping.into_response(Some(MIN_RETRY_AFTER))
            }
        }
    }
}

/// Restricts a request that takes up a stream to the version that began it,
/// by the deadline of its response head.
async fn restrict_in_time(
    gateway: &Rc<Gateway>,
    accepted: &mut AcceptedRequest,
) -> Result<(), Refusal> {
    let head_deadline = accepted.head_deadline.into();
    let restriction = restrict_to_origin(gateway, accepted);
    tokio::select! {
        restricted = timeout_at(head_deadline, restriction) => restricted
            .unwrap_or(Err(Refusal::TimeoutBeforeSend)),
        () = gateway.blackboard.wait_for_final_responses() => {
            Err(Refusal::Stopping)
        }
    }
}

/// A request that is refused before its body is read.
struct RefusedHead {
    refused: RequestRefusal,
    accepted: Option<Box<AcceptedRequest>>,
}

/// Checks all that can be told from the head of a request.
fn check_head(
    gateway: &Gateway,
    connection: &Arc<CallerConnection>,
    head: &request::Parts,
    record: &mut RequestRecord,
) -> Result<AcceptedRequest, RefusedHead> {
    let accepted =
        accept(gateway, connection, head, record).map_err(|refusal| {
            RefusedHead { refused: refusal.into(), accepted: None }
        })?;
    let blackboard = &gateway.blackboard;
    let refused = if is_too_late(blackboard, &accepted) {
        Some(Refusal::Stopping.into())
    } else {
        refused_for_regions(blackboard, &accepted)
    };
    match refused {
        Some(refused) => {
            let accepted = Some(Box::new(accepted));
            Err(RefusedHead { refused, accepted })
        }
        None => Ok(accepted),
    }
}

/// Returns about how many bytes a head has.
fn head_bytes(head: &request::Parts) -> usize {
    let headers = head.headers.iter();
    let header_bytes = headers.map(|(name, value)| {
        name.as_str().len() + value.len() + HEADER_SEPARATORS_BYTES
    });
    let path = head.uri.path_and_query();
    header_bytes.sum::<usize>() + path.map_or(0, |path| path.as_str().len())
}

/// Returns whether the caller sends the body only when it is asked to.
fn expects_continue(head: &request::Parts) -> bool {
    head.headers.contains_key(header::EXPECT)
}

/// Returns whether a request is refused because the process stops and may not
/// finish it.
fn is_too_late(blackboard: &Blackboard, accepted: &AcceptedRequest) -> bool {
    blackboard.shutdown().is_some_and(|shutdown| {
        !shutdown.accepts(blackboard.now(), accepted.deadline)
    })
}

/// Waits for the first configuration of a process that has just started. It
/// will arrive shortly, while a refusal would cost the caller one of its
/// attempts.
async fn wait_for_config(gateway: &Gateway) {
    let blackboard = &gateway.blackboard;
    let deadline = blackboard.started_at + FIRST_CONFIG_TIMEOUT;
    let configured = async {
        while !blackboard.is_ready() {
            blackboard.mirror_changed.notified().await;
        }
    };
    if blackboard.config().is_none() {
        // If it has not arrived by then, the request is refused.
        let _ = timeout_at(deadline.into(), configured).await;
    }
}

/// Refuses a request.
fn refuse(
    mut record: RequestRecord,
    refused: RequestRefusal,
    accepted: Option<&AcceptedRequest>,
) -> Response<ResponseBody> {
    let RequestRefusal { refusal, retry_after } = refused;
    let max_wait = accepted.map_or(MIN_RETRY_AFTER, |accepted| {
        let timeout = accepted.deadline.duration_since(record.arrived_at());
        timeout / RETRY_AFTER_DIVISOR
    });
    let wait = retry_after
        .unwrap_or(MIN_RETRY_AFTER)
        .min(max_wait)
        .max(MIN_RETRY_AFTER);
    record.status = refusal.status().as_u16();
    if record.status == StatusCode::SERVICE_UNAVAILABLE.as_u16() {
        record.retry_after = Some(wait);
    }
    record.set_outcome(refusal.label());
    refusal.into_response(Some(wait))
}

#[cfg(test)]
mod tests;
