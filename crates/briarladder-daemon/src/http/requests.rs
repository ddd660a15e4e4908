//! `POST /v1/pipelines/{pipeline}`: runs a pipeline.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::ids::RequestId;
use briarladder_wire::{
    callers::{Outcome, REQUEST_ID_HEADER, RequestHead, TICKET_HEADER},
    peers::{CallResult, ForwardedCall},
};
use salvo::{
    Request, Response, handler,
    http::{HeaderValue, header},
};
use serde_json::value::RawValue;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use super::{
    extract::{self, HeldBody},
    respond, tickets,
};
use crate::{
    blackboard::Phase,
    daemon::Daemon,
    pipeline::{self, Delivery, Execution, Progress},
    refusal::{Refusal, RefusalKind},
};

/// The retry delay that a daemon returns while it shuts down. By then the
/// load balancer sends requests to other daemons.
pub(super) const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `POST /v1/pipelines/{pipeline}`
pub(super) struct Run(pub(super) Arc<Daemon>);

#[handler]
impl Run {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let daemon = &self.0;
        let received_at = daemon.clock.now();
        let received = receive(daemon, request).await;
        let received = match received {
            Ok(received) => received,
            Err(refusal) => {
                if leaves_body_unread(refusal.kind) {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                let id = extract::request_id(request).ok().flatten();
                return respond::refusal(response, &refusal, id);
            }
        };
        let id = received.head.request_id;
        response.headers_mut().insert(
            REQUEST_ID_HEADER,
            // OK because an identifier is all hexadecimal digits.
            HeaderValue::from_str(&id.to_string()).unwrap(),
        );
        let permit = match acquire_permit(daemon, &received) {
            Ok(permit) => permit,
            Err(refusal) => {
                let refusal = match received.ticket {
                    // Another copy of the call may be running.
                    Some(_) => refusal.with_outcome(Outcome::Unknown),
                    None => refusal,
                };
                return respond::refusal(response, &refusal, Some(id));
            }
        };
        if let Some(ticket) = received.ticket {
            let call = TicketedRequest { ticket, head: received.head };
            run_ticketed(daemon, call, received.body, response).await;
            drop(permit);
        } else {
            let request = PermittedRequest { received, received_at, permit };
            run_idempotent(daemon, request, response).await;
        }
    }
}

/// Acquires a permit for an open request. While the daemon shuts down, only
/// calls with a ticket get one, because issued tickets stay usable.
fn acquire_permit(
    daemon: &Daemon,
    received: &ReceivedRequest,
) -> Result<OwnedSemaphorePermit, Refusal> {
    let stopping = daemon.blackboard.phase() == Phase::Draining;
    if stopping && received.ticket.is_none() {
        return Err(Refusal::new(
            RefusalKind::NotReady,
            "the daemon is shutting down; retry to reach another one",
        )
        .with_retry_after(SHUTDOWN_RETRY_AFTER));
    }
    daemon.open_request()
}

/// The head and body of a request.
struct ReceivedRequest {
    head: RequestHead,
    ticket: Option<String>,
    body: Arc<RawValue>,
    /// Released when the request has ended.
    memory: HeldBody,
    /// Whether the caller asks for an event stream.
    streamed: bool,
}

async fn receive(
    daemon: &Daemon,
    request: &mut Request,
) -> Result<ReceivedRequest, Refusal> {
    let pipeline = request.param::<String>("pipeline").unwrap_or_default();
    let ticket =
        extract::header_text(request, TICKET_HEADER)?.map(str::to_owned);
    // Another copy of a ticketed call may be running, so a refusal of this
    // copy must not claim that the call did not run.
    let with_outcome = |refusal: Refusal| match ticket {
        Some(_) => refusal.with_outcome(Outcome::Unknown),
        None => refusal,
    };
    let head = extract::head(request, &pipeline).map_err(with_outcome)?;
    let streamed = request
        .headers()
        .get(header::ACCEPT)
        .is_some_and(|accept| accepts_events(accept.as_bytes()));
    let (body, memory) =
        extract::body(request, daemon).await.map_err(with_outcome)?;
    Ok(ReceivedRequest { head, ticket, body, memory, streamed })
}

/// Returns whether a request may be refused in this way before its body was
/// read to the end, so that no other request can follow on its connection.
fn leaves_body_unread(kind: RefusalKind) -> bool {
    matches!(
        kind,
        RefusalKind::TooLarge | RefusalKind::TooSlow | RefusalKind::Overloaded
    )
}

/// Returns whether an `Accept` header lists the type of event streams.
fn accepts_events(accept: &[u8]) -> bool {
    accept.split(|byte| *byte == b',').any(|part| {
        let media_type = part.split(|byte| *byte == b';').next();
        media_type.is_some_and(|media_type| {
            media_type.trim_ascii().eq_ignore_ascii_case(b"text/event-stream")
        })
    })
}

struct TicketedRequest {
    ticket: String,
    head: RequestHead,
}

/// Verifies a ticket and runs its call at the daemon that issued it.
async fn run_ticketed(
    daemon: &Arc<Daemon>,
    call: TicketedRequest,
    body: Arc<RawValue>,
    response: &mut Response,
) {
    let id = call.head.request_id;
    let claims = match tickets::authenticate(
        daemon,
        &call.ticket,
        &call.head.workspace,
    ) {
        Ok(claims) => claims,
        Err(refusal) => {
            return respond::refusal(response, &refusal, Some(id));
        }
    };
    let call = ForwardedCall { ticket: claims.id, head: call.head, body };
    let result = daemon.run_call(claims.peer_address, call).await;
    match result {
        CallResult::Answered(answer) => respond::success(response, &answer),
        CallResult::Refused(problem) => respond::problem(response, &problem),
    }
}

struct PermittedRequest {
    received: ReceivedRequest,
    received_at: Instant,
    permit: OwnedSemaphorePermit,
}

/// Runs a request whose stages are all idempotent. Refuses others and adds a
/// ticket to the response.
async fn run_idempotent(
    daemon: &Arc<Daemon>,
    request: PermittedRequest,
    response: &mut Response,
) {
    let PermittedRequest { received, received_at, permit } = request;
    let id = received.head.request_id;
    let request = match check(daemon, &received, received_at) {
        Ok(request) => request,
        Err(refusal) => {
            if refusal.kind == RefusalKind::TicketRequired {
                add_ticket(daemon, &received.head, response);
            }
            return respond::refusal(response, &refusal, Some(id));
        }
    };
    if received.streamed {
        let resources = (permit, received.memory);
        return stream(daemon, request, resources, response);
    }
    let whole = Delivery::Whole;
    let result =
        pipeline::run(daemon, &request, &whole, Execution::Repeatable).await;
    drop(permit);
    match result {
        Ok(answer) => respond::success(response, &answer),
        Err(refusal) => respond::refusal(response, &refusal, Some(id)),
    }
}

/// Checks a request against the configuration in force.
fn check(
    daemon: &Daemon,
    received: &ReceivedRequest,
    received_at: Instant,
) -> Result<pipeline::Request, Refusal> {
    let snapshot = daemon.snapshot()?;
    let body = Arc::clone(&received.body);
    let head = &received.head;
    let request = pipeline::Request::new(snapshot, head, body, received_at)?;
    if !request.pipeline.idempotent {
        return Err(Refusal::new(
            RefusalKind::TicketRequired,
            format!(
                "pipeline {} has a stage that is not idempotent; send the \
                 request again with the ticket in header {TICKET_HEADER} of \
                 this response",
                request.pipeline.name
            ),
        ));
    }
    Ok(request)
}

/// Adds a new ticket to a refusal, which saves the caller a request for one.
fn add_ticket(daemon: &Daemon, head: &RequestHead, response: &mut Response) {
    let Ok(issued) = tickets::issue(daemon, &head.workspace) else { return };
    // OK because a ticket is all base64url.
    let value = HeaderValue::from_str(&issued.ticket).unwrap();
    response.headers_mut().insert(TICKET_HEADER, value);
}

/// Runs a request in a task and streams its progress. When the caller
/// disconnects, the receiver is dropped and the task ends.
fn stream(
    daemon: &Arc<Daemon>,
    request: pipeline::Request,
    resources: (OwnedSemaphorePermit, HeldBody),
    response: &mut Response,
) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let request_id: RequestId = request.id;
    respond::events(response, request_id, receiver);
    let daemon = Arc::clone(daemon);
    tokio::spawn(async move {
        let epoch = request.snapshot.epoch;
        let _ = sender.send(Progress::Accepted { request_id, epoch });
        let delivery = Delivery::Stream(sender.clone());
        let run =
            pipeline::run(&daemon, &request, &delivery, Execution::Repeatable);
        tokio::select! {
            result = run => {
                let last = match result {
                    Ok(answer) => Progress::Response(Arc::new(answer)),
                    Err(refusal) => Progress::Refusal(refusal),
                };
                let _ = sender.send(last);
            }
            () = sender.closed() => {
                log::debug!("requests: caller of {request_id} disconnected");
            }
        }
        drop(resources);
    });
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a caller that accepts several types and gets a single
    /// JSON response instead of the stream that it asked for.
    #[test]
    fn accepts_events_among_other_types() {
        for accept in [
            "text/event-stream",
            "Text/Event-Stream; q=0.9",
            "application/json, text/event-stream",
        ] {
            assert!(accepts_events(accept.as_bytes()), "{accept}");
        }
        for accept in ["", "*/*", "application/json", "text/event"] {
            assert!(!accepts_events(accept.as_bytes()), "{accept}");
        }
    }
}
