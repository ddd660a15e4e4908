//! Sends a request to backend servers until one responds, and forwards the
//! response.

use std::{rc::Rc, sync::Arc, time::Duration};

use briarladder_core::fleet::{
    attempt::{AttemptTracker, RetryDecision},
    server::ListedServer,
};
use http::Response;
use tokio::time::timeout_at;

use crate::{
    blackboard::InFlightGuard,
    body::{RelayedBody, ResponseBody},
    context::Gateway,
    refusal::Refusal,
};

use super::{
    RequestRefusal,
    accept::AcceptedRequest,
    headers::copy_head,
    outgoing::{
        BufferedResponse, OutgoingRequest, UsableResponse, choose_server,
        count_attempt, record_failure,
    },
    record::{Phase, RequestRecord},
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
    let mut sends = AttemptTracker::new(route.kind, route.max_attempts);
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut last_failure = None;
    let refusal = loop {
        if let Some(wait) = outgoing.refused_for() {
            record.cause = Some("servers crash while they run it".to_owned());
            if sends.may_have_run_count() > 0 {
                break Refusal::OutcomeUnknown;
            }
            let refusal = Refusal::PoisonRequest;
            let ended = RequestRefusal { refusal, retry_after: Some(wait) };
            return Err((Box::new(record), ended));
        }
        if outgoing.prepared_inputs.is_released()
            && let Err(ended) = outgoing.rerun_stages(&mut record).await
        {
            if sends.may_have_run_count() > 0 {
                break Refusal::OutcomeUnknown;
            }
            return Err((Box::new(record), ended));
        }
        let zone = outgoing.prepared_inputs.zone();
        let Some(server) = choose_server(&gateway, &accepted, zone, &tried)
        else {
            record
                .cause
                .get_or_insert_with(|| "no server left to try".to_owned());
            if sends.may_have_run_count() == 0 {
                let retry_after = first_opens_in(&gateway, &accepted);
                let refusal = Refusal::NoServer;
                let ended = RequestRefusal { refusal, retry_after };
                return Err((Box::new(record), ended));
            }
            break Refusal::OutcomeUnknown;
        };
        record.server = Some(Arc::clone(&server.name));
        record.sends += 1;
        record.phase = Phase::Server;
        if tried.is_empty() {
            blackboard.record_first_send(&accepted.service);
        }
        let running = blackboard.track_in_flight(&server.name);
        let sent = outgoing.send_and_record_delay(&server, None);
        let sent = timeout_at(accepted.deadline.into(), sent).await;
        let failed = match sent {
            Ok(Ok(answer)) => {
                count_attempt(&gateway, &accepted, "answered");
                blackboard.placement.borrow_mut().record_success(&server.name);
                return Ok(pass_on(
                    &outgoing, &server, answer, record, running, sends,
                ));
            }
            Ok(Err(failed)) => failed,
            Err(_) => {
                count_attempt(&gateway, &accepted, "time_out");
                record.cause = Some("no response in time".to_owned());
                break Refusal::TimeoutAfterSend;
            }
        };
        drop(running);
        record_failure(&outgoing, &server, &failed);
        if failed.inputs_gone {
            outgoing.prepared_inputs.release();
        } else {
            tried.push(Arc::clone(&server.name));
        }
        record.cause = Some(failed.cause);
        last_failure = failed.error_response.or(last_failure);
        let in_time =
            accepted.time_to_head_deadline(blackboard.now()) > MIN_RETRY_TIME;
        let pay = || blackboard.try_spend_retry(&accepted.service);
        match sends.record_failure(failed.failure, in_time, pay) {
            RetryDecision::Retry => {}
            RetryDecision::FailNotRun => break Refusal::NoServer,
            RetryDecision::FailUnknown => break Refusal::OutcomeUnknown,
        }
    };
    if refusal == Refusal::OutcomeUnknown
        && let Some(answer) = last_failure
    {
        record.status = answer.head.status.as_u16();
        record.set_outcome("server_failed");
        return Ok(whole_response(*answer));
    }
    Err((Box::new(record), refusal.into()))
}

/// Returns the time until the first server accepts requests again, if all of
/// them have asked for a pause.
fn first_opens_in(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
) -> Option<Duration> {
    let blackboard = &gateway.blackboard;
    let servers = blackboard.servers.borrow();
    let ready =
        servers.ready_in_service(&accepted.service).map(|server| &**server);
    blackboard
        .availability
        .borrow()
        .first_available_in(blackboard.now(), ready)
}

fn pass_on(
    outgoing: &OutgoingRequest,
    server: &Arc<ListedServer>,
    answer: UsableResponse,
    mut record: RequestRecord,
    running: InFlightGuard,
    sends: AttemptTracker,
) -> Response<ResponseBody> {
    record.record_head();
    outgoing.prepared_inputs.release();
    // A plain response has no events after which another server could resume.
    let resumable = outgoing.accepted.route.kind.is_resumable();
    match answer {
        UsableResponse::Buffered(answer) => {
            record.status = answer.head.status.as_u16();
            record.add_relayed_bytes(answer.body.len());
            record.set_outcome("answered");
            outgoing.record_success();
            whole_response(*answer)
        }
        UsableResponse::Streaming(answer) if resumable => {
            record.status = answer.head.status.as_u16();
            let head = answer.head.clone();
            let body = resume::spawn_relay(
                outgoing.clone(),
                *answer,
                record,
                running,
                sends,
            );
            let mut response = Response::new(ResponseBody::Resumed(body));
            copy_head(&head, &mut response);
            response
        }
        UsableResponse::Streaming(answer) => {
            record.status = answer.head.status.as_u16();
            let head = answer.head.clone();
            let relay = RelayedBody::new(
                outgoing.clone(),
                Arc::clone(server),
                *answer,
                record,
                running,
            );
            let mut response =
                Response::new(ResponseBody::Relay(Box::new(relay)));
            copy_head(&head, &mut response);
            response
        }
    }
}

fn whole_response(answer: BufferedResponse) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(answer.body));
    copy_head(&answer.head, &mut response);
    response
}
