//! Sends a request to backend servers until one responds, and forwards the
//! response.

use std::{rc::Rc, sync::Arc, time::Duration};

use briarladder_core::fleet::{
    attempt::{AttemptTracker, RetryDecision},
    server::ListedServer,
};
use http::Response;

use crate::{
    body::{RelayedBody, ResponseBody},
    brittle_servers::wait_for_room,
    context::Gateway,
    in_flight::InFlightGuard,
    peers::places::borrow_place,
    refusal::Refusal,
};

use super::{
    CRASHES_SERVERS_CAUSE, RequestRefusal,
    accept::AcceptedRequest,
    extra_send::{Send, SendState, send},
    headers::copy_head,
    outgoing::{
        BufferedResponse, OutgoingRequest, UsableResponse, choose_server,
        count_attempt, record_failure,
    },
    record::{Phase, RequestRecord},
    regions::first_available_in,
    resume,
};

/// A retry needs at least this much time to be useful.
const MIN_RETRY_TIME: Duration = Duration::from_millis(40);

/// Sends a request until a server has responded or no retry is allowed.
///
/// # Errors
///
/// With the refusal to send to the caller, and the record of the request.
pub async fn dispatch(
    mut outgoing: OutgoingRequest,
    mut record: RequestRecord,
) -> Result<Response<ResponseBody>, (Box<RequestRecord>, RequestRefusal)> {
    let gateway = Rc::clone(&outgoing.gateway);
    let accepted = Rc::clone(&outgoing.accepted);
    let blackboard = &gateway.blackboard;
    let route = &accepted.route;
    let mut tracker = AttemptTracker::new(route.kind, route.max_attempts);
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut last_error_response = None;
    let refusal = loop {
        if let Some(wait) = outgoing.refused_for() {
            record.cause = Some(CRASHES_SERVERS_CAUSE.to_owned());
            if tracker.may_have_run_count() > 0 {
                break Refusal::OutcomeUnknown;
            }
            let refusal = Refusal::PoisonRequest;
            let refused = RequestRefusal { refusal, retry_after: Some(wait) };
            return Err((Box::new(record), refused));
        }
        if outgoing.prepared_inputs.is_released()
            && let Err(refused) = outgoing.rerun_stages(&mut record).await
        {
            if tracker.may_have_run_count() > 0 {
                break Refusal::OutcomeUnknown;
            }
            return Err((Box::new(record), refused));
        }
        let zone = outgoing.prepared_inputs.zone();
        let server = find_server(&gateway, &accepted, zone, &tried).await;
        let Some(server) = server else {
            record
                .cause
                .get_or_insert_with(|| "no server left to try".to_owned());
            if tracker.may_have_run_count() == 0 {
                let refused = refuse_without_server(&outgoing, &tried);
                return Err((Box::new(record), refused));
            }
            break Refusal::OutcomeUnknown;
        };
        record.record_attempt(&server);
        record.phase = Phase::Server;
        if tried.is_empty() {
            blackboard.record_first_send(&accepted.service);
        }
        let state = SendState {
            record: &mut record,
            tracker: &mut tracker,
            tried: &mut tried,
        };
        let outcome = send(&outgoing, &server, state).await;
        let Send { server, in_flight, .. } = outcome.send;
        last_error_response = outcome
            .failed_beside
            .and_then(|error| error.error_response)
            .or(last_error_response);
        let error = match outcome.response {
            Ok(Ok(response)) => {
                count_attempt(&gateway, &accepted, "answered");
                blackboard.placement.borrow_mut().record_success(&server.name);
                return Ok(forward_response(
                    &outgoing, &server, response, record, in_flight, tracker,
                ));
            }
            Ok(Err(error)) => error,
            Err(_) => {
                count_attempt(&gateway, &accepted, "time_out");
                break timeout_refusal(&outgoing, &mut record);
            }
        };
        drop(in_flight);
        record_failure(&outgoing, &server, &error);
        if error.inputs_gone {
            outgoing.prepared_inputs.release();
        } else {
            tried.push(Arc::clone(&server.name));
        }
        record.cause = Some(error.cause);
        last_error_response = error.error_response.or(last_error_response);
        let has_time =
            accepted.time_to_head_deadline(blackboard.now()) > MIN_RETRY_TIME;
        let spend_retry = || blackboard.try_spend_retry(&accepted.service);
        match tracker.record_failure(error.failure, has_time, spend_retry) {
            RetryDecision::Retry => {}
            RetryDecision::FailNotRun => break Refusal::NoServer,
            RetryDecision::FailUnknown => break Refusal::OutcomeUnknown,
        }
    };
    if refusal == Refusal::OutcomeUnknown
        && let Some(response) = last_error_response
    {
        record.status = response.head.status.as_u16();
        record.set_outcome("server_failed");
        return Ok(buffered_response(*response));
    }
    Err((Box::new(record), refusal.into()))
}

/// Returns the refusal of a request whose time is up. One that was never on a
/// connection to a server has not run.
fn timeout_refusal(
    outgoing: &OutgoingRequest,
    record: &mut RequestRecord,
) -> Refusal {
    let is_sent = outgoing.sent.get();
    let missing = if is_sent { "response" } else { "connection" };
    record.cause = Some(format!("no {missing} in time"));
    if is_sent {
        Refusal::TimeoutAfterSend
    } else {
        Refusal::TimeoutBeforeSend
    }
}

/// Returns a server that has a place for a request now or will have one soon.
async fn find_server(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
    zone: &str,
    tried: &[Arc<str>],
) -> Option<Arc<ListedServer>> {
    if let Some(server) = choose_server(gateway, accepted, zone, tried) {
        return Some(server);
    }
    if let Some(server) = borrow_place(gateway, accepted, tried).await {
        return Some(server);
    }
    wait_for_room(gateway, accepted, zone, tried).await
}

/// Returns the refusal of a request that no server can be asked to run.
fn refuse_without_server(
    outgoing: &OutgoingRequest,
    tried: &[Arc<str>],
) -> RequestRefusal {
    let OutgoingRequest { gateway, accepted, .. } = outgoing;
    let AcceptedRequest { service, rank, allowed_regions, .. } = &**accepted;
    let place_in = gateway.blackboard.record_turned_away(
        service,
        *rank,
        allowed_regions,
        tried,
    );
    match place_in {
        Some(_) => RequestRefusal {
            refusal: Refusal::ServerLimit,
            retry_after: place_in,
        },
        None => RequestRefusal {
            refusal: Refusal::NoServer,
            retry_after: first_available_in(&gateway.blackboard, accepted),
        },
    }
}

fn forward_response(
    outgoing: &OutgoingRequest,
    server: &Arc<ListedServer>,
    response: UsableResponse,
    mut record: RequestRecord,
    in_flight: InFlightGuard,
    tracker: AttemptTracker,
) -> Response<ResponseBody> {
    record.record_head();
    outgoing.prepared_inputs.release();
    // A plain response has no events after which another server could resume.
    let resumable = outgoing.accepted.route.kind.is_resumable();
    record.framing = Some(response.framing());
    match response {
        UsableResponse::Buffered(response) => {
            record.status = response.head.status.as_u16();
            record.add_relayed_bytes(response.body.len());
            record.set_outcome("answered");
            if response.head.status.is_success() {
                outgoing.record_success();
            }
            buffered_response(*response)
        }
        UsableResponse::Streaming(response) if resumable => {
            record.status = response.head.status.as_u16();
            let head = response.head.clone();
            let body = resume::spawn_relay(
                outgoing.clone(),
                Arc::clone(server),
                *response,
                record,
                in_flight,
                tracker,
            );
            let mut caller_response =
                Response::new(ResponseBody::Resumable(body));
            copy_head(&head, &mut caller_response);
            caller_response
        }
        UsableResponse::Streaming(response) => {
            record.status = response.head.status.as_u16();
            let head = response.head.clone();
            let relay = RelayedBody::new(
                outgoing.clone(),
                Arc::clone(server),
                *response,
                record,
                in_flight,
            );
            let mut caller_response =
                Response::new(ResponseBody::Relayed(Box::new(relay)));
            copy_head(&head, &mut caller_response);
            caller_response
        }
    }
}

fn buffered_response(response: BufferedResponse) -> Response<ResponseBody> {
    let mut caller_response = Response::new(ResponseBody::full(response.body));
    copy_head(&response.head, &mut caller_response);
    caller_response
}
